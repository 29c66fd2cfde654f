//! Instants at which something is due.

use std::collections::BTreeSet;

use super::seam::{RequestId, SendId};
use crate::core::types::Now;

/// What is due. Of equal instants the first variant comes first: a sending ends before its
/// request is judged by its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    /// A sending has to end, or its lingering slot to be given back.
    Send(SendId),
    /// A request's caller stops waiting.
    Request(RequestId),
}

/// The timers of one node, in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers(BTreeSet<(Now, Due)>);

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, at: Now, due: Due) {
        self.0.insert((at, due));
    }

    /// Takes a timer back.
    pub(super) fn cancel(&mut self, at: Now, due: Due) {
        self.0.remove(&(at, due));
    }

    /// The next timer that is due by now.
    pub(super) fn pop(&mut self, now: Now) -> Option<Due> {
        let &(at, due) = self.0.first()?;
        if at > now {
            return None;
        }
        self.0.pop_first();
        Some(due)
    }
}
