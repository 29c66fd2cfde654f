//! A token bucket whose rate is one node's part of a data centre's.
//!
//! The level is kept in units of which a request takes `nodes * 10^9` and a nanosecond brings
//! `rate`, so that a part such as a third of 100 requests a second needs no rounding.

use std::time::Duration;

use crate::core::types::Now;

/// Units of one request at one node.
const REQUEST: u128 = 1_000_000_000;
/// How much of its rate an idle group may save up.
const BURST: Duration = Duration::from_secs(1);

/// The rate limit of one group at one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Bucket {
    /// Requests a second of the whole data centre.
    rate: u32,
    /// Between how many nodes it is shared.
    nodes: u32,
    level: u128,
    filled: Now,
}

impl Bucket {
    /// A full bucket.
    pub(super) fn new(now: Now, rate: u32, nodes: u32) -> Self {
        let mut bucket = Self {
            rate,
            nodes: nodes.max(1),
            level: 0,
            filled: now,
        };
        bucket.level = bucket.capacity();
        bucket
    }

    /// Changes the rate and keeps the requests saved up, as far as they fit.
    pub(super) fn reshape(&mut self, now: Now, rate: u32, nodes: u32) {
        self.fill(now);
        let nodes = nodes.max(1);
        self.level = self.level / u128::from(self.nodes) * u128::from(nodes);
        self.rate = rate;
        self.nodes = nodes;
        self.level = self.level.min(self.capacity());
    }

    /// How long until the next request may pass; zero if one may now.
    pub(super) fn wait(&mut self, now: Now) -> Duration {
        self.fill(now);
        let missing = self.request().saturating_sub(self.level);
        match self.rate {
            0 if missing > 0 => Duration::MAX,
            rate => nanos(missing.div_ceil(u128::from(rate.max(1)))),
        }
    }

    /// Takes a request's worth. [`Self::wait`] has to be zero.
    pub(super) fn take(&mut self) {
        self.level = self.level.saturating_sub(self.request());
    }

    /// The time that one request's worth takes to come.
    pub(super) fn gap(&self) -> Duration {
        match self.rate {
            0 => Duration::MAX,
            rate => nanos(self.request() / u128::from(rate)),
        }
    }

    fn fill(&mut self, now: Now) {
        let passed = now.saturating_sub(self.filled).as_nanos();
        let gained = passed.saturating_mul(u128::from(self.rate));
        self.level = self.level.saturating_add(gained).min(self.capacity());
        self.filled = self.filled.max(now);
    }

    /// At least one request, or a low rate would never let any pass.
    fn capacity(&self) -> u128 {
        let saved = BURST.as_nanos() * u128::from(self.rate);
        match self.rate {
            0 => 0,
            _ => saved.max(self.request()),
        }
    }

    fn request(&self) -> u128 {
        REQUEST * u128::from(self.nodes)
    }
}

fn nanos(count: u128) -> Duration {
    Duration::from_nanos(u64::try_from(count).unwrap_or(u64::MAX))
}
