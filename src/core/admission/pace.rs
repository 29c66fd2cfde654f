//! How fast the service works, measured from requests that ended.
//!
//! Two figures are kept: how long a request holds its slot, and how much time lies between two
//! slots becoming free while requests wait. Both age when nothing ends any more, and in the
//! direction that can't lock admission up: a service time that nothing confirms shrinks, or a
//! slow spell would have every request refused as hopeless and nothing would ever measure the
//! recovery; a gap that nothing ends grows, so that callers of a stuck service are sent away for
//! longer.

use std::time::Duration;

use crate::core::types::Now;

/// An unconfirmed service time halves in the time of this many requests.
const HALVING: u32 = 2;
/// An unconfirmed service time halves no faster.
const FASTEST: Duration = Duration::from_secs(1);
/// The weight of a new sample is one part in this many.
const SMOOTHING: u64 = 32;

/// An exponentially weighted mean of durations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Mean(Option<u64>);

impl Mean {
    /// Takes a sample in; the first one sets the mean.
    pub(super) fn add(&mut self, sample: Duration) {
        let sample = u64::try_from(sample.as_nanos()).unwrap_or(u64::MAX);
        self.0 = Some(match self.0 {
            None => sample,
            Some(mean) => mean - mean / SMOOTHING + sample / SMOOTHING,
        });
    }

    /// The mean, if there was a sample.
    pub(super) fn get(self) -> Option<Duration> {
        self.0.map(Duration::from_nanos)
    }
}

/// The measured pace of one service as one node sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Pace {
    service: Mean,
    gap: Mean,
    /// When the last request ended.
    last: Now,
    /// Whether requests have waited ever since then, so that the next end closes a gap.
    contended: bool,
}

impl Pace {
    /// A request ended that held its slot for `took`.
    pub(super) fn done(&mut self, now: Now, took: Duration, waiting: bool) {
        self.service.add(took);
        if self.contended {
            self.gap.add(now.saturating_sub(self.last));
        }
        self.last = now;
        self.contended = waiting;
    }

    /// The queue ran empty: the time until the next end says nothing of the service's pace.
    pub(super) fn idle(&mut self) {
        self.contended = false;
    }

    /// How long a request holds its slot; zero before the first measurement.
    pub(super) fn service(&self, now: Now) -> Duration {
        let mean = self.service.get().unwrap_or_default();
        let silent = now.saturating_sub(self.last);
        let halving = mean.saturating_mul(HALVING).max(FASTEST);
        let halvings = silent.as_nanos() / halving.as_nanos();
        match u32::try_from(halvings) {
            Ok(count) if count < u64::BITS => mean / 2_u32.saturating_pow(count),
            _ => Duration::ZERO,
        }
    }

    /// The time between two slots becoming free; zero before the first measurement.
    pub(super) fn gap(&self, now: Now) -> Duration {
        let mean = self.gap.get().unwrap_or_default();
        if self.contended {
            mean.max(now.saturating_sub(self.last))
        } else {
            mean
        }
    }
}
