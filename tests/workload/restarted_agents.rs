//! Agents that start again under the id that they had.
//!
//! What was seen: a task that had been done was started again, on the host that had done it. How it came
//! about: its agent had started again under its id, and its ends were numbered from one again. The leader
//! had taken in more ends of the life before, took the new ones for known, and acknowledged them, so that
//! the agent forgot them. Cause: an id was taken for one life. Proof: the worlds here, in which agents keep
//! their ids.

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
    world::{Faults, OTHER, POOL, World, ms, step},
};

/// Worlds that are played of each kind.
const SEEDS: u64 = 24;
/// The variable that names other seeds of the worlds in which all comes by chance: the first and the last.
const SEEDS_VARIABLE: &str = "EGRETPIN_WORLD_SEEDS";

/// A task was started again after it had been done: its end was taken for one of the life before.
#[test]
fn tasks_done_by_a_restarted_agent_are_not_started_again() {
    let mut world = World::new(1, 1);
    world.keeps = 1.0;
    world.host("h9", POOL);
    let agent = world.living(&"h9".into()).unwrap();
    world.submit(1, JobSpec::new("x", vec![step(12, 1, 200)]));
    let done = |job| move |world: &World| world.state(job) == Some(JobState::Completed);
    world.until("the first life has ended tasks", ms(3000), done(1));
    world.reboot(&agent);
    world.submit(2, JobSpec::new("x", vec![step(12, 1, 200)]));
    world.until("the second one has", ms(9000), done(2));
    assert!(world.starts.values().all(|starts| *starts == 1));
}

/// Plays worlds in which this part of the agents keep their ids, with and without leaders that follow each
/// other.
fn simulate_all(id_reuse: f64, faults: Faults) {
    for seed in 0..SEEDS {
        for takeovers in [false, true] {
            let mut world = World::new(6, seed);
            world.keeps = id_reuse;
            play(world, seed, faults, takeovers);
        }
    }
}

/// Orders for one life were taken for carried out there, though the next one got them.
#[test]
fn agents_that_restart_under_their_ids_start_nothing_twice() {
    let faults = Faults {
        ghosts: 0.5,
        ..Faults::default()
    };
    simulate_all(1.0, faults);
    simulate_all(0.5, faults);
}

/// The same beside answers that are lost and agents that aren't well.
#[test]
fn agents_that_restart_beside_lost_answers_start_nothing_twice() {
    let faults = Faults {
        lost: 0.05,
        failing: 0.03,
        unwell: 0.03,
        off: 2.0,
        ghosts: 0.5,
        ..Faults::default()
    };
    simulate_all(1.0, faults);
}

/// The same beside orders that are carried out seconds late.
#[test]
fn agents_that_restart_beside_late_orders_start_nothing_twice() {
    let faults = Faults {
        late: 0.03,
        ghosts: 0.5,
        ..Faults::default()
    };
    simulate_all(1.0, faults);
}

/// An acknowledgement for one life reached the next one, which forgot an end of a task that had been meant
/// for the first; the task was started again.
#[test]
fn no_acknowledgement_for_one_incarnation_is_accepted_by_the_next() {
    for seed in 0..SEEDS {
        let mut world = World::new(3, seed);
        world.keeps = 1.0;
        world.quiet = true;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        for job in 1..=300 {
            let millis = rng.random_range(10..40);
            world.submit(job, JobSpec::new("x", vec![step(2, 1, millis)]));
            world.pass(ms(rng.random_range(0..40)));
            if job % 6 == 0 {
                let agents: Vec<_> = world.agents.keys().cloned().collect();
                world.reboot(&agents[rng.random_range(0..agents.len())]);
            }
        }
        world.until("all are through", ms(30_000), |world| {
            let mut jobs = world.ledger.jobs();
            jobs.all(|(_, job)| job.state == JobState::Completed)
        });
    }
}

/// A step of the world's time.
const TICK: Duration = ms(5);
/// How often a task may fail.
const MAX_ATTEMPTS: u32 = 3;
/// Steps within which something that is forced happens.
const MAX_TICKS: u32 = 60;
/// The job that each forced order of events is about, and its only task.
const JOB: u64 = 1;
const TASK: TaskId = TaskId {
    step: StepId {
        job: JOB,
        occurrence: 0,
        step: 0,
    },
    task: 0,
};

/// Three hosts whose agents keep their ids, and one of another pool.
fn three_hosts() -> World {
    let mut world = World::new(0, 1);
    world.keeps = 1.0;
    world.counts = true;
    for host in 1..=3 {
        world.host(&format!("h{host}"), POOL);
    }
    world.host("h4", OTHER);
    world.pass(ms(500));
    world
}

/// A host whose agent keeps its id and is heard late when it has started again, and one of another pool.
fn one_host() -> World {
    let mut world = World::new(0, 1);
    world.keeps = 1.0;
    world.host("h1", POOL);
    world.host("h4", OTHER);
    world.pass(ms(500));
    world.quiet = true;
    world
}

/// Has an agent end while the start of a task of so many milliseconds is under way to it; who is the next one
/// there.
fn restart_during_start(world: &mut World, millis: u64) -> MinionId {
    let starts = world.sent.get("start").copied().unwrap_or_default();
    world.submit(JOB, JobSpec::new("x", vec![step(1, 1, millis)]));
    world.until("its start is under way", ms(500), |world| {
        world.sent.get("start").copied().unwrap_or_default() > starts
    });
    let former = world.placed(JOB).unwrap();
    world.reboot(&former).unwrap()
}

/// Plays on until the job is through and its ends are taken note of; whether the task was started again
/// though a run of it had ended well, and whether that was taken note of.
fn complete_and_check(mut world: World) -> (bool, bool) {
    world.until("the job is through", ms(20_000), |world| {
        world.state(JOB) == Some(JobState::Completed)
    });
    world.pass(ms(3000));
    (!world.repeated.is_empty(), !world.redone.is_empty())
}

/// No order of events out of some, by their numbers, has a task started again though a run of it had ended
/// well.
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
        "in {failing} of {count} orders of events a done task was started again: {reruns:?}; in {acknowledged_count} of them its end was taken note of"
    );
}

/// A task ran to its end at the next incarnation, which wasn't heard before the earlier one was over, and was
/// started again.
#[test]
fn a_task_done_by_an_unknown_incarnation_is_not_started_again() {
    assert_no_rerun(0..MAX_TICKS, |ticks| {
        let mut world = three_hosts();
        world.quiet = true;
        let next = restart_during_start(&mut world, 1000);
        world.pass(TICK * ticks);
        world.finish(&next, TASK);
        world
    });
}

/// A task ended at the next incarnation after that had listed it as running and before the stop came, and
/// was started again before the next list.
#[test]
fn a_task_that_ends_between_a_report_and_a_stop_is_not_started_again() {
    assert_no_rerun(0..MAX_TICKS, |ticks| {
        let mut world = three_hosts();
        let next = restart_during_start(&mut world, 1000);
        world.pass(TICK * ticks);
        world.finish(&next, TASK);
        world
    });
}

/// A start came to the next incarnation after its first list, and the task ended before the stop came; it
/// was started again before the next list.
#[test]
fn a_task_that_starts_after_a_report_and_ends_before_a_stop_is_not_started_again() {
    assert_no_rerun(0..MAX_TICKS, |ticks| {
        let mut world = three_hosts();
        world.back = ms(40);
        world.lags.insert("start", TICK * ticks);
        restart_during_start(&mut world, 10);
        world
    });
}

/// A leader followed after the earlier incarnation had been found to be over, and started the task again
/// before it had seen what the next one had done.
#[test]
fn a_task_done_by_an_unknown_incarnation_is_not_started_again_by_the_next_leader() {
    assert_no_rerun(0..MAX_TICKS, |ticks| {
        let mut world = three_hosts();
        world.quiet = true;
        restart_during_start(&mut world, 20);
        world.pass(TICK * ticks);
        world.depose();
        world.pass(ms(100));
        world.lead();
        world
    });
}

/// The same beside a task that ends at any time after the next leader has begun.
#[test]
fn a_task_that_ends_between_a_report_and_a_stop_is_not_started_again_by_the_next_leader() {
    assert_no_rerun(0..MAX_TICKS, |ticks| {
        let mut world = three_hosts();
        world.quiet = true;
        let next = restart_during_start(&mut world, 1000);
        world.pass(ms(5));
        world.depose();
        world.pass(ms(100));
        world.lead();
        world.pass(TICK * ticks);
        world.finish(&next, TASK);
        world
    });
}

/// By the younger clock of the next incarnation the lease of a start ends later than was counted: the task
/// could be started elsewhere, as that incarnation is cut off, and still run there.
#[test]
fn a_task_at_the_next_incarnation_runs_no_longer_than_the_leader_assumes() {
    let mut world = three_hosts();
    world.pass(ms(10_000));
    world.quiet = true;
    let next = restart_during_start(&mut world, 5000);
    world.pass(TICK * 3);
    world.cut(&next, ms(9000));
    world.until("the job is through", ms(30_000), |world| {
        world.state(JOB) == Some(JobState::Completed)
    });
}

/// A task failed at incarnations that got what was meant for the one before, and none of these ends counted
/// as an attempt.
#[test]
fn a_failure_at_the_next_incarnation_counts_as_an_attempt() {
    let mut world = three_hosts();
    // The ends of hosts aren't held against it, and each next incarnation is heard and told that its
    // end is known before the task is free.
    world.protections.suspicion = false;
    world.stopping = ms(4000);
    world.depose();
    world.lead();
    world.pass(ms(2000));
    world.faults.failing = 1.0;
    restart_during_start(&mut world, 5);
    for attempt in 2..=MAX_ATTEMPTS + 1 {
        let starts = world.sent["start"];
        world.until("the job has failed, or is tried again", ms(6000), |world| {
            world.sent["start"] > starts || world.state(JOB) == Some(JobState::Failed)
        });
        let former = world.placed(JOB).filter(|_| attempt <= MAX_ATTEMPTS);
        former.and_then(|former| world.reboot(&former));
        world.pass(TICK * 2);
    }
    world.pass(ms(1500));
    let (starts, failures) = (
        world.starts[&TASK],
        world.failures.get(&TASK).copied().unwrap_or_default(),
    );
    assert!(
        starts <= MAX_ATTEMPTS || failures < MAX_ATTEMPTS,
        "{starts} starts, and {failures} ends of failed ones were taken note of"
    );
}

/// A task was done at the next incarnation, after the earlier one had been found to be over and before it was
/// placed again; it was suspected of that end for ever, and the step after it never began.
#[test]
fn a_step_after_a_suspect_done_by_the_next_incarnation_starts() {
    let mut world = one_host();
    let mut steps = vec![step(1, 1, 20), step(1, 1, 20)];
    steps[1].after = vec![0];
    world.submit(JOB, JobSpec::new("x", steps));
    world.until("its start is under way", ms(500), |world| {
        world.sent.contains_key("start")
    });
    let former = world.placed(JOB).unwrap();
    world.reboot(&former);
    world.until("the job is through", ms(20_000), |world| {
        world.state(JOB) == Some(JobState::Completed)
    });
}

/// An acknowledgement for one life was overtaken by a start, and the next life forgot the end of what it had
/// started.
#[test]
fn an_acknowledgement_overtaken_by_a_start_makes_the_next_incarnation_forget_nothing() {
    assert_no_rerun(0..MAX_TICKS, |ticks| {
        let mut world = three_hosts();
        world.submit(9, JobSpec::new("x", vec![step(9, 2, 200)]));
        world.until("others are through", ms(3000), |world| {
            world.state(9) == Some(JobState::Completed)
        });
        world.lags.insert("renew", ms(100));
        world.pass(TICK * ticks);
        restart_during_start(&mut world, 10);
        world
    });
}

/// Short tasks at agents that start again in series, beside lost and late answers, jobs that are cancelled and
/// leaders that follow each other; what was started again though a run of it had ended well.
fn simulate_random(seed: u64, id_reuse: f64) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x4e77);
    let mut world = World::new(0, seed);
    world.keeps = id_reuse;
    world.counts = true;
    for host in 1..=4 {
        world.host(&format!("h{host}"), POOL);
    }
    world.host("h5", OTHER);
    world.pass(ms(300));
    world.quiet = rng.random_bool(0.5);
    world.jitter = ms(rng.random_range(0..30));
    world.faults.lost = [0.0, 0.03][rng.random_range(0..2)];
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
                    // Its host may be away for a move.
                    if let Some(agent) = world.living(&host) {
                        world.reboot(&agent);
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
    world.until("all are over", ms(60_000), |world| {
        world.ledger.jobs().all(|(_, job)| job.has_ended())
    });
    world.pass(ms(3000));
    world.redone
}

/// The seeds on which something was started again though a run of it had ended well, or a check of an agent
/// failed.
fn failing_seeds(id_reuse: f64) -> Vec<String> {
    let mut failing = Vec::new();
    for seed in seeds() {
        match panic::catch_unwind(|| simulate_random(seed, id_reuse)) {
            Ok(reruns) if reruns.is_empty() => {}
            Ok(reruns) => failing.push(format!("{seed}: {} were redone", reruns.len())),
            Err(_) => failing.push(format!("{seed}: a check of an agent")),
        }
    }
    failing
}

/// All of it by chance, on many seeds.
#[test]
fn no_done_task_is_started_again_where_agents_restart_repeatedly() {
    let failing = failing_seeds(1.0);
    assert!(failing.is_empty(), "{} seeds: {failing:#?}", failing.len());
}

/// The same where each life has an id of its own.
#[test]
fn no_done_task_is_started_again_where_agents_are_replaced_repeatedly() {
    let failing = failing_seeds(0.0);
    assert!(failing.is_empty(), "{} seeds: {failing:#?}", failing.len());
}

/// The seeds that the environment names, or those of every run.
fn seeds() -> RangeInclusive<u64> {
    let Ok(range) = std::env::var(SEEDS_VARIABLE) else {
        return 0..=SEEDS;
    };
    let (first, last) = range.split_once('-').expect("FIRST-LAST");
    first.parse().unwrap()..=last.parse().unwrap()
}
