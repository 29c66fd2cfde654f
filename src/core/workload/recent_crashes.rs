//! The crashes of the last minute, which the next leader has to know.
//!
//! Hosts that crash together, or one soon after the other, probably have one cause. A leader that begins in
//! the middle of such a crowd sees its last hosts only, and takes them for single ones.
//!
//! The log holds no time of a crash. A crash counts as being as old as the next round that the log holds after
//! it, by the clock of the leader that decided the round, and as one of now if there is none. So clocks of two
//! leaders that differ shift the age by as much.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use super::{command::AgentRecord, job::TaskId, suspicion::Crash};
use crate::core::types::{DataCentreId, MinionId, PoolId, RackId, Wall};

/// How long a crash is remembered. A constant, since it must be the same on every node.
const RETENTION: Duration = Duration::from_secs(60);
/// The most crashes that are remembered; the oldest are forgotten first.
const MAX_CRASHES: usize = 1024;

/// What the log shows of one crash.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RecentCrash {
    /// The agent.
    pub agent: MinionId,
    /// The rack of its host.
    pub rack: Option<RackId>,
    /// The data centre of its host.
    pub data_centre: DataCentreId,
    /// The pool that it belonged to.
    pub pool: PoolId,
    /// The tasks that ran there, and whether each is long-running.
    pub tasks: Vec<(TaskId, bool)>,
    /// When the next round in the log was decided, by the clock of its leader.
    at: Option<Wall>,
}

impl RecentCrash {
    /// How long ago it was, as far as the log shows.
    pub fn age(&self, wall: Wall) -> Duration {
        self.at.map_or(Duration::ZERO, |at| wall.saturating_sub(at))
    }
}

/// The recent crashes, the latest last.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct RecentCrashes(VecDeque<RecentCrash>);

impl RecentCrashes {
    /// Records a crash of a registered agent. `is_batch` says of a task whether it is a batch task.
    pub fn record(
        &mut self,
        crash: &Crash,
        record: &AgentRecord,
        is_batch: impl Fn(TaskId) -> bool,
    ) {
        let tasks = crash.tasks.iter().map(|present| present.task);
        self.0.push_back(RecentCrash {
            agent: crash.agent.clone(),
            rack: record.rack().cloned(),
            data_centre: record.data_centre.clone(),
            pool: record.pool.clone(),
            tasks: tasks.map(|task| (task, !is_batch(task))).collect(),
            at: None,
        });
        while self.0.len() > MAX_CRASHES {
            self.0.pop_front();
        }
    }

    /// Notes that a round was decided at a time, and forgets what is too old by then.
    pub fn pass(&mut self, at: Wall) {
        if at.is_zero() {
            return;
        }
        let open = self
            .0
            .iter_mut()
            .rev()
            .take_while(|crash| crash.at.is_none());
        open.for_each(|crash| crash.at = Some(at));
        while self
            .0
            .front()
            .is_some_and(|crash| crash.age(at) >= RETENTION)
        {
            self.0.pop_front();
        }
    }

    /// The crashes, the latest last.
    pub fn iter(&self) -> impl Iterator<Item = &RecentCrash> {
        self.0.iter()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
