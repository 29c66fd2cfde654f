//! Hosts join, change, drain and get lost.

use super::{
    Due, HostFacts, HostNo, HostStage, Placer,
    host::{Host, Trust},
    job::Phase,
    queue::Rank,
};
use crate::core::{
    fleet::jobs::{AttemptEnd, StopReason},
    types::{Generation, HostId, JobId, Resources},
};

impl Placer {
    pub(super) fn host_joined(&mut self, facts: &HostFacts) {
        let Some(&no) = self.host_numbers.get(&facts.host) else {
            self.host_added(facts);
            return;
        };
        let known = self.host(no).map_or(0, |host| host.generation);
        if facts.generation <= known {
            return;
        }
        self.lose_jobs(no);
        self.host_renewed(no, facts);
    }

    pub(super) fn host_stage(&mut self, host: &HostId, stage: HostStage) {
        let Some(&no) = self.host_numbers.get(host) else {
            return;
        };
        self.change(no, |host| host.stage = stage);
        match stage {
            HostStage::TakesWork => {}
            HostStage::Cordoned => self.release_claims(no),
            HostStage::Gone => self.host_gone(no),
        }
    }

    pub(super) fn host_lost(&mut self, host: &HostId, generation: Generation) {
        let Some(&no) = self.host_numbers.get(host) else {
            return;
        };
        if self
            .host(no)
            .is_some_and(|host| host.generation == generation)
        {
            self.change(no, |host| host.lost = true);
            self.lose_jobs(no);
        }
    }

    pub(super) fn host_due(&mut self, host: &HostId, due: Due) {
        if let Some(&no) = self.host_numbers.get(host) {
            self.change(no, |host| host.due = due);
        }
    }

    /// Tells all that can be moved to stop, those first whose stop loses the least.
    pub(super) fn host_drained(&mut self, host: &HostId) {
        let Some(&no) = self.host_numbers.get(host) else {
            return;
        };
        self.change(no, |host| host.stage = HostStage::Cordoned);
        self.release_claims(no);
        let mut moved: Vec<(u128, JobId)> = self
            .jobs_on(no)
            .filter(|job| self.jobs[job].movable() && !self.jobs[job].cancelled)
            .map(|job| (self.jobs[&job].unsaved_work(self.now), job))
            .collect();
        moved.sort_unstable();
        for (_, job) in moved {
            self.stop(job, StopReason::Drained);
        }
    }

    /// Jobs of a host in the order of their numbers.
    pub(super) fn jobs_on(&self, no: HostNo) -> impl Iterator<Item = JobId> + '_ {
        self.host(no)
            .into_iter()
            .flat_map(|host| host.jobs.iter().copied())
    }

    fn host_added(&mut self, facts: &HostFacts) {
        let no = self.vacant.pop().unwrap_or_else(|| {
            self.hosts.push(None);
            self.hosts.len() as HostNo - 1
        });
        let pool = self.pool_no(&facts.pool);
        let host = Host {
            id: facts.host.clone(),
            pool,
            rack: self.racks.number(&facts.rack),
            centre: self.centres.number(&facts.data_centre),
            total: facts.resources,
            generation: facts.generation,
            stage: HostStage::TakesWork,
            lost: true,
            trust: Trust::Sound,
            asides: 0,
            due: Due::Done,
            jobs: Default::default(),
            claims: Default::default(),
            reserved: Resources::default(),
            promised: Resources::default(),
            yielding: Resources::default(),
            leaving: Resources::default(),
        };
        self.hosts[no as usize] = Some(host);
        self.host_numbers.insert(facts.host.clone(), no);
        self.enter(no);
    }

    /// A host comes back, perhaps to another pool. Its stage stays, for that is a fact of its own.
    fn host_renewed(&mut self, no: HostNo, facts: &HostFacts) {
        self.leave(no);
        let pool = self.pool_no(&facts.pool);
        let rack = self.racks.number(&facts.rack);
        let centre = self.centres.number(&facts.data_centre);
        self.health.forget(no);
        if let Some(host) = self.hosts[no as usize].as_mut() {
            host.pool = pool;
            host.rack = rack;
            host.centre = centre;
            host.total = facts.resources;
            host.generation = facts.generation;
            host.trust = if host.asides > 0 {
                Trust::Trial
            } else {
                Trust::Sound
            };
        }
        self.enter(no);
    }

    fn host_gone(&mut self, no: HostNo) {
        self.lose_jobs(no);
        self.leave(no);
        self.health.forget(no);
        if let Some(host) = self.hosts[no as usize].take() {
            self.host_numbers.remove(&host.id);
            self.vacant.push(no);
        }
    }

    /// Counts a host in its pool, and looks again at jobs that were too large before.
    fn enter(&mut self, no: HostNo) {
        let Some((pool, total)) = self.host(no).map(|host| (host.pool, host.total)) else {
            return;
        };
        let new = self.pools[pool as usize].join(&total);
        self.change(no, |host| host.lost = false);
        if new {
            let waiting = std::mem::take(&mut self.pools[pool as usize].impossible);
            self.reconsider(waiting);
        }
    }

    /// Takes a host out of its pool, and tells those that are too large for the others.
    fn leave(&mut self, no: HostNo) {
        let Some((pool, total)) = self.host(no).map(|host| (host.pool, host.total)) else {
            return;
        };
        self.change(no, |host| host.lost = true);
        self.end_aside(no);
        let pool = &mut self.pools[pool as usize];
        if !pool.leave(&total) {
            return;
        }
        let mut told: Vec<JobId> = pool.queue.misfits(|need| pool.fits(need)).collect();
        if pool.members == 0 {
            told.extend(&pool.impossible);
        }
        self.reconsider(told);
    }

    /// The leases of a host's generation are void: every attempt there is over.
    fn lose_jobs(&mut self, no: HostNo) {
        self.release_claims(no);
        let jobs: Vec<JobId> = self.jobs_on(no).collect();
        for job in jobs {
            let attempt = self.jobs[&job].attempt;
            self.attempt_ended(job, attempt, AttemptEnd::Lost);
        }
    }

    pub(super) fn release_claims(&mut self, no: HostNo) {
        let claims: Vec<Rank> = self
            .host(no)
            .map(|host| host.claims.iter().copied().collect())
            .unwrap_or_default();
        for claim in claims {
            self.release_claim(claim.job);
            self.enqueue(claim.job);
        }
    }

    /// Takes a claiming job off its host and gives back its quota; it stands nowhere then.
    pub(super) fn release_claim(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Phase::Claiming { host, .. } = job.phase else {
            return;
        };
        let (rank, need) = (job.rank(id), job.reserved);
        let (team, charge) = (job.team, job.declared);
        job.phase = Phase::New;
        job.reserved = Resources::default();
        self.change(host, |host| {
            host.claims.remove(&rank);
            host.promised = host.promised.minus(&need);
        });
        self.refund(team, &charge);
    }
}
