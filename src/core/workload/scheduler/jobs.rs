//! Jobs as they come, open their steps and end.

use std::{collections::BTreeSet, time::Duration};

use super::{
    Command, Job, JobId, JobState, Learned, Ledger, Now, Occurrence, PoolId, Ready, Run, Scheduler,
    StepId, StepIx, StepSpec, TaskIx, Wall,
};

impl Scheduler {
    /// Makes the tasks of a job ready that may run at once, and notes when others are due.
    pub(super) fn take_job(&mut self, now: Now, wall: Wall, id: JobId, job: &Job) {
        for occurrence in 0..job.spec.occurrences() {
            if job.runs.get(&occurrence).is_some_and(Run::is_finished) {
                continue;
            }
            match job.spec.due(occurrence) {
                Some(due) if due > wall => {
                    self.timed.insert((due, id, occurrence));
                }
                _ => self.open_run(now, id, occurrence, job),
            }
        }
    }

    pub(super) fn open_due(&mut self, now: Now, wall: Wall, ledger: &Ledger) {
        while let Some((due, id, occurrence)) = self.timed.first().copied() {
            if due > wall {
                return;
            }
            self.timed.pop_first();
            if let Some(job) = ledger.job(id).filter(|job| !job.is_over()) {
                self.open_run(now, id, occurrence, job);
            }
        }
    }

    pub(super) fn open_run(&mut self, now: Now, id: JobId, occurrence: Occurrence, job: &Job) {
        for step in 0..job.spec.steps.len() {
            let step = StepId {
                job: id,
                occurrence,
                step: StepIx::try_from(step).unwrap_or(StepIx::MAX),
            };
            if job.is_open(step) {
                self.open(now, step, job);
            }
        }
    }

    /// Makes the tasks of a step ready that aren't done or placed.
    pub(super) fn open(&mut self, now: Now, id: StepId, job: &Job) {
        let Some(spec) = job.spec.steps.get(usize::from(id.step)) else {
            return;
        };
        let free = match job.step(id) {
            Some(step) => {
                let tasks = (0..).zip(&step.tasks);
                let free = tasks.filter(|(_, t)| !t.done && t.agent.is_none());
                free.map(|(ix, _)| ix).collect()
            }
            None => (0..spec.tasks).collect(),
        };
        let mut ready = self.describe(now, id, job, spec, free);
        if let Some(before) = self.ready.get(id) {
            // What is proposed and not committed isn't free either.
            ready.free = before.free.clone();
        }
        self.ready.insert(now, id, ready);
    }

    pub(super) fn describe(
        &self,
        now: Now,
        id: StepId,
        job: &Job,
        spec: &StepSpec,
        free: BTreeSet<TaskIx>,
    ) -> Ready {
        let queue = self.catalog.queue(&job.queue);
        let accepted = self.accepted.get(&id.job).copied().unwrap_or(now);
        let pool = self.pool(job);
        let objective = self.objective(job);
        let lag = self.lag(&pool, job, objective);
        let remaining = job.spec.remaining(|step| self.estimate(&pool, step) + lag);
        let workspace = job.workspace.clone();
        let cap = workspace.as_ref().map(|name| self.catalog.cap(name));
        Ready {
            pool,
            workspace,
            width: cap.map_or(TaskIx::MAX, |cap| cap.width(&spec.need)),
            spec: spec.clone(),
            free,
            deadline: accepted + objective,
            left: remaining
                .get(usize::from(id.step))
                .copied()
                .unwrap_or_default(),
            priority: queue.map_or(0, |q| q.priority),
            eligibility: queue.and_then(|q| q.eligibility),
        }
    }

    /// What each step of a job of a pool is expected to take longer than its tasks.
    ///
    /// What is served by its deadline as long as it can be in time is served, once there is more of it
    /// than can be done, when it can only just be: it is late by whatever wasn't reckoned with, and all
    /// that comes after it too. So what steps of the pool took longer lately is reckoned with, by the
    /// part that the leader's processor is full: where hosts are what there is too little of, work that
    /// may be late still is better served than put off (a hundredth of the worth on one site, which is
    /// within noise). And at most half of the time that the job has to spare is, so that what is served
    /// at once never counts as late. With 300 agents and four times the work that a leader can start,
    /// nine tenths of what is done is in time, and a fifth without it (in a world of tests).
    fn lag(&self, pool: &PoolId, job: &Job, objective: Duration) -> Duration {
        let learned = self.learned.get(pool).map(Learned::lag);
        let lag = learned.unwrap_or_default().mul_f64(self.pressure.level());
        if lag.is_zero() {
            return lag;
        }
        let steps = u32::try_from(job.spec.steps.len())
            .unwrap_or(u32::MAX)
            .max(1);
        let spare = objective.saturating_sub(self.chain(pool, job));
        lag.min(spare / (steps * 2))
    }

    /// About how long a job's longest chain of steps takes.
    fn chain(&self, pool: &PoolId, job: &Job) -> Duration {
        let remaining = job.spec.remaining(|step| self.estimate(pool, step));
        remaining.into_iter().max().unwrap_or_default()
    }

    /// How long a job should take: its longest chain, stretched as its queue says, and the queue's
    /// target.
    pub(super) fn objective(&self, job: &Job) -> Duration {
        let chain = self.chain(&self.pool(job), job);
        let queue = self.catalog.queue(&job.queue);
        let (stretch, target) = queue.map_or((1.0, Duration::ZERO), |q| (q.stretch, q.target));
        chain.mul_f64(stretch.max(1.0)) + target
    }

    /// The pool that runs a job's tasks: what the catalog says now, or said last.
    pub(super) fn pool(&self, job: &Job) -> PoolId {
        let queue = self.catalog.queue(&job.queue);
        queue.map_or_else(|| job.pool.clone(), |queue| queue.pool.clone())
    }

    /// Stops what is placed of a job that is over.
    pub(super) fn end_job(&mut self, now: Now, ledger: &Ledger, id: JobId) {
        self.ready.forget(id);
        self.eligible.forget(id);
        self.suspects.forget(id);
        let accepted = self.accepted.remove(&id);
        self.over.push_back((now, id));
        let Some(job) = ledger.job(id) else {
            return;
        };
        if let Some(accepted) = accepted {
            self.departures.record(now, &job.queue);
            let (took, objective) = (now.saturating_sub(accepted), self.objective(job));
            log::info!(job:% = format_args!("{id:016x}"), queue:% = job.queue, state:? = job.state, took:?, objective:?, steps = job.spec.steps.len(); "a job is over");
        }
        for (task, agent) in job.placements(id) {
            // Where an earlier attempt was done, a later one may still run.
            let done = job.task(task).is_some_and(|t| t.done);
            if !done || job.state == JobState::Cancelled {
                self.stop(now, &agent, task);
            }
        }
    }

    /// About how long the tasks of a step take, in the light of what was seen of the pool's.
    pub(super) fn estimate(&self, pool: &PoolId, spec: &StepSpec) -> Duration {
        let learned = self.learned.get(pool).filter(|_| !spec.lasting);
        learned.map_or(spec.estimate, |learned| learned.estimate(spec.estimate))
    }

    /// Core-milliseconds of a job's short tasks, in thousandths of a core times milliseconds.
    pub(super) fn work(&self, job: &Job) -> f64 {
        let pool = self.pool(job);
        let steps = job.spec.steps.iter().filter(|s| !s.lasting);
        let work = steps.map(|s| {
            let span = self.estimate(&pool, s).as_secs_f64() * 1000.0;
            f64::from(s.tasks) * s.room().millicores as f64 * span
        });
        work.sum()
    }

    /// The command to forget the jobs that have been over for long enough, if there are any.
    pub(super) fn forget(&mut self, now: Now) -> Option<Command> {
        let retention = self.settings.retention;
        let due = self
            .over
            .partition_point(|(since, _)| now >= *since + retention);
        let jobs: Vec<_> = self.over.drain(..due).map(|(_, id)| id).collect();
        (!jobs.is_empty()).then_some(Command::Forget(jobs))
    }
}
