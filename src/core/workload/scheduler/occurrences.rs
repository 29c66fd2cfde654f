//! Opens the occurrences of jobs: makes their tasks ready once they are due.
//!
//! What the leader holds of a job doesn't depend on how many occurrences the job has. It keeps the next one of
//! each job, and puts in the following one when that one is opened. Occurrences that are overdue aren't opened
//! all at once either. They are opened in order, while few tasks of the job wait to be started, so that as
//! many are open as the pool can run.

use std::collections::BTreeSet;

use super::{Job, JobId, Ledger, Map, Now, Occurrence, ROUND_STARTS, Scheduler, Wall};
use crate::core::workload::spec::MAX_TASKS;

/// No further occurrence of a job is opened while this many of its tasks wait to be started: a round starts no
/// more.
const MAX_WAITING_TASKS: u64 = ROUND_STARTS as u64;

/// While so many steps of all jobs are open, no job has more than one occurrence that waits. With a kilobyte
/// for each, they take a twentieth of the smallest leader's memory.
const MAX_OPEN_STEPS: usize = 8192;

/// The next occurrences of recurring jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct Occurrences {
    /// The next occurrence of each job, by when it is due.
    upcoming: BTreeSet<(Wall, JobId, Occurrence)>,
    /// The next occurrences that are due, of jobs of which enough are open.
    held: Map<JobId, Occurrence>,
    /// The held jobs of which a task was started, or an attempt ended, since they were last visited.
    stirred: BTreeSet<JobId>,
}

impl Occurrences {
    /// Notes that fewer tasks of a job may wait than before.
    pub(super) fn stir(&mut self, job: JobId) {
        if self.held.contains_key(&job) {
            self.stirred.insert(job);
        }
    }

    /// Forgets a job that is over. What is upcoming of it is dropped when it is due.
    pub(super) fn forget(&mut self, job: JobId) {
        self.held.remove(&job);
        self.stirred.remove(&job);
    }

    /// The number of jobs with a next occurrence.
    pub(super) fn len(&self) -> usize {
        self.upcoming.len() + self.held.len()
    }

    /// The next held occurrence of a job that may be opened now.
    fn pop_stirred(&mut self) -> Option<(JobId, Occurrence)> {
        let job = self.stirred.pop_first()?;
        Some((job, self.held.remove(&job)?))
    }

    /// The next occurrence that is due.
    fn pop_due(&mut self, wall: Wall) -> Option<(JobId, Occurrence)> {
        let due = self.upcoming.first().is_some_and(|(due, ..)| *due <= wall);
        let (_, job, next) = due.then(|| self.upcoming.pop_first()).flatten()?;
        Some((job, next))
    }
}

impl Scheduler {
    /// Makes the tasks of a job ready that may run at once, and records when its next occurrence is due.
    pub(super) fn open_job(&mut self, now: Now, wall: Wall, id: JobId, job: &Job) {
        let started = job.runs.keys().copied();
        for occurrence in started.filter(|occurrence| !job.is_finished(*occurrence)) {
            self.open_occurrence(now, id, occurrence, job);
        }
        self.open_occurrences(now, wall, id, job, job.finished_runs.first_open());
    }

    /// Opens the occurrences that have become due, and those of which the job now has few enough open.
    pub(super) fn open_due_occurrences(&mut self, now: Now, wall: Wall, ledger: &Ledger) {
        loop {
            let next = self.occurrences.pop_stirred();
            let Some((id, next)) = next.or_else(|| self.occurrences.pop_due(wall)) else {
                return;
            };
            if let Some(job) = ledger.job(id).filter(|job| !job.has_ended()) {
                self.open_occurrences(now, wall, id, job, next);
            }
        }
    }

    /// Opens the occurrences of a job from `first` on that are due and haven't started, as many as it may have
    /// open.
    fn open_occurrences(&mut self, now: Now, wall: Wall, id: JobId, job: &Job, first: Occurrence) {
        let waits = |next: &Occurrence| !job.is_finished(*next) && !job.runs.contains_key(next);
        for next in (first..job.spec.occurrences()).filter(waits) {
            let due = job.spec.due(next).unwrap_or_default();
            if due > wall {
                self.occurrences.upcoming.insert((due, id, next));
                return;
            }
            if self.has_enough_open(id, job) {
                self.occurrences.held.insert(id, next);
                return;
            }
            self.open_occurrence(now, id, next, job);
        }
    }

    /// Whether no further occurrence of a job is to be opened for now.
    fn has_enough_open(&self, id: JobId, job: &Job) -> bool {
        let tasks = usize::try_from(job.spec.tasks()).unwrap_or(usize::MAX);
        let most = usize::try_from(MAX_TASKS).unwrap_or(usize::MAX);
        let waiting = self.ready.waiting_tasks(id);
        waiting >= MAX_WAITING_TASKS
            || waiting > 0 && self.ready.open_steps() >= MAX_OPEN_STEPS
            || job.runs.len().saturating_mul(tasks) >= most
    }

    /// Drops what is known of an occurrence that is finished.
    pub(super) fn close_occurrence(&mut self, id: JobId, occurrence: Occurrence) {
        self.ready.forget_occurrence(id, occurrence);
        self.overruns.forget_occurrence(id, occurrence);
        self.eligible.forget_occurrence(id, occurrence);
        self.occurrences.stir(id);
    }

    /// The number of recurring jobs with a next occurrence.
    pub fn recurring_jobs(&self) -> usize {
        self.occurrences.len()
    }
}
