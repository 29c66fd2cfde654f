//! The main task of a control node. It runs consensus, the ledger and, while the node leads, the
//! scheduler.
//!
//! One task owns all three, so that it applies an entry, notifies the scheduler and sends the reply
//! in one step. Each turn handles the inputs that arrived during the previous one and hands their
//! disk writes over together. The busier the leader, the larger the batches.

use std::{path::PathBuf, sync::Arc, time::Duration};

use futures_util::FutureExt as _;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::yield_now,
    time::{Instant, MissedTickBehavior, interval},
};

use super::{
    cluster::SaveState,
    frame::{Frame, RequestId, View},
    load::Load,
    membership::Members,
    metrics::{InputKind, Phase},
    ports::{Config, ControlStatus, Ports},
    proposals::{PendingProposals, ReplyTo},
    relays::Relays,
    request::{LeaderRequest, Refused, Reply},
    state_memory::StateMemory,
};
use crate::{
    adapters::memory::{Memory, Share},
    core::{
        consensus::{self, Index, Node, TransferProgress},
        types::{DataCentreId, Map, NodeId, Now, Set, Wall, WorkspaceId},
        workload::{
            catalog::Catalog,
            command::Command,
            ledger::Ledger,
            scheduler::{Answer, OrderId, Scheduler, Settings},
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
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Inputs that may wait for the task. Further ones are dropped, and their senders retry.
const INBOX_CAPACITY: usize = 16_384;
/// The part of what the replicated state may take that requests in the inbox may take besides.
const INBOX_PART: u64 = 4;
/// Inputs handled in one turn before their writes go to the disk. Messages of consensus may exceed it.
const MAX_BATCH: usize = 256;
/// How long a turn takes in inputs before it decides; the rest follows in the next turn. Together with
/// a plan this stays well below the interval of heartbeats between control nodes.
const MAX_TAKING: Duration = Duration::from_millis(20);
/// Number of applied entries after which a snapshot is taken.
const SNAPSHOT_ENTRIES: Index = 8192;
/// Size of the applied entries after which a snapshot is taken, however few there are. An eighth of
/// the smallest disk.
const SNAPSHOT_BYTES: usize = 16 << 20;
/// Time between two broadcasts of the view if nothing changed: for the leader, whose presence entry
/// nodes must notice, and for the other control nodes.
pub(super) const VIEW_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(1));
/// Time between two checks of peers and voters.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Lower bound of the time without contact after which a voter counts as lost. No voter is in
/// contact during an election.
const MIN_VOTER_SILENCE: Duration = Duration::from_secs(1);
/// How long a stopping node waits for another node to lead and to vote in its place. Enough for an
/// election and two changes of the voters.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(2500);

/// An input of the control task.
pub(super) enum Input {
    Frame(NodeId, Frame),
    Disk(DiskEvent),
    Request(LeaderRequest, oneshot::Sender<Reply>),
    /// The answer to an order that this node sent as the leader.
    Answered(OrderId, u64, Answer),
    /// The answer to an order that this node executed as a relay.
    RelayedAnswer {
        leader: NodeId,
        tenure: u64,
        order: OrderId,
        answer: Answer,
    },
    /// The result of writing the cluster to the data folder.
    ClusterSaved(Result<(), String>),
    Leave,
}

impl Input {
    fn kind(&self) -> InputKind {
        match self {
            Self::Frame(_, Frame::Consensus(_)) | Self::Disk(_) => InputKind::Consensus,
            Self::Frame(_, Frame::Request(_, LeaderRequest::Heartbeat(_)))
            | Self::Request(LeaderRequest::Heartbeat(_), _) => InputKind::Heartbeat,
            Self::Frame(_, Frame::Request(..)) | Self::Request(..) => InputKind::Request,
            Self::Frame(_, Frame::RelayedAnswers { .. }) | Self::Answered(..) => InputKind::Answers,
            Self::Frame(_, Frame::Orders { .. }) | Self::RelayedAnswer { .. } => InputKind::Relayed,
            Self::Frame(_, Frame::View(_) | Frame::Reply(..))
            | Self::ClusterSaved(_)
            | Self::Leave => InputKind::Other,
        }
    }
}

/// An input and the time of its arrival.
pub(super) struct Queued {
    arrived_at: Instant,
    input: Input,
    /// The memory that a request takes while it waits.
    _share: Option<Share>,
}

impl From<Input> for Queued {
    fn from(input: Input) -> Self {
        Self {
            arrived_at: Instant::now(),
            input,
            _share: None,
        }
    }
}

/// A handle to the control task. The task ends when all handles are dropped.
#[derive(Clone)]
pub struct Control {
    /// Messages of consensus and events of the disk. They never wait behind other inputs: a node that
    /// answers its peers late loses its office, or elects another leader.
    consensus: mpsc::Sender<Queued>,
    inbox: mpsc::Sender<Queued>,
    /// What the requests that wait in the inbox take.
    memory: Memory,
}

impl Control {
    /// Sends a request to the task. Refuses it as overloaded if the inbox is full.
    pub async fn ask(&self, request: LeaderRequest) -> Reply {
        let (reply, answer) = oneshot::channel();
        let bytes = request.bytes();
        if self.enqueue(Input::Request(request, reply), bytes) {
            // If the task ends without a reply, it may have proposed the command.
            answer.await.unwrap_or(Reply::Unclear)
        } else {
            Reply::Refused(Refused::Overloaded)
        }
    }

    /// Queues an input that takes so many bytes while it waits. Returns whether there was room.
    fn enqueue(&self, input: Input, bytes: usize) -> bool {
        // A request that is larger than all of it has it to itself, and is answered as too large.
        let share = (bytes > 0).then(|| self.memory.try_reserve(bytes.min(self.memory.total())));
        if share.as_ref().is_some_and(Option::is_none) {
            return false;
        }
        let queued = Queued {
            _share: share.flatten(),
            ..input.into()
        };
        let lane = if queued.input.kind() == InputKind::Consensus {
            &self.consensus
        } else {
            &self.inbox
        };
        lane.try_send(queued).is_ok()
    }

    /// Passes on a message from the mesh. Drops it if the inbox is full.
    pub fn handle_frame(&self, from: NodeId, frame: Frame) {
        let bytes = match &frame {
            Frame::Request(_, request) => request.bytes(),
            _ => 0,
        };
        // Peers repeat the messages that matter.
        let _ = self.enqueue(Input::Frame(from, frame), bytes);
    }

    /// Gives up leadership and the vote, and waits up to a limit for other nodes to take them over,
    /// so that the cluster doesn't depend on a node which may not come back.
    pub async fn leave(
        &self,
        mut status: watch::Receiver<ControlStatus>,
        me: NodeId,
        limit: Duration,
    ) {
        let free = async {
            // If the task has ended, it neither leads nor votes.
            if self.inbox.send(Input::Leave.into()).await.is_err() {
                return;
            }
            let free = status.wait_for(|status| {
                let led = status.leader.is_some_and(|leader| leader != me);
                status.leaving && led && !(status.votes && status.replaceable)
            });
            // An error means that the task has ended meanwhile, which is as good.
            drop(free.await);
        };
        // The process ends even if no other node was found.
        let _ = tokio::time::timeout(limit.min(LEAVE_TIMEOUT), free).await;
    }
}

/// Starts the control task.
///
/// # Errors
///
/// The disk thread can't be started.
pub fn spawn(config: Config, ports: Ports) -> std::io::Result<Control> {
    let (sender, inbox) = mpsc::channel(INBOX_CAPACITY);
    let (consensus, consensus_inbox) = mpsc::channel(INBOX_CAPACITY);
    let weak = consensus.downgrade();
    let disk = disk::spawn(config.disk, move |event| {
        if let Some(inbox) = weak.upgrade() {
            // The send fails only when the task has ended.
            let _ = inbox.blocking_send(Input::Disk(event).into());
        }
    })?;
    let epoch = Instant::now();
    let node = Node::new(Duration::ZERO, config.consensus, config.restored);
    let most = config.budget.total / INBOX_PART;
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    let memory = Memory::new(most);
    let known = ports.mesh.claim().cluster.is_some();
    let mut task = ControlTask {
        epoch,
        node,
        ledger: Ledger::default(),
        catalog: None,
        scheduler: None,
        lead_since: Duration::ZERO,
        tenure: 0,
        proposals: PendingProposals::default(),
        submissions: Map::default(),
        memory: StateMemory::new(config.budget),
        members: Members::default(),
        relay_capable: Set::default(),
        relays: Relays::default(),
        relayed_answers: Map::default(),
        logged_voters: Default::default(),
        logged_transfer: None,
        data_centre: config.data_centre,
        mesh_port: config.mesh_port,
        target_voters: config.target_voters,
        silence_limit: config.silence_limit.max(MIN_VOTER_SILENCE),
        repair_time: config.repair_time,
        settings: config.scheduler,
        writes: Vec::new(),
        disk,
        folder: config.folder,
        save_state: if known {
            SaveState::Saved
        } else {
            SaveState::Unsaved {
                due: Duration::ZERO,
            }
        },
        cluster_due: None,
        disk_full: false,
        snapshot_index: 0,
        applied_bytes: 0,
        leaving: false,
        check_due: None,
        view_due: None,
        last_view: None,
        failed: false,
        sender: sender.downgrade(),
        load: Load::new(Arc::clone(&ports.metrics)),
        ports,
    };
    task.consensus(consensus::Input::Tick);
    tokio::spawn(task.run(consensus_inbox, inbox));
    Ok(Control {
        consensus,
        inbox: sender,
        memory,
    })
}

/// A job whose submission is proposed and not applied yet.
#[derive(Debug)]
pub(super) struct PendingSubmission {
    /// The workspace that the job belongs to.
    pub(super) workspace: Option<WorkspaceId>,
    /// Requesters of the same job besides the first.
    pub(super) waiting: Vec<ReplyTo>,
}

/// The state of the control task.
pub(super) struct ControlTask {
    epoch: Instant,
    pub(super) node: Node,
    pub(super) ledger: Ledger,
    /// The decoded catalog in force; `None` until this node needs it.
    pub(super) catalog: Option<Arc<Catalog>>,
    /// The scheduler; present while this node leads.
    pub(super) scheduler: Option<Scheduler>,
    /// When this node last became leader.
    pub(super) lead_since: Now,
    /// How many times this node has become leader. Answers to orders of an earlier tenure are
    /// ignored.
    pub(super) tenure: u64,
    pub(super) proposals: PendingProposals,
    /// Jobs whose submissions are proposed and not applied yet.
    pub(super) submissions: Map<u64, PendingSubmission>,
    pub(super) memory: StateMemory,
    pub(super) members: Members,
    /// Control nodes that have announced that they execute orders as relays.
    pub(super) relay_capable: Set<NodeId>,
    /// The relays of this node's orders while it leads.
    pub(super) relays: Relays,
    /// Answers to orders that this node executed as a relay, by leader and its tenure.
    pub(super) relayed_answers: Map<(NodeId, u64), Vec<(OrderId, Answer)>>,
    /// The voters, and those of them that this node hears, as last logged.
    pub(super) logged_voters: (Vec<NodeId>, Vec<NodeId>),
    /// The transfer of a snapshot that was last logged, and when.
    pub(super) logged_transfer: Option<(TransferProgress, Now)>,
    pub(super) data_centre: DataCentreId,
    pub(super) mesh_port: u16,
    pub(super) target_voters: usize,
    pub(super) silence_limit: Duration,
    pub(super) repair_time: Duration,
    settings: Settings,
    pub(super) writes: Vec<Write>,
    disk: std::sync::mpsc::Sender<Vec<Write>>,
    /// The data folder.
    pub(super) folder: PathBuf,
    /// Whether the cluster is saved in the data folder.
    pub(super) save_state: SaveState,
    /// When a cluster id may be proposed again; `None` if at once.
    pub(super) cluster_due: Option<Now>,
    pub(super) disk_full: bool,
    pub(super) snapshot_index: Index,
    /// Size of the entries applied since the last snapshot.
    pub(super) applied_bytes: usize,
    /// Whether this process is about to end.
    pub(super) leaving: bool,
    /// When to check peers and voters again; `None` if at once.
    pub(super) check_due: Option<Now>,
    /// When to broadcast the view again; `None` if at once.
    pub(super) view_due: Option<Now>,
    pub(super) last_view: Option<View>,
    failed: bool,
    pub(super) sender: mpsc::WeakSender<Queued>,
    pub(super) load: Load,
    pub(super) ports: Ports,
}

impl ControlTask {
    async fn run(
        mut self,
        mut consensus: mpsc::Receiver<Queued>,
        mut inbox: mpsc::Receiver<Queued>,
    ) {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.failed {
            let mut ticked = false;
            let first = tokio::select! {
                biased;
                first = consensus.recv() => match first {
                    None => return,
                    first => first,
                },
                first = inbox.recv() => match first {
                    None => return,
                    first => first,
                },
                _ = tick.tick() => {
                    ticked = true;
                    None
                }
                // Lets the links send and receive between two batches of entries.
                () = yield_now(), if self.node.has_unapplied() => None,
            };
            ticked |= tick.tick().now_or_never().is_some();
            self.turn(first, &mut consensus, &mut inbox, ticked);
            if !inbox.is_empty() {
                yield_now().await;
            }
        }
    }

    /// Handles inputs, then the tick, and lets the leader decide once. A leader must have read the
    /// answers that have arrived before a tick judges its quorum.
    fn turn(
        &mut self,
        first: Option<Queued>,
        consensus: &mut mpsc::Receiver<Queued>,
        inbox: &mut mpsc::Receiver<Queued>,
        ticked: bool,
    ) {
        self.load.start_turn();
        first.into_iter().for_each(|queued| self.take(queued));
        loop {
            let has_time = self.load.batch() < MAX_BATCH && self.load.elapsed() < MAX_TAKING;
            let next = consensus.try_recv().ok();
            let next = next.or_else(|| has_time.then(|| inbox.try_recv().ok()).flatten());
            let Some(queued) = next else {
                break;
            };
            self.take(queued);
        }
        self.load.record_batch();
        if ticked || self.node.has_unapplied() {
            self.consensus(consensus::Input::Tick);
        }
        self.load.end_phase(Phase::Take);
        self.update_leadership();
        self.plan();
        self.load.end_phase(Phase::Plan);
        self.finish_turn();
        self.load.end_phase(Phase::Rest);
        self.load.end_turn();
        self.load.close_window(self.scheduler.as_ref());
    }

    /// Handles an input that has waited for its turn.
    fn take(&mut self, queued: Queued) {
        self.load.record_wait(queued.arrived_at);
        let kind = queued.input.kind();
        self.handle_input(queued.input);
        self.load.record_input(kind);
    }

    pub(super) fn now(&self) -> Now {
        self.epoch.elapsed()
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Frame(from, frame) => self.handle_frame(from, frame),
            Input::Disk(event) => self.disk_event(event),
            Input::Request(request, reply) => self.handle_request(ReplyTo::Local(reply), request),
            Input::Answered(order, tenure, answer) => self.handle_answer(order, tenure, answer),
            Input::RelayedAnswer {
                leader,
                tenure,
                order,
                answer,
            } => {
                let answers = self.relayed_answers.entry((leader, tenure)).or_default();
                answers.push((order, answer));
            }
            Input::ClusterSaved(result) => self.cluster_saved(result),
            Input::Leave => self.leave(),
        }
    }

    /// Starts to give up leadership and the vote, and broadcasts that at once.
    fn leave(&mut self) {
        self.leaving = true;
        self.view_due = None;
        self.check_due = None;
        self.consensus(consensus::Input::Retire);
    }

    fn handle_frame(&mut self, from: NodeId, frame: Frame) {
        match frame {
            Frame::Consensus(message) => {
                self.consensus(consensus::Input::Receive { from, message });
            }
            Frame::Request(id, request) => self.handle_request(ReplyTo::Remote(from, id), request),
            Frame::View(view) => self.handle_view(from, view),
            Frame::Orders { tenure, orders } => self.execute_relayed(from, tenure, orders),
            Frame::RelayedAnswers { tenure, answers } => {
                self.handle_relayed_answers(from, tenure, answers);
            }
            // Control nodes send no requests over the mesh, so they get no replies.
            Frame::Reply(..) => {}
        }
    }

    fn disk_event(&mut self, event: DiskEvent) {
        match event {
            DiskEvent::Synced(write) => {
                if self.disk_full {
                    log::info!("the disk has free space again");
                }
                self.disk_full = false;
                self.consensus(consensus::Input::Synced { write });
            }
            DiskEvent::Full => {
                if !self.disk_full {
                    log::error!(
                        "the disk is full; new requests are refused until it has free space"
                    );
                }
                self.disk_full = true;
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
            self.handle_output(output);
        }
    }

    /// Does the work of each turn that doesn't depend on being the leader.
    fn finish_turn(&mut self) {
        self.compact();
        self.maintain_peers();
        self.broadcast_view();
        self.send_relayed_answers();
        self.flush();
    }

    /// Whether this node holds a valid leader lease, so that no other node can lead.
    pub(super) fn holds_lease(&self) -> bool {
        self.node
            .lease_until()
            .is_some_and(|until| self.now() < until)
    }

    fn update_leadership(&mut self) {
        let now = self.now();
        let superseded = self
            .scheduler
            .as_ref()
            .is_some_and(Scheduler::is_superseded);
        if !self.node.is_leader() || superseded {
            if self.scheduler.take().is_some() {
                log::info!(term = self.node.term(), superseded; "this node is no longer the leader");
                self.submissions.clear();
                self.memory.forget_proposed();
                for reply_to in self.proposals.drain() {
                    self.reply(reply_to, Reply::Unclear);
                }
            }
            return;
        }
        if self.scheduler.is_some() || !self.holds_lease() {
            return;
        }
        self.lead_since = now;
        self.tenure += 1;
        self.relays.reset();
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

    pub(super) fn propose(&mut self, reply_to: ReplyTo, command: Command) {
        let payload = command.encode();
        self.memory.propose(&command);
        let proposal = self.proposals.propose(reply_to, Some(command));
        self.load.record_proposal(payload.len());
        self.consensus(consensus::Input::Propose { proposal, payload });
    }

    pub(super) fn reply(&self, reply_to: ReplyTo, reply: Reply) {
        match reply_to {
            // The requester may have stopped waiting.
            ReplyTo::Local(sender) => drop(sender.send(reply)),
            ReplyTo::Remote(node, id) => self.answer(node, id, reply),
            ReplyTo::Discard => {}
            // The change is proposed again for as long as it is needed.
            ReplyTo::Membership { added, proposed_at } => {
                let took = self.now().saturating_sub(proposed_at);
                log::info!(reply:?, added, took:?; "result of a proposed voter change");
            }
        }
    }

    fn answer(&self, node: NodeId, id: RequestId, reply: Reply) {
        self.ports.mesh.send(node, Frame::Reply(id, reply).encode());
    }

    fn compact(&mut self) {
        let index = self.ledger.applied();
        if index < self.snapshot_index + SNAPSHOT_ENTRIES && self.applied_bytes < SNAPSHOT_BYTES {
            return;
        }
        self.snapshot_index = index;
        self.applied_bytes = 0;
        let image = self.ledger.snapshot();
        self.consensus(consensus::Input::Compact {
            index,
            snapshot: image,
        });
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
