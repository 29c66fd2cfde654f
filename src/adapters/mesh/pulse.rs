//! What one end of a connection has asked of its peer, and what has come back.
//!
//! The two halves of a connection, which write and read, share it: the one that writes notes what
//! it asks and how long that takes, the one that reads notes what shows that the peer is there and
//! judges by both.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use super::{PING, SILENT, link::End};

/// How long an answer may take: what is left of [`SILENT`] at the first ping after a sign.
const ANSWER: Duration = SILENT.saturating_sub(PING);

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

#[derive(Debug)]
struct State {
    /// When something showed last that the peer is there.
    shown: Instant,
    /// When the last ping was handed to the connection.
    pinged: Option<Instant>,
    /// When the first ping was that has no answer yet.
    asked: Option<Instant>,
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
            (End::Dialler, Some(asked)) => due.max(asked + ANSWER),
            (End::Dialler, None) => due.max(Instant::now() + PING),
        }
    }

    /// A ping is handed to the connection.
    pub(super) fn ping(&self) {
        let (mut state, now) = (self.state(), Instant::now());
        state.pinged = Some(now);
        state.asked.get_or_insert(now);
    }

    /// A write begins.
    pub(super) fn begin(&self) {
        self.state().writing = Some(Instant::now());
    }

    /// The write is done.
    pub(super) fn end(&self) {
        self.state().writing = None;
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
