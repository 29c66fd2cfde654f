//! Carries out what is done with hosts: their maintenance and their moves between pools.
//!
//! Decides when the provider's list of hosts is queried, what an answer or a list says about each
//! host and its agent, and when an order about a host is sent. Which hosts are chosen is decided by
//! the modules for waves and for the balance of pools.
//!
//! An order about a host ends everything that runs there, so a host gets one only when its agent is
//! empty. Until then the agent is *cordoned*: it gets no new work, its batch tasks finish by
//! themselves, and its long-running tasks are stopped and placed elsewhere as far as the budget of
//! their step allows.

use std::{collections::BTreeMap, time::Duration};

use super::{
    About, Agent, Answer, HostState, HostView, MinionId, Name, Now, OrderId, OrderKind, PoolId,
    Refusal, Scheduler, Wall,
    balance::{HostCounts, POOL_CHECK_DELAY},
    demand::Demand,
    forecast::Surges,
    host_orders::{HostOrders, OrderLimits, Priority},
    presence::Presence,
};
use crate::core::{
    types::{HostId, WaveId},
    workload::ledger::Ledger,
};

/// Delay between lists of the hosts while a decision depends on the next one, and otherwise. Each
/// list costs.
const LIST_DELAY: (Duration, Duration) = (Duration::from_millis(900), Duration::from_secs(4));
/// Delay from an order that got no answer, or was refused because there were too many, to the next
/// try.
const HOST_RETRY_DELAY: Duration = Duration::from_millis(400);
/// A list that was asked for at least this long after an order shows the order's result.
const SETTLE_DELAY: Duration = Duration::from_millis(300);
/// Delay between checks of operations and waves. A busy leader plans a thousand times a second, and
/// a check visits each host of a wave. This delay is a hundredth of what a maintenance takes, so it
/// delays none.
const OPERATION_CHECK_DELAY: Duration = Duration::from_millis(20);

/// What is known about the hosts, and what is being done with them.
#[derive(Clone, Debug, Default)]
pub(super) struct Hosts {
    pub(super) views: BTreeMap<HostId, HostView>,
    /// Which hosts and which agents the recent lists contained.
    pub(super) presence: Presence<HostId>,
    agents: Presence<Name>,
    /// Whether an agent that doesn't answer was missing from the last list, so that the next list
    /// decides.
    agent_missing: bool,
    /// Whether an agent has appeared since the last list was asked for.
    pub(super) new_agent: bool,
    /// When the last list that was answered was asked for.
    pub(super) listed_at: Option<Now>,
    /// When the last list was asked for, and whether its answer is outstanding.
    asked_at: Option<Now>,
    list_pending: bool,
    pub(super) operations: BTreeMap<HostId, Operation>,
    pub(super) orders: HostOrders,
    /// When an order about each host was last refused.
    pub(super) refused_at: BTreeMap<HostId, Now>,
    pub(super) demands: BTreeMap<PoolId, Demand>,
    /// Hosts that each pool has beyond what it should keep, as of the last check.
    pub(super) surplus: HostCounts,
    pub(super) waves: BTreeMap<WaveId, WaveTimes>,
    pub(super) surges: Surges,
    pub(super) balanced_at: Now,
    /// When operations and waves were last checked.
    checked_at: Now,
    /// When the needs of the pools were last logged.
    pub(super) logged_at: Now,
}

impl Hosts {
    pub(super) fn new(limits: OrderLimits) -> Self {
        Self {
            orders: HostOrders::new(limits),
            ..Self::default()
        }
    }

    /// Puts the order of an operation into the line, from `due` on.
    pub(super) fn line_up(&mut self, due: Now, host: &HostId) {
        if let Some(operation) = self.operations.get_mut(host) {
            operation.stage = Stage::Due;
            operation.since = due;
            self.orders.push(operation.priority, due, host);
        }
    }

    /// Whether the lists show that an agent that was present at `since` has terminated. `home` is
    /// its host, if one is known.
    fn is_terminated(&self, home: Option<&HostId>, name: &Name, since: Now) -> bool {
        match home.and_then(|host| self.views.get(host)) {
            Some(view) if view.state == HostState::Unknown => false,
            // The list states explicitly what its host does now.
            Some(view) => view.agent.as_ref() != Some(name) || view.state != HostState::Up,
            None => self.agents.is_absent(name, since),
        }
    }
}

/// The times of a wave, by the leader's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaveTimes {
    /// Since when this leader handles it.
    pub(super) since: Now,
    /// By when all its hosts have to be maintained.
    pub(super) due: Now,
}

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

impl Scheduler {
    /// Decides what is done with the hosts.
    pub(super) fn manage_hosts(&mut self, now: Now, wall: Wall, ledger: &Ledger) {
        self.query_hosts(now, ledger);
        if self.hosts.listed_at.is_none() || self.intents.is_blind(now) {
            return;
        }
        if now >= self.hosts.checked_at + OPERATION_CHECK_DELAY {
            self.hosts.checked_at = now;
            self.check_operations(now, wall, ledger);
        }
        if now >= self.hosts.balanced_at + POOL_CHECK_DELAY {
            let span = now.saturating_sub(self.hosts.balanced_at);
            self.hosts.balanced_at = now;
            self.balance(now, span, ledger);
        }
        self.send_host_orders(now);
    }

    /// Decides the next step for the hosts of waves, and checks how far other operations are.
    fn check_operations(&mut self, now: Now, wall: Wall, ledger: &Ledger) {
        self.end_finished_operations(now);
        for wave in ledger.waves() {
            if !wave.remaining.is_empty() {
                self.advance_wave(now, wall, ledger, wave);
            }
        }
        self.stop_long_running(now, ledger);
    }

    pub(super) fn query_hosts(&mut self, now: Now, ledger: &Ledger) {
        let early = self
            .hosts
            .asked_at
            .is_some_and(|asked| now < asked + SETTLE_DELAY);
        if self.hosts.list_pending || early {
            return;
        }
        let doubted = self.agents.unresponsive().any(|agent| {
            !agent.slots.is_empty()
                && agent
                    .failing_since
                    .is_some_and(|since| now >= since + super::PROVIDER_QUERY_DELAY)
        });
        let busy = doubted
            || !self.hosts.operations.is_empty()
            || ledger.waves().any(|wave| !wave.remaining.is_empty());
        let mut operations = self.hosts.operations.values();
        let away = operations.any(|operation| operation.stage == Stage::Away);
        // With this shorter pause a host that is back is noticed a third of a second after its
        // agent instead of up to 0.9 s.
        let pressing = self.hosts.agent_missing || (self.hosts.new_agent && away);
        let pause = match (pressing, busy) {
            (true, _) => SETTLE_DELAY,
            (false, true) => LIST_DELAY.0,
            (false, false) => LIST_DELAY.1,
        };
        if self.hosts.asked_at.is_none_or(|asked| now >= asked + pause) {
            self.hosts.asked_at = Some(now);
            self.hosts.list_pending = true;
            self.hosts.new_agent = false;
            self.send_order(now, About::Hosts, OrderKind::Hosts);
        }
    }

    /// Takes in the provider's answer to a query of the hosts, or that there was none.
    pub(super) fn take_host_list(&mut self, now: Now, sent: Now, answer: Answer) {
        self.hosts.list_pending = false;
        let Answer::Hosts(views) = answer else {
            return;
        };
        self.hosts.listed_at = Some(sent);
        let hosts = views.iter().map(|view| view.host.clone());
        self.hosts.presence.record(sent, hosts);
        let agents = views.iter().filter_map(|view| view.agent.clone());
        self.hosts.agents.record(sent, agents);
        for view in &views {
            let agent = view
                .agent
                .as_ref()
                .and_then(|name| self.agents.current(name));
            let id = agent.map(|agent| agent.record.id.clone());
            if let Some(agent) = id.and_then(|id| self.agents.get_mut(&id)) {
                agent.host = Some(view.host.clone());
            }
        }
        self.hosts.views = by_host(views);
        self.find_terminated(sent);
        self.settle_ordered(now, sent);
    }

    /// Decides from the list what became of hosts whose order was carried out: either their agent
    /// has terminated, or the order did nothing and the agent goes on.
    fn settle_ordered(&mut self, now: Now, sent: Now) {
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

    /// Decides from the list which agents that don't answer have terminated.
    fn find_terminated(&mut self, sent: Now) {
        self.hosts.agent_missing = false;
        for (id, agent) in self.agents.iter() {
            // A list from before the agent stopped answering says nothing about that. A list may
            // also be older than an agent that has yet to answer and has no placed attempts.
            let new = agent.unconfirmed && agent.slots.is_empty();
            let Some(since) = agent.failing_since.filter(|since| !new && sent >= *since) else {
                continue;
            };
            let name = agent.record.name();
            if self.hosts.is_terminated(agent.host.as_ref(), name, since) {
                log::info!(agent:% = id; "the provider's list shows that an agent has terminated");
                self.terminated.insert(id.clone());
            } else {
                self.hosts.agent_missing |= self.hosts.agents.is_missing(name, since);
            }
        }
    }

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

    /// The agent of a host, if it is known.
    pub(super) fn agent_at(&self, view: &HostView) -> Option<&Agent> {
        self.agents.current(view.agent.as_ref()?)
    }

    /// Whether an order about a host was refused so recently that the next one would be, too.
    pub(super) fn was_refused(&self, now: Now, host: &HostId) -> bool {
        let refused = self.hosts.refused_at.get(host);
        refused.is_some_and(|at| now < *at + LIST_DELAY.0)
    }

    pub(super) fn end_operation(&mut self, now: Now, host: &HostId) {
        let Some(operation) = self.hosts.operations.remove(host) else {
            return;
        };
        let Operation {
            priority, since, ..
        } = operation;
        self.hosts.orders.remove(priority, since, host);
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

/// The hosts by their ids. Of two entries for a host, a readable one goes before an unreadable one.
fn by_host(views: Vec<HostView>) -> BTreeMap<HostId, HostView> {
    let mut hosts = BTreeMap::new();
    for view in views {
        if view.state != HostState::Unknown || !hosts.contains_key(&view.host) {
            hosts.insert(view.host.clone(), view);
        }
    }
    hosts
}
