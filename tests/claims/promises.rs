//! Tests of a node's claimant, the table's limits and the answer cache.

use std::time::Duration;

use egretpin::core::{
    claims::{
        AnswerCache, Claim, ClaimRequest, Claimant, Command, Effect, Holder, Input, Lookup,
        MAX_KEY_BYTES, Output, Table, Terms,
    },
    dispatch::ClaimAnswer,
    types::{Key, Now, ServiceId},
};

const SECOND: Duration = Duration::from_secs(1);

fn request_claim(request: u64) -> Input {
    Input::Claim(ClaimRequest {
        request,
        service: "s".into(),
        key: "k".into(),
        window: 10 * SECOND,
        answer_timeout: 2 * SECOND,
    })
}

fn claim(request: u64) -> Claim {
    let holder = Holder {
        node: 1,
        boot: 7,
        request,
    };
    Claim {
        holder,
        service: "s".into(),
        key: "k".into(),
    }
}

fn granted(request: u64) -> Input {
    Input::Applied {
        holder: claim(request).holder,
        effect: Effect::Claim(ClaimAnswer::Granted),
    }
}

fn settled(request: u64) -> Input {
    Input::Applied {
        holder: claim(request).holder,
        effect: Effect::Settle,
    }
}

fn settle(request: u64, ran: bool) -> Output {
    let claim = claim(request);
    Output::Propose(Command::Settle { claim, ran })
}

fn answer(request: u64, answer: ClaimAnswer) -> Output {
    Output::Answer { request, answer }
}

/// A claimant whose request 1 was granted its key.
fn claimant_with_grant() -> Claimant {
    let mut claimant = Claimant::new(1, 7);
    claimant.step(Now::ZERO, request_claim(1));
    claimant.step(SECOND, granted(1));
    claimant
}

#[test]
fn a_lost_claim_is_proposed_again_until_answered() {
    let mut claimant = Claimant::new(1, 7);
    let proposal = vec![Output::Propose(Command::Claim(claim(1)))];
    assert_eq!(claimant.step(Now::ZERO, request_claim(1)), proposal);
    assert_eq!(claimant.step(SECOND, Input::Tick), proposal);
    let answers = claimant.step(SECOND, granted(1));
    assert_eq!(answers, [answer(1, ClaimAnswer::Granted)]);
    assert!(claimant.step(3 * SECOND, Input::Tick).is_empty());
}

#[test]
fn a_request_may_be_sent_only_within_its_window() {
    let claimant = claimant_with_grant();
    assert!(claimant.may_send(10 * SECOND - Duration::from_nanos(1), 1));
    assert!(!claimant.may_send(10 * SECOND, 1));
    assert!(!claimant.may_send(SECOND, 2));
}

#[test]
fn without_an_answer_the_node_is_cut_off_and_a_key_granted_late_is_freed() {
    let mut claimant = Claimant::new(1, 7);
    claimant.step(Now::ZERO, request_claim(1));
    let outputs = claimant.step(2 * SECOND, Input::Tick);
    assert_eq!(outputs, [settle(1, false), answer(1, ClaimAnswer::CutOff)]);
    claimant.step(3 * SECOND, settled(1));
    // A late copy of the claim was committed after the settlement.
    assert_eq!(claimant.step(4 * SECOND, granted(1)), [settle(1, false)]);
    assert!(!claimant.may_send(4 * SECOND, 1));
}

#[test]
fn a_claim_granted_after_its_window_is_released() {
    let mut claimant = Claimant::new(1, 7);
    claimant.step(Now::ZERO, request_claim(1));
    let outputs = claimant.step(11 * SECOND, granted(1));
    assert_eq!(outputs, [settle(1, false), answer(1, ClaimAnswer::CutOff)]);
}

#[test]
fn a_settlement_is_retried_with_backoff_until_applied() {
    let mut claimant = claimant_with_grant();
    let ran = Input::Settle {
        request: 1,
        ran: true,
    };
    assert_eq!(claimant.step(SECOND, ran), [settle(1, true)]);
    let repeats = (10..710).map(|tenth| claimant.step(SECOND / 10 * tenth, Input::Tick).len());
    let count: usize = repeats.sum();
    assert!((8..=12).contains(&count), "{count}");
    assert!(claimant.is_empty(), "the record is never removed");

    let mut claimant = claimant_with_grant();
    claimant.step(
        SECOND,
        Input::Settle {
            request: 1,
            ran: true,
        },
    );
    claimant.step(SECOND, settled(1));
    assert!(claimant.step(5 * SECOND, Input::Tick).is_empty());
    assert_eq!(claimant.len(), 1);
    claimant.step(12 * SECOND, Input::Tick);
    assert!(claimant.is_empty());
}

#[test]
fn an_earlier_process_of_the_node_is_another_holder() {
    let mut claimant = Claimant::new(1, 8);
    claimant.step(Now::ZERO, request_claim(1));
    assert!(claimant.step(SECOND, granted(1)).is_empty());
    assert!(!claimant.may_send(SECOND, 1));
}

#[test]
fn a_node_that_stays_cut_off_limits_its_records() {
    let mut claimant = Claimant::new(1, 7);
    for request in 0..50_000 {
        let now = Duration::from_millis(request);
        claimant.step(now, request_claim(request));
        claimant.step(now, Input::Tick);
    }
    assert!(claimant.len() <= 20_001, "{}", claimant.len());
}

#[test]
fn a_table_limits_its_keys_and_removes_expired_ones() {
    let terms = Terms::new(SECOND).retention(100 * SECOND).max_keys(2);
    let mut table = Table::default();
    let mut claim_key = |at: Duration, key: &str| {
        let claim = Claim {
            key: key.into(),
            ..claim(1)
        };
        table.claim(at, &terms, &claim)
    };
    assert_eq!(
        claim_key(SECOND, &"x".repeat(MAX_KEY_BYTES + 1)),
        ClaimAnswer::Full
    );
    assert_eq!(claim_key(SECOND, "a"), ClaimAnswer::Granted);
    assert_eq!(claim_key(50 * SECOND, "b"), ClaimAnswer::Granted);
    assert_eq!(claim_key(100 * SECOND, "c"), ClaimAnswer::Full);
    assert_eq!(claim_key(101 * SECOND, "c"), ClaimAnswer::Granted);
    assert_eq!(table.next_expiry(), Some(150 * SECOND));
    table.expire(201 * SECOND);
    assert!(table.is_empty());
}

#[test]
fn a_resend_gets_the_first_answer_while_it_is_cached() {
    let (service, mut answers) = (ServiceId::from("s"), AnswerCache::new(10_000));
    let key = |number: u32| Key::from(format!("k{number}"));
    answers.insert(&service, &key(0), 1, "large", 5_000);
    assert_eq!(answers.get(&service, &key(0), 1), Lookup::Miss);
    for number in 1..100 {
        answers.insert(&service, &key(number), 1, "first", 300);
        answers.insert(&service, &key(number), 1, "second", 300);
        assert_eq!(
            answers.get(&service, &key(number), 1),
            Lookup::Hit(&"first")
        );
        assert_eq!(answers.get(&service, &key(number), 2), Lookup::Mismatch);
        assert!(answers.bytes() <= 10_000);
    }
    assert_eq!(answers.get(&service, &key(1), 1), Lookup::Miss);
    assert_eq!(answers.get(&service, &key(90), 1), Lookup::Hit(&"first"));
}
