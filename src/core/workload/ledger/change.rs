//! What a command has changed.

use crate::core::{
    types::{MinionId, WaveId},
    workload::{
        catalog::JobId,
        command::Placement,
        job::{StepId, TaskId},
        spec::Occurrence,
        suspicion::Evidence,
    },
};

/// A change of the state, reported to the leader's scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Another catalog is in force.
    Declared,
    /// A job was accepted.
    Accepted(JobId),
    /// A job has ended; its attempts that are still placed must be stopped.
    JobEnded(JobId),
    /// An occurrence of a job is finished, and the job isn't complete with it.
    OccurrenceFinished(JobId, Occurrence),
    /// All steps that a step depends on are done.
    StepReady(StepId),
    /// An attempt of a task was placed at an agent.
    Placed(Placement),
    /// An attempt isn't placed any more: it ended, or is certain not to run.
    Unplaced {
        /// The attempt.
        placed: Placement,
        /// Whether the task needs another attempt.
        retry: bool,
    },
    /// A task is done, whichever attempt did it. It never runs again.
    Done {
        /// The task.
        task: TaskId,
        /// Whether the attempt that did it had been abandoned or superseded before.
        was_abandoned: bool,
    },
    /// The task of a placed attempt was done by another attempt, so that this one isn't needed any more.
    Redundant(Placement),
    /// All ends that an agent reported, up to this one, have been applied.
    Acked {
        /// The agent.
        agent: MinionId,
        /// The number of the end.
        through: u64,
    },
    /// The evidence against a task: a host crashed under it, or under a batch task of its job, and no other
    /// cause is known.
    Suspected(TaskId, Evidence),
    /// A job has failed because of this poison task, which crashes the hosts it runs on.
    PoisonTask(TaskId),
    /// An agent was registered, or its record was updated.
    Agent(MinionId),
    /// An incarnation that was recorded under its agent's name is now recorded under an id of its own. What
    /// is placed there is unaffected.
    Renamed {
        /// The name of the agent.
        from: MinionId,
        /// The id of the incarnation.
        to: MinionId,
    },
    /// An incarnation of an agent has terminated.
    Terminated(MinionId),
    /// A wave of maintenance was added, or has fewer hosts left.
    Wave(WaveId),
}
