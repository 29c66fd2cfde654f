//! Fleet decisions: where jobs run, which hosts may stop, and how pools change.

pub mod budget;
pub mod buffer;
pub mod jobs;
pub mod placement;
pub mod pool;
pub mod wave;
