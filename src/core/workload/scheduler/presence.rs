//! Which hosts are there, by the lists of their provider.
//!
//! One list that lacks a host proves nothing. It may be older than the host; and it is read page by
//! page, so that a host which goes meanwhile moves others across the border of two pages, where
//! nobody reads them. Whoever is lacked by [`LISTS`] whole lists in a row, all asked for after the
//! question came up, is taken for gone.
//!
//! What hangs on it: an agent that is taken for gone has its work started elsewhere, and a host that
//! is taken for gone is not waited for any more. Its price: one more list, 0.3 s, before the work of
//! a host that was removed for good goes on.

use std::collections::{BTreeMap, VecDeque};

use crate::core::types::Now;

/// Lists in a row that must lack somebody. A page border moves by as much as came or went while one
/// list was read; the next list begins after that.
const LISTS: usize = 2;

/// When each of some things was last listed.
#[derive(Clone, Debug)]
pub(super) struct Presence<K> {
    /// When the list was asked for that had it last.
    listed: BTreeMap<K, Now>,
    /// When the last lists were asked for.
    lists: VecDeque<Now>,
}

impl<K> Default for Presence<K> {
    fn default() -> Self {
        Self {
            listed: BTreeMap::new(),
            lists: VecDeque::with_capacity(LISTS),
        }
    }
}

impl<K: Ord> Presence<K> {
    /// Takes in a whole list that was asked for at `sent`.
    pub(super) fn note(&mut self, sent: Now, present: impl Iterator<Item = K>) {
        if self.lists.len() == LISTS {
            self.lists.pop_front();
        }
        self.lists.push_back(sent);
        self.listed.extend(present.map(|key| (key, sent)));
        if let Some(oldest) = self.lists.front().copied() {
            // Whoever was listed before those that count is as good as never listed.
            self.listed.retain(|_, listed| *listed >= oldest);
        }
    }

    /// Whether enough lists that were asked for after `since` lack it.
    pub(super) fn is_gone(&self, key: &K, since: Now) -> bool {
        self.lists.len() == LISTS && self.lists.iter().all(|sent| self.lacks(key, *sent, since))
    }

    /// Whether the last list lacks it, and was asked for after `since`.
    pub(super) fn is_lacked(&self, key: &K, since: Now) -> bool {
        let last = self.lists.back();
        last.is_some_and(|sent| self.lacks(key, *sent, since))
    }

    fn lacks(&self, key: &K, sent: Now, since: Now) -> bool {
        sent > since && self.listed.get(key).is_none_or(|listed| *listed < sent)
    }
}
