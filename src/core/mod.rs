//! The decisions, free of I/O.
//!
//! Each module is a state machine stepped with `(now, input) -> outputs`. `now` is a
//! [`Now`](types::Now), time since the process began, so the same code runs under the daemon's
//! clock, the paused clock of the tests and the logical clock of the model checker.

pub mod activation;
pub mod admission;
pub mod claims;
pub mod cluster;
pub mod consensus;
pub mod declaration;
pub mod dispatch;
pub mod fleet;
pub mod outcome;
pub mod routing;
pub mod state;
pub mod types;
pub mod workload;
