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
//! If [`OwnEvidence::MAX_HOSTS`] hosts have crashed under a batch task, its job fails, whatever the crashes
//! prove.
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
//! let run_time = Duration::from_secs(1);
//! let mut evidence = Evidence::default();
//! // Two hosts crashed under the task while other tasks ran there, too.
//! for _ in 0..2 {
//!     evidence.record(0, run_time);
//!     evidence.own.record(decibans(0.5), true);
//! }
//! assert!(evidence.is_suspect() && !evidence.is_conclusive(false));
//! // A third host crashed that ran nothing else. The chance that it crashed by itself is one in a thousand.
//! evidence.record(decibans(0.001), run_time);
//! assert!(evidence.is_conclusive(false));
//! ```

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job::TaskId;
use crate::core::types::MinionId;

/// The number of crashes under a task itself that make it a suspect.
const MIN_SUSPECT_HOSTS: u32 = 2;
/// The number of crashes under the batch tasks of its job that make a task a suspect, and without which trials
/// can't prove it to be poison.
const MIN_POISON_HOSTS: u32 = 3;
/// The conclusive weight in decibans. The first is for a batch task in trials: such crashes have a chance of
/// one in five hundred if the task is harmless. The second is for a long-running task, or for a batch task
/// without trials: one in five thousand, since hosts crash some time under most long-running tasks, and many
/// tasks run where hosts crash.
const CONCLUSIVE_DECIBANS: (u32, u32) = (27, 37);
/// The most that repeated crashes under the task itself add to the weight of trials, in decibans, whatever
/// else ran on those hosts. They add to it because so few tasks were present at both crashes.
const MAX_REPEAT_DECIBANS: u32 = 10;

/// The number of crashes with the task as the only possible cause that count in full.
const FULL_WEIGHT_HOSTS: u32 = 2;
/// The decibans by which each further such crash counts less. Crashes of hosts that crash by themselves weigh
/// half of that on average, so that any number of them adds up to nothing.
const DISCOUNT_DECIBANS: u32 = 8;

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
    #[serde(rename = "alone", default)]
    pub isolated: bool,
    /// The number of crashes after the first that only the task, or others of its job, can have caused. Absent
    /// in snapshots of earlier releases.
    #[serde(rename = "tried", default)]
    pub trials: u32,
    /// The longest run time of the task at any of the crashes. Absent in snapshots of earlier releases.
    #[serde(rename = "longest", default)]
    pub longest_run: Duration,
    /// The crashes under the task itself, without those under other tasks of its job. Absent in snapshots of
    /// earlier releases.
    #[serde(default)]
    pub own: OwnEvidence,
}

/// The crashes of hosts under a task itself, without those under other tasks of its job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct OwnEvidence {
    /// The number of crashes.
    pub hosts: u32,
    /// The number of crashes on hosts where the task is known to have started.
    #[serde(rename = "begun")]
    pub started: u32,
    /// The sum of their weights, in decibans. The sooner after the task's start a host crashes, the higher the
    /// weight.
    #[serde(rename = "sum")]
    pub total_weight: u32,
    /// The highest of these weights, in decibans.
    #[serde(rename = "most")]
    pub max_weight: u32,
}

impl OwnEvidence {
    /// The number of crashes under a batch task after which its job fails in any case. Users rely on at most
    /// two more starts after a third crash.
    pub const MAX_HOSTS: u32 = 5;
    /// The number of crashes after which the task runs only on hosts by itself.
    const ISOLATE_HOSTS: u32 = 3;

    /// Records a crash of the given weight in decibans. `started` is whether the task is known to have started
    /// on that host.
    pub fn record(&mut self, weight: u32, started: bool) {
        self.started += u32::from(started);
        self.total_weight = self.total_weight.saturating_add(weight);
        self.max_weight = self.max_weight.max(weight);
        self.hosts = self.hosts.saturating_add(1);
    }

    /// The total weight, in decibans. The crash with the highest weight doesn't count: any host that crashes
    /// does so soon after the start of some task.
    pub fn weight(&self) -> u32 {
        self.total_weight - self.max_weight
    }

    /// Whether the task may not run beside other tasks any more.
    pub fn must_isolate(&self) -> bool {
        self.hosts >= Self::ISOLATE_HOSTS
    }
}

impl Evidence {
    /// Records a crash of the given weight in decibans, and for how long the task had run. The weight of the
    /// first crash doesn't count, as any host may crash.
    pub fn record(&mut self, weight: u32, run_time: Duration) {
        let counted = if self.hosts > 0 { weight } else { 0 };
        let counts = self.hosts > 0 && weight > 0;
        let further = counts && self.trials >= FULL_WEIGHT_HOSTS;
        let taken = if further { DISCOUNT_DECIBANS } else { 0 };
        self.trials += u32::from(counts);
        self.weight = self.weight.saturating_add(counted).saturating_sub(taken);
        self.isolated = weight > 0;
        self.hosts = self.hosts.saturating_add(1);
        self.longest_run = self.longest_run.max(run_time);
    }

    /// Whether the task is a suspect, which has to run on a host by itself.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect_excluding(0)
    }

    /// Whether the task is a suspect if another cause was found for `explained` of the crashes.
    pub fn is_suspect_excluding(&self, explained: u32) -> bool {
        let left = self.hosts.saturating_sub(explained);
        self.own.hosts >= MIN_SUSPECT_HOSTS
            || left >= MIN_POISON_HOSTS
            || (left > 0 && self.isolated)
    }

    /// Whether the evidence is conclusive, so that the job of the task fails as poison. `long_running` is
    /// whether the task is long-running.
    pub fn is_conclusive(&self, long_running: bool) -> bool {
        let least = if long_running {
            CONCLUSIVE_DECIBANS.1
        } else {
            CONCLUSIVE_DECIBANS.0
        };
        // Limited, because where hosts crash all the time, some tasks are present at two crashes by chance.
        let repeated = MAX_REPEAT_DECIBANS.min(self.own.weight());
        let in_trials =
            self.hosts >= MIN_POISON_HOSTS && self.isolated && self.weight + repeated >= least;
        if long_running {
            return in_trials;
        }
        let without_trials = self.own.weight() >= CONCLUSIVE_DECIBANS.1;
        // Callers are told that a task may fail as poison once two hosts have crashed under it, and not before.
        let proved = (in_trials || without_trials) && self.own.started >= MIN_SUSPECT_HOSTS;
        proved || self.own.hosts >= OwnEvidence::MAX_HOSTS
    }

    /// Whether the evidence is conclusive against one of `tasks` long-running tasks. The more there are, the
    /// more evidence it takes, since some of them are present at several crashes by chance.
    pub fn is_conclusive_among(&self, tasks: usize) -> bool {
        let one = decibans(1.0 / tasks.max(1) as f64);
        self.is_conclusive(true) && self.weight >= CONCLUSIVE_DECIBANS.0 + one
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
    pub tasks: Vec<CrashedTask>,
    /// How often hosts crashed by themselves until then. Absent in log entries of earlier releases.
    #[serde(rename = "seen", default)]
    pub failure_rate: FailureRate,
}

/// A task that ran on a host when it crashed, with the weight of the crash as evidence against the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CrashedTask {
    /// The task.
    pub task: TaskId,
    /// The weight of the crash, in decibans, if only this task or others of its job can have caused it;
    /// otherwise 0. Absent in log entries of earlier releases.
    #[serde(default)]
    pub weight: u32,
    /// The weight of the crash by how soon after the task's start it happened, in decibans, whatever else ran
    /// there. Absent in log entries of earlier releases.
    #[serde(rename = "sudden", default)]
    pub timing_weight: u32,
    /// Whether the task is known to have started there. Absent in log entries of earlier releases.
    #[serde(rename = "begun", default)]
    pub started: bool,
    /// How long the task may have run there. Absent in log entries of earlier releases.
    #[serde(rename = "worked", default)]
    pub run_time: Duration,
}

/// How often hosts crashed by themselves recently.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct FailureRate {
    /// The time that hosts were at work, summed over all hosts.
    #[serde(rename = "worked")]
    pub exposure: Duration,
    /// The number of hosts that crashed during that time for no known reason.
    #[serde(rename = "ends")]
    pub failures: u32,
}
