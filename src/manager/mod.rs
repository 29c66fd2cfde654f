//! The nodes that manage jobs: control nodes, which replicate the ledger and elect a leader, and
//! entry nodes, which pass callers' requests on to the leader.
//!
//! Connections to the outside (callers, agents, the provider of hosts, operators) are passed in as
//! closures, so this module depends on none of their protocols.
//!
//! - [`control`]: the task that runs consensus, the ledger and the leader's scheduler;
//! - [`entry`]: finds the leader, sends it requests and retries them;
//! - [`request`]: the requests to the leader and its replies;
//! - [`tries`]: what a requester is told after several tries;
//! - [`identity`]: the node id that a data folder belongs to;
//! - [`cluster`]: the cluster id that a data folder belongs to;
//! - [`membership`]: decides which control nodes should vote;
//! - [`ports`]: the settings and outside connections that a control node is started with.

pub mod cluster;
pub mod control;
pub mod entry;
pub mod frame;
mod handlers;
pub mod identity;
mod load;
pub mod membership;
pub mod metrics;
mod orders;
mod outputs;
mod peers;
pub mod ports;
mod proposals;
pub mod relays;
pub mod request;
mod state_memory;
pub mod tries;
