//! The HTTP client towards minions, and towards nodes of another data centre.
//!
//! [`Client::send`] makes one sending and says how it ended, in the words of the core. It is
//! where the truth about a request is won or lost, so three rules hold throughout:
//!
//! - *Nothing was sent* is said only where it is proved: every connection counts the bytes that
//!   it handed to the kernel, and a sending is `Unreachable` only if that count did
//!   not move. A kept connection that the minion closes under us is no proof by itself.
//! - An answer is whole only if it states its length, came in full, was well-formed and echoes
//!   the number of this very sending.
//! - A connection is kept for another request only after such an answer. After anything else
//!   (a timeout, a cut, a mismatch, a sending given up) it is closed, so that a late answer can
//!   meet no later request.
//!
//! [`Sendings`] runs sendings side by side and gives one up when the core says so.

mod answer;
mod client;
mod connection;
mod limits;
mod pool;
mod sendings;
mod wire;

pub use self::{
    client::{Client, Sending},
    limits::Limits,
    sendings::Sendings,
};
