//! Voters come and go, one at a time.

use std::time::Duration;

use egretpin::core::consensus::{Input, Output, Standing};

use crate::world::{World, config};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_voter_that_lost_its_disk_comes_back_under_a_new_id() {
    let mut world = World::voters(3);
    world.commit(1);
    let leader = world.elect();
    let dead = leader % 3 + 1;
    world.crash(dead);
    let rest: Vec<_> = (1..=3).filter(|&id| id != dead).collect();
    world.reconfigure(&rest);
    let directory = (1..=4).fold(config(4, &[]), |c, id| c.place(id, "north"));
    world.add(directory);
    world.until(SECOND * 2, |w| w.node(4).standing() == Standing::Member);
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
    let directory = (1..=3).fold(config(lost, &[]), |c, id| c.place(id, "north"));
    world.add(directory);
    world.until(SECOND * 2, |w| w.node(lost).standing() == Standing::Barred);
    world.crash(lost);
    world.start(lost);
    assert_eq!(world.node(lost).standing(), Standing::Barred);
    world.commit(1);
    world.run(SECOND);
    assert_eq!(world.commands(lost), [1], "it is still fed");
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
            Output::Placed { proposal: 2, .. },
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
    assert_eq!(world.commands(old), [5], "it follows from now on");
}

#[test]
fn a_node_that_is_gone_holds_up_the_change_that_adds_it_for_two_seconds_at_most() {
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
    assert!(world.answers.is_empty(), "it is waited for");
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
    assert!(world.node(leader).silent(limit).is_empty());
    world.run(SECOND);
    assert_eq!(world.node(leader).silent(limit), [gone]);
    assert!(world.node(6 - leader - gone).silent(limit).is_empty());
    world.start(gone);
    world.run(SECOND);
    assert!(world.node(leader).silent(limit).is_empty());
}

#[test]
fn a_change_that_waits_for_its_voter_is_answered_when_the_leader_falls() {
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
        "9 is not up to date, and never will be"
    );
    world.isolate(leader);
    world.run(SECOND);
    assert!(matches!(
        world.answers[..],
        [(_, Output::Rejected { proposal: 1, .. })]
    ));
}
