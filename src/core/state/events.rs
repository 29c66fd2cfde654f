//! What the system's own events do.

use super::{
    State,
    command::Event,
    hosts::{Intent, Stage},
    jobs::Right,
    reply::{Refusal, Reply},
    waves::Progress,
};
use crate::core::{
    consensus::interface::Index,
    types::{Attempt, Generation, HostId, JobId, PoolId, Version, WaveId},
};

impl State {
    pub(super) fn system(&mut self, index: Index, event: &Event) -> Result<Reply, Refusal> {
        let at = self.clock;
        match event {
            Event::StartRight {
                job,
                host,
                generation,
                attempt,
            } => self.give_right(*job, host, *generation, *attempt),
            Event::JobBegan { job, attempt } => self.report(*job, |job| job.begin(*attempt)),
            Event::JobEnded { job, attempt, end } => {
                self.report(*job, |job| job.end(at, *attempt, *end))
            }
            Event::Checkpointed {
                job,
                attempt,
                checkpoint,
            } => self.report(*job, |job| job.checkpoint(*attempt, *checkpoint)),
            Event::JobHopeless { job, why } => self.report(*job, |job| job.despair(at, *why)),
            Event::HostStage {
                host,
                generation,
                stage,
                under,
            } => {
                self.hosts.find(host)?.expect(*generation)?;
                self.check_stage(host, *stage, *under)?;
                self.hosts.enter(at, index, host, *stage)
            }
            Event::Aim { host, pool, under } => self.aim(host, pool.as_ref(), *under),
            Event::HandOver {
                host,
                generation,
                under,
            } => self.hand_over(index, host, *generation, *under),
            Event::WaveAdvance {
                wave,
                host,
                progress,
            } => self.advance(*wave, host, *progress),
            Event::WaveLoss { wave, lost } => self.waves.lose(*wave, *lost),
            Event::Activated { version } => self.configuration.activate(*version),
            Event::Join { node, member } => self.members.join(*node, member.clone()),
            Event::Leave { node } => self.members.leave(*node),
            Event::Key(command) => self.keyed(command),
        }
    }

    fn give_right(
        &mut self,
        id: JobId,
        host: &HostId,
        generation: Generation,
        attempt: Attempt,
    ) -> Result<Reply, Refusal> {
        let job = self.jobs.find(id)?;
        if self.checks.attempt {
            job.startable(attempt)?;
        }
        let (team, need) = (&job.spec.team, &job.spec.resources);
        let used = self.jobs.used(team);
        let declaration = self.configuration.declaration();
        let service = &declaration.services[&job.spec.service];
        let found = self.hosts.find(host)?;
        if self.checks.generation {
            found.expect(generation)?;
        }
        if !found.stage.takes_work() {
            let stage = found.stage;
            return Err(Refusal::WrongStage { stage });
        }
        if found.pool != service.pool {
            let pool = found.pool.clone();
            return Err(Refusal::WrongPool { pool });
        }
        if !declaration.teams[team].quota.fits(&used.plus(need)) {
            return Err(Refusal::OverQuota);
        }
        let right = Right {
            attempt,
            host: host.clone(),
            generation,
            given: self.clock,
        };
        self.jobs.give(id, right)?;
        Ok(Reply::StartGranted { attempt })
    }

    fn report(
        &mut self,
        job: JobId,
        change: impl FnOnce(&mut super::jobs::Job) -> Result<(), Refusal>,
    ) -> Result<Reply, Refusal> {
        self.jobs.change(job, change)?;
        Ok(Reply::Noted)
    }

    /// A planned stop begins with a cordon and is admitted under the configuration in force; a
    /// host goes down only when nothing runs on it any more.
    fn check_stage(&self, host: &HostId, stage: Stage, under: Version) -> Result<(), Refusal> {
        match stage {
            Stage::Cordoned => self.configuration.require(under),
            Stage::Down => self.jobs.check_idle(host),
            _ => Ok(()),
        }
    }

    fn aim(
        &mut self,
        host: &HostId,
        pool: Option<&PoolId>,
        under: Version,
    ) -> Result<Reply, Refusal> {
        self.configuration.require(under)?;
        match pool {
            Some(pool) => {
                self.check_pool(pool)?;
                self.hosts.move_to(host, pool)
            }
            None => self.hosts.set_intent(host, Intent::Serve),
        }
    }

    fn hand_over(
        &mut self,
        index: Index,
        host: &HostId,
        generation: Generation,
        under: Version,
    ) -> Result<Reply, Refusal> {
        self.hosts.find(host)?.expect(generation)?;
        self.configuration.require(under)?;
        self.jobs.check_idle(host)?;
        let left = self.hosts.hand_over(self.clock, index, host)?;
        self.waves.skip(self.clock, &left, host);
        Ok(Reply::HostRenewed { generation: index })
    }

    fn advance(
        &mut self,
        wave: WaveId,
        host: &HostId,
        progress: Progress,
    ) -> Result<Reply, Refusal> {
        let reply = self.waves.advance(self.clock, wave, host, progress)?;
        if progress == Progress::Maintained {
            self.hosts.set_maintained(host, self.clock);
        }
        Ok(reply)
    }
}
