//! A rush that ends in one pool while another's begins.
//!
//! The first pool's hosts each run a little and don't become empty by themselves, as new work goes on
//! coming in. Its hosts beyond its need are to leave for the other pool within a task's time.

use std::time::Duration;

use egretpin::core::workload::spec::{JobSpec, StepSpec};

use crate::world::{OTHER_POOL, OTHER_QUEUE, POOL, QUEUE, World, ms, step};

/// Hosts of the other pool.
fn others(world: &World) -> usize {
    let hosts = world.hosts.values();
    hosts.filter(|host| &*host.pool == OTHER_POOL).count()
}

/// A step whose tasks are on hosts of their own, as many as the first pool has.
fn apart() -> StepSpec {
    let mut step = step(10, 1, 900);
    step.per_host = Some(1);
    step
}

/// A pool that runs a little on each of its hosts, all of the time, and another whose rush begins.
fn turn(seed: u64) -> World {
    let mut world = World::new(10, seed);
    world.add_host("h20", OTHER_POOL);
    world.pass(ms(3000));
    work(&mut world, 1, ms(1500));
    for job in 21..=26 {
        world.submit_to(OTHER_QUEUE, job, JobSpec::new("x", vec![step(4, 8, 4000)]));
    }
    world
}

/// Work of the first pool goes on coming for a while.
fn work(world: &mut World, first: u64, span: Duration) {
    let end = world.now + span;
    for job in first.. {
        if world.now >= end {
            return;
        }
        world.submit_to(QUEUE, job, JobSpec::new("x", vec![apart()]));
        world.pass(ms(300));
    }
}

#[test]
fn hosts_beyond_a_pools_need_are_emptied_for_another() {
    for seed in 0..8 {
        let mut world = turn(seed);
        work(&mut world, 100, ms(1800));
        let moved = others(&world);
        assert!(moved >= 4, "seed {seed}: {moved}");
    }
}

#[test]
fn no_task_is_ended_for_it() {
    let mut world = turn(3);
    world.pass(ms(8000));
    let twice = world.starts.values().filter(|starts| **starts > 1).count();
    assert_eq!(twice, 0, "each task ran through where it was");
}

#[test]
fn a_host_that_is_needed_again_is_kept() {
    let mut world = turn(5);
    world.pass(ms(100));
    // The first pool's rush comes back before its hosts are empty.
    for job in 100..130 {
        world.submit_to(QUEUE, job, JobSpec::new("x", vec![step(2, 4, 1500)]));
    }
    world.pass(ms(3000));
    let there = world.hosts.values().filter(|host| &*host.pool == POOL);
    let there = there.count();
    assert!(there >= 3, "{there} hosts are where half of the work is");
}
