//! Which cluster a node is of, and whom it may be linked with.
//!
//! A cluster gets a random id from its first leader, in an entry of its log. The entry also lists
//! the *founders*, the voters of that moment, each with the random number that its data folder got
//! when it was made. A node that doesn't know its cluster yet is told from a stray by these: who
//! claims the id of a founder must have its folder.
//!
//! ```
//! use egretpin::core::cluster::{Claim, Cluster, Founder};
//!
//! let claim = |node, folder, cluster| Claim { node, folder: Some(folder), cluster };
//! let ours = Cluster { id: 7, founders: vec![Founder { node: 1, folder: 40 }] };
//! let theirs = Cluster { id: 8, founders: vec![Founder { node: 1, folder: 50 }] };
//! let here = claim(2, 41, Some(ours.clone()));
//! assert!(here.admits(&claim(1, 40, Some(ours))));
//! assert!(!here.admits(&claim(1, 50, Some(theirs))), "it is of another cluster");
//! assert!(here.admits(&claim(1, 40, None)), "a founder that didn't learn it yet");
//! assert!(!here.admits(&claim(1, 50, None)), "another disk under the id of a founder");
//! assert!(here.admits(&claim(3, 42, None)), "a new node");
//! ```

use serde::{Deserialize, Serialize};

use super::types::NodeId;

/// A random number that a cluster gets once.
pub type ClusterId = u64;
/// A random number that a data folder gets when it is made, to tell it from any other of the same node.
pub type FolderId = u64;

/// A cluster.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Cluster {
    /// Its id.
    pub id: ClusterId,
    /// Its voters when the id was made.
    pub founders: Vec<Founder>,
}

/// A voter of a cluster when its id was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Founder {
    /// Which node.
    pub node: NodeId,
    /// Its data folder.
    pub folder: FolderId,
}

/// What a node says of itself to those that it is linked with.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Which node it is.
    pub node: NodeId,
    /// Its data folder. Entry nodes have none, and nodes of earlier releases say none.
    pub folder: Option<FolderId>,
    /// Its cluster, once it knows.
    pub cluster: Option<Cluster>,
}

impl Claim {
    /// Whether both may be of one cluster. Either end comes to the same.
    pub fn admits(&self, peer: &Self) -> bool {
        match (&self.cluster, &peer.cluster) {
            (Some(ours), Some(theirs)) => ours.id == theirs.id,
            (Some(ours), None) => ours.may_hold(peer),
            (None, Some(theirs)) => theirs.may_hold(self),
            (None, None) => true,
        }
    }
}

impl Cluster {
    /// Whether a node that doesn't know its cluster may be of this one.
    fn may_hold(&self, claim: &Claim) -> bool {
        let founder = self.founders.iter().find(|f| f.node == claim.node);
        founder.is_none_or(|founder| claim.folder == Some(founder.folder))
    }
}
