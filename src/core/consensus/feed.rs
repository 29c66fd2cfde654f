//! Learners: committed entries reach the nodes that don't vote, through one relay per data centre.
//!
//! A learner subscribes to one source and renews the subscription a few times in each feed timeout.
//! The source pushes committed entries as soon as it knows of them. Any node that has committed
//! entries may feed others: a voter, or a learner that acts as a relay. Every feed states how long
//! ago its sender itself was in touch with a leader, so a chain of relays never looks fresher than
//! it is.

use std::collections::BTreeMap;

use super::{
    interface::{Entry, Index},
    message::Message,
    node::{Eligibility, Node},
    snapshot::{Answer, ChunkOutcome, Pace, Transfer},
    source::Skip,
};
use crate::core::types::{NodeId, Now};

/// How many times a learner subscribes in a feed timeout.
const SUBSCRIBES_PER_FEED_TIMEOUT: u32 = 4;
/// For how many feed timeouts a subscription lasts.
const SUBSCRIPTION_FEED_TIMEOUTS: u32 = 2;
/// For how many of the longest election timeouts a voter waits without a leader before it asks to
/// be fed: it may have been removed without having received the change.
const LEADERLESS_ELECTION_TIMEOUTS: u32 = 2;

/// A node that this one feeds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Subscriber {
    /// The next index to send.
    next: Index,
    /// The subscriber's clock in its last subscription.
    sent: Now,
    /// When its last subscription, or answer to a chunk, arrived.
    last_seen: Now,
    pub(super) transfer: Option<Transfer>,
}

/// The state of both ends of feeding: the source of this node, and the nodes that it feeds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Feed {
    /// When this node started.
    pub(super) started: Now,
    /// The node that feeds this one.
    pub(super) source: Option<NodeId>,
    /// Nodes that were asked to be the source and haven't answered yet, and since when.
    pub(super) trials: BTreeMap<NodeId, Now>,
    /// When the source last showed that it is in touch with a leader.
    pub(super) source_seen: Now,
    /// The latest time, by this node's clock, at which the source was in touch with a leader.
    pub(super) last_contact: Option<Now>,
    /// When this node last asked to be fed.
    pub(super) subscribed_at: Option<Now>,
    /// The silent sources, and until when each is skipped.
    pub(super) skipped: BTreeMap<NodeId, Skip>,
    /// The voters as the last feed named them.
    pub(super) voters: Vec<NodeId>,
    /// The nodes that this one feeds.
    pub(super) subscribers: BTreeMap<NodeId, Subscriber>,
}

impl Feed {
    pub(super) fn new(now: Now) -> Self {
        Self {
            started: now,
            source: None,
            trials: BTreeMap::new(),
            source_seen: now,
            last_contact: None,
            subscribed_at: None,
            skipped: BTreeMap::new(),
            voters: Vec::new(),
            subscribers: BTreeMap::new(),
        }
    }

    pub(super) fn last_contact(&self) -> Option<Now> {
        self.last_contact
    }
}

impl Node {
    /// The node that feeds this one, if any does.
    pub fn relay(&self) -> Option<NodeId> {
        self.feed.source
    }

    /// How many nodes this one feeds.
    pub fn subscribers(&self) -> usize {
        self.feed.subscribers.len()
    }

    pub(super) fn tick_feed(&mut self) {
        self.expire_subscribers();
        if !self.needs_feed() {
            self.feed.source = None;
            self.feed.trials.clear();
            return;
        }
        self.expire_sources();
        self.forget_leader();
        let interval = self.config.feed_timeout / SUBSCRIBES_PER_FEED_TIMEOUT;
        let subscribed_at = self.feed.subscribed_at;
        let due = subscribed_at.is_none_or(|at| self.now >= at + interval);
        if due {
            self.subscribe_to_sources();
        }
    }

    fn needs_feed(&self) -> bool {
        if self.is_leader() {
            return false;
        }
        let patience = self.config.election_max * LEADERLESS_ELECTION_TIMEOUTS;
        let seen = self.leader_seen.unwrap_or(self.feed.started);
        !self.is_voter() || (self.leader.is_none() && self.now > seen + patience)
    }

    /// Clears a learner's leader once no source feeds the learner. If it went on naming the last
    /// one, callers would take it for connected, and their requests would wait for an answer that
    /// can't come.
    fn forget_leader(&mut self) {
        let patience = self.config.feed_timeout;
        let in_touch = self
            .leader_seen
            .is_some_and(|seen| self.now < seen + patience);
        if !self.is_voter() && self.feed.source.is_none() && !in_touch {
            self.leader = None;
        }
    }

    fn expire_subscribers(&mut self) {
        let ttl = self.config.feed_timeout * SUBSCRIPTION_FEED_TIMEOUTS;
        let now = self.now;
        self.feed.subscribers.retain(|_, s| now < s.last_seen + ttl);
    }

    /// Handles a node's request to be fed.
    pub(super) fn on_subscribe(&mut self, from: NodeId, last: Index, sent: Now) {
        let (next, last_seen) = (last + 1, self.now);
        let old = self.feed.subscribers.remove(&from);
        let transfer = old.and_then(|s| s.transfer).filter(|t| t.index() > last);
        let renewed = transfer.is_some();
        let subscriber = Subscriber {
            next,
            sent,
            last_seen,
            transfer,
        };
        self.feed.subscribers.insert(from, subscriber);
        self.send_feed(from);
        if renewed {
            self.send_feed_question(from);
        }
        self.send_feed_chunks(from);
    }

    /// Sends subscribers what has been committed since their last feed.
    pub(super) fn push_feeds(&mut self) {
        let behind = |s: &&Subscriber| s.next <= self.committed && s.transfer.is_none();
        let subscribers = self.feed.subscribers.iter();
        let behind: Vec<_> = subscribers
            .filter(|(_, s)| behind(s))
            .map(|(&n, _)| n)
            .collect();
        for node in behind {
            while self.send_feed(node) {}
        }
    }

    /// Sends one feed. Returns whether it brought entries and more are left to send.
    fn send_feed(&mut self, to: NodeId) -> bool {
        let lag = self.lag();
        let committed = self.committed;
        let (count, bytes) = (self.config.batch_entries, self.config.batch_bytes);
        let Some(subscriber) = self.feed.subscribers.get_mut(&to) else {
            return false;
        };
        // Behind the log's start this feed names the voters and has no entries; a snapshot follows.
        let prev = subscriber.next - 1;
        let entries = self.log.batch(subscriber.next, committed, count, bytes);
        if entries.is_empty() && subscriber.next <= committed && subscriber.transfer.is_none() {
            subscriber.transfer = Some(Transfer::new(self.log.snapshot().clone(), self.now));
        }
        let moved = !entries.is_empty();
        subscriber.next += entries.len() as Index;
        let more = moved && subscriber.next <= committed;
        let sent = subscriber.sent;
        let (leader, voters) = (self.leader, self.known_voters().to_vec());
        let message = Message::Feed {
            sent,
            lag,
            prev,
            entries,
            committed,
            leader,
            voters,
        };
        self.outbox.send(to, message);
        more
    }

    /// Sends the next chunks of the snapshot to a subscriber that needs one, as far as they may be
    /// sent.
    fn send_feed_chunks(&mut self, to: NodeId) {
        let (pace, now) = (Pace::new(&self.config), self.now);
        let subscriber = self.feed.subscribers.get_mut(&to);
        let Some(transfer) = subscriber.and_then(|s| s.transfer.as_mut()) else {
            return;
        };
        while let Some(chunk) = transfer.next_chunk(0, pace, now) {
            self.outbox.send(to, chunk);
        }
    }

    /// Asks a subscriber to which a snapshot is being sent how much of it is held.
    fn send_feed_question(&mut self, to: NodeId) {
        let now = self.now;
        let subscriber = self.feed.subscribers.get_mut(&to);
        if let Some(transfer) = subscriber.and_then(|s| s.transfer.as_mut()) {
            let question = transfer.question(0, now);
            self.outbox.send(to, question);
        }
    }

    pub(super) fn on_feed_chunk_reply(&mut self, from: NodeId, answer: Answer) {
        let (pace, now) = (Pace::new(&self.config), self.now);
        let Some(subscriber) = self.feed.subscribers.get_mut(&from) else {
            return;
        };
        let Some(transfer) = &mut subscriber.transfer else {
            return;
        };
        match transfer.on_reply(answer, pace, now) {
            ChunkOutcome::Stale => {}
            ChunkOutcome::More => {
                subscriber.last_seen = now;
                self.send_feed_chunks(from);
            }
            ChunkOutcome::Done(index) => {
                subscriber.transfer = None;
                subscriber.next = subscriber.next.max(index + 1);
            }
        }
    }

    /// How long ago this node was last in touch with a leader; the maximum if it never was.
    fn lag(&self) -> Now {
        self.last_contact()
            .map_or(Now::MAX, |contact| self.now.saturating_sub(contact))
    }

    /// Handles a feed. Its entries are committed, so any sender may be believed, and entries of
    /// this log that differ from them were never committed.
    pub(super) fn on_feed(&mut self, from: NodeId, feed: Message) {
        let Message::Feed {
            sent,
            lag,
            prev,
            entries,
            leader,
            voters,
            ..
        } = feed
        else {
            return;
        };
        if self.is_leader() || sent > self.now {
            return;
        }
        if lag < self.config.feed_timeout {
            self.decide_eligibility(&voters);
        }
        if self.eligibility == Eligibility::Unknown {
            return;
        }
        self.adopt_source(from, sent, lag);
        self.learn_leader(from, lag, leader);
        self.feed.voters = voters;
        self.append_committed(prev, entries);
    }

    /// Takes the leader that a feed names. A learner believes its source. It believes other nodes
    /// only if they are in touch with a leader: a node that is cut off can't know, and mustn't be
    /// believed over the source.
    fn learn_leader(&mut self, from: NodeId, lag: Now, leader: Option<NodeId>) {
        let is_source = self.feed.source == Some(from);
        if !self.is_voter() && (is_source || lag < self.config.feed_timeout) {
            self.leader = leader;
        }
    }

    fn append_committed(&mut self, prev: Index, entries: Vec<Entry>) {
        if prev > self.committed {
            return;
        }
        let Some(last) = entries.last().map(|e| e.index) else {
            return;
        };
        self.merge_entries(entries);
        self.committed = self.committed.max(last);
    }

    /// Decides whether a node with an empty disk may vote: not if its id already is a voter's, by
    /// what a node in touch with a leader says.
    fn decide_eligibility(&mut self, voters: &[NodeId]) {
        if self.eligibility != Eligibility::Unknown || voters.is_empty() {
            return;
        }
        let barred = voters.contains(&self.config.id);
        self.set_eligibility(if barred {
            Eligibility::Ineligible
        } else {
            Eligibility::Eligible
        });
    }
}
