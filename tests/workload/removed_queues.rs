//! Jobs of a queue that the catalog no longer declares: they keep what held when they were accepted.

use egretpin::core::workload::{
    catalog::{Catalog, QueueSpec},
    job::JobState,
    spec::{JobSpec, StepSpec},
};

use super::world::{QUEUE, RESTRICTED_QUEUE, World, ms};

fn job() -> JobSpec {
    let mut step = StepSpec::new(1, ms(300));
    step.need.millicores = 1000;
    JobSpec::new("x", vec![step])
}

/// The catalog with another number of attempts for its queues.
fn with_attempts(catalog: &Catalog, attempts: u32) -> Catalog {
    let queues = catalog.queues.iter().map(|queue| QueueSpec {
        max_attempts: attempts,
        ..queue.clone()
    });
    Catalog::new(catalog.version + 1, queues.collect(), catalog.pools.clone())
}

/// The catalog without any queue.
fn without_queues(catalog: &Catalog) -> Catalog {
    Catalog::new(catalog.version + 1, Vec::new(), catalog.pools.clone())
}

/// How often the task of a job is started that always fails, if its queue is removed after it was accepted.
fn starts_after_removal(attempts: u32, takeover: bool) -> u32 {
    let mut world = World::new(2, u64::from(attempts));
    world.faults.failed_attempts = 1.0;
    let catalog = with_attempts(world.catalog(), attempts);
    world.set_catalog(catalog);
    world.submit(1, job());
    world.pass(ms(50));
    let catalog = without_queues(world.catalog());
    world.set_catalog(catalog);
    if takeover {
        world.depose();
        world.lead();
    }
    world.until("it has failed", ms(20_000), |world| {
        world.state(1) == Some(JobState::Failed)
    });
    world.starts.values().sum()
}

/// Three attempts were allowed, whatever the queue had allowed.
#[test]
fn jobs_of_a_removed_queue_get_as_many_attempts_as_it_allowed() {
    for attempts in [1, 2, 4, 6] {
        for takeover in [false, true] {
            let starts = starts_after_removal(attempts, takeover);
            assert_eq!(starts, attempts, "takeover: {takeover}");
        }
    }
}

/// Starts without a grant were refused, again and again.
#[test]
fn jobs_of_a_removed_queue_still_run_only_where_they_may() {
    let mut world = World::new(4, 7);
    world.submit_to(RESTRICTED_QUEUE, 1, job());
    world.pass(ms(20));
    assert!(world.starts.is_empty());
    let catalog = without_queues(world.catalog());
    world.set_catalog(catalog);
    world.until("it is complete", ms(3000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
}

/// What a job keeps may not hide a change of its queue.
#[test]
fn jobs_of_a_declared_queue_follow_the_catalog() {
    let mut world = World::new(2, 8);
    world.faults.failed_attempts = 1.0;
    world.submit(1, job());
    world.pass(ms(50));
    let catalog = with_attempts(world.catalog(), 5);
    world.set_catalog(catalog);
    assert!(world.catalog().queue(QUEUE).is_some());
    world.until("it has failed", ms(20_000), |world| {
        world.state(1) == Some(JobState::Failed)
    });
    assert_eq!(world.starts.values().sum::<u32>(), 5);
}
