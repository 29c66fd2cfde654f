//! What is remembered of a request and of a sending.

use crate::core::{
    dispatch::seam::{Arrival, RequestId, SendId},
    outcome::{Retry, Unknown},
    routing::minions::{Avoid, MinionIx},
    types::{GroupId, NodeId, Now},
};

/// The place of a service in this node's table.
pub(super) type ServiceIx = usize;

/// Where one boot of a minion stands in the table of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Seat {
    pub(super) service: ServiceIx,
    pub(super) ix: MinionIx,
    pub(super) boot: u64,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits in admission.
    Queued,
    /// It has had its turn, and its claim is not decided yet.
    Claiming,
    /// It has had its turn and waits for a slot.
    Again,
    /// It was sent.
    Sent(SendId),
    /// It has left wherever it waited.
    Out,
}

/// Where the claim of a request's key stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Claim {
    /// It needs none.
    None,
    /// It is to be asked for.
    Due,
    /// It was asked for.
    Asked,
    /// This node holds it.
    Held,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) service: ServiceIx,
    /// When its caller stops waiting.
    pub(super) deadline: Now,
    pub(super) stage: Stage,
    pub(super) claim: Claim,
    /// The caller is gone; nobody is told the outcome.
    pub(super) gone: bool,
    /// How often it was sent.
    pub(super) tries: u32,
    /// Why it waits again.
    pub(super) retry: Option<Retry>,
    /// An earlier try may have run. Then it can't end as not run.
    pub(super) unknown: Option<Unknown>,
    /// Minions and racks that it has failed on.
    pub(super) avoid: Avoid,
    /// Nodes of other data centres that it has failed on.
    pub(super) nodes: Vec<NodeId>,
}

/// Where a sending went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Place {
    /// To a minion of a service.
    Minion(ServiceIx, MinionIx),
    /// To a node of another data centre.
    Node(ServiceIx, NodeId),
}

impl Place {
    /// The service of the request that went there.
    pub(super) fn service(self) -> ServiceIx {
        match self {
            Self::Minion(service, _) | Self::Node(service, _) => service,
        }
    }
}

/// A sending that holds a slot.
#[derive(Clone, Debug)]
pub(super) struct Sending {
    /// The request that waits for it; `None` once given up.
    pub(super) request: Option<RequestId>,
    pub(super) group: GroupId,
    pub(super) place: Place,
    pub(super) began: Now,
    /// When it is given up, or when its slot is taken back.
    pub(super) until: Now,
}
