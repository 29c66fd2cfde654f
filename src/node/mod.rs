//! One node: the core, the adapters and the tasks between them.
//!
//! [`Running::start`] assembles a daemon from its settings. Each task owns one part of the core
//! and takes its events from a channel; a task ends when its channel is closed.

pub(crate) mod clock;
pub(crate) mod control;
pub(crate) mod disk;
mod fleet;
pub(crate) mod frame;
mod keys;
mod operators;
mod requests;
mod running;

pub use control::ControlError;
pub use running::{NodeError, Options, Running};
