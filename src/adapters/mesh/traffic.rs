//! What crosses the mesh, counted.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of messages with their websocket headers; those of TCP and IP come on top.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Bytes that were handed to connections.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes that came in.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    pub(super) fn count_sent(&self, message: usize) {
        self.sent.fetch_add(framed(message), Ordering::Relaxed);
    }

    pub(super) fn count_received(&self, message: usize) {
        self.received.fetch_add(framed(message), Ordering::Relaxed);
    }
}

/// Bytes of a message in its frame. Senders dial, so that every frame is one of a client and
/// masked.
fn framed(message: usize) -> u64 {
    const HEAD: usize = 2;
    const MASK: usize = 4;
    let length = match message {
        0..126 => 0,
        126..65_536 => 2,
        _ => 8,
    };
    (HEAD + MASK + length + message) as u64
}
