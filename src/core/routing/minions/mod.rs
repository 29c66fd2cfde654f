//! The minions of one service and the choice among them.
//!
//! Each minion stands at a level made of its [`Class`](super::health::Class) and its load, and a choice takes any item
//! of the best level, so its cost doesn't grow with the number of minions. No request waits while
//! a minion that takes work has a slot that this node may use: the class says who goes first, not
//! who goes at all. Only minions that are set aside are left out, and never more than half.
//!
//! A minion set aside comes back on probation: one request at a time, until one ends well.

mod judge;
mod minion;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rand::{Rng, RngExt};

use self::minion::Rest;
pub use self::{judge::Use, minion::Minion};
use super::levels::Levels;
use crate::core::types::{MinionId, Now, RackId};

/// Candidates looked at in one level before a less preferred one is taken.
const LOOKS: usize = 16;

/// The place of a minion in its service's [`Minions`]; used again once it has gone.
pub type MinionIx = u32;

/// What a choice should keep away from.
#[derive(Clone, Debug, Default)]
pub struct Avoid {
    /// Minions that this request has failed on.
    pub minions: Vec<MinionIx>,
    /// Racks that this request has failed on; preferred against, not excluded.
    pub racks: Vec<RackId>,
}

/// Switches of the protections, for tests that show what each protects from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protections {
    /// Judge minions by their outcomes.
    pub health: bool,
    /// Set a rack aside as a whole.
    pub racks: bool,
    /// Keep at least half of the minions in use.
    pub bound: bool,
    /// Begin nothing on a loan after its time.
    pub fence: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self {
            health: true,
            racks: true,
            bound: true,
            fence: true,
        }
    }
}

/// The minions of one service.
#[derive(Clone, Debug, Default)]
pub struct Minions {
    slab: Vec<Option<Minion>>,
    vacant: Vec<MinionIx>,
    levels: Levels,
    /// When rests end.
    rests: BTreeSet<(Now, MinionIx)>,
    racks: BTreeMap<RackId, Vec<MinionIx>>,
    /// Running median of the time to a sound answer in seconds.
    median: f64,
    open: u32,
    aside: u32,
    protections: Protections,
}

impl Minions {
    /// No minions, with protections as given.
    pub fn new(protections: Protections) -> Self {
        Self {
            protections,
            ..Self::default()
        }
    }

    /// Adds a minion that takes work, with its slots and this node's part of them.
    pub fn add(
        &mut self,
        id: MinionId,
        address: SocketAddr,
        rack: RackId,
        slots: u32,
        quota: u32,
    ) -> MinionIx {
        let minion = Minion::new(id, address, rack.clone(), slots, quota);
        let ix = match self.vacant.pop() {
            Some(ix) => ix,
            None => {
                self.slab.push(None);
                (self.slab.len() - 1) as MinionIx
            }
        };
        self.slab[ix as usize] = Some(minion);
        self.racks.entry(rack).or_default().push(ix);
        self.open += 1;
        self.place(Now::ZERO, ix);
        ix
    }

    /// A minion by its place.
    pub fn get(&self, ix: MinionIx) -> Option<&Minion> {
        self.slab.get(ix as usize)?.as_ref()
    }

    /// How many minions take work, those set aside included.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// How many of these take work; a place counted twice counts once.
    pub fn count_open(&self, some: &[MinionIx]) -> usize {
        let mut some = some.to_vec();
        some.sort_unstable();
        some.dedup();
        let open = |ix: &&MinionIx| self.get(**ix).is_some_and(|m| m.open);
        some.iter().filter(open).count()
    }

    /// How many minions are set aside.
    pub fn aside(&self) -> u32 {
        self.aside
    }

    /// Whether any minion has a slot for this node now.
    pub fn has_free(&self) -> bool {
        !self.levels.is_empty()
    }

    /// Changes what an announcement may change within one boot.
    pub fn update(&mut self, now: Now, ix: MinionIx, address: SocketAddr, slots: u32) {
        if let Some(minion) = self.get_mut(ix) {
            minion.address = address;
            minion.slots = slots;
            self.place(now, ix);
        }
    }

    /// Changes this node's part of a minion's slots.
    pub fn set_quota(&mut self, now: Now, ix: MinionIx, quota: u32) {
        if let Some(minion) = self.get_mut(ix) {
            minion.quota = quota;
            self.place(now, ix);
        }
    }

    /// Gives a minion no more work; it is forgotten when its requests have ended.
    pub fn close(&mut self, now: Now, ix: MinionIx) {
        let Some(minion) = self.get_mut(ix) else {
            return;
        };
        if !minion.open {
            return;
        }
        minion.open = false;
        self.open -= 1;
        self.rest(ix, Rest::None);
        self.place(now, ix);
        self.forget_idle(ix);
    }

    /// Gives a closed minion work again. What it still has goes on to count, which a new entry
    /// for the same process would forget.
    pub fn reopen(&mut self, now: Now, ix: MinionIx) {
        let Some(minion) = self.get_mut(ix) else {
            return;
        };
        if !minion.open {
            minion.open = true;
            self.open += 1;
            self.place(now, ix);
        }
    }

    /// Chooses a minion with a free slot, or none. The choice must be followed by [`take`].
    ///
    /// [`take`]: Self::take
    pub fn choose<R: Rng>(&self, avoid: &Avoid, rng: &mut R) -> Option<MinionIx> {
        let mut second = None;
        for (_, items) in self.levels.iter() {
            let start = match items.len() {
                1 => 0,
                len => rng.random_range(0..len),
            };
            for &ix in items
                .iter()
                .cycle()
                .skip(start)
                .take(items.len().min(LOOKS))
            {
                if avoid.minions.contains(&ix) {
                    continue;
                }
                if !self.avoids_rack(avoid, ix) {
                    return Some(ix);
                }
                second = second.or(Some(ix));
            }
        }
        second
    }

    /// Uses a slot.
    pub fn take(&mut self, now: Now, ix: MinionIx) {
        if let Some(minion) = self.get_mut(ix) {
            minion.in_flight += 1;
            self.place(now, ix);
        }
    }

    /// Gives a slot back.
    pub fn release(&mut self, now: Now, ix: MinionIx) {
        if let Some(minion) = self.get_mut(ix) {
            minion.in_flight = minion.in_flight.saturating_sub(1);
            self.place(now, ix);
            self.forget_idle(ix);
        }
    }

    /// All minions with their places, in order of place.
    pub fn iter(&self) -> impl Iterator<Item = (MinionIx, &Minion)> {
        self.slab
            .iter()
            .enumerate()
            .filter_map(|(ix, m)| Some((ix as MinionIx, m.as_ref()?)))
    }

    fn get_mut(&mut self, ix: MinionIx) -> Option<&mut Minion> {
        self.slab.get_mut(ix as usize)?.as_mut()
    }

    fn avoids_rack(&self, avoid: &Avoid, ix: MinionIx) -> bool {
        !avoid.racks.is_empty() && self.get(ix).is_some_and(|m| avoid.racks.contains(&m.rack))
    }

    fn place(&mut self, now: Now, ix: MinionIx) {
        let median = self.protections.health.then_some(self.median);
        let level = self.get(ix).and_then(|m| m.level(now, median));
        self.levels.put(ix, level);
    }

    fn forget_idle(&mut self, ix: MinionIx) {
        let idle = matches!(self.get(ix), Some(m) if !m.open && m.in_flight == 0);
        if !idle {
            return;
        }
        let Some(gone) = self.slab[ix as usize].take() else {
            return;
        };
        if let Some(members) = self.racks.get_mut(&gone.rack) {
            members.retain(|m| *m != ix);
            if members.is_empty() {
                self.racks.remove(&gone.rack);
            }
        }
        self.vacant.push(ix);
    }
}
