//! One leader after the other: what the one has taken from a budget, the next must not take again.
//!
//! What was seen: a leader told two lasting tasks of a step to stop, of which two may be away, and
//! lost power within a second. Its successor heard that the one had ended, took the other, which its
//! agent listed at work until the stop was through, for running, and stopped a third. How it came
//! about: a stop takes up to a second and is in nobody's log, and a list of what runs doesn't say what
//! is being stopped. Cause: a leader spent a budget by what it had heard of the tasks, and not by what
//! its predecessor may have ordered. Proof: the first test, which puts a new leader into that second.

use egretpin::core::workload::{scheduler::Protections, spec::JobSpec};

use crate::world::{World, lasting, ms};

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
