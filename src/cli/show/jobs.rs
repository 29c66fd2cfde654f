//! Jobs, explanations and the history.

use super::{dash, label};
use crate::{
    api::view::{Explanation, History, Jobs},
    cli::{table::Table, time::utc},
};

pub(in crate::cli) fn jobs(view: &Jobs) -> String {
    let heads = [
        "job", "service", "team", "phase", "result", "host", "attempts", "accepted",
    ];
    let mut table = Table::new(&heads);
    for job in &view.jobs {
        let cancelled = if job.cancelled { " (cancelled)" } else { "" };
        table.row([
            job.job.to_string(),
            job.service.to_string(),
            job.team.to_string(),
            format!("{}{cancelled}", job.phase),
            job.result.as_ref().map_or_else(|| String::from("-"), label),
            dash(job.host.as_ref()),
            job.attempts.to_string(),
            utc(job.accepted),
        ]);
    }
    table.render("there is no such job")
}

pub(in crate::cli) fn explanation(view: &Explanation) -> String {
    let mut text = format!("{}:\n", view.subject);
    for fact in &view.facts {
        text.push_str(&format!("  {} ({})\n", fact.text, fact.code));
    }
    text
}

pub(in crate::cli) fn history(view: &History) -> String {
    let mut table = Table::new(&["at", "operation", "asked", "answer"]);
    for entry in &view.entries {
        let refused = if entry.refused { "refused: " } else { "" };
        table.row([
            utc(entry.at),
            entry.operation.to_string(),
            label(&entry.kind),
            format!("{refused}{}", entry.message),
        ]);
    }
    table.render("nobody asked for anything in the last day")
}
