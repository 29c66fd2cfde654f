//! Which pool each host works for.
//!
//! A pool's need is what its tasks take now, or what its arriving jobs will keep busy if that is
//! more; it declines slowly, since demand that has just gone often comes back. Only empty hosts
//! move, as a move ends all that runs.

use std::{collections::BTreeMap, time::Duration};

use super::{Agent, HostState, HostView, Now, PoolId, Scheduler, StepSpec, hosts::Purpose};
use crate::core::types::HostId;

/// The time over which arriving work is averaged: long enough to see a trend in a few jobs, short
/// against the seconds that demand stays.
const TREND: Duration = Duration::from_millis(800);
/// The time over which the growth of what is at work or ready is averaged.
const GROWTH: Duration = Duration::from_millis(300);
/// How far ahead growth is carried on: the time that a move takes.
const AHEAD: Duration = Duration::from_millis(1500);
/// At most so many times as much is expected as there is.
const MOST: f64 = 3.0;
/// A pool's need falls by half in this time: demand that has just gone often comes back.
const DECLINE: Duration = Duration::from_millis(1500);
/// What a pool gets beyond its need, since tasks don't fill hosts without gaps.
const HEADROOM: f64 = 1.1;
/// Hosts that a pool needs beyond what is usual for a rush.
const RUSH_HOSTS: f64 = 1.5;
/// A host that was empty for so long goes to the spares: by then it has cost what two moves do.
const PARK: Duration = Duration::from_millis(2500);

/// How much work a pool has.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// Thousandths of a core that arriving jobs will keep busy, averaged.
    trend: f64,
    /// What was at work or ready at the last look, in thousandths of a core.
    used: f64,
    /// How fast that grows, in thousandths of a core a second, averaged.
    growth: f64,
    /// Core-milliseconds of the jobs that arrived since the last look.
    arrived: f64,
    /// The need that was seen lately, in thousandths of a core.
    need: f64,
}

impl Scheduler {
    /// Notes the work of a job that was accepted.
    pub(super) fn note_demand(&mut self, pool: &PoolId, work: f64) {
        let demand = self.hosts.demands.entry(pool.clone()).or_default();
        demand.arrived += work;
    }

    /// Moves hosts to the pools that need them, and idle ones to the spares.
    pub(super) fn balance(&mut self, now: Now, span: Duration) {
        let spare = self.catalog.pools.iter().find(|pool| pool.spare);
        let spare = spare.map(|pool| pool.name.clone());
        let needs = self.needs(now, span);
        let mut have = self.have();
        for (pool, need) in &needs {
            let mut missing = need.saturating_sub(have.get(pool).copied().unwrap_or_default());
            while missing > 0 {
                let Some(host) = self.donor(&needs, &have, spare.as_ref(), pool) else {
                    break;
                };
                if let Some(view) = self.hosts.views.get(&host) {
                    *have.entry(view.pool.clone()).or_default() -= 1;
                }
                *have.entry(pool.clone()).or_default() += 1;
                self.begin_duty(now, &host, Purpose::Move(pool.clone()));
                missing -= 1;
            }
        }
        // Until a first turn nothing is known of where hosts will be needed.
        if let Some(spare) = spare.filter(|_| self.hosts.turns.any()) {
            self.park(now, &needs, &mut have, &spare);
        }
    }

    /// Hosts that each pool should have.
    pub(super) fn needs(&mut self, now: Now, span: Duration) -> BTreeMap<PoolId, usize> {
        let mut busy: BTreeMap<PoolId, (u64, usize)> = BTreeMap::new();
        let mut size = 0;
        for agent in self.agents.values() {
            size = size.max(agent.record.room.millicores);
            let entry = busy.entry(agent.record.pool.clone()).or_default();
            entry.0 += agent.used.millicores;
        }
        for (_, ready) in self.ready.iter() {
            let count = u64::try_from(ready.free.len()).unwrap_or(u64::MAX);
            let entry = busy.entry(ready.pool.clone()).or_default();
            entry.0 += ready.spec.room().millicores.saturating_mul(count);
            entry.1 = entry.1.max(spread(&ready.spec));
        }
        let size = size.max(1) as f64;
        let pools: Vec<_> = self.catalog.pools.iter().filter(|p| !p.spare).collect();
        let names: Vec<_> = pools.into_iter().map(|p| p.name.clone()).collect();
        let weight = 1.0 - (-span.as_secs_f64() / TREND.as_secs_f64()).exp();
        let quick = 1.0 - (-span.as_secs_f64() / GROWTH.as_secs_f64()).exp();
        let expected = self.hosts.turns.expected(now);
        let decline = 0.5_f64.powf(span.as_secs_f64() / DECLINE.as_secs_f64());
        let mut needs = BTreeMap::new();
        for name in names {
            let (used, anchors) = busy.get(&name).copied().unwrap_or_default();
            let demand = self.hosts.demands.entry(name.clone()).or_default();
            let rate = demand.arrived / span.as_secs_f64().max(0.001) / 1000.0;
            demand.arrived = 0.0;
            demand.trend += (rate - demand.trend) * weight;
            let used = used as f64;
            let growth = (used - demand.used) / span.as_secs_f64().max(0.001);
            demand.growth += (growth - demand.growth) * quick;
            demand.used = used;
            let ahead = used + demand.growth.max(0.0) * AHEAD.as_secs_f64();
            let ahead = ahead.min(used * MOST);
            let seen = used.max(demand.trend).max(ahead);
            self.hosts
                .turns
                .observe(now, span, &name, seen, size * RUSH_HOSTS);
            demand.need = seen.max(demand.need * decline);
            let expected = expected.as_ref().filter(|(pool, _)| *pool == name);
            let need = demand.need.max(expected.map_or(0.0, |(_, need)| *need));
            let hosts = (need * HEADROOM / size).ceil();
            // A pool is never given up: its next job would wait for a move.
            let hosts = (hosts as usize).max(anchors).max(1);
            needs.insert(name, hosts);
        }
        log::trace!(now:?, needs:?; "hosts that pools need");
        needs
    }

    /// Hosts that each pool has or is about to get.
    pub(super) fn have(&self) -> BTreeMap<PoolId, usize> {
        let mut have: BTreeMap<PoolId, usize> = BTreeMap::new();
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
        let agent = view.agent.as_ref().and_then(|id| self.agents.get(id));
        let well = |agent: &Agent| !agent.record.leaving && agent.trouble.is_none();
        // One that isn't known yet has just come.
        view.state != HostState::Down && agent.is_none_or(well)
    }

    /// An empty host that another pool can spare: of the one that has the most to spare, and of
    /// the spares if there is none, since those cost nothing while they wait.
    pub(super) fn donor(
        &self,
        needs: &BTreeMap<PoolId, usize>,
        have: &BTreeMap<PoolId, usize>,
        spare: Option<&PoolId>,
        to: &PoolId,
    ) -> Option<HostId> {
        let surplus = |pool: &PoolId| {
            let have = have.get(pool).copied().unwrap_or_default();
            have.saturating_sub(needs.get(pool).copied().unwrap_or_default())
        };
        let empties = self.empties().filter(|(_, view, _)| view.pool != *to);
        let able = empties.filter(|(_, view, _)| surplus(&view.pool) > 0);
        let best = able.max_by_key(|(host, view, _)| {
            let active = Some(&view.pool) != spare;
            (active, surplus(&view.pool), (*host).clone())
        });
        best.map(|(host, ..)| host.clone())
    }

    /// Hosts that are up and run nothing, and since when.
    pub(super) fn empties(&self) -> impl Iterator<Item = (&HostId, &HostView, Now)> {
        self.hosts.views.iter().filter_map(|(host, view)| {
            if view.state != HostState::Up || self.hosts.duties.contains_key(host) {
                return None;
            }
            let Some(id) = &view.agent else {
                // A spare is switched off and has no agent.
                return Some((host, view, Now::ZERO));
            };
            let agent = self.agents.get(id)?;
            let free = agent.slots.is_empty() && !agent.record.leaving && agent.trouble.is_none();
            free.then_some((host, view, agent.idle))
        })
    }

    pub(super) fn park(
        &mut self,
        now: Now,
        needs: &BTreeMap<PoolId, usize>,
        have: &mut BTreeMap<PoolId, usize>,
        spare: &PoolId,
    ) {
        let idle = self.empties().filter(|(_, view, since)| {
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

/// Hosts that a step needs for its tasks to be apart, and one more to move them to.
fn spread(spec: &StepSpec) -> usize {
    // What is short can run one after the other.
    let apart = spec.per_host.filter(|_| spec.lasting);
    let apart = apart.map_or(1, |most| spec.tasks.div_ceil(most.max(1)));
    usize::try_from(apart)
        .unwrap_or(usize::MAX)
        .saturating_add(1)
}
