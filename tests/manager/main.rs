//! The parts of control nodes that decide without a process around them.

mod membership;
mod relays;
