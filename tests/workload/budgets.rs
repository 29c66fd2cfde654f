//! Successive leaders: a new leader must not spend again what its predecessor has spent of a disruption budget.
//!
//! Guards against a leader that counts only what agents report, and not what its predecessor may have ordered.
//! A leader ordered two long-running tasks of a step with a budget of two to stop, and lost power within a
//! second. Its successor received the end of one of them. It took the other for running, since its agent listed
//! it until the stop was complete, and stopped a third. A stop takes up to a second and isn't in the log, and an
//! agent's list of running tasks doesn't show which of them are being stopped. The first test lets a new leader
//! take over within that second.

use egretpin::core::workload::{scheduler::Protections, spec::JobSpec};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

use crate::world::{World, long_running, ms};

/// The number of simulated worlds for each set of protections.
const SEEDS: u64 = 40;
const HOSTS: [&str; 10] = ["h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"];

/// Ten hosts, and a step of six long-running tasks with a disruption budget of two.
fn world(seed: u64, protections: Protections) -> World {
    let mut world = World::new(HOSTS.len(), seed);
    world.stop_time = ms(900);
    world.protections = protections;
    world.lead();
    let mut step = long_running(6, 2);
    step.disruption_budget = 2;
    world.submit(1, JobSpec::new("x", vec![step]));
    world.until("it runs", ms(3000), |world| world.runs(1).len() == 6);
    world
}

/// Simulates waves that empty one host each, while leaders are deposed, most of them soon after a stop.
fn play(seed: u64, protections: Protections) -> World {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = world(seed, protections);
    let mut hosts = HOSTS;
    hosts.shuffle(&mut rng);
    let mut waves = (1..).zip(hosts);
    for _ in 0..30 {
        if let Some((wave, host)) = waves.next() {
            world.start_wave(wave, &[host], 1, ms(6_000));
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

/// The host that runs a long-running task.
fn host_of(world: &World, task: u32) -> String {
    let runs = world.runs(1);
    let (agent, _) = runs
        .iter()
        .find(|(_, run)| run.task == task)
        .expect("it runs");
    world.agents[agent].host.to_string()
}

#[test]
fn a_budget_spent_by_a_failed_leader_is_not_spent_again() {
    let mut world = world(7, Protections::default());
    let hosts: Vec<_> = (0..3).map(|task| host_of(&world, task)).collect();
    world.start_wave(1, &[&hosts[0]], 1, ms(6_000));
    world.until("one is stopped", ms(3000), |world| stops(world) == 1);
    world.pass(ms(400));
    world.start_wave(2, &[&hosts[1]], 1, ms(6_000));
    world.until("and another", ms(3000), |world| stops(world) == 2);
    world.start_wave(3, &[&hosts[2]], 1, ms(6_000));
    // The orders have arrived, and neither stop is complete.
    world.pass(ms(15));
    world.depose();
    world.pass(ms(200));
    world.lead();
    world.pass(ms(2000));
    assert_eq!(world.over_budget, [], "more than two tasks were down");
}

#[test]
fn budgets_hold_across_changes_of_the_leader() {
    let mut count = 0;
    for seed in 0..SEEDS {
        let world = play(seed, Protections::default());
        assert_eq!(world.over_budget, [], "seed {seed}");
        count += stops(&world);
    }
    assert!(count > 200, "only {count} stops; too few for the test");
}

#[test]
fn without_waiting_for_stops_budgets_are_exceeded() {
    let broken = (0..SEEDS).filter(|seed| {
        let protections = Protections {
            inherited_stops: false,
            ..Protections::default()
        };
        !play(*seed, protections).over_budget.is_empty()
    });
    let broken = broken.count();
    assert!(
        broken >= 10,
        "the check detects only {broken} of {SEEDS} worlds"
    );
}

#[test]
fn work_throttled_by_a_failed_leader_resumes() {
    let mut world = World::with_best_effort(10);
    world.interference = 1000.0;
    world.until("it is throttled", ms(4000), |world| {
        world.tail_latency() < 50.0
    });
    world.depose();
    world.interference = 1.0;
    world.pass(ms(200));
    world.lead();
    world.until("it has its full speed again", ms(10_000), |world| {
        world.tail_latency() > 10.9
    });
}
