//! Tracks what each workspace has of each pool.
//!
//! Three amounts are kept up to date as jobs and tasks change: the work of accepted batch jobs that
//! isn't done, the batch tasks that are placed or proposed to be placed, and what was offered
//! recently. All of it is soft state. A new leader rebuilds it from the ledger, except for the
//! offers of jobs that were refused.

use std::{collections::BTreeMap, time::Duration};

use super::{Job, JobId, Ledger, Now, PoolId, Scheduler, StepSpec, TaskId};
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
    /// Batch jobs that aren't over.
    jobs: Map<JobId, JobWork>,
    /// Batch tasks that are placed or proposed to be placed.
    placed: Map<TaskId, PlacedTask>,
}

/// What the workspaces have of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolUsage {
    pub(super) owners: BTreeMap<Owner, OwnerUsage>,
    /// The averaged objective of the pool's jobs in seconds.
    objective: f64,
    /// Whether the workspaces contended at the last check.
    pub(super) contended: bool,
}

/// What a workspace has of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnerUsage {
    /// Work of accepted batch jobs that isn't done, in thousandths of a core times milliseconds.
    pub(super) work: u64,
    /// Recently offered batch work, in the same unit.
    pub(super) offers: RecentOffers,
}

/// The work of a job that isn't done.
#[derive(Clone, Debug)]
struct JobWork {
    pool: PoolId,
    owner: Owner,
    left: u64,
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
    /// Work of all accepted batch jobs that isn't done.
    pub(super) fn work(&self) -> u64 {
        self.owners.values().map(|owner| owner.work).sum()
    }

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

impl WorkspaceUsage {
    fn owner(&mut self, pool: &PoolId, owner: &Owner) -> &mut OwnerUsage {
        let pool = self.pools.entry(pool.clone()).or_default();
        pool.owners.entry(owner.clone()).or_default()
    }

    /// Counts that some of a job's work is done, or all that is left of it.
    fn finish(&mut self, job: JobId, work: u64) {
        let Some(found) = self.jobs.get_mut(&job) else {
            return;
        };
        let done = work.min(found.left);
        found.left -= done;
        let (pool, owner) = (found.pool.clone(), found.owner.clone());
        self.owner(&pool, &owner).work -= done;
    }
}

impl Scheduler {
    /// Counts a job that was offered so long ago.
    pub(super) fn count_offer(&mut self, now: Now, age: Duration, job: &Job) {
        if !self.settings.workspace_shares || !is_batch(job) {
            return;
        }
        let (pool, work) = (self.pool(job), self.batch_work(job));
        let usage = self.usage.owner(&pool, &job.workspace);
        usage.offers.record(now, age, work);
    }

    /// Counts an accepted job that isn't over.
    pub(super) fn count_job(&mut self, id: JobId, job: &Job) {
        if !self.settings.workspace_shares || !is_batch(job) {
            return;
        }
        let (pool, objective) = (self.pool(job), self.objective(job));
        let run = job.runs.get(&0);
        let steps = job.spec.steps.iter().enumerate();
        let left = steps.map(|(ix, spec)| {
            let step = run.and_then(|run| run.steps.get(ix));
            let done = step.map_or(0, |step| step.done);
            u64::from(spec.tasks.saturating_sub(done)) * self.task_work(&pool, spec)
        });
        let left = left.sum();
        let owner = job.workspace.clone();
        self.usage.owner(&pool, &owner).work += left;
        if let Some(usage) = self.usage.pools.get_mut(&pool) {
            usage.record_objective(objective);
        }
        let work = JobWork { pool, owner, left };
        self.usage.jobs.insert(id, work);
    }

    /// Counts that a task is done.
    pub(super) fn count_done(&mut self, ledger: &Ledger, task: TaskId) {
        if !self.usage.jobs.contains_key(&task.step.job) {
            return;
        }
        let Some(job) = ledger.job(task.step.job) else {
            return;
        };
        if let Some(spec) = job.spec.steps.get(usize::from(task.step.step)) {
            let work = self.task_work(&self.pool(job), spec);
            self.usage.finish(task.step.job, work);
        }
    }

    /// Counts that a job is over.
    pub(super) fn count_job_end(&mut self, job: JobId) {
        self.usage.finish(job, u64::MAX);
        self.usage.jobs.remove(&job);
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

    /// The work of a task, in thousandths of a core times milliseconds; 0 if it is long-running.
    fn task_work(&self, pool: &PoolId, spec: &StepSpec) -> u64 {
        if spec.long_running {
            return 0;
        }
        let span = self.estimate(pool, spec).as_secs_f64() * 1000.0;
        (spec.reservation().millicores as f64 * span) as u64
    }
}

/// Whether a job has batch work that was asked for at once. What is scheduled for later may wait.
fn is_batch(job: &Job) -> bool {
    job.spec.recurrence.is_none() && job.spec.steps.iter().any(|step| !step.long_running)
}
