//! What a job asks for.
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
//! assert_eq!(job.chain(), Duration::from_secs(3));
//! ```

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::core::types::{Name, RackId, Resources, Wall};

/// The place of a step in its job.
pub type StepIx = u16;
/// The place of a task in its step.
pub type TaskIx = u32;
/// Which firing of a recurring job; 0 for all others.
pub type Occurrence = u32;

/// Bytes that a job's payload may have.
pub const LONGEST_PAYLOAD: usize = 4000;
/// Steps that a job may have; far above what graphs in use have.
pub const MOST_STEPS: usize = 1000;
/// Tasks that a job may have, all steps together; a tenth of a leader's memory if each is at work.
pub const MOST_TASKS: u32 = 100_000;

/// A job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct JobSpec {
    /// What agents are told to run; not read here.
    pub payload: Name,
    /// The steps. Each may depend on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// When it runs, if not once and at once.
    pub recurrence: Option<Recurrence>,
}

/// When a recurring job fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Recurrence {
    /// The first time.
    pub first: Wall,
    /// From one time to the next.
    pub interval: Duration,
    /// How often.
    pub count: u32,
}

/// Tasks that are alike.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct StepSpec {
    /// How many tasks.
    pub tasks: TaskIx,
    /// What each needs.
    pub need: Resources,
    /// About how long each runs.
    pub estimate: Duration,
    /// Steps whose tasks must all be done first.
    pub after: Vec<StepIx>,
    /// Whether a task can be resumed from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks work only all together, and end together.
    pub gang: bool,
    /// Whether they run much slower on more than one rack.
    pub one_rack: bool,
    /// A label that the host must have.
    pub label: Option<Name>,
    /// The rack where the data lies; elsewhere a task runs much slower.
    pub data_rack: Option<RackId>,
    /// At most so many tasks on one host.
    pub per_host: Option<u32>,
    /// Whether copies of a task may run at once.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; those of one image behave alike.
    pub image: Option<Name>,
    /// The tail latency that a serving task must stay below.
    pub tail: Option<Duration>,
    /// Whether the tasks live on what the others leave unused, and disturb those that serve.
    pub best_effort: bool,
    /// How many tasks of a lasting step may be away at once by our own doing.
    pub budget: u32,
}

/// Why a job can't be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SpecError {
    /// The payload is too long.
    #[snafu(display("the payload has {length} bytes; at most {LONGEST_PAYLOAD} are taken"))]
    Payload {
        /// Its length in bytes.
        length: usize,
    },
    /// There are no steps, or too many.
    #[snafu(display("{count} steps; a job has 1 to {MOST_STEPS}"))]
    Steps {
        /// How many there are.
        count: usize,
    },
    /// A step has no tasks.
    #[snafu(display("step {step} has no tasks; give it at least one"))]
    NoTasks {
        /// Which step.
        step: usize,
    },
    /// There are too many tasks.
    #[snafu(display("more than {MOST_TASKS} tasks; split the job"))]
    Tasks,
    /// A step depends on itself or on a later one.
    #[snafu(display("step {step} depends on step {on}; name earlier steps only"))]
    Order {
        /// Which step.
        step: usize,
        /// On which it depends.
        on: StepIx,
    },
}

impl JobSpec {
    /// A job that runs once, at once.
    pub fn new(payload: &str, steps: Vec<StepSpec>) -> Self {
        Self {
            payload: payload.into(),
            steps,
            recurrence: None,
        }
    }

    /// Whether it can be run at all.
    ///
    /// # Errors
    ///
    /// Says which step is wrong and what would be right.
    pub fn check(&self) -> Result<(), SpecError> {
        let length = self.payload.len();
        ensure!(length <= LONGEST_PAYLOAD, PayloadSnafu { length });
        let count = self.steps.len();
        ensure!((1..=MOST_STEPS).contains(&count), StepsSnafu { count });
        let mut tasks: u32 = 0;
        for (step, spec) in self.steps.iter().enumerate() {
            ensure!(spec.tasks > 0, NoTasksSnafu { step });
            tasks = tasks.saturating_add(spec.tasks);
            for &on in &spec.after {
                ensure!(usize::from(on) < step, OrderSnafu { step, on });
            }
        }
        ensure!(tasks <= MOST_TASKS, TasksSnafu);
        Ok(())
    }

    /// About how long the longest chain of steps takes.
    pub fn chain(&self) -> Duration {
        let all = self.remaining(|step| step.estimate);
        all.into_iter().max().unwrap_or_default()
    }

    /// About how long it takes from the begin of each step to the end of the job, if the tasks of a
    /// step take as long as `estimate` says.
    pub fn remaining(&self, estimate: impl Fn(&StepSpec) -> Duration) -> Vec<Duration> {
        let own: Vec<_> = self.steps.iter().map(estimate).collect();
        let mut left = own.clone();
        for (step, spec) in self.steps.iter().enumerate().rev() {
            for &before in &spec.after {
                let before = usize::from(before);
                left[before] = left[before].max(own[before] + left[step]);
            }
        }
        left
    }

    /// How often it fires.
    pub fn occurrences(&self) -> Occurrence {
        self.recurrence.map_or(1, |r| r.count)
    }

    /// When an occurrence is due; `None` if at once.
    pub fn due(&self, occurrence: Occurrence) -> Option<Wall> {
        let recurrence = self.recurrence?;
        Some(recurrence.first + recurrence.interval * occurrence)
    }

    /// Whether any of its steps runs until the job is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|s| s.lasting)
    }
}

impl StepSpec {
    /// Tasks without any wish.
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
            lasting: false,
            image: None,
            tail: None,
            best_effort: false,
            budget: 0,
        }
    }

    /// What a task takes of a host's room: best-effort work is not counted by its cores.
    pub fn room(&self) -> Resources {
        let mut room = self.need;
        if self.best_effort {
            room.millicores = 0;
        }
        room
    }
}
