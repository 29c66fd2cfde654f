//! Tasks under which hosts have ended, and which of them are poison tasks.
//!
//! [`probes`](super::probes) decides where they run next.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{JobId, Ledger, Now, Phase, Scheduler, Slot, TaskId, unit::Unit};
use crate::core::workload::{job::Job, suspicion::Evidence};

/// A long-running task is cleared once it has run for this many times the longest time after which
/// a host ended under it.
const PROBATION: u32 = 2;
/// No long-running task stays suspected for longer. By then, whatever ended its hosts is over, or
/// the time that the task runs doesn't reveal it.
const LONGEST: Duration = Duration::from_secs(30);

/// The evidence against a task under which hosts have ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    pub(super) evidence: Evidence,
    pub(super) lasting: bool,
}

/// The tasks under which hosts have ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    jobs: BTreeMap<JobId, BTreeMap<TaskId, Held>>,
    /// Poison tasks whose jobs fail with the next round.
    convicted: Vec<TaskId>,
    /// The jobs of poison tasks, until they are over.
    failing: BTreeSet<JobId>,
    /// For each unit, how many of the hosts that ended under it turned out to be ended by another
    /// unit.
    explained: BTreeMap<Unit, u32>,
}

impl Suspects {
    /// Drops the evidence against a task and returns it.
    pub(super) fn clear(&mut self, task: TaskId) -> Option<Held> {
        let job = task.step.job;
        let tasks = self.jobs.get_mut(&job)?;
        let entry = tasks.remove(&task)?;
        if tasks.is_empty() {
            self.jobs.remove(&job);
        }
        if entry.lasting {
            self.explained.remove(&Unit::of(task, entry.lasting));
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
    pub(super) fn explain(&mut self, units: BTreeSet<Unit>) {
        for unit in units {
            *self.explained.entry(unit).or_default() += 1;
        }
    }

    /// Whether a task has to run apart from other tasks.
    pub(super) fn is_suspect(&self, task: TaskId, entry: Held) -> bool {
        let unit = Unit::of(task, entry.lasting);
        let explained = self.explained.get(&unit).copied().unwrap_or_default();
        entry.evidence.is_suspect_without(explained)
    }

    /// Whether hosts have ended under any task of a job.
    pub(super) fn has(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Whether a job is about to fail, so that no more of its tasks may start.
    pub(super) fn is_failing(&self, job: JobId) -> bool {
        self.failing.contains(&job)
    }

    /// Takes the tasks whose jobs are to fail now.
    pub(super) fn take_convicted(&mut self) -> Vec<TaskId> {
        std::mem::take(&mut self.convicted)
    }

    /// The unit of a task, if it is suspected and so has to run apart from other tasks.
    pub(super) fn unit(&self, task: TaskId, lasting: bool) -> Option<Unit> {
        let unit = Unit::of(task, lasting);
        self.is_suspected(unit).then_some(unit)
    }

    pub(super) fn is_suspected(&self, unit: Unit) -> bool {
        self.of(unit)
            .any(|(task, entry)| self.is_suspect(task, entry))
    }

    /// The tasks of a unit and the evidence against each.
    pub(super) fn of(&self, unit: Unit) -> impl Iterator<Item = (TaskId, Held)> {
        let tasks = self.jobs.get(&unit.job()).into_iter().flatten();
        let tasks = tasks.map(|(task, entry)| (*task, *entry));
        tasks.filter(move |(task, entry)| Unit::of(*task, entry.lasting) == unit)
    }

    pub(super) fn get(&self, task: TaskId) -> Option<Held> {
        self.jobs.get(&task.step.job)?.get(&task).copied()
    }

    pub(super) fn all(&self) -> impl Iterator<Item = (TaskId, Held)> {
        let tasks = self.jobs.values().flatten();
        tasks.map(|(task, entry)| (*task, *entry))
    }

    /// Whether a task is suspected by the evidence against it.
    pub(super) fn has_ended_more(&self, task: TaskId) -> bool {
        let entry = self.get(task);
        entry.is_some_and(|entry| self.is_suspect(task, entry))
    }

    /// The tasks that have to run apart from other tasks.
    pub(super) fn suspected(&self) -> impl Iterator<Item = (TaskId, Held)> {
        self.all()
            .filter(|(task, entry)| self.is_suspect(*task, *entry))
    }

    /// Whether a task may still turn out to have ended a host: it is a batch task that isn't done.
    /// For a long-running task the question may never be settled, and hosts end under most of them
    /// sooner or later.
    pub(super) fn is_open(&self, task: TaskId) -> bool {
        self.get(task).is_some_and(|entry| !entry.lasting)
    }
}

impl Scheduler {
    /// How many tasks are suspected of ending the hosts that run them.
    pub fn suspected(&self) -> usize {
        self.suspects.suspected().count()
    }

    /// The tasks under which hosts have ended. Each of them may still run.
    pub fn held(&self) -> impl Iterator<Item = TaskId> {
        self.suspects.all().map(|(task, _)| task)
    }

    /// Takes in the evidence that the log holds against a task of a job.
    pub(super) fn suspect(&mut self, job: &Job, task: TaskId, evidence: Evidence) {
        let lasting = !job.is_short(task);
        let Evidence {
            hosts, weight, own, ..
        } = evidence;
        let conclusive = if lasting {
            evidence.is_conclusive_among(self.agents.lasting())
        } else {
            evidence.is_conclusive(false)
        };
        log::info!(task:%, hosts, weight, own = own.hosts, sudden = own.weight(), conclusive; "a host ended while it ran a task");
        let tasks = self.suspects.jobs.entry(task.step.job).or_default();
        tasks.insert(task, Held { evidence, lasting });
        if conclusive && self.suspects.failing.insert(task.step.job) {
            self.suspects.convicted.push(task);
            // The hosts that the task ended were sound, and the other tasks there didn't end them.
            for units in self.losses.explain(task.step.job) {
                self.suspects.explain(units);
            }
        }
    }

    /// Clears the long-running tasks that have run for long enough, and returns them.
    pub(super) fn clear_suspects(&mut self, now: Now, ledger: &Ledger) -> Vec<TaskId> {
        let lasting = self.suspects.all().filter(|(_, entry)| entry.lasting);
        let cleared = lasting.filter(|(task, entry)| {
            let clearance = (entry.evidence.longest * PROBATION).min(LONGEST);
            let slot = self.placed_slot(ledger, *task);
            slot.is_some_and(|slot| slot.phase == Phase::Running && now >= slot.since + clearance)
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
