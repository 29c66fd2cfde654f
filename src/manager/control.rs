//! The task of a control node: consensus, the ledger and, while it leads, the scheduler.
//!
//! One task owns all three, so that an entry is applied, told to the scheduler and answered in one
//! step. Whatever came in while it was busy is taken in together and its writes go to the disk
//! together: the busier the leader, the larger the groups.

use std::{path::PathBuf, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, MissedTickBehavior, interval},
};

use super::{
    ask::{Ask, Refused, Reply},
    cluster::Kept,
    frame::{AskId, Frame, View},
    load::Load,
    membership::Members,
    metrics::Part,
    ports::{Config, Ports, Seat},
    relays::Relays,
    waiting::{Asker, Waiting},
};
use crate::{
    core::{
        consensus::{self, Index, Node},
        types::{DataCentreId, Map, NodeId, Now, Set, Wall, WorkspaceId},
        workload::{
            catalog::Catalog,
            command::Command,
            ledger::Ledger,
            scheduler::{Answer, Order, OrderId, Scheduler, Settings},
        },
    },
    node::{
        clock::wall,
        disk::{self, DiskEvent, Write},
    },
};

/// How often the timers of consensus and the scheduler are looked at. Each wake-up costs; a fifth
/// of the heartbeat keeps elections and renewals in time.
const TICK: Duration = Duration::from_millis(20);
/// Events that wait for the task before new ones are dropped; who sent them asks again.
const INBOX: usize = 16_384;
/// Events taken in before their writes go to the disk.
const BATCH: usize = 256;
/// Entries after which a snapshot is taken.
const COMPACT: Index = 8192;
/// Bytes of entries after which one is taken however few they are: an eighth of the smallest disk.
const COMPACT_BYTES: usize = 16 << 20;
/// From one view of the cluster to the next, unless something changed: of the leader, which entry
/// nodes must know to be there, and of the others.
pub(super) const VIEW: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(1));
/// From one look at the voters to the next.
pub(super) const TEND: Duration = Duration::from_millis(200);
/// The least silence after which a voter counts as lost: an election, in which nobody is heard.
const LEAST_SILENCE: Duration = Duration::from_secs(1);
/// How long a stopping node waits for another to lead and to vote in its place: an election and two
/// changes of the voters.
const LEAVE: Duration = Duration::from_millis(2500);

/// An event of the task.
pub(super) enum Input {
    Frame(NodeId, Frame),
    Disk(DiskEvent),
    Ask(Ask, oneshot::Sender<Reply>),
    /// An order of this node's was answered.
    Answered(OrderId, u64, Answer),
    /// An order that was carried for a leader was answered.
    Carried {
        leader: NodeId,
        tenure: u64,
        order: OrderId,
        answer: Answer,
    },
    /// The cluster was written to the data folder, or why not.
    Kept(Result<(), String>),
    Leave,
}

/// An event, and when it came.
pub(super) struct Queued {
    came: Instant,
    input: Input,
}

impl From<Input> for Queued {
    fn from(input: Input) -> Self {
        Self {
            came: Instant::now(),
            input,
        }
    }
}

/// Speaks to the task, which ends when every handle is gone.
#[derive(Clone)]
pub struct Control(mpsc::Sender<Queued>);

impl Control {
    /// Asks; what can't be asked in time is refused.
    pub async fn ask(&self, ask: Ask) -> Reply {
        let (reply, answer) = oneshot::channel();
        match self.0.try_send(Input::Ask(ask, reply).into()) {
            // A task that ended may have proposed it.
            Ok(()) => answer.await.unwrap_or(Reply::Unclear),
            Err(_) => Reply::Refused(Refused::Overloaded),
        }
    }

    /// Hands over what the mesh brought; lost if the task is too far behind.
    pub fn frame(&self, from: NodeId, frame: Frame) {
        // Peers repeat what matters.
        let _ = self.0.try_send(Input::Frame(from, frame).into());
    }

    /// Gives up leadership and vote, and waits a while for others to take them, so that a node
    /// which doesn't come back isn't missed.
    pub async fn leave(&self, mut seat: watch::Receiver<Seat>, me: NodeId, limit: Duration) {
        let free = async {
            // A task that has ended leads and votes no more.
            if self.0.send(Input::Leave.into()).await.is_err() {
                return;
            }
            let free = seat.wait_for(|seat| {
                let led = seat.leader.is_some_and(|leader| leader != me);
                seat.leaving && led && !(seat.votes && seat.spare)
            });
            // The same if it ends meanwhile.
            drop(free.await);
        };
        // Whether or not others were found, this process ends.
        let _ = tokio::time::timeout(limit.min(LEAVE), free).await;
    }
}

/// Starts the task.
///
/// # Errors
///
/// The disk's thread can't be started.
pub fn spawn(config: Config, ports: Ports) -> std::io::Result<Control> {
    let (sender, inbox) = mpsc::channel(INBOX);
    let weak = sender.downgrade();
    let disk = disk::spawn(config.disk, move |event| {
        if let Some(inbox) = weak.upgrade() {
            // The task takes events in for as long as it runs.
            let _ = inbox.blocking_send(Input::Disk(event).into());
        }
    })?;
    let epoch = Instant::now();
    let node = Node::new(Duration::ZERO, config.consensus, config.restored);
    let known = ports.mesh.claim().cluster.is_some();
    let mut task = Task {
        epoch,
        node,
        ledger: Ledger::default(),
        catalog: None,
        scheduler: None,
        led: Duration::ZERO,
        tenure: 0,
        waiting: Waiting::default(),
        submitting: Map::default(),
        members: Members::default(),
        carriers: Set::default(),
        relays: Relays::default(),
        carried: Map::default(),
        voting: Default::default(),
        data_centre: config.data_centre,
        mesh_port: config.mesh_port,
        voters: config.voters,
        silence: config.silence.max(LEAST_SILENCE),
        settings: config.scheduler,
        writes: Vec::new(),
        disk,
        folder: config.folder,
        kept: if known {
            Kept::Yes
        } else {
            Kept::No {
                due: Duration::ZERO,
            }
        },
        found_due: None,
        full: false,
        compacted: 0,
        bytes: 0,
        leaving: false,
        tend_due: None,
        view_due: None,
        view: None,
        failed: false,
        sender: sender.downgrade(),
        load: Load::new(Arc::clone(&ports.metrics)),
        ports,
    };
    task.consensus(consensus::Input::Tick);
    tokio::spawn(task.run(inbox));
    Ok(Control(sender))
}

/// A job that is being committed.
#[derive(Debug)]
pub(super) struct Submitting {
    /// The workspace that it is of.
    pub(super) workspace: Option<WorkspaceId>,
    /// Those who wait besides the first.
    pub(super) waiting: Vec<Asker>,
}

/// The state of the task.
pub(super) struct Task {
    epoch: Instant,
    pub(super) node: Node,
    pub(super) ledger: Ledger,
    /// The catalog in force, as far as this node had to read it.
    pub(super) catalog: Option<Arc<Catalog>>,
    /// Present while this node leads.
    pub(super) scheduler: Option<Scheduler>,
    /// Since when this node leads.
    pub(super) led: Now,
    /// Counts the times that this node led: answers to orders of an earlier time are void.
    tenure: u64,
    pub(super) waiting: Waiting,
    /// Jobs that are being committed.
    pub(super) submitting: Map<u64, Submitting>,
    pub(super) members: Members,
    /// Control nodes that have said that they carry orders.
    pub(super) carriers: Set<NodeId>,
    /// Those that carry this node's orders.
    pub(super) relays: Relays,
    /// Answers to orders that were carried for leaders, by leader and the time that it led.
    carried: Map<(NodeId, u64), Vec<(OrderId, Answer)>>,
    /// The voters and those of them that are heard, as logged last.
    pub(super) voting: (Vec<NodeId>, Vec<NodeId>),
    pub(super) data_centre: DataCentreId,
    pub(super) mesh_port: u16,
    pub(super) voters: usize,
    pub(super) silence: Duration,
    settings: Settings,
    pub(super) writes: Vec<Write>,
    disk: std::sync::mpsc::Sender<Vec<Write>>,
    /// The data folder.
    pub(super) folder: PathBuf,
    /// Whether the data folder holds the cluster.
    pub(super) kept: Kept,
    /// When an id of the cluster may be proposed again; at once if not given.
    pub(super) found_due: Option<Now>,
    pub(super) full: bool,
    pub(super) compacted: Index,
    /// Bytes applied since the last snapshot.
    pub(super) bytes: usize,
    /// Whether this process is about to end.
    pub(super) leaving: bool,
    /// When the voters are to be looked at; at once if not given.
    pub(super) tend_due: Option<Now>,
    /// When the others are to be told; at once if not given.
    pub(super) view_due: Option<Now>,
    pub(super) view: Option<View>,
    failed: bool,
    pub(super) sender: mpsc::WeakSender<Queued>,
    load: Load,
    pub(super) ports: Ports,
}

impl Task {
    async fn run(mut self, mut inbox: mpsc::Receiver<Queued>) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut inputs = Vec::with_capacity(BATCH);
        while !self.failed {
            tokio::select! {
                count = inbox.recv_many(&mut inputs, BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
                _ = tick.tick() => self.consensus(consensus::Input::Tick),
            }
            self.turn(inputs.drain(..));
        }
    }

    /// Takes in what has come, and decides once.
    fn turn(&mut self, inputs: impl ExactSizeIterator<Item = Queued>) {
        self.load.begin(inputs.len());
        for Queued { came, input } in inputs {
            self.load.waited(came);
            self.take(input);
        }
        self.load.done(Part::Take);
        self.lead();
        self.plan();
        self.load.done(Part::Plan);
        self.settle();
        self.load.done(Part::Rest);
        self.load.end();
        let under_way = self.scheduler.as_ref().map_or(0, Scheduler::under_way);
        self.load.close(under_way);
    }

    pub(super) fn now(&self) -> Now {
        self.epoch.elapsed()
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Frame(from, frame) => self.frame(from, frame),
            Input::Disk(event) => self.disk_event(event),
            Input::Ask(ask, reply) => self.ask(Asker::Here(reply), ask),
            Input::Answered(order, tenure, answer) => self.answered(order, tenure, answer),
            Input::Carried {
                leader,
                tenure,
                order,
                answer,
            } => {
                let answers = self.carried.entry((leader, tenure)).or_default();
                answers.push((order, answer));
            }
            Input::Kept(kept) => self.kept(kept),
            Input::Leave => self.leave(),
        }
    }

    /// Lets others lead and vote, and tells them at once.
    fn leave(&mut self) {
        self.leaving = true;
        self.view_due = None;
        self.tend_due = None;
        self.consensus(consensus::Input::Retire);
    }

    fn frame(&mut self, from: NodeId, frame: Frame) {
        match frame {
            Frame::Log(message) => self.consensus(consensus::Input::Receive { from, message }),
            Frame::Ask(number, ask) => self.ask(Asker::There(from, number), ask),
            Frame::View(view) => self.viewed(from, view),
            Frame::Orders { tenure, orders } => self.carry(from, tenure, orders),
            Frame::Carried { tenure, answers } => self.were_carried(from, tenure, answers),
            // Control nodes ask nothing over the mesh.
            Frame::Answer(..) => {}
        }
    }

    fn disk_event(&mut self, event: DiskEvent) {
        match event {
            DiskEvent::Synced(write) => {
                if self.full {
                    log::info!("the disk has room again");
                }
                self.full = false;
                self.consensus(consensus::Input::Synced { write });
            }
            DiskEvent::Full => {
                if !self.full {
                    log::error!("the disk is full; nothing new is taken until it has room");
                }
                self.full = true;
            }
            DiskEvent::Failed(source) => self.fail(format!("data folder: {source}")),
        }
    }

    pub(super) fn fail(&mut self, why: String) {
        self.failed = true;
        // The receiver is the process's main task; if it is gone, so are we.
        let _ = self.ports.fatal.send(why);
    }

    pub(super) fn consensus(&mut self, input: consensus::Input) {
        if self.failed {
            return;
        }
        let outputs = self.node.step(self.now(), input);
        for output in outputs {
            self.carry_out(output);
        }
    }

    /// What every batch of inputs may have made due besides what the leader decides.
    fn settle(&mut self) {
        self.compact();
        self.tend();
        self.tell();
        self.report_carried();
        self.flush();
    }

    /// Whether no other node can lead now.
    pub(super) fn leads(&self) -> bool {
        self.node
            .lease_until()
            .is_some_and(|until| self.now() < until)
    }

    fn lead(&mut self) {
        let now = self.now();
        let superseded = self
            .scheduler
            .as_ref()
            .is_some_and(Scheduler::is_superseded);
        if !self.node.is_leader() || superseded {
            if self.scheduler.take().is_some() {
                log::info!(term = self.node.term(), superseded; "this node leads no more");
                self.submitting.clear();
                for asker in self.waiting.abandon() {
                    self.reply(asker, Reply::Unclear);
                }
            }
            return;
        }
        if self.scheduler.is_some() || !self.leads() {
            return;
        }
        self.led = now;
        self.tenure += 1;
        self.relays.begin();
        let catalog = self.read_catalog().unwrap_or_default();
        let term = self.node.term();
        log::info!(term, index = self.ledger.applied(); "this node leads");
        self.scheduler = Some(Scheduler::new(
            now,
            wall(),
            term,
            self.settings,
            catalog,
            &self.ledger,
        ));
    }

    /// Lets the scheduler decide, commits what it wants committed and sends its orders.
    fn plan(&mut self) {
        if !self.leads() || self.full {
            return;
        }
        let now = self.now();
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        if let Some((span, part)) = self.load.sample() {
            scheduler.record_busy(span, part);
        }
        for order in self.relays.expire(now) {
            scheduler.answered(now, order, Answer::Silent);
        }
        let share = scheduler.relay_share();
        let plan = scheduler.plan(now, wall(), &self.ledger);
        self.load
            .decided(plan.orders.len(), plan.commands.len(), plan.looks);
        for age in &plan.ages {
            self.ports.metrics.placed_after(*age);
        }
        for delay in &plan.delays {
            self.ports.metrics.start_sent_after(*delay);
        }
        for command in plan.commands {
            self.propose(Asker::Nobody, command);
        }
        // Asked anew: a process can freeze between two steps.
        if !self.leads() {
            return;
        }
        let tenure = self.tenure;
        for order in plan.orders {
            let relay = self.relays.choose(now, share, &order.kind);
            match relay {
                Some(relay) => self.relays.carry(now, relay, self.ports.exchange, order),
                None => {
                    self.relays.send_here(&order);
                    self.perform(order, move |order, answer| {
                        Input::Answered(order, tenure, answer)
                    });
                }
            }
        }
        for (relay, orders) in self.relays.take_batches() {
            let frame = Frame::Orders { tenure, orders };
            // What is lost on the way gets no answer in time.
            self.ports.mesh.send(relay, frame.encode());
        }
    }

    /// Has an order carried out, and its answer come in.
    fn perform(
        &self,
        order: Order,
        answered: impl FnOnce(OrderId, Answer) -> Input + Send + 'static,
    ) {
        let Some(inbox) = self.sender.upgrade() else {
            return;
        };
        let id = order.id;
        let (metrics, what) = (Arc::clone(&self.ports.metrics), order.kind.clone());
        let answer = (self.ports.perform)(order);
        tokio::spawn(async move {
            let begun = Instant::now();
            let answer = answer.await;
            metrics.ordered(&what, &answer, begun.elapsed());
            // A task that has ended needs no answer.
            let _ = inbox.send(answered(id, answer).into()).await;
        });
    }

    fn answered(&mut self, order: OrderId, tenure: u64, answer: Answer) {
        let now = self.now();
        if tenure == self.tenure
            && let Some(scheduler) = &mut self.scheduler
        {
            self.relays
                .answered_here(order, !matches!(answer, Answer::Silent));
            scheduler.answered(now, order, answer);
        }
    }

    /// Carries out the orders of a leader, unless a later one is known of.
    fn carry(&mut self, leader: NodeId, tenure: u64, orders: Vec<Order>) {
        for order in orders {
            if order.term < self.node.term() {
                // It isn't said to have failed: nobody who leads waits for it.
                continue;
            }
            self.perform(order, move |order, answer| Input::Carried {
                leader,
                tenure,
                order,
                answer,
            });
        }
    }

    /// A relay tells what came of this node's orders.
    fn were_carried(&mut self, relay: NodeId, tenure: u64, answers: Vec<(OrderId, Answer)>) {
        let now = self.now();
        let Some(scheduler) = self.scheduler.as_mut().filter(|_| tenure == self.tenure) else {
            return;
        };
        for (order, answer) in answers {
            let reached = !matches!(answer, Answer::Silent);
            if self.relays.answered(relay, order, reached) {
                scheduler.answered(now, order, answer);
            }
        }
    }

    /// Tells leaders what came of the orders that were carried for them.
    fn report_carried(&mut self) {
        for ((leader, tenure), answers) in self.carried.drain() {
            let frame = Frame::Carried { tenure, answers };
            // What is lost on the way is known by its leader as orders without an answer.
            self.ports.mesh.send(leader, frame.encode());
        }
    }

    pub(super) fn propose(&mut self, asker: Asker, command: Command) {
        let payload = command.encode();
        let proposal = self.waiting.propose(asker, Some(command));
        self.load.proposed(payload.len());
        self.consensus(consensus::Input::Propose { proposal, payload });
    }

    pub(super) fn reply(&self, asker: Asker, reply: Reply) {
        match asker {
            // Whoever asked may have stopped waiting.
            Asker::Here(sender) => drop(sender.send(reply)),
            Asker::There(node, number) => self.answer(node, number, reply),
            Asker::Nobody => {}
            // It is tried again as long as it is wanted.
            Asker::Membership => {
                log::info!(reply:?; "a change of the voters was answered");
            }
        }
    }

    fn answer(&self, node: NodeId, number: AskId, reply: Reply) {
        self.ports
            .mesh
            .send(node, Frame::Answer(number, reply).encode());
    }

    fn compact(&mut self) {
        let index = self.ledger.applied();
        if index < self.compacted + COMPACT && self.bytes < COMPACT_BYTES {
            return;
        }
        self.compacted = index;
        self.bytes = 0;
        let image = self.ledger.image();
        self.consensus(consensus::Input::Compact { index, image });
    }

    fn flush(&mut self) {
        if !self.writes.is_empty() {
            // A disk thread that has ended says so by an event.
            let _ = self.disk.send(std::mem::take(&mut self.writes));
        }
    }
}

/// Wall-clock time, for what operators and callers state in it.
pub fn wall_now() -> Wall {
    wall()
}
