//! The request path of one node, as one state machine.
//!
//! A request arrives, is admitted or refused, waits for a slot, is sent to a minion and ends in
//! exactly one [`Outcome`](crate::core::outcome::Outcome). The adapters do the I/O that
//! [`Output`] asks for and report back with an [`Input`]; all choices (which minion, who waits,
//! whether to try again, what the caller is told) are made here.
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::core::dispatch::{Arrival, Dispatch, Input, Output, Settings};
//! use rand_pcg::Pcg64Mcg;
//!
//! let settings = Settings::new(1, "north".into());
//! let mut dispatch = Dispatch::new(settings, Pcg64Mcg::new(7));
//! let arrival = Arrival {
//!     request: 1,
//!     service: "intake".into(),
//!     group: "portal".into(),
//!     key: None,
//!     urgency: Default::default(),
//!     patience: None,
//!     spilled: false,
//! };
//! let outputs = dispatch.step(Duration::ZERO, Input::Arrive(arrival));
//! assert!(matches!(outputs[..], [Output::Finish { request: 1, .. }]));
//! ```

mod comeback;
mod ending;
mod engine;
mod intake;
mod lending;
mod membership;
mod queue;
mod request;
pub mod seam;
mod sending;
mod service;
mod settings;
mod timers;

pub use self::{
    engine::Dispatch,
    seam::{
        Announcement, Arrival, AttemptEnd, ClaimAnswer, Configuration, Input, Mesh, Output,
        RequestId, SendId, Target,
    },
    settings::Settings,
};
