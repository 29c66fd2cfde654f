//! Agents that announce that they are leaving while earlier starts are still on their way to them.
//!
//! These tests guard against tasks that start on an agent long after it was notified that its
//! leaving is known. The simulated world checks that at each start, in all other tests, too.

use egretpin::core::{
    types::MinionId,
    workload::{command::AgentRecord, scheduler::Protections, spec::JobSpec},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    faults::{ALL_FAULTS, play_with},
    world::{Faults, POOL, World, long_running, ms, step},
};

/// The number of seeds of each scenario.
const SEEDS: u64 = 24;

/// The first agent of a world.
fn first_agent(world: &World) -> MinionId {
    world.agents.keys().next().expect("an agent").clone()
}

fn one_task() -> JobSpec {
    JobSpec::new("x", vec![step(1, 1, 500)])
}

/// Guards against a start that waited until its agent answered again and then began there, though
/// the agent was leaving.
#[test]
fn a_start_that_waited_for_an_answer_begins_on_no_leaving_agent() {
    let mut world = World::new(1, 1);
    world.pass(ms(200));
    let agent = first_agent(&world);
    world.block_orders(&agent, ms(3500));
    world.submit(1, one_task());
    world.pass(ms(100));
    world.drain(&agent);
    world.pass(ms(10_000));
    assert!(world.starts.is_empty(), "no task starts there");
    world.add_host("h9", POOL);
    world.until("it runs elsewhere", ms(15_000), |world| {
        !world.starts.is_empty()
    });
}

/// Has a relay delay a start until after its agent announces that it is leaving. Before the
/// announcement `before` is called.
fn delay_start(seed: u64, before: impl FnOnce(&mut World)) {
    let mut world = World::new(1, seed);
    world.pass(ms(200));
    let agent = first_agent(&world);
    world.stalled_until = world.now + ms(5000);
    world.submit(1, one_task());
    world.pass(ms(100));
    before(&mut world);
    world.drain(&agent);
    world.pass(ms(10_000));
    assert!(world.starts.is_empty(), "no task starts there");
}

/// Guards against a start that a stalled relay delivered late to a leaving agent.
#[test]
fn a_start_that_a_relay_delayed_begins_on_no_leaving_agent() {
    delay_start(2, |_| {});
}

/// Guards against a start of an earlier leader that a relay delivered late to a leaving agent.
#[test]
fn a_start_of_an_earlier_leader_begins_on_no_leaving_agent() {
    delay_start(3, |world| {
        world.depose();
        world.lead();
    });
}

/// Guards against a leaving that was acknowledged but unknown to later leaders. An older heartbeat
/// that arrived after a newer one was acknowledged at once, though neither was committed.
#[test]
fn an_older_heartbeat_acknowledges_nothing_that_is_not_committed() {
    let mut world = World::new(1, 4);
    world.pass(ms(200));
    let agent = first_agent(&world);
    let before = world.agents[&agent].record.clone();
    world.drain(&agent);
    let older = AgentRecord {
        leaving: true,
        ..before
    };
    world.late_heartbeat(&agent, &older, ms(5));
    world.pass(ms(100));
}

/// Agents leave one after the other and new ones join, while relays stall, orders to agents are
/// blocked, and leaders change.
fn play(seed: u64, protections: Protections, faults: Faults) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x1ea7e);
    let mut world = World::new(6, seed);
    world.protections = protections;
    world.lead();
    world.submit(1000, JobSpec::new("x", vec![long_running(3, 1)]));
    world.pass(ms(1000));
    world.faults = faults;
    let mut hosts = 6;
    for job in 1..=40 {
        let (tasks, millis) = (rng.random_range(1..6), rng.random_range(100..2000));
        world.submit(job, JobSpec::new("x", vec![step(tasks, 2, millis)]));
        let agents: Vec<_> = world.agents.keys().cloned().collect();
        for agent in &agents {
            if rng.random_bool(0.2) {
                world.block_orders(agent, ms(rng.random_range(200..6000)));
            }
        }
        if rng.random_bool(0.4) {
            let span = ms(rng.random_range(200..9000));
            world.stalled_until = world.stalled_until.max(world.now + span);
        }
        world.pass(ms(rng.random_range(0..400)));
        let leaving = agents.iter().filter(|agent| {
            let agent = world.agents.get(*agent);
            agent.is_some_and(|agent| !agent.record.leaving)
        });
        let leaving: Vec<_> = leaving.filter(|_| rng.random_bool(0.2)).cloned().collect();
        for agent in leaving {
            world.drain(&agent);
            world.add_host(&format!("h{hosts}"), POOL);
            hosts += 1;
        }
        world.pass(ms(rng.random_range(0..1000)));
        if rng.random_bool(0.2) {
            world.depose();
            world.pass(ms(rng.random_range(0..1500)));
            world.lead();
        }
    }
    world.pass(ms(15_000));
}

#[test]
fn no_delayed_start_begins_on_a_leaving_agent() {
    (0..SEEDS).for_each(|seed| play(seed, Protections::default(), Faults::default()));
}

#[test]
fn with_all_faults_nothing_begins_on_a_leaving_agent() {
    (0..SEEDS).for_each(|seed| play(seed, Protections::default(), ALL_FAULTS));
    (0..SEEDS).for_each(|seed| {
        play_with(World::new(6, seed), seed, ALL_FAULTS, true, |world, job| {
            if job % 5 == 0 {
                let agent = first_agent(world);
                world.drain(&agent);
                world.add_host(&format!("h{}", 200 + job), POOL);
            }
        });
    });
}

#[test]
fn without_deadlines_a_start_begins_on_a_leaving_agent() {
    let without = Protections {
        deadlines: false,
        ..Protections::default()
    };
    let fails = |seed| std::panic::catch_unwind(|| play(seed, without, Faults::default())).is_err();
    assert!((0..SEEDS).any(fails));
}
