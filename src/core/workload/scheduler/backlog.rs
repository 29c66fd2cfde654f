//! How long a new job of a pool would wait for its first start, and whether it is accepted.
//!
//! A pool starts no more than its hosts have room for and the leader has time for. While work that
//! can be in time waits for either, the rate at which the pool's work is started is what both
//! together allow. The work that waits, divided by that rate, is the time before a new job. A job
//! that would be late by the time of its turn takes time from others or is served after them all,
//! so it is refused, and its caller is told when there will be room.
//!
//! The estimate is on the safe side: the higher of two rates counts, later steps of accepted jobs
//! and late work don't, and nothing is refused by a pool that isn't saturated or is to get hosts.

use std::{collections::BTreeSet, time::Duration};

use super::{Ledger, Now, Placement, PoolId, Scheduler, operations::Purpose};
use crate::core::workload::{command::Submission, job::Job, spec::JobSpec};

/// The time over which the starts of a pool are averaged.
const AVERAGING_TIME: Duration = Duration::from_millis(500);
/// The load of the leader's processor from which on work waits for it; see `Pressure::level`.
const FULL_LEVEL: f64 = 0.5;
/// The shortest time after which a refused job may be accepted.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How fast the batch work of a pool is started.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartRate {
    /// Thousandths of a core that were placed since the last check.
    placed: u64,
    /// Thousandths of a core placed per second, averaged.
    average: f64,
    /// Thousandths of a core that are started per second, if work waits for hosts or the leader.
    saturated: Option<f64>,
}

impl StartRate {
    /// Counts batch work that was placed.
    pub(super) fn record(&mut self, millicores: u64) {
        self.placed += millicores;
    }

    /// Takes in what was placed in a span.
    fn average_over(&mut self, span: Duration) {
        let seconds = span.as_secs_f64().max(0.001);
        let weight = 1.0 - (-seconds / AVERAGING_TIME.as_secs_f64()).exp();
        let placed = std::mem::take(&mut self.placed) as f64 / seconds;
        self.average += (placed - self.average) * weight;
    }
}

impl Scheduler {
    /// Updates the rates at which the pools' work is started.
    pub(super) fn update_start_rates(&mut self, now: Now, span: Duration) {
        let growing = self.growing_pools();
        let pools = self.catalog.pools.iter().filter(|pool| !pool.spare);
        let pools: Vec<_> = pools.map(|pool| pool.name.clone()).collect();
        for pool in pools {
            let is_saturated = !growing.contains(&pool) && self.is_saturated(now, &pool);
            let turnover = is_saturated.then(|| self.turnover(&pool));
            let rate = self.hosts.start_rates.entry(pool).or_default();
            rate.average_over(span);
            let average = rate.average;
            let saturated = turnover.map(|turnover| turnover.max(average));
            rate.saturated = saturated.filter(|rate| *rate > 0.0);
        }
    }

    /// Whether work that can be in time waits for what a pool has, and no hosts are on their way.
    pub(super) fn is_full(&self, pool: &PoolId) -> bool {
        let rate = self.hosts.start_rates.get(pool);
        rate.is_some_and(|rate| rate.saturated.is_some())
    }

    /// The pools that are to get hosts.
    fn growing_pools(&self) -> BTreeSet<PoolId> {
        let operations = self.hosts.operations.values();
        let moves = operations.filter_map(|operation| match &operation.purpose {
            Purpose::Move(pool) => Some(pool.clone()),
            Purpose::Maintain(_) => None,
        });
        moves.collect()
    }

    /// Whether work of a pool that can be in time waits for hosts or for the leader.
    fn is_saturated(&self, now: Now, pool: &PoolId) -> bool {
        let (in_time, _) = self.ready.backlogs(pool);
        let Some(least) = self.ready.min_millicores(pool) else {
            return false;
        };
        let is_full = self.pressure.level() >= FULL_LEVEL
            || self
                .agents_accepting_work(now, pool, least)
                .next()
                .is_none();
        in_time.millicores > 0 && is_full
    }

    /// Thousandths of a core per second that the running batch tasks of a pool make free.
    fn turnover(&self, pool: &PoolId) -> f64 {
        let Some(learned) = self.learned.get(pool) else {
            // Nothing is known of its tasks, so that any wait may be short.
            return f64::INFINITY;
        };
        let agents = self.agents.with_room(pool, 0);
        let slots = agents.flat_map(|agent| agent.slots.values());
        let batch = slots.filter(|slot| !slot.long_running);
        let used: u64 = batch.map(|slot| slot.room.millicores).sum();
        used as f64 / (learned.mean() + learned.lag()).as_secs_f64().max(0.001)
    }

    /// Counts the batch work of a pool that was just placed.
    pub(super) fn count_placed(&mut self, pool: &PoolId, starts: &[Placement]) {
        let steps = starts
            .iter()
            .filter_map(|start| self.ready.get(start.task.step));
        let batch = steps.filter(|ready| !ready.spec.long_running);
        let placed = batch.map(|ready| ready.spec.reservation().millicores).sum();
        let rate = self.hosts.start_rates.entry(pool.clone()).or_default();
        rate.record(placed);
    }

    /// When a caller should submit a job again, if the job isn't accepted because it couldn't be in
    /// time. `more` is how many other jobs of its pool are about to be accepted.
    pub fn retry_after(
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
            accepted_at,
            ..
        } = submission;
        let job = Job::new(queue.clone(), pool.clone(), spec.clone(), *accepted_at);
        let poison = self.poison_wait(now, ledger, &job, more);
        poison.max(self.backlog_wait(&job, more))
    }

    /// When a job should be submitted again that would be late by the time of its turn. `more` is
    /// how many other jobs are about to be accepted.
    fn backlog_wait(&self, job: &Job, more: usize) -> Option<Duration> {
        let pool = self.pool(job);
        let rate = self.hosts.start_rates.get(&pool)?.saturated?;
        let lasts = job.spec.steps.iter().any(|step| step.long_running);
        if lasts || job.spec.occurrences() > 1 {
            return None;
        }
        let (in_time, _) = self.ready.backlogs(&pool);
        let coming = first_millicores(&job.spec) * more as f64;
        let before = in_time.millicores as f64 + coming;
        let wait = Duration::try_from_secs_f64(before / rate).unwrap_or(Duration::MAX);
        let excess = wait.saturating_sub(self.spare_time(&pool, job));
        (!excess.is_zero()).then(|| excess.max(MIN_RETRY_DELAY))
    }

    /// How long a new job may wait for its first start and still be in time.
    fn spare_time(&self, pool: &PoolId, job: &Job) -> Duration {
        let objective = self.objective(job);
        let lag = self.expected_lag(pool, job, objective);
        let remaining = job.spec.remaining(|step| self.estimate(pool, step) + lag);
        objective.saturating_sub(remaining.into_iter().max().unwrap_or_default())
    }
}

/// Thousandths of a core that the steps of a job take that begin at once.
fn first_millicores(spec: &JobSpec) -> f64 {
    let first = spec.steps.iter().filter(|step| step.after.is_empty());
    let needs = first.map(|step| step.reservation().millicores as f64 * f64::from(step.tasks));
    needs.sum()
}
