//! The truth about a request: answered, not run, or unknown.
//!
//! Each caller is told exactly one of these. The reasons are enums, and the caller's header, the
//! metrics label and the log field all come from [`NotRun::label`] and its siblings, so that the
//! three can't disagree.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Why a request was provably not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// The request itself is malformed; sending it again unchanged won't help.
    BadRequest,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The caller sent its request too slowly.
    SlowCaller,
    /// No such service is declared.
    NoService,
    /// The service has no minion that takes new work.
    NoMinion,
    /// Every minion tried refused before running it.
    Refused,
    /// No minion tried could be reached, and nothing was sent.
    Unreachable,
    /// The queue of the service is full.
    QueueFull,
    /// The caller's group is over its rate.
    OverRate,
    /// The caller's group is over its share while the service is contended.
    OverShare,
    /// The deadline would pass before a minion could take it.
    Deadline,
    /// This node is stopping.
    Stopping,
    /// A keyed request can't be claimed while this node is cut off.
    CutOff,
    /// Another send of the same key holds the claim and has not ended.
    KeyBusy,
    /// The claims table is full.
    KeysFull,
}

/// Why it isn't known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unknown {
    /// The minion didn't answer within the deadline.
    Timeout,
    /// The connection ended before the whole answer had come.
    Truncated,
    /// The connection broke after the request was sent.
    Lost,
    /// The answer was to another request.
    Mismatched,
    /// The answer was larger than the limit.
    Oversized,
    /// The answer wasn't well-formed.
    Malformed,
    /// An earlier send of the same key may have run; its answer isn't held here.
    KeySpent,
}

/// Why an attempt was followed by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Retry {
    /// The minion refused before running.
    Refused,
    /// The minion couldn't be reached and nothing was sent.
    Unreachable,
    /// The request is idempotent and its outcome unknown.
    Unknown,
}

/// What the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer of a minion to this very request.
    Answered,
    /// Provably not run.
    NotRun {
        /// Why.
        reason: NotRun,
        /// When to come back; `None` if coming back unchanged is of no use.
        after: Option<Duration>,
    },
    /// May have run.
    Unknown {
        /// Why.
        reason: Unknown,
    },
}

impl NotRun {
    /// Every variant, in declaration order, so that metrics show a zero before the first count.
    pub const ALL: [Self; 15] = [
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::SlowCaller,
        Self::NoService,
        Self::NoMinion,
        Self::Refused,
        Self::Unreachable,
        Self::QueueFull,
        Self::OverRate,
        Self::OverShare,
        Self::Deadline,
        Self::Stopping,
        Self::CutOff,
        Self::KeyBusy,
        Self::KeysFull,
    ];

    /// The stable text of headers, labels and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::SlowCaller => "slow_caller",
            Self::NoService => "no_service",
            Self::NoMinion => "no_minion",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::QueueFull => "queue_full",
            Self::OverRate => "over_rate",
            Self::OverShare => "over_share",
            Self::Deadline => "deadline",
            Self::Stopping => "stopping",
            Self::CutOff => "cut_off",
            Self::KeyBusy => "key_busy",
            Self::KeysFull => "keys_full",
        }
    }

    /// The HTTP status that a caller sees.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::SlowCaller => 408,
            Self::NoService => 404,
            Self::KeyBusy => 409,
            Self::BodyTooLarge => 413,
            Self::OverRate | Self::OverShare => 429,
            _ => 503,
        }
    }
}

impl Unknown {
    /// Every variant, in declaration order.
    pub const ALL: [Self; 7] = [
        Self::Timeout,
        Self::Truncated,
        Self::Lost,
        Self::Mismatched,
        Self::Oversized,
        Self::Malformed,
        Self::KeySpent,
    ];

    /// The stable text of headers, labels and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::Truncated => "truncated",
            Self::Lost => "lost",
            Self::Mismatched => "mismatched",
            Self::Oversized => "oversized",
            Self::Malformed => "malformed",
            Self::KeySpent => "key_spent",
        }
    }

    /// The HTTP status that a caller sees: 504 after a timeout, else 502.
    pub const fn status(self) -> u16 {
        match self {
            Self::Timeout => 504,
            _ => 502,
        }
    }
}

impl Retry {
    /// Every variant, in declaration order.
    pub const ALL: [Self; 3] = [Self::Refused, Self::Unreachable, Self::Unknown];

    /// The stable text of labels and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Unknown => "unknown",
        }
    }
}
