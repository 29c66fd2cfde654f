//! Which is at fault, the worker or the job.
//!
//! A worker with a broken disk fails everything it starts, and because it fails fast it draws
//! ever more work. A broken release of a service fails on every worker, and must not have them
//! set aside one by one. Both show as failed attempts; what tells them apart is who else failed:
//!
//! - A worker is to blame when several different jobs failed there in a row, and their kinds
//!   don't fail elsewhere.
//! - A kind is to blame when it failed on several workers since it last succeeded anywhere. Its
//!   failures then count against no worker.
//!
//! Single broken jobs of a sound kind are bounded by the job's own number of tries.

use crate::core::types::{JobId, Map};

/// The bounds by which blame is laid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthRules {
    /// Different jobs in a row that have to fail for a worker to be blamed.
    pub streak: usize,
    /// Workers on which a kind has to fail for the kind to be blamed instead.
    pub spread: usize,
}

impl Default for HealthRules {
    fn default() -> Self {
        Self {
            streak: 3,
            spread: 3,
        }
    }
}

/// The outcome of judging a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blame {
    /// Nobody yet.
    Open,
    /// The worker.
    Worker,
}

/// Failures of workers and of kinds since their last success.
#[derive(Clone, Debug, Default)]
pub struct Health {
    rules: HealthRules,
    workers: Map<u32, Vec<Failure>>,
    kinds: Map<u32, Vec<u32>>,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    job: JobId,
    kind: Option<u32>,
}

impl Health {
    /// An empty record under these rules.
    pub fn new(rules: HealthRules) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// An attempt succeeded on a worker; both it and the kind are sound.
    pub fn succeeded(&mut self, worker: u32, kind: u32) {
        self.workers.remove(&worker);
        self.kinds.remove(&kind);
    }

    /// An attempt failed. `kind` is `None` if it never began, which no kind can be blamed for.
    pub fn failed(&mut self, worker: u32, job: JobId, kind: Option<u32>) -> Blame {
        if let Some(kind) = kind {
            self.note_kind(kind, worker);
        }
        self.note_worker(worker, Failure { job, kind });
        let counted = self.workers[&worker]
            .iter()
            .filter(|failure| !failure.kind.is_some_and(|kind| self.blames_kind(kind)))
            .count();
        if counted >= self.rules.streak {
            Blame::Worker
        } else {
            Blame::Open
        }
    }

    /// Whether the kind fails everywhere.
    pub fn blames_kind(&self, kind: u32) -> bool {
        self.kinds
            .get(&kind)
            .is_some_and(|workers| workers.len() >= self.rules.spread)
    }

    /// Forgets a worker, when it was repaired, replaced or set aside.
    pub fn forget(&mut self, worker: u32) {
        self.workers.remove(&worker);
    }

    fn note_kind(&mut self, kind: u32, worker: u32) {
        let workers = self.kinds.entry(kind).or_default();
        if workers.len() < self.rules.spread && !workers.contains(&worker) {
            workers.push(worker);
        }
    }

    /// Keeps twice the streak, so that failures of a blamed kind don't push others out at once.
    fn note_worker(&mut self, worker: u32, failure: Failure) {
        let failures = self.workers.entry(worker).or_default();
        failures.retain(|known| known.job != failure.job);
        failures.push(failure);
        if failures.len() > 2 * self.rules.streak {
            failures.remove(0);
        }
    }
}
