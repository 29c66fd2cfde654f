//! Presets, pools, hosts and waves.

use super::{dash, label};
use crate::{
    api::view::{Hosts, Pools, Presets, Waves},
    cli::{
        table::Table,
        time::{maybe_utc, utc},
    },
    core::state::{Intent, Progress},
};

pub(in crate::cli) fn presets(view: &Presets) -> String {
    let mut table = Table::new(&["preset", "state", "targets", "racks", "queue", "retries"]);
    for preset in &view.presets {
        let current = view.current.as_ref() == Some(&preset.name);
        let state = match (current, view.in_force) {
            (true, Some(_)) => "in force",
            (true, None) => "being rolled out",
            _ => "",
        };
        let targets = preset.targets.iter().map(|(pool, n)| format!("{pool} {n}"));
        table.row([
            preset.name.to_string(),
            String::from(state),
            targets.collect::<Vec<_>>().join(", "),
            preset.racks.to_string(),
            preset.queue.to_string(),
            format!("{}%", preset.retries),
        ]);
    }
    table.render("no preset is declared yet; apply a declaration")
}

pub(in crate::cli) fn pools(view: &Pools) -> String {
    let heads = [
        "pool", "hosts", "target", "working", "leaving", "failed", "wave",
    ];
    let mut table = Table::new(&heads);
    for pool in &view.pools {
        table.row([
            pool.name.to_string(),
            pool.hosts.to_string(),
            dash(pool.target),
            pool.working.to_string(),
            pool.leaving.to_string(),
            pool.failed.to_string(),
            dash(pool.wave),
        ]);
    }
    table.render("no pool is declared yet; apply a declaration")
}

pub(in crate::cli) fn hosts(view: &Hosts) -> String {
    let heads = [
        "host",
        "pool",
        "rack",
        "data centre",
        "stage",
        "since",
        "wanted",
        "jobs",
        "maintained",
    ];
    let mut table = Table::new(&heads);
    for host in &view.hosts {
        let wanted = match &host.intent {
            Intent::Serve => String::from("serve"),
            Intent::Drain => String::from("drain"),
            Intent::Move { pool } => format!("move to {pool}"),
        };
        table.row([
            host.name.to_string(),
            host.pool.to_string(),
            host.rack.to_string(),
            host.data_centre.to_string(),
            label(&host.stage),
            utc(host.since),
            wanted,
            host.jobs.to_string(),
            maybe_utc(host.maintained),
        ]);
    }
    table.render("there is no host")
}

pub(in crate::cli) fn waves(view: &Waves) -> String {
    let heads = [
        "wave", "pool", "state", "done", "stopped", "missing", "started", "ended",
    ];
    let mut table = Table::new(&heads);
    for wave in &view.waves {
        let state = match (wave.ended, wave.paused, wave.lost) {
            (Some(_), _, _) => "ended",
            (None, true, _) => "paused",
            (None, false, true) => "paused by a loss",
            (None, false, false) => "running",
        };
        let (done, all) = wave.done();
        let count = |progress| wave.hosts.get(&progress).copied().unwrap_or(0).to_string();
        table.row([
            wave.wave.to_string(),
            wave.pool.to_string(),
            String::from(state),
            format!("{done}/{all}"),
            count(Progress::Stopped),
            count(Progress::Missing),
            utc(wave.started),
            maybe_utc(wave.ended),
        ]);
    }
    table.render("there is no wave")
}
