//! egretpin: a fleet capacity and maintenance manager.
//!
//! [`core`] holds every decision and does no I/O: it has no threads, no clock and no global
//! state. Adapters are the only modules that know a library of the outside world.

pub mod adapters;
pub mod api;
pub mod bench;
pub mod cli;
pub mod core;
pub mod demo;
pub mod manager;
pub mod node;
pub mod settings;
pub mod standin;
