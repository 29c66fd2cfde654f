//! A good part of a queue's jobs end the hosts that run them.
//!
//! What was seen: jobs that were accepted waited for good while their pool's hosts were all but empty, and
//! nine tenths of the innocent jobs of the queue weren't done in time. How it came about: new jobs were packed,
//! so that three of four hosts ended under a crowd that proved nothing against any of them; each conviction cost
//! four or five hosts; and all that came was accepted. Proof: the worlds here, in which more deadly jobs come
//! than a pool can try.

use std::{collections::BTreeMap, time::Duration};

use egretpin::core::workload::{catalog::JobId, command::Submission, job::JobState, spec::JobSpec};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::world::{OTHER, POOL, QUEUE, SECOND, World, lasting, ms, step};

/// Hosts that may end under a task: a third one, and those of two more starts.
const MOST_ENDS: u32 = 5;
/// The first of the jobs that last, and of those of the quiet queue.
const LASTING: u64 = 1_000_000;
const QUIET: u64 = 500_000;
/// How long jobs come, and by when all that was accepted is over.
const RUSH: Duration = ms(12_000);
const AFTER: Duration = ms(14_000);
/// How long a quiet job may take: what its queue asks.
const OBJECTIVE: Duration = ms(1500);
/// Worlds that are played of each shape.
const SEEDS: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Shape {
    /// Hosts of the pool.
    hosts: usize,
    /// The part of the jobs that are deadly.
    share: f64,
    /// How many tasks of a deadly job are.
    tasks: u32,
    /// Jobs a second, for each host.
    rate: f64,
    /// How long deadly tasks run before they end their hosts.
    delay: Duration,
    /// The leader ends in the midst, and another follows.
    takeover: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            hosts: 12,
            share: 0.45,
            tasks: 1,
            rate: 1.0,
            delay: ms(10),
            takeover: false,
        }
    }
}

/// What came of a world.
#[derive(Debug, Default)]
struct Outcome {
    faults: Vec<String>,
    asked: usize,
    refused: usize,
    innocent: usize,
    done: usize,
    quiet: (usize, usize),
}

fn play(seed: u64, shape: Shape) -> Outcome {
    let mut world = World::new(shape.hosts, seed);
    world.resets = true;
    world.away = ms(3000);
    world.delays = (shape.delay, shape.delay);
    for host in 100..106 {
        world.host(&format!("h{host}"), OTHER);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5708);
    let hosts = u32::try_from(shape.hosts).unwrap();
    world.submit(LASTING, JobSpec::new("x", vec![lasting(hosts, 1)]));
    world.pass(ms(20_000));
    let mut outcome = Outcome::default();
    let end = world.now + RUSH;
    let mut takeover = shape.takeover.then(|| world.now + RUSH / 2);
    let (mut job, mut due) = (0, BTreeMap::new());
    while world.now < end {
        const TICK: Duration = ms(20);
        if rng.random_bool((shape.rate * shape.hosts as f64 * TICK.as_secs_f64()).min(1.0)) {
            job += 1;
            outcome.asked += 1;
            let tasks = rng.random_range(3..7);
            let deadly = rng.random_bool(shape.share);
            let mut step = step(tasks, 1, 600);
            step.need.millicores = 1800;
            let spec = JobSpec::new("x", vec![step]);
            if is_refused(&world, job, &spec) {
                outcome.refused += 1;
            } else {
                world.submit(job, spec);
                if deadly {
                    world.deadly.insert(job, shape.tasks);
                } else {
                    outcome.innocent += 1;
                }
            }
        }
        if rng.random_bool(0.06) {
            job += 1;
            due.insert(QUIET + job, world.now + OBJECTIVE);
            world.submit_to(
                SECOND,
                QUIET + job,
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
        settle(&world, &mut due, &mut outcome.quiet);
    }
    let limit = world.now + AFTER;
    while world.now < limit {
        world.pass(ms(20));
        settle(&world, &mut due, &mut outcome.quiet);
    }
    judge(&world, &mut outcome);
    outcome
}

/// Whether the leader doesn't accept a job, if there is one.
fn is_refused(world: &World, job: JobId, spec: &JobSpec) -> bool {
    let submission = Submission {
        job,
        queue: QUEUE.into(),
        pool: POOL.into(),
        workspace: None,
        spec: spec.clone(),
        accepted_at: world.now,
    };
    let scheduler = world.scheduler.as_ref();
    scheduler.is_some_and(|scheduler| {
        let comeback = scheduler.retry_after(world.now, &world.ledger, &submission, 0);
        comeback.is_some()
    })
}

/// Counts the quiet jobs that are over, and those of them that are in time.
fn settle(world: &World, due: &mut BTreeMap<u64, Duration>, quiet: &mut (usize, usize)) {
    due.retain(|job, due| {
        let over = world.state(*job) == Some(JobState::Completed);
        quiet.0 += usize::from(over);
        quiet.1 += usize::from(over && world.now <= *due);
        !over
    });
}

fn judge(world: &World, outcome: &mut Outcome) {
    let short = world.ledger.jobs().filter(|(id, _)| *id < QUIET);
    let (mut waiting, mut lost) = (0, Vec::new());
    for (id, job) in short {
        let deadly = world.deadly.contains_key(&id);
        waiting += usize::from(!job.has_ended());
        outcome.done += usize::from(!deadly && job.state == JobState::Completed);
        let ends = world.ends.iter().filter(|(task, _)| task.step.job == id);
        let most = ends.map(|(_, ends)| *ends).max().unwrap_or_default();
        if !deadly && job.state == JobState::Failed && most < 2 {
            lost.push(id);
        }
    }
    if waiting > 0 {
        outcome
            .faults
            .push(format!("{waiting} jobs wait in the end"));
    }
    if !lost.is_empty() {
        let of = "innocent jobs failed that one host ended under";
        outcome
            .faults
            .push(format!("{} {of}: {lost:?}", lost.len()));
    }
    let over = world.killed.values().filter(|n| **n > MOST_ENDS).count();
    if over > 0 {
        outcome
            .faults
            .push(format!("{over} tasks ended over {MOST_ENDS} hosts"));
    }
}

/// Worlds in which more deadly jobs come than their pool can try.
fn shapes() -> Vec<Shape> {
    let base = Shape::default();
    let shares = [0.05, 0.2, 0.45, 0.8];
    let mut shapes: Vec<_> = shares.map(|share| Shape { share, ..base }).into();
    for hosts in [6, 30] {
        shapes.push(Shape { hosts, ..base });
    }
    shapes.push(Shape {
        takeover: true,
        ..base
    });
    shapes.push(Shape {
        tasks: u32::MAX,
        ..base
    });
    shapes.push(Shape {
        delay: ms(300),
        share: 0.2,
        ..base
    });
    shapes
}

/// What broke in the worlds of all shapes and seeds, as `look` finds it.
fn assert_none(look: impl Fn(u64, Shape) -> Vec<String>) {
    let mut faults = Vec::new();
    for shape in shapes() {
        for seed in 0..SEEDS {
            let found = look(seed, shape);
            if !found.is_empty() {
                faults.push(format!("{shape:?}, seed {seed}: {}", found.join("; ")));
            }
        }
    }
    let count = faults.len();
    assert!(faults.is_empty(), "{count} worlds:\n{}", faults.join("\n"));
}

/// Accepted jobs waited for good where more deadly jobs came than their pool could try.
#[test]
fn no_accepted_job_waits_forever_beside_many_poison_jobs() {
    assert_none(|seed, shape| {
        let outcome = play(seed, shape);
        println!("{shape:?}, seed {seed}: {outcome:?}");
        outcome.faults
    });
}

/// Nine tenths of what a quiet queue of another pool does in time alone, it does beside a storm.
#[test]
fn many_poison_jobs_cost_another_queue_no_more_than_a_tenth() {
    assert_none(|seed, shape| {
        let calm = Shape {
            share: 0.0,
            ..shape
        };
        let (over, timely) = play(seed, shape).quiet;
        let (_, alone) = play(seed, calm).quiet;
        let fault = format!("{timely} of {over} in time, {alone} without a storm");
        let short = timely * 10 < alone * 9;
        short.then_some(fault).into_iter().collect()
    });
}
