//! What a leader knows of the others.

use std::collections::{BTreeMap, VecDeque};

use super::{
    seam::{Index, Term},
    snapshot::Transfer,
};
use crate::core::types::{NodeId, Now};

/// How far one node is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Progress {
    /// The next entry to send.
    pub(super) next: Index,
    /// The last entry known to be on its disk and equal to the leader's.
    pub(super) matched: Index,
    /// The leader's clock when it sent what the node answered last.
    pub(super) heard: Option<Now>,
    /// No answer since the last conflict: one message at a time.
    pub(super) probing: bool,
    /// The last index of each message with entries under way.
    pub(super) in_flight: VecDeque<Index>,
    /// Since when no entry was confirmed although some are under way.
    pub(super) owing: Option<Now>,
    /// The snapshot on its way, if the log doesn't reach back far enough.
    pub(super) transfer: Option<Transfer>,
}

impl Progress {
    pub(super) fn new(next: Index) -> Self {
        let in_flight = VecDeque::new();
        let (heard, owing, transfer) = (None, None, None);
        Self {
            next,
            matched: 0,
            heard,
            probing: true,
            in_flight,
            owing,
            transfer,
        }
    }

    /// Whether another message with entries may go.
    pub(super) fn has_room(&self, pipeline: usize) -> bool {
        let limit = if self.probing { 1 } else { pipeline.max(1) };
        self.in_flight.len() < limit
    }

    /// A message with entries up to `last` went.
    pub(super) fn sent(&mut self, now: Now, last: Index) {
        self.next = last + 1;
        self.in_flight.push_back(last);
        self.owing.get_or_insert(now);
    }

    /// The node has everything up to an index.
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
            self.owing = None;
        } else if moved {
            self.owing = Some(now);
        }
    }

    /// The node's log differs; go back to where it says, not behind what is known to match.
    pub(super) fn conflict(&mut self, hint: Index) {
        self.next = hint.min(self.next).max(self.matched + 1);
        self.probing = true;
        self.in_flight.clear();
        self.owing = None;
    }

    pub(super) fn heard(&mut self, sent: Now) {
        self.heard = self.heard.max(Some(sent));
    }
}

/// A node that becomes a voter once it is up to date.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Joining {
    pub(super) proposal: u64,
    /// All voters after the change.
    pub(super) voters: Vec<NodeId>,
    pub(super) node: NodeId,
    /// Since when it is waited for.
    pub(super) since: Now,
}

/// Leadership on its way to another voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HandOver {
    pub(super) to: NodeId,
    /// When this leader goes on leading.
    pub(super) until: Now,
}

/// The state of a leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Leader {
    /// Its term.
    pub(super) term: Term,
    /// When it was elected.
    pub(super) elected: Now,
    /// Who led before, and when it was last heard.
    pub(super) former: Option<(NodeId, Now)>,
    /// When the next heartbeat is due.
    pub(super) beat: Now,
    /// When it last asked once more, as it had been held up itself.
    pub(super) excused: Option<Now>,
    /// The other voters, and a node that is about to become one.
    pub(super) peers: BTreeMap<NodeId, Progress>,
    /// The change of voters that waits for its new voter.
    pub(super) joining: Option<Joining>,
    /// The planned change of leader.
    pub(super) handing: Option<HandOver>,
}

impl Leader {
    pub(super) fn new(term: Term, now: Now, former: Option<(NodeId, Now)>) -> Self {
        let peers = BTreeMap::new();
        let (joining, handing) = (None, None);
        Self {
            term,
            elected: now,
            former,
            beat: now,
            excused: None,
            peers,
            joining,
            handing,
        }
    }
}

/// The greatest value that a majority reaches.
pub(super) fn quorum<T: Ord + Copy + Default>(mut values: Vec<T>) -> T {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied().unwrap_or_default()
}
