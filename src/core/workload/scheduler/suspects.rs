//! Tasks under which hosts have ended, and which of them are convicted.
//!
//! Where they run next is told by [`probes`](super::probes).

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{JobId, Ledger, Now, Phase, Scheduler, Slot, TaskId, unit::Unit};
use crate::core::workload::{job::Job, suspicion::Evidence};

/// A lasting task that has been at work for so many times as long as when hosts ended under it isn't what
/// ended them.
const PROBATION: u32 = 2;
/// No lasting task is suspected for longer: what ended its hosts before has ended by then, or isn't known
/// by its time.
const LONGEST: Duration = Duration::from_secs(30);

/// A task under which hosts have ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    pub(super) evidence: Evidence,
    pub(super) lasting: bool,
}

/// The tasks under which hosts have ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    jobs: BTreeMap<JobId, BTreeMap<TaskId, Held>>,
    /// Tasks whose jobs fail with the next round.
    convicted: Vec<TaskId>,
    /// Their jobs, until they are over.
    failing: BTreeSet<JobId>,
    /// Of how many hosts that ended under each unit it turned out that another ended them.
    explained: BTreeMap<Unit, u32>,
}

impl Suspects {
    /// Nothing is held against a task any more; what was.
    pub(super) fn clear(&mut self, task: TaskId) -> Option<Held> {
        let job = task.step.job;
        let tasks = self.jobs.get_mut(&job)?;
        let held = tasks.remove(&task)?;
        if tasks.is_empty() {
            self.jobs.remove(&job);
        }
        if held.lasting {
            self.explained.remove(&Unit::of(task, held.lasting));
        }
        Some(held)
    }

    /// A job is over.
    pub(super) fn forget(&mut self, job: JobId) {
        self.jobs.remove(&job);
        self.failing.remove(&job);
        self.explained.retain(|unit, _| unit.job() != job);
    }

    /// It turned out what ended a host under which these units ran.
    pub(super) fn explain(&mut self, units: BTreeSet<Unit>) {
        for unit in units {
            *self.explained.entry(unit).or_default() += 1;
        }
    }

    /// Whether a task has to run where nothing else does.
    pub(super) fn is_suspect(&self, task: TaskId, held: Held) -> bool {
        let unit = Unit::of(task, held.lasting);
        let explained = self.explained.get(&unit).copied().unwrap_or_default();
        held.evidence.is_suspect_excluding(explained)
    }

    /// Whether hosts have ended under any task of a job.
    pub(super) fn has(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Whether a job is about to fail, so that nothing more of it may start.
    pub(super) fn is_failing(&self, job: JobId) -> bool {
        self.failing.contains(&job)
    }

    /// The tasks whose jobs are to fail now.
    pub(super) fn take_convicted(&mut self) -> Vec<TaskId> {
        std::mem::take(&mut self.convicted)
    }

    /// The unit that a task has to run with where nothing else does, if it is suspected.
    pub(super) fn unit(&self, task: TaskId, lasting: bool) -> Option<Unit> {
        let unit = Unit::of(task, lasting);
        self.is_suspected(unit).then_some(unit)
    }

    pub(super) fn is_suspected(&self, unit: Unit) -> bool {
        self.of(unit)
            .any(|(task, held)| self.is_suspect(task, held))
    }

    /// What is held against the tasks of a unit.
    pub(super) fn of(&self, unit: Unit) -> impl Iterator<Item = (TaskId, Held)> {
        let tasks = self.jobs.get(&unit.job()).into_iter().flatten();
        let tasks = tasks.map(|(task, held)| (*task, *held));
        tasks.filter(move |(task, held)| Unit::of(*task, held.lasting) == unit)
    }

    pub(super) fn get(&self, task: TaskId) -> Option<Held> {
        self.jobs.get(&task.step.job)?.get(&task).copied()
    }

    pub(super) fn all(&self) -> impl Iterator<Item = (TaskId, Held)> {
        let tasks = self.jobs.values().flatten();
        tasks.map(|(task, held)| (*task, *held))
    }

    /// Whether more than one host has ended under a task.
    pub(super) fn has_ended_more(&self, task: TaskId) -> bool {
        let held = self.get(task);
        held.is_some_and(|held| self.is_suspect(task, held))
    }

    /// The tasks that have to run where nothing else does.
    pub(super) fn suspected(&self) -> impl Iterator<Item = (TaskId, Held)> {
        self.all()
            .filter(|(task, held)| self.is_suspect(*task, *held))
    }

    /// Whether an end of a host may still turn out to be a task's doing, as it is short and isn't done. What
    /// lasts may never be, and hosts end under most of it some time.
    pub(super) fn is_open(&self, task: TaskId) -> bool {
        self.get(task).is_some_and(|held| !held.lasting)
    }
}

impl Scheduler {
    /// How many tasks are suspected to end the hosts that run them.
    pub fn suspected(&self) -> usize {
        self.suspects.suspected().count()
    }

    /// The tasks that the ends of hosts are held against. Each of them may still run.
    pub fn held(&self) -> impl Iterator<Item = TaskId> {
        self.suspects.all().map(|(task, _)| task)
    }

    /// The log holds this against a task of a job.
    pub(super) fn suspect(&mut self, job: &Job, task: TaskId, evidence: Evidence) {
        let lasting = !job.is_batch(task);
        let Evidence {
            hosts, weight, own, ..
        } = evidence;
        let conclusive = if lasting {
            evidence.is_conclusive_among(self.agents.lasting())
        } else {
            evidence.is_conclusive(false)
        };
        log::info!(task:%, hosts, weight, own = own.hosts, sudden = own.weight(), conclusive; "a host has ended under a task");
        let tasks = self.suspects.jobs.entry(task.step.job).or_default();
        tasks.insert(task, Held { evidence, lasting });
        if conclusive && self.suspects.failing.insert(task.step.job) {
            self.suspects.convicted.push(task);
            // The hosts that it ended were sound, and what else ran there didn't end them.
            for units in self.losses.explain(task.step.job) {
                self.suspects.explain(units);
            }
        }
    }

    /// Lasting tasks that have been at work for so long that nothing is held against them any more.
    pub(super) fn clear_suspects(&mut self, now: Now, ledger: &Ledger) -> Vec<TaskId> {
        let lasting = self.suspects.all().filter(|(_, held)| held.lasting);
        let cleared = lasting.filter(|(task, held)| {
            let probation = (held.evidence.longest_run * PROBATION).min(LONGEST);
            let slot = self.placed_slot(ledger, *task);
            slot.is_some_and(|slot| slot.phase == Phase::Running && now >= slot.since + probation)
        });
        let cleared: Vec<_> = cleared.map(|(task, _)| task).collect();
        for task in &cleared {
            self.suspects.clear(*task);
        }
        cleared
    }

    /// What is known of a task where it is placed.
    fn placed_slot(&self, ledger: &Ledger, task: TaskId) -> Option<&Slot> {
        let job = ledger.job(task.step.job)?;
        let agent = job.task(task)?.agent.as_ref()?;
        self.agents.get(agent)?.slots.get(&task)
    }
}
