//! What must hold between the parts of a declaration.
//!
//! Every name refers to something that is declared, a host stands in one rack, and no preset
//! asks for the impossible: it has no more hosts to give than there are, and each service's
//! budget can be met by its pool even with the largest rack lost. A host carries one minion of a
//! service at most, since two would fail together and be worth one.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{
        declaration::{DataCentreSpec, PoolSpec},
        types::Name,
    },
    settings::{
        cursor::{Cursor, Placed},
        table::{Row, Table},
    },
};

use super::{
    hosts::Rack,
    services::{Preset, Service},
};

/// The parts that depend on one another, as far as they could be read.
pub(super) struct Parts<'p, 'a> {
    pub(super) data_centres: Option<&'p Table<'a, DataCentreSpec>>,
    pub(super) pools: Option<&'p Table<'a, PoolSpec>>,
    pub(super) racks: Option<&'p Table<'a, Rack<'a>>>,
    pub(super) services: Option<&'p Table<'a, Service<'a>>>,
    pub(super) presets: Option<&'p Table<'a, Preset<'a>>>,
}

/// Hosts of a pool by rack.
#[derive(Debug, Default)]
struct Size {
    racks: BTreeMap<Name, usize>,
}

impl Size {
    fn hosts(&self) -> usize {
        self.racks.values().sum()
    }

    fn largest(&self) -> usize {
        self.racks.values().copied().max().unwrap_or(0)
    }
}

/// Reports whatever doesn't fit together.
pub(super) fn check(parts: &Parts<'_, '_>) {
    let (Some(racks), Some(pools)) = (parts.racks, parts.pools) else {
        return;
    };
    check_data_centres(racks, parts.data_centres);
    check_hosts(racks);
    // What the fleet has to give can be counted only where all of it could be read.
    if check_pools(parts, pools) && racks.is_whole() {
        check_sizes(parts, &measure(racks), racks.rows.len());
    }
}

fn check_sizes(parts: &Parts<'_, '_>, sizes: &BTreeMap<Name, Size>, racks: usize) {
    check_budgets(parts.services, sizes);
    for preset in parts.presets.iter().flat_map(|p| &p.rows) {
        check_targets(preset, sizes);
        check_preset(preset, parts.services, sizes, racks);
    }
}

fn check_data_centres(racks: &Table<'_, Rack<'_>>, known: Option<&Table<'_, DataCentreSpec>>) {
    let Some(known) = known else {
        return;
    };
    for rack in &racks.rows {
        require("data centre", &rack.value.data_centre, &known.names);
    }
}

fn check_hosts(racks: &Table<'_, Rack<'_>>) {
    let mut seen: BTreeMap<&Name, &Name> = BTreeMap::new();
    for rack in &racks.rows {
        for host in &rack.value.hosts {
            if let Some(other) = seen.insert(&host.name.value, &rack.name) {
                let wrong = format!(
                    "the host {:?} stands in rack {other:?} already",
                    host.name.value
                );
                host.name.at.add(wrong, "name each host once");
            }
        }
    }
}

/// Whether every pool that is named is declared.
fn check_pools(parts: &Parts<'_, '_>, pools: &Table<'_, PoolSpec>) -> bool {
    let mut found = true;
    for rack in parts.racks.iter().flat_map(|r| &r.rows) {
        found &= require("pool", &rack.value.pool, &pools.names);
        for pool in rack.value.hosts.iter().filter_map(|h| h.pool.as_ref()) {
            found &= require("pool", pool, &pools.names);
        }
    }
    for service in parts.services.iter().flat_map(|s| &s.rows) {
        found &= require("pool", &service.value.pool, &pools.names);
    }
    for preset in parts.presets.iter().flat_map(|p| &p.rows) {
        for target in &preset.value.targets.rows {
            found &= require_at(&target.at, "pool", &target.name, &pools.names);
        }
    }
    found
}

fn require(what: &str, name: &Placed<'_, Name>, known: &BTreeSet<&str>) -> bool {
    require_at(&name.at, what, &name.value, known)
}

fn require_at(at: &Cursor<'_>, what: &str, name: &Name, known: &BTreeSet<&str>) -> bool {
    let found = known.contains(&**name);
    if !found {
        at.dangling(what, name, known.iter().copied());
    }
    found
}

fn measure(racks: &Table<'_, Rack<'_>>) -> BTreeMap<Name, Size> {
    let mut sizes: BTreeMap<Name, Size> = BTreeMap::new();
    for rack in &racks.rows {
        for host in &rack.value.hosts {
            let size = sizes.entry(rack.value.pool_of(host).clone()).or_default();
            *size.racks.entry(rack.name.clone()).or_default() += 1;
        }
    }
    sizes
}

fn check_budgets(services: Option<&Table<'_, Service<'_>>>, sizes: &BTreeMap<Name, Size>) {
    for service in services.iter().flat_map(|s| &s.rows) {
        let (pool, available) = (&service.value.pool.value, &service.value.available);
        let size = sizes.get(pool);
        let hosts = size.map_or(0, Size::hosts);
        let largest = size.map_or(0, Size::largest);
        if available.value as usize > hosts - largest {
            available.at.add(
                format!(
                    "this budget of {} can't be met: pool {pool:?} has {hosts} hosts, and {} \
                     without its largest rack",
                    available.value,
                    hosts - largest,
                ),
                format!(
                    "ask for {} at most, or add hosts in other racks",
                    hosts - largest
                ),
            );
        }
    }
}

fn check_targets(preset: &Row<'_, Preset<'_>>, sizes: &BTreeMap<Name, Size>) {
    let total: usize = sizes.values().map(Size::hosts).sum();
    let targets = &preset.value.targets;
    let named: usize = targets.rows.iter().map(|t| t.value as usize).sum();
    let others = sizes
        .iter()
        .filter(|(pool, _)| !targets.names.contains(&***pool));
    let kept: usize = others.map(|(_, size)| size.hosts()).sum();
    if named + kept > total {
        preset.at.add(
            format!(
                "the targets ask for {named} hosts, and pools without a target keep {kept}, but \
                 there are {total}"
            ),
            format!("lower the targets to {} together", total - kept),
        );
    }
}

/// A preset's target may not leave a pool too small for its services. Which hosts it will have
/// isn't known here, so they are taken to be spread as evenly as the racks allow.
fn check_preset(
    preset: &Row<'_, Preset<'_>>,
    services: Option<&Table<'_, Service<'_>>>,
    sizes: &BTreeMap<Name, Size>,
    racks: usize,
) {
    for target in &preset.value.targets.rows {
        let hosts = target.value as usize;
        let left = hosts - hosts.div_ceil(racks.max(1));
        let declared = sizes.get(&target.name).map_or(0, Size::hosts);
        let served = services.iter().flat_map(|s| &s.rows);
        let most = served
            .filter(|s| s.value.pool.value == target.name)
            .max_by_key(|s| s.value.available.value);
        if let Some(service) = most
            && service.value.available.value as usize > left
            && hosts < declared
        {
            let needed = service.value.available.value;
            target.at.add(
                format!(
                    "a target of {hosts} leaves {left} without a rack, but service {:?} needs {needed}",
                    service.name,
                ),
                "raise the target, or lower the service's field available",
            );
        }
    }
}
