//! What is said to the platform, and what it answers.
//!
//! ```
//! use egretpin::adapters::platform::message::{Refusal, Started};
//!
//! let answer: Started = serde_json::from_str(r#"{"refused":"stale_right"}"#)?;
//! assert_eq!(answer, Started::Refused(Refusal::StaleRight));
//! # Ok::<(), serde_json::Error>(())
//! ```

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::{
    consensus::interface::Index,
    types::{Attempt, Generation, HostId, JobId, Resources},
};

/// Begin a task under a lease. Idempotent by job and attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Which job.
    pub job: JobId,
    /// Which attempt.
    pub attempt: Attempt,
    /// Where.
    pub host: HostId,
    /// The host's generation that the right is bound to.
    pub generation: Generation,
    /// The log index that committed the start right; a later one supersedes it.
    pub right: Index,
    /// What is set aside for it.
    pub reserved: Resources,
}

/// The answer to [`Start`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Started {
    /// It began, now or when the same start came before.
    Began,
    /// It didn't begin and this start never will.
    Refused(Refusal),
}

/// Why a start was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// A later right for the job has been seen.
    StaleRight,
    /// The host has a later generation.
    StaleHost,
    /// The attempt was fenced.
    Fenced,
    /// Another attempt of the job is running.
    Running,
    /// The host is draining or down.
    HostDown,
}

/// Names one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Which job.
    pub job: JobId,
    /// Which attempt.
    pub attempt: Attempt,
}

/// Take a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// Of which task.
    pub task: Task,
    /// And stop the task after it.
    pub stop: bool,
}

/// Hold a task to a share of processor time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Throttle {
    /// Which task.
    pub task: Task,
    /// Thousandths of a core.
    pub millicores: u64,
}

/// Did an attempt begin, and can it ever begin?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// Which attempt.
    pub task: Task,
    /// Have it never begin if it hasn't yet.
    pub fence: bool,
}

/// The answer to [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Fate {
    /// It began.
    pub began: bool,
    /// It hasn't begun, but a start that is under way could still be taken.
    pub possible: bool,
    /// Where it stands, if it began and the platform still remembers.
    pub state: Option<TaskState>,
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It ran to its end with success.
    Done,
    /// It ended with an error of its own.
    Failed,
    /// It was stopped after a checkpoint.
    Checkpointed,
    /// It was stopped without one.
    Stopped,
    /// Its host went away under it.
    Lost,
}

/// The answer to a command about a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Standing {
    /// Where the task stands; `None` if the platform has no such task.
    pub state: Option<TaskState>,
}

/// Take a host out of work, or restart it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostCommand {
    /// Which host.
    pub host: HostId,
    /// Its generation: the present one to drain it, the one it comes back with to reboot it.
    pub generation: Generation,
}

/// Where a host stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It takes tasks.
    Up,
    /// It takes none and still has some.
    Draining,
    /// It takes none and has none.
    Drained,
    /// It restarts.
    Rebooting,
    /// It went away without being told to, and its tasks with it.
    Lost,
}

/// The answer to a command about a host, and its line in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct HostReport {
    /// Which host.
    pub host: HostId,
    /// Its generation.
    pub generation: Generation,
    /// Where it stands.
    pub state: HostState,
}

/// What changed on the platform since an earlier report. It lags.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// To be given with the next question.
    pub cursor: u64,
    /// How old the report is.
    pub age: Duration,
    /// Tasks that changed, in the order of their changes.
    pub tasks: Vec<TaskReport>,
    /// All hosts that were ever named.
    pub hosts: Vec<HostReport>,
}

/// One task of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct TaskReport {
    /// Which.
    pub task: Task,
    /// Where it runs or ran.
    pub host: HostId,
    /// Where it stands.
    pub state: TaskState,
    /// What it uses, which is seldom what was set aside for it.
    pub used: Resources,
}
