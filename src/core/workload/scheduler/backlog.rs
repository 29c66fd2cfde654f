//! How long a new job of a pool would wait for its first start.
//!
//! A pool starts no more than its hosts have room for and the leader has time for. While work waits
//! for either, the rate at which the pool's work is started is what both together allow. The work
//! that waits, divided by that rate, is the time before a new job. Work that can no longer be in
//! time doesn't count, as it is served last.

use std::time::Duration;

use super::{Ledger, Now, PoolId, Scheduler, learned::TaskTimes};
use crate::core::workload::{command::Submission, job::Job};

/// The time over which the starts of a pool are averaged.
const AVERAGING_TIME: Duration = Duration::from_millis(500);
/// The load of the leader's processor from which on work waits for it; see `Pressure::level`.
const FULL_LEVEL: f64 = 0.5;
/// The part of its spare time that a job may wait for its first start. The rest is for what can't be
/// foreseen, and for the steps that come later.
const MAX_WAIT_PART: f64 = 0.5;
/// The shortest time after which a refused job may be accepted.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The starts of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartRate {
    /// Thousandths of a core that were placed since the last check.
    placed: u64,
    /// Thousandths of a core placed per second, averaged.
    average: f64,
    /// Whether work waits for hosts or for the leader.
    is_saturated: bool,
    /// What the batch tasks that run would start per second, if each is followed by another.
    turnover: f64,
}

impl StartRate {
    pub(super) fn record(&mut self, millicores: u64) {
        self.placed += millicores;
    }

    /// Thousandths of a core that are started per second, if work waits.
    fn saturated_rate(&self) -> Option<f64> {
        let rate = self.average.max(self.turnover);
        (self.is_saturated && rate > 0.0).then_some(rate)
    }
}

impl Scheduler {
    /// Updates the rates at which the pools' work is started.
    pub(super) fn update_start_rates(&mut self, span: Duration) {
        let seconds = span.as_secs_f64().max(0.001);
        let weight = 1.0 - (-seconds / AVERAGING_TIME.as_secs_f64()).exp();
        let pools = self.catalog.pools.iter().filter(|pool| !pool.spare);
        let names: Vec<_> = pools.map(|pool| pool.name.clone()).collect();
        for pool in names {
            let is_saturated = self.is_saturated(&pool);
            let turnover = self.turnover(&pool);
            let rate = self.hosts.start_rates.entry(pool).or_default();
            let placed = std::mem::take(&mut rate.placed) as f64 / seconds;
            rate.average += (placed - rate.average) * weight;
            rate.is_saturated = is_saturated;
            rate.turnover = turnover;
        }
    }

    /// Whether work of a pool that can be in time waits for hosts or for the leader.
    fn is_saturated(&self, pool: &PoolId) -> bool {
        let (in_time, _) = self.ready.backlogs(pool);
        let Some(least) = self.ready.min_millicores(pool) else {
            return false;
        };
        let is_full = self.pressure.level() >= FULL_LEVEL
            || self.agents.with_room(pool, least).next().is_none();
        in_time.millicores > 0 && is_full
    }

    /// Thousandths of a core per second that the running batch tasks of a pool make free.
    fn turnover(&self, pool: &PoolId) -> f64 {
        let Some(learned) = self.learned.get(pool) else {
            return 0.0;
        };
        let agents = self.agents.values().filter(|a| a.record.pool == *pool);
        let slots = agents.flat_map(|agent| agent.slots.values());
        let batch = slots.filter(|slot| !slot.long_running);
        let used: u64 = batch.map(|slot| slot.room.millicores).sum();
        let each = (learned.mean() + learned.lag()).as_secs_f64();
        if each > 0.0 { used as f64 / each } else { 0.0 }
    }

    /// When a job should be submitted again that would wait too long for its first start. `more` is
    /// how many other jobs are about to be accepted.
    pub(super) fn backlog_retry_after(
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
        if spec.steps.iter().any(|step| step.long_running) {
            return None;
        }
        let job = Job::new(queue.clone(), pool.clone(), spec.clone(), *accepted_at);
        let pool = self.pool(&job);
        let rate = self.hosts.start_rates.get(&pool)?.saturated_rate()?;
        let (in_time, _) = self.ready.backlogs(&pool);
        let own: u64 = spec
            .steps
            .iter()
            .map(|step| {
                step.reservation()
                    .millicores
                    .saturating_mul(u64::from(step.tasks))
            })
            .sum();
        let _ = (now, ledger);
        let coming = own.saturating_mul(u64::try_from(more).unwrap_or(u64::MAX));
        let before = in_time.millicores.saturating_add(coming) as f64;
        let wait = Duration::try_from_secs_f64(before / rate).unwrap_or(Duration::MAX);
        let lag = self
            .learned
            .get(&pool)
            .map(TaskTimes::lag)
            .unwrap_or_default();
        let objective = self.objective(&job);
        let spare = objective.saturating_sub(self.critical_path(&pool, &job) + lag);
        let excess = wait.checked_sub(spare.mul_f64(MAX_WAIT_PART))?;
        (!excess.is_zero()).then(|| excess.max(MIN_RETRY_DELAY))
    }
}
