//! The two clocks of a node.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::core::types::{Now, Wall};

/// Tells monotonic time since the process began, by the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    /// A clock that begins now.
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    /// Time since the clock began.
    pub(crate) fn now(&self) -> Now {
        self.0.elapsed()
    }

    /// The runtime's instant of a time of this clock.
    pub(crate) fn instant(&self, now: Now) -> Instant {
        self.0 + now
    }
}

/// Wall-clock time, for the stamps of commands.
pub(crate) fn wall() -> Wall {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
