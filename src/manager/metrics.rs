//! What control and entry nodes count.
//!
//! Every reason has its counter from the start, at zero, so that a rate can be taken over the first
//! one. Labels come from the enums that decide, never from text of their own.

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

use super::ask::{Refused, Reply, Unknown};
use crate::core::workload::scheduler::{Answer, OrderKind, Refusal};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Outcome {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Ordered {
    order: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Kind {
    order: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Share {
    part: &'static str,
}

/// The parts of a turn of the control task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Inputs are taken in, and what is committed is applied.
    Take,
    /// The leader decides and gives its orders.
    Plan,
    /// Snapshots, voters, views and writes.
    Rest,
}

impl Part {
    /// The word for it.
    fn word(self) -> &'static str {
        match self {
            Self::Take => "take",
            Self::Plan => "plan",
            Self::Rest => "rest",
        }
    }
}

/// The counters, gauges and histograms of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    replies: Family<Outcome, Counter>,
    reply_time: Histogram,
    retries: Counter,
    orders: Family<Ordered, Counter>,
    order_time: Family<Kind, Histogram>,
    /// 1 while this node leads.
    pub leading: Gauge,
    /// The term of the log.
    pub term: Gauge,
    /// The last index applied here.
    pub applied: Gauge,
    /// 1 while this node votes.
    pub votes: Gauge,
    /// Voters, as this node's log has them.
    pub voters: Gauge,
    /// Those of them that this node hears.
    pub voters_heard: Gauge,
    /// Agents that are known.
    pub agents: Gauge,
    /// Tasks that wait to be started; the leader's alone.
    pub waiting: Gauge,
    /// Attempts that are placed; the leader's alone.
    pub placed: Gauge,
    /// Orders that wait for their answers; the leader's alone.
    pub under_way: Gauge,
    /// Tasks that are suspected to end the hosts that run them; the leader's alone.
    pub suspected: Gauge,
    /// Jobs that have failed since a task of theirs ends the hosts that run it; the leader's alone.
    pub convicted: Counter,
    /// 1 once this node knows its cluster.
    pub joined: Gauge,
    /// Links refused or dropped, as the peer is of another cluster.
    pub refused: Counter,
    /// The part of the last second that the thread of the tasks was busy.
    pub busy: Gauge<f64, AtomicU64>,
    input_wait: Histogram,
    batch: Histogram,
    turn_time: Family<Share, Histogram>,
    beat_age: Histogram,
    start_delay: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("egretpin"),
            replies: Family::default(),
            reply_time: times(),
            retries: Counter::default(),
            orders: Family::default(),
            order_time: Family::new_with_constructor(times),
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
            suspected: Gauge::default(),
            convicted: Counter::default(),
            joined: Gauge::default(),
            refused: Counter::default(),
            busy: Gauge::default(),
            input_wait: times(),
            batch: Histogram::new(exponential_buckets(1.0, 2.0, 9)),
            turn_time: Family::new_with_constructor(times),
            beat_age: times(),
            start_delay: times(),
        };
        metrics.register();
        metrics
    }
}

/// From a millisecond to eight seconds, which is longer than anything may take.
fn times() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

impl Metrics {
    fn register(&mut self) {
        for outcome in OUTCOMES {
            drop(self.replies.get_or_create(&Outcome { outcome }));
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
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "jobs_convicted",
            "Jobs that have failed since a task of theirs ends the hosts that run it",
            self.convicted.clone(),
        );
        registry.register(
            "links_refused",
            "Links refused or dropped, as the peer is of another cluster",
            self.refused.clone(),
        );
        registry.register(
            "busy_ratio",
            "The part of the last second that the thread of the tasks was busy",
            self.busy.clone(),
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
            "heard_age_seconds",
            "How long ago an agent was heard when something was placed there",
            self.beat_age.clone(),
        );
        registry.register(
            "start_delay_seconds",
            "How long ago a start was decided when it was sent",
            self.start_delay.clone(),
        );
    }

    /// Counts what was replied, and how long it took.
    pub fn replied(&self, reply: &Reply, took: Duration) {
        let outcome = outcome(reply);
        self.replies.get_or_create(&Outcome { outcome }).inc();
        self.reply_time.observe(took.as_secs_f64());
    }

    /// Counts a question that was sent again.
    pub fn retried(&self) {
        self.retries.inc();
    }

    /// Counts what came of an order, and how long it took.
    pub fn ordered(&self, what: &OrderKind, answer: &Answer, took: Duration) {
        let (order, outcome) = (order(what), answered(answer));
        let label = Ordered { order, outcome };
        self.orders.get_or_create(&label).inc();
        let time = self.order_time.get_or_create(&Kind { order });
        time.observe(took.as_secs_f64());
    }

    /// An input waited so long for its turn, the longest of them.
    pub fn waited(&self, wait: Duration) {
        self.input_wait.observe(wait.as_secs_f64());
    }

    /// A turn took so many inputs.
    pub fn batched(&self, inputs: usize) {
        self.batch.observe(inputs as f64);
    }

    /// A part of a turn took so long.
    pub fn turned(&self, part: Part, took: Duration) {
        let part = part.word();
        let time = self.turn_time.get_or_create(&Share { part });
        time.observe(took.as_secs_f64());
    }

    /// Something was placed at an agent that had been heard so long ago.
    pub fn placed_after(&self, age: Duration) {
        self.beat_age.observe(age.as_secs_f64());
    }

    /// A start was sent so long after it was decided.
    pub fn start_sent_after(&self, delay: Duration) {
        self.start_delay.observe(delay.as_secs_f64());
    }

    /// All of them as text.
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

/// All outcomes that a reply can have.
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

/// The word for a reply in metrics and logs.
pub fn outcome(reply: &Reply) -> &'static str {
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
        Reply::Refused(why) => why.word(),
    }
}

/// The word for an order.
pub fn order(what: &OrderKind) -> &'static str {
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

/// The word for an answer.
pub fn answered(answer: &Answer) -> &'static str {
    match answer {
        Answer::Done { .. } | Answer::Report(_) | Answer::Hosts(_) | Answer::Eligible(_) => "done",
        Answer::Restarted => "reborn",
        Answer::Elsewhere => "elsewhere",
        Answer::Silent => "silent",
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
