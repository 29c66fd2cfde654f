//! When a draining host has nothing left that a stop would cut.
//!
//! A host is empty when no job has a live start right there and no request can be in flight to
//! its minions. Nobody reports requests by host, so that is told by time: once every node of the
//! data centre has known of the drain for as long as a request can take, the last one that was
//! sent before has ended. A node without a configuration lease may not know of the drain, and so
//! the time begins anew as long as there is one. That can make a wave wait for a cut data centre,
//! which is right: its minions are all that its callers have.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::core::{
    state::{Stage, State},
    types::{DataCentreId, HostId, Now},
};

/// How long after a commit every node that holds a lease routes by it, in its own data centre and
/// towards the others. No soak is shorter: a host counts again only once everybody can know that
/// it serves (seen with a soak of one second: the next host drained while a node of another data
/// centre still took the returned one for idle, and refused requests).
pub(super) const SPREAD: Duration = Duration::from_secs(3);

/// Where every node holds a configuration lease.
#[derive(Debug, Default)]
pub(super) struct Holders {
    /// The data centres that have nodes.
    pub(super) known: BTreeSet<DataCentreId>,
    /// Those of them in which a node holds no lease.
    pub(super) missing: BTreeSet<DataCentreId>,
}

impl Holders {
    /// Whether every node that may route to minions of a data centre holds a lease. Where it has
    /// no nodes of its own that may be any node.
    fn cover(&self, centre: &DataCentreId) -> bool {
        if self.known.contains(centre) {
            return !self.missing.contains(centre);
        }
        !self.known.is_empty() && self.missing.is_empty()
    }
}

/// Since when each draining host's data centre has known of the drain.
#[derive(Debug, Default)]
pub(super) struct Quiet(BTreeMap<HostId, Now>);

impl Quiet {
    /// A host drains from now on.
    pub(super) fn begin(&mut self, host: &HostId, now: Now) {
        self.0.insert(host.clone(), now);
    }

    /// A host doesn't drain any more.
    pub(super) fn end(&mut self, host: &HostId) {
        self.0.remove(host);
    }

    /// Begins anew where a node holds no lease.
    pub(super) fn watch(&mut self, state: &State, now: Now, holders: &Holders) {
        let declared = &state.configuration().declaration().hosts;
        for (host, since) in &mut self.0 {
            let known = declared.get(host);
            if known.is_some_and(|spec| !holders.cover(&spec.data_centre)) {
                *since = now;
            }
        }
    }

    /// The hosts that are empty; they aren't watched any more.
    pub(super) fn drained(&mut self, state: &State, now: Now) -> Vec<HostId> {
        let services = state.configuration().declaration().services.values();
        let longest = services.map(|spec| spec.timeout).max().unwrap_or_default();
        let over = |since: Now| now >= since + SPREAD + longest;
        let idle = |host: &HostId| state.jobs().on_host(host).next().is_none();
        let drains = |host: &HostId| {
            let found = state.hosts().get(host);
            found.is_some_and(|found| found.stage == Stage::Draining)
        };
        self.0
            .extract_if(.., |host, since| over(*since) && idle(host) && drains(host))
            .map(|(host, _)| host)
            .collect()
    }
}
