//! Serving the queues: from the first of the waiting jobs down, until no line has room.

use super::{
    Decision, HostNo, Placer, PoolNo, TeamNo,
    free::{floored, rounded},
    host::Host,
    job::{Job, Phase, Told},
    queue::{Block, Class, Rank},
};
use crate::core::{
    fleet::jobs::{Impossible, Waiting},
    types::{JobId, Resources, Urgency},
};

impl Placer {
    /// Serves the queues, then lets out stops of cancelled jobs, whose room urgent jobs may claim.
    pub(super) fn settle(&mut self) {
        self.serve_all();
        self.let_out(self.rules.stops);
        self.serve_all();
        self.report_fresh();
    }

    fn serve_all(&mut self) {
        while let Some(pool) = self.dirty.pop_first() {
            self.serve(pool);
        }
    }

    /// Judges a job that stands nowhere, and puts it into its pool's queue if it can ever run.
    pub(super) fn enqueue(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        self.fresh.push(id);
        match self.judge(job) {
            Ok(need) => self.line_up(id, &need),
            Err(reason) => self.rule_out(id, reason),
        }
    }

    /// Takes a job out of whatever queue it stands in; tells whether it is known.
    pub(super) fn dequeue(&mut self, id: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        let pool = &mut self.pools[job.pool as usize];
        let team = &mut self.teams[job.team as usize];
        match job.phase {
            Phase::Queued(need) => {
                let class = job.class(&need);
                if pool.queue.remove(&class, &job.rank(id)) {
                    team.lines.remove(&(job.pool, class));
                    team.blocked.remove(&(job.pool, class));
                }
            }
            Phase::Impossible(_) => {
                pool.impossible.remove(&id);
                team.impossible.remove(&id);
            }
            _ => {}
        }
        job.phase = Phase::New;
        true
    }

    /// Judges jobs again after the fleet or a quota changed.
    pub(super) fn reconsider(&mut self, jobs: impl IntoIterator<Item = JobId>) {
        for job in jobs {
            self.dequeue(job);
            self.enqueue(job);
        }
    }

    /// What the job needs, or why it can never run as things stand.
    pub(super) fn judge(&self, job: &Job) -> Result<Resources, Impossible> {
        let pool = &self.pools[job.pool as usize];
        let quota = self.teams[job.team as usize].quota;
        let (need, least) = self.needs(job);
        if !self.rules.guards.impossible {
            return Ok(need);
        }
        if pool.members == 0 {
            return Err(Impossible::EmptyPool);
        }
        let quota = quota.ok_or(Impossible::UnknownTeam)?;
        let need = if pool.fits(&need) {
            need
        } else {
            let largest = pool.largest(&least).ok_or(Impossible::LargerThanHosts)?;
            lesser(&need, largest)
        };
        if quota.fits(&job.declared) {
            return Ok(need);
        }
        Err(Impossible::LargerThanQuota)
    }

    /// The estimated need, and the lesser of it and the declared one. The first is what should be
    /// reserved; an estimate alone never makes a job impossible, for it may be wrong.
    fn needs(&self, job: &Job) -> (Resources, Resources) {
        let estimate = self.learner.estimate(job.kind, &job.declared, job.run_time);
        let seen = Resources {
            millicores: estimate.need.millicores.max(job.peak.millicores),
            memory: estimate.need.memory.max(job.peak.memory),
            accelerators: job.declared.accelerators,
        };
        let need = rounded(&seen);
        let declared = rounded(&job.declared);
        let least = Resources {
            millicores: need.millicores.min(declared.millicores),
            memory: need.memory.min(declared.memory),
            accelerators: need.accelerators,
        };
        (need, least)
    }

    pub(super) fn refund(&mut self, team: TeamNo, amount: &Resources) {
        let known = &mut self.teams[team as usize];
        known.used = known.used.minus(amount);
        self.wake_lines(team);
    }

    /// Wakes the lines of a team that wait for no more quota than is left.
    pub(super) fn wake_lines(&mut self, team: TeamNo) {
        let known = &mut self.teams[team as usize];
        let left = known.left();
        let woken = known
            .blocked
            .iter()
            .filter(|(_, class)| left.fits(&class.charge));
        let woken: Vec<(PoolNo, Class)> = woken.copied().collect();
        for line in woken {
            known.blocked.remove(&line);
            let queue = &mut self.pools[line.0 as usize].queue;
            queue.wake(&line.1);
            if queue.has_live() {
                self.dirty.insert(line.0);
            }
        }
    }

    fn line_up(&mut self, id: JobId, need: &Resources) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = Phase::Queued(*need);
        let class = job.class(need);
        let queue = &mut self.pools[job.pool as usize].queue;
        if queue.push(class, job.rank(id)) {
            self.teams[job.team as usize]
                .lines
                .insert((job.pool, class));
            self.dirty.insert(job.pool);
        }
    }

    fn rule_out(&mut self, id: JobId, reason: Impossible) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = Phase::Impossible(reason);
        match reason {
            Impossible::EmptyPool | Impossible::LargerThanHosts => {
                self.pools[job.pool as usize].impossible.insert(id);
            }
            Impossible::UnknownTeam | Impossible::LargerThanQuota => {
                self.teams[job.team as usize].impossible.insert(id);
            }
        }
    }

    fn serve(&mut self, no: PoolNo) {
        while let Some((class, rank)) = self.next_job(no) {
            let block = self.try_job(&class, &rank);
            if block == Block::Quota {
                self.teams[class.team as usize].blocked.insert((no, class));
            }
            self.pools[no as usize].queue.block(&class, block);
        }
        self.pools[no as usize].queue.served();
    }

    fn next_job(&mut self, no: PoolNo) -> Option<(Class, Rank)> {
        let hosts = &self.hosts;
        let offer = |no: HostNo| hosts[no as usize].as_ref().and_then(Host::offer);
        self.pools[no as usize].queue.next(offer)
    }

    /// Moves the head of a line out of it, or tells what blocks it.
    fn try_job(&mut self, class: &Class, rank: &Rank) -> Block {
        let id = rank.job;
        let job = &self.jobs[&id];
        if self.judge(job) != Ok(class.need) {
            self.reconsider([id]);
            return Block::None;
        }
        let need = class.need;
        if self.rules.guards.quota && !self.teams[job.team as usize].left().fits(&class.charge) {
            return Block::Quota;
        }
        if let Some(host) = self.choose(job, &need) {
            self.dequeue(id);
            self.start(id, host, &need);
            return Block::None;
        }
        if class.urgency == Urgency::Urgent
            && let Some(plan) = self.plan(job, &need)
        {
            self.dequeue(id);
            self.claim(id, plan, &need);
            return Block::None;
        }
        Block::Room
    }

    /// Decides a start; the job stands nowhere.
    pub(super) fn start(&mut self, id: JobId, no: HostNo, need: &Resources) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.attempt += 1;
        job.avoid = None;
        job.told = None;
        let attempt = job.attempt;
        self.occupy(id, Phase::Starting(no), need);
        let Some(host) = self.host(no) else {
            return;
        };
        let decision = Decision::Start {
            job: id,
            attempt,
            host: host.id.clone(),
            generation: host.generation,
            reserved: *need,
        };
        self.out.push(decision);
    }

    /// Tells what the jobs that came to a queue in this step wait for, or why they can't run.
    /// Only the last word counts, for a step may move a job through several queues.
    fn report_fresh(&mut self) {
        let mut fresh = std::mem::take(&mut self.fresh);
        fresh.sort_unstable();
        fresh.dedup();
        for id in fresh {
            self.report(id);
        }
    }

    fn report(&mut self, id: JobId) {
        let Some(told) = self.tell(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.told.replace(told) == Some(told) {
            return;
        }
        self.out.push(match told {
            Told::Waiting(reason) => Decision::Waiting { job: id, reason },
            Told::Impossible(reason) => Decision::Impossible { job: id, reason },
        });
    }

    fn tell(&self, id: JobId) -> Option<Told> {
        let job = self.jobs.get(&id)?;
        match job.phase {
            Phase::Queued(need) => Some(Told::Waiting(self.blocked_by(job, &need))),
            Phase::Paused => Some(Told::Waiting(Waiting::Retry)),
            Phase::Claiming { .. } => Some(Told::Waiting(Waiting::Displacing)),
            Phase::Impossible(reason) => Some(Told::Impossible(reason)),
            _ => None,
        }
    }

    /// What the line waits for in which a job stands.
    pub(super) fn blocked_by(&self, job: &Job, need: &Resources) -> Waiting {
        let pool = &self.pools[job.pool as usize];
        match pool.queue.block_of(&job.class(need)) {
            Block::Quota => Waiting::TeamQuota,
            Block::None | Block::Room if pool.open == 0 => Waiting::NoOpenHost,
            Block::None | Block::Room => Waiting::NoRoom,
        }
    }
}

/// The lesser of both in each dimension, in whole steps.
fn lesser(need: &Resources, limit: &Resources) -> Resources {
    let limit = floored(limit);
    Resources {
        millicores: need.millicores.min(limit.millicores),
        memory: need.memory.min(limit.memory),
        accelerators: need.accelerators.min(limit.accelerators),
    }
}
