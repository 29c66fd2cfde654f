//! Numbers of callers and operators that can't be summed or multiplied: they are rejected, and leaders come up
//! with those that an earlier release took.

use std::time::Duration;

use egretpin::core::{
    types::Resources,
    workload::{
        job::JobState,
        ledger::Ledger,
        spec::{JobSpec, MAX_SPAN, Recurrence, SpecError, StepSpec},
    },
};
use proptest::{prelude::*, test_runner::RngSeed};

use super::{
    recurring::{finished, recurring},
    world::{World, ms},
};

/// The product of interval and occurrence overflowed in the leader, after the job was in the log.
#[test]
fn a_recurrence_that_ends_beyond_time_is_rejected() {
    let count = 5000;
    let long = Duration::from_millis(9_000_000_000_000_000_000);
    let error = Err(SpecError::Recurrence { count });
    assert_eq!(recurring(ms(0), long, count, 1).check(), error);
    let most = Duration::from_millis(u64::MAX);
    let largest = recurring(most, most, u32::MAX, 1);
    assert_eq!(
        largest.check(),
        Err(SpecError::Recurrence { count: u32::MAX })
    );
    assert_eq!(recurring(most, most, 1, 1).check(), Ok(()));
    assert_eq!(recurring(ms(0), long, 2, 1).check(), Ok(()));
}

/// Jobs that an earlier release accepted are in the log, and each leader has to come up with them.
#[test]
fn leaders_come_up_with_a_recurrence_that_ends_beyond_time() {
    let mut world = World::new(2, 6);
    let most = Duration::from_millis(u64::MAX);
    world.submit(1, recurring(ms(0), most, u32::MAX, 1));
    world.submit(2, recurring(most, most, u32::MAX, 1));
    world.submit(3, recurring(ms(0), ms(10), 3, 1));
    world.pass(ms(500));
    for _ in 0..2 {
        world.depose();
        world.ledger = Ledger::from_snapshot(&world.ledger.snapshot()).unwrap();
        world.lead();
        world.pass(ms(1000));
    }
    assert_eq!(world.state(3), Some(JobState::Completed));
    // The first occurrence is due, and the last one never.
    assert_eq!(finished(&world, 1), 1);
    let job = world.ledger.job(1).unwrap();
    assert_eq!(job.spec.due(u32::MAX - 1), Some(Duration::MAX));
}

/// A number that a caller may send: a usual one, or one near the ends of its range.
fn extreme() -> impl Strategy<Value = u64> {
    prop_oneof![
        0..5000_u64,
        Just(0),
        Just(1),
        Just(u64::from(u32::MAX)),
        Just(1 << 53),
        Just(9_000_000_000_000_000_000),
        Just(u64::MAX - 1),
        Just(u64::MAX),
    ]
}

prop_compose! {
    fn extreme_step(tasks: u32, after: Vec<u16>)(
        estimate in extreme(),
        cpu in extreme(),
        memory in extreme(),
        accelerators in extreme(),
        target in extreme(),
        flags in 0..64_u8,
        per_host in extreme(),
    ) -> StepSpec {
        let flag = |bit: u8| flags & 1 << bit != 0;
        let narrow = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
        let mut step = StepSpec::new(tasks, Duration::from_millis(estimate));
        step.need = Resources {
            millicores: cpu,
            memory,
            accelerators: if accelerators < 5000 { 0 } else { narrow(accelerators) },
        };
        step.after.clone_from(&after);
        step.gang = flag(0);
        step.one_rack = flag(1);
        step.long_running = flag(2) && flag(3);
        step.best_effort = flag(4);
        step.tail_latency = flag(5).then(|| Duration::from_millis(target));
        step.per_host = (per_host > 0).then(|| narrow(per_host));
        step.disruption_budget = narrow(target);
        step
    }
}

prop_compose! {
    fn extreme_job()(
        steps in prop::collection::vec((1..4_u32, any::<bool>()), 1..5)
            .prop_flat_map(|shapes| {
                let steps = shapes.iter().enumerate().map(|(ix, (tasks, chained))| {
                    let before = u16::try_from(ix).unwrap().checked_sub(1).filter(|_| *chained);
                    extreme_step(*tasks, before.into_iter().collect())
                });
                steps.collect::<Vec<_>>()
            }),
        recurs in any::<bool>(),
        (first, interval, count) in (extreme(), extreme(), extreme()),
    ) -> JobSpec {
        let mut job = JobSpec::new("x", steps);
        job.recurrence = recurs.then(|| Recurrence {
            first: Duration::from_millis(first),
            interval: Duration::from_millis(interval),
            count: u32::try_from(count).unwrap_or(u32::MAX).max(1),
        });
        job
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(60) })]

    /// Numbers of a job that can't be summed or multiplied ended each leader, again and again.
    #[test]
    fn jobs_of_extreme_numbers_end_no_leader(jobs in prop::collection::vec(extreme_job(), 1..4), seed in 0..1000_u64) {
        let mut world = World::new(3, seed);
        // Those that are rejected now may be in the log of an earlier release.
        for (number, job) in (10..).zip(jobs) {
            world.submit(number, job);
            world.pass(ms(300));
            world.depose();
            world.lead();
        }
        world.submit(1, recurring(ms(0), ms(10), 2, 1));
        world.pass(ms(2500));
        world.ledger = Ledger::from_snapshot(&world.ledger.snapshot()).unwrap();
        world.lead();
        world.pass(ms(500));
    }
}

/// The estimates of a chain of a thousand steps are summed, stretched and added to the time.
#[test]
fn the_longest_chain_of_the_longest_estimates_can_be_summed() {
    let mut world = World::new(1, 8);
    let steps = (0..1000_u16).map(|ix| {
        let mut step = StepSpec::new(1, Duration::MAX);
        step.after = ix.checked_sub(1).into_iter().collect();
        step
    });
    let job = JobSpec::new("x", steps.collect());
    assert_eq!(job.critical_path(), Duration::MAX);
    let mut catalog = world.catalog().clone();
    for queue in &mut catalog.queues {
        queue.stretch = f64::MAX;
        queue.objective_offset = Duration::MAX;
        queue.max_attempts = u32::MAX;
    }
    assert!(catalog.check().is_err());
    world.set_catalog(catalog.clamped());
    world.submit(1, job);
    world.pass(ms(300));
    world.depose();
    world.lead();
    world.until("the first step runs", ms(3000), |world| {
        world.runs(1).len() == 1
    });
    let estimate = world.ledger.job(1).unwrap().spec.steps[0].estimate;
    assert_eq!(estimate, MAX_SPAN);
}
