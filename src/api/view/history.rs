//! What operators asked for, and the answers.

use serde::{Deserialize, Serialize};

use crate::{
    api::{Answer, Millis, millis, reply},
    core::{
        state::{Kind, Past, State},
        types::OperationId,
    },
};

/// The operations of the last day.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct History {
    /// The newest first.
    pub entries: Vec<Entry>,
}

/// One operation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// When it was answered.
    pub at: Millis,
    /// Its id.
    pub operation: OperationId,
    /// What was asked.
    pub kind: Kind,
    /// Whether it was refused.
    pub refused: bool,
    /// The answer in words.
    pub message: String,
}

impl History {
    /// All that are remembered.
    pub fn of(state: &State) -> Self {
        Self {
            entries: state.operations().recent().map(Entry::new).collect(),
        }
    }

    /// The first answer to an operation, if it is remembered.
    pub fn answer(state: &State, operation: &OperationId) -> Option<Answer> {
        let reply = state.operations().reply(operation)?;
        Some(Answer::new(operation.clone(), reply.clone()))
    }
}

impl Entry {
    fn new(past: Past<'_>) -> Self {
        Self {
            at: millis(past.at),
            operation: past.operation.clone(),
            kind: past.kind,
            refused: past.reply.is_refused(),
            message: reply(past.reply),
        }
    }
}
