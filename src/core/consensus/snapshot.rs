//! Transfer of snapshots, in chunks of limited size, to nodes that lag behind the log's start.
//!
//! The sender keeps the snapshot that it began with until the transfer ends, so that a compaction
//! in the meantime doesn't restart the transfer. The snapshot's bytes are shared, not copied. One
//! chunk is in flight at a time, and the receiver reports how many bytes it holds, so a lost chunk
//! or a restart on either side costs one heartbeat and no more.

use super::{
    interface::{Index, Payload, Term},
    message::{Message, Position},
    node::{Eligibility, Node},
    restored::Snapshot,
};
use crate::core::types::{NodeId, Now};

/// A snapshot that is being sent to one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Transfer {
    snapshot: Snapshot,
    /// How many bytes the receiver last reported to hold.
    held: u64,
    /// When the chunk in flight was sent; `None` once it is answered.
    sent: Option<Now>,
}

impl Transfer {
    pub(super) fn new(snapshot: Snapshot) -> Self {
        Self {
            snapshot,
            held: 0,
            sent: None,
        }
    }

    /// The next chunk, or the last one again.
    pub(super) fn next_chunk(&mut self, term: Term, size: usize, now: Now) -> Message {
        let data = &self.snapshot.data;
        let total = data.len() as u64;
        let start = usize::try_from(self.held)
            .unwrap_or(usize::MAX)
            .min(data.len());
        let end = start.saturating_add(size.max(1)).min(data.len());
        self.sent = Some(now);
        Message::Chunk {
            term,
            last: self.snapshot.last,
            voters: self.snapshot.voters.clone(),
            offset: start as u64,
            total,
            part: data.slice(start..end),
            sent: now,
        }
    }

    /// The last index that the snapshot includes.
    pub(super) fn index(&self) -> Index {
        self.snapshot.last.index
    }

    /// Whether nothing was sent since the last answer.
    pub(super) fn is_idle(&self) -> bool {
        self.sent.is_none()
    }

    /// Handles the answer to a chunk, and ignores answers to older messages.
    pub(super) fn on_reply(&mut self, index: Index, held: u64, sent: Now) -> ChunkOutcome {
        if index != self.snapshot.last.index || self.sent != Some(sent) {
            return ChunkOutcome::Stale;
        }
        self.sent = None;
        self.held = held;
        let total = self.snapshot.data.len() as u64;
        if held >= total {
            ChunkOutcome::Done(index)
        } else {
            ChunkOutcome::More
        }
    }
}

/// What the answer to a chunk means for its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkOutcome {
    Stale,
    More,
    /// The whole snapshot is on the receiver's disk, up to this index.
    Done(Index),
}

/// A snapshot that is being received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IncomingSnapshot {
    last: Position,
    bytes: Vec<u8>,
}

impl IncomingSnapshot {
    /// How many bytes have been received.
    pub(super) fn size(&self) -> u64 {
        self.bytes.len() as u64
    }
}

/// A received chunk of a snapshot.
pub(super) struct Chunk {
    pub(super) term: Term,
    pub(super) last: Position,
    pub(super) voters: Vec<NodeId>,
    pub(super) offset: u64,
    pub(super) total: u64,
    pub(super) part: Payload,
    pub(super) sent: Now,
}

impl Node {
    /// Handles a chunk, from the leader or from a feed.
    pub(super) fn on_chunk(&mut self, from: NodeId, chunk: Chunk) {
        let (term, last, sent, total) = (chunk.term, chunk.last, chunk.sent, chunk.total);
        if term > 0 && !self.accept_leader(from, term, sent) {
            return;
        }
        if term == 0 && !self.accepts_chunks(from) {
            return;
        }
        self.refresh_source(from);
        let index = last.index;
        if index <= self.committed {
            self.send_chunk_reply(
                from,
                Message::ChunkReply {
                    term,
                    index,
                    held: total,
                    sent,
                },
            );
            return;
        }
        let held = self.add_chunk(&chunk);
        if held >= total {
            self.finish_snapshot(last, chunk.voters);
        }
        self.send_chunk_reply(
            from,
            Message::ChunkReply {
                term,
                index,
                held,
                sent,
            },
        );
    }

    /// Whether to accept a chunk from a feed. Only one sender is accepted at a time, and
    /// a leader goes before the source: chunks of two snapshots would undo each other.
    fn accepts_chunks(&self, from: NodeId) -> bool {
        let timeout = self.config.feed_timeout;
        let led = self
            .leader_seen
            .is_some_and(|seen| self.now < seen + timeout);
        let known = self.eligibility != Eligibility::Unknown;
        known && !led && !self.is_leader() && self.relay() == Some(from)
    }

    /// Adds a chunk if it continues what has been received, and returns how many bytes there are.
    fn add_chunk(&mut self, chunk: &Chunk) -> u64 {
        let fresh = IncomingSnapshot {
            last: chunk.last,
            bytes: Vec::new(),
        };
        let incoming = self.incoming.get_or_insert_with(|| fresh.clone());
        if incoming.last != chunk.last {
            *incoming = fresh;
        }
        if chunk.offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(&chunk.part);
        }
        incoming.bytes.len() as u64
    }

    fn finish_snapshot(&mut self, last: Position, voters: Vec<NodeId>) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let data = Payload::from(incoming.bytes);
        self.flush();
        self.install_snapshot(Snapshot { last, voters, data });
        self.committed = last.index;
        self.applied = last.index;
        self.restore();
    }

    /// Sends an answer once all writes so far are synced: one that reports the whole snapshot must
    /// not precede the snapshot on disk.
    fn send_chunk_reply(&mut self, to: NodeId, message: Message) {
        self.outbox.send_synced(to, message);
    }

    /// Handles a node's answer to a chunk that this node sent as leader or in a feed.
    pub(super) fn on_chunk_reply(&mut self, from: NodeId, reply: &Message) {
        let &Message::ChunkReply {
            term,
            index,
            held,
            sent,
        } = reply
        else {
            return;
        };
        if term == 0 {
            self.on_feed_chunk_reply(from, index, held, sent);
            return;
        }
        let now = self.now;
        let Some(peer) = self.record_answer(from, term, sent) else {
            return;
        };
        let Some(transfer) = &mut peer.transfer else {
            return;
        };
        if let ChunkOutcome::Done(index) = transfer.on_reply(index, held, sent) {
            peer.transfer = None;
            peer.matched(now, index);
        }
    }
}
