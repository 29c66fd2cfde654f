//! The commands and their options.

mod hosts;
mod jobs;
mod voters;

use std::{path::PathBuf, time::Duration};

use argh::FromArgs;

use crate::{
    core::types::{JobId, Version},
    settings::units,
};

pub use self::{
    hosts::{
        Host, HostCommand, HostDrain, HostList, HostMove, HostReturn, Pool, PoolCommand, PoolList,
        PoolShow, Wave, WaveCommand, WavePause, WaveResume, WaveStart, WaveStatus,
    },
    jobs::{Job, JobCancel, JobCommand, JobList, JobResolve, JobStatus, JobSubmit},
    voters::{Voters, VotersAdd, VotersCommand, VotersList, VotersRemove},
};

/// Operates a fleet: sees what stands, applies declarations, switches presets, runs maintenance.
/// Entry hosts are named by --address, by a daemon's --settings or in EGRETPIN_ADDRESS. Exit codes:
/// 0 done, 1 refused, 2 usage, 3 unreachable, 4 another change came first, 5 still pending.
#[derive(Debug)]
#[derive(FromArgs)]
pub struct Args {
    /// an entry host's operators' address, such as 10.0.0.1:8002; several, separated by commas,
    /// are tried in turn
    #[argh(option)]
    pub address: Vec<String>,
    /// a daemon's settings file, whose operators' address is used
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// the id to send a change under; a resend must carry the id of the first send
    #[argh(option)]
    pub operation: Option<String>,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
#[expect(missing_docs, reason = "each variant is the command of its type")]
pub enum Command {
    Plan(Plan),
    Apply(Apply),
    Preset(Preset),
    Status(Status),
    Pool(Pool),
    Host(Host),
    Wave(Wave),
    Job(Job),
    History(History),
    Explain(Explain),
    Voters(Voters),
    Check(Check),
    Demo(Demo),
}

/// Show what an apply or a switch of presets would change, moves and buffer included. Nothing is
/// done. Give a file, --preset, or both.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// the declaration; the one that stands if left out
    #[argh(positional)]
    pub file: Option<PathBuf>,
    /// the preset to switch to
    #[argh(option)]
    pub preset: Option<String>,
}

/// Replace the declaration.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the declaration
    #[argh(positional)]
    pub file: PathBuf,
    /// the preset to use with it; the first declaration needs one
    #[argh(option)]
    pub preset: Option<String>,
    /// the configuration that it was made against; the newest if left out
    #[argh(option)]
    pub expect: Option<Version>,
    /// wait until it is in force everywhere
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait, such as 30s
    #[argh(option, default = "WAIT", from_str_fn(duration))]
    pub timeout: Duration,
}

/// See or switch presets.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "preset")]
pub struct Preset {
    /// what to do
    #[argh(subcommand)]
    pub command: PresetCommand,
}

/// What to do with presets.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
#[expect(missing_docs, reason = "each variant is the command of its type")]
pub enum PresetCommand {
    List(PresetList),
    Use(PresetUse),
}

/// List the presets and show which one is in force.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct PresetList {}

/// Switch to a preset.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "use")]
pub struct PresetUse {
    /// the preset
    #[argh(positional)]
    pub preset: String,
    /// the configuration that the switch is made against; the newest if left out
    #[argh(option)]
    pub expect: Option<Version>,
    /// wait until it is in force everywhere
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait, such as 30s
    #[argh(option, default = "WAIT", from_str_fn(duration))]
    pub timeout: Duration,
}

/// Show the state of things at a glance.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Show what operators asked for in the last day, the newest first.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {
    /// how many
    #[argh(option, default = "50")]
    pub limit: usize,
}

/// Say why a request was refused, a job isn't running or a host isn't draining.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// what to explain
    #[argh(subcommand)]
    pub command: ExplainCommand,
}

/// What to explain.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
#[expect(missing_docs, reason = "each variant is the command of its type")]
pub enum ExplainCommand {
    Request(ExplainRequest),
    Job(ExplainJob),
    Host(ExplainHost),
}

/// Explain a request by the id in its answer.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "request")]
pub struct ExplainRequest {
    /// the request's id
    #[argh(positional)]
    pub request: String,
}

/// Explain a job.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub struct ExplainJob {
    /// the job's id
    #[argh(positional)]
    pub job: JobId,
}

/// Explain a host.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "host")]
pub struct ExplainHost {
    /// the host
    #[argh(positional)]
    pub host: String,
}

/// Check a declaration or a daemon's settings. Nothing is sent.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file
    #[argh(positional)]
    pub file: PathBuf,
    /// it is a daemon's settings, not a declaration
    #[argh(switch)]
    pub daemon: bool,
}

/// Show in one process, on loopback, that the promises hold: three data centres with load, a preset
/// change, a wave and faults. Needs no entry host; exits with 0 only if every promise held.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// the longest that it may take, in seconds; what isn't done by then counts as broken
    #[argh(option, default = "DEMO")]
    pub seconds: u64,
}

/// The names of the commands.
pub(super) const COMMANDS: [&str; 13] = [
    "plan", "apply", "preset", "status", "pool", "host", "wave", "job", "history", "explain",
    "voters", "check", "demo",
];

/// The longest that the demonstration may take, in seconds.
const DEMO: u64 = 55;
const WAIT: Duration = Duration::from_secs(60);

fn duration(text: &str) -> Result<Duration, String> {
    units::parse_duration(text)
}
