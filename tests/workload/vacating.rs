//! A surge of demand that ends in one pool while another pool's surge begins.
//!
//! Each host of the first pool runs a few tasks and doesn't become empty by itself, because new
//! work keeps arriving. The hosts that the pool doesn't need must move to the other pool within the
//! run time of a task.

use std::time::Duration;

use egretpin::core::workload::spec::{JobSpec, StepSpec};

use crate::world::{OTHER_POOL, OTHER_QUEUE, POOL, QUEUE, World, ms, step};

/// The number of hosts of the other pool.
fn other_hosts(world: &World) -> usize {
    let hosts = world.hosts.values();
    hosts.filter(|host| &*host.pool == OTHER_POOL).count()
}

/// A step with as many tasks as the first pool has hosts, each on a host of its own.
fn spread_step() -> StepSpec {
    let mut step = step(10, 1, 900);
    step.per_host = Some(1);
    step
}

/// A world with a pool that always runs a few tasks on each of its hosts, and another pool whose
/// surge begins.
fn surge_in_other_pool(seed: u64) -> World {
    let mut world = World::new(10, seed);
    world.add_host("h20", OTHER_POOL);
    world.pass(ms(3000));
    submit_work(&mut world, 1, ms(1500));
    for job in 21..=26 {
        world.submit_to(OTHER_QUEUE, job, JobSpec::new("x", vec![step(4, 8, 4000)]));
    }
    world
}

/// Keeps submitting work of the first pool for a while.
fn submit_work(world: &mut World, first: u64, span: Duration) {
    let end = world.now + span;
    for job in first.. {
        if world.now >= end {
            return;
        }
        world.submit_to(QUEUE, job, JobSpec::new("x", vec![spread_step()]));
        world.pass(ms(300));
    }
}

#[test]
fn surplus_hosts_of_a_pool_are_emptied_for_another() {
    for seed in 0..8 {
        let mut world = surge_in_other_pool(seed);
        submit_work(&mut world, 100, ms(1800));
        let moved = other_hosts(&world);
        assert!(moved >= 4, "seed {seed}: {moved}");
    }
}

#[test]
fn no_task_is_stopped_to_empty_a_host() {
    let mut world = surge_in_other_pool(3);
    world.pass(ms(8000));
    let twice = world.starts.values().filter(|starts| **starts > 1).count();
    assert_eq!(twice, 0, "each task ran to its end where it was");
}

#[test]
fn a_host_that_is_needed_again_is_kept() {
    let mut world = surge_in_other_pool(5);
    world.pass(ms(100));
    // The demand of the first pool returns before its hosts are empty.
    for job in 100..130 {
        world.submit_to(QUEUE, job, JobSpec::new("x", vec![step(2, 4, 1500)]));
    }
    world.pass(ms(3000));
    let kept = world.hosts.values().filter(|host| &*host.pool == POOL);
    let kept = kept.count();
    assert!(
        kept >= 3,
        "{kept} hosts are in the pool that has half of the work"
    );
}
