//! Tasks that may end the hosts that run them.
//!
//! Some tasks take their host down, most of them as they begin: they exhaust what it has, or trip over a
//! fault of its kernel. To the leader such a host is merely gone, and a task of a host that is gone is
//! started elsewhere at once, where it does the same. So the end of a host is *evidence* against what
//! ran there, unless it has another cause in sight. It proves little by itself, as ten tasks may run on
//! a host and any host may end. A *suspect* therefore begins next where nothing else does, so that it
//! either *passes*, and is a task like any other, or ends a host that only it can have ended. Who does
//! that again and again is *convicted*: its job can't be done, and fails.
//!
//! The evidence is in the ledger, so that a leader which ends in the middle loses none of it. What
//! counts as another cause, and where suspects run, is the leader's to decide.
//!
//! ```
//! use egretpin::core::workload::suspicion::Evidence;
//!
//! let mut evidence = Evidence::default();
//! // It began beside others when its host ended, and then twice where nothing else did.
//! evidence.note(true, false);
//! assert!(evidence.is_suspect() && !evidence.is_conclusive());
//! evidence.note(true, true);
//! evidence.note(true, true);
//! assert!(evidence.is_conclusive());
//! ```

use serde::{Deserialize, Serialize};

use super::job::TaskId;
use crate::core::types::MinionId;

/// Hosts that must have ended under a task for it to be convicted: one where it began beside others, and
/// two where nothing else could have ended them.
const HOSTS: u32 = 3;
/// What proves a task guilty: two hosts that ended as it began and nothing else did, or six that ended
/// while nothing else was at work. That a host ends by itself in the moment in which a suspect begins
/// there happens; that a second one does, under the same suspect, hardly. In the seconds that a suspect
/// is at work it does: where each host ends every twenty seconds, in one of four.
const PROOF: u32 = 6;
/// How much of it a host is that ended as the task began.
const AS_BEGUN: u32 = 3;
/// How much of it one is that ended later.
const AS_WORKED: u32 = 1;
/// Hosts that must have ended under a task for it to be suspected if it had been at work for a while
/// each time. Most hosts that end by themselves do so under some such tasks.
const AT_WORK: u32 = 2;

/// The hosts that ended under a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Evidence {
    /// How many.
    pub hosts: u32,
    /// What those of them prove that nothing but the task and others of its job can have ended.
    pub proof: u32,
    /// Whether one has ended as the task began, and it hasn't passed since.
    pub begun: bool,
    /// How many had ended when it passed last.
    pub passed: u32,
}

impl Evidence {
    /// Another host has ended under the task: as it began, or later; and nothing else can have ended
    /// it, or other tasks can, too.
    pub fn note(&mut self, begun: bool, alone: bool) {
        self.hosts = self.hosts.saturating_add(1);
        let proof = if begun { AS_BEGUN } else { AS_WORKED };
        self.proof = self.proof.saturating_add(if alone { proof } else { 0 });
        self.begun |= begun;
    }

    /// The task has begun and its host goes on.
    pub fn pass(&mut self) {
        self.begun = false;
        self.passed = self.hosts;
    }

    /// Whether it is enough for the task to begin where nothing else does.
    pub fn is_suspect(&self) -> bool {
        self.begun || self.hosts >= self.passed.saturating_add(AT_WORK)
    }

    /// Whether it is enough for the task's job to fail.
    pub fn is_conclusive(&self) -> bool {
        self.hosts >= HOSTS && self.proof >= PROOF
    }

    /// Whether there is none, as for nearly all tasks.
    pub fn is_none(&self) -> bool {
        self.hosts == 0
    }
}

/// The end of an agent's incarnation for which no cause is known but what ran there.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Crash {
    /// The agent.
    pub agent: MinionId,
    /// What ran there.
    pub tasks: Vec<Present>,
}

/// A task that ran where an agent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Present {
    /// Which.
    pub task: TaskId,
    /// Whether it had just begun.
    pub begun: bool,
    /// Whether nothing but the task and others of its job can have ended the host.
    pub alone: bool,
}
