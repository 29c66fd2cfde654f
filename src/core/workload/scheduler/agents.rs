//! The agents that the leader knows, and when each of them has to be visited.
//!
//! Nearly all that a leader does about an agent is due because something has just happened to it
//! (an answer, a heartbeat, a commit), or because a time has come that is known in advance (its
//! next renewal, the next try of an order, the end of its lease). So whoever may change an agent
//! marks it as *dirty*, and a turn visits the dirty agents and those whose time has come.
//! Afterwards, the scheduler says for each visited agent when it has to be visited next if nothing
//! happens to it. The cost of a turn is then that of the agents it visits. When a leader visited
//! all of 350 agents some twenty times per turn, it spent a third of its processor on that in a
//! surge, and had no processor time left for the orders.
//!
//! Iterations over all agents are counted. The cost of one event must not grow with the fleet, and
//! the count shows it where a clock can't.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{agent::Agent, domains::DataCentres, size_classes::OpenRoom};
use crate::core::{
    types::{DataCentreId, Map, MinionId, Name, Now, PoolId, Resources},
    workload::command::AgentRecord,
};

/// The agents by their ids.
#[derive(Clone, Debug, Default)]
pub(super) struct Agents {
    /// Iterations go by the sorted `ids`, so that decisions don't depend on the hasher.
    entries: Map<MinionId, Entry>,
    ids: BTreeSet<MinionId>,
    /// The known incarnations of each agent.
    by_name: Map<Name, Vec<MinionId>>,
    /// The agents at each address.
    by_address: Map<SocketAddr, Vec<MinionId>>,
    /// The agents of each pool by what they have free, as of the last
    /// [`Agents::update_indexes`].
    pools: BTreeMap<PoolId, Pool>,
    /// Whether agents are indexed by data centre as well.
    by_centre: bool,
    /// How many agents of each data centre answer, as of the last [`Agents::update_indexes`]. Empty
    /// unless agents are indexed by data centre.
    centres: DataCentres,
    /// When agents have to be visited. Each agent has at most one entry.
    timers: BTreeSet<(Now, MinionId)>,
    /// The agents that may have changed since their last visit.
    dirty: Vec<MinionId>,
    /// The agents that don't answer, as of the last [`Agents::update_indexes`].
    unresponsive: BTreeSet<MinionId>,
    /// The agents that run long-running tasks, as of their last visit.
    renewals: Renewals,
    /// The number of visits of agents.
    visits: Cell<usize>,
}

/// What an agent has free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Free {
    /// It runs something and has this free.
    Part(Resources),
    /// It runs nothing.
    All,
}

impl Free {
    fn of(agent: &Agent) -> Self {
        if agent.slots.is_empty() {
            Self::All
        } else {
            Self::Part(agent.free())
        }
    }
}

/// Agents by what they have free. Tasks of a pool come in few sizes, so many agents have the same
/// free, and those that lack memory are passed over together.
#[derive(Clone, Debug, Default)]
struct FreeIndex(BTreeMap<Free, BTreeSet<MinionId>>);

impl FreeIndex {
    fn insert(&mut self, free: Free, id: &MinionId) {
        self.0.entry(free).or_default().insert(id.clone());
    }

    fn remove(&mut self, free: Free, id: &MinionId) {
        if let Some(same) = self.0.get_mut(&free) {
            same.remove(id);
            if same.is_empty() {
                self.0.remove(&free);
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The ids of the agents that run something and have room for `room`, by what they have free,
    /// those with the fewest cores first.
    fn busy(
        &self,
        room: Resources,
    ) -> impl DoubleEndedIterator<Item = (Resources, &BTreeSet<MinionId>)> {
        let least = Resources {
            millicores: room.millicores,
            ..Resources::default()
        };
        let found = self.0.range(Free::Part(least)..Free::All);
        found.filter_map(move |(free, ids)| match free {
            Free::Part(free) => free.fits(&room).then_some((*free, ids)),
            Free::All => None,
        })
    }

    /// The ids of the agents that run nothing.
    fn idle(&self) -> impl DoubleEndedIterator<Item = &MinionId> {
        self.0.get(&Free::All).into_iter().flatten()
    }
}

/// The agents of a pool.
#[derive(Clone, Debug, Default)]
struct Pool {
    agents: FreeIndex,
    /// The number of agents.
    size: usize,
    /// The same agents by data centre. Empty unless agents are indexed by data centre.
    centres: BTreeMap<DataCentreId, CentrePool>,
}

/// The agents of a pool in one data centre.
#[derive(Clone, Debug, Default)]
struct CentrePool {
    agents: FreeIndex,
    /// Thousandths of a core that these agents have free for new tasks.
    open: u64,
}

/// What the indexes hold about an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Standing {
    free: Free,
    /// Thousandths of a core that it has free for new tasks.
    open: u64,
    /// Whether it is polled, so that a failure to answer would show.
    pub(super) polled: bool,
    /// Whether it doesn't answer.
    pub(super) failing: bool,
    /// Whether it says something about its data centre: another incarnation doesn't run in its
    /// place, and no order about its host has ended it.
    pub(super) counted: bool,
}

impl Standing {
    fn of(agent: &Agent) -> Self {
        let failing = agent.failing_since.is_some();
        let open = agent.is_healthy() && !agent.cordoned && !agent.unconfirmed;
        Self {
            free: Free::of(agent),
            open: if open { agent.free().millicores } else { 0 },
            polled: failing || !agent.slots.is_empty(),
            failing,
            counted: !agent.replaced && !agent.evicting && !agent.record.leaving,
        }
    }
}

impl Pool {
    fn insert(&mut self, id: &MinionId, standing: Standing, centre: Option<&DataCentreId>) {
        self.agents.insert(standing.free, id);
        self.size += 1;
        if let Some(centre) = centre {
            let centre = self.centres.entry(centre.clone()).or_default();
            centre.agents.insert(standing.free, id);
            centre.open += standing.open;
        }
    }

    fn remove(&mut self, id: &MinionId, standing: Standing, centre: Option<&DataCentreId>) {
        self.agents.remove(standing.free, id);
        self.size -= 1;
        let Some((name, centre)) = centre.and_then(|c| Some((c, self.centres.get_mut(c)?))) else {
            return;
        };
        centre.agents.remove(standing.free, id);
        centre.open -= standing.open;
        if centre.agents.is_empty() {
            self.centres.remove(name);
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    agent: Agent,
    dirty: bool,
    /// The time of its entry in `timers`.
    due: Option<Now>,
    /// What the indexes hold about it.
    standing: Standing,
    /// The time of its entry in `renewals`, and the long-running tasks that run there.
    renewal: Option<(Now, usize)>,
}

/// The agents that run long-running tasks, ordered by when they last answered a renewal.
#[derive(Clone, Debug, Default)]
struct Renewals {
    order: BTreeSet<(Now, MinionId)>,
    /// The number of long-running tasks that run at these agents.
    running: usize,
}

impl Renewals {
    /// Replaces the entry of an agent: the time of its last answer, and the long-running tasks that
    /// run there.
    fn replace(
        &mut self,
        id: &MinionId,
        before: Option<(Now, usize)>,
        after: Option<(Now, usize)>,
    ) {
        if before == after {
            return;
        }
        if let Some((since, running)) = before {
            self.order.remove(&(since, id.clone()));
            self.running -= running;
        }
        if let Some((since, running)) = after {
            self.order.insert((since, id.clone()));
            self.running += running;
        }
    }
}

impl Entry {
    /// Marks the agent as dirty and adds it to `dirty`, unless it is dirty already.
    fn mark_dirty(&mut self, dirty: &mut Vec<MinionId>) {
        if !self.dirty {
            self.dirty = true;
            dirty.push(self.agent.record.id.clone());
        }
    }

    fn reindex(
        &mut self,
        pools: &mut BTreeMap<PoolId, Pool>,
        centres: &mut DataCentres,
        by_centre: bool,
    ) {
        let AgentRecord {
            id,
            pool,
            data_centre,
            ..
        } = &self.agent.record;
        let standing = Standing::of(&self.agent);
        if standing == self.standing {
            return;
        }
        let centre = by_centre.then_some(data_centre);
        if let Some(pool) = pools.get_mut(pool) {
            pool.remove(id, self.standing, centre);
            pool.insert(id, standing, centre);
        }
        if let Some(centre) = centre {
            centres.remove(centre, self.standing);
            centres.insert(centre, standing);
        }
        self.standing = standing;
    }
}

impl Agents {
    /// Creates an empty set of agents, which are indexed by data centre as well if `by_centre`.
    pub(super) fn new(by_centre: bool) -> Self {
        Self {
            by_centre,
            ..Self::default()
        }
    }

    pub(super) fn get(&self, id: &MinionId) -> Option<&Agent> {
        self.entries.get(id).map(|entry| &entry.agent)
    }

    /// Returns an agent to be changed, and marks it as dirty.
    pub(super) fn get_mut(&mut self, id: &MinionId) -> Option<&mut Agent> {
        let entry = self.entries.get_mut(id)?;
        entry.mark_dirty(&mut self.dirty);
        Some(&mut entry.agent)
    }

    pub(super) fn insert(&mut self, id: MinionId, agent: Agent) {
        self.remove(&id);
        let standing = Standing::of(&agent);
        let centre = self.by_centre.then_some(&agent.record.data_centre);
        let pool = self.pools.entry(agent.record.pool.clone()).or_default();
        pool.insert(&id, standing, centre);
        if let Some(centre) = centre {
            self.centres.insert(centre, standing);
        }
        let names = self.by_name.entry(agent.record.name().clone());
        names.or_default().push(id.clone());
        let there = self.by_address.entry(agent.record.address);
        there.or_default().push(id.clone());
        let entry = Entry {
            agent,
            dirty: true,
            due: None,
            standing,
            renewal: None,
        };
        self.dirty.push(id.clone());
        self.ids.insert(id.clone());
        self.entries.insert(id, entry);
    }

    pub(super) fn remove(&mut self, id: &MinionId) {
        let Some(Entry {
            agent,
            due,
            standing,
            renewal,
            ..
        }) = self.entries.remove(id)
        else {
            return;
        };
        self.ids.remove(id);
        if let Some(same) = self.by_name.get_mut(agent.record.name()) {
            same.retain(|other| other != id);
            if same.is_empty() {
                self.by_name.remove(agent.record.name());
            }
        }
        self.remove_address(id, agent.record.address);
        let centre = self.by_centre.then_some(&agent.record.data_centre);
        if let Some(pool) = self.pools.get_mut(&agent.record.pool) {
            pool.remove(id, standing, centre);
        }
        if let Some(centre) = centre {
            self.centres.remove(centre, standing);
        }
        if let Some(due) = due {
            self.timers.remove(&(due, id.clone()));
        }
        self.unresponsive.remove(id);
        self.renewals.replace(id, renewal, None);
    }

    /// Replaces the record of a known agent, whose address may have changed.
    pub(super) fn set_record(&mut self, record: &AgentRecord) {
        let id = &record.id;
        let Some(agent) = self.get_mut(id) else {
            return;
        };
        let before = std::mem::replace(&mut agent.record, record.clone());
        agent.record.capacity = record.capacity.clamped();
        if before.address != record.address {
            self.remove_address(id, before.address);
            let there = self.by_address.entry(record.address);
            there.or_default().push(id.clone());
        }
    }

    fn remove_address(&mut self, id: &MinionId, address: SocketAddr) {
        if let Some(there) = self.by_address.get_mut(&address) {
            there.retain(|other| other != id);
            if there.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// The agents that are known at an address or by a name, in the order of their ids.
    pub(super) fn at_or_named(&self, address: SocketAddr, name: &Name) -> Vec<&Agent> {
        let there = self.by_address.get(&address).into_iter().flatten();
        let there = there.filter_map(|id| self.get(id));
        let mut agents: Vec<_> = there.chain(self.incarnations(name)).collect();
        agents.sort_unstable_by(|one, other| one.record.id.cmp(&other.record.id));
        agents.dedup_by(|one, other| one.record.id == other.record.id);
        self.visits.set(self.visits.get() + agents.len());
        agents
    }

    /// The incarnation of an agent that is running, as far as is known: one that hasn't been
    /// replaced and has answered is preferred, then the one that became known last.
    pub(super) fn current(&self, name: &Name) -> Option<&Agent> {
        // Nearly all agents have one known incarnation.
        if let [only] = self.by_name.get(name)?.as_slice() {
            return self.get(only);
        }
        let same = self.incarnations(name);
        same.max_by_key(|agent| (!agent.replaced, !agent.unconfirmed, agent.known_since))
    }

    /// The known incarnations of an agent.
    pub(super) fn incarnations(&self, name: &Name) -> impl Iterator<Item = &Agent> {
        let same = self.by_name.get(name).into_iter().flatten();
        same.filter_map(|id| self.get(id))
    }

    /// All agents, in the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&MinionId, &Agent)> {
        let known = self.ids.iter();
        let known = known.filter_map(|id| Some((id, self.get(id)?)));
        known.inspect(|_| self.count_visit())
    }

    /// All agents in no particular order, for sums that no decision depends on. Doesn't count as
    /// visits.
    pub(super) fn unordered(&self) -> impl Iterator<Item = &Agent> {
        self.entries.values().map(|entry| &entry.agent)
    }

    /// The number of agents.
    pub(super) fn len(&self) -> usize {
        self.ids.len()
    }

    /// The number of long-running tasks that are placed at agents.
    pub(super) fn long_running(&self) -> usize {
        self.values().map(Agent::long_running).sum()
    }

    /// All agents without their ids.
    pub(super) fn values(&self) -> impl Iterator<Item = &Agent> {
        self.iter().map(|(_, agent)| agent)
    }

    /// The agents of a pool that have at least `least` thousandths of a core free.
    pub(super) fn with_room(&self, pool: &PoolId, least: u64) -> impl Iterator<Item = &Agent> {
        let room = millicores(least);
        let idle = self.idle(pool, None, room).rev();
        self.busy_with_room(pool, None, room).chain(idle)
    }

    /// The agents of a pool that run something and have this free, in all data centres or in one.
    pub(super) fn busy_with_room(
        &self,
        pool: &PoolId,
        centre: Option<&DataCentreId>,
        room: Resources,
    ) -> impl Iterator<Item = &Agent> {
        let index = self.index(pool, centre).into_iter();
        let ids = index.flat_map(move |index| index.busy(room));
        let ids = ids.flat_map(|(_, ids)| ids);
        self.visited(ids)
    }

    /// The agents of a pool that run nothing and have this free, the highest id first, in all data
    /// centres or in one.
    pub(super) fn idle(
        &self,
        pool: &PoolId,
        centre: Option<&DataCentreId>,
        room: Resources,
    ) -> impl DoubleEndedIterator<Item = &Agent> {
        let index = self.index(pool, centre).into_iter();
        let ids = index.flat_map(FreeIndex::idle).rev();
        self.visited(ids)
            .filter(move |agent| agent.free().fits(&room))
    }

    /// The largest free amounts at those agents of a pool that `able` accepts and that have at least
    /// `least` thousandths of a core free.
    pub(super) fn open_room(
        &self,
        pool: &PoolId,
        least: u64,
        able: impl Fn(&Agent) -> bool,
    ) -> OpenRoom {
        let room = millicores(least);
        let mut open = OpenRoom::default();
        for agent in self.idle(pool, None, room) {
            if !open.fits(&agent.free()) && able(agent) {
                open.add(agent.free());
            }
        }
        let index = self.index(pool, None).into_iter();
        // The agents with the most cores come first, so that most of the others add nothing.
        for (free, ids) in index.flat_map(|index| index.busy(room)).rev() {
            if !open.fits(&free) && self.visited(ids.iter()).any(&able) {
                open.add(free);
            }
        }
        open
    }

    fn index(&self, pool: &PoolId, centre: Option<&DataCentreId>) -> Option<&FreeIndex> {
        let pool = self.pools.get(pool)?;
        match centre {
            None => Some(&pool.agents),
            Some(centre) => pool.centres.get(centre).map(|centre| &centre.agents),
        }
    }

    fn visited<'a>(
        &'a self,
        ids: impl DoubleEndedIterator<Item = &'a MinionId>,
    ) -> impl DoubleEndedIterator<Item = &'a Agent> {
        let agents = ids.filter_map(|id| self.get(id));
        agents.inspect(|_| self.count_visit())
    }

    /// The data centres in which a pool has agents, each with the thousandths of a core that it has
    /// free for new tasks. Empty unless agents are indexed by data centre.
    pub(super) fn open_millicores(
        &self,
        pool: &PoolId,
    ) -> impl Iterator<Item = (&DataCentreId, u64)> {
        let centres = self.pools.get(pool).map(|pool| &pool.centres);
        let centres = centres.into_iter().flatten();
        centres.map(|(name, centre)| (name, centre.open))
    }

    /// How many agents of each data centre answer.
    pub(super) fn centres(&self) -> &DataCentres {
        &self.centres
    }

    /// All pools, each with its agents.
    pub(super) fn pools(&self) -> impl Iterator<Item = (&PoolId, impl Iterator<Item = &Agent>)> {
        self.pools
            .iter()
            .map(|(pool, agents)| (pool, self.visited(agents.agents.0.values().flatten())))
    }

    /// The number of agents of a pool.
    pub(super) fn pool_size(&self, pool: &PoolId) -> usize {
        self.pools.get(pool).map_or(0, |pool| pool.size)
    }

    /// The agents that don't answer.
    pub(super) fn unresponsive(&self) -> impl Iterator<Item = &Agent> {
        let ids = self.unresponsive.iter();
        ids.filter_map(|id| self.get(id))
            .inspect(|_| self.count_visit())
    }

    /// The ids of the dirty agents that don't answer, in order.
    pub(super) fn dirty_unresponsive(&self) -> Vec<MinionId> {
        let dirty = |id: &&MinionId| self.entries.get(*id).is_some_and(|entry| entry.dirty);
        let ids: Vec<_> = self.unresponsive.iter().filter(dirty).cloned().collect();
        self.visits.set(self.visits.get() + ids.len());
        ids
    }

    /// Marks the agents whose time has come as dirty.
    pub(super) fn mark_due(&mut self, now: Now) {
        while self.timers.first().is_some_and(|(due, _)| *due <= now) {
            let Some((_, id)) = self.timers.pop_first() else {
                break;
            };
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.due = None;
                entry.mark_dirty(&mut self.dirty);
            }
        }
        self.update_indexes();
    }

    /// Updates the indexes for the dirty agents: those that don't answer, the free room in each
    /// pool, and the data centres that are cut off.
    pub(super) fn update_indexes(&mut self) {
        for id in &self.dirty {
            let Some(entry) = self.entries.get_mut(id) else {
                continue;
            };
            entry.reindex(&mut self.pools, &mut self.centres, self.by_centre);
            if entry.agent.failing_since.is_some() {
                self.unresponsive.insert(id.clone());
            } else {
                self.unresponsive.remove(id);
            }
        }
        self.centres.update_cut();
    }

    /// Updates the free room of an agent that has just got or lost a task, where the index is
    /// needed at once.
    pub(super) fn reindex(&mut self, id: &MinionId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.reindex(&mut self.pools, &mut self.centres, self.by_centre);
        }
    }

    /// Marks all agents as dirty, as if each had changed. The decisions must not depend on it.
    pub(super) fn mark_all_dirty(&mut self) {
        for id in &self.ids {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.mark_dirty(&mut self.dirty);
            }
        }
    }

    /// The ids of the dirty agents, in order.
    pub(super) fn dirty(&self) -> Vec<MinionId> {
        let mut ids = self.dirty.clone();
        ids.sort_unstable();
        // An agent that was removed and added again is listed twice.
        ids.dedup();
        self.visits.set(self.visits.get() + ids.len());
        ids
    }

    /// Schedules the next visit of the dirty agents for the time that `next` returns, and records
    /// their renewals. They are dirty no more.
    pub(super) fn schedule_visits(&mut self, next: impl Fn(&MinionId, &Agent) -> Option<Now>) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(entry) = self.entries.get_mut(&id).filter(|entry| entry.dirty) else {
                continue;
            };
            entry.dirty = false;
            let renewal = entry.agent.oldest_renewal();
            let before = std::mem::replace(&mut entry.renewal, renewal);
            self.renewals.replace(&id, before, renewal);
            let due = next(&id, &entry.agent);
            if due == entry.due {
                continue;
            }
            if let Some(before) = std::mem::replace(&mut entry.due, due) {
                self.timers.remove(&(before, id.clone()));
            }
            if let Some(due) = due {
                self.timers.insert((due, id));
            }
        }
    }

    /// The number of long-running tasks that run, as far as the leader knows.
    pub(super) fn running(&self) -> usize {
        self.renewals.running
    }

    /// When the agent with long-running tasks that has answered no renewal for the longest time last
    /// answered one.
    pub(super) fn oldest_renewal(&self) -> Option<Now> {
        self.renewals.order.first().map(|(since, _)| *since)
    }

    /// The agents with long-running tasks that have answered no renewal since `limit`, the longest
    /// first, each with the time of its last answer and the number of these tasks.
    pub(super) fn overdue(&self, limit: Now) -> impl Iterator<Item = (Now, usize, &Agent)> {
        let overdue = self.renewals.order.iter();
        let overdue = overdue.take_while(move |(since, _)| *since <= limit);
        overdue.filter_map(|(since, id)| {
            self.count_visit();
            let entry = self.entries.get(id)?;
            let (_, running) = entry.renewal?;
            Some((*since, running, &entry.agent))
        })
    }

    /// The number of visits since [`Agents::take_visits`] was called.
    pub(super) fn visits(&self) -> usize {
        self.visits.get()
    }

    /// The number of visits since the last call.
    pub(super) fn take_visits(&self) -> usize {
        self.visits.take()
    }

    fn count_visit(&self) {
        self.visits.set(self.visits.get() + 1);
    }
}

fn millicores(millicores: u64) -> Resources {
    Resources {
        millicores,
        ..Resources::default()
    }
}
