//! Recent outcomes of one minion, decaying.
//!
//! A moving average of failures weighs the last few tries, and fades with time when there are
//! none, so that three failures in a row count however many sound answers went before. An answer
//! that reports a fault counts as a failure however fast it came: without that, a minion that
//! fails at once is always the one with a free slot and draws all the work. A share of failures
//! over a span of time was tried first; a minion that had served thousands then needed seconds of
//! failures to be noticed.

use std::time::Duration;

use crate::core::types::Now;

/// After this long without tries a failure counts half.
pub const HALF_LIFE: Duration = Duration::from_secs(5);
/// Weight of the newest outcome.
const NEWEST_OUTCOME: f64 = 0.25;
/// An average from which a minion is set aside: three failures in a row.
const FAILED: f64 = 0.5;
/// An average from which others are preferred.
const SHAKY: f64 = 0.1;
/// A minion this many times slower than the service's median counts as slow.
const SLOW: f64 = 2.5;
/// Weight of the newest time.
const NEWEST_TIME: f64 = 0.1;

/// How a try ended, for the minion's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A sound answer after this time.
    Sound(Duration),
    /// A failure of the minion.
    Failed,
    /// Nobody listens at its address: no more failures are needed to know.
    Unreachable,
}

/// A minion's standing among its equals; the first is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Nothing against it.
    Good,
    /// Answers soundly but much later than others.
    Slow,
    /// Fails now and then.
    Shaky,
    /// Fails mostly; to be set aside.
    Failing,
}

/// The record of one minion.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Moving average of failures, as of `at`.
    failures: f64,
    at: Now,
    /// Moving average of the time to a sound answer in seconds.
    time: Option<f64>,
}

impl Health {
    /// Adds an outcome.
    pub fn record(&mut self, now: Now, verdict: Verdict) {
        let old = self.faded(now);
        self.at = self.at.max(now);
        self.failures = match verdict {
            Verdict::Sound(_) => old * (1.0 - NEWEST_OUTCOME),
            Verdict::Failed => old + (1.0 - old) * NEWEST_OUTCOME,
            Verdict::Unreachable => 1.0,
        };
        if let Verdict::Sound(time) = verdict {
            self.learn(time.as_secs_f64());
        }
    }

    /// The standing, given the service's median time to a sound answer in seconds.
    pub fn class(&self, now: Now, median: f64) -> Class {
        let failures = self.faded(now);
        if failures >= FAILED {
            Class::Failing
        } else if failures >= SHAKY {
            Class::Shaky
        } else if median > 0.0 && self.time.is_some_and(|t| t > median * SLOW) {
            Class::Slow
        } else {
            Class::Good
        }
    }

    /// Forgets failures, after a probe that went well.
    pub fn pardon(&mut self) {
        self.failures = 0.0;
    }

    fn faded(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.failures * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn learn(&mut self, time: f64) {
        let old = self.time.unwrap_or(time);
        self.time = Some(old + (time - old) * NEWEST_TIME);
    }
}
