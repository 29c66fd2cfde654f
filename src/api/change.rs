//! What an operator asks to have changed.

use std::{path::Path, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::Millis;
use crate::{
    core::{
        state::{JobSpec, Request, Resolution},
        types::{
            Attempt, HostId, JobId, OperationId, PoolId, PresetId, Resources, ServiceId, TeamId,
            Urgency, Version, WaveId,
        },
    },
    settings::{SettingsError, fleet},
};

/// A change under the id by which it is sent, and sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Operation {
    /// Chosen by the sender, unique, the same for a resend.
    pub operation: OperationId,
    /// What is asked.
    pub change: Change,
}

/// A change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// Replace the declaration.
    Apply {
        /// The name of the file, for problems.
        file: String,
        /// The YAML.
        text: String,
        /// The preset to use with it; nothing keeps the present one.
        preset: Option<PresetId>,
        /// The configuration that it was made against; zero before the first.
        expected: Version,
    },
    /// Switch to another preset.
    UsePreset {
        /// Which.
        preset: PresetId,
        /// The configuration that it was made against.
        expected: Version,
    },
    /// Maintain every host of a pool once.
    StartWave {
        /// Which pool.
        pool: PoolId,
        /// The configuration that it was made against.
        expected: Version,
    },
    /// Admit no further stops for a wave.
    PauseWave {
        /// Which.
        wave: WaveId,
    },
    /// Lift an operator's pause.
    ResumeWave {
        /// Which.
        wave: WaveId,
    },
    /// Take a host out of work when budgets allow.
    DrainHost {
        /// Which.
        host: HostId,
    },
    /// Withdraw a drain or a move, or bring a drained host back.
    ReturnHost {
        /// Which.
        host: HostId,
    },
    /// Hand a host to another pool when budgets allow.
    MoveHost {
        /// Which.
        host: HostId,
        /// Its next pool.
        pool: PoolId,
    },
    /// Accept a job.
    SubmitJob(JobBody),
    /// End a job that isn't needed any more.
    CancelJob {
        /// Which.
        job: JobId,
    },
    /// Say what became of an attempt that may have begun.
    ResolveJob {
        /// Which.
        job: JobId,
        /// The attempt that the operator looked at.
        attempt: Attempt,
        /// What became of it.
        resolution: Resolution,
    },
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct JobBody {
    /// The service it belongs to.
    pub service: ServiceId,
    /// The team whose quota it uses.
    pub team: TeamId,
    /// Whether it may run twice; nothing takes the service's word.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// What it says that it needs.
    pub resources: Resources,
    /// How soon it should start.
    #[serde(default)]
    pub urgency: Urgency,
    /// How long it says that it runs, in milliseconds.
    pub runtime: Millis,
    /// Whether the platform can checkpoint it.
    #[serde(default)]
    pub checkpointable: bool,
    /// What the platform runs.
    #[serde(default)]
    pub payload: String,
}

impl Change {
    /// The request of the shared state. A declaration is read and checked here, also by the
    /// daemon, since whatever posts it may be no tool of ours.
    ///
    /// # Errors
    ///
    /// If the declaration can't be used.
    pub fn request(&self) -> Result<Request, SettingsError> {
        Ok(match self.clone() {
            Self::Apply {
                file,
                text,
                preset,
                expected,
            } => Request::Apply {
                declaration: Arc::new(fleet::parse(Path::new(&file), &text)?),
                preset,
                expected,
            },
            Self::UsePreset { preset, expected } => Request::UsePreset { preset, expected },
            Self::StartWave { pool, expected } => Request::StartWave { pool, expected },
            Self::PauseWave { wave } => Request::PauseWave { wave },
            Self::ResumeWave { wave } => Request::ResumeWave { wave },
            Self::DrainHost { host } => Request::DrainHost { host },
            Self::ReturnHost { host } => Request::ReturnHost { host },
            Self::MoveHost { host, pool } => Request::MoveHost { host, pool },
            Self::SubmitJob(body) => Request::SubmitJob(body.spec()),
            Self::CancelJob { job } => Request::CancelJob { job },
            Self::ResolveJob {
                job,
                attempt,
                resolution,
            } => Request::ResolveJob {
                job,
                attempt,
                resolution,
            },
        })
    }

    /// The same change made against another configuration; unchanged where none is named.
    #[must_use]
    pub fn against(mut self, version: Version) -> Self {
        match &mut self {
            Self::Apply { expected, .. }
            | Self::UsePreset { expected, .. }
            | Self::StartWave { expected, .. } => *expected = version,
            _ => {}
        }
        self
    }

    /// Whether it is made against a configuration.
    pub const fn is_versioned(&self) -> bool {
        matches!(
            self,
            Self::Apply { .. } | Self::UsePreset { .. } | Self::StartWave { .. }
        )
    }
}

impl JobBody {
    fn spec(self) -> JobSpec {
        JobSpec {
            service: self.service,
            team: self.team,
            idempotent: self.idempotent,
            resources: self.resources,
            urgency: self.urgency,
            runtime: Duration::from_millis(self.runtime),
            checkpointable: self.checkpointable,
            payload: self.payload.into(),
        }
    }
}
