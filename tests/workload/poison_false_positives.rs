//! Hosts that crash although there is no poison task: no job may fail as a poison job.
//!
//! The tests guard against a fault that stopped and failed long-running jobs: one of their tasks was taken
//! for a poison task, and none was. Tenths of the fleet crashed together or were replaced while leaders
//! changed. There were two causes. A crash didn't count towards the rate at which hosts crash by themselves
//! as long as a batch task on the host could have caused it. And an agent that was lost before the term of
//! its leader began was treated as if it had been lost just after. In the simulations here no task crashes a
//! host.
//!
//! `EGRETPIN_WORLD_SEEDS=FROM-TO` replaces the default seeds.

use std::{ops::RangeInclusive, time::Duration};

use egretpin::core::workload::{catalog::JobId, command::Command, job::JobState, spec::JobSpec};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

use crate::world::{OTHER_POOL, OTHER_QUEUE, QUEUE, World, long_running, ms, step};

/// The default seeds.
const SEEDS: RangeInclusive<u64> = 0..=5;
const SEEDS_VARIABLE: &str = "EGRETPIN_WORLD_SEEDS";
/// The ID of the first long-running job.
const FIRST_LONG_RUNNING_JOB: u64 = 1_000_000;
/// How long a simulation lasts with batch jobs being submitted, and after the last one.
const LOAD_TIME: Duration = ms(20_000);
const SETTLE_TIME: Duration = ms(8000);
/// The fraction of the cores of each pool that batch tasks use on average.
const UTILIZATION: f64 = 0.5;
/// How long most batch tasks take, and how long the others take, in milliseconds.
const TASK_MILLIS: (u64, u64) = (640, 2100);
/// The cores that a batch task takes.
const TASK_CORES: u64 = 2;

/// How hosts crash by themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CrashPattern {
    /// A fraction of the hosts crash at once, in both pools.
    Simultaneous,
    /// A fraction of the hosts of one pool crash at once.
    OnePool,
    /// A fraction of the hosts crash one after the other.
    Staggered,
    /// A fraction of the hosts are lost for good at once, and new hosts replace them.
    Replaced,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Scenario {
    /// Hosts of each of the two pools.
    hosts: usize,
    pattern: CrashPattern,
    /// The fraction of the hosts that crash each time.
    share: f64,
    /// The time from one series of crashes to the next.
    interval: Duration,
    /// Whether the leader changes soon after some of the crashes.
    takeovers: bool,
    /// Whether connections to an agent that dies are reset; they are silent otherwise.
    reset_connections: bool,
    /// Whether agents restart under the same ID.
    reuse_ids: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            hosts: 12,
            pattern: CrashPattern::Simultaneous,
            share: 0.15,
            interval: ms(3000),
            takeovers: true,
            reset_connections: true,
            reuse_ids: false,
        }
    }
}

/// A world with its load and its host crashes.
struct Simulation {
    world: World,
    rng: Pcg64Mcg,
    scenario: Scenario,
    /// The number of hosts added so far.
    hosts: usize,
    /// The number of batch jobs submitted so far.
    jobs: u64,
    /// The hosts that are still to crash, with the time of each crash.
    crashes: Vec<(Duration, String)>,
}

impl Simulation {
    fn new(seed: u64, scenario: Scenario) -> Self {
        let mut world = World::new(scenario.hosts, seed);
        world.reset_connections = scenario.reset_connections;
        world.id_reuse = if scenario.reuse_ids { 1.0 } else { 0.0 };
        world.down_time = ms(2000);
        let mut simulation = Self {
            world,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0xacc),
            scenario,
            hosts: scenario.hosts,
            jobs: 0,
            crashes: Vec::new(),
        };
        for _ in 0..scenario.hosts {
            simulation.add_host(OTHER_POOL);
        }
        let tasks = u32::try_from(scenario.hosts).unwrap();
        for (job, queue) in (FIRST_LONG_RUNNING_JOB..).zip([QUEUE, OTHER_QUEUE, QUEUE, OTHER_QUEUE])
        {
            let spec = JobSpec::new("x", vec![long_running(tasks, 1)]);
            simulation.world.submit_to(queue, job, spec);
        }
        simulation
    }

    fn add_host(&mut self, pool: &str) {
        self.world.add_host(&format!("h{}", self.hosts), pool);
        self.hosts += 1;
    }

    /// Submits the batch jobs of the next time step, as many as the utilization requires on average.
    fn submit(&mut self, span: Duration) {
        let busy_cores = (self.scenario.hosts * 8) as f64 * UTILIZATION;
        for queue in [QUEUE, OTHER_QUEUE] {
            let mut remaining = busy_cores * span.as_secs_f64();
            while remaining > 0.0 {
                let tasks = self.rng.random_range(3..9);
                let work = if self.rng.random_bool(0.8) {
                    TASK_MILLIS.0
                } else {
                    TASK_MILLIS.1
                };
                let cost = f64::from(tasks) * TASK_CORES as f64 * ms(work).as_secs_f64();
                if !self.rng.random_bool((remaining / cost).min(1.0)) {
                    break;
                }
                remaining -= cost;
                self.jobs += 1;
                let spec = JobSpec::new("x", vec![step(tasks, TASK_CORES, work)]);
                self.world.submit_to(queue, self.jobs, spec);
            }
        }
    }

    /// Starts a series of crashes: chooses the hosts, and when each of them crashes.
    fn schedule_crashes(&mut self) {
        let pool = (self.scenario.pattern == CrashPattern::OnePool).then_some(OTHER_POOL);
        let views = self.world.hosts.iter();
        let candidates = views.filter(|(_, view)| pool.is_none_or(|pool| &*view.pool == pool));
        let mut hosts: Vec<_> = candidates.map(|(host, _)| host.to_string()).collect();
        hosts.shuffle(&mut self.rng);
        let count = (hosts.len() as f64 * self.scenario.share).ceil() as usize;
        let spacing = if self.scenario.pattern == CrashPattern::Staggered {
            self.scenario.interval / u32::try_from(count).unwrap()
        } else {
            Duration::ZERO
        };
        let now = self.world.now;
        let crashes = (0_u32..).zip(hosts.into_iter().take(count));
        self.crashes
            .extend(crashes.map(|(ix, host)| (now + spacing * ix, host)));
    }

    /// Crashes the hosts whose time has come.
    fn crash_due_hosts(&mut self) {
        let now = self.world.now;
        let (due, later) = self.crashes.drain(..).partition(|(at, _)| *at <= now);
        self.crashes = later;
        let due: Vec<(Duration, String)> = due;
        for (_, host) in due {
            let host = host.as_str().into();
            let Some(agent) = self.world.incarnation_at(&host) else {
                continue;
            };
            if self.scenario.pattern != CrashPattern::Replaced {
                self.world.restart(&agent);
                continue;
            }
            let pool = self.world.hosts[&host].pool.to_string();
            self.world.restart(&agent);
            self.world.hosts.remove(&host);
            self.add_host(&pool);
        }
    }

    /// Removes the leader, and has another one take over some time later.
    fn replace_leader(&mut self) {
        self.world.depose();
        let gap = self.rng.random_range(300..1000);
        self.world.pass(ms(gap));
        self.world.lead();
    }

    /// Runs the simulation and describes each job that failed.
    fn run(mut self) -> Vec<String> {
        const TICK: Duration = ms(20);
        self.world.pass(ms(3000));
        let end = self.world.now + LOAD_TIME;
        let mut next_crash = self.world.now + self.scenario.interval;
        let mut takeover_at = None;
        while self.world.now < end {
            self.submit(TICK);
            if self.world.now >= next_crash {
                next_crash += self.scenario.interval;
                self.schedule_crashes();
                let after = ms(self.rng.random_range(0..1500));
                takeover_at = (self.scenario.takeovers && self.rng.random_bool(0.5))
                    .then_some(self.world.now + after);
            }
            self.crash_due_hosts();
            if takeover_at.is_some_and(|at| self.world.now >= at) {
                takeover_at = None;
                self.replace_leader();
            }
            self.world.pass(TICK);
        }
        self.world.pass(SETTLE_TIME);
        let jobs = self.world.ledger.jobs();
        let failed = jobs.filter(|(_, job)| job.state == JobState::Failed);
        let reports = failed.map(|(id, job)| {
            let poison_task = job.poison_task.map(|task| task.to_string());
            format!(
                "job {id}, {poison_task:?}: {}",
                self.crash_evidence(id).join(", ")
            )
        });
        reports.collect()
    }

    /// The committed evidence of crashes against the tasks of a job.
    fn crash_evidence(&self, job: JobId) -> Vec<String> {
        let commands = self.world.committed.iter();
        let crashes = commands.filter_map(|command| match command {
            Command::Crashed(crash) => Some(crash),
            _ => None,
        });
        let evidence = crashes.flat_map(|crash| {
            let tasks = crash.tasks.iter();
            let tasks = tasks.filter(|crashed| crashed.task.step.job == job);
            tasks.map(|crashed| format!("{} {crashed:?} of {}", crash.agent, crash.tasks.len()))
        });
        evidence.collect()
    }
}

/// The seeds that the environment names, or else the default ones.
fn seeds() -> RangeInclusive<u64> {
    let Ok(given) = std::env::var(SEEDS_VARIABLE) else {
        return SEEDS;
    };
    let bounds = given.split_once('-');
    let bounds = bounds.and_then(|(from, to)| Some(from.parse().ok()?..=to.parse().ok()?));
    bounds.unwrap_or_else(|| panic!("{SEEDS_VARIABLE} is {given}, but must have the form FROM-TO"))
}

fn assert_no_job_fails(scenarios: &[Scenario]) {
    let mut failures = Vec::new();
    for scenario in scenarios {
        for seed in seeds() {
            let failed = Simulation::new(seed, *scenario).run();
            if !failed.is_empty() {
                failures.push(format!("{scenario:?}, seed {seed}: {}", failed.join("; ")));
            }
        }
    }
    let count = failures.len();
    assert!(
        failures.is_empty(),
        "jobs failed in {count} simulations:\n{}",
        failures.join("\n")
    );
}

/// Harmless jobs failed as poison where tenths of the fleet crashed together.
#[test]
fn no_job_fails_as_poison_where_hosts_crash_together() {
    let base = Scenario::default();
    assert_no_job_fails(&[
        base,
        Scenario {
            reset_connections: false,
            ..base
        },
        Scenario {
            takeovers: false,
            share: 0.25,
            ..base
        },
        Scenario { hosts: 40, ..base },
        Scenario {
            reuse_ids: true,
            ..base
        },
    ]);
}

/// The same fault where all hosts that crash are of one pool.
#[test]
fn no_job_fails_as_poison_where_hosts_of_one_pool_crash_together() {
    let base = Scenario {
        pattern: CrashPattern::OnePool,
        share: 0.2,
        ..Scenario::default()
    };
    assert_no_job_fails(&[
        base,
        Scenario {
            reset_connections: false,
            takeovers: false,
            ..base
        },
        Scenario { hosts: 40, ..base },
    ]);
}

/// The same fault where hosts are replaced for good, or crash one after the other.
#[test]
fn no_job_fails_as_poison_where_hosts_are_replaced_or_crash_in_turn() {
    let base = Scenario {
        pattern: CrashPattern::Replaced,
        ..Scenario::default()
    };
    assert_no_job_fails(&[
        base,
        Scenario {
            pattern: CrashPattern::Staggered,
            ..base
        },
        Scenario {
            hosts: 40,
            share: 0.2,
            ..base
        },
    ]);
}

/// Jobs failed as poison because of hosts on which their tasks had never started: an earlier leader had
/// committed the attempts, and the agents were lost before the start.
#[test]
fn an_attempt_that_never_started_is_no_evidence_to_a_later_leader() {
    let mut world = World::new(4, 1);
    world.reset_connections = true;
    world.pass(ms(3000));
    world.submit(1, JobSpec::new("x", vec![step(1, 2, 5000)]));
    world.until("the task runs", ms(500), |world| world.runs(1).len() == 1);
    world.pass(ms(200));
    let (first, _) = world.runs(1)[0].clone();
    world.restart(&first);
    let second = |world: &World| {
        let job = world.ledger.job(1)?;
        let task = job.runs.get(&0)?.steps[0].task(0)?;
        task.agent.clone().filter(|_| task.attempt == 2)
    };
    world.until("a second attempt is committed", ms(3000), |world| {
        second(world).is_some()
    });
    let agent = second(&world).expect("the second attempt is placed");
    world.restart(&agent);
    world.pass(ms(60));
    assert_eq!(world.starts.values().sum::<u32>(), 1);
    world.depose();
    world.pass(ms(600));
    world.lead();
    world.until(
        "the agent of the second attempt is removed",
        ms(5000),
        |world| world.ledger.agent(&agent).is_none(),
    );
    let crashes = world.committed.iter().filter_map(|command| match command {
        Command::Crashed(crash) if crash.agent == agent => Some(crash),
        _ => None,
    });
    let tasks: Vec<_> = crashes.flat_map(|crash| &crash.tasks).collect();
    assert!(!tasks.is_empty());
    for crashed in tasks {
        assert!(!crashed.started, "{crashed:?}");
        assert_eq!(
            (crashed.weight, crashed.timing_weight),
            (0, 0),
            "{crashed:?}"
        );
    }
}
