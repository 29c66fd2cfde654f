//! Keeps the orders of two leaders about the same host apart in time.
//!
//! Before an order about a host goes out, the log records the *intent* to give it, each time that
//! the order is sent. The intent is part of a round, so that it needs no log entry of its own where
//! a round is committed anyway. The order goes out one commit later, 10 to 15 ms, against the 1.5 s
//! that a move takes.
//!
//! A new leader gives no order about the hosts for which its predecessor may have given one, until
//! the time that the provider requires between two leaders is over. It may give orders about all
//! other hosts at once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{Now, Round, Scheduler, operations::Stage};
use crate::core::{
    types::HostId,
    workload::intents::{OrderIntent, OrderIntents},
};

/// How long an order may still be under way to the provider after the log said that it would go
/// out: as long as it may wait for a connection and the provider has to answer it.
const MAX_ORDER_DELAY: Duration = Duration::from_millis(2100);
/// The longest interval at which the log records that time has passed, while a successor may have
/// to wait because of an intent. It lengthens that wait by this at most.
const STAMP_INTERVAL: Duration = Duration::from_millis(250);

/// Which orders this leader may give, and what it has written to the log about them.
#[derive(Clone, Debug)]
pub(super) struct HostIntents {
    /// Until when no order about any host may be given, since the log doesn't say about which hosts
    /// orders were given before.
    blind_until: Now,
    /// For each host about which a predecessor may have given an order, until when no order about
    /// it may be given.
    held_until: BTreeMap<HostId, Now>,
    /// The hosts about which predecessors may have given orders, as far as the log remembers.
    inherited: BTreeSet<HostId>,
    /// When the log last recorded the time.
    last_stamp: Option<Now>,
    /// Until when the passing of time matters to a successor.
    stamp_until: Now,
}

impl HostIntents {
    /// What a leader that starts now may order, given the intents of its predecessors and the time
    /// `apart` that has to lie between the orders of two leaders about one host.
    pub(super) fn new(now: Now, apart: Duration, touched: &OrderIntents) -> Self {
        let held_until = touched.ages().filter_map(|(host, age)| {
            // The predecessor gave its last order before now, whenever it recorded the intent.
            let wait = (apart + MAX_ORDER_DELAY).saturating_sub(age).min(apart);
            (!wait.is_zero()).then(|| (host.clone(), now + wait))
        });
        let held_until: BTreeMap<_, _> = held_until.collect();
        let blind_until = if touched.is_recorded() {
            now
        } else {
            now + apart
        };
        Self {
            blind_until,
            held_until,
            inherited: touched.ages().map(|(host, _)| host.clone()).collect(),
            last_stamp: None,
            stamp_until: now + apart,
        }
    }

    /// Whether the intents of predecessors aren't known, so that no order may be given.
    pub(super) fn is_blind(&self, now: Now) -> bool {
        now < self.blind_until
    }

    /// Whether the log says that a predecessor may have given an order about a host, however long
    /// ago.
    pub(super) fn is_inherited(&self, host: &HostId) -> bool {
        self.inherited.contains(host)
    }

    /// Whether a predecessor may have given an order about a host too recently.
    pub(super) fn is_held(&self, now: Now, host: &HostId) -> bool {
        self.held_until.get(host).is_some_and(|until| now < *until)
    }
}

impl Scheduler {
    /// What a round writes to the log about hosts: those whose orders are due, and that time has
    /// passed.
    pub(super) fn next_intent(&mut self, now: Now) -> Option<OrderIntent> {
        let hosts = self.give_host_orders(now);
        let HostIntents {
            last_stamp,
            stamp_until,
            ..
        } = &mut self.intents;
        if !hosts.is_empty() {
            *stamp_until = now + self.settings.handover_delay + MAX_ORDER_DELAY + STAMP_INTERVAL;
        }
        let stale = now < *stamp_until && last_stamp.is_none_or(|at| now >= at + STAMP_INTERVAL);
        if hosts.is_empty() && !stale {
            return None;
        }
        *last_stamp = Some(now);
        let at = now.saturating_sub(self.started_at).as_millis();
        Some(OrderIntent {
            term: self.term,
            at: u64::try_from(at).unwrap_or(u64::MAX),
            hosts,
        })
    }

    /// Gives the orders of the line that can be sent. Returns the hosts whose orders have to be in
    /// the log before.
    fn give_host_orders(&mut self, now: Now) -> Vec<HostId> {
        let due = self.hosts.orders.due(now).filter(|due| {
            !self.intents.is_held(now, &due.host) && self.is_agent_confirmed(&due.host)
        });
        let free = self.hosts.orders.free(now);
        let due: Vec<_> = due.take(free).cloned().collect();
        let mut hosts = Vec::new();
        for order in due {
            let host = &order.host;
            let Some(operation) = self.hosts.operations.get_mut(host) else {
                continue;
            };
            let agent = operation.agent.as_ref();
            let agent = agent.and_then(|id| self.agents.get(id));
            if agent.is_some_and(|agent| !agent.slots.is_empty() && !agent.evicting) {
                // The agent got tasks after it was found empty.
                operation.stage = Stage::Emptying;
                self.hosts.orders.remove(&order);
                continue;
            }
            self.hosts.orders.give(now, &order);
            if self.settings.protections.intents {
                operation.stage = Stage::Recording;
                hosts.push(host.clone());
            } else {
                operation.stage = Stage::Recorded;
                self.hosts.orders.record(host);
            }
        }
        hosts
    }

    /// Notes that a round of this leader was applied, so that the orders it announced may go out.
    pub(super) fn intent_applied(&mut self, now: Now, round: &Round) {
        let Some(touch) = &round.intent else {
            return;
        };
        for host in &touch.hosts {
            let duty = self.hosts.operations.get_mut(host);
            if let Some(duty) = duty.filter(|duty| duty.stage == Stage::Recording) {
                duty.stage = Stage::Recorded;
                duty.since = now;
                self.hosts.orders.record(host);
            }
        }
    }
}
