//! Commands about jobs.

use std::time::Duration;

use argh::FromArgs;

use super::duration;
use crate::{
    core::types::{Attempt, JobId},
    settings::units,
};

/// Submit, see, cancel and resolve jobs.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub struct Job {
    /// what to do
    #[argh(subcommand)]
    pub command: JobCommand,
}

/// What to do with jobs.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
#[expect(missing_docs, reason = "each variant is the command of its type")]
pub enum JobCommand {
    Submit(JobSubmit),
    Status(JobStatus),
    List(JobList),
    Cancel(JobCancel),
    Resolve(JobResolve),
}

/// Submit a job. Once accepted, it isn't lost.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct JobSubmit {
    /// the service, which gives it its pool
    #[argh(option)]
    pub service: String,
    /// the team whose quota it uses
    #[argh(option)]
    pub team: String,
    /// the cores that it needs, such as 2, 1.5 or 500m
    #[argh(option, from_str_fn(millicores))]
    pub cores: u64,
    /// the memory that it needs, such as 4GiB
    #[argh(option, from_str_fn(bytes))]
    pub memory: u64,
    /// the accelerators that it needs
    #[argh(option, default = "0")]
    pub accelerators: u32,
    /// how long it runs, such as 10m
    #[argh(option, from_str_fn(duration))]
    pub runtime: Duration,
    /// start it before ordinary work
    #[argh(switch)]
    pub urgent: bool,
    /// it may run twice, whatever its service says
    #[argh(switch)]
    pub idempotent: bool,
    /// it may not run twice, whatever its service says
    #[argh(switch)]
    pub once: bool,
    /// the platform can checkpoint it
    #[argh(switch)]
    pub checkpointable: bool,
    /// what the platform runs
    #[argh(option, default = "String::new()")]
    pub payload: String,
}

/// Show one job.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct JobStatus {
    /// the job's id
    #[argh(positional)]
    pub job: JobId,
}

/// List the jobs.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct JobList {
    /// only those that are waiting, starting, running, unresolved or ended
    #[argh(option)]
    pub phase: Option<String>,
}

/// End a job that isn't needed any more.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct JobCancel {
    /// the job's id
    #[argh(positional)]
    pub job: JobId,
}

/// Say what became of an attempt that may have begun.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "resolve")]
pub struct JobResolve {
    /// the job's id
    #[argh(positional)]
    pub job: JobId,
    /// the attempt that you looked at
    #[argh(option)]
    pub attempt: Attempt,
    /// succeeded, failed, or again to have it run once more
    #[argh(option, long = "as")]
    pub resolution: String,
}

fn bytes(text: &str) -> Result<u64, String> {
    units::parse_bytes(text)
}

fn millicores(text: &str) -> Result<u64, String> {
    units::parse_millicores(text)
}
