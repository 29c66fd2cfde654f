//! How long the tasks of a pool really take.
//!
//! Submitters estimate how long their tasks run, some well and some not at all. What tasks took is
//! compared with what was estimated; where the two have little to do with each other, the mean of
//! what was seen takes the estimate's place.

use std::time::Duration;

/// How much of an average one task is.
const WEIGHT: f64 = 0.05;
/// How much of the averaged lag one task is: it follows the load within a second, over tasks of which
/// a third is off by as much as the lag itself.
const LAG_WEIGHT: f64 = 0.01;
/// How many times the mean deviation of the lag is added to it: the last of some tasks is later than
/// the mean by twice the mean deviation of one, if they are spread evenly.
const JITTERS: f64 = 2.0;
/// Estimates that are off by more than this on average (as a logarithm: by four tenths) are no use.
const USELESS: f64 = 0.35;
/// Tasks that must have been seen before anything is made of them.
const LEAST: u32 = 12;
/// How fast the longest time is forgotten: one that stood out is halved after fifty tasks.
const FORGET: f64 = 0.014;
/// A task is overdue after so many times its estimate, if estimates are of use.
const OVERDUE: f64 = 3.0;
/// And after so many times the longest that was seen, if they aren't.
const BEYOND: f64 = 1.5;
/// What is added to both: a look, a commit and a start take their time.
const SLACK: Duration = Duration::from_millis(700);
/// Tasks shorter than this say nothing: looks and commits take as long.
const SHORTEST: Duration = Duration::from_millis(150);

/// What was seen of a pool's tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct Learned {
    count: u32,
    /// Seconds, averaged.
    mean: f64,
    /// How far off estimates are, as the mean size of a logarithm.
    off: f64,
    /// Seconds of the longest task lately.
    longest: f64,
    /// Seconds from the decision to start a task until its end is known, beyond what it was estimated
    /// to take, averaged.
    lag: f64,
    /// How far off that is, averaged.
    jitter: f64,
}

impl Learned {
    /// A task took so long.
    pub(super) fn note(&mut self, took: Duration, estimate: Duration) {
        let took = took.as_secs_f64();
        let off = match estimate {
            Duration::ZERO => 1.0,
            _ => (took / estimate.as_secs_f64()).ln().abs(),
        };
        self.count = self.count.saturating_add(1);
        // The first ones count more, so that the average soon means something.
        let weight = WEIGHT.max(1.0 / f64::from(self.count));
        self.mean += (took - self.mean) * weight;
        self.off += (off - self.off) * weight;
        self.longest -= (self.longest - took).max(0.0) * FORGET;
        self.longest = self.longest.max(took);
    }

    /// From the decision to start a task until its end was known it took so long.
    pub(super) fn note_lag(&mut self, took: Duration, estimate: Duration) {
        let lag = took.as_secs_f64() - self.estimate(estimate).as_secs_f64();
        self.jitter += ((lag - self.lag).abs() - self.jitter) * LAG_WEIGHT;
        self.lag += (lag - self.lag) * LAG_WEIGHT;
    }

    /// What a step takes longer than its tasks were estimated to: the leader starts them, hears of
    /// their ends and commits both, and a step is through with the last of them.
    pub(super) fn lag(&self) -> Duration {
        Duration::from_secs_f64((self.lag + self.jitter * JITTERS).max(0.0))
    }

    /// Whether estimates are of use, as far as is known.
    pub(super) fn is_reliable(&self) -> bool {
        self.count < LEAST || self.off <= USELESS
    }

    /// About how long a task takes that was estimated so.
    pub(super) fn estimate(&self, estimate: Duration) -> Duration {
        if self.is_reliable() {
            estimate
        } else {
            Duration::from_secs_f64(self.mean)
        }
    }

    /// What a task takes on average.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// After how long a task that was estimated so should be tried elsewhere.
    pub(super) fn limit(&self, estimate: Duration) -> Option<Duration> {
        let limit = if self.is_reliable() {
            estimate.mul_f64(OVERDUE)
        } else {
            Duration::from_secs_f64(self.longest * BEYOND)
        };
        (self.count >= LEAST).then_some(limit + SLACK)
    }

    /// How many times as long as estimated a task took, if that says anything.
    pub(super) fn ratio(&self, took: Duration, estimate: Duration) -> Option<f64> {
        let telling = self.count >= LEAST && self.is_reliable() && estimate >= SHORTEST;
        telling.then(|| took.as_secs_f64() / estimate.as_secs_f64())
    }
}
