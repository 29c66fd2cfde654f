//! How an entry node gets its callers' requests answered by the leader.
//!
//! Only the leader knows which queues exist and which jobs were accepted, so it answers all
//! requests. A request that is sent again, to another leader, therefore still counts as one
//! request. The caller learns what is certain after all tries (see [`Tries`]); any other outcome is
//! reported as unclear.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::{oneshot, watch},
    time::{Instant, timeout_at},
};

use super::{
    frame::{Frame, RequestId, View},
    identity::address,
    metrics::Metrics,
    request::{LeaderRequest, Refused, Reply},
    tries::Tries,
};
use crate::{
    adapters::{memory::Memory, mesh::Mesh},
    core::{
        consensus::Term,
        types::{Map, NodeId},
        workload::catalog::CallLimits,
    },
};

/// How long a node may take to reply before the request is sent again. Several times as long as a
/// commit takes on a slow disk.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
/// A leader that hasn't been heard from for this long isn't asked. More than two intervals of its
/// views.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1300);
/// Without any message from a leader for this long, the node counts as cut off, alone or together
/// with control nodes that can't elect a leader. An election takes one second, or two if it has to
/// be repeated.
const CUT_OFF_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time between two checks for a reachable leader.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A message to the leader of this many bytes or less isn't counted: requests that are open at once
/// have a bound of their own.
const SMALL_FRAME: usize = 16 << 10;
/// Pause before the same node is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What an entry node knows about the leader and its catalog.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaderInfo {
    /// The highest term that a view reported.
    pub term: Term,
    /// The leader of that term.
    pub leader: Option<NodeId>,
    /// Limits on callers' requests, from the catalog.
    pub limits: CallLimits,
}

/// Sends requests to the leader and retries them.
pub struct LeaderClient {
    mesh: Arc<Mesh>,
    mesh_port: u16,
    metrics: Arc<Metrics>,
    /// What large messages take until they have been written.
    forwarded: Memory,
    state: Mutex<State>,
    info: watch::Sender<LeaderInfo>,
}

#[derive(Default)]
struct State {
    last_id: RequestId,
    pending: Map<RequestId, oneshot::Sender<Reply>>,
    /// When a message of each control node last arrived.
    last_seen: Map<NodeId, Instant>,
    /// When a message of the leader of that time last arrived.
    leader_seen: Option<Instant>,
}

impl LeaderClient {
    /// Creates the client of an entry node. All control nodes' meshes listen on `mesh_port`.
    /// Requests on their way take `forwarded`; those that don't fit are refused.
    pub fn new(
        mesh: Arc<Mesh>,
        mesh_port: u16,
        metrics: Arc<Metrics>,
        forwarded: Memory,
    ) -> Arc<Self> {
        Arc::new(Self {
            mesh,
            mesh_port,
            metrics,
            forwarded,
            state: Mutex::default(),
            info: watch::Sender::default(),
        })
    }

    /// Watches what is known about the leader.
    pub fn info(&self) -> watch::Receiver<LeaderInfo> {
        self.info.subscribe()
    }

    /// Handles a message from the mesh.
    pub fn handle_frame(&self, from: NodeId, frame: Frame) {
        self.record_contact(from);
        match frame {
            Frame::Reply(id, reply) => {
                if let Some(waiting) = self.lock().pending.remove(&id) {
                    // The requester may have stopped waiting.
                    let _ = waiting.send(reply);
                }
            }
            Frame::View(view) => self.handle_view(from, &view),
            // Entry nodes answer no requests, keep no log and execute no orders.
            Frame::Request(..)
            | Frame::Consensus(_)
            | Frame::Orders { .. }
            | Frame::RelayedAnswers { .. } => {}
        }
    }

    /// Whether this node hasn't heard from a leader for so long that it can't answer any request.
    pub fn is_cut_off(&self) -> bool {
        self.lock()
            .leader_seen
            .is_none_or(|at| at.elapsed() >= CUT_OFF_TIMEOUT)
    }

    fn record_contact(&self, from: NodeId) {
        let leads = self.info.borrow().leader == Some(from);
        let mut state = self.lock();
        let now = Instant::now();
        state.last_seen.insert(from, now);
        if leads {
            state.leader_seen = Some(now);
        }
    }

    /// The leader, if it has been heard from recently.
    fn reachable_leader(&self, info: &mut watch::Receiver<LeaderInfo>) -> Option<NodeId> {
        let leader = info.borrow_and_update().leader?;
        let last_seen = self.lock().last_seen.get(&leader).copied();
        last_seen
            .filter(|at| at.elapsed() < LEADER_TIMEOUT)
            .map(|_| leader)
    }

    /// Asks the leader until it replies or the time is over. If this node is cut off, it replies at
    /// once, so that the caller can turn to another entry node.
    pub async fn ask(&self, request: &LeaderRequest, until: Instant) -> Reply {
        let started_at = Instant::now();
        let reply = self.ask_leader(request, until).await;
        self.metrics.record_reply(&reply, started_at.elapsed());
        reply
    }

    async fn ask_leader(&self, request: &LeaderRequest, until: Instant) -> Reply {
        let mut info = self.info.subscribe();
        let mut tries = Tries::new(request);
        let mut hint = None;
        while Instant::now() < until {
            if self.is_cut_off() {
                break;
            }
            let leader = hint.take().or_else(|| self.reachable_leader(&mut info));
            let Some(leader) = leader else {
                let end = until.min(Instant::now() + POLL_INTERVAL);
                // The loop checks again whether the leader has changed or the wait timed out.
                let _ = timeout_at(end, info.changed()).await;
                continue;
            };
            match self.ask_node(leader, request, until).await {
                AskOutcome::Answered(Reply::Refused(Refused::NotLeader(other))) => {
                    hint = other.filter(|other| *other != leader);
                }
                AskOutcome::Answered(Reply::Refused(Refused::NoLeader)) => {}
                AskOutcome::Answered(Reply::Unclear) | AskOutcome::TimedOut => tries.leave_open(),
                AskOutcome::NotSent => {}
                AskOutcome::NoRoom => return tries.conclude(Reply::Refused(Refused::Overloaded)),
                AskOutcome::Answered(reply) => return tries.conclude(reply),
            }
            self.metrics.record_retry();
            if hint.is_none() {
                // Waits for new information about the leader, or for a pause before the same node
                // is asked again.
                let end = until.min(Instant::now() + RETRY_INTERVAL);
                let _ = timeout_at(end, info.changed()).await;
            }
        }
        tries.give_up()
    }

    async fn ask_node(&self, node: NodeId, request: &LeaderRequest, until: Instant) -> AskOutcome {
        let id = {
            let mut state = self.lock();
            state.last_id += 1;
            state.last_id
        };
        let Some(frame) = self.hold(Frame::Request(id, request.clone()).encode()) else {
            return AskOutcome::NoRoom;
        };
        let (sender, answer) = oneshot::channel();
        self.lock().pending.insert(id, sender);
        if !self.mesh.send(node, frame) {
            self.lock().pending.remove(&id);
            return AskOutcome::NotSent;
        }
        let end = until.min(Instant::now() + REPLY_TIMEOUT);
        let outcome = timeout_at(end, answer).await;
        self.lock().pending.remove(&id);
        match outcome {
            Ok(Ok(reply)) => AskOutcome::Answered(reply),
            _ => AskOutcome::TimedOut,
        }
    }

    /// Counts a message until it has been written; nothing if there is no room for it.
    fn hold(&self, frame: Bytes) -> Option<Bytes> {
        if frame.len() <= SMALL_FRAME {
            return Some(frame);
        }
        // One that is larger than all of the room has it to itself.
        let bytes = frame.len().min(self.forwarded.total());
        let share = self.forwarded.try_reserve(bytes)?;
        Some(share.hold(frame))
    }

    fn handle_view(&self, from: NodeId, view: &View) {
        for (node, _) in &view.controls {
            self.mesh.dial(address(*node, self.mesh_port));
        }
        let joined = view.leader == Some(from) && self.adopt_cluster(from);
        self.info.send_if_modified(|info| {
            let mut changed = false;
            if joined {
                // The information so far may have come from a node of another cluster.
                info.term = view.term;
                info.leader = view.leader;
                changed = true;
            }
            if let Some(limits) = view.limits
                && info.limits != limits
            {
                info.limits = limits;
                changed = true;
            }
            // A node that knows no leader doesn't disprove what others report, unless it was itself
            // the leader.
            let lost = view.leader.is_none() && info.leader == Some(from);
            let newer = view.term > info.term && view.leader.is_some();
            let same = view.term == info.term && info.leader.is_none();
            if lost || newer || (same && view.leader.is_some()) {
                info.term = view.term.max(info.term);
                info.leader = view.leader;
                changed = true;
            }
            changed
        });
    }

    /// Adopts the cluster of a node that leads one, if this node doesn't know its cluster yet. A
    /// lone node of another cluster leads nobody. Returns whether the cluster was adopted now.
    fn adopt_cluster(&self, leader: NodeId) -> bool {
        let cluster = self.mesh.said(leader).and_then(|claim| claim.cluster);
        let joined = cluster.is_some_and(|cluster| self.mesh.join(cluster));
        if joined {
            self.metrics.joined.set(1);
        }
        joined
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change under the lock is complete in itself, so a poisoned lock is safe to use.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The outcome of asking one node.
enum AskOutcome {
    Answered(Reply),
    /// The request was sent, but no reply arrived in time.
    TimedOut,
    /// There is no link to the node.
    NotSent,
    /// Too much is on its way to the leader.
    NoRoom,
}
