//! Counters and gauges at `/metrics`.
//!
//! Every refusal and retry reason has its counter from the start, at zero, so that a rate can be
//! taken over the first one. Labels come from the enums that decide, never from text of their
//! own.

use std::fmt;

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::core::{
    outcome::{NotRun, Outcome, Retry, Unknown},
    types::Name,
};

/// The label `reason`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Reason {
    reason: &'static str,
}

/// The label `outcome`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Ended {
    outcome: &'static str,
}

/// The label `name`: a service, a pool or a preset.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Named {
    name: String,
}

/// A gauge for each name of one kind.
#[derive(Clone, Debug, Default)]
pub struct Named64(Family<Named, Gauge>);

impl Named64 {
    /// Sets the gauge of one name.
    pub fn set(&self, name: &Name, value: i64) {
        let name = name.to_string();
        self.0.get_or_create(&Named { name }).set(value);
    }

    /// Forgets every name, before all are set anew.
    pub fn clear(&self) {
        self.0.clear();
    }
}

/// All counters and gauges of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    outcomes: Family<Ended, Counter>,
    not_run: Family<Reason, Counter>,
    unknown: Family<Reason, Counter>,
    retries: Family<Reason, Counter>,
    /// Requests that wait for a slot.
    pub waiting: Gauge,
    /// Requests sent and not ended.
    pub in_flight: Gauge,
    /// Minions that take work.
    pub minions: Gauge,
    /// 1 while this node leads the shared log.
    pub leading: Gauge,
    /// The term of the shared log.
    pub term: Gauge,
    /// The last log index applied here.
    pub applied: Gauge,
    /// The version of the configuration that this node acts under; 0 while it is cut off.
    pub acting: Gauge,
    /// Milliseconds left of this node's configuration lease.
    pub lease: Gauge,
    /// Claims of idempotency keys held.
    pub claims: Gauge,
    /// Messages that the mesh could not queue.
    pub dropped: Counter,
    /// Bytes that the mesh sent, websocket headers included.
    pub mesh_sent: Counter,
    /// Bytes that the mesh received, websocket headers included.
    pub mesh_received: Counter,
    /// Commands of operators that were refused.
    pub refused: Counter,
    /// 1 for the preset in force, 0 for the others.
    pub preset: Named64,
    /// Minions that a service could lose before its budget is spent.
    pub budget: Named64,
    /// Hosts held idle by each pool.
    pub buffer: Named64,
    /// Jobs displaced since this node began to lead.
    pub moves: Counter,
    /// Jobs that wait for a host.
    pub queued: Gauge,
    /// Jobs that run.
    pub running: Gauge,
    /// Jobs whose outcome an operator must settle.
    pub unresolved: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// All at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("egretpin"),
            outcomes: Family::default(),
            not_run: Family::default(),
            unknown: Family::default(),
            retries: Family::default(),
            waiting: Gauge::default(),
            in_flight: Gauge::default(),
            minions: Gauge::default(),
            leading: Gauge::default(),
            term: Gauge::default(),
            applied: Gauge::default(),
            acting: Gauge::default(),
            lease: Gauge::default(),
            claims: Gauge::default(),
            dropped: Counter::default(),
            mesh_sent: Counter::default(),
            mesh_received: Counter::default(),
            refused: Counter::default(),
            preset: Named64::default(),
            budget: Named64::default(),
            buffer: Named64::default(),
            moves: Counter::default(),
            queued: Gauge::default(),
            running: Gauge::default(),
            unresolved: Gauge::default(),
        };
        metrics.zero();
        metrics.register();
        metrics
    }

    /// Counts the end of a request.
    pub fn ended(&self, outcome: &Outcome) {
        let label = match outcome {
            Outcome::Answered => "answered",
            Outcome::NotRun { reason, .. } => {
                count(&self.not_run, reason.label());
                "not_run"
            }
            Outcome::Unknown { reason } => {
                count(&self.unknown, reason.label());
                "unknown"
            }
        };
        self.outcomes.get_or_create(&Ended { outcome: label }).inc();
    }

    /// Counts a try that follows another.
    pub fn retried(&self, reason: Retry) {
        count(&self.retries, reason.label());
    }

    /// The text that `/metrics` serves.
    ///
    /// # Errors
    ///
    /// Never for a string; the error is that of the formatter.
    pub fn render(&self) -> Result<String, fmt::Error> {
        let mut out = String::new();
        text::encode(&mut out, &self.registry)?;
        Ok(out)
    }

    fn zero(&self) {
        for outcome in ["answered", "not_run", "unknown"] {
            let _ = self.outcomes.get_or_create(&Ended { outcome });
        }
        for reason in NotRun::ALL {
            let _ = family(&self.not_run, reason.label());
        }
        for reason in Unknown::ALL {
            let _ = family(&self.unknown, reason.label());
        }
        for reason in Retry::ALL {
            let _ = family(&self.retries, reason.label());
        }
    }

    fn register(&mut self) {
        self.register_requests();
        self.register_node();
        self.register_fleet();
    }

    fn register_requests(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Ended requests", self.outcomes.clone());
        r.register("refusals", "Requests not run", self.not_run.clone());
        r.register(
            "unknowns",
            "Requests that may have run",
            self.unknown.clone(),
        );
        r.register(
            "retries",
            "Tries that followed another",
            self.retries.clone(),
        );
        r.register(
            "waiting",
            "Requests that wait for a slot",
            self.waiting.clone(),
        );
        r.register(
            "in_flight",
            "Requests sent and not ended",
            self.in_flight.clone(),
        );
        r.register("minions", "Minions that take work", self.minions.clone());
    }

    fn register_node(&mut self) {
        let r = &mut self.registry;
        r.register("leading", "1 while this node leads", self.leading.clone());
        r.register("term", "Term of the shared log", self.term.clone());
        r.register("applied", "Last log index applied", self.applied.clone());
        r.register(
            "acting_version",
            "Configuration acted under",
            self.acting.clone(),
        );
        r.register("lease_ms", "Configuration lease left", self.lease.clone());
        r.register("claims", "Claims of idempotency keys", self.claims.clone());
        r.register("mesh_dropped", "Messages not queued", self.dropped.clone());
        r.register(
            "mesh_sent_bytes",
            "Bytes that the mesh sent",
            self.mesh_sent.clone(),
        );
        r.register(
            "mesh_received_bytes",
            "Bytes that the mesh received",
            self.mesh_received.clone(),
        );
        r.register(
            "commands_refused",
            "Operators' commands refused",
            self.refused.clone(),
        );
    }

    fn register_fleet(&mut self) {
        let r = &mut self.registry;
        r.register("preset", "1 for the preset in force", self.preset.0.clone());
        r.register(
            "budget_left",
            "Minions a service may lose",
            self.budget.0.clone(),
        );
        r.register("buffer_hosts", "Hosts held idle", self.buffer.0.clone());
        r.register("moves", "Jobs displaced", self.moves.clone());
        r.register("jobs_queued", "Jobs that wait", self.queued.clone());
        r.register("jobs_running", "Jobs that run", self.running.clone());
        r.register(
            "jobs_unresolved",
            "Jobs to be settled",
            self.unresolved.clone(),
        );
    }
}

fn family(family: &Family<Reason, Counter>, reason: &'static str) -> Counter {
    family.get_or_create(&Reason { reason }).clone()
}

fn count(counters: &Family<Reason, Counter>, reason: &'static str) {
    family(counters, reason).inc();
}
