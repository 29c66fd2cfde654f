//! Tracks what each workspace has of each pool.
//!
//! Two amounts are kept up to date besides the outstanding work: the batch tasks that are placed or
//! proposed to be placed, and what was offered recently. Both are soft state. A new leader rebuilds
//! them from the ledger, except for the offers of jobs that were refused.

use std::{collections::BTreeMap, time::Duration};

use super::{Job, Ledger, Now, PoolId, Scheduler, StepSpec, TaskId};
use crate::core::{
    types::{Attempt, Map},
    workload::workspace_shares::{Owner, RecentOffers},
};

/// The weight of one job in the averaged objective of a pool.
const OBJECTIVE_WEIGHT: f64 = 0.05;

/// What the workspaces have of the pools.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkspaceUsage {
    pub(super) pools: BTreeMap<PoolId, PoolUsage>,
    /// Batch tasks that are placed or proposed to be placed.
    placed: Map<TaskId, PlacedTask>,
}

/// What the workspaces have of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolUsage {
    /// The batch work that each workspace has recently offered, in thousandths of a core times
    /// milliseconds.
    pub(super) offers: BTreeMap<Owner, RecentOffers>,
    /// The averaged objective of the pool's jobs in seconds.
    objective: f64,
    /// Whether the workspaces contended at the last check.
    pub(super) contended: bool,
}

/// A task that is placed.
#[derive(Clone, Debug)]
struct PlacedTask {
    attempt: Attempt,
    pool: PoolId,
    owner: Owner,
    millicores: u64,
}

impl PoolUsage {
    /// The time in which the jobs of the pool should be done.
    pub(super) fn objective(&self) -> Duration {
        Duration::from_secs_f64(self.objective)
    }

    fn record_objective(&mut self, objective: Duration) {
        let objective = objective.as_secs_f64();
        let is_first = self.objective == 0.0;
        let weight = if is_first { 1.0 } else { OBJECTIVE_WEIGHT };
        self.objective += (objective - self.objective) * weight;
    }
}

impl Scheduler {
    /// Counts a job that was offered so long ago.
    pub(super) fn count_offer(&mut self, now: Now, age: Duration, job: &Job) {
        if !self.settings.workspace_shares || !is_batch(job) {
            return;
        }
        let (work, objective) = (self.batch_work(job), self.objective(job));
        let usage = self.usage.pools.entry(self.pool(job)).or_default();
        let offers = usage.offers.entry(job.workspace.clone()).or_default();
        offers.record(now, age, work);
        usage.record_objective(objective);
    }

    /// Counts a batch task that is placed or proposed to be placed.
    pub(super) fn count_placed(
        &mut self,
        ledger: &Ledger,
        task: TaskId,
        attempt: Attempt,
        spec: &StepSpec,
    ) {
        if !self.settings.workspace_shares || spec.long_running {
            return;
        }
        let Some(job) = ledger.job(task.step.job) else {
            return;
        };
        let placed = PlacedTask {
            attempt,
            pool: self.pool(job),
            owner: job.workspace.clone(),
            millicores: spec.reservation().millicores,
        };
        self.count_unplaced(task, attempt);
        self.ready
            .add_placed(&placed.pool, &placed.owner, placed.millicores);
        self.usage.placed.insert(task, placed);
    }

    /// Counts that an attempt, or an earlier one of its task, isn't placed any more.
    pub(super) fn count_unplaced(&mut self, task: TaskId, attempt: Attempt) {
        let placed = self.usage.placed.get(&task);
        if placed.is_none_or(|placed| placed.attempt > attempt) {
            return;
        }
        if let Some(placed) = self.usage.placed.remove(&task) {
            let PlacedTask {
                pool,
                owner,
                millicores,
                ..
            } = placed;
            self.ready.remove_placed(&pool, &owner, millicores);
        }
    }
}

/// Whether a job has batch work that was asked for at once. What is scheduled for later may wait.
fn is_batch(job: &Job) -> bool {
    job.spec.recurrence.is_none() && job.spec.steps.iter().any(|step| !step.long_running)
}
