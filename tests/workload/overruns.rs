//! Tasks that take longer than estimated: they are done in the end, and cost other jobs no hosts.

use std::time::Duration;

use egretpin::core::{
    types::Now,
    workload::{
        job::JobState,
        spec::{JobSpec, StepSpec},
    },
};
use proptest::{prelude::*, test_runner::RngSeed};

use super::world::{World, ms};

/// The number of the job from which the scheduler learns that estimates are right.
const USUAL_JOB: u64 = 1000;

fn step(tasks: u32, estimate: Duration) -> StepSpec {
    let mut step = StepSpec::new(tasks, estimate);
    step.need.millicores = 500;
    step
}

/// A world in which enough tasks have taken as long as estimated for their limits to be known.
fn world(hosts: usize, seed: u64) -> World {
    let mut world = World::with_lease(hosts, seed, ms(10_000));
    world.submit(USUAL_JOB, JobSpec::new("x", vec![step(80, ms(500))]));
    world.until("estimates are known to be right", ms(5000), |world| {
        world.state(USUAL_JOB) == Some(JobState::Completed)
    });
    world
}

/// Submits a job whose tasks take `took`, whatever the estimate is.
fn submit(world: &mut World, job: u64, step: StepSpec, took: Duration) {
    world.run_times.insert(job, took);
    world.submit(job, JobSpec::new("x", vec![step]));
}

fn is_complete(world: &World, job: u64) -> bool {
    world.state(job) == Some(JobState::Completed)
}

/// The most starts of a task of a job.
fn most_starts(world: &World, job: u64) -> u32 {
    let starts = world.starts.iter();
    let own = starts.filter(|(task, _)| task.step.job == job);
    own.map(|(_, starts)| *starts).max().unwrap_or_default()
}

/// Tasks were stopped at three times their estimate and started again without end, and each stop kept its host from
/// new work for two seconds, so that whole jobs stood still beside free hosts.
#[test]
fn wide_jobs_of_underestimated_tasks_are_done_and_never_stand_still() {
    let mut world = world(8, 1);
    let estimates = [0, 300, 600, 900, 1200, 1500];
    for (job, estimate) in (1..).zip(estimates) {
        let mut step = step(8, ms(estimate));
        step.per_host = Some(1);
        submit(&mut world, job, step, ms(8000));
    }
    let mut idle_since = [world.now; 6];
    let mut longest = Duration::ZERO;
    let end = world.now + ms(25_000);
    while world.now < end {
        world.pass(ms(20));
        for (job, since) in (1..).zip(&mut idle_since) {
            if is_complete(&world, job) || !world.runs(job).is_empty() {
                *since = world.now;
            }
            longest = longest.max(world.now.saturating_sub(*since));
        }
    }
    for job in 1..=6 {
        assert!(is_complete(&world, job), "job {job} is done in 25 s");
        assert!(most_starts(&world, job) <= 3, "job {job}");
    }
    assert!(longest < ms(3000), "a job stands still for {longest:?}");
}

/// A task without an estimate was stopped after the slack alone.
#[test]
fn tasks_without_an_estimate_are_not_stopped_for_it() {
    let mut world = world(4, 2);
    submit(&mut world, 1, step(8, Duration::ZERO), ms(5000));
    world.until("it is complete", ms(7000), |world| is_complete(world, 1));
    assert_eq!(most_starts(&world, 1), 1);
}

/// A single task has no other task of its step that tells of its estimate.
#[test]
fn single_tasks_that_take_much_longer_than_estimated_are_done() {
    for (seed, estimate) in [(3, 200), (4, 500), (5, 1000), (6, 2000)] {
        let mut world = world(4, seed);
        for job in 1..=4 {
            submit(&mut world, job, step(1, ms(estimate)), ms(12_000));
        }
        // One attempt that is stopped, a stop, and one that isn't.
        world.until("they are complete", ms(24_000), |world| {
            (1..=4).all(|job| is_complete(world, job))
        });
        assert!(
            (1..=4).all(|job| most_starts(&world, job) <= 2),
            "estimate {estimate}"
        );
    }
}

/// How often a task was stopped has to survive a change of leaders.
#[test]
fn underestimated_tasks_are_done_across_leaders() {
    let mut world = world(4, 7);
    submit(&mut world, 1, step(1, ms(300)), ms(8000));
    let begun: Now = world.now;
    while !is_complete(&world, 1) {
        assert!(world.now < begun + ms(30_000), "it is done in 30 s");
        world.pass(ms(1900));
        world.depose();
        world.pass(ms(100));
        world.lead();
    }
    assert!(most_starts(&world, 1) <= 3);
}

/// Jobs with right estimates lost the hosts at which a task of another job took longer than estimated.
#[test]
fn an_underestimated_job_costs_other_jobs_no_host() {
    let mut world = world(1, 8);
    submit(&mut world, 1, step(4, ms(300)), ms(6000));
    for job in 2..=30 {
        submit(&mut world, job, step(2, ms(300)), ms(300));
        let begun = world.now;
        world.until("a usual job is done in time", ms(1500), |world| {
            is_complete(world, job)
        });
        let took = world.now.saturating_sub(begun);
        assert!(took < ms(1500), "job {job} took {took:?}");
    }
}

/// What the limit is good for: tasks of several jobs run too long at one host, and in time at others.
#[test]
fn tasks_at_a_hung_host_are_done_elsewhere_though_other_jobs_are_underestimated() {
    let mut world = world(6, 9);
    let hung = world.agents.keys().next().cloned().unwrap();
    world.agents.get_mut(&hung).unwrap().slowdown = 1000.0;
    submit(&mut world, 50, step(6, ms(300)), ms(6000));
    for job in 1..=12 {
        submit(&mut world, job, step(4, ms(400)), ms(400));
        world.pass(ms(200));
    }
    world.until("they are done", ms(8000), |world| {
        (1..=12).all(|job| is_complete(world, job))
    });
    assert!((1..=12).all(|job| most_starts(&world, job) <= 3));
}

/// What a task took that was done after it had run for too long was held against its agent, and the other tasks of its
/// step were stopped sooner for that.
#[test]
fn a_task_that_is_done_late_does_not_make_its_agent_slow() {
    for seed in 0..8 {
        let mut world = world(2, seed);
        submit(&mut world, 1, step(2, ms(150)), ms(4660));
        world.until("it is complete", ms(14_000), |world| is_complete(world, 1));
        assert!(most_starts(&world, 1) <= 2);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(40) })]

    /// However wrong an estimate is, the stops of a task throw away hardly more than what it takes: the time grows by
    /// 16 with each attempt, so that all attempts before the last but one take a fifteenth of that one.
    #[test]
    fn any_estimate_lets_a_task_be_done(
        estimate in 0..3000_u64,
        took in 200..20_000_u64,
        tasks in 1..12_u32,
        apart in any::<bool>(),
        hosts in 2..8_usize,
        seed in 0..1000_u64,
    ) {
        let mut world = world(hosts, seed);
        let mut step = step(tasks, ms(estimate));
        step.per_host = apart.then_some(4);
        submit(&mut world, 1, step, ms(took));
        // The attempt before the last one ends just before it is done, at worst. Each of three stops takes a poll,
        // the stop itself, and the time for which its agent may be excluded.
        let attempts = took * 2 + took / 15 + 3 * 4000;
        // Waves of tasks, if no more than four may run on a host: a pool may keep a single host for batch tasks.
        let waves = if apart { u64::from(tasks).div_ceil(4) } else { 1 };
        let limit = ms(waves * attempts);
        world.until("it is complete", limit, |world| is_complete(world, 1));
        prop_assert!(most_starts(&world, 1) <= 3);
    }
}
