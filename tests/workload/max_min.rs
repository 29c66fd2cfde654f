//! Weighted max-min fairness, which allocates hosts to pools and capacity to workspaces.

use egretpin::core::workload::max_min::{Claim, divide};
use proptest::prelude::*;

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (0.5..8.0, 0..500_u64).prop_map(|(weight, amount)| Claim { weight, amount });
    prop::collection::vec(claim, 0..8)
}

proptest! {
    /// Guards against capacity that stays unused while a claimant lacks it, and against handing out
    /// more than there is.
    #[test]
    fn nothing_is_left_while_a_claim_is_unmet(total in 0..2000_u64, claims in claims()) {
        let granted = divide(total, &claims);
        let asked: u64 = claims.iter().map(|claim| claim.amount).sum();
        prop_assert_eq!(granted.iter().sum::<u64>(), total.min(asked));
    }

    /// Guards against a large claim that takes from a modest one.
    #[test]
    fn an_unmet_claim_is_at_least_as_well_off_as_any_other(total in 0..2000_u64, claims in claims()) {
        let granted = divide(total, &claims);
        let level = |ix: usize, more: u64| (granted[ix] + more) as f64 / claims[ix].weight;
        for ix in (0..claims.len()).filter(|ix| granted[*ix] < claims[*ix].amount) {
            for other in 0..claims.len() {
                let others = granted[other].saturating_sub(claims.len() as u64);
                let least = others as f64 / claims[other].weight;
                prop_assert!(level(ix, claims.len() as u64) >= least);
            }
        }
    }
}

#[test]
fn an_invalid_weight_counts_as_one() {
    let claims = [f64::NAN, 0.0, -1.0, 1.0].map(|weight| Claim {
        weight,
        amount: 100,
    });
    assert_eq!(divide(40, &claims), [10, 10, 10, 10]);
}
