//! Whose folder it is.

use std::hash::{BuildHasher, RandomState};

use serde::{Deserialize, Serialize};

pub use crate::core::cluster::FolderId;

use crate::core::types::NodeId;

/// The owner of a folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Identity {
    /// The node.
    pub node: NodeId,
    /// The folder's own id.
    pub folder: FolderId,
}

impl Identity {
    /// A new one. The standard hasher's keys come from the system's randomness, which is enough to
    /// tell two folders apart and saves a dependency.
    pub(super) fn new(node: NodeId) -> Self {
        let folder = RandomState::new().hash_one(node);
        Self { node, folder }
    }
}
