//! The shared log's traffic: real consensus nodes in memory on a logical clock.
//!
//! Two nodes stand in each data centre, and the rest in the first ones. The first nodes of the
//! first data centres vote. Messages take a millisecond, disks none. Every message is
//! encoded and decoded as on the mesh.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::traffic::{Tally, Traffic};
use crate::{
    core::{
        consensus::{Config, Input, Node, Output, Payload, Restored},
        types::{NodeId, Now},
    },
    node::frame::{ControlFrame, Frame},
};

const TICK: Duration = Duration::from_millis(10);
const DELAY: Duration = Duration::from_millis(1);
/// Left out of what is counted: the election and the choice of relays.
const WARM: Duration = Duration::from_secs(20);
/// What is counted.
const SPAN: Duration = Duration::from_secs(20);

/// One run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    pub(super) nodes: u32,
    pub(super) centres: u32,
    /// Voters, each the first node of its data centre.
    pub(super) voters: u32,
    /// Changes proposed in each second.
    pub(super) rate: u32,
    /// Times that heartbeats, elections and feeds are slower than as set up.
    pub(super) pace: u32,
    /// Bytes of each.
    pub(super) size: usize,
}

/// What the busiest node of each role does.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Roles {
    pub(super) leader: Traffic,
    /// Votes, doesn't lead, and may feed its data centre.
    pub(super) voter: Traffic,
    /// Doesn't vote, and feeds others.
    pub(super) relay: Traffic,
    /// Doesn't vote and feeds nobody.
    pub(super) follower: Traffic,
}

struct Member {
    node: Node,
    tally: Tally,
}

struct Cluster {
    now: Now,
    members: BTreeMap<NodeId, Member>,
    wire: BTreeMap<(Now, u64), (NodeId, NodeId, Payload)>,
    count: u64,
    proposed: u64,
}

/// Runs a cluster and tells what each role does in a second.
pub(super) fn run(plan: Plan) -> Roles {
    let mut cluster = Cluster::new(plan);
    cluster.go(WARM, plan);
    cluster
        .members
        .values_mut()
        .for_each(|m| m.tally = Tally::default());
    cluster.go(SPAN, plan);
    cluster.roles()
}

impl Cluster {
    fn new(plan: Plan) -> Self {
        let centre = |id: NodeId| format!("centre-{:02}", (id - 1) % u64::from(plan.centres));
        let voters: Vec<NodeId> = (1..=NodeId::from(plan.voters)).collect();
        let member = |id: NodeId| {
            let base = Config::new(id, Pcg64::seed_from_u64(id));
            let base = (1..=NodeId::from(plan.nodes))
                .fold(base, |config, n| config.location(n, centre(n)));
            let base = slower(base, plan.pace);
            let config = if id <= NodeId::from(plan.voters) {
                base.bootstrap(voters.clone())
            } else {
                base
            };
            let node = Node::new(Duration::ZERO, config, Restored::default());
            let tally = Tally::default();
            (id, Member { node, tally })
        };
        Self {
            now: Duration::ZERO,
            members: (1..=NodeId::from(plan.nodes)).map(member).collect(),
            wire: BTreeMap::new(),
            count: 0,
            proposed: 0,
        }
    }

    fn go(&mut self, span: Duration, plan: Plan) {
        let end = self.now + span;
        while self.now < end {
            let tick = self.now + TICK;
            while let Some(((at, _), _)) = self.wire.first_key_value()
                && *at <= tick
            {
                let Some(((at, _), (from, to, bytes))) = self.wire.pop_first() else {
                    break;
                };
                self.now = at;
                self.deliver(from, to, &bytes);
            }
            self.now = tick;
            let ids: Vec<NodeId> = self.members.keys().copied().collect();
            ids.into_iter().for_each(|id| self.step(id, Input::Tick));
            self.propose(plan);
        }
    }

    fn propose(&mut self, plan: Plan) {
        let due = (self.now.as_secs_f64() * f64::from(plan.rate)) as u64;
        let leader = self.members.values().find(|m| m.node.is_leader());
        let Some(leader) = leader.map(|m| m.node.id()) else {
            return;
        };
        while self.proposed < due {
            self.proposed += 1;
            let payload = vec![7; plan.size].into();
            let proposal = self.proposed;
            self.step(leader, Input::Propose { proposal, payload });
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, bytes: &Payload) {
        let begun = Instant::now();
        let frame = Frame::decode(bytes);
        if let Some(member) = self.members.get_mut(&to) {
            member.tally.receive(bytes.len());
            member.tally.work(begun.elapsed());
        }
        if let Some(Frame::Control(ControlFrame::Consensus(message))) = frame {
            self.step(to, Input::Receive { from, message });
        }
    }

    fn step(&mut self, id: NodeId, input: Input) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let begun = Instant::now();
            for output in member.node.step(now, input) {
                match output {
                    Output::Send { to, message } => {
                        let frame = Frame::Control(ControlFrame::Consensus(message));
                        let bytes = frame.encode();
                        member.tally.send(bytes.len());
                        self.count += 1;
                        self.wire.insert((now + DELAY, self.count), (id, to, bytes));
                    }
                    Output::Write { write, .. } => inputs.push(Input::Synced { write }),
                    _ => {}
                }
            }
            member.tally.work(begun.elapsed());
        }
    }

    fn roles(&self) -> Roles {
        let mut roles = Roles::default();
        for member in self.members.values() {
            let node = &member.node;
            let role = match (node.is_leader(), node.is_voter(), node.subscribers()) {
                (true, ..) => &mut roles.leader,
                (false, true, _) => &mut roles.voter,
                (false, false, 1..) => &mut roles.relay,
                (false, false, 0) => &mut roles.follower,
            };
            *role = role.most(member.tally.over(SPAN));
        }
        roles
    }
}

fn slower(config: Config, pace: u32) -> Config {
    let millis = |millis: u64| Duration::from_millis(millis) * pace;
    config
        .election(millis(500), millis(1_000))
        .heartbeat(millis(100))
        .lease(millis(450))
        .feed_timeout(millis(600))
}
