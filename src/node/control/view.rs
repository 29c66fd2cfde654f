//! What others may see of the control task.

use std::time::Duration;

use crate::core::{
    activation::Acting,
    consensus::{Index, Term},
    state::State,
    types::{NodeId, Now, Version},
};

/// The state between two steps.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    /// The replicated state.
    pub(crate) state: &'a State,
    /// Under what this node acts.
    pub(crate) acting: &'a Acting,
    /// Who leads.
    pub(crate) leader: Option<NodeId>,
    /// Whether this node leads.
    pub(crate) leads: bool,
    /// The term.
    pub(crate) term: Term,
    /// The last committed index known here.
    pub(crate) committed: Index,
    /// The voters.
    pub(crate) voters: &'a [NodeId],
    /// The nodes that a roll-out still waits for, with the end of each one's lease; known to the
    /// leader alone.
    pub(crate) waiting: &'a [(NodeId, Now)],
    /// The nodes that hold a configuration lease and the version of each; known to the leader
    /// alone.
    pub(crate) holders: &'a [(NodeId, Version)],
    /// How long the last change of configuration took from its commit to its activation; known
    /// to the node that led meanwhile.
    pub(crate) rollout: Option<Duration>,
    /// Whether the disk is full.
    pub(crate) full: bool,
}
