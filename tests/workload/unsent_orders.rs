//! Orders to agents that find no connection in time and are never sent.

use egretpin::core::workload::{job::JobState, scheduler::Scheduler, spec::JobSpec};

use crate::{
    faults::{ALL_FAULTS, play},
    world::{Faults, World, long_running, ms, step},
};

/// Tasks of the long-running job, and the jobs beside it.
const TASKS: usize = 10;
const JOBS: std::ops::RangeInclusive<u64> = 2..=9;

/// Agents were taken for silent, and attempts for ones that may run, by orders that had waited in the
/// node and never left.
#[test]
fn orders_that_never_left_are_not_held_against_their_agents() {
    for seed in 0..8 {
        let mut world = World::new(20, seed);
        world.submit(1, JobSpec::new("x", vec![long_running(10, 2)]));
        world.until("all run", ms(3000), |world| world.runs(1).len() == TASKS);
        world.faults.unsent_orders = 0.4;
        for job in JOBS {
            world.submit(job, JobSpec::new("x", vec![step(6, 1, 400)]));
            for _ in 0..10 {
                world.pass(ms(50));
                let unresponsive = world.scheduler.as_ref().map_or(0, Scheduler::unresponsive);
                assert_eq!(unresponsive, 0, "seed {seed}: agents that are well");
            }
        }
        world.faults = Faults::default();
        world.pass(ms(5000));
        assert_eq!(world.lapsed_runs, 0, "seed {seed}");
        for job in JOBS {
            assert_eq!(world.state(job), Some(JobState::Completed), "seed {seed}");
        }
        let again = world.starts.values().filter(|starts| **starts > 1);
        assert_eq!(again.count(), 0, "seed {seed}: tasks were started again");
    }
}

/// The checks of the world hold where such orders come beside all other faults.
#[test]
fn nothing_runs_twice_where_orders_never_leave_beside_other_faults() {
    let faults = Faults {
        unsent_orders: 0.1,
        ..ALL_FAULTS
    };
    for seed in 500..512 {
        play(World::new(6, seed), seed, faults, true);
    }
}
