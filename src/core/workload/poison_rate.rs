//! The probability that a job of a queue is a poison job, which crashes the hosts it runs on.
//!
//! The jobs of a queue are much alike: if some of the last ones were poison, the next one may be, too. So the
//! ledger keeps, for each queue, an exponential moving average of the fraction of poison jobs among those
//! that recently completed or failed as poison. It bounds how many jobs of the queue without any evidence for
//! or against them share a host: if one of them crashes the host, all of them lose it, and a crash under many
//! jobs tells little about each.
//!
//! The average is in the ledger, so that a change of the leader in the middle of a series of crashes loses
//! none of it.
//!
//! ```
//! use egretpin::core::workload::poison_rate::PoisonRate;
//!
//! let mut rate = PoisonRate::default();
//! assert_eq!(rate.max_per_host(), None);
//! for _ in 0..8 {
//!     rate.record(true);
//! }
//! // Each job runs alone.
//! assert_eq!(rate.max_per_host(), Some(1));
//! for _ in 0..100 {
//!     rate.record(false);
//! }
//! assert_eq!(rate.max_per_host(), None);
//! ```

use serde::{Deserialize, Serialize};

/// The fraction 1 in fixed-point representation.
const ONE: u32 = 1 << 16;
/// The span of the moving average in jobs: each job changes it by one part in this many.
const SMOOTHING_JOBS: u32 = 16;
/// If fewer than one in this many jobs are poison, jobs share hosts as if there were none.
const NEGLIGIBLE_ONE_IN: u32 = 50;

/// The fraction of poison jobs among the recent jobs of a queue that completed or failed as poison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct PoisonRate(u32);

impl PoisonRate {
    /// Records a job that failed as poison (`poison`) or completed.
    pub fn record(&mut self, poison: bool) {
        let next = if poison { ONE } else { 0 };
        // Integer arithmetic, since all nodes must reach the same result.
        self.0 = (self.0 * (SMOOTHING_JOBS - 1) + next) / SMOOTHING_JOBS;
    }

    /// The fraction, from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(ONE)
    }

    /// Whether so few jobs were poison that the next one is presumed harmless.
    pub fn is_negligible(self) -> bool {
        self.0 < ONE / NEGLIGIBLE_ONE_IN
    }

    /// The most jobs without any evidence that may share a host; `None` if that is unbounded. With this number,
    /// telling poison from harmless jobs costs the fewest host crashes per job.
    pub fn max_per_host(self) -> Option<usize> {
        let most = self.fraction().sqrt().recip() as usize;
        (!self.is_negligible()).then_some(most.max(1))
    }
}
