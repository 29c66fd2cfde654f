//! Links cut on purpose, for trials of network partitions.

use std::{
    collections::BTreeSet,
    sync::{
        PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
};

use crate::core::types::NodeId;

/// Peers whose messages are dropped both ways.
#[derive(Debug, Default)]
pub struct Faults {
    cut: RwLock<BTreeSet<NodeId>>,
    dropped: AtomicU64,
}

impl Faults {
    /// Replaces the set of peers that are cut off from this node.
    pub fn cut(&self, peers: impl IntoIterator<Item = NodeId>) {
        let mut cut = self.cut.write().unwrap_or_else(PoisonError::into_inner);
        *cut = peers.into_iter().collect();
    }

    /// Messages dropped so far, sent and received ones together.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Whether a message from or to a peer is to be dropped; counts it if so.
    pub(super) fn drops(&self, peer: NodeId) -> bool {
        let cut = self.cut.read().unwrap_or_else(PoisonError::into_inner);
        let drops = cut.contains(&peer);
        self.dropped.fetch_add(u64::from(drops), Ordering::Relaxed);
        drops
    }
}
