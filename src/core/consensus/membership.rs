//! Changes of voters, one added or removed at a time, and planned hand-over of leadership.
//!
//! Any majority before such a change overlaps any majority after it, so a list of voters takes
//! effect as soon as it is appended, and no joint phase is needed. That holds only if one change is
//! committed before the next begins, and only once the leader has committed an entry of its own
//! term: a change by an earlier leader may still stand in another node's log.
//!
//! A change that waits until its new voter has caught up isn't in any log, so it gives way to another
//! change at any time. It has no limit of time as long as the new voter answers: only who asks for
//! the changes knows whether another node would be there sooner.

use super::{
    interface::{Content, Index, Output, Resignation},
    leader::{HandOver, Joining, Progress},
    message::Message,
    node::{Node, Role},
};
use crate::core::types::NodeId;

/// For how many of the longest election timeouts a new voter may answer nothing, or confirm none of
/// the entries that it was sent. A node that is gone or whose disk hangs mustn't hold up the change
/// that replaces another voter.
const SILENCE_ELECTION_TIMEOUTS: u32 = 1;
/// How many entries a new voter may lack when it is added.
const MAX_MISSING_ENTRIES: Index = 16;

/// The effect of a change of voters.
enum VoterChange {
    Add(NodeId),
    Remove,
}

impl Node {
    pub(super) fn reconfigure(&mut self, proposal: u64, mut voters: Vec<NodeId>) {
        voters.sort_unstable();
        voters.dedup();
        match self.classify_change(&voters) {
            None => self.reject(proposal),
            Some(VoterChange::Remove) => {
                self.give_up_joining();
                self.propose(proposal, Content::Voters(voters));
            }
            Some(VoterChange::Add(node)) => {
                self.give_up_joining();
                self.start_joining(Joining {
                    proposal,
                    voters,
                    node,
                });
            }
        }
    }

    /// Rejects the change whose voter hasn't caught up yet, because another change takes its place.
    /// Only lists in the log count, so nothing of the rejected one is left anywhere.
    fn give_up_joining(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(Joining { proposal, node, .. }) = leader.joining.take() {
            leader.peers.remove(&node);
            self.reject(proposal);
        }
    }

    fn start_joining(&mut self, joining: Joining) {
        let next = self.log.last().index + 1;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let peer = leader.peers.entry(joining.node);
        peer.or_insert_with(|| Progress::new(next));
        leader.joining = Some(joining);
        // The node lacks only what was written since it was last fed. A heartbeat now lets it
        // confirm that at once.
        leader.heartbeat_due = self.now;
    }

    /// The effect of a change, or `None` if it can't be made now.
    fn classify_change(&self, voters: &[NodeId]) -> Option<VoterChange> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let added: Vec<_> = voters
            .iter()
            .filter(|v| !self.voters().contains(v))
            .collect();
        let removed = self.voters().iter().filter(|v| !voters.contains(v)).count();
        // A join gives way to another change, but doesn't begin anew.
        let joins = leader.joining.as_ref().is_some_and(|j| added == [&j.node]);
        let busy = joins || leader.handover.is_some();
        let settled = self.log.last_voter_change() <= self.committed && self.has_committed();
        let single = added.len() + removed == 1 && settled && !busy;
        let allowed = single || !self.config.protections.single_server;
        if voters.is_empty() || !allowed {
            return None;
        }
        Some(
            added
                .first()
                .map_or(VoterChange::Remove, |&&node| VoterChange::Add(node)),
        )
    }

    /// The node that becomes a voter at this leader once it has caught up. The change isn't in the
    /// log yet, and gives way to another.
    pub fn joining(&self) -> Option<NodeId> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        leader.joining.as_ref().map(|joining| joining.node)
    }

    /// Whether a change of voters is under way at this leader. Unless it only waits for
    /// [`Self::joining`], no other can begin.
    pub fn is_changing_voters(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        leader.joining.is_some() || self.log.last_voter_change() > self.committed
    }

    /// Whether this leader has committed an entry of its own term.
    pub(super) fn has_committed(&self) -> bool {
        self.log
            .position(self.committed)
            .is_some_and(|p| p.term == self.term)
    }

    /// Advances what a leader has under way besides replication.
    pub(super) fn advance_changes(&mut self, ticked: bool) {
        self.advance_joining(ticked);
        self.drop_removed();
        self.advance_handover();
    }

    /// Adds a new voter once it has caught up so far that it won't hold up the majority that needs
    /// it. Rejects the change if the voter falls silent, which only a tick judges: the inputs before
    /// it may hold the answer.
    fn advance_joining(&mut self, ticked: bool) {
        let (now, last) = (self.now, self.log.last().index);
        let limit = self.config.election_max * SILENCE_ELECTION_TIMEOUTS;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(Joining { node, .. }) = leader.joining else {
            return;
        };
        let peer = leader.peers.get(&node);
        let matched = peer.map_or(0, |p| p.matched);
        let close = matched > 0 && matched + MAX_MISSING_ENTRIES >= last;
        let is_silent = |peer: &Progress| {
            let since = peer.silent_since();
            since.is_some_and(|since| peer.is_silent(since, limit, now))
        };
        let silent = ticked && peer.is_some_and(is_silent);
        if !close && !silent {
            return;
        }
        let Some(joining) = leader.joining.take() else {
            return;
        };
        if close {
            self.propose(joining.proposal, Content::Voters(joining.voters));
            self.replicate();
        } else {
            leader.peers.remove(&node);
            self.reject(joining.proposal);
        }
    }

    /// Drops the progress of removed voters once their removal is committed, and hands leadership
    /// over if this node is one of them.
    fn drop_removed(&mut self) {
        if self.log.last_voter_change() > self.committed {
            return;
        }
        let voters = self.voters().to_vec();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let joining = leader.joining.as_ref().map(|j| j.node);
        leader
            .peers
            .retain(|node, _| voters.contains(node) || joining == Some(*node));
        if !voters.contains(&self.config.id) && leader.handover.is_none() {
            self.hand_over(None);
        }
    }

    /// Starts to hand leadership over to another voter, the most advanced if none is named. No
    /// proposal is accepted from now on; the other voter is asked to campaign once it has all
    /// entries.
    pub(super) fn hand_over(&mut self, to: Option<NodeId>) {
        let until = self.now + self.config.election_min;
        let best = self.most_advanced();
        let voters = self.voters().to_vec();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let named = to.filter(|v| voters.contains(v) && leader.peers.contains_key(v));
        let to = if to.is_some() { named } else { best };
        leader.handover = to.map(|to| HandOver { to, until });
    }

    fn most_advanced(&self) -> Option<NodeId> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let voters = leader
            .peers
            .iter()
            .filter(|(v, _)| self.voters().contains(v));
        // Of equally advanced voters the one with the lowest id, so that the choice is the same
        // everywhere.
        voters
            .rev()
            .max_by_key(|(_, peer)| peer.matched)
            .map(|(&v, _)| v)
    }

    /// Steps down in favour of the chosen voter once that has all entries. A leader that asked
    /// another node to campaign never leads in this term again, so its lease needs no further
    /// revocation.
    fn advance_handover(&mut self) {
        let (now, last, term) = (self.now, self.log.last().index, self.term);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(HandOver { to, until }) = leader.handover else {
            return;
        };
        let matched = leader.peers.get(&to).map_or(0, |p| p.matched);
        if matched == last {
            leader.handover = None;
            self.outbox.send(to, Message::HandOver { term });
            if self.config.protections.release_lease {
                self.resign(Resignation::HandedOver);
            }
        } else if now >= until {
            leader.handover = None;
        }
    }

    pub(super) fn reject(&mut self, proposal: u64) {
        let leader = self.leader.filter(|_| !self.is_handing_over());
        self.outbox.push(Output::Rejected { proposal, leader });
    }

    /// Whether this leader accepts no proposals because it is handing leadership over.
    pub fn is_handing_over(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if leader.handover.is_some())
    }
}
