//! What one node knows of the shared log, for those who look after it.

use serde::{Deserialize, Serialize};

use crate::core::types::{NodeId, PresetId, Version};

/// One node and the shared log as it sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Node {
    /// The node.
    pub node: NodeId,
    /// Who leads, as far as it knows.
    pub leader: Option<NodeId>,
    /// Whether it leads itself.
    pub leads: bool,
    /// The term.
    pub term: u64,
    /// The last index that it knows to be committed.
    pub committed: u64,
    /// The last index that its copy of the state has taken in.
    pub applied: u64,
    /// A digest of its copy: equal on all nodes at one index.
    pub digest: String,
    /// The voters, by the newest entry of its log that says so.
    pub voters: Vec<NodeId>,
    /// Under what it acts.
    pub acting: Acting,
    /// Nodes that a roll-out still waits for; known to the leader alone.
    pub waiting: Vec<NodeId>,
    /// Whether its disk is full.
    pub disk_full: bool,
}

/// Under what a node acts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
pub enum Acting {
    /// Under a configuration.
    Under {
        /// Its version.
        version: Version,
        /// Its preset.
        preset: PresetId,
    },
    /// Under the rules for nodes that are cut off.
    CutOff {
        /// The label of why.
        cut_off: String,
    },
}

/// The answer to a change of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Placed {
    /// The change stands in the leader's log and holds once a quorum has it.
    pub placed: bool,
}
