//! What one end of a connection has asked of its peer, and what has come back.
//!
//! The two halves of a connection, which write and read, share it: the one that writes notes what
//! it asks and how long that takes, the one that reads notes what shows that the peer is there and
//! judges by both.
//!
//! A ping and its answer wait behind what was written before them, in buffers of both systems and on
//! the way, and a slow connection takes long for that. So no more is written beyond what an answered
//! ping shows to be read than the connection carries in half a second, as far as the answers tell,
//! and an answer that has much before it may take longer.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::{Notify, futures::Notified},
    time::Instant,
};
use tokio_tungstenite::tungstenite::Message;

use super::{PING, SILENT, STALL, link::End};

/// How long an answer may take: what is left of [`SILENT`] at the first ping after a sign.
const ANSWER: Duration = SILENT.saturating_sub(PING);
/// The time in which a connection carries what is written at most, but for the last message, beyond
/// what answers show to be read. The buffers of the system hold megabytes, which a slow connection
/// needs many seconds for.
const WINDOW_TIME: Duration = Duration::from_millis(500);
/// Bounds of the same in bytes. The lower one is what [`SLOWEST`] carries in that time.
const WINDOW: (usize, usize) = (128 << 10, 1 << 20);
/// Bytes that are written between two looks at the ping.
pub(super) const SPAN: usize = WINDOW.0 / 2;
/// Bytes that a connection carries in a second at least: 2 Mbit, as the smallest entry hosts have.
const SLOWEST: usize = 250_000;

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
    /// Bytes that were written and that no answer shows to be read.
    pub(super) unread: usize,
}

/// What the halves of one connection share.
#[derive(Debug)]
pub(super) struct Pulse {
    state: Mutex<State>,
    answered: Notify,
}

/// A ping that has no answer yet.
#[derive(Clone, Copy, Debug)]
struct Asked {
    number: u32,
    at: Instant,
    /// Bytes before it that no answer shows to be read.
    before: usize,
    /// Bytes that have come in since: the answer may stand behind more of them.
    received: usize,
}

impl Asked {
    /// How long the answer may take: the connection may have to carry much before it.
    fn patience(&self) -> Duration {
        let ahead = (self.before + self.received) as f64 / SLOWEST as f64;
        STALL.min(ANSWER + Duration::from_secs_f64(ahead))
    }

    /// What the connection carries in [`WINDOW_TIME`] at the rate that the answer, which has come
    /// just now, shows; nothing if too little stood before it to tell.
    fn window(&self) -> Option<usize> {
        let part = WINDOW_TIME.as_secs_f64() / self.at.elapsed().as_secs_f64();
        let bytes = (self.before as f64 * part) as usize;
        (self.before >= SPAN).then(|| bytes.clamp(WINDOW.0, WINDOW.1))
    }
}

#[derive(Debug)]
struct State {
    /// When something showed last that the peer is there.
    shown: Instant,
    /// When the last ping was handed to the connection.
    pinged: Option<Instant>,
    /// Pings that were sent.
    pings: u32,
    /// The first ping that has no answer yet.
    asked: Option<Asked>,
    /// Bytes that were written and that no answer shows to be read.
    unread: usize,
    /// How many bytes these may be.
    window: usize,
    /// Since when a write is under way.
    writing: Option<Instant>,
}

impl Pulse {
    /// A connection whose ends have just introduced themselves.
    pub(super) fn new() -> Self {
        let state = State {
            shown: Instant::now(),
            pinged: None,
            pings: 0,
            asked: None,
            unread: 0,
            window: WINDOW.0,
            writing: None,
        };
        Self {
            state: Mutex::new(state),
            answered: Notify::new(),
        }
    }

    /// Something showed that the peer is there.
    pub(super) fn show(&self) {
        self.state().shown = Instant::now();
    }

    /// A ping was answered, which returns what it held: what stood before it is read. An answer to
    /// a later ping may take the place of one to an earlier ping.
    pub(super) fn answer(&self, held: &[u8]) {
        let mut state = self.state();
        let number = held.try_into().map_or(u32::MAX, u32::from_be_bytes);
        let asked = state.asked.take_if(|asked| number >= asked.number);
        let Some(asked) = asked else { return };
        state.unread -= asked.before;
        if let Some(window) = asked.window() {
            state.window = window;
        }
        drop(state);
        self.answered.notify_waiters();
    }

    /// Completes with the next answer.
    pub(super) fn answered(&self) -> Notified<'_> {
        self.answered.notified()
    }

    /// Bytes came in.
    pub(super) fn receive(&self, bytes: usize) {
        if let Some(asked) = &mut self.state().asked {
            asked.received += bytes;
        }
    }

    /// Bytes are handed to the connection.
    pub(super) fn write(&self, bytes: usize) {
        self.state().unread += bytes;
    }

    /// Whether the peer has to answer before more is written.
    pub(super) fn is_full(&self) -> bool {
        let state = self.state();
        state.unread >= state.window
    }

    /// Whether a ping has to follow what was written.
    pub(super) fn has_to_ask(&self) -> bool {
        let state = self.state();
        state.asked.is_none() && state.unread >= state.window / 2
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
            (End::Dialler, Some(asked)) => due.max(asked.at + asked.patience()),
            (End::Dialler, None) => due.max(Instant::now() + PING),
        }
    }

    /// A ping to hand to the connection. It holds its number only if another one has no answer
    /// yet, as most links are idle and small hosts pay for each byte.
    pub(super) fn ping(&self) -> Message {
        let (mut state, now) = (self.state(), Instant::now());
        state.pinged = Some(now);
        state.pings += 1;
        let number = state.pings;
        if state.asked.is_some() {
            return Message::Ping(Bytes::copy_from_slice(&number.to_be_bytes()));
        }
        state.asked = Some(Asked {
            number,
            at: now,
            before: state.unread,
            received: 0,
        });
        Message::Ping(Bytes::new())
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
            unread: state.unread,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
