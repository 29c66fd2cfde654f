//! Elections: pre-votes, votes, and the promise that a voter makes to a leader.
//!
//! A voter that receives nothing from a leader for its election timeout campaigns: it asks the
//! others whether they would vote for it, and only if a majority would, it enters the next term and
//! asks for their votes. A voter grants one vote a term, to a candidate whose log is at least as
//! advanced as its own. It grants none while it has recently received from a leader, unless that
//! leader itself asked for the election. A leader's lease rests on this promise.

use std::collections::BTreeSet;

use super::{
    interface::{Content, Term},
    leader::{Leader, Progress},
    message::{Message, Position},
    node::{Eligibility, Node, Role},
};
use crate::core::types::NodeId;

impl Node {
    /// Starts a campaign because nothing arrived from a leader for long enough. Asks for pre-votes
    /// first, unless these are off.
    pub(super) fn campaign(&mut self) {
        self.leader = None;
        self.reset_election_deadline();
        if self.config.protections.pre_vote {
            self.request_pre_votes();
        } else {
            self.request_votes(false);
        }
    }

    fn request_pre_votes(&mut self) {
        let granted = BTreeSet::from([self.config.id]);
        let elected = self.is_majority(&granted);
        self.role = Role::PreCandidate { granted };
        if elected {
            self.request_votes(false);
            return;
        }
        let message = Message::PreVote {
            term: self.term + 1,
            last: self.log.last(),
        };
        for voter in self.other_voters() {
            self.outbox.send(voter, message.clone());
        }
    }

    /// Campaigns in the next term. The requests wait until the candidate's own vote is on disk. A
    /// candidate that lost its vote in a crash could campaign again in the same term with a shorter
    /// log, and count votes that were given to the longer one.
    pub(super) fn request_votes(&mut self, handover: bool) {
        let write = self.set_term(self.term + 1, Some(self.config.id));
        self.leader = None;
        self.role = Role::Candidate {
            granted: BTreeSet::new(),
            write,
        };
        let message = Message::Vote {
            term: self.term,
            last: self.log.last(),
            handover,
        };
        for voter in self.other_voters() {
            self.outbox.send_synced(voter, message.clone());
        }
        self.count_own_vote();
    }

    /// Counts the candidate's own vote once it is on disk.
    pub(super) fn count_own_vote(&mut self) {
        let id = self.config.id;
        if let Role::Candidate { granted, write } = &mut self.role
            && self.outbox.is_synced(*write)
        {
            granted.insert(id);
            self.count_votes();
        }
    }

    pub(super) fn on_pre_vote(&mut self, from: NodeId, term: Term, last: Position) {
        let fresh = term > self.term && last >= self.log.last();
        let granted = fresh && self.may_vote() && !self.is_bound_by_lease();
        let current = self.term;
        self.outbox.send(
            from,
            Message::PreVoteReply {
                term,
                current,
                granted,
            },
        );
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: NodeId,
        term: Term,
        current: Term,
        granted: bool,
    ) {
        if !granted && current > self.term && self.has_no_leader() {
            self.step_down(current);
            return;
        }
        if term != self.term + 1 || !granted {
            return;
        }
        let Role::PreCandidate { granted } = &mut self.role else {
            return;
        };
        granted.insert(from);
        let granted = granted.clone();
        if self.is_majority(&granted) {
            self.request_votes(false);
        }
    }

    pub(super) fn on_vote(&mut self, from: NodeId, term: Term, last: Position, handover: bool) {
        if !self.may_vote() {
            return;
        }
        if term < self.term || (self.is_bound_by_lease() && !handover) {
            let term = self.term;
            self.outbox.send_synced(
                from,
                Message::VoteReply {
                    term,
                    granted: false,
                },
            );
            return;
        }
        if term > self.term {
            self.step_down(term);
        }
        let free = self.vote.is_none_or(|v| v == from);
        let granted = free && last >= self.log.last() && !self.is_leader();
        if granted && self.vote.is_none() {
            self.set_term(term, Some(from));
            self.reset_election_deadline();
        }
        self.outbox
            .send_synced(from, Message::VoteReply { term, granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: NodeId, term: Term, granted: bool) {
        if term > self.term {
            self.step_down(term);
            return;
        }
        if term < self.term || !granted {
            return;
        }
        if let Role::Candidate { granted, .. } = &mut self.role {
            granted.insert(from);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let Role::Candidate { granted, .. } = &self.role else {
            return;
        };
        if self.is_majority(granted) {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        let predecessor = self.last_leader.zip(self.leader_seen);
        let mut leader = Leader::new(self.term, self.now, predecessor);
        let next = self.log.last().index + 1;
        for voter in self.other_voters() {
            leader.peers.insert(voter, Progress::new(next));
        }
        self.role = Role::Leader(leader);
        self.leader = Some(self.config.id);
        self.append_own(Content::Noop);
    }

    /// Whether this node votes at all. A node that isn't in its own list of voters votes, too: it
    /// may have been added by an entry that it doesn't have yet, and its vote may be needed for the
    /// majority.
    fn may_vote(&self) -> bool {
        self.eligibility == Eligibility::Eligible
    }

    /// Whether a leader may rely on this node not to vote for another candidate.
    fn is_bound_by_lease(&self) -> bool {
        if !self.config.protections.lease {
            return false;
        }
        if self.is_leader() {
            return true;
        }
        self.leader_seen
            .is_some_and(|seen| self.now < seen + self.config.election_min)
    }

    fn has_no_leader(&self) -> bool {
        self.leader.is_none() && !self.is_leader()
    }

    /// Campaigns at the leader's request. The leader's lease ended when it sent the request, so
    /// votes may be granted at once.
    pub(super) fn on_hand_over(&mut self, from: NodeId, term: Term) {
        let from_leader = self.leader == Some(from) || self.leader.is_none();
        let able = self.is_voter() && !self.retiring;
        if term == self.term && from_leader && able && !self.is_leader() {
            self.reset_election_deadline();
            self.request_votes(true);
        }
    }
}
