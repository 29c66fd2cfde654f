//! The main task of a control node. It runs consensus, the ledger and, while the node leads, the
//! scheduler.
//!
//! One task owns all three, so that it applies an entry, notifies the scheduler and sends the reply
//! in one step. Each turn handles the inputs that arrived during the previous one and hands their
//! disk writes over together. The busier the leader, the larger the batches.

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

/// Interval at which the timers of consensus and the scheduler are checked. Each wake-up costs
/// processor time. A fifth of the heartbeat interval is short enough for timely elections and lease
/// renewals.
const TICK: Duration = Duration::from_millis(20);
/// Inputs that may wait for the task. Further ones are dropped, and their senders retry.
const INBOX: usize = 16_384;
/// Inputs handled in one turn before their writes go to the disk.
const BATCH: usize = 256;
/// Number of applied entries after which a snapshot is taken.
const COMPACT: Index = 8192;
/// Size of the applied entries after which a snapshot is taken, however few there are. An eighth of
/// the smallest disk.
const COMPACT_BYTES: usize = 16 << 20;
/// Time between two broadcasts of the view if nothing changed: for the leader, whose presence entry
/// nodes must notice, and for the other control nodes.
pub(super) const VIEW: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(1));
/// Time between two checks of peers and voters.
pub(super) const TEND: Duration = Duration::from_millis(200);
/// Lower bound of the time without contact after which a voter counts as lost. No voter is in
/// contact during an election.
const LEAST_SILENCE: Duration = Duration::from_secs(1);
/// How long a stopping node waits for another node to lead and to vote in its place. Enough for an
/// election and two changes of the voters.
const LEAVE: Duration = Duration::from_millis(2500);

/// An input of the control task.
pub(super) enum Input {
    Frame(NodeId, Frame),
    Disk(DiskEvent),
    Ask(Ask, oneshot::Sender<Reply>),
    /// The answer to an order that this node sent as the leader.
    Answered(OrderId, u64, Answer),
    /// The answer to an order that this node executed as a relay.
    Carried {
        leader: NodeId,
        tenure: u64,
        order: OrderId,
        answer: Answer,
    },
    /// The result of writing the cluster to the data folder.
    Kept(Result<(), String>),
    Leave,
}

/// An input and the time of its arrival.
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

/// A handle to the control task. The task ends when all handles are dropped.
#[derive(Clone)]
pub struct Control(mpsc::Sender<Queued>);

impl Control {
    /// Sends a request to the task. Refuses it as overloaded if the inbox is full.
    pub async fn ask(&self, ask: Ask) -> Reply {
        let (reply, answer) = oneshot::channel();
        match self.0.try_send(Input::Ask(ask, reply).into()) {
            // If the task ends without a reply, it may have proposed the command.
            Ok(()) => answer.await.unwrap_or(Reply::Unclear),
            Err(_) => Reply::Refused(Refused::Overloaded),
        }
    }

    /// Passes on a message from the mesh. Drops it if the inbox is full.
    pub fn frame(&self, from: NodeId, frame: Frame) {
        // Peers repeat the messages that matter.
        let _ = self.0.try_send(Input::Frame(from, frame).into());
    }

    /// Gives up leadership and the vote, and waits up to a limit for other nodes to take them over,
    /// so that the cluster doesn't depend on a node which may not come back.
    pub async fn leave(&self, mut seat: watch::Receiver<Seat>, me: NodeId, limit: Duration) {
        let free = async {
            // If the task has ended, it neither leads nor votes.
            if self.0.send(Input::Leave.into()).await.is_err() {
                return;
            }
            let free = seat.wait_for(|seat| {
                let led = seat.leader.is_some_and(|leader| leader != me);
                seat.leaving && led && !(seat.votes && seat.spare)
            });
            // An error means that the task has ended meanwhile, which is as good.
            drop(free.await);
        };
        // The process ends even if no other node was found.
        let _ = tokio::time::timeout(limit.min(LEAVE), free).await;
    }
}

/// Starts the control task.
///
/// # Errors
///
/// The disk thread can't be started.
pub fn spawn(config: Config, ports: Ports) -> std::io::Result<Control> {
    let (sender, inbox) = mpsc::channel(INBOX);
    let weak = sender.downgrade();
    let disk = disk::spawn(config.disk, move |event| {
        if let Some(inbox) = weak.upgrade() {
            // The send fails only when the task has ended.
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

/// A job whose submission is proposed and not applied yet.
#[derive(Debug)]
pub(super) struct Submitting {
    /// The workspace that the job belongs to.
    pub(super) workspace: Option<WorkspaceId>,
    /// Requesters of the same job besides the first.
    pub(super) waiting: Vec<Asker>,
}

/// The state of the control task.
pub(super) struct Task {
    epoch: Instant,
    pub(super) node: Node,
    pub(super) ledger: Ledger,
    /// The decoded catalog in force; `None` until this node needs it.
    pub(super) catalog: Option<Arc<Catalog>>,
    /// The scheduler; present while this node leads.
    pub(super) scheduler: Option<Scheduler>,
    /// When this node last became leader.
    pub(super) led: Now,
    /// How many times this node has become leader. Answers to orders of an earlier tenure are
    /// ignored.
    tenure: u64,
    pub(super) waiting: Waiting,
    /// Jobs whose submissions are proposed and not applied yet.
    pub(super) submitting: Map<u64, Submitting>,
    pub(super) members: Members,
    /// Control nodes that have announced that they execute orders as relays.
    pub(super) carriers: Set<NodeId>,
    /// The relays of this node's orders while it leads.
    pub(super) relays: Relays,
    /// Answers to orders that this node executed as a relay, by leader and its tenure.
    carried: Map<(NodeId, u64), Vec<(OrderId, Answer)>>,
    /// The voters, and those of them that this node hears, as last logged.
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
    /// Whether the cluster is saved in the data folder.
    pub(super) kept: Kept,
    /// When a cluster id may be proposed again; `None` if at once.
    pub(super) found_due: Option<Now>,
    pub(super) full: bool,
    pub(super) compacted: Index,
    /// Size of the entries applied since the last snapshot.
    pub(super) bytes: usize,
    /// Whether this process is about to end.
    pub(super) leaving: bool,
    /// When to check peers and voters again; `None` if at once.
    pub(super) tend_due: Option<Now>,
    /// When to broadcast the view again; `None` if at once.
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

    /// Handles the inputs, then lets the leader decide once.
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

    /// Starts to give up leadership and the vote, and broadcasts that at once.
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
            // Control nodes send no requests over the mesh, so they get no replies.
            Frame::Answer(..) => {}
        }
    }

    fn disk_event(&mut self, event: DiskEvent) {
        match event {
            DiskEvent::Synced(write) => {
                if self.full {
                    log::info!("the disk has free space again");
                }
                self.full = false;
                self.consensus(consensus::Input::Synced { write });
            }
            DiskEvent::Full => {
                if !self.full {
                    log::error!("the disk is full; new requests are refused until it has free space");
                }
                self.full = true;
            }
            DiskEvent::Failed(source) => self.fail(format!("data folder: {source}")),
        }
    }

    pub(super) fn fail(&mut self, why: String) {
        self.failed = true;
        // The receiver is the main task of the process. If it is gone, the process is ending
        // anyway.
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

    /// Does the work of each turn that doesn't depend on being the leader.
    fn settle(&mut self) {
        self.compact();
        self.tend();
        self.tell();
        self.report_carried();
        self.flush();
    }

    /// Whether this node holds a valid leader lease, so that no other node can lead.
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
                log::info!(term = self.node.term(), superseded; "this node is no longer the leader");
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
        log::info!(term, index = self.ledger.applied(); "this node became the leader");
        self.scheduler = Some(Scheduler::new(
            now,
            wall(),
            term,
            self.settings,
            catalog,
            &self.ledger,
        ));
    }

    /// Lets the scheduler plan, proposes its commands and sends its orders.
    fn plan(&mut self) {
        if !self.leads() || self.full {
            return;
        }
        let now = self.now();
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        if let Some((span, part)) = self.load.sample() {
            scheduler.note_busy(span, part);
        }
        for order in self.relays.expire(now) {
            scheduler.answered(now, order, Answer::Silent);
        }
        let share = scheduler.relayed();
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
        // Checks the lease again, because the process may have been suspended since the first
        // check.
        if !self.leads() {
            return;
        }
        let tenure = self.tenure;
        for order in plan.orders {
            let relay = self.relays.choose(now, share, &order.what);
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
            // A lost frame shows as orders without an answer in time.
            self.ports.mesh.send(relay, frame.encode());
        }
    }

    /// Executes an order and feeds its answer back as an input.
    fn perform(
        &self,
        order: Order,
        answered: impl FnOnce(OrderId, Answer) -> Input + Send + 'static,
    ) {
        let Some(inbox) = self.sender.upgrade() else {
            return;
        };
        let id = order.id;
        let (metrics, what) = (Arc::clone(&self.ports.metrics), order.what.clone());
        let answer = (self.ports.perform)(order);
        tokio::spawn(async move {
            let begun = Instant::now();
            let answer = answer.await;
            metrics.ordered(&what, &answer, begun.elapsed());
            // The send fails only when the task has ended.
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

    /// Executes the orders of a leader as its relay, unless this node knows of a later term.
    fn carry(&mut self, leader: NodeId, tenure: u64, orders: Vec<Order>) {
        for order in orders {
            if order.term < self.node.term() {
                // No answer is sent: the current leader doesn't wait for this order.
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

    /// Handles a relay's answers to this node's orders.
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

    /// Sends leaders the answers to the orders that this node executed as their relay.
    fn report_carried(&mut self) {
        for ((leader, tenure), answers) in self.carried.drain() {
            let frame = Frame::Carried { tenure, answers };
            // If the frame is lost, the leader sees orders without an answer.
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
            // The requester may have stopped waiting.
            Asker::Here(sender) => drop(sender.send(reply)),
            Asker::There(node, number) => self.answer(node, number, reply),
            Asker::Nobody => {}
            // The change is proposed again for as long as it is needed.
            Asker::Membership => {
                log::info!(reply:?; "result of a proposed voter change");
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
            // A disk thread that has ended has reported its failure as an event.
            let _ = self.disk.send(std::mem::take(&mut self.writes));
        }
    }
}

/// The wall-clock time, for the times that operators and callers give.
pub fn wall_now() -> Wall {
    wall()
}
