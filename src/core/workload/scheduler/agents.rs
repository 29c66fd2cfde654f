//! The agents that the leader knows.
//!
//! Walks over all of them are counted: what one event costs must not grow with the fleet, and the
//! count shows it where a clock can't.

use std::{cell::Cell, collections::BTreeMap};

use super::agent::Agent;
use crate::core::types::MinionId;

/// The agents by their ids.
#[derive(Clone, Debug, Default)]
pub(super) struct Agents {
    known: BTreeMap<MinionId, Agent>,
    /// How many were looked at by walks.
    looks: Cell<usize>,
}

impl Agents {
    pub(super) fn get(&self, id: &MinionId) -> Option<&Agent> {
        self.known.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &MinionId) -> Option<&mut Agent> {
        self.known.get_mut(id)
    }

    pub(super) fn insert(&mut self, id: MinionId, agent: Agent) {
        self.known.insert(id, agent);
    }

    pub(super) fn remove(&mut self, id: &MinionId) {
        self.known.remove(id);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&MinionId, &Agent)> {
        self.known
            .iter()
            .inspect(|_| self.looks.set(self.looks.get() + 1))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&MinionId, &mut Agent)> {
        let looks = &self.looks;
        self.known
            .iter_mut()
            .inspect(|_| looks.set(looks.get() + 1))
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Agent> {
        self.iter().map(|(_, agent)| agent)
    }

    /// How many were looked at by walks since this was asked last.
    pub(super) fn take_looks(&self) -> usize {
        self.looks.take()
    }
}
