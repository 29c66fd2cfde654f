//! Steps that only some agents may run, as a service says.

use egretpin::core::workload::{job::JobState, spec::JobSpec};

use crate::world::{RESTRICTED_QUEUE, World, is_even, ms, step};

fn guided(world: &mut World, jobs: std::ops::RangeInclusive<u64>) {
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

fn is_through(world: &World, job: u64) -> bool {
    world.state(job) == Some(JobState::Completed)
}

#[test]
fn tasks_run_only_where_the_service_allows() {
    let mut world = World::new(6, 1);
    world.pass(ms(500));
    guided(&mut world, 1..=3);
    world.until("all jobs are through", ms(8000), |world| {
        for (agent, _) in (1..=3).flat_map(|job| world.runs(job)) {
            assert!(is_even(&world.agents[&agent].host), "{agent} isn't allowed");
        }
        (1..=3).all(|job| is_through(world, job))
    });
    // One question a step, as its agents are few.
    assert_eq!(world.service_queries, 6, "no step is asked about again");
}

#[test]
fn a_grant_that_has_run_out_is_asked_for_again() {
    let mut world = World::new(2, 2);
    world.pass(ms(500));
    // One host is allowed, and takes two rounds of a step; the grant holds for less.
    world.submit_to(
        RESTRICTED_QUEUE,
        1,
        JobSpec::new("x", vec![step(4, 4, 4000)]),
    );
    world.until("the job is through", ms(12_000), |world| {
        is_through(world, 1)
    });
    assert!(
        world.service_queries >= 2,
        "{} questions",
        world.service_queries
    );
    assert!(world.starts.values().all(|starts| *starts == 1));
}

#[test]
fn a_service_that_is_away_is_asked_until_it_is_back() {
    let mut world = World::new(4, 3);
    world.pass(ms(500));
    world.service_down = true;
    guided(&mut world, 1..=1);
    world.pass(ms(3000));
    assert!(world.runs(1).is_empty(), "nothing runs without a grant");
    assert!(
        (5..=15).contains(&world.service_queries),
        "{} questions",
        world.service_queries
    );
    world.service_down = false;
    world.until("the job is through", ms(3000), |world| is_through(world, 1));
}

#[test]
fn a_later_leader_asks_for_itself() {
    let mut world = World::new(6, 4);
    world.pass(ms(500));
    guided(&mut world, 1..=4);
    world.pass(ms(350));
    world.depose();
    world.pass(ms(800));
    world.lead();
    world.until("all jobs are through", ms(12_000), |world| {
        (1..=4).all(|job| world.state(job).is_none() || is_through(world, job))
    });
}
