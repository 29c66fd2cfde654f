//! Long-running tasks under a leader whose orders and proposals are held up, refused and lost.
//!
//! Long-running tasks ended with the leases of agents that were well while a leader was in office,
//! as the leader waited for answers to what was never sent.

use std::ops::RangeInclusive;

use egretpin::core::workload::{job::JobState, spec::JobSpec};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::world::{Faults, World, long_running, ms, step};

const LONG_RUNNING: u64 = 1;
const AGENTS: usize = 300;
const TASKS: u32 = 250;
/// The jobs beside the long-running one, one for each disturbance.
const JOBS: RangeInclusive<u64> = 2..=7;
/// A task that could be started waits for less than this time.
const PROMISE: u64 = 3000;
/// The seeds, unless the variable gives others as `FIRST-LAST`.
const SEEDS: RangeInclusive<u64> = 0..=1;
const SEEDS_VARIABLE: &str = "EGRETPIN_WORLD_SEEDS";

fn seeds() -> RangeInclusive<u64> {
    let Ok(range) = std::env::var(SEEDS_VARIABLE) else {
        return SEEDS;
    };
    let (first, last) = range
        .split_once('-')
        .expect("the seeds have the form FIRST-LAST");
    first.parse().unwrap()..=last.parse().unwrap()
}

fn running(world: &World) -> usize {
    world.runs(LONG_RUNNING).len()
}

/// Holds up the leader in one way that no agent can be blamed for, for a second at most where
/// orders are concerned.
fn disturb(world: &mut World, rng: &mut Pcg64Mcg) {
    match rng.random_range(0..4) {
        0 => world.lease_expires = true,
        1 => world.stalled_until = world.now + ms(rng.random_range(0..1000)),
        2 => world.backlog = rng.random_range(0..3),
        _ => {
            world.backlog = 0;
            world.lease_expires = true;
        }
    }
    world.pass(ms(rng.random_range(500..2500)));
    world.backlog = usize::MAX;
}

/// Rounds that were never proposed and orders that were never sent were waited for, so that leases
/// of agents that were well expired, and nothing was started any more.
#[test]
fn no_long_running_task_lapses_while_orders_and_proposals_are_held_up() {
    hold_up(seeds());
}

/// The tasks don't all run again in time with this seed, whatever the cause.
#[test]
fn long_running_tasks_run_again_in_time_with_seed_78() {
    hold_up(78..=78);
}

/// Holds up leaders, and checks what is promised of long-running tasks and of the other jobs.
fn hold_up(seeds: RangeInclusive<u64>) {
    let tasks = usize::try_from(TASKS).unwrap();
    for seed in seeds {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xd157);
        let mut world = World::new(AGENTS, seed);
        world.submit(
            LONG_RUNNING,
            JobSpec::new("x", vec![long_running(TASKS, 5)]),
        );
        world.until("all run", ms(10_000), |world| running(world) == tasks);
        world.jitter = ms(50);
        world.faults = Faults {
            lost_answers: 0.02,
            unwell_refusals: 0.1,
            ..Faults::default()
        };
        for job in JOBS {
            let (count, millis) = (rng.random_range(1..40), rng.random_range(100..2000));
            world.submit(job, JobSpec::new("x", vec![step(count, 1, millis)]));
            // The host of a task ends, too.
            let (agent, _) = world.runs(LONG_RUNNING)[rng.random_range(0..100)].clone();
            world.crash(&agent);
            disturb(&mut world, &mut rng);
            world.until("all run again", ms(PROMISE), |world| {
                running(world) == tasks
            });
        }
        world.faults = Faults::default();
        world.pass(ms(10_000));
        assert_eq!(world.lapsed_runs, 0, "seed {seed}");
        assert_eq!(running(&world), tasks, "seed {seed}");
        for job in JOBS {
            assert_eq!(world.state(job), Some(JobState::Completed), "seed {seed}");
        }
    }
}
