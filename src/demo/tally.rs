//! What the stand-ins counted.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    api::Millis,
    core::types::{NodeId, PresetId},
    standin::caller,
};

/// What became of requests, as their callers saw it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Requests {
    /// Requests sent.
    pub sent: u64,
    /// Answers that were whole and their request's own.
    pub answered: u64,
    /// Answers that weren't the request's own.
    pub wrong: u64,
    /// Requests said not to have run, by reason.
    pub not_run: BTreeMap<String, u64>,
    /// Requests said to have an unknown outcome, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Requests that got no word, or one without an outcome.
    pub silent: u64,
}

impl Requests {
    /// Adds what a stand-in caller counted.
    pub fn add(&mut self, tally: &caller::Tally) {
        self.sent += tally.sent;
        self.answered += tally.whole;
        self.wrong += tally.wrong;
        for (outcome, count) in &tally.outcomes {
            let (outcome, reason) = outcome.split_once(':').unwrap_or((outcome, ""));
            match outcome {
                "answered" => {}
                "not-run" => *self.not_run.entry(reason.into()).or_default() += count,
                "unknown" => *self.unknown.entry(reason.into()).or_default() += count,
                _ => self.silent += count,
            }
        }
    }

    /// Adds other requests.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.wrong += other.wrong;
        self.silent += other.silent;
        for (reason, count) in &other.not_run {
            *self.not_run.entry(reason.clone()).or_default() += count;
        }
        for (reason, count) in &other.unknown {
            *self.unknown.entry(reason.clone()).or_default() += count;
        }
    }

    /// Requests said not to have run.
    pub fn all_not_run(&self) -> u64 {
        self.not_run.values().sum()
    }

    /// Requests said to have an unknown outcome.
    pub fn all_unknown(&self) -> u64 {
        self.unknown.values().sum()
    }
}

/// Requests with an idempotency key to a service that isn't idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Keys {
    /// What their callers saw.
    pub requests: Requests,
    /// Keys that ran, as the minions counted.
    pub ran: u64,
    /// Keys that ran more than once, as the minions counted.
    pub twice: u64,
}

/// Requests without a key to a service that isn't idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Unkeyed {
    /// What their callers saw.
    pub requests: Requests,
    /// Runs, as the minions counted.
    pub runs: u64,
}

/// Jobs that aren't idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Jobs {
    /// Jobs accepted.
    pub accepted: u64,
    /// Resends that were answered as another job than the first send.
    pub doubled: u64,
    /// Jobs that the platform began exactly once.
    pub once: u64,
    /// Jobs that the platform began more than once.
    pub more: u64,
    /// Jobs that succeeded.
    pub succeeded: u64,
}

/// The maintenance wave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Wave {
    /// Hosts of the pool.
    pub hosts: u64,
    /// Hosts that the platform restarted.
    pub restarted: u64,
    /// Requests while it went on.
    pub requests: Requests,
    /// How long it took.
    pub took: Millis,
}

/// What nodes acted under.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Presets {
    /// Looks at nodes.
    pub looks: u64,
    /// Times that two nodes provably acted under different configurations at once.
    pub clashes: u64,
    /// Times that a node went back to an older configuration.
    pub reversions: u64,
}

/// One change of preset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Rollout {
    /// The preset.
    pub preset: Option<PresetId>,
    /// Nodes that came to act under it.
    pub nodes: u64,
    /// From sending the change until the last of these was seen acting under it.
    pub took: Millis,
}

/// One step of the demonstration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Step {
    /// What was to happen.
    pub what: String,
    /// Whether it happened in time.
    pub done: bool,
    /// How long it took.
    pub took: Millis,
}

/// What both firms weigh.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Measures {
    /// Hosts held idle to keep promises, as the leader says.
    pub buffer: Option<u32>,
    /// Roll-out times of changes to the nodes that could be reached.
    pub rollouts: Vec<Rollout>,
    /// Jobs displaced, as the leader says.
    pub moves: Option<u64>,
}

/// All that was counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Tally {
    /// The measures.
    pub measures: Measures,
    /// The steps.
    pub steps: Vec<Step>,
    /// All requests.
    pub requests: Requests,
    /// Those with keys.
    pub keys: Keys,
    /// Those without, to a service that isn't idempotent.
    pub unkeyed: Unkeyed,
    /// Jobs.
    pub jobs: Jobs,
    /// The wave.
    pub wave: Wave,
    /// Looks at the minions of all services.
    pub budget_looks: u64,
    /// Looks that found fewer minions running than the budget of their service asks for.
    pub budget_breaks: u64,
    /// What nodes acted under.
    pub presets: Presets,
    /// Requests while an entry host was stopped.
    pub stop: Requests,
    /// The entry host that stopped, once it has.
    pub stopped: Option<NodeId>,
    /// Requests while a minion was killed.
    pub kill: Requests,
    /// Runs on a minion that leaves, from three seconds after it said so.
    pub late_runs: Option<u64>,
    /// Requests without a key in the data centre that was cut off.
    pub cut: Requests,
}
