//! How much memory the replicated state takes, by one count that every node makes alike.
//!
//! What callers, operators and agents hand in stays in the memory of each control node, and again in its log and
//! its snapshots. The count is an estimate from above, of what a leader holds besides: it needn't be exact, but
//! nothing that a sender chooses may be left out of it. It tells what can't be kept before it is accepted.
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::core::workload::{
//!     footprint::job_bytes,
//!     spec::{JobSpec, StepSpec},
//! };
//!
//! let few = JobSpec::new("x", vec![StepSpec::new(4, Duration::ZERO)]);
//! let many = JobSpec::new("x", vec![StepSpec::new(100_000, Duration::ZERO)]);
//! assert!(job_bytes(&many) < job_bytes(&few) + 40_000, "tasks that don't run cost a few bits");
//! ```

use super::{
    command::{AgentRecord, Document, WaveRecord},
    spec::{JobSpec, StepIx, StepSpec},
};
use crate::core::types::Name;

/// Bytes of a job besides its steps: in the ledger, its maps and those of the scheduler.
const JOB_BYTES: u64 = 900;
/// Bytes of a step of a job that has ended.
const ENDED_STEP_BYTES: u64 = 350;
/// Bytes of a step as it was submitted.
const STEP_BYTES: u64 = 600;
/// Bytes of a step of an occurrence that is open: its entry among the ready steps, and its tasks.
const OPEN_STEP_BYTES: u64 = 1100;
/// Bytes of a task that was placed: its record, its index, and its slot at an agent.
pub const TASK_BYTES: u64 = 700;
/// Bytes of a long-running task that waits: the scheduler keeps since when each is away.
const AWAY_BYTES: u64 = 150;
/// Bytes of an agent, in the ledger and in the scheduler.
const AGENT_BYTES: u64 = 1500;
/// Bytes of a wave of maintenance.
const WAVE_BYTES: u64 = 400;
/// Bytes of a string besides its text.
const NAME_BYTES: u64 = 40;
/// How many times a text is in memory: in the state, in the log, and in snapshots that are made and sent. All else
/// takes far less there than in the state.
const TEXT_COPIES: u64 = 3;
/// A set of tasks takes two bytes for each, and no more than this for each 65,536 of them.
const SET_BYTES: u64 = 8 << 10;

/// The bytes of a job that hasn't ended, without its tasks that were placed.
///
/// A recurring job counts with one occurrence. Further ones wait only while few steps of all jobs do.
pub fn job_bytes(spec: &JobSpec) -> u64 {
    let steps = spec.steps.iter();
    let steps = steps.map(|step| step_bytes(step) + opened_bytes(step));
    JOB_BYTES + name_bytes(&spec.payload) + steps.sum::<u64>()
}

/// The bytes of a job that has ended.
pub fn ended_job_bytes(spec: &JobSpec) -> u64 {
    let steps = spec.steps.iter();
    let steps = steps.map(|step| ENDED_STEP_BYTES + after_bytes(step));
    JOB_BYTES + steps.sum::<u64>()
}

/// The bytes of a step as it was submitted.
fn step_bytes(step: &StepSpec) -> u64 {
    let names = [&step.label, &step.data_rack, &step.image];
    let names: u64 = names.into_iter().flatten().map(name_bytes).sum();
    STEP_BYTES + names + after_bytes(step)
}

/// The bytes that a step takes for each occurrence that is open.
fn opened_bytes(step: &StepSpec) -> u64 {
    let tasks = u64::from(step.tasks);
    let set = (tasks * 2).min(SET_BYTES * tasks.div_ceil(1 << 16));
    let away = if step.long_running {
        tasks * AWAY_BYTES
    } else {
        0
    };
    // The sets of tasks that are done and that wait.
    OPEN_STEP_BYTES + after_bytes(step) + set * 2 + away
}

/// The bytes of an agent.
pub fn agent_bytes(record: &AgentRecord) -> u64 {
    let names = [&record.id, &record.name, &record.pool, &record.data_centre];
    let names = names.into_iter().chain(&record.labels);
    AGENT_BYTES + names.map(name_bytes).sum::<u64>()
}

/// The bytes of a wave of maintenance.
pub fn wave_bytes(wave: &WaveRecord) -> u64 {
    let hosts = wave.remaining.iter().map(name_bytes);
    WAVE_BYTES + hosts.sum::<u64>()
}

/// The bytes of a catalog: its text, and what it is decoded into.
pub fn document_bytes(document: &Document) -> u64 {
    u64::try_from(document.text.0.len()).unwrap_or(u64::MAX) * (TEXT_COPIES + 2)
}

/// The bytes of the list of steps that a step depends on.
fn after_bytes(step: &StepSpec) -> u64 {
    u64::try_from(step.after.len() * size_of::<StepIx>()).unwrap_or(u64::MAX)
}

fn name_bytes(name: &Name) -> u64 {
    NAME_BYTES + u64::try_from(name.len()).unwrap_or(u64::MAX) * TEXT_COPIES
}

/// What the replicated state takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Footprint {
    /// The bytes of the jobs, without their tasks.
    pub jobs: u64,
    /// The number of tasks that were placed and aren't done.
    pub tasks: u64,
    /// The bytes of agents, waves and the catalog.
    pub others: u64,
}

impl Footprint {
    /// All bytes but those of tasks.
    pub fn total(self) -> u64 {
        self.jobs.saturating_add(self.others)
    }
}

/// How much of the memory of a control node the replicated state may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The bytes of all but tasks.
    pub total: u64,
    /// The bytes of jobs. The rest is kept for agents, waves and the catalog, without which no job gets on.
    pub jobs: u64,
    /// The number of tasks that were placed and aren't done.
    pub tasks: u64,
}

impl Budget {
    /// The part of the memory that all but tasks may take. The rest is for tasks, for the log and for snapshots
    /// that are made and sent, which hold the state again.
    const PART: u64 = 4;
    /// The part of that which is kept for agents, waves and the catalog.
    const RESERVED_PART: u64 = 8;
    /// The part of the memory that tasks may take.
    const TASKS_PART: u64 = 10;

    /// The budget of a process that may use so many bytes.
    pub fn of_memory(bytes: u64) -> Self {
        let total = bytes / Self::PART;
        Self {
            total,
            jobs: total - total / Self::RESERVED_PART,
            tasks: bytes / Self::TASKS_PART / TASK_BYTES,
        }
    }
}

impl Default for Budget {
    /// The budget of a process that may use 256 MiB.
    fn default() -> Self {
        Self::of_memory(256 << 20)
    }
}
