//! How many jobs of each service run in each data centre and rack.

use crate::core::types::Map;

/// Counts by service and place; only places with jobs are held.
#[derive(Clone, Debug, Default)]
pub(super) struct Spread {
    centres: Map<(u32, u32), u32>,
    racks: Map<(u32, u32), u32>,
}

impl Spread {
    pub(super) fn add(&mut self, service: u32, centre: u32, rack: u32) {
        *self.centres.entry((service, centre)).or_default() += 1;
        *self.racks.entry((service, rack)).or_default() += 1;
    }

    pub(super) fn take(&mut self, service: u32, centre: u32, rack: u32) {
        lower(&mut self.centres, (service, centre));
        lower(&mut self.racks, (service, rack));
    }

    pub(super) fn in_centre(&self, service: u32, centre: u32) -> u32 {
        self.centres.get(&(service, centre)).copied().unwrap_or(0)
    }

    pub(super) fn in_rack(&self, service: u32, rack: u32) -> u32 {
        self.racks.get(&(service, rack)).copied().unwrap_or(0)
    }
}

fn lower(counts: &mut Map<(u32, u32), u32>, place: (u32, u32)) {
    if let Some(count) = counts.get_mut(&place) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&place);
        }
    }
}
