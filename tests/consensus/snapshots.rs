//! A node that lags behind the log's start receives the state machine's snapshot.

use std::time::Duration;

use egretpin::core::consensus::{Message, Restored};

use crate::world::{World, config};

const SECOND: Duration = Duration::from_secs(1);

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
