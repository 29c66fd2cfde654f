//! Empties busy hosts so that they can move to another pool.
//!
//! When a surge ends, it leaves its pool with hosts that are each half full. They become empty one
//! by one, as the longest task on each ends, but new tasks are placed in the gaps meanwhile. If
//! another pool lacks hosts then, the hosts that such a pool has beyond its present need get no new
//! work and move as soon as they are empty. No task is stopped for this.
//!
//! In a fleet that isn't scarce, only hosts that are empty within the time of a move are chosen. In
//! a scarce one, a pool that has more than its target serves work that is worth less than that of
//! the other pool, so its hosts are emptied however long their tasks take.

use std::time::Duration;

use super::{
    Agent, Now, PoolId, Scheduler,
    balance::{HostCounts, surplus},
    demand::MOVE_TIME,
    host_orders::Priority,
    operations::{Purpose, Stage},
};
use crate::core::types::HostId;

/// The longest time until a chosen host is expected to be empty: as long as a move takes. A host
/// that takes longer comes too late for the need that it is emptied for.
const MAX_EMPTYING: Duration = MOVE_TIME;
/// How long a chosen host may take to become empty, if its tasks take longer than expected. A host
/// that is expected to take longer from the start has [`MAX_EMPTYING`] more than that.
const EMPTYING_TIMEOUT: Duration = Duration::from_millis(3000);

/// About when a busy host will be empty, the host, and its pool.
pub(super) type EmptyingHost = (Now, HostId, PoolId);

impl Scheduler {
    /// The busy hosts that will be empty soon, the earliest first.
    pub(super) fn hosts_empty_soon(&self, now: Now) -> Vec<EmptyingHost> {
        let scarce = self.hosts.missing > 0;
        let views = self.hosts.views.values();
        let soon = views.filter_map(|view| {
            let agent = self.agent_at(view)?;
            let able = agent.is_healthy() && !agent.cordoned;
            let empty = agent
                .empty_at()
                .filter(|at| able && (scarce || *at <= now + MAX_EMPTYING))?;
            let movable = self.is_movable(now, view);
            movable.then(|| (empty, view.host.clone(), view.pool.clone()))
        });
        let mut soon: Vec<_> = soon.collect();
        soon.sort_unstable();
        soon
    }

    /// Lets hosts move that have become empty. Gives up hosts that the other pool no longer needs or
    /// that don't become empty in time.
    pub(super) fn check_vacating(&mut self, now: Now, needs: &HostCounts, have: &mut HostCounts) {
        let scarce = self.hosts.missing > 0;
        let (mut emptied, mut kept) = (Vec::new(), Vec::new());
        for (host, operation) in &mut self.hosts.operations {
            let Purpose::Move(to) = &operation.purpose else {
                continue;
            };
            if operation.stage != Stage::Emptying {
                continue;
            }
            let agent = operation.agent.as_ref().and_then(|id| self.agents.get(id));
            let need = needs.get(to).copied().unwrap_or_default();
            let mut timeout = operation.since + EMPTYING_TIMEOUT;
            if scarce {
                let expected = agent.and_then(Agent::empty_at).unwrap_or_default();
                timeout = timeout.max(expected + MAX_EMPTYING);
            }
            let count = have.entry(to.clone()).or_default();
            if agent.is_none_or(|agent| agent.slots.is_empty()) {
                emptied.push(host.clone());
            } else if *count > need || now >= timeout {
                *count -= 1;
                kept.push(host.clone());
            }
        }
        // Those that can't move yet go on working, and are chosen again if they are still needed.
        let room = self.hosts.orders.room(now, Priority::Needed);
        let waiting = emptied.split_off(room.min(emptied.len()));
        for host in emptied {
            self.hosts.line_up(now, &host);
        }
        for host in &waiting {
            let operation = self.hosts.operations.get(host);
            if let Some(Purpose::Move(to)) = operation.map(|operation| &operation.purpose) {
                *have.entry(to.clone()).or_default() -= 1;
            }
        }
        for host in kept.into_iter().chain(waiting) {
            if let Some(view) = self.hosts.views.get(&host) {
                *have.entry(view.pool.clone()).or_default() += 1;
            }
            self.end_operation(now, &host);
        }
    }
}

/// Takes the busy host that will be empty first, from pools that have more than they need now.
pub(super) fn take_emptiest(
    soon: &mut Vec<EmptyingHost>,
    needs: &HostCounts,
    have: &HostCounts,
    to: &PoolId,
) -> Option<HostId> {
    let found = soon.iter().position(|(_, _, pool)| {
        pool != to && needs.contains_key(pool) && surplus(needs, have, pool) > 0
    });
    found.map(|at| soon.remove(at).1)
}
