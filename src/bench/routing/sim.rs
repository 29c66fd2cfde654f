//! Nodes of one data centre and their minions on logical time.
//!
//! The nodes are real [`Dispatch`] machines. A minion runs what it is sent, refuses what comes
//! when its slots are taken, and counts that. Only what a plan's faults name goes wrong.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{
    centre,
    plan::{Fault, Job, Plan},
    tally::Tally,
};
use crate::{
    bench::calendar::Calendar,
    core::{
        declaration::{PresetSpec, RequestSpec, ServiceSpec},
        dispatch::{
            AttemptEnd, Configuration, Dispatch, Input, Mesh, Output, RequestId, SendId, Target,
        },
        outcome::{Outcome, Unknown},
        routing::share::Sharing,
        types::{MinionId, NodeId, Now},
    },
};

/// How often a node ticks and the waste is sampled.
const TICK: Duration = Duration::from_millis(50);
/// How often a minion announces itself.
const ANNOUNCE: Duration = Duration::from_secs(1);
/// How long a minion takes to answer with a fault.
const FAST: Duration = Duration::from_millis(1);

/// A node's number in the plan and a sending's number at that node.
type Sent = (u32, SendId);

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Announce(u32),
    Fault(Fault),
    /// A node gets an input.
    Input(u32, Input),
    /// A minion gets a request.
    Receive(u32, Sent, Duration),
    /// A minion is done with a request.
    Done(u32, Sent),
}

struct Minion {
    running: BTreeSet<Sent>,
    sequence: u64,
    dead: bool,
}

struct Node {
    dispatch: Dispatch,
    dead: bool,
    frozen: Option<Now>,
    cut: bool,
    /// Messages of peers held by a cut, with their senders.
    held: Vec<(u32, Mesh)>,
}

/// A running simulation.
pub struct Sim {
    plan: Plan,
    nodes: Vec<Node>,
    minions: Vec<Minion>,
    names: Vec<MinionId>,
    jobs: Vec<Job>,
    calendar: Calendar<Event>,
    /// Sendings that their nodes have not given up, with the request of each.
    sends: BTreeMap<Sent, RequestId>,
    /// Requests whose answer reports a fault.
    faulty: BTreeSet<RequestId>,
    tally: Tally,
}

impl Sim {
    /// Runs a plan.
    pub fn run(plan: &Plan) -> Tally {
        let mut sim = Self::new(plan.clone());
        let end = plan.span + plan.timeout * 3;
        while let Some((now, event)) = sim.calendar.take_until(end) {
            sim.handle(now, event);
        }
        sim.tally
    }

    fn new(plan: Plan) -> Self {
        let nodes = (0..plan.nodes).map(|n| Node::new(&plan, n)).collect();
        let minions = (0..plan.minions).map(|_| Minion::new()).collect();
        let mut sim = Self {
            nodes,
            minions,
            names: names(&plan),
            jobs: plan.jobs(),
            calendar: Calendar::new(),
            sends: BTreeMap::new(),
            faulty: BTreeSet::new(),
            tally: Tally::default(),
            plan,
        };
        sim.prepare();
        sim
    }

    fn prepare(&mut self) {
        let configuration = configuration(&self.plan);
        for node in 0..self.plan.nodes {
            let input = Input::Configure(configuration.clone());
            self.at(Duration::ZERO, Event::Input(node, input));
        }
        for minion in 0..self.plan.minions {
            self.at(Duration::ZERO, Event::Announce(minion));
        }
        self.at(TICK, Event::Tick);
        for (at, fault) in self.plan.faults.clone() {
            self.at(at, Event::Fault(fault));
        }
        for (ix, job) in self.jobs.clone().into_iter().enumerate() {
            let input = Input::Arrive(centre::arrival(ix as RequestId + 1, "group".into()));
            self.at(job.at, Event::Input(job.node, input));
        }
    }

    fn at(&mut self, at: Now, event: Event) {
        self.calendar.put(at, event);
    }

    fn handle(&mut self, now: Now, event: Event) {
        match event {
            Event::Tick => self.tick(now),
            Event::Announce(minion) => self.announce(now, minion),
            Event::Fault(fault) => self.fault(now, fault),
            Event::Input(node, input) => self.input(now, node, input),
            Event::Receive(minion, sent, service) => self.receive(now, minion, sent, service),
            Event::Done(minion, sent) => self.done(now, minion, sent),
        }
    }

    fn tick(&mut self, now: Now) {
        for node in 0..self.plan.nodes {
            self.input(now, node, Input::Tick);
        }
        self.sample(now);
        self.at(now + TICK, Event::Tick);
    }

    /// Samples how many requests wait beside idle slots.
    fn sample(&mut self, now: Now) {
        if now < self.plan.warmup || now > self.plan.span {
            return;
        }
        let waiting = self
            .nodes
            .iter()
            .filter(|n| !n.dead)
            .map(|n| n.dispatch.waiting());
        let waiting: u32 = waiting.sum();
        let sound = |m: u32| self.plan.minion_fault(now, m).is_none();
        let idle = |m: u32| self.plan.slots - self.minions[m as usize].running.len() as u32;
        let idle: u32 = (0..self.plan.minions).filter(|m| sound(*m)).map(idle).sum();
        self.tally.samples += 1;
        self.tally.wasted += u64::from(idle.min(waiting));
    }

    fn announce(&mut self, now: Now, minion: u32) {
        let state = &mut self.minions[minion as usize];
        if state.dead {
            return;
        }
        state.sequence += 1;
        let sequence = state.sequence;
        let name = &self.names[minion as usize];
        let news = centre::announcement(minion, name, self.plan.slots, sequence);
        let live: Vec<u32> = (0..self.plan.nodes)
            .filter(|n| !self.nodes[*n as usize].dead)
            .collect();
        if !live.is_empty() {
            // The balancer's choice, a different one each time.
            let pick = (u64::from(minion) + sequence) as usize % live.len();
            self.at(now, Event::Input(live[pick], Input::Announce(news)));
        }
        self.at(now + ANNOUNCE, Event::Announce(minion));
    }

    fn fault(&mut self, now: Now, fault: Fault) {
        match fault {
            Fault::KillMinion(minion) => self.kill_minion(now, minion),
            Fault::KillNode(node) => self.nodes[node as usize].dead = true,
            Fault::Freeze(node, time) => self.nodes[node as usize].frozen = Some(now + time),
            Fault::Cut(node) => self.nodes[node as usize].cut = true,
            Fault::Heal(node) => self.heal(now, node),
            Fault::Slow(..) | Fault::BlackHole(_) | Fault::FastError(_) | Fault::Refuse(_) => {}
        }
    }

    fn kill_minion(&mut self, now: Now, minion: u32) {
        let state = &mut self.minions[minion as usize];
        state.dead = true;
        for sent in std::mem::take(&mut state.running) {
            self.end(now, sent, AttemptEnd::Unknown(Unknown::Lost));
        }
    }

    fn heal(&mut self, now: Now, node: u32) {
        self.nodes[node as usize].cut = false;
        for to in 0..self.plan.nodes {
            for (from, message) in std::mem::take(&mut self.nodes[to as usize].held) {
                self.mesh(now, from, to, message);
            }
        }
    }

    fn input(&mut self, now: Now, node: u32, input: Input) {
        let state = &mut self.nodes[node as usize];
        if state.dead {
            self.redirect(now, input);
            return;
        }
        if let Some(until) = state.frozen.filter(|until| now < *until) {
            if !matches!(input, Input::Tick) {
                self.at(until, Event::Input(node, input));
            }
            return;
        }
        for output in state.dispatch.step(now, input) {
            self.output(now, node, output);
        }
    }

    /// The balancer sends a dead node's callers to the others.
    fn redirect(&mut self, now: Now, input: Input) {
        let live = self.nodes.iter().position(|n| !n.dead);
        if let (Some(node), Input::Arrive(_)) = (live, &input) {
            self.input(now, node as u32, input);
        }
    }

    fn output(&mut self, now: Now, node: u32, output: Output) {
        match output {
            Output::Send {
                request,
                send,
                to: Target::Minion { minion, .. },
                retry,
                ..
            } => {
                self.tally.retries += u64::from(retry.is_some());
                self.sends.insert((node, send), request);
                let minion = self.names.iter().position(|n| *n == minion);
                let minion = minion.expect("the minion is of this plan") as u32;
                let service = self.jobs[request as usize - 1].service;
                let event = Event::Receive(minion, (node, send), service);
                self.at(now + self.plan.hop, event);
            }
            Output::Abandon(send) => {
                self.sends.remove(&(node, send));
            }
            Output::Mesh { to, message } => self.mesh(now, node, to as u32 - 1, message),
            Output::Finish { request, outcome } => self.finish(now, request, outcome),
            Output::Send { .. } | Output::Claim { .. } | Output::Settle { .. } => {}
        }
    }

    fn mesh(&mut self, now: Now, from: u32, to: u32, message: Mesh) {
        self.tally.messages += 1;
        if self.nodes[from as usize].cut || self.nodes[to as usize].cut {
            self.nodes[to as usize].held.push((from, message));
            return;
        }
        let input = Input::Mesh {
            from: NodeId::from(from) + 1,
            message,
        };
        self.at(now + self.plan.hop, Event::Input(to, input));
    }

    fn receive(&mut self, now: Now, minion: u32, sent: Sent, service: Duration) {
        let fault = self.plan.minion_fault(now, minion);
        let state = &mut self.minions[minion as usize];
        if state.dead {
            self.end(now, sent, AttemptEnd::Unreachable);
            return;
        }
        if matches!(fault, Some(Fault::Refuse(_))) {
            self.end(now, sent, AttemptEnd::Refused { after: None });
            return;
        }
        if state.running.len() as u32 >= self.plan.slots {
            self.tally.over += 1;
            self.end(now, sent, AttemptEnd::Refused { after: None });
            return;
        }
        state.running.insert(sent);
        self.tally.peak = self.tally.peak.max(state.running.len() as u32);
        let service = match fault {
            Some(Fault::BlackHole(_)) => return,
            Some(Fault::FastError(_)) => FAST,
            Some(Fault::Slow(_, factor)) => service * factor,
            _ => service,
        };
        self.at(now + service, Event::Done(minion, sent));
    }

    fn done(&mut self, now: Now, minion: u32, sent: Sent) {
        if !self.minions[minion as usize].running.remove(&sent) {
            return;
        }
        let fault = matches!(
            self.plan.minion_fault(now, minion),
            Some(Fault::FastError(_))
        );
        self.end(now, sent, AttemptEnd::Answered { fault });
    }

    /// The end of a sending reaches its node, unless that has given it up.
    fn end(&mut self, now: Now, sent: Sent, end: AttemptEnd) {
        let Some(request) = self.sends.remove(&sent) else {
            return;
        };
        let (node, send) = sent;
        if end == (AttemptEnd::Answered { fault: true }) {
            self.faulty.insert(request);
        }
        let input = Input::End { send, end };
        self.at(now + self.plan.hop, Event::Input(node, input));
    }

    fn finish(&mut self, now: Now, request: RequestId, outcome: Outcome) {
        let job = self.jobs[request as usize - 1];
        if job.at < self.plan.warmup {
            return;
        }
        match outcome {
            Outcome::Answered if self.faulty.contains(&request) => self.tally.fault(job.at),
            Outcome::Answered => {
                let time = now - job.at;
                self.tally.answered(time, time.saturating_sub(job.service));
            }
            other => self.tally.failed(job.at, other),
        }
    }
}

impl Minion {
    fn new() -> Self {
        Self {
            running: BTreeSet::new(),
            sequence: 0,
            dead: false,
        }
    }
}

impl Node {
    fn new(plan: &Plan, node: u32) -> Self {
        let settings = centre::settings(NodeId::from(node) + 1)
            .with_sharing(plan.sharing)
            .with_protections(plan.protections);
        let rng = Pcg64Mcg::seed_from_u64(plan.seed * 1000 + u64::from(node));
        Self {
            dispatch: Dispatch::new(settings, rng),
            dead: false,
            frozen: None,
            cut: false,
            held: Vec::new(),
        }
    }
}

fn configuration(plan: &Plan) -> Configuration {
    let service = ServiceSpec {
        idempotent: plan.idempotent,
        ..centre::service(plan.timeout)
    };
    let preset = PresetSpec {
        requests: RequestSpec {
            queue: plan.queue,
            ..RequestSpec::default()
        },
        ..PresetSpec::default()
    };
    centre::configuration(service, preset, BTreeMap::new(), plan.nodes)
}

/// Names by which each node owns as many minions as the others, where minions have owners.
fn names(plan: &Plan) -> Vec<MinionId> {
    let nodes: Vec<NodeId> = (1..=NodeId::from(plan.nodes)).collect();
    let owned = |name: &String, minion: u32| {
        let node = nodes[(minion % plan.nodes) as usize];
        Sharing::Owner.home(plan.slots, name, node, &nodes) > 0
    };
    let name = |minion| {
        let mut names = (0..).map(|n| format!("minion-{minion}-{n}"));
        names
            .find(|name| owned(name, minion))
            .expect("some name fits")
    };
    (0..plan.minions).map(|m| name(m).into()).collect()
}
