//! How an entry node gets its callers' requests answered by the leader.
//!
//! The leader answers for everything: it alone knows which queues there are and what was accepted.
//! So a request that is asked again, of another leader, is one request; what is certain is said
//! (done, unknown, not done), and what isn't is said to be unclear.

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

/// How long one node may take to answer before the question is asked again: several times what a
/// commit takes on a slow disk.
const TRY: Duration = Duration::from_millis(600);
/// A leader that wasn't heard for so long isn't asked: more than two of its views.
const SILENT: Duration = Duration::from_millis(1300);
/// Without a word of a leader for so long this node is cut off, alone or with control nodes that
/// can't elect one: an election takes a second, two if it has to be repeated.
const CUT_OFF: Duration = Duration::from_millis(2000);
/// From one look at whether the leader is heard again to the next.
const LOOK: Duration = Duration::from_millis(100);
/// The pause before the same node is asked again.
const PAUSE: Duration = Duration::from_millis(50);

/// What an entry node knows of the control nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    /// The highest term that was heard of.
    pub term: Term,
    /// Who leads it.
    pub leader: Option<NodeId>,
    /// What callers may send.
    pub limits: CallLimits,
}

/// Asks the leader.
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
    /// When each control node was last heard.
    heard: Map<NodeId, Instant>,
    /// When the leader of that time was last heard.
    led: Option<Instant>,
}

impl Asking {
    /// An entry node whose control nodes listen on a port.
    pub fn new(mesh: Arc<Mesh>, mesh_port: u16, metrics: Arc<Metrics>) -> Arc<Self> {
        Arc::new(Self {
            mesh,
            mesh_port,
            metrics,
            state: Mutex::default(),
            known: watch::Sender::default(),
        })
    }

    /// What is known of the control nodes, as it changes.
    pub fn known(&self) -> watch::Receiver<Known> {
        self.known.subscribe()
    }

    /// Takes in what the mesh brought.
    pub fn frame(&self, from: NodeId, frame: Frame) {
        self.hear(from);
        match frame {
            Frame::Answer(number, reply) => {
                if let Some(waiting) = self.lock().open.remove(&number) {
                    // Whoever asked may have stopped waiting.
                    let _ = waiting.send(reply);
                }
            }
            Frame::View(view) => self.view(from, &view),
            // Entry nodes answer nothing, keep no log and carry no orders.
            Frame::Ask(..) | Frame::Log(_) | Frame::Orders { .. } | Frame::Carried { .. } => {}
        }
    }

    /// Whether no leader was heard for a while, so that nothing can be answered here.
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

    /// Who leads, if it was heard lately.
    fn leader(&self, known: &mut watch::Receiver<Known>) -> Option<NodeId> {
        let leader = known.borrow_and_update().leader?;
        let heard = self.lock().heard.get(&leader).copied();
        heard.filter(|at| at.elapsed() < SILENT).map(|_| leader)
    }

    /// Asks the leader until it has answered or the time is over. A node that is cut off answers
    /// at once, so that the caller can turn to another.
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
                // Whatever came of it is looked at anew.
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
                // An earlier try may have been accepted all the same.
                Tried::Answered(Reply::Refused(_)) if asked => return Reply::Unclear,
                Tried::Answered(reply) => return reply,
            }
            self.metrics.retried();
            if hint.is_none() {
                // Something new, or a moment later the same again.
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
                // What was known may have come from a stray.
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
            // A node that knows of no leader says nothing about those that others know, unless it
            // was the one.
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

    /// Holds to the cluster of a node that leads one, if this node knows none yet. A stray alone
    /// leads nobody. Returns whether it does so from now on.
    fn join(&self, leader: NodeId) -> bool {
        let cluster = self.mesh.said(leader).and_then(|claim| claim.cluster);
        let joined = cluster.is_some_and(|cluster| self.mesh.join(cluster));
        if joined {
            self.metrics.joined.set(1);
        }
        joined
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change under the lock is whole by itself.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What came of asking one node.
enum Tried {
    Answered(Reply),
    /// It was sent, and nothing came back.
    Silent,
    /// There is no way to that node now.
    Unsent,
}
