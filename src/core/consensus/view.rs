//! Read-only queries on a node.

use std::time::Duration;

use super::{
    interface::{Entry, Index, Room, Term},
    message::Position,
    node::{Eligibility, Node, Role},
    snapshot::{IncomingSnapshot, TransferProgress},
};
use crate::core::types::{NodeId, Now};

/// How many heartbeats [`Node::answer_grace`] takes.
const GRACE_HEARTBEATS: u32 = 4;

impl Node {
    /// The node's id.
    pub fn id(&self) -> NodeId {
        self.config.id
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The leader, as far as this node knows.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Whether this node leads. Another node may lead, too, in a later term; only the lease rules
    /// that out.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Until when no other node can lead, once this one has applied an entry of its own term and so
    /// everything that was committed before. Compare it with the clock at each use: a process can
    /// be paused between two steps.
    pub fn lease_until(&self) -> Option<Now> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        if leader.handover.is_some() || !self.has_applied_own_term() {
            return None;
        }
        Some(self.quorum_acked()? + self.config.lease)
    }

    /// How many commands this node accepts if they are proposed now, one after the other and with no
    /// other input between them. None unless it leads, while it hands leadership over, and while too
    /// many entries wait to be committed.
    pub fn room(&self) -> Room {
        let count = |entries| usize::try_from(entries).unwrap_or(usize::MAX);
        let most = count(self.config.backlog);
        if !self.is_leader() || self.is_handing_over() {
            return Room { now: 0, most };
        }
        let waiting = self.log.last().index - self.committed;
        let now = count(self.config.backlog.saturating_sub(waiting));
        Room { now, most }
    }

    fn has_applied_own_term(&self) -> bool {
        self.log
            .position(self.applied)
            .is_some_and(|p| p.term == self.term)
    }

    /// Whether committed entries wait to be applied. Send [`Input::Tick`](super::Input::Tick) again
    /// soon, after the inputs that have arrived.
    pub fn has_unapplied(&self) -> bool {
        self.applied < self.committed
    }

    /// How long a node has to answer a leader before its silence is judged, where the time before may
    /// not be its own: the leader was delayed, or wasn't the leader yet.
    pub fn answer_grace(&self) -> Duration {
        self.config.heartbeat * GRACE_HEARTBEATS
    }

    /// On the leader, the voters that for `limit` have answered nothing that it asked, or have
    /// confirmed no entry though some were sent, as when a disk hangs.
    ///
    /// The time counts from the election at the earliest, except for the former leader. That one
    /// may have been missing since before the election, and has a few heartbeats to answer. After a
    /// delay of this leader itself all voters have them.
    pub fn silent_voters(&self, limit: Duration) -> Vec<NodeId> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let silent = |voter: &&NodeId| {
            let Some(peer) = leader.peers.get(voter) else {
                return false;
            };
            let Some(unanswered) = peer.silent_since() else {
                return false;
            };
            let predecessor = leader.predecessor.filter(|(node, _)| node == *voter);
            let before = predecessor.filter(|_| peer.last_acked.is_none());
            let since = before.map_or(unanswered, |(_, seen)| {
                let earliest = (leader.elected + self.answer_grace()).saturating_sub(limit);
                seen.max(earliest).min(unanswered)
            });
            peer.is_silent(since, limit, self.now)
        };
        self.voters().iter().filter(silent).copied().collect()
    }

    /// The snapshots that this node is sending, as the leader or to the nodes that it feeds.
    pub fn transfers(&self) -> Vec<TransferProgress> {
        let peers = match &self.role {
            Role::Leader(leader) => Some(leader.peers.iter()),
            _ => None,
        };
        let led = peers.into_iter().flatten().map(|(n, p)| (n, &p.transfer));
        let fed = self.feed.subscribers.iter().map(|(n, s)| (n, &s.transfer));
        led.chain(fed)
            .filter_map(|(&node, transfer)| Some(transfer.as_ref()?.progress(node)))
            .collect()
    }

    /// The last index known to be committed.
    pub fn committed(&self) -> Index {
        self.committed
    }

    /// The end of the log, committed or not.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// The last entry that the log has dropped. A node whose log ends before it needs a snapshot.
    pub fn log_start(&self) -> Index {
        self.log.base()
    }

    /// How many bytes of a snapshot this node has been sent, while it isn't complete.
    pub fn received(&self) -> u64 {
        let incoming = self.incoming.as_ref();
        incoming.map_or(0, IncomingSnapshot::size)
    }

    /// The voters as of the end of the log.
    pub fn voters(&self) -> &[NodeId] {
        self.log.voters()
    }

    /// Whether this node may vote under its id.
    pub fn eligibility(&self) -> Eligibility {
        self.eligibility
    }

    /// The entry at an index, if the log has it and hasn't dropped it.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Whether this node takes part in elections.
    pub fn is_voter(&self) -> bool {
        self.eligibility == Eligibility::Eligible && self.voters().contains(&self.config.id)
    }

    /// Whether this node is a voter by the last list that is known to be committed. A later list
    /// may still be discarded.
    pub fn is_committed_voter(&self) -> bool {
        let voters = self.log.voters_at(self.committed);
        self.eligibility == Eligibility::Eligible && voters.contains(&self.config.id)
    }

    /// When a leader with a quorum was last known to lead, by this node's clock. On the leader this
    /// is the last answer of a quorum. On a voter it is the last message; after a pause of the
    /// process, only one that can't have waited in a socket since before the pause. On a learner it
    /// is the last subscription that was answered, less the relay's own lag. `None` before the
    /// first contact.
    pub fn last_contact(&self) -> Option<Now> {
        if self.is_leader() {
            return self.quorum_acked();
        }
        if !self.is_voter() {
            return self.feed.last_contact();
        }
        let pause = self.pause.filter(|p| self.leader_seen < Some(p.until));
        pause.map_or(self.leader_seen, |p| p.leader_seen)
    }
}
