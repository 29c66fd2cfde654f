//! A restarted node applies all entries since its last snapshot again. However long that takes, the
//! first leader stays.

use std::time::Duration;

use egretpin::core::{consensus::Index, types::NodeId};

use crate::world::{World, config};

const SECOND: Duration = Duration::from_secs(1);
/// How long a slow host takes to apply an entry.
const SLOW: Duration = Duration::from_micros(200);
/// The most entries between two snapshots.
const ENTRIES: u64 = 8192;
/// Proposals that are committed together.
const BATCH: u64 = 256;

/// What a cluster consists of, and what it has committed.
#[derive(Clone, Copy, Debug)]
struct Case {
    voters: NodeId,
    learners: NodeId,
    entries: u64,
    /// How long a host takes to apply an entry.
    apply_time: Duration,
    /// The most entries applied in one step; `None` for the default.
    apply_batch: Option<Index>,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            voters: 3,
            learners: 0,
            entries: ENTRIES,
            apply_time: SLOW,
            apply_batch: None,
        }
    }
}

impl Case {
    /// A cluster that has committed these entries.
    fn cluster(self) -> World {
        let voters: Vec<_> = (1..=self.voters).collect();
        let nodes = 1..=self.voters + self.learners;
        let configs = nodes.clone().map(|id| {
            let config = config(id, &voters).disk(id <= self.voters);
            let config = match self.apply_batch {
                Some(entries) => config.apply_batch(entries),
                None => config,
            };
            let nodes = nodes.clone();
            nodes.fold(config, |config, node| config.location(node, "north"))
        });
        let mut world = World::new(configs.collect());
        let leader = world.elect();
        world.commit(0);
        // A learner without a disk needs this snapshot.
        voters.iter().for_each(|&id| world.compact(id));
        for proposal in 1..self.entries {
            world.propose(leader, proposal);
            if proposal % BATCH == BATCH - 1 {
                world.tick();
            }
        }
        world.run(SECOND);
        assert_eq!(world.commands(leader).len() as u64, self.entries);
        world.apply_time = self.apply_time;
        world
    }

    /// The cluster after all its nodes have been restarted at once.
    fn restarted(self) -> World {
        let mut world = self.cluster();
        let nodes = 1..=self.voters + self.learners;
        nodes.clone().for_each(|id| world.crash(id));
        nodes.for_each(|id| world.start(id));
        world
    }

    /// Runs until a leader holds a lease, and four seconds more. Asserts that it is the only one.
    fn assert_first_leader_stays(self, mut world: World) {
        let start = world.now;
        let leader = world.elect();
        let took = world.now - start;
        world.run(SECOND * 4);
        assert_eq!(world.resigned, [], "{self:?}");
        assert_eq!(world.leader(), Some(leader), "{self:?}");
        assert_eq!(world.commands(leader).len() as u64, self.entries);
        // An election takes two of the longest waits, if two nodes campaign at once.
        let replay = self.apply_time * u32::try_from(self.entries).unwrap();
        assert!(took < SECOND * 2 + replay * 2, "{self:?}: {took:?}");
    }
}

/// After all nodes had lost power, the first leader stepped down: it applied thousands of entries
/// in one step and sent no heartbeat, then its voters did so and answered none.
#[test]
fn the_first_leader_after_a_power_loss_stays() {
    for voters in [3, 5] {
        for entries in [100, 1000, 4000, ENTRIES] {
            for apply_time in [SLOW / 10, SLOW / 4, SLOW] {
                let case = Case {
                    voters,
                    entries,
                    apply_time,
                    ..Case::default()
                };
                case.assert_first_leader_stays(case.restarted());
            }
        }
    }
}

/// The checks of this module detect leaders that step down.
#[test]
fn a_first_leader_that_applies_all_entries_in_one_step_steps_down() {
    let case = Case {
        apply_batch: Some(Index::MAX),
        ..Case::default()
    };
    let mut world = case.restarted();
    world.run(SECOND * 10);
    assert_ne!(world.resigned, []);
}

#[test]
fn a_restarted_voter_costs_no_leader_its_quorum() {
    for voters in [3, 5] {
        let case = Case {
            voters,
            ..Case::default()
        };
        let mut world = case.cluster();
        let leader = world.leader().unwrap();
        // Those left make up a bare majority with the restarted one.
        let others: Vec<_> = (1..=voters).filter(|&id| id != leader).collect();
        let (down, restarted) = others.split_at(others.len() / 2);
        down.iter().for_each(|&id| world.crash(id));
        world.crash(restarted[0]);
        world.run(SECOND / 5);
        world.start(restarted[0]);
        case.assert_first_leader_stays(world);
    }
}

#[test]
fn learners_with_empty_disks_cost_the_first_leader_nothing() {
    let case = Case {
        learners: 2,
        ..Case::default()
    };
    case.assert_first_leader_stays(case.restarted());
}
