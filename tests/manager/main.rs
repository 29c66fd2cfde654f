//! The parts of control nodes that decide without a process around them.

mod cluster;
mod membership;
mod relays;
