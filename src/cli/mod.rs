//! The operators' command line, as a library so that it can be driven in tests.
//!
//! A command is read by [`args`], sent by a client that tries several entry hosts in turn, and
//! shown as a table or, with `--json`, as the body that came.
//!
//! # Sending again
//!
//! What changes something carries an operation id. It is written to a small file with the change
//! before anything is sent, and the file goes when the answer has come. If the answer is lost, the
//! same command typed again finds the file and sends the same change under the same id, so that
//! it takes effect once. Ids are remembered by the shared state for a day; an older file is
//! refused rather than sent.
//!
//! # Exit codes
//!
//! | code | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | refused, or the file that was checked has problems |
//! | 2 | the command line, a file or an address is wrong; nothing was sent |
//! | 3 | no entry host could be reached, or none knows a leader; nothing was changed |
//! | 4 | another change came first |
//! | 5 | still pending: the answer was lost or the wait ran out; it may take effect |

pub mod args;
mod client;
mod command;
mod error;
mod hoist;
mod pending;
mod show;
mod surroundings;
mod table;
mod time;
mod wait;

pub use self::{
    error::{CliError, Exit},
    surroundings::Surroundings,
};

use argh::FromArgs;

use self::{
    args::{Args, COMMANDS},
    command::Session,
};
use crate::settings::suggest;

/// What a run leaves for its standard output and its exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// For standard output.
    pub output: String,
    /// For standard error, after the progress.
    pub complaint: String,
    /// The exit code.
    pub exit: Exit,
}

/// Runs one command. `note` takes progress, line by line.
pub fn run(words: &[String], around: &Surroundings, note: &mut dyn FnMut(&str)) -> Outcome {
    let words = match hoist::hoist(words) {
        Ok(words) => words,
        Err(error) => return Outcome::wrong(&error, false),
    };
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["egretpin"], &words) {
        Ok(args) => args,
        Err(early) if early.status.is_ok() => return Outcome::done(early.output),
        Err(early) => return Outcome::failed(Exit::Usage, unparsed(&early.output, &words)),
    };
    let json = args.json;
    let result = Session::new(&args, around, note).and_then(|mut s| s.run(args.command));
    match result {
        Ok(output) => Outcome::done(output),
        Err(CliError::Broken { report }) => Outcome::broken(report),
        Err(error) => Outcome::wrong(&error, json),
    }
}

/// The parser's complaint, with the command that was likely meant.
fn unparsed(complaint: &str, words: &[&str]) -> String {
    let complaint = complaint.trim_end();
    let first = words.iter().find(|word| !word.starts_with('-'));
    let near = first.filter(|word| !COMMANDS.contains(word));
    let near = near.and_then(|word| suggest(word, COMMANDS));
    match near {
        Some(near) => format!("{complaint}; did you mean {near:?}?"),
        None => format!("{complaint}\nsee `egretpin --help`, also after a command"),
    }
}

impl Outcome {
    fn wrong(error: &CliError, json: bool) -> Self {
        if json {
            return Self {
                output: error.to_json(),
                complaint: String::new(),
                exit: error.exit(),
            };
        }
        Self::failed(error.exit(), format!("egretpin: {error}"))
    }

    /// A whole report of something that doesn't hold.
    fn broken(report: String) -> Self {
        Self {
            output: report,
            complaint: "egretpin: a promise was broken".into(),
            exit: Exit::Refused,
        }
    }

    const fn done(output: String) -> Self {
        Self {
            output,
            complaint: String::new(),
            exit: Exit::Done,
        }
    }

    const fn failed(exit: Exit, complaint: String) -> Self {
        Self {
            output: String::new(),
            complaint,
            exit,
        }
    }
}
