//! Steps that only some agents may run, as the eligibility service decides.

use egretpin::core::workload::{job::JobState, spec::JobSpec};

use crate::world::{RESTRICTED_QUEUE, World, is_even, ms, step};

fn submit_restricted(world: &mut World, jobs: std::ops::RangeInclusive<u64>) {
    for job in jobs {
        let mut second = step(2, 2, 300);
        second.after = vec![0];
        world.submit_to(
            RESTRICTED_QUEUE,
            job,
            JobSpec::new("x", vec![step(4, 2, 300), second]),
        );
    }
}

fn is_complete(world: &World, job: u64) -> bool {
    world.state(job) == Some(JobState::Completed)
}

#[test]
fn tasks_run_only_where_the_service_allows() {
    let mut world = World::new(6, 1);
    world.pass(ms(500));
    submit_restricted(&mut world, 1..=3);
    world.until("all jobs complete", ms(8000), |world| {
        for (agent, _) in (1..=3).flat_map(|job| world.runs(job)) {
            assert!(
                is_even(&world.agents[&agent].host),
                "{agent} isn't eligible"
            );
        }
        (1..=3).all(|job| is_complete(world, job))
    });
    // One query for each step, because there are few agents.
    assert_eq!(world.service_queries, 6, "no query is repeated");
}

#[test]
fn an_expired_grant_is_requested_again() {
    let mut world = World::new(2, 2);
    world.pass(ms(500));
    // Only one host is eligible. It runs the tasks of the step in two batches, and the grant
    // expires before the second.
    world.submit_to(
        RESTRICTED_QUEUE,
        1,
        JobSpec::new("x", vec![step(4, 4, 4000)]),
    );
    world.until("the job completes", ms(12_000), |world| {
        is_complete(world, 1)
    });
    assert!(
        world.service_queries >= 2,
        "{} queries",
        world.service_queries
    );
    assert!(world.starts.values().all(|starts| *starts == 1));
}

#[test]
fn an_unavailable_service_is_queried_until_it_is_back() {
    let mut world = World::new(4, 3);
    world.pass(ms(500));
    world.service_down = true;
    submit_restricted(&mut world, 1..=1);
    world.pass(ms(3000));
    assert!(world.runs(1).is_empty(), "nothing runs without a grant");
    assert!(
        (5..=15).contains(&world.service_queries),
        "{} queries",
        world.service_queries
    );
    world.service_down = false;
    world.until("the job completes", ms(3000), |world| is_complete(world, 1));
}

#[test]
fn a_new_leader_queries_the_service_itself() {
    let mut world = World::new(6, 4);
    world.pass(ms(500));
    submit_restricted(&mut world, 1..=4);
    world.pass(ms(350));
    world.depose();
    world.pass(ms(800));
    world.lead();
    world.until("all jobs complete", ms(12_000), |world| {
        (1..=4).all(|job| world.state(job).is_none() || is_complete(world, job))
    });
}
