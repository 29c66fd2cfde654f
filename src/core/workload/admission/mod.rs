//! Admission control for jobs.
//!
//! - [`outstanding`] keeps the work of accepted jobs that isn't done yet.

pub mod outstanding;
