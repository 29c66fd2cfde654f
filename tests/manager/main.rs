//! Tests of the parts of control nodes that need no running process.

mod backlog;
mod cluster;
mod failed_orders;
mod frame;
mod leader_lease;
mod membership;
mod relays;
mod repair;
mod state_memory;
mod tries;
mod voter;
