//! What is asked of admission and what it answers.

use std::time::Duration;

use crate::core::{
    dispatch::RequestId,
    outcome::NotRun,
    types::{GroupId, Now, Urgency},
};

/// One request that wants a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// Whose quota and share it counts against.
    pub group: GroupId,
    /// Urgent goes first, within the group's share.
    pub urgency: Urgency,
    /// When the answer has to be with the caller.
    pub deadline: Now,
}

/// A request that is provably not run because admission turned it away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// The request.
    pub request: RequestId,
    /// Why.
    pub reason: NotRun,
    /// When to come back.
    pub after: Duration,
}

/// The answer to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[must_use]
pub enum Verdict {
    /// The request waits for a slot.
    Queued {
        /// A request that waited and gave way to it; its caller is to be told at once.
        displaced: Option<Refusal>,
    },
    /// The request doesn't wait; its caller is to be told at once.
    Refused(Refusal),
}
