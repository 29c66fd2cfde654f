//! What is suspected as a whole.

use super::{JobId, StepId, TaskId};

/// The tasks that are suspected with each other.
///
/// What is short is suspected with its job, since the tasks of a job are alike and it fails as a whole.
/// What lasts is suspected by itself, since the tasks of a lasting job are at work on many hosts for
/// long, and some of these end by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Unit {
    /// The short tasks of a job.
    Job(JobId),
    /// A lasting task.
    Task(TaskId),
}

impl Unit {
    pub(super) fn of(task: TaskId, lasting: bool) -> Self {
        if lasting {
            Self::Task(task)
        } else {
            Self::Job(task.step.job)
        }
    }

    /// The job whose tasks these are.
    pub(super) fn job(self) -> JobId {
        let (Self::Job(job)
        | Self::Task(TaskId {
            step: StepId { job, .. },
            ..
        })) = self;
        job
    }
}
