//! What is known about the hosts.
//!
//! Decides when the provider's list of hosts is queried, and what a list says about each host and
//! its agent. Which hosts are maintained or moved is decided by the modules for waves and for the
//! balance of pools; how that is carried out, by the module for operations.

use std::{collections::BTreeMap, time::Duration};

use super::{
    About, Agent, Answer, HostState, HostView, Name, Now, OrderKind, PoolId, Scheduler, Wall,
    balance::{HostCounts, POOL_CHECK_DELAY},
    demand::Demand,
    forecast::Surges,
    host_orders::{HostOrders, OrderLimits},
    operations::{Operation, Stage},
    presence::Presence,
};
use crate::core::{
    types::{HostId, WaveId},
    workload::ledger::Ledger,
};

/// Delay between lists of the hosts while a decision depends on the next one, and otherwise. Each
/// list costs.
const LIST_DELAY: (Duration, Duration) = (Duration::from_millis(900), Duration::from_secs(4));
/// A list that was asked for at least this long after an order shows the order's result.
pub(super) const SETTLE_DELAY: Duration = Duration::from_millis(300);
/// Delay between checks of operations and waves, of an idle leader and of a full one. A busy leader plans
/// a thousand times a second, and a check visits each host of a wave and all that runs there. The longer
/// delay is a thirtieth of what a maintenance takes.
const OPERATION_CHECK_DELAY: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(100));

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
    /// How many hosts each pool should have now, as of the last check. They sum to no more
    /// than the hosts that there are.
    pub(super) targets: HostCounts,
    /// How many hosts the pools need beyond those that there are, as of the last check; 0 unless a
    /// scarce fleet is allocated.
    pub(super) missing: usize,
    /// When the pools last needed more hosts than there are.
    pub(super) scarce_at: Option<Now>,
    /// Hosts that each pool has beyond what it should keep, as of the last check.
    pub(super) surplus: HostCounts,
    pub(super) waves: BTreeMap<WaveId, WaveTimes>,
    pub(super) surges: Surges,
    pub(super) balanced_at: Now,
    /// When operations and waves were last checked.
    checked_at: Now,
    /// When the needs of the pools were last logged.
    pub(super) logged_at: Now,
    /// How many tasks of each pool were placed since then.
    pub(super) starts: BTreeMap<PoolId, usize>,
}

impl Hosts {
    pub(super) fn new(limits: OrderLimits) -> Self {
        Self {
            orders: HostOrders::new(limits),
            ..Self::default()
        }
    }

    /// Whether the lists show that an agent that was present at `since` has terminated. `home` is
    /// its host, if one is known.
    pub(super) fn is_terminated(&self, home: Option<&HostId>, name: &Name, since: Now) -> bool {
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

impl Scheduler {
    /// Decides what is done with the hosts.
    pub(super) fn manage_hosts(&mut self, now: Now, wall: Wall, ledger: &Ledger) {
        self.query_hosts(now, ledger);
        if self.hosts.listed_at.is_none() || self.intents.is_blind(now) {
            return;
        }
        let (idle, full) = OPERATION_CHECK_DELAY;
        let delay = idle + (full - idle).mul_f64(self.pressure.level());
        if now >= self.hosts.checked_at + delay {
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

    /// The agent of a host, if it is known.
    pub(super) fn agent_at(&self, view: &HostView) -> Option<&Agent> {
        self.agents.current(view.agent.as_ref()?)
    }

    /// Whether an order about a host was refused so recently that the next one would be, too.
    pub(super) fn was_refused(&self, now: Now, host: &HostId) -> bool {
        let refused = self.hosts.refused_at.get(host);
        refused.is_some_and(|at| now < *at + LIST_DELAY.0)
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
