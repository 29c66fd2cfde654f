//! A node that lags behind the log's start receives the state machine's snapshot.

use std::time::Duration;

use egretpin::core::{
    consensus::{Input, Message, Restored},
    types::NodeId,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::world::{World, config};

const SECOND: Duration = Duration::from_secs(1);
const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

fn chunks(world: &World) -> usize {
    world
        .sent
        .iter()
        .filter(|(_, _, m)| matches!(m, Message::Chunk { .. }))
        .count()
}

#[test]
fn a_lagging_voter_gets_a_snapshot_in_bounded_parts_also_when_parts_are_lost() {
    let voters = [1, 2, 3];
    let mut world = World::new(voters.map(|id| config(id, &voters).chunk(500)).to_vec());
    let leader = world.elect();
    let lagging = leader % 3 + 1;
    world.isolate(lagging);
    for proposal in 0..200 {
        world.propose(leader, proposal);
    }
    world.run(SECOND);
    world.compact(leader);
    world.commit(200);
    world.heal();
    world.loss = 0.2;
    world.until(SECOND * 20, |w| w.commands(lagging).len() == 201);
    assert_eq!(world.hosts[&lagging].restored.len(), 1);
    assert!(chunks(&world) > 10);
    let oversized = |m: &Message| matches!(m, Message::Chunk { part, .. } if part.len() > 500);
    assert!(!world.sent.iter().any(|(_, _, m)| oversized(m)));
}

#[test]
fn a_compacted_node_restarts_from_its_disk() {
    let mut world = World::voters(3);
    let leader = world.elect();
    (0..10).for_each(|p| world.commit(p));
    world.run(SECOND);
    [1, 2, 3].into_iter().for_each(|id| world.compact(id));
    world.commit(10);
    world.run(SECOND);
    [1, 2, 3].into_iter().for_each(|id| world.crash(id));
    [1, 2, 3].into_iter().for_each(|id| world.start(id));
    world.commit(11);
    world.run(SECOND);
    for id in 1..=3 {
        assert_eq!(
            world.commands(id),
            (0..12).collect::<Vec<_>>(),
            "leader was {leader}"
        );
        assert_eq!(chunks(&world), 0);
        let restored = Restored::replay(world.hosts[&id].disk.clone());
        assert_eq!(Restored::replay(restored.records()), restored);
    }
}

/// How many bytes of snapshots were delivered to a node.
fn delivered(world: &World, to: NodeId) -> usize {
    let part = |(_, receiver, message): &(NodeId, NodeId, Message)| match message {
        Message::Chunk { part, .. } if *receiver == to => part.len(),
        _ => 0,
    };
    world.sent.iter().map(part).sum()
}

/// A leader with a snapshot of `size` bytes and a few more, and a voter that needs it and is still
/// cut off.
fn lagging_voter(size: usize) -> (World, NodeId, NodeId) {
    let mut world = World::voters(3);
    world.ballast = size;
    let leader = world.elect();
    let lagging = leader % 3 + 1;
    world.isolate(lagging);
    (0..20).for_each(|p| world.commit(p));
    world.run(SECOND);
    world.compact(leader);
    world.commit(20);
    (world, leader, lagging)
}

/// Three voters with a snapshot of `size` bytes and a few more, and a learner that needs it, not yet
/// started.
fn late_learner(size: usize) -> (World, NodeId) {
    let voters = [1, 2, 3];
    let places = ["lagos", "ikeja", "lekki", "lagos"];
    let with_places = |id: NodeId| {
        let config = config(id, &voters).disk(id <= 3);
        let nodes = (1..=4).zip(places);
        nodes.fold(config, |config, (node, place)| config.location(node, place))
    };
    let mut world = World::new((1..=4).map(with_places).collect());
    world.ballast = size;
    world.crash(4);
    world.elect();
    (0..21).for_each(|p| world.commit(p));
    world.run(SECOND);
    (1..=3).for_each(|id| world.compact(id));
    (world, 4)
}

/// Runs until a node has what was committed, and returns how long that took.
fn until_level(world: &mut World, node: NodeId, limit: Duration) -> Duration {
    let took = world.until(limit, |w| w.commands(node).len() == 21);
    println!("{took:?}, {} bytes", delivered(world, node));
    took
}

/// Guards against answers that were ignored because a heartbeat had sent the chunk again meanwhile.
#[test]
fn a_transfer_progresses_on_a_round_trip_longer_than_a_heartbeat() {
    let (mut world, _, lagging) = lagging_voter(MIB);
    world.delay = Duration::from_millis(60);
    world.heal();
    until_level(&mut world, lagging, SECOND * 4);
}

/// Guards against answers that were ignored because a subscription had been renewed meanwhile.
#[test]
fn a_feeds_transfer_progresses_on_a_round_trip_longer_than_a_renewal() {
    let (mut world, learner) = late_learner(MIB);
    world.delay = Duration::from_millis(90);
    world.start(learner);
    until_level(&mut world, learner, SECOND * 5);
}

/// Guards against the chunk in flight that each heartbeat sent again.
#[test]
fn heartbeats_repeat_no_bytes_of_a_snapshot_and_what_was_lost_is_sent_again() {
    let (mut world, leader, lagging) = lagging_voter(MIB);
    world.heal();
    world.cut(&[lagging], &[leader]);
    world.sent.clear();
    world.run(SECOND * 2);
    let bytes = delivered(&world, lagging);
    assert!(bytes <= 64 * KIB, "{bytes} bytes without an answer");
    world.heal();
    until_level(&mut world, lagging, SECOND * 2);
}

/// Guards against copies of a chunk that cost more than a leader's link carries.
#[test]
fn a_transfer_needs_no_more_of_a_slow_link_than_the_snapshot() {
    let (mut world, leader, lagging) = lagging_voter(MIB);
    world.rates.insert((leader, lagging), 256 << 10);
    world.heal();
    until_level(&mut world, lagging, SECOND * 6);
    assert!(delivered(&world, lagging) < MIB * 5 / 4);
}

/// Guards against copies of a chunk that cost more than a source's link carries.
#[test]
fn a_feeds_transfer_needs_no_more_of_a_slow_link_than_the_snapshot() {
    let (mut world, learner) = late_learner(MIB);
    (1..=3).for_each(|voter| {
        world.rates.insert((voter, learner), 256 << 10);
    });
    world.start(learner);
    until_level(&mut world, learner, SECOND * 6);
    assert!(delivered(&world, learner) < MIB * 5 / 4);
}

/// Guards against heartbeats that wait behind a snapshot until its receiver counts as silent.
#[test]
fn answers_come_within_the_longest_election_timeout_on_a_slow_link() {
    let (mut world, leader, lagging) = lagging_voter(MIB * 4);
    world.rates.insert((leader, lagging), 512 << 10);
    world.heal();
    let mut latest = Duration::ZERO;
    while world.commands(lagging).len() < 21 {
        world.sent.clear();
        world.tick();
        let ages = world.sent.iter().filter_map(|(_, to, m)| match m {
            Message::ChunkReply { sent, .. } if *to == leader => Some(world.now - *sent),
            _ => None,
        });
        latest = ages.chain([latest]).max().unwrap();
    }
    println!("at {:?}, latest answer after {latest:?}", world.now);
    assert!(latest < SECOND, "{latest:?}");
}

/// Guards against a voter that counts as silent while a snapshot is sent to it, because it never
/// confirms entries that were sent before.
#[test]
fn a_voter_that_is_sent_a_snapshot_does_not_count_as_silent() {
    let (mut world, leader, lagging) = lagging_voter(MIB * 4);
    world.rates.insert((leader, lagging), 512 << 10);
    world.heal();
    world.run(SECOND);
    while world.commands(lagging).len() < 21 {
        world.tick();
        let silent = world.node(leader).silent_voters(SECOND);
        assert!(silent.is_empty(), "{silent:?} at {:?}", world.now);
    }
}

/// Guards against a chunk sent once for each answer to copies of the chunk before.
#[test]
fn duplicate_answers_start_no_second_chain_of_chunks() {
    let (mut world, _, lagging) = lagging_voter(MIB);
    world.duplication = 1.0;
    world.heal();
    until_level(&mut world, lagging, SECOND * 3);
    // Each chunk arrives twice.
    assert!(delivered(&world, lagging) < MIB * 9 / 4);
}

/// Guards against an answer from before a restart of the receiver that moves the sender beyond what
/// is held, and against late answers that move it back again and again.
#[test]
fn a_transfer_survives_restarts_of_its_receiver_and_late_answers() {
    for seed in 0..10 {
        let (mut world, _, lagging) = lagging_voter(MIB * 4);
        world.rng = Pcg64::seed_from_u64(seed);
        (world.loss, world.duplication) = (0.05, 0.2);
        world.jitter = Duration::from_millis(20);
        world.heal();
        for _ in 0..4 {
            world.run(SECOND / 10);
            world.crash(lagging);
            world.start(lagging);
        }
        until_level(&mut world, lagging, SECOND * 20);
    }
}

/// How long a snapshot of 10 MB takes from a leader of such turns to a node that joins.
fn join_time(turn: Duration) -> Duration {
    let (mut world, joining) = late_learner(10_000_000);
    world.crash(joining);
    let leader = world.elect();
    let joins = config(5, &[1, 2, 3]);
    let joins = (1..=5).fold(joins, |config, node| config.location(node, "lagos"));
    let others: Vec<_> = (1..=4).filter(|&id| id != leader).collect();
    world.add(joins);
    world.cut(&others, &[5]);
    world.cut(&[5], &others);
    world.turns.insert(leader, turn);
    world.input(
        leader,
        Input::Reconfigure {
            proposal: u64::MAX,
            voters: vec![1, 2, 3, 5],
        },
    );
    let took = world.until(SECOND * 60, |w| w.commands(5).len() == 21);
    println!(
        "turns of {turn:?}: {took:?}, {} bytes",
        delivered(&world, 5)
    );
    assert!(!world.node(leader).voters().is_empty());
    took
}

/// Guards against a transfer that is bound by the sender's turns: a joining node must be level well
/// within the 6 s that are promised between two losses.
#[test]
fn a_large_snapshot_reaches_a_joining_node_within_seconds_whatever_the_leaders_turns() {
    let turns = [5, 25, 50].map(Duration::from_millis);
    let longest = turns.map(join_time).into_iter().max().unwrap();
    assert!(longest < SECOND * 3, "{longest:?}");
}

#[test]
fn a_sender_tells_how_far_a_snapshot_is() {
    let (mut voters, leader, lagging) = lagging_voter(MIB);
    voters.rates.insert((leader, lagging), 512 << 10);
    voters.heal();
    let (mut learners, learner) = late_learner(MIB);
    (1..=3).for_each(|voter| {
        learners.rates.insert((voter, learner), 512 << 10);
    });
    learners.start(learner);
    for (mut world, to) in [(voters, lagging), (learners, learner)] {
        let begun = world.now;
        world.run(SECOND);
        let transfers = (1..=3).flat_map(|id| world.node(id).transfers());
        let [transfer] = transfers.collect::<Vec<_>>()[..] else {
            panic!("not one transfer");
        };
        assert_eq!((transfer.node, transfer.index > 20), (to, true));
        assert!(transfer.held > 0 && transfer.held < transfer.total);
        assert!(transfer.total > MIB as u64);
        assert!(transfer.since < begun + SECOND);
        until_level(&mut world, to, SECOND * 3);
        assert!((1..=3).all(|id| world.node(id).transfers().is_empty()));
    }
}
