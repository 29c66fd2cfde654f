//! What a leader gets done as its fleet and its backlog grow.
//!
//! What was seen: with 350 agents short jobs were late or failed in every rush, by days between one
//! job in ten and seven in ten, and the same days were served once processor time cost nothing. How
//! it came about: in a rush the leader's one thread was busy for 0.95 of each second, and a third of
//! that went into walks over all agents and over all that waited, some twenty a turn. Cause: an event
//! cost as much as the fleet and the backlog are large. So a leader that fell behind got slower, and
//! what it got done fell when more was asked of it. Proof: the counts of looks, which no clock or
//! load can change.

use egretpin::core::workload::spec::JobSpec;

use crate::world::{World, ms, step};

/// Hosts of the two fleets that are compared.
const FLEETS: (usize, usize) = (30, 300);
/// Tasks of each job.
const TASKS: u32 = 8;

/// Looks for each turn of a leader whose hosts all run something that takes long.
fn looks_of_calm(hosts: usize) -> usize {
    let mut world = World::new(hosts, 1);
    world.pass(ms(2000));
    for job in 1..=u64::try_from(hosts).unwrap() {
        world.submit(job, JobSpec::new("x", vec![step(1, 8, 60_000)]));
    }
    world.until("nearly all run", ms(4000), |world| {
        let busy = world.agents.values().filter(|agent| agent.is_busy());
        busy.count() * 10 >= hosts * 9
    });
    world.pass(ms(500));
    (world.looks, world.turns) = (0, 0);
    world.pass(ms(2000));
    world.looks / world.turns
}

/// Looks for each turn of a leader that has so many jobs waiting that fit nowhere.
fn looks_of_backlog(jobs: u64) -> usize {
    let mut world = World::new(FLEETS.0, 2);
    world.pass(ms(2000));
    for job in 1..=jobs {
        world.submit(job, JobSpec::new("x", vec![step(TASKS, 8, 60_000)]));
    }
    world.pass(ms(2000));
    (world.looks, world.turns) = (0, 0);
    world.pass(ms(1000));
    world.looks / world.turns
}

#[test]
fn a_turn_costs_what_it_touches_and_not_the_fleet() {
    let (few, many) = (looks_of_calm(FLEETS.0), looks_of_calm(FLEETS.1));
    let fleet = FLEETS.1;
    // Of its agents each is looked at for what is due there, and all of them for the pools' needs
    // ten times a second.
    assert!(
        many < fleet,
        "{many} looks a turn with {fleet} hosts, {few} with {}",
        FLEETS.0
    );
}

#[test]
fn a_turn_costs_what_can_be_placed_and_not_the_backlog() {
    let (short, long) = (looks_of_backlog(50), looks_of_backlog(1000));
    assert!(
        long < 2 * short,
        "{long} looks a turn with 1,000 jobs waiting, {short} with 50"
    );
}
