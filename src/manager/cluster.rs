//! How a control node learns the cluster id and stores it.
//!
//! Nothing is committed before the first election, so the first leader creates the id. It proposes
//! the id as soon as it is linked with every voter and each of them has sent the id of its data
//! folder. The log replicates the cluster id to all control nodes. Each node also saves it in a
//! file of its own, so that a restarted node knows its cluster before it hears from any peer.
//!
//! Nodes of earlier releases send no folder id and can't decode the log entry, so the cluster id is
//! created only once none of them is left.

use std::{
    fs,
    hash::{BuildHasher, RandomState},
    io,
    path::Path,
};

use snafu::ResultExt;

use super::{
    control::{ControlTask, Input},
    identity::{self, AccessSnafu, ClusterSnafu, IdentityError},
    proposals::ReplyTo,
};
use crate::core::{
    cluster::{Cluster, FolderId, Founder},
    types::{NodeId, Now},
    workload::command::Command,
};

/// The file in the data folder that holds the cluster.
const FILE_NAME: &str = "cluster";
/// Time between two proposals of a cluster id until one is applied, and between two attempts to
/// save it.
const RETRY_INTERVAL: Now = Now::from_secs(2);

/// Whether the cluster is saved in the data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SaveState {
    /// The cluster isn't known yet, or saving it failed and is retried.
    Unsaved {
        /// The earliest time of the next attempt.
        due: Now,
    },
    /// The file is being written.
    Saving,
    /// The file is on the disk.
    Saved,
}

impl SaveState {
    /// Whether to save the cluster now, provided that it is known.
    pub(super) fn is_due(self, now: Now) -> bool {
        matches!(self, Self::Unsaved { due } if now >= due)
    }
}

/// Reads the cluster that a data folder belongs to, if the folder has one.
///
/// # Errors
///
/// The file can't be read, or its content isn't a cluster.
pub fn load(folder: &Path) -> Result<Option<Cluster>, IdentityError> {
    let path = folder.join(FILE_NAME);
    let text = match fs::read(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(IdentityError::Access { path, source }),
    };
    let cluster = serde_json::from_slice(&text).context(ClusterSnafu { path })?;
    Ok(Some(cluster))
}

/// Writes the cluster into a data folder.
///
/// # Errors
///
/// The file can't be written.
pub fn save(folder: &Path, cluster: &Cluster) -> Result<(), IdentityError> {
    let path = folder.join(FILE_NAME);
    let text = serde_json::to_string(cluster).expect("a cluster can always be serialized");
    identity::write_file(folder, &path, &text).context(AccessSnafu { path })
}

/// Returns the founders of a new cluster, one for each voter.
///
/// Returns `None` unless every voter and every other control node has reported the id of its data
/// folder.
///
/// ```
/// use egretpin::manager::cluster::founders;
///
/// let said = |node: u64| (node < 3).then_some(node + 40);
/// assert_eq!(founders(&[1, 2], &[], said).map(|f| f.len()), Some(2));
/// assert_eq!(founders(&[1, 2, 3], &[], said), None, "a voter isn't heard, or is of an earlier release");
/// assert_eq!(founders(&[1, 2], &[3], said), None, "another control node is");
/// ```
pub fn founders(
    voters: &[NodeId],
    others: &[NodeId],
    folder_of: impl Fn(NodeId) -> Option<FolderId>,
) -> Option<Vec<Founder>> {
    if others.iter().any(|node| folder_of(*node).is_none()) {
        return None;
    }
    let founder = |node: &NodeId| {
        let folder = folder_of(*node)?;
        Some(Founder {
            node: *node,
            folder,
        })
    };
    voters.iter().map(founder).collect()
}

impl ControlTask {
    /// Proposes a cluster id if this node leads a cluster that has none and every control node can
    /// decode the entry.
    pub(super) fn propose_cluster(&mut self, now: Now) {
        let due = self.cluster_due.is_none_or(|due| now >= due);
        if !due || self.ledger.cluster().is_some() {
            return;
        }
        let me = self.ports.mesh.claim();
        let others = self.members.fresh_peers(now, me.node);
        let others: Vec<_> = others.into_iter().map(|(node, _)| node).collect();
        let folder_of = |node| {
            if node == me.node {
                return me.folder;
            }
            self.ports.mesh.said(node)?.folder
        };
        let Some(founders) = founders(self.node.voters(), &others, folder_of) else {
            return;
        };
        self.cluster_due = Some(now + RETRY_INTERVAL);
        let cluster = self.reported_cluster().unwrap_or_else(|| Cluster {
            // The keys of the standard hasher come from the system's random number generator.
            id: RandomState::new().hash_one(&founders),
            founders,
        });
        log::info!(cluster = cluster.id; "proposing a cluster id");
        self.propose(ReplyTo::Discard, Command::SetCluster(cluster));
    }

    /// The cluster that another voter reports. A node of an earlier release may have skipped the id
    /// while it restored a snapshot. When that node leads with a later release, it must propose the
    /// same id, not a second one.
    fn reported_cluster(&self) -> Option<Cluster> {
        let reported = |node: &NodeId| self.ports.mesh.said(*node)?.cluster;
        self.node.voters().iter().find_map(reported)
    }

    /// Adopts the cluster that the ledger names, and saves it.
    pub(super) fn adopt_cluster(&mut self) {
        let Some(cluster) = self.ledger.cluster().cloned() else {
            return;
        };
        self.ports.mesh.join(cluster.clone());
        let held = self.ports.mesh.claim().cluster;
        if held.as_ref().is_some_and(|held| held.id != cluster.id) {
            let why =
                "the log belongs to another cluster than the data folder; empty the data folder";
            return self.fail(why.to_owned());
        }
        let Some(inbox) = self.sender.upgrade() else {
            return;
        };
        if !self.save_state.is_due(self.now()) {
            return;
        }
        self.save_state = SaveState::Saving;
        let folder = self.folder.clone();
        // Runs on a thread of its own, so that a slow disk doesn't block the control task.
        tokio::task::spawn_blocking(move || {
            let result = save(&folder, &cluster).map_err(|error| error.to_string());
            // The send fails only when the control task has ended.
            let _ = inbox.blocking_send(Input::ClusterSaved(result).into());
        });
    }

    /// Records the result of saving the cluster; schedules a retry if it failed.
    pub(super) fn cluster_saved(&mut self, result: Result<(), String>) {
        self.save_state = match result {
            Ok(()) => SaveState::Saved,
            Err(error) => {
                log::error!(error; "failed to save the cluster id; it will be tried again");
                let due = self.now() + RETRY_INTERVAL;
                SaveState::Unsaved { due }
            }
        };
    }
}
