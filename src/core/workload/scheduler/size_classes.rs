//! Waiting steps by what each of their tasks takes.
//!
//! Jobs size their tasks as they like, so a backlog of a thousand steps may have a thousand different
//! sizes. Sizes that are alike are in one *class*, of which there are four for each power of two, so
//! that there are few classes however long the backlog is. Classes that have no room
//! at any agent are passed over as a whole.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, btree_map},
    ops::Bound,
};

use super::ready::Rank;
use crate::core::types::Resources;

/// The largest free amounts at agents: a task that fits on any of these agents fits into one of the
/// amounts.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenRoom(Vec<Resources>);

impl OpenRoom {
    /// Adds what an agent has free.
    pub(super) fn add(&mut self, free: Resources) {
        if !self.fits(&free) {
            self.0.retain(|other| !free.fits(other));
            self.0.push(free);
        }
    }

    /// Whether a task has room at some agent.
    pub(super) fn fits(&self, size: &Resources) -> bool {
        self.0.iter().any(|free| free.fits(size))
    }

    /// One amount that is at least as large as each of these in each resource.
    pub(super) fn widened(&self) -> Self {
        let widest = self
            .0
            .iter()
            .fold(Resources::default(), |widest, free| Resources {
                millicores: widest.millicores.max(free.millicores),
                memory: widest.memory.max(free.memory),
                accelerators: widest.accelerators.max(free.accelerators),
            });
        Self(vec![widest])
    }
}

/// A range of sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SizeClass {
    millicores: u32,
    memory: u32,
    accelerators: u32,
}

impl SizeClass {
    fn of(size: &Resources) -> Self {
        Self {
            millicores: class_of(size.millicores),
            memory: class_of(size.memory),
            accelerators: class_of(size.accelerators.into()),
        }
    }

    /// An amount that is no larger than any size of the class.
    fn least(self) -> Resources {
        Resources {
            millicores: least_of(self.millicores),
            memory: least_of(self.memory),
            accelerators: least_of(self.accelerators).try_into().unwrap_or_default(),
        }
    }
}

/// The number of bits of an amount that follow its highest one and tell classes apart.
const CLASS_BITS: u32 = 2;

/// The number of the class of an amount. Zero has a class of its own, and so has each amount that has
/// too few bits to be told from others by less.
fn class_of(amount: u64) -> u32 {
    let Some(power) = amount.checked_ilog2() else {
        return 0;
    };
    let shift = power.saturating_sub(CLASS_BITS);
    let digits = amount >> shift;
    // At most eight different digits for each shift.
    1 + (shift << (CLASS_BITS + 1)) + u32::try_from(digits).unwrap_or_default()
}

/// The lowest amount of a class.
fn least_of(class: u32) -> u64 {
    let Some(class) = class.checked_sub(1) else {
        return 0;
    };
    let digits = class % (1 << (CLASS_BITS + 1));
    u64::from(digits) << (class >> (CLASS_BITS + 1))
}

/// Steps of a pool that may have room, as found by [`SizeIndex::find`].
#[derive(Clone, Debug, Default)]
pub(super) struct Found {
    /// The steps, in their order.
    pub(super) steps: Vec<Rank>,
    /// The position up to which all steps were visited; `None` if none are left.
    pub(super) reached: Option<Rank>,
    /// How many steps were visited.
    pub(super) visits: usize,
}

/// The waiting steps of a pool by their sizes.
#[derive(Clone, Debug, Default)]
pub(super) struct SizeIndex(BTreeMap<SizeClass, BTreeMap<Rank, Resources>>);

impl SizeIndex {
    pub(super) fn insert(&mut self, size: Resources, rank: Rank) {
        let class = self.0.entry(SizeClass::of(&size)).or_default();
        class.insert(rank, size);
    }

    pub(super) fn remove(&mut self, size: &Resources, rank: &Rank) {
        if let btree_map::Entry::Occupied(mut class) = self.0.entry(SizeClass::of(size)) {
            class.get_mut().remove(rank);
            if class.get().is_empty() {
                class.remove();
            }
        }
    }

    /// A number of thousandths of a core that is at most what any task takes; `None` if no tasks wait.
    pub(super) fn min_millicores(&self) -> Option<u64> {
        let (class, _) = self.0.first_key_value()?;
        Some(class.least().millicores)
    }

    /// Finds the next steps after another whose tasks have room, `most` at most, with `limit` visits at
    /// most besides the first step of each class.
    pub(super) fn find(
        &self,
        after: Option<Rank>,
        room: &OpenRoom,
        most: usize,
        limit: usize,
    ) -> Found {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let classes = self.0.iter();
        let classes = classes.filter(|(class, _)| room.fits(&class.least()));
        let mut lines: Vec<_> = classes
            .map(|(_, steps)| steps.range((from, Bound::Unbounded)))
            .collect();
        let heads = lines.iter_mut().enumerate();
        let heads = heads.filter_map(|(ix, line)| Some(Reverse((line.next()?, ix))));
        let mut heads: BinaryHeap<_> = heads.collect();
        let mut found = Found {
            visits: heads.len(),
            ..Found::default()
        };
        let limit = found.visits + limit;
        while let Some(Reverse(((rank, size), ix))) = heads.pop() {
            if room.fits(size) {
                found.steps.push(*rank);
            }
            if found.steps.len() >= most || found.visits >= limit {
                found.reached = Some(*rank);
                return found;
            }
            if let Some(next) = lines[ix].next() {
                found.visits += 1;
                heads.push(Reverse((next, ix)));
            }
        }
        found
    }
}
