//! Three voters in one process, each with a real disk.
//!
//! The real [`Node`] is stepped by a thread of its own, as the daemon's control task steps it:
//! what has come in is taken as one batch, and its writes go to the daemon's own disk thread.
//! Messages go through channels instead of the mesh, so what is left is consensus and its syncs.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::{
    adapters::disk::{Disk, Restored},
    core::{
        consensus::{Config, Content, Input, Node, Output, Payload},
        types::NodeId,
    },
    node::disk::{self, DiskEvent, Write},
};

/// The voters.
const VOTERS: [NodeId; 3] = [1, 2, 3];
/// How often the core's timers are looked at, as in the daemon.
const TICK: Duration = Duration::from_millis(10);
/// Events taken in before their writes go to the disk, as in the daemon.
const BATCH: usize = 256;
/// Bytes of a payload that hold the number of the change.
const NUMBER: usize = 8;

/// What the leader tells whoever proposes.
#[derive(Clone, Copy, Debug)]
pub(super) enum Told {
    /// This voter leads now.
    Leads(NodeId),
    /// The change of this number is committed and applied.
    Committed(u64),
    /// The change of this number was not taken.
    Rejected(u64),
}

enum Event {
    Input(Input),
    Disk(DiskEvent),
    Stop,
}

/// The running voters; dropping them ends their threads.
#[derive(Debug)]
pub(super) struct Voters {
    inboxes: BTreeMap<NodeId, Sender<Event>>,
    threads: Vec<JoinHandle<()>>,
    told: Receiver<Told>,
}

impl Voters {
    /// Starts them with data folders below `folder`.
    ///
    /// # Panics
    ///
    /// Panics if the folders or threads can't be had, without which there is nothing to measure.
    pub(super) fn start(folder: &Path) -> Self {
        let (tell, told) = channel();
        let mut inboxes = BTreeMap::new();
        let mut waiting = Vec::new();
        for id in VOTERS {
            let (sender, inbox) = channel();
            inboxes.insert(id, sender);
            waiting.push((id, inbox));
        }
        let threads = waiting.into_iter().map(|(id, inbox)| {
            let voter = Voter::start(id, folder, inboxes.clone(), tell.clone());
            thread::spawn(move || voter.run(&inbox))
        });
        Self {
            threads: threads.collect(),
            inboxes,
            told,
        }
    }

    /// Proposes a change of so many bytes to a voter.
    pub(super) fn propose(&self, to: NodeId, number: u64, bytes: usize) {
        let mut payload = vec![0; bytes.max(NUMBER)];
        payload[..NUMBER].copy_from_slice(&number.to_be_bytes());
        let input = Input::Propose {
            proposal: number,
            payload: payload.into(),
        };
        self.send(to, Event::Input(input));
    }

    /// What a leader says next; `None` if none says anything for so long.
    pub(super) fn told(&self, patience: Duration) -> Option<Told> {
        self.told.recv_timeout(patience).ok()
    }

    fn send(&self, to: NodeId, event: Event) {
        if let Some(inbox) = self.inboxes.get(&to) {
            // A voter that has ended is no more to be told.
            let _ = inbox.send(event);
        }
    }
}

impl Drop for Voters {
    fn drop(&mut self) {
        for id in VOTERS {
            self.send(id, Event::Stop);
        }
        for thread in self.threads.drain(..) {
            // A voter that failed has printed why.
            let _ = thread.join();
        }
    }
}

struct Voter {
    node: Node,
    begun: Instant,
    inboxes: BTreeMap<NodeId, Sender<Event>>,
    disk: Sender<Vec<Write>>,
    writes: Vec<Write>,
    tell: Sender<Told>,
    led: bool,
}

impl Voter {
    fn start(
        id: NodeId,
        folder: &Path,
        inboxes: BTreeMap<NodeId, Sender<Event>>,
        tell: Sender<Told>,
    ) -> Self {
        let folder = folder.join(format!("voter-{id}"));
        let (disk, restored) = Disk::open(&folder, id).expect("a folder for a voter");
        let mut config = Config::new(id, Pcg64::seed_from_u64(id)).bootstrap(VOTERS.into());
        for voter in VOTERS {
            config = config.location(voter, "dc");
        }
        let own = inboxes[&id].clone();
        let event = move |event| {
            // A voter that has ended needs no more news.
            let _ = own.send(Event::Disk(event));
        };
        Self {
            node: Node::new(Duration::ZERO, config, Restored::log(restored)),
            begun: Instant::now(),
            inboxes,
            disk: disk::spawn(disk, event).expect("a thread for a disk"),
            writes: Vec::new(),
            tell,
            led: false,
        }
    }

    fn run(mut self, inbox: &Receiver<Event>) {
        let mut tick = Instant::now();
        loop {
            let wait = tick.saturating_duration_since(Instant::now());
            match inbox.recv_timeout(wait) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {
                    tick = Instant::now() + TICK;
                    self.step(Input::Tick);
                }
            }
            for event in inbox.try_iter().take(BATCH) {
                if matches!(event, Event::Stop) {
                    return;
                }
                self.take(event);
            }
            self.flush();
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Input(input) => self.step(input),
            Event::Disk(DiskEvent::Synced(write)) => self.step(Input::Synced { write }),
            Event::Disk(DiskEvent::Full) => panic!("the disk is full"),
            Event::Disk(DiskEvent::Failed(error)) => panic!("{error}"),
            Event::Stop => {}
        }
    }

    fn step(&mut self, input: Input) {
        let outputs = self.node.step(self.begun.elapsed(), input);
        for output in outputs {
            self.carry_out(output);
        }
        let leads = self.node.lease_until().is_some();
        if leads && !self.led {
            self.tell(Told::Leads(self.node.id()));
        }
        self.led = leads;
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => {
                let from = self.node.id();
                let input = Input::Receive { from, message };
                if let Some(inbox) = self.inboxes.get(&to) {
                    // Loss is allowed.
                    let _ = inbox.send(Event::Input(input));
                }
            }
            Output::Write { write, record } => self.writes.push(Write { write, record }),
            Output::Apply(entry) => {
                if let Content::Command(payload) = &entry.content
                    && self.node.is_leader()
                {
                    self.tell(Told::Committed(number(payload)));
                }
            }
            Output::Rejected { proposal, .. } => self.tell(Told::Rejected(proposal)),
            Output::Restore { .. } | Output::Appended { .. } | Output::Resigned { .. } => {}
        }
    }

    fn flush(&mut self) {
        let writes = std::mem::take(&mut self.writes);
        if !writes.is_empty() {
            // A disk that failed has said so.
            let _ = self.disk.send(writes);
        }
    }

    fn tell(&self, told: Told) {
        // Whoever proposed may have stopped.
        let _ = self.tell.send(told);
    }
}

fn number(payload: &Payload) -> u64 {
    let bytes = payload.first_chunk::<NUMBER>();
    bytes.map_or(0, |bytes| u64::from_be_bytes(*bytes))
}
