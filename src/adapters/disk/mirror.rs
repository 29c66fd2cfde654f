//! What the folder holds, in memory: enough to check that records follow on, and to carry the
//! tail of the log over into the next checkpoint. Payloads are shared, not copied.

use serde::{Deserialize, Serialize};

use crate::core::consensus::interface::{Entry, Index, Record, Term};

use super::{Ballot, DiskError, Snapshot};

/// The content of a checkpoint file: the whole state as a few records.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub(super) struct Checkpoint {
    pub(super) records: Vec<Record>,
}

impl Checkpoint {
    /// The snapshot, if there is one.
    pub(super) fn snapshot(&self) -> Option<Snapshot> {
        self.records.iter().find_map(|r| match r {
            Record::Snapshot {
                index,
                term,
                voters,
                data,
            } => Some(Snapshot {
                index: *index,
                term: *term,
                voters: voters.clone(),
                image: data.clone(),
            }),
            _ => None,
        })
    }
}

/// The state after all records so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Mirror {
    standing: Option<bool>,
    ballot: Ballot,
    /// Last index and term of the snapshot; zeros without one.
    base: (Index, Term),
    entries: Vec<Entry>,
}

impl Mirror {
    /// The state that a checkpoint holds.
    pub(super) fn new(checkpoint: &Checkpoint) -> Result<Self, DiskError> {
        let mut mirror = Self::default();
        mirror.check(&checkpoint.records)?;
        mirror.apply(&checkpoint.records);
        Ok(mirror)
    }

    pub(super) const fn standing(&self) -> Option<bool> {
        self.standing
    }

    pub(super) const fn ballot(&self) -> Ballot {
        self.ballot
    }

    pub(super) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Whether the records follow on, without applying them.
    ///
    /// # Errors
    ///
    /// [`DiskError::Gap`] if an entry would leave a gap, or a snapshot is older than the last.
    pub(super) fn check(&self, records: &[Record]) -> Result<(), DiskError> {
        let mut base = self.base.0;
        let mut last = self.last();
        for record in records {
            match record {
                Record::Eligibility { .. } | Record::Ballot { .. } => {}
                Record::Append(entries) => last = follow(base, last, entries)?,
                Record::Snapshot { index, .. } if *index < base => {
                    return Err(gap(base, *index));
                }
                Record::Snapshot { index, .. } => {
                    base = *index;
                    last = last.max(base);
                }
            }
        }
        Ok(())
    }

    /// Applies records that were checked.
    pub(super) fn apply(&mut self, records: &[Record]) {
        for record in records {
            match record {
                Record::Eligibility { voting } => self.standing = Some(*voting),
                Record::Ballot { term, vote } => {
                    self.ballot = Ballot {
                        term: *term,
                        vote: *vote,
                    };
                }
                Record::Append(entries) => self.append(entries),
                Record::Snapshot { index, term, .. } => self.rebase(*index, *term),
            }
        }
    }

    /// The whole state as a checkpoint, with `snapshot` as its snapshot.
    pub(super) fn checkpoint(&self, snapshot: &Record) -> Checkpoint {
        let standing = self.standing.map(|voting| Record::Eligibility { voting });
        let ballot = Record::Ballot {
            term: self.ballot.term,
            vote: self.ballot.vote,
        };
        let entries = Record::Append(self.entries.clone());
        let records = standing
            .into_iter()
            .chain([ballot, snapshot.clone(), entries]);
        Checkpoint {
            records: records.collect(),
        }
    }

    fn last(&self) -> Index {
        self.entries.last().map_or(self.base.0, |e| e.index)
    }

    /// Entries that the snapshot includes are skipped: they are committed, so they are the same.
    fn append(&mut self, entries: &[Entry]) {
        let base = self.base.0;
        let skipped = entries.partition_point(|e| e.index <= base);
        let Some(first) = entries.get(skipped) else {
            return;
        };
        let kept = self.entries.partition_point(|e| e.index < first.index);
        self.entries.truncate(kept);
        self.entries.extend_from_slice(&entries[skipped..]);
    }

    /// Entries after the snapshot stay only if the log held the snapshot's own last entry;
    /// otherwise they belong to a history that lost.
    fn rebase(&mut self, index: Index, term: Term) {
        let held = self.base == (index, term)
            || self
                .entries
                .iter()
                .any(|e| (e.index, e.term) == (index, term));
        if held {
            self.entries.retain(|e| e.index > index);
        } else {
            self.entries.clear();
        }
        self.base = (index, term);
    }
}

/// The last index after `entries` follow on a log that ends at `last`.
fn follow(base: Index, last: Index, entries: &[Entry]) -> Result<Index, DiskError> {
    let Some(first) = entries.first() else {
        return Ok(last);
    };
    if first.index == 0 || first.index > last + 1 {
        return Err(gap(last + 1, first.index));
    }
    let mut end = first.index - 1;
    for entry in entries {
        if entry.index != end + 1 {
            return Err(gap(end + 1, entry.index));
        }
        end = entry.index;
    }
    Ok(if end <= base { last } else { end })
}

const fn gap(expected: Index, found: Index) -> DiskError {
    DiskError::Gap { expected, found }
}
