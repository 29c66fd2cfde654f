//! What operators' requests do.

use std::sync::Arc;

use super::{
    State,
    command::{JobSpec, Kind, Request},
    configuration::Next,
    hosts::Intent,
    jobs::Job,
    reply::{Refusal, Reply},
};
use crate::core::{
    consensus::interface::Index,
    declaration::Declaration,
    types::{OperationId, PoolId, PresetId},
};

impl State {
    pub(super) fn request(
        &mut self,
        index: Index,
        operation: &OperationId,
        request: &Request,
    ) -> Result<Reply, Refusal> {
        let at = self.clock;
        match request {
            Request::Apply {
                declaration,
                preset,
                expected,
            } => {
                self.configuration.expect(*expected)?;
                let preset = self.configuration.choose(declaration, preset.as_ref())?;
                self.check_declaration(declaration)?;
                self.declare(index, declaration);
                Ok(self.configuration.commit(Next {
                    version: index,
                    preset,
                    declaration: Arc::clone(declaration),
                    operation: operation.clone(),
                    kind: Kind::Apply,
                }))
            }
            Request::UsePreset { preset, expected } => {
                self.configuration.expect(*expected)?;
                Ok(self.use_preset(index, operation, preset)?)
            }
            Request::StartWave { pool, expected } => {
                self.configuration.expect(*expected)?;
                self.check_pool(pool)?;
                let hosts = self.hosts.of_pool(pool).map(|(id, _)| id.clone());
                self.waves.start(at, index, pool, hosts)
            }
            Request::PauseWave { wave } => self.waves.pause(*wave, true),
            Request::ResumeWave { wave } => self.waves.pause(*wave, false),
            Request::DrainHost { host } => self.hosts.set_intent(host, Intent::Drain),
            Request::ReturnHost { host } => self.hosts.set_intent(host, Intent::Serve),
            Request::MoveHost { host, pool } => {
                self.check_pool(pool)?;
                self.hosts.move_to(host, pool)
            }
            Request::SubmitJob(spec) => self.submit(index, spec),
            Request::CancelJob { job } => {
                self.jobs.change(*job, |job| job.cancel(at))?;
                Ok(Reply::Noted)
            }
            Request::ResolveJob {
                job,
                attempt,
                resolution,
            } => {
                self.jobs
                    .change(*job, |job| job.resolve(at, *attempt, *resolution))?;
                Ok(Reply::Noted)
            }
        }
    }

    fn use_preset(
        &mut self,
        index: Index,
        operation: &OperationId,
        preset: &PresetId,
    ) -> Result<Reply, Refusal> {
        let declaration = Arc::clone(self.configuration.declaration());
        let preset = self.configuration.choose(&declaration, Some(preset))?;
        Ok(self.configuration.commit(Next {
            version: index,
            preset,
            declaration,
            operation: operation.clone(),
            kind: Kind::UsePreset,
        }))
    }

    fn submit(&mut self, index: Index, spec: &JobSpec) -> Result<Reply, Refusal> {
        let declaration = self.configuration.declaration();
        let service =
            declaration
                .services
                .get(&spec.service)
                .ok_or_else(|| Refusal::NoService {
                    service: spec.service.clone(),
                })?;
        let team = declaration
            .teams
            .get(&spec.team)
            .ok_or_else(|| Refusal::NoTeam {
                team: spec.team.clone(),
            })?;
        if !team.quota.fits(&spec.resources) {
            return Err(Refusal::OverQuota);
        }
        let idempotent = spec.idempotent.unwrap_or(service.idempotent);
        self.jobs
            .accept(index, Job::new(spec.clone(), idempotent, self.clock));
        Ok(Reply::JobAccepted { job: index })
    }

    pub(super) fn check_pool(&self, pool: &PoolId) -> Result<(), Refusal> {
        if self.configuration.declaration().pools.contains_key(pool) {
            return Ok(());
        }
        let pool = pool.clone();
        Err(Refusal::NoPool { pool })
    }

    /// Refuses a declaration that takes away what is in use.
    fn check_declaration(&self, next: &Declaration) -> Result<(), Refusal> {
        self.hosts.check_pools(next)?;
        for (id, _) in self.hosts.iter() {
            if !next.hosts.contains_key(id) {
                self.jobs.check_idle(id)?;
            }
        }
        self.hosts.check_dropped(next)?;
        if !self.drops_owner(next) {
            return Ok(());
        }
        for (id, job) in self.jobs.iter().filter(|(_, job)| !job.is_ended()) {
            let (service, team) = (&job.spec.service, &job.spec.team);
            if !next.services.contains_key(service) {
                let service = service.clone();
                return Err(Refusal::ServiceInUse { service, job: id });
            }
            if !next.teams.contains_key(team) {
                let team = team.clone();
                return Err(Refusal::TeamInUse { team, job: id });
            }
        }
        Ok(())
    }

    /// Whether a service or team goes; only then is it worth looking at every job.
    fn drops_owner(&self, next: &Declaration) -> bool {
        let old = self.configuration.declaration();
        let service = |id| !next.services.contains_key(id);
        let team = |id| !next.teams.contains_key(id);
        old.services.keys().any(service) || old.teams.keys().any(team)
    }

    fn declare(&mut self, index: Index, next: &Declaration) {
        let gone: Vec<_> = self
            .hosts
            .iter()
            .filter(|(id, _)| !next.hosts.contains_key(*id))
            .map(|(id, host)| (id.clone(), host.pool.clone()))
            .collect();
        for (host, pool) in gone {
            self.waves.skip(self.clock, &pool, &host);
        }
        let old = self.configuration.declaration();
        self.hosts.declare(self.clock, index, old, next);
        self.waves.retain(|pool| next.pools.contains_key(pool));
    }
}
