//! The guarantees of consensus, checked on the real implementation.

mod checks;
mod elections;
mod learners;
mod membership;
mod model;
mod random;
mod replay;
mod replication;
mod snapshots;
mod world;
