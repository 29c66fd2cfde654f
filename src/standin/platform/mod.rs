//! A stand-in platform: keeps tasks and hosts, refuses stale starts, and counts what began.
//!
//! [`State`] is the whole of its mind and has no clock; [`Platform`] puts it behind HTTP and adds
//! the ways in which it can be told to misbehave.

mod http;
mod state;

pub use self::{
    http::{Fault, Platform},
    state::{Settings, State},
};
