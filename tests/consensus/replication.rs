//! Changes reach all nodes in one order, and only once they are durable on a majority.

use std::time::Duration;

use egretpin::core::consensus::Output;

use crate::world::{World, config};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn changes_reach_voters_and_learners_in_one_order() {
    let voters = [1, 2, 3];
    let configs = (1..=6).map(|id| {
        let places = (1..=6).fold(config(id, &voters), |c, n| {
            c.location(n, if n <= 3 { "north" } else { "south" })
        });
        places.disk(id <= 3)
    });
    let mut world = World::new(configs.collect());
    let leader = world.elect();
    // Relays that had no contact with a leader before the first election are tried again after a
    // while.
    world.run(SECOND * 5);
    for proposal in 0..100 {
        world.propose(leader, proposal);
    }
    let appended = |a: &Output| matches!(a, Output::Appended { .. });
    assert_eq!(
        world.answers.iter().filter(|(_, a)| appended(a)).count(),
        100
    );
    world.run(SECOND);
    for id in 1..=6 {
        assert_eq!(
            world.commands(id),
            (0..100).collect::<Vec<_>>(),
            "node {id}"
        );
    }
    assert_eq!(world.node(5).relay(), Some(4));
    assert_eq!(world.node(6).relay(), Some(4));
    assert_eq!(world.node(4).subscribers(), 2);
}

#[test]
fn nothing_commits_before_it_is_synced_at_a_quorum() {
    let mut world = World::voters(3);
    let leader = world.elect();
    world.sync_delay = SECOND;
    world.propose(leader, 7);
    world.run(SECOND / 2);
    assert!(world.commands(leader).is_empty());
    world.run(SECOND);
    assert_eq!(world.commands(leader), [7]);
}

#[test]
fn an_uncommitted_entry_of_a_deposed_leader_is_replaced() {
    let mut world = World::voters(3);
    let old = world.elect();
    world.isolate(old);
    world.propose(old, 1);
    world.run(SECOND * 3);
    let new = world.elect();
    world.propose(new, 2);
    world.heal();
    world.run(SECOND * 2);
    for id in 1..=3 {
        assert_eq!(world.commands(id), [2], "node {id}");
    }
}
