//! Decides, for the leader, which tasks to start, renew and stop, and on which agents.
//!
//! A [`Scheduler`] exists for one leader's term. It is told of changes to the ledger, of agents'
//! heartbeats and of the answers to its orders. [`Scheduler::plan`] returns what to commit and
//! which orders to send. No start is sent before its attempt is committed, and no end of an attempt
//! is acknowledged to its agent before that end is committed.
//!
//! # When an attempt is abandoned
//!
//! An order that got no answer may have been carried out, or may still be carried out later. So an
//! attempt is abandoned only if one of these shows that it isn't running and never will:
//!
//! - the agent refused its start, and every earlier start of the attempt was answered;
//! - the agent acknowledged a stop, after which it refuses the attempt;
//! - the agent has seen this leader's term and reports the attempt neither as running nor as ended:
//!   from then on it refuses orders of earlier terms;
//! - the agent's incarnation has terminated;
//! - the agent's lease has expired by the agent's own clock. The last lease that was sent counts,
//!   whether or not it arrived.
//!
//! Which incarnation runs at an address is known only from what answers there. An order names the
//! agent that it is for, and an agent of another name refuses it. A later incarnation of the same
//! agent accepts it, and only its reports show that it is another incarnation. So an attempt that
//! was ordered of one incarnation and never seen there is stopped at the next incarnation before it
//! is abandoned. The leader also waits for a report of that next incarnation, which tells whether
//! the attempt had already ended.
//!
//! A heartbeat alone never marks another incarnation as terminated, because it may arrive late. An
//! agent that is heard from for the first time gets no work until it has answered an order; its
//! answer marks the incarnations that were known there before as terminated.
//!
//! # Start deadlines
//!
//! A start is decided by what is known at that time: that its agent isn't leaving, that its job
//! continues, and that its workspace's cap leaves room. Any of these may change while the start
//! waits for its agent to answer, is retried, or is held in a relay that has stalled. So each start
//! must begin by a *deadline*, counted from its decision. The leader doesn't send it later, and the
//! lease that it carries ends then, so the agent refuses a start that arrives later, whatever
//! delayed it. A leaving agent is notified that its leaving is known only after everything that was
//! decided for it, and accepts no start once the time to the deadline has passed since then.
//!
//! # Orders of earlier leaders
//!
//! Orders aren't committed. The one exception is what the next leader couldn't find out otherwise:
//! that an order about a host was about to be sent. Everything else a successor learns from the
//! agents that got the orders. Until it has, it assumes that the orders were given. Once an agent
//! has seen this term, it accepts no order of an earlier term. Whatever an earlier leader told the
//! agent to stop has then ended when the longest time that a stop takes has passed, so what the
//! agent reports as running after that time had not been told to stop.

mod admission;
mod agent;
mod agents;
pub mod allocation;
mod answers;
mod attempts;
mod balance;
mod caps;
mod changes;
mod delayed;
mod demand;
mod domains;
mod eligible;
mod exclusions;
mod forecast;
mod host_intents;
mod host_orders;
mod hosts;
mod jobs;
mod learned;
mod leases;
mod losses;
mod occurrences;
mod operations;
mod order;
mod overdue;
mod overruns;
mod owner_queue;
mod place;
mod poison_queues;
mod presence;
mod pressure;
mod probes;
mod ready;
mod search;
mod shares;
mod size_classes;
mod starts;
mod strays;
mod suspects;
mod throttle;
mod unit;
mod vacating;
mod waves;
mod workspace_usage;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

pub use self::{
    admission::JobRefusal,
    delayed::{Candidates, DelayReason, DelayedTask},
    eligible::MAX_OPEN_QUESTIONS,
    host_orders::OrderLimits,
    order::{
        AgentTime, Answer, Ended, HostState, HostView, Order, OrderId, OrderKind, Refusal, Report,
        Running, StartOrder, Target,
    },
    overdue::OverdueRenewals,
};
use self::{
    admission::StartRate,
    agent::{Agent, Phase, Slot},
    agents::Agents,
    caps::Proposed,
    delayed::AwayTasks,
    domains::Homes,
    eligible::{Eligible, Question},
    exclusions::Exclusions,
    host_intents::HostIntents,
    hosts::Hosts,
    learned::TaskTimes,
    losses::Losses,
    occurrences::Occurrences,
    overruns::Overruns,
    poison_queues::Completions,
    pressure::Pressure,
    probes::Probes,
    ready::{ReadyQueue, ReadyStep},
    shares::ShareTimes,
    suspects::Suspects,
    workspace_usage::WorkspaceUsage,
};
use super::{
    admission::{Admission, outstanding::Outstanding},
    catalog::{Catalog, JobId},
    command::{AgentRecord, Command, EndBatch, Placement, ReportedEnd, Round},
    footprint::Budget,
    job::{Job, JobState, StepId, Task, TaskId},
    ledger::{Change, Ledger},
    recent_starts::MAX_OPEN_ROUNDS,
    spec::{Occurrence, StepIx, StepSpec, TaskIx},
};
use crate::core::{
    consensus::{Room, Term},
    types::{HostId, Map, MinionId, Name, Now, PoolId, Wall, WaveId},
};

/// The most commands of a plan besides those that record ends of agents and maintenance: one that
/// forgets jobs, and a round.
const OTHER_COMMANDS: usize = 2;
/// Maximum number of starts in one round unless set otherwise; keeps a log entry far smaller than
/// one message.
const ROUND_STARTS: usize = 64;
/// Maximum number of starts of one step in a round. The round ends with the step that fills it.
const MAX_STEP_STARTS: usize = 1024;
/// Delay from an answer to the next renewal, while there is time. Ends that come within it are
/// reported together.
const RENEWAL_GAP: Duration = Duration::from_millis(25);
/// How long a renewal may wait for an end, at an agent that runs batch tasks and at one that runs
/// only long-running ones. A dead agent is noticed only after this wait, and each poll costs.
const RENEWAL_WAIT: (Duration, Duration) =
    (Duration::from_millis(700), Duration::from_millis(1500));
/// The same wait at an agent that runs best-effort tasks beside latency-sensitive ones: the time
/// until the effect of a throttle can be measured.
const BEST_EFFORT_WAIT: Duration = Duration::from_millis(600);
/// Delay between polls of an agent that runs nothing, if it has unacknowledged ends or may run an
/// attempt that isn't placed there. Each poll costs.
const IDLE_POLL_DELAY: Duration = Duration::from_millis(1200);
/// Delay from a start or stop that got no answer to the next try.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay from a failed renewal to the next one.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long renewals may keep failing before they no longer extend the lease, so that it expires
/// eventually.
const EXTENSION_LIMIT: Duration = Duration::from_millis(1500);
/// Delay from sending a renewal that fails until the provider is asked whether the agent's host is
/// still there.
const PROVIDER_QUERY_DELAY: Duration = Duration::from_millis(300);
/// A start isn't sent within this time before its deadline: it may take as long to arrive, and a
/// renewal has to follow before the lease that it carries expires.
const START_MARGIN: Duration = Duration::from_millis(300);
/// How often a start is sent before the attempt is abandoned.
const MAX_START_TRIES: u32 = 4;
/// The longest that an order without an answer may be in transit, as operators have stated for
/// their agents.
const MAX_ORDER_TRANSIT: Duration = Duration::from_millis(12_500);

/// Time limits of the agents, the provider and the scheduler itself.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The longest lease that an agent accepts.
    pub lease: Duration,
    /// An agent that wasn't heard from for this long gets no new work.
    pub max_silence: Duration,
    /// Time that must pass between the last order of one leader about a host and the first order of
    /// another.
    pub handover_delay: Duration,
    /// The longest that an agent takes to carry out a stop.
    pub max_stop: Duration,
    /// How long a start may still begin at an agent after the agent was notified that its leaving
    /// is known.
    pub start_window: Duration,
    /// How long a job that is over is kept at least.
    pub retention: Duration,
    /// Maximum number of starts in one round.
    pub round_starts: usize,
    /// How many tasks may have been placed without being done; beyond, only those are started that
    /// were placed before.
    pub max_tasks: u64,
    /// How many orders about hosts may be given.
    pub host_orders: OrderLimits,
    /// Whether a fleet that is too small for all pools goes first to work that can be in time.
    pub allocate_hosts: bool,
    /// Whether jobs that can't be done in their time are refused.
    pub admission: bool,
    /// The unit to which the times are rounded up that refused callers are told; zero if they aren't.
    pub return_unit: Duration,
    /// Whether workspaces have shares of a pool that they contend for.
    pub workspace_shares: bool,
    /// Whether the tasks of a batch job are placed in one data centre as far as that costs no
    /// waiting, and nothing new in a data centre that is cut off. For deployments that may lose a
    /// data centre.
    pub colocate_jobs: bool,
    /// Which protections are on; for tests.
    pub protections: Protections,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            max_silence: Duration::from_secs(4),
            handover_delay: Duration::from_secs(3),
            max_stop: Duration::from_secs(1),
            start_window: Duration::from_secs(6),
            retention: Duration::from_secs(180),
            round_starts: ROUND_STARTS,
            max_tasks: Budget::default().tasks,
            host_orders: OrderLimits::default(),
            allocate_hosts: false,
            admission: false,
            return_unit: Duration::from_secs(1),
            workspace_shares: false,
            colocate_jobs: false,
            protections: Protections::default(),
        }
    }
}

/// Test-only switches, each of which turns off one protection, so that a test can show that the
/// check of a guarantee detects its absence. Leave them all on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protections {
    /// A start that got no answer counts as possibly carried out, whatever the answer to a later
    /// one was.
    pub strays: bool,
    /// Attempts at an agent that doesn't answer are abandoned only when its lease has expired.
    pub lease: bool,
    /// A new leader abandons attempts that its predecessors placed only once the agent has seen its
    /// term.
    pub inherit: bool,
    /// A host is recorded in the log before an order about it goes out, so that the next leader
    /// waits.
    pub intents: bool,
    /// A host is maintained only when it is empty, or when the budgets allow all that it runs to be
    /// away.
    pub budget: bool,
    /// A task that a predecessor may have told to stop counts as away until an agent has shown that
    /// it wasn't stopped.
    pub inherited_stops: bool,
    /// Agents without placed attempts are polled while something may still run there.
    pub polls: bool,
    /// The loss of a host counts against the tasks that ran there.
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
            intents: true,
            budget: true,
            inherited_stops: true,
            polls: true,
            suspicion: true,
            caps: true,
            deadlines: true,
        }
    }
}

/// The result of [`Scheduler::plan`].
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Commands to commit, in order.
    pub commands: Vec<Command>,
    /// Orders to send at once.
    pub orders: Vec<Order>,
    /// For each attempt placed since the last plan, how long before that its agent was last heard
    /// from.
    pub agent_ages: Vec<Duration>,
    /// For each start sent since the last plan, the time from its decision to sending it.
    pub start_delays: Vec<Duration>,
    /// For each start committed since the last plan, the time from its decision to its commit.
    pub commit_delays: Vec<Duration>,
    /// For each start answered since the last plan, the time from sending it to its answer.
    pub answer_delays: Vec<Duration>,
    /// The agents whose renewals are overdue, if there are any; once a second at most.
    pub overdue: Option<OverdueRenewals>,
    /// How many agents and waiting steps were visited to make this plan, and since the last one.
    pub visits: Visits,
}

/// How many agents and waiting steps were visited, by what for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Visits {
    /// Answers, heartbeats and applied commands.
    pub inputs: usize,
    /// Ends of agents, and operations on hosts.
    pub hosts: usize,
    /// The search for tasks to start and for their agents.
    pub search: usize,
    /// Orders, and what is due at agents.
    pub orders: usize,
}

impl Visits {
    /// All of them.
    pub fn total(self) -> usize {
        self.inputs + self.hosts + self.search + self.orders
    }

    /// Adds those of another plan.
    pub fn add(&mut self, other: Self) {
        self.inputs += other.inputs;
        self.hosts += other.hosts;
        self.search += other.search;
        self.orders += other.orders;
    }
}

/// Starts that are decided and not confirmed by their agents, by what they wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnconfirmedStarts {
    /// Their commit.
    pub uncommitted: usize,
    /// Being sent, for the first time or again.
    pub unsent: usize,
    /// The answers of their agents.
    pub unanswered: usize,
}

impl UnconfirmedStarts {
    /// All of them.
    pub fn total(self) -> usize {
        self.uncommitted + self.unsent + self.unanswered
    }
}

/// The state of one leader's scheduling decisions.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    term: Term,
    started_at: Now,
    catalog: Arc<Catalog>,
    agents: Agents,
    ready: ReadyQueue,
    /// Where batch jobs are kept; empty unless [`Settings::colocate_jobs`] is set.
    homes: Homes,
    occurrences: Occurrences,
    /// Jobs that are over and when this leader learnt of it, ordered by that time.
    ended_jobs: VecDeque<(Now, JobId)>,
    /// When each job that this leader knows was accepted, by the leader's clock.
    accepted_at: Map<JobId, Now>,
    /// Orders without an answer so far.
    pending: Map<OrderId, Pending>,
    last_order: OrderId,
    /// Ends that agents reported and that aren't proposed yet.
    ends: BTreeMap<MinionId, EndBatch>,
    /// Attempts that certainly don't run, to be committed as such.
    abandoned: Vec<Placement>,
    /// Attempts that may never have started, which a successor has to know: the log shows only
    /// those of the last rounds.
    not_started: Vec<Placement>,
    /// Jobs whose gangs have failed too often, as was found when they were to be placed.
    failed_gangs: Vec<JobId>,
    /// Incarnations that have terminated, to be committed as such.
    terminated: BTreeSet<MinionId>,
    /// Incarnations whose end is being committed.
    ending: BTreeSet<MinionId>,
    /// Incarnations that a later one of the same agent has replaced and that aren't yet removed.
    replaced: BTreeSet<MinionId>,
    /// Until when a start sent by this leader that got no answer may still be carried out, by
    /// agent. Agents that were taken for lost are included.
    strays: BTreeMap<MinionId, Now>,
    /// Rounds that were proposed and aren't applied yet.
    open_rounds: usize,
    /// The pool whose starts last filled a round.
    last_filled: Option<PoolId>,
    /// The attempts that these rounds place, summed by workspace.
    proposed: Proposed,
    /// What the workspaces have of the pools.
    usage: WorkspaceUsage,
    share_times: ShareTimes,
    hosts: Hosts,
    intents: HostIntents,
    eligible: Eligible,
    /// How long the tasks of each pool take.
    learned: BTreeMap<PoolId, TaskTimes>,
    overruns: Overruns,
    exclusions: Exclusions,
    pressure: Pressure,
    suspects: Suspects,
    probes: Probes,
    losses: Losses,
    completions: Completions,
    /// The batch work of accepted jobs that isn't done.
    outstanding: Outstanding,
    admission: Admission,
    /// How many tasks the leader starts.
    starts: StartRate,
    away: AwayTasks,
    /// When overdue renewals may be reported again; `None` if at once.
    overdue_due: Option<Now>,
    /// Hosts whose maintenance has begun, by wave, to be committed as such.
    maintained: BTreeSet<(WaveId, HostId)>,
    orders: Vec<Order>,
    /// See [`Plan::agent_ages`].
    agent_ages: Vec<Duration>,
    /// See [`Plan::start_delays`].
    start_delays: Vec<Duration>,
    /// See [`Plan::commit_delays`].
    commit_delays: Vec<Duration>,
    /// See [`Plan::answer_delays`].
    answer_delays: Vec<Duration>,
    /// Whether an agent has seen a later leader.
    superseded: bool,
}

/// An order without an answer so far.
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
    /// A stop of an attempt that isn't placed at the agent.
    StopUnplaced(MinionId),
    Renew {
        agent: MinionId,
        acked: u64,
        /// Whether it extends the lease.
        extends: bool,
    },
    Hosts,
    Operation(HostId),
    /// A question which agents may run a step.
    Eligible(Question),
}

impl Scheduler {
    /// Creates the scheduler of a leader whose term begins now, from what its predecessors
    /// committed.
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
            started_at: now,
            catalog,
            agents: Agents::new(settings.colocate_jobs),
            ready: ReadyQueue::with_shares(settings.workspace_shares),
            homes: Homes::default(),
            occurrences: Occurrences::default(),
            ended_jobs: VecDeque::new(),
            accepted_at: Map::default(),
            pending: Map::default(),
            last_order: 0,
            ends: BTreeMap::new(),
            abandoned: Vec::new(),
            not_started: Vec::new(),
            failed_gangs: Vec::new(),
            terminated: BTreeSet::new(),
            ending: BTreeSet::new(),
            replaced: BTreeSet::new(),
            strays: BTreeMap::new(),
            open_rounds: 0,
            last_filled: None,
            proposed: Proposed::default(),
            usage: WorkspaceUsage::default(),
            share_times: ShareTimes::default(),
            hosts: Hosts::new(settings.host_orders),
            intents: HostIntents::new(now, settings.handover_delay, ledger.intents()),
            eligible: Eligible::default(),
            learned: BTreeMap::new(),
            overruns: Overruns::default(),
            exclusions: Exclusions::default(),
            pressure: Pressure::default(),
            suspects: Suspects::default(),
            probes: Probes::default(),
            losses: Losses::new(now, ledger.failure_rate()),
            completions: Completions::default(),
            outstanding: Outstanding::default(),
            admission: Admission::new(settings.return_unit),
            starts: StartRate::default(),
            away: AwayTasks::default(),
            overdue_due: None,
            maintained: BTreeSet::new(),
            orders: Vec::new(),
            agent_ages: Vec::new(),
            start_delays: Vec::new(),
            commit_delays: Vec::new(),
            answer_delays: Vec::new(),
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
            let age = wall.saturating_sub(job.accepted_at);
            scheduler.count_offer(now, age, job);
            if job.has_ended() {
                // An earlier leader may not have stopped all of the job's attempts. How long ago
                // the job ended is unknown, as wall clocks jump, so its retention starts anew.
                scheduler.end_job(now, ledger, id);
                continue;
            }
            scheduler.accepted_at.insert(id, now.saturating_sub(age));
            scheduler.open_job(now, wall, id, job);
            for (task, evidence) in job.task_evidence(id) {
                scheduler.record_evidence(job, task, evidence);
            }
        }
        scheduler.inherit_probes();
        scheduler.inherit_homes(ledger);
        scheduler
    }

    /// Switches to another catalog.
    pub fn set_catalog(&mut self, now: Now, catalog: Arc<Catalog>, ledger: &Ledger) {
        self.catalog = catalog;
        let steps: Vec<_> = self.ready.iter().map(|(step, _)| step).collect();
        for steps in steps.chunk_by(|one, next| one.job == next.job) {
            let Some(job) = steps.first().and_then(|step| ledger.job(step.job)) else {
                continue;
            };
            let times = self.job_times(job);
            for step in steps {
                self.open_step_within(now, *step, job, &times);
            }
        }
        self.reassign_work(ledger);
    }

    /// Whether an agent has seen a later leader, so that this one must stop.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Takes in an agent's heartbeat, with the agent's record and its clock. Returns the command to
    /// commit for it, if there is one.
    ///
    /// A heartbeat may be late: it may arrive after its sender has terminated, or after newer
    /// heartbeats. If there is nothing to commit, the heartbeat may be acknowledged. So an older
    /// heartbeat that says that the agent is leaving is proposed as well until the leaving is
    /// committed, even if a newer heartbeat with the same content is already being committed.
    pub fn heartbeat(
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
            None => !older && !ledger.is_stale(record),
        };
        news.then(|| Command::Agent(Box::new(record.clone())))
    }

    /// Takes in a command that was applied and changed something.
    pub fn apply(
        &mut self,
        now: Now,
        wall: Wall,
        ledger: &Ledger,
        command: &Command,
        changes: &[Change],
    ) {
        for change in changes {
            self.apply_change(now, wall, ledger, change);
        }
        if let Command::Round(round) = command {
            self.open_rounds = self.open_rounds.saturating_sub(1);
            for start in &round.starts {
                self.proposed.remove(start.task);
                self.confirm_start(now, ledger, start);
            }
            self.intent_applied(now, round);
        }
    }

    /// Decides what to commit and what to order now.
    ///
    /// `room` is how many commands consensus accepts. What the plan says to commit is never offered
    /// again, so nothing is decided that needs more: what was learnt stays here until there is room
    /// for all of it. What needs more than half of an empty log is committed in parts, as soon as
    /// half of the log is free. Orders don't depend on it.
    pub fn plan(&mut self, now: Now, wall: Wall, ledger: &Ledger, room: Room) -> Plan {
        if self.superseded {
            return Plan::default();
        }
        let inputs = self.take_visits();
        self.agents.mark_due(now);
        self.open_due_occurrences(now, wall, ledger);
        self.retire_replaced(now);
        self.terminated
            .retain(|agent| ledger.agent(agent).is_some() && !self.ending.contains(agent));
        let half = (room.most / 2).max(OTHER_COMMANDS);
        let has_room = self.max_commands().min(half) <= room.now;
        let mut commands = Vec::new();
        if has_room {
            commands = self.housekeeping_commands(now, wall, room.now);
        }
        self.expire_leases(now);
        self.forget_strays(now);
        self.manage_hosts(now, wall, ledger);
        let hosts = self.take_visits();
        if has_room && self.open_rounds < MAX_OPEN_ROUNDS {
            let round = self.build_round(now, wall, ledger);
            if !round.is_empty() {
                self.open_rounds += 1;
                commands.push(Command::Round(round));
            }
        }
        let search = self.take_visits();
        let stirred = self.agents.dirty();
        self.send_starts(now, ledger, &stirred);
        self.send_stops(now, &stirred);
        self.renew(now, &stirred);
        self.schedule_agents(now);
        self.check_delayed(now, ledger);
        let overdue = self.report_overdue(now);
        Plan {
            commands,
            orders: std::mem::take(&mut self.orders),
            agent_ages: std::mem::take(&mut self.agent_ages),
            start_delays: std::mem::take(&mut self.start_delays),
            commit_delays: std::mem::take(&mut self.commit_delays),
            answer_delays: std::mem::take(&mut self.answer_delays),
            overdue,
            visits: Visits {
                inputs,
                hosts,
                search,
                orders: self.take_visits(),
            },
        }
    }

    /// The number of visits of agents and waiting steps since the last call.
    fn take_visits(&self) -> usize {
        self.agents.take_visits() + self.ready.take_visits()
    }

    /// The most commands that a plan can have now.
    fn max_commands(&self) -> usize {
        self.terminated.len() + self.maintained.len() + OTHER_COMMANDS
    }

    /// The commands that record ends of agents and maintenance, and forget jobs, leaving room for a
    /// round.
    fn housekeeping_commands(&mut self, now: Now, wall: Wall, room: usize) -> Vec<Command> {
        let records = room.saturating_sub(OTHER_COMMANDS);
        let gone = take_first(&mut self.terminated, records);
        let mut commands = self.loss_commands(now, wall, &gone);
        self.ending.extend(gone.iter().cloned());
        for (wave, host) in take_first(&mut self.maintained, records - gone.len()) {
            let hosts = vec![host];
            commands.push(Command::Maintained { wave, hosts });
        }
        commands.extend(self.forget_jobs(now));
        commands
    }

    /// Makes the next plan visit all agents instead of only those that have something due. The
    /// decisions are the same; tests compare the two.
    pub fn visit_all(&mut self) {
        self.agents.mark_all_dirty();
    }

    /// How many hosts the pools need beyond those that there are, as of the last check.
    pub fn missing_hosts(&self) -> usize {
        self.hosts.missing
    }

    /// How many tasks wait to be started.
    pub fn waiting(&self) -> usize {
        let waiting = self.ready.iter().map(|(_, ready)| ready.free.len());
        usize::try_from(waiting.sum::<u64>()).unwrap_or(usize::MAX)
    }

    /// How many attempts are placed.
    pub fn placed(&self) -> usize {
        self.agents.values().map(|agent| agent.slots.len()).sum()
    }

    /// How many starts are decided and not confirmed, by what they wait for. Visits all attempts.
    pub fn unconfirmed_starts(&self) -> UnconfirmedStarts {
        let mut counts = UnconfirmedStarts::default();
        let agents = self.agents.unordered();
        let slots = agents.flat_map(|agent| agent.slots.values());
        for slot in slots {
            match slot.phase {
                Phase::Proposed => counts.uncommitted += 1,
                Phase::Due => counts.unsent += 1,
                Phase::Starting(_) => counts.unanswered += 1,
                _ => {}
            }
        }
        counts
    }

    /// How many orders have no answer so far.
    pub fn under_way(&self) -> usize {
        self.pending.len()
    }

    /// How many agents don't answer.
    pub fn unresponsive(&self) -> usize {
        let agents = self.agents.values();
        agents.filter(|agent| agent.failing_since.is_some()).count()
    }

    fn send_order(&mut self, now: Now, about: About, kind: OrderKind) -> OrderId {
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

/// Removes the first elements of a set, `count` of them at most.
fn take_first<T: Clone + Ord>(set: &mut BTreeSet<T>, count: usize) -> BTreeSet<T> {
    let first_left = set.iter().nth(count).cloned();
    let left = first_left.map_or_else(BTreeSet::new, |first| set.split_off(&first));
    std::mem::replace(set, left)
}
