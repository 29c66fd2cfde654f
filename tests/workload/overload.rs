//! What a leader gets done as its fleet and its backlog grow.
//!
//! What was seen: with 350 agents short jobs were late or failed in every rush, by days between one
//! job in ten and seven in ten, and the same days were served once processor time cost nothing. How
//! it came about: in a rush the leader's one thread was busy for 0.95 of each second, and a third of
//! that went into walks over all agents and over all that waited, some twenty a turn. Cause: an event
//! cost as much as the fleet and the backlog are large. So a leader that fell behind got slower, and
//! what it got done fell when more was asked of it. Proof: the counts of looks, which no clock or
//! load can change, and a leader here whose processor takes the time that was measured there.

use std::{collections::VecDeque, time::Duration};

use egretpin::core::workload::{job::JobState, spec::JobSpec};

use crate::world::{Processor, World, ms, step};

/// Hosts of the two fleets that are compared.
const FLEETS: (usize, usize) = (30, 300);
/// What the leader's processor takes, as measured with 350 agents where it was full.
const PROCESSOR: Processor = Processor {
    input: Duration::from_micros(25),
    visit: Duration::from_nanos(45),
    order: Duration::from_micros(100),
};
/// How long a job of the rush may take: what its queue asks, and a look.
const OBJECTIVE: Duration = ms(1150);
/// Tasks of each job.
const TASKS: u32 = 8;

/// Looks for each turn of a leader whose hosts all run something that takes long.
fn looks_of_calm(hosts: usize) -> usize {
    let mut world = World::new(hosts, 1);
    world.pass(ms(2000));
    for job in 1..=u64::try_from(hosts).unwrap() {
        world.submit(job, JobSpec::new("x", vec![step(1, 8, 60_000)]));
    }
    world.until("nearly all run", ms(4000), |world| {
        let busy = world.agents.values().filter(|agent| agent.is_busy());
        busy.count() * 10 >= hosts * 9
    });
    world.pass(ms(500));
    (world.visits, world.plans) = (0, 0);
    world.pass(ms(2000));
    world.visits / world.plans
}

/// Looks for each turn of a leader that has so many jobs waiting that fit nowhere.
fn looks_of_backlog(jobs: u64) -> usize {
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

/// What came of a rush.
struct Rush {
    /// Tasks done in each second.
    done: u64,
    /// Those of jobs that were through in time.
    timely: u64,
    /// Renewals for each hundred tasks that were started.
    renewals: usize,
}

/// A rush that brings so many jobs a second.
fn rush(jobs: u64) -> Rush {
    const SECONDS: u64 = 6;
    const STEPS: u64 = 20;
    let mut world = World::new(FLEETS.1, 3);
    world.processor = Some(PROCESSOR);
    world.pass(ms(2000));
    let mut open = VecDeque::new();
    let (mut next, mut done, mut timely) = (1, 0, 0);
    for tick in 1..=SECONDS * STEPS {
        while next <= jobs * tick / STEPS {
            world.submit(next, JobSpec::new("x", vec![step(TASKS, 1, 400)]));
            open.push_back((next, world.now));
            next += 1;
        }
        world.pass(ms(1000 / STEPS));
        open.retain(|(job, since)| {
            let over = world.state(*job) == Some(JobState::Completed);
            done += u64::from(over);
            timely += u64::from(over && world.now <= *since + OBJECTIVE);
            !over
        });
    }
    let a_second = |jobs: u64| jobs * u64::from(TASKS) / SECONDS;
    Rush {
        done: a_second(done),
        timely: a_second(timely),
        renewals: world.sent["renew"] * 100 / world.sent["start"],
    }
}

#[test]
fn a_turn_costs_what_it_touches_and_not_the_fleet() {
    let (few, many) = (looks_of_calm(FLEETS.0), looks_of_calm(FLEETS.1));
    let fleet = FLEETS.1;
    // Of its agents each is looked at for what is due there, and all of them for the pools' needs
    // ten times a second.
    assert!(
        many < fleet,
        "{many} looks a turn with {fleet} hosts, {few} with {}",
        FLEETS.0
    );
}

#[test]
fn a_turn_costs_what_can_be_placed_and_not_the_backlog() {
    let (short, long) = (looks_of_backlog(50), looks_of_backlog(1000));
    assert!(
        long < 2 * short,
        "{long} looks a turn with 1,000 jobs waiting, {short} with 50"
    );
}

#[test]
fn what_gets_done_levels_off_under_overload() {
    let rushes: Vec<_> = [200, 400, 800, 1600].map(rush).into();
    let level = |done: Vec<u64>| {
        let most = done.iter().copied().max().unwrap_or_default();
        let last = done.last().copied().unwrap_or_default();
        assert!(last * 10 >= most * 9, "{done:?} a second as more is asked");
    };
    level(rushes.iter().map(|rush| rush.done).collect());
    level(rushes.iter().map(|rush| rush.timely).collect());
}

#[test]
fn a_full_leader_hears_of_more_ends_at_a_time() {
    let (calm, full) = (rush(100), rush(800));
    assert!(
        full.renewals * 2 <= calm.renewals,
        "{} renewals for a hundred tasks, {} when it is full",
        calm.renewals,
        full.renewals
    );
}

/// Looks for each task that is started in a rush of jobs of eight tasks on a fleet with room.
fn looks_of_a_start(hosts: usize) -> usize {
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
fn a_start_costs_a_part_of_a_look_at_the_agents_with_room() {
    let (few, many) = (looks_of_a_start(FLEETS.0), looks_of_a_start(FLEETS.1));
    // A step's eight tasks share one look at all of them; the rest goes by the pools' needs, ten
    // times a second.
    assert!(
        many < FLEETS.1 / 2,
        "{many} looks a task with {} hosts, {few} with {}",
        FLEETS.1,
        FLEETS.0
    );
}
