//! The voters of the shared log.

use super::dash;
use crate::{api::view::Node, cli::table::Table, core::types::NodeId};

pub(in crate::cli) fn voters(view: &Node) -> String {
    let mut table = Table::new(&["voter", "leads"]);
    for voter in &view.voters {
        let leads = if view.leader == Some(*voter) {
            "yes"
        } else {
            ""
        };
        table.row([voter.to_string(), leads.to_owned()]);
    }
    let said = format!(
        "as node {} knows them; leader {}, term {}\n",
        view.node,
        dash(view.leader),
        view.term
    );
    said + &table.render("it knows no voter") + &losses(view.voters.len())
}

/// A change that stands in the leader's log.
pub(in crate::cli) fn placed(voters: &[NodeId]) -> String {
    let names: Vec<_> = voters.iter().map(ToString::to_string).collect();
    format!(
        "the voters are to be {}; it holds once a quorum has it: see `egretpin voters list`\n{}",
        names.join(", "),
        losses(voters.len())
    )
}

fn losses(voters: usize) -> String {
    let even = if voters > 0 && voters.is_multiple_of(2) {
        "; one voter less would survive as many"
    } else {
        ""
    };
    let losses = voters.saturating_sub(1) / 2;
    format!("changes go on while at most {losses} of {voters} voters are lost{even}\n")
}
