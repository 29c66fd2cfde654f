//! The renewals of agents with long-running tasks, and what the leader says when they aren't
//! answered.
//!
//! Long-running tasks ended with the leases of agents that were well, under a leader that took the
//! tasks for running and said nothing.

use egretpin::core::workload::{job::JobState, scheduler::OverdueRenewals, spec::JobSpec};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::world::{World, long_running, ms, step};

const LONG_RUNNING: u64 = 1;
const TASKS: usize = 3;
/// The number of seeds.
const SEEDS: u64 = 50;

/// A world of four hosts whose long-running job takes five cores of each of three.
fn world(seed: u64) -> World {
    let mut world = World::new(4, seed);
    let job = JobSpec::new("x", vec![long_running(3, 5)]);
    world.submit(LONG_RUNNING, job);
    world.until("all run", ms(4000), |world| {
        world.runs(LONG_RUNNING).len() == TASKS
    });
    world
}

fn overdue(world: &World) -> Option<OverdueRenewals> {
    world
        .scheduler
        .as_ref()
        .unwrap()
        .overdue_renewals(world.now)
}

/// All long-running tasks run, none has lapsed, and no renewal is overdue.
fn assert_renewed(world: &World, seed: u64) {
    assert_eq!(overdue(world), None, "seed {seed}");
    assert_eq!(world.lapsed_runs, 0, "seed {seed}");
    assert_eq!(world.runs(LONG_RUNNING).len(), TASKS, "seed {seed}");
}

#[test]
fn nothing_is_overdue_while_agents_answer() {
    let mut world = world(1);
    for _ in 0..200 {
        world.pass(ms(100));
        assert_eq!(overdue(&world), None);
        let age = world.scheduler.as_ref().unwrap().renewal_age(world.now);
        assert!(age < ms(2000), "{age:?}");
    }
}

#[test]
fn an_agent_that_answers_no_renewal_is_reported_until_its_lease_has_expired() {
    let mut world = world(1);
    world.pass(ms(3000));
    let (agent, _) = world.runs(LONG_RUNNING)[0].clone();
    // Its heartbeats go on.
    world.block_orders(&agent, ms(20_000));
    world.pass(ms(4600));
    let Some(reported) = overdue(&world) else {
        panic!("nothing is reported");
    };
    let OverdueRenewals {
        running,
        overdue: tasks,
        agents,
        failing,
        agent: at,
        age,
        unanswered,
        ..
    } = reported;
    assert_eq!((running, tasks, agents, failing), (TASKS, 1, 1, 1));
    assert_eq!(at, agent);
    assert!(age >= ms(3000), "{age:?}");
    assert!(unanswered.is_some_and(|since| since <= age));
    world.pass(ms(10_000));
    assert_eq!(overdue(&world), None);
}

/// A plan's orders that were never sent left its renewals pending for good: no further renewal
/// followed, and the leases of well agents expired.
#[test]
fn a_leader_whose_lease_expires_while_it_plans_renews_afterwards() {
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x1ea5e);
        let mut world = world(seed);
        for job in 2..=10 {
            let (tasks, millis) = (rng.random_range(1..6), rng.random_range(100..2000));
            world.submit(job, JobSpec::new("x", vec![step(tasks, 1, millis)]));
            world.pass(ms(rng.random_range(0..1500)));
            world.lease_expires = true;
        }
        world.pass(ms(10_000));
        assert_renewed(&world, seed);
    }
}

/// What was planned while consensus accepted nothing was lost with the plan: rounds stayed open for
/// good, so that nothing was started any more, and no end was acknowledged.
#[test]
fn a_leader_whose_proposals_arent_accepted_for_a_while_loses_nothing() {
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xf011);
        let mut world = world(seed);
        for job in 2..=10 {
            world.backlog = if rng.random_bool(0.5) { 0 } else { 4 };
            let (tasks, millis) = (rng.random_range(1..6), rng.random_range(100..2000));
            world.submit(job, JobSpec::new("x", vec![step(tasks, 1, millis)]));
            world.pass(ms(rng.random_range(0..4000)));
            world.backlog = usize::MAX;
            world.pass(ms(rng.random_range(0..100)));
        }
        world.pass(ms(10_000));
        assert_renewed(&world, seed);
        for job in 2..=10 {
            assert_eq!(world.state(job), Some(JobState::Completed), "seed {seed}");
        }
    }
}

/// What is committed all at once was never committed where it was more than a log accepts.
#[test]
fn more_ends_of_agents_than_a_log_accepts_are_committed() {
    for seed in 0..SEEDS {
        let mut world = World::new(12, seed);
        world.submit(LONG_RUNNING, JobSpec::new("x", vec![long_running(12, 5)]));
        world.until("all run", ms(4000), |world| {
            world.runs(LONG_RUNNING).len() == 12
        });
        world.max_backlog = 6;
        let agents: Vec<_> = world.ledger.agents().map(|a| a.id.clone()).collect();
        let lost = &agents[..10];
        for agent in lost {
            world.crash(agent);
        }
        world.pass(ms(10_000));
        let known = |id: &&_| world.ledger.agent(id).is_some();
        assert_eq!(lost.iter().find(known), None, "seed {seed}");
    }
}
