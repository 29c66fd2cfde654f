//! The loop of the control task.

use std::{
    sync::{Arc, Mutex, mpsc as blocking},
    time::Duration,
};

use futures_util::FutureExt as _;
use prometheus_client::metrics::counter::Counter;
use tokio::{
    sync::{mpsc, watch},
    task::yield_now,
    time::{MissedTickBehavior, interval},
};

use super::{
    Applied, Control, ControlError, Input, Published, View,
    asks::{Asks, Origin},
};
use crate::{
    adapters::{disk::Disk, mesh::Mesh, metrics::Metrics},
    core::{
        activation::{self, Acting},
        claims::{self, Effect, Holder},
        consensus::{self, Content, Entry, Index, Node, Output, Payload, Restored},
        state::{Body, Command, Event, Reply, State},
        types::{DataCentreId, NodeId, Now, Version},
    },
    node::{
        clock::{Clock, wall},
        disk::{self, DiskEvent, Write},
        frame::{Answer, AskId, ControlFrame, Frame},
    },
};

/// How often the core's timers are looked at.
const TICK: Duration = Duration::from_millis(10);
/// Events that wait for the task before new ones are dropped; the mesh repeats what matters.
const INBOX: usize = 16_384;
/// Events taken in before their writes go to the disk.
const BATCH: usize = 256;
/// Entries applied since the last snapshot before the next one is taken.
const COMPACT: Index = 4096;

/// Who this node is, for the control task.
#[derive(Debug)]
pub(crate) struct Config {
    /// The consensus node's settings.
    pub(crate) consensus: consensus::Config,
    /// What the disk held.
    pub(crate) restored: Restored,
    /// The disk, if there is one.
    pub(crate) disk: Option<Disk>,
    /// The nodes that settings name, this one included.
    pub(crate) nodes: Arc<[(NodeId, DataCentreId)]>,
    /// The times of activation.
    pub(crate) activation: activation::Settings,
}

/// What the control task speaks to.
pub(crate) struct Ports {
    /// The other nodes.
    pub(crate) mesh: Arc<Mesh>,
    /// Counters and gauges.
    pub(crate) metrics: Arc<Metrics>,
    /// The clock that all tasks of this node share.
    pub(crate) clock: Clock,
    /// Under what this node acts, shared with those who must check it before they act.
    pub(crate) acting: Arc<Mutex<activation::Node>>,
    /// Told what the request path needs to know.
    pub(crate) published: watch::Sender<Published>,
    /// Told what the fleet task needs to know.
    pub(crate) applied: mpsc::UnboundedSender<Applied>,
    /// Told what became of keys.
    pub(crate) keys: mpsc::UnboundedSender<(Holder, Effect)>,
    /// Told why the process must stop.
    pub(crate) fatal: mpsc::UnboundedSender<ControlError>,
}

/// Starts the task. It ends when every handle is gone.
///
/// # Errors
///
/// Fails if the disk's thread can't be started.
pub(crate) fn spawn(config: Config, ports: Ports) -> std::io::Result<Control> {
    let (sender, inbox) = mpsc::channel(INBOX);
    let control = Control(sender);
    let disk = match config.disk {
        Some(disk) => {
            let weak = control.0.downgrade();
            let event = move |event| {
                if let Some(inbox) = weak.upgrade() {
                    // The task takes events in for as long as it runs.
                    let _ = inbox.blocking_send(Input::Disk(event));
                }
            };
            Some(disk::spawn(disk, event)?)
        }
        None => None,
    };
    let now = ports.clock.now();
    let task = Task {
        node: Node::new(now, config.consensus, config.restored),
        state: State::default(),
        leader: None,
        asks: Asks::default(),
        writes: Vec::new(),
        disk,
        full: false,
        compacted: 0,
        led: false,
        failed: false,
        rolling: None,
        rollout: None,
        nodes: config.nodes,
        activation: config.activation,
        changed: true,
        reconfigurations: Vec::new(),
        ports,
    };
    tokio::spawn(task.run(inbox));
    Ok(control)
}

pub(super) struct Task {
    pub(super) node: Node,
    pub(super) state: State,
    /// Present while this node leads and has applied an entry of its own term.
    pub(super) leader: Option<activation::Leader>,
    pub(super) asks: Asks,
    pub(super) writes: Vec<Write>,
    pub(super) disk: Option<blocking::Sender<Vec<Write>>>,
    pub(super) full: bool,
    pub(super) compacted: Index,
    pub(super) led: bool,
    /// Whether the state can't be kept any more. Nothing is taken in after that.
    pub(super) failed: bool,
    /// When the newest configuration was applied here, until it is activated.
    pub(super) rolling: Option<(Version, Now)>,
    pub(super) rollout: Option<Duration>,
    pub(super) nodes: Arc<[(NodeId, DataCentreId)]>,
    pub(super) activation: activation::Settings,
    /// Whether what is published must be made anew.
    pub(super) changed: bool,
    pub(super) reconfigurations: Vec<(u64, tokio::sync::oneshot::Sender<bool>)>,
    pub(super) ports: Ports,
}

impl Task {
    async fn run(mut self, mut inbox: mpsc::Receiver<Input>) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut inputs = Vec::with_capacity(BATCH);
        loop {
            let mut ticked = false;
            tokio::select! {
                biased;
                count = inbox.recv_many(&mut inputs, BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
                _ = tick.tick() => ticked = true,
                // Lets the links send and receive between two batches of entries.
                () = yield_now(), if self.node.has_unapplied() => {}
            }
            ticked |= tick.tick().now_or_never().is_some();
            for input in inputs.drain(..) {
                self.take(input);
            }
            // A leader must have read the answers that have arrived before a tick judges its quorum.
            if ticked || self.node.has_unapplied() {
                self.consensus(consensus::Input::Tick);
            }
            if self.failed {
                return;
            }
            self.settle();
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Frame(from, frame) => self.frame(from, frame),
            Input::Disk(event) => self.disk_event(event),
            Input::Ask { body, until, reply } => {
                self.asks.open(self.now(), body, until, reply);
            }
            Input::Look(look) => self.look(look),
            Input::Reconfigure { voters, reply } => {
                let proposal = self.asks.propose(Origin::Nobody);
                self.reconfigurations.push((proposal, reply));
                self.consensus(consensus::Input::Reconfigure { proposal, voters });
            }
            Input::HandOver => self.consensus(consensus::Input::HandOver { to: None }),
        }
    }

    fn frame(&mut self, from: NodeId, frame: ControlFrame) {
        match frame {
            ControlFrame::Consensus(message) => {
                self.consensus(consensus::Input::Receive { from, message });
            }
            ControlFrame::Activation(message) => self.activation(from, message),
            ControlFrame::Ask { ask, body } => self.asked(from, ask, body),
            ControlFrame::Answer { ask, answer } => {
                self.asks.answered(self.now(), ask, answer);
            }
        }
    }

    fn disk_event(&mut self, event: DiskEvent) {
        match event {
            DiskEvent::Synced(write) => {
                if self.full {
                    log::info!("disk has room again");
                }
                self.full = false;
                self.consensus(consensus::Input::Synced { write });
            }
            DiskEvent::Full => {
                if !self.full {
                    log::error!("disk full; new changes are refused until there is room");
                }
                self.full = true;
            }
            DiskEvent::Failed(source) => self.fail(ControlError::Disk { source }),
        }
    }

    /// Ends the task and lets the process stop.
    fn fail(&mut self, error: ControlError) {
        self.failed = true;
        // The receiver is the process's main task; if it is gone, so are we.
        let _ = self.ports.fatal.send(error);
    }

    fn look(&self, look: Box<dyn FnOnce(&View<'_>) + Send>) {
        let now = self.now();
        let acting = self.acting(now);
        let waiting = self
            .leader
            .as_ref()
            .map(|leader| leader.waiting(now))
            .unwrap_or_default();
        let holders: Vec<_> = self
            .leader
            .iter()
            .flat_map(|leader| leader.holders(now))
            .collect();
        look(&View {
            state: &self.state,
            acting: &acting,
            leader: self.node.leader(),
            leads: self.leader.is_some(),
            term: self.node.term(),
            committed: self.node.committed(),
            voters: self.node.voters(),
            waiting: &waiting,
            holders: &holders,
            rollout: self.rollout,
            full: self.full,
        });
    }

    fn consensus(&mut self, input: consensus::Input) {
        if self.failed {
            return;
        }
        let outputs = self.node.step(self.now(), input);
        for output in outputs {
            self.carry_out(output);
            // What follows rests on the change that could not be applied.
            if self.failed {
                return;
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.send(to, ControlFrame::Consensus(message)),
            Output::Write { write, record } => self.writes.push(Write { write, record }),
            Output::Apply(entry) => self.apply(&entry),
            Output::Restore { index, snapshot } => self.restore(index, &snapshot),
            Output::Appended {
                proposal,
                term,
                index,
            } => {
                self.reconfigured(proposal, true);
                self.asks.placed(proposal, term, index);
            }
            Output::Rejected { proposal, leader } => self.rejected(proposal, leader),
            Output::Resigned { term, why } => {
                log::info!(node = self.node.id(), term, why = why.label(); "this node stepped down");
            }
        }
    }

    fn apply(&mut self, entry: &Entry) {
        let now = self.now();
        let origin = self.asks.applied(now, entry.term, entry.index);
        let Content::Command(payload) = &entry.content else {
            return;
        };
        let command = match Command::decode(payload) {
            Ok(command) => command,
            Err(source) => {
                let index = entry.index;
                return self.fail(ControlError::Command { index, source });
            }
        };
        let reply = self.state.apply(entry.index, &command);
        self.changed = true;
        self.time_rollout(now);
        self.learn();
        self.key(&command, &reply);
        if self.led {
            let applied = Applied::Command {
                index: entry.index,
                command: Arc::new(command),
                reply: reply.clone(),
            };
            // Without a fleet task nobody needs to know.
            let _ = self.ports.applied.send(applied);
        }
        self.answer(origin, reply);
    }

    /// Tells the request path what became of a key of its own.
    fn key(&self, command: &Command, reply: &Reply) {
        let Body::System(Event::Key(keyed)) = &command.body else {
            return;
        };
        let (claim, effect) = match (keyed, reply) {
            (claims::Command::Claim(claim), Reply::Claimed { answer }) => {
                (claim, Effect::Claim(answer.clone()))
            }
            (claims::Command::Settle { claim, .. }, _) => (claim, Effect::Settle),
            _ => return,
        };
        if claim.holder.node == self.node.id() {
            // A request path that has ended waits for no key.
            let _ = self.ports.keys.send((claim.holder, effect));
        }
    }

    fn answer(&mut self, origin: Origin, reply: Reply) {
        match origin {
            Origin::Here(ask) => self.asks.end(ask, Ok(reply)),
            Origin::There(node, ask) => {
                let answer = Answer::Applied(reply);
                self.send(node, ControlFrame::Answer { ask, answer });
            }
            Origin::Nobody => {}
        }
    }

    fn restore(&mut self, index: Index, image: &Payload) {
        match State::from_image(image) {
            Ok(state) => {
                log::info!(index; "state restored from a snapshot");
                self.state = state;
                self.compacted = index;
                self.changed = true;
                self.learn();
            }
            Err(source) => self.fail(ControlError::Image { index, source }),
        }
    }

    fn rejected(&mut self, proposal: u64, leader: Option<NodeId>) {
        self.reconfigured(proposal, false);
        let origin = self.asks.rejected(self.now(), proposal);
        if let Origin::There(node, ask) = origin {
            let answer = Answer::NotLeader(leader);
            self.send(node, ControlFrame::Answer { ask, answer });
        }
    }

    fn reconfigured(&mut self, proposal: u64, placed: bool) {
        let found = self
            .reconfigurations
            .iter()
            .position(|(number, _)| *number == proposal);
        if let Some(found) = found {
            let (_, reply) = self.reconfigurations.swap_remove(found);
            // The asker may have stopped waiting.
            let _ = reply.send(placed);
        }
    }

    fn asked(&mut self, from: NodeId, ask: AskId, body: Body) {
        if self.full {
            let answer = Answer::DiskFull;
            self.send(from, ControlFrame::Answer { ask, answer });
            return;
        }
        self.propose(Origin::There(from, ask), body);
    }

    pub(super) fn propose(&mut self, origin: Origin, body: Body) {
        let payload = Command { at: wall(), body }.encode();
        let proposal = self.asks.propose(origin);
        self.consensus(consensus::Input::Propose { proposal, payload });
    }

    /// What every batch of inputs may have made possible or due.
    fn settle(&mut self) {
        self.lead();
        self.tick_activation();
        self.send_asks();
        self.compact();
        self.flush();
        self.publish();
    }

    fn send_asks(&mut self) {
        let now = self.now();
        for due in self.asks.due(now) {
            if self.node.is_leader() {
                if self.full {
                    self.asks.end(due.ask, Err(super::AskError::DiskFull));
                } else {
                    self.propose(Origin::Here(due.ask), due.body);
                }
            } else if let Some(leader) = self.node.leader() {
                let (ask, body) = (due.ask, due.body);
                self.asks.sent(ask);
                self.send(leader, ControlFrame::Ask { ask, body });
            }
        }
    }

    fn compact(&mut self) {
        let index = self.state.applied();
        if index < self.compacted + COMPACT {
            return;
        }
        self.compacted = index;
        let image = self.state.image();
        self.consensus(consensus::Input::Compact {
            index,
            snapshot: image,
        });
    }

    fn flush(&mut self) {
        let writes = std::mem::take(&mut self.writes);
        if let Some(disk) = &self.disk
            && !writes.is_empty()
        {
            // A thread that has ended said why, and the process is about to stop.
            let _ = disk.send(writes);
        }
    }

    fn publish(&mut self) {
        if self.changed {
            self.changed = false;
            let published = Published::new(&self.state, &self.nodes);
            self.ports.published.send_replace(published);
        }
        let metrics = &self.ports.metrics;
        metrics.leading.set(i64::from(self.leader.is_some()));
        metrics.term.set(gauge(self.node.term()));
        metrics.applied.set(gauge(self.state.applied()));
        let acting = match self.acting(self.now()) {
            Acting::Under { version, .. } => version,
            Acting::CutOff(_) => 0,
        };
        metrics.acting.set(gauge(acting));
        let traffic = self.ports.mesh.traffic();
        raise(&metrics.mesh_sent, traffic.sent());
        raise(&metrics.mesh_received, traffic.received());
    }

    pub(super) fn send(&self, to: NodeId, frame: ControlFrame) {
        let bytes = Frame::Control(frame).encode();
        if !self.ports.mesh.send(to, bytes) {
            self.ports.metrics.dropped.inc();
        }
    }

    pub(super) fn now(&self) -> Now {
        self.ports.clock.now()
    }
}

/// Brings a counter up to what was counted elsewhere.
fn raise(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
