//! The starts that a leader may have committed without ever sending them.
//!
//! A leader sends a start in the plan that follows the application of its round. It has at most
//! [`MAX_OPEN_ROUNDS`] rounds in the log that it hasn't applied, and each plan proposes one round and sends its
//! orders after that. So if the leader ends, only the starts of its last [`MAX_OPEN_ROUNDS`] + 1 rounds may
//! never have been sent. Its successor can't see that from the attempts alone.
//!
//! ```
//! use egretpin::core::workload::{
//!     command::{Placement, Round},
//!     job::{StepId, TaskId},
//!     recent_starts::RecentStarts,
//! };
//!
//! let step = StepId { job: 7, occurrence: 0, step: 0 };
//! let task = |task| TaskId { step, task };
//! let round = |ix| Round {
//!     starts: vec![Placement { task: task(ix), attempt: 1, agent: "a".into() }],
//!     ..Round::default()
//! };
//! let mut recent = RecentStarts::default();
//! (0..4).for_each(|ix| recent.record(&round(ix)));
//! assert!(!recent.contains(task(0), 1));
//! assert!(recent.contains(task(1), 1) && recent.contains(task(3), 1));
//! assert!(!recent.contains(task(3), 2));
//! ```

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{command::Round, job::TaskId};
use crate::core::types::Attempt;

/// Rounds that may be in the log at once without being applied: one is synced to disk while the next is
/// decided. The same on every node.
pub const MAX_OPEN_ROUNDS: usize = 2;

/// Rounds whose starts may not have been sent: the last of them was proposed right before the starts of the
/// first were to be sent.
const MAX_UNSENT_ROUNDS: usize = MAX_OPEN_ROUNDS + 1;

/// The starts of the last [`MAX_OPEN_ROUNDS`] + 1 rounds, the latest round last.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct RecentStarts(VecDeque<Vec<(TaskId, Attempt)>>);

impl RecentStarts {
    /// Records the starts of the next round in the log, and forgets those of an earlier one.
    pub fn record(&mut self, round: &Round) {
        let starts = round.starts.iter();
        self.0
            .push_back(starts.map(|start| (start.task, start.attempt)).collect());
        while self.0.len() > MAX_UNSENT_ROUNDS {
            self.0.pop_front();
        }
    }

    /// Whether one of these rounds decided an attempt.
    pub fn contains(&self, task: TaskId, attempt: Attempt) -> bool {
        self.0
            .iter()
            .flatten()
            .any(|start| *start == (task, attempt))
    }

    /// Whether no round was recorded.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
