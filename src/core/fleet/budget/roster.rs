//! The minions that are known, and the hosts they stand on.

use std::collections::BTreeSet;

use crate::core::types::{HostId, Map, MinionId, ServiceId};

/// A minion as last announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Minion {
    pub(super) service: ServiceId,
    pub(super) host: HostId,
    pub(super) confirmed: bool,
}

/// Minions by id and by host.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    minions: Map<MinionId, Minion>,
    crews: Map<HostId, BTreeSet<MinionId>>,
}

impl Roster {
    pub(super) fn get(&self, id: &MinionId) -> Option<&Minion> {
        self.minions.get(id)
    }

    /// The minions of a host, in the order of ids.
    pub(super) fn crew(&self, host: &HostId) -> impl Iterator<Item = (&MinionId, &Minion)> {
        let crew = self.crews.get(host).into_iter().flatten();
        crew.map(|id| (id, &self.minions[id]))
    }

    /// The minions of a service, in no order; linear in all minions.
    pub(super) fn of_service(&self, service: &ServiceId) -> Vec<MinionId> {
        self.minions
            .iter()
            .filter(|(_, minion)| minion.service == *service)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Adds a minion that isn't known.
    pub(super) fn enlist(&mut self, id: &MinionId, minion: Minion) {
        self.crews
            .entry(minion.host.clone())
            .or_default()
            .insert(id.clone());
        self.minions.insert(id.clone(), minion);
    }

    /// Notes that a minion is no longer confirmed.
    pub(super) fn doubt(&mut self, id: &MinionId) {
        if let Some(minion) = self.minions.get_mut(id) {
            minion.confirmed = false;
        }
    }

    /// Forgets a minion.
    pub(super) fn strike(&mut self, id: &MinionId) {
        let Some(minion) = self.minions.remove(id) else {
            return;
        };
        if let Some(crew) = self.crews.get_mut(&minion.host) {
            crew.remove(id);
            if crew.is_empty() {
                self.crews.remove(&minion.host);
            }
        }
    }

    /// Forgets the minions of a host.
    pub(super) fn disband(&mut self, host: &HostId) {
        for id in self.crews.remove(host).unwrap_or_default() {
            self.minions.remove(&id);
        }
    }
}
