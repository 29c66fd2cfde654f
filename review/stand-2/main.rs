//! The stand-ins and scripts of the second review. The first argument names the script, the second
//! the folder of the case, the third the repository.

mod base;
mod world;
mod cases;

use std::{env, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let folder = PathBuf::from(args.next().unwrap_or_default());
    let root = PathBuf::from(args.next().unwrap_or_default());
    let trouble = env::var("TROUBLE").map_or(true, |t| t != "0");
    ExitCode::from(cases::run(&case, &folder, &root, trouble))
}
