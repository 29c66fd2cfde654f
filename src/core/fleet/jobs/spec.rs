//! A job as its owner submitted it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::types::{PoolId, Resources, ServiceId, TeamId, Urgency};

/// A job as its owner submitted it.
///
/// ```
/// use egretpin::core::{fleet::jobs::JobSpec, types::Resources};
///
/// let need = Resources { millicores: 500, memory: 1 << 30, accelerators: 0 };
/// let spec = JobSpec::new("sensors".into(), "growth".into(), "firmware".into(), need)
///     .idempotent(true)
///     .priority(3);
/// assert!(!spec.checkpoints);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct JobSpec {
    /// The pool whose hosts may run it.
    pub pool: PoolId,
    /// The service that it belongs to; its jobs are spread over racks and data centres.
    pub service: ServiceId,
    /// The team whose quota it uses.
    pub team: TeamId,
    /// What its owner believes it needs: a prior, which observed use replaces.
    pub declared: Resources,
    /// How long its owner believes it runs.
    pub run_time: Duration,
    /// Greater goes first among jobs of the same urgency.
    pub priority: u8,
    /// Whether it goes before all ordinary work.
    pub urgency: Urgency,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether the platform can checkpoint it.
    pub checkpoints: bool,
}

impl JobSpec {
    /// An ordinary job of an hour that may not run twice and can't be checkpointed.
    pub fn new(pool: PoolId, service: ServiceId, team: TeamId, declared: Resources) -> Self {
        Self {
            pool,
            service,
            team,
            declared,
            run_time: Duration::from_secs(3600),
            priority: 0,
            urgency: Urgency::Ordinary,
            idempotent: false,
            checkpoints: false,
        }
    }

    /// Sets the declared run time.
    #[must_use]
    pub const fn run_time(mut self, run_time: Duration) -> Self {
        self.run_time = run_time;
        self
    }

    /// Sets the priority.
    #[must_use]
    pub const fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Makes the job urgent.
    #[must_use]
    pub const fn urgent(mut self) -> Self {
        self.urgency = Urgency::Urgent;
        self
    }

    /// Sets whether it may run twice.
    #[must_use]
    pub const fn idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Sets whether the platform can checkpoint it.
    #[must_use]
    pub const fn checkpoints(mut self, checkpoints: bool) -> Self {
        self.checkpoints = checkpoints;
        self
    }
}
