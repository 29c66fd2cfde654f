//! The state at a glance.

use super::dash;
use crate::{api::view::Status, cli::table::Table};

pub(in crate::cli) fn status(view: &Status) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: String| text.push_str(&format!("{name:<14}{value}\n"));
    let local = &view.local;
    let cut = if local.cut_off { ", cut off" } else { "" };
    line(
        "node",
        format!("{} in {}{cut}", local.node, local.data_centre),
    );
    line("leader", dash(local.leader));
    line("preset", dash(view.preset.as_ref()));
    line("configuration", configuration(view));
    line(
        "hosts",
        format!("{} of {} take work", view.working, view.hosts),
    );
    line(
        "waves",
        format!("{} open, {} hosts missing", view.waves, view.missing),
    );
    let (waiting, running) = (view.waiting, view.running);
    line(
        "jobs",
        format!(
            "{waiting} waiting, {running} running, {} unresolved",
            view.unresolved
        ),
    );
    let measures = &local.measures;
    let rollout = measures.rollout.map(|ms| format!("{ms} ms"));
    line(
        "buffer",
        dash(measures.buffer.map(|hosts| format!("{hosts} hosts"))),
    );
    line("roll-out", dash(rollout));
    line(
        "moves",
        dash(measures.moves.map(|jobs| format!("{jobs} jobs"))),
    );
    text + &services(view) + &nodes(view)
}

fn configuration(view: &Status) -> String {
    match (view.version, view.in_force) {
        (0, _) => String::from("none yet; apply a declaration"),
        (version, Some(_)) => format!("{version}, in force"),
        (version, None) => format!("{version}, being rolled out"),
    }
}

fn services(view: &Status) -> String {
    if view.local.services.is_empty() {
        return String::new();
    }
    let heads = [
        "service",
        "pool",
        "available",
        "needed",
        "reserve",
        "unconfirmed",
    ];
    let mut table = Table::new(&heads);
    for service in &view.local.services {
        table.row([
            service.service.to_string(),
            service.pool.to_string(),
            service.available.to_string(),
            service.needed.to_string(),
            service.reserve.to_string(),
            service.unconfirmed.to_string(),
        ]);
    }
    format!("\n{}", table.render(""))
}

fn nodes(view: &Status) -> String {
    if view.local.nodes.is_empty() {
        return String::new();
    }
    let mut table = Table::new(&["node", "data centre", "votes", "acts under"]);
    for node in &view.local.nodes {
        let acts = node
            .acts
            .map_or_else(|| String::from("nothing, cut off"), |v| v.to_string());
        let votes = if node.voter { "yes" } else { "" };
        table.row([
            node.node.to_string(),
            node.data_centre.to_string(),
            String::from(votes),
            acts,
        ]);
    }
    format!("\n{}", table.render(""))
}
