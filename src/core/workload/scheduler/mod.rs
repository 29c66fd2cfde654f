//! What the leader decides: which tasks to start, renew and stop, and where.
//!
//! A [`Scheduler`] lives as long as its leader's term. It is told of the changes of the ledger, of
//! the agents' heartbeats and of the answers to its orders, and [`Scheduler::plan`] says what to
//! commit and what to order. Nothing is started before the attempt is committed, and no end is
//! acknowledged to its agent before it is.
//!
//! # What is sure
//!
//! An order that got no answer may have been carried out, or may be later. So an attempt is given
//! up only if one of these shows that it doesn't run and never will:
//!
//! - the agent refused its start, and every earlier start of it was answered;
//! - the agent acknowledged a stop, after which it refuses the attempt;
//! - the agent, having seen this leader's term, lists it neither as running nor as ended: orders
//!   of earlier terms are refused there from then on;
//! - the agent's incarnation is over;
//! - its lease has run out by the agent's own clock, counted from the last one that was sent,
//!   whether or not it arrived.
//!
//! Which incarnation lives at an address is what the address itself says. Orders name the agent that
//! they are for, and another refuses them; a later incarnation of the same one takes them, and only its
//! lists tell that it is another. So what was ordered of an incarnation and wasn't seen there is stopped
//! at the next one before it is given up, and a list of that one is waited for which tells whether it had
//! ended before. A heartbeat alone ends nobody, as it may be late. Whoever
//! is heard for the first time gets nothing until it has answered, and its answer ends those that
//! were known there before.
//!
//! # What was decided before
//!
//! A start is decided by what is known then: that its agent isn't leaving, that its job goes on, that its
//! workspace may have more. Any of that may change while the start waits for its agent to answer, is
//! tried again, or stands in a relay that stands still. So each start must begin by a *deadline*, counted
//! from its decision: the leader doesn't send it later, and the lease that it carries ends then, so that
//! its agent refuses whatever comes later, whoever held it up. An agent that leaves has been told so after
//! whatever was decided for it, and takes nothing once that time has passed.
//!
//! # What a predecessor ordered
//!
//! An order is in nobody's log but for what the next leader couldn't find out: that a host was
//! touched. All else a successor learns from those that got the orders, and until it has, it takes
//! them for given. Once an agent has seen this term no earlier order is taken there, and what was told
//! to stop before has ended when the time of a stop is over: what its agent lists after that wasn't.

mod agent;
mod agents;
mod answers;
mod balance;
mod caps;
mod changes;
mod demand;
mod eligible;
mod forecast;
mod host_intents;
mod hosts;
mod jobs;
mod learned;
mod leases;
mod losses;
mod order;
mod place;
mod poison_queues;
mod presence;
mod pressure;
mod probes;
mod ready;
mod starts;
mod strays;
mod suspects;
mod throttle;
mod unit;
mod vacating;
mod waves;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

pub use self::order::{
    AgentTime, Answer, Ended, HostState, HostView, Order, OrderId, OrderKind, Refusal, Report,
    Running, StartOrder, Target,
};
use self::{
    agent::{Agent, Phase, Slot},
    agents::Agents,
    caps::Proposed,
    eligible::{Eligible, Question},
    host_intents::HostIntents,
    hosts::Hosts,
    learned::Learned,
    losses::Losses,
    poison_queues::Completions,
    pressure::Pressure,
    probes::Probes,
    ready::{Queue, Ready},
    suspects::Suspects,
};
use super::{
    catalog::{Catalog, JobId},
    command::{AgentRecord, Command, End, Ends, Placed, Round},
    job::{Job, JobState, Run, StepId, Task, TaskId},
    ledger::{Change, Ledger},
    spec::{Occurrence, StepIx, StepSpec, TaskIx},
};
use crate::core::{
    consensus::Term,
    types::{HostId, Map, MinionId, Name, Now, PoolId, Wall, WaveId},
};

/// Rounds that may be under way in the log at once: one is synced while the next is decided.
const ROUNDS: usize = 2;
/// Starts of one round; keeps an entry of the log far below one message.
const STARTS: usize = 64;
/// From an answer to the next renewal, while there is time. Ends that come together are told together.
const GAP: Duration = Duration::from_millis(25);
/// How long a renewal may wait for an end, where short tasks run and where only lasting ones do.
/// An agent that has died is noticed only after it, and each look costs.
const WAIT: (Duration, Duration) = (Duration::from_millis(700), Duration::from_millis(1500));
/// And where best-effort work is beside work that serves: as long as a throttle takes to show.
const WATCH: Duration = Duration::from_millis(600);
/// From one look at an agent that runs nothing to the next, if ends are unacknowledged there or
/// something may run that isn't placed there. Each look costs.
const ACK_DELAY: Duration = Duration::from_millis(1200);
/// From a start or stop that got no answer to the next try.
const RETRY: Duration = Duration::from_millis(200);
/// From a failed renewal to the next one.
const RENEW_RETRY: Duration = Duration::from_millis(300);
/// How long renewals may fail before the lease is no more extended, so that it ends some time.
const EXTEND: Duration = Duration::from_millis(1500);
/// How long after a renewal that fails was sent the provider is asked whether the agent is there.
const DOUBT: Duration = Duration::from_millis(300);
/// A start isn't sent in the last part of its time: it may be under way for so long, and a renewal has to
/// follow it before the lease that it carries is over.
const SPARE: Duration = Duration::from_millis(300);
/// How often a start is sent before the attempt is given up.
const TRIES: u32 = 4;
/// How long an agent gets nothing after it said that it isn't well.
const UNWELL: Duration = Duration::from_millis(1500);
/// The longest that an order which got no answer may be under way: what operators told us of
/// their agents.
const STRAY: Duration = Duration::from_millis(12_500);
/// Attempts of a task whose queue is gone.
const ATTEMPTS: u32 = 3;

/// What the scheduler is told of the place that it works in.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The longest lease that an agent takes.
    pub lease: Duration,
    /// An agent that wasn't heard for so long gets nothing new.
    pub silence: Duration,
    /// From the last order of one leader about a host to the first of another.
    pub holder: Duration,
    /// The longest that an agent takes to carry out a stop.
    pub stop: Duration,
    /// How long after an agent was told that its leaving is known something may still begin there.
    pub notice: Duration,
    /// How long a job that is over is remembered at least.
    pub retention: Duration,
    /// Which protections are on; for tests.
    pub protections: Protections,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            silence: Duration::from_secs(4),
            holder: Duration::from_secs(3),
            stop: Duration::from_secs(1),
            notice: Duration::from_secs(6),
            retention: Duration::from_secs(180),
            protections: Protections::default(),
        }
    }
}

/// Test-only switches that each take one protection away, so that a test can show that the check
/// of a promise would notice. Leave them all on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protections {
    /// A start that got no answer may still be carried out, whatever a later one was answered.
    pub strays: bool,
    /// What an agent that doesn't answer runs is given up only when its lease has run out.
    pub lease: bool,
    /// A new leader gives up what its predecessors placed only once the agent has seen its term.
    pub inherit: bool,
    /// What is about to be ordered of a host is in the log before, for the next leader to wait.
    pub touches: bool,
    /// A host is maintained only when it is empty, or when all that it runs may be away.
    pub budget: bool,
    /// What a predecessor may have told to stop counts as away, until an agent has shown that it
    /// wasn't.
    pub spent: bool,
    /// Agents that nothing is placed at are looked at while something may run there.
    pub looks: bool,
    /// The end of a host counts against what ran there.
    pub suspicion: bool,
    /// Nothing is started beyond the cap of its workspace.
    pub caps: bool,
    /// A start begins by its deadline or not at all.
    pub deadlines: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self {
            strays: true,
            lease: true,
            inherit: true,
            touches: true,
            budget: true,
            spent: true,
            looks: true,
            suspicion: true,
            caps: true,
            deadlines: true,
        }
    }
}

/// What [`Scheduler::plan`] wants done.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// To be committed, in order.
    pub commands: Vec<Command>,
    /// To be sent at once.
    pub orders: Vec<Order>,
    /// For each attempt that is placed, how long ago its agent was heard.
    pub ages: Vec<Duration>,
    /// For each start that is sent, how long ago it was decided.
    pub delays: Vec<Duration>,
    /// How many agents, and steps that wait, were looked at for it.
    pub looks: usize,
}

/// The decisions of one leader.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    term: Term,
    began: Now,
    catalog: Arc<Catalog>,
    agents: Agents,
    ready: Queue,
    /// Occurrences that aren't due yet.
    timed: BTreeSet<(Wall, JobId, Occurrence)>,
    /// Jobs that are over, and since when this leader knows, in that order.
    over: VecDeque<(Now, JobId)>,
    /// When each job that this leader knows was accepted, by our clock.
    accepted: Map<JobId, Now>,
    /// Orders that wait for their answers.
    pending: Map<OrderId, Pending>,
    last_order: OrderId,
    /// Ends that agents reported and that aren't proposed yet.
    ends: BTreeMap<MinionId, Ends>,
    /// Attempts that surely don't run.
    freed: Vec<Placed>,
    /// Attempts that may never have begun, which a successor has to know.
    unbegun: Vec<Placed>,
    /// Incarnations that are over.
    gone: BTreeSet<MinionId>,
    /// Those in whose place a later one lives, until they are over.
    replaced: BTreeSet<MinionId>,
    /// Until when a start of this leader's that got no answer may be carried out, also at agents
    /// that were taken for gone.
    strays: BTreeMap<MinionId, Now>,
    /// Rounds that were proposed and aren't applied.
    rounds: usize,
    /// What they place, by workspace.
    proposed: Proposed,
    hosts: Hosts,
    touching: HostIntents,
    eligible: Eligible,
    /// How long the tasks of each pool take.
    learned: BTreeMap<PoolId, Learned>,
    pressure: Pressure,
    suspects: Suspects,
    probes: Probes,
    losses: Losses,
    departures: Completions,
    /// Hosts whose maintenance has begun, by wave.
    maintained: Vec<(WaveId, HostId)>,
    orders: Vec<Order>,
    /// How long ago the agents were heard that got something since the last plan.
    ages: Vec<Duration>,
    /// How long ago the starts were decided that were sent since then.
    delays: Vec<Duration>,
    /// Whether an agent has seen a later leader.
    superseded: bool,
}

/// An order that waits for its answer.
#[derive(Clone, Debug)]
struct Pending {
    sent: Now,
    about: About,
}

/// What an order was about.
#[derive(Clone, Debug)]
enum About {
    Start(MinionId, TaskId),
    Stop(MinionId, TaskId),
    Throttle(MinionId, TaskId),
    /// A stop of what shouldn't be there.
    Sweep(MinionId),
    Renew {
        agent: MinionId,
        acked: u64,
        /// Whether it extends the lease.
        extends: bool,
    },
    Hosts,
    Duty(HostId),
    /// Where a step may run.
    Eligible(Question),
}

impl Scheduler {
    /// The decisions of a leader that begins now, with what its predecessors committed.
    pub fn new(
        now: Now,
        wall: Wall,
        term: Term,
        settings: Settings,
        catalog: Arc<Catalog>,
        ledger: &Ledger,
    ) -> Self {
        let mut scheduler = Self {
            settings,
            term,
            began: now,
            catalog,
            agents: Agents::default(),
            ready: Queue::default(),
            timed: BTreeSet::new(),
            over: VecDeque::new(),
            accepted: Map::default(),
            pending: Map::default(),
            last_order: 0,
            ends: BTreeMap::new(),
            freed: Vec::new(),
            unbegun: Vec::new(),
            gone: BTreeSet::new(),
            replaced: BTreeSet::new(),
            strays: BTreeMap::new(),
            rounds: 0,
            proposed: Proposed::default(),
            hosts: Hosts::default(),
            touching: HostIntents::new(now, settings.holder, ledger.touched()),
            eligible: Eligible::default(),
            learned: BTreeMap::new(),
            pressure: Pressure::default(),
            suspects: Suspects::default(),
            probes: Probes::default(),
            losses: Losses::new(now, ledger.seen()),
            departures: Completions::default(),
            maintained: Vec::new(),
            orders: Vec::new(),
            ages: Vec::new(),
            delays: Vec::new(),
            superseded: false,
        };
        let mut tenants: Map<SocketAddr, usize> = Map::default();
        for record in ledger.agents() {
            *tenants.entry(record.address).or_default() += 1;
        }
        for record in ledger.agents() {
            let shared = tenants.get(&record.address).is_some_and(|count| *count > 1);
            scheduler.inherit(now, ledger, record, shared);
        }
        for (id, job) in ledger.jobs() {
            if job.is_over() {
                // An earlier leader may not have come to stop what it left, and how long ago the
                // job ended isn't known: wall clocks jump.
                scheduler.end_job(now, ledger, id);
                continue;
            }
            let age = wall.saturating_sub(job.accepted);
            scheduler.accepted.insert(id, now.saturating_sub(age));
            scheduler.take_job(now, wall, id, job);
            for (task, evidence) in job.evidence(id) {
                scheduler.record_evidence(job, task, evidence);
            }
        }
        scheduler.inherit_probes();
        scheduler
    }

    /// Another catalog is in force.
    pub fn declare(&mut self, now: Now, catalog: Arc<Catalog>, ledger: &Ledger) {
        self.catalog = catalog;
        let steps: Vec<_> = self.ready.iter().map(|(step, _)| step).collect();
        for step in steps {
            if let Some(job) = ledger.job(step.job) {
                self.open(now, step, job);
            }
        }
    }

    /// Whether an agent has seen a later leader, so that this one must stop.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// An agent's heartbeat came in, with what it says of itself and of its clock; what is to be
    /// committed for it, if anything.
    ///
    /// Heartbeats may come late: after their sender's end, or after newer ones. Nothing to be committed means
    /// that it may be acknowledged: so an older one that says that the agent leaves is proposed too, as long
    /// as that isn't committed, though a newer one that says the same may be under way.
    pub fn heard(
        &mut self,
        now: Now,
        ledger: &Ledger,
        record: &AgentRecord,
        clock: AgentTime,
    ) -> Option<Command> {
        let mut older = false;
        if let Some(agent) = self.agents.get_mut(&record.id) {
            older = record.sequence < agent.sequence;
            if !older {
                agent.sequence = record.sequence;
                agent.mark_seen(now);
                agent.record_clock(now, clock);
            }
        }
        let news = match ledger.agent(&record.id) {
            Some(known) if older => record.leaving && !known.leaving,
            Some(known) => known.differs(record),
            None => !older && !ledger.is_over(record),
        };
        news.then(|| Command::Agent(Box::new(record.clone())))
    }

    /// A command was applied, and changed something.
    pub fn applied(
        &mut self,
        now: Now,
        wall: Wall,
        ledger: &Ledger,
        command: &Command,
        changes: &[Change],
    ) {
        for change in changes {
            self.change(now, wall, ledger, change);
        }
        if let Command::Round(round) = command {
            self.rounds = self.rounds.saturating_sub(1);
            for start in &round.starts {
                self.proposed.remove(start.task);
                self.check_start(now, ledger, start);
            }
            self.intent_applied(now, round);
        }
    }

    /// Decides what to commit and what to order now.
    pub fn plan(&mut self, now: Now, wall: Wall, ledger: &Ledger) -> Plan {
        if self.superseded {
            return Plan::default();
        }
        self.agents.mark_due(now);
        self.open_due(now, wall, ledger);
        self.settle_replaced(now);
        let mut gone = std::mem::take(&mut self.gone);
        gone.retain(|agent| ledger.agent(agent).is_some());
        let mut commands = self.loss_commands(now, wall, &gone);
        for (wave, host) in std::mem::take(&mut self.maintained) {
            let hosts = vec![host];
            commands.push(Command::Maintained { wave, hosts });
        }
        commands.extend(self.forget(now));
        self.expire_leases(now);
        self.forget_strays(now);
        self.tend_hosts(now, wall, ledger);
        if self.rounds < ROUNDS {
            let round = self.round(now, wall, ledger);
            if !round.is_empty() {
                self.rounds += 1;
                commands.push(Command::Round(round));
            }
        }
        let stirred = self.agents.dirty();
        self.send_starts(now, ledger, &stirred);
        self.send_stops(now, &stirred);
        self.renew(now, &stirred);
        self.schedule_agents(now);
        Plan {
            commands,
            orders: std::mem::take(&mut self.orders),
            ages: std::mem::take(&mut self.ages),
            delays: std::mem::take(&mut self.delays),
            looks: self.agents.take_visits() + self.ready.take_looks(),
        }
    }

    /// Has the next plan look at all agents and not only at those that something is due for. It
    /// decides the same: for tests, which compare the two.
    pub fn look_at_all(&mut self) {
        self.agents.mark_all_dirty();
    }

    /// How many tasks wait to be started.
    pub fn waiting(&self) -> usize {
        self.ready.iter().map(|(_, ready)| ready.free.len()).sum()
    }

    /// How many attempts are placed.
    pub fn placed(&self) -> usize {
        self.agents.values().map(|agent| agent.slots.len()).sum()
    }

    /// How many orders wait for their answers.
    pub fn under_way(&self) -> usize {
        self.pending.len()
    }

    /// How many agents don't answer.
    pub fn silent(&self) -> usize {
        let agents = self.agents.values();
        agents.filter(|agent| agent.failing_since.is_some()).count()
    }

    fn order(&mut self, now: Now, about: About, kind: OrderKind) -> OrderId {
        self.last_order += 1;
        let id = self.last_order;
        self.pending.insert(id, Pending { sent: now, about });
        let term = self.term;
        self.orders.push(Order { id, term, kind });
        id
    }

    fn stop(&mut self, now: Now, agent: &MinionId, task: TaskId) {
        let Some(slot) = self.slot(agent, task) else {
            return;
        };
        let stoppable = !matches!(
            slot.phase,
            Phase::Proposed | Phase::Ended | Phase::Stopping(_) | Phase::Stopped
        );
        if stoppable {
            slot.set_phase(now, Phase::Stopping(None));
        }
    }

    fn slot(&mut self, agent: &MinionId, task: TaskId) -> Option<&mut Slot> {
        self.agents.get_mut(agent)?.slots.get_mut(&task)
    }
}
