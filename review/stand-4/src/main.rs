//! Cases of the review that run the project's programs between stand-ins.
//!
//! `stand-4 CASE FOLDER` runs a case from the repository's root and writes `record.txt` into the
//! folder. It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod agent;
mod dropped;
mod gang;
mod http;
mod json;
mod provider;
mod proxy;
mod same;
mod withheld;
mod world;

use std::{env, path::PathBuf, process::ExitCode};

use crate::world::Record;

fn main() -> ExitCode {
    let words: Vec<_> = env::args().collect();
    let [_, case, folder] = words.as_slice() else {
        eprintln!("usage: stand-4 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let root = env::current_dir().unwrap_or_default();
    let record = Record::new(&PathBuf::from(folder).join("record.txt"));
    let outcome = match case.as_str() {
        "dropped" => dropped::run(&root, &record, trouble),
        "withheld" => withheld::run(&root, &record, trouble),
        "same" => same::run(&root, &record, trouble),
        "gang" => gang::run(&root, &record, trouble),
        _ => Err("no such case".to_owned()),
    };
    match outcome {
        Ok(broken) if broken.is_empty() => {
            record.note("the rule held");
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in &broken {
                record.note(&format!("BROKEN: {line}"));
                println!("{line}");
            }
            ExitCode::from(1)
        }
        Err(why) => {
            record.note(&format!("the case couldn't run: {why}"));
            println!("the case couldn't run: {why}");
            ExitCode::from(2)
        }
    }
}
