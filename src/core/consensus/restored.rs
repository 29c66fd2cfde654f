//! The state that a node restores from its disk.

use super::{
    interface::{Entry, Payload, Record, Term},
    message::Position,
};
use crate::core::types::NodeId;

/// A snapshot of the state machine, with which the log starts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// The last entry that it includes.
    pub last: Position,
    /// The voters as of that entry.
    pub voters: Vec<NodeId>,
    /// The state machine's snapshot.
    pub data: Payload,
}

/// The combined effect of the records on a disk, in the order in which they were written.
///
/// ```
/// use egretpin::core::consensus::{Record, Restored};
///
/// let records = [Record::Eligibility { voting: true }, Record::Ballot { term: 3, vote: Some(1) }];
/// let restored = Restored::replay(records);
/// assert_eq!(restored.term, 3);
/// assert!(!restored.is_empty());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Restored {
    /// Whether this disk may vote; `None` on an empty one.
    pub voting: Option<bool>,
    /// The current term.
    pub term: Term,
    /// The node that this node voted for in it.
    pub vote: Option<NodeId>,
    /// The last snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

impl Restored {
    /// Replays records.
    pub fn replay(records: impl IntoIterator<Item = Record>) -> Self {
        let mut restored = Self::default();
        for record in records {
            restored.push(record);
        }
        restored
    }

    /// Replays one more record.
    pub fn push(&mut self, record: Record) {
        match record {
            Record::Eligibility { voting } => self.voting = Some(voting),
            Record::Ballot { term, vote } => {
                self.term = term;
                self.vote = vote;
            }
            Record::Append(entries) => self.append(entries),
            Record::Snapshot {
                index,
                term,
                voters,
                data,
            } => {
                let last = Position { term, index };
                self.install_snapshot(Snapshot { last, voters, data });
            }
        }
    }

    /// The fewest records that replay to the same state, for a disk that drops old ones.
    ///
    /// ```
    /// use egretpin::core::consensus::{Record, Restored};
    ///
    /// let ballots = (1..=9).map(|term| Record::Ballot { term, vote: None });
    /// let restored = Restored::replay(ballots);
    /// let records = restored.records();
    /// assert_eq!(records.len(), 1);
    /// assert_eq!(Restored::replay(records), restored);
    /// ```
    pub fn records(&self) -> Vec<Record> {
        let eligibility = self.voting.map(|voting| Record::Eligibility { voting });
        let (term, vote) = (self.term, self.vote);
        let ballot = (term > 0).then_some(Record::Ballot { term, vote });
        let snapshot = self.snapshot.clone().map(|snapshot| Record::Snapshot {
            index: snapshot.last.index,
            term: snapshot.last.term,
            voters: snapshot.voters,
            data: snapshot.data,
        });
        let entries = self.entries.clone();
        let entries = (!entries.is_empty()).then_some(Record::Append(entries));
        let records = [eligibility, ballot, snapshot, entries];
        records.into_iter().flatten().collect()
    }

    /// Whether no record was ever written.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Whether this disk never held a log or a vote, so that a new cluster may be bootstrapped on
    /// it. This includes a disk whose first start crashed between its first two records.
    pub(super) fn is_uninitialized(&self) -> bool {
        let empty = self.entries.is_empty() && self.snapshot.is_none() && self.term == 0;
        empty && self.voting != Some(false)
    }

    fn append(&mut self, entries: Vec<Entry>) {
        if let Some(first) = entries.first() {
            self.entries.retain(|e| e.index < first.index);
        }
        self.entries.extend(entries);
    }

    /// Installs a snapshot. Keeps the entries after it if they follow from it. A log that differs
    /// at the snapshot's end was never committed there and is dropped whole.
    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let follows = self.entries.iter().any(|e| {
            let here = Position {
                term: e.term,
                index: e.index,
            };
            here == snapshot.last
        });
        if follows {
            self.entries.retain(|e| e.index > snapshot.last.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = Some(snapshot);
    }
}
