//! Queues of which many jobs crash the hosts that run them.
//!
//! The tests guard against two faults. Accepted jobs waited forever while the hosts of their pool were all but
//! empty, and nine tenths of the queue's harmless jobs weren't done in time. There were three causes. New jobs
//! were packed together, so that three of four hosts crashed under many jobs, which proved nothing against any
//! of them. It took four or five hosts to identify each poison job. And every submitted job was accepted. In
//! the simulations here more poison jobs are submitted than a pool can try.

use std::{collections::BTreeMap, time::Duration};

use egretpin::core::workload::{catalog::JobId, command::Submission, job::JobState, spec::JobSpec};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::world::{OTHER_POOL, OTHER_QUEUE, POOL, QUEUE, World, long_running, ms, step};

/// The most hosts that a task may crash: three, and those of two more starts.
const MAX_KILLS: u32 = 5;
/// The ID of the long-running job, and a base for the IDs of jobs in the queue of the other pool.
const LONG_RUNNING_JOB: u64 = 1_000_000;
const FIRST_OTHER_JOB: u64 = 500_000;
/// How long jobs are submitted, and within which time after that all accepted jobs have to end.
const LOAD_TIME: Duration = ms(12_000);
const SETTLE_TIME: Duration = ms(14_000);
/// How long a job in the queue of the other pool may take: the objective of that queue.
const OBJECTIVE: Duration = ms(1500);
/// The number of seeds of each scenario.
const SEEDS: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Scenario {
    /// The number of hosts of the pool.
    hosts: usize,
    /// The fraction of the jobs that are poison jobs.
    share: f64,
    /// How many tasks of a poison job crash their hosts.
    poison_tasks: u32,
    /// The number of submitted jobs per second and host.
    rate: f64,
    /// How long poison tasks run before they crash their hosts.
    delay: Duration,
    /// Whether the leader changes half-way through.
    takeover: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            hosts: 12,
            share: 0.45,
            poison_tasks: 1,
            rate: 1.0,
            delay: ms(10),
            takeover: false,
        }
    }
}

/// The results of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    violations: Vec<String>,
    submitted: usize,
    rejected: usize,
    harmless: usize,
    completed: usize,
    /// The completed jobs in the queue of the other pool, and those of them that were in time.
    other_queue: (usize, usize),
}

fn simulate(seed: u64, scenario: Scenario) -> Outcome {
    let mut world = World::new(scenario.hosts, seed);
    world.reset_connections = true;
    world.down_time = ms(3000);
    world.poison_delays = (scenario.delay, scenario.delay);
    for host in 100..106 {
        world.add_host(&format!("h{host}"), OTHER_POOL);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5708);
    let hosts = u32::try_from(scenario.hosts).unwrap();
    world.submit(
        LONG_RUNNING_JOB,
        JobSpec::new("x", vec![long_running(hosts, 1)]),
    );
    world.pass(ms(20_000));
    let mut outcome = Outcome::default();
    let end = world.now + LOAD_TIME;
    let mut takeover = scenario.takeover.then(|| world.now + LOAD_TIME / 2);
    let (mut job, mut due) = (0, BTreeMap::new());
    while world.now < end {
        const TICK: Duration = ms(20);
        if rng.random_bool((scenario.rate * scenario.hosts as f64 * TICK.as_secs_f64()).min(1.0)) {
            job += 1;
            outcome.submitted += 1;
            let tasks = rng.random_range(3..7);
            let is_poison = rng.random_bool(scenario.share);
            let mut step = step(tasks, 1, 600);
            step.need.millicores = 1800;
            let spec = JobSpec::new("x", vec![step]);
            if is_rejected(&world, job, &spec) {
                outcome.rejected += 1;
            } else {
                world.submit(job, spec);
                if is_poison {
                    world.poison_tasks.insert(job, scenario.poison_tasks);
                } else {
                    outcome.harmless += 1;
                }
            }
        }
        if rng.random_bool(0.06) {
            job += 1;
            due.insert(FIRST_OTHER_JOB + job, world.now + OBJECTIVE);
            world.submit_to(
                OTHER_QUEUE,
                FIRST_OTHER_JOB + job,
                JobSpec::new("x", vec![step(3, 1, 500)]),
            );
        }
        if takeover.is_some_and(|at| world.now >= at) {
            takeover = None;
            world.depose();
            world.pass(ms(300));
            world.lead();
        }
        world.pass(TICK);
        count_completed(&world, &mut due, &mut outcome.other_queue);
    }
    let limit = world.now + SETTLE_TIME;
    while world.now < limit {
        world.pass(ms(20));
        count_completed(&world, &mut due, &mut outcome.other_queue);
    }
    check_jobs(&world, &mut outcome);
    outcome
}

/// Whether there is a leader, and it rejects a job.
fn is_rejected(world: &World, job: JobId, spec: &JobSpec) -> bool {
    let submission = Submission {
        job,
        queue: QUEUE.into(),
        pool: POOL.into(),
        workspace: None,
        terms: None,
        spec: spec.clone(),
        accepted_at: world.now,
    };
    let scheduler = world.scheduler.as_ref();
    scheduler.is_some_and(|scheduler| {
        let retry_after = scheduler.retry_after(world.now, &world.ledger, &submission, 0);
        retry_after.is_some()
    })
}

/// Counts the jobs in the queue of the other pool that have completed since the last call, and those of them
/// that were in time.
fn count_completed(
    world: &World,
    due: &mut BTreeMap<u64, Duration>,
    other_queue: &mut (usize, usize),
) {
    due.retain(|job, due| {
        let completed = world.state(*job) == Some(JobState::Completed);
        other_queue.0 += usize::from(completed);
        other_queue.1 += usize::from(completed && world.now <= *due);
        !completed
    });
}

fn check_jobs(world: &World, outcome: &mut Outcome) {
    let short = world.ledger.jobs().filter(|(id, _)| *id < FIRST_OTHER_JOB);
    let (mut waiting, mut wrongly_failed) = (0, Vec::new());
    for (id, job) in short {
        let is_poison = world.poison_tasks.contains_key(&id);
        waiting += usize::from(!job.has_ended());
        outcome.completed += usize::from(!is_poison && job.state == JobState::Completed);
        let ends = world
            .host_losses
            .iter()
            .filter(|(task, _)| task.step.job == id);
        let crashes = ends.map(|(_, ends)| *ends).max().unwrap_or_default();
        if !is_poison && job.state == JobState::Failed && crashes < 2 {
            wrongly_failed.push(id);
        }
    }
    if waiting > 0 {
        outcome
            .violations
            .push(format!("{waiting} jobs still wait at the end"));
    }
    if !wrongly_failed.is_empty() {
        let of = "harmless jobs failed with at most one host crash under a task";
        outcome
            .violations
            .push(format!("{} {of}: {wrongly_failed:?}", wrongly_failed.len()));
    }
    let over_limit = world
        .hosts_killed
        .values()
        .filter(|n| **n > MAX_KILLS)
        .count();
    if over_limit > 0 {
        outcome
            .violations
            .push(format!("{over_limit} tasks crashed over {MAX_KILLS} hosts"));
    }
}

/// Scenarios in which more poison jobs are submitted than their pool can try.
fn scenarios() -> Vec<Scenario> {
    let base = Scenario::default();
    let shares = [0.05, 0.2, 0.45, 0.8];
    let mut scenarios: Vec<_> = shares.map(|share| Scenario { share, ..base }).into();
    for hosts in [6, 30] {
        scenarios.push(Scenario { hosts, ..base });
    }
    scenarios.push(Scenario {
        takeover: true,
        ..base
    });
    scenarios.push(Scenario {
        poison_tasks: u32::MAX,
        ..base
    });
    scenarios.push(Scenario {
        delay: ms(300),
        share: 0.2,
        ..base
    });
    scenarios
}

/// Asserts that `check` finds no violation with any scenario and seed.
fn assert_no_violations(check: impl Fn(u64, Scenario) -> Vec<String>) {
    let mut violations = Vec::new();
    for scenario in scenarios() {
        for seed in 0..SEEDS {
            let found = check(seed, scenario);
            if !found.is_empty() {
                violations.push(format!("{scenario:?}, seed {seed}: {}", found.join("; ")));
            }
        }
    }
    let count = violations.len();
    assert!(
        violations.is_empty(),
        "{count} simulations violate a guarantee:\n{}",
        violations.join("\n")
    );
}

/// Accepted jobs waited forever where more poison jobs were submitted than their pool could try.
#[test]
fn no_accepted_job_waits_forever_beside_many_poison_jobs() {
    assert_no_violations(|seed, scenario| {
        let outcome = simulate(seed, scenario);
        println!("{scenario:?}, seed {seed}: {outcome:?}");
        outcome.violations
    });
}

/// Of the jobs that the queue of another pool completes in time without poison jobs, it completes at least
/// nine tenths as many in time with them.
#[test]
fn many_poison_jobs_cost_another_queue_no_more_than_a_tenth() {
    assert_no_violations(|seed, scenario| {
        let calm = Scenario {
            share: 0.0,
            ..scenario
        };
        let (completed, on_time) = simulate(seed, scenario).other_queue;
        let (_, calm_on_time) = simulate(seed, calm).other_queue;
        let violation =
            format!("{on_time} of {completed} in time, {calm_on_time} without poison jobs");
        let is_short = on_time * 10 < calm_on_time * 9;
        is_short.then_some(violation).into_iter().collect()
    });
}
