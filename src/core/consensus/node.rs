//! One node: its state, its inputs, and what others may ask it.

use std::collections::BTreeSet;

use rand::RngExt;

use super::{
    config::Config,
    feed::Feed,
    leader::{Leader, quorum},
    log::Log,
    message::Message,
    outbox::Outbox,
    restored::Restored,
    seam::{Content, Entry, Index, Input, Output, Record, Resignation, Term},
    snapshot::{Incoming, Part},
};
use crate::core::types::{NodeId, Now};

/// Whether a node may vote under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// The disk was empty and no node has said yet whether the id is a voter already.
    Unknown,
    /// It may vote when the voters' list names it.
    Member,
    /// It has no disk, or lost what it promised under this id. It follows and never votes.
    Barred,
}

/// What a node does now.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate { granted: BTreeSet<NodeId> },
    /// Asks to be elected. Its own vote counts once `write` is on disk.
    Candidate {
        granted: BTreeSet<NodeId>,
        write: u64,
    },
    /// Leads.
    Leader(Leader),
}

/// A time without steps, longer than a leader's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Frozen {
    /// When a leader was heard before it.
    pub(super) heard: Option<Now>,
    /// Until when messages from before it may still come in.
    pub(super) until: Now,
}

/// One voter or follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    pub(super) config: Config,
    pub(super) now: Now,
    pub(super) standing: Standing,
    pub(super) term: Term,
    pub(super) vote: Option<NodeId>,
    pub(super) role: Role,
    pub(super) leader: Option<NodeId>,
    /// The leader that was last heard, which may be long ago.
    pub(super) former: Option<NodeId>,
    /// Whether this node is about to end, so that it must not begin to lead.
    pub(super) retiring: bool,
    pub(super) log: Log,
    pub(super) committed: Index,
    pub(super) applied: Index,
    /// When a leader was last heard. A restart counts, for a promise may stand from before it.
    pub(super) heard: Option<Now>,
    /// When a leader was last heard before this process was frozen, and until when what is heard
    /// may have been waiting since then.
    pub(super) frozen: Option<Frozen>,
    /// When the next campaign is due.
    pub(super) deadline: Now,
    pub(super) outbox: Outbox,
    pub(super) feed: Feed,
    /// The snapshot that is being received.
    pub(super) incoming: Option<Incoming>,
}

impl Node {
    /// A node as its disk left it. What it has to say at once comes with the first step.
    pub fn new(now: Now, mut config: Config, restored: Restored) -> Self {
        // A lease as long as a voter's promise would leave nothing for clocks that drift apart.
        config.lease = config.lease.min(config.election_min * 9 / 10);
        let outbox = Outbox::new(now, config.disk, config.protections.sync);
        let blank = restored.is_empty();
        let unborn = restored.is_unborn();
        let snapshot = restored.snapshot.unwrap_or_default();
        let base = snapshot.last.index;
        let mut node = Self {
            now,
            standing: standing(&config, restored.voting),
            term: restored.term,
            vote: restored.vote,
            role: Role::Follower,
            leader: None,
            former: None,
            retiring: false,
            log: Log::new(snapshot, restored.entries),
            committed: base,
            applied: base,
            heard: (!blank).then_some(now),
            frozen: None,
            deadline: now,
            outbox,
            feed: Feed::new(now),
            incoming: None,
            config,
        };
        node.restore();
        if unborn {
            node.bootstrap();
        }
        node.postpone();
        node
    }

    /// Takes one input at a time that never goes back, and tells what to do, in order.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.notice_freeze(now);
        self.now = self.now.max(now);
        self.outbox.now = self.now;
        match input {
            Input::Tick => self.tick(),
            Input::Receive { from, message } => self.receive(from, message),
            Input::Propose { proposal, payload } => {
                self.propose(proposal, Content::Command(payload));
            }
            Input::Reconfigure { proposal, voters } => self.reconfigure(proposal, voters),
            Input::HandOver { to } => self.hand_over(to),
            Input::Retire => self.retiring = true,
            Input::Nodes(places) => self.config.places = places,
            Input::Synced { write } => self.synced(write),
            Input::Compact { index, image } => self.compact(index, image),
        }
        self.settle();
        self.outbox.drain()
    }

    /// A process that wakes finds old messages in its sockets, which say nothing about now.
    fn notice_freeze(&mut self, now: Now) {
        if now < self.now + self.config.lease {
            return;
        }
        let heard = self.contact().filter(|_| !self.is_leader());
        let until = now + self.config.feed_timeout;
        self.frozen = Some(Frozen { heard, until });
    }

    /// Begins a new cluster. The first entry is the same on all its voters, so that whoever is
    /// fed from the log's start learns the voters from it.
    fn bootstrap(&mut self) {
        let Some(voters) = self.config.bootstrap.clone() else {
            return;
        };
        if !self.config.disk {
            return;
        }
        self.set_standing(Standing::Member);
        let content = Content::Voters(voters);
        self.log.push(Entry {
            term: 0,
            index: 1,
            content,
        });
        self.flush();
    }

    pub(super) fn set_standing(&mut self, standing: Standing) {
        self.standing = standing;
        let voting = standing == Standing::Member;
        self.outbox
            .write(Record::Standing { voting }, self.log.written());
    }

    /// Hands the snapshot that the log starts with to the state machine.
    pub(super) fn restore(&mut self) {
        let snapshot = self.log.snapshot();
        if snapshot.last.index == 0 {
            return;
        }
        let index = snapshot.last.index;
        let image = snapshot.image.clone();
        self.outbox.push(Output::Restore { index, image });
    }

    fn tick(&mut self) {
        match self.role {
            Role::Leader(_) => self.tick_leader(),
            _ if self.may_campaign() && self.now >= self.deadline => self.campaign(),
            _ => {}
        }
        self.tick_feed();
    }

    fn may_campaign(&self) -> bool {
        self.is_voter() && !self.is_stalled() && !self.retiring
    }

    /// Whether the disk has not answered for longer than an election takes. Such a node would hold
    /// up every change if it led.
    pub(super) fn is_stalled(&self) -> bool {
        let oldest = self.outbox.oldest();
        oldest.is_some_and(|since| self.now >= since + self.config.election_max)
    }

    fn receive(&mut self, from: NodeId, message: Message) {
        match message {
            Message::PreVote { term, last } => self.pre_vote(from, term, last),
            Message::PreVoteReply {
                term,
                current,
                granted,
            } => {
                self.pre_vote_reply(from, term, current, granted);
            }
            Message::Vote {
                term,
                last,
                handover,
            } => self.vote(from, term, last, handover),
            Message::VoteReply { term, granted } => self.vote_reply(from, term, granted),
            Message::Append {
                term,
                prev,
                entries,
                committed,
                sent,
            } => {
                if self.accept_leader(from, term, sent) {
                    self.append(from, prev, entries, committed, sent);
                }
            }
            Message::AppendReply {
                term,
                sent,
                verdict,
            } => {
                self.append_reply(from, term, sent, verdict);
            }
            Message::HandOver { term } => self.take_over(from, term),
            Message::Subscribe { last, sent } => self.subscribe(from, last, sent),
            Message::Feed { .. } => self.fed(from, message),
            Message::Chunk {
                term,
                last,
                voters,
                offset,
                total,
                part,
                sent,
            } => {
                self.chunk(
                    from,
                    Part {
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
            Message::ChunkReply { .. } => self.chunk_reply(from, &message),
        }
    }

    fn synced(&mut self, write: u64) {
        let index = self.outbox.synced(write);
        self.log.synced(index);
        self.count_own_vote();
    }

    /// What every input may have made possible.
    fn settle(&mut self) {
        if self.is_leader() {
            self.replicate();
            self.commit();
            self.tend();
        } else {
            self.flush();
        }
        self.apply();
        self.push_feeds();
    }

    /// Hands new entries to the disk.
    pub(super) fn flush(&mut self) {
        if self.log.is_written() {
            return;
        }
        let entries = self.log.unwritten();
        self.outbox
            .write(Record::Append(entries), self.log.written());
        if self.outbox.is_instant() {
            self.log.synced(self.log.written());
        }
    }

    fn apply(&mut self) {
        while self.applied < self.committed {
            let Some(entry) = self.log.get(self.applied + 1) else {
                return;
            };
            self.outbox.push(Output::Apply(entry.clone()));
            self.applied += 1;
        }
    }

    /// Draws when the next campaign is due. A range of one value draws nothing.
    pub(super) fn postpone(&mut self) {
        let (min, max) = (self.config.election_min, self.config.election_max);
        let wait = if min < max {
            self.config.rng.random_range(min..max)
        } else {
            min
        };
        self.deadline = self.now + wait;
    }

    /// Takes a term, forgetting the vote of the one before.
    pub(super) fn set_term(&mut self, term: Term, vote: Option<NodeId>) -> u64 {
        self.term = term;
        self.vote = vote;
        if !self.config.protections.ballot {
            return 0;
        }
        self.outbox
            .write(Record::Ballot { term, vote }, self.log.written())
    }

    /// Follows in a term, whoever leads it.
    pub(super) fn step_down(&mut self, term: Term) {
        if term > self.term {
            self.set_term(term, None);
        }
        self.resign(Resignation::Superseded);
        self.role = Role::Follower;
        self.leader = None;
    }

    /// Leads no more, if it did, and follows in the same term or in one that it has just taken.
    pub(super) fn resign(&mut self, why: Resignation) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let term = leader.term;
        let waiting = leader.joining.as_ref().map(|j| j.proposal);
        self.leader = None;
        self.postpone();
        waiting
            .into_iter()
            .for_each(|proposal| self.reject(proposal));
        self.role = Role::Follower;
        self.outbox.push(Output::Resigned { term, why });
    }

    /// The other voters.
    pub(super) fn others(&self) -> Vec<NodeId> {
        let voters = self.voters().iter().copied();
        voters.filter(|&v| v != self.config.id).collect()
    }

    pub(super) fn is_majority(&self, granted: &BTreeSet<NodeId>) -> bool {
        let voters = self.voters();
        let count = voters.iter().filter(|v| granted.contains(v)).count();
        count > voters.len() / 2
    }

    /// When the leader sent what a quorum has answered.
    pub(super) fn quorum_heard(&self) -> Option<Now> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let heard = self.voters().iter().map(|v| match leader.peers.get(v) {
            Some(peer) => peer.heard,
            None => Some(self.now),
        });
        quorum(heard.collect())
    }
}

fn standing(config: &Config, voting: Option<bool>) -> Standing {
    match voting {
        _ if !config.disk => Standing::Barred,
        Some(true) => Standing::Member,
        Some(false) => Standing::Barred,
        None if config.protections.standing => Standing::Unknown,
        None => Standing::Member,
    }
}
