//! The HTTP adapters over real loopback sockets.

mod budget;
mod callers;
mod client;
mod headers;
mod minions;
mod platform;
#[path = "../support/proxy.rs"]
mod proxy;
mod recall;
mod reuse;
mod stopping;
mod support;
mod whole;
