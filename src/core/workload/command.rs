//! The commands of the replicated log that change the ledger, with their encoding.
//!
//! The leader makes every decision before it proposes a command. A command holds results only, so that each
//! node that applies it reaches the same state.

use std::{fmt, net::SocketAddr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{
    catalog::{CatalogVersion, JobId, QueueTerms},
    intents::OrderIntent,
    job::TaskId,
    spec::JobSpec,
    suspicion::Crash,
};
use crate::core::{
    cluster::Cluster,
    types::{
        Attempt, DataCentreId, HostId, MinionId, Name, PoolId, RackId, Resources, Wall, WaveId,
        WorkspaceId,
    },
};

/// One entry of the log. The leader has decided its content; applying it makes no further decisions.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Command {
    /// Put a catalog in force, unless the same version or a newer one is already.
    Declare(Document),
    /// Accept a job, unless its number is taken.
    Submit(Box<Submission>),
    /// Cancel a job, unless it has ended.
    Cancel(JobId),
    /// Register an incarnation of an agent, or update what is known of it.
    Agent(Box<AgentRecord>),
    /// An incarnation of an agent has terminated, and with it all attempts that ran there.
    #[serde(rename = "Gone")]
    Terminated(MinionId),
    /// Apply what one round of the scheduler decided.
    Round(Round),
    /// Add a wave of maintenance, unless its number is taken.
    Wave(WaveRecord),
    /// Hosts of a wave have started their maintenance, or don't exist any more.
    Maintained {
        /// The wave.
        wave: WaveId,
        /// The hosts.
        hosts: Vec<HostId>,
    },
    /// Forget jobs that ended long enough ago.
    Forget(Vec<JobId>),
    /// An incarnation of an agent was lost, and a task that ran there may have crashed its host.
    Crashed(Crash),
    /// Set the identity of the cluster, unless it has one. Earlier releases can't decode this command.
    #[serde(rename = "Found")]
    SetCluster(Cluster),
}

impl Command {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("writing to a Vec never fails");
        bytes.into()
    }

    /// Decodes what [`Command::encode`] returned.
    ///
    /// # Errors
    ///
    /// The bytes were written by another release, or are damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self, ciborium::de::Error<std::io::Error>> {
        ciborium::from_reader(bytes)
    }
}

/// The text of a catalog. It contains the keys of workspaces, so its `Debug` output shows only its length.
#[derive(Clone, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct CatalogText(pub Bytes);

impl fmt::Debug for CatalogText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CatalogText({} bytes)", self.0.len())
    }
}

/// A catalog as an operator sent it. The text isn't parsed here, and is returned to operators unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Document {
    /// The version that the text declares.
    pub version: CatalogVersion,
    /// The text.
    pub text: CatalogText,
}

/// A job that a caller submits.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Submission {
    /// The number that the caller chose.
    pub job: JobId,
    /// Its queue.
    pub queue: Name,
    /// The pool that runs the queue's tasks.
    pub pool: PoolId,
    /// The workspace whose key the caller presented. Absent in log entries of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceId>,
    /// What the job keeps of its queue. Absent in log entries of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<QueueTerms>,
    /// The specification of the job.
    pub spec: JobSpec,
    /// When the leader accepted it, by the leader's clock.
    #[serde(rename = "accepted")]
    pub accepted_at: Wall,
}

/// One incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct AgentRecord {
    /// The id of the incarnation.
    pub id: MinionId,
    /// The name of the agent, which its later incarnations share. Absent in snapshots of earlier releases;
    /// then the id is the name.
    #[serde(default)]
    pub name: Name,
    /// The pool of its host.
    pub pool: PoolId,
    /// The address where it receives orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its labels; the last one is its rack.
    pub labels: Vec<Name>,
    /// The resources that its tasks may use altogether.
    #[serde(rename = "room")]
    pub capacity: Resources,
    /// Whether it is going to shut down and accepts no more tasks.
    pub leaving: bool,
    /// The number of the last end of an attempt that it reported and that was applied.
    pub acked: u64,
    /// The number of the heartbeat that reported this; the numbers rise. Absent in snapshots of earlier
    /// releases.
    #[serde(default)]
    pub sequence: u64,
}

impl AgentRecord {
    /// The name of the agent.
    pub fn name(&self) -> &Name {
        if self.name.is_empty() {
            &self.id
        } else {
            &self.name
        }
    }

    /// Whether `known` is a record of the same incarnation that an earlier release wrote under the agent's
    /// name instead of the incarnation's id. The numbers of heartbeats start over with each incarnation, so
    /// that a lower number shows another incarnation.
    pub(super) fn replaces_legacy(&self, known: &Self) -> bool {
        known.id == self.name
            && known.id != self.id
            && known.address == self.address
            && known.sequence <= self.sequence
    }

    /// The rack of its host.
    pub fn rack(&self) -> Option<&RackId> {
        self.labels.last()
    }

    /// Whether a later heartbeat of the same incarnation reports anything that has changed.
    pub fn differs(&self, later: &Self) -> bool {
        self.pool != later.pool
            || self.address != later.address
            || self.capacity != later.capacity
            || self.labels != later.labels
            || (later.leaving && !self.leaving)
    }
}

/// What one round of the scheduler decided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Round {
    /// The ends of attempts that agents reported.
    pub ends: Vec<EndBatch>,
    /// Attempts that are certain not to be running and never to start.
    pub freed: Vec<Placement>,
    /// Jobs that fail because a task of theirs has failed too often.
    pub failed: Vec<JobId>,
    /// New attempts.
    pub starts: Vec<Placement>,
    /// The hosts that the leader is about to send orders about. Absent in rounds of earlier releases.
    #[serde(rename = "touch", default)]
    pub intent: Option<OrderIntent>,
    /// Poison tasks, which crash the hosts they run on; their jobs fail.
    #[serde(rename = "convicted", default, skip_serializing_if = "Vec::is_empty")]
    pub poison_tasks: Vec<TaskId>,
    /// Long-running tasks whose evidence is dropped, since they have run long enough without a crash.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<TaskId>,
    /// Attempts that their agents haven't reported as started, although they were asked, and attempts whose
    /// order couldn't be sent. Absent in rounds of earlier releases.
    #[serde(rename = "unbegun", default, skip_serializing_if = "Vec::is_empty")]
    pub not_started: Vec<Placement>,
    /// When the round was decided, by the leader's clock. Absent in rounds of earlier releases.
    #[serde(default)]
    pub at: Wall,
}

impl Round {
    /// Whether the round changes nothing.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
            && self.freed.is_empty()
            && self.failed.is_empty()
            && self.starts.is_empty()
            && self.intent.is_none()
            && self.poison_tasks.is_empty()
            && self.cleared.is_empty()
            && self.not_started.is_empty()
    }
}

/// The placement of one attempt of a task at an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Placement {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: Attempt,
    /// The agent.
    pub agent: MinionId,
}

/// Ends of attempts that one agent reported, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct EndBatch {
    /// The agent.
    pub agent: MinionId,
    /// The number of the last end in the batch.
    pub through: u64,
    /// The ends.
    pub ends: Vec<ReportedEnd>,
}

/// The end of one attempt, as its agent reported it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ReportedEnd {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub how: Ending,
    /// The checkpoint from which another attempt may resume.
    pub checkpoint: Option<Name>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Ending {
    /// The task is done.
    Done,
    /// The attempt failed, through a fault of its own or of the agent.
    Failed,
    /// The attempt was stopped.
    Stopped,
    /// The agent's lease expired.
    Lapsed,
    /// Another task of its gang ended.
    Broken,
    /// The tasks of its gang were never all running.
    Alone,
}

/// A wave of maintenance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct WaveRecord {
    /// The number of the wave, which the operator chose.
    pub wave: WaveId,
    /// The hosts that haven't started their maintenance yet.
    #[serde(rename = "left")]
    pub remaining: Vec<HostId>,
    /// The most hosts of the wave that may be in maintenance at once.
    #[serde(rename = "cap")]
    pub max_concurrent: u32,
    /// When the wave has to be finished, by the clock of the leader that accepted it.
    #[serde(rename = "until")]
    pub deadline: Wall,
}
