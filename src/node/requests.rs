//! The request task: the request path's core with its I/O.
//!
//! One task owns the core. Before each step it checks, with a fresh clock, under what this node
//! acts: a process that was frozen must not go on under a preset that others have left.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval},
};

use super::{
    clock::Clock,
    control::Published,
    frame::Frame,
    keys::{Claimed, Keys},
};
use crate::{
    adapters::{
        callers::Open,
        mesh::Mesh,
        metrics::Metrics,
        minions::{Sending, Sendings},
    },
    core::{
        activation::{self, Acting},
        claims::{Effect, Holder},
        dispatch::{
            Announcement, AttemptEnd, ClaimAnswer, Configuration, Dispatch, Input, Mesh as Message,
            Output, RequestId, SendId, Target,
        },
        outcome::{Outcome, Retry},
        types::{DataCentreId, Key, Map, NodeId, Now, PresetId, ServiceId, Version},
    },
};

/// How often the core's timers are looked at.
const TICK: Duration = Duration::from_millis(20);
/// How often idle connections to minions are closed.
const SWEEP: Duration = Duration::from_secs(1);

/// What the request task speaks to.
pub(crate) struct Ports {
    /// The other nodes.
    pub(crate) mesh: Arc<Mesh>,
    /// The callers' interfaces of nodes, for spilling.
    pub(crate) callers: Map<NodeId, SocketAddr>,
    /// The open requests.
    pub(crate) open: Arc<Open>,
    /// The sendings to minions.
    pub(crate) sendings: Sendings,
    /// Counters and gauges.
    pub(crate) metrics: Arc<Metrics>,
    /// The clock that all tasks of this node share.
    pub(crate) clock: Clock,
    /// Under what this node acts.
    pub(crate) acting: Arc<Mutex<activation::Node>>,
    /// What the shared state says.
    pub(crate) published: watch::Receiver<Published>,
    /// Where the task's own events go.
    pub(crate) inputs: mpsc::UnboundedSender<Input>,
    /// Told under which version this node acts; read by the callers' interface.
    pub(crate) version: watch::Sender<Version>,
    /// Told that this node has stopped and nothing is in flight.
    pub(crate) idle: watch::Sender<bool>,
    /// Told of each announcement that this node heard itself.
    pub(crate) heard: mpsc::UnboundedSender<Announcement>,
    /// This node's data centre.
    pub(crate) data_centre: DataCentreId,
    /// Its keyed requests.
    pub(crate) keys: Keys,
    /// Told what became of keys.
    pub(crate) claimed: mpsc::UnboundedReceiver<(Holder, Effect)>,
}

/// Gives up the open requests when it is dropped, so that no caller waits for a task that is gone.
struct Closing(Arc<Open>);

impl Drop for Closing {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Runs the request path until its inputs are closed. However it ends, also by a panic, callers
/// whose requests are open are told that these may have run.
pub(crate) async fn run(dispatch: Dispatch, ports: Ports, inputs: mpsc::UnboundedReceiver<Input>) {
    // It outlives the work, which holds the receiver: a request that is put into the open ones
    // later than this closes them finds that the core is gone.
    let _closing = Closing(Arc::clone(&ports.open));
    work(dispatch, ports, inputs).await;
}

async fn work(dispatch: Dispatch, ports: Ports, mut inputs: mpsc::UnboundedReceiver<Input>) {
    let mut task = Task {
        dispatch,
        told: None,
        connections: Map::default(),
        stopping: false,
        swept: Duration::ZERO,
        ports,
    };
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            input = inputs.recv() => match input {
                Some(input) => task.take(input),
                None => return,
            },
            Some((holder, effect)) = task.ports.claimed.recv() => task.claimed(holder, effect),
            _ = tick.tick() => task.tick(),
        }
    }
}

/// What the core was last told of the shared state.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Told {
    version: Version,
    preset: Option<PresetId>,
}

struct Task {
    dispatch: Dispatch,
    told: Option<Told>,
    /// Connections that this node may have open to each minion.
    connections: Map<SocketAddr, u32>,
    stopping: bool,
    swept: Now,
    ports: Ports,
}

impl Task {
    fn take(&mut self, input: Input) {
        self.refresh();
        match &input {
            Input::Announce(announcement) => {
                self.note(announcement);
                // Without a fleet task nobody needs to know.
                let _ = self.ports.heard.send(announcement.clone());
            }
            Input::Mesh {
                message: Message::Announce(announcement),
                ..
            } => self.note(announcement),
            Input::Stop => self.stopping = true,
            _ => {}
        }
        self.step(input);
    }

    fn claimed(&mut self, holder: Holder, effect: Effect) {
        self.refresh();
        let now = self.ports.clock.now();
        let answers = self.ports.keys.applied(now, holder, effect);
        self.tell_claims(answers);
    }

    fn tell_claims(&mut self, answers: Vec<(RequestId, ClaimAnswer)>) {
        for (request, answer) in answers {
            self.step(Input::Claim { request, answer });
        }
    }

    fn tick(&mut self) {
        self.refresh();
        self.step(Input::Tick);
        let now = self.ports.clock.now();
        let answers = self.ports.keys.tick(now);
        self.tell_claims(answers);
        if now >= self.swept + SWEEP {
            self.swept = now;
            self.ports.sendings.client().sweep();
        }
        let metrics = &self.ports.metrics;
        metrics.claims.set(count(self.ports.keys.len()));
        metrics.in_flight.set(count(self.ports.sendings.count()));
        let open = self.ports.open.count();
        metrics
            .waiting
            .set(count(open.saturating_sub(self.ports.sendings.count())));
        if self.stopping {
            self.ports
                .idle
                .send_replace(self.dispatch.idle() && open == 0);
        }
    }

    /// Tells the core what this node acts under, if that has changed.
    fn refresh(&mut self) {
        let now = self.ports.clock.now();
        let acting = self
            .ports
            .acting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .acting(now);
        let preset = match acting {
            Acting::Under { preset, .. } => Some(preset),
            Acting::CutOff(_) => None,
        };
        let changed = self.ports.published.has_changed().unwrap_or(false);
        let version = self.ports.published.borrow().version;
        let told = Told { version, preset };
        if !changed && self.told.as_ref() == Some(&told) {
            return;
        }
        let published = self.ports.published.borrow_and_update().clone();
        let configuration = Configuration {
            version: published.version,
            fleet: published.fleet,
            preset: told.preset.clone(),
            draining: published.draining,
            nodes: published.nodes,
        };
        self.ports.version.send_replace(published.version);
        self.told = Some(told);
        self.step(Input::Configure(configuration));
    }

    /// Splits a minion's connections evenly between the nodes of its data centre, so that their
    /// sum never passes what it accepts, whoever is cut off from whom.
    fn note(&mut self, announcement: &Announcement) {
        let published = self.ports.published.borrow();
        let nodes = published
            .nodes
            .iter()
            .filter(|(_, data_centre)| *data_centre == self.ports.data_centre)
            .count();
        let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        let share = (announcement.connections / nodes).max(1);
        self.connections.insert(announcement.address, share);
    }

    fn step(&mut self, input: Input) {
        let mut outputs = self.dispatch.step(self.ports.clock.now(), input);
        // A key is settled once its answer has been taken down for resends.
        outputs.sort_by_key(|output| matches!(output, Output::Settle { .. }));
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send {
                request,
                send,
                to,
                until,
                retry,
            } => self.send(request, send, &to, until, retry),
            Output::Claim {
                request,
                service,
                key,
            } => self.claim(request, service, key),
            Output::Settle { request, ran, .. } => {
                let now = self.ports.clock.now();
                self.ports.keys.settle(now, request, ran);
            }
            Output::Finish { request, outcome } => self.finish(request, outcome),
            Output::Abandon(send) => self.ports.sendings.abandon(send),
            Output::Mesh { to, message } => {
                if !self.ports.mesh.send(to, Frame::Requests(message).encode()) {
                    self.ports.metrics.dropped.inc();
                }
            }
        }
    }

    fn claim(&mut self, request: RequestId, service: ServiceId, key: Key) {
        let Some(call) = self.ports.open.call(request) else {
            // The caller is gone, which the core is about to hear.
            return;
        };
        let published = self.ports.published.borrow();
        let spec = published.fleet.services.get(&service);
        let window = spec.map_or(Duration::ZERO, |spec| spec.timeout);
        drop(published);
        let now = self.ports.clock.now();
        let keyed = (request, service, key);
        if let Claimed::Known(answer) = self.ports.keys.claim(now, keyed, &call, window) {
            self.ports.open.hold(request, answer);
            self.finish(request, Outcome::Answered);
            self.later(Input::HangUp(request));
        }
    }

    fn finish(&mut self, request: RequestId, outcome: Outcome) {
        self.ports.metrics.ended(&outcome);
        if outcome == Outcome::Answered
            && let Some(answer) = self.ports.open.answer(request)
        {
            self.ports.keys.answered(request, answer);
        }
        let version = *self.ports.version.borrow();
        self.ports.open.finish(request, outcome, version);
    }

    fn send(
        &mut self,
        request: RequestId,
        send: SendId,
        to: &Target,
        until: Now,
        retry: Option<Retry>,
    ) {
        if let Some(reason) = retry {
            self.ports.metrics.retried(reason);
            self.ports.open.retried(request);
        }
        // Read anew: whatever was true before a wait need not be true after it.
        let now = self.ports.clock.now();
        let may = self.ports.keys.may_send(now, request);
        let Some(sending) = self.sending(request, send, to).filter(|_| may) else {
            let end = AttemptEnd::Unreachable;
            self.later(Input::End { send, end });
            return;
        };
        let sending = sending.until(self.ports.clock.instant(until));
        let open = Arc::clone(&self.ports.open);
        let inputs = self.ports.inputs.clone();
        self.ports
            .sendings
            .start(sending, move |send, end, answer| {
                if let Some(answer) = answer {
                    open.hold(request, answer);
                }
                // A task that has ended needs no more of it.
                let _ = inputs.send(Input::End { send, end });
            });
    }

    /// `None` if nothing can be sent: the caller is gone or the node unknown.
    fn sending(&self, request: RequestId, send: SendId, to: &Target) -> Option<Sending> {
        let call = self.ports.open.call(request)?;
        Some(match to {
            Target::Minion { address, .. } => {
                let connections = self.connections.get(address).copied().unwrap_or(1);
                let connections = usize::try_from(connections).unwrap_or(usize::MAX);
                Sending::new(send, *address, call).connections(connections)
            }
            Target::Node(node) => {
                let address = *self.ports.callers.get(node)?;
                Sending::new(send, address, call)
                    .to_node()
                    .connections(NODE_CONNECTIONS)
            }
        })
    }

    /// Puts an event behind those that already wait, so that the core isn't stepped within a
    /// step.
    fn later(&self, input: Input) {
        // The receiver is this very task.
        let _ = self.ports.inputs.send(input);
    }
}

/// Connections to one node of another data centre.
const NODE_CONNECTIONS: usize = 256;

fn count(value: usize) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
