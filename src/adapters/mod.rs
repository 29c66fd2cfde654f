//! The border to the outside: each module here knows one library or the operating system, and no
//! decisions.

mod accept;
pub mod announce;
pub mod budget;
pub mod callers;
pub mod disk;
pub mod headers;
pub mod http;
pub mod logs;
pub mod memory;
pub mod mesh;
pub mod metrics;
pub mod minions;
pub mod panics;
pub mod platform;
mod server;
