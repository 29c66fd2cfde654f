//! The cost of a plan while thousands of steps wait whose tasks all take different amounts.
//!
//! Jobs size their tasks as they like. A search that went through all sizes that wait for each step
//! cost the square of the backlog: with half of a core, a plan took up to 1.3 s, and each new leader
//! lost its office during its first plan.

use std::time::Duration;

use egretpin::core::workload::spec::JobSpec;

use crate::world::{World, ms, step};

/// The number of tasks of each job.
const TASKS: u32 = 8;
/// The cost of a visit with a quarter of a core, as measured where plans took longest.
const VISIT: Duration = Duration::from_nanos(500);
/// The longest that a plan may take. A heartbeat interval of consensus is 100 ms.
const MAX_PLAN: Duration = ms(30);

/// A job whose tasks take amounts that no other job's take.
fn job_of(job: u64) -> JobSpec {
    let mut step = step(TASKS, 1, 2000);
    step.need.millicores = 1000 + job.wrapping_mul(7919) % 3000;
    step.need.memory = (1 << 27) + job.wrapping_mul(104_729) % (1 << 29);
    JobSpec::new("x", vec![step])
}

fn submit(world: &mut World, first: u64, jobs: u64) {
    for job in first..first + jobs {
        world.submit(job, job_of(job));
    }
}

/// Visits for each plan of a leader of 300 hosts while jobs arrive, after so many jobs that wait.
fn visits_per_plan(backlog: u64) -> usize {
    let mut world = World::new(300, 5);
    world.pass(ms(2000));
    submit(&mut world, 1, backlog);
    world.pass(ms(3000));
    (world.visits, world.plans) = (0, 0);
    for job in 0..100 {
        submit(&mut world, backlog + job + 1, 1);
        world.pass(ms(20));
    }
    world.visits / world.plans
}

/// Guards against a search whose cost grows with the backlog, where no two steps are alike.
#[test]
fn a_backlog_of_different_sizes_makes_plans_no_dearer() {
    // 300 hosts run some 1,000 of these tasks at once, so that both are far beyond what fits.
    let (short, long) = (visits_per_plan(2500), visits_per_plan(12_500));
    assert!(
        long < 2 * short,
        "{long} visits per plan with 100,000 tasks that wait, {short} with 20,000"
    );
}

/// Guards against a step of the control task that is longer than its peers wait for an answer, both of a
/// leader and of the next one, which begins with all that waits.
#[test]
fn no_plan_takes_long_while_100_000_tasks_wait() {
    let mut world = World::new(300, 6);
    world.pass(ms(2000));
    world.peak_visits = 0;
    submit(&mut world, 1, 12_500);
    world.pass(ms(1500));
    let led = std::mem::take(&mut world.peak_visits);
    world.lead();
    world.pass(ms(1500));
    for (whose, visits) in [("a leader's", led), ("a new leader's", world.peak_visits)] {
        let took = VISIT * u32::try_from(visits).unwrap();
        assert!(took <= MAX_PLAN, "{whose} plan has {visits} visits");
    }
}

/// Guards against a step that is passed over for good: the first thousands of steps fit on no host, those
/// behind them fit, by a hair on a whole host.
#[test]
fn small_steps_start_behind_thousands_that_fit_on_no_host() {
    let mut world = World::new(30, 7);
    world.pass(ms(2000));
    for job in 1..=20_000 {
        let mut spec = job_of(job);
        spec.steps[0].need.memory = (1 << 40) + job;
        spec.steps[0].need.millicores = 8000;
        world.submit(job, spec);
    }
    let sizes = [1, 7, 8, 1000, 3000, 4095, 4096, 7999, 8000];
    for (millicores, job) in sizes.into_iter().zip(30_001..) {
        let mut step = step(1, 1, 200);
        step.need.millicores = millicores;
        world.submit(job, JobSpec::new("x", vec![step]));
    }
    world.until("the small jobs are done", ms(6000), |world| {
        (30_001..30_010)
            .all(|job| world.state(job) == Some(egretpin::core::workload::job::JobState::Completed))
    });
}
