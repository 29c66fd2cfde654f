//! Elections and leases.

use std::time::Duration;

use egretpin::core::{
    consensus::{Config, Input, Output, Resignation},
    types::NodeId,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::world::World;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn three_voters_elect_one_leader_and_replace_a_dead_one() {
    let mut world = World::voters(3);
    let first = world.elect();
    world.crash(first);
    world.run(SECOND / 2);
    let second = world.elect();
    assert_ne!(first, second);
    world.start(first);
    world.run(SECOND);
    assert_eq!(world.leader(), Some(second));
    assert_eq!(world.node(first).leader(), Some(second));
}

#[test]
fn a_returning_isolated_host_disturbs_no_leader() {
    let mut world = World::voters(3);
    let leader = world.elect();
    let term = world.node(leader).term();
    let other = leader % 3 + 1;
    world.isolate(other);
    world.run(SECOND * 30);
    world.heal();
    world.run(SECOND * 3);
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.node(leader).term(), term);
    assert_eq!(world.node(other).leader(), Some(leader));
}

#[test]
fn a_leader_that_can_send_but_not_receive_steps_down() {
    let mut world = World::voters(3);
    let leader = world.elect();
    world.cut(&[1, 2, 3], &[leader]);
    world.until(SECOND, |w| !w.node(leader).is_leader());
    assert_eq!(world.resigned, [(leader, Resignation::NoQuorum)]);
    world.until(SECOND * 4, |w| w.leader().is_some_and(|l| l != leader));
}

#[test]
fn a_delayed_leader_waits_for_answers_once_more_before_it_steps_down() {
    let mut world = World::voters(3);
    let leader = world.elect();
    let term = world.node(leader).term();
    // One step takes longer than a lease, but less than the other voters wait for a leader.
    world.now += SECOND * 47 / 100;
    assert_eq!(world.leader(), None, "its lease ran out");
    world.run(SECOND / 20);
    assert_eq!(world.resigned, []);
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.node(leader).term(), term);
}

/// A leader that had sent nothing for almost a lease asked once, and stepped down before the others
/// could answer.
#[test]
fn a_delayed_leader_gives_its_first_question_a_whole_lease() {
    let delays = [(20, 30), (30, 30), (35, 20), (41, 10), (41, 30), (44, 30)];
    // The delay begins while a heartbeat is in flight, or after it was answered.
    let all = [0, 5]
        .into_iter()
        .flat_map(|wait| delays.map(|(delay, silence)| (wait, delay, silence)));
    for (wait, delay, silence) in all {
        let case = format!("{wait}, {delay}, {silence} hundredths");
        let mut world = World::voters(3);
        let leader = world.elect();
        let term = world.node(leader).term();
        world.run(SECOND * wait / 100);
        world.now += SECOND * delay / 100;
        world.cut(&[1, 2, 3], &[leader]);
        world.run(SECOND * silence / 100);
        world.heal();
        world.run(SECOND / 5);
        assert_eq!(world.resigned, [], "{case}");
        assert_eq!(world.leader(), Some(leader), "{case}");
        assert_eq!(world.node(leader).term(), term, "{case}");
    }
}

#[test]
fn a_leader_delayed_repeatedly_without_a_quorum_steps_down() {
    let mut world = World::voters(3);
    let leader = world.elect();
    world.isolate(leader);
    for _ in 0..3 {
        world.now += SECOND * 47 / 100;
        world.tick();
    }
    // A leader that is elected in the meantime is delayed, too.
    assert_eq!(world.resigned[0], (leader, Resignation::NoQuorum));
    assert!(!world.node(leader).is_leader());
}

#[test]
fn a_planned_stop_hands_leadership_over_without_a_timeout() {
    let mut world = World::voters(3);
    let old = world.elect();
    world.propose(old, 1);
    let to = old % 3 + 1;
    world.input(old, Input::HandOver { to: Some(to) });
    world.propose(old, 2);
    let took = world.until(SECOND, |w| w.leader() == Some(to));
    assert!(took < SECOND / 10, "{took:?}");
    assert_eq!(world.resigned, [(old, Resignation::HandedOver)]);
    assert_eq!(
        world
            .answers
            .last()
            .map(|(_, a)| matches!(a, Output::Rejected { .. })),
        Some(true)
    );
    world.run(SECOND / 2);
    assert_eq!(world.commands(old), [1]);
}

/// Guards against commands that are planned while none is accepted: a leader that hands over has no
/// lease, so it plans nothing, and it has both again when the hand-over fails.
#[test]
fn a_leader_whose_hand_over_fails_leads_on_with_a_lease_and_room() {
    let mut world = World::voters(3);
    let old = world.elect();
    world.commit(1);
    let to = old % 3 + 1;
    world.cut(&[old], &[to]);
    world.cut(&[to], &[old]);
    world.propose(old, 2);
    world.input(old, Input::HandOver { to: Some(to) });
    let holds = |world: &World| {
        let until = world.node(old).lease_until();
        until.is_some_and(|until| world.now < until)
    };
    assert!(world.node(old).is_handing_over());
    assert!(!holds(&world));
    assert_eq!(world.node(old).room().now, 0);
    world.until(SECOND, |world| {
        assert!(!(holds(world) && world.node(old).room().now == 0));
        !world.node(old).is_handing_over()
    });
    assert_eq!(world.leader(), Some(old));
    assert!(holds(&world));
    assert!(world.node(old).room().now > 0);
    world.commit(3);
}

#[test]
fn a_leader_with_a_stalled_disk_steps_down() {
    let mut world = World::voters(3);
    let old = world.elect();
    world.stalled_disks.insert(old);
    world.propose(old, 1);
    world.until(SECOND * 5, |w| w.leader().is_some_and(|l| l != old));
    assert_eq!(world.resigned, [(old, Resignation::Stalled)]);
    world.commit(2);
    world.run(SECOND * 10);
    assert_ne!(world.leader(), Some(old));
}

#[test]
fn a_dead_leader_is_replaced_in_time() {
    let mut times = Vec::new();
    for seed in 0..100 {
        let voters = [1, 2, 3];
        let fresh = |id: NodeId| Config::new(id, Pcg64::seed_from_u64(seed * 10 + id));
        let configs = voters.map(|id| fresh(id).bootstrap(voters.to_vec()));
        let mut world = World::new(configs.to_vec());
        let leader = world.elect();
        world.run(SECOND);
        world.crash(leader);
        times.push(world.until(SECOND * 3, |w| w.leader().is_some()));
    }
    times.sort_unstable();
    println!(
        "leaderless: median {:?}, longest {:?}",
        times[50], times[99]
    );
}

#[test]
fn a_paused_voter_does_not_count_old_messages_as_contact() {
    let mut world = World::voters(3);
    let leader = world.elect();
    world.run(SECOND);
    let voter = leader % 3 + 1;
    let before_pause = world.node(voter).last_contact();
    let waiting = world
        .sent
        .iter()
        .rev()
        .find(|(from, to, _)| (*from, *to) == (leader, voter));
    let message = waiting.unwrap().2.clone();
    let mut node = world.node(voter).clone();
    let later = world.now + SECOND * 60;
    node.step(
        later,
        Input::Receive {
            from: leader,
            message: message.clone(),
        },
    );
    assert_eq!(node.last_contact(), before_pause, "it waited in a socket");
    let later = later + SECOND;
    for tick in 0..100 {
        node.step(later - SECOND + SECOND / 100 * tick, Input::Tick);
    }
    node.step(
        later,
        Input::Receive {
            from: leader,
            message,
        },
    );
    assert_eq!(node.last_contact(), Some(later));
}
