//! Which incarnation is taken for the current one at an address if heartbeats arrive late.

use std::time::Duration;

use egretpin::core::{
    types::MinionId,
    workload::{command::AgentRecord, job::JobState, spec::JobSpec},
};

use crate::world::{World, ms, step};

/// A world in which an agent has ended and its successor runs a task. The agent of a second host could run
/// the task, too.
struct ReplacedAgent {
    world: World,
    /// The record in the heartbeats of the ended incarnation.
    former: AgentRecord,
    successor: MinionId,
}

impl ReplacedAgent {
    fn new() -> Self {
        let mut world = World::new(1, 1);
        world.pass(ms(100));
        let former = world.agents.values().next().unwrap().record.clone();
        let successor = world.restart_agent(&former.id).unwrap();
        world.submit(1, JobSpec::new("x", vec![step(1, 1, 25_000)]));
        world.until("the task runs", ms(1000), |world| world.runs(1).len() == 1);
        assert_eq!(world.runs(1)[0].0, successor);
        world.add_host("h9", crate::world::POOL);
        Self {
            world,
            former,
            successor,
        }
    }

    /// Delivers a late heartbeat of an ended incarnation, and asserts that the task keeps running where it is
    /// and is started only once.
    fn assert_heartbeat_ignored(self, id: &MinionId, delay: Duration) {
        let Self {
            mut world,
            former,
            successor,
        } = self;
        let starts_before = world.sent["start"];
        world.late_heartbeat(id, &former, delay);
        world.pass(delay + ms(1000));
        assert!(
            world.ledger.agent(&successor).is_some(),
            "the successor stays known"
        );
        assert!(
            world.ledger.agent(id).is_none(),
            "the ended incarnation stays removed"
        );
        world.until("the job is completed", ms(40_000), |world| {
            world.state(1) == Some(JobState::Completed)
        });
        assert_eq!(world.starts.values().copied().collect::<Vec<_>>(), [1]);
        let new_starts = world.sent["start"] - starts_before;
        assert_eq!(new_starts, 0, "the ended incarnation gets no task");
    }
}

#[test]
fn a_late_heartbeat_soon_after_the_end_displaces_no_successor() {
    let case = ReplacedAgent::new();
    let former = case.former.id.clone();
    case.assert_heartbeat_ignored(&former, ms(50));
}

#[test]
fn a_heartbeat_as_late_as_a_long_disconnection_displaces_no_successor() {
    let case = ReplacedAgent::new();
    let former = case.former.id.clone();
    case.assert_heartbeat_ignored(&former, ms(15_000));
}

#[test]
fn a_late_heartbeat_to_another_leader_displaces_no_successor() {
    let mut case = ReplacedAgent::new();
    case.world.depose();
    case.world.lead();
    let former = case.former.id.clone();
    case.assert_heartbeat_ignored(&former, ms(500));
}

#[test]
fn a_late_heartbeat_of_an_unknown_incarnation_displaces_no_successor() {
    ReplacedAgent::new().assert_heartbeat_ignored(&"unheard".into(), ms(50));
}

#[test]
fn a_claim_to_a_silent_address_changes_nothing_until_it_answers() {
    let mut case = ReplacedAgent::new();
    let world = &mut case.world;
    let starts_before = world.sent["start"];
    world.disconnect(&case.successor, ms(3000));
    world.late_heartbeat(&"unheard".into(), &case.former, ms(50));
    // The two tasks don't fit on the other host at once; the claimant would get one of them.
    world.submit(2, JobSpec::new("x", vec![step(2, 8, 500)]));
    world.pass(ms(2500));
    assert!(world.ledger.agent(&case.successor).is_some());
    let new_starts = world.sent["start"] - starts_before;
    assert_eq!(
        new_starts, 2,
        "both tasks start at the other host, one by one"
    );
    world.until("the address has answered", ms(2000), |world| {
        world.ledger.agent(&"unheard".into()).is_none()
    });
    world.until("the job is completed", ms(40_000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    assert!(world.starts.values().all(|starts| *starts == 1));
}

#[test]
fn tasks_of_a_crashed_agent_start_again_as_soon_as_its_successor_is_known() {
    let mut world = World::new(1, 1);
    world.submit(1, JobSpec::new("x", vec![step(1, 1, 5000)]));
    world.until("the task runs", ms(1000), |world| world.runs(1).len() == 1);
    let (agent, _) = world.runs(1)[0].clone();
    let next = world.restart_agent(&agent).unwrap();
    // Three commits, a poll and a start, in time steps of 5 ms.
    world.until("the task runs again", ms(60), |world| {
        world.runs(1).len() == 1
    });
    assert_eq!(world.runs(1)[0].0, next);
}
