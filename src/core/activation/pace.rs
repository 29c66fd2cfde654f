//! How often something is done again.

use std::time::Duration;

use crate::core::types::Now;

/// Lets something pass once in a while.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Pace {
    last: Option<Now>,
}

impl Pace {
    /// Whether it is due, and if so counts from now.
    ///
    /// Without a pause it always is and nothing is kept, so that the model checker, which sets
    /// none, needn't tell states apart by when they last did something.
    pub(super) fn is_due(&mut self, now: Now, pause: Duration) -> bool {
        let due = self.last.is_none_or(|last| now >= last + pause);
        if due {
            self.reset(now, pause);
        }
        due
    }

    /// Counts from now.
    pub(super) fn reset(&mut self, now: Now, pause: Duration) {
        self.last = Some(now).filter(|_| !pause.is_zero());
    }

    /// Makes it due.
    pub(super) fn clear(&mut self) {
        self.last = None;
    }
}
