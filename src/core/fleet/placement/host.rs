//! One host: what it offers, what is reserved there, and whether it takes work.

use std::collections::BTreeSet;

use super::{
    PoolNo,
    queue::{Offer, Rank},
    seam::{Due, HostStage},
};
use crate::core::types::{Generation, HostId, JobId, Now, Resources};

/// Whether jobs may be started on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Access {
    Open,
    /// One idempotent job at a time, until one succeeds.
    Trial,
    Closed,
}

/// How a worker that fails what it starts is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trust {
    Sound,
    Trial,
    Aside { until: Now },
}

/// How a job's reservation counts for urgent work that looks for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lot {
    /// It stays until the job ends.
    Fixed,
    /// The job may be displaced.
    Yielding,
    /// The job was told to stop.
    Leaving,
}

#[derive(Clone, Debug)]
pub(super) struct Host {
    pub(super) id: HostId,
    pub(super) pool: PoolNo,
    pub(super) rack: u32,
    pub(super) centre: u32,
    pub(super) total: Resources,
    pub(super) generation: Generation,
    pub(super) stage: HostStage,
    pub(super) lost: bool,
    pub(super) trust: Trust,
    /// How often it was set aside since it last proved sound.
    pub(super) asides: u32,
    pub(super) due: Due,
    pub(super) jobs: BTreeSet<JobId>,
    /// Urgent jobs that wait here for displaced ones to stop.
    pub(super) claims: BTreeSet<Rank>,
    /// What all jobs here have reserved.
    pub(super) reserved: Resources,
    /// What the claims will reserve.
    pub(super) promised: Resources,
    /// Of the reserved, what may be displaced.
    pub(super) yielding: Resources,
    /// Of the reserved, what was told to stop.
    pub(super) leaving: Resources,
}

impl Host {
    pub(super) fn access(&self) -> Access {
        if self.lost || self.stage != HostStage::TakesWork {
            return Access::Closed;
        }
        match self.trust {
            Trust::Sound => Access::Open,
            Trust::Trial if self.jobs.is_empty() => Access::Trial,
            Trust::Trial | Trust::Aside { .. } => Access::Closed,
        }
    }

    /// What a job may reserve now.
    pub(super) fn free(&self) -> Resources {
        self.total.minus(&self.reserved.plus(&self.promised))
    }

    /// What would be free with all displaceable and leaving jobs gone.
    pub(super) fn room(&self) -> Resources {
        let going = self.yielding.plus(&self.leaving);
        let staying = self.reserved.plus(&self.promised).minus(&going);
        self.total.minus(&staying)
    }

    pub(super) fn offer(&self) -> Option<Offer> {
        let trial = match self.access() {
            Access::Closed => return None,
            Access::Open => false,
            Access::Trial => true,
        };
        Some(Offer {
            free: self.free(),
            room: self.room(),
            trial,
        })
    }

    pub(super) fn add(&mut self, lot: Lot, amount: &Resources) {
        self.reserved = self.reserved.plus(amount);
        if let Some(part) = self.part(lot) {
            *part = part.plus(amount);
        }
    }

    pub(super) fn take(&mut self, lot: Lot, amount: &Resources) {
        self.reserved = self.reserved.minus(amount);
        if let Some(part) = self.part(lot) {
            *part = part.minus(amount);
        }
    }

    const fn part(&mut self, lot: Lot) -> Option<&mut Resources> {
        match lot {
            Lot::Fixed => None,
            Lot::Yielding => Some(&mut self.yielding),
            Lot::Leaving => Some(&mut self.leaving),
        }
    }
}
