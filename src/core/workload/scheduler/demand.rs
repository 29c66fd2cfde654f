//! Computes how many hosts each pool needs.
//!
//! What a pool needs *now* is the larger of two amounts: what its tasks take or wait for,
//! extrapolated at its growth over the time that a move takes; and what its arriving jobs will keep
//! busy. What a pool should *keep* is more: demand that has just gone often comes back, and a surge
//! that is expected from earlier ones is prepared for. Needs of the first kind go before those of
//! the second, whichever pool has them.
//!
//! This module only computes the needs; which hosts move is decided by the balance of pools.

use std::{collections::BTreeMap, time::Duration};

use super::{Ledger, Now, PoolId, Scheduler};

/// The time over which arriving work is averaged: long enough to show a trend in a few jobs, and
/// short compared with the seconds that demand lasts.
const TREND_WINDOW: Duration = Duration::from_millis(800);
/// The time over which the growth of running and ready work is averaged.
const GROWTH_WINDOW: Duration = Duration::from_millis(300);
/// How far ahead growth is extrapolated: the time that a move takes.
pub(super) const MOVE_TIME: Duration = Duration::from_millis(1500);
/// The extrapolated load is at most this many times the present one.
const MAX_GROWTH_FACTOR: f64 = 3.0;
/// The time in which a pool's remembered need falls by half. Noise comes and goes faster. Hosts
/// that are kept for longer are missing where the next surge begins.
const NEED_HALF_LIFE: Duration = Duration::from_millis(700);
/// Factor on a pool's need, since tasks don't fill hosts without gaps.
const HEADROOM: f64 = 1.1;
/// How many hosts beyond its usual need a pool has to need at least for a surge.
const MIN_SURGE_HOSTS: f64 = 1.5;

/// How much work a pool has.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// Thousandths of a core that arriving jobs will keep busy, averaged.
    pub(super) trend: f64,
    /// Running and ready work at the last check, in thousandths of a core.
    pub(super) used: f64,
    /// How fast that grows, in thousandths of a core per second, averaged.
    growth: f64,
    /// Work of the jobs that arrived since the last check, in thousandths of a core times
    /// milliseconds.
    arrived: f64,
    /// The highest recent need, decaying with time, in thousandths of a core.
    need: f64,
}

/// How many hosts a pool should have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Need {
    /// For the work that is present or arriving.
    pub(super) now: usize,
    /// For work that may come back or is expected as well; never less than `now`.
    pub(super) keep: usize,
}

/// What the tasks of a pool take or wait for.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Thousandths of a core of all tasks.
    all: u64,
    /// Thousandths of a core of batch tasks, which finish by themselves.
    batch: u64,
    /// The number of hosts that a long-running step needs to keep its tasks apart.
    spread: usize,
    /// The part of the waiting batch tasks that no cap keeps from starting.
    open: f64,
}

/// The agents and what they have to do.
struct Fleet {
    /// Thousandths of a core of the largest agent.
    size: u64,
    /// The number of agents that run something.
    busy: usize,
    /// What the tasks of each pool take or wait for.
    loads: BTreeMap<PoolId, Load>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            all: 0,
            batch: 0,
            spread: 0,
            open: 1.0,
        }
    }
}

impl Scheduler {
    /// Counts the work of a job that was accepted.
    pub(super) fn add_demand(&mut self, pool: &PoolId, work: f64) {
        let demand = self.hosts.demands.entry(pool.clone()).or_default();
        demand.arrived += work;
    }

    /// How many hosts each pool should have.
    pub(super) fn needs(
        &mut self,
        now: Now,
        span: Duration,
        ledger: &Ledger,
    ) -> BTreeMap<PoolId, Need> {
        let Fleet { size, busy, loads } = self.fleet(ledger);
        let size = size as f64;
        self.losses.add_busy_time(now, busy);
        let pools = self.catalog.pools.iter().filter(|p| !p.spare);
        let names: Vec<_> = pools.map(|p| p.name.clone()).collect();
        let expected = self.hosts.surges.expected(now);
        let decline = 0.5_f64.powf(span.as_secs_f64() / NEED_HALF_LIFE.as_secs_f64());
        let mut needs = BTreeMap::new();
        for name in names {
            let load = loads.get(&name).copied().unwrap_or_default();
            let demand = self.hosts.demands.entry(name.clone()).or_default();
            let short = demand.update(load.batch as f64, span, load.open);
            self.hosts
                .surges
                .observe(now, span, &name, short, size * MIN_SURGE_HOSTS);
            demand.need = short.max(demand.need * decline);
            let expected = expected.as_ref().filter(|(pool, _)| *pool == name);
            let kept = demand.need.max(expected.map_or(0.0, |(_, need)| *need));
            let lasting = load.all.saturating_sub(load.batch) as f64;
            let hosts = |cores: f64| {
                let hosts = ((cores + lasting) * HEADROOM / size).ceil();
                // A pool always has a host; otherwise its next job would wait for a move.
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

    /// Sums up the agents and the waiting tasks. Tasks that wait for a cap don't count, as they
    /// can't use a host.
    fn fleet(&self, ledger: &Ledger) -> Fleet {
        let (mut size, mut busy) = (1, 0);
        let mut loads: BTreeMap<PoolId, Load> = BTreeMap::new();
        for (pool, agents) in self.agents.pools() {
            let load = loads.entry(pool.clone()).or_default();
            for agent in agents {
                size = size.max(agent.record.capacity.millicores);
                busy += usize::from(!agent.slots.is_empty());
                load.all += agent.used.millicores;
                load.batch += agent.batch_millicores();
            }
        }
        for (pool, waiting) in self.ready.waiting() {
            let startable = self.startable(ledger, pool, waiting);
            let load = loads.entry(pool.clone()).or_default();
            if waiting.batch > 0 {
                load.open = startable.batch as f64 / waiting.batch as f64;
            }
            let waiting = startable;
            load.all += waiting.all;
            load.batch += waiting.batch;
            load.spread = waiting.spread;
        }
        Fleet { size, busy, loads }
    }
}

impl Demand {
    /// Takes in what the batch tasks take or wait for now, and which part of further arrivals no
    /// cap keeps from starting. Returns what they will need by the time that a move takes.
    fn update(&mut self, used: f64, span: Duration, open: f64) -> f64 {
        let seconds = span.as_secs_f64().max(0.001);
        let weight = 1.0 - (-seconds / TREND_WINDOW.as_secs_f64()).exp();
        let quick = 1.0 - (-seconds / GROWTH_WINDOW.as_secs_f64()).exp();
        let rate = self.arrived / seconds / 1000.0;
        self.arrived = 0.0;
        self.trend += (rate - self.trend) * weight;
        let growth = (used - self.used) / seconds;
        self.growth += (growth - self.growth) * quick;
        self.used = used;
        let ahead = used + open * self.growth.max(0.0) * MOVE_TIME.as_secs_f64();
        used.max(self.trend)
            .max(ahead.min(used * MAX_GROWTH_FACTOR))
    }
}
