//! Decides which jobs fail for good, as a task of theirs has failed too often.
//!
//! A task that runs by itself has failed once for each of its attempts that ended so. The members of a gang run only
//! together. So an attempt of a gang has failed once, however many members fail in it.

use std::collections::{BTreeMap, BTreeSet};

use super::{EndBatch, JobId, Ledger, Scheduler, StepId, TaskId};
use crate::core::{
    types::Attempt,
    workload::{command::Ending, job::Job},
};

/// What fails as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Unit {
    Task(TaskId),
    Gang(StepId),
}

impl Unit {
    fn of(job: &Job, task: TaskId) -> Self {
        let spec = job.spec.steps.get(usize::from(task.step.step));
        if spec.is_some_and(|spec| spec.gang) {
            Self::Gang(task.step)
        } else {
            Self::Task(task)
        }
    }

    fn step(self) -> StepId {
        match self {
            Self::Task(task) => task.step,
            Self::Gang(step) => step,
        }
    }
}

/// Failed ends of one unit that are about to be committed.
#[derive(Clone, Debug, Default)]
struct FailedEnds {
    attempts: BTreeSet<Attempt>,
    ends: usize,
}

impl Scheduler {
    /// The jobs that fail for good because of these ends.
    pub(super) fn failed_jobs(&self, ledger: &Ledger, ends: &[EndBatch]) -> Vec<JobId> {
        let mut units: BTreeMap<Unit, FailedEnds> = BTreeMap::new();
        let ends = ends.iter().flat_map(|ends| &ends.ends);
        for end in ends.filter(|end| end.how == Ending::Failed) {
            let Some(job) = ledger.job(end.task.step.job) else {
                continue;
            };
            let step = job.step(end.task.step);
            if step.is_some_and(|step| step.was_placed(end.task.task, end.attempt)) {
                let failed = units.entry(Unit::of(job, end.task)).or_default();
                failed.attempts.insert(end.attempt);
                failed.ends += 1;
            }
        }
        let exhausted = units.iter();
        let exhausted = exhausted.filter(|(unit, ends)| self.is_exhausted(ledger, **unit, ends));
        let jobs: BTreeSet<_> = exhausted.map(|(unit, _)| unit.step().job).collect();
        jobs.into_iter().collect()
    }

    /// Whether a gang has failed so often that it isn't started again.
    ///
    /// The end of a member may arrive after the attempt was given up, and be committed while the next one is
    /// judged. Then its job fails only when the gang is to be placed again.
    pub(super) fn is_gang_exhausted(&self, ledger: &Ledger, gang: StepId) -> bool {
        self.is_exhausted(ledger, Unit::Gang(gang), &FailedEnds::default())
    }

    /// Whether a unit has failed as often as its job allows, these ends included. Long-running tasks are started
    /// again however often they fail.
    fn is_exhausted(&self, ledger: &Ledger, unit: Unit, failed: &FailedEnds) -> bool {
        let step = unit.step();
        let Some(job) = ledger.job(step.job) else {
            return false;
        };
        let spec = job.spec.steps.get(usize::from(step.step));
        if spec.is_none_or(|spec| spec.long_running) {
            return false;
        }
        let most = self.terms(job).max_attempts;
        let failures = failures(job, unit, &failed.attempts).unwrap_or_default();
        let exhausted = failures >= most;
        if exhausted {
            log::info!(step:%, unit:?, attempts:? = failed.attempts, ends = failed.ends, failures, max_attempts = most; "a job fails, as attempts have failed too often");
        }
        exhausted
    }
}

/// How many attempts of a unit have failed, these ones included.
fn failures(job: &Job, unit: Unit, attempts: &BTreeSet<Attempt>) -> Option<u32> {
    let step = job.step(unit.step())?;
    match unit {
        Unit::Gang(_) => Some(step.failed_gang_attempts(attempts.iter().copied())),
        Unit::Task(task) => {
            let more = u32::try_from(attempts.len()).unwrap_or(u32::MAX);
            Some(step.task(task.task)?.failures.saturating_add(more))
        }
    }
}
