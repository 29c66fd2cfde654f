//! The outputs of the current step, and messages that wait for the disk.
//!
//! A message that promises something, such as a vote or a stored entry, must not leave before the
//! disk holds it.

use std::collections::VecDeque;

use super::{
    interface::{Index, Output, Record},
    message::Message,
};
use crate::core::types::{NodeId, Now};

/// A message that may leave only after a write is synced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Deferred {
    to: NodeId,
    message: Message,
}

/// A write that isn't known to be on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    write: u64,
    since: Now,
    /// How far the log is on disk once this write is; lowered when the log is truncated in the
    /// meantime.
    log_end: Index,
    /// Whether it records a term and vote.
    ballot: bool,
    deferred: Vec<Deferred>,
}

/// Collects outputs in order. A message passed to [`Outbox::send_synced`] leaves only after every
/// write before it is synced, so to other nodes each write appears instantaneous.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Outbox {
    /// The time of the current step.
    pub(super) now: Now,
    outputs: Vec<Output>,
    pending: VecDeque<PendingWrite>,
    written: u64,
    disk: bool,
    sync: bool,
}

impl Outbox {
    /// Without a disk nothing is written, and every write counts as synced. With `sync` off, which
    /// is for tests, nothing waits for the disk.
    pub(super) fn new(now: Now, disk: bool, sync: bool) -> Self {
        let (outputs, pending) = (Vec::new(), VecDeque::new());
        Self {
            now,
            outputs,
            pending,
            written: 0,
            disk,
            sync,
        }
    }

    pub(super) fn drain(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    pub(super) fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Sends a message at once.
    pub(super) fn send(&mut self, to: NodeId, message: Message) {
        self.outputs.push(Output::Send { to, message });
    }

    /// Sends a message once all writes so far are synced.
    pub(super) fn send_synced(&mut self, to: NodeId, message: Message) {
        match self.pending.back_mut() {
            Some(pending) if self.sync => pending.deferred.push(Deferred { to, message }),
            _ => self.send(to, message),
        }
    }

    /// Writes a record and returns the number of the write. `log_end` is how far the log is on
    /// disk once the record is.
    pub(super) fn write(&mut self, record: Record, log_end: Index) -> u64 {
        if !self.disk {
            return 0;
        }
        self.written += 1;
        let write = self.written;
        let ballot = matches!(record, Record::Ballot { .. });
        let (since, deferred) = (self.now, Vec::new());
        self.pending.push_back(PendingWrite {
            write,
            since,
            log_end,
            ballot,
            deferred,
        });
        self.outputs.push(Output::Write { write, record });
        write
    }

    /// Records that everything up to a write is on disk, and sends the messages that waited for it.
    /// Returns how far the log is on disk.
    pub(super) fn synced(&mut self, write: u64) -> Index {
        let mut log_end = 0;
        while self.pending.front().is_some_and(|p| p.write <= write) {
            let Some(pending) = self.pending.pop_front() else {
                break;
            };
            log_end = log_end.max(pending.log_end);
            for deferred in pending.deferred {
                self.send(deferred.to, deferred.message);
            }
        }
        log_end
    }

    /// Records that the log was truncated at an index: pending writes no longer make entries at or
    /// after it durable.
    pub(super) fn truncated(&mut self, from: Index) {
        for pending in &mut self.pending {
            pending.log_end = pending.log_end.min(from - 1);
        }
    }

    /// Whether every write counts as on disk at once.
    pub(super) fn is_instant(&self) -> bool {
        !self.disk || !self.sync
    }

    /// Whether a write is on disk.
    pub(super) fn is_synced(&self, write: u64) -> bool {
        self.is_instant() || self.pending.front().is_none_or(|p| p.write > write)
    }

    /// When the oldest pending write was issued.
    pub(super) fn oldest_write(&self) -> Option<Now> {
        self.pending.front().map(|p| p.since)
    }

    /// How many writes are pending.
    pub(super) fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Whether the current term and vote are on disk.
    pub(super) fn is_ballot_synced(&self) -> bool {
        !self.sync || !self.pending.iter().any(|p| p.ballot)
    }
}
