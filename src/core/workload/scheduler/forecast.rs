//! When demand turns to which pool.
//!
//! The queues of a firm often have their rush one after the other. A *turn* begins when a pool
//! needs much more than usual. Once every pool that has turns has had one, the next is expected to
//! be that of the pool whose last one is the longest ago, as long after the present one as turns
//! have followed each other so far. What is expected and doesn't come is not expected again until
//! a turn has begun as it should.

use std::{collections::BTreeMap, time::Duration};

use crate::core::types::{Now, PoolId};

/// How much more than usual a pool needs in its turn.
const RUSH: f64 = 2.0;
/// The time over which the usual need is averaged: several turns.
const USUAL: Duration = Duration::from_secs(8);
/// A turn must be this long after the last one of its pool; a rush that falters isn't two.
const APART: Duration = Duration::from_secs(6);
/// How long before it is expected a turn is prepared for: a move, with what it takes to notice.
const LEAD: Duration = Duration::from_millis(1900);
/// How long after it was expected a turn is waited for.
const PATIENCE: Duration = Duration::from_millis(900);
/// The part of a pool's last peak that is prepared for; the rest follows when it is seen.
const SHARE: f64 = 0.75;

/// The turns of all pools so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    pools: BTreeMap<PoolId, Pool>,
    /// The last turn, and the mean time between two.
    last: Option<Now>,
    gap: Option<Duration>,
    /// Whether the last turn came when it was expected, or none was expected.
    trusted: bool,
}

#[derive(Clone, Debug, Default)]
struct Pool {
    /// The usual need.
    usual: f64,
    /// When its last turn began.
    began: Option<Now>,
    /// The highest need of its last turn.
    peak: f64,
    high: bool,
}

impl Turns {
    /// Notes what a pool needs now. Less than `least` more than usual is no rush.
    pub(super) fn observe(
        &mut self,
        now: Now,
        span: Duration,
        pool: &PoolId,
        need: f64,
        least: f64,
    ) {
        let known = self.pools.entry(pool.clone()).or_default();
        let high = need > known.usual * RUSH + least;
        let weight = 1.0 - (-span.as_secs_f64() / USUAL.as_secs_f64()).exp();
        known.usual += (need - known.usual) * weight;
        let due = known.began.is_none_or(|began| now >= began + APART);
        let begins = high && !known.high && due;
        known.high = high;
        if begins {
            known.began = Some(now);
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
        self.trusted = true;
    }

    /// When the last turn began.
    pub(super) fn last(&self) -> Option<Now> {
        self.last
    }

    /// The pool whose turn is about to begin, and what it will need.
    pub(super) fn expected(&mut self, now: Now) -> Option<(PoolId, f64)> {
        let (last, gap) = (self.last?, self.gap?);
        let due = last + gap;
        if now > due + PATIENCE {
            self.trusted = false;
        }
        if !self.trusted || now + LEAD < due {
            return None;
        }
        let seen = self.pools.iter();
        let turned = seen.filter_map(|(id, pool)| Some((pool.began?, id, pool)));
        let turned: Vec<_> = turned.collect();
        let all = turned.len() >= 2 && turned.len() == self.pools.len();
        let (_, id, pool) = turned.into_iter().min_by_key(|(began, ..)| *began)?;
        all.then(|| (id.clone(), pool.peak * SHARE))
    }
}
