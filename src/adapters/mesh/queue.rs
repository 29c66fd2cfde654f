//! Messages that wait for a link.
//!
//! A message that has waited for long is stale: its sender has repeated it or has given up on it. A
//! link that carries less than is sent would deliver nothing but such messages, so they are dropped.

use std::time::Duration;

use bytes::Bytes;
use tokio::{sync::mpsc, time::Instant};

use super::SILENT;

/// Messages that wait for one peer before new ones are dropped.
const LENGTH: usize = 4096;
/// How long a message may wait: as long as one that is sent when its peer goes silent.
const STALE: Duration = SILENT;
/// From one log line on stale messages to the next, for each link.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A message, and since when it waits.
#[derive(Debug)]
struct Waiting {
    message: Bytes,
    since: Instant,
}

/// Messages that were dropped.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Dropped {
    /// How many.
    pub(super) messages: usize,
    /// Their size.
    pub(super) bytes: usize,
}

impl Dropped {
    fn count(&mut self, message: &Bytes) {
        self.messages += 1;
        self.bytes += message.len();
    }
}

/// Where messages for a link are queued.
#[derive(Clone, Debug)]
pub(super) struct Sender(mpsc::Sender<Waiting>);

impl Sender {
    /// Queues a message; returns whether there was room.
    pub(super) fn send(&self, message: Bytes) -> bool {
        let since = Instant::now();
        self.0.try_send(Waiting { message, since }).is_ok()
    }

    /// A sender that doesn't keep the queue open.
    pub(super) fn downgrade(&self) -> WeakSender {
        WeakSender(self.0.downgrade())
    }
}

/// A sender that doesn't keep the queue open.
#[derive(Debug)]
pub(super) struct WeakSender(mpsc::WeakSender<Waiting>);

impl WeakSender {
    /// A sender, if the queue is still open.
    pub(super) fn upgrade(&self) -> Option<Sender> {
        self.0.upgrade().map(Sender)
    }
}

/// The link's end of a queue.
#[derive(Debug)]
pub(super) struct Queue {
    receiver: mpsc::Receiver<Waiting>,
    /// Stale messages since the last log line.
    stale: Dropped,
    logged: Option<Instant>,
}

impl Queue {
    /// An empty queue.
    pub(super) fn new() -> (Sender, Self) {
        let (sender, receiver) = mpsc::channel(LENGTH);
        let queue = Self {
            receiver,
            stale: Dropped::default(),
            logged: None,
        };
        (Sender(sender), queue)
    }

    /// The next message that isn't stale; nothing once the queue is closed. No message is lost if
    /// this is given up before it is there.
    pub(super) async fn recv(&mut self) -> Option<Bytes> {
        loop {
            let waiting = self.receiver.recv().await?;
            if let Some(message) = self.unless_stale(waiting) {
                return Some(message);
            }
        }
    }

    /// The next message that isn't stale, if one waits.
    pub(super) fn try_recv(&mut self) -> Option<Bytes> {
        loop {
            let waiting = self.receiver.try_recv().ok()?;
            if let Some(message) = self.unless_stale(waiting) {
                return Some(message);
            }
        }
    }

    fn unless_stale(&mut self, waiting: Waiting) -> Option<Bytes> {
        let Waiting { message, since } = waiting;
        if since.elapsed() <= STALE {
            return Some(message);
        }
        self.stale.count(&message);
        None
    }

    /// The stale messages that were dropped, if it is time to log them.
    pub(super) fn stale(&mut self) -> Option<Dropped> {
        if self.stale.messages == 0 {
            return None;
        }
        let now = Instant::now();
        if self
            .logged
            .is_some_and(|logged| now < logged + LOG_INTERVAL)
        {
            return None;
        }
        self.logged = Some(now);
        Some(std::mem::take(&mut self.stale))
    }

    /// Whether nobody can send any more.
    pub(super) fn is_closed(&self) -> bool {
        self.receiver.is_closed()
    }

    /// Drops what waits: it is stale, and its senders have given up on it or will repeat it.
    pub(super) fn drain(&mut self) -> Dropped {
        let mut dropped = Dropped::default();
        while let Ok(waiting) = self.receiver.try_recv() {
            dropped.count(&waiting.message);
        }
        dropped
    }
}
