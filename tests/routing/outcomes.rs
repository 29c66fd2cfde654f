//! Each caller is told the truth, once.

use egretpin::core::{
    claims::scoped_key,
    dispatch::{Arrival, AttemptEnd, ClaimAnswer, Input, Output},
    outcome::{NotRun, Outcome, Unknown},
};

use crate::world::{SOUND, TIMEOUT, World, arrival, ms};

fn reason(outcome: &Outcome) -> NotRun {
    match outcome {
        Outcome::NotRun { reason, .. } => *reason,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn an_answer_reaches_its_caller() {
    let mut world = World::new().minions("plain", &["a"]);
    world.arrive(1, "plain");
    let sent = world.last();
    world.end(sent.send, SOUND);
    assert_eq!(world.ended[&1], Outcome::Answered);
    assert!(world.node.idle());
}

#[test]
fn a_ninth_request_waits_for_a_slot() {
    let mut world = World::new().minions("plain", &["a"]);
    (1..=9).for_each(|r| world.arrive(r, "plain"));
    assert_eq!(world.sent.len(), 8);
    let first = world.sent[0].clone();
    world.end(first.send, SOUND);
    assert_eq!(world.last().request, 9);
}

#[test]
fn an_unknown_outcome_of_a_plain_request_is_said_and_not_retried() {
    let mut world = World::new().minions("plain", &["a", "b"]);
    world.arrive(1, "plain");
    world.end(world.last().send, AttemptEnd::Unknown(Unknown::Lost));
    let reason = Unknown::Lost;
    assert_eq!(world.ended[&1], Outcome::Unknown { reason });
    assert_eq!(world.sent.len(), 1);
}

#[test]
fn an_idempotent_request_is_retried_elsewhere_and_never_ends_as_not_run() {
    let mut world = World::new().minions("again", &["a", "b"]);
    world.arrive(1, "again");
    let first = world.last();
    world.end(first.send, AttemptEnd::Unknown(Unknown::Truncated));
    let second = world.last();
    assert_ne!(World::minion(&first), World::minion(&second));
    world.end(second.send, AttemptEnd::Refused { after: None });
    let reason = Unknown::Truncated;
    assert_eq!(world.ended[&1], Outcome::Unknown { reason });
}

#[test]
fn a_refusal_before_running_is_retried_elsewhere() {
    let mut world = World::new().minions("plain", &["a", "b"]);
    world.arrive(1, "plain");
    let first = world.last();
    world.end(first.send, AttemptEnd::Refused { after: None });
    let second = world.last();
    assert_ne!(World::minion(&first), World::minion(&second));
    world.end(second.send, SOUND);
    assert_eq!(world.ended[&1], Outcome::Answered);
}

#[test]
fn a_late_end_after_the_timeout_changes_nothing_but_the_slot() {
    let mut world = World::new().minions("plain", &["a"]);
    (1..=9).for_each(|r| world.arrive(r, "plain"));
    let first = world.sent[0].clone();
    world.pass(TIMEOUT);
    let reason = Unknown::Timeout;
    assert_eq!(world.ended[&1], Outcome::Unknown { reason });
    assert_eq!(self::reason(&world.ended[&9]), NotRun::Deadline);
    assert!(world.other.contains(&Output::Abandon(first.send)));
    // The minion may still run all eight, so none of its slots is free.
    world.arrive(10, "plain");
    assert_eq!(world.sent.len(), 8);
    world.end(first.send, SOUND);
    assert_eq!(world.last().request, 10);
}

#[test]
fn refusals_say_why_and_when_to_come_back_at_once() {
    let mut world = World::new().minions("plain", &["a"]);
    (1..=8 + 256).for_each(|r| world.arrive(r, "plain"));
    assert!(world.ended.is_empty());
    world.arrive(1000, "plain");
    world.arrive(1001, "nothing");
    world.arrive(1002, "again");
    world.input(Input::Stop);
    world.arrive(1003, "plain");
    let reasons: Vec<_> = world.ended.values().map(reason).collect();
    use NotRun::{NoMinion, NoService, QueueFull, Stopping};
    assert_eq!(reasons, [QueueFull, NoService, NoMinion, Stopping]);
    let after = |r: u64| matches!(world.ended[&r], Outcome::NotRun { after: Some(_), .. });
    assert!(after(1000) && !after(1001) && after(1002) && after(1003));
}

#[test]
fn a_stop_finishes_what_was_taken() {
    let mut world = World::new().minions("plain", &["a"]);
    (1..=9).for_each(|r| world.arrive(r, "plain"));
    world.input(Input::Stop);
    assert!(!world.node.ready() && !world.node.idle());
    for n in 0..9 {
        let send = world.sent[n].send;
        world.end(send, SOUND);
    }
    assert!(world.node.idle());
    assert!(world.ended.values().all(|o| *o == Outcome::Answered));
}

#[test]
fn a_caller_that_hangs_up_is_told_nothing_and_its_slot_stays_used() {
    let mut world = World::new().minions("plain", &["a"]);
    (1..=9).for_each(|r| world.arrive(r, "plain"));
    world.input(Input::HangUp(1));
    assert_eq!(world.sent.len(), 8);
    let first = world.sent[0].clone();
    world.end(first.send, SOUND);
    assert_eq!(world.last().request, 9);
    assert!(!world.ended.contains_key(&1));
}

#[test]
fn a_key_is_claimed_before_sending_and_settled_with_the_truth() {
    let mut world = World::new().minions("plain", &["a"]);
    let keyed = |request| Arrival {
        key: Some("k".into()),
        ..arrival(request, "plain")
    };
    let settled = |request, ran| Output::Settle {
        request,
        service: "plain".into(),
        key: scoped_key(&"group".into(), &"k".into()),
        ran,
    };
    let granted = |request| Input::Claim {
        request,
        answer: ClaimAnswer::Granted,
    };
    world.input(Input::Arrive(keyed(1)));
    assert!(world.sent.is_empty());
    world.input(granted(1));
    world.end(world.last().send, AttemptEnd::Unknown(Unknown::Lost));
    assert_eq!(world.other.last(), Some(&settled(1, true)));

    // A claim that is granted after the caller stopped waiting is never used.
    world.input(Input::Arrive(keyed(2)));
    world.pass(TIMEOUT);
    assert_eq!(reason(&world.ended[&2]), NotRun::Deadline);
    assert_eq!(world.other.last(), Some(&settled(2, false)));
    world.input(granted(2));
    assert_eq!(world.sent.len(), 1);
}

#[test]
fn a_keyed_request_that_waits_for_its_claim_holds_no_slot() {
    let mut world = World::new().minions("plain", &["a"]);
    for request in 1..=9 {
        let key = Some(format!("k{request}").into());
        world.input(Input::Arrive(Arrival {
            key,
            ..arrival(request, "plain")
        }));
    }
    (10..=17).for_each(|r| world.arrive(r, "plain"));
    assert_eq!(world.sent.len(), 8);
}

#[test]
fn a_silent_minion_gets_no_work_after_three_seconds() {
    let mut world = World::new().minions("plain", &["a", "b"]);
    world.silence("a");
    world.pass(ms(3000));
    (1..=8).for_each(|r| world.arrive(r, "plain"));
    assert!(world.sent.iter().all(|s| World::minion(s) == "b"));
    assert_eq!(world.sent.len(), 8);
}
