//! Carries out maintenance and moves of hosts, from the choice of a host until it is back.
//!
//! An order about a host ends everything that runs there, so a host gets one only when its agent is
//! empty. Until then the agent is *cordoned*: it gets no new work, its batch tasks finish by
//! themselves, and its long-running tasks are stopped and placed elsewhere as far as the budget of
//! their step allows. An empty host waits for its turn in the line of orders; the order is recorded
//! in the log and sent. A list of the hosts shows when the host is back, or that another agent is
//! there than the one that was emptied.

use std::time::Duration;

use super::{
    About, Answer, HostState, HostView, MinionId, Name, Now, OrderId, OrderKind, PoolId, Refusal,
    Scheduler,
    host_orders::{DueOrder, Priority},
    hosts::{Hosts, SETTLE_DELAY},
};
use crate::core::types::{HostId, WaveId};

/// Delay from an order that got no answer, or was refused because there were too many, to the next
/// try.
const HOST_RETRY_DELAY: Duration = Duration::from_millis(400);

/// A maintenance or a move of a host that is in progress.
#[derive(Clone, Debug)]
pub(super) struct Operation {
    pub(super) purpose: Purpose,
    pub(super) stage: Stage,
    /// Since when it is in this stage, or when its order is due.
    pub(super) since: Now,
    pub(super) priority: Priority,
    pub(super) begun_at: Now,
    /// When its last order turned out to get no answer, if it did.
    pub(super) unanswered_at: Option<Now>,
    /// The agent that was at the host when the operation began: its name, and its incarnation once
    /// that is known.
    pub(super) name: Option<Name>,
    pub(super) agent: Option<MinionId>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    Maintain(WaveId),
    Move(PoolId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The agent is being emptied.
    Emptying,
    /// The order is due. It has to be recorded in the log before it is sent.
    Due,
    /// The record is being committed.
    Recording,
    /// The record is in the log; the order can be sent.
    Recorded,
    Ordered(OrderId),
    /// The order was carried out, and the host isn't back yet.
    Away,
}

impl Operation {
    /// Its order, as it stands in the line.
    fn due_order(&self, host: &HostId) -> DueOrder {
        DueOrder {
            priority: self.priority,
            at: self.since,
            host: host.clone(),
        }
    }
}

impl Hosts {
    /// Puts the order of an operation into the line, from `due` on.
    pub(super) fn line_up(&mut self, due: Now, host: &HostId) {
        if let Some(operation) = self.operations.get_mut(host) {
            operation.stage = Stage::Due;
            operation.since = due;
            self.orders.push(operation.due_order(host));
        }
    }
}

impl Scheduler {
    /// Ends the operations of hosts that are back or gone.
    pub(super) fn end_finished_operations(&mut self, now: Now) {
        let Some(listed) = self.hosts.listed_at else {
            return;
        };
        let Hosts {
            views,
            operations,
            presence,
            ..
        } = &self.hosts;
        let mut over = Vec::new();
        for (host, operation) in operations {
            let is_over = match (views.get(host), operation.stage) {
                (Some(view), Stage::Away) => {
                    let other = view.agent.is_none() || !self.has_same_agent(operation, view);
                    let settled = listed >= operation.since + SETTLE_DELAY;
                    settled && view.state == HostState::Up && other
                }
                (None, Stage::Away) => presence.is_absent(host, operation.since + SETTLE_DELAY),
                // The answer to the order shows its result.
                (_, Stage::Ordered(_)) => false,
                // An order would end what runs at another agent, which was never emptied.
                (Some(view), _) if view.state == HostState::Up => {
                    !self.has_same_agent(operation, view)
                }
                (Some(view), _) => listed >= operation.since && view.state == HostState::Down,
                // For a host of a wave that isn't there, the refusal of its order shows that.
                (None, _) => {
                    matches!(operation.purpose, Purpose::Move(_))
                        && presence.is_absent(host, operation.since)
                }
            };
            if is_over {
                over.push(host.clone());
            }
        }
        for host in over {
            self.end_operation(now, &host);
        }
    }

    /// Whether a host still has the agent that it had when an operation began. The host may be back
    /// with an agent of the same name, as another incarnation.
    fn has_same_agent(&self, operation: &Operation, view: &HostView) -> bool {
        let there = self.agent_at(view).map(|agent| &agent.record.id);
        view.agent == operation.name && there == operation.agent.as_ref()
    }

    /// Whether a list is recent enough to tell which agent an order about a host would end: after an
    /// order that got no answer, and where the agent isn't known, another one may run there by now.
    pub(super) fn is_agent_confirmed(&self, host: &HostId) -> bool {
        let Some(operation) = self.hosts.operations.get(host) else {
            return false;
        };
        let is_unknown = operation.agent.is_none() && operation.name.is_some();
        let begun = is_unknown.then_some(operation.begun_at);
        let since = operation.unanswered_at.max(begun);
        since.is_none_or(|since| self.hosts.listed_at >= Some(since))
    }

    /// Logs how many operations are in each stage and how long the oldest order has been under way.
    pub(super) fn log_operations(&self, now: Now) {
        let (mut emptying, mut due, mut under_way, mut away) = (0, 0, 0, 0);
        let mut oldest = Duration::ZERO;
        for operation in self.hosts.operations.values() {
            match operation.stage {
                Stage::Emptying => emptying += 1,
                Stage::Due | Stage::Recording | Stage::Recorded => due += 1,
                Stage::Ordered(_) => {
                    under_way += 1;
                    oldest = oldest.max(now.saturating_sub(operation.since));
                }
                Stage::Away => away += 1,
            }
        }
        if emptying + due + under_way + away > 0 {
            log::info!(emptying, due, under_way, away, oldest:?; "operations on hosts");
        }
    }

    /// Decides from the list what became of hosts whose order was carried out: either their agent
    /// has terminated, or the order did nothing and the agent goes on.
    pub(super) fn settle_ordered(&mut self, now: Now, sent: Now) {
        let mut untouched = Vec::new();
        for (host, operation) in &self.hosts.operations {
            let Some(name) = &operation.name else {
                continue;
            };
            if operation.stage != Stage::Away || sent < operation.since {
                continue;
            }
            let view = self.hosts.views.get(host);
            if self.hosts.is_terminated(Some(host), name, operation.since) {
                self.terminated.extend(operation.agent.clone());
            } else if sent >= operation.since + SETTLE_DELAY
                && view.is_some_and(|view| view.state == HostState::Up)
            {
                untouched.push(host.clone());
            }
        }
        for host in untouched {
            log::info!(host:%; "an order about a host had already been carried out earlier; its agent goes on");
            self.end_operation(now, &host);
        }
    }

    pub(super) fn end_operation(&mut self, now: Now, host: &HostId) {
        let Some(operation) = self.hosts.operations.remove(host) else {
            return;
        };
        self.hosts.orders.remove(&operation.due_order(host));
        log::info!(host:%, what:? = operation.purpose, took:? = now.saturating_sub(operation.begun_at); "an operation on a host has ended");
        if let Some(agent) = operation.agent.and_then(|id| self.agents.get_mut(&id)) {
            agent.cordoned = false;
            agent.evicting = false;
        }
    }

    pub(super) fn begin_operation(
        &mut self,
        now: Now,
        host: &HostId,
        what: Purpose,
        priority: Priority,
    ) {
        let name = self.hosts.views.get(host).and_then(|v| v.agent.clone());
        let agent = name.as_ref().and_then(|name| self.agents.current(name));
        let agent = agent.map(|agent| agent.record.id.clone());
        let known = agent.as_ref().and_then(|id| self.agents.get_mut(id));
        let empty = known.is_none_or(|agent| {
            agent.cordoned = true;
            agent.slots.is_empty()
        });
        log::info!(host:%, what:?, empty; "an operation on a host begins");
        // A wave limits how many hosts may be away, and decides by itself when each host is due.
        let is_due = empty && matches!(what, Purpose::Move(_));
        let operation = Operation {
            purpose: what,
            stage: Stage::Emptying,
            since: now,
            priority,
            begun_at: now,
            unanswered_at: None,
            name,
            agent,
        };
        self.hosts.operations.insert(host.clone(), operation);
        if is_due {
            self.hosts.line_up(now, host);
        }
    }

    pub(super) fn send_host_orders(&mut self, now: Now) {
        for host in self.hosts.orders.take_recorded() {
            let operation = self.hosts.operations.get(&host);
            let Some(operation) = operation.filter(|o| o.stage == Stage::Recorded) else {
                continue;
            };
            let what = operation.purpose.clone();
            let agent = operation.agent.as_ref();
            let agent = agent.and_then(|id| self.agents.get(id));
            let ends = agent.map_or(0, |agent| agent.slots.len());
            let id = agent.map_or("", |agent| &*agent.record.id);
            log::info!(order = self.last_order + 1, host:%, agent = id, what:?, ends; "an order about a host is sent");
            let order = match what {
                Purpose::Maintain(wave) => OrderKind::Maintain {
                    host: host.clone(),
                    wave,
                },
                Purpose::Move(pool) => OrderKind::Move {
                    host: host.clone(),
                    pool,
                },
            };
            let order = self.send_order(now, About::Operation(host.clone()), order);
            if let Some(operation) = self.hosts.operations.get_mut(&host) {
                operation.stage = Stage::Ordered(order);
                operation.since = now;
            }
        }
    }

    /// Handles that an order about a host was carried out, which ended its agent.
    ///
    /// The provider also answers so if an earlier leader had the same order carried out; it then
    /// does nothing. If that is possible and attempts are placed at the agent, a list has to
    /// confirm that the agent terminated. Until then the attempts count as away.
    fn end_ordered_agent(&mut self, host: &HostId) {
        let Some(Operation {
            purpose: what,
            agent,
            ..
        }) = self.hosts.operations.get(host)
        else {
            return;
        };
        let Some(id) = agent.clone() else {
            return;
        };
        // A host that is already in its target pool isn't moved.
        let before = match what {
            Purpose::Maintain(_) => self.intents.is_inherited(host),
            Purpose::Move(_) => false,
        };
        match self.agents.get_mut(&id) {
            Some(agent) if before && !agent.slots.is_empty() => agent.evicting = true,
            _ => drop(self.terminated.insert(id)),
        }
    }

    /// Takes in the answer to an order about a host.
    pub(super) fn take_host_answer(
        &mut self,
        now: Now,
        order: OrderId,
        host: &HostId,
        answer: &Answer,
    ) {
        let Some(operation) = self.hosts.operations.get_mut(host) else {
            return;
        };
        if operation.stage != Stage::Ordered(order) {
            return;
        }
        let took = now.saturating_sub(operation.since);
        log::info!(order, host:%, answer:?, took:?; "an order about a host was answered");
        match answer {
            Answer::Done { .. } => {
                operation.stage = Stage::Away;
                operation.since = now;
                self.hosts.orders.answered(host);
                if let Purpose::Maintain(wave) = operation.purpose {
                    self.maintained.insert((wave, host.clone()));
                }
                self.end_ordered_agent(host);
            }
            // An order that got no answer may have been carried out; repeating it shows whether it
            // was, if the same agent is still there.
            Answer::Silent
            | Answer::Refused {
                why: Refusal::Throttled,
                ..
            } => {
                if matches!(answer, Answer::Silent) {
                    operation.unanswered_at = Some(now);
                }
                self.hosts.line_up(now + HOST_RETRY_DELAY, host);
            }
            _ => {
                log::info!(host:%, what:? = operation.purpose, answer:?; "an order about a host was refused");
                self.hosts.refused_at.insert(host.clone(), now);
                if let (
                    Purpose::Maintain(wave),
                    Answer::Refused {
                        why: Refusal::NotInWave | Refusal::Invalid,
                        ..
                    },
                ) = (&operation.purpose, answer)
                {
                    self.maintained.insert((*wave, host.clone()));
                }
                self.end_operation(now, host);
            }
        }
    }
}
