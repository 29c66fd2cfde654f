//! One leader after the other: which hosts a new one must leave alone, and for how long.

use egretpin::core::workload::{
    scheduler::Protections,
    spec::JobSpec,
    touched::{Touch, Touched},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::world::{OTHER, POOL, QUEUE, SECOND, World, lasting, ms, step};

/// Worlds that are played with each set of protections.
const SEEDS: u64 = 40;

fn touch(term: u64, at: u64, hosts: &[&str]) -> Touch {
    Touch {
        term,
        at,
        hosts: hosts.iter().map(|host| (*host).into()).collect(),
    }
}

#[test]
fn ages_add_up_over_terms_and_are_forgotten() {
    let mut touched = Touched::default();
    assert!(!touched.is_kept());
    touched.apply(&touch(3, 1_000, &["a", "b"]));
    touched.apply(&touch(3, 1_500, &["b"]));
    touched.apply(&touch(3, 2_000, &[]));
    // What a term says after a later one began, it had said before.
    touched.apply(&touch(5, 300, &["c"]));
    let ages: Vec<_> = touched.ages().map(|(_, age)| age.as_millis()).collect();
    assert_eq!(ages, [1_300, 800, 0]);
    touched.apply(&touch(5, 40_000, &[]));
    assert_eq!(touched.ages().count(), 0);
    assert!(touched.is_kept());
}

/// Two queues that have their rush by turns, while leaders come and go.
fn play(seed: u64, protections: Protections) -> World {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World::new(4, seed);
    for host in 10..16 {
        world.host(&format!("h{host}"), OTHER);
    }
    world.holder = ms(3000);
    world.protections = protections;
    world.lead();
    world.pass(ms(3500));
    for turn in 0..6 {
        let queue = if turn % 2 == 0 { QUEUE } else { SECOND };
        for job in 0..8 {
            let spec = JobSpec::new("x", vec![step(4, 4, rng.random_range(500..2000))]);
            world.submit_to(queue, 1 + turn * 100 + job, spec);
        }
        if turn == 2 {
            world.wave(1, &["h0", "h1", "h10", "h11"], 2, ms(20_000));
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
fn leaders_do_not_take_turns_on_a_host() {
    let moves: usize = (0..SEEDS)
        .map(|seed| play(seed, Protections::default()).moves)
        .sum();
    assert!(moves > 200, "{moves} moves put it to the test");
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
    assert!(broken.count() > 0, "some leaders take turns");
}

/// A host that its predecessor moved comes back while nobody leads, is named by a wave, and is heard
/// of only after the new leader has begun with it, which then has to wait.
#[test]
fn a_host_that_must_be_waited_for_gets_no_work_that_is_then_ended() {
    for seed in 0..16 {
        let mut world = World::new(2, seed);
        for host in 10..14 {
            world.host(&format!("h{host}"), OTHER);
        }
        world.holder = ms(3000);
        world.lead();
        world.pass(ms(4000));
        for job in 1..=6 {
            world.submit(job, JobSpec::new("x", vec![step(4, 4, 1500)]));
        }
        world.until("hosts are moved", ms(1000), |world| world.moves >= 2);
        world.depose();
        world.pass(ms(1900));
        world.wave(1, &["h11", "h12", "h13"], 6, ms(8_000));
        let agents: Vec<_> = world.agents.keys().cloned().collect();
        agents.iter().for_each(|agent| world.cut(agent, ms(50)));
        world.lead();
        for job in 100..112 {
            world.submit(job, JobSpec::new("x", vec![lasting(3, 1)]));
        }
        world.pass(ms(3800));
        assert_eq!(world.ended, 0, "seed {seed}");
    }
}

#[test]
fn a_new_leader_moves_what_nobody_touched_at_once() {
    let mut world = World::new(2, 4);
    for host in 10..16 {
        world.host(&format!("h{host}"), OTHER);
    }
    world.holder = ms(3000);
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
