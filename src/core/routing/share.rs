//! How the nodes of a data centre divide a minion's slots.
//!
//! Every node computes the same [`home_share`] from the same configured list of nodes, so the
//! parts never add up to more than the whole with a node killed, frozen or cut from its peers:
//! nobody takes what was given to another. [`Sharing`] names the ways that were weighed;
//! `docs/ROUTING.md` has their figures.

use std::hash::{BuildHasher, BuildHasherDefault};

use rustc_hash::FxHasher;

use crate::core::types::NodeId;

/// A way to share slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sharing {
    /// Each node has its home share, and lends what it doesn't use.
    #[default]
    Loans,
    /// Each node has its home share only.
    Split,
    /// Each minion belongs to one node.
    Owner,
    /// Each node uses all slots and relies on the minion to refuse. Doesn't hold the limit by
    /// itself.
    Optimistic,
}

impl Sharing {
    /// This node's part of `slots` before any loan.
    pub fn home(self, slots: u32, minion: &str, node: NodeId, nodes: &[NodeId]) -> u32 {
        match self {
            Self::Loans | Self::Split => home_share(slots, minion, node, nodes),
            Self::Owner if owner(minion, nodes) == Some(node) => slots,
            Self::Owner => 0,
            Self::Optimistic if nodes.contains(&node) => slots,
            Self::Optimistic => 0,
        }
    }
}

/// This node's part of `whole`, which `nodes` divide among them.
///
/// The parts add up to `whole`. What can't be divided evenly goes to nodes in turn, beginning at
/// a place that depends on the minion's name, so that no node gets the larger part of them all.
/// A node that isn't in the list gets nothing.
///
/// ```
/// use egretpin::core::routing::share::home_share;
///
/// let parts: u32 = [1, 2, 3].iter().map(|n| home_share(8, "m1", *n, &[1, 2, 3])).sum();
/// assert_eq!(parts, 8);
/// ```
pub fn home_share(whole: u32, minion: &str, node: NodeId, nodes: &[NodeId]) -> u32 {
    let Some(rank) = nodes.iter().position(|n| *n == node) else {
        return 0;
    };
    let count = nodes.len() as u32;
    let turn = (rank as u32 + first_turn(minion, count)) % count;
    whole / count + u32::from(turn < whole % count)
}

fn owner(minion: &str, nodes: &[NodeId]) -> Option<NodeId> {
    let first = first_turn(minion, (nodes.len() as u32).max(1));
    nodes.get(first as usize).copied()
}

fn first_turn(minion: &str, count: u32) -> u32 {
    let hash = BuildHasherDefault::<FxHasher>::default().hash_one(minion);
    ((hash >> 32) % u64::from(count)) as u32
}
