//! Tasks that run much longer than estimated, and whether that tells of the task or of its agent.
//!
//! A batch task that runs for several times its estimate may run at a slow or hung agent. Then it is stopped and
//! started elsewhere. But its estimate may be wrong as well. Then it takes as long anywhere, and each stop throws
//! away what it has done. So the time that it may run grows by a large factor with each attempt: any task is done
//! after few attempts, and what its stops threw away is hardly more than what it takes. The number of its attempts
//! is in the ledger, so this holds across leaders. The time grows by a small factor at an agent that is known to be
//! slow.
//!
//! Whether an agent is the cause is told by tasks of different jobs that run too long there. A step whose tasks do
//! so at several agents, while none was done in time, tells of its estimate and of no agent. Until it is known, an
//! agent whose task is stopped gets no new tasks for a while either, as the stopped one might return to it. How long
//! and for how many agents that holds is decided in [`exclusions`](super::exclusions).

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Agent, JobId, MinionId, Now, Occurrence, Scheduler, Slot, StepId, TaskId, exclusions::Cause,
};
use crate::core::types::Attempt;

/// By how much longer a task may run with each attempt.
const PATIENCE: u32 = 16;
/// The same at agents that are known to be slow.
const SLOW_PATIENCE: u32 = 2;
/// How often the time is multiplied at most.
const MAX_POWER: u32 = 5;
/// How many different jobs have to run too long at an agent for it to be the cause.
const MIN_JOBS: usize = 2;
/// How long an overrun counts against its agent. Agents are slow for some seconds.
const MEMORY: Duration = Duration::from_secs(8);

/// What this leader has seen of steps whose tasks ran too long.
#[derive(Clone, Debug, Default)]
pub(super) struct Overruns {
    /// The agents at which tasks of each step ran too long.
    agents: BTreeMap<StepId, BTreeSet<MinionId>>,
    /// The steps of which a task was done in time.
    in_time: BTreeSet<StepId>,
}

impl Overruns {
    /// Whether tasks of a step take longer than estimated wherever they run.
    pub(super) fn is_underestimated(&self, step: StepId) -> bool {
        let agents = self.agents.get(&step);
        agents.is_some_and(|agents| agents.len() > 1) && !self.in_time.contains(&step)
    }

    /// Whether tasks of a step ran too long at this agent and at no other.
    fn is_only_at(&self, step: StepId, agent: &MinionId) -> bool {
        let agents = self.agents.get(&step);
        agents.is_some_and(|agents| agents.len() == 1 && agents.contains(agent))
    }

    /// Notes that a task of a step ran too long at an agent.
    fn record(&mut self, step: StepId, agent: &MinionId) {
        self.agents.entry(step).or_default().insert(agent.clone());
    }

    /// Notes that a task of a step was done in time.
    pub(super) fn record_in_time(&mut self, step: StepId) {
        self.in_time.insert(step);
    }

    /// Forgets the steps of a job that is over.
    pub(super) fn forget(&mut self, job: JobId) {
        self.forget_range(job, 0, Occurrence::MAX);
    }

    /// Forgets the steps of an occurrence that is finished.
    pub(super) fn forget_occurrence(&mut self, job: JobId, occurrence: Occurrence) {
        self.forget_range(job, occurrence, occurrence);
    }

    fn forget_range(&mut self, job: JobId, first: Occurrence, last: Occurrence) {
        let steps = StepId::range(job, first, last);
        let agents: Vec<_> = self
            .agents
            .range(steps.clone())
            .map(|(step, _)| *step)
            .collect();
        let in_time: Vec<_> = self.in_time.range(steps).copied().collect();
        for step in agents {
            self.agents.remove(&step);
        }
        for step in in_time {
            self.in_time.remove(&step);
        }
    }
}

/// By how much longer than usual an attempt may run. An estimate of zero is none, and so never wrong.
fn patience(slot: &Slot, is_slow: bool) -> u32 {
    let earlier = slot.attempt.saturating_sub(1).min(MAX_POWER);
    if is_slow {
        SLOW_PATIENCE.pow(earlier)
    } else {
        PATIENCE.pow(earlier.max(u32::from(slot.estimate.is_zero())))
    }
}

impl Scheduler {
    /// The tasks of an agent that are to be stopped, as they have run for too long, of those that a report lists
    /// as running.
    ///
    /// Notes all that run longer than usual, and excludes the agent for a while if it may be the cause.
    pub(super) fn take_overruns(
        &mut self,
        now: Now,
        id: &MinionId,
        running: impl Fn(TaskId, Attempt) -> bool,
    ) -> Vec<TaskId> {
        let Some(agent) = self.agents.get(id) else {
            return Vec::new();
        };
        let learned = self.learned.get(&agent.record.pool);
        let limit = |slot: &Slot| learned.and_then(|learned| learned.limit(slot.estimate));
        let slots = agent.slots.iter();
        let long = slots.filter(|(task, slot)| {
            let limit = limit(slot).filter(|limit| slot.has_run_for(now, *limit));
            limit.is_some() && running(**task, slot.attempt)
        });
        let long: Vec<_> = long.map(|(task, _)| *task).collect();
        if long.is_empty() {
            return long;
        }
        for task in &long {
            self.overruns.record(task.step, id);
        }
        let is_cause = self.is_cause_of_overruns(now, id, &long);
        let Some(agent) = self.agents.get(id) else {
            return Vec::new();
        };
        let is_slow = is_cause || agent.is_slow(now);
        let overdue = long.iter().filter(|task| {
            agent.slots.get(task).is_some_and(|slot| {
                let limit = limit(slot).unwrap_or(Duration::MAX);
                slot.has_run_for(now, limit.saturating_mul(patience(slot, is_slow)))
            })
        });
        let overdue: Vec<_> = overdue.copied().collect();
        let is_excluded = is_cause || self.may_be_cause(id, &overdue);
        if let Some(agent) = self.agents.get_mut(id) {
            agent.record_overruns(now, &long);
        }
        if is_excluded {
            self.exclude(now, id, Cause::Overruns);
        }
        overdue
    }

    /// Whether an agent is kept from new tasks because of a single step. That costs the pool a host, so each step
    /// does so only at the first agent at which its tasks are stopped.
    fn may_be_cause(&self, id: &MinionId, overdue: &[TaskId]) -> bool {
        let mut steps = overdue.iter().map(|task| task.step);
        steps.any(|step| self.overruns.is_only_at(step, id))
    }

    /// Whether tasks of different jobs run too long at an agent, other than those that do so everywhere.
    fn is_cause_of_overruns(&self, now: Now, id: &MinionId, long: &[TaskId]) -> bool {
        let known = self.agents.get(id).into_iter();
        let known = known.flat_map(|agent| agent.overruns(now));
        let steps = known.chain(long.iter().map(|task| task.step));
        let telling = steps.filter(|step| !self.overruns.is_underestimated(*step));
        let jobs: BTreeSet<_> = telling.map(|step| step.job).collect();
        jobs.len() >= MIN_JOBS
    }
}

impl Agent {
    /// Notes tasks that run too long here.
    fn record_overruns(&mut self, now: Now, tasks: &[TaskId]) {
        self.long_steps.retain(|_, at| now < *at + MEMORY);
        for task in tasks {
            self.long_steps.insert(task.step, now);
        }
    }

    /// The steps whose tasks recently ran too long here.
    fn overruns(&self, now: Now) -> impl Iterator<Item = StepId> + '_ {
        let recent = self.long_steps.iter();
        let recent = recent.filter(move |(_, at)| now < **at + MEMORY);
        recent.map(|(step, _)| *step)
    }

    /// Whether any task recently ran too long here. Others are better placed elsewhere, whatever the cause.
    pub(super) fn has_overruns(&self, now: Now) -> bool {
        self.overruns(now).next().is_some()
    }
}
