//! What must hold between the fields of a daemon's settings.

use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf};

use super::Peer;
use crate::{core::types::NodeId, settings::cursor::Placed};

/// One of this node's own addresses by the name of its field, if it could be read.
type Listener<'a> = (&'static str, Option<&'a Placed<'a, SocketAddr>>);

/// What could be read of the fields that depend on one another.
pub(super) struct Parts<'a> {
    pub(super) node: Option<NodeId>,
    pub(super) listeners: [Listener<'a>; 4],
    pub(super) voters: &'a [Placed<'a, NodeId>],
    pub(super) peers: Option<&'a [Placed<'a, Peer>]>,
    pub(super) data: Option<&'a Option<PathBuf>>,
}

/// Reports whatever doesn't fit together.
pub(super) fn check(parts: &Parts<'_>) {
    let peers = parts.peers.unwrap_or_default();
    check_listeners(&parts.listeners);
    check_peers(parts.node, peers, &parts.listeners);
    check_twice(parts.voters);
    if let Some(node) = parts.node {
        check_data(node, parts);
        if parts.peers.is_some() {
            check_voters(node, peers, parts.voters);
        }
    }
}

fn check_listeners(listeners: &[Listener<'_>]) {
    let known: Vec<_> = listeners
        .iter()
        .filter_map(|(name, p)| Some((name, (*p)?)))
        .collect();
    for (at, (_, placed)) in known.iter().enumerate() {
        let earlier = known[..at]
            .iter()
            .find(|(_, p)| overlap(p.value, placed.value));
        if let Some((name, other)) = earlier {
            placed.at.add(
                format!("{} overlaps {name} {}", placed.value, other.value),
                "give each a port of its own",
            );
        }
    }
}

/// Node ids are unique, and no address is another node's too.
fn check_peers(node: Option<NodeId>, peers: &[Placed<'_, Peer>], listeners: &[Listener<'_>]) {
    let mut nodes: BTreeSet<NodeId> = node.into_iter().collect();
    let own = listeners
        .iter()
        .filter_map(|(_, placed)| Some((*placed)?.value));
    let mut taken: BTreeSet<SocketAddr> = own.collect();
    for Placed { at, value: peer } in peers {
        if !nodes.insert(peer.node) {
            let right = "give each node an id of its own, and leave this node out of its peers";
            at.add(format!("node {} is there already", peer.node), right);
        }
        for address in [peer.mesh, peer.callers] {
            if !taken.insert(address) {
                let right = "give each its own";
                at.add(format!("the address {address} is used already"), right);
            }
        }
    }
}

fn check_twice(voters: &[Placed<'_, NodeId>]) {
    let mut seen = BTreeSet::new();
    for Placed { at, value } in voters {
        if !seen.insert(value) {
            at.add(
                format!("node {value} is named twice"),
                "name each voter once",
            );
        }
    }
}

fn check_voters(node: NodeId, peers: &[Placed<'_, Peer>], voters: &[Placed<'_, NodeId>]) {
    for Placed { at, value } in voters {
        if *value != node && peers.iter().all(|p| p.value.node != *value) {
            let right = "name this node or one of its peers";
            at.add(format!("there is no node {value}"), right);
        }
    }
}

/// A voter has a data folder.
fn check_data(node: NodeId, parts: &Parts<'_>) {
    let voter = parts.voters.iter().find(|p| p.value == node);
    if let (Some(Placed { at, .. }), Some(None)) = (voter, parts.data) {
        let right = "give the field data, for example data: /var/lib/egretpin";
        at.add("this node votes and has no data folder", right);
    }
}

/// Whether two listeners of one process would get in each other's way.
fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let wide = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && (wide || a.ip() == b.ip())
}
