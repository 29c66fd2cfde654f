//! How many starts may be decided and not confirmed by their agents.
//!
//! A start that is decided takes room at its agent and ages until it is sent, so it is decided only
//! when it can go out. The window follows the time from a decision to its confirmation, as the
//! congestion window of a connection does: it shrinks while most starts take much longer than the
//! shortest that was seen, and grows while they don't. It only changes while it limits the starts.
//! A new leader's window doubles instead, as long as starts go out soon after their decision: how
//! long their answers take then doesn't slow its growth.
//!
//! Agents of one data centre may always take longer to answer than those of another, so each start
//! is compared with the shortest delay of its data centre.

use std::time::Duration;

use super::Scheduler;
use crate::core::types::{DataCentreId, Map, Now};

/// The window of a new leader, in starts.
const FIRST_SIZE: usize = 64;
/// The smallest window, in starts.
const MIN_SIZE: usize = 16;
/// How far a delay may be above the shortest one, besides a part of that.
const SLACK: Duration = Duration::from_millis(20);
/// How long the delays are observed before the window changes.
const SAMPLING_TIME: Duration = Duration::from_millis(20);
/// How long the shortest delays are remembered. A path may have become longer.
const LEAST_MEMORY: Duration = Duration::from_secs(10);

/// The limit of the starts that are decided and not confirmed.
#[derive(Clone, Debug)]
pub(super) struct StartWindow {
    size: usize,
    /// `None` once it has been too large.
    ramp: Option<Ramp>,
    /// Whether it has limited the starts in this period, and since the delays were last forgotten.
    full: bool,
    full_lately: bool,
    /// The shortest delay of each data centre.
    least: Map<DataCentreId, Duration>,
    /// When the shortest delays are forgotten; `None` before the first start.
    forget_at: Option<Now>,
    period: Period,
}

/// The growth of a window that has never been too large.
#[derive(Clone, Copy, Debug)]
struct Ramp {
    /// When it last doubled.
    since: Now,
    /// The shortest time from a decision to sending the start.
    least: Duration,
}

/// The starts that were decided since the window last changed.
#[derive(Clone, Copy, Debug, Default)]
struct Period {
    since: Now,
    /// When the first of them was confirmed.
    first: Option<Now>,
    confirmed: usize,
    /// How many of them took too long.
    late: usize,
}

/// A start that was confirmed, or went unanswered for the first time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Confirmation {
    /// When it was decided.
    pub(super) decided_at: Now,
    /// Whether it was answered.
    pub(super) answered: bool,
}

impl Default for StartWindow {
    fn default() -> Self {
        Self {
            size: FIRST_SIZE,
            ramp: Some(Ramp::default()),
            full: false,
            full_lately: false,
            least: Map::default(),
            forget_at: None,
            period: Period::default(),
        }
    }
}

impl Default for Ramp {
    fn default() -> Self {
        Self {
            since: Now::ZERO,
            least: Duration::MAX,
        }
    }
}

impl StartWindow {
    /// Takes in that a start that was decided at `decided_at` is sent for the first time.
    pub(super) fn record_sent(&mut self, now: Now, decided_at: Now) {
        let Some(ramp) = self.ramp.as_mut() else {
            return;
        };
        if decided_at < ramp.since {
            return;
        }
        let delay = now.saturating_sub(decided_at);
        ramp.least = ramp.least.min(delay);
        if delay > ramp.least + SLACK {
            self.ramp = None;
        } else if self.full && now >= ramp.since + SAMPLING_TIME {
            ramp.since = now;
            self.size *= 2;
            self.begin_period(now);
        }
    }

    /// Notes that it limits the starts.
    pub(super) fn mark_full(&mut self) {
        self.full = true;
        self.full_lately = true;
    }

    /// Takes in that a start of a data centre was confirmed.
    pub(super) fn record(&mut self, now: Now, data_centre: &DataCentreId, start: Confirmation) {
        self.forget_least(now);
        let is_late = !start.answered || self.is_late(now, data_centre, start.decided_at);
        // Earlier starts were decided under another size.
        if start.decided_at < self.period.since {
            return;
        }
        let period = &mut self.period;
        period.confirmed += 1;
        period.late += usize::from(is_late);
        let first = *period.first.get_or_insert(now);
        if now >= first + SAMPLING_TIME {
            self.adjust(now);
        }
    }

    /// Whether a start that was decided at `decided_at` and confirmed now took too long. Learns the
    /// shortest delay.
    fn is_late(&mut self, now: Now, data_centre: &DataCentreId, decided_at: Now) -> bool {
        let delay = now.saturating_sub(decided_at);
        let Some(least) = self.least.get_mut(data_centre) else {
            self.least.insert(data_centre.clone(), delay);
            return false;
        };
        *least = delay.min(*least);
        delay > *least + *least / 2 + SLACK
    }

    /// Ends a period.
    fn adjust(&mut self, now: Now) {
        let Period {
            confirmed, late, ..
        } = self.period;
        let too_large = late * 2 > confirmed;
        if self.full && too_large {
            self.size = (self.size * 3 / 4).max(MIN_SIZE);
            self.ramp = None;
        } else if self.full && self.ramp.is_none() {
            self.size += self.size / 8 + 1;
        }
        self.begin_period(now);
    }

    fn begin_period(&mut self, now: Now) {
        self.full = false;
        self.period = Period {
            since: now,
            ..Period::default()
        };
    }

    /// Forgets the shortest delays from time to time. What a full window keeps waiting would hide
    /// them, so it is halved then.
    fn forget_least(&mut self, now: Now) {
        let due = *self.forget_at.get_or_insert(now + LEAST_MEMORY);
        if now < due {
            return;
        }
        self.forget_at = Some(now + LEAST_MEMORY);
        self.least.clear();
        if !self.full_lately {
            self.size = self.size.max(FIRST_SIZE);
            self.ramp = Some(Ramp::default());
        } else if self.ramp.is_none() {
            self.size = (self.size / 2).max(MIN_SIZE);
        }
        self.full_lately = false;
        self.begin_period(now);
    }
}

impl Scheduler {
    /// How many starts of short work may be decided now.
    pub(super) fn room_for_starts(&self) -> usize {
        if self.settings.protections.bounded_starts {
            let under_way = self.agents.unconfirmed_starts();
            self.start_window.size.saturating_sub(under_way)
        } else {
            usize::MAX
        }
    }
}
