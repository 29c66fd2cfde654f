//! Those who wait for a command to be committed.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

use super::{ask::Reply, frame::AskId};
use crate::core::{
    consensus::{Index, Term},
    types::{Map, NodeId},
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

/// Commands that were proposed and aren't known to be committed.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    last: u64,
    proposed: Map<u64, Asker>,
    placed: BTreeMap<Index, (Term, Asker)>,
}

impl Waiting {
    /// Takes on an asker; returns the number of its proposal.
    pub(super) fn propose(&mut self, asker: Asker) -> u64 {
        self.last += 1;
        self.proposed.insert(self.last, asker);
        self.last
    }

    /// The proposal has a place in the log. Returns who waited for that place in vain.
    pub(super) fn placed(&mut self, proposal: u64, term: Term, index: Index) -> Option<Asker> {
        let asker = self.proposed.remove(&proposal)?;
        let before = self.placed.insert(index, (term, asker));
        before.map(|(_, asker)| asker)
    }

    /// The proposal wasn't appended.
    pub(super) fn rejected(&mut self, proposal: u64) -> Option<Asker> {
        self.proposed.remove(&proposal)
    }

    /// An entry was applied. Returns who waited for its place, and whether it is theirs.
    pub(super) fn applied(&mut self, term: Term, index: Index) -> Option<(Asker, bool)> {
        let (own, asker) = self.placed.remove(&index)?;
        Some((asker, own == term))
    }

    /// Gives up on all that wait: whether their commands are committed is for others to know.
    pub(super) fn abandon(&mut self) -> Vec<Asker> {
        let placed = std::mem::take(&mut self.placed);
        let placed = placed.into_values().map(|(_, asker)| asker);
        let proposed = std::mem::take(&mut self.proposed);
        placed.chain(proposed.into_values()).collect()
    }
}
