//! Feeds [admission control](crate::core::workload::admission) with what the scheduler knows: the outstanding
//! work of accepted jobs, the hosts of the pools over time, and how many tasks the leader starts.

use std::{collections::BTreeMap, time::Duration};

use super::{
    Agent, Job, JobId, Ledger, Now, Occurrence, PoolId, Scheduler, TaskTimes,
    balance::{HostCounts, POOL_CHECK_DELAY},
    demand::MOVE_TIME,
    operations::{Operation, Purpose, Stage},
};
use crate::core::workload::{
    admission::{
        Feed, Request, Verdict,
        capacity::Capacity,
        outstanding::{JobWork, Outstanding, StepWork},
    },
    command::Submission,
    step::Step,
    workspace_shares::Standing,
};

/// The time over which the leader's starts are averaged: several rounds, and less than the time in which a
/// surge builds up.
const START_WINDOW: Duration = Duration::from_millis(500);

/// How long a fleet counts as scarce after its pools last needed more hosts than there are. Their needs vary from
/// check to check, and fall when jobs are refused.
const SCARCITY_MEMORY: Duration = Duration::from_secs(1);

/// Why a job isn't accepted, and when its caller should return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobRefusal {
    /// The queue's jobs crash the hosts that run them, and too many of them wait.
    PoisonQueue(Duration),
    /// The job can't be done in its time.
    Overload {
        /// When its caller should return.
        after: Duration,
        /// Whether the job holds a reservation for that time.
        reserved: bool,
    },
}

impl JobRefusal {
    /// When the caller should return, counted from now.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::PoisonQueue(after) | Self::Overload { after, .. } => after,
        }
    }
}

/// How many tasks the leader starts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartRate {
    /// Starts since the last update.
    pub(super) count: usize,
    /// Starts per second, averaged.
    mean: f64,
}

impl StartRate {
    fn update(&mut self, span: Duration) {
        let seconds = span.as_secs_f64().max(0.001);
        let rate = std::mem::take(&mut self.count) as f64 / seconds;
        let weight = 1.0 - (-seconds / START_WINDOW.as_secs_f64()).exp();
        self.mean += (rate - self.mean) * weight;
    }
}

impl Scheduler {
    /// Decides whether a job is accepted that was submitted and isn't in the ledger yet. `pending` is how many
    /// other jobs are about to be accepted.
    ///
    /// A job that is accepted counts as outstanding from now on, and is accepted again if it is submitted
    /// again.
    ///
    /// # Errors
    ///
    /// Says why the job is refused. It must not be committed then.
    pub fn admit(
        &mut self,
        now: Now,
        ledger: &Ledger,
        submission: &Submission,
        pending: usize,
    ) -> Result<(), JobRefusal> {
        if let Some(after) = self.retry_after(now, ledger, submission, pending) {
            return Err(JobRefusal::PoisonQueue(after));
        }
        let spec = &submission.spec;
        let is_exempt = spec.is_long_running() || spec.recurrence.is_some();
        let is_known =
            self.outstanding.contains(submission.job) || ledger.job(submission.job).is_some();
        if !self.settings.admission || is_exempt || is_known {
            return Ok(());
        }
        let mut job = Job::new(
            submission.queue.clone(),
            submission.pool.clone(),
            spec.clone(),
            submission.accepted_at,
        );
        job.workspace.clone_from(&submission.workspace);
        let mut request = self.request(submission.job, &job);
        request.standing = self.standing(now, &request);
        match self.admission.decide(now, &self.outstanding, &request) {
            Verdict::Accepted => {
                self.outstanding.add(submission.job, request.work);
                Ok(())
            }
            Verdict::Refused(refusal) => {
                if refusal.is_first {
                    let work = self.batch_work(&job) * self.allowed_part(ledger, &job);
                    self.add_demand(&request.work.pool, work);
                    self.count_offer(now, Duration::ZERO, &job);
                }
                let (after, reserved) = (refusal.after, refusal.reserved);
                log::info!(job:% = format_args!("{:016x}", submission.job), queue:% = job.queue, pool:% = request.work.pool, after:?, reserved, wait:? = refusal.wait, slack:? = refusal.slack; "a job can't be in time");
                Err(JobRefusal::Overload { after, reserved })
            }
        }
    }

    /// The number of jobs that hold reservations.
    pub fn reservations(&self) -> usize {
        self.admission.reservations()
    }

    /// Logs what a pool has accepted and how long new work would wait there.
    pub(super) fn log_admission(&self, now: Now, pool: &PoolId) {
        if !self.settings.admission {
            return;
        }
        let core_seconds = |work: u64| work / 1_000_000;
        let total = self.outstanding.total(pool);
        let (outstanding, tasks) = (core_seconds(total.work), total.tasks);
        let reserved = core_seconds(self.admission.reserved(pool).work);
        let wait = self.admission.wait(now, &self.outstanding, pool);
        log::info!(pool:%, outstanding, tasks, reserved, wait:?; "accepted work of a pool");
    }

    /// What admission control has to know of a job.
    fn request(&self, id: JobId, job: &Job) -> Request {
        let work = self.job_work(0, job);
        let (chain, objective) = (self.critical_path(&work.pool, job), self.objective(job));
        let steps = u32::try_from(job.spec.steps.len()).unwrap_or(u32::MAX);
        let lag = self.learned.get(&work.pool).map(TaskTimes::lag);
        // As for the order of starts, at most half of the spare time is taken up by this, so that a job that
        // would be served at once isn't refused.
        let lag = lag.unwrap_or_default().saturating_mul(steps);
        let lag = lag.min(objective.saturating_sub(chain) / 2);
        let cap = job
            .workspace
            .as_ref()
            .map(|name| self.catalog.cap(name).0.millicores);
        Request {
            job: id,
            work,
            chain,
            lag,
            objective,
            cap: cap.filter(|cap| *cap > 0),
            standing: Standing::Uncontended,
        }
    }

    /// How the workspace of a job would stand to its share of the pool if the job were accepted.
    fn standing(&self, now: Now, request: &Request) -> Standing {
        let JobWork {
            pool, workspace, ..
        } = &request.work;
        let shares = self
            .admission
            .possible_work(request)
            .and_then(|(work, time)| self.work_shares(now, pool, work, time));
        shares.map_or(Standing::Uncontended, |shares| {
            let weight = self.catalog.weight(workspace.as_ref());
            shares.judge(workspace, weight, request.work.total().work)
        })
    }

    /// Tells admission control what the pools have now and will have.
    ///
    /// Hosts limit a pool only while the fleet is scarce. Until then it is given what it needs, and what waits
    /// there is how its need is noticed. A pool that refused jobs instead would grow too late.
    pub(super) fn update_admission(&mut self, now: Now, span: Duration) {
        self.starts.update(span);
        if !self.settings.admission {
            return;
        }
        for job in self.admission.take_uncommitted(now) {
            self.outstanding.remove(job);
        }
        let pools = self.catalog.pools.iter().filter(|pool| !pool.spare);
        let pools: Vec<_> = pools.map(|pool| pool.name.clone()).collect();
        let size = self
            .agents
            .unordered()
            .map(|agent| agent.record.capacity.millicores)
            .max();
        let size = size.unwrap_or_default();
        let have = self.host_counts();
        let last = self.hosts.scarce_at;
        let is_scarce = last.is_some_and(|at| now < at + SCARCITY_MEMORY);
        let feeds: BTreeMap<_, _> = pools
            .into_iter()
            .map(|pool| {
                let capacity = if is_scarce {
                    Capacity::new(size, self.capacity_parts(now, &pool, size, &have))
                } else {
                    Capacity::unlimited(now)
                };
                let overhead = self.learned.get(&pool).map(TaskTimes::overhead);
                let overhead = overhead.unwrap_or_default();
                (pool, Feed { capacity, overhead })
            })
            .collect();
        let is_limit = self.pressure.level() > 0.0 && self.starts.mean > 0.0;
        let rate = is_limit.then(|| self.starts.mean / self.pressure.busy());
        self.admission.update(feeds, rate);
    }

    /// The hosts of a pool: those that are there, those on their way, and those that the balance of pools
    /// would give it. `size` is that of a host, and `have` how many each pool has or is about to get.
    fn capacity_parts(
        &self,
        now: Now,
        pool: &PoolId,
        size: u64,
        have: &HostCounts,
    ) -> Vec<(Now, u64)> {
        let agents = self
            .agents
            .unordered()
            .filter(|agent| agent.record.pool == *pool && self.can_accept_work(now, agent));
        let (count, there) = agents.fold((0, 0), |(count, sum), agent| {
            (count + 1, sum + agent.batch_capacity())
        });
        let mut arrivals: Vec<_> = self.arrivals(now, pool).collect();
        arrivals.sort_unstable();
        // A host whose agent is back already counts once.
        arrivals.truncate(have.get(pool).map_or(0, |have| have.saturating_sub(count)));
        let surplus = self
            .hosts
            .surplus
            .iter()
            .filter(|(other, _)| *other != pool);
        let surplus: usize = surplus.map(|(_, count)| count).sum();
        // Where the fleet is scarce, pools above their targets give hosts up, too.
        let target = self.hosts.targets.get(pool).copied().unwrap_or_default();
        let missing = target.saturating_sub(have.get(pool).copied().unwrap_or_default());
        let given =
            (0..surplus.max(missing)).map(|ix| now + POOL_CHECK_DELAY + self.move_delay(ix));
        let later = arrivals.into_iter().chain(given).map(|at| (at, size));
        std::iter::once((now, there)).chain(later).collect()
    }

    /// When each host that is moved to a pool is expected there.
    fn arrivals(&self, now: Now, pool: &PoolId) -> impl Iterator<Item = Now> {
        let operations = self.hosts.operations.values();
        let moves =
            operations.filter(move |o| matches!(&o.purpose, Purpose::Move(to) if to == pool));
        moves.map(move |operation| self.arrival(now, operation))
    }

    fn arrival(&self, now: Now, operation: &Operation) -> Now {
        let begins = match operation.stage {
            Stage::Ordered(_) | Stage::Away => operation.since,
            Stage::Due | Stage::Recording | Stage::Recorded => now,
            Stage::Emptying => {
                let agent = operation.agent.as_ref().and_then(|id| self.agents.get(id));
                agent.and_then(Agent::empty_at).unwrap_or(now).max(now)
            }
        };
        (begins + MOVE_TIME).max(now)
    }

    /// How long it takes until so many hosts are moved, and one more.
    fn move_delay(&self, before: usize) -> Duration {
        let per_second = self.settings.host_orders.per_second.max(1);
        MOVE_TIME + Duration::from_secs_f64(before as f64 / per_second as f64)
    }

    /// The batch work of accepted jobs that isn't done.
    pub fn outstanding(&self) -> &Outstanding {
        &self.outstanding
    }

    /// Counts the work of an occurrence that may run now. Of a recurring job, it is the last one that was
    /// opened.
    pub(super) fn track_work(&mut self, id: JobId, occurrence: Occurrence, job: &Job) {
        let work = self.job_work(occurrence, job);
        self.outstanding.add(id, work);
    }

    /// Counts the work of jobs for the pools that run them under another catalog.
    pub(super) fn reassign_work(&mut self, ledger: &Ledger) {
        let jobs = self.outstanding.jobs();
        let moved = jobs.filter_map(|(id, work)| {
            let pool = self.pool(ledger.job(id)?);
            let steps = work.steps.clone();
            let workspace = work.workspace.clone();
            let moved = JobWork {
                pool,
                workspace,
                steps,
            };
            (moved.pool != work.pool).then_some((id, moved))
        });
        for (id, work) in moved.collect::<Vec<_>>() {
            self.outstanding.add(id, work);
        }
    }

    /// What is left of the batch tasks of an occurrence.
    fn job_work(&self, occurrence: Occurrence, job: &Job) -> JobWork {
        let pool = self.pool(job);
        let run = job.runs.get(&occurrence);
        let steps = job.spec.steps.iter().enumerate().map(|(ix, spec)| {
            if spec.long_running {
                return StepWork::default();
            }
            let done = run.and_then(|run| run.steps.get(ix)).map_or(0, Step::done);
            let millis = self.estimate(&pool, spec).as_millis();
            StepWork {
                tasks: u64::from(spec.tasks.saturating_sub(done)),
                millicores: spec.reservation().millicores,
                millis: u64::try_from(millis).unwrap_or(u64::MAX),
            }
        });
        JobWork {
            steps: steps.collect(),
            workspace: job.workspace.clone(),
            pool,
        }
    }
}
