//! Learners receive committed entries through one relay per data centre.

use std::time::Duration;

use egretpin::core::{
    consensus::{Config, Message},
    types::NodeId,
};

use crate::world::{World, config};

const SECOND: Duration = Duration::from_secs(1);
const VOTERS: [NodeId; 3] = [1, 2, 3];

/// Voters 1 to 3 in three data centres, learners 4 to 7 in a fourth.
fn node_config(id: NodeId) -> Config {
    let places = ["lagos", "ikeja", "lekki"];
    (1..=7).fold(config(id, &VOTERS).disk(id <= 3), |config, node| {
        config.location(
            node,
            places.get(node as usize - 1).copied().unwrap_or("yaba"),
        )
    })
}

fn world() -> World {
    let mut world = World::new((1..=7).map(node_config).collect());
    world.elect();
    // Relays that had no contact with a leader before the first election are tried again after a
    // while.
    world.run(SECOND * 5);
    world
}

/// How many feeds with entries crossed from the voters' data centres to the learners'.
fn crossings(world: &World) -> usize {
    let crosses = |from: &NodeId, m: &Message| {
        matches!(m, Message::Feed { entries, .. } if !entries.is_empty()) && *from <= 3
    };
    world
        .sent
        .iter()
        .filter(|(from, _, m)| crosses(from, m))
        .count()
}

#[test]
fn one_relay_per_data_centre_and_another_when_it_fails() {
    let mut world = world();
    assert!((5..=7).all(|id| world.node(id).relay() == Some(4)));
    world.sent.clear();
    world.commit(1);
    world.run(SECOND / 10);
    assert!((4..=7).all(|id| world.commands(id) == [1]));
    assert_eq!(crossings(&world), 1);
    world.crash(4);
    world.propose(world.leader().unwrap(), 2);
    let took = world.until(SECOND * 3, |w| (5..=7).all(|id| w.commands(id) == [1, 2]));
    assert!(took <= SECOND, "{took:?}");
    world.run(SECOND);
    assert!((6..=7).all(|id| world.node(id).relay() == Some(5)));
    world.start(4);
    world.run(SECOND * 6);
    assert!((5..=7).all(|id| world.node(id).relay() == Some(4)));
}

#[test]
fn a_relay_cut_off_from_voters_is_skipped_and_fed_by_the_next() {
    let mut world = world();
    world.cut(&VOTERS, &[4]);
    world.propose(world.leader().unwrap(), 1);
    world.until(SECOND * 3, |w| (4..=7).all(|id| w.commands(id) == [1]));
    for _ in 0..1000 {
        world.tick();
        let age = |id| world.now - world.node(id).last_contact().unwrap();
        assert!((4..=7).all(|id| age(id) < SECOND), "at {:?}", world.now);
    }
    assert!(world.node(5).relay().is_some_and(|relay| relay <= 3));
}

#[test]
fn a_learner_that_is_cut_off_names_no_leader() {
    let mut world = world();
    assert!(world.node(7).leader().is_some());
    world.isolate(7);
    world.until(SECOND * 2, |w| w.node(7).leader().is_none());
    world.heal();
    world.until(SECOND * 10, |w| w.node(7).leader() == w.leader());
}

#[test]
fn a_data_centre_that_is_cut_off_names_no_leader_though_its_voter_was_skipped() {
    let places = ["lagos", "lagos", "ikeja", "ikeja", "lekki", "lekki"];
    let voters: [NodeId; 3] = [1, 3, 5];
    let with_locations = |id: NodeId| {
        let config = config(id, &voters).disk(voters.contains(&id));
        let nodes = (1..=6).zip(places);
        nodes.fold(config, |config, (node, centre)| {
            config.location(node, centre)
        })
    };
    let mut world = World::new((1..=6).map(with_locations).collect());
    world.elect();
    world.run(SECOND * 5);
    // The voter is too busy to answer the learner beside it, which switches to another data centre.
    world.cut(&[1], &[2]);
    world.run(SECOND * 2);
    assert!(world.node(2).relay().is_some_and(|relay| relay > 2));
    world.heal();
    world.cut(&[1, 2], &[3, 4, 5, 6]);
    world.cut(&[3, 4, 5, 6], &[1, 2]);
    let cut = world.now;
    world.until(SECOND * 20, |w| w.node(1).leader().is_none());
    let voter = world.now - cut;
    world.until(SECOND * 20, |w| w.node(2).leader().is_none());
    println!(
        "the voter after {voter:?}, the learner after {:?}",
        world.now - cut
    );
    assert!(world.now - cut <= SECOND);
}

#[test]
fn a_restarted_learner_catches_up_on_a_thousand_changes_in_a_few_round_trips() {
    let mut world = world();
    world.crash(6);
    let leader = world.leader().unwrap();
    (0..1000).for_each(|p| world.propose(leader, p));
    world.run(SECOND);
    world.start(6);
    world.sent.clear();
    let took = world.until(SECOND * 2, |w| w.commands(6).len() == 1000);
    let messages = world.sent.iter().filter(|(_, to, _)| *to == 6).count();
    println!("caught up in {took:?} with {messages} messages");
    assert!(
        took <= SECOND / 10 && messages < 12,
        "{took:?}, {messages} messages"
    );
}

#[test]
fn a_learner_far_behind_gets_a_snapshot() {
    let mut world = world();
    world.crash(6);
    let leader = world.leader().unwrap();
    (0..1000).for_each(|p| world.propose(leader, p));
    world.run(SECOND);
    (1..=5).for_each(|id| world.compact(id));
    world.start(6);
    world.until(SECOND * 2, |w| w.commands(6).len() == 1000);
    assert_eq!(world.hosts[&6].restored.len(), 1);
}

#[test]
fn an_idle_cluster_stays_within_its_traffic() {
    let mut world = world();
    world.sent.clear();
    world.run(SECOND * 10);
    let size = |message: &Message| {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).unwrap();
        bytes.len()
    };
    let leader = world.leader().unwrap();
    let rate = |id: NodeId| {
        let own = world
            .sent
            .iter()
            .filter(|(from, to, _)| *from == id || *to == id);
        own.map(|(_, _, message)| size(message)).sum::<usize>() / 10
    };
    let learner = (5..=7).map(rate).max().unwrap();
    let (leader, relay) = (rate(leader), rate(4));
    println!("idle bytes a second, in and out: leader {leader}, relay {relay}, learner {learner}");
    assert!(leader.max(relay).max(learner) < 5_000);
}
