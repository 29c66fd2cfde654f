//! When a refused caller should come back.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::core::types::Now;

/// No caller is asked back sooner.
const SOONEST: Duration = Duration::from_millis(250);
/// The spread when few are refused.
const SPREAD: Duration = Duration::from_secs(1);
/// How much each recent refusal adds to the spread.
const WIDENING: Duration = Duration::from_millis(10);
/// No caller is asked back later.
const LATEST: Duration = Duration::from_secs(30);
/// After this long a refusal counts half.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Spreads callers out over a time that widens with the refusals of the last seconds, so that
/// those who were refused together don't return together. A fixed time would bring the whole
/// wave back at once.
#[derive(Clone, Debug, Default)]
pub(super) struct Comeback {
    recent: f64,
    at: Now,
}

impl Comeback {
    /// Counts a refusal and draws its time to come back, at least `least`.
    pub(super) fn draw<R: Rng>(&mut self, now: Now, least: Duration, rng: &mut R) -> Duration {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.recent *= (-age / HALF_LIFE.as_secs_f64()).exp2();
        self.at = now;
        self.recent += 1.0;
        let spread = (SPREAD + WIDENING.mul_f64(self.recent)).min(LATEST);
        least.max(SOONEST) + spread.mul_f64(rng.random::<f64>())
    }
}
