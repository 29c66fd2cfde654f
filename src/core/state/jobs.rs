//! Jobs, their attempts and start rights.
//!
//! A job is accepted by its entry in the log and from then on is in exactly one [`Phase`]. An
//! attempt begins with a start right, and while that right is live no other is given. A job that
//! isn't idempotent goes back to waiting only when nothing of it can have run, or when it stopped
//! at a checkpoint and goes on from there; when that isn't known it stays [`Phase::Unresolved`],
//! in everybody's sight, until the platform or an operator says what happened.

use serde::{Deserialize, Serialize};

use super::{command::JobSpec, reply::Refusal};
use crate::core::types::{Attempt, Generation, HostId, Wall};

/// Failed attempts after which an idempotent job has failed.
pub const FAILURES: u32 = 5;

/// One job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Job {
    /// What was submitted; its payload goes when the job ends.
    pub spec: JobSpec,
    /// Whether it may run twice, settled when it was accepted.
    pub idempotent: bool,
    /// When it was accepted.
    pub accepted: Wall,
    /// Where it stands.
    pub phase: Phase,
    /// Start rights given so far.
    pub attempts: Attempt,
    /// Attempts that ran and failed.
    pub failures: u32,
    /// The newest checkpoint to go on from.
    pub checkpoint: Option<u64>,
    /// Whether an operator wants it ended.
    pub cancelled: bool,
}

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Has no live start right.
    Waiting,
    /// Has a live start right; may have begun.
    Starting(Right),
    /// Has begun.
    Running(Right),
    /// May have begun, isn't idempotent, and its end isn't known.
    Unresolved(Right),
    /// Has ended.
    Ended {
        /// When.
        at: Wall,
        /// How.
        result: Outcome,
    },
}

/// The right to start one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Right {
    /// Which attempt.
    pub attempt: Attempt,
    /// Where.
    pub host: HostId,
    /// The host's generation; on another one the right is void.
    pub generation: Generation,
    /// When it was given.
    pub given: Wall,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran.
    Succeeded,
    /// It ran and failed.
    Failed,
    /// An operator ended it.
    Cancelled,
    /// It can never run.
    Hopeless(Hopeless),
}

/// Why a job can never run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Hopeless {
    /// It needs more than any host of its pool offers.
    TooLarge,
    /// It needs more than the whole quota of its team.
    OverQuota,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It ran.
    Succeeded,
    /// It ran and failed.
    Failed,
    /// The platform says that it never began and never can.
    NeverBegan,
    /// Nothing is known of it, and its lease has run out.
    Lost,
    /// The platform stopped it.
    Stopped {
        /// Set if nothing ran past this checkpoint.
        checkpoint: Option<u64>,
    },
}

/// What an operator says became of an unresolved attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Resolution {
    /// It ran.
    Succeeded,
    /// It ran and failed.
    Failed,
    /// It didn't run, or may run again all the same.
    Again,
}

impl Job {
    pub(super) fn new(spec: JobSpec, idempotent: bool, accepted: Wall) -> Self {
        Self {
            spec,
            idempotent,
            accepted,
            phase: Phase::Waiting,
            attempts: 0,
            failures: 0,
            checkpoint: None,
            cancelled: false,
        }
    }

    /// The live start right, if there is one.
    pub fn live(&self) -> Option<&Right> {
        match &self.phase {
            Phase::Starting(right) | Phase::Running(right) => Some(right),
            _ => None,
        }
    }

    /// Whether it has ended.
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    /// Refuses a start that could make two, and returns the attempt's number otherwise.
    pub(super) fn startable(&self, attempt: Attempt) -> Result<(), Refusal> {
        match &self.phase {
            Phase::Waiting => self.expect(attempt, self.attempts + 1),
            Phase::Starting(right) | Phase::Running(right) => Err(Refusal::JobLive {
                attempt: right.attempt,
            }),
            Phase::Unresolved(right) => Err(Refusal::MayHaveBegun {
                attempt: right.attempt,
            }),
            Phase::Ended { .. } => Err(Refusal::JobEnded),
        }
    }

    pub(super) fn start(&mut self, right: Right) {
        self.attempts = right.attempt;
        self.phase = Phase::Starting(right);
    }

    pub(super) fn begin(&mut self, attempt: Attempt) -> Result<(), Refusal> {
        self.expect(attempt, self.attempts)?;
        if let Phase::Starting(right) = &self.phase {
            self.phase = Phase::Running(right.clone());
        }
        Ok(())
    }

    pub(super) fn checkpoint(&mut self, attempt: Attempt, number: u64) -> Result<(), Refusal> {
        self.expect(attempt, self.attempts)?;
        self.begin(attempt)?;
        self.checkpoint = self.checkpoint.max(Some(number));
        Ok(())
    }

    pub(super) fn end(&mut self, at: Wall, attempt: Attempt, end: End) -> Result<(), Refusal> {
        self.expect(attempt, self.attempts)?;
        match (&self.phase, end) {
            (Phase::Ended { .. }, _) => Err(Refusal::JobEnded),
            (Phase::Running(_), End::NeverBegan) => Err(Refusal::Begun),
            (_, End::Succeeded) => self.close(at, Outcome::Succeeded),
            (Phase::Waiting, _) => Ok(()),
            (_, End::Failed) => self.fail(at),
            (_, End::NeverBegan) => self.retry(at),
            (_, End::Lost) => self.lose(at),
            // It ran, was stopped, and is over: nothing is lost to an owner who wanted that.
            (_, End::Stopped { checkpoint: None }) if self.cancelled => {
                self.close(at, Outcome::Cancelled)
            }
            (_, End::Stopped { checkpoint: None }) => self.lose(at),
            (_, End::Stopped { checkpoint }) => {
                self.checkpoint = self.checkpoint.max(checkpoint);
                self.retry(at)
            }
        }
    }

    pub(super) fn cancel(&mut self, at: Wall) -> Result<(), Refusal> {
        match &self.phase {
            Phase::Ended { .. } => Err(Refusal::JobEnded),
            Phase::Waiting => self.close(at, Outcome::Cancelled),
            Phase::Starting(_) | Phase::Running(_) | Phase::Unresolved(_) => {
                self.cancelled = true;
                Ok(())
            }
        }
    }

    pub(super) fn despair(&mut self, at: Wall, why: Hopeless) -> Result<(), Refusal> {
        match &self.phase {
            Phase::Waiting => self.close(at, Outcome::Hopeless(why)),
            Phase::Ended { .. } => Err(Refusal::JobEnded),
            Phase::Starting(right) | Phase::Running(right) | Phase::Unresolved(right) => {
                let attempt = right.attempt;
                Err(Refusal::JobLive { attempt })
            }
        }
    }

    pub(super) fn resolve(
        &mut self,
        at: Wall,
        attempt: Attempt,
        resolution: Resolution,
    ) -> Result<(), Refusal> {
        let Phase::Unresolved(right) = &self.phase else {
            return Err(Refusal::Resolved);
        };
        self.expect(attempt, right.attempt)?;
        match resolution {
            Resolution::Succeeded => self.close(at, Outcome::Succeeded),
            Resolution::Failed => self.close(at, Outcome::Failed),
            Resolution::Again => self.retry(at),
        }
    }

    fn expect(&self, attempt: Attempt, stands: Attempt) -> Result<(), Refusal> {
        if attempt == stands && attempt > 0 {
            return Ok(());
        }
        Err(Refusal::WrongAttempt { attempt: stands })
    }

    /// An idempotent job is tried elsewhere, since the host may be at fault; one that isn't has
    /// run, and that it failed is the truth about it.
    fn fail(&mut self, at: Wall) -> Result<(), Refusal> {
        self.failures += 1;
        if self.idempotent && self.failures < FAILURES {
            return self.retry(at);
        }
        self.close(at, Outcome::Failed)
    }

    fn lose(&mut self, at: Wall) -> Result<(), Refusal> {
        if self.idempotent {
            return self.retry(at);
        }
        if let Some(right) = self.live() {
            self.phase = Phase::Unresolved(right.clone());
        }
        Ok(())
    }

    fn retry(&mut self, at: Wall) -> Result<(), Refusal> {
        if self.cancelled {
            return self.close(at, Outcome::Cancelled);
        }
        self.phase = Phase::Waiting;
        Ok(())
    }

    fn close(&mut self, at: Wall, result: Outcome) -> Result<(), Refusal> {
        self.phase = Phase::Ended { at, result };
        self.spec.payload.clear();
        Ok(())
    }
}
