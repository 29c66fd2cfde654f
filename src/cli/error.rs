//! Why a command didn't do what was asked, and its exit code.

use std::{io::Error as IoError, path::PathBuf};

use serde_json::json;
use snafu::Snafu;

use crate::{
    api::{Answer, Failure, Trouble},
    core::{state::Refusal, state::Reply, types::OperationId},
    demo::DemoError,
    settings::SettingsError,
};

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Refused.
    Refused = 1,
    /// The command line, a file or an address is wrong.
    Usage = 2,
    /// No entry host could be reached, or none knows a leader.
    Unreachable = 3,
    /// Another change came first.
    Conflict = 4,
    /// It may still take effect.
    Pending = 5,
}

/// Why a command didn't do what was asked.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CliError {
    /// The command line is wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong and what would be right.
        message: String,
    },
    /// A file can't be read or has problems.
    #[snafu(display("{source}"))]
    Settings {
        /// All of them.
        source: SettingsError,
    },
    /// A file of the tool itself can't be used.
    #[snafu(display("{}: {source}; give another folder in EGRETPIN_STATE", file.display()))]
    State {
        /// Which.
        file: PathBuf,
        /// Why.
        source: IoError,
    },
    /// An operation whose answer was lost is too old to be sent again.
    #[snafu(display(
        "the answer to operation {operation} was lost more than a day ago and nobody remembers it \
         any more; see what stands with `egretpin status`, then remove {}",
        file.display()
    ))]
    Forgotten {
        /// Which.
        operation: OperationId,
        /// Its file.
        file: PathBuf,
    },
    /// No entry host answered.
    #[snafu(display("no entry host could be reached: {}", tried.join("; ")))]
    Unreachable {
        /// Each with its error.
        tried: Vec<String>,
    },
    /// An operation was sent and its answer lost.
    #[snafu(display(
        "no answer to operation {operation}: {}. It may have taken effect. The same command again \
         is safe: it is sent under the same id",
        tried.join("; ")
    ))]
    Unanswered {
        /// Which.
        operation: OperationId,
        /// Each entry host with its error.
        tried: Vec<String>,
    },
    /// An entry host answered that it can't.
    #[snafu(display("{}", failure.message))]
    Failed {
        /// Why.
        failure: Failure,
    },
    /// The shared state refused.
    #[snafu(display("refused: {}", answer.message))]
    Refused {
        /// Why.
        answer: Box<Answer>,
    },
    /// An answer isn't what this release expects.
    #[snafu(display(
        "{address} answered what this release can't read ({source}); is it a daemon?"
    ))]
    Foreign {
        /// Who.
        address: String,
        /// Why.
        source: serde_json::Error,
    },
    /// A wait ran out.
    #[snafu(display("{message}"))]
    Waited {
        /// What is still pending.
        message: String,
    },
    /// While waiting for a change, another one came.
    #[snafu(display("configuration {newer} came before {version} was in force"))]
    Superseded {
        /// The one waited for.
        version: u64,
        /// The newer one.
        newer: u64,
    },
    /// The demonstration couldn't be given.
    #[snafu(display("{source}"))]
    Demo {
        /// Why.
        source: DemoError,
    },
    /// The demonstration found a broken promise.
    #[snafu(display("a promise was broken"))]
    Broken {
        /// The whole report, as it is to be shown.
        report: String,
    },
}

impl CliError {
    /// A wrong command line.
    pub(super) fn usage(message: impl Into<String>) -> Self {
        let message = message.into();
        Self::Usage { message }
    }

    /// The exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage { .. } | Self::State { .. } => Exit::Usage,
            Self::Settings { source } => match source {
                SettingsError::Read { .. } => Exit::Usage,
                SettingsError::Invalid { .. } => Exit::Refused,
            },
            Self::Unreachable { .. } => Exit::Unreachable,
            Self::Unanswered { .. } | Self::Waited { .. } => Exit::Pending,
            Self::Superseded { .. } => Exit::Conflict,
            Self::Failed { failure } => match failure.trouble {
                Trouble::Unavailable => Exit::Unreachable,
                Trouble::Pending => Exit::Pending,
                Trouble::BadRequest | Trouble::Invalid | Trouble::NotFound => Exit::Refused,
            },
            Self::Refused { answer } => match &answer.reply {
                Reply::Refused(Refusal::Stale { .. } | Refusal::OperationReused) => Exit::Conflict,
                _ => Exit::Refused,
            },
            Self::Foreign { .. }
            | Self::Forgotten { .. }
            | Self::Demo { .. }
            | Self::Broken { .. } => Exit::Refused,
        }
    }

    /// The error for programs.
    pub(super) fn to_json(&self) -> String {
        let mut body = json!({ "message": self.to_string(), "exit": self.exit() as u8 });
        match self {
            Self::Refused { answer } => body["answer"] = json!(answer),
            Self::Failed { failure } => body["failure"] = json!(failure),
            Self::Unanswered { operation, .. } => body["operation"] = json!(operation),
            _ => {}
        }
        format!("{body:#}\n")
    }
}
