//! One job as placement holds it.

use std::{cmp::Reverse, time::Duration};

use super::{
    HostNo, PoolNo, TeamNo,
    host::Lot,
    queue::{Class, Rank},
};
use crate::core::{
    fleet::jobs::{Impossible, StopReason, Unresolved, Waiting},
    types::{Attempt, JobId, Now, Resources, Urgency},
};

/// Work that a checkpoint on demand loses, in time.
const CHECKPOINT_LOSS: Duration = Duration::from_secs(1);

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It has only been accepted.
    New,
    /// It stands in its pool's queue with this need.
    Queued(Resources),
    /// It pauses after a failure.
    Paused,
    /// Room is being made on a host.
    Claiming {
        host: HostNo,
        until: Now,
    },
    Impossible(Impossible),
    Starting(HostNo),
    Running(HostNo),
    Stopping(HostNo, StopReason),
    Unresolved(Unresolved),
}

/// What was last said of a job, so that nothing is said twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Told {
    Waiting(Waiting),
    Impossible(Impossible),
}

#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) pool: PoolNo,
    pub(super) team: TeamNo,
    pub(super) service: u32,
    /// The number under which sizes of its like are learned.
    pub(super) kind: u32,
    pub(super) declared: Resources,
    pub(super) run_time: Duration,
    pub(super) priority: u8,
    pub(super) urgency: Urgency,
    pub(super) idempotent: bool,
    pub(super) checkpoints: bool,
    pub(super) cancelled: bool,
    /// It was moved off a host, so its next one should be due last.
    pub(super) moved: bool,
    pub(super) throttled: bool,
    pub(super) phase: Phase,
    pub(super) told: Option<Told>,
    pub(super) attempt: Attempt,
    /// What it holds on its host.
    pub(super) reserved: Resources,
    /// The most that it was seen to use.
    pub(super) peak: Resources,
    /// Usage reports of this attempt.
    pub(super) reports: u32,
    /// When the present attempt began.
    pub(super) began: Now,
    /// From when on work would be lost with a stop.
    pub(super) unsaved: Now,
    /// How often it failed.
    pub(super) failures: u32,
    /// Hosts on which it failed.
    pub(super) failed: Vec<HostNo>,
    /// A host that didn't make room in time.
    pub(super) avoid: Option<HostNo>,
}

impl Job {
    pub(super) const fn rank(&self, job: JobId) -> Rank {
        Rank {
            urgency: Reverse(self.urgency),
            priority: Reverse(self.priority),
            job,
        }
    }

    /// The line in which it waits with this need.
    pub(super) const fn class(&self, need: &Resources) -> Class {
        Class {
            urgency: self.urgency,
            idempotent: self.idempotent,
            team: self.team,
            need: *need,
            charge: self.declared,
        }
    }

    /// The host that it is on, if any.
    pub(super) const fn host(&self) -> Option<HostNo> {
        match self.phase {
            Phase::Starting(host) | Phase::Running(host) | Phase::Stopping(host, _) => Some(host),
            _ => None,
        }
    }

    /// Urgent work may take its room: it goes on from a checkpoint, or is lower and may run twice.
    pub(super) fn yields(&self) -> bool {
        self.urgency == Urgency::Ordinary && self.movable()
    }

    /// It can be stopped without leaving it unresolved.
    pub(super) const fn movable(&self) -> bool {
        self.checkpoints || self.idempotent
    }

    pub(super) fn lot(&self) -> Lot {
        match self.phase {
            Phase::Stopping(..) => Lot::Leaving,
            _ if self.yields() => Lot::Yielding,
            _ => Lot::Fixed,
        }
    }

    /// What a stop now would lose, in thousandths of a core times milliseconds.
    pub(super) fn unsaved_work(&self, now: Now) -> u128 {
        let time = match self.phase {
            Phase::Running(_) if self.checkpoints => CHECKPOINT_LOSS,
            Phase::Running(_) => now.saturating_sub(self.unsaved),
            _ => Duration::ZERO,
        };
        time.as_millis() * u128::from(self.reserved.millicores.max(1))
    }

    pub(super) fn avoids(&self, host: HostNo) -> bool {
        self.avoid == Some(host) || self.failed.contains(&host)
    }
}
