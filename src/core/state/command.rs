//! What the log carries: operators' requests and the system's own events.
//!
//! Every command is stamped by the leader with wall time, so that all copies agree on what has
//! expired. An operator's request also carries the id of its operation: a resend with the same id
//! gets the first reply again and changes nothing.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    error::DecodeError,
    hosts::Stage,
    image,
    jobs::{End, Hopeless, Resolution},
    members::Member,
    waves::Progress,
};
use crate::core::{
    claims,
    consensus::Payload,
    declaration::Declaration,
    types::{
        Attempt, Generation, HostId, JobId, NodeId, OperationId, PoolId, PresetId, Resources,
        ServiceId, TeamId, Urgency, Version, Wall, WaveId,
    },
};

/// One entry of the log, as the state machine sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Command {
    /// When the leader proposed it.
    pub at: Wall,
    /// What it asks for.
    pub body: Body,
}

/// Who asks, and what for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Body {
    /// An operator's request under its operation id.
    Operator {
        /// Chosen by the operator's tool; the same for a resend.
        operation: OperationId,
        /// What is asked.
        request: Request,
    },
    /// An event of egretpin or of the platform.
    System(Event),
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Request {
    /// Replace the declaration.
    Apply {
        /// The new one, already checked.
        declaration: Arc<Declaration>,
        /// The preset to use with it; `None` keeps the present one. The first declaration needs
        /// it unless it has a single preset.
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
    /// Withdraw a drain or a move that hasn't been carried out, or bring a drained host back.
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
    /// Accept a job. Its id is the index of this command.
    SubmitJob(JobSpec),
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
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct JobSpec {
    /// The service it belongs to, which gives it its pool.
    pub service: ServiceId,
    /// The team whose quota it uses.
    pub team: TeamId,
    /// Whether it may run twice; `None` takes the service's word.
    pub idempotent: Option<bool>,
    /// What it says that it needs.
    pub resources: Resources,
    /// How soon it should start.
    pub urgency: Urgency,
    /// How long it says that it runs.
    pub runtime: Duration,
    /// Whether the platform can checkpoint it.
    pub checkpointable: bool,
    /// What the platform runs; never read here.
    pub payload: Payload,
}

/// An event of egretpin or of the platform, proposed by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Event {
    /// Give the right to start one attempt of a job on one host.
    StartRight {
        /// The job.
        job: JobId,
        /// The host.
        host: HostId,
        /// The host's generation as the decision saw it.
        generation: Generation,
        /// The attempt, one more than the job has had.
        attempt: Attempt,
    },
    /// The platform says that an attempt has begun.
    JobBegan {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
    },
    /// The platform's last word on an attempt, or its absence.
    JobEnded {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        end: End,
    },
    /// The platform holds a new checkpoint of a running attempt.
    Checkpointed {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// The checkpoint's number, which grows.
        checkpoint: u64,
    },
    /// A waiting job can never run.
    JobHopeless {
        /// The job.
        job: JobId,
        /// Why.
        why: Hopeless,
    },
    /// A host enters a stage.
    HostStage {
        /// The host.
        host: HostId,
        /// Its generation as the decision saw it.
        generation: Generation,
        /// The stage it enters.
        stage: Stage,
        /// The configuration under which this was decided. A planned stop ([`Stage::Cordoned`])
        /// is refused unless exactly this one is in force.
        under: Version,
    },
    /// A preset wants a host in another pool, or doesn't want it any more.
    Aim {
        /// The host.
        host: HostId,
        /// The pool; `None` to stay where it is.
        pool: Option<PoolId>,
        /// The configuration under which this was decided; it must be in force.
        under: Version,
    },
    /// A host that is out of work changes pools as its intent says.
    HandOver {
        /// The host.
        host: HostId,
        /// Its generation as the decision saw it.
        generation: Generation,
        /// The configuration under which this was decided; it must be in force.
        under: Version,
    },
    /// A wave got further with one host.
    WaveAdvance {
        /// The wave.
        wave: WaveId,
        /// The host.
        host: HostId,
        /// How far it got.
        progress: Progress,
    },
    /// An unplanned loss pauses a wave, or its repair lifts that pause.
    WaveLoss {
        /// The wave.
        wave: WaveId,
        /// Whether the loss stands.
        lost: bool,
    },
    /// Every node has acknowledged a configuration or let its lease run out.
    Activated {
        /// The configuration.
        version: Version,
    },
    /// A node joins, or its record changes.
    Join {
        /// The node.
        node: NodeId,
        /// Its record.
        member: Member,
    },
    /// A node leaves for good; its id is never used again.
    Leave {
        /// The node.
        node: NodeId,
    },
    /// A node claims or settles an idempotency key.
    Key(claims::Command),
}

impl Command {
    /// An operator's request.
    pub fn operator(at: Wall, operation: impl Into<OperationId>, request: Request) -> Self {
        let operation = operation.into();
        Self {
            at,
            body: Body::Operator { operation, request },
        }
    }

    /// An event of the system.
    pub fn system(at: Wall, event: Event) -> Self {
        Self {
            at,
            body: Body::System(event),
        }
    }

    /// The bytes that the log carries.
    pub fn encode(&self) -> Payload {
        image::encode(self)
    }

    /// Reads what [`Command::encode`] wrote.
    ///
    /// # Errors
    ///
    /// When the bytes aren't a command of this release.
    pub fn decode(payload: &[u8]) -> Result<Self, DecodeError> {
        image::decode(payload)
    }
}

impl Request {
    /// Which kind of request this is, for replies and logs.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Apply { .. } => Kind::Apply,
            Self::UsePreset { .. } => Kind::UsePreset,
            Self::StartWave { .. } => Kind::StartWave,
            Self::PauseWave { .. } => Kind::PauseWave,
            Self::ResumeWave { .. } => Kind::ResumeWave,
            Self::DrainHost { .. } => Kind::DrainHost,
            Self::ReturnHost { .. } => Kind::ReturnHost,
            Self::MoveHost { .. } => Kind::MoveHost,
            Self::SubmitJob(_) => Kind::SubmitJob,
            Self::CancelJob { .. } => Kind::CancelJob,
            Self::ResolveJob { .. } => Kind::ResolveJob,
        }
    }
}

/// The kind of an operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// [`Request::Apply`].
    Apply,
    /// [`Request::UsePreset`].
    UsePreset,
    /// [`Request::StartWave`].
    StartWave,
    /// [`Request::PauseWave`].
    PauseWave,
    /// [`Request::ResumeWave`].
    ResumeWave,
    /// [`Request::DrainHost`].
    DrainHost,
    /// [`Request::ReturnHost`].
    ReturnHost,
    /// [`Request::MoveHost`].
    MoveHost,
    /// [`Request::SubmitJob`].
    SubmitJob,
    /// [`Request::CancelJob`].
    CancelJob,
    /// [`Request::ResolveJob`].
    ResolveJob,
}
