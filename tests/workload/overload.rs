//! The cost of a plan and the throughput of a leader as its fleet and its backlog grow.
//!
//! With 350 agents, short jobs were late or failed in every surge: between one job in ten and seven
//! in ten, depending on the day. The same days were served once processor time cost nothing. In a
//! surge the leader's only thread was busy for 0.95 of each second. A third of that went into walks
//! over all agents and all waiting steps, some twenty of them for each plan. The cause was that the
//! cost of an event grew with the fleet and the backlog. So a leader that fell behind got slower,
//! and its throughput fell as the load rose.
//!
//! The tests count visits, which depend on no clock and no load, and simulate a leader whose
//! processor takes the time that was measured there.

use std::{collections::VecDeque, time::Duration};

use egretpin::core::workload::{job::JobState, spec::JobSpec};

use crate::world::{Processor, World, ms, step};

/// The numbers of hosts of the two fleets that are compared.
const FLEETS: (usize, usize) = (30, 300);
/// The costs of the leader's processor, as measured with 350 agents where it was fully busy.
const PROCESSOR: Processor = Processor {
    input: Duration::from_micros(25),
    visit: Duration::from_nanos(45),
    order: Duration::from_micros(100),
};
/// How long a job of the surge may take: the objective of its queue and the time of a poll.
const OBJECTIVE: Duration = ms(1150);
/// The number of tasks of each job.
const TASKS: u32 = 8;

/// Visits for each plan of a leader whose hosts all run a task that takes long.
fn visits_per_steady_plan(hosts: usize) -> usize {
    let mut world = World::new(hosts, 1);
    world.pass(ms(2000));
    for job in 1..=u64::try_from(hosts).unwrap() {
        world.submit(job, JobSpec::new("x", vec![step(1, 8, 60_000)]));
    }
    world.until("nearly all tasks run", ms(4000), |world| {
        let busy = world.agents.values().filter(|agent| agent.is_busy());
        busy.count() * 10 >= hosts * 9
    });
    world.pass(ms(500));
    (world.visits, world.plans) = (0, 0);
    world.pass(ms(2000));
    world.visits / world.plans
}

/// Visits for each plan of a leader with so many waiting jobs that fit on no host.
fn visits_per_backlogged_plan(jobs: u64) -> usize {
    let mut world = World::new(FLEETS.0, 2);
    world.pass(ms(2000));
    for job in 1..=jobs {
        world.submit(job, JobSpec::new("x", vec![step(TASKS, 8, 60_000)]));
    }
    world.pass(ms(2000));
    (world.visits, world.plans) = (0, 0);
    world.pass(ms(1000));
    world.visits / world.plans
}

/// The result of a surge.
struct SurgeResult {
    /// Completed tasks per second.
    completed: u64,
    /// Those of them whose jobs completed in time.
    timely: u64,
    /// Renewals for each hundred starts.
    renewals: usize,
}

/// Simulates a surge of so many jobs per second.
fn surge(jobs: u64) -> SurgeResult {
    const SECONDS: u64 = 6;
    const STEPS: u64 = 20;
    let mut world = World::new(FLEETS.1, 3);
    world.processor = Some(PROCESSOR);
    world.pass(ms(2000));
    let mut open = VecDeque::new();
    let (mut next, mut completed, mut timely) = (1, 0, 0);
    for tick in 1..=SECONDS * STEPS {
        while next <= jobs * tick / STEPS {
            world.submit(next, JobSpec::new("x", vec![step(TASKS, 1, 400)]));
            open.push_back((next, world.now));
            next += 1;
        }
        world.pass(ms(1000 / STEPS));
        open.retain(|(job, since)| {
            let is_complete = world.state(*job) == Some(JobState::Completed);
            completed += u64::from(is_complete);
            timely += u64::from(is_complete && world.now <= *since + OBJECTIVE);
            !is_complete
        });
    }
    let per_second = |jobs: u64| jobs * u64::from(TASKS) / SECONDS;
    SurgeResult {
        completed: per_second(completed),
        timely: per_second(timely),
        renewals: world.sent["renew"] * 100 / world.sent["start"],
    }
}

#[test]
fn the_cost_of_a_plan_depends_on_what_is_due_and_not_on_the_fleet() {
    let (few, many) = (
        visits_per_steady_plan(FLEETS.0),
        visits_per_steady_plan(FLEETS.1),
    );
    let fleet = FLEETS.1;
    // Each agent is visited when something is due there, and all agents ten times a second for the
    // needs of the pools.
    assert!(
        many < fleet,
        "{many} visits per plan with {fleet} hosts, {few} with {}",
        FLEETS.0
    );
}

#[test]
fn the_cost_of_a_plan_depends_on_what_can_be_placed_and_not_on_the_backlog() {
    let (short, long) = (
        visits_per_backlogged_plan(50),
        visits_per_backlogged_plan(1000),
    );
    assert!(
        long < 2 * short,
        "{long} visits per plan with 1,000 jobs waiting, {short} with 50"
    );
}

#[test]
fn throughput_levels_off_under_overload() {
    let surges: Vec<_> = [200, 400, 800, 1600].map(surge).into();
    let check_level = |throughput: Vec<u64>| {
        let most = throughput.iter().copied().max().unwrap_or_default();
        let last = throughput.last().copied().unwrap_or_default();
        assert!(
            last * 10 >= most * 9,
            "{throughput:?} a second as the load rises"
        );
    };
    check_level(surges.iter().map(|surge| surge.completed).collect());
    check_level(surges.iter().map(|surge| surge.timely).collect());
}

#[test]
fn a_saturated_leader_learns_of_more_ends_per_renewal() {
    let (normal, saturated) = (surge(100), surge(800));
    assert!(
        saturated.renewals * 2 <= normal.renewals,
        "{} renewals for a hundred tasks, {} when the leader is saturated",
        normal.renewals,
        saturated.renewals
    );
}

/// Visits for each start in a surge of jobs of eight tasks on a fleet with free capacity.
fn visits_per_start(hosts: usize) -> usize {
    let mut world = World::new(hosts, 4);
    world.pass(ms(2000));
    world.visits = 0;
    for job in 1..=100 {
        world.submit(job, JobSpec::new("x", vec![step(TASKS, 1, 400)]));
        world.pass(ms(10));
    }
    world.pass(ms(1000));
    world.visits / world.sent["start"]
}

#[test]
fn a_start_costs_a_part_of_the_visits_to_all_agents_with_room() {
    let (few, many) = (visits_per_start(FLEETS.0), visits_per_start(FLEETS.1));
    // The eight tasks of a step share one visit to all agents with room. The other visits are for
    // the needs of the pools, ten times a second.
    assert!(
        many < FLEETS.1 / 2,
        "{many} visits per task with {} hosts, {few} with {}",
        FLEETS.1,
        FLEETS.0
    );
}

// Guards against a leader that gets slower the more of its hosts are empty.
#[test]
fn idle_agents_add_few_visits_to_a_start() {
    let (few, many) = (visits_per_start(FLEETS.0), visits_per_start(FLEETS.1));
    // A step visits as many idle agents as it has tasks. What is left of the difference are the
    // visits for the needs of the pools, ten times a second.
    let checks = 4 * 20 * (FLEETS.1 - FLEETS.0) / 800;
    assert!(
        many <= few + checks,
        "{many} visits per task with {} hosts, {few} with {}",
        FLEETS.1,
        FLEETS.0
    );
}

/// What each task of a job takes: cores, and eighths of the memory of a host.
type TaskSize = (u64, u64);

/// Visits for each start of a leader of 350 hosts while jobs arrive that they can do, after so many
/// jobs that wait. Every second job has tasks of the other size.
fn visits_per_start_beside(backlog: u64, sizes: (TaskSize, TaskSize)) -> f64 {
    const HOSTS: usize = 350;
    const MILLIS: u64 = 2000;
    let mut world = World::new(HOSTS, 5);
    world.pass(ms(2000));
    let job_of = |job: u64| {
        let (cores, memory) = if job.is_multiple_of(2) {
            sizes.0
        } else {
            sizes.1
        };
        let mut step = step(TASKS, cores, MILLIS);
        step.need.memory = memory << 27;
        JobSpec::new("x", vec![step])
    };
    let mut next = 1;
    while next <= backlog {
        world.submit(next, job_of(next));
        next += 1;
    }
    let mut arrive = |world: &mut World, span: u64| {
        for _ in 0..span / 20 {
            world.submit(next, job_of(next));
            next += 1;
            world.pass(ms(20));
        }
    };
    arrive(&mut world, 3000);
    world.visits = 0;
    let before = world.sent["start"];
    arrive(&mut world, 2000);
    world.visits as f64 / (world.sent["start"] - before) as f64
}

// Guards against plans that visit agents and steps again and again for work that fits on no agent:
// agents with cores and no memory left, and steps of a size that no agent has room for.
#[test]
fn a_backlog_adds_no_visits_to_a_start() {
    // Tasks that are limited by cores, by memory, and by both; and two sizes of which each agent
    // runs one of each, so that one kind of agent lacks cores and another kind lacks memory.
    let cases = [
        ((1, 0), (1, 0)),
        ((1, 2), (1, 2)),
        ((1, 2), (1, 1)),
        ((1, 3), (3, 1)),
        ((1, 4), (4, 1)),
    ];
    for sizes in cases {
        let eighths = |(cores, memory): TaskSize| cores.max(memory);
        // Ten times what fits on the hosts at once.
        let backlog = 56_000 / (u64::from(TASKS) * (eighths(sizes.0) + eighths(sizes.1)));
        let (without, with) = (
            visits_per_start_beside(0, sizes),
            visits_per_start_beside(backlog, sizes),
        );
        assert!(
            with <= without,
            "{with:.1} visits per start with a backlog, {without:.1} without, sizes {sizes:?}"
        );
    }
}
