//! Which other data centre takes a request when this one has no minion left for its service.
//!
//! Each node tells, once a second, one node of each other data centre which services its own
//! minions serve, a different one each time; so the cost doesn't grow with the square of the
//! nodes. What is offered holds for every node of the offering data centre, since they share its
//! minions, and expires when the data centre is cut off.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::core::types::{DataCentreId, NodeId, Now, ServiceId};

/// How often a node tells what its data centre serves.
pub const OFFER_EVERY: Duration = Duration::from_secs(1);
/// An offer not renewed for this long, plus [`OFFER_EVERY`] for each node here, is void.
const OFFER_LIFE: Duration = Duration::from_secs(2);
/// A node that couldn't be reached is not tried again for this long.
const SHUN: Duration = Duration::from_secs(2);

/// What a data centre serves.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Offer {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Services with minions there that take work, in order.
    pub services: Vec<ServiceId>,
}

/// The offers of other data centres, as this node knows them.
#[derive(Clone, Debug, Default)]
pub struct Offers {
    /// Nodes of each other data centre, in order.
    nodes: BTreeMap<DataCentreId, Vec<NodeId>>,
    offers: BTreeMap<DataCentreId, (Now, Offer)>,
    shunned: BTreeMap<NodeId, Now>,
    life: Duration,
    rounds: usize,
}

impl Offers {
    /// Learns the nodes of the firm; `own` is the data centre of this one.
    pub fn set_nodes(&mut self, own: &DataCentreId, nodes: &[(NodeId, DataCentreId)]) {
        self.nodes.clear();
        for (node, centre) in nodes.iter().filter(|(_, centre)| centre != own) {
            self.nodes.entry(centre.clone()).or_default().push(*node);
        }
        let here = nodes.iter().filter(|(_, centre)| centre == own).count();
        self.life = OFFER_LIFE + OFFER_EVERY * here as u32;
        self.offers
            .retain(|centre, _| self.nodes.contains_key(centre));
    }

    /// Takes in an offer.
    pub fn hear(&mut self, now: Now, offer: Offer) {
        if self.nodes.contains_key(&offer.data_centre) {
            self.offers.insert(offer.data_centre.clone(), (now, offer));
        }
    }

    /// The nodes to tell this time, one of each other data centre. `turn` differs between the
    /// nodes of a data centre, so that together they reach all.
    pub fn audience(&mut self, turn: usize) -> Vec<NodeId> {
        self.rounds += 1;
        let place = self.rounds + turn;
        self.nodes.values().map(|n| n[place % n.len()]).collect()
    }

    /// Remembers that a node couldn't be reached.
    pub fn shun(&mut self, now: Now, node: NodeId) {
        self.shunned.retain(|_, until| *until > now);
        self.shunned.insert(node, now + SHUN);
    }

    /// A node of another data centre that serves `service`, not among those that failed.
    ///
    /// One that couldn't be reached lately is taken only if there is no other: a single slip of
    /// the only node would otherwise refuse every request for as long as it is shunned, though
    /// trying it again costs nothing but the try.
    pub fn choose<R: Rng>(
        &self,
        now: Now,
        service: &ServiceId,
        failed: &[NodeId],
        rng: &mut R,
    ) -> Option<NodeId> {
        let offering: Vec<NodeId> = self
            .offers
            .values()
            .filter(|(heard, offer)| now < *heard + self.life && offer.services.contains(service))
            .flat_map(|(_, offer)| self.nodes.get(&offer.data_centre))
            .flatten()
            .copied()
            .filter(|n| !failed.contains(n))
            .collect();
        let reachable = |n: &NodeId| self.shunned.get(n).is_none_or(|u| *u <= now);
        let reached: Vec<NodeId> = offering.iter().copied().filter(reachable).collect();
        let candidates = if reached.is_empty() {
            offering
        } else {
            reached
        };
        match candidates.len() {
            0 => None,
            len => Some(candidates[rng.random_range(0..len)]),
        }
    }
}
