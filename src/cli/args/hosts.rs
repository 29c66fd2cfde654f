//! Commands about pools, hosts and waves.

use std::time::Duration;

use argh::FromArgs;

use super::duration;
use crate::core::types::{Version, WaveId};

/// How long a wave is waited for.
const WAVE: Duration = Duration::from_secs(24 * 60 * 60);

/// See pools.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "pool")]
pub struct Pool {
    /// what to do
    #[argh(subcommand)]
    pub command: PoolCommand,
}

/// What to do with pools.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
#[expect(missing_docs, reason = "each variant is the command of its type")]
pub enum PoolCommand {
    List(PoolList),
    Show(PoolShow),
}

/// List the pools.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct PoolList {}

/// Show the hosts of a pool.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct PoolShow {
    /// the pool
    #[argh(positional)]
    pub pool: String,
}

/// See hosts, take them out of work, bring them back, move them.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "host")]
pub struct Host {
    /// what to do
    #[argh(subcommand)]
    pub command: HostCommand,
}

/// What to do with hosts.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
#[expect(missing_docs, reason = "each variant is the command of its type")]
pub enum HostCommand {
    List(HostList),
    Drain(HostDrain),
    Return(HostReturn),
    Move(HostMove),
}

/// List the hosts.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct HostList {}

/// Take a host out of work when the budgets allow.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct HostDrain {
    /// the host
    #[argh(positional)]
    pub host: String,
}

/// Withdraw a drain or a move, or bring a drained host back.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "return")]
pub struct HostReturn {
    /// the host
    #[argh(positional)]
    pub host: String,
}

/// Hand a host to another pool when the budgets allow.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "move")]
pub struct HostMove {
    /// the host
    #[argh(positional)]
    pub host: String,
    /// its next pool
    #[argh(option)]
    pub to: String,
}

/// Maintain every host of a pool once, rack by rack.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "wave")]
pub struct Wave {
    /// what to do
    #[argh(subcommand)]
    pub command: WaveCommand,
}

/// What to do with waves.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
#[expect(missing_docs, reason = "each variant is the command of its type")]
pub enum WaveCommand {
    Start(WaveStart),
    Pause(WavePause),
    Resume(WaveResume),
    Status(WaveStatus),
}

/// Start a wave.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
pub struct WaveStart {
    /// the pool
    #[argh(positional)]
    pub pool: String,
    /// the configuration that it is made against; the newest if left out
    #[argh(option)]
    pub expect: Option<Version>,
    /// wait until the wave has ended
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait, such as 8h
    #[argh(option, default = "WAVE", from_str_fn(duration))]
    pub timeout: Duration,
}

/// Admit no further stops for a wave; what is stopped comes back.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "pause")]
pub struct WavePause {
    /// the wave's id
    #[argh(positional)]
    pub wave: WaveId,
}

/// Go on with a paused wave.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "resume")]
pub struct WaveResume {
    /// the wave's id
    #[argh(positional)]
    pub wave: WaveId,
}

/// Show the open waves, and the last one of each pool.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct WaveStatus {
    /// a wave's id, to show that one alone
    #[argh(positional)]
    pub wave: Option<WaveId>,
}
