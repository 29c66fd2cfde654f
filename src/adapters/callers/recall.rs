//! The last requests that were not answered, by the id that their callers were told.
//!
//! Every reply to a caller's request carries an id: the caller's own, or one made here of the
//! node, its boot and a number. A caller who asks an operator why a request was refused gives that
//! id. Only refusals and unknown outcomes are kept, and of those the last [`KEPT`]: an answered
//! request needs no explanation, and keeping all of them would cost memory for nothing. What is
//! kept is this node's alone and doesn't outlive its process; a log that all nodes share was
//! rejected, since refusals are most where there is least room.

use std::{
    collections::VecDeque,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use crate::core::{
    outcome::Outcome,
    types::{GroupId, Name, ServiceId, Version, Wall},
};

/// How many requests are remembered.
pub const KEPT: usize = 4096;

/// A request that ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The id that its caller was told.
    pub id: Name,
    /// The service, if the request named one.
    pub service: Option<ServiceId>,
    /// The caller's group, if it could be read.
    pub group: Option<GroupId>,
    /// What the caller was told.
    pub outcome: Outcome,
    /// The configuration that the decision was made under.
    pub version: Version,
    /// How many further attempts followed the first.
    pub retries: u32,
    /// When, by the wall clock.
    pub at: Wall,
}

/// What a node remembers of requests that ended without an answer.
///
/// ```
/// use egretpin::adapters::callers::Recall;
///
/// let recall = Recall::new("2-5e1f");
/// assert_eq!((&*recall.fresh(), &*recall.fresh()), ("2-5e1f-r1", "2-5e1f-r2"));
/// assert_eq!(recall.find("2-5e1f-r1"), None);
/// ```
#[derive(Debug)]
pub struct Recall {
    prefix: Name,
    last: AtomicU64,
    kept: Mutex<VecDeque<Ended>>,
}

impl Recall {
    /// An empty memory. The prefix of its ids tells them from those of other nodes and boots.
    pub fn new(prefix: impl Into<Name>) -> Self {
        Self {
            prefix: prefix.into(),
            last: AtomicU64::new(0),
            kept: Mutex::default(),
        }
    }

    /// An id that was never given before. The `r` tells it from the number of a sending.
    pub fn fresh(&self) -> Name {
        let number = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        format!("{}-r{number}", self.prefix).into()
    }

    /// Remembers a request; the oldest one goes if there is no room.
    pub fn note(&self, ended: Ended) {
        let mut kept = self.lock();
        if kept.len() == KEPT {
            kept.pop_front();
        }
        kept.push_back(ended);
    }

    /// The last request of that id. Callers may give one id to several.
    pub fn find(&self, id: &str) -> Option<Ended> {
        let kept = self.lock();
        kept.iter().rev().find(|ended| *ended.id == *id).cloned()
    }

    /// Each change under the lock leaves the memory whole, so a panic elsewhere does no harm.
    fn lock(&self) -> MutexGuard<'_, VecDeque<Ended>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
