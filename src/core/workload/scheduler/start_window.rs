//! How many starts may be decided and not confirmed.
//!
//! The window follows what a start takes from its decision to its confirmation, as congestion windows
//! do: it grows while that stays near the least that was seen, and shrinks when it rises.

use std::time::Duration;

use crate::core::types::Now;

/// The window of a new leader, in starts.
const FIRST_SIZE: usize = 64;
/// The smallest window, in starts.
const MIN_SIZE: usize = 16;
/// How far the mean delay may be above the least, in addition to as much again.
const SLACK: Duration = Duration::from_millis(20);

/// A window of starts under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartWindow {
    size: usize,
    least: Duration,
    sum: Duration,
    count: u32,
    since: Now,
    was_full: bool,
}

impl Default for StartWindow {
    fn default() -> Self {
        Self {
            size: FIRST_SIZE,
            least: Duration::MAX,
            sum: Duration::ZERO,
            count: 0,
            since: Duration::ZERO,
            was_full: false,
        }
    }
}

impl StartWindow {
    /// How many starts may be decided while so many are under way.
    pub(super) fn room(&mut self, under_way: usize) -> usize {
        self.was_full |= under_way + MIN_SIZE >= self.size;
        self.size.saturating_sub(under_way)
    }

    /// Records the delay of a start that was confirmed now.
    pub(super) fn record(&mut self, now: Now, delay: Duration) {
        self.least = self.least.min(delay);
        self.sum += delay;
        self.count += 1;
        if now < self.since + self.least.max(SLACK) {
            return;
        }
        let mean = self.sum / self.count;
        if mean > self.least * 2 + SLACK {
            self.size = (self.size * 3 / 4).max(MIN_SIZE);
        } else if self.was_full {
            self.size += self.size / 8 + 1;
        }
        (self.sum, self.count) = (Duration::ZERO, 0);
        (self.since, self.was_full) = (now, false);
    }
}
