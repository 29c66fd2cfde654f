//! Transfer of snapshots, in chunks of limited size, to nodes that lag behind the log's start.
//!
//! The sender keeps the snapshot that it began with until the transfer ends, so that a compaction
//! in the meantime doesn't restart the transfer. The snapshot's bytes are shared, not copied. Each
//! answer says how many bytes the receiver holds, and counts by that, whichever message it answers:
//! a transfer gets on however long an answer takes.
//!
//! Several chunks are in flight, so that a busy sender, which handles answers once a turn, sends
//! many in each. A transfer begins with one, for the receiver may refuse it or hold a part already.
//! Each prompt answer allows more, up to a limit in bytes, and each late one halves what is allowed:
//! what waits on a slow link also delays the heartbeats behind it.
//!
//! A timer repeats no bytes, for a link that is full already would carry the copies too. Each
//! heartbeat, and each renewed subscription, asks how much is held, by a chunk without bytes. An
//! answer to something sent later than a chunk that it doesn't count shows that the chunk was lost,
//! and only then is it sent again.

use std::{collections::VecDeque, time::Duration};

use super::{
    config::Config,
    interface::{Index, Payload, Term},
    message::{Message, Position},
    node::{Eligibility, Node},
    restored::Snapshot,
};
use crate::core::types::{NodeId, Now};

/// The most bytes of a snapshot in flight to one node. A leader's turns take up to 60 ms and an
/// answer up to two of them, so 20 MB take 2.4 s of the 6 s that are promised between two losses. It
/// is half of what entries in flight to one voter may take.
const MAX_IN_FLIGHT: u64 = 1 << 20;
/// An answer that takes longer than so many heartbeat intervals is late. Twice as long, as after the
/// allowance has doubled once too often, is still within the longest election timeout, after which
/// a node counts as silent.
const LATE_HEARTBEATS: u32 = 3;

/// A snapshot that is being sent to one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Transfer {
    snapshot: Snapshot,
    /// When it began.
    since: Now,
    /// How many bytes the receiver holds, by its latest answer.
    held: u64,
    /// The chunks sent and not known to be held: where each ends, and when it was sent.
    in_flight: VecDeque<(u64, Now)>,
    /// When something was last sent.
    last_sent: Now,
    /// When the message was sent that the latest answer answers.
    answered: Option<Now>,
    /// How many bytes may be in flight before another chunk is sent.
    allowed: u64,
}

/// How a transfer is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// The size of a chunk.
    pub(super) chunk: u64,
    /// How long an answer may take before it is late.
    pub(super) late: Duration,
}

impl Pace {
    pub(super) fn new(config: &Config) -> Self {
        Self {
            chunk: config.chunk.max(1) as u64,
            late: config.heartbeat * LATE_HEARTBEATS,
        }
    }
}

impl Transfer {
    pub(super) fn new(snapshot: Snapshot, now: Now) -> Self {
        Self {
            snapshot,
            since: now,
            held: 0,
            in_flight: VecDeque::new(),
            last_sent: now,
            answered: None,
            allowed: 0,
        }
    }

    /// The next chunk, if there is one and it may be sent by now.
    pub(super) fn next_chunk(&mut self, term: Term, pace: Pace, now: Now) -> Option<Message> {
        let start = self.in_flight.back().map_or(self.held, |&(end, _)| end);
        // An empty snapshot is one chunk, too.
        let ended = start >= self.total() && !self.in_flight.is_empty();
        if ended || start - self.held > self.allowed {
            return None;
        }
        let end = (start + pace.chunk).min(self.total());
        self.in_flight.push_back((end, now));
        Some(self.chunk(term, start, end, now))
    }

    /// Asks how much is held: a chunk without bytes, which any receiver answers like another.
    pub(super) fn question(&mut self, term: Term, now: Now) -> Message {
        self.chunk(term, self.held, self.held, now)
    }

    fn chunk(&mut self, term: Term, start: u64, end: u64, now: Now) -> Message {
        self.last_sent = now;
        let place = |offset| usize::try_from(offset).unwrap_or(usize::MAX);
        Message::Chunk {
            term,
            last: self.snapshot.last,
            voters: self.snapshot.voters.clone(),
            offset: start,
            total: self.total(),
            part: self.snapshot.data.slice(place(start)..place(end)),
            sent: now,
        }
    }

    /// The last index that the snapshot includes.
    pub(super) fn index(&self) -> Index {
        self.snapshot.last.index
    }

    pub(super) fn progress(&self, node: NodeId) -> TransferProgress {
        TransferProgress {
            node,
            index: self.index(),
            held: self.held,
            total: self.total(),
            since: self.since,
        }
    }

    fn total(&self) -> u64 {
        self.snapshot.data.len() as u64
    }

    /// Handles an answer, which counts by how much is held.
    ///
    /// Only an answer to something sent later than what the latest one answers may say that less is
    /// held, as after a restart of the receiver. If messages overtake each other this may be wrong
    /// and costs a chunk sent twice, until the next answer corrects it.
    pub(super) fn on_reply(&mut self, answer: Answer, pace: Pace, now: Now) -> ChunkOutcome {
        let Answer { index, held, sent } = answer;
        if index != self.index() || sent < self.since || sent > self.last_sent {
            return ChunkOutcome::Stale;
        }
        if held >= self.total() {
            return ChunkOutcome::Done(index);
        }
        let older = self.answered.is_some_and(|answered| sent < answered);
        if older || (self.answered == Some(sent) && held < self.held) {
            return ChunkOutcome::Stale;
        }
        self.answered = Some(sent);
        let restarted = held < self.held;
        let added = held.saturating_sub(self.held);
        self.held = held;
        while self.in_flight.front().is_some_and(|&(end, _)| end <= held) {
            self.in_flight.pop_front();
        }
        let lost = self.in_flight.front().is_some_and(|&(_, at)| at < sent);
        if restarted || lost {
            self.in_flight.clear();
            self.allowed = 0;
        } else if now > sent + pace.late {
            self.allowed /= 2;
        } else {
            let limit = MAX_IN_FLIGHT.saturating_sub(pace.chunk);
            self.allowed = (self.allowed + added).min(limit);
        }
        ChunkOutcome::More
    }
}

/// How far a snapshot that is being sent to a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferProgress {
    /// The node that it is sent to.
    pub node: NodeId,
    /// The last index that the snapshot includes.
    pub index: Index,
    /// How many bytes the node holds, as far as this one knows.
    pub held: u64,
    /// How many bytes the snapshot has.
    pub total: u64,
    /// When the transfer began, by the clock of this node.
    pub since: Now,
}

/// An answer of a receiver.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    /// The last index of the snapshot that it is about.
    pub(super) index: Index,
    /// How many bytes are held.
    pub(super) held: u64,
    /// When the message was sent that it answers.
    pub(super) sent: Now,
}

/// What an answer of a receiver means for the sender.
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
        let answer = Answer { index, held, sent };
        if term == 0 {
            self.on_feed_chunk_reply(from, answer);
            return;
        }
        let (pace, now) = (Pace::new(&self.config), self.now);
        let Some(peer) = self.record_answer(from, term, sent) else {
            return;
        };
        let Some(transfer) = &mut peer.transfer else {
            return;
        };
        if let ChunkOutcome::Done(index) = transfer.on_reply(answer, pace, now) {
            peer.transfer = None;
            peer.matched(now, index);
        }
    }
}
