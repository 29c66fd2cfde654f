//! Room for urgent work: which ordinary jobs give way, and the claim on what they leave.
//!
//! A claim keeps the room from anyone else while the displaced jobs stop. If they don't within
//! [`Rules::claim`](super::Rules), the claim is given up and the job looks elsewhere.

use super::{
    HostNo, Placer, Timer,
    host::{Access, Lot},
    job::{Job, Phase},
    seam::Due,
};
use crate::core::{
    fleet::jobs::StopReason,
    types::{JobId, Now, Resources},
};

/// Where an urgent job can have room, and who has to go.
pub(super) struct Plan {
    host: HostNo,
    victims: Vec<JobId>,
}

impl Placer {
    /// The cheapest plan among hosts that could make room, by work lost.
    pub(super) fn plan(&self, job: &Job, need: &Resources) -> Option<Plan> {
        let mut found = Vec::new();
        for shelf in self.centres_for(job) {
            let limit = found.len() + self.rules.candidates;
            shelf.yielding.fitting(Due::Done, need, limit, &mut found);
        }
        let plans = found.into_iter().map(|host| {
            let (cost, victims) = self.victims(host, need);
            ((job.avoids(host), cost), Plan { host, victims })
        });
        plans.min_by_key(|&(cost, _)| cost).map(|(_, plan)| plan)
    }

    /// Makes the plan true and waits for its room.
    pub(super) fn claim(&mut self, id: JobId, plan: Plan, need: &Resources) {
        let until = self.now + self.rules.claim;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = Phase::Claiming {
            host: plan.host,
            until,
        };
        job.reserved = *need;
        let rank = job.rank(id);
        let team = &mut self.teams[job.team as usize];
        team.used = team.used.plus(&job.declared);
        self.timers.insert((until, Timer::Claim(id)));
        self.change(plan.host, |host| {
            host.claims.insert(rank);
            host.promised = host.promised.plus(need);
        });
        for victim in plan.victims {
            self.stop(victim, StopReason::Displaced);
        }
        self.fresh.push(id);
    }

    /// Starts the claims of a host that have their room now. A quota lowered since the claim
    /// sends the job back to its queue.
    pub(super) fn serve_claims(&mut self, no: HostNo) {
        while let Some((id, need)) = self.ripe_claim(no) {
            self.release_claim(id);
            let job = &self.jobs[&id];
            let left = self.teams[job.team as usize].left();
            if left.fits(&job.declared) || !self.rules.guards.quota {
                self.start(id, no, &need);
            } else {
                self.enqueue(id);
            }
        }
    }

    pub(super) fn claim_expired(&mut self, id: JobId, at: Now) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Phase::Claiming { host, until } = job.phase else {
            return;
        };
        if until == at {
            job.avoid = Some(host);
            self.release_claim(id);
            self.enqueue(id);
        }
    }

    fn ripe_claim(&self, no: HostNo) -> Option<(JobId, Resources)> {
        let host = self.host(no).filter(|host| host.access() == Access::Open)?;
        let free = host.total.minus(&host.reserved);
        let mut claims = host.claims.iter().map(|rank| rank.job);
        let job = claims.find(|job| free.fits(&self.jobs[job].reserved))?;
        Some((job, self.jobs[&job].reserved))
    }

    /// The jobs whose stop makes room for `need` on a host, and the work that it loses.
    fn victims(&self, no: HostNo, need: &Resources) -> (u128, Vec<JobId>) {
        let Some(host) = self.host(no) else {
            return (u128::MAX, Vec::new());
        };
        let taken = host.reserved.plus(&host.promised).minus(&host.leaving);
        let mut missing = need.plus(&taken).minus(&host.total);
        let mut yielding: Vec<(u128, JobId)> = self
            .jobs_on(no)
            .filter(|id| self.jobs[id].lot() == Lot::Yielding)
            .map(|id| (self.jobs[&id].unsaved_work(self.now), id))
            .collect();
        yielding.sort_unstable();
        let mut chosen = Vec::new();
        for (cost, id) in yielding {
            let gives = &self.jobs[&id].reserved;
            if helps(gives, &missing) {
                missing = missing.minus(gives);
                chosen.push((cost, id));
            }
        }
        self.spare(host.total, &need.plus(&taken), &mut chosen);
        let cost = chosen.iter().map(|&(cost, _)| cost).sum();
        (cost, chosen.into_iter().map(|(_, id)| id).collect())
    }

    /// Lets those off, the costliest first, without whom there is room as well.
    fn spare(&self, total: Resources, wanted: &Resources, chosen: &mut Vec<(u128, JobId)>) {
        for at in (0..chosen.len()).rev() {
            let others = chosen.iter().enumerate().filter(|&(other, _)| other != at);
            let given = others.fold(Resources::default(), |sum, (_, (_, id))| {
                sum.plus(&self.jobs[id].reserved)
            });
            if total.plus(&given).fits(wanted) {
                chosen.remove(at);
            }
        }
    }
}

/// Whether the amount covers some of what is missing.
const fn helps(gives: &Resources, missing: &Resources) -> bool {
    gives.millicores > 0 && missing.millicores > 0
        || gives.memory > 0 && missing.memory > 0
        || gives.accelerators > 0 && missing.accelerators > 0
}
