//! The engine's records of hosts and pools.

use std::collections::BTreeSet;

use crate::core::{
    declaration::PoolSpec,
    fleet::wave::Wave,
    types::{Generation, HostId, Map, Now, PoolId, RackId, ServiceId, WaveId},
};

use super::{HostFact, Phase, Wants, Work};

/// A host as the engine knows it.
#[derive(Clone, Debug)]
pub(super) struct Host {
    pub(super) pool: PoolId,
    pub(super) rack: RackId,
    pub(super) generation: Generation,
    pub(super) phase: Phase,
    pub(super) wants: Wants,
    pub(super) maintained: Option<WaveId>,
    pub(super) work: Work,
    /// When it will be reported late, while a limit runs.
    pub(super) limit: Option<Now>,
    /// It has been reported late in this phase.
    pub(super) late: bool,
    /// The service that was last reported to block it.
    pub(super) blocked: Option<ServiceId>,
}

/// A pool as the engine knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    pub(super) spec: PoolSpec,
    pub(super) racks: Map<RackId, BTreeSet<HostId>>,
    /// Cordoned hosts that wait for admission, asked for by others than a wave.
    pub(super) waiting: BTreeSet<HostId>,
    /// The last of them that was tried, so that each gets its turn.
    pub(super) tried: Option<HostId>,
    /// Hosts lost without being asked, until they have soaked or are given up.
    pub(super) losses: BTreeSet<HostId>,
    pub(super) wave: Option<Wave>,
    /// When a wave was last asked for that hasn't been committed yet.
    pub(super) asked: Option<Now>,
    /// When the next wave is due; `None` until the pool was first looked at.
    pub(super) next: Option<Now>,
}

impl Host {
    pub(super) fn new(fact: HostFact) -> Self {
        Self {
            pool: fact.pool,
            rack: fact.rack,
            generation: fact.generation,
            phase: fact.phase,
            wants: fact.wants,
            maintained: fact.maintained,
            work: Work::default(),
            limit: None,
            late: false,
            blocked: None,
        }
    }
}

impl Pool {
    pub(super) fn insert(&mut self, rack: &RackId, host: HostId) {
        self.racks.entry(rack.clone()).or_default().insert(host);
    }

    pub(super) fn remove(&mut self, rack: &RackId, host: &HostId) {
        if let Some(hosts) = self.racks.get_mut(rack) {
            hosts.remove(host);
            if hosts.is_empty() {
                self.racks.remove(rack);
            }
        }
        self.waiting.remove(host);
        self.losses.remove(host);
        if let Some(wave) = &mut self.wave {
            wave.finish(host);
        }
    }

    /// When its next wave is due; at once if that hasn't been looked at yet.
    pub(super) fn due(&self) -> Option<Now> {
        self.spec.maintenance?;
        Some(self.next.unwrap_or_default())
    }

    /// The hosts of a rack that belong to this pool.
    pub(super) fn rack(&self, rack: &RackId) -> Vec<HostId> {
        self.racks
            .get(rack)
            .map(|hosts| hosts.iter().cloned().collect())
            .unwrap_or_default()
    }
}
