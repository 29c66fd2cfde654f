//! One leader after the other: what the one has taken from a budget, the next must not take again.
//!
//! What was seen: a leader told two lasting tasks of a step to stop, of which two may be away, and
//! lost power within a second. Its successor heard that the one had ended, took the other, which its
//! agent listed at work until the stop was through, for running, and stopped a third. How it came
//! about: a stop takes up to a second and is in nobody's log, and a list of what runs doesn't say what
//! is being stopped. Cause: a leader spent a budget by what it had heard of the tasks, and not by what
//! its predecessor may have ordered. Proof: the first test, which puts a new leader into that second.

use egretpin::core::workload::{scheduler::Protections, spec::JobSpec};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

use crate::world::{World, lasting, ms};

/// Worlds that are played with each set of protections.
const SEEDS: u64 = 40;
const HOSTS: [&str; 10] = ["h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"];

/// Ten hosts, and a step of six lasting tasks of which two may be away.
fn world(seed: u64, protections: Protections) -> World {
    let mut world = World::new(HOSTS.len(), seed);
    world.stopping = ms(900);
    world.protections = protections;
    world.lead();
    let mut step = lasting(6, 2);
    step.budget = 2;
    world.submit(1, JobSpec::new("x", vec![step]));
    world.until("it runs", ms(3000), |world| world.runs(1).len() == 6);
    world
}

/// Waves that empty one host each, while leaders come and go, most of them soon after a stop.
fn play(seed: u64, protections: Protections) -> World {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = world(seed, protections);
    let mut hosts = HOSTS;
    hosts.shuffle(&mut rng);
    let mut waves = (1..).zip(hosts);
    for _ in 0..30 {
        if let Some((wave, host)) = waves.next() {
            world.wave(wave, &[host], 1, ms(6_000));
        }
        let before = stops(&world);
        for _ in 0..rng.random_range(5..400) {
            world.pass(ms(5));
            if stops(&world) > before && rng.random_bool(0.01) {
                world.depose();
                world.pass(ms(rng.random_range(0..300)));
                world.lead();
                break;
            }
        }
    }
    world.pass(ms(10_000));
    world
}

fn stops(world: &World) -> usize {
    world.sent.get("stop").copied().unwrap_or_default()
}

/// The host that runs a lasting task.
fn host_of(world: &World, task: u32) -> String {
    let runs = world.runs(1);
    let (agent, _) = runs
        .iter()
        .find(|(_, run)| run.task == task)
        .expect("it runs");
    world.agents[agent].host.to_string()
}

#[test]
fn a_budget_that_a_dead_leader_spent_is_not_spent_again() {
    let mut world = world(7, Protections::default());
    let hosts: Vec<_> = (0..3).map(|task| host_of(&world, task)).collect();
    world.wave(1, &[&hosts[0]], 1, ms(6_000));
    world.until("one is stopped", ms(3000), |world| stops(world) == 1);
    world.pass(ms(400));
    world.wave(2, &[&hosts[1]], 1, ms(6_000));
    world.until("and another", ms(3000), |world| stops(world) == 2);
    world.wave(3, &[&hosts[2]], 1, ms(6_000));
    // The order has arrived, and neither stop is through.
    world.pass(ms(15));
    world.depose();
    world.pass(ms(200));
    world.lead();
    world.pass(ms(2000));
    assert_eq!(world.overdrawn, [], "at most two are away");
}

#[test]
fn leaders_that_come_and_go_keep_budgets() {
    let mut count = 0;
    for seed in 0..SEEDS {
        let world = play(seed, Protections::default());
        assert_eq!(world.overdrawn, [], "seed {seed}");
        count += stops(&world);
    }
    assert!(count > 200, "{count} stops put it to the test");
}

#[test]
fn without_waiting_for_stops_they_do_not() {
    let broken = (0..SEEDS).filter(|seed| {
        let protections = Protections {
            inherited_stops: false,
            ..Protections::default()
        };
        !play(*seed, protections).overdrawn.is_empty()
    });
    let broken = broken.count();
    assert!(
        broken >= 10,
        "the check notices: {broken} of {SEEDS} worlds"
    );
}

#[test]
fn work_that_a_dead_leader_had_standing_still_goes_on() {
    let mut world = World::with_filling(10);
    world.harm = 1000.0;
    world.until("it stands still", ms(4000), |world| world.tail() < 50.0);
    world.depose();
    world.harm = 1.0;
    world.pass(ms(200));
    world.lead();
    world.until("it has its full speed again", ms(10_000), |world| {
        world.tail() > 10.9
    });
}
