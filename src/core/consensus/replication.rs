//! Replication: the leader's entries reach the other voters' logs, and are committed.
//!
//! A leader sends each peer the entries that follow what the peer is believed to hold, and commits
//! an entry of its own term once a majority of the voters has it on disk. A peer accepts entries
//! only if its log contains the position before them; it truncates its log where that differs. A
//! leader never overwrites entries of its own log.

use super::{
    interface::{Content, Entry, Index, Output, Payload, Record, Resignation, Term},
    leader::{Progress, Question, quorum},
    message::{AppendOutcome, Message, Position},
    node::{Eligibility, Node, Role},
    restored::Snapshot,
    snapshot::{Pace, Transfer},
};
use crate::core::types::{NodeId, Now};

/// How many writes of a leader may be pending before new entries wait to be written together.
const MAX_PENDING_WRITES: usize = 2;

impl Node {
    pub(super) fn propose(&mut self, proposal: u64, content: Content) {
        if self.room().now == 0 {
            self.reject(proposal);
            return;
        }
        let Position { term, index } = self.append_own(content);
        self.outbox.push(Output::Appended {
            proposal,
            term,
            index,
        });
    }

    /// Appends an entry to the leader's own log.
    pub(super) fn append_own(&mut self, content: Content) -> Position {
        let index = self.log.last().index + 1;
        self.log.push(Entry {
            term: self.term,
            index,
            content,
        });
        self.log.last()
    }

    /// Sends heartbeats, and steps down when no quorum answers any more or the disk has stalled.
    pub(super) fn tick_leader(&mut self) {
        self.update_questions();
        let quorum_lost = self.config.protections.lease && self.has_lost_quorum();
        if quorum_lost || self.is_disk_stalled() {
            self.resign(if quorum_lost {
                Resignation::NoQuorum
            } else {
                Resignation::Stalled
            });
            return;
        }
        let now = self.now;
        let heartbeat = self.config.heartbeat;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if now < leader.heartbeat_due {
            return;
        }
        leader.heartbeat_due = now + heartbeat;
        leader.unanswered.get_or_insert(Question {
            sent: now,
            repeated: false,
        });
        for peer in leader.peers.values_mut() {
            peer.unanswered_since.get_or_insert(now);
        }
        self.send_heartbeats();
    }

    /// Sends every peer a message to answer; unless it asks about a snapshot, it also carries the
    /// committed index.
    fn send_heartbeats(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let peers: Vec<_> = leader.peers.keys().copied().collect();
        for peer in peers {
            if !self.send_question(peer) {
                self.send_append(peer, Vec::new());
            }
        }
    }

    /// Forgets the unanswered heartbeats that were answered since. If the next one is overdue by a
    /// whole interval, this leader was delayed itself: the heartbeats may have left it late, or their
    /// answers may not have been read. It then asks the quorum once more, and only once, and gives
    /// each silent peer a few heartbeats to answer.
    fn update_questions(&mut self) {
        let (now, heartbeat) = (self.now, self.config.heartbeat);
        let (acked, grace) = (self.quorum_acked(), self.answer_grace());
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let delayed = now >= leader.heartbeat_due + heartbeat;
        leader.unanswered = match leader.unanswered {
            Some(question) if acked >= Some(question.sent) => None,
            Some(question) if delayed && !question.repeated => Some(Question {
                sent: now,
                repeated: true,
            }),
            question => question,
        };
        let grace = delayed.then_some(grace);
        for peer in leader.peers.values_mut() {
            peer.update_silence(now, grace);
        }
    }

    /// Whether no quorum has answered for a whole lease since it was asked. The time in which a
    /// delayed leader asked nothing doesn't count: the others may still wait for it, and stepping
    /// down would cost a needless election. Its lease doesn't depend on this.
    fn has_lost_quorum(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        leader
            .unanswered
            .is_some_and(|question| self.now >= question.sent + self.config.lease)
    }

    /// Hands new entries to the disk and to the peers. While writes are pending, new entries
    /// accumulate, so that under load many share one write and one message.
    pub(super) fn replicate(&mut self) {
        if self.outbox.pending() < MAX_PENDING_WRITES {
            self.flush();
        }
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let peers: Vec<_> = leader.peers.keys().copied().collect();
        for peer in peers {
            while self.send_next(peer) {}
        }
    }

    /// Sends the next entries to a node if it lacks any and has room. Returns whether it may take
    /// more.
    fn send_next(&mut self, to: NodeId) -> bool {
        let (written, base) = (self.log.written(), self.log.base());
        let (pipeline, now) = (self.config.pipeline, self.now);
        let Some(peer) = self.peer(to) else {
            return false;
        };
        if peer.transfer.is_none() && peer.next <= base {
            let snapshot = self.log.snapshot().clone();
            let Some(peer) = self.peer(to) else {
                return false;
            };
            peer.begin_transfer(Transfer::new(snapshot, now));
        }
        let Some(peer) = self.peer(to) else {
            return false;
        };
        if peer.transfer.is_some() {
            self.send_chunks(to);
            return false;
        }
        if peer.next > written || !peer.has_room(pipeline) {
            return false;
        }
        let next = peer.next;
        let (count, bytes) = (self.config.batch_entries, self.config.batch_bytes);
        let entries = self.log.batch(next, written, count, bytes);
        let Some(last) = entries.last().map(|e| e.index) else {
            return false;
        };
        self.send_append(to, entries);
        if let Some(peer) = self.peer(to) {
            peer.sent(now, last);
        }
        true
    }

    /// Sends entries, or none as a heartbeat, to follow the last entry that the node should have by
    /// now.
    fn send_append(&mut self, to: NodeId, entries: Vec<Entry>) {
        let Some(next) = self.peer(to).map(|p| p.next) else {
            return;
        };
        let Some(prev) = self.log.position(next - 1) else {
            return;
        };
        let (term, committed, sent) = (self.term, self.committed, self.now);
        self.outbox.send(
            to,
            Message::Append {
                term,
                prev,
                entries,
                committed,
                sent,
            },
        );
    }

    /// Sends the next chunks of the snapshot to a node that needs one, as far as they may be sent.
    fn send_chunks(&mut self, to: NodeId) {
        let (term, pace, now) = (self.term, Pace::new(&self.config), self.now);
        let next = |node: &mut Self| {
            let transfer = node.peer(to)?.transfer.as_mut()?;
            transfer.next_chunk(term, pace, now)
        };
        while let Some(chunk) = next(self) {
            self.outbox.send(to, chunk);
        }
    }

    /// Asks a node that needs a snapshot how much of it is held. Returns whether it needs one.
    fn send_question(&mut self, to: NodeId) -> bool {
        let (term, now) = (self.term, self.now);
        let transfer = self.peer(to).and_then(|peer| peer.transfer.as_mut());
        let Some(question) = transfer.map(|t| t.question(term, now)) else {
            return false;
        };
        self.outbox.send(to, question);
        true
    }

    pub(super) fn peer(&mut self, id: NodeId) -> Option<&mut Progress> {
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        leader.peers.get_mut(&id)
    }

    /// Commits what a majority has on disk, if the last of these entries is of this leader's term.
    /// An older entry on a majority can still be overwritten by a leader that lacks it. Once an
    /// entry of this term is committed after it, such a leader can't be elected any more.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let own = self.log.durable();
        let matched = self.voters().iter().map(|v| match leader.peers.get(v) {
            Some(peer) => peer.matched,
            None => own,
        });
        let index = quorum(matched.collect());
        let term = self.log.position(index).map(|p| p.term);
        let counts = term == Some(self.term) || !self.config.protections.own_term;
        if index > self.committed && counts {
            self.committed = index;
            // Lets the others apply the entries now instead of at the next heartbeat.
            self.send_heartbeats();
        }
    }

    /// Whether to accept a leader's message. If so, this node follows that leader from now on.
    pub(super) fn accept_leader(&mut self, from: NodeId, term: Term, sent: Now) -> bool {
        if self.eligibility != Eligibility::Eligible {
            return false;
        }
        if term < self.term {
            let reply = self.reply(sent, AppendOutcome::Conflict(self.log.last().index + 1));
            self.outbox.send_synced(from, reply);
            return false;
        }
        self.step_down(term);
        self.leader = Some(from);
        self.last_leader = Some(from);
        self.leader_seen = Some(self.now);
        self.reset_election_deadline();
        true
    }

    /// Handles a leader's entries, or its heartbeat.
    pub(super) fn on_append(
        &mut self,
        from: NodeId,
        prev: Position,
        entries: Vec<Entry>,
        committed: Index,
        sent: Now,
    ) {
        let heartbeat = entries.is_empty();
        if !self.contains(prev) {
            let reply = self.reply(sent, AppendOutcome::Conflict(self.conflict_hint(prev)));
            self.outbox.send_synced(from, reply);
            return;
        }
        let last = prev.index + entries.len() as Index;
        self.merge_entries(entries);
        self.committed = self.committed.max(committed.min(last));
        if heartbeat && self.outbox.is_ballot_synced() {
            // The lease needs no entries on disk, so a slow disk doesn't cost the leader its
            // quorum.
            let reply = self.reply(sent, AppendOutcome::Matched(last.min(self.log.durable())));
            self.outbox.send(from, reply);
            return;
        }
        self.flush();
        let reply = self.reply(sent, AppendOutcome::Matched(last));
        self.outbox.send_synced(from, reply);
    }

    /// The answer, in this node's term, to what a leader sent at `sent`.
    fn reply(&self, sent: Now, outcome: AppendOutcome) -> Message {
        Message::AppendReply {
            term: self.term,
            sent,
            outcome,
        }
    }

    /// Whether this log contains a position. All that the snapshot covers was committed, so it
    /// contains that.
    fn contains(&self, prev: Position) -> bool {
        prev.index < self.log.base() || self.log.position(prev.index) == Some(prev)
    }

    /// Where the leader should try next: after the log's end, or at the start of the term that
    /// differs, so that a whole term is skipped in one round trip.
    fn conflict_hint(&self, prev: Position) -> Index {
        let last = self.log.last().index;
        if prev.index > last {
            return last + 1;
        }
        self.log.first_of_term(prev.index).max(self.committed + 1)
    }

    /// Adds entries, truncating the log where it differs from them.
    pub(super) fn merge_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let existing = self.log.position(entry.index).map(|p| p.term);
            if entry.index <= self.log.base() || existing == Some(entry.term) {
                continue;
            }
            if existing.is_some() {
                self.log.truncate(entry.index);
                self.outbox.truncated(entry.index);
            }
            self.log.push(entry);
        }
    }

    /// Records a node's answer to what was sent at `sent`, and returns the node's progress, if this
    /// node still leads the term of the answer. A later term makes this node step down.
    pub(super) fn record_answer(
        &mut self,
        from: NodeId,
        term: Term,
        sent: Now,
    ) -> Option<&mut Progress> {
        if term > self.term {
            self.step_down(term);
            return None;
        }
        if term < self.term {
            return None;
        }
        let peer = self.peer(from)?;
        peer.acked(sent);
        Some(peer)
    }

    /// Handles a node's answer to entries or a heartbeat.
    pub(super) fn on_append_reply(
        &mut self,
        from: NodeId,
        term: Term,
        sent: Now,
        outcome: AppendOutcome,
    ) {
        let now = self.now;
        let Some(peer) = self.record_answer(from, term, sent) else {
            return;
        };
        match outcome {
            AppendOutcome::Matched(index) => peer.matched(now, index),
            AppendOutcome::Conflict(hint) => peer.conflict(hint),
        }
    }

    /// Makes the state machine's snapshot the log's start.
    pub(super) fn compact(&mut self, index: Index, data: Payload) {
        if index <= self.log.base() || index > self.applied {
            return;
        }
        let Some(last) = self.log.position(index) else {
            return;
        };
        let voters = self.log.voters_at(index).to_vec();
        self.install_snapshot(Snapshot { last, voters, data });
    }

    /// Makes a snapshot the log's start, in memory and on disk.
    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let Position { term, index } = snapshot.last;
        let (voters, data) = (snapshot.voters.clone(), snapshot.data.clone());
        self.log.compact(snapshot);
        self.outbox.write(
            Record::Snapshot {
                index,
                term,
                voters,
                data,
            },
            index,
        );
        if self.outbox.is_instant() {
            self.log.synced(index);
        }
    }
}
