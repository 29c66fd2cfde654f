//! How much a caller may ask of a node.

use std::time::Duration;

use crate::adapters::server;

/// Bounds on what one caller, and all callers together, may hold of a node.
///
/// ```
/// use std::time::Duration;
/// use egretpin::adapters::callers::Limits;
///
/// let limits = Limits::default().body(64 * 1024).read(Duration::from_secs(5));
/// assert_eq!(limits.body, 64 * 1024);
/// ```
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of one request's body.
    pub body: usize,
    /// Bytes of all bodies that are being read or held.
    pub memory: usize,
    /// Bytes of one request's head.
    pub head: usize,
    /// Header lines of one request.
    pub headers: usize,
    /// Connections open at once.
    pub connections: usize,
    /// How long a request's head may take, and then its body.
    pub read: Duration,
    /// How long an answer's reader may stand still before its connection is dropped.
    pub write: Duration,
    /// How long a connection whose request was not read whole is kept, so that the caller can
    /// read the answer before a reset throws it away.
    pub linger: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 1024 * 1024,
            memory: 64 * 1024 * 1024,
            head: 16 * 1024,
            headers: 64,
            connections: 4096,
            read: Duration::from_secs(10),
            write: Duration::from_secs(10),
            linger: Duration::from_secs(1),
        }
    }
}

impl Limits {
    /// What one connection may ask.
    pub(super) fn of_connection(&self) -> server::Limits {
        server::Limits {
            head: self.head,
            headers: self.headers,
            body: self.body,
            // It is passed on as it came.
            copies: 1,
            answer: 0,
            idle: self.read,
            read: self.read,
            write: self.write,
            linger: self.linger,
        }
    }

    /// Sets the bytes of one body.
    #[must_use]
    pub fn body(mut self, bytes: usize) -> Self {
        self.body = bytes;
        self
    }

    /// Sets the bytes of all bodies together.
    #[must_use]
    pub fn memory(mut self, bytes: usize) -> Self {
        self.memory = bytes;
        self
    }

    /// Sets the connections open at once.
    #[must_use]
    pub fn connections(mut self, count: usize) -> Self {
        self.connections = count;
        self
    }

    /// Sets how long a head, and then a body, may take to come.
    #[must_use]
    pub fn read(mut self, time: Duration) -> Self {
        self.read = time;
        self
    }

    /// Sets how long an answer's reader may stand still.
    #[must_use]
    pub fn write(mut self, time: Duration) -> Self {
        self.write = time;
        self
    }

    /// Sets how long a connection is kept whose request was not read whole.
    #[must_use]
    pub fn linger(mut self, time: Duration) -> Self {
        self.linger = time;
        self
    }
}
