//! How a control node learns its cluster, and keeps it.
//!
//! Nothing is agreed before the first election, so the first leader makes the id: it proposes one
//! as soon as every voter is linked and has said which folder it has. The log carries it to all,
//! and each keeps it in a file of its own too, so that a restarted node knows it before it hears
//! anybody. Nodes of earlier releases say no folder, so the id is made once the last of them is
//! gone; they couldn't read the entry.

use std::{
    fs,
    hash::{BuildHasher, RandomState},
    io,
    path::Path,
};

use snafu::ResultExt;

use super::{
    control::{Input, Task},
    identity::{self, AccessSnafu, ClusterSnafu, IdentityError},
    waiting::Asker,
};
use crate::core::{
    cluster::{Cluster, FolderId, Founder},
    types::{NodeId, Now},
    workload::command::Command,
};

/// The file that holds the cluster.
const FILE: &str = "cluster";
/// From one proposal of an id to the next, until one is applied, and from one try to keep it to the
/// next.
const PAUSE: Now = Now::from_secs(2);

/// How far the keeping of the cluster is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kept {
    /// It isn't known yet, or keeping it failed and may be tried again then.
    No {
        /// When.
        due: Now,
    },
    /// It is being written.
    UnderWay,
    /// It is on the disk.
    Yes,
}

impl Kept {
    /// Whether the cluster should be kept now, once it is known.
    pub(super) fn is_due(self, now: Now) -> bool {
        matches!(self, Self::No { due } if now >= due)
    }
}

/// Reads the cluster that a data folder belongs to, if it knows.
///
/// # Errors
///
/// The file can't be read, or holds something else.
pub fn recall(folder: &Path) -> Result<Option<Cluster>, IdentityError> {
    let path = folder.join(FILE);
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
pub fn keep(folder: &Path, cluster: &Cluster) -> Result<(), IdentityError> {
    let path = folder.join(FILE);
    let text = serde_json::to_string(cluster).expect("numbers and lists are written always");
    identity::keep(folder, &path, &text).context(AccessSnafu { path })
}

/// The founders of a cluster that these nodes would make, if each of them has said its folder.
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
    said: impl Fn(NodeId) -> Option<FolderId>,
) -> Option<Vec<Founder>> {
    if others.iter().any(|node| said(*node).is_none()) {
        return None;
    }
    let founder = |node: &NodeId| {
        let folder = said(*node)?;
        Some(Founder {
            node: *node,
            folder,
        })
    };
    voters.iter().map(founder).collect()
}

impl Task {
    /// Proposes an id of the cluster, if this node leads one that has none and all can read it.
    pub(super) fn found(&mut self, now: Now) {
        let due = self.found_due.is_none_or(|due| now >= due);
        if !due || self.ledger.cluster().is_some() {
            return;
        }
        let me = self.ports.mesh.claim();
        let others = self.members.others(now, me.node);
        let others: Vec<_> = others.into_iter().map(|(node, _)| node).collect();
        let said = |node| {
            if node == me.node {
                return me.folder;
            }
            self.ports.mesh.said(node)?.folder
        };
        let Some(founders) = founders(self.node.voters(), &others, said) else {
            return;
        };
        self.found_due = Some(now + PAUSE);
        let cluster = self.told().unwrap_or_else(|| Cluster {
            // The standard hasher's keys come from the system's randomness.
            id: RandomState::new().hash_one(&founders),
            founders,
        });
        log::info!(cluster = cluster.id; "the cluster gets its id");
        self.propose(Asker::Nobody, Command::SetCluster(cluster));
    }

    /// The cluster that another voter says. A node of an earlier release may have been fed an image
    /// and passed over the id in it; as the leader of a later release it must not make another one.
    fn told(&self) -> Option<Cluster> {
        let said = |node: &NodeId| self.ports.mesh.said(*node)?.cluster;
        self.node.voters().iter().find_map(said)
    }

    /// Takes the cluster that the ledger names, and keeps it.
    pub(super) fn join(&mut self) {
        let Some(cluster) = self.ledger.cluster().cloned() else {
            return;
        };
        self.ports.mesh.join(cluster.clone());
        let held = self.ports.mesh.claim().cluster;
        if held.as_ref().is_some_and(|held| held.id != cluster.id) {
            let why = "the log is of another cluster than the data folder; empty the data folder";
            return self.fail(why.to_owned());
        }
        let Some(inbox) = self.sender.upgrade() else {
            return;
        };
        if !self.kept.is_due(self.now()) {
            return;
        }
        self.kept = Kept::UnderWay;
        let folder = self.folder.clone();
        // A slow disk must not hold up the task.
        tokio::task::spawn_blocking(move || {
            let kept = keep(&folder, &cluster).map_err(|error| error.to_string());
            // A task that has ended needs no answer.
            let _ = inbox.blocking_send(Input::Kept(kept).into());
        });
    }

    /// The cluster was kept, or not; then it is tried again.
    pub(super) fn kept(&mut self, kept: Result<(), String>) {
        self.kept = match kept {
            Ok(()) => Kept::Yes,
            Err(error) => {
                log::error!(error; "the cluster's id can't be kept");
                let due = self.now() + PAUSE;
                Kept::No { due }
            }
        };
    }
}
