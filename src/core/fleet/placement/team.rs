//! One team: its quota, what its jobs are charged, and where its jobs wait.
//!
//! A job is charged what it declared, not what is reserved for it. The shared state refuses start
//! rights by the same sum, a team can work it out by itself, and what is charged can't change
//! while the job runs. Charging learned needs was rejected for these reasons.

use std::collections::BTreeSet;

use super::{PoolNo, queue::Class};
use crate::core::types::{JobId, Resources};

#[derive(Clone, Debug, Default)]
pub(super) struct Team {
    pub(super) quota: Option<Resources>,
    /// What its started and claiming jobs declared.
    pub(super) used: Resources,
    /// The lines in which its jobs wait.
    pub(super) lines: BTreeSet<(PoolNo, Class)>,
    /// Those of them that lack quota.
    pub(super) blocked: BTreeSet<(PoolNo, Class)>,
    /// Jobs that the whole quota is too small for.
    pub(super) impossible: BTreeSet<JobId>,
}

impl Team {
    pub(super) fn left(&self) -> Resources {
        self.quota.unwrap_or_default().minus(&self.used)
    }
}
