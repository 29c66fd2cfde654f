//! The one data centre that both benches route in: its service, minions, nodes and requests.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::core::{
    declaration::{Declaration, GroupSpec, PresetSpec, ServiceSpec},
    dispatch::{Announcement, Arrival, Configuration, RequestId, Settings},
    types::{GroupId, MinionId, Name, NodeId},
};

const CENTRE: &str = "north";
const SERVICE: &str = "service";
const PRESET: &str = "day";
/// Minions of one rack.
const RACK: u32 = 4;

/// The settings of a node of the centre.
pub(super) fn settings(node: NodeId) -> Settings {
    Settings::new(node, CENTRE.into())
}

/// The service, which waits for an answer for `timeout`.
pub(super) fn service(timeout: Duration) -> ServiceSpec {
    ServiceSpec {
        pool: "pool".into(),
        idempotent: false,
        budget: Default::default(),
        timeout,
    }
}

/// What is declared of the service and its callers, in force at nodes 1 to `nodes`.
pub(super) fn configuration(
    service: ServiceSpec,
    preset: PresetSpec,
    groups: BTreeMap<GroupId, GroupSpec>,
    nodes: u32,
) -> Configuration {
    let fleet = Declaration {
        services: BTreeMap::from([(SERVICE.into(), service)]),
        groups,
        presets: BTreeMap::from([(PRESET.into(), preset)]),
        ..Declaration::default()
    };
    Configuration {
        version: 1,
        fleet: Arc::new(fleet),
        preset: Some(PRESET.into()),
        draining: Arc::new([]),
        nodes: (1..=nodes)
            .map(|n| (NodeId::from(n), Name::from(CENTRE)))
            .collect(),
    }
}

/// What a minion announces, by its place in the centre and the name that it goes by.
pub(super) fn announcement(
    place: u32,
    minion: &MinionId,
    slots: u32,
    sequence: u64,
) -> Announcement {
    Announcement {
        minion: minion.clone(),
        boot: 1,
        sequence,
        service: SERVICE.into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        host: format!("host-{place}").into(),
        rack: format!("rack-{}", place / RACK).into(),
        data_centre: CENTRE.into(),
        slots,
        connections: 64,
        leaving: false,
    }
}

/// A request of a group, without a key.
pub(super) fn arrival(request: RequestId, group: GroupId) -> Arrival {
    Arrival {
        request,
        service: SERVICE.into(),
        group,
        key: None,
        urgency: Default::default(),
        patience: None,
        spilled: false,
    }
}
