//! Which hosts and agents are there, according to the lists of their provider.
//!
//! A single list that lacks a host proves nothing. The list may be older than the host. And it is
//! read page by page: a host that disappears meanwhile moves others across the border of two pages,
//! where they are never read. So something counts as gone once [`LISTS_TO_CONFIRM`] whole lists in a row lack
//! it, all requested after the question came up.
//!
//! The work of an agent that counts as gone is started elsewhere, and a host that counts as gone is
//! no longer waited for. The price is one more list, 0.3 s, before the work of a host that was
//! removed for good goes on.

use std::collections::{BTreeMap, VecDeque};

use crate::core::types::Now;

/// Lists in a row that must lack something. A page border moves by as much as came or went while
/// one list was read; the next list starts after that.
const LISTS_TO_CONFIRM: usize = 2;

/// When each of several things was last listed.
#[derive(Clone, Debug)]
pub(super) struct Presence<K> {
    /// For each thing, when the last list that had it was requested.
    last_listed: BTreeMap<K, Now>,
    /// When the latest lists were requested.
    requested: VecDeque<Now>,
}

impl<K> Default for Presence<K> {
    fn default() -> Self {
        Self {
            last_listed: BTreeMap::new(),
            requested: VecDeque::with_capacity(LISTS_TO_CONFIRM),
        }
    }
}

impl<K: Ord> Presence<K> {
    /// Takes in a whole list that was requested at `sent`.
    pub(super) fn record(&mut self, sent: Now, present: impl Iterator<Item = K>) {
        if self.requested.len() == LISTS_TO_CONFIRM {
            self.requested.pop_front();
        }
        self.requested.push_back(sent);
        self.last_listed.extend(present.map(|key| (key, sent)));
        if let Some(oldest) = self.requested.front().copied() {
            // Only the latest lists count, so older sightings are dropped.
            self.last_listed.retain(|_, listed| *listed >= oldest);
        }
    }

    /// Whether enough lists that were requested after `since` lack it.
    pub(super) fn is_absent(&self, key: &K, since: Now) -> bool {
        self.requested.len() == LISTS_TO_CONFIRM
            && self
                .requested
                .iter()
                .all(|sent| self.is_missing_from(key, *sent, since))
    }

    /// Whether the latest list lacks it and was requested after `since`.
    pub(super) fn is_missing(&self, key: &K, since: Now) -> bool {
        let last = self.requested.back();
        last.is_some_and(|sent| self.is_missing_from(key, *sent, since))
    }

    fn is_missing_from(&self, key: &K, sent: Now, since: Now) -> bool {
        sent > since
            && self
                .last_listed
                .get(key)
                .is_none_or(|listed| *listed < sent)
    }
}
