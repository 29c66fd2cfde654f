//! Plans.

use super::{dash, label};
use crate::{
    api::view::{Difference, Forecast, Plan},
    cli::table::Table,
    core::types::NodeId,
};

/// Names shown of one kind; `--json` gives all.
const NAMES: usize = 6;

pub(in crate::cli) fn plan(view: &Plan) -> String {
    let mut text = format!("against configuration {}, ", view.version);
    text.push_str(&match &view.preset {
        Some(preset) => format!("with preset {preset}\n"),
        None => String::from("with no preset: name one with --preset\n"),
    });
    text.push_str(&differences(view));
    text.push('\n');
    match &view.forecast {
        Some(forecast) => text.push_str(&chosen(forecast)),
        None => text.push_str(&moves(view)),
    }
    text.push('\n');
    text.push_str(&pools(view));
    text.push('\n');
    match &view.forecast {
        Some(forecast) => text.push_str(&(buffers(forecast) + "\n" + &services(forecast))),
        None => text.push_str(&unknown(view.leader)),
    }
    text
}

/// Those of a kind stand in one row, since a new rack alone brings several.
fn differences(view: &Plan) -> String {
    let mut table = Table::new(&["change", "kind", "count", "names"]);
    let alike = |a: &Difference, b: &Difference| (a.what, &a.kind) == (b.what, &b.kind);
    let mut sorted: Vec<_> = view.differences.iter().collect();
    sorted.sort_by_key(|difference| (&difference.kind, label(&difference.what)));
    for group in sorted.chunk_by(|a, b| alike(a, b)) {
        let names = named(
            group.iter().map(|difference| &*difference.name),
            group.len(),
        );
        let (what, kind) = (label(&group[0].what), group[0].kind.clone());
        table.row([what, kind, group.len().to_string(), names]);
    }
    table.render("nothing is declared otherwise")
}

/// What the node that was asked can't tell.
fn unknown(leader: Option<NodeId>) -> String {
    match leader {
        Some(leader) => format!(
            "none of the named hosts leads; node {leader} does and knows which hosts would move, the \
             buffers needed and the services affected: name its operators' address with --address\n"
        ),
        None => String::from(
            "no leader is known now; only a leader knows which hosts would move, the buffers needed \
             and the services affected\n",
        ),
    }
}

/// The leader's moves, those between the same pools in one row.
fn chosen(forecast: &Forecast) -> String {
    let mut table = Table::new(&["hosts", "from", "to", "names"]);
    let mut sorted: Vec<_> = forecast.moves.iter().collect();
    sorted.sort_by_key(|m| (&m.from, &m.to));
    for group in sorted.chunk_by(|a, b| (&a.from, &a.to) == (&b.from, &b.to)) {
        let names = named(group.iter().map(|m| &*m.host), group.len());
        let (from, to) = (group[0].from.to_string(), group[0].to.to_string());
        table.row([group.len().to_string(), from, to, names]);
    }
    let mut text = table.render("no host would move");
    if forecast.jobs > 0 {
        let jobs = forecast.jobs;
        text.push_str(&format!("at most {jobs} jobs would be displaced\n"));
    }
    for lack in &forecast.lacking {
        let (pool, hosts) = (&lack.pool, lack.hosts);
        text.push_str(&format!("pool {pool} would still lack {hosts} hosts\n"));
    }
    text
}

fn buffers(forecast: &Forecast) -> String {
    let mut table = Table::new(&["pool", "buffer needed", "would need"]);
    let mut broken = false;
    for buffer in &forecast.buffers {
        broken |= buffer.before.is_none() || buffer.after.is_none();
        table.row([
            buffer.pool.to_string(),
            dash(buffer.before),
            dash(buffer.after),
        ]);
    }
    let mut text = table.render("no pool is declared");
    if broken {
        text.push_str(
            "-: its racks can't keep every budget with one rack in maintenance and another lost\n",
        );
    }
    text
}

fn services(forecast: &Forecast) -> String {
    let heads = ["service", "minions moved", "spare", "begins"];
    let mut table = Table::new(&heads);
    for strain in &forecast.services {
        let begins = if strain.fits {
            "at once"
        } else {
            "as minions start elsewhere"
        };
        table.row([
            strain.service.to_string(),
            strain.minions.to_string(),
            strain.spare.to_string(),
            begins.to_owned(),
        ]);
    }
    table.render("no service has minions on hosts that would move")
}

/// The first few names, and how many more there are.
fn named<'a>(names: impl Iterator<Item = &'a str>, count: usize) -> String {
    let mut text = names.take(NAMES).collect::<Vec<_>>().join(", ");
    if count > NAMES {
        text.push_str(&format!(" and {} more", count - NAMES));
    }
    text
}

fn moves(view: &Plan) -> String {
    let mut table = Table::new(&["hosts", "from", "to"]);
    for transfer in &view.transfers {
        table.row([
            transfer.hosts.to_string(),
            transfer.from.to_string(),
            transfer.to.to_string(),
        ]);
    }
    let displaced = match view.jobs {
        0 => String::new(),
        jobs => format!("at most {jobs} jobs would be displaced\n"),
    };
    table.render("no host would move") + &displaced
}

/// The buffer is what a pool has above the need of its most demanding service.
fn pools(view: &Plan) -> String {
    let mut table = Table::new(&["pool", "hosts", "would have", "needed", "buffer"]);
    for fit in &view.pools {
        let buffer = fit.after.checked_sub(fit.needed);
        table.row([
            fit.pool.to_string(),
            fit.before.to_string(),
            fit.after.to_string(),
            fit.needed.to_string(),
            dash(buffer),
        ]);
    }
    table.render("no pool is declared")
}
