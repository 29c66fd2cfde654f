//! Minions that leave, fall silent, restart or are announced late.

use std::{sync::Arc, time::Duration};

use egretpin::core::{
    declaration::RequestSpec,
    dispatch::{Announcement, Input, Mesh, Output, Settings},
    routing::directory::{Directory, Heard, Source},
    types::{Name, NodeId},
};

use crate::world::{CENTRE, World, announcement, configuration, ms};

fn news(boot: u64, sequence: u64) -> Announcement {
    Announcement {
        boot,
        ..announcement("a", "plain", sequence)
    }
}

fn passed(from: NodeId, news: Announcement) -> Input {
    let message = Mesh::Announce(news);
    Input::Mesh { from, message }
}

#[test]
fn older_boots_and_sequences_never_count() {
    let mut directory = Directory::default();
    let mut hear =
        |boot, sequence| directory.announce(ms(0), Source::Direct, &news(boot, sequence));
    assert_eq!(hear(2, 5), Heard::Joined);
    assert_eq!(hear(2, 5), Heard::Ignored);
    assert_eq!(hear(2, 4), Heard::Ignored);
    assert_eq!(hear(1, 9), Heard::Ignored);
    assert_eq!(hear(2, 6), Heard::Refreshed);
    assert_eq!(hear(3, 1), Heard::Joined);
}

#[test]
fn a_boot_that_left_never_comes_back_and_the_next_one_does() {
    let mut directory = Directory::default();
    let leaving = Announcement {
        leaving: true,
        ..news(1, 3)
    };
    directory.announce(ms(0), Source::Direct, &news(1, 1));
    assert_eq!(
        directory.announce(ms(1), Source::Passed, &leaving),
        Heard::Left
    );
    for (at, sequence) in [(2, 2), (900, 4), (5000, 9)] {
        let late = news(1, sequence);
        assert_eq!(
            directory.announce(ms(at), Source::Direct, &late),
            Heard::Ignored
        );
    }
    assert!(directory.live(&"a".into()).is_none());
    assert_eq!(
        directory.announce(ms(6000), Source::Direct, &news(2, 1)),
        Heard::Joined
    );
}

#[test]
fn what_a_cut_held_back_doesnt_resurrect_a_silent_minion() {
    let mut directory = Directory::default();
    directory.announce(ms(0), Source::Passed, &news(1, 1));
    assert_eq!(directory.expire(ms(2500)), ["a".into()]);
    for sequence in 2..20 {
        let late = news(1, sequence);
        assert_eq!(
            directory.announce(ms(9000), Source::Passed, &late),
            Heard::Ignored
        );
    }
    // One that lives goes on announcing itself.
    assert_eq!(
        directory.announce(ms(10_000), Source::Passed, &news(1, 20)),
        Heard::Joined
    );
}

#[test]
fn what_a_freeze_held_back_doesnt_resurrect_a_silent_minion() {
    let mut world = World::new().minions("plain", &["a", "b"]);
    world.silence("a");
    world.silence("b");
    world.now += Duration::from_secs(10);
    for sequence in 2..9 {
        let late = announcement("a", "plain", sequence);
        world.input(Input::Announce(late));
    }
    world.arrive(1, "plain");
    assert!(world.sent.is_empty());
    assert!(world.ended.contains_key(&1));
}

#[test]
fn an_announcement_is_passed_on_once_to_the_nodes_of_the_data_centre() {
    let settings = Settings::new(1, CENTRE.into());
    let nodes = [(1, CENTRE), (2, CENTRE), (3, "south"), (4, CENTRE)];
    let mut world = World::with(settings, &nodes, RequestSpec::default());
    world.input(Input::Announce(news(1, 1)));
    world.input(passed(2, news(1, 2)));
    let told = |o: &Output| match o {
        Output::Mesh {
            to,
            message: Mesh::Announce(news),
        } => Some((*to, news.sequence)),
        _ => None,
    };
    let told: Vec<_> = world.other.iter().filter_map(told).collect();
    assert_eq!(told, [(2, 1), (4, 1)]);
}

/// The minion tells node 2 that it leaves, and node 2 dies before it passes that on.
#[test]
fn a_minion_that_left_gets_no_work_after_three_seconds_if_the_node_that_heard_it_dies() {
    let settings = Settings::new(1, CENTRE.into());
    let nodes = [(1, CENTRE), (2, CENTRE)];
    let mut world = World::with(settings, &nodes, RequestSpec::default());
    world.input(passed(2, news(1, 1)));
    world.arrive(1, "plain");
    assert_eq!(world.sent.len(), 1);
    world.pass(ms(3000));
    world.arrive(2, "plain");
    assert_eq!(world.sent.len(), 1);
    // What it had goes on and is answered.
    assert!(!world.ended.contains_key(&1));
    world.end(world.last().send, crate::world::SOUND);
    assert!(world.ended.contains_key(&1));
}

#[test]
fn a_draining_host_gets_no_work_at_once_and_finishes_what_it_has() {
    let mut world = World::new().minions("plain", &["a"]);
    world.arrive(1, "plain");
    let mut draining = configuration(&[(1, CENTRE)], RequestSpec::default());
    draining.draining = Arc::new([Name::from("host-a")]);
    world.input(Input::Configure(draining));
    world.arrive(2, "plain");
    assert_eq!(world.sent.len(), 1);
    world.end(world.last().send, crate::world::SOUND);
    assert!(world.ended.contains_key(&1));

    let back = configuration(&[(1, CENTRE)], RequestSpec::default());
    world.input(Input::Configure(back));
    world.arrive(3, "plain");
    assert_eq!(world.last().request, 3);
}

#[test]
fn a_restarted_minion_has_all_its_slots() {
    let mut world = World::new().minions("plain", &["a"]);
    (1..=8).for_each(|r| world.arrive(r, "plain"));
    world.input(Input::Announce(news(2, 1)));
    (9..=16).for_each(|r| world.arrive(r, "plain"));
    assert_eq!(world.sent.len(), 16);
    let first = world.sent[0].clone();
    world.end(first.send, crate::world::SOUND);
    world.arrive(17, "plain");
    assert_eq!(
        world.sent.len(),
        16,
        "a slot of the old boot is none of the new"
    );
}

#[test]
fn a_minion_that_was_silent_for_a_while_still_has_what_it_had() {
    let mut world = World::new().minions("plain", &["a"]);
    (1..=8).for_each(|r| world.arrive(r, "plain"));
    world.silence("a");
    world.pass(ms(3000));
    world.input(Input::Announce(news(1, 50)));
    world.arrive(9, "plain");
    assert_eq!(world.sent.len(), 8, "all its slots are in use");
    world.end(world.sent[0].send, crate::world::SOUND);
    assert_eq!(world.last().request, 9);
}

/// A node that starts is told of an empty list of nodes before it has caught up with the log.
#[test]
fn a_node_that_learns_the_nodes_late_may_use_its_slots_at_once() {
    let settings = Settings::new(1, CENTRE.into());
    let mut world = World::with(settings, &[], RequestSpec::default());
    world.pass(ms(1000));
    let told = configuration(&[(1, CENTRE)], RequestSpec::default());
    world.input(Input::Configure(told));
    let mut world = world.minions("plain", &["a"]);
    world.arrive(1, "plain");
    assert_eq!(world.sent.len(), 1, "it waits: {:?}", world.ended);
}
