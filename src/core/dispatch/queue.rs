//! Requests that have had their turn and wait for a slot again.

use std::collections::VecDeque;

use super::seam::RequestId;

/// Requests of one service that admission has given out and that don't hold a slot: retries, and
/// those whose claim was granted late or that must go to a minion that has no free slot now. They
/// go before all that wait in admission. Requests that ended while waiting are skipped by whoever
/// takes from it, so that leaving costs nothing.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    items: VecDeque<RequestId>,
    /// Items that still wait; the rest have ended.
    waiting: u32,
}

impl Queue {
    /// How many wait.
    pub(super) fn len(&self) -> u32 {
        self.waiting
    }

    /// Joins at the end.
    pub(super) fn push(&mut self, request: RequestId) {
        self.items.push_back(request);
        self.waiting += 1;
    }

    /// Goes back to the front, after it was taken in vain.
    pub(super) fn push_front(&mut self, request: RequestId) {
        self.items.push_front(request);
        self.waiting += 1;
    }

    /// Takes the first that `waits` says still waits.
    pub(super) fn pop(&mut self, waits: impl Fn(RequestId) -> bool) -> Option<RequestId> {
        while let Some(request) = self.items.pop_front() {
            if waits(request) {
                self.waiting -= 1;
                return Some(request);
            }
        }
        None
    }

    /// Counts one out that has ended while waiting.
    pub(super) fn left(&mut self) {
        self.waiting -= 1;
        if self.waiting == 0 {
            self.items.clear();
        }
    }
}
