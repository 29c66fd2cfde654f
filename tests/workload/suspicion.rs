//! How much evidence convicts a task.

use std::time::Duration;

use egretpin::core::workload::suspicion::{Evidence, Own, decibans};

/// Evidence of hosts that ended beside others, each as unlikely as this by chance.
fn sudden(chances: &[f64]) -> Evidence {
    let mut evidence = Evidence::default();
    for chance in chances {
        evidence.note(0, Duration::from_millis(20));
        evidence.own.note(decibans(*chance), true);
    }
    evidence
}

#[test]
fn two_ends_convict_where_neither_can_be_chance() {
    assert!(sudden(&[0.0001, 0.0001]).is_conclusive(false));
    assert!(!sudden(&[0.0001]).is_conclusive(false));
    // The one that would prove the most doesn't count.
    assert!(!sudden(&[0.0001, 0.1]).is_conclusive(false));
    assert!(!sudden(&[0.1, 0.0001]).is_conclusive(false));
}

#[test]
fn more_ends_convict_where_each_may_be_chance() {
    assert!(!sudden(&[0.01, 0.01]).is_conclusive(false));
    assert!(sudden(&[0.01, 0.01, 0.01]).is_conclusive(false));
    assert!(!sudden(&[0.3; 4]).is_conclusive(false));
}

#[test]
fn a_short_task_is_given_up_before_users_count_another_start_against_us() {
    let most = usize::try_from(Own::MOST).unwrap();
    assert!(!sudden(&vec![1.0; most - 1]).is_conclusive(false));
    assert!(sudden(&vec![1.0; most]).is_conclusive(false));
    // Hosts end under all that lasts, sooner or later.
    assert!(!sudden(&vec![1.0; 2 * most]).is_conclusive(true));
}

/// A job failed though no host had ended under any of its tasks but once: three of them had been placed at
/// hosts that had ended before.
#[test]
fn nothing_is_convicted_by_hosts_that_it_may_not_have_begun_on() {
    let worked = Duration::from_millis(20);
    let mut evidence = Evidence::default();
    for chance in [1.0, 1.0, 0.0001, 0.0001] {
        evidence.note(decibans(chance), worked);
        evidence.own.note(decibans(chance), false);
    }
    assert!(evidence.is_suspect() && !evidence.is_conclusive(false));
    evidence.own.begun = 2;
    assert!(evidence.is_conclusive(false));
}
