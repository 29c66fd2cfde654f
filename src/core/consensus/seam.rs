//! What goes into and comes out of consensus.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::types::{DataCentreId, NodeId};

/// A position in the log; the first entry has 1.
pub type Index = u64;
/// An election's number.
pub type Term = u64;
/// What consensus carries and never reads.
pub type Payload = Bytes;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// The term of the leader that made it.
    pub term: Term,
    /// Its position.
    pub index: Index,
    /// What it holds.
    pub content: Content,
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Content {
    /// A new leader's first entry.
    Noop,
    /// A command of the state machine.
    Command(Payload),
    /// A change of voters.
    Voters(Vec<NodeId>),
}

pub use super::message::Message;

/// Where a node stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Place {
    /// Which node.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

/// An event of consensus.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time passes; at least every 10 ms.
    Tick,
    /// A node sent a message.
    Receive {
        /// Which node.
        from: NodeId,
        /// Its message.
        message: Message,
    },
    /// Append a command, if this node leads. The proposal number comes back in an output.
    Propose {
        /// The caller's number for it.
        proposal: u64,
        /// The command.
        payload: Payload,
    },
    /// Everything asked to be written up to this point is synced.
    Synced {
        /// The write number of the last [`Output::Write`] that is on disk.
        write: u64,
    },
    /// Change the voters by one added or one removed, if this node leads. An added voter is first
    /// brought up to date; the proposal is placed only then.
    Reconfigure {
        /// The caller's number for it.
        proposal: u64,
        /// All voters after the change.
        voters: Vec<NodeId>,
    },
    /// Hand leadership to another voter, for a planned stop.
    HandOver {
        /// To whom; the most advanced other voter if none is named.
        to: Option<NodeId>,
    },
    /// This node is about to end: it begins to lead no more.
    Retire,
    /// All nodes that are known now, this one too, and where they stand.
    Nodes(Vec<Place>),
    /// The state machine's image as of an index, for the log to be cut.
    Compact {
        /// The last index that the image includes.
        index: Index,
        /// The image.
        image: Payload,
    },
}

/// What the adapters are asked to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send to a node; loss is allowed.
    Send {
        /// Which.
        to: NodeId,
        /// What.
        message: Message,
    },
    /// Write to disk, in order, and report [`Input::Synced`].
    Write {
        /// The number to report.
        write: u64,
        /// What.
        record: Record,
    },
    /// A committed entry for the state machine, in index order, each once.
    Apply(Entry),
    /// Replace the state machine by an image.
    Restore {
        /// The last index that the image includes.
        index: Index,
        /// The image.
        image: Payload,
    },
    /// The proposal got this place; it is committed only when applied with this term.
    Placed {
        /// The caller's number.
        proposal: u64,
        /// Its term.
        term: Term,
        /// Its index.
        index: Index,
    },
    /// The proposal was not appended; nothing of it will happen.
    Rejected {
        /// The caller's number.
        proposal: u64,
        /// The node that leads, if known.
        leader: Option<NodeId>,
    },
    /// This node led a term and leads no more. It needs no action; it is for those who look after
    /// the cluster.
    Resigned {
        /// The term.
        term: Term,
        /// Why.
        why: Resignation,
    },
}

/// Why a leader stepped down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Resignation {
    /// No quorum answered for as long as a lease lasts.
    Unheard,
    /// Its disk didn't answer for longer than an election takes.
    Stalled,
    /// Another node is in a later term.
    Superseded,
    /// It handed leadership over as planned.
    HandedOver,
}

impl Resignation {
    /// A fixed word, for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unheard => "no quorum answered",
            Self::Stalled => "the disk stalled",
            Self::Superseded => "a later term",
            Self::HandedOver => "handed over",
        }
    }
}

/// One durable record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Record {
    /// Whether this disk may ever vote under its id; written once, before anything else.
    Standing {
        /// False on a disk that came up empty under an id that was a voter already.
        voting: bool,
    },
    /// Term and vote.
    Ballot {
        /// The current term.
        term: Term,
        /// Whom this node voted for in it.
        vote: Option<NodeId>,
    },
    /// Entries; what stood at or after the first index is cut.
    Append(Vec<Entry>),
    /// A snapshot; the log up to its index may go.
    Snapshot {
        /// Last included index.
        index: Index,
        /// Its term.
        term: Term,
        /// The voters as of the index.
        voters: Vec<NodeId>,
        /// The state machine's image.
        image: Payload,
    },
}
