//! Peers of other clusters.

use std::sync::{Mutex, PoisonError};

use prometheus_client::metrics::counter::Counter;

use crate::core::{
    cluster::Claim,
    types::{NodeId, Set},
};

/// How many strangers are logged, each once; all are counted.
const LOGGED: usize = 16;

/// Those that were refused.
#[derive(Debug)]
pub(super) struct Strangers {
    refused: Counter,
    logged: Mutex<Set<NodeId>>,
}

impl Strangers {
    pub(super) fn new(refused: Counter) -> Self {
        Self {
            refused,
            logged: Mutex::default(),
        }
    }

    /// A peer was refused. It may dial, or be dialled, again and again.
    pub(super) fn refuse(&self, ours: &Claim, peer: &Claim) {
        self.refused.inc();
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.len() >= LOGGED || !logged.insert(peer.node) {
            return;
        }
        let id = |claim: &Claim| claim.cluster.as_ref().map(|cluster| cluster.id);
        log::warn!(
            peer = peer.node, folder = peer.folder, theirs = id(peer), ours = id(ours);
            "a node of another cluster is refused; empty its data folder, or restart it if it has none"
        );
    }
}
