//! Operations already answered.
//!
//! A resend finds its first reply here, whichever node leads by then and however often it was
//! restarted, since the table is part of the image. Records expire by the leader's stamps. While
//! the table is full of records that haven't expired, new operations are refused: forgetting one
//! early could let a resend run twice.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{
    command::{Kind, Request},
    image,
    reply::{Refusal, Reply},
};
use crate::core::types::{OperationId, Wall};

/// How long a reply is kept; a resend must come within it.
pub const KEEP: Wall = Wall::from_secs(24 * 3600);
/// How many replies are kept at most.
pub const CAPACITY: usize = 100_000;

/// The answered operations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Operations {
    records: BTreeMap<OperationId, Record>,
    by_age: BTreeSet<(Wall, OperationId)>,
}

/// One answered operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
struct Record {
    request: u64,
    kind: Kind,
    reply: Reply,
}

/// One answered operation, for those who look back.
#[derive(Clone, Copy, Debug)]
pub struct Past<'a> {
    /// When it was answered.
    pub at: Wall,
    /// Its id.
    pub operation: &'a OperationId,
    /// What was asked.
    pub kind: Kind,
    /// The answer.
    pub reply: &'a Reply,
}

impl Operations {
    /// Those still kept, the newest first.
    pub fn recent(&self) -> impl Iterator<Item = Past<'_>> {
        self.by_age.iter().rev().filter_map(|(at, operation)| {
            let record = self.records.get(operation)?;
            Some(Past {
                at: *at,
                operation,
                kind: record.kind,
                reply: &record.reply,
            })
        })
    }

    /// The first reply to an operation, if it is still kept.
    pub fn reply(&self, operation: &OperationId) -> Option<&Reply> {
        self.records.get(operation).map(|record| &record.reply)
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What to answer without running the request: the first reply, or why it can't be run.
    pub(super) fn recall(&self, operation: &OperationId, request: &Request) -> Option<Reply> {
        match self.records.get(operation) {
            Some(record) if record.request == fingerprint(request) => Some(record.reply.clone()),
            Some(_) => Some(Reply::Refused(Refusal::OperationReused)),
            None if self.records.len() >= CAPACITY => Some(Reply::Refused(Refusal::OperationsFull)),
            None => None,
        }
    }

    /// Keeps the first reply to an operation.
    pub(super) fn record(
        &mut self,
        at: Wall,
        operation: &OperationId,
        request: &Request,
        reply: Reply,
    ) {
        let record = Record {
            request: fingerprint(request),
            kind: request.kind(),
            reply,
        };
        self.records.insert(operation.clone(), record);
        self.by_age.insert((at, operation.clone()));
    }

    /// Forgets what is older than [`KEEP`].
    pub(super) fn expire(&mut self, clock: Wall) {
        while let Some((at, _)) = self.by_age.first()
            && at.saturating_add(KEEP) < clock
        {
            let (_, operation) = self.by_age.pop_first().expect("it was just seen");
            self.records.remove(&operation);
        }
    }
}

fn fingerprint(request: &Request) -> u64 {
    image::digest(&image::encode(request))
}
