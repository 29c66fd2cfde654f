//! The memory that the replicated state takes: small for what doesn't run, counted alike by all nodes, and bounded.

use std::time::Duration;

use egretpin::core::{
    types::Resources,
    workload::{
        command::{Command, Submission},
        footprint::{Budget, Footprint, job_bytes},
        job::{Job, JobState},
        ledger::Ledger,
        spec::{JobSpec, MAX_TASKS, Recurrence, StepSpec},
    },
};

use super::world::{QUEUE, World, ms};

fn step(tasks: u32) -> StepSpec {
    let mut step = StepSpec::new(tasks, ms(200));
    step.need.millicores = 1000;
    step
}

/// Each task of a job had a record of 110 bytes as soon as any of them was placed.
#[test]
fn tasks_that_do_not_run_take_few_bytes() {
    let mut world = World::new(2, 1);
    for job in 1..=30 {
        world.submit(job, JobSpec::new("x", vec![step(MAX_TASKS)]));
    }
    world.pass(ms(3000));
    let done: u32 = (1..=30)
        .filter_map(|job| world.ledger.job(job))
        .flat_map(|job| job.runs.values().map(|run| run.steps[0].done()))
        .sum();
    assert!(done > 50, "{done} tasks are done");
    let records: usize = (1..=30)
        .filter_map(|job| world.ledger.job(job))
        .flat_map(|job| job.runs.values().map(|run| run.steps[0].records().count()))
        .sum();
    assert!(records <= 16, "16 cores run {records} tasks");
    let bytes = world.ledger.snapshot().len();
    assert!(
        bytes < 1 << 20,
        "a snapshot of 3,000,000 tasks takes {bytes} bytes"
    );
}

/// The count is kept by each change and made anew from a snapshot.
fn assert_counted(ledger: &Ledger) {
    let restored = Ledger::from_snapshot(&ledger.snapshot()).unwrap();
    assert_eq!(restored.footprint(), ledger.footprint());
}

#[test]
fn nodes_that_apply_the_log_and_nodes_that_read_a_snapshot_count_alike() {
    for seed in 0..6 {
        let mut world = World::new(4, seed);
        world.faults.failed_attempts = 0.1;
        let mut gang = step(3);
        gang.gang = true;
        let mut long_running = step(2);
        long_running.long_running = true;
        let mut after = step(5);
        after.after = vec![0];
        after.image = Some("an image".into());
        let mut repeated = JobSpec::new("y", vec![step(2)]);
        repeated.recurrence = Some(Recurrence {
            first: Duration::ZERO,
            interval: ms(100),
            count: 12,
        });
        world.submit(1, JobSpec::new("payload", vec![step(9), after]));
        world.submit(2, JobSpec::new("x", vec![gang]));
        world.submit(3, JobSpec::new("x", vec![long_running]));
        world.submit(4, repeated);
        for round in 0..12 {
            world.pass(ms(330));
            assert_counted(&world.ledger);
            if round == 4 {
                let agent = world.agents.keys().next().cloned().unwrap();
                world.restart(&agent);
            }
            if round == 6 {
                world.depose();
                world.lead();
                world.start_wave(1, &["h0", "h1"], 1, ms(20_000));
            }
            if round == 8 {
                world.propose(Command::Cancel(3));
            }
        }
        world.until("nothing is placed", ms(10_000), |world| {
            world.ledger.footprint().tasks == 0
        });
        assert_counted(&world.ledger);
        let jobs: Vec<_> = (1..=4).collect();
        world.ledger.apply(u64::MAX, &Command::Forget(jobs));
        assert_eq!(world.ledger.footprint().jobs, 0);
    }
}

fn submit(ledger: &mut Ledger, job: u64, spec: JobSpec) {
    let submission = Submission {
        job,
        queue: QUEUE.into(),
        pool: "pool".into(),
        workspace: None,
        terms: None,
        spec,
        accepted_at: Duration::ZERO,
    };
    ledger.apply(job, &Command::Submit(Box::new(submission)));
}

/// Texts that a caller chooses had no bound of their own.
#[test]
fn the_texts_of_a_job_are_counted_until_it_ends() {
    let mut ledger = Ledger::default();
    let mut spec = JobSpec::new(&"p".repeat(4000), vec![step(4)]);
    spec.steps[0].image = Some("i".repeat(240_000).into());
    spec.steps[0].label = Some("l".repeat(10_000).into());
    spec.steps[0].data_rack = Some("r".repeat(10_000).into());
    assert!(job_bytes(&spec) > 264_000);
    submit(&mut ledger, 1, spec.clone());
    assert_eq!(ledger.footprint().jobs, job_bytes(&spec));
    ledger.apply(2, &Command::Cancel(1));
    assert_eq!(
        ledger.job(1).map(|job| job.state),
        Some(JobState::Cancelled)
    );
    assert!(ledger.footprint().jobs < 2000);
    assert!(ledger.snapshot().len() < 2000);
}

/// What a caller chooses may not be left out of the count.
#[test]
fn the_count_grows_with_each_part_of_a_job() {
    let plain = JobSpec::new("x", vec![step(4)]);
    let count = |change: fn(&mut JobSpec)| {
        let mut spec = plain.clone();
        change(&mut spec);
        job_bytes(&spec) - job_bytes(&plain)
    };
    assert!(count(|spec| spec.payload = "x".repeat(1001).into()) >= 1000);
    assert!(count(|spec| spec.steps = vec![step(4); 1000]) > 1_000_000);
    assert!(count(|spec| spec.steps[0].after = vec![0; 50_000]) >= 200_000);
    assert!(count(|spec| spec.steps[0].tasks = MAX_TASKS) >= 16_384);
    let waiting = count(|spec| {
        spec.steps[0].tasks = MAX_TASKS;
        spec.steps[0].long_running = true;
    });
    assert!(waiting > 10_000_000, "since when each is away is kept");
}

/// Tasks that need nothing fit anywhere, so that the number of placed tasks had no bound.
#[test]
fn tasks_that_need_nothing_are_placed_within_the_budget() {
    let mut world = World::new(2, 7);
    world.max_tasks = 500;
    world.depose();
    world.lead();
    let mut nothing = StepSpec::new(5000, ms(300));
    nothing.need = Resources::default();
    world.submit(1, JobSpec::new("x", vec![nothing.clone()]));
    nothing.tasks = 3;
    world.submit(2, JobSpec::new("x", vec![nothing]));
    let mut most = 0;
    for _ in 0..400 {
        world.pass(ms(5));
        most = most.max(world.ledger.footprint().tasks);
    }
    assert!(most > 100 && most <= 500, "{most} tasks are placed at once");
    world.until("all are done", ms(20_000), |world| {
        (1..=2).all(|job| world.state(job) == Some(JobState::Completed))
    });
}

/// Tasks whose attempts failed keep a record, and have to be started again all the same.
#[test]
fn tasks_that_failed_are_started_again_though_the_budget_is_used_up() {
    let mut world = World::new(2, 8);
    world.max_tasks = 20;
    world.faults.failed_attempts = 0.3;
    world.depose();
    world.lead();
    world.submit(1, JobSpec::new("x", vec![step(60)]));
    world.until("it is over", ms(20_000), |world| {
        world.ledger.job(1).is_some_and(Job::has_ended)
    });
}

#[test]
fn the_budget_follows_the_memory() {
    let budget = Budget::of_memory(256 << 20);
    assert_eq!(budget, Budget::default());
    assert!(budget.jobs < budget.total && budget.total == 64 << 20);
    assert!(budget.tasks > 30_000 && budget.tasks < 60_000);
    assert_eq!(Footprint::default().total(), 0);
}
