//! One pool: the shapes of its hosts, indexes of their free room, and the jobs that wait for it.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    HostNo,
    free::FreeIndex,
    host::{Access, Host},
    queue::Queue,
    seam::Due,
};
use crate::core::types::{JobId, Resources};

/// The hosts of a pool in one data centre, by what they have left.
#[derive(Clone, Debug, Default)]
pub(super) struct Shelf {
    /// Open hosts, by what is free.
    pub(super) open: FreeIndex,
    /// Hosts on trial that are idle.
    pub(super) trial: FreeIndex,
    /// Open hosts with something to displace or leaving, by what would be free without it.
    pub(super) yielding: FreeIndex,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    /// How many hosts of each total belong to the pool, also while they take no work.
    shapes: BTreeMap<Resources, u32>,
    pub(super) shelves: BTreeMap<u32, Shelf>,
    pub(super) queue: Queue,
    /// Jobs that no host of the pool is large enough for.
    pub(super) impossible: BTreeSet<JobId>,
    pub(super) members: u32,
    /// Hosts that take work.
    pub(super) open: u32,
    /// Hosts set aside.
    pub(super) aside: u32,
}

impl Pool {
    /// Whether any host of the pool is large enough.
    pub(super) fn fits(&self, need: &Resources) -> bool {
        self.shapes.keys().any(|shape| shape.fits(need))
    }

    /// The largest host, by memory, that is large enough.
    pub(super) fn largest(&self, need: &Resources) -> Option<&Resources> {
        let fitting = self.shapes.keys().filter(|shape| shape.fits(need));
        fitting.max_by_key(|shape| (shape.memory, shape.millicores))
    }

    /// Takes a host in; tells whether its shape is new.
    pub(super) fn join(&mut self, total: &Resources) -> bool {
        self.members += 1;
        let count = self.shapes.entry(*total).or_default();
        *count += 1;
        *count == 1
    }

    /// Lets a host go; tells whether it was the last of its shape.
    pub(super) fn leave(&mut self, total: &Resources) -> bool {
        self.members -= 1;
        let Some(count) = self.shapes.get_mut(total) else {
            return false;
        };
        *count -= 1;
        let last = *count == 0;
        if last {
            self.shapes.remove(total);
        }
        last
    }

    /// Puts a host where a search finds it.
    pub(super) fn index(&mut self, no: HostNo, host: &Host) {
        let access = host.access();
        if access == Access::Closed {
            return;
        }
        self.open += 1;
        let shelf = self.shelves.entry(host.centre).or_default();
        if access == Access::Trial {
            shelf.trial.insert(Due::Done, &host.free(), no);
            return;
        }
        shelf.open.insert(host.due, &host.free(), no);
        if host.has_going() {
            shelf.yielding.insert(Due::Done, &host.room(), no);
        }
    }

    /// Undoes [`Self::index`]; the host must be unchanged since.
    pub(super) fn unindex(&mut self, no: HostNo, host: &Host) {
        let access = host.access();
        if access == Access::Closed {
            return;
        }
        self.open -= 1;
        let Some(shelf) = self.shelves.get_mut(&host.centre) else {
            return;
        };
        if access == Access::Trial {
            shelf.trial.remove(Due::Done, &host.free(), no);
            return;
        }
        shelf.open.remove(host.due, &host.free(), no);
        if host.has_going() {
            shelf.yielding.remove(Due::Done, &host.room(), no);
        }
    }
}

impl Host {
    fn has_going(&self) -> bool {
        self.yielding != Resources::default() || self.leaving != Resources::default()
    }
}
