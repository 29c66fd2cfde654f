//! A voluntary stop and what becomes of the wish.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};

use crate::core::types::{HostId, Now, ServiceId, WaveId};

/// Why hosts are to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// A maintenance wave.
    Wave(WaveId),
    /// An operator's drain.
    Drain,
    /// A move to another pool, by an operator or a preset change.
    Move,
    /// An upgrade of egretpin's own processes.
    Upgrade,
}

/// Hosts that someone wants to stop together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    cause: Cause,
    hosts: BTreeSet<HostId>,
    length: Option<Duration>,
}

/// An admitted stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// When its hosts are expected to count again, if that was foreseen.
    pub back: Option<Now>,
    /// The services that it touches, in the order of ids.
    pub services: Vec<ServiceId>,
}

/// Why a stop was not admitted.
///
/// `available - taken < needed + reserve` holds for the named service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blocked {
    /// The service whose budget blocks; the first in the order of ids.
    pub service: ServiceId,
    /// Its minions that are available now.
    pub available: u32,
    /// How many of them the stop would take.
    pub taken: u32,
    /// What its budget asks for.
    pub needed: u32,
    /// Its minions on hosts that are up, but unconfirmed.
    pub unconfirmed: u32,
    /// Its largest rack among what would stay.
    pub reserve: u32,
    /// When enough hosts are expected back, by the known ends of soaks and admitted stops. `None`
    /// if those won't do. An estimate: it takes the reserve as it is now.
    pub expect: Option<Now>,
}

impl Stop {
    /// A stop of no host yet.
    pub fn new(cause: Cause) -> Self {
        Self {
            cause,
            hosts: BTreeSet::new(),
            length: None,
        }
    }

    /// Adds a host.
    #[must_use]
    pub fn host(mut self, host: HostId) -> Self {
        self.hosts.insert(host);
        self
    }

    /// Sets how long the hosts are expected not to count, soak included. Left out, no return is
    /// foreseen.
    #[must_use]
    pub fn lasting(mut self, length: Duration) -> Self {
        self.length = Some(length);
        self
    }

    /// Why.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// Which.
    pub fn hosts(&self) -> &BTreeSet<HostId> {
        &self.hosts
    }

    /// For how long, by estimate.
    pub fn length(&self) -> Option<Duration> {
        self.length
    }
}
