//! The buffer: capacity held idle to keep promises.
//!
//! A pool needs `N` hosts to carry what its budgets ask for, one host for each minion needed. What
//! it holds above that is its *buffer*, counted in hosts. The promise that sizes it:
//!
//! > With any one rack in maintenance and any other rack lost, every budget still holds, all at
//! > once.
//!
//! [`size`] computes the buffer for a pool in three ways of holding it.
//!
//! - *Shared*: the spare hosts stand for all services of the pool; each runs an idle standby minion
//!   of every service. Whatever two racks hold between them, of whichever services, the spares left
//!   must replace it. So the buffer is the least `k` with `k >= top2(N + k)`, where `top2(n)` is
//!   what the two fullest racks hold when `n` hosts are spread evenly over the racks.
//! - *Spread*: each service has its own spares, but all its minions are spread over all racks, so
//!   that two racks hold few of them: the least `k` with `k >= top2(n + k)` for each service.
//! - *Packed*: each service has its own racks and its own spares, two racks of them. This is the
//!   static buffer per service, the baseline.
//!
//! Shared costs memory for the standbys and the idle hosts' processors; it is least when there are
//! many services for few racks. Spread needs nothing but an even spread, and is least when there
//! are more racks than a service needs minions and services are few. [`Size::least`] names the
//! smaller.
//!
//! ```
//! use egretpin::core::fleet::buffer::{Need, size};
//!
//! let racks = [4; 13];
//! let needs: Vec<_> = (0..5).map(|n| Need::new(format!("s{n}").into(), 6)).collect();
//! let size = size(&racks, &needs).unwrap();
//! assert_eq!((size.needed, size.shared, size.spread, size.packed), (30, 6, 10, 40));
//! ```

mod layout;

use snafu::Snafu;

use crate::core::types::ServiceId;

pub use self::layout::{Host, layout};

/// Hosts in each rack of a pool.
pub type Racks = [u32];

/// What a service needs of its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Need {
    /// The service.
    pub service: ServiceId,
    /// Minions that its budget asks for, one host each.
    pub minions: u32,
}

/// The buffer of a pool, in hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Size {
    /// Hosts that the budgets ask for.
    pub needed: u32,
    /// Spare hosts, if shared by all services.
    pub shared: u32,
    /// Spare hosts, if each service spreads its own over all racks.
    pub spread: u32,
    /// Spare hosts, if each service has its own racks.
    pub packed: u32,
    /// Each service's part, in the order of the needs.
    pub shares: Vec<Share>,
}

/// One service's part of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceId,
    /// Minions that its budget asks for.
    pub needed: u32,
    /// Its minions in the two racks that hold most of it, as [`layout`] deals them: what the shared
    /// spares must be able to replace for it.
    pub exposed: u32,
    /// Spares of its own, if it spreads them.
    pub spread: u32,
    /// Spares of its own, if it has its own racks.
    pub packed: u32,
}

/// Why a pool can't hold its promise.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum SizeError {
    /// Too few hosts, or too few racks.
    #[snafu(display(
        "{hosts} hosts in {racks} racks can't carry {needed} minions with two racks away; \
         add hosts in further racks or lower a budget"
    ))]
    TooSmall {
        /// Hosts of the pool.
        hosts: u32,
        /// Its racks.
        racks: usize,
        /// Minions that its budgets ask for.
        needed: u32,
    },
}

impl Need {
    /// A service that needs so many minions.
    pub fn new(service: ServiceId, minions: u32) -> Self {
        Self { service, minions }
    }
}

impl Size {
    /// The smaller of the shared and the spread buffer.
    pub fn least(&self) -> u32 {
        self.shared.min(self.spread)
    }
}

/// Computes the buffer of a pool.
///
/// # Errors
///
/// If the shared buffer doesn't fit into the racks. The other two are computed without regard to
/// whether they fit, as they are there for comparison.
pub fn size(racks: &Racks, needs: &[Need]) -> Result<Size, SizeError> {
    let needed = needs.iter().map(|need| need.minions).sum();
    let hosts = racks.iter().sum();
    let shared = spares(racks, needed).ok_or(SizeError::TooSmall {
        hosts,
        racks: racks.len(),
        needed,
    })?;
    let dealt = layout(racks, needs, shared);
    let shares: Vec<_> = needs
        .iter()
        .enumerate()
        .map(|(place, need)| Share {
            service: need.service.clone(),
            needed: need.minions,
            exposed: exposed(racks.len(), &dealt, place),
            spread: spares(racks, need.minions).unwrap_or(need.minions),
            packed: two_racks(racks, need.minions),
        })
        .collect();
    Ok(Size {
        needed,
        shared,
        spread: shares.iter().map(|share| share.spread).sum(),
        packed: shares.iter().map(|share| share.packed).sum(),
        shares,
    })
}

/// The fewest spares for `needed` hosts; `None` if the racks can't hold them.
///
/// Each round raises the spares to what the two fullest racks hold of the last round's total. As
/// that never shrinks with the total, the first standstill is the least solution.
fn spares(racks: &Racks, needed: u32) -> Option<u32> {
    let room: u32 = racks.iter().sum();
    let mut spares = 0;
    while needed + spares <= room {
        let away = layout::top_two(racks, needed + spares);
        if away <= spares {
            return Some(spares);
        }
        spares = away;
    }
    None
}

/// The hosts of the two largest racks, which a service that fills its own racks must hold spare.
fn two_racks(racks: &Racks, minions: u32) -> u32 {
    if minions == 0 {
        return 0;
    }
    let mut sizes = racks.to_vec();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes.iter().take(2).sum()
}

fn exposed(racks: usize, dealt: &[Host], place: usize) -> u32 {
    let mut counts = vec![0; racks];
    for host in dealt.iter().filter(|host| host.service == Some(place)) {
        counts[host.rack] += 1;
    }
    counts.sort_unstable_by(|a, b| b.cmp(a));
    counts.iter().take(2).sum()
}
