//! One node: its state, and the handling of each input by the modules beside this one.

use std::collections::BTreeSet;

use rand::RngExt;

use super::{
    config::Config,
    feed::Feed,
    interface::{Content, Entry, Index, Input, Output, Record, Resignation, Term},
    leader::{Leader, quorum},
    log::Log,
    message::Message,
    outbox::Outbox,
    restored::Restored,
    snapshot::{Chunk, IncomingSnapshot},
};
use crate::core::types::{NodeId, Now};

/// Whether a node may vote under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Eligibility {
    /// The disk was empty, and no node has told this one yet whether its id already is a voter's.
    Unknown,
    /// It may vote while the list of voters contains its id.
    Eligible,
    /// It has no disk, or lost the term and votes that it recorded under this id. It receives
    /// entries and never votes.
    Ineligible,
}

/// The role of a node in the current term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Role {
    /// Follows a leader or waits for one. Learners always have this role.
    Follower,
    /// Asks the other voters whether they would vote for it.
    PreCandidate { granted: BTreeSet<NodeId> },
    /// Asks the other voters to vote for it. Its own vote counts once `write` is on disk.
    Candidate {
        granted: BTreeSet<NodeId>,
        write: u64,
    },
    /// Leads the term.
    Leader(Leader),
}

/// A pause of the process: a time without steps at least as long as a leader's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Pause {
    /// When this node was last in contact with a leader before the pause.
    pub(super) leader_seen: Option<Now>,
    /// Until when messages from before the pause may still arrive.
    pub(super) until: Now,
}

/// A node of the cluster, voter or learner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    pub(super) config: Config,
    pub(super) now: Now,
    pub(super) eligibility: Eligibility,
    pub(super) term: Term,
    pub(super) vote: Option<NodeId>,
    pub(super) role: Role,
    /// The current leader, as far as this node knows.
    pub(super) leader: Option<NodeId>,
    /// The leader whose message arrived last, possibly long ago.
    pub(super) last_leader: Option<NodeId>,
    /// Whether this node is about to stop, so that it must not become leader.
    pub(super) retiring: bool,
    pub(super) log: Log,
    pub(super) committed: Index,
    pub(super) applied: Index,
    /// When a leader's message last arrived. A restart counts as one, because a promise to a leader
    /// from before it may still be in force.
    pub(super) leader_seen: Option<Now>,
    /// The last pause of this process, after which messages may arrive that were sent before it.
    pub(super) pause: Option<Pause>,
    /// When the next campaign is due.
    pub(super) election_deadline: Now,
    pub(super) outbox: Outbox,
    pub(super) feed: Feed,
    /// The snapshot that is being received.
    pub(super) incoming: Option<IncomingSnapshot>,
}

impl Node {
    /// Restores a node from what is on its disk. Its first outputs are returned by the first step.
    pub fn new(now: Now, mut config: Config, restored: Restored) -> Self {
        // A lease as long as a voter's promise would leave no margin for clocks that drift apart.
        config.lease = config.lease.min(config.election_min * 9 / 10);
        let outbox = Outbox::new(now, config.disk, config.protections.sync);
        let is_empty = restored.is_empty();
        let is_uninitialized = restored.is_uninitialized();
        let snapshot = restored.snapshot.unwrap_or_default();
        let base = snapshot.last.index;
        let mut node = Self {
            now,
            eligibility: eligibility(&config, restored.voting),
            term: restored.term,
            vote: restored.vote,
            role: Role::Follower,
            leader: None,
            last_leader: None,
            retiring: false,
            log: Log::new(snapshot, restored.entries),
            committed: base,
            applied: base,
            leader_seen: (!is_empty).then_some(now),
            pause: None,
            election_deadline: now,
            outbox,
            feed: Feed::new(now),
            incoming: None,
            config,
        };
        node.restore();
        if is_uninitialized {
            node.bootstrap();
        }
        node.reset_election_deadline();
        node
    }

    /// Handles one input and returns what to do, in order. Times must not decrease from one call to
    /// the next.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.detect_pause(now);
        self.now = self.now.max(now);
        self.outbox.now = self.now;
        let ticked = matches!(input, Input::Tick);
        match input {
            Input::Tick => self.tick(),
            Input::Receive { from, message } => self.receive(from, message),
            Input::Propose { proposal, payload } => {
                self.propose(proposal, Content::Command(payload));
            }
            Input::Reconfigure { proposal, voters } => self.reconfigure(proposal, voters),
            Input::HandOver { to } => self.hand_over(to),
            Input::Retire => self.retiring = true,
            Input::Nodes(locations) => self.config.locations = locations,
            Input::Synced { write } => self.synced(write),
            Input::Compact { index, snapshot } => self.compact(index, snapshot),
        }
        self.advance(ticked);
        self.outbox.drain()
    }

    /// Detects a pause of the process. After one, its sockets hold old messages, which say nothing
    /// about the present.
    fn detect_pause(&mut self, now: Now) {
        if now < self.now + self.config.lease {
            return;
        }
        let leader_seen = self.last_contact().filter(|_| !self.is_leader());
        let until = now + self.config.feed_timeout;
        self.pause = Some(Pause { leader_seen, until });
    }

    /// Starts a new cluster. The first entry is the same on all its voters, so that a node that is
    /// fed from the log's start learns the voters from it.
    fn bootstrap(&mut self) {
        let Some(voters) = self.config.bootstrap.clone() else {
            return;
        };
        if !self.config.disk {
            return;
        }
        self.set_eligibility(Eligibility::Eligible);
        let content = Content::Voters(voters);
        self.log.push(Entry {
            term: 0,
            index: 1,
            content,
        });
        self.flush();
    }

    pub(super) fn set_eligibility(&mut self, eligibility: Eligibility) {
        self.eligibility = eligibility;
        let voting = eligibility == Eligibility::Eligible;
        self.outbox
            .write(Record::Eligibility { voting }, self.log.written());
    }

    /// Hands the snapshot that the log starts with to the state machine.
    pub(super) fn restore(&mut self) {
        let snapshot = self.log.snapshot();
        if snapshot.last.index == 0 {
            return;
        }
        let index = snapshot.last.index;
        let snapshot = snapshot.data.clone();
        self.outbox.push(Output::Restore { index, snapshot });
    }

    fn tick(&mut self) {
        match self.role {
            Role::Leader(_) => self.tick_leader(),
            _ if self.may_campaign() && self.now >= self.election_deadline => self.campaign(),
            _ => {}
        }
        self.tick_feed();
    }

    fn may_campaign(&self) -> bool {
        self.is_voter() && !self.is_disk_stalled() && !self.retiring
    }

    /// Whether a write has waited for the disk for the longest election timeout or more. Such a
    /// node would hold up every change if it led.
    pub(super) fn is_disk_stalled(&self) -> bool {
        let oldest_write = self.outbox.oldest_write();
        oldest_write.is_some_and(|since| self.now >= since + self.config.election_max)
    }

    fn receive(&mut self, from: NodeId, message: Message) {
        match message {
            Message::PreVote { term, last } => self.on_pre_vote(from, term, last),
            Message::PreVoteReply {
                term,
                current,
                granted,
            } => {
                self.on_pre_vote_reply(from, term, current, granted);
            }
            Message::Vote {
                term,
                last,
                handover,
            } => self.on_vote(from, term, last, handover),
            Message::VoteReply { term, granted } => self.on_vote_reply(from, term, granted),
            Message::Append {
                term,
                prev,
                entries,
                committed,
                sent,
            } => {
                if self.accept_leader(from, term, sent) {
                    self.on_append(from, prev, entries, committed, sent);
                }
            }
            Message::AppendReply {
                term,
                sent,
                outcome,
            } => {
                self.on_append_reply(from, term, sent, outcome);
            }
            Message::HandOver { term } => self.on_hand_over(from, term),
            Message::Subscribe { last, sent } => self.on_subscribe(from, last, sent),
            Message::Feed { .. } => self.on_feed(from, message),
            Message::Chunk {
                term,
                last,
                voters,
                offset,
                total,
                part,
                sent,
            } => {
                self.on_chunk(
                    from,
                    Chunk {
                        term,
                        last,
                        voters,
                        offset,
                        total,
                        part,
                        sent,
                    },
                );
            }
            Message::ChunkReply { .. } => self.on_chunk_reply(from, &message),
        }
    }

    fn synced(&mut self, write: u64) {
        let index = self.outbox.synced(write);
        self.log.synced(index);
        self.count_own_vote();
    }

    /// Does whatever an input may have made possible: replicate, commit, apply and feed.
    fn advance(&mut self, ticked: bool) {
        if self.is_leader() {
            self.replicate();
            self.advance_commit();
            self.advance_changes(ticked);
        } else {
            self.flush();
        }
        self.apply(ticked);
        self.push_feeds();
    }

    /// Hands new entries to the disk.
    pub(super) fn flush(&mut self) {
        if self.log.is_written() {
            return;
        }
        let entries = self.log.take_unwritten();
        self.outbox
            .write(Record::Append(entries), self.log.written());
        if self.outbox.is_instant() {
            self.log.synced(self.log.written());
        }
    }

    /// Hands committed entries to the state machine. If there are more than one batch, each tick
    /// hands over a batch and other inputs none, so that no step takes long. A leader that spent a
    /// whole lease in one step would lose its quorum.
    fn apply(&mut self, ticked: bool) {
        let batch = self.config.apply_batch;
        if !ticked && self.committed - self.applied > batch {
            return;
        }
        let end = self.committed.min(self.applied.saturating_add(batch));
        while self.applied < end {
            let Some(entry) = self.log.get(self.applied + 1) else {
                return;
            };
            self.outbox.push(Output::Apply(entry.clone()));
            self.applied += 1;
        }
    }

    /// Draws the time of the next campaign. From a range of one value nothing is drawn.
    pub(super) fn reset_election_deadline(&mut self) {
        let (min, max) = (self.config.election_min, self.config.election_max);
        let wait = if min < max {
            self.config.rng.random_range(min..max)
        } else {
            min
        };
        self.election_deadline = self.now + wait;
    }

    /// Enters a term with a vote, which replaces the vote of the term before, and returns the
    /// number of the write that records both.
    pub(super) fn set_term(&mut self, term: Term, vote: Option<NodeId>) -> u64 {
        self.term = term;
        self.vote = vote;
        if !self.config.protections.ballot {
            return 0;
        }
        self.outbox
            .write(Record::Ballot { term, vote }, self.log.written())
    }

    /// Becomes a follower in a term, whoever leads it.
    pub(super) fn step_down(&mut self, term: Term) {
        if term > self.term {
            self.set_term(term, None);
        }
        self.resign(Resignation::Superseded);
        self.role = Role::Follower;
        self.leader = None;
    }

    /// Steps down, if this node leads, and becomes a follower in the current term: the one it led,
    /// or one that it has just entered.
    pub(super) fn resign(&mut self, why: Resignation) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let term = leader.term;
        let waiting = leader.joining.as_ref().map(|j| j.proposal);
        self.leader = None;
        self.reset_election_deadline();
        waiting
            .into_iter()
            .for_each(|proposal| self.reject(proposal));
        self.role = Role::Follower;
        self.outbox.push(Output::Resigned { term, why });
    }

    /// The other voters.
    pub(super) fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.voters().iter().copied();
        voters.filter(|&v| v != self.config.id).collect()
    }

    pub(super) fn is_majority(&self, granted: &BTreeSet<NodeId>) -> bool {
        let voters = self.voters();
        let count = voters.iter().filter(|v| granted.contains(v)).count();
        count > voters.len() / 2
    }

    /// The latest time at which the leader had sent a quorum what it has since answered.
    pub(super) fn quorum_acked(&self) -> Option<Now> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let acked = self.voters().iter().map(|v| match leader.peers.get(v) {
            Some(peer) => peer.last_acked,
            None => Some(self.now),
        });
        quorum(acked.collect())
    }
}

fn eligibility(config: &Config, voting: Option<bool>) -> Eligibility {
    match voting {
        _ if !config.disk => Eligibility::Ineligible,
        Some(true) => Eligibility::Eligible,
        Some(false) => Eligibility::Ineligible,
        None if config.protections.eligibility => Eligibility::Unknown,
        None => Eligibility::Eligible,
    }
}
