//! Jobs.

use serde::{Deserialize, Serialize};

use crate::{
    api::{Millis, millis},
    core::{
        state::{self, Outcome, Phase, State},
        types::{Attempt, HostId, JobId, ServiceId, TeamId, Urgency},
    },
};

/// All jobs that are remembered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Jobs {
    /// In the order of acceptance.
    pub jobs: Vec<Job>,
}

/// One job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Job {
    /// Its id.
    pub job: JobId,
    /// Its service.
    pub service: ServiceId,
    /// Its team.
    pub team: TeamId,
    /// How soon it should start.
    pub urgency: Urgency,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// When it was accepted.
    pub accepted: Millis,
    /// `waiting`, `starting`, `running`, `unresolved` or `ended`.
    pub phase: String,
    /// How it ended.
    pub result: Option<Outcome>,
    /// The host of its live or unresolved attempt.
    pub host: Option<HostId>,
    /// Start rights given so far.
    pub attempts: Attempt,
    /// Whether an operator wants it ended.
    pub cancelled: bool,
}

impl Jobs {
    /// All jobs.
    pub fn of(state: &State) -> Self {
        let jobs = state.jobs().iter();
        Self {
            jobs: jobs.map(|(id, job)| Job::new(id, job)).collect(),
        }
    }
}

impl Job {
    /// One job, if it is remembered.
    pub fn of(state: &State, job: JobId) -> Option<Self> {
        state.jobs().get(job).map(|found| Self::new(job, found))
    }

    fn new(id: JobId, job: &state::Job) -> Self {
        let (phase, right, result) = match &job.phase {
            Phase::Waiting => ("waiting", None, None),
            Phase::Starting(right) => ("starting", Some(right), None),
            Phase::Running(right) => ("running", Some(right), None),
            Phase::Unresolved(right) => ("unresolved", Some(right), None),
            Phase::Ended { result, .. } => ("ended", None, Some(*result)),
        };
        Self {
            job: id,
            service: job.spec.service.clone(),
            team: job.spec.team.clone(),
            urgency: job.spec.urgency,
            idempotent: job.idempotent,
            accepted: millis(job.accepted),
            phase: String::from(phase),
            result,
            host: right.map(|r| r.host.clone()),
            attempts: job.attempts,
            cancelled: job.cancelled,
        }
    }
}
