//! A host's phase, and what is wanted of it.

use serde::{Deserialize, Serialize};

use crate::core::types::{Generation, HostId, PoolId, RackId, WaveId};

/// Where a host is on its way out of service and back.
///
/// A little finer than the [`Stage`](crate::core::state::Stage) of the shared state, which doesn't
/// need to know whether a draining host is empty yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Serves and takes new jobs.
    InService,
    /// Serves, but takes no new jobs.
    Cordoned,
    /// Admitted to stop: its minions finish what they have, its jobs end or are displaced.
    Draining,
    /// Empty and up.
    Drained,
    /// Empty and being rebooted.
    Down,
    /// Back, but not counted before its soak ends.
    Soaking,
    /// Lost without being asked.
    Lost,
}

/// What is wanted of a host.
///
/// What operators want and what a wave wants add up instead of excluding one another, so that a
/// drain or move that races a wave costs the host one drain between them: it is drained once, then
/// maintained if a wave wants that, then handed over or kept empty. Of an operator's own wishes
/// the last stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Wants {
    /// The wave that is to maintain it.
    pub wave: Option<WaveId>,
    /// An operator wants it empty until told otherwise.
    pub hold: bool,
    /// The pool that it is to move to.
    pub to: Option<PoolId>,
    /// The move was asked by a preset, and the next preset may call it off.
    pub preset: bool,
}

/// The hard facts of a host, as the replicated state holds them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct HostFact {
    /// Which host.
    pub host: HostId,
    /// The one pool that it belongs to.
    pub pool: PoolId,
    /// Its rack.
    pub rack: RackId,
    /// Grows with each hand-over and each return.
    pub generation: Generation,
    /// Its phase.
    pub phase: Phase,
    /// What is wanted of it.
    pub wants: Wants,
    /// The last wave that maintained it.
    pub maintained: Option<WaveId>,
}

/// What runs on a host, as its worker last reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Work {
    /// Seconds of work done since the last checkpoints, summed over its jobs: what a displacement
    /// would throw away.
    pub unsaved: u64,
    /// Jobs running.
    pub jobs: u32,
}

impl Phase {
    /// Whether the host is up and not yet admitted to stop.
    pub fn is_serving(self) -> bool {
        matches!(self, Self::InService | Self::Cordoned)
    }

    /// Whether the host holds budget for a voluntary stop.
    pub fn is_stopped(self) -> bool {
        matches!(self, Self::Draining | Self::Drained | Self::Down)
    }
}

impl Wants {
    /// Whether someone other than a wave wants the host out of service.
    pub fn is_asked(&self) -> bool {
        self.hold || self.to.is_some()
    }

    /// Whether anyone wants the host out of service.
    pub fn any(&self) -> bool {
        self.is_asked() || self.wave.is_some()
    }
}

impl HostFact {
    /// A host in service, of the first generation, of which nothing is wanted.
    pub fn new(host: HostId, pool: PoolId, rack: RackId) -> Self {
        Self {
            host,
            pool,
            rack,
            generation: 1,
            phase: Phase::InService,
            wants: Wants::default(),
            maintained: None,
        }
    }
}
