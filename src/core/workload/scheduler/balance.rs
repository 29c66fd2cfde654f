//! Which pool each host works for.
//!
//! Only empty hosts move, as a move ends all that runs. Work that is there or on its way goes before
//! what may come: a pool gets hosts for it from any that has more than its own work needs. The pool
//! that lacks most of what it needs is served first, so that two that are short end up alike.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Agent, HostState, HostView, Ledger, Now, PoolId, Scheduler, demand::Need, hosts::Purpose,
    vacating::emptiest,
};
use crate::core::types::HostId;

/// A host that was empty for so long goes to the spares: by then it has cost what two moves do.
const PARK: Duration = Duration::from_millis(2500);
/// How long a turn takes to reach its peak.
const RISE: Duration = Duration::from_secs(4);
/// From one log of what pools need to the next.
const LOG: Duration = Duration::from_secs(1);

/// Hosts of each pool.
pub(super) type Counts = BTreeMap<PoolId, usize>;

impl Scheduler {
    /// Moves hosts to the pools that need them, and idle ones to the spares.
    pub(super) fn balance(&mut self, now: Now, span: Duration, ledger: &Ledger) {
        let spare = self.catalog.pools.iter().find(|pool| pool.spare);
        let spare = spare.map(|pool| pool.name.clone());
        let needs = self.needs(now, span, ledger);
        let mut have = self.have();
        self.log_pools(now, &needs, &have);
        self.settle_vacating(now, &needs, &mut have);
        let present: Counts = needs.iter().map(|(p, n)| (p.clone(), n.now)).collect();
        let kept: Counts = needs.iter().map(|(p, n)| (p.clone(), n.keep)).collect();
        let spares = spare.as_ref();
        let mut free = self.free_hosts(now);
        self.supply(now, &present, &mut have, |needs, have, to| {
            donor(&mut free, needs, have, spares, to)
        });
        let mut soon = self.empty_soon(now);
        self.supply(now, &present, &mut have, |needs, have, to| {
            emptiest(&mut soon, needs, have, to)
        });
        self.supply(now, &kept, &mut have, |needs, have, to| {
            donor(&mut free, needs, have, spares, to)
        });
        // Until a first turn nothing is known of where hosts will be needed, and while one begins
        // its pool will soon need those that are idle elsewhere.
        let last = self.hosts.turns.last();
        let settled = last.is_some_and(|began| now >= began + RISE);
        if let Some(spare) = spare.filter(|_| settled) {
            self.park(now, &kept, &mut have, &spare);
        }
        let surplus = |(pool, keep): (PoolId, usize)| {
            let have = have.get(&pool).copied().unwrap_or_default();
            (pool, have.saturating_sub(keep))
        };
        self.hosts.surplus = kept.into_iter().map(surplus).collect();
    }

    /// Moves hosts to the pools that have fewer than they need, from those that have more; `choose`
    /// takes one of those that may be moved, given what is needed and had, for a pool.
    fn supply(
        &mut self,
        now: Now,
        needs: &Counts,
        have: &mut Counts,
        mut choose: impl FnMut(&Counts, &Counts, &PoolId) -> Option<HostId>,
    ) {
        let mut short: BTreeSet<_> = needs.keys().cloned().collect();
        while let Some(pool) = shortest(needs, have, &short) {
            let Some(host) = choose(needs, have, &pool) else {
                short.remove(&pool);
                continue;
            };
            if let Some(view) = self.hosts.views.get(&host) {
                *have.entry(view.pool.clone()).or_default() -= 1;
            }
            *have.entry(pool.clone()).or_default() += 1;
            self.begin_duty(now, &host, Purpose::Move(pool));
        }
    }

    /// Logs what pools need and have, and why: once a second, as it changes all the time.
    fn log_pools(&mut self, now: Now, needs: &BTreeMap<PoolId, Need>, have: &Counts) {
        if now < self.hosts.logged + LOG {
            return;
        }
        self.hosts.logged = now;
        let mut empties = Counts::new();
        for (_, view, _) in self.empties(now) {
            *empties.entry(view.pool.clone()).or_default() += 1;
        }
        for (pool, need) in needs {
            let have = have.get(pool).copied().unwrap_or_default();
            let empty = empties.get(pool).copied().unwrap_or_default();
            let demand = self.hosts.demands.get(pool).copied().unwrap_or_default();
            let (placed, demand, trend) = (
                self.used(pool) / 1000,
                demand.used as u64 / 1000,
                demand.trend as u64 / 1000,
            );
            let Need { now: need, keep } = *need;
            log::info!(pool:%, need, keep, have, empty, placed, demand, trend; "hosts and cores of a pool");
        }
    }

    /// Thousandths of a core that a pool's tasks have.
    fn used(&self, pool: &PoolId) -> u64 {
        let agents = self.agents.with_room(pool, 0);
        agents.map(|agent| agent.used.millicores).sum()
    }

    /// Hosts that each pool has or is about to get.
    pub(super) fn have(&self) -> Counts {
        let mut have: Counts = BTreeMap::new();
        for (host, view) in &self.hosts.views {
            let pool = match self.hosts.duties.get(host).map(|duty| &duty.what) {
                Some(Purpose::Move(pool)) => pool,
                // It is of no use until it is back.
                Some(Purpose::Maintain(_)) => continue,
                None if self.is_useful(view) => &view.pool,
                None => continue,
            };
            *have.entry(pool.clone()).or_default() += 1;
        }
        have
    }

    /// Whether a host can get something new, or could once it is in another pool.
    pub(super) fn is_useful(&self, view: &HostView) -> bool {
        let agent = self.agent_at(view);
        let there = !matches!(view.state, HostState::Down | HostState::Unknown);
        // One that isn't known yet has just come.
        there && agent.is_none_or(Agent::is_healthy)
    }

    /// The empty hosts of each pool, found once for all that a look at the pools decides: there may be
    /// as many moves to decide as there are hosts.
    fn free_hosts(&self, now: Now) -> BTreeMap<PoolId, BTreeSet<HostId>> {
        let mut free: BTreeMap<PoolId, BTreeSet<HostId>> = BTreeMap::new();
        for (host, view, _) in self.empties(now) {
            let hosts = free.entry(view.pool.clone()).or_default();
            hosts.insert(host.clone());
        }
        free
    }

    /// Whether an order may be given about a host that is up, and nothing is being done with it.
    pub(super) fn is_movable(&self, now: Now, view: &HostView) -> bool {
        let host = &view.host;
        view.state == HostState::Up
            && !self.hosts.duties.contains_key(host)
            && !self.touching.is_held(now, host)
            && !self.is_refused(now, host)
            && self.catalog.has_pool(&view.pool)
    }

    /// Hosts that are up and run nothing, and since when.
    pub(super) fn empties(&self, now: Now) -> impl Iterator<Item = (&HostId, &HostView, Now)> {
        self.hosts.views.iter().filter_map(move |(host, view)| {
            if !self.is_movable(now, view) {
                return None;
            }
            if view.agent.is_none() {
                // A spare is switched off and has no agent.
                return Some((host, view, Now::ZERO));
            }
            let agent = self.agent_at(view)?;
            let kept = self.probes.contains(&agent.record.id);
            let free = agent.slots.is_empty() && agent.is_healthy() && !kept;
            free.then_some((host, view, agent.idle_since))
        })
    }

    pub(super) fn park(&mut self, now: Now, needs: &Counts, have: &mut Counts, spare: &PoolId) {
        let idle = self.empties(now).filter(|(_, view, since)| {
            view.pool != *spare && view.agent.is_some() && now >= *since + PARK
        });
        let idle: Vec<_> = idle
            .map(|(host, view, _)| (host.clone(), view.pool.clone()))
            .collect();
        for (host, pool) in idle {
            let count = have.entry(pool.clone()).or_default();
            // One more than it needs stays, so that a pool isn't emptied and filled by turns.
            if *count > needs.get(&pool).copied().unwrap_or_default() + 1 {
                *count -= 1;
                self.begin_duty(now, &host, Purpose::Move(spare.clone()));
            }
        }
    }
}

/// Takes an empty host that another pool can spare: of the one that has the most to spare, and of the
/// spares if there is none, since those cost nothing while they wait.
fn donor(
    free: &mut BTreeMap<PoolId, BTreeSet<HostId>>,
    needs: &Counts,
    have: &Counts,
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
pub(super) fn surplus(needs: &Counts, have: &Counts, pool: &PoolId) -> usize {
    let have = have.get(pool).copied().unwrap_or_default();
    have.saturating_sub(needs.get(pool).copied().unwrap_or_default())
}

/// Of some pools, the one that has the smallest part of what it needs, if it lacks any.
fn shortest(needs: &Counts, have: &Counts, among: &BTreeSet<PoolId>) -> Option<PoolId> {
    let part = |pool: &PoolId| {
        let need = needs.get(pool).copied().unwrap_or_default();
        let have = have.get(pool).copied().unwrap_or_default();
        // In thousandths, so that the order is whole.
        (have < need).then(|| (have * 1000 / need, pool.clone()))
    };
    among.iter().filter_map(part).min().map(|(_, pool)| pool)
}
