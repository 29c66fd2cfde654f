//! What the leader says about long-running tasks that have been away for too long.
//!
//! A long-running task that didn't run for half a minute, though a host had room for it, left no
//! trace of what held it back: an attempt that might still run, or no agent that could take it.

use egretpin::core::workload::{
    scheduler::{Candidates, DelayReason, DelayedTask},
    spec::JobSpec,
};

use crate::world::{World, long_running, ms, step};

const LONG_RUNNING: u64 = 1;

/// A world of four hosts whose long-running job of three tasks takes five cores of each of three.
fn world() -> World {
    let mut world = World::new(4, 1);
    let job = JobSpec::new("x", vec![long_running(3, 5)]);
    world.submit(LONG_RUNNING, job);
    world.until("all run", ms(4000), |world| {
        world.runs(LONG_RUNNING).len() == 3
    });
    world
}

fn delayed(world: &World) -> Vec<DelayedTask> {
    let scheduler = world.scheduler.as_ref().unwrap();
    scheduler.delayed_tasks(world.now, &world.ledger)
}

#[test]
fn no_task_is_reported_that_runs_or_was_just_lost() {
    let mut world = world();
    world.pass(ms(6000));
    assert_eq!(delayed(&world), []);
    let (agent, _) = world.runs(LONG_RUNNING)[0].clone();
    world.crash(&agent);
    world.until("all run again", ms(4000), |world| {
        assert_eq!(delayed(world), []);
        world.runs(LONG_RUNNING).len() == 3
    });
}

#[test]
fn a_task_that_fits_on_no_host_is_reported_with_what_the_agents_lack() {
    let mut world = world();
    // It leaves four cores of the one host without a long-running task.
    world.submit(2, JobSpec::new("x", vec![step(1, 4, 60_000)]));
    world.pass(ms(1000));
    let (agent, task) = world.runs(LONG_RUNNING)[0].clone();
    world.crash(&agent);
    world.pass(ms(8000));
    let reported = delayed(&world);
    let [
        DelayedTask {
            task: of,
            away,
            reason: DelayReason::Waiting(candidates),
        },
    ] = &reported[..]
    else {
        panic!("{reported:?}");
    };
    assert_eq!(*of, task);
    assert!(*away >= ms(3000), "{away:?}");
    let Candidates {
        agents,
        accepting,
        roomy,
        able,
        hosts_ended,
        capped,
        ..
    } = *candidates;
    assert_eq!(
        (agents, accepting, roomy, able),
        (3, 3, 0, 0),
        "{candidates:?}"
    );
    assert_eq!((hosts_ended, capped), (1, false));
}

#[test]
fn a_task_whose_agent_is_silent_is_reported_until_it_is_started_elsewhere() {
    let mut world = world();
    let (agent, task) = world.runs(LONG_RUNNING)[0].clone();
    // The agent runs on behind a cut, so that the provider's lists show nothing.
    world.disconnect(&agent, ms(60_000));
    world.pass(ms(5500));
    let reported = delayed(&world);
    let [
        DelayedTask {
            task: of, reason, ..
        },
    ] = &reported[..]
    else {
        panic!("{reported:?}");
    };
    assert_eq!(*of, task);
    let DelayReason::Unresponsive {
        agent: at,
        attempt: 1,
        unheard,
        expires: Some(expires),
    } = reason
    else {
        panic!("{reason:?}");
    };
    assert_eq!(*at, agent);
    assert!(*unheard >= ms(3000), "{unheard:?}");
    world.pass(*expires + ms(3000));
    assert_eq!(delayed(&world), []);
    assert_eq!(world.runs(LONG_RUNNING).len(), 3);
}
