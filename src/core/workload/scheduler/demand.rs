//! How many hosts each pool needs.
//!
//! What a pool needs *now* is what its tasks take or wait for, or what its arriving jobs will keep
//! busy if that is more, carried on at its growth for the time of a move. What it should *keep* is
//! more: demand that has just gone often comes back, and a turn that was learnt is prepared for.
//! Needs of the first kind go before those of the second, whichever pool has them.

use std::{collections::BTreeMap, time::Duration};

use super::{Ledger, Now, PoolId, Scheduler, Slot};

/// The time over which arriving work is averaged: long enough to see a trend in a few jobs, short
/// against the seconds that demand stays.
const TREND: Duration = Duration::from_millis(800);
/// The time over which the growth of what is at work or ready is averaged.
const GROWTH: Duration = Duration::from_millis(300);
/// How far ahead growth is carried on: the time that a move takes.
pub(super) const AHEAD: Duration = Duration::from_millis(1500);
/// At most so many times as much is expected as there is.
const MOST: f64 = 3.0;
/// A pool's need falls by half in this time. Noise comes and goes faster; hosts that are kept for
/// longer are missed where the next turn begins.
const DECLINE: Duration = Duration::from_millis(700);
/// What a pool gets beyond its need, since tasks don't fill hosts without gaps.
const HEADROOM: f64 = 1.1;
/// Hosts that a pool needs beyond what is usual for a rush.
const RUSH_HOSTS: f64 = 1.5;

/// How much work a pool has.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// Thousandths of a core that arriving jobs will keep busy, averaged.
    pub(super) trend: f64,
    /// What was at work or ready at the last look, in thousandths of a core.
    pub(super) used: f64,
    /// How fast that grows, in thousandths of a core a second, averaged.
    growth: f64,
    /// Core-milliseconds of the jobs that arrived since the last look.
    arrived: f64,
    /// The need that was seen lately, in thousandths of a core.
    need: f64,
}

/// Hosts that a pool should have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Need {
    /// For the work that is there or on its way.
    pub(super) now: usize,
    /// For what may come back or is expected as well; never less.
    pub(super) keep: usize,
}

/// What the tasks of a pool take or wait for.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Thousandths of a core of all of them.
    all: u64,
    /// Thousandths of a core of those that end by themselves.
    short: u64,
    /// Hosts without which a lasting step can't keep its tasks apart.
    spread: usize,
    /// The part of what ends by itself and waits that no cap keeps from starting.
    open: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            all: 0,
            short: 0,
            spread: 0,
            open: 1.0,
        }
    }
}

impl Scheduler {
    /// Notes the work of a job that was accepted.
    pub(super) fn note_demand(&mut self, pool: &PoolId, work: f64) {
        let demand = self.hosts.demands.entry(pool.clone()).or_default();
        demand.arrived += work;
    }

    /// Hosts that each pool should have.
    pub(super) fn needs(
        &mut self,
        now: Now,
        span: Duration,
        ledger: &Ledger,
    ) -> BTreeMap<PoolId, Need> {
        let loads = self.loads(ledger);
        let (mut size, mut busy) = (1, 0);
        for agent in self.agents.values() {
            size = size.max(agent.record.room.millicores);
            busy += usize::from(!agent.slots.is_empty());
        }
        let size = size as f64;
        self.losses.add_busy_time(now, busy);
        let pools = self.catalog.pools.iter().filter(|p| !p.spare);
        let names: Vec<_> = pools.map(|p| p.name.clone()).collect();
        let expected = self.hosts.turns.expected(now);
        let decline = 0.5_f64.powf(span.as_secs_f64() / DECLINE.as_secs_f64());
        let mut needs = BTreeMap::new();
        for name in names {
            let load = loads.get(&name).copied().unwrap_or_default();
            let demand = self.hosts.demands.entry(name.clone()).or_default();
            let short = demand.look(load.short as f64, span, load.open);
            self.hosts
                .turns
                .observe(now, span, &name, short, size * RUSH_HOSTS);
            demand.need = short.max(demand.need * decline);
            let expected = expected.as_ref().filter(|(pool, _)| *pool == name);
            let kept = demand.need.max(expected.map_or(0.0, |(_, need)| *need));
            let lasting = load.all.saturating_sub(load.short) as f64;
            let hosts = |cores: f64| {
                let hosts = ((cores + lasting) * HEADROOM / size).ceil();
                // A pool is never given up: its next job would wait for a move.
                (hosts as usize).max(load.spread).max(1)
            };
            let need = Need {
                now: hosts(short),
                keep: hosts(kept),
            };
            needs.insert(name, need);
        }
        needs
    }

    /// What the tasks of each pool take or wait for. What waits for a cap can't use a host.
    fn loads(&self, ledger: &Ledger) -> BTreeMap<PoolId, Load> {
        let mut loads: BTreeMap<PoolId, Load> = BTreeMap::new();
        for agent in self.agents.values() {
            let load = loads.entry(agent.record.pool.clone()).or_default();
            load.all += agent.used.millicores;
            let short = agent.slots.values().filter(|slot| !slot.long_running);
            load.short += short.map(|slot: &Slot| slot.room.millicores).sum::<u64>();
        }
        for (pool, waiting) in self.ready.waiting() {
            let startable = self.startable(ledger, pool, waiting);
            let load = loads.entry(pool.clone()).or_default();
            if waiting.short > 0 {
                load.open = startable.short as f64 / waiting.short as f64;
            }
            let waiting = startable;
            load.all += waiting.all;
            load.short += waiting.short;
            load.spread = waiting.spread;
        }
        loads
    }
}

impl Demand {
    /// Takes in what the short tasks take or wait for now, and which part of what more comes no cap keeps
    /// from starting; returns what they will need by the time that a move takes.
    fn look(&mut self, used: f64, span: Duration, open: f64) -> f64 {
        let seconds = span.as_secs_f64().max(0.001);
        let weight = 1.0 - (-seconds / TREND.as_secs_f64()).exp();
        let quick = 1.0 - (-seconds / GROWTH.as_secs_f64()).exp();
        let rate = self.arrived / seconds / 1000.0;
        self.arrived = 0.0;
        self.trend += (rate - self.trend) * weight;
        let growth = (used - self.used) / seconds;
        self.growth += (growth - self.growth) * quick;
        self.used = used;
        let ahead = used + open * self.growth.max(0.0) * AHEAD.as_secs_f64();
        used.max(self.trend).max(ahead.min(used * MOST))
    }
}
