//! Jobs: what is known of them, how an attempt's end is judged, and what is learned from it.
//!
//! A job is accepted once and then tried on workers until it is done. Each try is an attempt
//! with a number of its own, so that a late answer of an earlier one can be told from the
//! present one. The rules here need no fleet:
//!
//! - [`after`] says what an attempt's end means for its job: finished, queued again, or
//!   *unresolved*, which is what a job becomes that may have run and must not run twice.
//! - [`Learner`] replaces declared sizes and run times by what jobs of the same kind used.
//! - [`Health`] tells workers that fail everything from jobs that fail everywhere.
//!
//! ```
//! use egretpin::core::fleet::jobs::{AttemptEnd, Next, Unresolved, after};
//!
//! assert_eq!(after(AttemptEnd::Lost, true), Next::Queue);
//! assert_eq!(after(AttemptEnd::Lost, false), Next::Unresolved(Unresolved::MayHaveRun));
//! assert_eq!(after(AttemptEnd::NeverBegan, false), Next::Queue);
//! ```

mod attempt;
mod health;
mod learned;
mod reason;
mod spec;

pub use self::{
    attempt::{AttemptEnd, Next, after},
    health::{Blame, Health, HealthRules},
    learned::{Estimate, Learner},
    reason::{Impossible, StopReason, Unresolved, Waiting},
    spec::JobSpec,
};
