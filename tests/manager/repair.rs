//! Voters that lose their disks, in a cluster whose nodes choose their successors themselves.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use egretpin::{
    core::{
        consensus::{
            Config, Content, Index, Input, Message, Node, Output, Payload, Restored,
            interface::Location,
        },
        types::{NodeId, Now},
    },
    manager::{
        identity::{ip, node_id},
        membership::{Members, VoterStatus},
    },
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Time between two steps of the world; messages and syncs take one.
const STEP: Duration = Duration::from_millis(1);
/// Time between two turns of a busy leader.
const TURN: Duration = Duration::from_millis(25);
/// Time between two views, and between two looks at the voters.
const VIEW: Duration = Duration::from_secs(1);
const LOOK: Duration = Duration::from_millis(200);
/// The time that the settings promise between two losses, and the silence that counts as a loss.
const PROMISE: Duration = Duration::from_secs(4);
const SILENCE: Duration = Duration::from_millis(1500);
/// Entries between two snapshots, and the size of one.
const SNAPSHOT_ENTRIES: Index = 2500;
const SNAPSHOT_BYTES: usize = 16 << 20;

struct Host {
    node: Node,
    members: Members,
    inbox: Vec<(NodeId, Message)>,
    turn_due: Now,
    applied: Index,
    snapshot: Index,
    asked: Option<NodeId>,
}

struct World {
    now: Now,
    hosts: BTreeMap<NodeId, Host>,
    /// Messages by when they arrive, and writes by when they are on disk.
    mail: Vec<(Now, NodeId, NodeId, Message)>,
    syncs: Vec<(Now, NodeId, u64)>,
}

fn centre(node: NodeId) -> String {
    let [.., host] = ip(node).octets();
    format!("centre-{}", host % 3)
}

impl World {
    /// Nodes at some hosts, of which the first five vote.
    fn start(hosts: u8) -> Self {
        let mut world = Self {
            now: Duration::from_secs(10),
            hosts: BTreeMap::new(),
            mail: Vec::new(),
            syncs: Vec::new(),
        };
        let ids: Vec<_> = (1..=hosts)
            .map(|host| node_id([10, 0, 0, host].into(), 0))
            .collect();
        for id in &ids {
            let config = Config::new(*id, Pcg64::seed_from_u64(*id));
            let votes = ids[..5].contains(id);
            world.add(&if votes {
                config.bootstrap(ids[..5].to_vec())
            } else {
                config
            });
        }
        world
    }

    fn add(&mut self, config: &Config) {
        let host = Host {
            node: Node::new(self.now, config.clone(), Restored::replay(Vec::new())),
            members: Members::default(),
            inbox: Vec::new(),
            turn_due: self.now,
            applied: 0,
            snapshot: 0,
            asked: None,
        };
        self.hosts.insert(config.id(), host);
        self.broadcast();
    }

    /// Takes a node's disk away and starts it with an empty one, under a new id.
    fn lose_disk(&mut self, id: NodeId) {
        self.hosts.remove(&id);
        let successor = node_id(ip(id), 1);
        self.add(&Config::new(successor, Pcg64::seed_from_u64(successor)));
    }

    fn leader(&self) -> Option<NodeId> {
        let holds = |host: &&Host| {
            host.node
                .lease_until()
                .is_some_and(|until| self.now < until)
        };
        let mut leaders = self.hosts.values().filter(holds);
        leaders.next().map(|host| host.node.id())
    }

    fn input(&mut self, id: NodeId, input: Input) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        for output in host.node.step(now, input) {
            match output {
                Output::Send { to, message } => self.mail.push((now + STEP, id, to, message)),
                Output::Write { write, .. } => self.syncs.push((now + STEP, id, write)),
                Output::Apply(entry) => {
                    host.applied = entry.index;
                    if let (Content::Voters(_), Some(added)) = (&entry.content, host.asked.take()) {
                        host.members.change_applied(added);
                    }
                }
                Output::Restore { index, .. } => (host.applied, host.snapshot) = (index, index),
                Output::Rejected { proposal: 1, .. } => {
                    let failed = host.node.is_leader() && host.node.joining().is_none();
                    if let Some(added) = host.asked.filter(|_| failed) {
                        host.members.change_failed(now, added);
                    }
                }
                Output::Rejected { .. } | Output::Appended { .. } | Output::Resigned { .. } => {}
            }
        }
    }

    /// Every node tells all others how far it is.
    fn broadcast(&mut self) {
        let said: Vec<_> = self
            .hosts
            .values()
            .map(|host| (host.node.id(), host.node.last().index, host.node.received()))
            .collect();
        let place = |(node, ..): &(NodeId, Index, u64)| Location {
            node: *node,
            data_centre: centre(*node).into(),
        };
        let places: Vec<_> = said.iter().map(place).collect();
        for host in self.hosts.values_mut() {
            for (node, last, received) in &said {
                host.members
                    .record_contact(self.now, *node, centre(*node).into(), false);
                host.members
                    .record_progress(self.now, *node, *last, *received);
            }
        }
        for id in self.hosts.keys().copied().collect::<Vec<_>>() {
            self.input(id, Input::Nodes(places.clone()));
        }
    }

    /// What each node notes, and the leader does, about the voters.
    fn look(&mut self) {
        for (id, host) in &mut self.hosts {
            host.members.record_touch(self.now, *id, host.node.voters());
        }
        let Some(leader) = self.leader() else {
            return;
        };
        let now = self.now;
        let host = self.hosts.get_mut(&leader).unwrap();
        host.members.record_log_start(now, host.node.log_start());
        let joining = host.node.joining();
        if host.node.is_changing_voters() && joining.is_none() {
            return;
        }
        let silent = host.members.silent_voters(now, &host.node, SILENCE);
        let status = VoterStatus {
            leader,
            voters: host.node.voters(),
            silent: &silent,
            target: 5,
            joining,
            repair_time: PROMISE,
        };
        if let Some(voters) = host.members.next_change(now, &status) {
            let added = voters.iter().find(|v| !host.node.voters().contains(v));
            host.asked = added.copied();
            self.input(
                leader,
                Input::Reconfigure {
                    proposal: 1,
                    voters,
                },
            );
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.syncs)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.syncs = later;
        let due: Vec<_> = due;
        for (_, node, write) in due {
            self.input(node, Input::Synced { write });
        }
        let (due, later) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.mail = later;
        let due: Vec<_> = due;
        for (_, from, to, message) in due {
            if let Some(host) = self.hosts.get_mut(&to) {
                host.inbox.push((from, message));
            }
        }
        let leader = self.leader();
        for id in self.hosts.keys().copied().collect::<Vec<_>>() {
            let host = self.hosts.get_mut(&id).unwrap();
            if now < host.turn_due {
                continue;
            }
            host.turn_due = now + if leader == Some(id) { TURN } else { STEP };
            for (from, message) in std::mem::take(&mut host.inbox) {
                self.input(id, Input::Receive { from, message });
            }
            self.input(id, Input::Tick);
            if leader == Some(id) {
                for _ in 0..10 {
                    let payload = Payload::from(vec![0; 100]);
                    self.input(
                        id,
                        Input::Propose {
                            proposal: 2,
                            payload,
                        },
                    );
                }
            }
            let host = &self.hosts[&id];
            if host.applied >= host.snapshot + SNAPSHOT_ENTRIES {
                let (index, snapshot) = (host.applied, Payload::from(vec![0; SNAPSHOT_BYTES]));
                self.hosts.get_mut(&id).unwrap().snapshot = index;
                self.input(id, Input::Compact { index, snapshot });
            }
        }
        if now.as_millis().is_multiple_of(VIEW.as_millis()) {
            self.broadcast();
        }
        if now.as_millis().is_multiple_of(LOOK.as_millis()) {
            self.look();
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// The voters whose disks are gone.
    fn gone(&self) -> BTreeSet<NodeId> {
        let leader = self.leader().expect("a leader");
        let voters = self.hosts[&leader].node.voters().iter().copied();
        voters.filter(|v| !self.hosts.contains_key(v)).collect()
    }
}

/// Guards against a voter that has no disk when the next two are lost: with a third one gone, the
/// others are no majority for ever.
#[test]
fn two_more_disks_may_be_lost_the_promised_time_after_one() {
    // One and two learners, and each voter as the lost one.
    for (hosts, lost) in (5..=7).flat_map(|hosts| (0..5).map(move |lost| (hosts, lost))) {
        let case = format!("{hosts} hosts, voter {lost} lost");
        let mut world = World::start(hosts);
        world.run(Duration::from_secs(8));
        let leader = world.leader().expect("a leader");
        let voters = world.hosts[&leader].node.voters().to_vec();
        assert!(world.hosts[&leader].node.log_start() > 0, "no snapshot");
        world.lose_disk(voters[lost]);
        world.run(PROMISE);
        assert_eq!(world.gone(), BTreeSet::new(), "{case}: a voter has no disk");
        let leader = world.leader().expect("a leader");
        let voters = world.hosts[&leader].node.voters().to_vec();
        let other = voters.iter().find(|v| **v != leader);
        for voter in other.into_iter().chain([&leader]) {
            world.lose_disk(*voter);
        }
        world.run(PROMISE);
        assert!(world.leader().is_some(), "{case}: nobody leads");
    }
}

/// How long after the loss of a voter that never comes back another has its vote, with elections at
/// some times after the loss.
fn replaced_after(lost: usize, elections: &[Duration]) -> Duration {
    let mut world = World::start(6);
    world.run(Duration::from_millis(2500));
    let leader = world.leader().expect("a leader");
    let voters = world.hosts[&leader].node.voters().to_vec();
    world.hosts.remove(&voters[lost]);
    let begun = world.now;
    let mut elections = elections.iter().map(|at| begun + *at).peekable();
    while world.now < begun + PROMISE * 2 {
        world.step();
        let Some(leader) = world.leader() else {
            continue;
        };
        if world.gone().is_empty() {
            break;
        }
        if elections.next_if(|at| *at <= world.now).is_some() {
            world.input(leader, Input::HandOver { to: None });
        }
    }
    world.now - begun
}

/// Guards against a lost voter's silence that counts anew from each election, so that the voter
/// isn't replaced before the next loss.
#[test]
fn elections_do_not_delay_the_replacement_of_a_lost_voter() {
    let ms = Duration::from_millis;
    let pairs = (0..12).flat_map(|at| [0, 700, 1400].map(|pause| (at * 200, pause)));
    let mut late = Vec::new();
    for (at, pause) in pairs {
        for lost in 0..5 {
            let took = replaced_after(lost, &[ms(at), ms(at + pause)]);
            if took > PROMISE {
                late.push((at, pause, lost, took));
            }
        }
    }
    assert!(late.is_empty(), "{} of 180: {late:?}", late.len());
}
