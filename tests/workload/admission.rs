//! Admission control for jobs: the work that is outstanding, the decisions, and what becomes of them when the
//! leader changes.

use std::time::Duration;

use egretpin::core::workload::{
    admission::{
        Admission, Feed, Refusal, Request, Verdict,
        capacity::Capacity,
        outstanding::{JobWork, Outstanding, StepWork},
        refused::{MAX_REFUSED, Record, Refused},
    },
    command::Submission,
    job::JobState,
    spec::{JobSpec, Recurrence},
    workspace_shares::Standing,
};
use proptest::prelude::*;

use crate::world::{POOL, QUEUE, SPARE_POOL, World, long_running, ms, step};

/// The time from one submission to the next: several times as much work as the hosts can do.
const ARRIVAL_INTERVAL: Duration = ms(20);

fn job(pool: &str, workspace: Option<&str>, steps: &[(u64, u64)]) -> JobWork {
    let step = |&(tasks, millis): &(u64, u64)| StepWork {
        tasks,
        millicores: 1000,
        millis,
    };
    JobWork {
        pool: pool.into(),
        workspace: workspace.map(Into::into),
        steps: steps.iter().map(step).collect(),
    }
}

proptest! {
    /// Guards against totals that drift from the jobs that they sum up.
    #[test]
    fn totals_are_the_sums_of_the_jobs(events in prop::collection::vec((0..3_u8, 0..6_u64, 0..3_usize), 0..200)) {
        let mut outstanding = Outstanding::default();
        for (what, id, step) in events {
            let workspace = ["a", "b"].get(step);
            match what {
                0 => outstanding.add(id, job(POOL, workspace.copied(), &[(3, 40), (id, 7)])),
                1 => outstanding.finish_task(id, step),
                _ => outstanding.remove(id),
            }
            let jobs: u64 = outstanding.jobs().map(|(_, job)| job.total().work).sum();
            let shares: u64 = outstanding.workspaces(&POOL.into()).map(|(_, work)| work).sum();
            prop_assert_eq!(outstanding.total(&POOL.into()).work, jobs);
            prop_assert_eq!(shares, jobs);
        }
    }
}

/// Guards against later steps of accepted jobs that aren't counted, and against work that is lost or counted
/// twice at a change of the leader.
#[test]
fn a_new_leader_counts_the_work_that_is_not_done() {
    let mut world = World::new(2, 1);
    world.pass(ms(2000));
    let total = |world: &World| {
        let scheduler = world.scheduler.as_ref().unwrap();
        scheduler.outstanding().total(&POOL.into())
    };
    let mut later = step(4, 1, 300);
    later.after = vec![0];
    for id in 1..=20 {
        world.submit(id, JobSpec::new("x", vec![step(8, 1, 300), later.clone()]));
    }
    world.pass(ms(50));
    assert_eq!(total(&world).tasks, 20 * 12);
    assert_eq!(total(&world).work, 20 * 12 * 300_000);
    world.pass(ms(2000));
    let before = total(&world);
    assert!(before.tasks > 0 && before.tasks < 20 * 12, "{before:?}");
    world.depose();
    world.lead();
    assert_eq!(total(&world), before);
    world.pass(ms(15_000));
    assert_eq!(total(&world).work, 0);
}

/// A pool of ten hosts with eight cores each, its accepted work and the decisions about more.
struct Pool {
    admission: Admission,
    outstanding: Outstanding,
    now: Duration,
}

impl Pool {
    fn new() -> Self {
        let mut pool = Self {
            admission: Admission::new(Duration::ZERO),
            outstanding: Outstanding::default(),
            now: ms(5000),
        };
        pool.set_hosts(&[(10, ms(0))], None);
        pool
    }

    /// Sets how many hosts are there after which time, and the leader's rate of starts.
    fn set_hosts(&mut self, hosts: &[(u64, Duration)], start_rate: Option<f64>) {
        let part = |(count, after): &(u64, Duration)| (self.now + *after, count * 8000);
        let capacity = Capacity::new(8000, hosts.iter().map(part).collect());
        let overhead = Duration::ZERO;
        let feeds = [(POOL.into(), Feed { capacity, overhead })];
        self.admission.update(feeds.into(), start_rate);
    }

    /// Submits a job of eight tasks of one core in each of its steps, with an objective of twice its chain.
    fn submit(&mut self, id: u64, steps: u64) -> Verdict {
        let work = job(
            POOL,
            None,
            &vec![(8, 1000); usize::try_from(steps).unwrap()],
        );
        let request = Request {
            job: id,
            work: work.clone(),
            chain: ms(1000 * steps),
            lag: Duration::ZERO,
            objective: ms(2000 * steps),
            cap: None,
            standing: Standing::Uncontended,
        };
        let verdict = self.admission.decide(self.now, &self.outstanding, &request);
        if verdict == Verdict::Accepted {
            self.outstanding.add(id, work);
        }
        verdict
    }

    /// Submits new jobs until so many of them in a row are refused. Returns how many were accepted.
    fn fill(&mut self, from: u64) -> u64 {
        let (mut accepted, mut refused) = (0, 0);
        for id in from.. {
            if self.submit(id, 1) == Verdict::Accepted {
                accepted += 1;
                refused = 0;
            } else {
                refused += 1;
            }
            if refused > 20 {
                break;
            }
        }
        accepted
    }

    /// Removes so many accepted jobs, as if they were done.
    fn finish(&mut self, count: usize) {
        let mut jobs: Vec<_> = self.outstanding.jobs().map(|(id, _)| id).collect();
        jobs.sort_unstable();
        for id in jobs.into_iter().take(count) {
            self.outstanding.remove(id);
        }
    }
}

fn refusal(verdict: Verdict) -> Refusal {
    match verdict {
        Verdict::Refused(refusal) => refusal,
        Verdict::Accepted => panic!("a job is accepted that should be refused"),
    }
}

/// Guards against a pool that accepts more than it can do in time, or less.
#[test]
fn a_pool_is_filled_as_far_as_jobs_are_in_time() {
    let mut pool = Pool::new();
    // Ten jobs run at once, and ten more can begin within the second that a job may wait. Up to a quarter of
    // these are reserved.
    let accepted = pool.fill(1);
    let reserved = u64::try_from(pool.admission.reservations()).unwrap();
    assert_eq!(accepted + reserved, 20);
    assert!(reserved <= 3, "{reserved}");
}

/// Guards against refusals where nothing is known of the hosts, as before the first list of them.
#[test]
fn everything_is_accepted_without_known_hosts() {
    let mut pool = Pool::new();
    pool.set_hosts(&[], None);
    for id in 0..100 {
        assert_eq!(pool.submit(id, 1), Verdict::Accepted);
    }
}

/// Guards against refusals at the start of a surge, while the hosts that will serve it are on their way, and
/// against counting hosts that arrive too late.
#[test]
fn hosts_on_their_way_count_from_their_arrival() {
    for (arrives, accepted) in [(ms(500), 35), (ms(1500), 20)] {
        let mut pool = Pool::new();
        pool.set_hosts(&[(10, ms(0)), (10, arrives)], None);
        let found = pool.fill(1) + u64::try_from(pool.admission.reservations()).unwrap();
        assert_eq!(found, accepted, "hosts after {arrives:?}");
    }
}

/// Guards against a leader that accepts more tasks than it can start.
#[test]
fn no_more_is_accepted_than_the_leader_can_start() {
    let mut pool = Pool::new();
    pool.set_hosts(&[(1000, ms(0))], Some(80.0));
    let found = pool.fill(1) + u64::try_from(pool.admission.reservations()).unwrap();
    assert_eq!(found, 20);
}

/// Guards against reservations that newcomers take away, that can't be redeemed, or that never end.
#[test]
fn a_reservation_is_kept_until_its_time_and_no_longer() {
    let mut pool = Pool::new();
    let held = (1..).find_map(|id| match pool.submit(id, 1) {
        Verdict::Refused(refusal) => Some((id, refusal)),
        Verdict::Accepted => None,
    });
    let (id, held) = held.unwrap();
    assert!(held.reserved && held.is_first, "{held:?}");
    let early = refusal(pool.submit(id, 1));
    assert_eq!((early.after, early.is_first), (held.after, false));
    pool.fill(1000);
    pool.now += held.after;
    pool.set_hosts(&[(10, ms(0))], None);
    assert_eq!(pool.submit(id, 1), Verdict::Accepted);
    let pending = pool.admission.take_pending(pool.now, id).unwrap();
    assert!(pending.was_counted, "counted as demand twice");
    assert_eq!(pending.reserved_since, Some(ms(5000)));
    assert!(pool.admission.reservations() > 0);
    pool.now += ms(3000);
    assert!(!refusal(pool.submit(5000, 1)).reserved || pool.admission.reservations() == 1);
    assert!(pool.admission.reservations() <= 1, "expired");
}

/// Guards against reservations for callers that are told whole seconds and would return too late.
#[test]
fn no_place_is_reserved_for_a_caller_that_returns_too_late() {
    let mut pool = Pool::new();
    pool.admission = Admission::new(ms(2000));
    pool.set_hosts(&[(10, ms(0))], None);
    assert_eq!(pool.fill(1), 20);
    assert_eq!(pool.admission.reservations(), 0);
}

/// Guards against callers that return all at once.
#[test]
fn refused_callers_return_one_after_the_other() {
    let mut pool = Pool::new();
    pool.fill(1);
    let turns: Vec<_> = (2000..2010)
        .map(|id| refusal(pool.submit(id, 1)).after)
        .collect();
    // One job takes a tenth of a second on the whole pool, and a turn isn't put off beyond three objectives.
    let gaps = turns.windows(2).map(|pair| pair[1] - pair[0]);
    for gap in gaps {
        assert_eq!(gap, ms(100), "{turns:?}");
    }
}

/// Guards against jobs that are late already and take the places of jobs that can be in time.
#[test]
fn a_job_that_is_late_gets_only_spare_capacity() {
    let mut pool = Pool::new();
    pool.fill(1);
    let late = refusal(pool.submit(2000, 1));
    assert!(!late.reserved);
    pool.now += ms(1900);
    pool.set_hosts(&[(10, ms(0))], None);
    pool.finish(3);
    assert!(!refusal(pool.submit(2000, 1)).is_first);
    assert_eq!(pool.submit(2001, 1), Verdict::Accepted);
    pool.finish(8);
    assert_eq!(pool.submit(2000, 1), Verdict::Accepted);
}

/// Guards against pools that accept only jobs with long chains of steps, which may wait longer.
#[test]
fn a_job_with_more_time_is_not_accepted_after_one_with_less_was_refused() {
    let mut pool = Pool::new();
    pool.fill(1);
    refusal(pool.submit(2000, 1));
    refusal(pool.submit(2001, 2));
    pool.now += ms(1100);
    pool.set_hosts(&[(10, ms(0))], None);
    assert_eq!(pool.submit(2002, 2), Verdict::Accepted);
}

/// Guards against memory that grows with the load.
#[test]
fn refused_jobs_are_remembered_in_a_bounded_number() {
    let mut refused = Refused::default();
    for id in 0..2 * u64::try_from(MAX_REFUSED).unwrap() {
        let record = Record {
            first: ms(id),
            expires: ms(id),
            reservation: None,
        };
        refused.insert(id, record);
    }
    assert_eq!(refused.get(0), None);
    let kept = (0..)
        .take(2 * MAX_REFUSED)
        .filter(|id| refused.get(*id).is_some());
    assert_eq!(kept.count(), MAX_REFUSED);
    refused.expire(ms(1_000_000));
    assert_eq!(
        refused.get(2 * u64::try_from(MAX_REFUSED).unwrap() - 1),
        None
    );
}

fn submission(world: &World, id: u64, spec: &JobSpec) -> Submission {
    Submission {
        job: id,
        queue: QUEUE.into(),
        pool: POOL.into(),
        workspace: None,
        terms: None,
        spec: spec.clone(),
        accepted_at: world.now,
    }
}

/// Whether the leader accepts a job, which is submitted then.
fn admits(world: &mut World, id: u64, spec: &JobSpec) -> bool {
    let submission = submission(world, id, spec);
    let World {
        now,
        ledger,
        scheduler,
        ..
    } = &mut *world;
    let verdict = scheduler
        .as_mut()
        .unwrap()
        .admit(*now, ledger, &submission, 0);
    if verdict.is_ok() {
        world.submit(id, spec.clone());
    }
    verdict.is_ok()
}

/// Submits one job after the other, since the balance of pools has to see that they are too many. Returns those
/// that are accepted.
fn admit_each(world: &mut World, ids: impl Iterator<Item = u64>, spec: &JobSpec) -> Vec<u64> {
    let accepted = ids.filter(|id| {
        world.pass(ARRIVAL_INTERVAL);
        admits(world, *id, spec)
    });
    accepted.collect()
}

fn admitting_world(hosts: usize, seed: u64) -> World {
    let mut world = World::new(hosts, seed);
    world.admission = true;
    world.lead();
    world.pass(ms(2000));
    world
}

/// Guards against accepted jobs that are lost or forgotten at a change of the leader, and shows that its
/// reservations are.
#[test]
fn a_new_leader_keeps_what_was_accepted_and_no_reservations() {
    let mut world = admitting_world(4, 2);
    let spec = JobSpec::new("x", vec![step(8, 1, 600)]);
    let accepted = admit_each(&mut world, 1..=40, &spec);
    assert!(accepted.len() < 40);
    world.pass(ms(100));
    let reserved = |world: &World| world.scheduler.as_ref().unwrap().reservations();
    let total = |world: &World| {
        world
            .scheduler
            .as_ref()
            .unwrap()
            .outstanding()
            .total(&POOL.into())
    };
    assert!(reserved(&world) > 0);
    let before = total(&world);
    world.depose();
    world.lead();
    assert_eq!(reserved(&world), 0);
    assert_eq!(total(&world), before);
    let resent = accepted.iter().all(|id| {
        let submission = submission(&world, *id, &spec);
        let World {
            now,
            ledger,
            scheduler,
            ..
        } = &mut world;
        scheduler
            .as_mut()
            .unwrap()
            .admit(*now, ledger, &submission, 0)
            .is_ok()
    });
    assert!(resent, "a resend of an accepted job is refused");
    world.pass(ms(5000));
    for id in accepted {
        assert_eq!(world.state(id), Some(JobState::Completed), "{id}");
    }
    let again = admit_each(&mut world, 101..=140, &spec).len();
    assert!((1..40).contains(&again), "{again} of 40");
}

/// Guards against refusals of jobs that have to run whenever that is possible.
#[test]
fn long_running_and_scheduled_jobs_are_never_refused() {
    let mut world = admitting_world(2, 3);
    let batch = JobSpec::new("x", vec![step(8, 1, 600)]);
    let accepted = admit_each(&mut world, 1..=40, &batch);
    assert!(accepted.len() < 40);
    let mut scheduled = batch.clone();
    scheduled.recurrence = Some(Recurrence {
        first: world.now + ms(500),
        interval: ms(1000),
        count: 1,
    });
    assert!(admits(&mut world, 100, &scheduled));
    assert!(admits(
        &mut world,
        101,
        &JobSpec::new("x", vec![long_running(1, 1)])
    ));
}

/// Guards against refusals at the start of a surge, of jobs that can be served in time with hosts that are
/// moved for them and are still on their way.
#[test]
fn nothing_is_refused_that_hosts_on_their_way_can_serve() {
    let mut world = admitting_world(4, 4);
    for host in 4..16 {
        world.add_host(&format!("h{host}"), SPARE_POOL);
    }
    world.pass(ms(6000));
    let spec = JobSpec::new("x", vec![step(8, 1, 10_000)]);
    let begun = world.now;
    for id in 1..=12 {
        assert!(admits(&mut world, id, &spec), "{id}");
    }
    world.pass(ms(800));
    for id in 13..=15 {
        assert!(admits(&mut world, id, &spec), "{id} while hosts move");
    }
    // Their objective is one and a half times ten seconds, and half a second.
    let limit = begun + ms(15_500);
    world.until("all in time", limit - world.now, |world| {
        (1..=15).all(|id| world.state(id) == Some(JobState::Completed))
    });
}
