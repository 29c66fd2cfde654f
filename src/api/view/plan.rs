//! What an `apply` would change.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
};

use serde::{Deserialize, Serialize};

use super::Forecast;
use crate::{
    core::{
        declaration::Declaration,
        state::State,
        types::{Name, NodeId, PoolId, PresetId, Version},
    },
    settings::{SettingsError, fleet},
};

/// What a plan is asked of.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Proposal {
    /// The name of the file, for problems.
    pub file: String,
    /// The YAML; nothing keeps the declaration that stands.
    #[serde(default)]
    pub text: Option<String>,
    /// The preset to use with it; nothing keeps the present one.
    pub preset: Option<PresetId>,
}

impl Proposal {
    /// The declaration that is proposed, checked; nothing if the one that stands is kept.
    ///
    /// # Errors
    ///
    /// All problems of the YAML.
    pub fn declaration(&self) -> Result<Option<Declaration>, SettingsError> {
        let text = self.text.as_deref();
        text.map(|text| fleet::parse(Path::new(&self.file), text))
            .transpose()
    }
}

/// What an `apply` would change. Nothing was done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Plan {
    /// The configuration that it was made against.
    pub version: Version,
    /// The preset that would hold; nothing if it must be named.
    pub preset: Option<PresetId>,
    /// What differs from the declaration that stands.
    pub differences: Vec<Difference>,
    /// Hosts that would change pools.
    pub transfers: Vec<Transfer>,
    /// Jobs with a live start right on hosts that are named to move: displaced at most.
    pub jobs: usize,
    /// Each pool's hosts against what its services need.
    pub pools: Vec<Fit>,
    /// Who leads, as far as the node that was asked knows.
    #[serde(default)]
    pub leader: Option<NodeId>,
    /// What only the leader knows; nothing if another node was asked.
    #[serde(default)]
    pub forecast: Option<Forecast>,
}

/// One thing that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Difference {
    /// Whether it is new, gone or changed.
    pub what: What,
    /// What kind of thing, such as `service`.
    pub kind: String,
    /// Its name.
    pub name: Name,
}

/// How a thing differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// It is declared otherwise.
    Changed,
}

/// Hosts that would change pools.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Transfer {
    /// The pool that they leave.
    pub from: PoolId,
    /// The pool that they join.
    pub to: PoolId,
    /// How many.
    pub hosts: usize,
}

/// A pool's hosts against what its services need. What stands above the need is the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Fit {
    /// The pool.
    pub pool: PoolId,
    /// Hosts that it has.
    pub before: usize,
    /// Hosts that it would have.
    pub after: usize,
    /// Hosts that its most demanding service needs up.
    pub needed: usize,
}

impl Plan {
    /// Compares a declaration, already checked, with the state. Who leads and what the leader knows
    /// are left for the node to fill in.
    pub fn of(state: &State, next: &Declaration, named: Option<&PresetId>) -> Self {
        let configuration = state.configuration();
        let preset = named
            .or(configuration.preset())
            .or_else(|| only(next))
            .cloned();
        let before = counts(state);
        let (moving, jobs) = declared_moves(state, next);
        let mut after = settle(&before, &moving, next, state);
        let mut transfers = moving;
        let spec = preset.as_ref().and_then(|p| next.presets.get(p));
        for (pool, target) in spec.iter().flat_map(|s| &s.targets) {
            fill(
                pool,
                *target as usize,
                spec.map(|s| &s.targets),
                &mut after,
                &mut transfers,
            );
        }
        Self {
            version: configuration.version(),
            preset,
            differences: differences(configuration.declaration(), next),
            transfers: listed(transfers),
            jobs,
            pools: fits(next, &before, &after),
            leader: None,
            forecast: None,
        }
    }
}

/// Hosts that move between two pools.
type Transfers = BTreeMap<(PoolId, PoolId), usize>;

fn only(next: &Declaration) -> Option<&PresetId> {
    let mut presets = next.presets.keys();
    let first = presets.next()?;
    presets.next().is_none().then_some(first)
}

fn counts(state: &State) -> BTreeMap<PoolId, usize> {
    let mut counts = BTreeMap::new();
    for (_, host) in state.hosts().iter() {
        *counts.entry(host.pool.clone()).or_default() += 1;
    }
    counts
}

/// Moves of hosts whose declared pool changes, and the jobs on them.
fn declared_moves(state: &State, next: &Declaration) -> (Transfers, usize) {
    let old = state.configuration().declaration();
    let mut moves = Transfers::new();
    let mut jobs = 0;
    for (id, spec) in &next.hosts {
        let Some(host) = state.hosts().get(id) else {
            continue;
        };
        let redeclared = old.hosts.get(id).is_some_and(|o| o.pool != spec.pool);
        if redeclared && host.pool != spec.pool {
            *moves
                .entry((host.pool.clone(), spec.pool.clone()))
                .or_default() += 1;
            jobs += state.jobs().on_host(id).count();
        }
    }
    (moves, jobs)
}

/// Hosts of each pool after joins, leaves and declared moves.
fn settle(
    before: &BTreeMap<PoolId, usize>,
    moves: &Transfers,
    next: &Declaration,
    state: &State,
) -> BTreeMap<PoolId, usize> {
    let mut after = before.clone();
    for (id, host) in state.hosts().iter() {
        if !next.hosts.contains_key(id) {
            *after.entry(host.pool.clone()).or_default() -= 1;
        }
    }
    for (id, spec) in &next.hosts {
        if state.hosts().get(id).is_none() {
            *after.entry(spec.pool.clone()).or_default() += 1;
        }
    }
    for ((from, to), hosts) in moves {
        *after.entry(from.clone()).or_default() -= hosts;
        *after.entry(to.clone()).or_default() += hosts;
    }
    after
}

/// Fills a pool up to its target from pools that are above theirs.
fn fill(
    pool: &PoolId,
    target: usize,
    targets: Option<&BTreeMap<PoolId, u32>>,
    after: &mut BTreeMap<PoolId, usize>,
    transfers: &mut Transfers,
) {
    for (other, wanted) in targets.into_iter().flatten() {
        let have = after.get(pool).copied().unwrap_or_default();
        let spare = after.get(other).copied().unwrap_or_default();
        let moved = target
            .saturating_sub(have)
            .min(spare.saturating_sub(*wanted as usize));
        if moved > 0 {
            *transfers.entry((other.clone(), pool.clone())).or_default() += moved;
            *after.entry(other.clone()).or_default() -= moved;
            *after.entry(pool.clone()).or_default() += moved;
        }
    }
}

fn listed(transfers: Transfers) -> Vec<Transfer> {
    let transfers = transfers.into_iter();
    transfers
        .map(|((from, to), hosts)| Transfer { from, to, hosts })
        .collect()
}

fn fits(
    next: &Declaration,
    before: &BTreeMap<PoolId, usize>,
    after: &BTreeMap<PoolId, usize>,
) -> Vec<Fit> {
    let count = |counts: &BTreeMap<PoolId, usize>, pool| counts.get(pool).copied().unwrap_or(0);
    let need = |pool: &PoolId| {
        let services = next.services.values().filter(|s| s.pool == *pool);
        services
            .map(|s| s.budget.available as usize)
            .max()
            .unwrap_or(0)
    };
    let pools = next.pools.keys();
    pools
        .map(|pool| Fit {
            pool: pool.clone(),
            before: count(before, pool),
            after: count(after, pool),
            needed: need(pool),
        })
        .collect()
}

fn differences(old: &Declaration, next: &Declaration) -> Vec<Difference> {
    let mut all = Vec::new();
    compare(
        "data centre",
        &old.data_centres,
        &next.data_centres,
        &mut all,
    );
    compare("pool", &old.pools, &next.pools, &mut all);
    compare("host", &old.hosts, &next.hosts, &mut all);
    compare("service", &old.services, &next.services, &mut all);
    compare("team", &old.teams, &next.teams, &mut all);
    compare("group", &old.groups, &next.groups, &mut all);
    compare("preset", &old.presets, &next.presets, &mut all);
    if old.cut_off != next.cut_off {
        all.push(Difference {
            what: What::Changed,
            kind: String::from("rules"),
            name: Name::from("cut_off"),
        });
    }
    all
}

fn compare<T: PartialEq>(
    kind: &str,
    old: &BTreeMap<Name, T>,
    next: &BTreeMap<Name, T>,
    all: &mut Vec<Difference>,
) {
    let names: BTreeSet<_> = old.keys().chain(next.keys()).collect();
    for name in names {
        let what = match (old.get(name), next.get(name)) {
            (None, _) => What::Added,
            (_, None) => What::Removed,
            (Some(a), Some(b)) if a != b => What::Changed,
            _ => continue,
        };
        let (kind, name) = (String::from(kind), name.clone());
        all.push(Difference { what, kind, name });
    }
}
