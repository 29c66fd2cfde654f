//! Queues whose jobs end the hosts that run them, one after the other.
//!
//! If a good part of a queue's new jobs are poison, packing them together costs a host for each
//! group, and proves nothing against any of them. So jobs without a record share hosts only as far
//! as the queue's [`PoisonRate`](crate::core::workload::poison_rate::PoisonRate) allow, from one per host to all
//! together.
//!
//! A pool can then try only so many jobs per second. Jobs beyond that aren't accepted to wait: they
//! are refused at once, and the caller is told when the jobs that wait before will be done. That
//! time follows from how many jobs of the queue wait or run, and how many ended recently.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use super::{Agent, JobId, Ledger, Name, Now, PoolId, Scheduler};
use crate::core::workload::{command::Submission, job::Job};

/// The time over which the finished jobs of a queue are counted.
const COMPLETION_WINDOW: Duration = Duration::from_secs(4);
/// A job that takes this many times its objective is of no more use to its caller.
const MAX_DELAY_FACTOR: u32 = 3;

/// For each queue, when its recent jobs ended, in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Completions(BTreeMap<Name, VecDeque<Now>>);

impl Completions {
    pub(super) fn record(&mut self, now: Now, queue: &Name) {
        let times = self.0.entry(queue.clone()).or_default();
        times.push_back(now);
        while times
            .front()
            .is_some_and(|at| *at + COMPLETION_WINDOW < now)
        {
            times.pop_front();
        }
    }

    /// How many jobs of a queue ended recently.
    fn count_ends(&self, now: Now, queue: &Name) -> usize {
        let times = self.0.get(queue).into_iter().flatten();
        times.filter(|at| now <= **at + COMPLETION_WINDOW).count()
    }
}

/// For each queue of a pool whose jobs end hosts, how many of its jobs may share a host.
#[derive(Clone, Debug, Default)]
pub(super) struct SharingLimits {
    max_jobs: BTreeMap<Name, usize>,
    /// Queues for which no host was found.
    full_queues: BTreeSet<Name>,
}

impl SharingLimits {
    /// Whether no queue is limited.
    pub(super) fn is_none(&self) -> bool {
        self.max_jobs.is_empty()
    }

    fn of(&self, job: &Job) -> Option<usize> {
        self.max_jobs.get(&job.queue).copied()
    }

    /// Notes that no host was found for a job.
    pub(super) fn record_full(&mut self, job: &Job) {
        if self.of(job).is_some() {
            self.full_queues.insert(job.queue.clone());
        }
    }

    /// Whether no host will be found for a job that runs nowhere yet.
    pub(super) fn is_full(&self, job: &Job) -> bool {
        self.full_queues.contains(&job.queue)
    }
}

impl Scheduler {
    /// The limits that apply in a pool now.
    pub(super) fn sharing_limits(&self, ledger: &Ledger, pool: &PoolId) -> SharingLimits {
        if !ledger.has_poison_queue() {
            return SharingLimits::default();
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
        SharingLimits {
            max_jobs: most.collect(),
            full_queues: BTreeSet::new(),
        }
    }

    /// Whether a job may run beside the other batch jobs on an agent.
    pub(super) fn may_share(
        &self,
        ledger: &Ledger,
        apart: &SharingLimits,
        agent: &Agent,
        id: JobId,
    ) -> bool {
        if apart.is_none() {
            return true;
        }
        let batch = agent.slots.iter().filter(|(_, slot)| !slot.long_running);
        let others: BTreeSet<_> = batch.map(|(task, _)| task.step.job).collect();
        let jobs = others.iter().chain([&id]).filter_map(|id| ledger.job(*id));
        let most = jobs.filter_map(|job| apart.of(job)).min();
        let others = others.iter().filter(|other| **other != id).count();
        most.is_none_or(|most| others < most)
    }

    /// When a caller should submit a job again, if the job isn't accepted because it couldn't be in
    /// time. `more` is how many other jobs are about to be accepted.
    pub fn retry_after(
        &self,
        now: Now,
        ledger: &Ledger,
        submission: &Submission,
        more: usize,
    ) -> Option<Duration> {
        let storm = self.storm_retry_after(now, ledger, submission, more);
        storm.max(self.backlog_retry_after(now, ledger, submission, more))
    }

    /// The same for a queue whose jobs end hosts: the job would be of no more use by the time the jobs of its queue that wait before it are over. `more` is how many other
    /// jobs are about to be accepted.
    fn storm_retry_after(
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
        let over = self.completions.count_ends(now, queue).max(1);
        let wait = COMPLETION_WINDOW * before / u32::try_from(over).unwrap_or(u32::MAX);
        let job = Job::new(queue.clone(), pool.clone(), spec.clone(), *accepted);
        wait.checked_sub(self.objective(&job) * MAX_DELAY_FACTOR)
    }
}
