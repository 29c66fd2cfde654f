//! The counts of one service.

use std::collections::BTreeMap;

use crate::core::types::{HostId, Map, Now, PoolId, RackId, ServiceId};

use super::Blocked;

/// Returns looked at for an estimate; a service that lacks more than these are due is told
/// nothing rather than made to wait for the sum.
const LOOKAHEAD: usize = 64;

/// How a minion counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// Confirmed, on a host that is up.
    Available,
    /// On a host that is up, but not heard.
    Unconfirmed,
    /// On a host that is expected to count from then on.
    Due(Now),
    /// On a host with no known return.
    Away,
    /// On a host of another pool than its service's.
    Foreign,
}

/// How a service stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Minions available now.
    pub available: u32,
    /// Minions that the budget asks for.
    pub needed: u32,
    /// Minions in its largest rack.
    pub reserve: u32,
    /// Minions on hosts that are up, but unconfirmed.
    pub unconfirmed: u32,
}

/// Counts of one service, kept per rack and by size of rack.
#[derive(Clone, Debug)]
pub(super) struct Ledger {
    pool: PoolId,
    needed: u32,
    /// Minions heard since this process began to count, in whatever state, in the right pool.
    known: u32,
    available: u32,
    unconfirmed: u32,
    racks: Map<RackId, u32>,
    /// How many racks hold exactly so many available minions; none holds zero.
    sizes: BTreeMap<u32, u32>,
    /// Minions that are expected to count again, by time and host.
    returns: BTreeMap<(Now, HostId), u32>,
}

impl Room {
    /// Minions above what the budget and its reserve ask for; negative if they don't hold.
    pub fn spare(&self) -> i64 {
        i64::from(self.available) - i64::from(self.needed) - i64::from(self.reserve)
    }
}

impl Ledger {
    pub(super) fn new(pool: PoolId, needed: u32) -> Self {
        Self {
            pool,
            needed,
            known: 0,
            available: 0,
            unconfirmed: 0,
            racks: Map::default(),
            sizes: BTreeMap::new(),
            returns: BTreeMap::new(),
        }
    }

    pub(super) fn pool(&self) -> &PoolId {
        &self.pool
    }

    pub(super) fn need(&mut self, needed: u32) {
        self.needed = needed;
    }

    /// Whether too few minions have been heard for anyone to say where they are.
    pub(super) fn is_unheard(&self) -> bool {
        self.known < self.needed
    }

    pub(super) fn add(&mut self, standing: Standing, rack: &RackId, host: &HostId) {
        self.known += u32::from(standing != Standing::Foreign);
        match standing {
            Standing::Available => {
                self.available += 1;
                let old = self.racks.get(rack).copied().unwrap_or(0);
                self.resize(rack, old, old + 1);
            }
            Standing::Unconfirmed => self.unconfirmed += 1,
            Standing::Due(at) => *self.returns.entry((at, host.clone())).or_default() += 1,
            Standing::Away | Standing::Foreign => {}
        }
    }

    pub(super) fn remove(&mut self, standing: Standing, rack: &RackId, host: &HostId) {
        self.known -= u32::from(standing != Standing::Foreign);
        match standing {
            Standing::Available => {
                self.available -= 1;
                let old = self.racks[rack];
                self.resize(rack, old, old - 1);
            }
            Standing::Unconfirmed => self.unconfirmed -= 1,
            Standing::Due(at) => decrement(&mut self.returns, &(at, host.clone())),
            Standing::Away | Standing::Foreign => {}
        }
    }

    pub(super) fn room(&self, reserve: bool) -> Room {
        Room {
            available: self.available,
            needed: self.needed,
            reserve: if reserve {
                self.largest(&BTreeMap::new())
            } else {
                0
            },
            unconfirmed: self.unconfirmed,
        }
    }

    /// Whether the budget holds once `taken` is gone.
    pub(super) fn check(
        &self,
        service: &ServiceId,
        taken: &BTreeMap<RackId, u32>,
        reserve: bool,
        now: Now,
    ) -> Result<(), Blocked> {
        let reserve = if reserve { self.largest(taken) } else { 0 };
        let gone = taken.values().sum();
        let wanted = self.needed + reserve + gone;
        if self.available >= wanted {
            return Ok(());
        }
        Err(Blocked {
            service: service.clone(),
            available: self.available,
            taken: gone,
            needed: self.needed,
            unconfirmed: self.unconfirmed,
            reserve,
            expect: self.expect(wanted - self.available, now),
        })
    }

    /// The largest rack once `taken` is gone. Walks down the sizes past the touched racks only.
    fn largest(&self, taken: &BTreeMap<RackId, u32>) -> u32 {
        let mut touched: BTreeMap<u32, u32> = BTreeMap::new();
        let mut largest = 0;
        for (rack, gone) in taken {
            let size = self.racks.get(rack).copied().unwrap_or(0);
            *touched.entry(size).or_default() += 1;
            largest = largest.max(size - gone);
        }
        let whole = self
            .sizes
            .iter()
            .rev()
            .find(|(size, racks)| touched.get(size).is_none_or(|gone| gone < racks));
        largest.max(whole.map_or(0, |(size, _)| *size))
    }

    fn expect(&self, lacking: u32, now: Now) -> Option<Now> {
        let mut sum = 0;
        for ((at, _), minions) in self.returns.iter().take(LOOKAHEAD) {
            sum += minions;
            if sum >= lacking {
                return Some((*at).max(now));
            }
        }
        None
    }

    fn resize(&mut self, rack: &RackId, old: u32, new: u32) {
        if old > 0 {
            decrement(&mut self.sizes, &old);
        }
        if new > 0 {
            *self.sizes.entry(new).or_default() += 1;
            self.racks.insert(rack.clone(), new);
        } else {
            self.racks.remove(rack);
        }
    }
}

/// Takes one off a count and drops it at zero.
fn decrement<K: Ord>(counts: &mut BTreeMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}
