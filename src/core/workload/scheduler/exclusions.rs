//! Agents that get no new tasks for a while, as they seem to be the cause of what goes wrong there.
//!
//! A task fails or runs too long because of its agent, or because of a fault of its own. A fault of its own goes with
//! it to any agent. So what happens at one agent is weighed against what happens elsewhere: a failure counts as much
//! as it is improbable at a sound agent. Tasks of a queue fail at a sound agent about as often as at the other agents
//! where tasks of that queue have ended lately. If they fail at all of them, or have ended at no other, a failure
//! proves nothing. Weights are in decibans, as in [`suspicion`](crate::core::workload::suspicion).
//!
//! The evidence may still be wrong, and a task must not wait for long beside a sound agent that has room for it. So
//! each exclusion is short, it is repeated only because of something that has happened since its end or because of
//! overruns that go on long after it, and only a part of a pool is excluded at once. A gang needs many agents at the
//! same time. If it can't be placed for as long as one exclusion only because of exclusions, it is placed at excluded
//! agents as well.
//!
//! An agent that refuses a start as unwell is excluded, too. It would refuse the next one, so there it doesn't matter
//! how many others are excluded.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{EndBatch, JobId, Ledger, MinionId, Name, Now, PoolId, Scheduler, StepId};
use crate::core::workload::{command::Ending, suspicion::decibans};

/// How long an agent is excluded. Callers rely on a task that could be started waiting less than
/// three seconds.
const EXCLUSION: Duration = Duration::from_secs(2);
/// How long an agent is excluded after it said that it is unwell.
const UNWELL_EXCLUSION: Duration = Duration::from_millis(1500);
/// How long after an exclusion the agent isn't excluded again because of tasks that ran too long:
/// they may be the same ones.
const OVERRUN_REST: Duration = Duration::from_millis(500);
/// How long a failure counts. Agents fail for some seconds.
const MEMORY: Duration = Duration::from_secs(8);
/// Ends of the same kind within this time are taken for one.
const RESOLUTION: Duration = Duration::from_millis(500);
/// Different jobs that have to fail at an agent in a row for it to be excluded. A single job may
/// fail anywhere, again and again.
const MIN_JOBS: usize = 3;
/// How many of them are remembered. More prove no more.
const MAX_JOBS: usize = 32;
/// The weight of failures in a row that proves their agent to be the cause: a sound agent has such
/// failures once in a hundred times.
const CONCLUSIVE_DECIBANS: u32 = 20;

/// Why an agent is excluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// Tasks of different jobs failed there in a row.
    Failures {
        /// The number of jobs.
        jobs: usize,
        /// How improbable that is at a sound agent, in decibans.
        weight: u32,
    },
    /// Tasks run too long there.
    Overruns,
    /// It refused a start as unwell.
    Unwell,
}

impl Cause {
    fn span(self) -> Duration {
        match self {
            Self::Failures { .. } | Self::Overruns => EXCLUSION,
            Self::Unwell => UNWELL_EXCLUSION,
        }
    }
}

/// The failures at one agent since its last success.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureStreak {
    /// The queue of each job that failed, and when it last did.
    jobs: BTreeMap<JobId, (Name, Now)>,
}

impl FailureStreak {
    fn record(&mut self, now: Now, job: JobId, queue: &Name) {
        self.jobs.retain(|_, (_, at)| now < *at + MEMORY);
        if self.jobs.len() < MAX_JOBS || self.jobs.contains_key(&job) {
            self.jobs.insert(job, (queue.clone(), now));
        }
    }

    fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether a task of a job has failed lately.
    pub(super) fn contains(&self, now: Now, job: JobId) -> bool {
        let failed = self.jobs.get(&job);
        failed.is_some_and(|(_, at)| now < *at + MEMORY)
    }
}

/// How tasks of one queue have ended lately at each agent.
#[derive(Clone, Debug, Default)]
struct QueueOutcomes {
    /// Whether the last task failed, and when it ended.
    last: BTreeMap<MinionId, (bool, Now)>,
    by_time: BTreeSet<(Now, MinionId)>,
    /// The number of agents at which the last task failed.
    failing: usize,
}

impl QueueOutcomes {
    fn record(&mut self, now: Now, agent: &MinionId, failed: bool) {
        // Most ends are successes at an agent that has just had another one.
        let last = self.last.get(agent);
        if last.is_some_and(|(before, at)| *before == failed && now < *at + RESOLUTION) {
            return;
        }
        self.forget(agent);
        self.failing += usize::from(failed);
        self.last.insert(agent.clone(), (failed, now));
        self.by_time.insert((now, agent.clone()));
        self.expire(now);
    }

    fn expire(&mut self, now: Now) {
        while let Some((_, old)) = self.by_time.first().filter(|(at, _)| now >= *at + MEMORY) {
            let old = old.clone();
            self.forget(&old);
        }
    }

    fn forget(&mut self, agent: &MinionId) {
        if let Some((failed, at)) = self.last.remove(agent) {
            self.failing -= usize::from(failed);
            self.by_time.remove(&(at, agent.clone()));
        }
    }

    /// The weight of a failure at an agent, by how tasks of the queue end at others.
    fn weight(&self, agent: &MinionId) -> u32 {
        let own = self.last.get(agent);
        let others = self.last.len() - usize::from(own.is_some());
        let failing = self.failing - usize::from(own.is_some_and(|(failed, _)| *failed));
        if failing == others {
            return 0;
        }
        // The half keeps a few agents without failures from proving that there are none.
        decibans((failing as f64 + 0.5) / (others as f64 + 1.0))
    }
}

/// Which agents are excluded, and what tells of their failures.
#[derive(Clone, Debug, Default)]
pub(super) struct Exclusions {
    /// The excluded agents of each pool, and until when they are.
    agents: BTreeMap<PoolId, BTreeMap<MinionId, Now>>,
    /// How tasks of each queue have ended lately.
    queues: BTreeMap<Name, QueueOutcomes>,
    /// When outcomes that are too old were last dropped from all queues.
    expired_at: Now,
    /// The gangs that wait only because agents are excluded, and since when.
    gangs: BTreeMap<StepId, Now>,
}

impl Exclusions {
    fn record(&mut self, now: Now, queue: &Name, agent: &MinionId, failed: bool) {
        match self.queues.get_mut(queue) {
            Some(outcomes) => outcomes.record(now, agent, failed),
            None => {
                let outcomes = self.queues.entry(queue.clone()).or_default();
                outcomes.record(now, agent, failed);
            }
        }
    }

    /// The weight of the failures at an agent.
    fn weight(&self, agent: &MinionId, streak: &FailureStreak) -> u32 {
        let weights = streak.jobs.values().map(|(queue, _)| {
            let outcomes = self.queues.get(queue);
            outcomes.map_or(0, |outcomes| outcomes.weight(agent))
        });
        weights.fold(0, u32::saturating_add)
    }

    /// Whether any agent of a pool is excluded.
    fn any(&self, now: Now, pool: &PoolId) -> bool {
        let agents = self.agents.get(pool).into_iter().flatten();
        agents.into_iter().any(|(_, until)| *until > now)
    }

    /// Records that a gang was placed.
    pub(super) fn forget_gang(&mut self, gang: StepId) {
        self.gangs.remove(&gang);
    }

    /// Forgets the gangs of a job that is over.
    pub(super) fn forget_job(&mut self, job: JobId) {
        self.gangs.retain(|step, _| step.job != job);
    }
}

impl Scheduler {
    /// Learns from the ends of attempts which agents make tasks fail, and excludes them.
    pub(super) fn judge_ends(&mut self, now: Now, ledger: &Ledger, ends: &[EndBatch]) {
        for batch in ends {
            for end in &batch.ends {
                let job = end.task.step.job;
                match end.how {
                    Ending::Done => self.record_success(now, ledger, job, &batch.agent),
                    Ending::Failed => self.record_failure(now, ledger, job, &batch.agent),
                    Ending::Stopped | Ending::Lapsed | Ending::Broken | Ending::Alone => {}
                }
            }
        }
    }

    fn record_success(&mut self, now: Now, ledger: &Ledger, job: JobId, id: &MinionId) {
        if let Some(job) = ledger.job(job) {
            self.exclusions.record(now, &job.queue, id, false);
        }
        let failed = self
            .agents
            .get(id)
            .is_some_and(|agent| !agent.failures.is_empty());
        if failed && let Some(agent) = self.agents.get_mut(id) {
            agent.failures = FailureStreak::default();
        }
    }

    fn record_failure(&mut self, now: Now, ledger: &Ledger, job: JobId, id: &MinionId) {
        let Some(queue) = ledger.job(job).map(|job| &job.queue) else {
            return;
        };
        self.exclusions.record(now, queue, id, true);
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.failures.record(now, job, queue);
        let jobs = agent.failures.jobs.len();
        if jobs < MIN_JOBS || agent.excluded_until > now {
            return;
        }
        let weight = self.exclusions.weight(id, &agent.failures);
        if weight >= CONCLUSIVE_DECIBANS {
            self.exclude(now, id, Cause::Failures { jobs, weight });
        }
    }

    /// Excludes an agent for a while, unless too much of its pool is excluded.
    pub(super) fn exclude(&mut self, now: Now, id: &MinionId, cause: Cause) {
        let Some(agent) = self.agents.get(id) else {
            return;
        };
        let pool = agent.record.pool.clone();
        let rests = match cause {
            Cause::Failures { .. } => now < agent.excluded_until,
            Cause::Overruns => now < agent.excluded_until + OVERRUN_REST,
            Cause::Unwell => false,
        };
        let all = self.agents.pool_size(&pool);
        let others = self.exclusions.agents.entry(pool).or_default();
        let excluded = 1 + others
            .iter()
            .filter(|(other, until)| *other != id && **until > now)
            .count();
        let is_part = excluded < all && excluded <= all.div_ceil(2);
        if rests || (cause != Cause::Unwell && !is_part) {
            return;
        }
        let until = (now + cause.span()).max(agent.excluded_until);
        others.insert(id.clone(), until);
        log::info!(agent:% = id, cause:?, span:? = cause.span(), excluded, agents = all; "an agent is excluded");
        if let Some(agent) = self.agents.get_mut(id) {
            agent.excluded_until = until;
        }
    }

    /// Forgets the exclusions that have ended, and ends of tasks that no longer count.
    pub(super) fn end_exclusions(&mut self, now: Now) {
        if now >= self.exclusions.expired_at + MEMORY {
            self.exclusions.expired_at = now;
            self.exclusions.queues.retain(|_, outcomes| {
                outcomes.expire(now);
                !outcomes.last.is_empty()
            });
        }
        self.exclusions.agents.retain(|_, agents| {
            agents.retain(|id, until| {
                let excluded = *until > now;
                if !excluded {
                    log::info!(agent:% = id; "an agent is no longer excluded");
                }
                excluded
            });
            !agents.is_empty()
        });
    }

    /// Whether exclusions keep a gang waiting that could be placed without them, and have done so
    /// for as long as an exclusion lasts. `is_placeable` tells whether it could be placed.
    pub(super) fn overrides_exclusions(
        &mut self,
        now: Now,
        pool: &PoolId,
        gang: StepId,
        is_placeable: impl FnOnce(&Self) -> bool,
    ) -> bool {
        if !self.exclusions.any(now, pool) || !is_placeable(self) {
            self.exclusions.gangs.remove(&gang);
            return false;
        }
        let since = *self.exclusions.gangs.entry(gang).or_insert(now);
        now >= since + EXCLUSION
    }
}
