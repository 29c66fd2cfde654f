//! Records of the nodes.
//!
//! A node that left, for instance a voter that lost its disk, never comes back under its old id:
//! whoever remembers that id may remember votes and acknowledgements that the disk has forgotten.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use super::reply::{Refusal, Reply};
use crate::core::types::{DataCentreId, NodeId};

/// The nodes, present and past.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Members {
    nodes: BTreeMap<NodeId, Member>,
    retired: BTreeSet<NodeId>,
}

/// One node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Whether it has a data folder and may vote.
    pub disk: bool,
}

impl Members {
    /// The present nodes in order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.nodes.iter().map(|(node, member)| (*node, member))
    }

    /// One present node.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.nodes.get(&node)
    }

    /// Whether a node has left for good.
    pub fn is_retired(&self, node: NodeId) -> bool {
        self.retired.contains(&node)
    }

    pub(super) fn join(&mut self, node: NodeId, member: Member) -> Result<Reply, Refusal> {
        if self.is_retired(node) {
            return Err(Refusal::Retired { node });
        }
        self.nodes.insert(node, member);
        Ok(Reply::Noted)
    }

    pub(super) fn leave(&mut self, node: NodeId) -> Result<Reply, Refusal> {
        if self.is_retired(node) {
            return Ok(Reply::Noted);
        }
        self.nodes.remove(&node).ok_or(Refusal::NoNode { node })?;
        self.retired.insert(node);
        Ok(Reply::Noted)
    }
}
