//! How much evidence makes a task a poison task.

use std::time::Duration;

use egretpin::core::workload::suspicion::{Evidence, OwnEvidence, decibans};

/// Evidence of crashes soon after the task started beside others, one for each probability that it is chance.
fn early_crashes(chances: &[f64]) -> Evidence {
    let mut evidence = Evidence::default();
    for chance in chances {
        evidence.record(0, Duration::from_millis(20));
        evidence.own.record(decibans(*chance), true);
    }
    evidence
}

#[test]
fn two_crashes_are_conclusive_if_neither_can_be_chance() {
    assert!(early_crashes(&[0.0001, 0.0001]).is_conclusive(false));
    assert!(!early_crashes(&[0.0001]).is_conclusive(false));
    // The crash with the highest weight doesn't count.
    assert!(!early_crashes(&[0.0001, 0.1]).is_conclusive(false));
    assert!(!early_crashes(&[0.1, 0.0001]).is_conclusive(false));
}

#[test]
fn more_crashes_are_conclusive_if_each_may_be_chance() {
    assert!(!early_crashes(&[0.01, 0.01]).is_conclusive(false));
    assert!(early_crashes(&[0.01, 0.01, 0.01]).is_conclusive(false));
    assert!(!early_crashes(&[0.3; 4]).is_conclusive(false));
}

#[test]
fn a_batch_task_fails_before_it_starts_more_often_than_users_accept() {
    let most = usize::try_from(OwnEvidence::MAX_HOSTS).unwrap();
    assert!(!early_crashes(&vec![1.0; most - 1]).is_conclusive(false));
    assert!(early_crashes(&vec![1.0; most]).is_conclusive(false));
    // Sooner or later hosts crash under every long-running task.
    assert!(!early_crashes(&vec![1.0; 2 * most]).is_conclusive(true));
}

/// A job failed as poison although at most one host had crashed under each of its tasks: three of the tasks had
/// been placed at hosts that had crashed before.
#[test]
fn crashes_are_not_conclusive_if_the_task_may_not_have_started() {
    let run_time = Duration::from_millis(20);
    let mut evidence = Evidence::default();
    for chance in [1.0, 1.0, 0.0001, 0.0001] {
        evidence.record(decibans(chance), run_time);
        evidence.own.record(decibans(chance), false);
    }
    assert!(evidence.is_suspect() && !evidence.is_conclusive(false));
    evidence.own.started = 2;
    assert!(evidence.is_conclusive(false));
}
