//! The requests that the leader answers, and its replies.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::{
    types::{Name, NodeId, WaveId},
    workload::{
        command::{AgentRecord, CatalogText, Document, WaveRecord},
        footprint::{agent_bytes, document_bytes, job_bytes, wave_bytes},
        job::JobState,
        scheduler::AgentTime,
        spec::JobSpec,
        workspace::KeyDigest,
    },
};

/// A request to the leader.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum LeaderRequest {
    /// A caller's request.
    Call(Call),
    /// Puts a catalog in force.
    Declare(Document),
    /// Reads the catalog in force.
    ReadCatalog,
    /// A heartbeat of an agent.
    #[serde(rename = "Beat")]
    Heartbeat(Box<Heartbeat>),
    /// The agent with this name is about to end.
    Leave(Name),
    /// Starts a wave of maintenance.
    BeginWave(WaveRecord),
    /// Reads whether a wave is complete.
    WaveState(WaveId),
}

impl LeaderRequest {
    /// Whether carrying it out changes anything, rather than only reading it.
    pub fn changes_state(&self) -> bool {
        match self {
            Self::Call(call) => match call.verb {
                Verb::Submit(_) | Verb::Cancel => true,
                Verb::Read => false,
            },
            Self::Declare(_) | Self::Heartbeat(_) | Self::Leave(_) | Self::BeginWave(_) => true,
            Self::ReadCatalog | Self::WaveState(_) => false,
        }
    }

    /// About how many bytes it takes while it waits, if its sender chooses how many.
    pub fn bytes(&self) -> usize {
        let bytes = match self {
            Self::Call(call) => match &call.verb {
                Verb::Submit(spec) => job_bytes(spec),
                Verb::Read | Verb::Cancel => 0,
            },
            Self::Declare(document) => document_bytes(document),
            Self::Heartbeat(heartbeat) => agent_bytes(&heartbeat.agent),
            Self::BeginWave(wave) => wave_bytes(wave),
            Self::ReadCatalog | Self::Leave(_) | Self::WaveState(_) => 0,
        };
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Call {
    /// The virtual host.
    pub host: Name,
    /// The path.
    pub path: Name,
    /// The action on what the path names.
    pub verb: Verb,
    /// Digest of the key that the caller presented. Entry nodes of earlier releases send none.
    #[serde(default)]
    pub key: Option<KeyDigest>,
}

/// What a caller wants to do.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Verb {
    /// Submits a job.
    Submit(Box<JobSpec>),
    /// Reads a job's state, or the number of pending jobs of a queue.
    #[serde(rename = "Look")]
    Read,
    /// Cancels a job.
    Cancel,
}

impl Verb {
    /// The name of the action in logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Read => "look",
            Self::Cancel => "cancel",
        }
    }
}

/// A heartbeat of an agent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Heartbeat {
    /// The agent's description of itself.
    pub agent: AgentRecord,
    /// The agent's clock when it sent the heartbeat.
    pub clock: AgentTime,
}

/// The leader's reply.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Reply {
    /// The request is committed and can't be lost.
    Done,
    /// A job's state.
    State(JobState),
    /// The number of a queue's jobs whose first task hasn't been started.
    Pending(u64),
    /// The catalog in force.
    Catalog(CatalogText),
    /// The state of a wave.
    Wave {
        /// Whether the wave is complete.
        through: bool,
    },
    /// The object that the request names doesn't exist.
    Unknown(Unknown),
    /// The queue requires a key, and the caller presented none or one that belongs to no workspace.
    Denied,
    /// The request can never be carried out as it stands. Nothing was changed.
    Invalid(String),
    /// The request wasn't carried out and may be retried.
    Refused(Refused),
    /// The request may have been carried out, or may be carried out later.
    Unclear,
}

/// What a reply proves about the try of a request that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request is carried out, by this try or by an earlier one.
    CarriedOut,
    /// This try changed nothing. That says nothing about earlier ones, since what decides a try may have changed
    /// since they were carried out: the catalog, the keys, the room for jobs.
    Nothing,
    /// It may have been carried out.
    Unknown,
}

impl Reply {
    /// What this reply proves about the try that it answers.
    pub fn effect(&self) -> Effect {
        match self {
            Self::Done => Effect::CarriedOut,
            Self::State(_)
            | Self::Pending(_)
            | Self::Catalog(_)
            | Self::Wave { .. }
            | Self::Unknown(_)
            | Self::Denied
            | Self::Invalid(_)
            | Self::Refused(_) => Effect::Nothing,
            Self::Unclear => Effect::Unknown,
        }
    }
}

/// The object that a request names and that doesn't exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Unknown {
    /// No queue has this host and path.
    Queue,
    /// The queue has no such job.
    Job,
    /// No wave has this id.
    Wave,
}

/// Why a request wasn't carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Refused {
    /// The node that was asked isn't the leader. Holds the leader if the node knows it.
    NotLeader(Option<NodeId>),
    /// No leader was found.
    NoLeader,
    /// No catalog has been declared yet.
    NoCatalog,
    /// The leader's log or its disk is full.
    Overloaded,
    /// The queue's jobs crash the hosts that run them, and so many of them are waiting that this
    /// job couldn't be tried in time. Holds the time until the waiting jobs are done.
    Storm(Duration),
    /// The job can't be done in its time. Holds the time after which its caller should return.
    Capacity(Duration),
    /// The control nodes have no memory to keep it. Holds the time after which its sender should return.
    Memory(Duration),
}

impl Refused {
    /// The name of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotLeader(_) => "not_leader",
            Self::NoLeader => "no_leader",
            Self::NoCatalog => "no_catalog",
            Self::Overloaded => "overloaded",
            Self::Storm(_) => "storm",
            Self::Capacity(_) => "capacity",
            Self::Memory(_) => "memory",
        }
    }

    /// When to retry: after an election, after the next round of the log, when the waiting jobs are
    /// done, or at the job's turn.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::NotLeader(_) | Self::NoLeader | Self::NoCatalog => Duration::from_secs(1),
            Self::Overloaded => Duration::from_millis(500),
            Self::Storm(wait) | Self::Capacity(wait) | Self::Memory(wait) => wait,
        }
    }
}
