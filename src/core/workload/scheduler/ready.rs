//! Keeps the tasks that may be started, and the order in which they are served.
//!
//! Long-running tasks go first, because they earn as long as they run. Then come tasks that can
//! still meet their job's objective, the most urgent first. Last come those that can't meet it any
//! more, which mustn't make others late too. While workspaces contend for a pool, the steps of each
//! beyond its share go between the last two.
//!
//! The order is maintained incrementally instead of being computed for each plan: the backlog is
//! longest when the leader has the least time, and the cost of a plan mustn't grow with it. The
//! totals of what a pool's steps wait for are maintained in the same way.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet, btree_map, hash_map},
    ops::{Bound, RangeInclusive},
    time::Duration,
};

use roaring::RoaringBitmap;

use super::{
    owner_queue::OwnerQueue,
    size_classes::{Found, OpenRoom, SizeIndex},
};
use crate::core::{
    types::{Map, Now, PoolId, WorkspaceId},
    workload::{
        catalog::{Eligibility, JobId},
        job::{StepId, TaskId},
        spec::{Occurrence, StepIx, StepSpec, TaskIx},
        workspace_shares::Owner,
    },
};

/// The tasks of a step that may be started.
#[derive(Clone, Debug)]
pub(super) struct ReadyStep {
    /// The pool whose agents may run them.
    pub(super) pool: PoolId,
    /// The workspace of their job, and how many of the step's tasks its cap lets run at once.
    pub(super) workspace: Option<WorkspaceId>,
    pub(super) max_parallel: TaskIx,
    /// The step.
    pub(super) spec: StepSpec,
    /// The tasks that wait to be started.
    pub(super) free: RoaringBitmap,
    /// When their job should be complete.
    pub(super) deadline: Now,
    /// About how long it takes from the start of this step to the end of the job.
    pub(super) remaining_time: Duration,
    /// The queue's priority.
    pub(super) priority: u32,
    /// What a question where the tasks may run costs, if one has to be asked.
    pub(super) eligibility: Option<Eligibility>,
}

/// The position of a ready step; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    class: Class,
    priority: u32,
    deadline: Now,
    step: StepId,
}

/// Classes of steps, which go before deadlines in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    LongRunning,
    InTime,
    /// In time, and beyond the share of its workspace while workspaces contend for the pool.
    BeyondShare,
    Late,
}

impl ReadyStep {
    fn rank(&self, now: Now, step: StepId) -> Rank {
        let class = if self.spec.long_running {
            Class::LongRunning
        } else if self.latest_start().is_some_and(|lapse| now <= lapse) {
            Class::InTime
        } else {
            Class::Late
        };
        Rank {
            class,
            priority: self.priority,
            deadline: self.deadline,
            step,
        }
    }

    /// The latest time at which its job can still be in time; `None` if it never could.
    fn latest_start(&self) -> Option<Now> {
        self.deadline.checked_sub(self.remaining_time)
    }

    /// Its position among the steps of its workspace.
    fn own_rank(&self, step: StepId) -> Rank {
        Rank {
            class: Class::InTime,
            priority: self.priority,
            deadline: self.deadline,
            step,
        }
    }

    /// Its position among all steps beyond the shares of their workspaces. Priorities count only
    /// within a share.
    fn beyond_rank(&self, step: StepId) -> Rank {
        Rank {
            class: Class::BeyondShare,
            priority: 0,
            ..self.own_rank(step)
        }
    }

    /// Thousandths of a core that its free tasks wait for.
    pub(super) fn millicores(&self) -> u64 {
        let need = self.spec.reservation().millicores;
        need.saturating_mul(self.free.len())
    }
}

impl Rank {
    /// A position behind all steps that can still be in time, and before the others.
    pub(super) const BEFORE_LATE: Self = Self {
        class: Class::BeyondShare,
        priority: u32::MAX,
        deadline: Now::MAX,
        step: StepId {
            job: JobId::MAX,
            occurrence: Occurrence::MAX,
            step: StepIx::MAX,
        },
    };

    pub(super) fn step(&self) -> StepId {
        self.step
    }

    /// Whether the job of the step can no longer be in time.
    pub(super) fn is_late(&self) -> bool {
        self.class == Class::Late
    }
}

/// Which of the waiting steps of a pool are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Served {
    /// Long-running steps and those whose jobs can still be in time.
    Timely,
    /// Those whose jobs can't.
    Late,
}

/// All steps with tasks that may be started.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadyQueue {
    steps: BTreeMap<StepId, Entry>,
    pools: BTreeMap<PoolId, PoolQueue>,
    /// Thousandths of a core that the free tasks of each workspace wait for, in all pools.
    millicores: BTreeMap<WorkspaceId, u64>,
    /// When steps that can still be in time no longer can.
    latest_starts: BTreeSet<(Now, StepId)>,
    /// Whether the steps of each workspace are known, so that it can have a share.
    has_shares: bool,
    /// The workspaces of pools of which steps may have to be moved into their share or out of it.
    unsettled: BTreeSet<(PoolId, Owner)>,
    /// The number of free tasks of each job that has any.
    waiting_tasks: Map<JobId, u64>,
    /// How many steps were visited.
    visits: Cell<usize>,
}

#[derive(Clone, Debug)]
struct Entry {
    ready: ReadyStep,
    /// Its position in the line of its pool.
    rank: Rank,
}

/// The steps of a pool that have free tasks.
#[derive(Clone, Debug, Default)]
struct PoolQueue {
    ranks: BTreeSet<Rank>,
    /// The same by what each of their tasks takes.
    sizes: SizeIndex,
    /// Where the searches for steps that have room go on, if the last one had to stop: of steps that
    /// can still be in time, and of late ones.
    resume: [Option<Rank>; 2],
    /// The number of steps by how many hosts each needs, including steps without free tasks.
    spreads: BTreeMap<usize, usize>,
    waiting: WaitingLoad,
    /// Batch tasks whose jobs can still be in time, and those whose jobs can't.
    in_time: Backlog,
    late: Backlog,
    /// The part of `waiting` that belongs to each workspace.
    by_workspace: BTreeMap<WorkspaceId, WaitingLoad>,
    /// The batch tasks of each workspace that wait in time, if workspaces have shares.
    owners: BTreeMap<Owner, OwnerQueue>,
}

/// What the free tasks of a pool wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct WaitingLoad {
    /// Thousandths of a core of all tasks.
    pub(super) all: u64,
    /// Thousandths of a core of batch tasks, which finish by themselves.
    pub(super) batch: u64,
    /// The most hosts that any step needs to keep its tasks apart, including a step whose tasks all
    /// run.
    pub(super) spread: usize,
}

/// Batch tasks that wait to be started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Backlog {
    /// The number of their steps.
    pub(super) steps: usize,
    /// Thousandths of a core that they wait for.
    pub(super) millicores: u64,
}

impl WaitingLoad {
    fn add(&mut self, ready: &ReadyStep) {
        self.all += ready.millicores();
        if !ready.spec.long_running {
            self.batch += ready.millicores();
        }
    }

    fn take(&mut self, ready: &ReadyStep) {
        self.all -= ready.millicores();
        if !ready.spec.long_running {
            self.batch -= ready.millicores();
        }
    }
}

impl PoolQueue {
    /// The backlog that a class of steps belongs to; long-running steps belong to none.
    fn backlog(&mut self, class: Class) -> Option<&mut Backlog> {
        match class {
            Class::LongRunning => None,
            Class::InTime | Class::BeyondShare => Some(&mut self.in_time),
            Class::Late => Some(&mut self.late),
        }
    }

    /// The queue of a step's workspace, and whether the step is within its share; `None` if the
    /// step is in no such queue.
    fn owner_queue(&mut self, ready: &ReadyStep, rank: Rank) -> Option<(&mut OwnerQueue, bool)> {
        let within = match rank.class {
            Class::InTime => true,
            Class::BeyondShare => false,
            Class::LongRunning | Class::Late => return None,
        };
        let queue = self.owners.entry(ready.workspace.clone()).or_default();
        Some((queue, within))
    }

    fn waiting(&self) -> WaitingLoad {
        let spread = self.spreads.keys().next_back().copied();
        WaitingLoad {
            spread: spread.unwrap_or_default(),
            ..self.waiting
        }
    }
}

impl ReadyQueue {
    /// Creates a queue in which workspaces may have shares of the pools.
    pub(super) fn with_shares(has_shares: bool) -> Self {
        Self {
            has_shares,
            ..Self::default()
        }
    }

    pub(super) fn get(&self, step: StepId) -> Option<&ReadyStep> {
        self.steps.get(&step).map(|entry| &entry.ready)
    }

    /// Whether the job of a step can no longer be in time.
    pub(super) fn is_late(&self, step: StepId) -> bool {
        let entry = self.steps.get(&step);
        entry.is_some_and(|entry| entry.rank.class == Class::Late)
    }

    /// Adds a step, replacing what was known of it.
    pub(super) fn insert(&mut self, now: Now, step: StepId, ready: ReadyStep) {
        self.remove(step);
        let rank = ready.rank(now, step);
        if let Some(lapse) = ready.latest_start().filter(|_| rank.class == Class::InTime) {
            self.latest_starts.insert((lapse, step));
        }
        let line = self.pools.entry(ready.pool.clone()).or_default();
        *line.spreads.entry(spread(&ready)).or_default() += 1;
        self.enter(&ready, rank);
        if self.has_shares && rank.class == Class::InTime {
            self.unsettled
                .insert((ready.pool.clone(), ready.workspace.clone()));
        }
        self.steps.insert(step, Entry { ready, rank });
    }

    /// Sets the share of a workspace in a pool: the thousandths of a core of batch tasks that it
    /// may have placed or waiting within its share. `None` is no limit.
    pub(super) fn set_share(&mut self, pool: &PoolId, owner: &Owner, share: Option<u64>) {
        let line = self.pools.entry(pool.clone()).or_default();
        let queue = line.owners.entry(owner.clone()).or_default();
        if std::mem::replace(&mut queue.share, share) != share {
            self.unsettled.insert((pool.clone(), owner.clone()));
        }
    }

    /// Counts batch tasks of a workspace that were placed in a pool.
    pub(super) fn add_placed(&mut self, pool: &PoolId, owner: &Owner, millicores: u64) {
        let line = self.pools.entry(pool.clone()).or_default();
        line.owners.entry(owner.clone()).or_default().placed += millicores;
    }

    /// Counts that they aren't placed any more.
    pub(super) fn remove_placed(&mut self, pool: &PoolId, owner: &Owner, millicores: u64) {
        let line = self.pools.entry(pool.clone()).or_default();
        let queue = line.owners.entry(owner.clone()).or_default();
        queue.placed = queue.placed.saturating_sub(millicores);
        self.unsettled.insert((pool.clone(), owner.clone()));
    }

    /// The workspaces of a pool, with the thousandths of a core of their batch tasks that are
    /// placed and that wait in time.
    pub(super) fn owners(&self, pool: &PoolId) -> impl Iterator<Item = (&Owner, &OwnerQueue)> {
        let line = self.pools.get(pool).into_iter();
        line.flat_map(|line| &line.owners)
    }

    /// Moves steps of workspaces into their shares and out of them, where that has changed since
    /// the last call.
    pub(super) fn settle_shares(&mut self) {
        for (pool, owner) in std::mem::take(&mut self.unsettled) {
            while let Some((rank, within)) = self.next_move(&pool, &owner) {
                self.count_visit();
                self.move_step(rank.step, within);
            }
        }
    }

    /// The next step of a workspace to be moved, and whether into its share.
    fn next_move(&self, pool: &PoolId, owner: &Owner) -> Option<(Rank, bool)> {
        let queue = self.pools.get(pool)?.owners.get(owner)?;
        let surplus = queue.last_within().filter(|rank| {
            let ready = self.get(rank.step);
            ready.is_some_and(|ready| queue.is_surplus(ready.millicores()))
        });
        let surplus = surplus.map(|rank| (rank, false));
        surplus.or_else(|| queue.first_due().map(|rank| (rank, true)))
    }

    /// Moves a step into the share of its workspace or out of it.
    fn move_step(&mut self, step: StepId, within: bool) {
        let Some(mut entry) = self.steps.remove(&step) else {
            return;
        };
        self.leave(&entry.ready, entry.rank);
        entry.rank = if within {
            entry.ready.own_rank(step)
        } else {
            entry.ready.beyond_rank(step)
        };
        self.enter(&entry.ready, entry.rank);
        self.steps.insert(step, entry);
    }

    /// Forgets a job that is over.
    pub(super) fn forget(&mut self, job: JobId) {
        self.forget_range(StepId::range(job, 0, Occurrence::MAX));
    }

    /// Forgets an occurrence that is finished.
    pub(super) fn forget_occurrence(&mut self, job: JobId, occurrence: Occurrence) {
        self.forget_range(StepId::range(job, occurrence, occurrence));
    }

    fn forget_range(&mut self, steps: RangeInclusive<StepId>) {
        let found: Vec<_> = self.steps.range(steps).map(|(id, _)| *id).collect();
        for id in found {
            self.remove(id);
        }
    }

    /// The number of steps with ready tasks, including steps whose tasks are all placed.
    pub(super) fn open_steps(&self) -> usize {
        self.steps.len()
    }

    /// The number of tasks of a job that wait to be started.
    pub(super) fn waiting_tasks(&self, job: JobId) -> u64 {
        self.waiting_tasks.get(&job).copied().unwrap_or_default()
    }

    /// Removes a task, if it is free: it is being started, or never runs again.
    pub(super) fn take(&mut self, step: StepId, task: TaskIx) {
        let ready = self.get(step);
        if ready.is_some_and(|ready| ready.free.contains(task)) {
            self.change(step, |free| free.remove(task));
        }
    }

    /// Puts a task back. Returns whether its step is known.
    pub(super) fn free(&mut self, step: StepId, task: TaskIx) -> bool {
        self.change(step, |free| free.insert(task))
    }

    /// Moves steps that can no longer be in time behind those that can.
    pub(super) fn demote_late(&mut self, now: Now) {
        while self
            .latest_starts
            .first()
            .is_some_and(|(lapse, _)| *lapse < now)
        {
            let Some((_, step)) = self.latest_starts.pop_first() else {
                return;
            };
            let Some(mut entry) = self.steps.remove(&step) else {
                continue;
            };
            self.leave(&entry.ready, entry.rank);
            entry.rank = Rank {
                class: Class::Late,
                ..entry.ready.own_rank(step)
            };
            self.enter(&entry.ready, entry.rank);
            self.steps.insert(step, entry);
        }
    }

    /// The step of a pool to be served next after another, or the first.
    pub(super) fn next(&self, pool: &PoolId, after: Option<Rank>) -> Option<Rank> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.count_visit();
        let line = self.pools.get(pool)?;
        line.ranks.range((from, Bound::Unbounded)).next().copied()
    }

    /// A number of thousandths of a core that is at most what any free task of a pool takes.
    pub(super) fn min_millicores(&self, pool: &PoolId) -> Option<u64> {
        self.pools.get(pool)?.sizes.min_millicores()
    }

    /// The next steps of a pool after another whose tasks have room, `most` at most, found with about
    /// `limit` visits at most.
    pub(super) fn find(
        &self,
        pool: &PoolId,
        after: Option<Rank>,
        room: &OpenRoom,
        most: usize,
        limit: usize,
    ) -> Found {
        let line = self.pools.get(pool);
        let found = line.map(|line| line.sizes.find(after, room, most, limit));
        let found = found.unwrap_or_default();
        self.visits.set(self.visits.get() + found.visits);
        found
    }

    /// Takes where the last search of these steps of a pool had to stop, if it did.
    pub(super) fn take_resume(&mut self, pool: &PoolId, served: Served) -> Option<Rank> {
        self.pools.get_mut(pool)?.resume[served as usize].take()
    }

    /// Sets where the next search of these steps of a pool goes on.
    pub(super) fn set_resume(&mut self, pool: &PoolId, served: Served, resume: Option<Rank>) {
        if let Some(line) = self.pools.get_mut(pool) {
            line.resume[served as usize] = resume;
        }
    }

    /// Whether a pool has late steps with free tasks.
    pub(super) fn has_late(&self, pool: &PoolId) -> bool {
        self.backlogs(pool).1.steps > 0
    }

    /// The number of visits since [`ReadyQueue::take_visits`] was called.
    pub(super) fn visits(&self) -> usize {
        self.visits.get()
    }

    /// The pools with free tasks.
    pub(super) fn pools(&self) -> Vec<PoolId> {
        let lines = self.pools.iter().filter(|(_, l)| !l.ranks.is_empty());
        lines.map(|(pool, _)| pool.clone()).collect()
    }

    /// What the steps of each pool wait for.
    pub(super) fn waiting(&self) -> impl Iterator<Item = (&PoolId, WaitingLoad)> {
        self.pools.iter().map(|(pool, line)| (pool, line.waiting()))
    }

    /// The batch tasks that wait in a pool: those whose jobs can still be in time, and the others.
    pub(super) fn backlogs(&self, pool: &PoolId) -> (Backlog, Backlog) {
        let line = self.pools.get(pool);
        line.map_or_else(Default::default, |line| (line.in_time, line.late))
    }

    /// What the steps of each workspace wait for in a pool.
    pub(super) fn held(&self, pool: &PoolId) -> impl Iterator<Item = (&WorkspaceId, WaitingLoad)> {
        let held = self.pools.get(pool).into_iter();
        let held = held.flat_map(|line| &line.by_workspace);
        held.map(|(workspace, held)| (workspace, *held))
    }

    /// Thousandths of a core that the steps of a workspace wait for, in all pools.
    pub(super) fn millicores(&self, workspace: &str) -> u64 {
        self.millicores.get(workspace).copied().unwrap_or_default()
    }

    /// The long-running tasks that wait to be started.
    pub(super) fn waiting_long_running(&self) -> Vec<TaskId> {
        let pools = self.pools.values();
        let ranks = pools.flat_map(|line| {
            let ranks = line.ranks.iter();
            ranks.take_while(|rank| rank.class == Class::LongRunning)
        });
        let steps = ranks.inspect(|_| self.count_visit());
        let ready = steps.filter_map(|rank| self.get(rank.step).map(|ready| (rank.step, ready)));
        let tasks = ready.flat_map(|(step, ready)| {
            let tasks = ready.free.iter();
            tasks.map(move |task| TaskId { step, task })
        });
        tasks.collect()
    }

    /// All steps with ready tasks, including steps whose tasks are all placed.
    pub(super) fn iter(&self) -> impl Iterator<Item = (StepId, &ReadyStep)> {
        let steps = self.steps.iter().inspect(|_| self.count_visit());
        steps.map(|(id, entry)| (*id, &entry.ready))
    }

    /// How many steps were visited since the last call.
    pub(super) fn take_visits(&self) -> usize {
        self.visits.take()
    }

    /// Changes which tasks of a step are free. Returns whether the step is known.
    fn change(&mut self, step: StepId, change: impl FnOnce(&mut RoaringBitmap) -> bool) -> bool {
        let Some(mut entry) = self.steps.remove(&step) else {
            return false;
        };
        self.leave(&entry.ready, entry.rank);
        change(&mut entry.ready.free);
        self.enter(&entry.ready, entry.rank);
        self.steps.insert(step, entry);
        true
    }

    fn remove(&mut self, step: StepId) {
        let Some(Entry { ready, rank }) = self.steps.remove(&step) else {
            return;
        };
        if let Some(lapse) = ready.latest_start() {
            self.latest_starts.remove(&(lapse, step));
        }
        self.leave(&ready, rank);
        if let Some(line) = self.pools.get_mut(&ready.pool) {
            decrement(&mut line.spreads, spread(&ready));
        }
    }

    /// Adds a step to the line of its pool, if it has free tasks.
    fn enter(&mut self, ready: &ReadyStep, rank: Rank) {
        if ready.free.is_empty() {
            return;
        }
        *self.waiting_tasks.entry(rank.step.job).or_default() += ready.free.len();
        let line = self.pools.entry(ready.pool.clone()).or_default();
        line.ranks.insert(rank);
        line.sizes.insert(ready.spec.reservation(), rank);
        line.waiting.add(ready);
        if let Some(backlog) = line.backlog(rank.class) {
            backlog.steps += 1;
            backlog.millicores += ready.millicores();
        }
        if self.has_shares
            && let Some((queue, within)) = line.owner_queue(ready, rank)
        {
            queue.add(within, ready.own_rank(rank.step), ready.millicores());
        }
        if let Some(workspace) = &ready.workspace {
            line.by_workspace
                .entry(workspace.clone())
                .or_default()
                .add(ready);
            *self.millicores.entry(workspace.clone()).or_default() += ready.millicores();
        }
    }

    /// Undoes [`ReadyQueue::enter`].
    fn leave(&mut self, ready: &ReadyStep, rank: Rank) {
        let Some(line) = self.pools.get_mut(&ready.pool) else {
            return;
        };
        if !line.ranks.remove(&rank) {
            return;
        }
        if let hash_map::Entry::Occupied(mut waiting) = self.waiting_tasks.entry(rank.step.job) {
            *waiting.get_mut() -= ready.free.len();
            if *waiting.get() == 0 {
                waiting.remove();
            }
        }
        line.sizes.remove(&ready.spec.reservation(), &rank);
        line.waiting.take(ready);
        if let Some(backlog) = line.backlog(rank.class) {
            backlog.steps -= 1;
            backlog.millicores -= ready.millicores();
        }
        if self.has_shares
            && let Some((queue, within)) = line.owner_queue(ready, rank)
        {
            queue.remove(within, ready.own_rank(rank.step), ready.millicores());
        }
        let Some(workspace) = &ready.workspace else {
            return;
        };
        if let Some(held) = line.by_workspace.get_mut(workspace) {
            held.take(ready);
        }
        if let Some(millicores) = self.millicores.get_mut(workspace) {
            *millicores -= ready.millicores();
        }
    }

    fn count_visit(&self) {
        self.visits.set(self.visits.get() + 1);
    }
}

/// Decrements the count of a key, and removes it at zero.
fn decrement<K: Ord>(counts: &mut BTreeMap<K, usize>, key: K) {
    if let btree_map::Entry::Occupied(mut count) = counts.entry(key) {
        *count.get_mut() -= 1;
        if *count.get() == 0 {
            count.remove();
        }
    }
}

/// The number of hosts that a step needs to keep its tasks apart, plus one to move a task to.
fn spread(ready: &ReadyStep) -> usize {
    let spec = &ready.spec;
    // Batch tasks can run one after the other.
    let apart = spec.per_host.filter(|_| spec.long_running);
    let tasks = spec.tasks.min(ready.max_parallel);
    let apart = apart.map_or(1, |most| tasks.div_ceil(most.max(1)));
    usize::try_from(apart)
        .unwrap_or(usize::MAX)
        .saturating_add(1)
}
