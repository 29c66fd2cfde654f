//! How much a minion may send and how long it may take.

use std::time::Duration;

/// Bounds on what one minion may do to a node.
///
/// ```
/// use egretpin::adapters::minions::Limits;
///
/// assert_eq!(Limits::default().answer(1024).answer, 1024);
/// ```
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of one answer's body.
    pub answer: usize,
    /// Bytes of all answers that are being read or held.
    pub memory: usize,
    /// Bytes of one answer's head.
    pub head: usize,
    /// Header lines of one answer.
    pub headers: usize,
    /// How long it may take to get a connection, be it a place for one or the opening of one.
    pub connect: Duration,
    /// How long a connection is kept without use. Shorter than what common servers keep, so
    /// that it is we who close it.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            answer: 4 * 1024 * 1024,
            memory: 256 * 1024 * 1024,
            head: 16 * 1024,
            headers: 64,
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(4),
        }
    }
}

impl Limits {
    /// Sets the bytes of one answer's body.
    #[must_use]
    pub fn answer(mut self, bytes: usize) -> Self {
        self.answer = bytes;
        self
    }

    /// Sets the bytes of all answers together; no less than one answer may have.
    #[must_use]
    pub fn memory(mut self, bytes: usize) -> Self {
        self.memory = bytes;
        self
    }

    /// Sets how long it may take to get a connection.
    #[must_use]
    pub fn connect(mut self, time: Duration) -> Self {
        self.connect = time;
        self
    }

    /// Sets how long a connection is kept without use.
    #[must_use]
    pub fn idle(mut self, time: Duration) -> Self {
        self.idle = time;
        self
    }
}
