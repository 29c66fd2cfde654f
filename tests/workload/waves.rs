//! How a wave of maintenance spends its time where long-running tasks bound it.
//!
//! The budget of a step lets few of its tasks be away at once, so the tasks of a step that run on
//! hosts of a wave are stopped one after the other. On a fleet of hundreds of hosts the waves were
//! late by a few hosts each time: hosts with long-running tasks were the last to be emptied, all at
//! once, and then waited for the budget of the same step.

use std::time::Duration;

use egretpin::core::workload::spec::JobSpec;

use crate::world::{World, long_running, ms, step};

const HOSTS: usize = 40;
/// The number of long-running tasks of the step that bounds the wave, two on a host. The budget lets
/// one of them be away.
const TASKS: u32 = 12;
/// The stop of a task and its start elsewhere take up to 2.1 s, so that these tasks need 25 s.
const WAVE_TIME: Duration = ms(32_000);

/// A world with the step that bounds the wave, and another one.
fn busy_world(seed: u64) -> World {
    let mut world = World::new(HOSTS, seed);
    world.stop_time = ms(900);
    let mut bounding = long_running(TASKS, 3);
    bounding.per_host = Some(2);
    world.submit(1, JobSpec::new("x", vec![bounding]));
    let count = usize::try_from(TASKS).unwrap();
    world.until("its tasks run", ms(3000), |world| {
        world.runs(1).len() == count
    });
    // A step whose budget bounds nothing, on most of the other hosts.
    let mut other = long_running(28, 5);
    other.disruption_budget = 8;
    world.submit(2, JobSpec::new("x", vec![other]));
    world.pass(ms(2000));
    world
}

fn start_wave(world: &mut World) {
    let hosts: Vec<_> = world.hosts.keys().map(ToString::to_string).collect();
    let hosts: Vec<_> = hosts.iter().map(String::as_str).collect();
    world.start_wave(1, &hosts, 10, WAVE_TIME);
}

fn remaining(world: &World) -> usize {
    let wave = world.ledger.wave_record(1);
    wave.map_or(HOSTS, |wave| wave.remaining.len())
}

/// Guards against waves that are late: the tasks of one step, which can only be stopped one after
/// the other, were left to the end.
#[test]
fn a_wave_whose_longest_chain_of_stops_fits_its_time_is_complete_in_time() {
    for seed in 0..4 {
        let mut world = busy_world(seed);
        start_wave(&mut world);
        let end = world.now + WAVE_TIME;
        let mut job = 1000;
        while world.now < end {
            // Short work that goes on coming, a third of what the hosts can do.
            for _ in 0..4 {
                world.submit(job, JobSpec::new("x", vec![step(2, 2, 1000)]));
                job += 1;
            }
            world.pass(ms(200));
        }
        assert_eq!(remaining(&world), 0, "hosts are left, seed {seed}");
    }
}
