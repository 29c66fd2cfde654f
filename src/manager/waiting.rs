//! Those who wait for a command to be committed.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

use super::{ask::Reply, frame::AskId};
use crate::core::{
    consensus::{Index, Term},
    types::{Map, NodeId},
    workload::command::Command,
};

/// Who asked, and how it is told.
#[derive(Debug)]
pub(super) enum Asker {
    /// Somebody in this process.
    Here(oneshot::Sender<Reply>),
    /// Another node.
    There(NodeId, AskId),
    /// Nobody: the scheduler proposed it.
    Nobody,
    /// This node, which wants other voters.
    Membership,
}

/// Something that was proposed.
#[derive(Debug)]
struct Proposed {
    asker: Asker,
    /// What was, unless consensus alone has to understand it. Kept until it is applied here, so that
    /// its proposer needn't read its own writing: that is a thirtieth of a busy leader's time, in
    /// which an entry has the ends and starts of a hundred tasks.
    command: Option<Command>,
}

/// An entry that somebody waited for was applied.
#[derive(Debug)]
pub(super) struct Applied {
    pub(super) asker: Asker,
    /// Whether the entry is what was proposed, and not another in its place.
    pub(super) own: bool,
    /// What was proposed, if that is the entry.
    pub(super) command: Option<Command>,
}

/// Commands that were proposed and aren't known to be committed.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    last: u64,
    proposed: Map<u64, Proposed>,
    placed: BTreeMap<Index, (Term, Proposed)>,
}

impl Waiting {
    /// Takes on an asker and its command, if it has one; returns the number of the proposal.
    pub(super) fn propose(&mut self, asker: Asker, command: Option<Command>) -> u64 {
        self.last += 1;
        self.proposed.insert(self.last, Proposed { asker, command });
        self.last
    }

    /// The proposal has a place in the log. Returns who waited for that place in vain.
    pub(super) fn placed(&mut self, proposal: u64, term: Term, index: Index) -> Option<Asker> {
        let proposed = self.proposed.remove(&proposal)?;
        let before = self.placed.insert(index, (term, proposed));
        before.map(|(_, before)| before.asker)
    }

    /// The proposal wasn't appended.
    pub(super) fn rejected(&mut self, proposal: u64) -> Option<Asker> {
        self.proposed.remove(&proposal).map(|before| before.asker)
    }

    /// An entry is being applied. Returns who waited for its place, and whether it is theirs.
    pub(super) fn applied(&mut self, term: Term, index: Index) -> Option<Applied> {
        let (placed, Proposed { asker, command }) = self.placed.remove(&index)?;
        let own = placed == term;
        Some(Applied {
            asker,
            own,
            command: command.filter(|_| own),
        })
    }

    /// Gives up on all that wait: whether their commands are committed is for others to know.
    pub(super) fn abandon(&mut self) -> Vec<Asker> {
        let placed = std::mem::take(&mut self.placed);
        let placed = placed.into_values().map(|(_, placed)| placed);
        let proposed = std::mem::take(&mut self.proposed);
        let all = placed.chain(proposed.into_values());
        all.map(|proposed| proposed.asker).collect()
    }
}
