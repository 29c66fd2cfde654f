//! A data centre's own traffic: announcements of minions, what nodes pass on, and what they tell
//! the leader.
//!
//! Real request paths in memory. Each minion announces itself once a second to one of the nodes;
//! what the nodes say to each other is encoded, delivered and decoded. Every half second each node
//! tells the leader which minions it heard itself, as the fleet task does.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand_pcg::Pcg64Mcg;

use super::{
    fleet,
    traffic::{Tally, Traffic},
};
use crate::{
    adapters::announce,
    core::{
        dispatch::{Announcement, Configuration, Dispatch, Input, Mesh, Output, Settings},
        types::{DataCentreId, NodeId, Now},
    },
    node::frame::Frame,
};

const STEP: Duration = Duration::from_millis(50);
const STEPS: u32 = 20;
/// How often the leader is told.
const TELL: u32 = 10;
const WARM: u32 = 3;
const SECONDS: u32 = 10;
const OWN: &str = "centre-00";

/// One run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    /// Nodes of the data centre.
    pub(super) nodes: u32,
    pub(super) minions: u32,
    pub(super) services: u32,
    /// All data centres, with as many nodes each.
    pub(super) centres: u32,
}

/// What the first node does in a second, by what it's for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Parts {
    /// Announcements by minions: the bodies alone, not the heads of the HTTP requests.
    pub(super) intake: Traffic,
    /// What nodes of the data centre pass on, and loans.
    pub(super) gossip: Traffic,
    /// What other data centres are offered.
    pub(super) offers: Traffic,
    /// What the leader is told.
    pub(super) told: Traffic,
    /// What a leader does that is told this by one node: received, and decoded.
    pub(super) leader: Traffic,
}

#[derive(Default)]
struct Tallies {
    intake: Tally,
    gossip: Tally,
    offers: Tally,
    told: Tally,
    leader: Tally,
}

struct Centre {
    plan: Plan,
    paths: BTreeMap<NodeId, Dispatch>,
    /// What the first node heard itself since it last told the leader.
    heard: Vec<Announcement>,
    tallies: Tallies,
}

/// Runs a data centre.
pub(super) fn run(plan: Plan) -> Parts {
    let mut centre = Centre::new(plan);
    centre.go(0, WARM * STEPS);
    centre.tallies = Tallies::default();
    centre.go(WARM * STEPS, (WARM + SECONDS) * STEPS);
    let span = Duration::from_secs(SECONDS.into());
    let tallies = centre.tallies;
    Parts {
        intake: tallies.intake.over(span),
        gossip: tallies.gossip.over(span),
        offers: tallies.offers.over(span),
        told: tallies.told.over(span),
        leader: tallies.leader.over(span),
    }
}

impl Centre {
    fn new(plan: Plan) -> Self {
        let told = configuration(plan);
        let path = |id: NodeId| {
            let settings = Settings::new(id, OWN.into());
            let mut path = Dispatch::new(settings, Pcg64Mcg::new(id.into()));
            path.step(Duration::ZERO, Input::Configure(told.clone()));
            (id, path)
        };
        Self {
            plan,
            paths: (1..=NodeId::from(plan.nodes)).map(path).collect(),
            heard: Vec::new(),
            tallies: Tallies::default(),
        }
    }

    fn go(&mut self, from: u32, to: u32) {
        for step in from..to {
            let now = STEP * step;
            (1..=NodeId::from(self.plan.nodes)).for_each(|id| self.step(now, id, Input::Tick));
            let due = (0..self.plan.minions).filter(|m| m % STEPS == step % STEPS);
            due.for_each(|minion| self.announce(now, minion, step));
            if step % TELL == 0 {
                self.tell();
            }
        }
    }

    fn announce(&mut self, now: Now, minion: u32, step: u32) {
        let news = announcement(minion, self.plan.services, step.into());
        let body = serde_json::to_vec(&news).expect("an announcement can be serialized");
        let to = 1 + (minion + step / STEPS) % self.plan.nodes;
        let begun = Instant::now();
        let news = announce::parse(&body).expect("it was just made");
        if to == 1 {
            self.tallies.intake.receive(body.len());
            self.tallies.intake.work(begun.elapsed());
            self.heard.push(news.clone());
        }
        self.step(now, to.into(), Input::Announce(news));
    }

    fn step(&mut self, now: Now, id: NodeId, input: Input) {
        let Some(path) = self.paths.get_mut(&id) else {
            return;
        };
        let begun = Instant::now();
        let outputs = path.step(now, input);
        if id == 1 {
            self.tallies.intake.work(begun.elapsed());
        }
        for output in outputs {
            if let Output::Mesh { to, message } = output {
                self.carry(now, id, to, message);
            }
        }
    }

    fn carry(&mut self, now: Now, from: NodeId, to: NodeId, message: Mesh) {
        let offers = matches!(message, Mesh::Offer(_));
        let tally = if offers {
            &mut self.tallies.offers
        } else {
            &mut self.tallies.gossip
        };
        let begun = Instant::now();
        let bytes = Frame::Requests(message).encode();
        if from == 1 {
            tally.send(bytes.len());
            tally.work(begun.elapsed());
            if offers {
                // What comes from the other data centres is the same as what goes to them.
                tally.receive(bytes.len());
            }
        }
        let begun = Instant::now();
        let frame = Frame::decode(&bytes);
        if to == 1 {
            tally.receive(bytes.len());
            tally.work(begun.elapsed());
        }
        if let Some(Frame::Requests(message)) = frame {
            self.step(now, to, Input::Mesh { from, message });
        }
    }

    fn tell(&mut self) {
        let heard = std::mem::take(&mut self.heard);
        let begun = Instant::now();
        let bytes = Frame::Heard(heard).encode();
        self.tallies.told.send(bytes.len());
        self.tallies.told.work(begun.elapsed());
        let begun = Instant::now();
        std::hint::black_box(Frame::decode(&bytes));
        self.tallies.leader.receive(bytes.len());
        self.tallies.leader.work(begun.elapsed());
    }
}

fn configuration(plan: Plan) -> Configuration {
    let node = |n: u32| (NodeId::from(n + 1), fleet::centre(n / plan.nodes));
    let nodes: Vec<(NodeId, DataCentreId)> = (0..plan.nodes * plan.centres).map(node).collect();
    Configuration {
        version: 1,
        fleet: Arc::new(fleet::declared(&fleet::services(plan.services))),
        preset: Some("ordinary".into()),
        draining: Arc::new([]),
        nodes: nodes.into(),
    }
}

fn announcement(minion: u32, services: u32, sequence: u64) -> Announcement {
    Announcement {
        minion: format!("minion-{minion:05}").into(),
        boot: 1,
        sequence,
        service: format!("service-{:03}", minion % services).into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        host: format!("worker-{minion:05}").into(),
        rack: format!("rack-{:04}", minion / 4).into(),
        data_centre: OWN.into(),
        slots: 8,
        connections: 64,
        leaving: false,
    }
}
