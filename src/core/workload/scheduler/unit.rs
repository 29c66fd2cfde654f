//! Groups of tasks that are suspected as a whole.

use super::{JobId, StepId, TaskId};

/// The tasks that are suspected together.
///
/// The batch tasks of a job are suspected together, since they are alike and the job fails as a
/// whole. A long-running task is suspected by itself: the tasks of a long-running job run on many
/// hosts for a long time, and some of these hosts end by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SuspectUnit {
    /// The batch tasks of a job.
    Job(JobId),
    /// A long-running task.
    Task(TaskId),
}

impl SuspectUnit {
    pub(super) fn of(task: TaskId, long_running: bool) -> Self {
        if long_running {
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
