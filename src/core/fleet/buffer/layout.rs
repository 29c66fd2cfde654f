//! An even spread of a pool's hosts over its racks.

use super::{Need, Racks};

/// A host as dealt: which rack it stands in and for whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Host {
    /// The rack, by its place in the given ones.
    pub rack: usize,
    /// The service, by its place in the given needs; `None` for a spare.
    pub service: Option<usize>,
}

/// Deals the needed hosts and the spares to the racks, one layer of hosts after the other, so that
/// each service and the spares are spread as evenly as the racks allow.
///
/// Deals fewer if the racks are full.
pub fn layout(racks: &Racks, needs: &[Need], spares: u32) -> Vec<Host> {
    let services = needs
        .iter()
        .enumerate()
        .flat_map(|(place, need)| (0..need.minions).map(move |_| Some(place)));
    let standing = services.chain((0..spares).map(|_| None));
    slots(racks)
        .zip(standing)
        .map(|(rack, service)| Host { rack, service })
        .collect()
}

/// What the two fullest racks hold when `hosts` are dealt layer by layer.
pub(super) fn top_two(racks: &Racks, hosts: u32) -> u32 {
    let mut held = vec![0; racks.len()];
    for rack in slots(racks).take(hosts as usize) {
        held[rack] += 1;
    }
    held.sort_unstable_by(|a, b| b.cmp(a));
    held.iter().take(2).sum()
}

/// The racks' places for hosts, layer by layer.
fn slots(racks: &Racks) -> impl Iterator<Item = usize> {
    let layers = racks.iter().copied().max().unwrap_or(0);
    (0..layers).flat_map(move |layer| (0..racks.len()).filter(move |rack| racks[*rack] > layer))
}
