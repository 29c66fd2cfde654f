//! Retries as a share of the traffic.
//!
//! Each first try earns a fraction of a retry and each retry spends a whole one. The balance is
//! capped, so that a quiet hour does not save up a storm: when all minions of a data centre die
//! at once, at most [`BURST`] retries follow beyond the share of the new traffic. A limit of
//! tries a request alone was rejected, since it multiplies the load just when all tries fail.

/// Retries that a rested budget allows at once.
pub const BURST: u32 = 10;
/// Hundredths of a retry in one retry.
const WHOLE: u32 = 100;

/// A token bucket filled by first tries instead of by time.
///
/// ```
/// use egretpin::core::routing::budget::{BURST, Budget};
///
/// let mut budget = Budget::new(10);
/// let spent = (0..1000).filter(|_| budget.take()).count();
/// assert_eq!(spent, BURST as usize);
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    /// Hundredths of a retry earned by each first try.
    percent: u32,
    /// Hundredths of a retry at hand.
    balance: u32,
}

impl Budget {
    /// A rested budget that earns `percent` retries for a hundred first tries.
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            balance: BURST * WHOLE,
        }
    }

    /// Changes the share, keeping the balance.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a first try.
    pub fn first_try(&mut self) {
        self.balance = (self.balance + self.percent).min(BURST * WHOLE);
    }

    /// Spends one retry; `false` if there is none.
    pub fn take(&mut self) -> bool {
        if self.percent == 0 || self.balance < WHOLE {
            return false;
        }
        self.balance -= WHOLE;
        true
    }
}
