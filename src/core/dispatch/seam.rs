//! What goes into and comes out of the request path.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::core::{
    declaration::Declaration,
    outcome::{Outcome, Retry, Unknown},
    routing::{
        loans::{Lend, LoanId, Want},
        spill::Offer,
    },
    types::{
        DataCentreId, GroupId, HostId, Key, MinionId, NodeId, Now, PresetId, RackId, ServiceId,
        Urgency, Version,
    },
};

/// A request at this node, numbered by the adapter from 1 and never reused.
pub type RequestId = u64;
/// One sending of a request to a minion or another data centre, numbered by the core.
pub type SendId = u64;

/// What a caller's request says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The adapter's number.
    pub request: RequestId,
    /// The service asked.
    pub service: ServiceId,
    /// The caller's group.
    pub group: GroupId,
    /// The `Idempotency-Key`, if any.
    pub key: Option<Key>,
    /// Urgent goes first.
    pub urgency: Urgency,
    /// How long the caller will wait, if it said so; the service's timeout bounds it.
    pub patience: Option<Duration>,
    /// Set when another data centre's node spilled it here; it is not spilled again.
    pub spilled: bool,
}

/// What a minion says of itself, at least every second.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Announcement {
    /// Its id, unique within the firm.
    pub minion: MinionId,
    /// A number that grows with each start of the minion's process.
    pub boot: u64,
    /// A number that grows with each announcement of one boot.
    pub sequence: u64,
    /// Its service.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The host it runs on.
    pub host: HostId,
    /// The rack of that host.
    pub rack: RackId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts at once.
    pub connections: u32,
    /// It finishes what it has and takes no more.
    pub leaving: bool,
}

/// How one sending ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// The whole answer came and is held by the adapter.
    Answered {
        /// The answer reports a fault of the minion (a 5xx status).
        fault: bool,
    },
    /// The minion itself said, before running, that it will not run it.
    Refused {
        /// When the minion would take work again, if it said so.
        after: Option<Duration>,
    },
    /// Nothing was sent.
    Unreachable,
    /// It may have run.
    Unknown(Unknown),
}

/// What the claims of the shared log say of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum ClaimAnswer {
    /// This request holds the key and may be sent.
    Granted,
    /// Another send of the key is being run.
    Busy {
        /// When the claim ends at the latest.
        after: Duration,
    },
    /// An earlier send may have run.
    Spent,
    /// No room for another key.
    Full,
    /// No quorum can be reached.
    CutOff,
}

/// An event of the request path.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's request has been read whole.
    Arrive(Arrival),
    /// The caller is gone.
    HangUp(RequestId),
    /// A sending ended.
    End {
        /// Which.
        send: SendId,
        /// How.
        end: AttemptEnd,
    },
    /// A claim was decided.
    Claim {
        /// For which request.
        request: RequestId,
        /// How.
        answer: ClaimAnswer,
    },
    /// A minion announced itself to this node.
    Announce(Announcement),
    /// Another node of the mesh sent a message of the request path.
    Mesh {
        /// Which node.
        from: NodeId,
        /// Its message.
        message: Mesh,
    },
    /// What the shared state says now.
    Configure(Configuration),
    /// Time passes; at least every 50 ms.
    Tick,
    /// This node is stopping: it takes no new requests and finishes what it has.
    Stop,
}

/// What the request path needs of the shared state.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The version it was made under.
    pub version: Version,
    /// The fleet.
    pub fleet: Arc<Declaration>,
    /// The preset in force; `None` while this node is cut off.
    pub preset: Option<PresetId>,
    /// Hosts that are draining or down for maintenance; their minions take no new work.
    pub draining: Arc<[HostId]>,
    /// Nodes of this firm with the data centre of each, this one included.
    pub nodes: Arc<[(NodeId, DataCentreId)]>,
}

/// Where a request is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Target {
    /// A minion.
    Minion {
        /// Which.
        minion: MinionId,
        /// Where.
        address: SocketAddr,
    },
    /// A node of another data centre, through the callers' interface of that node.
    Node(NodeId),
}

/// What the adapters are asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the request and report [`Input::End`].
    Send {
        /// Which request.
        request: RequestId,
        /// The number to report back.
        send: SendId,
        /// Where to.
        to: Target,
        /// When to give up.
        until: Now,
        /// Counted if this is not the first try.
        retry: Option<Retry>,
    },
    /// Ask the shared log for the key and report [`Input::Claim`].
    Claim {
        /// Which request.
        request: RequestId,
        /// Its service; keys are separate for each.
        service: ServiceId,
        /// The key, as [`scoped_key`](crate::core::claims::scoped_key) makes it.
        key: Key,
    },
    /// Tell the shared log how a request ended whose key was asked for, whatever the answer was
    /// or if none has come. `ran` is false only if this request provably didn't run.
    Settle {
        /// Which request.
        request: RequestId,
        /// The service.
        service: ServiceId,
        /// The key.
        key: Key,
        /// Whether it ran or may have run.
        ran: bool,
    },
    /// Tell the caller, at once; an answer held for this request goes with it.
    Finish {
        /// Which request.
        request: RequestId,
        /// The truth.
        outcome: Outcome,
    },
    /// Give up a sending whose answer no longer matters; its connection is closed.
    Abandon(SendId),
    /// Send to another node.
    Mesh {
        /// Which.
        to: NodeId,
        /// What.
        message: Mesh,
    },
}

/// A message between the request paths of two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Mesh {
    /// A minion's announcement, passed on within the data centre.
    Announce(Announcement),
    /// What the sender's data centre serves, told to nodes of others.
    Offer(Offer),
    /// The sender's requests wait for slots of a service.
    Want(Want),
    /// The sender lends slots.
    Lend(Lend),
    /// The sender has no more use for these loans of the receiver.
    Return(Vec<LoanId>),
}
