//! The allocation of a scarce fleet to pools, by claims alone.

use egretpin::core::workload::scheduler::allocation::{Claim, Rounds, allocate, is_scarce};
use proptest::prelude::*;

/// More hosts than any of the claims here asks for.
const AMPLE: usize = 10_000;

fn claim(lasting: usize, timely: usize, expected: usize, late: usize, held: usize) -> Claim {
    let rounds = Rounds {
        lasting,
        timely,
        expected,
        late,
    };
    Claim {
        rounds,
        held,
        ..Claim::default()
    }
}

/// The whole need of a pool.
fn total(claim: &Claim) -> usize {
    let Rounds {
        lasting,
        timely,
        expected,
        late,
    } = claim.rounds;
    lasting + timely + expected + late
}

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let parts = (
        1..20_usize,
        0..60_usize,
        0..60_usize,
        0..200_usize,
        0..100_usize,
    );
    let claim = parts.prop_map(|(a, b, c, d, held)| claim(a, b, c, d, held));
    prop::collection::vec(claim, 1..6)
}

/// The targets of pools that already have more than their shares, so that no margin applies.
fn shares(hosts: usize, claims: &[Claim]) -> Vec<usize> {
    let claims = claims.iter().map(|claim| Claim {
        held: AMPLE,
        ..*claim
    });
    allocate(hosts, &claims.collect::<Vec<_>>())
}

/// Moves hosts from pools above their targets to pools below them. Returns how many.
fn rebalance(hosts: usize, claims: &mut [Claim]) -> usize {
    let targets = allocate(hosts, claims);
    let mut moves = 0;
    let short = |claims: &[Claim]| (0..targets.len()).find(|ix| claims[*ix].held < targets[*ix]);
    while let Some(to) = short(claims) {
        let Some(from) = (0..targets.len()).find(|ix| claims[*ix].held > targets[*ix]) else {
            break;
        };
        claims[from].held -= 1;
        claims[to].held += 1;
        moves += 1;
    }
    moves
}

proptest! {
    /// Guards against decisions that change where there are enough hosts for all.
    #[test]
    fn claims_that_fit_are_the_targets(claims in claims()) {
        let needs: Vec<_> = claims.iter().map(total).collect();
        prop_assert_eq!(allocate(needs.iter().sum(), &claims), needs);
    }

    /// Guards against hosts that stay unused or are promised twice in a scarce fleet.
    #[test]
    fn a_scarce_fleet_is_allocated_whole(hosts in 0..400_usize, claims in claims()) {
        prop_assume!(is_scarce(hosts, &claims));
        let targets = shares(hosts, &claims);
        prop_assert_eq!(targets.iter().sum::<usize>(), hosts);
        for (claim, target) in claims.iter().zip(targets) {
            prop_assert!(target <= total(claim));
        }
    }

    /// Guards against batch work that takes the hosts of long-running tasks or a pool's only host.
    #[test]
    fn long_running_tasks_come_first(hosts in 0..400_usize, claims in claims()) {
        let lasting: usize = claims.iter().map(|claim| claim.rounds.lasting).sum();
        prop_assume!(lasting <= hosts);
        for (claim, target) in claims.iter().zip(allocate(hosts, &claims)) {
            prop_assert!(target >= claim.rounds.lasting || target >= claim.held);
            prop_assert!(shares(hosts, &claims).iter().sum::<usize>() >= lasting);
        }
    }

    /// Guards against late work that takes hosts from work that can be in time.
    #[test]
    fn late_work_takes_nothing_from_work_in_time(
        hosts in 0..400_usize, claims in claims(), late in 0..1000_usize,
    ) {
        prop_assume!(is_scarce(hosts, &claims));
        let before = shares(hosts, &claims);
        let mut other = claims.clone();
        other[0].rounds.late += late;
        for (ix, (before, after)) in before.into_iter().zip(shares(hosts, &other)).enumerate().skip(1) {
            let Rounds { lasting, timely, expected, .. } = claims[ix].rounds;
            prop_assert!(after >= before.min(lasting + timely + expected));
        }
    }

    /// Guards against a forecast that takes hosts from another pool's work in time.
    #[test]
    fn a_forecast_takes_nothing_from_work_in_time(
        hosts in 0..400_usize, claims in claims(), growth in 0..1000_usize,
    ) {
        prop_assume!(is_scarce(hosts, &claims));
        let before = shares(hosts, &claims);
        let mut other = claims.clone();
        other[0].rounds.expected += growth;
        for (ix, (before, after)) in before.into_iter().zip(shares(hosts, &other)).enumerate().skip(1) {
            let Rounds { lasting, timely, .. } = claims[ix].rounds;
            prop_assert!(after >= before.min(lasting + timely));
        }
    }

    /// Guards against hosts that move back and forth as a claim varies by one host.
    #[test]
    fn a_claim_that_varies_slightly_moves_no_host_back(
        hosts in 20..400_usize, claims in claims(), pool in 0..6_usize,
    ) {
        let pool = pool % claims.len();
        let mut claims = claims;
        prop_assume!(is_scarce(hosts, &claims));
        claims.iter_mut().for_each(|claim| claim.held = 0);
        claims[0].held = hosts;
        for _ in 0..4 {
            rebalance(hosts, &mut claims);
            claims[pool].rounds.timely += 1;
            rebalance(hosts, &mut claims);
            claims[pool].rounds.timely -= 1;
        }
        let before = claims.clone();
        for _ in 0..4 {
            prop_assert_eq!(rebalance(hosts, &mut claims), 0, "{:?}", before);
            claims[pool].rounds.timely += 1;
            prop_assert_eq!(rebalance(hosts, &mut claims), 0, "{:?}", before);
            claims[pool].rounds.timely -= 1;
        }
    }
}

/// Guards against a pool whose work is late and that keeps its hosts while another's can be in time.
#[test]
fn a_pool_whose_work_is_late_gives_its_hosts_up() {
    let late = claim(1, 0, 0, 99, 19);
    let timely = claim(1, 11, 3, 0, 1);
    assert_eq!(allocate(20, &[late, timely]), [5, 15]);
}

/// Guards against a pool that lacks a single host for work in time, which the margin would deny it.
#[test]
fn work_in_time_gets_even_one_host_from_late_work() {
    let late = claim(1, 0, 0, 99, 19);
    let timely = claim(1, 1, 0, 0, 1);
    assert_eq!(allocate(20, &[late, timely]), [18, 2]);
    // Without late work the margin applies.
    let busy = claim(1, 99, 0, 0, 19);
    let timely = claim(1, 1, 0, 0, 1);
    assert_eq!(allocate(20, &[busy, timely]), [18, 1]);
}

/// Guards against a pool that takes a fleet because it asks for more than the others.
#[test]
fn work_in_time_is_shared_by_max_min_fairness() {
    let claims = [
        claim(1, 400, 0, 0, 0),
        claim(1, 40, 0, 0, 0),
        claim(1, 400, 0, 0, 0),
    ];
    assert_eq!(shares(203, &claims), [81, 41, 81]);
}

/// Guards against a pool without work that takes a host from another's work, and one that loses its
/// last host to late work.
#[test]
fn a_pool_without_work_keeps_its_last_host_and_takes_none() {
    let busy = claim(1, 5, 0, 9, 3);
    assert_eq!(allocate(3, &[claim(0, 0, 0, 0, 0), busy]), [0, 3]);
    assert_eq!(allocate(4, &[claim(0, 0, 0, 0, 1), busy]), [1, 3]);
}

/// Guards against ties that are broken by the order in which pools are listed.
#[test]
fn the_priority_breaks_ties() {
    let first = Claim {
        priority: 2,
        ..claim(1, 10, 0, 0, 0)
    };
    let second = Claim {
        priority: 1,
        ..claim(1, 10, 0, 0, 0)
    };
    assert_eq!(shares(9, &[first, second]), [4, 5]);
    assert_eq!(shares(9, &[second, first]), [5, 4]);
}

/// Guards against an invalid number that stops the allocation.
#[test]
fn an_invalid_weight_counts_as_one() {
    let invalid = Claim {
        weight: f64::NAN,
        ..claim(1, 10, 0, 0, 0)
    };
    assert_eq!(shares(12, &[invalid, claim(1, 10, 0, 0, 0)]), [6, 6]);
    assert_eq!(allocate(5, &[]), [0; 0]);
}
