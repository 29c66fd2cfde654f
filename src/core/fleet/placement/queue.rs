//! Jobs that wait, grouped so that those which can't start cost nothing.
//!
//! Jobs of one team and of equal need form a line. When the head of a line finds no quota, nor
//! will any behind it, so the whole line is blocked until the team has enough. Room doesn't depend
//! on the team: lines of equal need form a shape, and when one job of a shape finds no room, the
//! whole shape is blocked until a host offers some. Work for an event is thus bounded by the number
//! of different needs, and a wave of a million equal jobs that don't fit costs what one does.
//!
//! A queue of its own for each team at its quota was tried first. It had to guess how many jobs to
//! move into the queue of a pool when quota came free, and a job that then found no room there
//! held the quota back from others of its team; the differential test found it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use super::{HostNo, TeamNo};
use crate::core::types::{JobId, Resources, Urgency};

/// Offers past which woken shapes are searched for like new ones.
const MANY_OFFERS: usize = 32;

/// The order in which jobs go; the least goes first, and older jobs before younger ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) urgency: Reverse<Urgency>,
    pub(super) priority: Reverse<u8>,
    pub(super) job: JobId,
}

/// All that decides whether a job of a pool can start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Class {
    pub(super) urgency: Urgency,
    pub(super) idempotent: bool,
    pub(super) team: TeamNo,
    /// What is reserved on a host.
    pub(super) need: Resources,
    /// What is charged to the team.
    pub(super) charge: Resources,
}

/// What a line waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Block {
    /// Nothing that is known; its head has to be tried.
    None,
    Room,
    Quota,
}

/// All that decides whether there is room for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Shape {
    urgency: Urgency,
    idempotent: bool,
    need: Resources,
}

#[derive(Clone, Debug, Default)]
struct Line {
    jobs: BTreeSet<Rank>,
    lacks_quota: bool,
}

/// The lines of one shape that have quota, by their heads.
#[derive(Clone, Debug, Default)]
struct Heads {
    heads: BTreeSet<(Rank, Class)>,
    lacks_room: bool,
    /// It lacked room before the hosts in [`Queue::offered`] made their offers, so that no other
    /// host can have room for it.
    woken: bool,
}

/// Room that appeared.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offer {
    /// What is free.
    pub(super) free: Resources,
    /// What would be free with all displaceable jobs gone.
    pub(super) room: Resources,
    /// Only idempotent jobs may use it.
    pub(super) trial: bool,
}

/// Lines of waiting jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    lines: BTreeMap<Class, Line>,
    shapes: BTreeMap<Shape, Heads>,
    live: BTreeSet<Shape>,
    /// Hosts that offered room since the queue was last served.
    offered: Vec<HostNo>,
}

impl Queue {
    /// Adds a job; tells whether its line is new. A line that is blocked stays so.
    pub(super) fn push(&mut self, class: Class, rank: Rank) -> bool {
        let new = !self.lines.contains_key(&class);
        self.change(&class, |line| {
            line.jobs.insert(rank);
        });
        new
    }

    /// Takes a job out; tells whether its line ended.
    pub(super) fn remove(&mut self, class: &Class, rank: &Rank) -> bool {
        self.change(class, |line| {
            line.jobs.remove(rank);
        });
        let over = self
            .lines
            .get(class)
            .is_some_and(|line| line.jobs.is_empty());
        if over {
            self.lines.remove(class);
        }
        over
    }

    /// The first job of all lines that have quota and may have room. `offer` tells what a host
    /// offers now.
    ///
    /// Shapes that were woken are first checked against the hosts that woke them, which is far
    /// cheaper than a search that finds nothing.
    pub(super) fn next(
        &mut self,
        offer: impl Fn(HostNo) -> Option<Offer>,
    ) -> Option<(Class, Rank)> {
        if self.offered.len() <= MANY_OFFERS {
            let offers: Vec<Offer> = self.offered.iter().filter_map(|&no| offer(no)).collect();
            self.block_unserved(&offers);
        }
        let heads = self
            .live
            .iter()
            .filter_map(|shape| self.shapes[shape].heads.first());
        heads.min().map(|&(rank, class)| (class, rank))
    }

    /// All live lines were tried.
    pub(super) fn served(&mut self) {
        self.offered.clear();
    }

    pub(super) fn has_live(&self) -> bool {
        !self.live.is_empty()
    }

    /// What a line waits for.
    pub(super) fn block_of(&self, class: &Class) -> Block {
        if self.lines.get(class).is_some_and(|line| line.lacks_quota) {
            return Block::Quota;
        }
        match self.shapes.get(&class.shape()) {
            Some(heads) if heads.lacks_room => Block::Room,
            _ => Block::None,
        }
    }

    /// Sets what a line waits for; its jobs aren't tried until that has changed.
    pub(super) fn block(&mut self, class: &Class, block: Block) {
        match block {
            Block::None => {}
            Block::Quota => self.change(class, |line| line.lacks_quota = true),
            Block::Room => self.block_shape(&class.shape()),
        }
    }

    /// The line's team has quota for it again.
    pub(super) fn wake(&mut self, class: &Class) {
        self.change(class, |line| line.lacks_quota = false);
    }

    /// Wakes the shapes that a host has room for now; tells whether any is live.
    pub(super) fn offer(&mut self, no: HostNo, offer: &Offer) -> bool {
        for (shape, heads) in &mut self.shapes {
            if heads.lacks_room && offer.serves(shape) {
                heads.lacks_room = false;
                heads.woken = true;
                self.live.insert(*shape);
            }
        }
        if self.has_live() {
            self.offered.push(no);
        }
        self.has_live()
    }

    fn block_unserved(&mut self, offers: &[Offer]) {
        let unserved = self.live.iter().filter(|shape| {
            self.shapes[shape].woken && !offers.iter().any(|offer| offer.serves(shape))
        });
        let unserved: Vec<Shape> = unserved.copied().collect();
        for shape in unserved {
            self.block_shape(&shape);
        }
    }

    fn block_shape(&mut self, shape: &Shape) {
        self.live.remove(shape);
        if let Some(heads) = self.shapes.get_mut(shape) {
            heads.lacks_room = true;
        }
    }

    /// Changes a line, and keeps its head where it belongs.
    fn change(&mut self, class: &Class, change: impl FnOnce(&mut Line)) {
        let line = self.lines.entry(*class).or_default();
        let before = line.head();
        change(line);
        let after = line.head();
        if before == after {
            return;
        }
        let shape = class.shape();
        let heads = self.shapes.entry(shape).or_default();
        if let Some(rank) = before {
            heads.heads.remove(&(rank, *class));
        }
        if let Some(rank) = after {
            heads.heads.insert((rank, *class));
        }
        if heads.heads.is_empty() {
            self.shapes.remove(&shape);
            self.live.remove(&shape);
        } else if !heads.lacks_room {
            self.live.insert(shape);
        }
    }

    /// The jobs of one line.
    pub(super) fn jobs_of(&self, class: &Class) -> impl Iterator<Item = JobId> + '_ {
        let line = self.lines.get(class).into_iter();
        line.flat_map(|line| line.jobs.iter().map(|rank| rank.job))
    }

    /// The jobs whose need fits none of the shapes.
    pub(super) fn misfits<'a>(
        &'a self,
        fits: impl Fn(&Resources) -> bool + 'a,
    ) -> impl Iterator<Item = JobId> + 'a {
        let classes = self.lines.keys().filter(move |class| !fits(&class.need));
        classes.flat_map(|class| self.jobs_of(class))
    }
}

impl Class {
    const fn shape(&self) -> Shape {
        Shape {
            urgency: self.urgency,
            idempotent: self.idempotent,
            need: self.need,
        }
    }
}

impl Line {
    /// The first job, if the line has quota.
    fn head(&self) -> Option<Rank> {
        if self.lacks_quota {
            return None;
        }
        self.jobs.first().copied()
    }
}

impl Offer {
    /// Whether this offers more than `other` in any dimension.
    pub(super) fn exceeds(&self, other: &Self) -> bool {
        self.trial != other.trial || !other.free.fits(&self.free) || !other.room.fits(&self.room)
    }

    fn serves(&self, shape: &Shape) -> bool {
        if self.trial {
            let may_try = shape.idempotent && shape.urgency == Urgency::Ordinary;
            return may_try && self.free.fits(&shape.need);
        }
        self.free.fits(&shape.need)
            || shape.urgency == Urgency::Urgent && self.room.fits(&shape.need)
    }
}
