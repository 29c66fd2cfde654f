//! What changes the ledger, as the log carries it.

use std::{fmt, net::SocketAddr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{
    catalog::{CatalogVersion, JobId},
    job::TaskId,
    spec::JobSpec,
    suspicion::Crash,
    touched::Touch,
};
use crate::core::{
    cluster::Cluster,
    types::{
        Attempt, DataCentreId, HostId, MinionId, Name, PoolId, RackId, Resources, Wall, WaveId,
        WorkspaceId,
    },
};

/// One change. All that is in it was decided by the leader; applying it decides nothing.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Command {
    /// Take a catalog, unless a newer one was taken.
    Declare(Document),
    /// Accept a job, unless its number is taken.
    Submit(Box<Submission>),
    /// Cancel a job, unless it is over.
    Cancel(JobId),
    /// Know an agent, or know it better.
    Agent(Box<AgentRecord>),
    /// An incarnation of an agent is over, and all that ran there.
    Gone(MinionId),
    /// What one round of the scheduler decided.
    Round(Round),
    /// Take on a wave of maintenance, unless its number is taken.
    Wave(WaveRecord),
    /// Hosts of a wave have begun their maintenance, or are there no more.
    Maintained {
        /// The wave.
        wave: WaveId,
        /// Which hosts.
        hosts: Vec<HostId>,
    },
    /// Forget jobs that have been over for long enough.
    Forget(Vec<JobId>),
    /// An incarnation of an agent is over, and what ran there may have ended it.
    Crashed(Crash),
    /// The cluster gets its id, unless it has one. Earlier releases can't read this.
    Found(Cluster),
}

impl Command {
    /// The bytes in the log.
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a vector takes every write");
        bytes.into()
    }

    /// Reads what [`Command::encode`] wrote.
    ///
    /// # Errors
    ///
    /// The bytes are of another release, or damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self, ciborium::de::Error<std::io::Error>> {
        ciborium::from_reader(bytes)
    }
}

/// The text of a catalog. It holds the keys of workspaces, and so isn't shown.
#[derive(Clone, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct CatalogText(pub Bytes);

impl fmt::Debug for CatalogText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CatalogText({} bytes)", self.0.len())
    }
}

/// A catalog as an operator sent it. The text isn't read here: it goes back to operators as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Document {
    /// The version that it names.
    pub version: CatalogVersion,
    /// The text.
    pub text: CatalogText,
}

/// A job that a caller hands in.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Submission {
    /// The number that the caller chose.
    pub job: JobId,
    /// Its queue.
    pub queue: Name,
    /// The pool that runs the queue's tasks.
    pub pool: PoolId,
    /// The workspace whose key its caller showed. Entries of earlier releases hold none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceId>,
    /// What it asks for.
    pub spec: JobSpec,
    /// When the leader took it.
    pub accepted: Wall,
}

/// One incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct AgentRecord {
    /// Which.
    pub id: MinionId,
    /// The name of its agent, which later incarnations may have, too. Older images hold none; then the id
    /// is the name.
    #[serde(default)]
    pub name: Name,
    /// The pool of its host.
    pub pool: PoolId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its labels; the last one is its rack.
    pub labels: Vec<Name>,
    /// All that its tasks may use.
    pub room: Resources,
    /// Whether it is to end and takes no more work.
    pub leaving: bool,
    /// The last of its ends that was taken in.
    pub acked: u64,
    /// The number of the heartbeat that said so; they rise. Older images hold none.
    #[serde(default)]
    pub sequence: u64,
}

impl AgentRecord {
    /// The name of its agent.
    pub fn name(&self) -> &Name {
        if self.name.is_empty() {
            &self.id
        } else {
            &self.name
        }
    }

    /// Whether an earlier release knew an incarnation by the name of its agent alone, and this is a later
    /// heartbeat of the same one. Their numbers begin anew with each incarnation.
    pub(super) fn is_later_of(&self, known: &Self) -> bool {
        known.id == self.name
            && known.id != self.id
            && known.address == self.address
            && known.sequence <= self.sequence
    }

    /// Its rack.
    pub fn rack(&self) -> Option<&RackId> {
        self.labels.last()
    }

    /// Whether a later heartbeat of the same incarnation says something new.
    pub fn differs(&self, later: &Self) -> bool {
        self.pool != later.pool
            || self.address != later.address
            || self.room != later.room
            || self.labels != later.labels
            || (later.leaving && !self.leaving)
    }
}

/// What one round of the scheduler decided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Round {
    /// Ends that agents reported.
    pub ends: Vec<Ends>,
    /// Attempts that surely don't run and never will.
    pub freed: Vec<Placed>,
    /// Jobs of which a task has failed too often.
    pub failed: Vec<JobId>,
    /// New attempts.
    pub starts: Vec<Placed>,
    /// Hosts that are about to get orders. Rounds of earlier releases hold none.
    #[serde(default)]
    pub touch: Option<Touch>,
    /// Tasks that end the hosts that run them; their jobs fail.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub convicted: Vec<TaskId>,
    /// Lasting tasks that have been at work for so long that nothing is held against them any more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<TaskId>,
    /// Attempts that their agents haven't said to have begun, though they were asked, or that couldn't be
    /// sent. Rounds of earlier releases hold none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unbegun: Vec<Placed>,
    /// When it was decided, by the leader's clock. Rounds of earlier releases say nothing.
    #[serde(default)]
    pub at: Wall,
}

impl Round {
    /// Whether nothing was decided.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
            && self.freed.is_empty()
            && self.failed.is_empty()
            && self.starts.is_empty()
            && self.touch.is_none()
            && self.convicted.is_empty()
            && self.cleared.is_empty()
            && self.unbegun.is_empty()
    }
}

/// An attempt of a task at an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Placed {
    /// The task.
    pub task: TaskId,
    /// Which attempt.
    pub attempt: Attempt,
    /// The agent.
    pub agent: MinionId,
}

/// Ends that one agent reported, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Ends {
    /// The agent.
    pub agent: MinionId,
    /// The number of the last one.
    pub through: u64,
    /// The ends.
    pub ends: Vec<End>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct End {
    /// The task.
    pub task: TaskId,
    /// Which attempt.
    pub attempt: Attempt,
    /// How.
    pub how: Ending,
    /// From where another attempt may go on.
    pub checkpoint: Option<Name>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Ending {
    /// The task is done.
    Done,
    /// It failed, by its own fault or the agent's.
    Failed,
    /// It was stopped.
    Stopped,
    /// The agent's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Its gang never came together.
    Alone,
}

/// A wave of maintenance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct WaveRecord {
    /// Its number, which the operator chose.
    pub wave: WaveId,
    /// The hosts that still have to begin their maintenance.
    pub left: Vec<HostId>,
    /// At most so many at once.
    pub cap: u32,
    /// When it has to be through, by the clock of the leader that took it.
    pub until: Wall,
}
