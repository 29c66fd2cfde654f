//! Learns how long the tasks of a pool really take.
//!
//! Submitters estimate how long their tasks run, some well and some not at all. The time that tasks
//! took is compared with their estimates. Where the two differ too much on average, the mean of the
//! observed times replaces the estimate.

use std::time::Duration;

/// The weight of one task in an average.
const TASK_WEIGHT: f64 = 0.05;
/// The weight of one task in the averaged lag. With it the lag follows the load within a second,
/// over tasks of which a third deviate by as much as the lag itself.
const LAG_WEIGHT: f64 = 0.01;
/// How many times its mean deviation is added to the mean lag: the last of several tasks is later
/// than the mean by twice the mean deviation of one, if the lags are uniformly distributed.
const JITTER_FACTOR: f64 = 2.0;
/// Estimates that are off by more than this on average are of no use. The value is the absolute
/// natural logarithm of the time taken over the estimate; it means that they are off by four
/// tenths.
const MAX_DEVIATION: f64 = 0.35;
/// Number of tasks that must have been seen before they are used for anything.
const MIN_TASKS: u32 = 12;
/// How fast the longest time is forgotten: an outlier is halved after fifty tasks.
const LONGEST_DECAY: f64 = 0.014;
/// A task is overdue after this many times its estimate, if estimates are reliable,
const OVERDUE_FACTOR: f64 = 3.0;
/// and after this many times the longest time seen, if they aren't.
const LONGEST_FACTOR: f64 = 1.5;
/// Added to both limits: the time that a poll, a commit and a start take.
const LIMIT_SLACK: Duration = Duration::from_millis(700);
/// The most that one task counts as a deviation: a twentieth of its estimate, or twenty times it.
const MOST_OFF: f64 = 3.0;
/// Tasks shorter than this aren't compared with their estimates: polls and commits take as long.
const MIN_COMPARED: Duration = Duration::from_millis(150);

/// What was seen of a pool's tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskTimes {
    count: u32,
    /// Averaged time of a task in seconds.
    mean: f64,
    /// Averaged deviation of estimates: the absolute value of the logarithm of the time taken over
    /// the estimate.
    deviation: f64,
    /// Time of the longest recent task in seconds.
    longest: f64,
    /// Seconds from the decision to start a task until its end is known, minus its estimate,
    /// averaged.
    lag: f64,
    /// Mean deviation of the lag in seconds.
    jitter: f64,
}

impl TaskTimes {
    /// Records how long a task took.
    pub(super) fn note(&mut self, took: Duration, estimate: Duration) {
        let took = took.as_secs_f64();
        self.count = self.count.saturating_add(1);
        // The first tasks have more weight, so that the average is soon meaningful.
        let weight = TASK_WEIGHT.max(1.0 / f64::from(self.count));
        self.mean += (took - self.mean) * weight;
        // Without an estimate, none is wrong.
        if !estimate.is_zero() {
            let off = (took / estimate.as_secs_f64()).ln().abs().min(MOST_OFF);
            self.deviation += (off - self.deviation) * weight;
        }
        self.longest -= (self.longest - took).max(0.0) * LONGEST_DECAY;
        self.longest = self.longest.max(took);
    }

    /// Records how long it took from the decision to start a task until its end was known.
    pub(super) fn note_lag(&mut self, took: Duration, estimate: Duration) {
        let lag = took.as_secs_f64() - self.estimate(estimate).as_secs_f64();
        self.jitter += ((lag - self.lag).abs() - self.jitter) * LAG_WEIGHT;
        self.lag += (lag - self.lag) * LAG_WEIGHT;
    }

    /// How much longer a step takes than its tasks are estimated to take. The leader starts the
    /// tasks, learns of their ends and commits both, and a step is complete with the last of its
    /// tasks.
    pub(super) fn lag(&self) -> Duration {
        Duration::from_secs_f64((self.lag + self.jitter * JITTER_FACTOR).max(0.0))
    }

    /// How much longer than estimated a task occupies its host on average.
    pub(super) fn overhead(&self) -> Duration {
        Duration::from_secs_f64(self.lag.max(0.0))
    }

    /// Whether estimates are reliable, as far as is known.
    pub(super) fn is_reliable(&self) -> bool {
        self.count < MIN_TASKS || self.deviation <= MAX_DEVIATION
    }

    /// About how long a task with this estimate takes; an estimate of zero is none.
    pub(super) fn estimate(&self, estimate: Duration) -> Duration {
        let is_known = !estimate.is_zero() || self.count < MIN_TASKS;
        if is_known && self.is_reliable() {
            estimate
        } else {
            Duration::from_secs_f64(self.mean)
        }
    }

    /// How long a task takes on average.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// How long a task with this estimate may run before another attempt should be started
    /// elsewhere; `None` while too few tasks were seen. An estimate of zero is none.
    pub(super) fn limit(&self, estimate: Duration) -> Option<Duration> {
        let limit = if self.is_reliable() && !estimate.is_zero() {
            estimate.mul_f64(OVERDUE_FACTOR)
        } else {
            Duration::from_secs_f64(self.longest * LONGEST_FACTOR)
        };
        (self.count >= MIN_TASKS).then_some(limit + LIMIT_SLACK)
    }

    /// The ratio of the time that a task took to its estimate, if it is meaningful.
    pub(super) fn ratio(&self, took: Duration, estimate: Duration) -> Option<f64> {
        let telling = self.count >= MIN_TASKS && self.is_reliable() && estimate >= MIN_COMPARED;
        telling.then(|| took.as_secs_f64() / estimate.as_secs_f64())
    }
}
