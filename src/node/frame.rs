//! What nodes say to each other over the mesh.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::{
    activation, consensus,
    dispatch::{Announcement, Mesh},
    state::{Body, Reply},
    types::NodeId,
};

/// The number that a node gives to something that it asked of the leader.
pub(crate) type AskId = u64;

/// One message between two nodes.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum Frame {
    /// The shared log and what rests on it.
    Control(ControlFrame),
    /// The request paths.
    Requests(Mesh),
    /// The minions that a node hears itself, told to the leader.
    Heard(Vec<Announcement>),
}

/// One message between the control tasks of two nodes.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum ControlFrame {
    /// Consensus.
    Consensus(consensus::Message),
    /// Activation.
    Activation(activation::Message),
    /// A command for the leader to propose.
    Ask {
        /// The asker's number.
        ask: AskId,
        /// The command, which the leader stamps.
        body: Body,
    },
    /// What came of a command.
    Answer {
        /// The asker's number.
        ask: AskId,
        /// What came of it.
        answer: Answer,
    },
}

/// What came of a command that another node was asked to propose.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub(crate) enum Answer {
    /// It was committed and applied.
    Applied(Reply),
    /// It wasn't proposed: that node doesn't lead.
    NotLeader(Option<NodeId>),
    /// It wasn't proposed: the leader's disk is full.
    DiskFull,
}

impl Frame {
    /// The bytes on the wire.
    pub(crate) fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a vector takes every write");
        bytes.into()
    }

    /// Reads what [`Frame::encode`] wrote; `None` if the peer speaks of what we don't know.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        ciborium::from_reader(bytes).ok()
    }
}
