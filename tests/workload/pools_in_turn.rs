//! Pools that compete for the starts of a leader, of which a round of the log holds a limited number.
//!
//! The test guards against a pool that got no start for as long as a pool before it by name had work to
//! start: its long-running tasks were away for ten seconds and more, and its jobs were late, while its
//! hosts were idle.

use std::time::Duration;

use egretpin::core::workload::{scheduler::Scheduler, spec::JobSpec};

use crate::world::{OTHER_POOL, OTHER_QUEUE, Processor, QUEUE, World, long_running, ms, step};

/// The hosts of the pool with a large backlog.
const HOSTS: usize = 100;
/// The jobs of its backlog, of a hundred short tasks each: more than is started in a second.
const BACKLOG: u64 = 200;
/// A leader whose rounds are full as long as there is a backlog.
const PROCESSOR: Processor = Processor {
    input: Duration::from_micros(100),
    visit: Duration::ZERO,
    order: Duration::from_millis(1),
};
/// The long-running jobs of the other pool; the second is submitted beside the backlog.
const LONG_RUNNING: u64 = 1000;
const SECOND: u64 = 1001;

/// Returns a world in which the pool that comes first by name has a large backlog and room for it.
fn world_with_backlog(seed: u64) -> World {
    let mut world = World::new(4, seed);
    // Keeps the hosts of its pool there.
    world.submit(LONG_RUNNING, JobSpec::new("x", vec![long_running(4, 1)]));
    for host in 10..10 + HOSTS {
        world.add_host(&format!("h{host}"), OTHER_POOL);
    }
    world.pass(ms(2000));
    world.processor = Some(PROCESSOR);
    for job in 1..=BACKLOG {
        let spec = JobSpec::new("x", vec![step(100, 1, 20)]);
        world.submit_to(OTHER_QUEUE, job, spec);
    }
    world.pass(ms(300));
    world
}

#[test]
fn a_backlog_of_one_pool_does_not_keep_another_from_starting() {
    for seed in 0..3 {
        let mut world = world_with_backlog(seed);
        let spec = JobSpec::new("x", vec![long_running(3, 1)]);
        world.submit_to(QUEUE, SECOND, spec);
        world.pass(ms(1000));
        let waiting = world.scheduler.as_ref().map_or(0, Scheduler::waiting);
        assert!(waiting > 0, "seed {seed}: the backlog is still there");
        assert_eq!(world.runs(SECOND).len(), 3, "seed {seed}");
    }
}
