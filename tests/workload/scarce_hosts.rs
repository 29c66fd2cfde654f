//! Poison tasks where few hosts can be kept free for trials.
//!
//! The tests guard against tasks that were started up to eight times more after a third host had crashed
//! under them, and against jobs that waited forever for a host to themselves. Each host of a pool ran a
//! long-running task under which two hosts had crashed because of other tasks, and none of these hosts was
//! kept free for a suspect. So suspects ran beside each other, the same ones time after time, and each crash
//! made more of them. The simulations here have small pools with a long-running task on every host.
//!
//! A task may be started twice more after a third host has crashed under it; users rely on that limit.

use std::{collections::BTreeMap, time::Duration};

use egretpin::core::workload::{job::JobState, scheduler::Scheduler, spec::JobSpec};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::world::{QUEUE, World, long_running, ms, step};

/// The most hosts that a task may crash: three, and those of two more starts.
const MAX_KILLS: u32 = 5;
/// The ID of the first long-running job.
const FIRST_LONG_RUNNING_JOB: u64 = 1000;
/// How long the long-running tasks run before the first batch job; the longer they have run, the longer they
/// are suspected.
const WARM_UP_TIME: Duration = ms(40_000);
/// The number of seeds of each scenario.
const SEEDS: u64 = 3;

/// A pool and the batch jobs submitted to it, among them poison jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Scenario {
    hosts: usize,
    jobs: u64,
    /// The fraction of the jobs that are poison jobs.
    share: f64,
    /// How many tasks of a poison job crash their hosts.
    poison_tasks: u32,
    /// How long poison tasks run before they crash their hosts.
    delay: Duration,
    /// How long a crashed host is down.
    down_time: Duration,
    /// The time from one submitted job to the next.
    interval: Duration,
    /// What each batch task takes, in thousandths of a core.
    millicores: u64,
    /// The number of jobs from one change of the leader to the next.
    takeover_interval: Option<u64>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            hosts: 6,
            jobs: 150,
            share: 0.06,
            poison_tasks: 1,
            delay: ms(10),
            down_time: ms(3000),
            interval: ms(20),
            millicores: 400,
            takeover_interval: None,
        }
    }
}

/// Simulates a scenario and returns the guarantees that it violates.
fn simulate(seed: u64, scenario: Scenario) -> Vec<String> {
    let mut world = World::new(scenario.hosts, seed);
    world.reset_connections = true;
    world.down_time = scenario.down_time;
    world.poison_delays = (scenario.delay, scenario.delay);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5ca);
    let hosts = u32::try_from(scenario.hosts).unwrap();
    for job in 0..2 {
        world.submit(
            FIRST_LONG_RUNNING_JOB + job,
            JobSpec::new("x", vec![long_running(hosts, 1)]),
        );
    }
    world.pass(WARM_UP_TIME);
    for job in 1..=scenario.jobs {
        let tasks = rng.random_range(3..9);
        let mut step = step(tasks, 1, 500);
        step.need.millicores = scenario.millicores;
        world.submit_to(QUEUE, job, JobSpec::new("x", vec![step]));
        if rng.random_bool(scenario.share) {
            world.poison_tasks.insert(job, scenario.poison_tasks);
        }
        if scenario
            .takeover_interval
            .is_some_and(|jobs| job.is_multiple_of(jobs))
        {
            world.depose();
            world.pass(ms(300));
            world.lead();
        }
        world.pass(scenario.interval);
    }
    // Long enough for each poison job to crash all the hosts that it may, one after the other, with a margin.
    let poison_jobs = u32::try_from(world.poison_tasks.len()).unwrap();
    let crash_waves = (poison_jobs * MAX_KILLS).div_ceil(hosts) + 2;
    let limit =
        world.now + (scenario.down_time + scenario.delay + ms(1500)) * crash_waves + ms(20_000);
    let unfinished_jobs = |world: &World| {
        let jobs = world
            .ledger
            .jobs()
            .filter(|(id, _)| *id < FIRST_LONG_RUNNING_JOB);
        jobs.filter(|(_, job)| !job.has_ended()).count()
    };
    while unfinished_jobs(&world) > 0 && world.now < limit {
        world.pass(ms(100));
    }
    violations(&world, unfinished_jobs(&world))
}

fn violations(world: &World, unfinished: usize) -> Vec<String> {
    let mut violations = Vec::new();
    let over_limit: BTreeMap<_, _> = world
        .hosts_killed
        .iter()
        .filter(|(_, n)| **n > MAX_KILLS)
        .collect();
    if !over_limit.is_empty() {
        let killers = world.hosts_killed.len();
        violations.push(format!(
            "{} of {killers} poison tasks crashed over {MAX_KILLS} hosts: {over_limit:?}",
            over_limit.len()
        ));
    }
    if unfinished > 0 {
        let suspected = world.scheduler.as_ref().map_or(0, Scheduler::suspected);
        violations.push(format!(
            "{unfinished} jobs still wait at the end, {suspected} tasks are suspected"
        ));
    }
    let failed = world
        .ledger
        .jobs()
        .filter(|(id, job)| job.state == JobState::Failed && !world.poison_tasks.contains_key(id));
    for (id, job) in failed {
        let ends = world
            .host_losses
            .iter()
            .filter(|(task, _)| task.step.job == id);
        let crashes = ends.map(|(_, ends)| *ends).max().unwrap_or_default();
        // Callers know that the job of a task may fail if two hosts have crashed under the task.
        if crashes < 2 {
            violations.push(format!(
                "job {id} failed with at most {crashes} host crashes under a task: {:?}",
                job.evidence
            ));
        }
    }
    violations
}

fn assert_no_violations(scenarios: &[Scenario]) {
    let mut violations = Vec::new();
    for scenario in scenarios {
        for seed in 0..SEEDS {
            let failures = simulate(seed, *scenario);
            if !failures.is_empty() {
                violations.push(format!(
                    "{scenario:?}, seed {seed}: {}",
                    failures.join("; ")
                ));
            }
        }
    }
    assert!(
        violations.is_empty(),
        "{} simulations violate a guarantee:\n{}",
        violations.len(),
        violations.join("\n")
    );
}

/// Poison tasks kept starting beside each other, and jobs kept waiting, where each host ran long-running
/// tasks that were suspects because of crashes that other tasks caused.
#[test]
fn no_poison_task_starts_three_times_more_where_hosts_are_scarce() {
    let mut scenarios: Vec<_> = [3, 5, 6, 8]
        .map(|hosts| Scenario {
            hosts,
            ..Scenario::default()
        })
        .into();
    let base = Scenario {
        jobs: 60,
        ..Scenario::default()
    };
    for share in [0.3, 0.8] {
        scenarios.push(Scenario { share, ..base });
        scenarios.push(Scenario {
            share,
            poison_tasks: u32::MAX,
            ..base
        });
    }
    for delay in [100, 600, 3000].map(ms) {
        scenarios.push(Scenario { delay, ..base });
    }
    for hosts in [2, 12, 24] {
        scenarios.push(Scenario {
            hosts,
            share: 0.3,
            ..base
        });
    }
    scenarios.push(Scenario {
        down_time: ms(8000),
        ..base
    });
    scenarios.push(Scenario {
        takeover_interval: Some(8),
        ..base
    });
    assert_no_violations(&scenarios);
}
