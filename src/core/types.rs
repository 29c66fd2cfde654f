//! Identifiers and small shared types.
//!
//! Ids are aliases, so that a signature says what a value names without wrapping and unwrapping
//! at every border. Declared things are named by operators and carry a [`Name`]; things that
//! egretpin makes are numbered.

use std::{
    collections::{HashMap as StdMap, HashSet as StdSet},
    sync::Arc,
    time::Duration,
};

use rustc_hash::FxBuildHasher;
use serde::{Deserialize, Serialize};

/// A hash map with a fast hasher. Never iterate one where the order could reach an output.
pub type Map<K, V> = StdMap<K, V, FxBuildHasher>;
/// A hash set with a fast hasher. Never iterate one where the order could reach an output.
pub type Set<T> = StdSet<T, FxBuildHasher>;

/// Monotonic time since the process began.
///
/// A plain [`Duration`] can be made from nothing and hashed, which `Instant` can't; the model
/// checker needs both.
pub type Now = Duration;
/// Wall-clock time since the Unix epoch, stamped by the leader into what it proposes.
pub type Wall = Duration;

/// A name chosen by an operator; cheap to clone.
pub type Name = Arc<str>;
/// An egretpin process on an entry host.
pub type NodeId = u64;
/// A machine that belongs to a pool and runs jobs as a worker.
pub type HostId = Name;
/// A rack, the smallest failure domain.
pub type RackId = Name;
/// A data centre.
pub type DataCentreId = Name;
/// A pool of hosts.
pub type PoolId = Name;
/// A service, which has minions and jobs.
pub type ServiceId = Name;
/// A backend server of a service.
pub type MinionId = Name;
/// A team that owns quota for jobs.
pub type TeamId = Name;
/// A group of callers that shares a quota of requests.
pub type GroupId = Name;
/// A preset.
pub type PresetId = Name;
/// A customer of the queues.
pub type WorkspaceId = Name;
/// A maintenance wave.
pub type WaveId = u64;
/// A job, numbered by the log index that accepted it.
pub type JobId = u64;
/// One try to run a job; the first is 1.
pub type Attempt = u32;
/// Counts how often a host changed hands or came back; a lease of an older one is void.
pub type Generation = u64;
/// The log index of the change that made a configuration.
pub type Version = u64;
/// Chosen by the operator's tool; a resend carries the same one.
pub type OperationId = Name;
/// A caller's `Idempotency-Key`.
pub type Key = Name;

/// How soon work should start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Waits its turn.
    #[default]
    Ordinary,
    /// Goes before ordinary work, without starving it.
    Urgent,
}

/// What a host offers or a job needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub millicores: u64,
    /// Bytes of memory.
    pub memory: u64,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// The most of each resource that is told from more of it: a million cores, a pebibyte and a million
    /// accelerators. Sums over as many tasks as a leader can hold can be represented.
    const MOST: Self = Self {
        millicores: 1_000_000_000,
        memory: 1 << 50,
        accelerators: 1_000_000,
    };

    /// The same, with what exceeds the most of a resource lowered to it. Numbers that others send have no
    /// bound of their own.
    #[must_use]
    pub fn clamped(&self) -> Self {
        Self {
            millicores: self.millicores.min(Self::MOST.millicores),
            memory: self.memory.min(Self::MOST.memory),
            accelerators: self.accelerators.min(Self::MOST.accelerators),
        }
    }

    /// Whether `need` fits into what is left here.
    pub fn fits(&self, need: &Self) -> bool {
        need.millicores <= self.millicores
            && need.memory <= self.memory
            && need.accelerators <= self.accelerators
    }

    /// The sum, saturating.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference, not below zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
