//! Agents that restart under the ID that they had.
//!
//! The tests guard against a task being started again on the host that had done it. The agent of the host had
//! restarted under its ID and numbered the ends of its runs from one again. The leader had received more ends
//! from the former incarnation, so it took the new ends for known and acknowledged them, and the agent forgot
//! them. The cause was that an ID was taken to stand for one incarnation. In the simulations here agents keep
//! their IDs.

use std::{ops::RangeInclusive, panic, time::Duration};

use egretpin::core::{
    types::MinionId,
    workload::{
        command::Command,
        job::{JobState, StepId, TaskId},
        spec::JobSpec,
    },
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    faults::play,
    world::{Faults, OTHER_POOL, POOL, World, ms, step},
};

/// The number of seeds that are simulated.
const SEEDS: u64 = 24;
/// The environment variable for other seeds of the randomized simulations, as FIRST-LAST.
const SEEDS_VARIABLE: &str = "EGRETPIN_WORLD_SEEDS";

/// A task was started again after it had been done: its end was taken for one of the former incarnation.
#[test]
fn tasks_done_by_a_restarted_agent_are_not_started_again() {
    let mut world = World::new(1, 1);
    world.id_reuse = 1.0;
    world.add_host("h9", POOL);
    let agent = world.incarnation_at(&"h9".into()).unwrap();
    world.submit(1, JobSpec::new("x", vec![step(12, 1, 200)]));
    let done = |job| move |world: &World| world.state(job) == Some(JobState::Completed);
    world.until("the first incarnation completes its job", ms(3000), done(1));
    world.restart_agent(&agent);
    world.submit(2, JobSpec::new("x", vec![step(12, 1, 200)]));
    world.until(
        "the second incarnation completes its job",
        ms(9000),
        done(2),
    );
    assert!(world.starts.values().all(|starts| *starts == 1));
}

/// Simulates worlds in which this fraction of the agents keep their IDs, with and without changes of the
/// leader.
fn simulate_all(id_reuse: f64, faults: Faults) {
    for seed in 0..SEEDS {
        for takeovers in [false, true] {
            let mut world = World::new(6, seed);
            world.id_reuse = id_reuse;
            play(world, seed, faults, takeovers);
        }
    }
}

/// Orders for one incarnation were assumed to be carried out there, although the next one had received them.
#[test]
fn agents_that_restart_under_their_ids_start_nothing_twice() {
    let faults = Faults {
        late_heartbeats: 0.5,
        ..Faults::default()
    };
    simulate_all(1.0, faults);
    simulate_all(0.5, faults);
}

/// The same fault beside lost answers and agents that aren't well.
#[test]
fn agents_that_restart_beside_lost_answers_start_nothing_twice() {
    let faults = Faults {
        lost_answers: 0.05,
        failed_attempts: 0.03,
        unwell_refusals: 0.03,
        estimate_error: 2.0,
        late_heartbeats: 0.5,
        ..Faults::default()
    };
    simulate_all(1.0, faults);
}

/// The same fault beside orders that are carried out seconds late.
#[test]
fn agents_that_restart_beside_late_orders_start_nothing_twice() {
    let faults = Faults {
        late_orders: 0.03,
        late_heartbeats: 0.5,
        ..Faults::default()
    };
    simulate_all(1.0, faults);
}

/// An acknowledgement meant for one incarnation reached the next one, which forgot the end of a task whose
/// start had been meant for the first one. The task was started again.
#[test]
fn no_acknowledgement_for_one_incarnation_is_accepted_by_the_next() {
    for seed in 0..SEEDS {
        let mut world = World::new(3, seed);
        world.id_reuse = 1.0;
        world.defer_heartbeats = true;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        for job in 1..=300 {
            let millis = rng.random_range(10..40);
            world.submit(job, JobSpec::new("x", vec![step(2, 1, millis)]));
            world.pass(ms(rng.random_range(0..40)));
            if job % 6 == 0 {
                let agents: Vec<_> = world.agents.keys().cloned().collect();
                world.restart_agent(&agents[rng.random_range(0..agents.len())]);
            }
        }
        world.until("all jobs are completed", ms(30_000), |world| {
            let mut jobs = world.ledger.jobs();
            jobs.all(|(_, job)| job.state == JobState::Completed)
        });
    }
}

/// One time step of the world.
const TICK: Duration = ms(5);
/// The number of times that a task may fail.
const MAX_ATTEMPTS: u32 = 3;
/// The number of time steps over which the time of the forced event is varied.
const MAX_TICKS: u32 = 60;
/// The job in each forced order of events, and its only task.
const JOB: u64 = 1;
const TASK: TaskId = TaskId {
    step: StepId {
        job: JOB,
        occurrence: 0,
        step: 0,
    },
    task: 0,
};

/// A world with three hosts whose agents keep their IDs, and one host of another pool.
fn three_hosts() -> World {
    let mut world = World::new(0, 1);
    world.id_reuse = 1.0;
    world.allow_reruns = true;
    for host in 1..=3 {
        world.add_host(&format!("h{host}"), POOL);
    }
    world.add_host("h4", OTHER_POOL);
    world.pass(ms(500));
    world
}

/// A world with one host whose agent keeps its ID, and sends its first heartbeat late after a restart.
/// Another pool has one host, too.
fn one_host() -> World {
    let mut world = World::new(0, 1);
    world.id_reuse = 1.0;
    world.add_host("h1", POOL);
    world.add_host("h4", OTHER_POOL);
    world.pass(ms(500));
    world.defer_heartbeats = true;
    world
}

/// Restarts an agent while the start of a task that takes this number of milliseconds is on its way to it.
/// Returns the next incarnation.
fn restart_during_start(world: &mut World, millis: u64) -> MinionId {
    let starts = world.sent.get("start").copied().unwrap_or_default();
    world.submit(JOB, JobSpec::new("x", vec![step(1, 1, millis)]));
    world.until("the start of the task is on its way", ms(500), |world| {
        world.sent.get("start").copied().unwrap_or_default() > starts
    });
    let former = world.placement(JOB).unwrap();
    world.restart_agent(&former).unwrap()
}

/// Continues until the job is completed and its ends are acknowledged. Returns whether the task was started
/// again although a run of it had succeeded, and whether the end of that run was acknowledged.
fn complete_and_check(mut world: World) -> (bool, bool) {
    world.until("the job is completed", ms(20_000), |world| {
        world.state(JOB) == Some(JobState::Completed)
    });
    world.pass(ms(3000));
    (
        !world.reruns.is_empty(),
        !world.acknowledged_reruns.is_empty(),
    )
}

/// Simulates each of these orders of events, and asserts that none of them starts a task again of which a run
/// had succeeded.
fn assert_no_rerun(orders: impl Iterator<Item = u32>, play: impl Fn(u32) -> World) {
    let (mut count, mut reruns, mut acknowledged_count) = (0, Vec::new(), 0);
    for order in orders {
        let (is_rerun, is_acknowledged) = complete_and_check(play(order));
        count += 1;
        acknowledged_count += u32::from(is_acknowledged);
        reruns.extend(is_rerun.then_some(order));
    }
    let failing = reruns.len();
    assert!(
        reruns.is_empty(),
        "in {failing} of {count} orders of events a completed task was started again: {reruns:?}; in {acknowledged_count} of them its end was acknowledged"
    );
}

/// The next incarnation completed a task, but the leader received no heartbeat from it before it took the
/// former one for lost. The task was started again.
#[test]
fn a_task_done_by_an_unknown_incarnation_is_not_started_again() {
    assert_no_rerun(0..MAX_TICKS, |ticks| {
        let mut world = three_hosts();
        world.defer_heartbeats = true;
        let next = restart_during_start(&mut world, 1000);
        world.pass(TICK * ticks);
        world.finish_task(&next, TASK);
        world
    });
}

/// A task ended at the next incarnation after that had reported it as running and before the order to stop it
/// arrived. The task was started again before the next report.
#[test]
fn a_task_that_ends_between_a_report_and_a_stop_is_not_started_again() {
    assert_no_rerun(0..MAX_TICKS, |ticks| {
        let mut world = three_hosts();
        let next = restart_during_start(&mut world, 1000);
        world.pass(TICK * ticks);
        world.finish_task(&next, TASK);
        world
    });
}

/// A start reached the next incarnation after its first report, and the task ended before the order to stop
/// it arrived. The task was started again before the next report.
#[test]
fn a_task_that_starts_after_a_report_and_ends_before_a_stop_is_not_started_again() {
    assert_no_rerun(0..MAX_TICKS, |ticks| {
        let mut world = three_hosts();
        world.answer_delay = ms(40);
        world.order_delays.insert("start", TICK * ticks);
        restart_during_start(&mut world, 10);
        world
    });
}

/// A new leader took over after the former incarnation had been found lost, and started the task again before
/// it knew that the next incarnation had done it.
#[test]
fn a_task_done_by_an_unknown_incarnation_is_not_started_again_by_the_next_leader() {
    assert_no_rerun(0..MAX_TICKS, |ticks| {
        let mut world = three_hosts();
        world.defer_heartbeats = true;
        restart_during_start(&mut world, 20);
        world.pass(TICK * ticks);
        world.depose();
        world.pass(ms(100));
        world.lead();
        world
    });
}

/// The same fault with a task that ends at any time after the term of the next leader began.
#[test]
fn a_task_that_ends_between_a_report_and_a_stop_is_not_started_again_by_the_next_leader() {
    assert_no_rerun(0..MAX_TICKS, |ticks| {
        let mut world = three_hosts();
        world.defer_heartbeats = true;
        let next = restart_during_start(&mut world, 1000);
        world.pass(ms(5));
        world.depose();
        world.pass(ms(100));
        world.lead();
        world.pass(TICK * ticks);
        world.finish_task(&next, TASK);
        world
    });
}

/// The clock of the next incarnation is younger, and by that clock the lease of a start ends later than the
/// leader assumed. While that incarnation was disconnected, the task could be started elsewhere and still run
/// there.
#[test]
fn a_task_at_the_next_incarnation_runs_no_longer_than_the_leader_assumes() {
    let mut world = three_hosts();
    world.pass(ms(10_000));
    world.defer_heartbeats = true;
    let next = restart_during_start(&mut world, 5000);
    world.pass(TICK * 3);
    world.disconnect(&next, ms(9000));
    world.until("the job is completed", ms(30_000), |world| {
        world.state(JOB) == Some(JobState::Completed)
    });
}

/// A task failed at incarnations that received the starts meant for the former ones, and none of these
/// failures counted as an attempt.
#[test]
fn a_failure_at_the_next_incarnation_counts_as_an_attempt() {
    let mut world = three_hosts();
    // The loss of a host is no evidence against the task. And before the task may be placed again, the
    // leader has heard from each next incarnation and acknowledged the end of the task there.
    world.protections.suspicion = false;
    world.stop_time = ms(4000);
    world.depose();
    world.lead();
    world.pass(ms(2000));
    world.faults.failed_attempts = 1.0;
    restart_during_start(&mut world, 5);
    for attempt in 2..=MAX_ATTEMPTS + 1 {
        let starts = world.sent["start"];
        world.until(
            "the job has failed, or its task is started again",
            ms(6000),
            |world| world.sent["start"] > starts || world.state(JOB) == Some(JobState::Failed),
        );
        let former = world.placement(JOB).filter(|_| attempt <= MAX_ATTEMPTS);
        former.and_then(|former| world.restart_agent(&former));
        world.pass(TICK * 2);
    }
    world.pass(ms(1500));
    let (starts, failures) = (
        world.starts[&TASK],
        world.failures.get(&TASK).copied().unwrap_or_default(),
    );
    assert!(
        starts <= MAX_ATTEMPTS || failures < MAX_ATTEMPTS,
        "{starts} starts, and {failures} failures were acknowledged"
    );
}

/// The next incarnation completed a task after the former one had been found lost and before the task was
/// placed again. The task stayed a suspect because of that loss forever, and the step after it never started.
#[test]
fn a_step_after_a_suspect_done_by_the_next_incarnation_starts() {
    let mut world = one_host();
    let mut steps = vec![step(1, 1, 20), step(1, 1, 20)];
    steps[1].after = vec![0];
    world.submit(JOB, JobSpec::new("x", steps));
    world.until(
        "the start of the first task is on its way",
        ms(500),
        |world| world.sent.contains_key("start"),
    );
    let former = world.placement(JOB).unwrap();
    world.restart_agent(&former);
    world.until("the job is completed", ms(20_000), |world| {
        world.state(JOB) == Some(JobState::Completed)
    });
}

/// A start overtook an acknowledgement meant for one incarnation, and the next incarnation forgot the end of
/// the task that it had started.
#[test]
fn an_acknowledgement_overtaken_by_a_start_makes_the_next_incarnation_forget_nothing() {
    assert_no_rerun(0..MAX_TICKS, |ticks| {
        let mut world = three_hosts();
        world.submit(9, JobSpec::new("x", vec![step(9, 2, 200)]));
        world.until("the other job is completed", ms(3000), |world| {
            world.state(9) == Some(JobState::Completed)
        });
        world.order_delays.insert("renew", ms(100));
        world.pass(TICK * ticks);
        restart_during_start(&mut world, 10);
        world
    });
}

/// Simulates short tasks at agents that restart repeatedly, beside lost and late answers, cancelled jobs and
/// changes of the leader. Returns the tasks that were started again although a run of them had succeeded.
fn simulate_random(seed: u64, id_reuse: f64) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x4e77);
    let mut world = World::new(0, seed);
    world.id_reuse = id_reuse;
    world.allow_reruns = true;
    for host in 1..=4 {
        world.add_host(&format!("h{host}"), POOL);
    }
    world.add_host("h5", OTHER_POOL);
    world.pass(ms(300));
    world.defer_heartbeats = rng.random_bool(0.5);
    world.jitter = ms(rng.random_range(0..30));
    world.faults.lost_answers = [0.0, 0.03][rng.random_range(0..2)];
    for job in 1..=120 {
        let mut steps = vec![step(rng.random_range(1..4), 1, rng.random_range(10..60))];
        if rng.random_bool(0.3) {
            steps.push(step(1, 1, 20));
            steps[1].after = vec![0];
        }
        world.submit(job, JobSpec::new("x", steps));
        world.pass(ms(rng.random_range(0..60)));
        match rng.random_range(0..24) {
            0..4 => {
                let host = format!("h{}", rng.random_range(1..=4)).as_str().into();
                for _ in 0..rng.random_range(1..4) {
                    // There is no agent while its host is being moved.
                    if let Some(agent) = world.incarnation_at(&host) {
                        world.restart_agent(&agent);
                    }
                    world.pass(ms(rng.random_range(0..200)));
                }
            }
            4 => world.propose(Command::Cancel(rng.random_range(1..=job))),
            5 if rng.random_bool(0.4) => {
                world.depose();
                world.pass(ms(rng.random_range(0..600)));
                world.lead();
            }
            _ => {}
        }
    }
    world.faults = Faults::default();
    world.until("all jobs have ended", ms(60_000), |world| {
        world.ledger.jobs().all(|(_, job)| job.has_ended())
    });
    world.pass(ms(3000));
    world.acknowledged_reruns
}

/// The seeds with which a task was started again although a run of it had succeeded, or a check of an agent
/// failed.
fn failing_seeds(id_reuse: f64) -> Vec<String> {
    let mut failing = Vec::new();
    for seed in seeds() {
        match panic::catch_unwind(|| simulate_random(seed, id_reuse)) {
            Ok(reruns) if reruns.is_empty() => {}
            Ok(reruns) => {
                failing.push(format!("{seed}: {} tasks were started again", reruns.len()));
            }
            Err(_) => failing.push(format!("{seed}: a check of an agent failed")),
        }
    }
    failing
}

/// Orders of events drawn at random, with many seeds.
#[test]
fn no_done_task_is_started_again_where_agents_restart_repeatedly() {
    let failing = failing_seeds(1.0);
    assert!(failing.is_empty(), "{} seeds: {failing:#?}", failing.len());
}

/// The same where each incarnation has an ID of its own.
#[test]
fn no_done_task_is_started_again_where_agents_are_replaced_repeatedly() {
    let failing = failing_seeds(0.0);
    assert!(failing.is_empty(), "{} seeds: {failing:#?}", failing.len());
}

/// The seeds that the environment names, or else the default ones.
fn seeds() -> RangeInclusive<u64> {
    let Ok(range) = std::env::var(SEEDS_VARIABLE) else {
        return 0..=SEEDS;
    };
    let (first, last) = range
        .split_once('-')
        .expect("the seeds have the form FIRST-LAST");
    first.parse().unwrap()..=last.parse().unwrap()
}
