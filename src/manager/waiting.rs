//! Proposals that aren't known to be committed yet, and where their replies go.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

use super::{ask::Reply, frame::AskId};
use crate::core::{
    consensus::{Index, Term},
    types::{Map, NodeId},
    workload::command::Command,
};

/// Where the reply to a request goes.
#[derive(Debug)]
pub(super) enum Asker {
    /// To a requester in this process.
    Here(oneshot::Sender<Reply>),
    /// To another node.
    There(NodeId, AskId),
    /// Nowhere: the scheduler made the proposal.
    Nobody,
    /// Nowhere: this node proposed a change of the voters.
    Membership,
}

/// A proposal that hasn't been applied.
#[derive(Debug)]
struct Proposed {
    asker: Asker,
    /// The command, unless only consensus has to understand the proposal. It is kept until the
    /// entry is applied here, so that the proposer doesn't decode its own payload. Decoding takes a
    /// thirtieth of a busy leader's time, whose entries each hold the ends and starts of a hundred
    /// tasks.
    command: Option<Command>,
}

/// A proposal whose log index was applied.
#[derive(Debug)]
pub(super) struct Applied {
    pub(super) asker: Asker,
    /// Whether the applied entry is the proposed one. `false` if another leader's entry took its
    /// index.
    pub(super) own: bool,
    /// The proposed command, if the applied entry is the proposed one.
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
    /// Registers a proposal with its command, if it has one. Returns the number of the proposal.
    pub(super) fn propose(&mut self, asker: Asker, command: Option<Command>) -> u64 {
        self.last += 1;
        self.proposed.insert(self.last, Proposed { asker, command });
        self.last
    }

    /// Records the log index that the proposal was appended at. Returns where to reply for an
    /// earlier proposal that had the same index and was overwritten.
    pub(super) fn placed(&mut self, proposal: u64, term: Term, index: Index) -> Option<Asker> {
        let proposed = self.proposed.remove(&proposal)?;
        let before = self.placed.insert(index, (term, proposed));
        before.map(|(_, before)| before.asker)
    }

    /// Removes a proposal that wasn't appended. Returns where to reply.
    pub(super) fn rejected(&mut self, proposal: u64) -> Option<Asker> {
        self.proposed.remove(&proposal).map(|before| before.asker)
    }

    /// Removes the proposal at the index that is being applied, if there is one.
    pub(super) fn applied(&mut self, term: Term, index: Index) -> Option<Applied> {
        let (placed, Proposed { asker, command }) = self.placed.remove(&index)?;
        let own = placed == term;
        Some(Applied {
            asker,
            own,
            command: command.filter(|_| own),
        })
    }

    /// Removes all proposals and returns where to reply. Only later leaders learn whether they are
    /// committed.
    pub(super) fn abandon(&mut self) -> Vec<Asker> {
        let placed = std::mem::take(&mut self.placed);
        let placed = placed.into_values().map(|(_, placed)| placed);
        let proposed = std::mem::take(&mut self.proposed);
        let all = placed.chain(proposed.into_values());
        all.map(|proposed| proposed.asker).collect()
    }
}
