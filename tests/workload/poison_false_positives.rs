//! Hosts that end though no task ends them.
//!
//! What was seen: lasting jobs were stopped and failed, since a task of theirs was said to end its hosts.
//! There was no such task: tenths of the fleet crashed together or were replaced while leaders changed.
//! How it came about: the ends that would have shown how often hosts end didn't count, as each of them
//! might still have been the doing of a short task there, and an agent that had ended before its leader
//! began counted as one that had ended just after. Proof: the worlds here, in which no task ends a host.
//!
//! `EGRETPIN_WORLD_SEEDS=FROM-TO` plays other seeds than those of every run.

use std::{ops::RangeInclusive, time::Duration};

use egretpin::core::workload::{catalog::JobId, command::Command, job::JobState, spec::JobSpec};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

use crate::world::{OTHER, QUEUE, SECOND, World, lasting, ms, step};

/// The seeds that every run plays.
const SEEDS: RangeInclusive<u64> = 0..=5;
const VARIABLE: &str = "EGRETPIN_WORLD_SEEDS";
/// The first of the jobs that last.
const LASTING: u64 = 1_000_000;
/// How long a world is played with load, and after it.
const LOADED: Duration = ms(20_000);
const AFTER: Duration = ms(8000);
/// The part of their pools' room that short tasks take on average.
const LOAD: f64 = 0.5;
/// How long most short tasks take, and the others.
const WORK: (u64, u64) = (640, 2100);
/// Cores of a short task.
const CORES: u64 = 2;

/// How hosts end by themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    /// A part of them at the same moment, in both pools.
    Together,
    /// A part of one pool's at the same moment.
    InOnePool,
    /// One after the other.
    InTurn,
    /// A part of them for good; others come in their place.
    Replaced,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Shape {
    /// Hosts of each of the two pools.
    hosts: usize,
    ending: Ending,
    /// The part of the hosts that end each time.
    share: f64,
    /// From one such time to the next.
    pause: Duration,
    /// Whether leaders are lost near some of these times.
    takeovers: bool,
    /// Whether connections to an agent that dies are reset, and not silent.
    resets: bool,
    /// Whether agents start again under the ids that they had.
    keeps: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            hosts: 12,
            ending: Ending::Together,
            share: 0.15,
            pause: ms(3000),
            takeovers: true,
            resets: true,
            keeps: false,
        }
    }
}

/// A world, and where it stands.
struct Play {
    world: World,
    rng: Pcg64Mcg,
    shape: Shape,
    /// Hosts that were added so far.
    hosts: usize,
    /// Jobs that were submitted so far.
    jobs: u64,
    /// Hosts that end next, and when.
    ends: Vec<(Duration, String)>,
}

impl Play {
    fn new(seed: u64, shape: Shape) -> Self {
        let mut world = World::new(shape.hosts, seed);
        world.resets = shape.resets;
        world.keeps = if shape.keeps { 1.0 } else { 0.0 };
        world.away = ms(2000);
        let mut play = Self {
            world,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0xacc),
            shape,
            hosts: shape.hosts,
            jobs: 0,
            ends: Vec::new(),
        };
        for _ in 0..shape.hosts {
            play.add(OTHER);
        }
        let tasks = u32::try_from(shape.hosts).unwrap();
        for (job, queue) in (LASTING..).zip([QUEUE, SECOND, QUEUE, SECOND]) {
            let spec = JobSpec::new("x", vec![lasting(tasks, 1)]);
            play.world.submit_to(queue, job, spec);
        }
        play
    }

    fn add(&mut self, pool: &str) {
        self.world.host(&format!("h{}", self.hosts), pool);
        self.hosts += 1;
    }

    /// Jobs in the step of time that comes, as many as the load asks.
    fn submit(&mut self, span: Duration) {
        let room = (self.shape.hosts * 8) as f64 * LOAD;
        for queue in [QUEUE, SECOND] {
            let mut left = room * span.as_secs_f64();
            while left > 0.0 {
                let tasks = self.rng.random_range(3..9);
                let work = if self.rng.random_bool(0.8) {
                    WORK.0
                } else {
                    WORK.1
                };
                let cost = f64::from(tasks) * CORES as f64 * ms(work).as_secs_f64();
                if !self.rng.random_bool((left / cost).min(1.0)) {
                    break;
                }
                left -= cost;
                self.jobs += 1;
                let spec = JobSpec::new("x", vec![step(tasks, CORES, work)]);
                self.world.submit_to(queue, self.jobs, spec);
            }
        }
    }

    /// Chooses the hosts that end now, or from now on.
    fn strike(&mut self) {
        let pool = (self.shape.ending == Ending::InOnePool).then_some(OTHER);
        let views = self.world.hosts.iter();
        let there = views.filter(|(_, view)| pool.is_none_or(|pool| &*view.pool == pool));
        let mut hosts: Vec<_> = there.map(|(host, _)| host.to_string()).collect();
        hosts.shuffle(&mut self.rng);
        let count = (hosts.len() as f64 * self.shape.share).ceil() as usize;
        let apart = if self.shape.ending == Ending::InTurn {
            self.shape.pause / u32::try_from(count).unwrap()
        } else {
            Duration::ZERO
        };
        let now = self.world.now;
        let ends = (0_u32..).zip(hosts.into_iter().take(count));
        self.ends
            .extend(ends.map(|(ix, host)| (now + apart * ix, host)));
    }

    /// Ends the hosts whose time has come.
    fn end(&mut self) {
        let now = self.world.now;
        let (due, later) = self.ends.drain(..).partition(|(at, _)| *at <= now);
        self.ends = later;
        let due: Vec<(Duration, String)> = due;
        for (_, host) in due {
            let host = host.as_str().into();
            let Some(agent) = self.world.living(&host) else {
                continue;
            };
            if self.shape.ending != Ending::Replaced {
                self.world.restart(&agent);
                continue;
            }
            let pool = self.world.hosts[&host].pool.to_string();
            self.world.restart(&agent);
            self.world.hosts.remove(&host);
            self.add(&pool);
        }
    }

    /// Has the leader be lost, and another one lead some time later.
    fn depose(&mut self) {
        self.world.depose();
        let without = self.rng.random_range(300..1000);
        self.world.pass(ms(without));
        self.world.lead();
    }

    /// What was convicted.
    fn run(mut self) -> Vec<String> {
        const STEP: Duration = ms(20);
        self.world.pass(ms(3000));
        let end = self.world.now + LOADED;
        let mut strike = self.world.now + self.shape.pause;
        let mut depose = None;
        while self.world.now < end {
            self.submit(STEP);
            if self.world.now >= strike {
                strike += self.shape.pause;
                self.strike();
                let after = ms(self.rng.random_range(0..1500));
                depose = (self.shape.takeovers && self.rng.random_bool(0.5))
                    .then_some(self.world.now + after);
            }
            self.end();
            if depose.is_some_and(|at| self.world.now >= at) {
                depose = None;
                self.depose();
            }
            self.world.pass(STEP);
        }
        self.world.pass(AFTER);
        let jobs = self.world.ledger.jobs();
        let failed = jobs.filter(|(_, job)| job.state == JobState::Failed);
        let told = failed.map(|(id, job)| {
            let convicted = job.poison_task.map(|task| task.to_string());
            format!("job {id}, {convicted:?}: {}", self.held(id).join(", "))
        });
        told.collect()
    }

    /// What the ends of agents proved against the tasks of a job.
    fn held(&self, job: JobId) -> Vec<String> {
        let commands = self.world.committed.iter();
        let crashes = commands.filter_map(|command| match command {
            Command::Crashed(crash) => Some(crash),
            _ => None,
        });
        let held = crashes.flat_map(|crash| {
            let tasks = crash.tasks.iter();
            let tasks = tasks.filter(|present| present.task.step.job == job);
            tasks.map(|present| format!("{} {present:?} of {}", crash.agent, crash.tasks.len()))
        });
        held.collect()
    }
}

/// The seeds that are to be played.
fn seeds() -> RangeInclusive<u64> {
    let Ok(given) = std::env::var(VARIABLE) else {
        return SEEDS;
    };
    let bounds = given.split_once('-');
    let bounds = bounds.and_then(|(from, to)| Some(from.parse().ok()?..=to.parse().ok()?));
    bounds.unwrap_or_else(|| panic!("{VARIABLE} is {given}; write it as FROM-TO"))
}

fn assert_acquitted(shapes: &[Shape]) {
    let mut faults = Vec::new();
    for shape in shapes {
        for seed in seeds() {
            let found = Play::new(seed, *shape).run();
            if !found.is_empty() {
                faults.push(format!("{shape:?}, seed {seed}: {}", found.join("; ")));
            }
        }
    }
    let count = faults.len();
    assert!(faults.is_empty(), "{count} worlds:\n{}", faults.join("\n"));
}

/// Innocent jobs were convicted where tenths of the fleet crashed together.
#[test]
fn no_job_fails_as_poison_where_hosts_crash_together() {
    let base = Shape::default();
    assert_acquitted(&[
        base,
        Shape {
            resets: false,
            ..base
        },
        Shape {
            takeovers: false,
            share: 0.25,
            ..base
        },
        Shape { hosts: 40, ..base },
        Shape {
            keeps: true,
            ..base
        },
    ]);
}

/// The same where all that crash are of one pool.
#[test]
fn no_job_fails_as_poison_where_hosts_of_one_pool_crash_together() {
    let base = Shape {
        ending: Ending::InOnePool,
        share: 0.2,
        ..Shape::default()
    };
    assert_acquitted(&[
        base,
        Shape {
            resets: false,
            takeovers: false,
            ..base
        },
        Shape { hosts: 40, ..base },
    ]);
}

/// The same where they are replaced for good, or crash one after the other.
#[test]
fn no_job_fails_as_poison_where_hosts_are_replaced_or_crash_in_turn() {
    let base = Shape {
        ending: Ending::Replaced,
        ..Shape::default()
    };
    assert_acquitted(&[
        base,
        Shape {
            ending: Ending::InTurn,
            ..base
        },
        Shape {
            hosts: 40,
            share: 0.2,
            ..base
        },
    ]);
}

/// Jobs were convicted for hosts on which their tasks had never begun: an earlier leader had decided the
/// attempts, and the agents had ended before.
#[test]
fn an_attempt_that_never_started_is_no_evidence_to_a_later_leader() {
    let mut world = World::new(4, 1);
    world.resets = true;
    world.pass(ms(3000));
    world.submit(1, JobSpec::new("x", vec![step(1, 2, 5000)]));
    world.until("it runs", ms(500), |world| world.runs(1).len() == 1);
    world.pass(ms(200));
    let (first, _) = world.runs(1)[0].clone();
    world.restart(&first);
    let second = |world: &World| {
        let job = world.ledger.job(1)?;
        let task = &job.runs.get(&0)?.steps[0].tasks[0];
        task.agent.clone().filter(|_| task.attempt == 2)
    };
    world.until("a second attempt is decided", ms(3000), |world| {
        second(world).is_some()
    });
    let agent = second(&world).expect("it is placed");
    world.restart(&agent);
    world.pass(ms(60));
    assert_eq!(world.starts.values().sum::<u32>(), 1);
    world.depose();
    world.pass(ms(600));
    world.lead();
    world.until("its agent is over", ms(5000), |world| {
        world.ledger.agent(&agent).is_none()
    });
    let crashes = world.committed.iter().filter_map(|command| match command {
        Command::Crashed(crash) if crash.agent == agent => Some(crash),
        _ => None,
    });
    let tasks: Vec<_> = crashes.flat_map(|crash| &crash.tasks).collect();
    assert!(!tasks.is_empty());
    for present in tasks {
        assert!(!present.started, "{present:?}");
        assert_eq!(
            (present.weight, present.timing_weight),
            (0, 0),
            "{present:?}"
        );
    }
}
