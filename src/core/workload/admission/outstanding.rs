//! The outstanding work of accepted jobs: all their batch tasks that aren't done, including those of steps
//! that can't start yet.
//!
//! Work is measured in thousandths of a core times milliseconds. A job is added with the work of each of its
//! steps, and the totals are updated as its tasks are done, so that no question visits the jobs. A new
//! leader adds the jobs of its ledger.
//!
//! ```
//! use egretpin::core::workload::admission::outstanding::{JobWork, Outstanding, StepWork};
//!
//! let mut outstanding = Outstanding::default();
//! // Eight tasks of two cores and 100 ms, and then one.
//! let step = |tasks| StepWork { tasks, millicores: 2000, millis: 100 };
//! let steps = vec![step(8), step(1)];
//! outstanding.add(7, JobWork { pool: "sort".into(), workspace: None, steps });
//! assert_eq!(outstanding.total(&"sort".into()).work, 9 * 200_000);
//! outstanding.finish_task(7, 0);
//! assert_eq!(outstanding.of(&"sort".into(), None), 8 * 200_000);
//! outstanding.remove(7);
//! assert_eq!(outstanding.total(&"sort".into()).tasks, 0);
//! ```

use std::{collections::BTreeMap, ops};

use crate::core::types::{JobId, Map, PoolId, WorkspaceId};

/// The tasks of a step that aren't done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepWork {
    /// How many there are.
    pub tasks: u64,
    /// Thousandths of a core of each.
    pub millicores: u64,
    /// The expected run time of each in milliseconds.
    pub millis: u64,
}

impl StepWork {
    /// All of its tasks together.
    pub fn total(self) -> Total {
        let millicores = self.tasks.saturating_mul(self.millicores);
        Total {
            work: millicores.saturating_mul(self.millis),
            tasks: self.tasks,
            millicores,
        }
    }
}

/// The work of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobWork {
    /// The pool that runs it.
    pub pool: PoolId,
    /// The workspace that it belongs to.
    pub workspace: Option<WorkspaceId>,
    /// Its steps, by their indexes. Steps that don't count have no tasks.
    pub steps: Vec<StepWork>,
}

impl JobWork {
    /// All of its steps together.
    pub fn total(&self) -> Total {
        let totals = self.steps.iter().map(|step| step.total());
        totals.fold(Total::default(), ops::Add::add)
    }
}

/// A sum over tasks that aren't done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Total {
    /// In thousandths of a core times milliseconds.
    pub work: u64,
    /// The number of tasks.
    pub tasks: u64,
    /// Thousandths of a core that the tasks would take if all of them ran at once.
    pub millicores: u64,
}

impl ops::Add for Total {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            work: self.work.saturating_add(other.work),
            tasks: self.tasks.saturating_add(other.tasks),
            millicores: self.millicores.saturating_add(other.millicores),
        }
    }
}

impl ops::Sub for Total {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            work: self.work.saturating_sub(other.work),
            tasks: self.tasks.saturating_sub(other.tasks),
            millicores: self.millicores.saturating_sub(other.millicores),
        }
    }
}

/// The outstanding work of all pools.
#[derive(Clone, Debug, Default)]
pub struct Outstanding {
    jobs: Map<JobId, JobWork>,
    pools: BTreeMap<PoolId, PoolTotal>,
}

#[derive(Clone, Debug, Default)]
struct PoolTotal {
    all: Total,
    /// The work of each workspace that has any; `None` stands for jobs without a workspace.
    by_workspace: BTreeMap<Option<WorkspaceId>, u64>,
}

impl Outstanding {
    /// Adds a job, replacing what was known of it.
    pub fn add(&mut self, id: JobId, job: JobWork) {
        self.remove(id);
        self.increase(&job.pool, job.workspace.as_ref(), job.total());
        self.jobs.insert(id, job);
    }

    /// Subtracts a task that is done. Has no effect if the job isn't known, or if none of the step's tasks
    /// is left.
    pub fn finish_task(&mut self, id: JobId, step: usize) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(step) = job.steps.get_mut(step).filter(|step| step.tasks > 0) else {
            return;
        };
        step.tasks -= 1;
        let done = StepWork { tasks: 1, ..*step }.total();
        let (pool, workspace) = (job.pool.clone(), job.workspace.clone());
        self.decrease(&pool, workspace.as_ref(), done);
    }

    /// Subtracts what is left of a job that is over.
    pub fn remove(&mut self, id: JobId) {
        if let Some(job) = self.jobs.remove(&id) {
            self.decrease(&job.pool, job.workspace.as_ref(), job.total());
        }
    }

    /// Whether a job is known.
    pub fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// What a pool still has to do.
    pub fn total(&self, pool: &PoolId) -> Total {
        let pool = self.pools.get(pool);
        pool.map_or_else(Total::default, |pool| pool.all)
    }

    /// What all pools together still have to do.
    pub fn sum(&self) -> Total {
        let totals = self.pools.values().map(|pool| pool.all);
        totals.fold(Total::default(), ops::Add::add)
    }

    /// The outstanding work of a workspace in a pool. `None` stands for jobs without a workspace.
    pub fn of(&self, pool: &PoolId, workspace: Option<&WorkspaceId>) -> u64 {
        let work = self.pools.get(pool).and_then(|pool| {
            let work = pool.by_workspace.get(&workspace.cloned());
            work.copied()
        });
        work.unwrap_or_default()
    }

    /// The workspaces that have outstanding work in a pool, in order, each with that work.
    pub fn workspaces(
        &self,
        pool: &PoolId,
    ) -> impl Iterator<Item = (Option<&WorkspaceId>, u64)> + '_ {
        let all = self.pools.get(pool).into_iter();
        let all = all.flat_map(|pool| &pool.by_workspace);
        all.map(|(workspace, work)| (workspace.as_ref(), *work))
    }

    /// The jobs that are known, in no particular order.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &JobWork)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    fn increase(&mut self, pool: &PoolId, workspace: Option<&WorkspaceId>, by: Total) {
        let pool = self.pools.entry(pool.clone()).or_default();
        pool.all = pool.all + by;
        if by.work > 0 {
            let own = pool.by_workspace.entry(workspace.cloned()).or_default();
            *own = own.saturating_add(by.work);
        }
    }

    fn decrease(&mut self, pool: &PoolId, workspace: Option<&WorkspaceId>, by: Total) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        pool.all = pool.all - by;
        let workspace = workspace.cloned();
        if let Some(own) = pool.by_workspace.get_mut(&workspace) {
            *own = own.saturating_sub(by.work);
            if *own == 0 {
                pool.by_workspace.remove(&workspace);
            }
        }
    }
}
