//! The specification of a job as its submitter sends it, and its validation.
//!
//! A job is a directed acyclic graph of steps: each step names the earlier steps that it depends on. This
//! module checks the graph and computes the duration of its critical path. It doesn't decide where or when
//! tasks run.
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::core::workload::spec::{JobSpec, StepSpec};
//!
//! let mut reduce = StepSpec::new(1, Duration::from_secs(2));
//! reduce.after = vec![0];
//! let job = JobSpec::new("count", vec![StepSpec::new(8, Duration::from_secs(1)), reduce]);
//! assert!(job.check().is_ok());
//! assert_eq!(job.critical_path(), Duration::from_secs(3));
//! ```

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::core::types::{Name, RackId, Resources, Wall};

/// The index of a step in its job.
pub type StepIx = u16;
/// The index of a task in its step.
pub type TaskIx = u32;
/// The number of an occurrence of a recurring job, from 0; always 0 for a job that runs once.
pub type Occurrence = u32;

/// The longest payload of a job, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4000;
/// The most steps that a job may have; far above what the graphs in use have.
pub const MAX_STEPS: usize = 1000;
/// The most tasks that a job may have, over all its steps. If all of them run at once, they take a tenth of
/// a leader's memory.
pub const MAX_TASKS: u32 = 100_000;
/// The longest estimate, target and other time span of a job that is told from a longer one. Sums over all
/// steps of a job, multiplied by the stretch of its queue, can be represented.
pub const MAX_SPAN: Duration = Duration::from_secs(10 * 365 * 24 * 60 * 60);

/// A job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct JobSpec {
    /// What the agents run. It is passed on to them without being interpreted here.
    pub payload: Name,
    /// The steps. Each may depend only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// The schedule of a recurring job; `None` for a job that runs once, immediately.
    pub recurrence: Option<Recurrence>,
}

/// The schedule of a recurring job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Recurrence {
    /// When the first occurrence is due.
    pub first: Wall,
    /// The time from one occurrence to the next.
    pub interval: Duration,
    /// The number of occurrences.
    pub count: u32,
}

/// A step of a job: a number of identical tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub tasks: TaskIx,
    /// The resources that each task needs.
    pub need: Resources,
    /// The estimated run time of each task.
    pub estimate: Duration,
    /// The steps that this one depends on: all their tasks must be done first.
    pub after: Vec<StepIx>,
    /// Whether a task can be resumed from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks are a gang: they run only all at once, and if one ends, all do.
    pub gang: bool,
    /// Whether the tasks run much slower if they are spread over more than one rack.
    pub one_rack: bool,
    /// A label that the host must have.
    pub label: Option<Name>,
    /// The rack that holds the input data; on any other rack a task runs much slower.
    pub data_rack: Option<RackId>,
    /// The most tasks of the step that may run on one host.
    pub per_host: Option<u32>,
    /// Whether several copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled. All others are batch tasks,
    /// which finish.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// The image that the tasks run; tasks of the same image behave alike.
    pub image: Option<Name>,
    /// For tasks that serve requests: the tail latency that each must stay below.
    #[serde(rename = "tail")]
    pub tail_latency: Option<Duration>,
    /// Whether the tasks are best-effort: they use the resources that other tasks leave idle, and they slow
    /// down tasks that serve requests on the same host.
    pub best_effort: bool,
    /// The disruption budget of a long-running step: how many of its tasks the scheduler may take down at
    /// once by its own decisions.
    #[serde(rename = "budget")]
    pub disruption_budget: u32,
}

/// Why the specification of a job was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SpecError {
    /// The payload is too long.
    #[snafu(display("the payload has {length} bytes; at most {MAX_PAYLOAD_BYTES} are taken"))]
    Payload {
        /// The length of the payload in bytes.
        length: usize,
    },
    /// The job has no steps, or too many.
    #[snafu(display("{count} steps; a job has 1 to {MAX_STEPS}"))]
    Steps {
        /// The number of steps.
        count: usize,
    },
    /// A step has no tasks.
    #[snafu(display("step {step} has no tasks; give it at least one"))]
    NoTasks {
        /// The step.
        step: usize,
    },
    /// The job has too many tasks.
    #[snafu(display("more than {MAX_TASKS} tasks; split the job"))]
    Tasks,
    /// The time of the last occurrence can't be represented.
    #[snafu(display("the last of {count} occurrences is too far in the future"))]
    Recurrence {
        /// The number of occurrences.
        count: Occurrence,
    },
    /// A step depends on itself or on a later one.
    #[snafu(display("step {step} depends on step {on}; name earlier steps only"))]
    Order {
        /// The step.
        step: usize,
        /// The step that it depends on.
        on: StepIx,
    },
}

impl JobSpec {
    /// Creates a job that runs once, immediately.
    pub fn new(payload: &str, steps: Vec<StepSpec>) -> Self {
        Self {
            payload: payload.into(),
            steps,
            recurrence: None,
        }
    }

    /// Checks that the job can run at all.
    ///
    /// # Errors
    ///
    /// The error names the step that is wrong, and says what is allowed.
    pub fn check(&self) -> Result<(), SpecError> {
        let length = self.payload.len();
        ensure!(length <= MAX_PAYLOAD_BYTES, PayloadSnafu { length });
        let count = self.steps.len();
        ensure!((1..=MAX_STEPS).contains(&count), StepsSnafu { count });
        let mut tasks: u32 = 0;
        for (step, spec) in self.steps.iter().enumerate() {
            ensure!(spec.tasks > 0, NoTasksSnafu { step });
            tasks = tasks.saturating_add(spec.tasks);
            for &on in &spec.after {
                ensure!(usize::from(on) < step, OrderSnafu { step, on });
            }
        }
        ensure!(tasks <= MAX_TASKS, TasksSnafu);
        if let Some(recurrence) = self.recurrence {
            let count = recurrence.count;
            let last = recurrence.checked_due(count.saturating_sub(1));
            ensure!(last.is_some(), RecurrenceSnafu { count });
        }
        Ok(())
    }

    /// Lowers times and resources that no scheduling decision can tell from lower ones, so that sums over the
    /// steps and the tasks of many jobs can be represented. The numbers are the submitter's, and those of jobs
    /// that an earlier release accepted had no bound.
    pub(super) fn clamp(&mut self) {
        for step in &mut self.steps {
            step.estimate = step.estimate.min(MAX_SPAN);
            step.tail_latency = step.tail_latency.map(|tail| tail.min(MAX_SPAN));
            step.need = step.need.clamped();
        }
    }

    /// Whether it has any of the texts that [`JobSpec::drop_texts`] drops.
    pub(super) fn has_texts(&self) -> bool {
        let texts = |step: &StepSpec| {
            step.label.is_some() || step.data_rack.is_some() || step.image.is_some()
        };
        !self.payload.is_empty() || self.steps.iter().any(texts)
    }

    /// Drops the texts that only a task that is to be started needs.
    pub(super) fn drop_texts(&mut self) {
        self.payload = Name::default();
        for step in &mut self.steps {
            step.label = None;
            step.data_rack = None;
            step.image = None;
        }
    }

    /// The estimated duration of the critical path, the chain of dependent steps that takes longest.
    pub fn critical_path(&self) -> Duration {
        let all = self.remaining(|step| step.estimate);
        all.into_iter().max().unwrap_or_default()
    }

    /// For each step, the time from its start to the end of the job along the longest chain of dependent
    /// steps, if the tasks of a step take as long as `estimate` returns.
    pub fn remaining(&self, estimate: impl Fn(&StepSpec) -> Duration) -> Vec<Duration> {
        let own: Vec<_> = self.steps.iter().map(estimate).collect();
        let mut left = own.clone();
        for (step, spec) in self.steps.iter().enumerate().rev() {
            for &before in &spec.after {
                let before = usize::from(before);
                left[before] = left[before].max(own[before].saturating_add(left[step]));
            }
        }
        left
    }

    /// The number of occurrences; 1 for a job that runs once.
    pub fn occurrences(&self) -> Occurrence {
        self.recurrence.map_or(1, |r| r.count)
    }

    /// When an occurrence is due; `None` for a job that runs once, immediately.
    ///
    /// It is never due if that time can't be represented. [`JobSpec::check`] rejects such a job, but an earlier
    /// release accepted it.
    pub fn due(&self, occurrence: Occurrence) -> Option<Wall> {
        let recurrence = self.recurrence?;
        Some(recurrence.checked_due(occurrence).unwrap_or(Wall::MAX))
    }

    /// The number of tasks of one occurrence.
    pub fn tasks(&self) -> TaskIx {
        let tasks = self.steps.iter().map(|step| step.tasks);
        tasks.fold(0, TaskIx::saturating_add)
    }

    /// Whether any of its steps is long-running.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|s| s.long_running)
    }
}

impl Recurrence {
    /// When an occurrence is due; `None` if that time can't be represented.
    fn checked_due(&self, occurrence: Occurrence) -> Option<Wall> {
        let after = self.interval.checked_mul(occurrence)?;
        self.first.checked_add(after)
    }
}

impl StepSpec {
    /// Creates a step of batch tasks without any resource needs or placement constraints.
    pub fn new(tasks: TaskIx, estimate: Duration) -> Self {
        Self {
            tasks,
            need: Resources::default(),
            estimate,
            after: Vec::new(),
            checkpoints: false,
            gang: false,
            one_rack: false,
            label: None,
            data_rack: None,
            per_host: None,
            speculative: false,
            long_running: false,
            image: None,
            tail_latency: None,
            best_effort: false,
            disruption_budget: 0,
        }
    }

    /// The resources that are reserved for a task on its host. The cores of best-effort tasks don't count.
    pub fn reservation(&self) -> Resources {
        let mut room = self.need;
        if self.best_effort {
            room.millicores = 0;
        }
        room
    }
}
