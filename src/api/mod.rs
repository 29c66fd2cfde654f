//! The operators' interface: what goes over HTTP between the command line and a daemon.
//!
//! A [`Route`] says which address a body belongs to. What changes something is an [`Operation`],
//! posted under an id that the sender chose: a resend under the same id gets the first answer
//! again and changes nothing. What is read is a view, made from the state alone by the functions
//! here; only [`view::Status`] also needs what one daemon knows of itself.
//!
//! All bodies are JSON. Times are milliseconds, wall times since the Unix epoch. A field that a
//! reader doesn't know is to be ignored: later releases add fields and take none away.
//!
//! ```
//! use egretpin::{api::{Change, Operation, Route}, core::state::{Command, Reply, State}};
//!
//! let mut state = State::default();
//! let change = Change::UsePreset { preset: "peak".into(), expected: 0 };
//! let operation = Operation { operation: "one".into(), change };
//! assert_eq!(Route::Operations.to_string(), "/v1/operations");
//!
//! let request = operation.change.request().unwrap();
//! let reply = state.apply(1, &Command::operator(Default::default(), "one", request));
//! assert_eq!(egretpin::api::status(&reply), 422);
//! ```

mod change;
mod failure;
mod route;
mod say;
pub mod view;

pub use self::{
    change::{Change, JobBody, Operation},
    failure::{Answer, Failure, Trouble, status},
    route::{Method, Route},
    say::{refusal, reply},
};

use crate::core::types::Wall;

/// Milliseconds.
pub type Millis = u64;

/// A wall time as the interface gives it.
pub fn millis(at: Wall) -> Millis {
    u64::try_from(at.as_millis()).unwrap_or(Millis::MAX)
}
