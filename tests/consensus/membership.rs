//! Changes of voters, one at a time.

use std::time::Duration;

use egretpin::core::consensus::{Eligibility, Input, Output};

use crate::world::{World, config};

const SECOND: Duration = Duration::from_secs(1);

/// Adds node 4 with an empty disk, and waits until it may vote.
fn add_learner(world: &mut World) {
    world.add((1..=4).fold(config(4, &[]), |c, id| c.location(id, "north")));
    world.until(SECOND * 2, |w| {
        w.node(4).eligibility() == Eligibility::Eligible
    });
}

#[test]
fn a_voter_that_lost_its_disk_comes_back_under_a_new_id() {
    let mut world = World::voters(3);
    world.commit(1);
    let leader = world.elect();
    let dead = leader % 3 + 1;
    world.crash(dead);
    let rest: Vec<_> = (1..=3).filter(|&id| id != dead).collect();
    world.reconfigure(&rest);
    add_learner(&mut world);
    let voters = [rest[0], rest[1], 4];
    world.reconfigure(&voters);
    world.crash(leader);
    world.commit(2);
    assert_eq!(world.commands(4), [1, 2]);
}

#[test]
fn an_empty_disk_under_an_old_voters_id_never_votes() {
    let mut world = World::voters(3);
    let leader = world.elect();
    let lost = leader % 3 + 1;
    world.crash(lost);
    let directory = (1..=3).fold(config(lost, &[]), |c, id| c.location(id, "north"));
    world.add(directory);
    world.until(SECOND * 2, |w| {
        w.node(lost).eligibility() == Eligibility::Ineligible
    });
    world.crash(lost);
    world.start(lost);
    assert_eq!(world.node(lost).eligibility(), Eligibility::Ineligible);
    world.commit(1);
    world.run(SECOND);
    assert_eq!(world.commands(lost), [1], "it still receives entries");
    world.crash(leader);
    world.run(SECOND * 10);
    assert_eq!(
        world.leader(),
        None,
        "one real voter of three is no majority"
    );
}

#[test]
fn a_change_is_refused_while_another_is_under_way_or_when_it_is_more_than_one_step() {
    let mut world = World::voters(5);
    let leader = world.elect();
    let rest: Vec<_> = (1..=5).filter(|&id| id != leader).collect();
    let change = |proposal, count: usize| {
        let voters = rest.iter().copied().take(count).chain([leader]).collect();
        Input::Reconfigure { proposal, voters }
    };
    world.input(leader, change(1, 2));
    world.input(leader, change(2, 3));
    world.input(leader, change(3, 2));
    let answers: Vec<_> = world.answers.iter().map(|(_, a)| a).collect();
    assert!(matches!(
        answers[..],
        [
            Output::Rejected { proposal: 1, .. },
            Output::Appended { proposal: 2, .. },
            Output::Rejected { proposal: 3, .. }
        ]
    ));
}

#[test]
fn a_removed_leader_hands_over_and_a_removed_voter_disturbs_nobody() {
    let mut world = World::voters(4);
    let old = world.elect();
    let rest: Vec<_> = (1..=4).filter(|&id| id != old).collect();
    world.input(
        old,
        Input::Reconfigure {
            proposal: 1,
            voters: rest.clone(),
        },
    );
    world.until(SECOND, |w| w.leader().is_some_and(|l| l != old));
    let new = world.elect();
    let term = world.node(new).term();
    world.run(SECOND * 10);
    assert_eq!(world.leader(), Some(new));
    assert_eq!(world.node(new).term(), term);
    assert!(!world.node(old).is_voter());
    world.commit(5);
    world.run(SECOND);
    assert_eq!(world.commands(old), [5], "it is a learner from now on");
}

#[test]
fn a_lost_node_holds_up_the_change_that_adds_it_for_two_seconds_at_most() {
    let mut world = World::voters(3);
    let leader = world.elect();
    let voters = vec![1, 2, 3, 9];
    world.input(
        leader,
        Input::Reconfigure {
            proposal: 1,
            voters,
        },
    );
    assert!(world.answers.is_empty(), "the leader waits for node 9");
    world.until(SECOND * 5 / 2, |w| !w.answers.is_empty());
    assert!(matches!(
        world.answers[..],
        [(_, Output::Rejected { proposal: 1, .. })]
    ));
    assert_eq!(world.leader(), Some(leader));
    world.commit(1);
}

#[test]
fn a_leader_knows_which_voters_have_fallen_silent() {
    let mut world = World::voters(3);
    let leader = world.elect();
    let gone = leader % 3 + 1;
    world.commit(1);
    let limit = SECOND * 3 / 2;
    world.crash(gone);
    world.run(SECOND);
    assert!(world.node(leader).silent_voters(limit).is_empty());
    world.run(SECOND);
    assert_eq!(world.node(leader).silent_voters(limit), [gone]);
    assert!(
        world
            .node(6 - leader - gone)
            .silent_voters(limit)
            .is_empty()
    );
    world.start(gone);
    world.run(SECOND);
    assert!(world.node(leader).silent_voters(limit).is_empty());
}

#[test]
fn a_voter_whose_disk_hangs_is_silent_though_it_answers_heartbeats() {
    let mut world = World::voters(3);
    let leader = world.elect();
    let hung = leader % 3 + 1;
    world.commit(1);
    world.stalled_disks.insert(hung);
    let limit = SECOND * 3 / 2;
    world.run(SECOND * 3);
    assert!(
        world.node(leader).silent_voters(limit).is_empty(),
        "no entry waits for its disk"
    );
    world.commit(2);
    world.run(SECOND * 2);
    assert_eq!(world.node(leader).silent_voters(limit), [hung]);
}

/// Guards against a leader whose own delays hide that a voter's disk hangs.
#[test]
fn a_slow_leader_notices_a_voter_whose_disk_hangs() {
    let ms = Duration::from_millis;
    for turn in [150, 250].map(ms) {
        let mut world = World::voters(3);
        let leader = world.elect();
        let hung = leader % 3 + 1;
        world.commit(1);
        world.turns.insert(leader, turn);
        world.stalled_disks.insert(hung);
        world.commit(2);
        let limit = SECOND * 3 / 2;
        // A few heartbeats of grace, and the turns in which the leader judges.
        world.run(limit + ms(400) + turn * 2);
        assert_eq!(
            world.leader(),
            Some(leader),
            "{turn:?}: {:?}",
            world.resigned
        );
        let silent = world.node(leader).silent_voters(limit);
        assert_eq!(silent, [hung], "with turns of {turn:?}");
    }
}

#[test]
fn a_node_whose_disk_hangs_holds_up_the_change_that_adds_it_for_two_seconds_at_most() {
    let mut world = World::voters(3);
    let leader = world.elect();
    world.commit(1);
    add_learner(&mut world);
    world.run(SECOND);
    world.stalled_disks.insert(4);
    world.commit(2);
    world.input(
        leader,
        Input::Reconfigure {
            proposal: 1,
            voters: vec![1, 2, 3, 4],
        },
    );
    assert!(world.node(leader).is_changing_voters());
    // More entries than a new voter may lack when it is added.
    (3..30).for_each(|command| world.commit(command));
    world.until(SECOND * 2, |w| !w.node(leader).is_changing_voters());
    assert_eq!(world.node(leader).voters(), [1, 2, 3]);
    world.commit(30);
}

#[test]
fn the_former_leader_counts_as_silent_since_its_last_message() {
    let mut world = World::voters(3);
    let gone = world.elect();
    world.commit(1);
    let limit = SECOND * 3 / 2;
    world.crash(gone);
    let lost = world.now;
    world.until(SECOND * 2, |w| w.leader().is_some_and(|l| l != gone));
    let leader = world.leader().unwrap();
    world.until(SECOND * 2, |w| {
        w.node(leader).silent_voters(limit) == [gone]
    });
    let took = world.now - lost;
    assert!(took <= SECOND * 17 / 10, "{took:?}");
}

#[test]
fn a_node_that_is_about_to_stop_does_not_become_leader() {
    let mut world = World::voters(3);
    let leader = world.elect();
    let others: Vec<_> = (1..=3).filter(|&id| id != leader).collect();
    world.input(others[0], Input::Retire);
    world.input(
        leader,
        Input::HandOver {
            to: Some(others[0]),
        },
    );
    // It can't become leader by an election either.
    for _ in 0..20 {
        world.run(SECOND / 4);
        assert_ne!(world.leader(), Some(others[0]));
    }
    assert!(world.leader().is_some());
}

#[test]
fn a_change_that_waits_for_its_voter_is_rejected_when_the_leader_steps_down() {
    let mut world = World::voters(3);
    let leader = world.elect();
    let voters = vec![1, 2, 3, 9];
    world.input(
        leader,
        Input::Reconfigure {
            proposal: 1,
            voters,
        },
    );
    assert!(
        world.answers.is_empty(),
        "node 9 is not up to date, and never will be"
    );
    world.isolate(leader);
    world.run(SECOND);
    assert!(matches!(
        world.answers[..],
        [(_, Output::Rejected { proposal: 1, .. })]
    ));
}

/// Guards against a slow join that held up the change which would have replaced a lost voter.
#[test]
fn a_join_that_is_not_in_the_log_gives_way_to_another() {
    let mut world = World::voters(3);
    let leader = world.elect();
    world.commit(1);
    add_learner(&mut world);
    world.run(SECOND);
    world.answers.clear();
    let change = |proposal, added| {
        let voters = vec![1, 2, 3, added];
        Input::Reconfigure { proposal, voters }
    };
    world.input(leader, change(1, 9));
    assert!(world.answers.is_empty(), "node 9 is not up to date");
    world.input(leader, change(2, 9));
    assert!(
        matches!(
            world.answers[..],
            [(_, Output::Rejected { proposal: 2, .. })]
        ),
        "the same join doesn't begin anew"
    );
    world.answers.clear();
    world.input(leader, change(3, 4));
    world.until(SECOND / 2, |w| w.node(leader).voters() == [1, 2, 3, 4]);
    assert!(matches!(
        world.answers[..],
        [
            (_, Output::Rejected { proposal: 1, .. }),
            (_, Output::Appended { proposal: 3, .. })
        ]
    ));
    world.commit(2);
    world.run(SECOND);
    for id in 1..=4 {
        assert_eq!(world.node(id).voters(), [1, 2, 3, 4], "node {id}");
    }
}

/// Guards against a limit of time that makes a join impossible whose transfer takes long.
#[test]
fn a_slow_join_goes_on_as_long_as_the_new_voter_answers() {
    let ids = [1, 2, 3];
    let configs = ids.map(|id| config(id, &ids).chunk(16 << 10));
    let mut world = World::new(configs.to_vec());
    (1..300).for_each(|command| world.commit(command));
    let leader = world.elect();
    // A link needs 48 s for the snapshot, and an eighth of a second for a chunk of it.
    world.ballast = 6 << 20;
    ids.iter().for_each(|id| world.compact(*id));
    ids.iter().for_each(|id| {
        world.rates.insert((*id, 4), 128 << 10);
    });
    add_learner(&mut world);
    let (proposal, voters) = (u64::MAX, vec![1, 2, 3, 4]);
    world.input(leader, Input::Reconfigure { proposal, voters });
    let took = world.until(SECOND * 300, |w| !w.node(leader).is_changing_voters());
    assert!(took > SECOND * 30, "only {took:?}: it isn't slow");
    assert_eq!(world.node(leader).voters(), [1, 2, 3, 4]);
}

/// Holds all hosts up for a while, as when their machine stalls: what arrives meanwhile waits.
fn stall(world: &mut World, time: Duration) {
    let ids: Vec<_> = world.hosts.keys().copied().collect();
    // A turn that begins when the time has passed, and not before.
    let turn = world.now + time;
    world.turns.extend(ids.iter().map(|&id| (id, turn)));
    world.run(time);
    world.turns.clear();
}

/// Guards against a join that is given up because its leader stood still: silence that is counted
/// while nothing was asked, or while the answers waited to be read.
#[test]
fn a_leader_that_stood_still_does_not_give_up_a_join() {
    let ms = Duration::from_millis;
    let cases: Vec<_> = (0..25)
        .flat_map(|at| [1100, 1500, 2500].map(|time| (at * 10, time)))
        .collect();
    let gives_up = |&(at, time): &(u64, u64)| {
        let mut world = World::voters(3);
        let leader = world.elect();
        world.commit(1);
        add_learner(&mut world);
        // Longer than a heartbeat's interval, so that one is always on its way to each voter.
        world.delay = ms(110);
        world.run(SECOND);
        let (proposal, voters) = (u64::MAX, vec![1, 2, 3, 4]);
        world.input(leader, Input::Reconfigure { proposal, voters });
        world.run(ms(at));
        stall(&mut world, ms(time));
        world.run(SECOND);
        assert_eq!(world.leader(), Some(leader), "{:?}", world.resigned);
        world.node(leader).voters() != [1, 2, 3, 4]
    };
    let given_up: Vec<_> = cases.iter().filter(|case| gives_up(case)).collect();
    let all = cases.len();
    assert!(
        given_up.is_empty(),
        "{} of {all}: {given_up:?}",
        given_up.len()
    );
}

/// Guards against voters that count as silent because their leader stood still.
#[test]
fn a_leader_that_stood_still_takes_no_voter_for_lost() {
    for at in 0..25 {
        let mut world = World::voters(5);
        let leader = world.elect();
        world.commit(1);
        // Longer than a heartbeat's interval, so that one is always on its way to each voter.
        world.delay = Duration::from_millis(110);
        world.run(SECOND);
        world.propose(leader, 2);
        world.run(Duration::from_millis(at * 10));
        stall(&mut world, SECOND * 3 / 2);
        while world.commands(leader).len() < 2 || world.now < SECOND * 6 {
            let silent = world.node(leader).silent_voters(SECOND);
            assert!(silent.is_empty(), "{silent:?} at {:?}, {at}", world.now);
            world.tick();
        }
        assert_eq!(world.leader(), Some(leader), "{:?}", world.resigned);
    }
}
