//! The tasks of one step of an occurrence, in a size that follows from how many of them run and not from how many
//! there are.
//!
//! A task that was never placed, and one that is done and no longer placed, has no record: which of them are done
//! is a set with about a bit for each.
//!
//! ```
//! use egretpin::core::workload::step::Step;
//!
//! let step = Step::new(100_000);
//! assert_eq!((step.tasks(), step.done()), (100_000, 0));
//! assert_eq!(step.records().count(), 0);
//! assert_eq!(step.task(99_999).map(|task| task.attempt), Some(0));
//! assert_eq!(step.task(100_000), None);
//! ```

use std::{collections::BTreeMap, sync::LazyLock};

use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};

use super::{job::Task, spec::TaskIx};
use crate::core::types::Attempt;

/// A task without a record that isn't done.
static NEW: LazyLock<Task> = LazyLock::new(Task::default);
/// A task without a record that is done.
static DONE: LazyLock<Task> = LazyLock::new(|| Task {
    done: true,
    ..Task::default()
});

/// One step of an occurrence.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(from = "StoredStep")]
pub struct Step {
    /// The number of its tasks.
    count: TaskIx,
    /// Its tasks that are done.
    finished: RoaringBitmap,
    /// Its tasks that were placed, except those that are done and no longer placed.
    records: BTreeMap<TaskIx, Task>,
    /// If it is a gang: its failed attempts.
    #[serde(skip_serializing_if = "FailedAttempts::is_empty")]
    failed_attempts: FailedAttempts,
}

/// The failed attempts of a gang. Absent in snapshots of earlier releases, which don't read them.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
struct FailedAttempts {
    /// Their numbers.
    numbers: RoaringBitmap,
    /// Ends of attempts up to this one don't count any more, since an earlier release took them in without
    /// recording of which attempts they were.
    inferred_through: Attempt,
    /// How many of these attempts have failed at least.
    inferred: u32,
}

impl FailedAttempts {
    fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// How many there are, `more` of them included.
    fn count_with(&self, more: impl IntoIterator<Item = Attempt>) -> u32 {
        let mut numbers = self.numbers.clone();
        numbers.extend(
            more.into_iter()
                .filter(|attempt| *attempt > self.inferred_through),
        );
        let known = u32::try_from(numbers.len()).unwrap_or(u32::MAX);
        self.inferred.saturating_add(known)
    }

    fn insert(&mut self, attempt: Attempt) {
        if attempt > self.inferred_through {
            self.numbers.insert(attempt);
        }
    }
}

/// A step in a snapshot.
#[derive(Default)]
#[derive(Deserialize)]
#[serde(default)]
struct StoredStep {
    count: TaskIx,
    finished: RoaringBitmap,
    records: BTreeMap<TaskIx, Task>,
    failed_attempts: FailedAttempts,
    /// All tasks, in snapshots of earlier releases.
    tasks: Vec<Task>,
}

impl From<StoredStep> for Step {
    fn from(stored: StoredStep) -> Self {
        let StoredStep {
            count,
            finished,
            records,
            failed_attempts,
            tasks,
        } = stored;
        let mut step = Self {
            count: count.max(TaskIx::try_from(tasks.len()).unwrap_or(TaskIx::MAX)),
            finished,
            records,
            failed_attempts,
        };
        for (ix, task) in (0..).zip(tasks) {
            if task.done {
                step.finished.insert(ix);
            }
            let is_new = task.attempt == 0 && task.failures == 0;
            if !is_new && (!task.done || task.agent.is_some()) {
                step.records.insert(ix, task);
            }
        }
        step
    }
}

impl Step {
    /// Creates a step of which no task was placed.
    pub fn new(tasks: TaskIx) -> Self {
        Self {
            count: tasks,
            finished: RoaringBitmap::new(),
            records: BTreeMap::new(),
            failed_attempts: FailedAttempts::default(),
        }
    }

    /// The number of its tasks.
    pub fn tasks(&self) -> TaskIx {
        self.count
    }

    /// The number of its tasks that are done.
    pub fn done(&self) -> TaskIx {
        TaskIx::try_from(self.finished.len()).unwrap_or(TaskIx::MAX)
    }

    /// Whether all its tasks are done.
    pub fn is_done(&self) -> bool {
        self.done() >= self.count
    }

    /// A task; `None` if the step has no such task.
    pub fn task(&self, ix: TaskIx) -> Option<&Task> {
        if ix >= self.count {
            return None;
        }
        let without_record: &Task = if self.finished.contains(ix) {
            &DONE
        } else {
            &NEW
        };
        Some(self.records.get(&ix).unwrap_or(without_record))
    }

    /// The tasks that have a record.
    pub fn records(&self) -> impl Iterator<Item = (TaskIx, &Task)> {
        self.records.iter().map(|(ix, task)| (*ix, task))
    }

    /// How many tasks have a record.
    pub(super) fn record_count(&self) -> u64 {
        self.records.len() as u64
    }

    /// The tasks that are neither done nor placed.
    pub fn free(&self) -> RoaringBitmap {
        let mut free = all_tasks(self.count);
        free -= &self.finished;
        let placed = self.records().filter(|(_, task)| task.agent.is_some());
        for (ix, _) in placed {
            free.remove(ix);
        }
        free
    }

    /// How many attempts of a gang have failed, `more` of them included.
    ///
    /// All members of a gang have the same attempt numbers. An attempt has failed once, however many of its
    /// members fail in it, and whenever their ends arrive.
    pub fn failed_gang_attempts(&self, more: impl IntoIterator<Item = Attempt>) -> u32 {
        self.failed_attempts.count_with(more)
    }

    /// Whether an attempt of a task was placed, now or before.
    pub fn was_placed(&self, ix: TaskIx, attempt: Attempt) -> bool {
        let last = self.task(ix).map_or(0, |task| task.attempt);
        (1..=last).contains(&attempt)
    }

    /// Records that a member of a gang failed in an attempt.
    pub(super) fn fail_gang_attempt(&mut self, ix: TaskIx, attempt: Attempt) {
        if self.was_placed(ix, attempt) {
            self.failed_attempts.insert(attempt);
        }
    }

    /// Completes the failed attempts of a gang from what earlier releases recorded: how often each member
    /// failed, but not in which attempts.
    ///
    /// At least as many attempts have failed as of any one member. More aren't certain, and a gang must not fail
    /// early. The current attempt counts as one of them, unless such a member still runs in it.
    pub(super) fn infer_failed_attempts(&mut self) {
        let most = self.records.values().map(|task| task.failures).max();
        let most = most.unwrap_or_default();
        if self.failed_attempts.count_with([]) >= most {
            return;
        }
        let mut often = self.records.values().filter(|task| task.failures == most);
        let still_runs = often.any(|task| task.agent.is_some());
        let last = self.records.values().map(|task| task.attempt).max();
        let last = last.unwrap_or_default();
        self.failed_attempts = FailedAttempts {
            numbers: RoaringBitmap::new(),
            inferred_through: last.saturating_sub(u32::from(still_runs)),
            inferred: most,
        };
    }

    /// The record of a task, if it has one.
    pub(super) fn record_mut(&mut self, ix: TaskIx) -> Option<&mut Task> {
        self.records.get_mut(&ix)
    }

    /// The record of a task that is about to be placed; `None` if it is done, or if the step has no such task.
    pub(super) fn place(&mut self, ix: TaskIx) -> Option<&mut Task> {
        if ix >= self.count || self.finished.contains(ix) {
            return None;
        }
        Some(self.records.entry(ix).or_default())
    }

    /// Marks a task as done. Returns whether it wasn't.
    pub(super) fn finish(&mut self, ix: TaskIx) -> bool {
        if ix >= self.count || !self.finished.insert(ix) {
            return false;
        }
        if let Some(task) = self.records.get_mut(&ix) {
            task.done = true;
        }
        self.drop_record(ix);
        true
    }

    /// Drops the record of a task that is done and not placed.
    pub(super) fn drop_record(&mut self, ix: TaskIx) {
        let record = self.records.get(&ix);
        if record.is_some_and(|task| task.done && task.agent.is_none()) {
            self.records.remove(&ix);
        }
    }
}

/// The set of all tasks of a step.
pub(super) fn all_tasks(count: TaskIx) -> RoaringBitmap {
    let mut all = RoaringBitmap::new();
    all.insert_range(0..count);
    all
}
