//! The inputs and outputs of consensus, and the entries and disk records that they carry.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::types::{DataCentreId, NodeId};

/// The index of an entry in the log; the first entry has 1.
pub type Index = u64;
/// The number of an election; each term has at most one leader.
pub type Term = u64;
/// Bytes that consensus carries and never interprets.
pub type Payload = Bytes;

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// The term of the leader that created it.
    pub term: Term,
    /// Its index.
    pub index: Index,
    /// Its content.
    pub content: Content,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Content {
    /// The first entry of a new leader.
    Noop,
    /// A command for the state machine.
    Command(Payload),
    /// A change of voters: all voters from this entry on.
    Voters(Vec<NodeId>),
}

pub use super::message::Message;

/// A node and its data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Location {
    /// The node.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

/// An event that a node reacts to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed; sent at least every 10 ms, and without a pause while
    /// [`Node::has_unapplied`](super::Node::has_unapplied).
    Tick,
    /// A message from another node has arrived.
    Receive {
        /// The sender.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Append a command, if this node leads. The output that answers it carries the proposal
    /// number.
    Propose {
        /// The caller's number for the proposal.
        proposal: u64,
        /// The command.
        payload: Payload,
    },
    /// All writes up to this one are synced.
    Synced {
        /// The write number of the last [`Output::Write`] that is on disk.
        write: u64,
    },
    /// Add or remove one voter, if this node leads. A new voter first catches up with the log; only
    /// then is the proposal appended.
    Reconfigure {
        /// The caller's number for the proposal.
        proposal: u64,
        /// All voters after the change.
        voters: Vec<NodeId>,
    },
    /// Hand leadership to another voter, for a planned stop.
    HandOver {
        /// The new leader; the most advanced other voter if none is named.
        to: Option<NodeId>,
    },
    /// This node is about to stop: from now on it never becomes leader.
    Retire,
    /// All nodes that are known now, including this one, and their data centres.
    Nodes(Vec<Location>),
    /// The state machine's snapshot as of an index; the log up to there may be dropped.
    Compact {
        /// The last index that the snapshot includes.
        index: Index,
        /// The state machine's snapshot.
        snapshot: Payload,
    },
}

/// How many commands a node accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// The number that it accepts now.
    pub now: usize,
    /// The number that a leader accepts if none wait to be committed.
    pub most: usize,
}

/// An action that the driver has to carry out, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message to a node; loss is allowed.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Write a record to disk, in order, and report [`Input::Synced`].
    Write {
        /// The number to report.
        write: u64,
        /// The record.
        record: Record,
    },
    /// Apply a committed entry to the state machine. Entries come in index order, each once.
    Apply(Entry),
    /// Replace the state machine's state by a snapshot.
    Restore {
        /// The last index that the snapshot includes.
        index: Index,
        /// The state machine's snapshot.
        snapshot: Payload,
    },
    /// The proposal was appended to the log. It is committed only when an entry with this index and
    /// term is applied.
    Appended {
        /// The caller's number for the proposal.
        proposal: u64,
        /// The term of its entry.
        term: Term,
        /// The index of its entry.
        index: Index,
    },
    /// The proposal was not appended and never takes effect.
    Rejected {
        /// The caller's number for the proposal.
        proposal: u64,
        /// The node that leads, if known.
        leader: Option<NodeId>,
    },
    /// This node led a term and has stepped down. This needs no action; it informs the operators of
    /// the cluster.
    Resigned {
        /// The term that it led.
        term: Term,
        /// The reason.
        why: Resignation,
    },
}

/// The reason why a leader stepped down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Resignation {
    /// No quorum answered for as long as a lease lasts.
    NoQuorum,
    /// Its disk has left a write unsynced for the longest election timeout.
    Stalled,
    /// Another node is in a later term.
    Superseded,
    /// It handed leadership over as planned.
    HandedOver,
}

impl Resignation {
    /// A fixed label, for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoQuorum => "no quorum answered",
            Self::Stalled => "the disk stalled",
            Self::Superseded => "a later term",
            Self::HandedOver => "handed over",
        }
    }
}

/// A durable record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Record {
    /// Whether this disk may ever vote under its id; written once, before any other record.
    #[serde(rename = "Standing")]
    Eligibility {
        /// False on a disk that was empty although its id was a voter already.
        voting: bool,
    },
    /// A term, and the vote of this node in it.
    Ballot {
        /// The current term.
        term: Term,
        /// The node that this node voted for in it.
        vote: Option<NodeId>,
    },
    /// Entries; they replace all entries at or after the first one's index.
    Append(Vec<Entry>),
    /// A snapshot; the log up to its index may be dropped.
    Snapshot {
        /// The last index that the snapshot includes.
        index: Index,
        /// The term of the entry at that index.
        term: Term,
        /// The voters as of that index.
        voters: Vec<NodeId>,
        /// The state machine's snapshot.
        #[serde(rename = "image")]
        data: Payload,
    },
}
