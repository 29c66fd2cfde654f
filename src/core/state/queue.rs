//! All jobs, with what is derived from them: live rights by host and use by team.
//!
//! The derived tables keep each command's work independent of the number of jobs. They aren't
//! part of the image, since [`Queue::index`] makes them again.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{
    jobs::{Job, Phase, Right},
    reply::Refusal,
};
use crate::core::types::{HostId, JobId, Resources, TeamId, Wall};

/// How long an ended job is kept to be asked for.
pub const KEEP: Wall = Wall::from_secs(24 * 3600);
/// How many ended jobs are kept at most; the longest ended goes first.
pub const CAPACITY: usize = 50_000;

/// The jobs by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Queue {
    jobs: BTreeMap<JobId, Job>,
    #[serde(skip)]
    derived: Derived,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Derived {
    live: BTreeSet<(HostId, JobId)>,
    used: BTreeMap<TeamId, Resources>,
    ended: BTreeSet<(Wall, JobId)>,
}

impl Queue {
    /// One job.
    pub fn get(&self, job: JobId) -> Option<&Job> {
        self.jobs.get(&job)
    }

    /// Every job in the order of acceptance.
    pub fn iter(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// How many there are, ended ones included.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The jobs with a live start right on a host.
    pub fn on_host<'a>(&'a self, host: &'a HostId) -> impl Iterator<Item = JobId> + 'a {
        let from = (host.clone(), JobId::MIN);
        let to = (host.clone(), JobId::MAX);
        self.derived.live.range(from..=to).map(|(_, job)| *job)
    }

    /// What the jobs with a live start right of a team use together, as declared.
    pub fn used(&self, team: &TeamId) -> Resources {
        self.derived.used.get(team).copied().unwrap_or_default()
    }

    /// Refuses what a host with a live start right must not undergo.
    pub(super) fn check_idle(&self, host: &HostId) -> Result<(), Refusal> {
        match self.on_host(host).next() {
            Some(job) => Err(Refusal::HostBusy {
                host: host.clone(),
                job,
            }),
            None => Ok(()),
        }
    }

    pub(super) fn find(&self, job: JobId) -> Result<&Job, Refusal> {
        self.jobs.get(&job).ok_or(Refusal::NoJob { job })
    }

    pub(super) fn accept(&mut self, id: JobId, job: Job) {
        self.jobs.insert(id, job);
    }

    /// Changes one job and what is derived from it.
    pub(super) fn change(
        &mut self,
        id: JobId,
        change: impl FnOnce(&mut Job) -> Result<(), Refusal>,
    ) -> Result<(), Refusal> {
        let job = self.jobs.get_mut(&id).ok_or(Refusal::NoJob { job: id })?;
        self.derived.remove(id, job);
        let result = change(job);
        self.derived.add(id, job);
        result
    }

    pub(super) fn give(&mut self, id: JobId, right: Right) -> Result<(), Refusal> {
        self.change(id, |job| {
            job.start(right);
            Ok(())
        })
    }

    /// Forgets jobs that ended long ago, and the longest ended when there are too many.
    pub(super) fn expire(&mut self, clock: Wall) {
        while let Some((at, id)) = self.derived.ended.first().copied() {
            let old = at.saturating_add(KEEP) < clock;
            if !old && self.derived.ended.len() <= CAPACITY {
                return;
            }
            self.derived.ended.pop_first();
            self.jobs.remove(&id);
        }
    }

    /// Makes the derived tables again after the image was read.
    pub(super) fn index(&mut self) {
        self.derived = Derived::default();
        for (id, job) in &self.jobs {
            self.derived.add(*id, job);
        }
    }
}

impl Derived {
    fn add(&mut self, id: JobId, job: &Job) {
        if let Phase::Ended { at, .. } = job.phase {
            self.ended.insert((at, id));
        }
        let Some(right) = job.live() else {
            return;
        };
        self.live.insert((right.host.clone(), id));
        let used = self.used.entry(job.spec.team.clone()).or_default();
        *used = used.plus(&job.spec.resources);
    }

    fn remove(&mut self, id: JobId, job: &Job) {
        if let Phase::Ended { at, .. } = job.phase {
            self.ended.remove(&(at, id));
        }
        let Some(right) = job.live() else {
            return;
        };
        self.live.remove(&(right.host.clone(), id));
        let used = self.used.entry(job.spec.team.clone()).or_default();
        *used = used.minus(&job.spec.resources);
        if *used == Resources::default() {
            self.used.remove(&job.spec.team);
        }
    }
}
