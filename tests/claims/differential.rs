//! The table answers as one that knows nothing but the history of its operations.

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
    /// The stamps go on by so many seconds, or back: a new leader's clock is behind.
    Pass(i64),
    /// The table is written into an image and read back.
    Image,
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
    fn live(&mut self, terms: &Terms, claim: &Claim) -> Option<&mut Grant> {
        let clock = self.clock;
        let mut grants = self.grants.iter_mut().rev();
        grants.find(|grant| {
            let same = (&grant.claim.service, &grant.claim.key) == (&claim.service, &claim.key);
            same && !grant.freed && clock < grant.at + terms.keep
        })
    }

    fn count(&self, terms: &Terms, claim: &Claim) -> usize {
        let live = self.grants.iter().filter(|grant| {
            let kept = !grant.freed && self.clock < grant.at + terms.keep;
            kept && grant.claim.service == claim.service
        });
        live.count()
    }

    fn claim(&mut self, at: Wall, terms: &Terms, claim: &Claim) -> ClaimAnswer {
        self.clock = self.clock.max(at);
        let clock = self.clock;
        if let Some(grant) = self.live(terms, claim) {
            let busy = grant.at + terms.window + terms.run;
            return match grant {
                Grant { settled: true, .. } => ClaimAnswer::Spent,
                grant if grant.claim.holder == claim.holder => ClaimAnswer::Granted,
                _ if clock < busy => ClaimAnswer::Busy {
                    after: busy - clock,
                },
                _ => ClaimAnswer::Spent,
            };
        }
        if self.count(terms, claim) >= terms.keys as usize {
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
        let Some(grant) = self.live(terms, claim) else {
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
        4 => (-3..15_i64).prop_map(Op::Pass),
        1 => Just(Op::Image),
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
    fn the_table_answers_as_its_history_does(ops in prop::collection::vec(op(), 1..80)) {
        let terms = Terms::new(Duration::from_secs(5)).keep(Duration::from_secs(30)).keys(3);
        let mut real = Table::default();
        let mut naive = Naive::default();
        let mut at = Wall::from_secs(100);
        for op in ops {
            match op {
                Op::Claim(claim) => {
                    let answer = real.claim(at, &terms, &claim);
                    prop_assert_eq!(answer, naive.claim(at, &terms, &claim));
                    prop_assert_eq!(real.len(&claim.service), naive.count(&terms, &claim));
                }
                Op::Settle(claim, ran) => {
                    real.settle(at, &terms, &claim, ran);
                    naive.settle(at, &terms, &claim, ran);
                }
                Op::Expire => {
                    real.expire(at);
                    naive.clock = naive.clock.max(at);
                    prop_assert!(real.due().is_none_or(|due| due > naive.clock));
                }
                Op::Pass(seconds) => {
                    let step = Duration::from_secs(seconds.unsigned_abs());
                    at = if seconds < 0 { at.saturating_sub(step) } else { at + step };
                }
                Op::Image => {
                    let mut image = Vec::new();
                    ciborium::into_writer(&real, &mut image).unwrap();
                    let read: Table = ciborium::from_reader(&image[..]).unwrap();
                    prop_assert_eq!(&read, &real);
                    real = read;
                }
            }
        }
    }
}
