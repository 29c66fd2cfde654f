//! The mesh: datagram-like messages between our own processes.
//!
//! A message is delivered at most once and may be lost: a queue that is full, a peer that is down
//! or a write that stalls all drop it. Consensus and the request path repeat what matters, so the
//! mesh never has to.
//!
//! Each node dials the peers that it is told of and sends on the connection that it dialled; to
//! a peer that it doesn't dial it sends on the one that the peer dialled. So entry hosts need
//! only know the control nodes, and control nodes needn't dial entry hosts. Two peers that dial
//! each other keep two connections: sharing one would halve the sockets, but needs a rule for
//! which of two crossing dials survives, and that rule is one more thing that a half-open
//! connection can break. While one of the two is down, its peer's carries both ways.
//!
//! A connection may go silent without an end, both ways or one. Who dialled it pings, and drops it
//! when no answer has come for `SILENT`: an answer alone shows that both ways work. Who was
//! dialled drops it when nothing came for as long. Most links are idle and each ping is charged to
//! small hosts, so only one end pings: 8 bytes for a ping and its answer, some 170 with the heads of
//! TCP and IP and the acknowledgements, 2.5 times a second.
//!
//! Each end says which cluster it is of, once it knows. Two that can't be of one cluster aren't
//! linked ([`Claim::admits`]), and a link is dropped when that turns out later, so nothing that
//! a node of another cluster says is handed on.

mod dial;
mod faults;
mod gate;
mod link;
mod listen;
mod pulse;
mod strangers;
mod traffic;

use std::{
    net::SocketAddr,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;
use snafu::Snafu;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};

pub use self::{faults::Faults, traffic::Traffic};
use self::{pulse::Stall, strangers::Strangers};
use crate::{
    adapters::budget::Budget,
    core::{
        cluster::{Claim, Cluster, FolderId},
        types::{Map, NodeId, Set},
    },
};

/// The version of the mesh's handshake; peers of another one are refused.
pub const PROTOCOL: u32 = 2;
/// Messages that wait for one peer before new ones are dropped.
const QUEUE: usize = 4096;
/// The largest message, in bytes.
pub(crate) const LARGEST: usize = 16 << 20;
/// A connection that has shown nothing of its peer for this long is dropped. Operators want all to
/// work again 3 s after a silence: this leaves an election, and the leader's next word to the
/// others. The last ping before it may be answered 600 ms late, which bears two losses of a packet
/// in a row.
pub(crate) const SILENT: Duration = Duration::from_millis(1000);
/// From one ping to the next, whatever else is sent.
pub(crate) const PING: Duration = Duration::from_millis(400);
/// How long a dial, a handshake or a write may take.
pub(crate) const STALL: Duration = Duration::from_secs(2);

/// What the mesh needs to know.
#[derive(Debug, Default)]
pub struct Config {
    /// This node.
    pub node: NodeId,
    /// The other nodes and their addresses.
    pub peers: Vec<(NodeId, SocketAddr)>,
    /// This node's data folder, if it has one.
    pub folder: Option<FolderId>,
    /// This node's cluster, if it is known already.
    pub cluster: Option<Cluster>,
    /// Counts links that were refused or dropped, as the peer is of another cluster.
    pub refused: Counter,
    /// What connections count in whose other end isn't known yet.
    pub budget: Budget,
}

/// What is called with each message that comes in, on the task of its connection.
pub type Receive = Arc<dyn Fn(NodeId, Bytes) + Send + Sync>;

/// Why a connection of the mesh ended.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum MeshError {
    /// The websocket failed.
    #[snafu(display("websocket: {source}"), context(false))]
    Socket {
        /// Why.
        source: Box<tokio_tungstenite::tungstenite::Error>,
    },
    /// The connection could not be made.
    #[snafu(display("connect: {source}"), context(false))]
    Connect {
        /// Why.
        source: std::io::Error,
    },
    /// A dial or a handshake took too long.
    #[snafu(display("no progress in time"))]
    Stalled,
    /// An open connection showed nothing of its peer, or took nothing, for too long.
    #[snafu(display("no progress in time"))]
    Lost {
        /// What is known of it.
        stall: Stall,
    },
    /// The peer is of another cluster.
    #[snafu(display("node {node} is of another cluster"))]
    Stranger {
        /// Which node it claims to be.
        node: NodeId,
    },
    /// The peer said something else than a handshake first.
    #[snafu(display("handshake: {what}"))]
    Handshake {
        /// What was wrong.
        what: String,
    },
}

impl From<tokio_tungstenite::tungstenite::Error> for MeshError {
    fn from(source: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Socket {
            source: Box::new(source),
        }
    }
}

/// The ways to one peer.
#[derive(Debug, Default)]
struct Route {
    /// The connection that this node dialled, while it is up.
    dialled: Option<mpsc::Sender<Bytes>>,
    /// The newest connection that the peer dialled, under its serial number.
    accepted: Option<(u64, mpsc::Sender<Bytes>)>,
    /// Where messages to a peer that is always dialled wait for the next connection.
    waiting: Option<mpsc::Sender<Bytes>>,
    /// What the peer said of itself last.
    said: Option<Claim>,
}

impl Route {
    fn sender(&self) -> Option<&mpsc::Sender<Bytes>> {
        let accepted = self.accepted.as_ref().map(|(_, sender)| sender);
        self.dialled.as_ref().or(accepted).or(self.waiting.as_ref())
    }

    fn is_open(&self) -> bool {
        self.dialled.is_some() || self.accepted.is_some()
    }
}

/// What all links of a mesh share.
struct Shared {
    /// What this node says of itself.
    claim: watch::Sender<Claim>,
    strangers: Strangers,
    receive: Receive,
    routes: RwLock<Map<NodeId, Route>>,
    serial: AtomicU64,
    faults: Faults,
    traffic: Traffic,
}

impl Shared {
    fn awaits(&self, peer: NodeId, sender: mpsc::Sender<Bytes>) {
        self.change(peer, |route| route.waiting = Some(sender));
    }

    /// Refuses a peer of another cluster.
    fn admit(&self, peer: &Claim) -> Result<(), MeshError> {
        let ours = self.claim.borrow();
        if ours.admits(peer) {
            return Ok(());
        }
        self.strangers.refuse(&ours, peer);
        Err(MeshError::Stranger { node: peer.node })
    }

    fn dialled(&self, peer: &Claim, sender: mpsc::Sender<Bytes>) {
        self.change(peer.node, |route| {
            route.said = Some(peer.clone());
            route.dialled = Some(sender);
        });
    }

    /// Keeps what a linked peer says of itself.
    fn said(&self, peer: &Claim) {
        self.change(peer.node, |route| route.said = Some(peer.clone()));
    }

    fn hung_up(&self, peer: NodeId) {
        self.change(peer, |route| route.dialled = None);
    }

    /// Keeps a connection that a peer dialled; returns its serial number.
    fn accepted(&self, peer: &Claim, sender: mpsc::Sender<Bytes>) -> u64 {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        self.change(peer.node, |route| {
            route.said = Some(peer.clone());
            route.accepted = Some((serial, sender));
        });
        serial
    }

    /// Forgets a connection that a peer dialled, unless a newer one took its place.
    fn dropped(&self, peer: NodeId, serial: u64) {
        self.change(peer, |route| {
            route.accepted.take_if(|(s, _)| *s == serial);
        });
    }

    fn change(&self, peer: NodeId, change: impl FnOnce(&mut Route)) {
        let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        let route = routes.entry(peer).or_default();
        change(route);
        if route.sender().is_none() {
            routes.remove(&peer);
        }
    }

    fn send(&self, to: NodeId, message: Bytes) -> bool {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        let sender = routes.get(&to).and_then(Route::sender);
        sender.is_some_and(|sender| sender.try_send(message).is_ok())
    }
}

/// A running mesh. Dropping it ends its tasks.
pub struct Mesh {
    shared: Arc<Shared>,
    /// The addresses that are dialled. The senders keep the links' queues open.
    dialled: RwLock<(Set<SocketAddr>, Vec<mpsc::Sender<Bytes>>)>,
    // Dropped with the mesh, which ends the listener.
    _stop: mpsc::Sender<()>,
}

impl std::fmt::Debug for Mesh {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Mesh")
            .field("claim", &*self.shared.claim.borrow())
            .finish_non_exhaustive()
    }
}

impl Mesh {
    /// Listens and dials every peer.
    pub fn start(config: Config, listener: TcpListener, receive: Receive) -> Self {
        let (stop, stopped) = mpsc::channel(1);
        let claim = Claim {
            node: config.node,
            folder: config.folder,
            cluster: config.cluster,
        };
        let shared = Arc::new(Shared {
            claim: watch::Sender::new(claim),
            strangers: Strangers::new(config.refused),
            receive,
            routes: RwLock::default(),
            serial: AtomicU64::new(0),
            faults: Faults::default(),
            traffic: Traffic::default(),
        });
        tokio::spawn(listen::run(
            listener,
            Arc::clone(&shared),
            config.budget,
            stopped,
        ));
        let mesh = Self {
            shared,
            dialled: RwLock::default(),
            _stop: stop,
        };
        for (peer, address) in config.peers {
            let sender = mesh.link(address, Some(peer));
            mesh.shared.awaits(peer, sender);
        }
        mesh
    }

    /// Dials an address from now on, whoever is there; what was dialled before stays.
    pub fn dial(&self, address: SocketAddr) {
        let mut dialled = self.dialled.write().unwrap_or_else(PoisonError::into_inner);
        if dialled.0.insert(address) {
            let sender = self.link(address, None);
            dialled.1.push(sender);
        }
    }

    fn link(&self, address: SocketAddr, expected: Option<NodeId>) -> mpsc::Sender<Bytes> {
        let (sender, queue) = mpsc::channel(QUEUE);
        let link = dial::Link {
            address,
            expected,
            sender: sender.clone(),
            shared: Arc::clone(&self.shared),
        };
        tokio::spawn(link.run(queue));
        sender
    }

    /// Sends a message, or drops it if the peer is unknown, cut or too far behind. Returns
    /// whether it was queued.
    pub fn send(&self, to: NodeId, message: Bytes) -> bool {
        !self.shared.faults.drops(to) && self.shared.send(to, message)
    }

    /// What this node says of itself.
    pub fn claim(&self) -> Claim {
        self.shared.claim.borrow().clone()
    }

    /// What a peer says of itself, while it is linked.
    pub fn said(&self, peer: NodeId) -> Option<Claim> {
        let routes = self.shared.routes.read();
        let routes = routes.unwrap_or_else(PoisonError::into_inner);
        let route = routes.get(&peer).filter(|route| route.is_open())?;
        route.said.clone()
    }

    /// This node has learnt its cluster; all peers are told, and those of another one dropped. The
    /// first that is learnt stays. Returns whether it was this one.
    pub fn join(&self, cluster: Cluster) -> bool {
        self.shared.claim.send_if_modified(|claim| {
            let first = claim.cluster.is_none();
            if first {
                log::info!(cluster = cluster.id; "this node has learnt its cluster");
                claim.cluster = Some(cluster);
            }
            first
        })
    }

    /// The peers that there is a way to now.
    pub fn peers(&self) -> Vec<NodeId> {
        let routes = self.shared.routes.read();
        let routes = routes.unwrap_or_else(PoisonError::into_inner);
        let mut peers: Vec<_> = routes.keys().copied().collect();
        peers.sort_unstable();
        peers
    }

    /// What was sent and received so far.
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// The links that are cut on purpose.
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }
}

impl Drop for Mesh {
    /// The links hold what is shared, so their queues are closed here.
    fn drop(&mut self) {
        let mut routes = self
            .shared
            .routes
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        routes.clear();
    }
}
