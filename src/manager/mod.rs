//! The processes that run jobs: control nodes, which keep the ledger and lead, and entry nodes,
//! which take callers' requests to the leader.
//!
//! What speaks to the outside (callers, agents, the provider of hosts, operators) is handed in as
//! closures, so that nothing here knows how any of them is spoken to.
//!
//! - [`control`]: consensus, the ledger and the leader's scheduler, as one task;
//! - [`entry`]: finds the leader and asks it, again if need be;
//! - [`ask`]: what may be asked, and what is answered;
//! - [`identity`]: which node a data folder belongs to;
//! - [`cluster`]: and which cluster;
//! - [`membership`]: which control nodes should vote;
//! - [`ports`]: what a control node is given.

pub mod ask;
pub mod cluster;
pub mod control;
pub mod entry;
pub mod frame;
pub mod identity;
mod load;
pub mod membership;
pub mod metrics;
mod outputs;
mod peers;
pub mod ports;
mod questions;
pub mod relays;
mod waiting;
