//! The terminated incarnations of agents, and which late heartbeats come from them.
//!
//! A heartbeat may be delayed by a network partition and arrive after its sender has terminated. Registering
//! it would bring back an agent that no longer exists. So the ledger remembers the incarnations that have
//! terminated, each with the number of its last committed heartbeat. A heartbeat of such an incarnation is
//! *stale* unless its number is later: an incarnation that was declared terminated by mistake goes on to send
//! later ones.
//!
//! ```
//! use egretpin::core::workload::terminated::TerminatedAgents;
//!
//! let mut terminated = TerminatedAgents::default();
//! terminated.insert("one".into(), 7);
//! assert!(terminated.is_stale(&"one".into(), 7));
//! assert!(!terminated.is_stale(&"one".into(), 8));
//! assert!(!terminated.is_stale(&"two".into(), 1));
//! ```

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::core::types::MinionId;

/// The most incarnations that are remembered; the oldest are forgotten first. Each takes about 15 bytes of a
/// snapshot.
///
/// A heartbeat may arrive after the end of its sender, by as long as a network partition lasts. If 500 hosts
/// each lose an agent every ten seconds, this covers the last 80 seconds. Forgetting an incarnation does no
/// harm by itself: an agent that is heard for the first time has to answer at its address before anything
/// depends on it.
const MAX_TERMINATED: usize = 4096;

/// The number of a heartbeat of one incarnation.
type HeartbeatNumber = u64;

/// A terminated incarnation of an agent, with the number of its last committed heartbeat.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
struct TerminatedAgent(MinionId, HeartbeatNumber);

/// The terminated incarnations that are remembered, the latest last.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct TerminatedAgents(VecDeque<TerminatedAgent>);

impl TerminatedAgents {
    /// Remembers that an incarnation has terminated, with the number of its last committed heartbeat.
    pub fn insert(&mut self, agent: MinionId, last: u64) {
        self.0.push_back(TerminatedAgent(agent, last));
        while self.0.len() > MAX_TERMINATED {
            self.0.pop_front();
        }
    }

    /// Forgets an incarnation that turned out not to have terminated.
    pub fn remove(&mut self, agent: &MinionId) {
        self.0.retain(|TerminatedAgent(other, _)| other != agent);
    }

    /// Whether an incarnation is remembered as terminated.
    pub fn contains(&self, agent: &MinionId) -> bool {
        self.find(agent).is_some()
    }

    /// Whether an incarnation is remembered as terminated, and a heartbeat of it is no later than the last
    /// committed one.
    pub fn is_stale(&self, agent: &MinionId, heartbeat: u64) -> bool {
        self.find(agent).is_some_and(|last| heartbeat <= last)
    }

    fn find(&self, agent: &MinionId) -> Option<HeartbeatNumber> {
        let mut agents = self.0.iter();
        let found = agents.find(|TerminatedAgent(other, _)| other == agent);
        found.map(|TerminatedAgent(_, last)| *last)
    }
}
