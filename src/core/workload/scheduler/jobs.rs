//! Handles jobs as they arrive, open their steps and end: makes their tasks ready, estimates how
//! long they take and sets the deadlines by which they are ordered, and stops what is left of them
//! when they are over.

use std::time::Duration;

use roaring::RoaringBitmap;

use super::{
    Command, Job, JobId, JobState, Ledger, Now, Occurrence, PoolId, ReadyStep, Scheduler, StepId,
    StepIx, StepSpec, TaskIx, TaskTimes,
};
use crate::core::workload::{
    catalog::{QueueSpec, QueueTerms},
    step::all_tasks,
};

/// The times by which the steps of a job are ordered.
pub(super) struct JobTimes {
    /// The pool that runs the job.
    pool: PoolId,
    /// How long the job should take.
    objective: Duration,
    /// About how long it takes from the start of each step to the end of the job.
    remaining: Vec<Duration>,
}

impl Scheduler {
    pub(super) fn open_occurrence(
        &mut self,
        now: Now,
        id: JobId,
        occurrence: Occurrence,
        job: &Job,
    ) {
        self.track_work(id, occurrence, job);
        let times = self.job_times(job);
        for step in 0..job.spec.steps.len() {
            let step = StepId {
                job: id,
                occurrence,
                step: StepIx::try_from(step).unwrap_or(StepIx::MAX),
            };
            if job.is_ready(step) {
                self.open_step_within(now, step, job, &times);
            }
        }
    }

    /// Makes the tasks of a step ready that are neither done nor placed.
    pub(super) fn open_step(&mut self, now: Now, id: StepId, job: &Job) {
        let times = self.job_times(job);
        self.open_step_within(now, id, job, &times);
    }

    /// Does the same given the times of the job, which take a visit of all its steps.
    pub(super) fn open_step_within(&mut self, now: Now, id: StepId, job: &Job, times: &JobTimes) {
        let Some(spec) = job.spec.steps.get(usize::from(id.step)) else {
            return;
        };
        let mut ready = self.ready_step(now, id, job, spec, times);
        ready.free = match (self.ready.get(id), job.step(id)) {
            // A task that is proposed to be placed and not committed yet isn't free either.
            (Some(before), _) => before.free.clone(),
            (None, Some(step)) => step.free(),
            (None, None) => all_tasks(spec.tasks),
        };
        self.ready.insert(now, id, ready);
    }

    /// A step of which no task is free yet.
    fn ready_step(
        &self,
        now: Now,
        id: StepId,
        job: &Job,
        spec: &StepSpec,
        times: &JobTimes,
    ) -> ReadyStep {
        let terms = self.terms(job);
        let accepted = self.accepted_at.get(&id.job).copied().unwrap_or(now);
        let workspace = job.workspace.clone();
        let cap = workspace.as_ref().map(|name| self.catalog.cap(name));
        ReadyStep {
            pool: times.pool.clone(),
            workspace,
            max_parallel: cap.map_or(TaskIx::MAX, |cap| cap.max_parallel(&spec.need)),
            spec: spec.clone(),
            free: RoaringBitmap::new(),
            deadline: accepted + times.objective,
            remaining_time: times
                .remaining
                .get(usize::from(id.step))
                .copied()
                .unwrap_or_default(),
            priority: terms.priority,
            eligibility: terms.eligibility,
        }
    }

    /// The times by which the steps of a job are ordered.
    pub(super) fn job_times(&self, job: &Job) -> JobTimes {
        let pool = self.pool(job);
        let objective = self.objective(job);
        let lag = self.expected_lag(&pool, job, objective);
        let remaining = job.spec.remaining(|step| self.estimate(&pool, step) + lag);
        JobTimes {
            pool,
            objective,
            remaining,
        }
    }

    /// By how much each step of a job is expected to take longer than its tasks are estimated to
    /// take.
    ///
    /// The scheduler serves a job by its deadline as long as the job can still be in time. Once
    /// there is more work than can be done, jobs are served when they can only just be in time.
    /// Such a job is late by any delay that wasn't expected, and so are all jobs after it. So the
    /// delay that steps of the pool have recently had is included, scaled by how much of the
    /// leader's processor is in use. Where hosts are the scarce resource, work that may still be
    /// late is better served than postponed; the difference was a hundredth of the worth on one
    /// site, which is within noise.
    ///
    /// At most half of the job's spare time is taken up by this, so that a job that is served at
    /// once never counts as late. In a test run with 300 agents and four times the work that a
    /// leader can start, nine tenths of the completed work is in time, and a fifth without this
    /// delay.
    fn expected_lag(&self, pool: &PoolId, job: &Job, objective: Duration) -> Duration {
        let learned = self.learned.get(pool).map(TaskTimes::lag);
        let lag = learned.unwrap_or_default().mul_f64(self.pressure.level());
        if lag.is_zero() {
            return lag;
        }
        let steps = u32::try_from(job.spec.steps.len())
            .unwrap_or(u32::MAX)
            .max(1);
        let spare = objective.saturating_sub(self.critical_path(pool, job));
        lag.min(spare / (steps * 2))
    }

    /// About how long the job's longest chain of steps takes.
    pub(super) fn critical_path(&self, pool: &PoolId, job: &Job) -> Duration {
        let remaining = job.spec.remaining(|step| self.estimate(pool, step));
        remaining.into_iter().max().unwrap_or_default()
    }

    /// How long a job should take: its longest chain of steps, times the stretch of its queue, plus
    /// the queue's target.
    pub(super) fn objective(&self, job: &Job) -> Duration {
        let chain = self.critical_path(&self.pool(job), job);
        let terms = self.terms(job);
        chain.mul_f64(terms.stretch.max(1.0)) + terms.objective_offset
    }

    /// What holds for a job of its queue: as the catalog declares it, or as it was when the job was accepted if
    /// the queue is no longer there.
    pub(super) fn terms(&self, job: &Job) -> QueueTerms {
        let declared = self.catalog.queue(&job.queue).map(QueueSpec::terms);
        declared.or(job.terms).unwrap_or_default()
    }

    /// The pool that runs a job's tasks: the one that its queue has in the catalog, or had last if
    /// the queue is no longer there.
    pub(super) fn pool(&self, job: &Job) -> PoolId {
        let queue = self.catalog.queue(&job.queue);
        queue.map_or_else(|| job.pool.clone(), |queue| queue.pool.clone())
    }

    /// Stops the attempts of a job that is over and drops its tasks.
    pub(super) fn end_job(&mut self, now: Now, ledger: &Ledger, id: JobId) {
        self.ready.forget(id);
        self.occurrences.forget(id);
        self.overruns.forget(id);
        self.exclusions.forget_job(id);
        self.outstanding.remove(id);
        self.eligible.forget(id);
        self.suspects.forget(id);
        self.homes.forget(id);
        let accepted = self.accepted_at.remove(&id);
        self.ended_jobs.push_back((now, id));
        let Some(job) = ledger.job(id) else {
            return;
        };
        if let Some(accepted) = accepted {
            self.completions.record(now, &job.queue);
            let (took, objective) = (now.saturating_sub(accepted), self.objective(job));
            log::info!(job:% = format_args!("{id:016x}"), queue:% = job.queue, state:? = job.state, took:?, objective:?, steps = job.spec.steps.len(); "a job is over");
        }
        for (task, agent) in job.placements(id) {
            // If an earlier attempt completed the task, a later one may still run.
            let done = job.task(task).is_some_and(|t| t.done);
            if !done || job.state == JobState::Cancelled {
                self.stop(now, &agent, task);
            }
        }
    }

    /// About how long the tasks of a step take, corrected by what tasks of the pool took.
    pub(super) fn estimate(&self, pool: &PoolId, spec: &StepSpec) -> Duration {
        let learned = self.learned.get(pool).filter(|_| !spec.long_running);
        learned.map_or(spec.estimate, |learned| learned.estimate(spec.estimate))
    }

    /// The work of a job's batch tasks, in thousandths of a core times milliseconds.
    pub(super) fn batch_work(&self, job: &Job) -> f64 {
        let pool = self.pool(job);
        let steps = job.spec.steps.iter().filter(|s| !s.long_running);
        let work = steps.map(|s| {
            let span = self.estimate(&pool, s).as_secs_f64() * 1000.0;
            f64::from(s.tasks) * s.reservation().millicores as f64 * span
        });
        work.sum()
    }

    /// The command to forget the jobs that have been over for the retention time, if there are any.
    pub(super) fn forget_jobs(&mut self, now: Now) -> Option<Command> {
        let retention = self.settings.retention;
        let due = self
            .ended_jobs
            .partition_point(|(since, _)| now >= *since + retention);
        let jobs: Vec<_> = self.ended_jobs.drain(..due).map(|(_, id)| id).collect();
        (!jobs.is_empty()).then_some(Command::Forget(jobs))
    }
}
