//! Stand-ins for what lies outside egretpin, for trials and tests: callers, minions and the
//! platform. They are small and keep to the documented interfaces; they simulate nothing else.

pub mod caller;
pub mod minion;
pub mod platform;
