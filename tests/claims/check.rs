//! Explores all states of small models of the claims, and shows which failure each safety rule
//! prevents.
//!
//! The model checker `stateright` isn't available, so the search is `pathfinding`'s breadth-first
//! search.

use egretpin::core::claims::Guards;

use crate::model::{Findings, Outcome, Scope};

fn assert_holds(scope: &Scope, outcomes: &[Outcome]) -> Findings {
    let found = scope.explore();
    println!("{} states: {scope:?}", found.states);
    assert!(!found.ran_twice && !found.false_refusal, "{found:?}");
    for outcome in outcomes {
        assert!(
            found.outcomes.contains(outcome),
            "no send was told {outcome:?}"
        );
    }
    found
}

/// Shows that the model fails without a safety rule. The scope differs only by that rule from one
/// in which the whole protocol holds.
fn assert_fails(scope: &Scope) -> Findings {
    let found = scope.explore();
    println!("violated after {} states: {scope:?}", found.states);
    assert!(found.ran_twice || found.false_refusal, "{found:?}");
    found
}

/// A node crashes.
fn crash() -> Scope {
    Scope {
        crashes: 1,
        time: 4,
        ..Scope::new()
    }
}

/// The leader changes; the next leader's clock is ahead, and uncommitted commands may be lost.
fn election() -> Scope {
    Scope {
        elections: 1,
        time: 3,
        ..Scope::new()
    }
}

/// The send window is longer than the node waits for the claim's answer.
fn long_window() -> Scope {
    Scope {
        window: 2,
        time: 2,
        ..Scope::new()
    }
}

/// A key is sent three times.
fn three_sends() -> Scope {
    Scope {
        sends: 3,
        time: 1,
        ..Scope::new()
    }
}

/// Two keys are used, but the table has capacity for one.
fn full_table() -> Scope {
    Scope {
        keys: 2,
        sends: 3,
        capacity: 1,
        time: 0,
        ..Scope::new()
    }
}

#[test]
fn a_key_runs_at_most_once_if_a_node_crashes() {
    let outcomes = [
        Outcome::Answered,
        Outcome::NotRun,
        Outcome::Busy,
        Outcome::CutOff,
        Outcome::Unknown,
    ];
    let found = assert_holds(&crash(), &outcomes);
    assert!(found.states > 10_000);
}

#[test]
fn a_key_runs_at_most_once_if_the_leader_changes() {
    let found = assert_holds(
        &election(),
        &[Outcome::Answered, Outcome::Busy, Outcome::CutOff],
    );
    assert!(found.states > 10_000);
}

#[test]
fn a_key_sent_three_times_runs_at_most_once() {
    assert_holds(
        &three_sends(),
        &[
            Outcome::Answered,
            Outcome::NotRun,
            Outcome::Busy,
            Outcome::Unknown,
        ],
    );
}

#[test]
fn a_send_abandoned_before_its_window_ends_never_runs() {
    assert_holds(&long_window(), &[Outcome::Answered, Outcome::CutOff]);
}

#[test]
fn each_of_two_keys_runs_at_most_once_if_the_table_has_capacity_for_one() {
    assert_holds(&full_table(), &[Outcome::Answered, Outcome::Full]);
}

#[test]
fn without_claims_a_key_runs_twice() {
    let off = Scope {
        use_claims: false,
        ..crash()
    };
    assert!(assert_fails(&off).ran_twice);
}

#[test]
fn without_the_send_deadline_a_node_that_resumes_late_runs_a_key_again() {
    let guards = Guards {
        send_deadline: false,
        ..Guards::default()
    };
    assert!(assert_fails(&Scope { guards, ..crash() }).ran_twice);
    assert!(
        assert_fails(&Scope {
            guards,
            ..election()
        })
        .ran_twice
    );
}

#[test]
fn if_stale_claims_became_free_a_key_would_run_twice() {
    let off = Scope {
        spend_stale: false,
        ..crash()
    };
    assert!(assert_fails(&off).ran_twice);
}

#[test]
fn if_anyone_could_settle_a_key_would_run_twice() {
    let off = Scope {
        holder_only: false,
        ..three_sends()
    };
    assert!(assert_fails(&off).ran_twice);
}

#[test]
fn if_an_abandoned_claim_were_used_a_request_told_not_run_would_run() {
    let guards = Guards {
        abandon: false,
        ..Guards::default()
    };
    assert!(
        assert_fails(&Scope {
            guards,
            ..long_window()
        })
        .false_refusal
    );
}
