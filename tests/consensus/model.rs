//! A model of a cluster for exhaustive search: the real nodes, their disks, and every message ever
//! sent that could still arrive.
//!
//! Messages are kept for ever and can be delivered at any time and any number of times, so loss,
//! delay, reordering, duplication and cut links need no steps of their own: a lost message is one
//! that the search doesn't deliver. A host that is down is one that gets no steps, so a crash and
//! the restart after it are one step.

use std::{
    hash::{Hash, Hasher},
    ops::Deref,
    rc::Rc,
    time::Duration,
};

use egretpin::core::{
    cluster::Claim,
    consensus::{
        AppendOutcome, Config, Content, Entry, Index, Input, Message, Node, Output, Payload,
        Protections, Record, Restored, Term,
    },
    types::{NodeId, Now},
};
use pathfinding::directed::bfs::bfs_reach;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rustc_hash::FxHasher;

/// One unit of the models' clocks.
pub(crate) const UNIT: Duration = Duration::from_millis(100);

/// The last term in the cluster that the foreign voter comes from.
const FOREIGN_TERM: Term = 4;

/// How many steps of each kind a search may take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Bounds {
    /// A host's own clock advances beyond its election deadline.
    pub(crate) timeouts: u8,
    /// All clocks advance by one unit, and hosts may tick at any time.
    pub(crate) clock_steps: u8,
    /// A leader receives a command.
    pub(crate) proposals: u8,
    /// A host crashes and restarts.
    pub(crate) restarts: u8,
    /// A host's writes stay unsynced for a while.
    pub(crate) late_syncs: u8,
    /// A message is delivered and kept for another delivery.
    pub(crate) redeliveries: u8,
    /// A host loses its disk and starts again.
    pub(crate) disk_losses: u8,
    /// A host passes in its state machine's snapshot.
    pub(crate) compactions: u8,
    /// A leader is asked to hand leadership over.
    pub(crate) handovers: u8,
    /// A leader is asked to change the voters to the next list.
    pub(crate) changes: u8,
}

/// Which of the leaders' append messages arrive. With fewer of them a search of as many states goes
/// deeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Appends {
    /// None.
    None,
    /// Those with entries.
    WithEntries,
    /// All, heartbeats included.
    All,
}

/// What a search explores, and within which limits.
#[derive(Clone, Debug)]
pub(crate) struct Model {
    pub(crate) voters: Vec<NodeId>,
    pub(crate) joiners: Vec<NodeId>,
    pub(crate) protections: Protections,
    pub(crate) bounds: Bounds,
    /// The lists of voters that leaders are asked to change to, the last one first.
    pub(crate) voter_lists: Vec<Vec<NodeId>>,
    /// Hosts whose own clocks may advance beyond their election deadlines.
    pub(crate) timers: Vec<NodeId>,
    /// Hosts that may crash, lose their disks and sync late.
    pub(crate) faulty: Vec<NodeId>,
    pub(crate) appends: Appends,
    /// Whether it is a violation if host 1 stops leading.
    pub(crate) keeps_leader: bool,
    /// The greatest number of steps from the start.
    pub(crate) max_depth: u32,
    /// What hosts say of themselves, by which they admit each other. With none given, all admit
    /// each other.
    pub(crate) claims: Vec<Claim>,
}

/// The result of a search.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) states: usize,
    pub(crate) depth: u32,
    pub(crate) violation: Option<&'static str>,
}

/// A value that states share, with its hash computed once: most successor states are known already.
#[derive(Clone, Debug)]
struct Shared<T> {
    value: Rc<T>,
    hash: u64,
}

impl<T: Hash + Clone> Shared<T> {
    fn new(value: T) -> Self {
        let mut shared = Self {
            value: Rc::new(value),
            hash: 0,
        };
        shared.seal();
        shared
    }

    /// Returns the value for a change, after which [`Shared::seal`] must be called.
    fn edit(&mut self) -> &mut T {
        self.hash = 0;
        Rc::make_mut(&mut self.value)
    }

    fn seal(&mut self) {
        if self.hash == 0 {
            let mut hasher = FxHasher::default();
            self.value.hash(&mut hasher);
            self.hash = hasher.finish() | 1;
        }
    }
}

impl<T: Eq> PartialEq for Shared<T> {
    fn eq(&self, other: &Self) -> bool {
        self.hash == other.hash && self.value == other.value
    }
}

impl<T: Eq> Eq for Shared<T> {}

impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.hash.hash(state);
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

/// A host: a node, its clock and its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    node: Node,
    clock: Now,
    disk: Restored,
    unsynced: Vec<(u64, Record)>,
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Packet {
    from: NodeId,
    to: NodeId,
    message: Message,
}

/// What happened so far and later steps must not contradict.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct History {
    /// The leader of each term.
    leaders: Vec<(Term, NodeId)>,
    /// The entries that any host applied, from index 1.
    applied: Vec<Entry>,
    violation: Option<&'static str>,
}

/// One state of the whole cluster. The depth at which it was found doesn't count in comparisons.
#[derive(Clone, Debug)]
pub(crate) struct State {
    hosts: Vec<Shared<Host>>,
    network: Vec<Shared<Packet>>,
    history: Shared<History>,
    remaining: Bounds,
    /// Whether all clocks advance together, so that leases can be compared.
    synchronous: bool,
    /// Whether each host may sync late.
    faulty: Vec<bool>,
    appends: Appends,
    /// The term that host 1 must go on leading, if losing it is a violation.
    kept_term: Option<Term>,
    depth: u32,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.remaining == other.remaining
            && self.hosts == other.hosts
            && self.network == other.network
            && self.history == other.history
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.remaining.hash(state);
        self.hosts.hash(state);
        self.network.hash(state);
        self.history.hash(state);
    }
}

impl Model {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            voters: vec![1, 2, 3],
            joiners: Vec::new(),
            protections: Protections::default(),
            bounds,
            voter_lists: Vec::new(),
            timers: vec![1, 2, 3],
            faulty: vec![1, 2, 3],
            appends: Appends::WithEntries,
            keeps_leader: false,
            max_depth: u32::MAX,
            claims: Vec::new(),
        }
    }

    /// Limits the hosts whose clocks may advance alone, and those that may fail.
    pub(crate) fn restrict(mut self, timers: &[NodeId], faulty: &[NodeId]) -> Self {
        self.timers = timers.to_vec();
        self.faulty = faulty.to_vec();
        self
    }

    /// Turns pre-votes and leases off. Safety doesn't depend on them, and without them more can
    /// happen in as many steps.
    pub(crate) fn safety_only(mut self) -> Self {
        self.protections.pre_vote = false;
        self.protections.lease = false;
        self
    }

    fn config(&self, id: NodeId) -> Config {
        Config::new(id, Pcg64::seed_from_u64(0))
            .election(UNIT * 2, UNIT * 2)
            .heartbeat(UNIT)
            .lease(UNIT)
            .feed_timeout(UNIT * 1000)
            .batch(1, usize::MAX)
            .pipeline(1)
            .protections(self.protections.clone())
    }

    /// All hosts have started and nothing has been sent.
    pub(crate) fn start(&self) -> State {
        let hosts = self.voters.iter().map(|&id| {
            let config = self.config(id).bootstrap(self.voters.clone());
            Host::new(config, Restored::default(), UNIT * 10)
        });
        let joiners = self.joiners.iter().map(|&id| {
            let disk = Restored {
                voting: Some(true),
                ..Restored::default()
            };
            Host::new(self.config(id), disk, UNIT * 10)
        });
        let ids = self.voters.iter().chain(&self.joiners);
        let mut state = State {
            hosts: hosts.chain(joiners).map(Shared::new).collect(),
            network: Vec::new(),
            history: Shared::new(History::default()),
            remaining: self.bounds,
            synchronous: self.bounds.clock_steps > 0,
            faulty: ids.map(|id| self.faulty.contains(id)).collect(),
            appends: self.appends,
            kept_term: None,
            depth: 0,
        };
        for at in 0..state.hosts.len() {
            // An input without news returns what the start had to write.
            state.step(at, Input::Nodes(Vec::new()), false);
        }
        state
    }

    /// Host 1 leads and no message is in flight.
    pub(crate) fn elected(&self) -> State {
        let mut state = self.start();
        state.appends = Appends::All;
        for host in &mut state.hosts {
            host.edit().clock += UNIT * 3;
        }
        state.step(0, Input::Tick, false);
        state.settle(true);
        assert!(state.hosts[0].node.is_leader());
        state.appends = self.appends;
        state.kept_term = self.keeps_leader.then(|| state.hosts[0].node.term());
        state
    }

    /// Host 1 led and host 3 leads, and each has an entry that no other host has.
    pub(crate) fn split(&self) -> State {
        let mut state = self.elected();
        let payload = Payload::from(vec![9]);
        state.step(
            0,
            Input::Propose {
                proposal: 9,
                payload,
            },
            false,
        );
        state.settle(false);
        state.timeout(2);
        state.settle(false);
        assert!(state.hosts[2].node.is_leader());
        state
    }

    /// Host 1 leads, and host 3 has been replaced by one with the disk of another cluster.
    pub(crate) fn with_foreign_voter(&self) -> State {
        let mut state = self.elected();
        let contents = [
            Content::Voters(self.voters.clone()),
            Content::Noop,
            Content::Command(Payload::from(vec![9])),
        ];
        let entries = contents.into_iter().zip(1..);
        let entries = entries.map(|(content, index)| Entry {
            term: if index == 1 { 0 } else { FOREIGN_TERM },
            index,
            content,
        });
        let disk = Restored {
            voting: Some(true),
            term: FOREIGN_TERM,
            entries: entries.collect(),
            ..Restored::default()
        };
        state.restart(2, self.config(3), disk);
        state
    }

    /// Whether two hosts may exchange messages.
    fn admits(&self, one: NodeId, other: NodeId) -> bool {
        let claim = |id| self.claims.iter().find(|claim| claim.node == id);
        match (claim(one), claim(other)) {
            (Some(one), Some(other)) => one.admits(other),
            _ => true,
        }
    }

    /// Searches all states that can follow from a state.
    pub(crate) fn search(&self, start: State) -> Report {
        let (mut states, mut depth) = (0, 0);
        for state in bfs_reach(start, |s| self.successors(s)) {
            states += 1;
            depth = depth.max(state.depth);
            let violation = state.violation();
            if violation.is_some() {
                return Report {
                    states,
                    depth,
                    violation,
                };
            }
        }
        Report {
            states,
            depth,
            violation: None,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        if state.depth >= self.max_depth {
            return next;
        }
        self.deliveries(state, &mut next);
        for at in 0..state.hosts.len() {
            self.faults(state, at, &mut next);
            self.inputs(state, at, &mut next);
        }
        if state.remaining.clock_steps > 0 {
            let mut state = state.clone();
            state.remaining.clock_steps -= 1;
            for host in &mut state.hosts {
                host.edit().clock += UNIT;
            }
            next.push(state);
        }
        for state in &mut next {
            state.depth += 1;
            state.normalize();
        }
        next
    }

    fn deliveries(&self, state: &State, next: &mut Vec<State>) {
        for (i, packet) in state.network.iter().enumerate() {
            let Some(at) = state.host_index(packet.to) else {
                continue;
            };
            if !self.admits(packet.to, packet.from) {
                continue;
            }
            let Packet { from, message, .. } = Packet::clone(packet);
            let input = Input::Receive { from, message };
            let mut once = state.clone();
            once.network.remove(i);
            once.step_both(at, &input, state, next);
            if state.remaining.redeliveries > 0 {
                let mut twice = state.clone();
                twice.remaining.redeliveries -= 1;
                twice.step_both(at, &input, state, next);
            }
        }
    }

    fn faults(&self, state: &State, at: usize, next: &mut Vec<State>) {
        let host = &state.hosts[at];
        if !host.unsynced.is_empty() {
            let mut state = state.clone();
            state.sync(at);
            next.push(state);
        }
        if !self.faulty.contains(&host.node.id()) {
            return;
        }
        if state.remaining.restarts > 0 {
            let mut state = state.clone();
            state.remaining.restarts -= 1;
            let disk = host.disk.clone();
            state.restart(at, self.config(host.node.id()), disk);
            next.push(state);
        }
        if state.remaining.disk_losses > 0 {
            let mut state = state.clone();
            state.remaining.disk_losses -= 1;
            state.restart(at, self.config(host.node.id()), Restored::default());
            next.push(state);
        }
    }

    fn inputs(&self, state: &State, at: usize, next: &mut Vec<State>) {
        let host = &state.hosts[at];
        if state.remaining.timeouts > 0 && self.timers.contains(&host.node.id()) {
            let mut later = state.clone();
            later.remaining.timeouts -= 1;
            later.hosts[at].edit().clock += UNIT * 3;
            later.step_both(at, &Input::Tick, state, next);
        }
        if self.bounds.clock_steps > 0 && self.timers.contains(&host.node.id()) {
            state.clone().step_both(at, &Input::Tick, state, next);
        }
        if state.remaining.compactions > 0 && host.node.committed() > 1 {
            let mut later = state.clone();
            later.remaining.compactions -= 1;
            let index = host.node.committed();
            let snapshot = state_snapshot(&state.history.applied, index);
            later.step_both(at, &Input::Compact { index, snapshot }, state, next);
        }
        if !host.node.is_leader() {
            return;
        }
        if state.remaining.proposals > 0 {
            let mut later = state.clone();
            later.remaining.proposals -= 1;
            let proposal = u64::from(state.remaining.proposals);
            let payload = Payload::from(vec![state.remaining.proposals]);
            later.step_both(at, &Input::Propose { proposal, payload }, state, next);
        }
        if state.remaining.handovers > 0 {
            let mut later = state.clone();
            later.remaining.handovers -= 1;
            later.step_both(at, &Input::HandOver { to: None }, state, next);
        }
        if state.remaining.changes > 0 {
            let mut later = state.clone();
            later.remaining.changes -= 1;
            let voters = self.voter_lists[usize::from(later.remaining.changes)].clone();
            later.step_both(
                at,
                &Input::Reconfigure {
                    proposal: 0,
                    voters,
                },
                state,
                next,
            );
        }
    }
}

impl Host {
    fn new(config: Config, disk: Restored, clock: Now) -> Self {
        let node = Node::new(clock, config, disk.clone());
        Self {
            node,
            clock,
            disk,
            unsynced: Vec::new(),
        }
    }
}

impl State {
    fn host_index(&self, id: NodeId) -> Option<usize> {
        self.hosts.iter().position(|h| h.node.id() == id)
    }

    /// Steps a host, once with its writes synced at once and once, if the bounds allow it, with its
    /// writes left unsynced. A step that changes nothing is left out.
    fn step_both(self, at: usize, input: &Input, before: &Self, next: &mut Vec<Self>) {
        let mut prompt = self.clone();
        prompt.step(at, input.clone(), false);
        let same = prompt.hosts[at].value == before.hosts[at].value;
        let quiet = same && prompt.network.len() == self.network.len();
        if quiet && prompt.remaining == before.remaining {
            return;
        }
        next.push(prompt);
        if self.remaining.late_syncs > 0 && self.faulty[at] {
            let mut lazy = self;
            lazy.remaining.late_syncs -= 1;
            lazy.step(at, input.clone(), true);
            if !lazy.hosts[at].unsynced.is_empty() {
                next.push(lazy);
            }
        }
    }

    fn step(&mut self, at: usize, input: Input, lazy: bool) {
        let host = self.hosts[at].edit();
        let (id, was) = (host.node.id(), host.node.committed());
        let outputs = host.node.step(host.clock, input);
        if host.node.committed() < was {
            self.record_violation("a committed index went back");
        }
        for output in outputs {
            self.output(id, at, output);
        }
        self.check_host(at);
        if !lazy {
            self.sync(at);
        }
    }

    fn output(&mut self, id: NodeId, at: usize, output: Output) {
        match output {
            Output::Send { to, message } => {
                let needs = match &message {
                    Message::Append { entries, .. } if entries.is_empty() => Appends::All,
                    Message::Append { .. } => Appends::WithEntries,
                    _ => Appends::None,
                };
                if needs > self.appends {
                    return;
                }
                let packet = Shared::new(Packet {
                    from: id,
                    to,
                    message,
                });
                if !self.network.contains(&packet) {
                    self.network.push(packet);
                }
            }
            Output::Write { write, record } => {
                self.hosts[at].edit().unsynced.push((write, record));
            }
            Output::Apply(entry) => self.apply(&entry),
            Output::Restore { index, snapshot } => {
                if snapshot != state_snapshot(&self.history.applied, index) {
                    self.record_violation("a snapshot differs from what was applied");
                }
            }
            Output::Appended { .. } | Output::Rejected { .. } | Output::Resigned { .. } => {}
        }
    }

    fn apply(&mut self, entry: &Entry) {
        let at = entry.index as usize - 1;
        match self.history.applied.get(at) {
            Some(known) if known == entry => {}
            Some(_) => self.record_violation("two entries were applied at one index"),
            None if at == self.history.applied.len() => {
                self.history.edit().applied.push(entry.clone());
            }
            None => self.record_violation("an index was skipped"),
        }
    }

    fn sync(&mut self, at: usize) {
        loop {
            let host = self.hosts[at].edit();
            let Some(&(write, _)) = host.unsynced.last() else {
                return;
            };
            for (_, record) in host.unsynced.drain(..) {
                host.disk.push(record);
            }
            self.step(at, Input::Synced { write }, true);
        }
    }

    fn restart(&mut self, at: usize, config: Config, disk: Restored) {
        let clock = self.hosts[at].clock;
        self.hosts[at] = Shared::new(Host::new(config, disk, clock));
        self.step(at, Input::Nodes(Vec::new()), false);
    }

    fn timeout(&mut self, at: usize) {
        self.hosts[at].edit().clock += UNIT * 3;
        self.step(at, Input::Tick, false);
    }

    /// Delivers all messages in order until none is in flight. Unless `entries` is set, append
    /// messages are lost.
    fn settle(&mut self, entries: bool) {
        while !self.network.is_empty() {
            let packet = Packet::clone(&self.network.remove(0));
            let lost = matches!(packet.message, Message::Append { .. }) && !entries;
            let Some(at) = self.host_index(packet.to).filter(|_| !lost) else {
                continue;
            };
            let Packet { from, message, .. } = packet;
            self.step(at, Input::Receive { from, message }, false);
        }
    }

    /// Sorts the messages, since their order doesn't matter, and drops those that can't have any
    /// effect any more beyond announcing a term.
    fn normalize(&mut self) {
        // A host that may still lose its disk may then accept messages of terms that it has left.
        let disk_losses = self.remaining.disk_losses > 0;
        let hosts = std::mem::take(&mut self.hosts);
        let host = |id| hosts.iter().find(|h| h.node.id() == id);
        self.network.retain(|p| match (host(p.from), host(p.to)) {
            (Some(from), Some(to)) => disk_losses || may_have_effect(&p.message, from, to),
            _ => false,
        });
        self.hosts = hosts;
        self.network.sort_unstable_by_key(|p| p.hash);
        self.hosts.iter_mut().for_each(Shared::seal);
        self.history.seal();
    }

    /// Checks the invariants for a host that has just stepped.
    fn check_host(&mut self, at: usize) {
        let host = self.hosts[at].clone();
        if host.node.is_leader() {
            self.check_leader(&host.node);
        }
        for other in self.hosts.clone() {
            if !logs_match(&host.node, &other.node) {
                self.record_violation("two logs differ before an equal entry");
            }
        }
    }

    fn check_leader(&mut self, node: &Node) {
        let pair = (node.term(), node.id());
        let known = self
            .history
            .leaders
            .iter()
            .find(|(term, _)| *term == pair.0);
        match known {
            Some(known) if *known == pair => {}
            Some(_) => self.record_violation("two leaders in a term"),
            None => self.history.edit().leaders.push(pair),
        }
        let last = node.last().index;
        let holds = |e: &Entry| match node.entry(e.index) {
            Some(held) => held == e,
            None => e.index <= last,
        };
        let newest = self.history.leaders.iter().all(|(term, _)| *term <= pair.0);
        if newest && !self.history.applied.iter().all(holds) {
            self.record_violation("a leader lacks a committed entry");
        }
    }

    fn record_violation(&mut self, what: &'static str) {
        self.history.edit().violation.get_or_insert(what);
    }

    fn violation(&self) -> Option<&'static str> {
        let leased = |h: &&Shared<Host>| h.node.lease_until().is_some_and(|u| h.clock < u);
        if self.synchronous && self.hosts.iter().filter(leased).count() > 1 {
            return Some("two leases at once");
        }
        let leads = |term| self.hosts[0].node.is_leader() && self.hosts[0].node.term() == term;
        if self.kept_term.is_some_and(|term| !leads(term)) {
            return Some("a leader with a quorum was deposed");
        }
        self.history.violation
    }
}

/// Whether a message can still have an effect. An answer can't once its receiver has left the term
/// on disk, or no longer leads or campaigns; a request can't once both ends have left the term.
fn may_have_effect(message: &Message, from: &Host, to: &Host) -> bool {
    match *message {
        Message::VoteReply { term, granted } => {
            term > to.node.term() || (granted && term >= to.disk.term && !to.node.is_leader())
        }
        // An answer without news never has any later: what a leader knows only grows.
        Message::AppendReply { term, outcome, .. } => {
            let leads = term == to.node.term() && to.node.is_leader();
            let matched = matches!(outcome, AppendOutcome::Matched(_));
            term > to.node.term() || (leads && !(matched && has_no_effect(message, from, to)))
        }
        Message::PreVoteReply { term, granted, .. } => granted && term > to.disk.term,
        Message::Append { term, .. } | Message::Vote { term, .. } => {
            term >= to.disk.term || term >= from.disk.term
        }
        _ => true,
    }
}

/// Whether a message changes nothing at its receiver and makes it send nothing.
fn has_no_effect(message: &Message, from: &Host, to: &Host) -> bool {
    let mut node = to.node.clone();
    let (from, message) = (from.node.id(), message.clone());
    node.step(to.clock, Input::Receive { from, message })
        .is_empty()
        && node == to.node
}

/// The state machine's snapshot: a digest of what it applied.
fn state_snapshot(applied: &[Entry], index: Index) -> Payload {
    let applied = applied.iter().filter(|e| e.index <= index);
    let bytes = applied.flat_map(|e| match &e.content {
        Content::Command(payload) => vec![e.term as u8, payload[0]],
        Content::Noop => vec![e.term as u8, 0],
        Content::Voters(voters) => vec![e.term as u8, 255, voters.len() as u8],
    });
    Payload::from(bytes.collect::<Vec<_>>())
}

/// Whether two logs are equal up to each entry that they share.
fn logs_match(a: &Node, b: &Node) -> bool {
    let last = a.last().index.min(b.last().index);
    let mut shared = false;
    for index in (1..=last).rev() {
        let (Some(x), Some(y)) = (a.entry(index), b.entry(index)) else {
            return true;
        };
        shared |= x.term == y.term;
        if shared && x != y {
            return false;
        }
    }
    true
}
