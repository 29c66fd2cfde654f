//! Predicts which pool has the next surge of demand, and when.
//!
//! The queues of a company often have their busy time one after the other. A *surge* begins when a
//! pool needs much more than usual. Once every pool has had one, and there are at least two, the
//! next is expected in the pool whose last surge began the longest ago. It is expected at the mean
//! interval between surges after the latest one. If the expected surge doesn't come, none is
//! expected again until another surge has begun.
//!
//! The prediction only adds to what a pool should keep; present needs go before it.

use std::{collections::BTreeMap, time::Duration};

use crate::core::types::{Now, PoolId};

/// How many times its usual need a pool has to need for a surge.
const SURGE_FACTOR: f64 = 2.0;
/// The time over which the usual need is averaged: several surges.
const USUAL_WINDOW: Duration = Duration::from_secs(8);
/// A surge must begin at least this long after the last one of its pool, so that a surge that
/// falters isn't counted twice.
const MIN_SURGE_INTERVAL: Duration = Duration::from_secs(6);
/// How long before its expected time a surge is prepared for: a move, and the time to notice the
/// need.
const LEAD_TIME: Duration = Duration::from_millis(1900);
/// How long after its expected time a surge is still waited for.
const SURGE_WAIT: Duration = Duration::from_millis(900);
/// The part of a pool's last peak that is prepared for; the rest follows once the need is seen.
const PEAK_PART: f64 = 0.75;

/// The surges of all pools so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Surges {
    pools: BTreeMap<PoolId, PoolSurges>,
    /// When the last surge began, and the mean interval between two.
    last: Option<Now>,
    gap: Option<Duration>,
    /// Whether surges come as expected: the last one that was expected has come or is still
    /// awaited.
    as_expected: bool,
}

#[derive(Clone, Debug, Default)]
struct PoolSurges {
    /// The usual need.
    usual: f64,
    /// When its last surge began.
    started_at: Option<Now>,
    /// The highest need of its last surge.
    peak: f64,
    in_surge: bool,
}

impl Surges {
    /// Records what a pool needs now. The need is a surge if it exceeds a multiple of the pool's
    /// usual need by more than `least`.
    pub(super) fn observe(
        &mut self,
        now: Now,
        span: Duration,
        pool: &PoolId,
        need: f64,
        least: f64,
    ) {
        let known = self.pools.entry(pool.clone()).or_default();
        let high = need > known.usual * SURGE_FACTOR + least;
        let weight = 1.0 - (-span.as_secs_f64() / USUAL_WINDOW.as_secs_f64()).exp();
        known.usual += (need - known.usual) * weight;
        let due = known
            .started_at
            .is_none_or(|began| now >= began + MIN_SURGE_INTERVAL);
        let begins = high && !known.in_surge && due;
        known.in_surge = high;
        if begins {
            known.started_at = Some(now);
            known.peak = 0.0;
        }
        known.peak = known.peak.max(need);
        if begins {
            self.begin(now);
        }
    }

    fn begin(&mut self, now: Now) {
        if let Some(last) = self.last {
            let gap = now.saturating_sub(last);
            self.gap = Some(self.gap.map_or(gap, |mean| (mean + gap) / 2));
        }
        self.last = Some(now);
        self.as_expected = true;
    }

    /// When the last surge began.
    pub(super) fn last(&self) -> Option<Now> {
        self.last
    }

    /// The pool whose surge is about to begin, and what it will need.
    pub(super) fn expected(&mut self, now: Now) -> Option<(PoolId, f64)> {
        let (last, gap) = (self.last?, self.gap?);
        let due = last + gap;
        if now > due + SURGE_WAIT {
            self.as_expected = false;
        }
        if !self.as_expected || now + LEAD_TIME < due {
            return None;
        }
        let seen = self.pools.iter();
        let turned = seen.filter_map(|(id, pool)| Some((pool.started_at?, id, pool)));
        let turned: Vec<_> = turned.collect();
        let all = turned.len() >= 2 && turned.len() == self.pools.len();
        let (_, id, pool) = turned.into_iter().min_by_key(|(began, ..)| *began)?;
        all.then(|| (id.clone(), pool.peak * PEAK_PART))
    }
}
