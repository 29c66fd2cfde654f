//! The messages between nodes.

use serde::{Deserialize, Serialize};

use super::interface::{Entry, Index, Payload, Term};
use crate::core::types::{NodeId, Now};

/// An index in the log together with the term of the entry there.
///
/// Ordered by term first, as elections compare logs. `0, 0` is the position before the first entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct Position {
    /// The term of the entry.
    pub term: Term,
    /// Its index.
    pub index: Index,
}

/// The outcome of a [`Message::Append`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum AppendOutcome {
    /// Everything up to this index equals the leader's log and is on disk.
    Matched(Index),
    /// The logs differ before the entries; the leader should try again from this index.
    Conflict(Index),
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender. Changes nothing at the receiver.
    PreVote {
        /// The term in which the sender would campaign.
        term: Term,
        /// The end of the sender's log.
        last: Position,
    },
    /// The answer to a [`Message::PreVote`].
    PreVoteReply {
        /// The term that was asked about.
        term: Term,
        /// The receiver's own term.
        current: Term,
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// Asks the receiver for its vote.
    Vote {
        /// The sender's term.
        term: Term,
        /// The end of the sender's log.
        last: Position,
        /// Whether the leader itself asked for this election, so that its lease doesn't prevent the
        /// vote.
        handover: bool,
    },
    /// The answer to a [`Message::Vote`].
    VoteReply {
        /// The receiver's term.
        term: Term,
        /// Whether the receiver voted for the sender.
        granted: bool,
    },
    /// Entries of the leader, or its heartbeat when there are none.
    Append {
        /// The leader's term.
        term: Term,
        /// The position before the entries in the leader's log.
        prev: Position,
        /// Entries in index order, without gaps.
        entries: Vec<Entry>,
        /// The leader's committed index.
        committed: Index,
        /// The leader's clock; returned in the answer.
        sent: Now,
    },
    /// The answer to an [`Message::Append`].
    AppendReply {
        /// The receiver's term.
        term: Term,
        /// The leader's clock in the message that is answered.
        sent: Now,
        /// The outcome.
        #[serde(rename = "verdict")]
        outcome: AppendOutcome,
    },
    /// The leader asks the receiver to campaign at once.
    HandOver {
        /// The leader's term.
        term: Term,
    },
    /// A learner asks to be fed; repeated a few times in each feed timeout.
    Subscribe {
        /// The last index it has.
        last: Index,
        /// The sender's clock; returned in the feed.
        sent: Now,
    },
    /// Committed entries for a learner.
    Feed {
        /// The learner's clock in its last subscription.
        sent: Now,
        /// How long ago the sender itself was last in touch with a leader.
        lag: Now,
        /// The index before the first entry.
        prev: Index,
        /// Committed entries in index order, without gaps.
        entries: Vec<Entry>,
        /// The sender's committed index.
        committed: Index,
        /// The leader, as far as the sender knows.
        leader: Option<NodeId>,
        /// The voters, as far as the sender knows.
        voters: Vec<NodeId>,
    },
    /// A chunk of a snapshot, from the leader or from the node that feeds a learner. Without bytes
    /// it asks how much is held.
    Chunk {
        /// The leader's term; 0 in a feed, whose receiver takes no part in terms.
        term: Term,
        /// The last entry that the snapshot includes.
        last: Position,
        /// The voters as of that entry.
        voters: Vec<NodeId>,
        /// The number of bytes of the snapshot before this chunk.
        offset: u64,
        /// The number of bytes of the whole snapshot.
        total: u64,
        /// The bytes of this chunk.
        part: Payload,
        /// The sender's clock, or that of the last subscription.
        sent: Now,
    },
    /// The answer to a [`Message::Chunk`].
    ChunkReply {
        /// The receiver's term; 0 in a feed.
        term: Term,
        /// The last index that the snapshot includes.
        index: Index,
        /// How many bytes the receiver holds without gaps from the start; the total only once the
        /// snapshot is on disk.
        held: u64,
        /// The clock of the message that is answered.
        sent: Now,
    },
}
