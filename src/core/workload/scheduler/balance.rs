//! Decides which pool each host works for.
//!
//! Only empty hosts are moved, because a move ends everything that runs there. Present work and
//! arriving work go before expected work: for them, a pool gets hosts from any pool that has more
//! than its own work needs. The pool that has the smallest part of its need is served first, so
//! that two pools that lack hosts end up equally short.
//!
//! The needs themselves come from the demand of the pools. If they exceed the hosts that there are,
//! the allocation of a scarce fleet gives each pool a target instead, and present hosts beyond the
//! targets go to the pools below theirs. Idle hosts that no pool should keep are moved to the spare
//! pool.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Agent, HostState, HostView, Ledger, Now, PoolId, Scheduler,
    allocation::{Claim, Rounds, allocate},
    demand::Need,
    host_orders::Priority,
    operations::Purpose,
    vacating::take_emptiest,
};
use crate::core::types::HostId;

/// How long a host has to be empty before it is moved to the spare pool: by then it has cost as
/// much as two moves.
const PARK_DELAY: Duration = Duration::from_millis(2500);
/// How long a surge of demand takes to reach its peak.
const SURGE_RISE: Duration = Duration::from_secs(4);
/// Delay between checks of what the pools need.
pub(super) const POOL_CHECK_DELAY: Duration = Duration::from_millis(100);
/// Delay between log lines of what the pools need.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A number of hosts for each pool.
pub(super) type HostCounts = BTreeMap<PoolId, usize>;

impl Scheduler {
    /// Moves hosts to the pools that need them, and idle ones to the spare pool.
    pub(super) fn balance(&mut self, now: Now, span: Duration, ledger: &Ledger) {
        let spare = self.catalog.pools.iter().find(|pool| pool.spare);
        let spare = spare.map(|pool| pool.name.clone());
        let needs = self.needs(now, span, ledger);
        let mut have = self.host_counts();
        let present = self.allocate_hosts(now, &needs, &have);
        self.log_pools(now, &needs, &have);
        self.check_vacating(now, &present, &mut have);
        let kept: HostCounts = needs.iter().map(|(p, n)| (p.clone(), n.keep)).collect();
        let spares = spare.as_ref();
        // These visit all hosts, ten times per second.
        let mut free = if is_any_short(&present, &have) || is_any_short(&kept, &have) {
            self.empty_hosts_by_pool(now)
        } else {
            BTreeMap::new()
        };
        let mut room = self.hosts.orders.room(now, Priority::Needed);
        self.fill_pools(
            now,
            Priority::Needed,
            &present,
            &mut have,
            |needs, have, to| {
                take_with_room(&mut room, || take_empty(&mut free, needs, have, spares, to))
            },
        );
        // While empty hosts wait for their turn, no busy ones are emptied.
        if room > 0 && is_any_short(&present, &have) {
            let mut soon = self.hosts_empty_soon(now);
            self.fill_pools(
                now,
                Priority::Needed,
                &present,
                &mut have,
                |needs, have, to| take_emptiest(&mut soon, needs, have, to),
            );
        }
        let mut room = self.hosts.orders.room(now, Priority::Expected);
        self.fill_pools(
            now,
            Priority::Expected,
            &kept,
            &mut have,
            |needs, have, to| {
                take_with_room(&mut room, || take_empty(&mut free, needs, have, spares, to))
            },
        );
        // Before the first surge it is unknown where hosts will be needed, and while a surge builds
        // up its pool will soon need those that are idle elsewhere.
        let last = self.hosts.surges.last();
        let settled = last.is_some_and(|began| now >= began + SURGE_RISE);
        if let Some(spare) = spare.as_ref().filter(|_| settled) {
            self.park_idle(now, &kept, &mut have, spare);
        }
        let surplus = |(pool, keep): (PoolId, usize)| {
            let have = have.get(&pool).copied().unwrap_or_default();
            (pool, have.saturating_sub(keep))
        };
        self.hosts.surplus = kept.into_iter().map(surplus).collect();
        self.keep_for_moves(&present, &have, spares);
        self.update_admission(now, span);
    }

    /// How many hosts each pool should have for present work: what it needs, or its part of a fleet
    /// that is too small for all needs.
    fn allocate_hosts(
        &mut self,
        now: Now,
        needs: &BTreeMap<PoolId, Need>,
        have: &HostCounts,
    ) -> HostCounts {
        let pools = have.iter().filter(|(pool, _)| self.catalog.has_pool(pool));
        let hosts = pools.map(|(_, count)| count).sum();
        let needed: usize = needs.values().map(|need| need.now).sum();
        if needed > hosts {
            self.hosts.scarce_at = Some(now);
        }
        self.hosts.missing = if self.settings.allocate_hosts {
            needed.saturating_sub(hosts)
        } else {
            0
        };
        let targets = if self.hosts.missing == 0 {
            needs.values().map(|need| need.now).collect()
        } else {
            let claims = needs.iter().map(|(pool, need)| Claim {
                rounds: need.rounds,
                held: have.get(pool).copied().unwrap_or_default(),
                priority: self.priority(pool),
                ..Claim::default()
            });
            allocate(hosts, &claims.collect::<Vec<_>>())
        };
        let targets: HostCounts = needs.keys().cloned().zip(targets).collect();
        self.hosts.targets.clone_from(&targets);
        targets
    }

    /// The highest priority of the queues of a pool, which is the lowest number.
    fn priority(&self, pool: &PoolId) -> u32 {
        let queues = self.catalog.queues.iter();
        let own = queues.filter(|queue| queue.pool == *pool);
        own.map(|queue| queue.priority).min().unwrap_or(u32::MAX)
    }

    /// Takes hosts out of the surplus that will be moved to other pools once there is room for
    /// their orders. Spares count as a surplus, and are moved last.
    fn keep_for_moves(&mut self, needs: &HostCounts, have: &HostCounts, spare: Option<&PoolId>) {
        let count = |pool| have.get(pool).copied().unwrap_or_default();
        let missing = needs
            .iter()
            .map(|(pool, need)| need.saturating_sub(count(pool)));
        let mut missing: usize = missing.sum();
        let mut spares = spare.map(count);
        let surplus = self.hosts.surplus.values_mut();
        for surplus in surplus.chain(&mut spares) {
            let kept = missing.min(*surplus);
            *surplus -= kept;
            missing -= kept;
        }
        let spares = spare.cloned().zip(spares);
        self.hosts.surplus.extend(spares);
    }

    /// Moves hosts to the pools that have fewer than they need from pools that have more. `choose`
    /// takes one of the movable hosts for a pool, given what all pools need and have.
    fn fill_pools(
        &mut self,
        now: Now,
        priority: Priority,
        needs: &HostCounts,
        have: &mut HostCounts,
        mut choose: impl FnMut(&HostCounts, &HostCounts, &PoolId) -> Option<HostId>,
    ) {
        let mut short: BTreeSet<_> = needs.keys().cloned().collect();
        while let Some(pool) = neediest(needs, have, &short) {
            let Some(host) = choose(needs, have, &pool) else {
                short.remove(&pool);
                continue;
            };
            if let Some(view) = self.hosts.views.get(&host) {
                *have.entry(view.pool.clone()).or_default() -= 1;
            }
            *have.entry(pool.clone()).or_default() += 1;
            self.begin_operation(now, &host, Purpose::Move(pool), priority);
        }
    }

    /// Logs what the pools need and have, and the reasons. It does so once a second, as the figures
    /// change all the time.
    fn log_pools(&mut self, now: Now, needs: &BTreeMap<PoolId, Need>, have: &HostCounts) {
        if now < self.hosts.logged_at + LOG_INTERVAL {
            return;
        }
        self.hosts.logged_at = now;
        self.log_operations(now);
        self.homes.log_placed();
        let starts = std::mem::take(&mut self.hosts.starts);
        let busy = self.pressure.busy();
        let mut empties = HostCounts::new();
        for (_, view, _) in self.empty_hosts(now) {
            *empties.entry(view.pool.clone()).or_default() += 1;
        }
        for (pool, need) in needs {
            let have = have.get(pool).copied().unwrap_or_default();
            let empty = empties.get(pool).copied().unwrap_or_default();
            let demand = self.hosts.demands.get(pool).copied().unwrap_or_default();
            let (placed, demand, trend) = (
                self.used_millicores(pool) / 1000,
                demand.used.level as u64 / 1000,
                demand.trend as u64 / 1000,
            );
            let target = self.hosts.targets.get(pool).copied().unwrap_or_default();
            let Need {
                now: need,
                keep,
                rounds,
            } = *need;
            self.log_claim(pool, rounds, have, target);
            log::info!(pool:%, need, target, keep, have, empty, placed, demand, trend; "hosts and cores of a pool");
            let starts = starts.get(pool).copied().unwrap_or_default();
            let (in_time, late) = self.ready.backlogs(pool);
            let (in_time_cores, late_cores) = (in_time.millicores / 1000, late.millicores / 1000);
            let (in_time_steps, late_steps) = (in_time.steps, late.steps);
            log::info!(pool:%, starts, busy, in_time_steps, in_time_cores, late_steps, late_cores; "starts and backlog of a pool");
            self.log_admission(now, pool);
        }
    }

    /// Logs what a pool asks for of a scarce fleet.
    fn log_claim(&self, pool: &PoolId, claim: Rounds, have: usize, target: usize) {
        let missing = self.hosts.missing;
        if missing == 0 {
            return;
        }
        let Rounds {
            lasting,
            timely,
            expected,
            late,
        } = claim;
        log::info!(pool:%, missing, target, have, lasting, timely, expected, late; "a pool's claim on a scarce fleet");
    }

    /// Thousandths of a core that the tasks of a pool have.
    fn used_millicores(&self, pool: &PoolId) -> u64 {
        let agents = self.agents.with_room(pool, 0);
        agents.map(|agent| agent.used.millicores).sum()
    }

    /// Hosts that each pool has or is about to get.
    pub(super) fn host_counts(&self) -> HostCounts {
        let mut have: HostCounts = BTreeMap::new();
        for (host, view) in &self.hosts.views {
            let pool = match self
                .hosts
                .operations
                .get(host)
                .map(|operation| &operation.purpose)
            {
                Some(Purpose::Move(pool)) => pool,
                // It is of no use until its maintenance is over.
                Some(Purpose::Maintain(_)) => continue,
                None if self.is_useful(view) => &view.pool,
                None => continue,
            };
            *have.entry(pool.clone()).or_default() += 1;
        }
        have
    }

    /// Whether a host can get new work, in its pool or once it is moved to another.
    pub(super) fn is_useful(&self, view: &HostView) -> bool {
        let agent = self.agent_at(view);
        let there = !matches!(view.state, HostState::Down | HostState::Unknown);
        // An agent that isn't known yet belongs to a host that has just come.
        there && agent.is_none_or(Agent::is_healthy)
    }

    /// The empty hosts of each pool. They are found once for all moves of one balancing pass, as
    /// there may be as many moves to decide as there are hosts.
    fn empty_hosts_by_pool(&self, now: Now) -> BTreeMap<PoolId, BTreeSet<HostId>> {
        let mut free: BTreeMap<PoolId, BTreeSet<HostId>> = BTreeMap::new();
        for (host, view, _) in self.empty_hosts(now) {
            let hosts = free.entry(view.pool.clone()).or_default();
            hosts.insert(host.clone());
        }
        free
    }

    /// Whether an order may be given about a host: it is up and has no operation in progress, and
    /// neither an earlier leader's order nor a recent refusal stands against it.
    pub(super) fn is_movable(&self, now: Now, view: &HostView) -> bool {
        let host = &view.host;
        view.state == HostState::Up
            && !self.hosts.operations.contains_key(host)
            && !self.intents.is_held(now, host)
            && !self.was_refused(now, host)
            && self.catalog.has_pool(&view.pool)
    }

    /// Hosts that are up and run nothing, and since when.
    pub(super) fn empty_hosts(&self, now: Now) -> impl Iterator<Item = (&HostId, &HostView, Now)> {
        self.hosts.views.iter().filter_map(move |(host, view)| {
            if view.agent.is_none() {
                // A spare is switched off and has no agent.
                let movable = self.is_movable(now, view);
                return movable.then_some((host, view, Now::ZERO));
            }
            let agent = self.agent_at(view)?;
            let free = agent.slots.is_empty()
                && agent.is_healthy()
                && !self.probes.contains(&agent.record.id)
                && self.is_movable(now, view);
            free.then_some((host, view, agent.idle_since))
        })
    }

    pub(super) fn park_idle(
        &mut self,
        now: Now,
        needs: &HostCounts,
        have: &mut HostCounts,
        spare: &PoolId,
    ) {
        let mut room = self.hosts.orders.room(now, Priority::Idle);
        if room == 0 {
            return;
        }
        let idle = self.empty_hosts(now).filter(|(_, view, since)| {
            view.pool != *spare && view.agent.is_some() && now >= *since + PARK_DELAY
        });
        let idle: Vec<_> = idle
            .map(|(host, view, _)| (host.clone(), view.pool.clone()))
            .collect();
        for (host, pool) in idle {
            if room == 0 {
                return;
            }
            let count = have.entry(pool.clone()).or_default();
            // One host more than the pool needs stays, so that the pool isn't emptied and refilled
            // in alternation.
            if *count > needs.get(&pool).copied().unwrap_or_default() + 1 {
                *count -= 1;
                room -= 1;
                self.begin_operation(now, &host, Purpose::Move(spare.clone()), Priority::Idle);
            }
        }
    }
}

/// Takes a host while there is room in the line of orders.
fn take_with_room(room: &mut usize, take: impl FnOnce() -> Option<HostId>) -> Option<HostId> {
    let host = (*room > 0).then(take).flatten()?;
    *room -= 1;
    Some(host)
}

/// Takes an empty host that another pool can spare: from the pool with the largest surplus, and
/// from the spare pool only if no other has one, since spares cost nothing while they wait.
fn take_empty(
    free: &mut BTreeMap<PoolId, BTreeSet<HostId>>,
    needs: &HostCounts,
    have: &HostCounts,
    spare: Option<&PoolId>,
    to: &PoolId,
) -> Option<HostId> {
    let pools = free.iter().filter(|(pool, _)| *pool != to);
    let able = pools.filter_map(|(pool, hosts)| {
        let surplus = surplus(needs, have, pool);
        let host = hosts.last().filter(|_| surplus > 0)?;
        Some(((Some(pool) != spare, surplus, host), pool))
    });
    let pool = able.max().map(|(_, pool)| pool.clone())?;
    free.get_mut(&pool)?.pop_last()
}

/// Hosts that a pool has beyond what it needs.
pub(super) fn surplus(needs: &HostCounts, have: &HostCounts, pool: &PoolId) -> usize {
    let have = have.get(pool).copied().unwrap_or_default();
    have.saturating_sub(needs.get(pool).copied().unwrap_or_default())
}

/// Whether any pool has fewer hosts than it needs.
fn is_any_short(needs: &HostCounts, have: &HostCounts) -> bool {
    let has = |pool| have.get(pool).copied().unwrap_or_default();
    needs.iter().any(|(pool, need)| has(pool) < *need)
}

/// The pool of `among` that has the smallest part of what it needs, if any of them lacks hosts.
fn neediest(needs: &HostCounts, have: &HostCounts, among: &BTreeSet<PoolId>) -> Option<PoolId> {
    let part = |pool: &PoolId| {
        let need = needs.get(pool).copied().unwrap_or_default();
        let have = have.get(pool).copied().unwrap_or_default();
        // In thousandths, so that the values are integers and can be ordered.
        (have < need).then(|| (have * 1000 / need, pool.clone()))
    };
    among.iter().filter_map(part).min().map(|(_, pool)| pool)
}
