//! The metrics of control and entry nodes.
//!
//! The reply counters of `OUTCOMES` exist from the start, at zero, so that a rate covers the
//! first event, too. Label values come from the enums that decide, never from free text.

use std::{fmt, sync::atomic::AtomicU64, time::Duration};

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use super::request::{Refused, Reply, Unknown};
use crate::{
    adapters::budget::{Budget, Counts},
    core::workload::scheduler::{Answer, OrderKind, Refusal, Visits},
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct OrderLabels {
    order: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct OrderLabel {
    order: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct PeerLabel {
    peer: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct PhaseLabel {
    part: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct InputLabel {
    input: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct StageLabel {
    stage: &'static str,
}

/// The kinds of inputs of the control task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputKind {
    /// A message of consensus between control nodes, or a write that the disk has finished.
    Consensus,
    /// A heartbeat of an agent.
    Heartbeat,
    /// Any other request of a caller, an agent or an operator.
    Request,
    /// Answers to the leader's orders.
    Answers,
    /// Orders that this node executes as a relay, and their answers.
    Relayed,
    /// All else.
    Other,
}

impl InputKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 6] = [
        Self::Consensus,
        Self::Heartbeat,
        Self::Request,
        Self::Answers,
        Self::Relayed,
        Self::Other,
    ];

    /// The kind's label value.
    pub fn label(self) -> &'static str {
        match self {
            Self::Consensus => "consensus",
            Self::Heartbeat => "heartbeat",
            Self::Request => "request",
            Self::Answers => "answers",
            Self::Relayed => "relayed",
            Self::Other => "other",
        }
    }
}

/// The phases of a turn of the control task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Handles inputs and applies committed entries.
    Take,
    /// The leader decides and sends its orders.
    Plan,
    /// Takes snapshots, checks the voters, broadcasts the view and hands writes to the disk.
    Rest,
}

impl Phase {
    /// The phase's label value.
    fn label(self) -> &'static str {
        match self {
            Self::Take => "take",
            Self::Plan => "plan",
            Self::Rest => "rest",
        }
    }
}

/// The counters, gauges and histograms of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    replies: Family<OutcomeLabel, Counter>,
    reply_time: Histogram,
    retries: Counter,
    orders: Family<OrderLabels, Counter>,
    order_time: Family<OrderLabel, Histogram>,
    connection_wait: Family<PeerLabel, Histogram>,
    /// 1 while this node leads.
    pub leading: Gauge,
    /// The current term of the log.
    pub term: Gauge,
    /// The last log index that this node applied.
    pub applied: Gauge,
    /// 1 while this node votes.
    pub votes: Gauge,
    /// Number of voters according to this node's log.
    pub voters: Gauge,
    /// Number of voters that this node hears, itself included.
    pub voters_heard: Gauge,
    /// Number of known agents.
    pub agents: Gauge,
    /// Number of tasks that wait to be started. Only the leader sets it.
    pub waiting: Gauge,
    /// Number of placed attempts. Only the leader sets it.
    pub placed: Gauge,
    /// Number of orders that wait for an answer. Only the leader sets it.
    pub under_way: Gauge,
    /// The longest time for which an agent with long-running tasks has answered no renewal, in
    /// seconds. Only the leader sets it.
    pub renewal_age: Gauge<f64, AtomicU64>,
    /// Number of tasks that are suspected of crashing the hosts that run them. Only the leader sets
    /// it.
    pub suspected: Gauge,
    /// Number of hosts that the pools need beyond those that there are. Only the leader sets it.
    pub missing_hosts: Gauge,
    /// Number of reservations of refused jobs. Only the leader sets it.
    pub reservations: Gauge,
    /// Refusals of jobs that couldn't be done in their time. Only the leader counts them.
    pub refused_jobs: Counter,
    /// Refusals of jobs, agents and waves for which there was no memory. Only the leader counts them.
    pub memory_refusals: Counter,
    /// Bytes that the replicated state takes by count, without its tasks, and the number of its tasks
    /// that were placed and aren't done.
    pub state_bytes: Gauge,
    /// See [`Metrics::state_bytes`].
    pub state_tasks: Gauge,
    /// Jobs that failed because one of their tasks crashes the hosts that run it. Only the leader
    /// counts them.
    pub poison_jobs: Counter,
    /// 1 once this node knows its cluster.
    pub joined: Gauge,
    /// Links refused or dropped because the peer belongs to another cluster.
    pub links_refused: Counter,
    /// What clients hold, and what was closed or refused for want of room.
    client_bytes: Gauge,
    client_connections: Gauge,
    clients_closed: Counter,
    clients_refused: Counter,
    /// Messages with heartbeats of agents that this node took in as the leader.
    pub heartbeat_messages: Counter,
    /// Pages of the provider's list of hosts that this node decoded.
    pub list_pages: Counter,
    /// Share of the last second in which the thread that runs the tasks was busy.
    pub busy_ratio: Gauge<f64, AtomicU64>,
    input_wait: Histogram,
    batch: Histogram,
    turn_time: Family<PhaseLabel, Histogram>,
    input_time: Family<InputLabel, Histogram>,
    visits: Family<StageLabel, Counter>,
    heartbeat_age: Histogram,
    start_delay: Histogram,
    start_commit: Histogram,
    start_answer: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("egretpin"),
            replies: Family::default(),
            reply_time: duration_histogram(),
            retries: Counter::default(),
            orders: Family::default(),
            order_time: Family::new_with_constructor(duration_histogram),
            connection_wait: Family::new_with_constructor(duration_histogram),
            leading: Gauge::default(),
            term: Gauge::default(),
            applied: Gauge::default(),
            votes: Gauge::default(),
            voters: Gauge::default(),
            voters_heard: Gauge::default(),
            agents: Gauge::default(),
            waiting: Gauge::default(),
            placed: Gauge::default(),
            under_way: Gauge::default(),
            renewal_age: Gauge::default(),
            suspected: Gauge::default(),
            missing_hosts: Gauge::default(),
            reservations: Gauge::default(),
            refused_jobs: Counter::default(),
            memory_refusals: Counter::default(),
            state_bytes: Gauge::default(),
            state_tasks: Gauge::default(),
            poison_jobs: Counter::default(),
            joined: Gauge::default(),
            links_refused: Counter::default(),
            client_bytes: Gauge::default(),
            client_connections: Gauge::default(),
            clients_closed: Counter::default(),
            clients_refused: Counter::default(),
            heartbeat_messages: Counter::default(),
            list_pages: Counter::default(),
            busy_ratio: Gauge::default(),
            input_wait: duration_histogram(),
            batch: Histogram::new(exponential_buckets(1.0, 2.0, 9)),
            turn_time: Family::new_with_constructor(duration_histogram),
            input_time: Family::new_with_constructor(input_histogram),
            visits: Family::default(),
            heartbeat_age: duration_histogram(),
            start_delay: duration_histogram(),
            start_commit: duration_histogram(),
            start_answer: duration_histogram(),
        };
        metrics.register();
        metrics
    }
}

/// A histogram of durations from a millisecond to eight seconds. Nothing that is measured may take
/// longer.
fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

/// A histogram of the times of inputs, from four microseconds to a second.
fn input_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_004, 4.0, 10))
}

impl Metrics {
    fn register(&mut self) {
        for outcome in OUTCOMES {
            drop(self.replies.get_or_create(&OutcomeLabel { outcome }));
        }
        let registry = &mut self.registry;
        registry.register(
            "replies",
            "What was asked, by its outcome",
            self.replies.clone(),
        );
        registry.register(
            "reply_seconds",
            "From question to reply",
            self.reply_time.clone(),
        );
        registry.register(
            "asked_again",
            "Questions sent to a leader again",
            self.retries.clone(),
        );
        registry.register(
            "orders",
            "Orders to agents and the provider",
            self.orders.clone(),
        );
        registry.register(
            "order_seconds",
            "From order to answer",
            self.order_time.clone(),
        );
        registry.register(
            "connection_wait_seconds",
            "How long an order waited for a connection to its peer",
            self.connection_wait.clone(),
        );
        let gauges = [
            ("leading", "1 while this node leads", &self.leading),
            ("term", "The term of the log", &self.term),
            ("applied", "The last index applied here", &self.applied),
            ("votes", "1 while this node votes", &self.votes),
            (
                "voters",
                "Voters, as this node's log has them",
                &self.voters,
            ),
            (
                "voters_heard",
                "Voters that this node hears, itself included",
                &self.voters_heard,
            ),
            ("joined", "1 once this node knows its cluster", &self.joined),
            ("agents", "Agents that are known", &self.agents),
            (
                "tasks_waiting",
                "Tasks that wait to be started",
                &self.waiting,
            ),
            ("tasks_placed", "Attempts that are placed", &self.placed),
            (
                "orders_under_way",
                "Orders that wait for their answers",
                &self.under_way,
            ),
            (
                "tasks_suspected",
                "Tasks that are suspected to end the hosts that run them",
                &self.suspected,
            ),
            (
                "hosts_missing",
                "Hosts that the pools need beyond those that there are",
                &self.missing_hosts,
            ),
            (
                "jobs_reserved",
                "Refused jobs that hold reservations",
                &self.reservations,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "jobs_refused",
            "Refusals of jobs that couldn't be done in their time",
            self.refused_jobs.clone(),
        );
        registry.register(
            "memory_refusals",
            "Refusals of jobs, agents and waves for which there was no memory",
            self.memory_refusals.clone(),
        );
        registry.register(
            "state_bytes",
            "Bytes that the replicated state takes by count, without its placed tasks",
            self.state_bytes.clone(),
        );
        registry.register(
            "state_tasks",
            "Tasks that were placed and aren't done",
            self.state_tasks.clone(),
        );
        registry.register(
            "jobs_convicted",
            "Jobs that have failed since a task of theirs ends the hosts that run it",
            self.poison_jobs.clone(),
        );
        registry.register(
            "links_refused",
            "Links refused or dropped, as the peer is of another cluster",
            self.links_refused.clone(),
        );
        registry.register(
            "client_bytes",
            "Bytes that clients' requests hold, besides their connections",
            self.client_bytes.clone(),
        );
        registry.register(
            "client_connections",
            "Connections of clients, and of nodes that aren't known yet",
            self.client_connections.clone(),
        );
        registry.register(
            "client_connections_closed",
            "Connections that were closed to make room for others",
            self.clients_closed.clone(),
        );
        registry.register(
            "client_requests_refused",
            "Requests refused for want of room",
            self.clients_refused.clone(),
        );
        registry.register(
            "heartbeat_messages",
            "Messages with heartbeats of agents that this node took in as the leader",
            self.heartbeat_messages.clone(),
        );
        registry.register(
            "list_pages",
            "Pages of the provider's list of hosts that this node decoded",
            self.list_pages.clone(),
        );
        registry.register(
            "busy_ratio",
            "The part of the last second that the thread of the tasks was busy",
            self.busy_ratio.clone(),
        );
        registry.register(
            "renewal_age_seconds",
            "The longest that an agent with long-running tasks has answered no renewal",
            self.renewal_age.clone(),
        );
        registry.register(
            "input_wait_seconds",
            "The longest that an input of a turn of the control task waited for it",
            self.input_wait.clone(),
        );
        registry.register(
            "batch_inputs",
            "Inputs that one turn of the control task took",
            self.batch.clone(),
        );
        registry.register(
            "turn_seconds",
            "How long the parts of a turn of the control task took",
            self.turn_time.clone(),
        );
        registry.register(
            "input_seconds",
            "How long the control task took to handle an input",
            self.input_time.clone(),
        );
        registry.register(
            "plan_visits",
            "Agents and waiting steps that were visited to plan, by what for",
            self.visits.clone(),
        );
        registry.register(
            "heard_age_seconds",
            "How long ago an agent was heard when something was placed there",
            self.heartbeat_age.clone(),
        );
        registry.register(
            "start_delay_seconds",
            "How long ago a start was decided when it was sent",
            self.start_delay.clone(),
        );
        registry.register(
            "start_commit_seconds",
            "How long ago a start was decided when it was committed",
            self.start_commit.clone(),
        );
        registry.register(
            "start_answer_seconds",
            "How long ago a start was sent when its answer was handled",
            self.start_answer.clone(),
        );
    }

    /// Counts a reply and records how long it took.
    pub fn record_reply(&self, reply: &Reply, took: Duration) {
        let outcome = reply_label(reply);
        self.replies.get_or_create(&OutcomeLabel { outcome }).inc();
        self.reply_time.observe(took.as_secs_f64());
    }

    /// Counts a request that was sent again.
    pub fn record_retry(&self) {
        self.retries.inc();
    }

    /// Counts the answer to an order and records how long it took.
    pub fn record_answer(&self, what: &OrderKind, answer: &Answer, took: Duration) {
        let (order, outcome) = (order_label(what), answer_label(answer));
        let label = OrderLabels { order, outcome };
        self.orders.get_or_create(&label).inc();
        let time = self.order_time.get_or_create(&OrderLabel { order });
        time.observe(took.as_secs_f64());
    }

    /// Records how long an order waited for a connection to a kind of peer.
    pub fn record_connection_wait(&self, peer: &'static str, wait: Duration) {
        let time = self.connection_wait.get_or_create(&PeerLabel { peer });
        time.observe(wait.as_secs_f64());
    }

    /// Records the longest time that an input of a turn waited.
    pub fn record_wait(&self, wait: Duration) {
        self.input_wait.observe(wait.as_secs_f64());
    }

    /// Records the number of inputs of a turn.
    pub fn record_batch(&self, inputs: usize) {
        self.batch.observe(inputs as f64);
    }

    /// Records the duration of a phase of a turn.
    pub fn record_phase(&self, part: Phase, took: Duration) {
        let part = part.label();
        let time = self.turn_time.get_or_create(&PhaseLabel { part });
        time.observe(took.as_secs_f64());
    }

    /// Records how long the control task took to handle an input.
    pub fn record_input(&self, kind: InputKind, took: Duration) {
        let input = kind.label();
        let time = self.input_time.get_or_create(&InputLabel { input });
        time.observe(took.as_secs_f64());
    }

    /// Records what clients hold, and what was closed and refused for want of room.
    pub fn record_clients(&self, budget: &Budget) {
        let (bytes, connections) = budget.used();
        let gauge = |n| i64::try_from(n).unwrap_or(i64::MAX);
        self.client_bytes.set(gauge(bytes));
        self.client_connections.set(gauge(connections));
        let Counts { closed, refused } = budget.counts();
        for (counter, count) in [
            (&self.clients_closed, closed),
            (&self.clients_refused, refused),
        ] {
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    /// Counts the agents and waiting steps that were visited for a plan.
    pub fn record_visits(&self, visits: Visits) {
        let Visits {
            inputs,
            hosts,
            search,
            orders,
        } = visits;
        let stages = [
            ("inputs", inputs),
            ("hosts", hosts),
            ("search", search),
            ("orders", orders),
        ];
        for (stage, count) in stages {
            let visits = self.visits.get_or_create(&StageLabel { stage });
            visits.inc_by(u64::try_from(count).unwrap_or(u64::MAX));
        }
    }

    /// Records the age of an agent's last heartbeat when a task was placed there.
    pub fn record_heartbeat_age(&self, age: Duration) {
        self.heartbeat_age.observe(age.as_secs_f64());
    }

    /// Records the time from the decision to start an attempt until its order was sent.
    pub fn record_start_delay(&self, delay: Duration) {
        self.start_delay.observe(delay.as_secs_f64());
    }

    /// Records the time from the decision to start an attempt until it was committed.
    pub fn record_start_commit(&self, delay: Duration) {
        self.start_commit.observe(delay.as_secs_f64());
    }

    /// Records the time from sending a start until its answer was handled.
    pub fn record_start_answer(&self, delay: Duration) {
        self.start_answer.observe(delay.as_secs_f64());
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// The text can't be written.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

/// Reply outcomes whose counters exist from the start.
const OUTCOMES: [&str; 13] = [
    "done",
    "state",
    "pending",
    "catalog",
    "wave",
    "unknown_queue",
    "unknown_job",
    "unknown_wave",
    "invalid",
    "unclear",
    "no_leader",
    "no_catalog",
    "overloaded",
];

/// The label of a reply in metrics and logs.
pub fn reply_label(reply: &Reply) -> &'static str {
    match reply {
        Reply::Done => "done",
        Reply::State(_) => "state",
        Reply::Pending(_) => "pending",
        Reply::Catalog(_) => "catalog",
        Reply::Wave { .. } => "wave",
        Reply::Unknown(Unknown::Queue) => "unknown_queue",
        Reply::Unknown(Unknown::Job) => "unknown_job",
        Reply::Unknown(Unknown::Wave) => "unknown_wave",
        Reply::Denied => "denied",
        Reply::Invalid(_) => "invalid",
        Reply::Unclear => "unclear",
        Reply::Refused(Refused::NotLeader(_)) => "not_leader",
        Reply::Refused(why) => why.label(),
    }
}

/// The label of an order in metrics and logs.
pub fn order_label(what: &OrderKind) -> &'static str {
    match what {
        OrderKind::Start(_) => "start",
        OrderKind::Stop { .. } => "stop",
        OrderKind::Renew { .. } => "renew",
        OrderKind::Throttle { .. } => "throttle",
        OrderKind::Ask { .. } => "ask",
        OrderKind::Hosts => "hosts",
        OrderKind::Move { .. } => "move",
        OrderKind::Maintain { .. } => "maintain",
    }
}

/// The label of an answer in metrics and logs.
pub fn answer_label(answer: &Answer) -> &'static str {
    match answer {
        Answer::Done { .. } | Answer::Report(_) | Answer::Hosts(_) | Answer::Eligible(_) => "done",
        Answer::Restarted => "reborn",
        Answer::Elsewhere => "elsewhere",
        Answer::Silent => "silent",
        Answer::Unsent => "unsent",
        Answer::Refused { why, .. } => match why {
            Refusal::Fence => "fence",
            Refusal::Old => "old",
            Refusal::Late => "late",
            Refusal::Room => "room",
            Refusal::Busy => "busy",
            Refusal::NotInWave => "not_in_wave",
            Refusal::Unwell => "unwell",
            Refusal::Invalid => "invalid",
            Refusal::Grant => "grant",
            Refusal::Throttled => "throttled",
        },
    }
}
