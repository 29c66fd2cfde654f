//! The moves of a preset change, computed before the switch.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use serde::{Deserialize, Serialize};

use crate::core::{
    fleet::budget::{Budgets, Room},
    types::{HostId, Map, PoolId, RackId, ServiceId},
};

use super::Work;

/// A host that is to change pools.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct Move {
    /// The host.
    pub host: HostId,
    /// The pool that it leaves.
    pub from: PoolId,
    /// The pool that it joins.
    pub to: PoolId,
}

/// A host as the planner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The host.
    pub host: HostId,
    /// The pool that it belongs to, or is already on its way to.
    pub pool: PoolId,
    /// Its rack.
    pub rack: RackId,
    /// Whether it may be chosen: not lost, and on no way already.
    pub free: bool,
    /// Whether it is drained already, so that moving it displaces nothing.
    pub empty: bool,
    /// Whether the running wave of its pool has maintained it, or none runs.
    pub maintained: bool,
    /// What runs on it.
    pub work: Work,
}

/// What a preset change will do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The moves, the cheapest first.
    pub moves: Vec<Move>,
    /// Jobs on the hosts to be moved, as last reported: those displaced at most.
    pub jobs: u32,
    /// Hosts that a pool will still lack, because no other has one to give.
    pub lacking: BTreeMap<PoolId, u32>,
    /// Services with minions on hosts to be moved, and how each will stand afterwards, if their
    /// minions there are lost and no others start.
    pub affected: Vec<Affected>,
}

/// What a plan does to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Affected {
    /// The service.
    pub service: ServiceId,
    /// Its minions on the hosts to be moved.
    pub minions: u32,
    /// How it stands now.
    pub room: Room,
}

/// Hosts a pool has of each rack. Looked up only, never iterated.
type Spread = Map<(PoolId, RackId), u32>;

impl Affected {
    /// Whether the moves fit the budget even if no minion starts elsewhere. If not, the moves wait
    /// until minions have started in the pools that remain.
    pub fn fits(&self) -> bool {
        self.room.spare() >= i64::from(self.minions)
    }
}

/// Computes the fewest moves that give each pool its target, and the cheapest hosts for them.
///
/// A pool without a target keeps what it has. A pool above its target gives hosts only as far as
/// another lacks them, so the number of moves is the smaller of what is spare and what is lacking.
/// Hosts are taken by, in this order: empty ones, least unsaved work (in powers of two, so that a
/// second more or less doesn't outweigh a better spread), maintained ones, the joining pool's
/// emptiest rack, the leaving pool's fullest rack, and the order given.
///
/// The cost is the number of moves times the number of hosts that are equal but for the racks.
pub fn plan(candidates: &[Candidate], targets: &BTreeMap<PoolId, u32>, budgets: &Budgets) -> Plan {
    let mut spread = Spread::default();
    let mut have: BTreeMap<&PoolId, u32> = BTreeMap::new();
    for c in candidates {
        *spread.entry((c.pool.clone(), c.rack.clone())).or_default() += 1;
        *have.entry(&c.pool).or_default() += 1;
    }
    let mut spare = BTreeMap::new();
    let mut lacking = BTreeMap::new();
    for (pool, target) in targets {
        let have = have.get(pool).copied().unwrap_or(0);
        if have > *target {
            spare.insert(pool.clone(), have - target);
        }
        if have < *target {
            lacking.insert(pool.clone(), target - have);
        }
    }
    let mut giving: Vec<&Candidate> = candidates
        .iter()
        .filter(|c| c.free && spare.contains_key(&c.pool))
        .collect();
    giving.sort_by_key(|c| burden(c));
    let mut plan = Plan::default();
    while let Some(to) = neediest(&lacking) {
        let Some(place) = cheapest(&giving, &spread, &to) else {
            break;
        };
        let chosen = giving.remove(place);
        shift(&mut spread, chosen, &to);
        take_one(&mut lacking, &to);
        if take_one(&mut spare, &chosen.pool) {
            giving.retain(|c| c.pool != chosen.pool);
        }
        plan.jobs += chosen.work.jobs;
        plan.moves.push(Move {
            host: chosen.host.clone(),
            from: chosen.pool.clone(),
            to,
        });
    }
    plan.lacking = lacking;
    plan.affected = affected(&plan.moves, budgets);
    plan
}

/// The pool that lacks most; of equals the first by id.
fn neediest(lacking: &BTreeMap<PoolId, u32>) -> Option<PoolId> {
    let most = lacking.values().max()?;
    lacking
        .iter()
        .find(|(_, lack)| *lack == most)
        .map(|(pool, _)| pool.clone())
}

/// What moving a host costs, whatever its rack.
fn burden(c: &Candidate) -> (bool, u32, u32, bool) {
    let size = u64::BITS - c.work.unsaved.leading_zeros();
    (!c.empty, size, c.work.jobs, !c.maintained)
}

/// The best host of those that cost least; `giving` is ordered by what they cost.
fn cheapest(giving: &[&Candidate], spread: &Spread, to: &PoolId) -> Option<usize> {
    let least = burden(giving.first()?);
    let equal = giving.partition_point(|c| burden(c) == least);
    let held = |pool: &PoolId, rack: &RackId| {
        let key = (pool.clone(), rack.clone());
        spread.get(&key).copied().unwrap_or(0)
    };
    (0..equal).min_by_key(|place| {
        let c = giving[*place];
        (held(to, &c.rack), Reverse(held(&c.pool, &c.rack)), *place)
    })
}

fn shift(spread: &mut Spread, chosen: &Candidate, to: &PoolId) {
    let rack = &chosen.rack;
    if let Some(count) = spread.get_mut(&(chosen.pool.clone(), rack.clone())) {
        *count -= 1;
    }
    *spread.entry((to.clone(), rack.clone())).or_default() += 1;
}

/// Takes one off a pool's count and drops it at zero; answers whether it was dropped.
fn take_one(counts: &mut BTreeMap<PoolId, u32>, pool: &PoolId) -> bool {
    let Some(count) = counts.get_mut(pool) else {
        return false;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(pool);
        return true;
    }
    false
}

/// The services with minions on hosts that are to move.
pub fn affected(moves: &[Move], budgets: &Budgets) -> Vec<Affected> {
    let hosts: BTreeSet<&HostId> = moves.iter().map(|m| &m.host).collect();
    let mut minions: BTreeMap<ServiceId, u32> = BTreeMap::new();
    for host in hosts {
        for service in budgets.crew_services(host) {
            *minions.entry(service).or_default() += 1;
        }
    }
    minions
        .into_iter()
        .filter_map(|(service, minions)| {
            let room = budgets.room(&service)?;
            Some(Affected {
                service,
                minions,
                room,
            })
        })
        .collect()
}
