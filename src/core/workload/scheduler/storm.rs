//! Queues whose jobs end the hosts that run them, one after the other.
//!
//! Where a good part of a queue's new jobs is such, packing them costs a host for each crowd, and proves
//! nothing against any of them. So jobs that nothing is known of share hosts as the queue's
//! [`PoisonRate`](crate::core::workload::poison_rate::PoisonRate) say, from alone to all together.
//!
//! A pool tries only so many jobs a second then. What comes beyond that isn't accepted to wait: it is
//! refused at once, and its caller told when what waits before it will be through. How long that is follows from
//! how many jobs of the queue wait or run, and how many were over lately.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use super::{Agent, JobId, Ledger, Name, Now, PoolId, Scheduler};
use crate::core::workload::{command::Submission, job::Job};

/// The time over which the jobs of a queue that are over are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// A job that takes so many times as long as it should is of no use to its caller any more.
const LATE: u32 = 3;

/// When jobs of each queue were over, the last one last.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures(BTreeMap<Name, VecDeque<Now>>);

impl Departures {
    pub(super) fn note(&mut self, now: Now, queue: &Name) {
        let times = self.0.entry(queue.clone()).or_default();
        times.push_back(now);
        while times.front().is_some_and(|at| *at + WINDOW < now) {
            times.pop_front();
        }
    }

    /// How many of a queue were over lately.
    fn count(&self, now: Now, queue: &Name) -> usize {
        let times = self.0.get(queue).into_iter().flatten();
        times.filter(|at| now <= **at + WINDOW).count()
    }
}

/// How many jobs of each queue of a pool that ends hosts share one.
#[derive(Clone, Debug, Default)]
pub(super) struct Apart {
    most: BTreeMap<Name, usize>,
    /// Queues for which no host was found.
    full: BTreeSet<Name>,
}

impl Apart {
    /// Whether nothing has to be kept apart.
    pub(super) fn is_none(&self) -> bool {
        self.most.is_empty()
    }

    fn of(&self, job: &Job) -> Option<usize> {
        self.most.get(&job.queue).copied()
    }

    /// No host was found for a job.
    pub(super) fn note_full(&mut self, job: &Job) {
        if self.of(job).is_some() {
            self.full.insert(job.queue.clone());
        }
    }

    /// Whether no host will be found for a job that runs nowhere yet.
    pub(super) fn is_full(&self, job: &Job) -> bool {
        self.full.contains(&job.queue)
    }
}

impl Scheduler {
    /// What has to be kept apart in a pool now.
    pub(super) fn apart_in(&self, ledger: &Ledger, pool: &PoolId) -> Apart {
        if !ledger.has_poison_queue() {
            return Apart::default();
        }
        let queues = self
            .catalog
            .queues
            .iter()
            .filter(|queue| queue.pool == *pool);
        let most = queues.filter_map(|queue| {
            let most = ledger.poison_rate(&queue.name).max_per_host()?;
            Some((queue.name.clone(), most))
        });
        Apart {
            most: most.collect(),
            full: BTreeSet::new(),
        }
    }

    /// Whether a job may run beside the other short ones at an agent.
    pub(super) fn may_share(
        &self,
        ledger: &Ledger,
        apart: &Apart,
        agent: &Agent,
        id: JobId,
    ) -> bool {
        if apart.is_none() {
            return true;
        }
        let short = agent.slots.iter().filter(|(_, slot)| !slot.lasting);
        let others: BTreeSet<_> = short.map(|(task, _)| task.step.job).collect();
        let jobs = others.iter().chain([&id]).filter_map(|id| ledger.job(*id));
        let most = jobs.filter_map(|job| apart.of(job)).min();
        let others = others.iter().filter(|other| **other != id).count();
        most.is_none_or(|most| others < most)
    }

    /// When to come back with a job, if it isn't accepted since it would be of no use by the time that those
    /// of its queue which wait before it are over. So many more are about to be accepted.
    pub fn comeback(
        &self,
        now: Now,
        ledger: &Ledger,
        submission: &Submission,
        more: usize,
    ) -> Option<Duration> {
        let Submission {
            queue,
            pool,
            spec,
            accepted_at: accepted,
            ..
        } = submission;
        if ledger.poison_rate(queue).is_negligible() {
            return None;
        }
        let live = self.accepted_at.keys().filter_map(|id| ledger.job(*id));
        let live = live.filter(|other| other.queue == *queue && !other.has_ended());
        let live = live.filter(|other| other.spec.steps.iter().all(|step| !step.long_running));
        let before = u32::try_from(live.count() + more).unwrap_or(u32::MAX);
        let over = self.departures.count(now, queue).max(1);
        let wait = WINDOW * before / u32::try_from(over).unwrap_or(u32::MAX);
        let job = Job::new(queue.clone(), pool.clone(), spec.clone(), *accepted);
        wait.checked_sub(self.objective(&job) * LATE)
    }
}
