//! The daemon that runs on every entry host.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use argh::FromArgs;
use egretpin::{
    adapters::logs,
    node::{Options, Running},
    settings::Settings,
};
use tokio::signal::unix::{SignalKind, signal};

/// Route requests, keep the shared state and run the fleet, as the settings say. SIGTERM stops
/// gracefully: not ready, then finishing, then gone.
#[derive(FromArgs)]
struct Args {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and start nothing
    #[argh(switch)]
    check: bool,
    /// begin a new cluster with the voters that the settings name; only on the first start of the
    /// first voters
    #[argh(switch)]
    bootstrap: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("egretpind: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<(), Box<dyn std::error::Error>> {
    if args.check {
        return check(&args.settings);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(args))
}

fn check(path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let settings = Settings::read(path)?;
    println!("{}: good", path.display());
    for advice in settings.advice() {
        println!("advice: {advice}");
    }
    Ok(())
}

async fn serve(args: &Args) -> Result<(), Box<dyn std::error::Error>> {
    // A signal ends a process that hasn't taken it, so they are taken before anything is read.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let settings = Settings::read(&args.settings)?;
    logs::start(settings.log.level, settings.log.file.as_deref())?;
    let options = Options {
        bootstrap: args.bootstrap,
    };
    let mut running = Running::start(settings, options).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        error = running.failed() => {
            log::error!(error:%; "node must stop");
            return Err(error.into());
        }
    }
    running.stop().await;
    Ok(())
}
