//! How the share of a new group grows.
//!
//! A new group starts at a hundredth of its weight and grows in a straight line over its declared
//! ramp, but only while the groups served already are well. While they are harmed, which means
//! that they wait long compared with the time a request takes or that some can't start in time,
//! the newcomers' shares shrink again, faster than they grew. A group that has reached its full
//! weight once counts as served already and never shrinks.
//!
//! A ramp by time alone was rejected: at its end the newcomers have their full share whether or
//! not capacity has come with them, and those served before pay for it.

use std::time::Duration;

use crate::core::types::Now;

use super::pace::Mean;

/// A thousandth is the unit of a ramped weight.
pub(super) const FULL: u64 = 1000;
/// Where a new group starts, in thousandths.
const START: u64 = 10;
/// How much faster a share shrinks than it grows.
const RETREAT: u32 = 4;
/// How long one sign of harm holds the newcomers back.
const HOLD: Duration = Duration::from_secs(1);
/// Established callers are harmed when they wait longer than a service time divided by this.
const TOLERANCE: u32 = 2;

/// The growth of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ramp {
    length: Duration,
    progress: Duration,
}

impl Ramp {
    /// A group declared `age` ago.
    pub(super) fn new(length: Duration, age: Duration) -> Self {
        Self {
            length,
            progress: age.min(length),
        }
    }

    /// Changes how long the ramp takes; an established group stays so.
    pub(super) fn reshape(&mut self, length: Duration) {
        self.progress = if self.established() {
            length
        } else {
            self.progress.min(length)
        };
        self.length = length;
    }

    /// Whether the full weight has been reached.
    pub(super) fn established(&self) -> bool {
        self.progress >= self.length
    }

    /// Time passed.
    pub(super) fn advance(&mut self, passed: Duration, harm: bool) {
        if self.established() {
            return;
        }
        self.progress = if harm {
            self.progress.saturating_sub(passed.saturating_mul(RETREAT))
        } else {
            self.progress.saturating_add(passed).min(self.length)
        };
    }

    /// The part of its weight that the group has, in thousandths.
    pub(super) fn share(&self) -> u64 {
        if self.established() {
            return FULL;
        }
        let share = self.progress.as_nanos() * u128::from(FULL) / self.length.as_nanos();
        u64::try_from(share).unwrap_or(FULL).max(START)
    }
}

/// Watches how the established groups fare.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Watch {
    wait: Mean,
    until: Now,
}

impl Watch {
    /// An established group's request got a slot after `wait`, where one takes `service`.
    pub(super) fn served(&mut self, now: Now, wait: Duration, service: Duration) {
        self.wait.add(wait);
        let mean = self.wait.get().unwrap_or_default();
        if mean.saturating_mul(TOLERANCE) > service {
            self.harmed(now);
        }
    }

    /// An established group's request couldn't start in time.
    pub(super) fn harmed(&mut self, now: Now) {
        self.until = now.saturating_add(HOLD);
    }

    /// Whether newcomers have to stand back.
    pub(super) fn harm(&self, now: Now) -> bool {
        now < self.until
    }
}
