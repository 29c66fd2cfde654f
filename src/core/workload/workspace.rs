//! Workspaces: who submits jobs, and how many resources their tasks may use at once.
//!
//! A *workspace* is a customer of the queues. Its callers present one of its keys, and the jobs that they
//! submit belong to the workspace. A *cap* limits the resources of a workspace's tasks over all pools
//! together. It counts tasks that have started, that may have started and that are being stopped. A task that
//! exceeds the cap by itself runs alone.
//!
//! Keys are secrets. Only the text of the catalog contains them. Everything else identifies a key by its
//! [`KeyDigest`], which reveals nothing about the key and isn't printed either.
//!
//! ```
//! use egretpin::core::{types::Resources, workload::workspace::{Cap, KeyDigest}};
//!
//! let key = KeyDigest::of(&"a key".into());
//! assert_eq!(key, KeyDigest::of(&"a key".into()));
//! assert_eq!(format!("{key:?}"), "KeyDigest(..)");
//!
//! let cores = |millicores| Resources { millicores, ..Resources::default() };
//! let cap = Cap(cores(4000));
//! assert!(cap.allows(&cores(3000), &cores(1000), 1));
//! assert!(!cap.allows(&cores(3000), &cores(1500), 1));
//! // A task that exceeds the cap by itself runs alone.
//! assert!(cap.allows(&cores(0), &cores(6000), 1));
//! ```

use std::fmt;

use secrecy::{ExposeSecret, SecretString};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::spec::TaskIx;
use crate::core::types::{Resources, WorkspaceId};

/// The digest of a key of a workspace: the first half of its SHA-256 hash.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &SecretString) -> Self {
        let digest = Sha256::digest(key.expose_secret());
        let (half, _) = digest.split_at(size_of::<u128>());
        Self(
            half.iter()
                .fold(0, |value, byte| value << 8 | u128::from(*byte)),
        )
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A workspace as operators declare it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceSpec {
    /// Its name.
    pub name: WorkspaceId,
    /// The digests of the keys that its callers may present.
    pub keys: Vec<KeyDigest>,
    /// Its share when there is too little capacity for all workspaces, and the rate of jobs per second that
    /// it may rely on.
    pub weight: f64,
    /// The limit on the resources of its tasks.
    pub cap: Cap,
}

/// The limit on the resources that the tasks of a workspace use at once. For each kind, 0 means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cap(pub Resources);

impl Cap {
    /// Whether `tasks` tasks that each need `need` may start together while the workspace uses `used`.
    pub fn allows(&self, used: &Resources, need: &Resources, tasks: TaskIx) -> bool {
        let Resources {
            millicores,
            memory,
            accelerators,
        } = self.0;
        let tasks = u64::from(tasks);
        fits_cap(millicores, used.millicores, need.millicores, tasks)
            && fits_cap(memory, used.memory, need.memory, tasks)
            && fits_cap(
                accelerators.into(),
                used.accelerators.into(),
                need.accelerators.into(),
                tasks,
            )
    }

    /// The most tasks that may run at once, each needing `need`, if nothing else runs; at least one.
    pub fn max_parallel(&self, need: &Resources) -> TaskIx {
        let most = |cap: u64, need: u64| {
            let limited = cap > 0 && need > 0;
            if limited {
                (cap / need).max(1)
            } else {
                u64::MAX
            }
        };
        let most = most(self.0.millicores, need.millicores)
            .min(most(self.0.memory, need.memory))
            .min(most(self.0.accelerators.into(), need.accelerators.into()));
        TaskIx::try_from(most).unwrap_or(TaskIx::MAX)
    }
}

/// Whether `tasks` tasks that each need `need` fit into the cap of one kind of resource. If nothing else uses
/// it, the last of them may exceed the cap.
fn fits_cap(cap: u64, used: u64, need: u64, tasks: u64) -> bool {
    let sum = |tasks: u64| used.saturating_add(need.saturating_mul(tasks));
    let alone = used == 0 && sum(tasks.saturating_sub(1)) <= cap;
    cap == 0 || alone || sum(tasks) <= cap
}
