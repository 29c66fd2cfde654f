//! Control nodes that carry the leader's orders to agents.
//!
//! One node leads, and with a thousand agents nearly all of its processor went into the exchanges with
//! them while its peers idled. So the leader only decides: an order to an agent goes to a *relay*,
//! another control node, which has the exchange and sends back what came of it. What is decided in one
//! turn goes to each relay in one message, and so does what was answered in one turn of the relay. The
//! relay of an agent stands in the agent's data centre where there is one, so that the exchange crosses
//! no border.
//!
//! # What keeps it safe
//!
//! A relay decides nothing and repeats nothing, so that an order through it is an order that may be
//! late, or be lost, or whose answer may be, as any order to an agent may. The scheduler reckons with
//! all of these. An order that a relay carries out late, because it stood still meanwhile, meets what
//! any late order meets at its agent: the number of a later term, the number of a later attempt, or the
//! end of the lease that it carries. A relay that knows of a later term carries out nothing for an
//! earlier leader.
//!
//! What a relay hasn't answered in time got no answer, and it isn't trusted for a while. The leader
//! then carries out the orders of its share by itself, and so it does for an agent whose last order
//! through a relay got no answer: the way to it may be open from here.
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
//! relays.set(vec![east, (2, "west".into())]);
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
//! // While the leader has time it does all by itself.
//! assert_eq!(relays.choose(now, 0.0, &what), None);
//! ```

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use crate::core::{
    types::{DataCentreId, Map, NodeId, Now, Set},
    workload::scheduler::{Order, OrderId, OrderKind},
};

/// What is added to the time that an exchange with an agent may take, for the two ways through the
/// mesh and a turn at each end of them: a full relay's turns take up to 20 ms.
const WAYS: Duration = Duration::from_millis(300);
/// How long a relay isn't trusted the first time that it leaves an order unanswered: longer than a
/// link that went silent takes to be dialled anew. Doubles each time up to eight times that.
const DISTRUST: Duration = Duration::from_secs(2);
/// How many numbers addresses are spread over.
const NUMBERS: u32 = 1 << 16;
/// A relay that answered for so long after it was trusted again starts anew.
const PROVEN: Duration = Duration::from_secs(20);

/// A relay that left orders unanswered.
#[derive(Clone, Copy, Debug)]
struct Distrust {
    until: Now,
    /// How often in a row.
    times: u32,
}

/// An order that is under way through a relay.
#[derive(Clone, Copy, Debug)]
struct Carried {
    relay: NodeId,
    /// The agent's address.
    to: SocketAddr,
    due: Now,
}

/// The relays of a leader, and what they carry.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    /// The nodes that carry, in order.
    nodes: Vec<(NodeId, DataCentreId)>,
    distrusted: Map<NodeId, Distrust>,
    carried: Map<OrderId, Carried>,
    agenda: BTreeSet<(Now, OrderId)>,
    /// What each relay is to carry next.
    batches: Map<NodeId, Vec<Order>>,
    /// Agents whose last order through a relay got no answer.
    unreached: Set<SocketAddr>,
    /// Orders to those that went out from here.
    here: Map<OrderId, SocketAddr>,
}

impl Relays {
    /// These nodes carry from now on.
    pub fn set(&mut self, mut nodes: Vec<(NodeId, DataCentreId)>) {
        nodes.sort_unstable();
        self.nodes = nodes;
    }

    /// This node leads anew; nothing that was carried before is waited for.
    pub fn begin(&mut self) {
        let nodes = std::mem::take(&mut self.nodes);
        *self = Self {
            nodes,
            ..Self::default()
        };
    }

    /// The relay for an order, if it is to an agent whose orders are among the `share` that others carry,
    /// and one is trusted.
    pub fn choose(&self, now: Now, share: f64, what: &OrderKind) -> Option<NodeId> {
        let to = what.target()?;
        let number = number(to.address);
        if f64::from(number) >= share * f64::from(NUMBERS) || self.unreached.contains(&to.address) {
            return None;
        }
        let trusted = || {
            let nodes = self.nodes.iter();
            nodes.filter(|(node, _)| self.is_trusted(now, *node))
        };
        let near = || trusted().filter(|(_, centre)| *centre == to.data_centre);
        let place = |count: usize| usize::try_from(number).unwrap_or_default() % count.max(1);
        let nearest = near().nth(place(near().count()));
        let any = || trusted().nth(place(trusted().count()));
        nearest.or_else(any).map(|(node, _)| *node)
    }

    /// Has a relay carry an order to an agent, whose exchange takes so long at most.
    pub fn carry(&mut self, now: Now, relay: NodeId, exchange: Duration, order: Order) {
        let Some(to) = order.kind.target().map(|to| to.address) else {
            return;
        };
        let due = now + order.kind.wait() + exchange + WAYS;
        self.agenda.insert((due, order.id));
        self.carried.insert(order.id, Carried { relay, to, due });
        self.batches.entry(relay).or_default().push(order);
    }

    /// What is to be sent to each relay.
    pub fn take_batches(&mut self) -> Vec<(NodeId, Vec<Order>)> {
        let mut batches: Vec<_> = self.batches.drain().collect();
        batches.sort_unstable_by_key(|(relay, _)| *relay);
        batches
    }

    /// A relay answered an order; whether that is still waited for. `reached` says whether the agent
    /// answered the relay.
    pub fn answered(&mut self, relay: NodeId, order: OrderId, reached: bool) -> bool {
        let Some(carried) = self.carried.get(&order).copied() else {
            return false;
        };
        if carried.relay != relay {
            return false;
        }
        self.carried.remove(&order);
        self.agenda.remove(&(carried.due, order));
        if !reached {
            self.unreached.insert(carried.to);
        }
        true
    }

    /// An order to an agent that its relay doesn't reach goes out from here.
    pub fn send_here(&mut self, order: &Order) {
        let to = order.kind.target().map(|to| to.address);
        if let Some(to) = to.filter(|to| self.unreached.contains(to)) {
            self.here.insert(order.id, to);
        }
    }

    /// An order that went out from here was answered, or not; if so, the agent's next one may go through
    /// its relay again.
    pub fn answered_here(&mut self, order: OrderId, reached: bool) {
        let to = self.here.remove(&order);
        if let Some(to) = to.filter(|_| reached) {
            self.unreached.remove(&to);
        }
    }

    /// The orders that their relays have left unanswered for too long. Whoever left one unanswered is
    /// not trusted, and all that it carries got no answer.
    pub fn expire(&mut self, now: Now) -> Vec<OrderId> {
        let mut late = Set::default();
        while let Some((due, order)) = self.agenda.first().copied() {
            if now < due {
                break;
            }
            self.agenda.pop_first();
            if let Some(carried) = self.carried.get(&order) {
                late.insert(carried.relay);
            }
        }
        if late.is_empty() {
            return Vec::new();
        }
        for relay in &late {
            self.distrust(now, *relay);
        }
        let lost = self.carried.iter();
        let lost = lost.filter(|(_, carried)| late.contains(&carried.relay));
        let mut lost: Vec<_> = lost.map(|(order, _)| *order).collect();
        lost.sort_unstable();
        for order in &lost {
            if let Some(carried) = self.carried.remove(order) {
                self.agenda.remove(&(carried.due, *order));
            }
        }
        lost
    }

    /// Doesn't trust a relay for a while.
    pub fn distrust(&mut self, now: Now, relay: NodeId) {
        let before = self.distrusted.get(&relay);
        let recent = before.filter(|before| now < before.until + PROVEN);
        let times = recent.map_or(0, |before| before.times + 1);
        let until = now + DISTRUST * 2_u32.pow(times.min(3));
        log::warn!(relay; "a control node left orders unanswered; others carry its share");
        self.distrusted.insert(relay, Distrust { until, times });
        self.batches.remove(&relay);
    }

    fn is_trusted(&self, now: Now, relay: NodeId) -> bool {
        let distrust = self.distrusted.get(&relay);
        distrust.is_none_or(|distrust| now >= distrust.until)
    }
}

/// A number below [`NUMBERS`] that spreads addresses evenly, the same in every process.
fn number(address: SocketAddr) -> u32 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u32::from(ip),
        // The last group differs between the hosts of a network.
        IpAddr::V6(ip) => u32::from(ip.segments()[7]),
    };
    let mixed = ip.wrapping_add(u32::from(address.port()));
    // Fibonacci hashing; neighbours end up far apart.
    mixed.wrapping_mul(0x9e37_79b9) >> 16
}
