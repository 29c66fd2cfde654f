//! What control and entry nodes say to each other over the mesh.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::ask::{Ask, Reply};
use crate::core::{
    consensus::{Message, Term},
    types::{DataCentreId, NodeId},
    workload::{
        catalog::CallLimits,
        scheduler::{Answer, Order, OrderId},
    },
};

/// The number that an asker gives its question.
pub type AskId = u64;

/// One message.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum Frame {
    /// Of consensus.
    Log(Message),
    /// A question to the leader.
    Ask(AskId, Ask),
    /// Its answer.
    Answer(AskId, Reply),
    /// What a control node knows of the cluster.
    View(View),
    /// Orders that a leader has another control node carry out.
    Orders {
        /// Which time it is that the sender leads.
        tenure: u64,
        /// The orders.
        orders: Vec<Order>,
    },
    /// What came of them.
    Carried {
        /// Which time it was that the receiver led.
        tenure: u64,
        /// The answers.
        answers: Vec<(OrderId, Answer)>,
    },
}

/// What a control node knows of the cluster, told to every node that it is linked with.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct View {
    /// Where it stands itself.
    pub data_centre: DataCentreId,
    /// Its term.
    pub term: Term,
    /// Who leads.
    pub leader: Option<NodeId>,
    /// Whether it is about to end.
    pub leaving: bool,
    /// The control nodes that it heard of lately, itself included.
    pub controls: Vec<(NodeId, DataCentreId)>,
    /// What callers may send.
    pub limits: Option<CallLimits>,
    /// Whether it carries out orders for a leader; nodes of earlier releases don't.
    #[serde(default)]
    pub carries: bool,
}

impl Frame {
    /// The bytes on the wire.
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a vector takes every write");
        bytes.into()
    }

    /// Reads what [`Frame::encode`] wrote; `None` if the peer speaks of what we don't know.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        ciborium::from_reader(bytes).ok()
    }
}
