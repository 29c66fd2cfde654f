//! Decides how many orders about hosts are given, and which of those that are due goes next.
//!
//! The provider accepts a limited number of orders per second, and a node sends a limited number at
//! once. An order beyond these limits would wait in the node, where it can't be taken back: its
//! host would be cordoned and do nothing meanwhile, and what it was decided by might no longer hold
//! when it is sent.
//!
//! So orders that are due stand in a *line* here, the most urgent first, and one is given only when
//! it can be sent at once. The line is only as long as the leader needs to keep the provider busy
//! until it next looks at the pools. While it is full no further host is chosen; the hosts go on
//! working, and are chosen by what is needed then.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use super::{Now, balance::POOL_CHECK_DELAY};
use crate::core::types::HostId;

/// The time over which the provider counts the orders that it accepts.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// How many orders about hosts a leader may give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderLimits {
    /// The most orders without an answer: as many as the node can send without one of them waiting
    /// for the answer to another.
    pub at_once: usize,
    /// The most orders per second.
    pub per_second: usize,
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            at_once: 8,
            per_second: 80,
        }
    }
}

/// What an order about a host is for, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    /// A pool lacks the host for the work that it has.
    Needed,
    /// The host is to be maintained.
    Maintenance,
    /// A pool should have the host for work that is expected.
    Expected,
    /// No pool needs the host.
    Idle,
}

/// An order that is due, sorted by which goes out first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueOrder {
    pub(super) priority: Priority,
    /// From when on it is due.
    pub(super) at: Now,
    pub(super) host: HostId,
}

/// The line of orders about hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct HostOrders {
    limits: OrderLimits,
    line: BTreeSet<DueOrder>,
    /// Hosts with an order that has been given and not answered.
    given: BTreeSet<HostId>,
    /// When orders were given within the last [`RATE_WINDOW`].
    given_at: VecDeque<Now>,
    /// Hosts whose order is recorded in the log and can be sent.
    recorded: Vec<HostId>,
}

impl HostOrders {
    pub(super) fn new(limits: OrderLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// How many more orders of this priority may join the line. Less urgent ones don't count, as
    /// they go later.
    pub(super) fn room(&self, now: Now, priority: Priority) -> usize {
        let next_check = now + POOL_CHECK_DELAY;
        let until_then = self.limits.per_second.div_ceil(checks_per_second());
        let sendable = self.limits.at_once.saturating_add(until_then);
        let sendable = sendable.saturating_sub(self.given.len());
        let ahead = self.line.iter().take_while(|due| due.priority <= priority);
        sendable
            .min(self.allowance(next_check))
            .saturating_sub(ahead.count())
    }

    /// Puts an order into the line.
    pub(super) fn push(&mut self, order: DueOrder) {
        self.given.remove(&order.host);
        self.line.insert(order);
    }

    /// How many orders may be given now.
    pub(super) fn free(&self, now: Now) -> usize {
        let free = self.limits.at_once.saturating_sub(self.given.len());
        free.min(self.allowance(now))
    }

    /// The orders that are due now, the most urgent first.
    pub(super) fn due(&self, now: Now) -> impl Iterator<Item = &DueOrder> {
        self.line.iter().filter(move |due| now >= due.at)
    }

    /// Notes that an order of the line is given.
    pub(super) fn give(&mut self, now: Now, order: &DueOrder) {
        self.line.remove(order);
        self.given.insert(order.host.clone());
        while self
            .given_at
            .front()
            .is_some_and(|at| now >= *at + RATE_WINDOW)
        {
            self.given_at.pop_front();
        }
        self.given_at.push_back(now);
    }

    /// Notes that a given order is in the log.
    pub(super) fn record(&mut self, host: &HostId) {
        self.recorded.push(host.clone());
    }

    /// Takes the hosts whose orders can be sent.
    pub(super) fn take_recorded(&mut self) -> Vec<HostId> {
        std::mem::take(&mut self.recorded)
    }

    /// Notes that a given order was answered.
    pub(super) fn answered(&mut self, host: &HostId) {
        self.given.remove(host);
    }

    /// Removes an order, whether it stands in the line or is given.
    pub(super) fn remove(&mut self, order: &DueOrder) {
        self.given.remove(&order.host);
        self.line.remove(order);
    }

    /// How many orders may be given until `at` without exceeding the rate.
    fn allowance(&self, at: Now) -> usize {
        let past = self
            .given_at
            .partition_point(|given| at >= *given + RATE_WINDOW);
        let recent = self.given_at.len() - past;
        self.limits.per_second.saturating_sub(recent)
    }
}

/// How often the needs of the pools are checked.
fn checks_per_second() -> usize {
    usize::try_from(RATE_WINDOW.as_millis() / POOL_CHECK_DELAY.as_millis()).unwrap_or(1)
}
