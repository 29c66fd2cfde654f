//! Recurring jobs: what the leader holds and does for one doesn't depend on how many occurrences it has.

use std::time::Duration;

use egretpin::core::workload::{
    command::{Command, Submission},
    job::{Job, JobState},
    ledger::Ledger,
    spec::{JobSpec, Recurrence, StepSpec},
};

use super::world::{QUEUE, RESTRICTED_QUEUE, World, ms};

/// A job of small tasks that runs `count` times.
pub(crate) fn recurring(first: Duration, interval: Duration, count: u32, tasks: u32) -> JobSpec {
    let mut step = StepSpec::new(tasks, ms(100));
    step.need.millicores = 500;
    let mut job = JobSpec::new("x", vec![step]);
    job.recurrence = Some(Recurrence {
        first,
        interval,
        count,
    });
    job
}

pub(crate) fn finished(world: &World, job: u64) -> u32 {
    world.ledger.job(job).map_or(0, |job| job.finished)
}

/// Each acceptance and each election walked all occurrences and kept an entry for each.
#[test]
fn occurrences_in_the_future_cost_no_memory_and_no_time() {
    let mut world = World::new(2, 1);
    let (minute, century) = (Duration::from_secs(60), 100 * 365 * 24 * 60);
    for job in 0..100 {
        world.submit(job, recurring(ms(5000), minute, century, 2));
    }
    for _ in 0..3 {
        world.pass(ms(500));
        world.depose();
        world.lead();
    }
    assert_eq!(world.scheduler.as_ref().unwrap().recurring_jobs(), 100);
    world.until("the first occurrences are done", ms(10_000), |world| {
        (0..100).all(|job| finished(world, job) == 1)
    });
}

/// All overdue occurrences were opened at once, with all their tasks.
#[test]
fn overdue_occurrences_are_opened_as_the_pool_can_run_them() {
    let mut world = World::new(4, 2);
    let overdue = recurring(ms(0), ms(0), 500_000, 4);
    world.submit(1, overdue);
    let mut most = 0;
    for _ in 0..8 {
        world.pass(ms(500));
        most = most.max(world.scheduler.as_ref().unwrap().waiting());
        world.depose();
        world.lead();
    }
    assert!(most <= 64 + 4, "{most} tasks wait");
    // 32 cores run 64 tasks at once, each for some 100 ms and the time of its start.
    let done = finished(&world, 1);
    assert!(done > 200, "{done} occurrences are done in 4 s");
    let job = world.ledger.job(1).unwrap();
    assert!(job.runs.len() <= 64, "{} runs are kept", job.runs.len());
}

/// After an outage all recurring jobs are overdue: the open occurrences of all of them together are bounded, too.
#[test]
fn many_overdue_jobs_have_few_occurrences_open() {
    let mut world = World::new(1, 10);
    for job in 1..=3000 {
        world.submit(job, recurring(ms(0), ms(0), 1000, 4));
    }
    world.pass(ms(300));
    world.depose();
    world.lead();
    world.pass(ms(300));
    let waiting = world.scheduler.as_ref().unwrap().waiting();
    assert!(waiting <= 4 * (8192 + 3000), "{waiting} tasks wait");
    assert!(world.ledger.jobs().all(|(_, job)| job.runs.len() <= 16));
}

/// A new leader opened what its predecessor had opened again, or left out what it hadn't.
#[test]
fn each_occurrence_runs_once_across_leaders() {
    let mut world = World::new(2, 3);
    world.submit(1, recurring(ms(0), ms(40), 60, 3));
    for _ in 0..6 {
        world.pass(ms(300));
        world.depose();
        world.lead();
    }
    world.until("it is complete", ms(10_000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    assert_eq!(finished(&world, 1), 60);
    assert_eq!(world.starts.len(), 180);
}

/// What was known of a step's agents stayed for each occurrence, for the life of the job.
#[test]
fn occurrences_of_a_restricted_queue_run_only_where_they_may() {
    let mut world = World::new(4, 9);
    world.submit_to(RESTRICTED_QUEUE, 1, recurring(ms(0), ms(100), 40, 2));
    world.until("it is complete", ms(20_000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
}

/// A finished occurrence stayed in the ledger, and in each snapshot, for the life of its job.
#[test]
fn finished_occurrences_leave_nothing_behind() {
    let mut world = World::new(2, 4);
    world.submit(1, recurring(ms(0), ms(20), 400, 1));
    world.until("half of it is done", ms(20_000), |world| {
        finished(world, 1) >= 200
    });
    let half = world.ledger.snapshot().len();
    world.until("nearly all is done", ms(20_000), |world| {
        finished(world, 1) >= 380
    });
    let job = world.ledger.job(1).unwrap();
    assert!(job.runs.len() < 20, "{} runs are kept", job.runs.len());
    let more = world.ledger.snapshot().len();
    assert!(more < half + 2000, "{half} bytes grew to {more}");
}

/// A job whose occurrences are finished out of order keeps which of them are.
#[test]
fn a_restored_ledger_runs_no_finished_occurrence_again() {
    let mut world = World::new(2, 5);
    world.submit(1, recurring(ms(0), ms(50), 30, 2));
    world.pass(ms(700));
    let before = finished(&world, 1);
    assert!(before > 3);
    world.depose();
    world.ledger = Ledger::from_snapshot(&world.ledger.snapshot()).unwrap();
    world.lead();
    world.until("it is complete", ms(10_000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    assert_eq!(world.starts.len(), 60);
}

/// An earlier release kept a run without steps for each finished occurrence.
#[test]
fn a_snapshot_of_an_earlier_release_keeps_its_finished_occurrences() {
    let mut world = World::new(2, 7);
    world.submit(1, recurring(world.now, ms(50), 20, 1));
    world.pass(ms(600));
    let job = world.ledger.job(1).unwrap();
    let before = job.finished;
    let (first_open, mut old) = (job.finished_runs.first_open(), job.clone());
    assert!(before > 3);
    // The same as the earlier release wrote it.
    let restored = as_earlier_release(&mut old);
    assert_eq!(restored.finished, before);
    assert_eq!(restored.finished_runs.first_open(), first_open);
    assert!(!restored.is_finished(19));
}

/// Replaces the set of finished occurrences in a snapshot with runs without steps, and restores that.
fn as_earlier_release(job: &mut Job) -> Job {
    let spec = JobSpec::clone(&job.spec);
    let mut ledger = Ledger::default();
    let submission = Submission {
        job: 1,
        queue: QUEUE.into(),
        pool: job.pool.clone(),
        workspace: None,
        terms: None,
        spec,
        accepted_at: job.accepted_at,
    };
    ledger.apply(1, &Command::Submit(Box::new(submission)));
    let mut value: ciborium::Value = ciborium::from_reader(&ledger.snapshot()[..]).unwrap();
    let jobs = field(&mut value, "jobs").as_map_mut().unwrap();
    let stored = &mut jobs[0].1;
    let runs = (0..job.finished_runs.first_open()).map(|occurrence| {
        let steps = (
            ciborium::Value::from("steps"),
            ciborium::Value::Array(Vec::new()),
        );
        (occurrence.into(), ciborium::Value::Map(vec![steps]))
    });
    *field(stored, "runs") = ciborium::Value::Map(runs.collect());
    *field(stored, "finished") = job.finished.into();
    let mut bytes = Vec::new();
    ciborium::into_writer(&value, &mut bytes).unwrap();
    let restored = Ledger::from_snapshot(&bytes).unwrap();
    restored.job(1).unwrap().clone()
}

fn field<'a>(value: &'a mut ciborium::Value, name: &str) -> &'a mut ciborium::Value {
    let fields = value.as_map_mut().unwrap();
    let found = fields
        .iter_mut()
        .find(|(key, _)| key.as_text() == Some(name));
    &mut found.unwrap().1
}
