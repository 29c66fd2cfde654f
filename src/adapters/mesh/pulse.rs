//! What one end of a connection has asked of its peer, and what has come back.
//!
//! The two halves of a connection, which write and read, share it: the one that writes notes what
//! it asks and how long that takes, the one that reads notes what shows that the peer is there and
//! judges by both.
//!
//! A ping and its answer wait behind what was handed to the connection before them, which a slow
//! connection takes a while for. An answer that has much before it may take longer.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use super::{PING, SEND_BUFFER, SILENT, STALL, link::End};

/// How long an answer may take: what is left of [`SILENT`] at the first ping after a sign.
const ANSWER: Duration = SILENT.saturating_sub(PING);
/// Bytes that a connection carries in a second at least: 2 Mbit, as the smallest entry hosts have.
const SLOWEST: usize = 250_000;
/// Bytes that may stand before a ping in the system's buffer: Linux doubles what is asked for.
const BUFFERED: usize = 2 * SEND_BUFFER;

/// Which half of a connection gave up on the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Half {
    /// Nothing showed that the peer is there.
    Reading,
    /// A write took too long.
    Writing,
}

impl Half {
    /// The name in the log.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Writing => "writing",
        }
    }
}

/// Why a connection was given up, with what tells a silent peer, a full connection and a delay of
/// this node's own apart.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stall {
    /// Which half gave up.
    pub(super) half: Half,
    /// How long the write under way has taken.
    pub(super) writing: Option<Duration>,
    /// How long ago the last ping was handed to the connection.
    pub(super) pinged: Option<Duration>,
    /// How long ago something showed that the peer is there.
    pub(super) shown: Duration,
    /// How much later than due this node judged.
    pub(super) late: Duration,
}

/// What the halves of one connection share.
#[derive(Debug)]
pub(super) struct Pulse {
    state: Mutex<State>,
}

/// The first ping that has no answer yet.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Instant,
    /// Bytes that may stand before it.
    before: usize,
    /// Bytes that have come in since: the answer may stand behind more of them.
    received: usize,
}

impl Asked {
    /// When the answer has to be there: the connection may have to carry much before it.
    fn due(&self) -> Instant {
        let ahead = (self.before + self.received) as f64 / SLOWEST as f64;
        self.at + STALL.min(ANSWER + Duration::from_secs_f64(ahead))
    }
}

#[derive(Debug)]
struct State {
    /// When something showed last that the peer is there.
    shown: Instant,
    /// When the last ping was handed to the connection.
    pinged: Option<Instant>,
    asked: Option<Asked>,
    /// Bytes that were written since the peer last answered.
    unread: usize,
    /// Since when a write is under way.
    writing: Option<Instant>,
}

impl Pulse {
    /// A connection whose ends have just introduced themselves.
    pub(super) fn new() -> Self {
        let state = State {
            shown: Instant::now(),
            pinged: None,
            asked: None,
            unread: 0,
            writing: None,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Something showed that the peer is there.
    pub(super) fn show(&self) {
        let mut state = self.state();
        state.shown = Instant::now();
        state.asked = None;
        state.unread = 0;
    }

    /// Bytes came in.
    pub(super) fn receive(&self, bytes: usize) {
        if let Some(asked) = &mut self.state().asked {
            asked.received += bytes;
        }
    }

    /// When this end has to be shown that the peer is there.
    ///
    /// The end that dialled counts on answers. As long as it has asked nothing, which lasts longer
    /// than from one ping to the next only if it was held up, it goes on waiting until it has.
    pub(super) fn due(&self, end: End) -> Instant {
        let state = self.state();
        let due = state.shown + SILENT;
        match (end, state.asked) {
            (End::Listener, _) => due,
            (End::Dialler, Some(asked)) => due.max(asked.due()),
            (End::Dialler, None) => due.max(Instant::now() + PING),
        }
    }

    /// A ping is handed to the connection.
    pub(super) fn ping(&self) {
        let (mut state, now) = (self.state(), Instant::now());
        state.pinged = Some(now);
        let before = state.unread.min(BUFFERED);
        state.asked.get_or_insert(Asked {
            at: now,
            before,
            received: 0,
        });
    }

    /// A write begins.
    pub(super) fn begin(&self) {
        self.state().writing = Some(Instant::now());
    }

    /// The write is done, of so many bytes.
    pub(super) fn end(&self, bytes: usize) {
        let mut state = self.state();
        state.writing = None;
        state.unread += bytes;
    }

    /// The connection is given up by one half, that should have judged at `due`.
    pub(super) fn stall(&self, half: Half, due: Instant) -> Stall {
        let (state, now) = (self.state(), Instant::now());
        let since = |at| now.duration_since(at);
        Stall {
            half,
            writing: state.writing.map(since),
            pinged: state.pinged.map(since),
            shown: since(state.shown),
            late: since(due),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
