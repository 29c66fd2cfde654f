//! Divides pools between the workspaces that contend for them.
//!
//! The workspaces contend for a pool while it can't do their outstanding work in the time that its
//! jobs have. Then each gets a share of the pool's cores. The steps beyond a workspace's share are
//! served after those of the others that can be in time, and move into the share as the
//! workspace's tasks end. While nobody contends, the order of starts isn't changed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{Now, PoolId, Scheduler, operations::Purpose};
use crate::core::workload::workspace_shares::{Owner, RecentOffers, Shares, Usage};

/// Delay between checks which workspaces contend for what: a small part of the time in which a
/// surge builds up. Each check visits the agents.
const SHARE_CHECK_DELAY: Duration = Duration::from_millis(100);
/// Delay between log lines of who is beyond a share.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Workspaces that contend for a pool do so until their work falls below this part of what the pool
/// can do in time, so that steps aren't moved back and forth.
const CONTENTION_END: f64 = 0.8;
/// The name in the log of all jobs without a workspace.
const NO_WORKSPACE: &str = "-";

/// When shares were last checked and logged.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShareTimes {
    checked_at: Now,
    logged_at: Now,
}

impl Scheduler {
    /// Updates the shares of the workspaces, and which steps are beyond them.
    pub(super) fn update_shares(&mut self, now: Now) {
        if !self.settings.workspace_shares {
            return;
        }
        if now >= self.share_times.checked_at + SHARE_CHECK_DELAY {
            self.share_times.checked_at = now;
            let is_logged = now >= self.share_times.logged_at + LOG_INTERVAL;
            if is_logged {
                self.share_times.logged_at = now;
            }
            let pools: Vec<_> = self.usage.pools.keys().cloned().collect();
            for pool in pools {
                let shares = self.update_pool_shares(now, &pool);
                if is_logged {
                    log_beyond(&pool, &shares);
                }
            }
        }
        self.ready.settle_shares();
    }

    fn update_pool_shares(&mut self, now: Now, pool: &PoolId) -> Shares {
        let capacity = self.contended_capacity(pool);
        let Some(usage) = self.usage.pools.get_mut(pool) else {
            return Shares::default();
        };
        let before = std::mem::replace(&mut usage.contended, capacity.is_some());
        if !before && capacity.is_none() {
            return Shares::default();
        }
        let usages = self.core_usages(now, pool);
        let owners: Vec<_> = usages.keys().cloned().collect();
        let shares =
            capacity.map_or_else(Shares::default, |capacity| Shares::new(capacity, usages));
        for owner in owners {
            // With a share of at least something, one step is always within it.
            let share = shares.is_contended().then(|| shares.share(&owner).max(1));
            self.ready.set_share(pool, &owner, share);
        }
        shares
    }

    /// The capacity of a pool if its outstanding work is more than it can do in the time that its
    /// jobs have. An unknown capacity isn't contended.
    fn contended_capacity(&self, pool: &PoolId) -> Option<u64> {
        let usage = self.usage.pools.get(pool)?;
        let work = self.outstanding.total(pool).work;
        if self.catalog.workspaces.is_empty() || work == 0 {
            return None;
        }
        let capacity = self.batch_capacity(pool);
        let possible = capacity as f64 * usage.objective().as_secs_f64() * 1000.0;
        let limit = if usage.contended {
            possible * CONTENTION_END
        } else {
            possible
        };
        (capacity > 0 && work as f64 > limit).then_some(capacity)
    }

    /// The shares of the workspaces in the work that a pool can do in a time, in thousandths of a
    /// core times milliseconds; `None` if workspaces have no shares. Admission control asks whether
    /// one more job of a workspace is within its share.
    pub fn work_shares(
        &self,
        now: Now,
        pool: &PoolId,
        possible: u64,
        time: Duration,
    ) -> Option<Shares> {
        if !self.settings.workspace_shares || self.catalog.workspaces.is_empty() {
            return None;
        }
        let work = self.outstanding.workspaces(pool);
        let work = work.map(|(owner, work)| (owner.cloned(), work));
        let usages = self.usages(now, pool, &work.collect(), time.as_secs_f64() * 1000.0);
        Some(Shares::new(possible, usages))
    }

    /// What the workspaces have of a pool's cores and may ask for, in thousandths of a core.
    fn core_usages(&self, now: Now, pool: &PoolId) -> BTreeMap<Owner, Usage> {
        let held = self.ready.owners(pool);
        let held = held.map(|(owner, queue)| (owner.clone(), queue.held()));
        let mut usages = self.usages(now, pool, &held.collect(), 1.0);
        for (owner, usage) in &mut usages {
            let cap = owner.as_ref().map(|owner| self.catalog.cap(owner));
            let cap = cap.map_or(0, |cap| cap.0.millicores);
            // What a cap doesn't let run is no claim.
            if cap > 0 {
                usage.held = usage.held.min(cap);
                usage.expected = usage.expected.min(cap);
            }
        }
        usages
    }

    /// What the workspaces have of a pool and may ask for in so many milliseconds.
    fn usages(
        &self,
        now: Now,
        pool: &PoolId,
        held: &BTreeMap<Owner, u64>,
        millis: f64,
    ) -> BTreeMap<Owner, Usage> {
        let offers = self.usage.pools.get(pool).map(|usage| &usage.offers);
        let known = offers.into_iter().flat_map(BTreeMap::keys);
        let owners: BTreeSet<_> = known.chain(held.keys()).collect();
        let usages = owners.into_iter().map(|owner| {
            let offers = offers.and_then(|offers| offers.get(owner));
            let rate = offers.map_or(0.0, |offers| offers.rate(now));
            let mean = offers.map_or(0.0, RecentOffers::mean);
            let weight = self.catalog.weight(owner.as_ref());
            let usage = Usage {
                weight,
                held: held.get(owner).copied().unwrap_or_default(),
                expected: (rate * millis) as u64,
                // The weight is a rate of jobs per second.
                entitled: (weight / 1000.0 * mean * millis) as u64,
            };
            (owner.clone(), usage)
        });
        usages.collect()
    }

    /// The thousandths of a core of a pool that batch tasks have or can have, hosts on their way
    /// to the pool included.
    fn batch_capacity(&self, pool: &PoolId) -> u64 {
        let agents = self.agents.with_room(pool, 0);
        let able = agents.filter(|agent| agent.is_healthy() && !agent.replaced && !agent.cordoned);
        let (mut capacity, mut largest) = (0, 0);
        for agent in able {
            let all = agent.record.capacity.millicores;
            let long_running = agent.used.millicores - agent.batch_millicores();
            capacity += all.saturating_sub(long_running);
            largest = largest.max(all);
        }
        let operations = self.hosts.operations.values();
        let coming = operations.filter(|operation| match &operation.purpose {
            Purpose::Move(to) => to == pool,
            Purpose::Maintain(_) => false,
        });
        capacity + largest * coming.count() as u64
    }
}

fn log_beyond(pool: &PoolId, shares: &Shares) {
    for (owner, surplus) in shares.beyond() {
        let workspace = owner.as_deref().unwrap_or(NO_WORKSPACE);
        let (share_cores, surplus_cores) = (shares.share(owner) / 1000, surplus / 1000);
        log::info!(pool:%, workspace, share_cores, surplus_cores; "a workspace is beyond its share");
    }
}
