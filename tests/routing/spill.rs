//! Requests of a service without minions here go to another data centre, and come back.

use egretpin::core::{
    declaration::RequestSpec,
    dispatch::{Arrival, AttemptEnd, Input, Mesh, Output, Settings, Target},
    outcome::{NotRun, Outcome, Unknown},
    routing::spill::Offer,
};

use crate::world::{CENTRE, SOUND, World, arrival, ms};

fn world() -> World {
    let settings = Settings::new(1, CENTRE.into());
    let nodes = [(1, CENTRE), (2, "south"), (3, "south")];
    World::with(settings, &nodes, RequestSpec::default())
}

fn offer(services: &[&str]) -> Input {
    let message = Mesh::Offer(Offer {
        data_centre: "south".into(),
        services: services.iter().map(|s| (*s).into()).collect(),
    });
    Input::Mesh { from: 2, message }
}

fn no_minion(outcome: Outcome) -> bool {
    let reason = NotRun::NoMinion;
    matches!(outcome, Outcome::NotRun { reason: r, after: Some(_) } if r == reason)
}

#[test]
fn spilled_while_there_is_no_minion_here_and_back_when_there_is() {
    let mut world = world();
    world.input(offer(&["plain"]));
    world.arrive(1, "plain");
    assert!(matches!(world.last().to, Target::Node(2 | 3)));
    world.end(world.last().send, SOUND);
    assert_eq!(world.ended[&1], Outcome::Answered);
    let mut world = world.minions("plain", &["a"]);
    world.arrive(2, "plain");
    assert_eq!(World::minion(&world.last()), "a");
}

#[test]
fn what_waits_is_spilled_when_the_last_minion_goes() {
    let mut world = world().minions("plain", &["a"]);
    (1..=9).for_each(|r| world.arrive(r, "plain"));
    world.silence("a");
    world.pass(ms(2000));
    world.input(offer(&["plain"]));
    world.pass(ms(1000));
    assert!(matches!(world.last().to, Target::Node(_)));
    assert_eq!(world.last().request, 9);
}

#[test]
fn a_spilled_request_is_not_spilled_again() {
    let mut world = world();
    world.input(offer(&["plain"]));
    let spilled = Arrival {
        spilled: true,
        ..arrival(1, "plain")
    };
    world.input(Input::Arrive(spilled));
    assert!(no_minion(world.ended[&1]));
}

#[test]
fn a_node_that_fails_is_left_for_another_and_unknown_is_said() {
    let mut world = world();
    world.input(offer(&["plain"]));
    world.arrive(1, "plain");
    let first = world.last();
    world.end(first.send, AttemptEnd::Unreachable);
    let second = world.last();
    assert_ne!(first.to, second.to);
    let reason = Unknown::Lost;
    world.end(second.send, AttemptEnd::Unknown(reason));
    assert_eq!(world.ended[&1], Outcome::Unknown { reason });
}

#[test]
fn cut_off_it_refuses_truthfully_and_at_once() {
    let mut world = world();
    world.input(offer(&["plain"]));
    world.pass(ms(10_000));
    world.arrive(1, "plain");
    assert!(no_minion(world.ended[&1]));
    assert!(world.sent.is_empty());
}

#[test]
fn each_data_centre_hears_what_is_served_here_until_the_node_stops() {
    let mut world = world().minions("plain", &["a"]);
    world.other.clear();
    world.pass(ms(2000));
    let offers = |world: &World| -> Vec<u64> {
        let told = |o: &Output| match o {
            Output::Mesh {
                to,
                message: Mesh::Offer(offer),
            } if offer.services == ["plain".into()] => Some(*to),
            _ => None,
        };
        world.other.iter().filter_map(told).collect()
    };
    let mut told = offers(&world);
    told.sort_unstable();
    assert_eq!(told, [2, 3]);
    world.input(Input::Stop);
    world.other.clear();
    world.pass(ms(3000));
    assert!(offers(&world).is_empty());
}
