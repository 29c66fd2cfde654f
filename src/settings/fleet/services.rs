//! Services, teams, caller groups, presets and the rules while cut off.

use std::time::Duration;

use crate::{
    core::{
        declaration::{
            BudgetSpec, CutOffSpec, GroupSpec, PresetSpec, RequestSpec, ServiceSpec, TeamSpec,
            WaveSpec,
        },
        types::Name,
    },
    settings::{
        cursor::{Cursor, Placed, placed},
        scalar,
        table::Table,
        units,
    },
};

/// Retries are counted per hundred first tries, so more can't be meant.
const RETRIES: u32 = 100;

/// A service as written.
#[derive(Debug)]
pub(super) struct Service<'a> {
    pub(super) pool: Placed<'a, Name>,
    pub(super) available: Placed<'a, u32>,
    idempotent: bool,
    timeout: Duration,
}

/// A preset as written.
#[derive(Debug)]
pub(super) struct Preset<'a> {
    pub(super) targets: Table<'a, u32>,
    wave: WaveSpec,
    requests: RequestSpec,
}

impl Service<'_> {
    pub(super) fn spec(self) -> ServiceSpec {
        ServiceSpec {
            pool: self.pool.value,
            idempotent: self.idempotent,
            budget: BudgetSpec {
                available: self.available.value,
            },
            timeout: self.timeout,
        }
    }
}

impl Preset<'_> {
    pub(super) fn spec(self) -> PresetSpec {
        PresetSpec {
            targets: self.targets.collect(|n| n).unwrap_or_default(),
            wave: self.wave,
            requests: self.requests,
        }
    }
}

pub(super) fn services<'a>(cursor: &Cursor<'a>) -> Option<Table<'a, Service<'a>>> {
    Table::filled(cursor, |cursor| {
        let mut fields = cursor.fields()?;
        let pool = fields.need("pool", "general", placed(scalar::name));
        let available = fields.need("available", "6", placed(scalar::count));
        let idempotent = fields.or("idempotent", false, scalar::flag);
        let timeout = fields.need("timeout", "5s", units::span);
        fields.finish();
        Some(Service {
            pool: pool?,
            available: available?,
            idempotent: idempotent?,
            timeout: timeout?,
        })
    })
}

pub(super) fn teams<'a>(cursor: &Cursor<'a>) -> Option<Table<'a, TeamSpec>> {
    Table::read(cursor, |cursor| {
        let mut fields = cursor.fields()?;
        let quota = fields.need("quota", "{cores: 64, memory: 256GiB}", units::resources);
        fields.finish();
        Some(TeamSpec { quota: quota? })
    })
}

pub(super) fn groups<'a>(cursor: &Cursor<'a>) -> Option<Table<'a, GroupSpec>> {
    Table::read(cursor, |cursor| {
        let mut fields = cursor.fields()?;
        let weight = fields.need("weight", "1", scalar::count_from(1));
        let rate = fields.may("rate", scalar::count_from(1));
        let ramp = fields.or("ramp", Duration::ZERO, units::duration);
        fields.finish();
        Some(GroupSpec {
            weight: weight?,
            rate: rate?,
            ramp: ramp?,
        })
    })
}

pub(super) fn presets<'a>(cursor: &Cursor<'a>) -> Option<Table<'a, Preset<'a>>> {
    Table::filled(cursor, |cursor| {
        let mut fields = cursor.fields()?;
        let targets = fields.or("targets", Table::empty(), |cursor| {
            Table::read(cursor, scalar::count)
        });
        let wave = fields.or("wave", WaveSpec::default(), wave);
        let requests = fields.or("requests", RequestSpec::default(), requests);
        fields.finish();
        Some(Preset {
            targets: targets?,
            wave: wave?,
            requests: requests?,
        })
    })
}

pub(super) fn cut_off(cursor: &Cursor<'_>) -> Option<CutOffSpec> {
    let mut fields = cursor.fields()?;
    let requests = fields.or("requests", RequestSpec::default(), requests);
    fields.finish();
    Some(CutOffSpec {
        requests: requests?,
    })
}

fn wave(cursor: &Cursor<'_>) -> Option<WaveSpec> {
    let mut fields = cursor.fields()?;
    let usual = WaveSpec::default();
    let racks = fields.or("racks", usual.racks, scalar::count);
    let drain = fields.or("drain", usual.drain, units::span);
    let reboot = fields.or("reboot", usual.reboot, units::span);
    fields.finish();
    Some(WaveSpec {
        racks: racks?,
        drain: drain?,
        reboot: reboot?,
    })
}

fn requests(cursor: &Cursor<'_>) -> Option<RequestSpec> {
    let mut fields = cursor.fields()?;
    let usual = RequestSpec::default();
    let queue = fields.or("queue", usual.queue, scalar::count);
    let retries = fields.or("retries", usual.retries, scalar::count_in(0..=RETRIES));
    fields.finish();
    Some(RequestSpec {
        queue: queue?,
        retries: retries?,
    })
}
