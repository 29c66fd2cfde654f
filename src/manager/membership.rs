//! Which control nodes should vote.
//!
//! A voter that is gone for good must be replaced soon, since the next loss can follow. A node that
//! lost its disk comes back under another id; so an id whose address another id lives at is gone.
//! One that is merely silent is given more time, as it may come back with all it had.

use std::{collections::BTreeMap, time::Duration};

use super::identity::ip;
use crate::core::types::{DataCentreId, NodeId, Now};

/// A voter that is silent for so long is replaced if another node can take its place. Longer than
/// a restart, shorter than what operators take between two losses.
const SILENCE: Duration = Duration::from_secs(8);
/// A node counts as alive if it was heard within this: three of its views.
const ALIVE: Duration = Duration::from_secs(3);

/// The control nodes that were heard of.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    heard: BTreeMap<NodeId, (Now, DataCentreId)>,
}

impl Members {
    /// A control node was heard.
    pub(super) fn heard(&mut self, now: Now, node: NodeId, data_centre: DataCentreId) {
        self.heard.insert(node, (now, data_centre));
    }

    /// A control node was heard of; it isn't known to live.
    pub(super) fn told(&mut self, node: NodeId, data_centre: DataCentreId) {
        self.heard.entry(node).or_insert((Now::ZERO, data_centre));
    }

    /// All that were heard of, but those whose address another id has.
    pub(super) fn all(&self, now: Now) -> Vec<(NodeId, DataCentreId)> {
        let nodes = self.heard.iter();
        let nodes = nodes.filter(|(node, _)| !self.replaced(now, **node));
        nodes
            .map(|(node, (_, centre))| (*node, centre.clone()))
            .collect()
    }

    /// Those of some nodes that were heard lately.
    pub(super) fn living(&self, now: Now, nodes: &[NodeId]) -> Vec<NodeId> {
        let living = |node: &NodeId| self.within(now, *node, ALIVE);
        nodes.iter().copied().filter(living).collect()
    }

    /// The change of voters that is wanted most; `None` if all is well.
    ///
    /// A leader that began at `led` can't tell silent voters from those that it has had no time to
    /// hear.
    pub(super) fn wanted(
        &self,
        now: Now,
        led: Now,
        voters: &[NodeId],
        target: usize,
    ) -> Option<Vec<NodeId>> {
        let lost = voters.iter().copied().find(|v| self.replaced(now, *v));
        let silent = || {
            let silent = |v: &NodeId| now >= led + SILENCE && !self.within(now, *v, SILENCE);
            voters.iter().copied().find(silent)
        };
        let lost = lost.or_else(silent);
        if voters.len() > target {
            return lost.map(|lost| without(voters, lost));
        }
        if lost.is_none() && voters.len() == target {
            return None;
        }
        let staying: Vec<_> = voters
            .iter()
            .copied()
            .filter(|v| Some(*v) != lost)
            .collect();
        let added = self.candidate(now, voters, &staying)?;
        let mut changed = voters.to_vec();
        changed.push(added);
        changed.sort_unstable();
        Some(changed)
    }

    /// A living node that isn't a voter, in a data centre with as few of those as can be.
    fn candidate(&self, now: Now, voters: &[NodeId], staying: &[NodeId]) -> Option<NodeId> {
        let centre = |node: &NodeId| self.heard.get(node).map(|(_, centre)| centre);
        let others = self.heard.keys().copied();
        let able = others.filter(|n| {
            !voters.contains(n) && self.within(now, *n, ALIVE) && !self.replaced(now, *n)
        });
        able.min_by_key(|n| {
            let same = staying.iter().filter(|v| centre(v) == centre(n)).count();
            (same, *n)
        })
    }

    fn within(&self, now: Now, node: NodeId, span: Duration) -> bool {
        let heard = self.heard.get(&node);
        heard.is_some_and(|(heard, _)| now < *heard + span)
    }

    /// Whether another id, heard later, lives at the address of this one.
    fn replaced(&self, now: Now, node: NodeId) -> bool {
        let heard = self.heard.get(&node).map_or(Now::ZERO, |(heard, _)| *heard);
        self.heard.iter().any(|(other, (at, _))| {
            *other != node && ip(*other) == ip(node) && *at > heard && now < *at + ALIVE
        })
    }
}

fn without(voters: &[NodeId], lost: NodeId) -> Vec<NodeId> {
    voters.iter().copied().filter(|v| *v != lost).collect()
}
