//! Data centres, pools, racks and their hosts.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    core::{
        declaration::{DataCentreSpec, HostSpec, PoolSpec},
        types::{HostId, Name, Resources},
    },
    settings::{
        cursor::{Cursor, Placed, placed},
        node::Value,
        scalar,
        table::Table,
        units,
    },
};

/// How long a repaired host must stay up, unless the pool says otherwise.
const SOAK: Duration = Duration::from_secs(600);

/// A rack as written.
#[derive(Debug)]
pub(super) struct Rack<'a> {
    pub(super) data_centre: Placed<'a, Name>,
    pub(super) pool: Placed<'a, Name>,
    pub(super) resources: Resources,
    pub(super) hosts: Vec<Host<'a>>,
}

/// A host as written; what it leaves out is the rack's.
#[derive(Debug)]
pub(super) struct Host<'a> {
    pub(super) name: Placed<'a, HostId>,
    pub(super) pool: Option<Placed<'a, Name>>,
    pub(super) resources: Option<Resources>,
}

impl<'a> Rack<'a> {
    /// The pool of one of its hosts.
    pub(super) fn pool_of<'s>(&'s self, host: &'s Host<'a>) -> &'s Name {
        &host.pool.as_ref().unwrap_or(&self.pool).value
    }
}

pub(super) fn data_centres<'a>(cursor: &Cursor<'a>) -> Option<Table<'a, DataCentreSpec>> {
    Table::filled(cursor, |cursor| {
        let mut fields = cursor.fields()?;
        let region = fields.need("region", "home", scalar::name);
        fields.finish();
        Some(DataCentreSpec { region: region? })
    })
}

pub(super) fn pools<'a>(cursor: &Cursor<'a>) -> Option<Table<'a, PoolSpec>> {
    Table::filled(cursor, |cursor| {
        let mut fields = cursor.fields()?;
        let maintenance = fields.may("maintenance", units::span);
        let soak = fields.or("soak", SOAK, units::duration);
        fields.finish();
        Some(PoolSpec {
            maintenance: maintenance?,
            soak: soak?,
        })
    })
}

pub(super) fn racks<'a>(cursor: &Cursor<'a>) -> Option<Table<'a, Rack<'a>>> {
    Table::filled(cursor, rack)
}

/// The hosts of all racks as the core wants them.
pub(super) fn flatten(racks: Table<'_, Rack<'_>>) -> Option<BTreeMap<HostId, HostSpec>> {
    let racks = racks.collect(|rack| rack)?;
    let mut hosts = BTreeMap::new();
    for (id, rack) in &racks {
        for host in &rack.hosts {
            let spec = HostSpec {
                pool: rack.pool_of(host).clone(),
                rack: id.clone(),
                data_centre: rack.data_centre.value.clone(),
                resources: host.resources.unwrap_or(rack.resources),
            };
            hosts.insert(host.name.value.clone(), spec);
        }
    }
    Some(hosts)
}

fn rack<'a>(cursor: &Cursor<'a>) -> Option<Rack<'a>> {
    let mut fields = cursor.fields()?;
    let data_centre = fields.need("data_centre", "west", placed(scalar::name));
    let pool = fields.need("pool", "general", placed(scalar::name));
    let example = "{cores: 32, memory: 128GiB}";
    let resources = fields.need("resources", example, units::resources);
    let hosts = fields.need("hosts", "[r1-h1, r1-h2]", hosts);
    fields.finish();
    Some(Rack {
        data_centre: data_centre?,
        pool: pool?,
        resources: resources?,
        hosts: hosts?,
    })
}

fn hosts<'a>(cursor: &Cursor<'a>) -> Option<Vec<Host<'a>>> {
    let items = cursor.items()?;
    if items.is_empty() {
        cursor.add("the rack is empty", "name its hosts, or leave the rack out");
        return None;
    }
    let hosts: Vec<_> = items.iter().map(host).collect();
    hosts.into_iter().collect()
}

fn host<'a>(cursor: &Cursor<'a>) -> Option<Host<'a>> {
    if !matches!(cursor.node.value, Value::Map(_)) {
        let name = placed(scalar::name)(cursor)?;
        return Some(Host {
            name,
            pool: None,
            resources: None,
        });
    }
    let mut fields = cursor.fields()?;
    let name = fields.need("host", "r1-h1", placed(scalar::name));
    let pool = fields.may("pool", placed(scalar::name));
    let resources = fields.may("resources", units::resources);
    fields.finish();
    Some(Host {
        name: name?,
        pool: pool?,
        resources: resources?,
    })
}
