//! Orders about hosts, one leader after the other.
//!
//! What is about to be ordered of a host is committed before the order goes out, each time that it
//! does. It rides on a round, so that it costs no entry of its own where others are made anyway: the
//! order goes out one commit later, 10 to 15 ms, against the 1.5 s that a move takes.
//!
//! A new leader orders nothing of the hosts that its predecessor may have touched until the provider's
//! time between two leaders is over, and what it likes of all others.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{Now, Round, Scheduler, hosts::Stage};
use crate::core::{
    types::HostId,
    workload::intents::{OrderIntent, OrderIntents},
};

/// How long an order may still be under way to the provider after the log said that it would go out:
/// as long as the provider has to answer it.
const UNDER_WAY: Duration = Duration::from_secs(2);
/// How often at least the log is told that time passes, while hosts that were touched may concern a
/// successor. The wait for each of them is longer by at most this.
const STAMP: Duration = Duration::from_millis(250);

/// What this leader may order, and what it said of it.
#[derive(Clone, Debug)]
pub(super) struct Touching {
    /// Until when nothing may be ordered of any host: nobody said what was touched before.
    blind: Now,
    /// Until when nothing may be ordered of a host.
    held: BTreeMap<HostId, Now>,
    /// The hosts that predecessors may have touched, as far as the log remembers.
    inherited: BTreeSet<HostId>,
    /// When the log was told of the time last.
    stamped: Option<Now>,
    /// Until when the passing of time concerns a successor.
    concerned: Now,
}

impl Touching {
    /// What a leader that begins now may order, given what its predecessors touched and how long
    /// the orders of two leaders about one host must be apart.
    pub(super) fn new(now: Now, apart: Duration, touched: &OrderIntents) -> Self {
        let held = touched.ages().filter_map(|(host, age)| {
            // Its predecessor gave its last order before now, whenever it touched the host.
            let wait = (apart + UNDER_WAY).saturating_sub(age).min(apart);
            (!wait.is_zero()).then(|| (host.clone(), now + wait))
        });
        let held: BTreeMap<_, _> = held.collect();
        let blind = if touched.is_recorded() {
            now
        } else {
            now + apart
        };
        Self {
            blind,
            held,
            inherited: touched.ages().map(|(host, _)| host.clone()).collect(),
            stamped: None,
            concerned: now + apart,
        }
    }

    /// Whether it isn't known what was touched, so that nothing may be ordered.
    pub(super) fn is_blind(&self, now: Now) -> bool {
        now < self.blind
    }

    /// Whether the log said of a predecessor that it may have touched a host, however long ago that is now.
    pub(super) fn is_inherited(&self, host: &HostId) -> bool {
        self.inherited.contains(host)
    }

    /// Whether a predecessor may have touched a host too short a time ago.
    pub(super) fn is_held(&self, now: Now, host: &HostId) -> bool {
        self.held.get(host).is_some_and(|until| now < *until)
    }
}

impl Scheduler {
    /// What a round tells the log of hosts: those whose orders are due, and that time passes.
    pub(super) fn touch(&mut self, now: Now) -> Option<OrderIntent> {
        let mut hosts = Vec::new();
        for (host, duty) in &mut self.hosts.operations {
            let agent = duty.agent.as_ref().and_then(|id| self.agents.get(id));
            if duty.stage == Stage::Due && agent.is_some_and(|a| !a.slots.is_empty() && !a.ending) {
                // It has got something since it was found empty.
                duty.stage = Stage::Emptying;
                continue;
            }
            let due = duty.stage == Stage::Due && now >= duty.since;
            if due && !self.touching.is_held(now, host) {
                if !self.settings.protections.intents {
                    duty.stage = Stage::Recorded;
                    continue;
                }
                duty.stage = Stage::Recording;
                hosts.push(host.clone());
            }
        }
        let Touching {
            stamped, concerned, ..
        } = &mut self.touching;
        if !hosts.is_empty() {
            *concerned = now + self.settings.handover_delay + UNDER_WAY + STAMP;
        }
        let stale = now < *concerned && stamped.is_none_or(|stamped| now >= stamped + STAMP);
        if hosts.is_empty() && !stale {
            return None;
        }
        *stamped = Some(now);
        let at = now.saturating_sub(self.started_at).as_millis();
        Some(OrderIntent {
            term: self.term,
            at: u64::try_from(at).unwrap_or(u64::MAX),
            hosts,
        })
    }

    /// A round of this leader was applied, so what it said may be ordered.
    pub(super) fn touch_applied(&mut self, now: Now, round: &Round) {
        let Some(touch) = &round.intent else {
            return;
        };
        for host in &touch.hosts {
            let duty = self.hosts.operations.get_mut(host);
            if let Some(duty) = duty.filter(|duty| duty.stage == Stage::Recording) {
                duty.stage = Stage::Recorded;
                duty.since = now;
            }
        }
    }
}
