//! Tasks that may be started, and in which order.
//!
//! Lasting work goes first: it earns as long as it stands. Then comes what can still meet its
//! objective, the most urgent first, and last what can't any more, which mustn't make others late
//! too.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::core::{
    types::{Now, PoolId, Resources},
    workload::{
        catalog::{Eligibility, JobId},
        job::StepId,
        spec::{StepSpec, TaskIx},
    },
};

/// The tasks of a step that may be started.
#[derive(Clone, Debug)]
pub(super) struct Ready {
    /// The pool whose agents may run them.
    pub(super) pool: PoolId,
    /// What they are.
    pub(super) spec: StepSpec,
    /// Which.
    pub(super) free: BTreeSet<TaskIx>,
    /// When their job should be through.
    pub(super) deadline: Now,
    /// About how long it takes from here to the job's end.
    pub(super) left: Duration,
    /// The queue's priority.
    pub(super) priority: u32,
    /// What it costs to ask where its tasks may run, if that must be asked.
    pub(super) eligibility: Option<Eligibility>,
}

/// The place of a step among those that are ready; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    class: Class,
    priority: u32,
    deadline: Now,
    step: StepId,
}

/// Which steps go before others, whatever their deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Lasting,
    InTime,
    Late,
}

impl Ready {
    pub(super) fn rank(&self, now: Now, step: StepId) -> Rank {
        let class = if self.spec.lasting {
            Class::Lasting
        } else if now + self.left <= self.deadline {
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
}

impl Rank {
    pub(super) fn step(&self) -> StepId {
        self.step
    }
}

/// All steps with tasks that may be started.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    steps: BTreeMap<StepId, Ready>,
    /// How many steps were looked at by walks.
    looks: Cell<usize>,
}

impl Queue {
    pub(super) fn get(&self, step: StepId) -> Option<&Ready> {
        self.steps.get(&step)
    }

    pub(super) fn get_mut(&mut self, step: StepId) -> Option<&mut Ready> {
        self.steps.get_mut(&step)
    }

    pub(super) fn insert(&mut self, step: StepId, ready: Ready) {
        self.steps.insert(step, ready);
    }

    /// Forgets a job that is over.
    pub(super) fn forget(&mut self, job: JobId) {
        let first = StepId {
            job,
            occurrence: 0,
            step: 0,
        };
        let found = self
            .steps
            .range(first..)
            .take_while(|(id, _)| id.job == job);
        let found: Vec<_> = found.map(|(id, _)| *id).collect();
        for id in found {
            self.steps.remove(&id);
        }
    }

    /// Takes a task out, as it is being started.
    pub(super) fn take(&mut self, step: StepId, task: TaskIx) {
        if let Some(ready) = self.steps.get_mut(&step) {
            ready.free.remove(&task);
        }
    }

    /// The steps of a pool with free tasks that fit into some room, in the order to be served.
    pub(super) fn order(&self, now: Now, pool: &PoolId, room: &Resources) -> Vec<Rank> {
        let steps = self.steps.iter().inspect(|_| self.look());
        let mut ranks: Vec<_> = steps
            .filter(|(_, ready)| {
                !ready.free.is_empty() && ready.pool == *pool && room.fits(&ready.spec.room())
            })
            .map(|(step, ready)| ready.rank(now, *step))
            .collect();
        ranks.sort_unstable();
        ranks
    }

    /// The pools with free tasks.
    pub(super) fn pools(&self) -> BTreeSet<PoolId> {
        let steps = self.steps.values().inspect(|_| self.look());
        let ready = steps.filter(|r| !r.free.is_empty());
        ready.map(|r| r.pool.clone()).collect()
    }

    /// All steps that are ready.
    pub(super) fn iter(&self) -> impl Iterator<Item = (StepId, &Ready)> {
        let steps = self.steps.iter().inspect(|_| self.look());
        steps.map(|(id, ready)| (*id, ready))
    }

    /// How many steps were looked at by walks since this was asked last.
    pub(super) fn take_looks(&self) -> usize {
        self.looks.take()
    }

    fn look(&self) {
        self.looks.set(self.looks.get() + 1);
    }
}
