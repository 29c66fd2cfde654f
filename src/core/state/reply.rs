//! What a command is answered with.

use serde::{Deserialize, Serialize};

use super::{command::Kind, hosts::Stage};
use crate::core::{
    dispatch::ClaimAnswer,
    types::{
        Attempt, Generation, HostId, JobId, NodeId, OperationId, PoolId, PresetId, ServiceId,
        TeamId, Version, WaveId,
    },
};

/// The answer to one command; the same on every copy of the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// A configuration was committed. It is in force once activation has reached every node.
    Configured {
        /// Its version.
        version: Version,
    },
    /// A wave was started.
    WaveStarted {
        /// Its id.
        wave: WaveId,
    },
    /// A job was accepted.
    JobAccepted {
        /// Its id.
        job: JobId,
    },
    /// A job may be started.
    StartGranted {
        /// The attempt.
        attempt: Attempt,
    },
    /// A host has a new generation; leases of older ones are void.
    HostRenewed {
        /// Its generation.
        generation: Generation,
    },
    /// What the claims say of a key.
    Claimed {
        /// The answer.
        answer: ClaimAnswer,
    },
    /// The command took effect, or had already.
    Noted,
    /// Nothing was changed.
    Refused(Refusal),
}

/// Why nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Another change came first; make the request again against its version.
    Stale {
        /// The change that stands.
        change: Change,
    },
    /// The operation id was used for a different request.
    OperationReused,
    /// Too many operations are remembered; nothing may be forgotten early.
    OperationsFull,
    /// The declaration has several presets and the request names none.
    PresetUnnamed,
    /// No such preset is declared.
    NoPreset {
        /// The name asked for.
        preset: PresetId,
    },
    /// No such pool is declared.
    NoPool {
        /// The name asked for.
        pool: PoolId,
    },
    /// A pool that still has hosts, or is the next one of a host, can't go.
    PoolInUse {
        /// The pool.
        pool: PoolId,
        /// One of its hosts.
        host: HostId,
    },
    /// No such service is declared.
    NoService {
        /// The name asked for.
        service: ServiceId,
    },
    /// A service that still has unfinished jobs can't go.
    ServiceInUse {
        /// The service.
        service: ServiceId,
        /// One of its jobs.
        job: JobId,
    },
    /// No such team is declared.
    NoTeam {
        /// The name asked for.
        team: TeamId,
    },
    /// A team that still has unfinished jobs can't go.
    TeamInUse {
        /// The team.
        team: TeamId,
        /// One of its jobs.
        job: JobId,
    },
    /// No such host is declared.
    NoHost {
        /// The name asked for.
        host: HostId,
    },
    /// The host has a live start right.
    HostBusy {
        /// The host.
        host: HostId,
        /// One of its jobs.
        job: JobId,
    },
    /// A host that still serves can't go from the declaration.
    HostInService {
        /// The host.
        host: HostId,
        /// The stage it is in.
        stage: Stage,
    },
    /// The host has changed hands or come back since.
    StaleGeneration {
        /// Its generation now.
        generation: Generation,
    },
    /// The host can't enter this stage from the one it is in, or doesn't take work in it.
    WrongStage {
        /// The stage it is in.
        stage: Stage,
    },
    /// The host isn't meant to move.
    NotMoving,
    /// The host belongs to another pool than the job's service.
    WrongPool {
        /// The host's pool.
        pool: PoolId,
    },
    /// The decision was made under a configuration that isn't in force.
    NotInForce {
        /// The one in force; `None` while a change is being rolled out.
        version: Option<Version>,
    },
    /// Only the newest configuration can be activated.
    Superseded {
        /// The newest.
        version: Version,
    },
    /// No such wave.
    NoWave {
        /// The id asked for.
        wave: WaveId,
    },
    /// The pool already has a wave.
    WaveRunning {
        /// Its id.
        wave: WaveId,
    },
    /// The wave is paused or has ended and admits no stop.
    WavePaused,
    /// The wave can't go back to an earlier step with this host, or doesn't include it.
    WrongProgress,
    /// No such job, or it ended long ago.
    NoJob {
        /// The id asked for.
        job: JobId,
    },
    /// The job has a live start right.
    JobLive {
        /// The attempt that has it.
        attempt: Attempt,
    },
    /// The job has ended.
    JobEnded,
    /// The job isn't idempotent and an attempt of it may have begun.
    MayHaveBegun {
        /// That attempt.
        attempt: Attempt,
    },
    /// The attempt isn't the one that stands.
    WrongAttempt {
        /// The one that would be taken.
        attempt: Attempt,
    },
    /// The platform contradicts itself: the attempt has begun before.
    Begun,
    /// No attempt of the job is unresolved.
    Resolved,
    /// The team's running jobs use all of its quota.
    OverQuota,
    /// A node that left never comes back under its old id.
    Retired {
        /// The id.
        node: NodeId,
    },
    /// No such node.
    NoNode {
        /// The id.
        node: NodeId,
    },
}

/// A change of configuration, as the loser of a race is told of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Change {
    /// The version it made; zero if there was none yet.
    pub version: Version,
    /// The operation that made it; `None` if there was none yet.
    pub operation: Option<OperationId>,
    /// Its kind; `None` if there was none yet.
    pub kind: Option<Kind>,
}

impl Reply {
    /// Whether the command changed nothing.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(_))
    }
}
