//! The fleet's declaration.
//!
//! ```yaml
//! data_centres:
//!   ikeja: { region: lagos }
//! pools:
//!   alerts: { maintenance: 5w, soak: 10m }
//! racks:
//!   ikeja-r1:
//!     data_centre: ikeja
//!     pool: alerts
//!     resources: { cores: 32, memory: 128GiB, accelerators: 0 }
//!     hosts: [ikeja-r1-h1, ikeja-r1-h2]
//! services:
//!   soil: { pool: alerts, available: 1, timeout: 5s }
//! teams:
//!   growth: { quota: { cores: 64, memory: 256GiB } }
//! groups:
//!   households: { weight: 4, rate: 2000, ramp: 2d }
//! presets:
//!   ordinary:
//!     targets: { alerts: 2 }
//!     wave: { racks: 1, drain: 10m, reboot: 15m }
//!     requests: { queue: 256, retries: 10 }
//! cut_off:
//!   requests: { queue: 64, retries: 0 }
//! ```
//!
//! Hosts stand under their rack, which gives them data centre, pool and resources. A host that
//! differs is written as a map: `{ host: ikeja-r1-h2, pool: reports }`.

mod check;
mod hosts;
mod services;

use std::path::Path;

use crate::core::declaration::{CutOffSpec, Declaration};

use self::services::{Preset, Service};

use super::{SettingsError, cursor::Cursor, error, problem::Report, table::Table};

/// Reads and checks a declaration.
///
/// # Errors
///
/// If the file can't be read or says something that a declaration can't; then with every problem.
pub fn read(file: &Path) -> Result<Declaration, SettingsError> {
    parse(file, &error::read(file)?)
}

/// Checks a text; `file` names it in problems.
///
/// # Errors
///
/// As [`read`].
pub fn parse(file: &Path, text: &str) -> Result<Declaration, SettingsError> {
    Report::walk(file, text, declaration)
}

fn declaration(cursor: &Cursor<'_>) -> Option<Declaration> {
    let mut fields = cursor.fields()?;
    let data_centres = fields.need(
        "data_centres",
        "{west: {region: home}}",
        hosts::data_centres,
    );
    let pools = fields.need("pools", "{general: {soak: 10m}}", hosts::pools);
    let racks = fields.need("racks", "{r1: {...}}", hosts::racks);
    let services = fields.need("services", "{intake: {...}}", services::services);
    let teams = fields.or("teams", Table::empty(), services::teams);
    let groups = fields.or("groups", Table::empty(), services::groups);
    let presets = fields.need("presets", "{ordinary: {}}", services::presets);
    let cut_off = fields.or("cut_off", CutOffSpec::default(), services::cut_off);
    fields.finish();
    check::check(&check::Parts {
        data_centres: data_centres.as_ref(),
        pools: pools.as_ref(),
        racks: racks.as_ref(),
        services: services.as_ref(),
        presets: presets.as_ref(),
    });
    Some(Declaration {
        data_centres: data_centres?.collect(|spec| spec)?,
        hosts: hosts::flatten(racks?)?,
        pools: pools?.collect(|spec| spec)?,
        services: services?.collect(Service::spec)?,
        teams: teams?.collect(|spec| spec)?,
        groups: groups?.collect(|spec| spec)?,
        presets: presets?.collect(Preset::spec)?,
        cut_off: cut_off?,
    })
}
