//! Measurements of the decisions, printed as JSON.
//!
//! Each bench is a module with a function that returns its report. What a bench measures on
//! logical time comes out the same in every run; what it measures by the wall clock doesn't.

pub mod admission;
mod calendar;
pub mod capacity;
pub mod control;
pub mod fleet;
pub mod front;
pub mod leader;
mod memory;
pub mod placement;
pub mod report;
pub mod routing;
