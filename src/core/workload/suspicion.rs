//! Evidence against tasks that may crash the hosts they run on.
//!
//! Some tasks crash their host: they exhaust its resources, at once or after some seconds, or trigger a
//! fault of its kernel. The leader sees only that the host's agent is lost. It restarts the tasks of a lost
//! agent elsewhere at once, and there a *poison task* crashes the next host. So the crash of a host is
//! *evidence* against the tasks that ran there, unless another cause is known.
//!
//! The first crash proves little: ten tasks may run on one host, and any host may crash. A task is a
//! *suspect* after a second crash, or after one crash of a host where nothing else ran. Its next attempt is a
//! *trial*: it runs on a host by itself for as long as it takes. Either the task is done, or it crashes a host
//! that nothing else can have crashed. The weight of such a crash is the improbability that the host crashed
//! by itself within just that time: the rarer other crashes are, the more it proves. Weights are in decibans,
//! tenths of a decimal order of magnitude, and are added up. Once the sum is *conclusive*, the job of the
//! task fails as a *poison job*.
//!
//! Often no trial is needed. A batch task that had just started when its host crashed, and again at the next
//! crash, is the cause of both, unless hosts crash so often, for whatever reason, that both are chance. If
//! another task ran beside it both times, that task may have been the cause, and neither crash proves
//! anything.
//!
//! The batch tasks of a job are alike, and the job fails as a whole, so they share the evidence from trials.
//! Each long-running task has its own evidence.
//!
//! The job of a batch task under which [`Own::MOST`] hosts have crashed fails, whatever the crashes prove.
//!
//! The evidence is in the ledger, so that none is lost if the leader changes in the middle. This module only
//! adds it up and judges it. The leader's scheduler decides what counts as another cause, how often hosts
//! crash by themselves, and where suspects run.
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::core::workload::suspicion::{Evidence, decibans};
//!
//! let worked = Duration::from_secs(1);
//! let mut evidence = Evidence::default();
//! // Two hosts crashed under the task while other tasks ran there, too.
//! for _ in 0..2 {
//!     evidence.note(0, worked);
//!     evidence.own.note(decibans(0.5), true);
//! }
//! assert!(evidence.is_suspect() && !evidence.is_conclusive(false));
//! // A third host crashed that ran nothing else. The chance that it crashed by itself is one in a thousand.
//! evidence.note(decibans(0.001), worked);
//! assert!(evidence.is_conclusive(false));
//! ```

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job::TaskId;
use crate::core::types::MinionId;

/// The number of crashes under a task itself that make it a suspect.
const SUSPECT: u32 = 2;
/// The number of crashes under the batch tasks of its job that make a task a suspect, and without which trials
/// can't prove it to be poison.
const CONVICT: u32 = 3;
/// The conclusive weight in decibans. The first is for a batch task in trials: such crashes have a chance of
/// one in five hundred if the task is harmless. The second is for a long-running task, or for a batch task
/// without trials: one in five thousand, since hosts crash some time under most long-running tasks, and many
/// tasks run where hosts crash.
const CONCLUSIVE: (u32, u32) = (27, 37);
/// The most that repeated crashes under the task itself add to the weight of trials, in decibans, whatever
/// else ran on those hosts. They add to it because so few tasks were present at both crashes.
const TWICE: u32 = 10;

/// The number of crashes with the task as the only possible cause that count in full.
const FULL: u32 = 2;
/// The decibans by which each further such crash counts less. Crashes of hosts that crash by themselves weigh
/// half of that on average, so that any number of them adds up to nothing.
const FURTHER: u32 = 8;

/// The weight of an event as evidence, in decibans, if its probability is `chance` when the suspect isn't its
/// cause.
pub fn decibans(chance: f64) -> u32 {
    // The clamp keeps the weight in the range of u32. A value that is no chance (above 1, or NaN) gives 0.
    let weight = -10.0 * chance.clamp(1e-30, 1.0).log10();
    weight as u32
}

/// The evidence against a task: the crashes of hosts under it, or under any batch task of its job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Evidence {
    /// The number of crashes.
    pub hosts: u32,
    /// Their total weight, in decibans. Absent in snapshots of earlier releases.
    #[serde(default)]
    pub weight: u32,
    /// Whether only the task, or others of its job, can have caused the last crash. Absent in snapshots of
    /// earlier releases.
    #[serde(default)]
    pub alone: bool,
    /// The number of crashes after the first that only the task, or others of its job, can have caused. Absent
    /// in snapshots of earlier releases.
    #[serde(default)]
    pub tried: u32,
    /// The longest run time of the task at any of the crashes. Absent in snapshots of earlier releases.
    #[serde(default)]
    pub longest: Duration,
    /// The crashes under the task itself, without those under other tasks of its job. Absent in snapshots of
    /// earlier releases.
    #[serde(default)]
    pub own: Own,
}

/// The crashes of hosts under a task itself, without those under other tasks of its job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Own {
    /// The number of crashes.
    pub hosts: u32,
    /// The number of crashes on hosts where the task is known to have started.
    pub begun: u32,
    /// The sum of their weights, in decibans. The sooner after the task's start a host crashes, the higher the
    /// weight.
    pub sum: u32,
    /// The highest of these weights, in decibans.
    pub most: u32,
}

impl Own {
    /// The number of crashes under a batch task after which its job fails in any case. Users rely on at most
    /// two more starts after a third crash.
    pub const MOST: u32 = 5;
    /// The number of crashes after which the task runs only on hosts by itself.
    const LAST: u32 = 3;

    /// Records a crash of the given weight in decibans. `begun` is whether the task is known to have started on
    /// that host.
    pub fn note(&mut self, weight: u32, begun: bool) {
        self.begun += u32::from(begun);
        self.sum = self.sum.saturating_add(weight);
        self.most = self.most.max(weight);
        self.hosts = self.hosts.saturating_add(1);
    }

    /// The total weight, in decibans. The crash with the highest weight doesn't count: any host that crashes
    /// does so soon after the start of some task.
    pub fn weight(&self) -> u32 {
        self.sum - self.most
    }

    /// Whether the task may not run beside other tasks any more.
    pub fn is_last(&self) -> bool {
        self.hosts >= Self::LAST
    }
}

impl Evidence {
    /// Records a crash of the given weight in decibans, and for how long the task had run. The weight of the
    /// first crash doesn't count, as any host may crash.
    pub fn note(&mut self, weight: u32, worked: Duration) {
        let counted = if self.hosts > 0 { weight } else { 0 };
        let counts = self.hosts > 0 && weight > 0;
        let further = counts && self.tried >= FULL;
        let taken = if further { FURTHER } else { 0 };
        self.tried += u32::from(counts);
        self.weight = self.weight.saturating_add(counted).saturating_sub(taken);
        self.alone = weight > 0;
        self.hosts = self.hosts.saturating_add(1);
        self.longest = self.longest.max(worked);
    }

    /// Whether the task is a suspect, which has to run on a host by itself.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect_without(0)
    }

    /// Whether the task is a suspect if another cause was found for `explained` of the crashes.
    pub fn is_suspect_without(&self, explained: u32) -> bool {
        let left = self.hosts.saturating_sub(explained);
        self.own.hosts >= SUSPECT || left >= CONVICT || (left > 0 && self.alone)
    }

    /// Whether the evidence is conclusive, so that the job of the task fails as poison. `lasting` is whether
    /// the task is long-running.
    pub fn is_conclusive(&self, lasting: bool) -> bool {
        let least = if lasting { CONCLUSIVE.1 } else { CONCLUSIVE.0 };
        // Limited, because where hosts crash all the time, some tasks are present at two crashes by chance.
        let twice = TWICE.min(self.own.weight());
        let tried = self.hosts >= CONVICT && self.alone && self.weight + twice >= least;
        if lasting {
            return tried;
        }
        let sudden = self.own.weight() >= CONCLUSIVE.1;
        // Callers are told that a task may fail as poison once two hosts have crashed under it, and not before.
        let proved = (tried || sudden) && self.own.begun >= SUSPECT;
        proved || self.own.hosts >= Own::MOST
    }

    /// Whether the evidence is conclusive against one of `tasks` long-running tasks. The more there are, the
    /// more evidence it takes, since some of them are present at several crashes by chance.
    pub fn is_conclusive_among(&self, tasks: usize) -> bool {
        let one = decibans(1.0 / tasks.max(1) as f64);
        self.is_conclusive(true) && self.weight >= CONCLUSIVE.0 + one
    }

    /// Whether there is no evidence, as for nearly all tasks.
    pub fn is_none(&self) -> bool {
        self.hosts == 0
    }
}

/// The loss of an agent's incarnation without a known cause other than the tasks that ran there.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Crash {
    /// The agent.
    pub agent: MinionId,
    /// The tasks that ran there.
    pub tasks: Vec<Present>,
    /// How often hosts crashed by themselves until then. Absent in log entries of earlier releases.
    #[serde(default)]
    pub seen: Seen,
}

/// A task that ran on a host when it crashed, with the weight of the crash as evidence against the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Present {
    /// The task.
    pub task: TaskId,
    /// The weight of the crash, in decibans, if only this task or others of its job can have caused it;
    /// otherwise 0. Absent in log entries of earlier releases.
    #[serde(default)]
    pub weight: u32,
    /// The weight of the crash by how soon after the task's start it happened, in decibans, whatever else ran
    /// there. Absent in log entries of earlier releases.
    #[serde(default)]
    pub sudden: u32,
    /// Whether the task is known to have started there. Absent in log entries of earlier releases.
    #[serde(default)]
    pub begun: bool,
    /// How long the task may have run there. Absent in log entries of earlier releases.
    #[serde(default)]
    pub worked: Duration,
}

/// How often hosts crashed by themselves recently.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Seen {
    /// The time that hosts were at work, summed over all hosts.
    pub worked: Duration,
    /// The number of hosts that crashed during that time for no known reason.
    pub ends: u32,
}
