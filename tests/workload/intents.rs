//! Successive leaders: about which hosts a new leader must not send orders yet, and for how long.

use egretpin::core::workload::{
    intents::{OrderIntent, OrderIntents},
    scheduler::Protections,
    spec::JobSpec,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::world::{OTHER_POOL, OTHER_QUEUE, POOL, QUEUE, World, long_running, ms, step};

/// The number of simulated worlds for each set of protections.
const SEEDS: u64 = 40;

fn intent(term: u64, at: u64, hosts: &[&str]) -> OrderIntent {
    OrderIntent {
        term,
        at,
        hosts: hosts.iter().map(|host| (*host).into()).collect(),
    }
}

#[test]
fn ages_add_up_over_terms_and_expire() {
    let mut intents = OrderIntents::default();
    assert!(!intents.is_recorded());
    intents.apply(&intent(3, 1_000, &["a", "b"]));
    intents.apply(&intent(3, 1_500, &["b"]));
    intents.apply(&intent(3, 2_000, &[]));
    // The time in a term counts up to the last record of that term.
    intents.apply(&intent(5, 300, &["c"]));
    let ages: Vec<_> = intents.ages().map(|(_, age)| age.as_millis()).collect();
    assert_eq!(ages, [1_300, 800, 0]);
    intents.apply(&intent(5, 40_000, &[]));
    assert_eq!(intents.ages().count(), 0);
    assert!(intents.is_recorded());
}

/// Simulates two queues with alternating peaks, while leaders are deposed and elected.
fn play(seed: u64, protections: Protections) -> World {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World::new(4, seed);
    for host in 10..16 {
        world.add_host(&format!("h{host}"), OTHER_POOL);
    }
    world.handover_delay = ms(3000);
    world.protections = protections;
    world.lead();
    world.pass(ms(3500));
    for turn in 0..6 {
        let queue = if turn % 2 == 0 { QUEUE } else { OTHER_QUEUE };
        for job in 0..8 {
            let spec = JobSpec::new("x", vec![step(4, 4, rng.random_range(500..2000))]);
            world.submit_to(queue, 1 + turn * 100 + job, spec);
        }
        if turn == 2 {
            world.start_wave(1, &["h0", "h1", "h10", "h11"], 2, ms(20_000));
        }
        world.pass(ms(rng.random_range(50..2500)));
        world.depose();
        world.pass(ms(rng.random_range(0..1500)));
        world.lead();
        world.pass(ms(rng.random_range(200..4000)));
    }
    world.pass(ms(10_000));
    world
}

#[test]
fn successive_leaders_keep_their_orders_about_a_host_apart() {
    let moves: usize = (0..SEEDS)
        .map(|seed| play(seed, Protections::default()).moves)
        .sum();
    assert!(moves > 200, "only {moves} moves; too few for the test");
}

#[test]
fn without_the_record_they_do() {
    let broken = (0..SEEDS).filter(|seed| {
        let protections = Protections {
            intents: false,
            ..Protections::default()
        };
        std::panic::catch_unwind(|| play(*seed, protections)).is_err()
    });
    assert!(
        broken.count() > 0,
        "without the record some orders come too close together"
    );
}

/// A host that the previous leader moved comes back while there is no leader, and is part of a wave. The new
/// leader starts to act on it before its agent is heard, and then has to wait with its order.
#[test]
fn a_host_with_a_delayed_order_gets_no_tasks_that_are_then_ended() {
    for seed in 0..16 {
        let mut world = World::new(2, seed);
        for host in 10..14 {
            world.add_host(&format!("h{host}"), OTHER_POOL);
        }
        world.handover_delay = ms(3000);
        world.lead();
        world.pass(ms(4000));
        for job in 1..=6 {
            world.submit(job, JobSpec::new("x", vec![step(4, 4, 1500)]));
        }
        world.until("hosts are moved", ms(1000), |world| world.moves >= 2);
        world.depose();
        world.pass(ms(1900));
        world.start_wave(1, &["h11", "h12", "h13"], 6, ms(8_000));
        let agents: Vec<_> = world.agents.keys().cloned().collect();
        agents
            .iter()
            .for_each(|agent| world.disconnect(agent, ms(50)));
        world.lead();
        for job in 100..112 {
            world.submit(job, JobSpec::new("x", vec![long_running(3, 1)]));
        }
        world.pass(ms(3800));
        assert_eq!(world.interrupted_runs, 0, "seed {seed}");
    }
}

#[test]
fn a_new_leader_moves_hosts_without_recent_orders_at_once() {
    let mut world = World::new(2, 4);
    for host in 10..16 {
        world.add_host(&format!("h{host}"), OTHER_POOL);
    }
    world.handover_delay = ms(3000);
    world.lead();
    world.pass(ms(4000));
    world.depose();
    world.pass(ms(500));
    world.lead();
    for job in 1..=10 {
        world.submit(job, JobSpec::new("x", vec![step(4, 4, 2000)]));
    }
    let pool = |world: &World| {
        let hosts = world.hosts.values();
        hosts.filter(|host| &*host.pool == POOL).count()
    };
    world.until("hosts have moved", ms(500), |world| pool(world) >= 4);
}
