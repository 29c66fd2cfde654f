//! Attempts begin and end; jobs come onto hosts and off them.

use super::{
    Decision, HostNo, Placer, Timer,
    host::{Lot, Trust},
    job::{Job, Phase},
};
use crate::core::{
    fleet::jobs::{AttemptEnd, Next, StopReason, Unresolved, after},
    types::{Attempt, JobId, Resources},
};

/// Doublings after which a pause grows no more.
const PAUSE_DOUBLINGS: u32 = 6;

impl Placer {
    pub(super) fn attempt_ended(&mut self, id: JobId, attempt: Attempt, end: AttemptEnd) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if self.rules.guards.attempts && job.attempt != attempt {
            return;
        }
        match job.phase {
            Phase::Starting(host) | Phase::Running(host) | Phase::Stopping(host, _) => {
                self.learn(id, end);
                self.vacate(id);
                self.lay_blame(host, id, end);
                self.judge_end(id, end);
                self.serve_claims(host);
            }
            Phase::Unresolved(_) => self.resolve(id, end),
            _ => {}
        }
    }

    /// What becomes of a job that holds nothing any more.
    pub(super) fn judge_end(&mut self, id: JobId, end: AttemptEnd) {
        let job = &self.jobs[&id];
        if job.cancelled {
            self.jobs.remove(&id);
            return;
        }
        let idempotent = job.idempotent || !self.rules.guards.unresolved;
        match after(end, idempotent) {
            Next::Finish => {
                self.jobs.remove(&id);
            }
            Next::Queue => self.enqueue(id),
            Next::Retry => self.pause(id),
            Next::Unresolved(reason) => self.unresolve(id, reason),
        }
    }

    /// Puts a job on a host, in the phase given, and charges its team.
    pub(super) fn occupy(&mut self, id: JobId, phase: Phase, need: &Resources) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = phase;
        job.reserved = *need;
        job.reports = 0;
        job.throttled = false;
        job.began = now;
        job.unsaved = now;
        let (lot, team, service) = (job.lot(), job.team, job.service);
        let charge = job.declared;
        let Some(no) = job.host() else {
            return;
        };
        self.change(no, |host| {
            host.add(lot, need);
            host.jobs.insert(id);
        });
        let team = &mut self.teams[team as usize];
        team.used = team.used.plus(&charge);
        if let Some(host) = self.hosts[no as usize].as_ref() {
            self.spread.add(service, host.centre, host.rack);
        }
    }

    /// Takes a job off its host and gives back its quota.
    fn vacate(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(no) = job.host() else {
            return;
        };
        let (lot, team, service) = (job.lot(), job.team, job.service);
        let reserved = std::mem::take(&mut job.reserved);
        let charge = job.declared;
        job.phase = Phase::New;
        if let Some(host) = self.hosts[no as usize].as_ref() {
            self.spread.take(service, host.centre, host.rack);
        }
        self.change(no, |host| {
            host.take(lot, &reserved);
            host.jobs.remove(&id);
        });
        self.refund(team, &charge);
    }

    /// Tells an attempt to stop, by a checkpoint where it has to go on later and can.
    pub(super) fn stop(&mut self, id: JobId, why: StopReason) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let (Phase::Starting(no) | Phase::Running(no)) = job.phase else {
            return;
        };
        let old = job.lot();
        job.phase = Phase::Stopping(no, why);
        job.moved = true;
        let reserved = job.reserved;
        let Some(host) = self.hosts[no as usize].as_ref().map(|host| host.id.clone()) else {
            return;
        };
        let decision = stop_decision(id, job, host, why);
        self.change(no, |host| {
            host.take(old, &reserved);
            host.add(Lot::Leaving, &reserved);
        });
        self.out.push(decision);
    }

    fn pause(&mut self, id: JobId) {
        let job = &self.jobs[&id];
        let sound = job.failed.iter().filter(|&&no| self.is_sound(no)).count();
        if sound >= self.rules.tries || job.failures >= self.rules.failures {
            self.unresolve(id, Unresolved::FailsEverywhere);
            return;
        }
        let doublings = job.failures.saturating_sub(1).min(PAUSE_DOUBLINGS);
        let until = self.now + self.rules.pause * 2u32.pow(doublings);
        self.timers.insert((until, Timer::Pause(id)));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.phase = Phase::Paused;
        }
        self.fresh.push(id);
    }

    /// A host whose failures count against the job.
    fn is_sound(&self, no: HostNo) -> bool {
        self.host(no).is_some_and(|host| host.trust == Trust::Sound)
    }

    fn unresolve(&mut self, id: JobId, reason: Unresolved) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.phase = Phase::Unresolved(reason);
            self.out.push(Decision::Unresolved { job: id, reason });
        }
    }

    /// Late news of an unresolved job's last attempt may settle it.
    fn resolve(&mut self, id: JobId, end: AttemptEnd) {
        match end {
            AttemptEnd::Done => {
                self.jobs.remove(&id);
            }
            AttemptEnd::NeverBegan | AttemptEnd::Refused | AttemptEnd::Checkpointed => {
                self.enqueue(id);
            }
            AttemptEnd::Failed | AttemptEnd::Stopped | AttemptEnd::Lost => {}
        }
    }
}

fn stop_decision(
    id: JobId,
    job: &Job,
    host: crate::core::types::HostId,
    why: StopReason,
) -> Decision {
    let attempt = job.attempt;
    if job.checkpoints && why != StopReason::Cancelled {
        Decision::Checkpoint {
            job: id,
            attempt,
            host,
            why,
        }
    } else {
        Decision::Stop {
            job: id,
            attempt,
            host,
            why,
        }
    }
}
