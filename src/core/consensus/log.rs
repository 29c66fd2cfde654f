//! The log in memory: a snapshot, the entries after it, and how far they are on disk.

use super::{
    interface::{Content, Entry, Index, Term},
    message::Position,
    restored::Snapshot,
};
use crate::core::types::NodeId;

/// A snapshot and the entries after it, without gaps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// The indexes of the entries that change the voters.
    voter_changes: Vec<Index>,
    /// The last index handed to the disk.
    written: Index,
    /// The last index known to be on disk.
    durable: Index,
}

impl Log {
    pub(super) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let (kept, voter_changes) = (Vec::new(), Vec::new());
        let mut log = Self {
            snapshot,
            entries: kept,
            voter_changes,
            written: 0,
            durable: 0,
        };
        entries.into_iter().for_each(|e| log.push(e));
        log.written = log.last().index;
        log.durable = log.written;
        log
    }

    pub(super) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The last index that the snapshot covers; the entries after it are kept one by one.
    pub(super) fn base(&self) -> Index {
        self.snapshot.last.index
    }

    pub(super) fn last(&self) -> Position {
        match self.entries.last() {
            Some(e) => Position {
                term: e.term,
                index: e.index,
            },
            None => self.snapshot.last,
        }
    }

    pub(super) fn durable(&self) -> Index {
        self.durable
    }

    /// The position at an index, if the log reaches that far and hasn't dropped it.
    pub(super) fn position(&self, index: Index) -> Option<Position> {
        if index == self.base() {
            return Some(self.snapshot.last);
        }
        let term = self.get(index)?.term;
        Some(Position { term, index })
    }

    pub(super) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base() + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries of the indexes `from` to `to`, up to the limits; at least one if there is one.
    pub(super) fn batch(&self, from: Index, to: Index, entries: usize, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut batch = Vec::new();
        let mut index = from;
        while index <= to && batch.len() < entries.max(1) {
            let Some(entry) = self.get(index) else { break };
            size += approximate_size(entry);
            if size > bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            index += 1;
        }
        batch
    }

    /// Adds one entry at the end.
    pub(super) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        if matches!(entry.content, Content::Voters(_)) {
            self.voter_changes.push(entry.index);
        }
        self.entries.push(entry);
    }

    /// Drops the entry at an index and all entries after it.
    pub(super) fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base() + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        let last = self.last().index;
        self.voter_changes.retain(|&c| c <= last);
        self.written = self.written.min(last);
        self.durable = self.durable.min(last);
    }

    /// Returns the entries not yet handed to the disk, and marks them as handed over.
    pub(super) fn take_unwritten(&mut self) -> Vec<Entry> {
        let from = usize::try_from(self.written - self.base()).unwrap_or(usize::MAX);
        self.written = self.last().index;
        self.entries[from..].to_vec()
    }

    pub(super) fn is_written(&self) -> bool {
        self.written == self.last().index
    }

    pub(super) fn written(&self) -> Index {
        self.written
    }

    /// Records that the disk holds all entries up to an index, as far as they are still in the log.
    pub(super) fn synced(&mut self, index: Index) {
        self.durable = self.durable.max(index.min(self.written));
    }

    /// The voters as of the log's end: a change takes effect when it is appended.
    pub(super) fn voters(&self) -> &[NodeId] {
        self.voters_at(Index::MAX)
    }

    /// The voters as of an index.
    pub(super) fn voters_at(&self, index: Index) -> &[NodeId] {
        let change = self.voter_changes.iter().rev().find(|&&c| c <= index);
        match change.and_then(|&c| self.get(c)) {
            Some(Entry {
                content: Content::Voters(voters),
                ..
            }) => voters,
            _ => &self.snapshot.voters,
        }
    }

    /// The index of the last change of voters still in the log, or 0.
    pub(super) fn last_voter_change(&self) -> Index {
        self.voter_changes.last().copied().unwrap_or_default()
    }

    /// The first index, as far as the log reaches back, of the term of the entry at an index.
    pub(super) fn first_of_term(&self, index: Index) -> Index {
        let Some(here) = self.position(index) else {
            return index;
        };
        let mut first = index;
        while first > self.base() + 1 && self.term(first - 1) == Some(here.term) {
            first -= 1;
        }
        first
    }

    fn term(&self, index: Index) -> Option<Term> {
        self.position(index).map(|p| p.term)
    }

    /// Makes a snapshot the log's start. Entries after it stay if this log contains its last entry.
    pub(super) fn compact(&mut self, snapshot: Snapshot) {
        let last = snapshot.last;
        if self.position(last.index) == Some(last) {
            self.entries.retain(|e| e.index > last.index);
        } else {
            self.entries.clear();
            self.voter_changes.clear();
            self.written = last.index;
            self.durable = self.durable.min(last.index);
        }
        self.voter_changes.retain(|&c| c > last.index);
        self.snapshot = snapshot;
        self.written = self.written.max(last.index);
    }
}

/// The approximate size of an entry in a message, in bytes.
fn approximate_size(entry: &Entry) -> usize {
    const ENTRY_OVERHEAD_BYTES: usize = 24;
    match &entry.content {
        Content::Noop => ENTRY_OVERHEAD_BYTES,
        Content::Command(payload) => ENTRY_OVERHEAD_BYTES + payload.len(),
        Content::Voters(voters) => ENTRY_OVERHEAD_BYTES + voters.len() * size_of::<NodeId>(),
    }
}
