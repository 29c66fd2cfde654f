//! Computes how many hosts each pool needs.
//!
//! What a pool needs *now* is the larger of two amounts: what its tasks take or wait for,
//! extrapolated at its growth over the time that a move takes; and what its arriving jobs will keep
//! busy. What a pool should *keep* is more: demand that has just gone often comes back, and a surge
//! that is expected from earlier ones is prepared for. Needs of the first kind go before those of
//! the second, whichever pool has them.
//!
//! A need of the first kind is also split by the value of its work, for the case that the needs of
//! all pools exceed the hosts. Growth is extrapolated there from work in time only: a backlog that
//! grows because it is late is no reason to take hosts from others.
//!
//! This module only computes the needs; how a scarce fleet is divided is decided by the allocation,
//! and which hosts move by the balance of pools.

use std::{collections::BTreeMap, time::Duration};

use super::{Ledger, Now, PoolId, Scheduler, allocation::Rounds};

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
    /// Running and ready work.
    pub(super) used: Growth,
    /// The part of it that could be in time when it was last looked at.
    timely: Growth,
    /// Work of the jobs that arrived since the last check, in thousandths of a core times
    /// milliseconds.
    arrived: f64,
    /// The highest recent need, decaying with time, in thousandths of a core.
    need: f64,
    /// The highest recent need of work in time, decaying with time, in thousandths of a core.
    expected: f64,
}

/// An amount of work that changes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Growth {
    /// The amount at the last check, in thousandths of a core.
    pub(super) level: f64,
    /// How fast it grows, in thousandths of a core per second, averaged.
    rate: f64,
}

/// How many hosts a pool should have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Need {
    /// For the work that is present or arriving.
    pub(super) now: usize,
    /// For work that may come back or is expected as well; never less than `now`.
    pub(super) keep: usize,
    /// What it claims if the fleet is scarce. Sums to `now`, to the hosts that long-running tasks
    /// run on if they are more, or to less if it has no work.
    pub(super) rounds: Rounds,
}

/// What the tasks of a pool take or wait for.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Thousandths of a core of all tasks.
    all: u64,
    /// Thousandths of a core of batch tasks, which finish by themselves.
    batch: u64,
    /// The part of them that can't be in time any more.
    late: u64,
    /// The number of hosts on which long-running tasks run.
    occupied: usize,
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
            late: 0,
            occupied: 0,
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
            let short = demand.update(&load, span);
            let ahead = demand.expected_timely(load.open);
            // The growth of a few jobs varies from check to check. Without this, hosts would move
            // back and forth between it and the late work of others.
            demand.expected = ahead.max(demand.expected * decline);
            self.hosts
                .surges
                .observe(now, span, &name, short, size * MIN_SURGE_HOSTS);
            demand.need = short.max(demand.need * decline);
            let expected = expected.as_ref().filter(|(pool, _)| *pool == name);
            let kept = demand.need.max(expected.map_or(0.0, |(_, need)| *need));
            let sizes = Sizes { size, load };
            let need = Need {
                now: sizes.hosts(short),
                keep: sizes.hosts(kept),
                rounds: sizes.rounds(demand, short),
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
                load.late += agent.late_millicores();
                load.occupied += usize::from(agent.long_running() > 0);
            }
        }
        for (pool, waiting) in self.ready.waiting() {
            let startable = self.startable(ledger, pool, waiting);
            let load = loads.entry(pool.clone()).or_default();
            if waiting.batch > 0 {
                load.open = startable.batch as f64 / waiting.batch as f64;
            }
            let (_, late) = self.ready.backlogs(pool);
            load.late += (late.millicores as f64 * load.open) as u64;
            let waiting = startable;
            load.all += waiting.all;
            load.batch += waiting.batch;
            load.spread = waiting.spread;
        }
        Fleet { size, busy, loads }
    }
}

/// Converts the work of a pool to hosts.
struct Sizes {
    /// Thousandths of a core of a host.
    size: f64,
    load: Load,
}

impl Sizes {
    /// The hosts for an amount of batch work beside the long-running tasks, with room for gaps
    /// between tasks.
    fn hosts(&self, cores: f64) -> usize {
        let hosts = ((cores + self.lasting()) * HEADROOM / self.size).ceil();
        // A pool always has a host; otherwise its next job would wait for a move.
        (hosts as usize).max(self.load.spread).max(1)
    }

    /// Splits the need for `short` by the value of the work, for a scarce fleet.
    fn rounds(&self, demand: &Demand, short: f64) -> Rounds {
        let exact = |cores: f64| ((cores + self.lasting()) / self.size).ceil() as usize;
        let lasting = exact(0.0).max(self.load.spread).max(self.load.occupied);
        let (lasting, total) = if self.load.all == 0 && self.load.spread == 0 {
            // Without work it keeps its last host, but takes none from others.
            (lasting, exact(short * HEADROOM))
        } else {
            let lasting = lasting.max(1);
            (lasting, self.hosts(short).max(lasting))
        };
        let timely = exact(demand.timely.level).clamp(lasting, total);
        let expected = if self.load.late > 0 {
            self.hosts(demand.expected).clamp(timely, total)
        } else {
            total
        };
        Rounds {
            lasting,
            timely: timely - lasting,
            expected: expected - timely,
            late: total - expected,
        }
    }

    /// Thousandths of a core of long-running tasks.
    fn lasting(&self) -> f64 {
        self.load.all.saturating_sub(self.load.batch) as f64
    }
}

impl Demand {
    /// Takes in what the batch tasks take or wait for now, and which part of further arrivals no
    /// cap keeps from starting. Returns what they will need by the time that a move takes.
    fn update(&mut self, load: &Load, span: Duration) -> f64 {
        let seconds = span.as_secs_f64().max(0.001);
        let weight = 1.0 - (-seconds / TREND_WINDOW.as_secs_f64()).exp();
        let rate = self.arrived / seconds / 1000.0;
        self.arrived = 0.0;
        self.trend += (rate - self.trend) * weight;
        self.used.update(load.batch as f64, seconds);
        let timely = load.batch.saturating_sub(load.late);
        self.timely.update(timely as f64, seconds);
        self.used
            .level
            .max(self.trend)
            .max(self.used.ahead(load.open))
    }

    /// What work in time will need by the time that a move takes.
    fn expected_timely(&self, open: f64) -> f64 {
        let ahead = self.timely.ahead(open).max(self.trend);
        self.timely.level.max(ahead)
    }
}

impl Growth {
    /// Takes in the amount after `seconds` since the last one.
    fn update(&mut self, level: f64, seconds: f64) {
        let weight = 1.0 - (-seconds / GROWTH_WINDOW.as_secs_f64()).exp();
        let rate = (level - self.level) / seconds;
        self.rate += (rate - self.rate) * weight;
        self.level = level;
    }

    /// The amount by the time that a move takes. `open` is the part of further arrivals that no cap
    /// keeps from starting.
    fn ahead(&self, open: f64) -> f64 {
        let ahead = self.level + open * self.rate.max(0.0) * MOVE_TIME.as_secs_f64();
        ahead.min(self.level * MAX_GROWTH_FACTOR)
    }
}
