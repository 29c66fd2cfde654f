//! Decides what workspaces may still start under their caps.
//!
//! Two things count against a cap: what the ledger has placed, until its end is in the log, and
//! what this leader has proposed to place. So a successor counts the same. An attempt that can't be
//! observed counts as long as it may run, because it is removed from the ledger only once it
//! certainly doesn't. Lowering a cap stops nothing; new tasks start only once the workspace is
//! within its cap again.

use std::collections::BTreeMap;

use super::{Job, Ledger, PoolId, Scheduler, StepId, StepSpec, TaskId, ready::WaitingLoad};
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

    /// Removes a task that the ledger has placed, or never will.
    pub(super) fn remove(&mut self, task: TaskId) {
        let Some((workspace, need)) = self.tasks.remove(&task) else {
            return;
        };
        if let Some(sum) = self.sums.get_mut(&workspace) {
            *sum = sum.minus(&need);
        }
    }

    fn usage(&self, workspace: &str) -> Resources {
        self.sums.get(workspace).copied().unwrap_or_default()
    }
}

impl Scheduler {
    /// What a workspace runs or may run.
    fn usage_of(&self, ledger: &Ledger, workspace: &str) -> Resources {
        ledger.used(workspace).plus(&self.proposed.usage(workspace))
    }

    /// Whether this many tasks of a step may start together now under the cap of its workspace.
    pub(super) fn cap_allows(
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
        cap.allows(&self.usage_of(ledger, workspace), &spec.need, tasks)
    }

    /// Counts a task that is proposed to be placed against its workspace's cap.
    pub(super) fn reserve(&mut self, ledger: &Ledger, task: TaskId, spec: &StepSpec) {
        let job = ledger.job(task.step.job);
        if let Some(workspace) = job.and_then(|job| job.workspace.clone()) {
            self.proposed.add(task, workspace, spec.need);
        }
    }

    /// The part of a pool's waiting work that the caps of its workspaces allow to run. Hosts are of
    /// no use for the rest.
    pub(super) fn startable(
        &self,
        ledger: &Ledger,
        pool: &PoolId,
        waiting: WaitingLoad,
    ) -> WaitingLoad {
        let mut startable = waiting;
        for (workspace, held) in self.ready.held(pool) {
            let cap = self.catalog.cap(workspace).0.millicores;
            if cap == 0 {
                continue;
            }
            let left = cap.saturating_sub(self.usage_of(ledger, workspace).millicores);
            let all = self.ready.millicores(workspace).max(1);
            let part = (left as f64 / all as f64).min(1.0);
            let blocked = |waits: u64| waits - (waits as f64 * part) as u64;
            startable.all = startable.all.saturating_sub(blocked(held.all));
            startable.batch = startable.batch.saturating_sub(blocked(held.batch));
        }
        startable
    }

    /// The part of an arriving job that its workspace's cap leaves room for, beside what already
    /// runs and waits. The rest doesn't count as demand.
    pub(super) fn allowed_part(&self, ledger: &Ledger, job: &Job) -> f64 {
        let Some(workspace) = &job.workspace else {
            return 1.0;
        };
        let cap = self.catalog.cap(workspace).0.millicores;
        if cap == 0 {
            return 1.0;
        }
        let there = self.usage_of(ledger, workspace).millicores + self.ready.millicores(workspace);
        let steps = job.spec.steps.iter().filter(|step| !step.long_running);
        let wide = steps.map(|step| u64::from(step.tasks) * step.need.millicores);
        let wide = wide.max().unwrap_or_default().max(1);
        (cap.saturating_sub(there) as f64 / wide as f64).min(1.0)
    }
}
