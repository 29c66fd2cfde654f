//! Answers to operations, and what comes instead of one.

use serde::{Deserialize, Serialize};

use crate::core::{
    state::{Refusal, Reply},
    types::OperationId,
};

/// The answer to an operation: the first one, however often it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// The operation.
    pub operation: OperationId,
    /// What came of it.
    pub reply: Reply,
    /// The same in words.
    pub message: String,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Failure {
    /// Which kind of trouble.
    pub trouble: Trouble,
    /// The same in words, and what to do.
    pub message: String,
}

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Trouble {
    /// The body isn't what the route takes. Nothing was changed.
    BadRequest,
    /// The declaration has problems, which the message lists. Nothing was changed.
    Invalid,
    /// There is no such route or thing.
    NotFound,
    /// The daemon knows no leader or is stopping. Nothing was changed; another may know one.
    Unavailable,
    /// The operation was passed on and its answer didn't come in time. It may take effect; send it
    /// again under the same id.
    Pending,
}

impl Answer {
    /// An answer with its words.
    pub fn new(operation: OperationId, reply: Reply) -> Self {
        let message = super::reply(&reply);
        Self {
            operation,
            reply,
            message,
        }
    }
}

impl Failure {
    /// A failure.
    pub fn new(trouble: Trouble, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { trouble, message }
    }
}

impl Trouble {
    /// Its HTTP status.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::NotFound => 404,
            Self::Invalid => 422,
            Self::Unavailable => 503,
            Self::Pending => 504,
        }
    }
}

/// The HTTP status of an answer: 200, 409 if another change came first, 422 if it was refused.
pub const fn status(reply: &Reply) -> u16 {
    match reply {
        Reply::Refused(Refusal::Stale { .. } | Refusal::OperationReused) => 409,
        Reply::Refused(_) => 422,
        _ => 200,
    }
}
