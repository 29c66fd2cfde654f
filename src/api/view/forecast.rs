//! What the leader's own planner says of a plan.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::core::{
    declaration::Declaration,
    fleet::{
        buffer::{Need, size},
        pool::{Candidate, Engine, Move, Work, affected, plan},
    },
    state::State,
    types::{HostId, PoolId, PresetId, RackId, ServiceId},
};

/// What only the leader knows of a plan, by the very planner that will make the moves. Nothing was
/// done; what has changed by the time of the switch may change the choice of hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Forecast {
    /// Hosts that would change pools, those that are declared otherwise first.
    pub moves: Vec<Move>,
    /// Pools that would still lack hosts, because no other has one to give.
    pub lacking: Vec<Lack>,
    /// Jobs on the hosts that would move, displaced at most.
    pub jobs: u32,
    /// The buffer that each pool needs, now and then.
    pub buffers: Vec<Buffer>,
    /// The services with minions on hosts that would move.
    pub services: Vec<Strain>,
}

/// A pool that would lack hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Lack {
    /// The pool.
    pub pool: PoolId,
    /// How many it would lack.
    pub hosts: u32,
}

/// Hosts that a pool must hold idle so that every budget holds with one rack in maintenance and
/// another one lost. Nothing if its racks can't keep that promise.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Buffer {
    /// The pool.
    pub pool: PoolId,
    /// As it stands.
    pub before: Option<u32>,
    /// As it would be.
    pub after: Option<u32>,
}

/// What moves would do to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Strain {
    /// The service.
    pub service: ServiceId,
    /// Its minions on hosts that would move.
    pub minions: u32,
    /// Minions that it now has above its budget and reserve; negative if they don't hold.
    pub spare: i64,
    /// Whether the moves can all begin at once; if not, some wait until minions have started
    /// elsewhere.
    pub fits: bool,
}

impl Forecast {
    /// Plans a declaration under a preset with the leader's engine.
    pub fn of(
        state: &State,
        engine: &Engine,
        next: &Declaration,
        preset: Option<&PresetId>,
    ) -> Self {
        let now = engine.candidates();
        let mut moves = redeclared(state, next);
        let then = declared(&now, next, &moves);
        let spec = preset.and_then(|preset| next.presets.get(preset));
        let targets = spec.map(|spec| spec.targets.clone()).unwrap_or_default();
        let plan = plan(&then, &targets, engine.budgets());
        let on_moved = moves.iter().map(|m| state.jobs().on_host(&m.host).count());
        let displaced = u32::try_from(on_moved.sum::<usize>()).unwrap_or(u32::MAX);
        moves.extend(plan.moves.iter().cloned());
        let lacking = plan.lacking.into_iter();
        let old = state.configuration().declaration();
        Self {
            lacking: lacking.map(|(pool, hosts)| Lack { pool, hosts }).collect(),
            jobs: displaced.saturating_add(plan.jobs),
            buffers: buffers((old, &now), (next, &moved(then, &plan.moves))),
            services: strains(&moves, engine),
            moves,
        }
    }
}

/// Moves of hosts whose declared pool changes.
fn redeclared(state: &State, next: &Declaration) -> Vec<Move> {
    let old = state.configuration().declaration();
    let mut moves = Vec::new();
    for (id, spec) in &next.hosts {
        let Some(host) = state.hosts().get(id) else {
            continue;
        };
        let changed = old.hosts.get(id).is_some_and(|old| old.pool != spec.pool);
        if changed && host.pool != spec.pool {
            moves.push(Move {
                host: id.clone(),
                from: host.pool.clone(),
                to: spec.pool.clone(),
            });
        }
    }
    moves
}

/// The hosts once a declaration holds: those it moves are on their way, those it drops are gone,
/// and those it adds take work where it says, as they will by the time of the switch.
fn declared(now: &[Candidate], next: &Declaration, moves: &[Move]) -> Vec<Candidate> {
    let (known, aims) = (hosts(now), aims(moves));
    let kept = now.iter().filter(|c| next.hosts.contains_key(&c.host));
    let mut all: Vec<_> = kept.cloned().collect();
    for candidate in &mut all {
        if let Some(to) = aims.get(&candidate.host) {
            candidate.pool = PoolId::clone(to);
            candidate.free = false;
        }
    }
    for (id, spec) in &next.hosts {
        if !known.contains(id) {
            all.push(Candidate {
                host: id.clone(),
                pool: spec.pool.clone(),
                rack: spec.rack.clone(),
                free: true,
                empty: false,
                maintained: true,
                work: Work::default(),
            });
        }
    }
    all
}

/// The hosts after moves.
fn moved(mut hosts: Vec<Candidate>, moves: &[Move]) -> Vec<Candidate> {
    let aims = aims(moves);
    for candidate in &mut hosts {
        if let Some(to) = aims.get(&candidate.host) {
            candidate.pool = PoolId::clone(to);
        }
    }
    hosts
}

fn hosts(all: &[Candidate]) -> BTreeSet<&HostId> {
    all.iter().map(|candidate| &candidate.host).collect()
}

/// Where each host that moves goes.
fn aims(moves: &[Move]) -> BTreeMap<&HostId, &PoolId> {
    moves.iter().map(|m| (&m.host, &m.to)).collect()
}

/// What each pool that there will be needs, before and after.
fn buffers(
    before: (&Declaration, &[Candidate]),
    after: (&Declaration, &[Candidate]),
) -> Vec<Buffer> {
    let pools = after.0.pools.keys();
    pools
        .map(|pool| Buffer {
            pool: pool.clone(),
            before: buffer(pool, before),
            after: buffer(pool, after),
        })
        .collect()
}

fn buffer(pool: &PoolId, (declaration, hosts): (&Declaration, &[Candidate])) -> Option<u32> {
    let mut racks: BTreeMap<&RackId, u32> = BTreeMap::new();
    for candidate in hosts.iter().filter(|c| c.pool == *pool) {
        *racks.entry(&candidate.rack).or_default() += 1;
    }
    let services = declaration.services.iter();
    let needs: Vec<_> = services
        .filter(|(_, spec)| spec.pool == *pool && spec.budget.available > 0)
        .map(|(id, spec)| Need::new(id.clone(), spec.budget.available))
        .collect();
    if needs.is_empty() {
        return Some(0);
    }
    let racks: Vec<_> = racks.into_values().collect();
    size(&racks, &needs).ok().map(|size| size.least())
}

fn strains(moves: &[Move], engine: &Engine) -> Vec<Strain> {
    let affected = affected(moves, engine.budgets()).into_iter();
    affected
        .map(|a| Strain {
            fits: a.fits(),
            spare: a.room.spare(),
            minions: a.minions,
            service: a.service,
        })
        .collect()
}
