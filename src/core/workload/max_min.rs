//! Divides a scarce amount by weighted max-min fairness.
//!
//! Each claimant gets what it asks for, as long as that is at most its share by weight. What the
//! modest ones leave is shared among the others in the same way, until nothing is left or nobody
//! asks for more.
//!
//! ```
//! use egretpin::core::workload::max_min::{Claim, divide};
//!
//! let claims = [(1.0, 10), (1.0, 60), (2.0, 200)];
//! let claims = claims.map(|(weight, amount)| Claim { weight, amount });
//! // The first gets all it asks for; the others share the remaining 90 by weight.
//! assert_eq!(divide(100, &claims), [10, 30, 60]);
//! assert_eq!(divide(300, &claims), [10, 60, 200]);
//! ```

/// What one claimant asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Its share relative to the others. A weight that isn't positive and finite counts as 1.
    pub weight: f64,
    /// The most that it can use.
    pub amount: u64,
}

impl Claim {
    fn weight(&self) -> f64 {
        if self.weight.is_finite() && self.weight > 0.0 {
            self.weight
        } else {
            1.0
        }
    }

    /// The amount for each unit of weight.
    fn level(&self) -> f64 {
        self.amount as f64 / self.weight()
    }
}

/// Divides `total` among the claims. Returns the amount that each of them gets, in their order.
///
/// The amounts are integers. What rounding leaves goes to the claims that are furthest below their
/// share, the earlier one first among equals, so that the result is the same in every run.
pub fn divide(total: u64, claims: &[Claim]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|a, b| claims[*a].level().total_cmp(&claims[*b].level()));
    let mut granted = vec![0; claims.len()];
    let mut left = total;
    let mut weight: f64 = claims.iter().map(Claim::weight).sum();
    let mut unmet = order.as_slice();
    while let [ix, rest @ ..] = unmet {
        let claim = &claims[*ix];
        if claim.level() > left as f64 / weight || claim.amount > left {
            break;
        }
        granted[*ix] = claim.amount;
        left -= claim.amount;
        weight -= claim.weight();
        unmet = rest;
    }
    // None of the others can have all that it asks for.
    let level = left as f64 / weight;
    for ix in unmet {
        let share = (level * claims[*ix].weight()).floor() as u64;
        granted[*ix] = share.min(claims[*ix].amount).min(left);
        left -= granted[*ix];
    }
    hand_out(left, claims, &mut granted);
    granted
}

/// Hands out what rounding left, one unit at a time.
fn hand_out(mut left: u64, claims: &[Claim], granted: &mut [u64]) {
    while left > 0 {
        let unmet = (0..claims.len()).filter(|ix| granted[*ix] < claims[*ix].amount);
        let level = |ix: &usize| granted[*ix] as f64 / claims[*ix].weight();
        let Some(ix) = unmet.min_by(|a, b| level(a).total_cmp(&level(b))) else {
            return;
        };
        granted[ix] += 1;
        left -= 1;
    }
}
