//! A job as the ledger stores it: its state, its occurrences and their tasks.
//!
//! The types here hold state only. The [`ledger`](super::ledger) changes it when it applies commands; nothing
//! here decides what to start or to stop.

use std::{collections::BTreeMap, fmt, ops::RangeInclusive, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{
    catalog::{JobId, QueueTerms},
    finished::FinishedRuns,
    footprint,
    spec::{JobSpec, Occurrence, StepIx, TaskIx},
    step::Step,
    suspicion::Evidence,
};
use crate::core::types::{Attempt, MinionId, Name, PoolId, Wall, WorkspaceId};

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The occurrence of the job.
    pub occurrence: Occurrence,
    /// The index of the step.
    pub step: StepIx,
}

impl StepId {
    /// The steps of some occurrences of a job, in the order of ids.
    pub(super) fn range(job: JobId, first: Occurrence, last: Occurrence) -> RangeInclusive<Self> {
        let edge = |occurrence, step| Self {
            job,
            occurrence,
            step,
        };
        edge(first, StepIx::MIN)..=edge(last, StepIx::MAX)
    }
}

/// One task of one occurrence of a job.
///
/// Displayed and parsed as `JOB.OCCURRENCE.STEP.TASK`, the job in 16 hexadecimal digits.
///
/// ```
/// use egretpin::core::workload::job::TaskId;
///
/// let task = TaskId::parse("5c0e7a21d94b36f8.0.1.17").expect("a task");
/// assert_eq!((task.step.step, task.task), (1, 17));
/// assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct TaskId {
    /// The step of the task.
    pub step: StepId,
    /// The index of the task in its step.
    pub task: TaskIx,
}

impl TaskId {
    /// Parses the format that `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = JobId::from_str_radix(parts.next()?, 16).ok()?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let task = parts.next()?.parse().ok()?;
        let step = StepId {
            job,
            occurrence,
            step,
        };
        parts.next().is_none().then_some(Self { step, task })
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.task)
    }
}

/// The state of a job, as its submitter sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum JobState {
    /// No task has been placed yet.
    Queued,
    /// At least one task has been placed.
    Running,
    /// All its tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Job {
    /// Its queue.
    pub queue: Name,
    /// The pool that ran the queue's tasks when the job was accepted. Used once the catalog doesn't declare
    /// the queue any more.
    pub pool: PoolId,
    /// The workspace that it belongs to. Absent in snapshots of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceId>,
    /// What it keeps of its queue, as of its acceptance. Used once the catalog doesn't declare the queue any
    /// more. Absent in snapshots of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<QueueTerms>,
    /// Its specification, without its texts once the job has ended and nothing of it runs.
    pub spec: Arc<JobSpec>,
    /// When it was accepted, by the clock of the leader at that time.
    #[serde(rename = "accepted")]
    pub accepted_at: Wall,
    /// Its state.
    pub state: JobState,
    /// Its occurrences that have started. Once an occurrence is finished, or the job has ended, it is dropped
    /// as soon as none of its tasks is placed.
    pub runs: BTreeMap<Occurrence, Run>,
    /// The number of finished occurrences.
    pub finished: Occurrence,
    /// Which occurrences are finished. Absent in snapshots of earlier releases, which keep an entry without
    /// steps in `runs` for each.
    #[serde(default, skip_serializing_if = "FinishedRuns::is_empty")]
    pub finished_runs: FinishedRuns,
    /// The crashes of hosts under its batch tasks. Absent in snapshots of earlier releases.
    #[serde(default, skip_serializing_if = "Evidence::is_none")]
    pub evidence: Evidence,
    /// The poison task that made the job fail, if one did: it crashes the hosts it runs on. Absent in
    /// snapshots of earlier releases.
    #[serde(rename = "convicted", default, skip_serializing_if = "Option::is_none")]
    pub poison_task: Option<TaskId>,
}

/// One occurrence of a job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Run {
    /// Its steps, in the order of the specification.
    pub steps: Vec<Step>,
}

/// One task of a step.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Task {
    /// The number of the last attempt that was placed; 0 if none was.
    pub attempt: Attempt,
    /// The number of attempts that have failed. Those of a gang are counted by its step.
    pub failures: u32,
    /// The agent where the last attempt is placed, until the end of that attempt is applied.
    pub agent: Option<MinionId>,
    /// Whether it is done.
    pub done: bool,
    /// The checkpoint from which the next attempt resumes.
    pub checkpoint: Option<Name>,
    /// When the last attempt was placed, by the clock of the leader at that time. Absent in snapshots of
    /// earlier releases.
    #[serde(rename = "began", default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<Wall>,
    /// Whether the leader that placed the last attempt received no report that it started. Absent in
    /// snapshots of earlier releases.
    #[serde(
        rename = "unbegun",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub not_started: bool,
    /// The crashes of hosts under this task. For a batch task with at least one crash, it includes all crashes
    /// under batch tasks of its job. Absent in snapshots of earlier releases.
    #[serde(default, skip_serializing_if = "Evidence::is_none")]
    pub evidence: Evidence,
}

impl Job {
    /// Creates a job without a workspace that has just been accepted.
    pub fn new(queue: Name, pool: PoolId, mut spec: JobSpec, accepted: Wall) -> Self {
        spec.clamp();
        Self {
            queue,
            pool,
            workspace: None,
            terms: None,
            spec: Arc::new(spec),
            accepted_at: accepted,
            state: JobState::Queued,
            runs: BTreeMap::new(),
            finished: 0,
            finished_runs: FinishedRuns::default(),
            evidence: Evidence::default(),
            poison_task: None,
        }
    }

    /// Whether the job has ended: none of its tasks may start any more.
    pub fn has_ended(&self) -> bool {
        !matches!(self.state, JobState::Queued | JobState::Running)
    }

    /// Whether all tasks of an occurrence are done.
    pub fn is_finished(&self, occurrence: Occurrence) -> bool {
        self.finished_runs.contains(occurrence)
    }

    /// Drops the occurrences that are finished, or all of them if the job has ended, and then also the texts of
    /// its specification. An occurrence with a task that may still run is kept.
    pub(super) fn drop_runs(&mut self) {
        let over = self.has_ended();
        let finished = &self.finished_runs;
        self.runs.retain(|occurrence, run| {
            let open = !over && !finished.contains(*occurrence);
            open || !run.is_unplaced()
        });
        if over && self.runs.is_empty() && self.spec.has_texts() {
            Arc::make_mut(&mut self.spec).drop_texts();
        }
    }

    /// The bytes that it takes, without its tasks that were placed.
    pub(super) fn bytes(&self) -> u64 {
        if self.has_ended() {
            footprint::ended_job_bytes(&self.spec)
        } else {
            footprint::job_bytes(&self.spec)
        }
    }

    /// How many of its tasks have a record.
    pub(super) fn record_count(&self) -> u64 {
        let steps = self.runs.values().flat_map(|run| &run.steps);
        steps.map(Step::record_count).sum()
    }

    /// Makes what an earlier release wrote look like what this one would have written.
    pub(super) fn upgrade(&mut self) {
        let finished = self.runs.iter().filter(|(_, run)| run.is_finished());
        let finished: Vec<_> = finished.map(|(occurrence, _)| *occurrence).collect();
        for occurrence in finished {
            self.finished_runs.insert(occurrence);
        }
        Arc::make_mut(&mut self.spec).clamp();
        let steps = self
            .runs
            .values_mut()
            .flat_map(|run| run.steps.iter_mut().zip(&self.spec.steps));
        let gangs = steps.filter(|(_, spec)| spec.gang);
        gangs.for_each(|(step, _)| step.infer_failed_attempts());
        self.drop_runs();
    }

    /// A task, if its occurrence has started and hasn't been dropped.
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.step(id.step)?.task(id.task)
    }

    pub(super) fn step_mut(&mut self, id: StepId) -> Option<&mut Step> {
        let run = self.runs.get_mut(&id.occurrence)?;
        run.steps.get_mut(usize::from(id.step))
    }

    /// A task that has a record.
    pub(super) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id.step)?.record_mut(id.task)
    }

    /// Whether a task is a batch task, which finishes; long-running tasks run until the job is cancelled.
    pub(super) fn is_batch(&self, id: TaskId) -> bool {
        let spec = self.spec.steps.get(usize::from(id.step.step));
        spec.is_some_and(|spec| !spec.long_running)
    }

    /// Drops the evidence that its batch tasks share, once all batch tasks under which hosts have crashed are
    /// done.
    pub(super) fn clear_evidence(&mut self, id: JobId) {
        if self.evidence.is_none() {
            return;
        }
        if !self.task_evidence(id).any(|(task, _)| self.is_batch(task)) {
            self.evidence = Evidence::default();
        }
    }

    /// A step, if its occurrence has started and hasn't been dropped.
    pub fn step(&self, id: StepId) -> Option<&Step> {
        let run = self.runs.get(&id.occurrence)?;
        run.steps.get(usize::from(id.step))
    }

    /// An occurrence, which is created if it hasn't started yet; `None` if it is finished, or if the job has no
    /// such occurrence.
    pub(super) fn run_mut(&mut self, occurrence: Occurrence) -> Option<&mut Run> {
        if occurrence >= self.spec.occurrences() || self.is_finished(occurrence) {
            return None;
        }
        let spec = &self.spec;
        Some(
            self.runs
                .entry(occurrence)
                .or_insert_with(|| Run::new(spec)),
        )
    }

    /// The tasks that are placed, each with its agent. `id` is the number of this job.
    pub fn placements(&self, id: JobId) -> impl Iterator<Item = (TaskId, MinionId)> + '_ {
        self.runs.iter().flat_map(move |(&occurrence, run)| {
            run.steps.iter().enumerate().flat_map(move |(step, tasks)| {
                let step = StepId {
                    job: id,
                    occurrence,
                    step: StepIx::try_from(step).unwrap_or(StepIx::MAX),
                };
                let records = tasks.records();
                records.filter_map(move |(task, t)| Some((TaskId { step, task }, t.agent.clone()?)))
            })
        })
    }

    /// The tasks that aren't done and under which hosts have crashed, each with its evidence. `id` is the
    /// number of this job.
    pub fn task_evidence(&self, id: JobId) -> impl Iterator<Item = (TaskId, Evidence)> + '_ {
        self.runs.iter().flat_map(move |(&occurrence, run)| {
            (0..).zip(&run.steps).flat_map(move |(step, tasks)| {
                let step = StepId {
                    job: id,
                    occurrence,
                    step,
                };
                let suspects = tasks.records();
                let suspects = suspects.filter(|(_, t)| !t.done && !t.evidence.is_none());
                suspects.map(move |(task, t)| (TaskId { step, task }, t.evidence))
            })
        })
    }

    /// Whether all steps that a step depends on are done.
    pub fn is_ready(&self, id: StepId) -> bool {
        let Some(spec) = self.spec.steps.get(usize::from(id.step)) else {
            return false;
        };
        let Some(run) = self.runs.get(&id.occurrence) else {
            return spec.after.is_empty();
        };
        spec.after.iter().all(|&before| run.is_step_done(before))
    }
}

impl Run {
    fn new(spec: &JobSpec) -> Self {
        let steps = spec.steps.iter().map(|step| Step::new(step.tasks));
        Self {
            steps: steps.collect(),
        }
    }

    /// Whether all its tasks are done. Earlier releases dropped the steps of a finished occurrence.
    pub fn is_finished(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Whether none of its tasks is placed.
    pub(super) fn is_unplaced(&self) -> bool {
        let mut tasks = self.steps.iter().flat_map(Step::records);
        tasks.all(|(_, task)| task.agent.is_none())
    }

    /// Whether all tasks of a step are done.
    pub fn is_step_done(&self, step: StepIx) -> bool {
        let step = self.steps.get(usize::from(step));
        step.is_some_and(Step::is_done)
    }
}
