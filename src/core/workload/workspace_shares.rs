//! Fair shares of a pool between workspaces.
//!
//! Workspaces *contend* for a pool when they ask for more than it can do. Then each of them has a *share* of the
//! pool's capacity. It is first given what it is entitled to, as far as it asks for it: service for as many jobs
//! per second as its weight. What remains is divided by weight among those that ask for more. What a workspace
//! doesn't ask for goes to the others, so a share is never idle while anyone could use it. A workspace that has
//! more than its share is *beyond* it. Its surplus is refused first and started last.
//!
//! What a workspace asks for is the larger of two amounts: what it has now, and what it is expected to have by the
//! jobs that it has recently offered ([`RecentOffers`]). So a workspace that sends few jobs keeps its part from
//! one job to the next, instead of finding it lent out to others.
//!
//! The unit is that of the capacity: thousandths of a core, or thousandths of a core times milliseconds if the
//! question is which work can be done in a time. Jobs without a workspace count as one workspace.
//!
//! ```
//! use egretpin::core::workload::workspace_shares::{Shares, Standing, Usage};
//!
//! let usage = |weight, held| Usage { weight, held, ..Usage::default() };
//! let (calm, busy) = (Some("calm".into()), Some("busy".into()));
//! let usages = [(calm.clone(), usage(1.0, 20)), (busy.clone(), usage(1.0, 300))];
//!
//! // All that is asked for fits, so nobody is beyond a share.
//! assert!(!Shares::new(400, usages.clone()).is_contended());
//!
//! let shares = Shares::new(100, usages);
//! assert!(shares.is_contended());
//! // The calm workspace has all it asks for, and the busy one gets the rest.
//! assert_eq!((shares.share(&calm), shares.share(&busy)), (20, 80));
//! assert_eq!(shares.beyond().collect::<Vec<_>>(), [(&busy, 220)]);
//! // One more job of the calm one is within its half, and none of the busy one is.
//! assert_eq!(shares.judge(&calm, 1.0, 30), Standing::Within);
//! assert_eq!(shares.judge(&busy, 1.0, 30), Standing::Beyond);
//! ```

use std::{collections::BTreeMap, time::Duration};

use super::max_min::{Claim, divide};
use crate::core::types::{Now, WorkspaceId};

/// The workspace that jobs belong to; `None` stands for all jobs without one.
pub type Owner = Option<WorkspaceId>;

/// The time after which an offered job counts a third. A workspace of weight 1 may rely on one job per second, so
/// most of its part has to last for longer than that. A surge lasts some seconds.
const OFFER_MEMORY: Duration = Duration::from_secs(3);

/// What a workspace has of a pool and may ask for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Its share relative to the others. A weight that isn't positive and finite counts as 1.
    pub weight: f64,
    /// What its accepted jobs have or wait for.
    pub held: u64,
    /// What it is expected to have by its recent offers.
    pub expected: u64,
    /// What it gets before anyone gets more than that.
    pub entitled: u64,
}

impl Usage {
    /// What it asks for.
    fn asked(&self) -> u64 {
        self.held.max(self.expected)
    }
}

/// How a workspace stands to its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// All that is asked for fits, so there are no shares.
    Uncontended,
    /// It has at most its share.
    Within,
    /// It has more than its share.
    Beyond,
}

/// The shares of the workspaces of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    capacity: u64,
    usages: BTreeMap<Owner, Usage>,
    /// Empty unless they contend.
    shares: BTreeMap<Owner, u64>,
}

impl Shares {
    /// Divides a capacity among workspaces.
    pub fn new(capacity: u64, usages: impl IntoIterator<Item = (Owner, Usage)>) -> Self {
        let usages: BTreeMap<_, _> = usages.into_iter().collect();
        let shares = if is_contended(capacity, &usages) {
            divide_capacity(capacity, &usages)
        } else {
            BTreeMap::new()
        };
        Self {
            capacity,
            usages,
            shares,
        }
    }

    /// Whether more is asked for than there is.
    pub fn is_contended(&self) -> bool {
        !self.shares.is_empty()
    }

    /// What a workspace may have; everything, unless the workspaces contend.
    pub fn share(&self, owner: &Owner) -> u64 {
        if self.is_contended() {
            self.shares.get(owner).copied().unwrap_or_default()
        } else {
            u64::MAX
        }
    }

    /// The workspaces beyond their shares, and by how much.
    pub fn beyond(&self) -> impl Iterator<Item = (&Owner, u64)> {
        self.usages.iter().filter_map(|(owner, usage)| {
            let surplus = usage.held.saturating_sub(self.share(owner));
            (surplus > 0).then_some((owner, surplus))
        })
    }

    /// How a workspace would stand with so much more. `weight` counts if nothing is known of the workspace.
    ///
    /// One that has nothing else is always within its share. Otherwise a job that is larger than a small share
    /// would never be accepted.
    pub fn judge(&self, owner: &Owner, weight: f64, more: u64) -> Standing {
        let known = self.usages.get(owner).copied();
        let mut usage = known.unwrap_or(Usage {
            weight,
            ..Usage::default()
        });
        let has_more = usage.held > 0;
        usage.held = usage.held.saturating_add(more);
        let mut usages = self.usages.clone();
        usages.insert(owner.clone(), usage);
        let shares = Self::new(self.capacity, usages);
        if !shares.is_contended() {
            Standing::Uncontended
        } else if has_more && usage.held > shares.share(owner) {
            Standing::Beyond
        } else {
            Standing::Within
        }
    }
}

fn is_contended(capacity: u64, usages: &BTreeMap<Owner, Usage>) -> bool {
    let asked = usages.values().map(Usage::asked);
    asked.fold(0, u64::saturating_add) > capacity
}

/// Divides a capacity that is too small for all: first up to what each workspace is entitled to, then the rest.
fn divide_capacity(capacity: u64, usages: &BTreeMap<Owner, Usage>) -> BTreeMap<Owner, u64> {
    let claims = |amount: fn(&Usage) -> u64| {
        let claim = |usage: &Usage| Claim {
            weight: usage.weight,
            amount: amount(usage),
        };
        usages.values().map(claim).collect::<Vec<_>>()
    };
    let entitled = divide(capacity, &claims(|usage| usage.asked().min(usage.entitled)));
    let left = capacity - entitled.iter().sum::<u64>();
    let surplus = divide(
        left,
        &claims(|usage| usage.asked().saturating_sub(usage.entitled)),
    );
    let shares = entitled.into_iter().zip(surplus);
    let shares = shares.map(|(entitled, surplus)| entitled + surplus);
    usages.keys().cloned().zip(shares).collect()
}

/// The jobs that a workspace has recently offered, whether or not they were accepted.
///
/// ```
/// use std::time::Duration;
///
/// use egretpin::core::workload::workspace_shares::RecentOffers;
///
/// let second = Duration::from_secs(1);
/// let mut offers = RecentOffers::default();
/// (1..=20).for_each(|now| offers.record(second * now, Duration::ZERO, 600.0));
/// let rate = offers.rate(second * 20);
/// assert!((0.4..0.9).contains(&rate), "about 600 a second, and so 0.6 a millisecond: {rate}");
/// assert!((offers.mean() - 600.0).abs() < 0.001);
/// assert!(offers.rate(second * 40) < 0.01);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecentOffers {
    /// The number of jobs and their work, decayed.
    jobs: f64,
    work: f64,
    updated_at: Now,
}

impl RecentOffers {
    /// Records a job that was offered so long before `now`.
    pub fn record(&mut self, now: Now, age: Duration, work: f64) {
        let (before, own) = (decay(now.saturating_sub(self.updated_at)), decay(age));
        self.jobs = self.jobs * before + own;
        self.work = self.work * before + work * own;
        self.updated_at = now;
    }

    /// The work that was offered per millisecond.
    pub fn rate(&self, now: Now) -> f64 {
        let part = decay(now.saturating_sub(self.updated_at));
        self.work * part / (OFFER_MEMORY.as_secs_f64() * 1000.0)
    }

    /// The mean work of a job; 0 if none was offered.
    pub fn mean(&self) -> f64 {
        if self.jobs > 0.0 {
            self.work / self.jobs
        } else {
            0.0
        }
    }
}

/// The part that an offer of this age still counts.
fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / OFFER_MEMORY.as_secs_f64()).exp()
}
