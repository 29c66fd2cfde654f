//! Jobs are accepted, adopted, cancelled; quotas change.

use super::{
    Adopted, AdoptedPhase, Placer, PoolNo, Standing, TeamNo,
    job::{Job, Phase},
    pool::Pool,
    team::Team,
};
use crate::core::{
    fleet::jobs::{AttemptEnd, JobSpec, StopReason, Unresolved, Waiting},
    types::{Attempt, JobId, Now, PoolId, Resources, TeamId},
};

impl Placer {
    pub(super) fn job_submitted(&mut self, id: JobId, spec: &JobSpec) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let job = self.new_job(spec);
        self.jobs.insert(id, job);
        self.enqueue(id);
    }

    /// Takes over an attempt of an earlier leader. If its host has changed since, it is lost.
    pub(super) fn job_adopted(&mut self, adopted: &Adopted) {
        let id = adopted.job;
        if !self.dequeue(id) {
            return;
        }
        let need = self
            .judge(&self.jobs[&id])
            .unwrap_or(self.jobs[&id].declared);
        let host = self.host_numbers.get(&adopted.host).copied();
        let alive = host.filter(|&no| {
            self.host(no)
                .is_some_and(|host| !host.lost && host.generation == adopted.generation)
        });
        let job = self.jobs.get_mut(&id).expect("it was queued");
        job.attempt = adopted.attempt;
        match (adopted.phase, alive) {
            (AdoptedPhase::Unresolved, _) => {
                job.phase = Phase::Unresolved(Unresolved::MayHaveRun);
            }
            (AdoptedPhase::Starting, Some(host)) => self.occupy(id, Phase::Starting(host), &need),
            (AdoptedPhase::Running, Some(host)) => self.occupy(id, Phase::Running(host), &need),
            (_, None) => self.judge_end(id, AttemptEnd::Lost),
        }
    }

    pub(super) fn job_cancelled(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match job.phase {
            Phase::Starting(_) | Phase::Running(_) if !job.cancelled => {
                job.cancelled = true;
                self.stops.push_back(id);
                if !self.rules.guards.paced {
                    self.let_out(usize::MAX);
                }
            }
            Phase::Starting(_) | Phase::Running(_) | Phase::Stopping(..) => job.cancelled = true,
            Phase::Claiming { .. } => {
                self.release_claim(id);
                self.jobs.remove(&id);
            }
            _ => {
                self.dequeue(id);
                self.jobs.remove(&id);
            }
        }
    }

    /// Tells cancelled jobs to stop, up to a number of them.
    pub(super) fn let_out(&mut self, limit: usize) {
        let mut told = 0;
        while told < limit {
            let Some(job) = self.stops.pop_front() else {
                return;
            };
            told += 1;
            self.stop(job, StopReason::Cancelled);
        }
    }

    pub(super) fn quota_set(&mut self, team: &TeamId, quota: Resources) {
        let no = self.team_no(team);
        let known = &mut self.teams[no as usize];
        if known.quota == Some(quota) {
            return;
        }
        known.quota = Some(quota);
        let mut changed: Vec<JobId> = std::mem::take(&mut known.impossible).into_iter().collect();
        for (pool, class) in &known.lines {
            if !quota.fits(&class.charge) {
                changed.extend(self.pools[*pool as usize].queue.jobs_of(class));
            }
        }
        self.reconsider(changed);
        self.wake_lines(no);
    }

    pub(super) fn attempt_began(&mut self, id: JobId, attempt: Attempt) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Phase::Starting(host) = job.phase
            && job.attempt == attempt
        {
            job.phase = Phase::Running(host);
            job.began = now;
            job.unsaved = now;
        }
    }

    pub(super) fn checkpoint_taken(&mut self, id: JobId, attempt: Attempt) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&id)
            && job.attempt == attempt
        {
            job.unsaved = now;
        }
    }

    pub(super) fn pause_ended(&mut self, id: JobId) {
        if self
            .jobs
            .get(&id)
            .is_some_and(|job| job.phase == Phase::Paused)
        {
            self.enqueue(id);
        }
    }

    pub(super) fn standing(&self, job: &Job) -> Standing {
        let name = |no| {
            self.host(no)
                .map_or_else(|| "".into(), |host| host.id.clone())
        };
        match job.phase {
            Phase::New => Standing::Waiting(Waiting::NoRoom),
            Phase::Queued(need) => Standing::Waiting(self.blocked_by(job, &need)),
            Phase::Paused => Standing::Waiting(Waiting::Retry),
            Phase::Claiming { .. } => Standing::Waiting(Waiting::Displacing),
            Phase::Impossible(reason) => Standing::Impossible(reason),
            Phase::Starting(host) => Standing::Starting(name(host)),
            Phase::Running(host) => Standing::Running(name(host)),
            Phase::Stopping(host, why) => Standing::Stopping(name(host), why),
            Phase::Unresolved(reason) => Standing::Unresolved(reason),
        }
    }

    pub(super) fn pool_no(&mut self, pool: &PoolId) -> PoolNo {
        let no = self.pool_names.number(pool);
        if no as usize == self.pools.len() {
            self.pools.push(Pool::default());
        }
        no
    }

    pub(super) fn team_no(&mut self, team: &TeamId) -> TeamNo {
        let no = self.team_names.number(team);
        if no as usize == self.teams.len() {
            self.teams.push(Team::default());
        }
        no
    }

    fn new_job(&mut self, spec: &JobSpec) -> Job {
        let service = self.services.number(&spec.service);
        let team = self.team_no(&spec.team);
        let kinds = self.kinds.len() as u32;
        Job {
            pool: self.pool_no(&spec.pool),
            team,
            service,
            kind: *self.kinds.entry((service, team)).or_insert(kinds),
            declared: spec.declared,
            run_time: spec.run_time,
            priority: spec.priority,
            urgency: spec.urgency,
            idempotent: spec.idempotent,
            checkpoints: spec.checkpoints,
            cancelled: false,
            moved: false,
            throttled: false,
            phase: Phase::New,
            told: None,
            attempt: 0,
            reserved: Resources::default(),
            peak: Resources::default(),
            reports: 0,
            began: Now::ZERO,
            unsaved: Now::ZERO,
            failures: 0,
            failed: Vec::new(),
            avoid: None,
        }
    }
}
