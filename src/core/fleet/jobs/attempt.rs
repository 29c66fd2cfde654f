//! What the end of an attempt means for its job.

use serde::{Deserialize, Serialize};

use super::Unresolved;

/// How an attempt ended, as the platform or the shared state says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// It ran to its end with success.
    Done,
    /// It began and ended with an error of its own.
    Failed,
    /// It never began and never can: its start right or lease was withdrawn. Nobody's fault.
    NeverBegan,
    /// The worker refused it or couldn't begin it; nothing of it ran. Counts against the worker.
    Refused,
    /// It was stopped after a checkpoint; the next attempt goes on from there.
    Checkpointed,
    /// It was stopped without a checkpoint, after it may have begun.
    Stopped,
    /// Its lease ran out or its worker was lost; it may have run, and doesn't any more.
    Lost,
}

/// What becomes of a job after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Next {
    /// It has its result, good or bad, and can be forgotten.
    Finish,
    /// It waits to be started again.
    Queue,
    /// It failed and may be tried on another worker after a pause.
    Retry,
    /// It must not be started again; operators have to look at it.
    Unresolved(Unresolved),
}

/// Judges the end of a job's attempt.
///
/// A job that is not idempotent goes on only after an end that proves that nothing of it will
/// run twice: it never began, or it goes on from its checkpoint. An older checkpoint doesn't
/// help after a loss, because what ran since then would run again. One that ran and failed is
/// finished: that it failed is the truth about it.
pub const fn after(end: AttemptEnd, idempotent: bool) -> Next {
    match (end, idempotent) {
        (AttemptEnd::Done, _) | (AttemptEnd::Failed, false) => Next::Finish,
        (AttemptEnd::NeverBegan | AttemptEnd::Refused | AttemptEnd::Checkpointed, _) => Next::Queue,
        (AttemptEnd::Stopped | AttemptEnd::Lost, true) => Next::Queue,
        (AttemptEnd::Failed, true) => Next::Retry,
        (AttemptEnd::Stopped | AttemptEnd::Lost, false) => Next::Unresolved(Unresolved::MayHaveRun),
    }
}
