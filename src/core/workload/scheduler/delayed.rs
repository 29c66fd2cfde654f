//! Long-running tasks that have been away for too long, and what holds each of them back.
//!
//! A long-running task that ends with its host is started elsewhere as soon as it is certain that
//! it no longer runs and a host has room for it. Callers rely on that. If it takes longer, the
//! cause is one of two kinds, which look alike from outside. Either its last attempt may still run
//! at an agent that doesn't answer, or the task may be started and no agent takes it. This module
//! tells the two apart, and for the second which condition the agents of the pool fail. It only
//! observes, and changes no decision.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use super::{Ledger, MinionId, Now, Scheduler, TaskId, place, ready::ReadyStep};
use crate::core::types::Attempt;

/// Interval between two checks. Each visits the agents that don't answer and the long-running steps
/// with tasks to start.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The time away after which a task counts as delayed. Callers rely on a task that could be started
/// waiting less.
const MIN_DELAY: Duration = Duration::from_secs(3);
/// The most tasks that are logged at one check. After a loss of many hosts, hundreds wait for the
/// same reason, and finding it out visits the agents of a pool.
const MAX_LOGGED: usize = 8;

/// A long-running task that has been away for longer than it should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelayedTask {
    /// The task.
    pub task: TaskId,
    /// How long it has been away, as far as the leader knows.
    pub away: Duration,
    /// What holds it back.
    pub reason: DelayReason,
}

/// What keeps a long-running task from running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DelayReason {
    /// Its last attempt may still run at an agent that doesn't answer.
    Unresponsive {
        /// The agent.
        agent: MinionId,
        /// The attempt.
        attempt: Attempt,
        /// How long the agent hasn't been heard from.
        unheard: Duration,
        /// The time until the attempt has certainly ended; `None` if its end is being committed.
        expires: Option<Duration>,
    },
    /// It may be started and hasn't been.
    Waiting(Candidates),
}

impl DelayReason {
    /// A fixed label, for logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unresponsive { .. } => "unresponsive",
            Self::Waiting(_) => "waiting",
        }
    }
}

/// How many agents of a task's pool meet each condition for running it, and the conditions that
/// don't depend on agents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidates {
    /// The agents of the pool.
    pub agents: usize,
    /// Those of them that accept new work and are no probes.
    pub accepting: usize,
    /// Those that accept it and have the room.
    pub roomy: usize,
    /// Those with the room that may also run this step, by its labels, its limit for each host and
    /// its grants.
    pub able: usize,
    /// The number of hosts that ended under the task.
    pub hosts_ended: u32,
    /// Whether the task has to run apart from other suspected tasks.
    pub suspected: bool,
    /// Whether the cap of its workspace leaves no room for it.
    pub capped: bool,
}

/// Since when long-running tasks have been away.
#[derive(Clone, Debug, Default)]
pub(super) struct AwayTasks {
    since: BTreeMap<TaskId, Now>,
    checked_at: Option<Now>,
}

impl AwayTasks {
    /// The tasks that have been away for too long, the longest first, and how long each has been.
    fn delayed(&self, now: Now) -> Vec<(TaskId, Duration)> {
        let tasks = self.since.iter();
        let tasks = tasks.map(|(task, since)| (*task, now.saturating_sub(*since)));
        let mut delayed: Vec<_> = tasks.filter(|(_, away)| *away >= MIN_DELAY).collect();
        delayed.sort_by_key(|(task, away)| (Reverse(*away), *task));
        delayed
    }
}

impl Scheduler {
    /// The long-running tasks that have been away for too long, as of the last check, the longest
    /// first. Visits the agents of the pool of each.
    pub fn delayed_tasks(&self, now: Now, ledger: &Ledger) -> Vec<DelayedTask> {
        let delayed = self.away.delayed(now).into_iter();
        let delayed = delayed.filter_map(|(task, away)| self.delayed_task(now, ledger, task, away));
        delayed.collect()
    }

    /// Records which long-running tasks are away, and logs those that have been for too long.
    pub(super) fn check_delayed(&mut self, now: Now, ledger: &Ledger) {
        if self
            .away
            .checked_at
            .is_some_and(|at| now < at + CHECK_INTERVAL)
        {
            return;
        }
        self.away.checked_at = Some(now);
        let before = std::mem::take(&mut self.away.since);
        let since = |(task, since): (TaskId, Now)| {
            let before = before.get(&task).copied();
            (task, before.map_or(since, |before| before.min(since)))
        };
        self.away.since = self.away_tasks(now).into_iter().map(since).collect();
        let delayed = self.away.delayed(now);
        let tasks = delayed.len();
        for (task, away) in delayed.into_iter().take(MAX_LOGGED) {
            if let Some(DelayedTask { reason, .. }) = self.delayed_task(now, ledger, task, away) {
                log::info!(task:%, away:?, tasks, why = reason.label(), reason:?; "a long-running task is away for too long");
            }
        }
    }

    /// The long-running tasks that wait to be started, or whose agents don't answer, and since when
    /// they may have been away.
    fn away_tasks(&self, now: Now) -> Vec<(TaskId, Now)> {
        let waiting = self.ready.waiting_long_running().into_iter();
        let mut tasks: Vec<_> = waiting.map(|task| (task, now)).collect();
        for agent in self.agents.unresponsive() {
            let slots = agent.slots.iter().filter(|(_, slot)| slot.long_running);
            tasks.extend(slots.map(|(task, _)| (*task, agent.last_seen)));
        }
        tasks
    }

    /// A task that is away, with what holds it back; `None` if nothing does any more.
    fn delayed_task(
        &self,
        now: Now,
        ledger: &Ledger,
        task: TaskId,
        away: Duration,
    ) -> Option<DelayedTask> {
        let reason = self.delay_reason(now, ledger, task)?;
        Some(DelayedTask { task, away, reason })
    }

    fn delay_reason(&self, now: Now, ledger: &Ledger, task: TaskId) -> Option<DelayReason> {
        let ready = self.ready.get(task.step)?;
        if ready.free.contains(task.task) {
            let candidates = self.candidates(now, ledger, task, ready);
            return Some(DelayReason::Waiting(candidates));
        }
        let placed = ledger.job(task.step.job)?.task(task)?;
        let agent = self.agents.get(placed.agent.as_ref()?)?;
        let slot = agent.slots.get(&task)?;
        agent.failing_since?;
        Some(DelayReason::Unresponsive {
            agent: agent.record.id.clone(),
            attempt: slot.attempt,
            unheard: now.saturating_sub(agent.last_seen),
            expires: slot
                .expiry(agent.lease_end, &self.settings)
                .map(|at| at.saturating_sub(now)),
        })
    }

    fn candidates(&self, now: Now, ledger: &Ledger, task: TaskId, ready: &ReadyStep) -> Candidates {
        let ReadyStep { pool, spec, .. } = ready;
        let evidence = self.suspects.get(task).map(|entry| entry.evidence);
        let mut candidates = Candidates {
            agents: self.agents.pool_size(pool),
            hosts_ended: evidence.map_or(0, |evidence| evidence.hosts),
            suspected: self.suspects.is_task_suspected(task),
            capped: !self.cap_allows(ledger, task.step, spec, 1),
            ..Candidates::default()
        };
        for agent in self.agents_accepting_work(now, pool, 0) {
            let roomy = agent.free().fits(&spec.reservation());
            let able = roomy
                && place::may_run(agent, spec, task.step)
                && self.is_eligible(now, task.step, agent);
            candidates.accepting += 1;
            candidates.roomy += usize::from(roomy);
            candidates.able += usize::from(able);
        }
        candidates
    }
}
