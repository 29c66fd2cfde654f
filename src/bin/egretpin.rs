//! The operators' command line.

use std::{
    env,
    io::{self, Write},
    process::ExitCode,
};

use egretpin::cli::{self, Surroundings};

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    let mut note = |line: &str| eprintln!("{line}");
    let outcome = cli::run(&words, &Surroundings::from_env(), &mut note);
    if !outcome.complaint.is_empty() {
        eprintln!("{}", outcome.complaint);
    }
    // A reader that has seen enough, such as head, closes the pipe; that is no failure of ours.
    let _ = io::stdout().write_all(outcome.output.as_bytes());
    ExitCode::from(outcome.exit as u8)
}
