//! Control nodes that execute the leader's orders to agents.
//!
//! One node leads. With a thousand agents, nearly all of its processor time went into the exchanges
//! with them while the other control nodes were idle. So the leader only decides. It passes an
//! order to an agent on to a *relay*, another control node, which does the exchange and returns the
//! answer. All orders that one turn of the leader decides for a relay travel in one message, and so
//! do all answers of one turn of the relay. If possible, the relay of an agent is in the agent's
//! data centre, so that the exchange doesn't cross between data centres.
//!
//! # Safety
//!
//! A relay decides nothing and retries nothing. An order through a relay can be late or lost, and
//! so can its answer, but the same is true of any order to an agent, and the scheduler takes all of
//! these cases into account. A relay that was suspended may execute an order late. The agent
//! handles it as any late order: it compares the term and the attempt number with later ones that
//! it has seen, and checks the end of the lease that the order carries. A relay that knows of a
//! later term executes nothing for an earlier leader.
//!
//! # Failures
//!
//! An order that a relay hasn't answered in time counts as unanswered, and the relay isn't trusted
//! for a while. Other relays or the leader itself execute its share meanwhile. The leader also
//! executes the orders to an agent whose last order through a relay got no answer, since it may
//! reach the agent where the relay can't.
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::{
//!     core::workload::{
//!         job::TaskId,
//!         scheduler::{OrderKind, Target},
//!     },
//!     manager::relays::Relays,
//! };
//!
//! let mut relays = Relays::default();
//! let east = (1, "east".into());
//! relays.set_nodes(vec![east, (2, "west".into())]);
//! let now = Duration::from_secs(1);
//! let what = OrderKind::Stop {
//!     to: Target {
//!         agent: "a".into(),
//!         address: ([10, 0, 0, 7], 80).into(),
//!         data_centre: "west".into(),
//!     },
//!     task: TaskId::parse("0000000000000001.0.0.0").expect("a task"),
//!     attempt: 1,
//! };
//! assert_eq!(relays.choose(now, 1.0, &what), Some(2));
//! relays.distrust(now, 2);
//! assert_eq!(relays.choose(now, 1.0, &what), Some(1));
//! // While the leader has time to spare, it executes all orders itself.
//! assert_eq!(relays.choose(now, 0.0, &what), None);
//! ```

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use crate::core::{
    types::{DataCentreId, Map, NodeId, Now, Set},
    workload::scheduler::{Order, OrderId, OrderKind, OverdueRenewals},
};

/// Added to the time limit of an exchange with an agent, for both ways through the mesh and a turn
/// at each end. The turns of a fully loaded relay take up to 20 ms.
const MESH_ALLOWANCE: Duration = Duration::from_millis(300);
/// How long a relay isn't trusted after it first leaves an order unanswered. Longer than it takes
/// to redial a silent link. Doubles with each repetition up to eight times this value.
const DISTRUST_BASE: Duration = Duration::from_secs(2);
/// Number of buckets that agents' addresses are spread over.
const BUCKETS: u32 = 1 << 16;
/// A relay that answers for this long after it is trusted again starts with no failures.
const PROBATION: Duration = Duration::from_secs(20);

/// A relay that left orders unanswered.
#[derive(Clone, Copy, Debug)]
struct Distrust {
    until: Now,
    /// Consecutive failures before this one.
    failures: u32,
}

/// An order that a relay is executing.
#[derive(Clone, Copy, Debug)]
struct RelayedOrder {
    relay: NodeId,
    /// The agent's address.
    address: SocketAddr,
    due: Now,
}

/// The relays of a leader and their orders.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    /// The nodes that execute orders as relays, sorted.
    nodes: Vec<(NodeId, DataCentreId)>,
    distrusted: Map<NodeId, Distrust>,
    in_flight: Map<OrderId, RelayedOrder>,
    deadlines: BTreeSet<(Now, OrderId)>,
    /// The orders to send to each relay next.
    batches: Map<NodeId, Vec<Order>>,
    /// Addresses of agents whose last order through a relay got no answer.
    unreached: Set<SocketAddr>,
    /// Orders to such agents that the leader executes itself.
    direct: Map<OrderId, SocketAddr>,
}

impl Relays {
    /// Replaces the nodes that execute orders as relays.
    pub fn set_nodes(&mut self, mut nodes: Vec<(NodeId, DataCentreId)>) {
        nodes.sort_unstable();
        self.nodes = nodes;
    }

    /// Resets the state when this node becomes leader again. Earlier orders aren't waited for.
    pub fn reset(&mut self) {
        let nodes = std::mem::take(&mut self.nodes);
        *self = Self {
            nodes,
            ..Self::default()
        };
    }

    /// Returns the relay for an order. Returns `None` if the leader should execute it: the order
    /// isn't to an agent, the agent isn't in the `share` of agents that relays serve, or no relay
    /// is trusted or reaches the agent.
    pub fn choose(&self, now: Now, share: f64, what: &OrderKind) -> Option<NodeId> {
        let to = what.target()?;
        let bucket = bucket(to.address);
        if f64::from(bucket) >= share * f64::from(BUCKETS) || self.unreached.contains(&to.address) {
            return None;
        }
        let trusted = || {
            let nodes = self.nodes.iter();
            nodes.filter(|(node, _)| self.is_trusted(now, *node))
        };
        let near = || trusted().filter(|(_, centre)| *centre == to.data_centre);
        let place = |count: usize| usize::try_from(bucket).unwrap_or_default() % count.max(1);
        let nearest = near().nth(place(near().count()));
        let any = || trusted().nth(place(trusted().count()));
        nearest.or_else(any).map(|(node, _)| *node)
    }

    /// Assigns an order to a relay. `exchange` is the time limit of the relay's exchange with the
    /// agent.
    pub fn assign(&mut self, now: Now, relay: NodeId, exchange: Duration, order: Order) {
        let Some(address) = order.kind.target().map(|to| to.address) else {
            return;
        };
        let due = now + order.kind.wait() + exchange + MESH_ALLOWANCE;
        self.deadlines.insert((due, order.id));
        self.in_flight.insert(
            order.id,
            RelayedOrder {
                relay,
                address,
                due,
            },
        );
        self.batches.entry(relay).or_default().push(order);
    }

    /// Takes the orders to send to each relay.
    pub fn take_batches(&mut self) -> Vec<(NodeId, Vec<Order>)> {
        let mut batches: Vec<_> = self.batches.drain().collect();
        batches.sort_unstable_by_key(|(relay, _)| *relay);
        batches
    }

    /// Records a relay's answer to an order. Returns whether the answer is still waited for.
    /// `reached` says whether the agent answered the relay.
    pub fn record_answer(&mut self, relay: NodeId, order: OrderId, reached: bool) -> bool {
        let Some(carried) = self.in_flight.get(&order).copied() else {
            return false;
        };
        if carried.relay != relay {
            return false;
        }
        self.in_flight.remove(&order);
        self.deadlines.remove(&(carried.due, order));
        if !reached {
            self.unreached.insert(carried.address);
        }
        true
    }

    /// The relay that an order without an answer was assigned to, if any.
    pub fn carrier(&self, order: OrderId) -> Option<NodeId> {
        self.in_flight.get(&order).map(|carried| carried.relay)
    }

    /// Logs the agents whose renewals are overdue.
    pub(super) fn log_overdue(&self, overdue: &OverdueRenewals) {
        let OverdueRenewals {
            running,
            overdue,
            agents,
            failing,
            agent,
            age,
            pending,
            unanswered,
        } = overdue;
        let (order, pending) = pending.unzip();
        let relay = order.and_then(|order| self.carrier(order));
        log::warn!(running, overdue, agents, failing, agent:%, age:?, order, pending:?, unanswered:?, relay; "leases of agents with long-running tasks aren't renewed");
    }

    /// Records that the leader executes an order to an agent that its relay doesn't reach.
    pub fn record_direct(&mut self, order: &Order) {
        let to = order.kind.target().map(|to| to.address);
        if let Some(to) = to.filter(|to| self.unreached.contains(to)) {
            self.direct.insert(order.id, to);
        }
    }

    /// Records the outcome of an order that the leader executed itself. If the agent answered, its
    /// next order may go through its relay again.
    pub fn record_direct_answer(&mut self, order: OrderId, reached: bool) {
        let to = self.direct.remove(&order);
        if let Some(to) = to.filter(|_| reached) {
            self.unreached.remove(&to);
        }
    }

    /// Returns the orders that their relays left unanswered for too long. Such a relay isn't
    /// trusted for a while, and all other orders that it has count as unanswered as well.
    pub fn expire(&mut self, now: Now) -> Vec<OrderId> {
        let mut late = Set::default();
        while let Some((due, order)) = self.deadlines.first().copied() {
            if now < due {
                break;
            }
            self.deadlines.pop_first();
            if let Some(carried) = self.in_flight.get(&order) {
                late.insert(carried.relay);
            }
        }
        if late.is_empty() {
            return Vec::new();
        }
        for relay in &late {
            self.distrust(now, *relay);
        }
        let lost = self.in_flight.iter();
        let lost = lost.filter(|(_, carried)| late.contains(&carried.relay));
        let mut lost: Vec<_> = lost.map(|(order, _)| *order).collect();
        lost.sort_unstable();
        for order in &lost {
            if let Some(carried) = self.in_flight.remove(order) {
                self.deadlines.remove(&(carried.due, *order));
            }
        }
        lost
    }

    /// Stops using a relay for a while.
    pub fn distrust(&mut self, now: Now, relay: NodeId) {
        let before = self.distrusted.get(&relay);
        let recent = before.filter(|before| now < before.until + PROBATION);
        let failures = recent.map_or(0, |before| before.failures + 1);
        let until = now + DISTRUST_BASE * 2_u32.pow(failures.min(3));
        log::warn!(relay; "a relay left orders unanswered; it isn't used for a while");
        self.distrusted.insert(relay, Distrust { until, failures });
        self.batches.remove(&relay);
    }

    fn is_trusted(&self, now: Now, relay: NodeId) -> bool {
        let distrust = self.distrusted.get(&relay);
        distrust.is_none_or(|distrust| now >= distrust.until)
    }
}

/// Maps an address to a bucket below [`BUCKETS`]. Spreads addresses evenly and is the same in every
/// process.
fn bucket(address: SocketAddr) -> u32 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u32::from(ip),
        // The last group differs between the hosts of a network.
        IpAddr::V6(ip) => u32::from(ip.segments()[7]),
    };
    let mixed = ip.wrapping_add(u32::from(address.port()));
    // Fibonacci hashing spreads neighbouring addresses far apart.
    mixed.wrapping_mul(0x9e37_79b9) >> 16
}
