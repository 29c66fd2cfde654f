//! What one connection may ask of a server.

use std::time::Duration;

/// What a client may send, and how slowly.
///
/// ```
/// use egretpin::adapters::http::Limits;
///
/// let limits = Limits { body: 64 * 1024, ..Limits::default() };
/// assert_eq!(limits.head, 64 * 1024);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Header lines of a request.
    pub headers: usize,
    /// Bytes of a body.
    pub body: usize,
    /// How many times a body counts: as it came, and as what it is decoded into.
    pub copies: usize,
    /// Bytes that a handler allocates for an answer, beyond what is small or shared.
    pub answer: usize,
    /// How long a connection may be idle, its request's head included.
    pub idle: Duration,
    /// How long a body may take.
    pub read: Duration,
    /// How long the reader of an answer may stand still before its connection is closed.
    pub write: Duration,
    /// How long a connection whose request was not read whole is kept, so that the client can read the
    /// answer before a reset throws it away.
    pub linger: Duration,
}

impl Limits {
    /// The most bytes that a request takes besides its head.
    pub fn largest_request(&self) -> usize {
        self.body.saturating_mul(self.copies)
    }
}

impl Default for Limits {
    /// For peers that are ours or stand in for somebody: wide enough never to be met.
    fn default() -> Self {
        Self {
            head: 64 * 1024,
            headers: 100,
            body: 16 * 1024 * 1024,
            copies: 2,
            answer: 0,
            idle: Duration::from_secs(60),
            read: Duration::from_secs(10),
            write: Duration::from_secs(10),
            linger: Duration::from_secs(1),
        }
    }
}
