//! Hosts that are emptied for another pool.
//!
//! A rush that ends leaves its pool with hosts that are each half full: they become empty one by one,
//! as the longest task on each ends, and what comes meanwhile is placed in the gaps. If another pool
//! lacks hosts by then, those that its neighbours have beyond their present need get nothing new and
//! move as soon as they are empty. No task is ended for it.

use std::{collections::BTreeMap, time::Duration};

use super::{
    Now, PoolId, Scheduler,
    balance::{Counts, surplus},
    demand::{AHEAD, Need},
    hosts::{Purpose, Stage},
};
use crate::core::types::HostId;

/// How long a host may take to become empty: as long as a move takes, since one that takes longer
/// comes too late for the need that it is emptied for.
const SOON: Duration = AHEAD;
/// How long it is waited for at most, where tasks take longer than they should.
const PATIENCE: Duration = Duration::from_millis(3000);

/// A busy host, about when it will be empty, and its pool.
pub(super) type Soon = (Now, HostId, PoolId);

impl Scheduler {
    /// The busy hosts that will be empty soon, the first one first.
    pub(super) fn empty_soon(&self, now: Now) -> Vec<Soon> {
        let views = self.hosts.views.values();
        let soon = views.filter_map(|view| {
            let agent = self.agent_at(view)?;
            let able = agent.is_healthy() && !agent.cordoned;
            let empty = agent.empty_at().filter(|at| able && *at <= now + SOON)?;
            let movable = self.is_movable(now, view);
            movable.then(|| (empty, view.host.clone(), view.pool.clone()))
        });
        let mut soon: Vec<_> = soon.collect();
        soon.sort_unstable();
        soon
    }

    /// Moves what has become empty, and gives back what isn't needed there any more or doesn't
    /// become empty.
    pub(super) fn settle_vacating(
        &mut self,
        now: Now,
        needs: &BTreeMap<PoolId, Need>,
        have: &mut Counts,
    ) {
        let mut kept = Vec::new();
        for (host, duty) in &mut self.hosts.duties {
            let Purpose::Move(to) = &duty.what else {
                continue;
            };
            if duty.stage != Stage::Emptying {
                continue;
            }
            let agent = duty.agent.as_ref().and_then(|id| self.agents.get(id));
            let need = needs.get(to).map_or(0, |need| need.now);
            let count = have.entry(to.clone()).or_default();
            if agent.is_none_or(|agent| agent.slots.is_empty()) {
                duty.stage = Stage::Due;
                duty.since = now;
            } else if *count > need || now >= duty.since + PATIENCE {
                *count -= 1;
                kept.push(host.clone());
            }
        }
        for host in kept {
            if let Some(view) = self.hosts.views.get(&host) {
                *have.entry(view.pool.clone()).or_default() += 1;
            }
            self.end_duty(now, &host);
        }
    }
}

/// Takes the busy host that will be empty first, of the pools that have more than they need now.
pub(super) fn emptiest(
    soon: &mut Vec<Soon>,
    needs: &Counts,
    have: &Counts,
    to: &PoolId,
) -> Option<HostId> {
    let found = soon.iter().position(|(_, _, pool)| {
        pool != to && needs.contains_key(pool) && surplus(needs, have, pool) > 0
    });
    found.map(|at| soon.remove(at).1)
}
