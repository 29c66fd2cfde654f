//! What a node's request path is told once, when it begins.

use crate::core::{
    routing::{minions::Protections, share::Sharing},
    types::{DataCentreId, NodeId},
};

/// Who this node is, and which protections it runs with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// How slots are shared; the other ways are there to be measured.
    pub sharing: Sharing,
    /// For tests only: each can be switched off to show what it protects from.
    pub protections: Protections,
}

impl Settings {
    /// A node with every protection on.
    pub fn new(node: NodeId, data_centre: DataCentreId) -> Self {
        Self {
            node,
            data_centre,
            sharing: Sharing::default(),
            protections: Protections::default(),
        }
    }

    /// Changes the way slots are shared.
    #[must_use]
    pub fn with_sharing(mut self, sharing: Sharing) -> Self {
        self.sharing = sharing;
        self
    }

    /// Changes the protections, for tests.
    #[must_use]
    pub fn with_protections(mut self, protections: Protections) -> Self {
        self.protections = protections;
        self
    }
}
