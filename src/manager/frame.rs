//! The messages between control and entry nodes over the mesh.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::request::{LeaderRequest, Reply};
use crate::core::{
    consensus::{Index, Message, Term},
    types::{DataCentreId, NodeId},
    workload::{
        catalog::CallLimits,
        scheduler::{Answer, Order, OrderId},
    },
};

/// A number that the requesting node assigns to a request, to match the reply.
pub type RequestId = u64;

/// A message between nodes.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum Frame {
    /// A message of the consensus protocol.
    #[serde(rename = "Log")]
    Consensus(Message),
    /// A request to the leader.
    #[serde(rename = "Ask")]
    Request(RequestId, LeaderRequest),
    /// The reply to a request.
    #[serde(rename = "Answer")]
    Reply(RequestId, Reply),
    /// The sending control node's view of the cluster.
    View(View),
    /// Orders that the leader delegates to a relay.
    Orders {
        /// The sender's tenure: how many times it has become leader.
        tenure: u64,
        /// The orders.
        orders: Vec<Order>,
    },
    /// A relay's answers to the orders of a leader.
    #[serde(rename = "Carried")]
    RelayedAnswers {
        /// The tenure in which the receiver sent the orders.
        tenure: u64,
        /// The answers.
        answers: Vec<(OrderId, Answer)>,
    },
}

/// A control node's view of the cluster. It is sent to every node that the control node is linked
/// with.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct View {
    /// The sender's data centre.
    pub data_centre: DataCentreId,
    /// The sender's term.
    pub term: Term,
    /// The leader, if the sender knows one.
    pub leader: Option<NodeId>,
    /// Whether the sender is about to end.
    pub leaving: bool,
    /// The control nodes that the sender has heard from recently, itself included.
    pub controls: Vec<(NodeId, DataCentreId)>,
    /// Limits on callers' requests, from the catalog.
    pub limits: Option<CallLimits>,
    /// Whether the sender executes orders as a relay. Nodes of earlier releases don't.
    #[serde(default, rename = "carries")]
    pub relays: bool,
    /// The end of the sender's log. Nodes of earlier releases don't say it.
    #[serde(default)]
    pub last_index: Option<Index>,
    /// How many bytes the sender holds of a snapshot that it is being sent.
    #[serde(default)]
    pub received: u64,
}

impl Frame {
    /// Encodes the message for the wire.
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("writing to a vector can't fail");
        bytes.into()
    }

    /// Decodes a message from [`Frame::encode`]. Returns `None` if this release doesn't know the
    /// message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        ciborium::from_reader(bytes).ok()
    }
}
