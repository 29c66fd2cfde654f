//! What a leader accepts while more is asked of it than can be done in time.
//!
//! Hundreds of hosts of a pool were idle while half of its jobs were late: the leader's processor was full,
//! and it accepted all jobs all the same. A job that was late then got starts that other jobs needed, and
//! its caller learned of it only at the end. A job that can't be in time has to be refused at once, with the
//! time after which it would be accepted. Worse, where the hosts were the limit, twice the work that fits
//! took what was in time to less than a third: all jobs were served when they could only just be in time.
//!
//! Two queues ask for the same, each in a pool of its own. Either the leader's processor is the limit or the
//! hosts are. A refused job returns when it was told to, as often as callers do, and counts from its first
//! submission.

use std::{collections::BTreeMap, time::Duration};

use egretpin::core::workload::{
    catalog::JobId, command::Submission, job::JobState, scheduler::JobRefusal, spec::JobSpec,
};

use crate::world::{OTHER_POOL, OTHER_QUEUE, POOL, Processor, QUEUE, World, ms, step};

/// The costs of the leader's processor, as measured with 350 agents where it was fully busy.
const PROCESSOR: Processor = Processor {
    input: Duration::from_micros(25),
    visit: Duration::from_nanos(45),
    order: Duration::from_micros(100),
};
/// The queues and their pools.
const QUEUES: [(&str, &str); 2] = [(QUEUE, POOL), (OTHER_QUEUE, OTHER_POOL)];
/// How long a job may take: the objective of its queue and the time of a poll.
const OBJECTIVE: Duration = ms(1150);
/// The number of tasks of each job, of one core each.
const TASKS: u32 = 8;
/// The estimated run time of a task.
const TASK_MILLIS: u64 = 400;
/// The time from one look at the jobs to the next.
const TICK: Duration = ms(50);
/// How long jobs are submitted, and how long the last of them are waited for.
const LOAD_TIME: Duration = ms(6000);
const SETTLE_TIME: Duration = ms(4000);
/// How often a refused job returns, and until how long after its first submission.
const MAX_RETRIES: u32 = 4;
const RETRY_TIME: Duration = ms(3000);

/// The estimated run time of a task of which a full leader can't start enough to fill its hosts.
const SHORT_TASK_MILLIS: u64 = 100;
/// The length of a surge of such tasks, and the jobs of each of its ticks.
const SURGE_TICKS: u64 = 80;
const SURGE_JOBS: u64 = 72;

/// A fleet and the number of jobs per second and queue of which all can be in time.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    /// Hosts of each pool.
    hosts: usize,
    fitting_rate: u64,
}

/// A fleet that has room for more than its leader can start.
const LEADER_BOUND: Fleet = Fleet {
    hosts: 150,
    fitting_rate: 280,
};
/// A fleet whose leader could start more than it has room for.
const HOST_BOUND: Fleet = Fleet {
    hosts: 40,
    fitting_rate: 85,
};

/// A job that isn't accepted yet.
#[derive(Clone, Copy, Debug)]
struct Offer {
    job: JobId,
    queue: usize,
    sent_at: Duration,
    retries: u32,
}

/// An accepted job.
#[derive(Clone, Copy, Debug)]
struct Accepted {
    queue: usize,
    sent_at: Duration,
    accepted_at: Duration,
}

/// What became of the jobs of a queue.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    submitted: u64,
    accepted: u64,
    /// Accepted jobs that were complete in time after they were accepted.
    kept: u64,
    /// Jobs that were complete in time after their first submission.
    timely: u64,
    /// Refusals, of which a job may get several.
    refusals: u64,
}

/// Two queues whose callers return as they are told.
struct Load {
    world: World,
    /// All jobs are alike.
    spec: JobSpec,
    next: JobId,
    returns: BTreeMap<(Duration, JobId), Offer>,
    open: BTreeMap<JobId, Accepted>,
    outcomes: [Outcome; 2],
}

impl Load {
    fn new(fleet: Fleet, seed: u64) -> Self {
        Self::with_unit(fleet, seed, Duration::ZERO)
    }

    /// Callers are told when to return in this unit, or exactly if it is zero.
    fn with_unit(fleet: Fleet, seed: u64, return_unit: Duration) -> Self {
        let mut world = World::new(fleet.hosts, seed);
        world.admission = true;
        world.return_unit = return_unit;
        world.lead();
        for host in 0..fleet.hosts {
            let host = format!("h{}", fleet.hosts + host);
            world.add_host(&host, OTHER_POOL);
        }
        world.processor = Some(PROCESSOR);
        world.pass(ms(2000));
        Self {
            world,
            spec: JobSpec::new("x", vec![step(TASKS, 1, TASK_MILLIS)]),
            next: 1,
            returns: BTreeMap::new(),
            open: BTreeMap::new(),
            outcomes: [Outcome::default(); 2],
        }
    }

    /// Submits so many jobs per second to each queue for a time.
    fn submit_for(&mut self, span: Duration, rate: u64) {
        let ticks = u64::try_from(span.as_millis() / TICK.as_millis()).unwrap();
        let per_second = u64::try_from(ms(1000).as_millis() / TICK.as_millis()).unwrap();
        let mut sent = 0;
        for tick in 1..=ticks {
            while sent < rate * tick / per_second {
                sent += 1;
                for queue in 0..QUEUES.len() {
                    self.send(queue);
                }
            }
            self.pass();
        }
    }

    /// Submits a new job.
    fn send(&mut self, queue: usize) {
        let job = self.next;
        self.next += 1;
        self.outcomes[queue].submitted += 1;
        let sent_at = self.world.now;
        let retries = 0;
        self.offer(Offer {
            job,
            queue,
            sent_at,
            retries,
        });
    }

    /// Submits a job, which may be refused.
    fn offer(&mut self, offer: Offer) {
        let Some(wait) = self.retry_after(offer) else {
            let spec = self.spec.clone();
            self.world.submit_to(QUEUES[offer.queue].0, offer.job, spec);
            self.outcomes[offer.queue].accepted += 1;
            let accepted = Accepted {
                queue: offer.queue,
                sent_at: offer.sent_at,
                accepted_at: self.world.now,
            };
            self.open.insert(offer.job, accepted);
            return;
        };
        self.outcomes[offer.queue].refusals += 1;
        let unit = self.world.return_unit;
        let wait = if unit.is_zero() {
            wait
        } else {
            unit * u32::try_from(wait.as_nanos().div_ceil(unit.as_nanos()).max(1)).unwrap()
        };
        let at = self.world.now + wait;
        if offer.retries < MAX_RETRIES && at <= offer.sent_at + RETRY_TIME {
            let retries = offer.retries + 1;
            self.returns
                .insert((at, offer.job), Offer { retries, ..offer });
        }
    }

    /// When a job should return; `None` if it is accepted.
    fn retry_after(&mut self, offer: Offer) -> Option<Duration> {
        let (queue, pool) = QUEUES[offer.queue];
        let submission = Submission {
            job: offer.job,
            queue: queue.into(),
            pool: pool.into(),
            workspace: None,
            terms: None,
            spec: self.spec.clone(),
            accepted_at: self.world.now,
        };
        let newest = self.open.keys().rev();
        let pending = newest.take_while(|job| self.world.state(**job).is_none());
        let pending = pending.count();
        let World {
            now,
            ledger,
            scheduler,
            ..
        } = &mut self.world;
        let verdict = scheduler
            .as_mut()?
            .admit(*now, ledger, &submission, pending);
        verdict.err().map(JobRefusal::retry_after)
    }

    /// Lets a tick pass, and submits the jobs again that are to return by then.
    fn pass(&mut self) {
        self.world.pass(TICK);
        let now = self.world.now;
        while let Some(first) = self.returns.first_entry() {
            if first.key().0 > now {
                break;
            }
            let offer = first.remove();
            self.offer(offer);
        }
        let Self {
            world,
            open,
            outcomes,
            ..
        } = self;
        open.retain(|job, accepted| {
            let is_complete = world.state(*job) == Some(JobState::Completed);
            let outcome = &mut outcomes[accepted.queue];
            let is_within = |since: Duration| is_complete && now <= since + OBJECTIVE;
            outcome.kept += u64::from(is_within(accepted.accepted_at));
            outcome.timely += u64::from(is_within(accepted.sent_at));
            !is_complete
        });
    }

    fn settle(&mut self) {
        let until = self.world.now + SETTLE_TIME;
        while self.world.now < until {
            self.pass();
        }
    }

    /// The hosts of a pool, and how many of them are empty.
    fn hosts(&self, pool: &str) -> (usize, usize) {
        let agents = self.world.agents.values();
        let agents = agents.filter(|agent| &*agent.record.pool == pool);
        agents.fold((0, 0), |(all, empty), agent| {
            (all + 1, empty + usize::from(!agent.is_busy()))
        })
    }
}

/// What becomes of the jobs while so many times of what fits is asked for.
fn overload(fleet: Fleet, factor: u64) -> [Outcome; 2] {
    let mut load = Load::new(fleet, 5);
    load.submit_for(LOAD_TIME, fleet.fitting_rate * factor);
    load.settle();
    load.outcomes
}

fn check_level(fleet: Fleet) {
    let levels = [1, 2, 4].map(|factor| overload(fleet, factor));
    for (queue, (name, _)) in QUEUES.iter().enumerate() {
        let timely = levels.map(|level| level[queue].timely);
        let best = timely.iter().copied().max().unwrap_or_default();
        assert!(
            timely.iter().all(|timely| timely * 10 >= best * 9),
            "{name}: {timely:?} jobs in time as the load doubles"
        );
    }
}

fn check_kept(fleet: Fleet) {
    for factor in [2, 4] {
        for (outcome, (name, _)) in overload(fleet, factor).into_iter().zip(QUEUES) {
            assert!(
                outcome.refusals > 0 && outcome.kept * 10 >= outcome.accepted * 9,
                "{name}, {factor} times what fits: {outcome:?}"
            );
        }
    }
}

fn check_return(fleet: Fleet) {
    for (queue, (name, _)) in QUEUES.iter().enumerate() {
        let mut load = Load::new(fleet, 6);
        load.submit_for(ms(3000), fleet.fitting_rate * 4);
        load.returns.clear();
        let now = load.world.now;
        let mut offer = Offer {
            job: 1_000_000 + u64::try_from(queue).unwrap(),
            queue,
            sent_at: now,
            retries: 0,
        };
        let wait = load.retry_after(offer);
        let wait =
            wait.unwrap_or_else(|| panic!("{name}: a job that can't be in time is accepted"));
        while load.world.now < now + wait {
            load.pass();
        }
        offer.sent_at = load.world.now;
        assert_eq!(load.retry_after(offer), None, "{name}, after {wait:?}");
        load.offer(offer);
        let limit = load.world.now + OBJECTIVE;
        while load.world.now < limit {
            load.pass();
        }
        let state = load.world.state(offer.job);
        assert_eq!(state, Some(JobState::Completed), "{name}, after {wait:?}");
    }
}

#[test]
fn nothing_is_refused_while_all_fits() {
    for fleet in [LEADER_BOUND, HOST_BOUND] {
        for (outcome, (name, _)) in overload(fleet, 1).into_iter().zip(QUEUES) {
            assert_eq!(outcome.refusals, 0, "{name}, {fleet:?}: {outcome:?}");
            assert!(
                outcome.kept * 100 >= outcome.submitted * 95,
                "{name}, {fleet:?}: {outcome:?}"
            );
        }
    }
}

#[test]
fn a_full_leader_serves_as_many_jobs_in_time_as_the_load_rises() {
    check_level(LEADER_BOUND);
}

#[test]
fn a_full_fleet_serves_as_many_jobs_in_time_as_the_load_rises() {
    check_level(HOST_BOUND);
}

/// Guards against places that are kept for callers who are told whole seconds, as on the wire, and so return
/// too late to be in time.
#[test]
fn a_full_fleet_serves_as_many_jobs_in_time_where_callers_are_told_whole_seconds() {
    let levels = [1, 2, 4].map(|factor| {
        let mut load = Load::with_unit(HOST_BOUND, 5, ms(1000));
        load.submit_for(LOAD_TIME, HOST_BOUND.fitting_rate * factor);
        load.settle();
        load.outcomes
    });
    let submitted = levels[0].map(|outcome| outcome.submitted);
    for outcomes in levels {
        for (outcome, submitted) in outcomes.iter().zip(submitted) {
            assert!(outcome.kept * 10 >= outcome.accepted * 9, "{outcome:?}");
            assert!(outcome.timely * 10 >= submitted * 9, "{outcome:?}");
        }
    }
}

#[test]
fn what_a_full_leader_accepts_is_in_time() {
    check_kept(LEADER_BOUND);
}

#[test]
fn what_a_full_fleet_accepts_is_in_time() {
    check_kept(HOST_BOUND);
}

#[test]
fn a_job_that_a_full_leader_refuses_is_accepted_when_it_was_told_to_return() {
    check_return(LEADER_BOUND);
}

#[test]
fn a_job_that_a_full_fleet_refuses_is_accepted_when_it_was_told_to_return() {
    check_return(HOST_BOUND);
}

#[test]
fn a_pool_takes_in_no_more_hosts_than_its_leader_can_fill() {
    let mut load = Load::new(LEADER_BOUND, 7);
    load.spec = JobSpec::new("x", vec![step(TASKS, 1, SHORT_TASK_MILLIS)]);
    let (before, _) = load.hosts(POOL);
    for _ in 0..SURGE_TICKS {
        for _ in 0..SURGE_JOBS {
            load.send(0);
        }
        load.pass();
    }
    let (hosts, empty) = load.hosts(POOL);
    assert!(
        hosts <= before || empty * 10 <= hosts,
        "{empty} of {hosts} hosts are empty, {before} before the surge"
    );
}
