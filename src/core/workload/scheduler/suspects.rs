//! Tasks under which hosts have ended, and which of them are poison tasks.
//!
//! [`probes`](super::probes) decides where they run next.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{JobId, Ledger, Now, Phase, Scheduler, Slot, TaskId, unit::SuspectUnit};
use crate::core::workload::{job::Job, suspicion::Evidence};

/// A long-running task is cleared once it has run for this many times the longest time after which
/// a host ended under it.
const CLEARANCE_FACTOR: u32 = 2;
/// No long-running task stays suspected for longer. By then, whatever ended its hosts is over, or
/// the time that the task runs doesn't reveal it.
const MAX_SUSPICION: Duration = Duration::from_secs(30);

/// The evidence against a task under which hosts have ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskEvidence {
    pub(super) evidence: Evidence,
    pub(super) long_running: bool,
}

/// The tasks under which hosts have ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    jobs: BTreeMap<JobId, BTreeMap<TaskId, TaskEvidence>>,
    /// Poison tasks whose jobs fail with the next round.
    poison_tasks: Vec<TaskId>,
    /// The jobs of poison tasks, until they are over.
    failing: BTreeSet<JobId>,
    /// For each unit, how many of the hosts that ended under it turned out to be ended by another
    /// unit.
    explained: BTreeMap<SuspectUnit, u32>,
}

impl Suspects {
    /// Drops the evidence against a task and returns it.
    pub(super) fn clear(&mut self, task: TaskId) -> Option<TaskEvidence> {
        let job = task.step.job;
        let tasks = self.jobs.get_mut(&job)?;
        let entry = tasks.remove(&task)?;
        if tasks.is_empty() {
            self.jobs.remove(&job);
        }
        if entry.long_running {
            self.explained
                .remove(&SuspectUnit::of(task, entry.long_running));
        }
        Some(entry)
    }

    /// Forgets a job that is over.
    pub(super) fn forget(&mut self, job: JobId) {
        self.jobs.remove(&job);
        self.failing.remove(&job);
        self.explained.retain(|unit, _| unit.job() != job);
    }

    /// Notes that a host which ran these units was ended by another.
    pub(super) fn mark_explained(&mut self, units: BTreeSet<SuspectUnit>) {
        for unit in units {
            *self.explained.entry(unit).or_default() += 1;
        }
    }

    /// Whether a task has to run apart from other tasks.
    pub(super) fn is_suspect(&self, task: TaskId, entry: TaskEvidence) -> bool {
        let unit = SuspectUnit::of(task, entry.long_running);
        let explained = self.explained.get(&unit).copied().unwrap_or_default();
        entry.evidence.is_suspect_excluding(explained)
    }

    /// Whether hosts have ended under any task of a job.
    pub(super) fn has_job(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Whether a job is about to fail, so that no more of its tasks may start.
    pub(super) fn is_failing(&self, job: JobId) -> bool {
        self.failing.contains(&job)
    }

    /// Takes the tasks whose jobs are to fail now.
    pub(super) fn take_poison_tasks(&mut self) -> Vec<TaskId> {
        std::mem::take(&mut self.poison_tasks)
    }

    /// The unit of a task, if it is suspected and so has to run apart from other tasks.
    pub(super) fn suspect_unit(&self, task: TaskId, long_running: bool) -> Option<SuspectUnit> {
        let unit = SuspectUnit::of(task, long_running);
        self.is_unit_suspected(unit).then_some(unit)
    }

    pub(super) fn is_unit_suspected(&self, unit: SuspectUnit) -> bool {
        self.of_unit(unit)
            .any(|(task, entry)| self.is_suspect(task, entry))
    }

    /// The tasks of a unit and the evidence against each.
    pub(super) fn of_unit(
        &self,
        unit: SuspectUnit,
    ) -> impl Iterator<Item = (TaskId, TaskEvidence)> {
        let tasks = self.jobs.get(&unit.job()).into_iter().flatten();
        let tasks = tasks.map(|(task, entry)| (*task, *entry));
        tasks.filter(move |(task, entry)| SuspectUnit::of(*task, entry.long_running) == unit)
    }

    pub(super) fn get(&self, task: TaskId) -> Option<TaskEvidence> {
        self.jobs.get(&task.step.job)?.get(&task).copied()
    }

    pub(super) fn all(&self) -> impl Iterator<Item = (TaskId, TaskEvidence)> {
        let tasks = self.jobs.values().flatten();
        tasks.map(|(task, entry)| (*task, *entry))
    }

    /// Whether a task is suspected by the evidence against it.
    pub(super) fn is_task_suspected(&self, task: TaskId) -> bool {
        let entry = self.get(task);
        entry.is_some_and(|entry| self.is_suspect(task, entry))
    }

    /// The tasks that have to run apart from other tasks.
    pub(super) fn suspected(&self) -> impl Iterator<Item = (TaskId, TaskEvidence)> {
        self.all()
            .filter(|(task, entry)| self.is_suspect(*task, *entry))
    }

    /// Whether a task may still turn out to have ended a host: it is a batch task that isn't done.
    /// For a long-running task the question may never be settled, and hosts end under most of them
    /// sooner or later.
    pub(super) fn is_undecided(&self, task: TaskId) -> bool {
        self.get(task).is_some_and(|entry| !entry.long_running)
    }
}

impl Scheduler {
    /// How many tasks are suspected of ending the hosts that run them.
    pub fn suspected(&self) -> usize {
        self.suspects.suspected().count()
    }

    /// The tasks under which hosts have ended. Each of them may still run.
    pub fn tasks_with_evidence(&self) -> impl Iterator<Item = TaskId> {
        self.suspects.all().map(|(task, _)| task)
    }

    /// Takes in the evidence that the log holds against a task of a job.
    pub(super) fn record_evidence(&mut self, job: &Job, task: TaskId, evidence: Evidence) {
        let long_running = !job.is_batch(task);
        let Evidence {
            hosts, weight, own, ..
        } = evidence;
        let conclusive = if long_running {
            evidence.is_conclusive_among(self.agents.long_running())
        } else {
            evidence.is_conclusive(false)
        };
        log::info!(task:%, hosts, weight, own = own.hosts, sudden = own.weight(), conclusive; "a host ended while it ran a task");
        let tasks = self.suspects.jobs.entry(task.step.job).or_default();
        tasks.insert(
            task,
            TaskEvidence {
                evidence,
                long_running,
            },
        );
        if conclusive && self.suspects.failing.insert(task.step.job) {
            self.suspects.poison_tasks.push(task);
            // The hosts that the task ended were sound, and the other tasks there didn't end them.
            for units in self.losses.mark_explained(task.step.job) {
                self.suspects.mark_explained(units);
            }
        }
    }

    /// Clears the long-running tasks that have run for long enough, and returns them.
    pub(super) fn clear_suspects(&mut self, now: Now, ledger: &Ledger) -> Vec<TaskId> {
        let long_running = self.suspects.all().filter(|(_, entry)| entry.long_running);
        let cleared = long_running.filter(|(task, entry)| {
            let clearance = (entry.evidence.longest_run * CLEARANCE_FACTOR).min(MAX_SUSPICION);
            let slot = self.placed_slot(ledger, *task);
            slot.is_some_and(|slot| {
                slot.phase == Phase::Running && now >= slot.phase_since + clearance
            })
        });
        let cleared: Vec<_> = cleared.map(|(task, _)| task).collect();
        for task in &cleared {
            self.suspects.clear(*task);
        }
        cleared
    }

    /// The slot of a task where it is placed.
    fn placed_slot(&self, ledger: &Ledger, task: TaskId) -> Option<&Slot> {
        let job = ledger.job(task.step.job)?;
        let agent = job.task(task)?.agent.as_ref()?;
        self.agents.get(agent)?.slots.get(&task)
    }
}
