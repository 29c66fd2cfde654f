//! How an entry node gets its callers' requests answered by the leader.
//!
//! Only the leader knows which queues exist and which jobs were accepted, so it answers all
//! requests. A request that is sent again, to another leader, therefore still counts as one
//! request. The caller learns what is certain (done, unknown, not done); any other outcome is
//! reported as unclear.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    sync::{oneshot, watch},
    time::{Instant, timeout_at},
};

use super::{
    ask::{Ask, Refused, Reply},
    frame::{AskId, Frame, View},
    identity::address,
    metrics::Metrics,
};
use crate::{
    adapters::mesh::Mesh,
    core::{
        consensus::Term,
        types::{Map, NodeId},
        workload::catalog::CallLimits,
    },
};

/// How long a node may take to reply before the request is sent again. Several times as long as a
/// commit takes on a slow disk.
const TRY: Duration = Duration::from_millis(600);
/// A leader that hasn't been heard from for this long isn't asked. More than two intervals of its
/// views.
const SILENT: Duration = Duration::from_millis(1300);
/// Without any message from a leader for this long, the node counts as cut off, alone or together
/// with control nodes that can't elect a leader. An election takes one second, or two if it has to
/// be repeated.
const CUT_OFF: Duration = Duration::from_millis(2000);
/// Time between two checks for a reachable leader.
const LOOK: Duration = Duration::from_millis(100);
/// Pause before the same node is asked again.
const PAUSE: Duration = Duration::from_millis(50);

/// What an entry node knows about the leader and its catalog.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    /// The highest term that a view reported.
    pub term: Term,
    /// The leader of that term.
    pub leader: Option<NodeId>,
    /// Limits on callers' requests, from the catalog.
    pub limits: CallLimits,
}

/// Sends requests to the leader and retries them.
pub struct Asking {
    mesh: Arc<Mesh>,
    mesh_port: u16,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
    known: watch::Sender<Known>,
}

#[derive(Default)]
struct State {
    last: AskId,
    open: Map<AskId, oneshot::Sender<Reply>>,
    /// When a message of each control node last arrived.
    heard: Map<NodeId, Instant>,
    /// When a message of the leader of that time last arrived.
    led: Option<Instant>,
}

impl Asking {
    /// Creates the client of an entry node. All control nodes' meshes listen on `mesh_port`.
    pub fn new(mesh: Arc<Mesh>, mesh_port: u16, metrics: Arc<Metrics>) -> Arc<Self> {
        Arc::new(Self {
            mesh,
            mesh_port,
            metrics,
            state: Mutex::default(),
            known: watch::Sender::default(),
        })
    }

    /// Watches what is known about the leader.
    pub fn known(&self) -> watch::Receiver<Known> {
        self.known.subscribe()
    }

    /// Handles a message from the mesh.
    pub fn frame(&self, from: NodeId, frame: Frame) {
        self.hear(from);
        match frame {
            Frame::Answer(number, reply) => {
                if let Some(waiting) = self.lock().open.remove(&number) {
                    // The requester may have stopped waiting.
                    let _ = waiting.send(reply);
                }
            }
            Frame::View(view) => self.view(from, &view),
            // Entry nodes answer no requests, keep no log and execute no orders.
            Frame::Ask(..) | Frame::Log(_) | Frame::Orders { .. } | Frame::Carried { .. } => {}
        }
    }

    /// Whether this node hasn't heard from a leader for so long that it can't answer any request.
    pub fn is_cut_off(&self) -> bool {
        self.lock().led.is_none_or(|at| at.elapsed() >= CUT_OFF)
    }

    fn hear(&self, from: NodeId) {
        let leads = self.known.borrow().leader == Some(from);
        let mut state = self.lock();
        let now = Instant::now();
        state.heard.insert(from, now);
        if leads {
            state.led = Some(now);
        }
    }

    /// The leader, if it has been heard from recently.
    fn leader(&self, known: &mut watch::Receiver<Known>) -> Option<NodeId> {
        let leader = known.borrow_and_update().leader?;
        let heard = self.lock().heard.get(&leader).copied();
        heard.filter(|at| at.elapsed() < SILENT).map(|_| leader)
    }

    /// Asks the leader until it replies or the time is over. If this node is cut off, it replies at
    /// once, so that the caller can turn to another entry node.
    pub async fn ask(&self, ask: &Ask, until: Instant) -> Reply {
        let begun = Instant::now();
        let reply = self.find(ask, until).await;
        self.metrics.replied(&reply, begun.elapsed());
        reply
    }

    async fn find(&self, ask: &Ask, until: Instant) -> Reply {
        let mut known = self.known.subscribe();
        let mut asked = false;
        let mut hint = None;
        while Instant::now() < until {
            if self.is_cut_off() {
                break;
            }
            let leader = hint.take().or_else(|| self.leader(&mut known));
            let Some(leader) = leader else {
                let end = until.min(Instant::now() + LOOK);
                // The loop checks again whether the leader has changed or the wait timed out.
                let _ = timeout_at(end, known.changed()).await;
                continue;
            };
            match self.ask_node(leader, ask, until).await {
                Tried::Answered(Reply::Refused(Refused::NotLeader(other))) => {
                    hint = other.filter(|other| *other != leader);
                }
                Tried::Answered(Reply::Refused(Refused::NoLeader)) => {}
                Tried::Answered(Reply::Unclear) | Tried::Silent => asked = true,
                Tried::Unsent => {}
                // An earlier try may have been accepted even though this one is refused.
                Tried::Answered(Reply::Refused(_)) if asked => return Reply::Unclear,
                Tried::Answered(reply) => return reply,
            }
            self.metrics.retried();
            if hint.is_none() {
                // Waits for new information about the leader, or for a pause before the same node
                // is asked again.
                let end = until.min(Instant::now() + PAUSE);
                let _ = timeout_at(end, known.changed()).await;
            }
        }
        if asked {
            Reply::Unclear
        } else {
            Reply::Refused(Refused::NoLeader)
        }
    }

    async fn ask_node(&self, node: NodeId, ask: &Ask, until: Instant) -> Tried {
        let (sender, answer) = oneshot::channel();
        let number = {
            let mut state = self.lock();
            state.last += 1;
            let number = state.last;
            state.open.insert(number, sender);
            number
        };
        let frame = Frame::Ask(number, ask.clone());
        if !self.mesh.send(node, frame.encode()) {
            self.lock().open.remove(&number);
            return Tried::Unsent;
        }
        let end = until.min(Instant::now() + TRY);
        let tried = timeout_at(end, answer).await;
        self.lock().open.remove(&number);
        match tried {
            Ok(Ok(reply)) => Tried::Answered(reply),
            _ => Tried::Silent,
        }
    }

    fn view(&self, from: NodeId, view: &View) {
        for (node, _) in &view.controls {
            self.mesh.dial(address(*node, self.mesh_port));
        }
        let joined = view.leader == Some(from) && self.join(from);
        self.known.send_if_modified(|known| {
            let mut changed = false;
            if joined {
                // The information so far may have come from a node of another cluster.
                known.term = view.term;
                known.leader = view.leader;
                changed = true;
            }
            if let Some(limits) = view.limits
                && known.limits != limits
            {
                known.limits = limits;
                changed = true;
            }
            // A node that knows no leader doesn't disprove what others report, unless it was itself
            // the leader.
            let lost = view.leader.is_none() && known.leader == Some(from);
            let newer = view.term > known.term && view.leader.is_some();
            let same = view.term == known.term && known.leader.is_none();
            if lost || newer || (same && view.leader.is_some()) {
                known.term = view.term.max(known.term);
                known.leader = view.leader;
                changed = true;
            }
            changed
        });
    }

    /// Adopts the cluster of a node that leads one, if this node doesn't know its cluster yet. A
    /// lone node of another cluster leads nobody. Returns whether the cluster was adopted now.
    fn join(&self, leader: NodeId) -> bool {
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
enum Tried {
    Answered(Reply),
    /// The request was sent, but no reply arrived in time.
    Silent,
    /// There is no link to the node.
    Unsent,
}
