//! Compares the table with a simple model that keeps every grant and computes each answer from
//! them.

use std::time::Duration;

use egretpin::core::{
    claims::{Claim, Holder, Table, Terms},
    dispatch::ClaimAnswer,
    types::Wall,
};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Op {
    Claim(Claim),
    Settle(Claim, bool),
    Expire,
    /// The leader's time moves by this many seconds; backwards if a new leader's clock is behind.
    Advance(i64),
    /// The table is written to a snapshot and read back.
    Snapshot,
}

/// Every grant ever made, in order.
#[derive(Default)]
struct Naive {
    clock: Wall,
    grants: Vec<Grant>,
}

struct Grant {
    claim: Claim,
    at: Wall,
    settled: bool,
    freed: bool,
}

impl Naive {
    fn live_grant(&mut self, terms: &Terms, claim: &Claim) -> Option<&mut Grant> {
        let clock = self.clock;
        let mut grants = self.grants.iter_mut().rev();
        grants.find(|grant| {
            let same = (&grant.claim.service, &grant.claim.key) == (&claim.service, &claim.key);
            same && !grant.freed && clock < grant.at + terms.retention
        })
    }

    fn live_count(&self, terms: &Terms, claim: &Claim) -> usize {
        let live = self.grants.iter().filter(|grant| {
            let kept = !grant.freed && self.clock < grant.at + terms.retention;
            kept && grant.claim.service == claim.service
        });
        live.count()
    }

    fn claim(&mut self, at: Wall, terms: &Terms, claim: &Claim) -> ClaimAnswer {
        self.clock = self.clock.max(at);
        let clock = self.clock;
        if let Some(grant) = self.live_grant(terms, claim) {
            let busy = grant.at + terms.window + terms.max_run;
            return match grant {
                Grant { settled: true, .. } => ClaimAnswer::Spent,
                grant if grant.claim.holder == claim.holder => ClaimAnswer::Granted,
                _ if clock < busy => ClaimAnswer::Busy {
                    after: busy - clock,
                },
                _ => ClaimAnswer::Spent,
            };
        }
        if self.live_count(terms, claim) >= terms.max_keys as usize {
            return ClaimAnswer::Full;
        }
        self.grants.push(Grant {
            claim: claim.clone(),
            at: clock,
            settled: false,
            freed: false,
        });
        ClaimAnswer::Granted
    }

    fn settle(&mut self, at: Wall, terms: &Terms, claim: &Claim, ran: bool) {
        self.clock = self.clock.max(at);
        let Some(grant) = self.live_grant(terms, claim) else {
            return;
        };
        if grant.claim.holder == claim.holder {
            grant.settled |= ran;
            grant.freed = !grant.settled;
        }
    }
}

fn claim() -> impl Strategy<Value = Claim> {
    (1..3_u64, 1..4_u64, 0..2_usize, 0..4_usize).prop_map(|(node, request, service, key)| Claim {
        holder: Holder {
            node,
            boot: 1,
            request,
        },
        service: ["s", "t"][service].into(),
        key: ["k", "l", "m", "n"][key].into(),
    })
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => claim().prop_map(Op::Claim),
        4 => (claim(), any::<bool>()).prop_map(|(claim, ran)| Op::Settle(claim, ran)),
        1 => Just(Op::Expire),
        4 => (-3..15_i64).prop_map(Op::Advance),
        1 => Just(Op::Snapshot),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_table_agrees_with_a_model_of_its_history(ops in prop::collection::vec(op(), 1..80)) {
        let terms = Terms::new(Duration::from_secs(5))
            .retention(Duration::from_secs(30))
            .max_keys(3);
        let mut real = Table::default();
        let mut naive = Naive::default();
        let mut at = Wall::from_secs(100);
        for op in ops {
            match op {
                Op::Claim(claim) => {
                    let answer = real.claim(at, &terms, &claim);
                    prop_assert_eq!(answer, naive.claim(at, &terms, &claim));
                    prop_assert_eq!(real.len(&claim.service), naive.live_count(&terms, &claim));
                }
                Op::Settle(claim, ran) => {
                    real.settle(at, &terms, &claim, ran);
                    naive.settle(at, &terms, &claim, ran);
                }
                Op::Expire => {
                    real.expire(at);
                    naive.clock = naive.clock.max(at);
                    prop_assert!(real.next_expiry().is_none_or(|due| due > naive.clock));
                }
                Op::Advance(seconds) => {
                    let step = Duration::from_secs(seconds.unsigned_abs());
                    at = if seconds < 0 { at.saturating_sub(step) } else { at + step };
                }
                Op::Snapshot => {
                    let mut snapshot = Vec::new();
                    ciborium::into_writer(&real, &mut snapshot).unwrap();
                    let restored: Table = ciborium::from_reader(&snapshot[..]).unwrap();
                    prop_assert_eq!(&restored, &real);
                    real = restored;
                }
            }
        }
    }
}
