//! The batch tasks of one workspace in a pool, within its share and beyond it.
//!
//! While workspaces contend for the pool, a workspace may have only so many thousandths of a core
//! placed and waiting within its share. Its most urgent steps are those within the share. The
//! others are moved into it as its tasks end, a few at a time, so that the cost of a plan doesn't
//! grow with the backlog.

use std::collections::BTreeSet;

use super::ready::Rank;

/// The batch tasks of a workspace in a pool: those that are placed, and the steps that wait and can
/// still be in time.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnerQueue {
    /// The thousandths of a core that may be placed and wait within the share; `None` is no limit.
    pub(super) share: Option<u64>,
    /// Thousandths of a core of tasks that are placed.
    pub(super) placed: u64,
    within: Waiting,
    beyond: Waiting,
}

/// Steps that wait.
#[derive(Clone, Debug, Default)]
struct Waiting {
    /// Their order, the most urgent first.
    ranks: BTreeSet<Rank>,
    /// Thousandths of a core of their tasks.
    millicores: u64,
}

impl OwnerQueue {
    /// Adds a step that waits for so many thousandths of a core.
    pub(super) fn add(&mut self, within: bool, rank: Rank, millicores: u64) {
        let waiting = self.waiting(within);
        waiting.ranks.insert(rank);
        waiting.millicores += millicores;
    }

    /// Undoes [`OwnerQueue::add`].
    pub(super) fn remove(&mut self, within: bool, rank: Rank, millicores: u64) {
        let waiting = self.waiting(within);
        if waiting.ranks.remove(&rank) {
            waiting.millicores -= millicores;
        }
    }

    /// Thousandths of a core of all tasks that are placed or wait in time.
    pub(super) fn held(&self) -> u64 {
        self.placed + self.within.millicores + self.beyond.millicores
    }

    /// The least urgent step within the share.
    pub(super) fn last_within(&self) -> Option<Rank> {
        self.within.ranks.last().copied()
    }

    /// Whether the share is used up without this step, which is within it.
    pub(super) fn is_surplus(&self, millicores: u64) -> bool {
        let others = (self.placed + self.within.millicores).saturating_sub(millicores);
        self.share.is_some_and(|share| others >= share)
    }

    /// The most urgent step beyond the share, if the share isn't used up.
    pub(super) fn first_due(&self) -> Option<Rank> {
        let used = self.placed + self.within.millicores;
        let due = self.share.is_none_or(|share| used < share);
        self.beyond.ranks.first().copied().filter(|_| due)
    }

    fn waiting(&mut self, within: bool) -> &mut Waiting {
        if within {
            &mut self.within
        } else {
            &mut self.beyond
        }
    }
}
