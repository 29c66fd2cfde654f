//! Proposals that aren't known to be committed yet, and where their replies go.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

use super::{frame::RequestId, request::Reply};
use crate::core::{
    consensus::{Index, Term},
    types::{Map, NodeId, Now},
    workload::command::Command,
};

/// Where the reply to a request goes.
#[derive(Debug)]
pub(super) enum ReplyTo {
    /// To a requester in this process.
    Local(oneshot::Sender<Reply>),
    /// To another node.
    Remote(NodeId, RequestId),
    /// Nowhere: the scheduler made the proposal.
    Discard,
    /// Nowhere: this node proposed a change of the voters.
    Membership {
        /// The node that the change adds, if it adds one.
        added: Option<NodeId>,
        /// When the change was proposed.
        proposed_at: Now,
    },
}

/// A proposal that hasn't been applied.
#[derive(Debug)]
pub(super) struct PendingProposal {
    pub(super) reply_to: ReplyTo,
    /// The command, unless only consensus has to understand the proposal. It is kept until the
    /// entry is applied here, so that the proposer doesn't decode its own payload. Decoding takes a
    /// thirtieth of a busy leader's time, whose entries each hold the ends and starts of a hundred
    /// tasks.
    pub(super) command: Option<Command>,
}

/// A proposal whose log index was applied.
#[derive(Debug)]
pub(super) struct AppliedProposal {
    pub(super) reply_to: ReplyTo,
    /// Whether the applied entry is the proposed one. `false` if another leader's entry took its
    /// index.
    pub(super) matches: bool,
    /// The proposed command, if the applied entry is the proposed one.
    pub(super) command: Option<Command>,
}

/// Commands that were proposed and aren't known to be committed.
#[derive(Debug, Default)]
pub(super) struct PendingProposals {
    last_id: u64,
    proposed: Map<u64, PendingProposal>,
    appended: BTreeMap<Index, (Term, PendingProposal)>,
}

impl PendingProposals {
    /// Registers a proposal with its command, if it has one. Returns the number of the proposal.
    pub(super) fn propose(&mut self, reply_to: ReplyTo, command: Option<Command>) -> u64 {
        self.last_id += 1;
        self.proposed
            .insert(self.last_id, PendingProposal { reply_to, command });
        self.last_id
    }

    /// Records the log index that the proposal was appended at. Returns where to reply for an
    /// earlier proposal that had the same index and was overwritten.
    pub(super) fn appended(&mut self, proposal: u64, term: Term, index: Index) -> Option<ReplyTo> {
        let proposed = self.proposed.remove(&proposal)?;
        let before = self.appended.insert(index, (term, proposed));
        before.map(|(_, before)| before.reply_to)
    }

    /// Removes and returns a proposal that wasn't appended.
    pub(super) fn rejected(&mut self, proposal: u64) -> Option<PendingProposal> {
        self.proposed.remove(&proposal)
    }

    /// Removes the proposal at the index that is being applied, if there is one.
    pub(super) fn applied(&mut self, term: Term, index: Index) -> Option<AppliedProposal> {
        let (placed, PendingProposal { reply_to, command }) = self.appended.remove(&index)?;
        let matches = placed == term;
        Some(AppliedProposal {
            reply_to,
            matches,
            command: command.filter(|_| matches),
        })
    }

    /// Removes all proposals and returns where to reply. Only later leaders learn whether they are
    /// committed.
    pub(super) fn drain(&mut self) -> Vec<ReplyTo> {
        let placed = std::mem::take(&mut self.appended);
        let placed = placed.into_values().map(|(_, placed)| placed);
        let proposed = std::mem::take(&mut self.proposed);
        let all = placed.chain(proposed.into_values());
        all.map(|proposed| proposed.reply_to).collect()
    }
}
