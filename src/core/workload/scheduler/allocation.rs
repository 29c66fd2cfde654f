//! Allocates the hosts of a fleet to its pools when there are too few for all of them.
//!
//! Each pool makes a *claim*: the hosts that it needs, by the value of what they would run. Hosts
//! are allocated in four rounds. The first is for what must run: the hosts of long-running tasks,
//! and one host for each pool that has work or that has a host already. Then come work that can still be in time, growth that is extrapolated from
//! it, and late work, of which each job is worth a small part of one in time. Within a round, hosts
//! are divided by weighted max-min fairness, so that a pool with a large claim takes nothing from
//! one within its share.
//!
//! The result is a *target* for each pool. A move costs a host the time of several tasks, so a pool
//! that is only slightly below its target keeps what it has. Otherwise noise in the claims would
//! move hosts back and forth.
//!
//! This module knows neither hosts nor orders. It is computed anew at each check of the pools.
//!
//! ```
//! use egretpin::core::workload::scheduler::allocation::{Claim, Rounds, allocate};
//!
//! // The work of the first pool is late, that of the second can be in time.
//! let late = Claim { rounds: Rounds { lasting: 1, late: 39, ..Rounds::default() }, held: 19, ..Claim::default() };
//! let timely = Claim { rounds: Rounds { lasting: 1, timely: 11, ..Rounds::default() }, held: 1, ..Claim::default() };
//! assert_eq!(allocate(20, &[late, timely]), [8, 12]);
//! // With enough hosts both get what they need.
//! assert_eq!(allocate(60, &[late, timely]), [40, 12]);
//! ```

use crate::core::workload::max_min::{self, divide};

/// A pool below its target by at most one part in this many isn't given hosts. The claims of a pool
/// in a steady state vary by about that much from check to check, as jobs arrive in bursts.
const MARGIN_DIVISOR: usize = 10;
/// The least margin, in hosts: claims are rounded up to whole hosts, so that each may vary by one.
const MIN_MARGIN: usize = 1;

/// What a pool asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// The hosts that it needs. Their sum is its whole need.
    pub rounds: Rounds,
    /// The hosts that it has or is about to get.
    pub held: usize,
    /// The value of a core-second to its callers, relative to other pools.
    pub weight: f64,
    /// Which of several equal pools gets a host that can't be divided: the one with the lowest
    /// number.
    pub priority: u32,
}

/// The hosts that a pool needs, in the order in which they are allocated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rounds {
    /// For long-running tasks, and at least one if there is any work.
    pub lasting: usize,
    /// In addition, for batch work that can be in time: running, waiting and arriving.
    pub timely: usize,
    /// In addition, for the growth of that work and for gaps between tasks.
    pub expected: usize,
    /// In addition, for batch work that can't be in time any more.
    pub late: usize,
}

impl Default for Claim {
    fn default() -> Self {
        Self {
            rounds: Rounds::default(),
            held: 0,
            weight: 1.0,
            priority: 0,
        }
    }
}

impl Rounds {
    /// The whole need.
    fn total(self) -> usize {
        self.each().into_iter().sum()
    }

    /// The needs in the order of their rounds.
    fn each(self) -> [usize; 4] {
        let Self {
            lasting,
            timely,
            expected,
            late,
        } = self;
        [lasting, timely, expected, late]
    }
}

/// Whether the claims exceed the hosts that there are.
pub fn is_scarce(hosts: usize, claims: &[Claim]) -> bool {
    let needs = claims.iter().map(|claim| claim.need().total());
    needs.sum::<usize>() > hosts
}

/// How many hosts each pool should have, in the order of the claims. What a pool needs if there are
/// enough hosts for all.
pub fn allocate(hosts: usize, claims: &[Claim]) -> Vec<usize> {
    if !is_scarce(hosts, claims) {
        return claims.iter().map(|claim| claim.need().total()).collect();
    }
    let shares = shares(hosts, claims);
    let targets = (0..claims.len()).map(|ix| damp(claims, &shares, ix));
    targets.collect()
}

/// What a pool is granted.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// In the first round.
    lasting: usize,
    /// In the first two rounds.
    timely: usize,
    /// In all rounds.
    all: usize,
}

/// Divides the hosts among the claims, one round after the other.
fn shares(hosts: usize, claims: &[Claim]) -> Vec<Share> {
    // Of equal claims, an earlier one gets what rounding leaves.
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|ix| claims[*ix].priority);
    let mut left = hosts;
    let mut shares = vec![Share::default(); claims.len()];
    for round in 0..Rounds::default().each().len() {
        let asked = order.iter().map(|ix| max_min::Claim {
            weight: claims[*ix].weight,
            amount: to_amount(claims[*ix].need().each()[round]),
        });
        let asked: Vec<_> = asked.collect();
        for (ix, granted) in order.iter().zip(divide(to_amount(left), &asked)) {
            let granted = usize::try_from(granted).unwrap_or(usize::MAX);
            shares[*ix].add(round, granted);
            left -= granted;
        }
    }
    shares
}

impl Share {
    /// Adds what a round grants.
    fn add(&mut self, round: usize, hosts: usize) {
        let Self {
            lasting,
            timely,
            all,
        } = self;
        *all += hosts;
        match round {
            0 => (*lasting, *timely) = (hosts, hosts),
            1 => *timely += hosts,
            _ => (),
        }
    }
}

/// The target of a pool: its share, or what it has if it lacks no more than the margin.
///
/// There is no margin for hosts that must run, nor for work in time while another pool has hosts
/// for late work. That other pool takes none back within its own margin.
fn damp(claims: &[Claim], shares: &[Share], ix: usize) -> usize {
    let (held, share) = (claims[ix].held, shares[ix]);
    let lacks_timely = held < share.timely;
    let taken_by_late = || claims.iter().zip(shares).any(|(c, s)| c.spends_on_late(s));
    let margin = (share.all / MARGIN_DIVISOR).max(MIN_MARGIN);
    if held < share.lasting || (lacks_timely && taken_by_late()) {
        return share.all;
    }
    if held + margin >= share.all {
        held.min(share.all)
    } else {
        share.all
    }
}

impl Claim {
    /// What it needs, including its last host if it has no work. Otherwise its next job would wait
    /// for a move.
    fn need(&self) -> Rounds {
        let Rounds { lasting, .. } = self.rounds;
        let last = self.held.min(1);
        Rounds {
            lasting: if self.rounds.total() == 0 {
                last
            } else {
                lasting
            },
            ..self.rounds
        }
    }

    /// Whether it has hosts for late work beyond all that it needs for work in time.
    fn spends_on_late(&self, share: &Share) -> bool {
        let Rounds {
            lasting,
            timely,
            late,
            ..
        } = self.rounds;
        late > 0 && share.timely == lasting + timely && self.held > share.timely
    }
}

fn to_amount(hosts: usize) -> u64 {
    u64::try_from(hosts).unwrap_or(u64::MAX)
}
