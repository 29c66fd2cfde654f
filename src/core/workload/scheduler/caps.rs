//! What workspaces may still start.
//!
//! What counts against a cap is what the ledger has placed, until the ends of it are in the log, and what
//! this leader has proposed to place. So a successor counts the same, and what runs unseen counts as long
//! as it may run: an attempt is taken out of the ledger only once it surely doesn't. A cap that falls stops
//! nothing; nothing starts until it fits again.

use std::collections::BTreeMap;

use super::{Job, Ledger, PoolId, Scheduler, StepId, StepSpec, TaskId, ready::Waiting};
use crate::core::{
    types::{Resources, WorkspaceId},
    workload::spec::TaskIx,
};

/// What was proposed to be placed and isn't in the ledger yet, by workspace.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposed {
    tasks: BTreeMap<TaskId, (WorkspaceId, Resources)>,
    sums: BTreeMap<WorkspaceId, Resources>,
}

impl Proposed {
    fn add(&mut self, task: TaskId, workspace: WorkspaceId, need: Resources) {
        self.remove(task);
        let sum = self.sums.entry(workspace.clone()).or_default();
        *sum = sum.plus(&need);
        self.tasks.insert(task, (workspace, need));
    }

    /// The log has it, or never will.
    pub(super) fn remove(&mut self, task: TaskId) {
        let Some((workspace, need)) = self.tasks.remove(&task) else {
            return;
        };
        if let Some(sum) = self.sums.get_mut(&workspace) {
            *sum = sum.minus(&need);
        }
    }

    fn of(&self, workspace: &str) -> Resources {
        self.sums.get(workspace).copied().unwrap_or_default()
    }
}

impl Scheduler {
    /// What a workspace has running, or may have.
    fn spent(&self, ledger: &Ledger, workspace: &str) -> Resources {
        ledger.used(workspace).plus(&self.proposed.of(workspace))
    }

    /// Whether so many tasks of a step may start together now as far as the cap of its workspace goes.
    pub(super) fn may_start(
        &self,
        ledger: &Ledger,
        step: StepId,
        spec: &StepSpec,
        tasks: TaskIx,
    ) -> bool {
        let job = ledger.job(step.job);
        let Some(workspace) = job.and_then(|job| job.workspace.as_ref()) else {
            return true;
        };
        if !self.settings.protections.caps {
            return true;
        }
        let cap = self.catalog.cap(workspace);
        cap.allows(&self.spent(ledger, workspace), &spec.need, tasks)
    }

    /// Notes that a task is proposed to be placed.
    pub(super) fn claim(&mut self, ledger: &Ledger, task: TaskId, spec: &StepSpec) {
        let job = ledger.job(task.step.job);
        if let Some(workspace) = job.and_then(|job| job.workspace.clone()) {
            self.proposed.add(task, workspace, spec.need);
        }
    }

    /// The part of what waits in a pool that its workspaces may run: no host is of use for the rest.
    pub(super) fn startable(&self, ledger: &Ledger, pool: &PoolId, waiting: Waiting) -> Waiting {
        let mut startable = waiting;
        for (workspace, held) in self.ready.held(pool) {
            let cap = self.catalog.cap(workspace).0.millicores;
            if cap == 0 {
                continue;
            }
            let left = cap.saturating_sub(self.spent(ledger, workspace).millicores);
            let all = self.ready.millicores(workspace).max(1);
            let part = (left as f64 / all as f64).min(1.0);
            let blocked = |waits: u64| waits - (waits as f64 * part) as u64;
            startable.all = startable.all.saturating_sub(blocked(held.all));
            startable.short = startable.short.saturating_sub(blocked(held.short));
        }
        startable
    }

    /// The part of a job that has come which its workspace's cap leaves room for, beside what runs and waits
    /// before it. The rest is no demand.
    pub(super) fn open_part(&self, ledger: &Ledger, job: &Job) -> f64 {
        let Some(workspace) = &job.workspace else {
            return 1.0;
        };
        let cap = self.catalog.cap(workspace).0.millicores;
        if cap == 0 {
            return 1.0;
        }
        let there = self.spent(ledger, workspace).millicores + self.ready.millicores(workspace);
        let steps = job.spec.steps.iter().filter(|step| !step.long_running);
        let wide = steps.map(|step| u64::from(step.tasks) * step.need.millicores);
        let wide = wide.max().unwrap_or_default().max(1);
        (cap.saturating_sub(there) as f64 / wide as f64).min(1.0)
    }
}
