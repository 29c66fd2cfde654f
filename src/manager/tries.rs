//! What a requester is told after several tries of one request.
//!
//! A request is sent to the leader again if a try got no reply. That try may have been carried out all the same, and
//! nothing but the confirmation of a later try tells: a later try may be refused because of something that has
//! changed since then. So a request that changes something is either confirmed, or unclear, once a try is open.
//! A request that only reads is answered by its latest reply.
//!
//! ```
//! use egretpin::manager::{
//!     request::{LeaderRequest, Reply},
//!     tries::Tries,
//! };
//!
//! let mut tries = Tries::new(&LeaderRequest::Leave("agent".into()));
//! assert_eq!(tries.conclude(Reply::Denied), Reply::Denied);
//! tries.leave_open();
//! assert_eq!(tries.conclude(Reply::Denied), Reply::Unclear);
//! assert_eq!(tries.conclude(Reply::Done), Reply::Done);
//! ```

use super::request::{Effect, LeaderRequest, Refused, Reply};

/// The tries of one request so far.
#[derive(Clone, Copy, Debug)]
pub struct Tries {
    changes_state: bool,
    /// Whether a try may have been carried out without that being known.
    open: bool,
}

impl Tries {
    /// A request that wasn't tried yet.
    pub fn new(request: &LeaderRequest) -> Self {
        Self {
            changes_state: request.changes_state(),
            open: false,
        }
    }

    /// Records a try whose outcome isn't known.
    pub fn leave_open(&mut self) {
        self.open = true;
    }

    /// What the requester is told if the last try got this reply.
    pub fn conclude(&self, reply: Reply) -> Reply {
        if !self.open || !self.changes_state || reply.effect() == Effect::CarriedOut {
            return reply;
        }
        log::info!(reply:?; "a request is unclear, as a try without a reply may have been carried out");
        Reply::Unclear
    }

    /// What the requester is told if there is no time for another try.
    pub fn give_up(&self) -> Reply {
        if self.open {
            Reply::Unclear
        } else {
            Reply::Refused(Refused::NoLeader)
        }
    }
}
