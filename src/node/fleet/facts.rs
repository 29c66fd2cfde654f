//! The shared state in the words of the fleet's decisions.

use crate::core::{
    consensus::Index,
    fleet::{
        jobs::{AttemptEnd, JobSpec},
        placement::{Adopted, AdoptedPhase, Event as Fact, HostFacts, HostStage},
    },
    state::{End, Job, Phase, Request, Resolution, Stage, State},
    types::{HostId, JobId, PoolId},
};

/// The whole fleet: quotas and hosts.
pub(super) fn fleet(state: &State) -> Vec<Fact> {
    let declaration = state.configuration().declaration();
    let quotas = declaration
        .teams
        .iter()
        .map(|(team, spec)| Fact::TeamQuota {
            team: team.clone(),
            quota: spec.quota,
        });
    let hosts = state.hosts().iter().flat_map(|(id, _)| host(state, id));
    quotas.chain(hosts).collect()
}

/// One host; nothing if the declaration dropped it.
pub(super) fn host(state: &State, id: &HostId) -> Vec<Fact> {
    let declaration = state.configuration().declaration();
    let (Some(host), Some(spec)) = (state.hosts().get(id), declaration.hosts.get(id)) else {
        return Vec::new();
    };
    let joined = Fact::HostJoined(HostFacts {
        host: id.clone(),
        pool: host.pool.clone(),
        rack: spec.rack.clone(),
        data_centre: spec.data_centre.clone(),
        resources: spec.resources,
        generation: host.generation,
    });
    let staged = Fact::HostStage {
        host: id.clone(),
        stage: stage(host.stage),
    };
    vec![joined, staged]
}

/// Hosts that each pool has above what its budgets ask for.
pub(super) fn buffers(state: &State) -> Vec<(PoolId, i64)> {
    let declaration = state.configuration().declaration();
    let buffer = |pool: &PoolId| {
        let hosts = state.hosts().of_pool(pool).count();
        let services = declaration
            .services
            .values()
            .filter(|spec| spec.pool == *pool);
        let needed: u32 = services.map(|spec| spec.budget.available).sum();
        i64::try_from(hosts).unwrap_or(i64::MAX) - i64::from(needed)
    };
    let pools = declaration.pools.keys();
    pools.map(|pool| (pool.clone(), buffer(pool))).collect()
}

/// A job with its present attempt, if it has one; nothing if its service is gone.
pub(super) fn job(state: &State, id: JobId) -> Vec<Fact> {
    let Some(job) = state.jobs().get(id).filter(|job| !job.is_ended()) else {
        return Vec::new();
    };
    let Some(spec) = spec(state, job) else {
        return Vec::new();
    };
    let mut facts = vec![Fact::JobSubmitted { job: id, spec }];
    facts.extend(adopted(id, job).map(Fact::Adopt));
    if job.cancelled {
        facts.push(Fact::JobCancelled { job: id });
    }
    facts
}

/// What an operator's request changed.
pub(super) fn request(state: &State, index: Index, request: &Request) -> Vec<Fact> {
    match request {
        Request::Apply { .. } => fleet(state),
        Request::SubmitJob(_) => job(state, index),
        Request::CancelJob { job } => vec![Fact::JobCancelled { job: *job }],
        Request::ResolveJob {
            job: id,
            resolution,
            ..
        } => {
            // The placer forgets the unresolved job; one that runs again is a new one to it.
            let mut facts = vec![Fact::JobCancelled { job: *id }];
            if *resolution == Resolution::Again {
                facts.extend(job(state, *id));
            }
            facts
        }
        _ => Vec::new(),
    }
}

/// The end of an attempt as placement knows it.
pub(super) const fn end(end: End) -> AttemptEnd {
    match end {
        End::Succeeded => AttemptEnd::Done,
        End::Failed => AttemptEnd::Failed,
        End::NeverBegan => AttemptEnd::NeverBegan,
        End::Lost => AttemptEnd::Lost,
        End::Stopped {
            checkpoint: Some(_),
        } => AttemptEnd::Checkpointed,
        End::Stopped { checkpoint: None } => AttemptEnd::Stopped,
    }
}

const fn stage(stage: Stage) -> HostStage {
    if stage.takes_work() {
        HostStage::TakesWork
    } else {
        HostStage::Cordoned
    }
}

fn spec(state: &State, job: &Job) -> Option<JobSpec> {
    let declaration = state.configuration().declaration();
    let service = declaration.services.get(&job.spec.service)?;
    let mut spec = JobSpec::new(
        service.pool.clone(),
        job.spec.service.clone(),
        job.spec.team.clone(),
        job.spec.resources,
    )
    .run_time(job.spec.runtime)
    .idempotent(job.idempotent)
    .checkpoints(job.spec.checkpointable);
    spec.urgency = job.spec.urgency;
    Some(spec)
}

fn adopted(id: JobId, job: &Job) -> Option<Adopted> {
    let (right, phase) = match &job.phase {
        Phase::Starting(right) => (right, AdoptedPhase::Starting),
        Phase::Running(right) => (right, AdoptedPhase::Running),
        Phase::Unresolved(right) => (right, AdoptedPhase::Unresolved),
        Phase::Waiting | Phase::Ended { .. } => return None,
    };
    Some(Adopted {
        job: id,
        attempt: right.attempt,
        host: right.host.clone(),
        generation: right.generation,
        phase,
    })
}
