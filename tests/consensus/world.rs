//! A simulated cluster: nodes, disks and links in memory, under one logical clock.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use egretpin::core::{
    consensus::{
        Config, Content, Entry, Index, Input, Message, Node, Output, Payload, Record, Resignation,
        Restored,
    },
    types::{NodeId, Now},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

pub(crate) const TICK: Duration = Duration::from_millis(10);

/// An event in the future.
#[derive(Clone, Debug)]
enum Event {
    Deliver {
        from: NodeId,
        to: NodeId,
        message: Message,
    },
    Synced {
        node: NodeId,
        incarnation: u32,
        write: u64,
    },
    /// A host has applied a batch of entries, and goes on with the next.
    Resume { node: NodeId, incarnation: u32 },
}

/// A host: it keeps its disk over a crash and loses the rest.
pub(crate) struct Host {
    pub(crate) config: Config,
    pub(crate) node: Option<Node>,
    /// Records that are synced.
    pub(crate) disk: Vec<Record>,
    /// Records that are written and not synced.
    unsynced: Vec<(u64, Record)>,
    /// What the state machine holds: all entries since the first.
    pub(crate) applied: BTreeMap<Index, Entry>,
    pub(crate) restored: Vec<Index>,
    incarnation: u32,
    /// Until when it applies entries. Meanwhile it handles no input, and sends nothing.
    busy_until: Now,
    /// Whether it will go on applying entries.
    resumes: bool,
}

/// The simulated cluster, with its faults and what it did.
pub(crate) struct World {
    pub(crate) now: Now,
    pub(crate) hosts: BTreeMap<NodeId, Host>,
    pub(crate) cut_links: BTreeSet<(NodeId, NodeId)>,
    pub(crate) rng: Pcg64,
    /// The probability that a message is lost.
    pub(crate) loss: f64,
    /// The probability that a message is duplicated.
    pub(crate) duplication: f64,
    pub(crate) delay: Duration,
    pub(crate) jitter: Duration,
    pub(crate) sync_delay: Duration,
    /// How long a host takes to apply one entry.
    pub(crate) apply_time: Duration,
    /// Hosts whose disk no longer completes a write.
    pub(crate) stalled_disks: BTreeSet<NodeId>,
    /// Busy hosts, and how long a turn of theirs takes. Such a host handles what has arrived, and
    /// ticks, once a turn.
    pub(crate) turns: BTreeMap<NodeId, Duration>,
    /// How many bytes a second a link carries, in this direction. The others carry everything at
    /// once.
    pub(crate) rates: BTreeMap<(NodeId, NodeId), u32>,
    /// When a link of limited rate has carried what it was given.
    free_at: BTreeMap<(NodeId, NodeId), Now>,
    /// How many bytes a state machine's snapshot has beside its entries.
    pub(crate) ballast: usize,
    /// The reference log: one copy, filled by whichever node applies an index first.
    pub(crate) history: BTreeMap<Index, Entry>,
    /// Answers to proposals: appended or rejected.
    pub(crate) answers: Vec<(NodeId, Output)>,
    /// The leaders that stepped down, and the reasons, in order.
    pub(crate) resigned: Vec<(NodeId, Resignation)>,
    /// Delivered messages, in order.
    pub(crate) sent: Vec<(NodeId, NodeId, Message)>,
    events: BTreeMap<(Now, u64), Event>,
    event_count: u64,
}

pub(crate) fn config(id: NodeId, voters: &[NodeId]) -> Config {
    let config = Config::new(id, Pcg64::seed_from_u64(id));
    if voters.contains(&id) {
        config.bootstrap(voters.to_vec())
    } else {
        config
    }
}

impl World {
    pub(crate) fn new(configs: Vec<Config>) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            hosts: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            rng: Pcg64::seed_from_u64(1),
            loss: 0.0,
            duplication: 0.0,
            delay: Duration::from_millis(1),
            jitter: Duration::ZERO,
            sync_delay: Duration::from_millis(1),
            apply_time: Duration::ZERO,
            stalled_disks: BTreeSet::new(),
            turns: BTreeMap::new(),
            rates: BTreeMap::new(),
            free_at: BTreeMap::new(),
            ballast: 0,
            history: BTreeMap::new(),
            answers: Vec::new(),
            resigned: Vec::new(),
            sent: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
        };
        for config in configs {
            world.add(config);
        }
        world
    }

    /// Voters with the ids 1 to `count`.
    pub(crate) fn voters(count: NodeId) -> Self {
        let ids: Vec<_> = (1..=count).collect();
        Self::new(ids.iter().map(|&id| config(id, &ids)).collect())
    }

    pub(crate) fn add(&mut self, config: Config) {
        let id = config.id();
        let (disk, unsynced, applied, restored) = Default::default();
        let host = Host {
            config,
            node: None,
            disk,
            unsynced,
            applied,
            restored,
            incarnation: 0,
            busy_until: Duration::ZERO,
            resumes: false,
        };
        self.hosts.insert(id, host);
        self.start(id);
    }

    pub(crate) fn start(&mut self, id: NodeId) {
        let now = self.now;
        let host = self.hosts.get_mut(&id).unwrap();
        host.incarnation += 1;
        host.applied.clear();
        host.busy_until = now;
        host.resumes = false;
        let restored = Restored::replay(host.disk.clone());
        host.node = Some(Node::new(now, host.config.clone(), restored));
    }

    pub(crate) fn crash(&mut self, id: NodeId) {
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        host.node = None;
        host.unsynced.clear();
    }

    /// Cuts the links from some nodes to others, in this direction only.
    pub(crate) fn cut(&mut self, from: &[NodeId], to: &[NodeId]) {
        for &a in from {
            self.cut_links
                .extend(to.iter().filter(|&&b| a != b).map(|&b| (a, b)));
        }
    }

    /// Cuts a node off in both directions.
    pub(crate) fn isolate(&mut self, id: NodeId) {
        let all: Vec<_> = self.hosts.keys().copied().collect();
        self.cut(&[id], &all);
        self.cut(&all, &[id]);
    }

    pub(crate) fn heal(&mut self) {
        self.cut_links.clear();
    }

    pub(crate) fn node(&self, id: NodeId) -> &Node {
        self.hosts[&id].node.as_ref().unwrap()
    }

    pub(crate) fn input(&mut self, id: NodeId, input: Input) {
        let now = self.now;
        let Some(node) = self.hosts.get_mut(&id).and_then(|h| h.node.as_mut()) else {
            return;
        };
        let outputs = node.step(now, input);
        self.keep_busy(id, &outputs);
        for output in outputs {
            self.output(id, output);
        }
    }

    /// Makes a host busy for as long as it takes to apply the entries of one step, after which it
    /// goes on if there are more.
    fn keep_busy(&mut self, id: NodeId, outputs: &[Output]) {
        let applied = outputs.iter().filter(|o| matches!(o, Output::Apply(_)));
        let time = self.apply_time * u32::try_from(applied.count()).unwrap();
        let until = self.now + time;
        let host = self.hosts.get_mut(&id).unwrap();
        if !time.is_zero() {
            host.busy_until = until;
        }
        let more = host.node.as_ref().is_some_and(Node::has_unapplied);
        if more && !host.resumes {
            host.resumes = true;
            let event = Event::Resume {
                node: id,
                incarnation: host.incarnation,
            };
            // Inputs that arrived meanwhile are handled first.
            self.schedule(until + Duration::from_nanos(1), event);
        }
    }

    fn is_busy(&self, id: NodeId) -> bool {
        !self.apply_time.is_zero() && self.now < self.hosts[&id].busy_until
    }

    /// How far a busy host is in its turn.
    fn turn_elapsed(&self, id: NodeId) -> Duration {
        let turn = self.turns.get(&id).map_or(1, Duration::as_nanos);
        let elapsed = self.now.as_nanos() % turn;
        Duration::from_nanos(elapsed.try_into().unwrap())
    }

    /// Whether a host has begun a turn since the tick before.
    fn begins_turn(&self, id: NodeId) -> bool {
        !self.turns.contains_key(&id) || self.turn_elapsed(id) < TICK
    }

    /// When a link has carried a message that it is given at `time`.
    fn carried_at(&mut self, link: (NodeId, NodeId), message: &Message, time: Now) -> Now {
        let Some(&rate) = self.rates.get(&link) else {
            return time;
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).unwrap();
        let size = u32::try_from(bytes.len()).unwrap();
        let begin = self.free_at.get(&link).map_or(time, |&free| free.max(time));
        let end = begin + Duration::from_secs(1) * size / rate;
        self.free_at.insert(link, end);
        end
    }

    /// When what a host sends or writes now leaves it: once it is done with its step.
    fn leaves_at(&self, id: NodeId) -> Now {
        if self.is_busy(id) {
            self.hosts[&id].busy_until
        } else {
            self.now
        }
    }

    fn output(&mut self, id: NodeId, output: Output) {
        let host = self.hosts.get_mut(&id).unwrap();
        match output {
            Output::Send { to, message } => self.send(id, to, &message),
            Output::Write { write, record } => {
                host.unsynced.push((write, record));
                let event = Event::Synced {
                    node: id,
                    incarnation: host.incarnation,
                    write,
                };
                self.schedule(self.leaves_at(id) + self.sync_delay, event);
            }
            Output::Apply(entry) => {
                let next = host.applied.last_key_value().map_or(1, |(i, _)| i + 1);
                assert_eq!(entry.index, next, "applied in order, each once");
                let known = self.history.entry(entry.index);
                assert_eq!(
                    *known.or_insert_with(|| entry.clone()),
                    entry,
                    "one entry per index"
                );
                host.applied.insert(entry.index, entry);
            }
            Output::Restore { index, snapshot } => {
                host.applied = ciborium::from_reader(snapshot.as_ref()).unwrap();
                assert_eq!(host.applied.last_key_value().map(|(&i, _)| i), Some(index));
                let same = |(i, e): (&Index, &Entry)| self.history.get(i) == Some(e);
                assert!(
                    host.applied.iter().all(same),
                    "the snapshot equals what was applied"
                );
                host.restored.push(index);
            }
            Output::Resigned { why, .. } => self.resigned.push((id, why)),
            answer => self.answers.push((id, answer)),
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: &Message) {
        if self.cut_links.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.duplication) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let jitter = self.jitter.mul_f64(self.rng.random());
            let carried = self.carried_at((from, to), message, self.leaves_at(from));
            let message = message.clone();
            self.schedule(
                carried + self.delay + jitter,
                Event::Deliver { from, to, message },
            );
        }
    }

    fn schedule(&mut self, time: Now, event: Event) {
        self.event_count += 1;
        self.events.insert((time, self.event_count), event);
    }

    fn handle(&mut self, event: Event) {
        let (Event::Deliver { to: node, .. }
        | Event::Synced { node, .. }
        | Event::Resume { node, .. }) = event;
        if self.hosts.contains_key(&node) && self.is_busy(node) {
            self.schedule(self.hosts[&node].busy_until, event);
            return;
        }
        let elapsed = self.turn_elapsed(node);
        if !elapsed.is_zero() {
            self.schedule(self.now + self.turns[&node] - elapsed, event);
            return;
        }
        match event {
            Event::Resume { node, incarnation } => {
                let host = self.hosts.get_mut(&node).unwrap();
                if host.incarnation == incarnation {
                    host.resumes = false;
                    self.input(node, Input::Tick);
                }
            }
            Event::Deliver { from, to, message } => {
                if self.cut_links.contains(&(from, to)) {
                    return;
                }
                self.sent.push((from, to, message.clone()));
                self.input(to, Input::Receive { from, message });
            }
            Event::Synced {
                node,
                incarnation,
                write,
            } => {
                let host = self.hosts.get_mut(&node).unwrap();
                if host.incarnation != incarnation
                    || host.node.is_none()
                    || self.stalled_disks.contains(&node)
                {
                    return;
                }
                while host.unsynced.first().is_some_and(|(w, _)| *w <= write) {
                    host.disk.push(host.unsynced.remove(0).1);
                }
                self.input(node, Input::Synced { write });
            }
        }
    }

    /// Handles all events up to the next tick, then ticks every node.
    pub(crate) fn tick(&mut self) {
        let end = self.now + TICK;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            self.handle(event);
        }
        self.now = end;
        let ids: Vec<_> = self.hosts.keys().copied().collect();
        for id in ids {
            if !self.is_busy(id) && self.begins_turn(id) {
                self.input(id, Input::Tick);
            }
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until a condition holds, and returns how long that took.
    pub(crate) fn until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(self.now < start + limit, "not within {limit:?}");
            self.tick();
        }
        self.now - start
    }

    /// The leader that holds a lease, if any; asserts that there are not two.
    pub(crate) fn leader(&self) -> Option<NodeId> {
        let nodes = self.hosts.values().filter_map(|h| h.node.as_ref());
        let holds = |n: &&Node| n.lease_until().is_some_and(|until| self.now < until);
        let mut leaders = nodes.filter(holds).map(Node::id);
        let leader = leaders.next();
        assert_eq!(
            leaders.next(),
            None,
            "a second lease beside that of {leader:?}"
        );
        leader
    }

    pub(crate) fn elect(&mut self) -> NodeId {
        self.until(Duration::from_secs(20), |w| w.leader().is_some());
        self.leader().unwrap()
    }

    pub(crate) fn propose(&mut self, id: NodeId, proposal: u64) {
        let payload = Payload::from(proposal.to_be_bytes().to_vec());
        let node = self.hosts.get(&id).and_then(|host| host.node.as_ref());
        let room = node.map(Node::room);
        let answered = self.answers.len();
        self.input(id, Input::Propose { proposal, payload });
        let accepted = |(_, answer): &(NodeId, Output)| matches!(answer, Output::Appended { proposal: number, .. } if *number == proposal);
        if let Some(room) = room {
            let accepted = self.answers[answered..].iter().any(accepted);
            assert_eq!(accepted, room.now > 0, "node {id} with {room:?}");
        }
    }

    /// Commands as a node's state machine holds them.
    pub(crate) fn commands(&self, id: NodeId) -> Vec<u64> {
        let entries = self.hosts[&id].applied.values();
        let commands = entries.filter_map(|e| match &e.content {
            Content::Command(payload) => Some(payload),
            Content::Noop | Content::Voters(_) => None,
        });
        commands
            .map(|p| u64::from_be_bytes(p.as_ref().try_into().unwrap()))
            .collect()
    }

    /// Makes a node's state machine pass in its snapshot.
    pub(crate) fn compact(&mut self, id: NodeId) {
        let applied = &self.hosts[&id].applied;
        let mut snapshot = Vec::new();
        ciborium::into_writer(applied, &mut snapshot).unwrap();
        snapshot.resize(snapshot.len() + self.ballast, 0);
        let index = applied.last_key_value().map_or(0, |(&i, _)| i);
        self.input(
            id,
            Input::Compact {
                index,
                snapshot: snapshot.into(),
            },
        );
    }

    /// Proposes a command to the leader and waits until it is committed there.
    pub(crate) fn commit(&mut self, proposal: u64) {
        let leader = self.elect();
        self.propose(leader, proposal);
        self.until(Duration::from_secs(5), |w| {
            w.commands(leader).contains(&proposal)
        });
    }

    /// Asks the leader to change the voters and waits until the change is committed.
    pub(crate) fn reconfigure(&mut self, voters: &[NodeId]) {
        let leader = self.elect();
        let (proposal, voters) = (u64::MAX, voters.to_vec());
        self.input(
            leader,
            Input::Reconfigure {
                proposal,
                voters: voters.clone(),
            },
        );
        self.until(Duration::from_secs(5), |w| {
            let node = w.node(leader);
            node.voters() == voters && node.committed() >= node.last().index
        });
    }
}
