//! The state that only a leader keeps: how far each peer is, and the changes under way.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{
    interface::{Index, Term},
    snapshot::Transfer,
};
use crate::core::types::{NodeId, Now};

/// How far the leader has replicated its log to one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Progress {
    /// The next entry to send.
    pub(super) next: Index,
    /// The last entry known to be on its disk and equal to the leader's.
    pub(super) matched: Index,
    /// When, by the leader's clock, it had sent the latest message that the node has answered.
    pub(super) last_acked: Option<Now>,
    /// Whether it is still unknown up to where the logs match; then only one message is in flight.
    pub(super) probing: bool,
    /// The last index of each message with entries that is in flight.
    pub(super) in_flight: VecDeque<Index>,
    /// When the first heartbeat was sent that the node hasn't answered. `None` if it has answered
    /// that one or anything sent later.
    pub(super) unanswered_since: Option<Now>,
    /// Since when no entry was confirmed although some are in flight.
    pub(super) unconfirmed_since: Option<Now>,
    /// Until when the node's silence isn't judged, because this leader was delayed itself: what it
    /// asked may have left it late, or the answers may not have been read. Once for each silence.
    pub(super) grace_until: Option<Now>,
    /// The snapshot that is being sent, if the log doesn't reach back far enough.
    pub(super) transfer: Option<Transfer>,
}

impl Progress {
    pub(super) fn new(next: Index) -> Self {
        let in_flight = VecDeque::new();
        let (last_acked, transfer) = (None, None);
        let (unanswered_since, unconfirmed_since, grace_until) = (None, None, None);
        Self {
            next,
            matched: 0,
            last_acked,
            probing: true,
            in_flight,
            unanswered_since,
            unconfirmed_since,
            grace_until,
            transfer,
        }
    }

    /// Whether another message with entries may be sent.
    pub(super) fn has_room(&self, pipeline: usize) -> bool {
        let limit = if self.probing { 1 } else { pipeline.max(1) };
        self.in_flight.len() < limit
    }

    /// Records that a message with entries up to `last` was sent.
    pub(super) fn sent(&mut self, now: Now, last: Index) {
        self.next = last + 1;
        self.in_flight.push_back(last);
        self.unconfirmed_since.get_or_insert(now);
    }

    /// Begins to send a snapshot, which goes before the entries in flight: the node need not confirm
    /// them any more.
    pub(super) fn begin_transfer(&mut self, transfer: Transfer) {
        self.transfer = Some(transfer);
        self.in_flight.clear();
        self.unconfirmed_since = None;
    }

    /// Records that the node has everything up to an index.
    pub(super) fn matched(&mut self, now: Now, index: Index) {
        let moved = index > self.matched;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        self.probing = false;
        while self
            .in_flight
            .front()
            .is_some_and(|&last| last <= self.matched)
        {
            self.in_flight.pop_front();
        }
        if self.in_flight.is_empty() {
            self.unconfirmed_since = None;
        } else if moved {
            self.unconfirmed_since = Some(now);
        }
    }

    /// Records that the node's log differs, and goes back to the index that the node names, but not
    /// behind what is known to match.
    pub(super) fn conflict(&mut self, hint: Index) {
        self.next = hint.min(self.next).max(self.matched + 1);
        self.probing = true;
        self.in_flight.clear();
        self.unconfirmed_since = None;
    }

    pub(super) fn acked(&mut self, sent: Now) {
        self.last_acked = self.last_acked.max(Some(sent));
    }

    /// Brings the node's silence up to date on a tick. `grace` is how long it isn't judged from now
    /// on if this leader has just been delayed.
    pub(super) fn update_silence(&mut self, now: Now, grace: Option<Duration>) {
        let answered = |since: &Now| self.last_acked >= Some(*since);
        self.unanswered_since = self.unanswered_since.filter(|since| !answered(since));
        self.grace_until = match (self.silent_since(), self.grace_until) {
            (None, _) => None,
            (Some(_), None) => grace.map(|grace| now + grace),
            (Some(_), until) => until,
        };
    }

    /// Since when the node hasn't answered a heartbeat, or hasn't confirmed an entry.
    pub(super) fn silent_since(&self) -> Option<Now> {
        let since = [self.unanswered_since, self.unconfirmed_since];
        since.into_iter().flatten().min()
    }

    /// Whether the node counts as silent after `limit`, if it is silent since then.
    pub(super) fn is_silent(&self, since: Now, limit: Duration, now: Now) -> bool {
        now >= since + limit && self.grace_until.is_none_or(|until| now >= until)
    }
}

/// A node that becomes a voter once it is up to date.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Joining {
    pub(super) proposal: u64,
    /// All voters after the change.
    pub(super) voters: Vec<NodeId>,
    pub(super) node: NodeId,
}

/// A hand-over of leadership to another voter that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HandOver {
    pub(super) to: NodeId,
    /// When this leader gives up the hand-over and goes on leading.
    pub(super) until: Now,
}

/// A heartbeat that waits for the answers of a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Question {
    pub(super) sent: Now,
    /// Whether it replaces an earlier one because the leader was delayed.
    pub(super) repeated: bool,
}

/// The state of a leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Leader {
    /// Its term.
    pub(super) term: Term,
    /// When it was elected.
    pub(super) elected: Now,
    /// The leader before this one, and when its last message arrived.
    pub(super) predecessor: Option<(NodeId, Now)>,
    /// When the next heartbeat is due.
    pub(super) heartbeat_due: Now,
    /// The first heartbeat that no quorum has answered yet. `None` if a quorum has answered it or
    /// anything sent later.
    pub(super) unanswered: Option<Question>,
    /// The other voters, and a node that is about to become one.
    pub(super) peers: BTreeMap<NodeId, Progress>,
    /// The change of voters that waits until its new voter has caught up.
    pub(super) joining: Option<Joining>,
    /// The hand-over of leadership that is under way.
    pub(super) handover: Option<HandOver>,
}

impl Leader {
    pub(super) fn new(term: Term, now: Now, predecessor: Option<(NodeId, Now)>) -> Self {
        let peers = BTreeMap::new();
        let (joining, handover) = (None, None);
        Self {
            term,
            elected: now,
            predecessor,
            heartbeat_due: now,
            unanswered: None,
            peers,
            joining,
            handover,
        }
    }
}

/// The greatest value that a majority reaches.
pub(super) fn quorum<T: Ord + Copy + Default>(mut values: Vec<T>) -> T {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied().unwrap_or_default()
}
