//! Eight nodes on a logical clock, from the commit of a change until it is in force.
//!
//! The real [`Leader`] and [`Node`] are stepped; the network, the log and the quorum are delays.
//! Two nodes stand in each of four data centres. A message takes 0.5 ms and up to 0.2 ms more, a
//! commit 3 ms, and a quorum confirms the leader every 50 ms.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::core::{
    activation::{
        Acting, Leader, LeaderInput, LeaderOutput, Message, Mode, Node, NodeInput, Settings,
    },
    types::{NodeId, Now, Version},
};

const NODES: NodeId = 8;
/// When the change is committed; by then every node holds a lease.
const CHANGE: Now = Duration::from_secs(3);
/// When a run ends.
const END: Now = Duration::from_secs(9);
const MESSAGE: Now = Duration::from_micros(500);
/// What a message may take more, in microseconds.
const JITTER: u64 = 200;
/// What a message to or from a slow node takes more.
const SLOW: Now = Duration::from_millis(400);
const COMMIT: Now = Duration::from_millis(3);
const CONFIRM: Now = Duration::from_millis(50);
const STEP: Now = Duration::from_millis(5);
/// How much each node's wall clock is ahead of that of the node before it.
const SKEW: Now = Duration::from_millis(1);

/// What goes wrong at the moment of the change.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Nodes whose messages take 400 ms more each way.
    pub slow: NodeId,
    /// Nodes that are cut from the others until the end.
    pub cut: NodeId,
    /// The leader's host dies, and this much later another leads.
    pub election: Option<Now>,
}

/// What one run showed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Shown {
    /// From the commit until every node that isn't cut acts under the new version and none under
    /// the old; `None` if not before the end of the run, 6 s after the commit.
    pub(super) rollout: Option<Now>,
    /// How long two nodes acted under different versions.
    pub(super) both: Now,
}

/// Runs one change under faults.
pub(super) fn run(mode: Mode, faults: Faults, seed: u64) -> Shown {
    Cluster::new(mode, faults, seed).go()
}

#[derive(Debug)]
enum Happening {
    Step,
    Confirm,
    ToLeader(NodeId, Message),
    ToNode(NodeId, Message),
    Learn(NodeId, Version),
    Commit(Version),
    Activate(Version),
    Elect,
}

struct Cluster {
    settings: Settings,
    faults: Faults,
    random: Pcg64,
    queue: BTreeMap<(Now, u64), Happening>,
    number: u64,
    leader: Option<Leader>,
    nodes: Vec<Node>,
    committed: Version,
    active: Version,
}

impl Cluster {
    fn new(mode: Mode, faults: Faults, seed: u64) -> Self {
        let settings = Settings::default().mode(mode);
        let nodes = (0..NODES).map(|n| Node::new(n, settings.clone()));
        let mut run = Self {
            leader: Some(Leader::new(Duration::ZERO, settings.clone())),
            nodes: nodes.collect(),
            settings,
            faults,
            random: Pcg64::seed_from_u64(seed),
            queue: BTreeMap::new(),
            number: 0,
            committed: 0,
            active: 0,
        };
        run.after(Duration::ZERO, Duration::ZERO, Happening::Commit(1));
        run.after(Duration::ZERO, CHANGE, Happening::Commit(2));
        let phase = Duration::from_micros(run.random.random_range(0..50_000));
        run.after(phase, Duration::ZERO, Happening::Confirm);
        run.after(phase, Duration::ZERO, Happening::Step);
        run
    }

    fn after(&mut self, now: Now, delay: Now, what: Happening) {
        self.number += 1;
        self.queue.insert((now + delay, self.number), what);
    }

    /// How long a message to or from a node takes; `None` if it is lost.
    fn delay(&mut self, now: Now, node: NodeId) -> Option<Now> {
        let quick = MESSAGE + Duration::from_micros(self.random.random_range(0..JITTER));
        let late = now >= CHANGE;
        // The leader's host is the last; the first ones are slow or cut.
        match node {
            n if late && n < self.faults.cut => None,
            n if late && n < self.faults.slow => Some(quick + SLOW),
            _ => Some(quick),
        }
    }

    fn dead(&self, now: Now, node: NodeId) -> bool {
        now >= CHANGE && self.faults.election.is_some() && node == NODES - 1
    }

    fn go(&mut self) -> Shown {
        let mut shown = Shown::default();
        let mut last = Duration::ZERO;
        let mut both = false;
        while let Some(((now, _), what)) = self.queue.pop_first().filter(|((t, _), _)| *t < END) {
            if both {
                shown.both += now - last;
            }
            last = now;
            self.take(now, what);
            let acted = self.acted(now);
            let everywhere = acted.get(&2) == Some(&self.reachable()) && acted.len() == 1;
            if shown.rollout.is_none() && everywhere {
                shown.rollout = Some(now - CHANGE);
            }
            both = acted.len() > 1;
        }
        shown
    }

    fn reachable(&self) -> NodeId {
        NODES - self.faults.cut - NodeId::from(self.faults.election.is_some())
    }

    /// How many nodes act under each version.
    fn acted(&self, now: Now) -> BTreeMap<Version, NodeId> {
        let mut acted = BTreeMap::new();
        for id in (0..NODES).filter(|id| !self.dead(now, *id)) {
            if let Acting::Under { version, .. } = self.nodes[id as usize].acting(now) {
                *acted.entry(version).or_default() += 1;
            }
        }
        acted
    }

    fn take(&mut self, now: Now, what: Happening) {
        match what {
            Happening::Step => {
                self.after(now, STEP, Happening::Step);
                self.lead(now, LeaderInput::Tick);
                for id in 0..NODES {
                    self.node(now, id, NodeInput::Tick);
                }
            }
            Happening::Confirm => {
                self.after(now, CONFIRM, Happening::Confirm);
                let at = now.saturating_sub(MESSAGE * 2);
                self.lead(now, LeaderInput::Confirmed { at });
            }
            Happening::ToLeader(from, message) => {
                self.lead(now, LeaderInput::Receive { from, message });
            }
            Happening::ToNode(to, message) => self.node(now, to, NodeInput::Receive { message }),
            Happening::Learn(id, version) => {
                let age = now.saturating_sub(if version == 2 { CHANGE } else { Duration::ZERO });
                let skew = SKEW * id as u32;
                let (preset, age) = ("p".into(), age + skew);
                let input = NodeInput::Learned {
                    version,
                    preset,
                    age,
                };
                self.node(now, id, input);
                self.node(now, id, NodeInput::Lead(Some(0)));
            }
            Happening::Commit(version) => {
                self.committed = version;
                for id in 0..NODES {
                    // Through the relay of the data centre.
                    if let Some(delay) = self.delay(now, id) {
                        self.after(now, delay * 2, Happening::Learn(id, version));
                    }
                }
                match self.faults.election.filter(|_| version == 2) {
                    Some(election) => {
                        self.leader = None;
                        self.after(now, election, Happening::Elect);
                    }
                    None => self.configure(now),
                }
            }
            Happening::Activate(version) if version == self.committed => {
                self.active = version;
                self.configure(now);
            }
            Happening::Activate(_) => {}
            Happening::Elect => {
                self.leader = Some(Leader::new(now, self.settings.clone()));
                self.configure(now);
            }
        }
    }

    fn configure(&mut self, now: Now) {
        let committed = self.committed;
        let in_force = (self.active == committed).then_some(committed);
        self.lead(
            now,
            LeaderInput::Configured {
                committed,
                in_force,
            },
        );
    }

    fn lead(&mut self, now: Now, input: LeaderInput) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        for output in leader.step(now, input) {
            match output {
                LeaderOutput::Activate { version } => {
                    self.after(now, COMMIT, Happening::Activate(version));
                }
                LeaderOutput::Send { to, message } => {
                    if let Some(delay) = self.delay(now, to) {
                        self.after(now, delay, Happening::ToNode(to, message));
                    }
                }
            }
        }
    }

    fn node(&mut self, now: Now, id: NodeId, input: NodeInput) {
        for send in self.nodes[id as usize].step(now, input) {
            if let Some(delay) = self.delay(now, id) {
                self.after(now, delay, Happening::ToLeader(id, send.message));
            }
        }
    }
}
