//! Small HTTP/1.1 with JSON: a server with limits, and a client that keeps its connections.
//!
//! It serves what needs no more than a whole request and a whole response. Callers' requests that
//! are passed on to backend servers have adapters of their own, which must know what was written
//! to which connection.

mod client;
mod server;

pub use self::{
    client::{Client, Failure, Place, post, send},
    server::{Listening, Replied, json, serve, serve_within, text},
};
pub use super::server::Limits;
