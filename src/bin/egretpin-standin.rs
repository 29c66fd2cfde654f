//! Stand-ins for callers, minions and the platform, for trials on one machine.

use std::{io, net::SocketAddr, process::ExitCode, time::Duration};

use argh::FromArgs;
use egretpin::{
    adapters::headers,
    core::dispatch::Announcement,
    standin::{
        caller::{self, Load},
        minion::{self, Minion},
        platform::{self, Platform},
    },
};
use tokio::{
    select,
    signal::unix::{SignalKind, signal},
    time::sleep,
};

/// Play what lies outside egretpin: a minion, the platform, or callers.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    role: Role,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Role {
    Minion(MinionArgs),
    Platform(PlatformArgs),
    Caller(CallerArgs),
}

/// Play a minion. SIGTERM has it leave: it says so, serves for --leave, and ends gracefully.
#[derive(FromArgs)]
#[argh(subcommand, name = "minion")]
struct MinionArgs {
    /// its id
    #[argh(option)]
    id: String,
    /// its service
    #[argh(option)]
    service: String,
    /// where it listens; port 0 takes a free one
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// a node that it announces itself to; repeat for several
    #[argh(option)]
    node: Vec<SocketAddr>,
    /// announce to one node at a time in turn, as through a balancer
    #[argh(switch)]
    rotate: bool,
    /// its host
    #[argh(option, default = "String::from(\"host-1\")")]
    host: String,
    /// its rack
    #[argh(option, default = "String::from(\"rack-1\")")]
    rack: String,
    /// its data centre
    #[argh(option)]
    data_centre: String,
    /// a number that grows with each start of this minion
    #[argh(option, default = "1")]
    boot: u64,
    /// requests it runs at once
    #[argh(option, default = "8")]
    slots: u32,
    /// connections it announces
    #[argh(option, default = "64")]
    connections: u32,
    /// how long a request runs, such as 5ms
    #[argh(option, default = "Duration::ZERO", from_str_fn(time))]
    delay: Duration,
    /// how often it announces itself
    #[argh(option, default = "Duration::from_millis(500)", from_str_fn(time))]
    every: Duration,
    /// how long it goes on serving after SIGTERM
    #[argh(option, default = "Duration::from_secs(3)", from_str_fn(time))]
    leave: Duration,
}

/// Play the platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// where it listens; port 0 takes a free one
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// how long a task runs
    #[argh(option, default = "Duration::from_millis(500)", from_str_fn(time))]
    run: Duration,
    /// how far reports lag
    #[argh(option, default = "Duration::from_millis(200)", from_str_fn(time))]
    lag: Duration,
    /// how long a host takes to restart
    #[argh(option, default = "Duration::from_secs(1)", from_str_fn(time))]
    reboot: Duration,
}

/// Play callers, and print what became of their requests as JSON. Exits with 1 if an answer was
/// not the request's own.
#[derive(FromArgs)]
#[argh(subcommand, name = "caller")]
struct CallerArgs {
    /// a node to call; repeat for several, which are called in turn
    #[argh(option)]
    node: Vec<SocketAddr>,
    /// the service asked
    #[argh(option)]
    service: String,
    /// the group that they say they are
    #[argh(option)]
    group: Option<String>,
    /// how many requests
    #[argh(option, default = "100")]
    count: u64,
    /// requests a second
    #[argh(option, default = "100")]
    rate: u32,
    /// bytes of each body
    #[argh(option, default = "64")]
    size: usize,
    /// give each request a key of its own that starts so
    #[argh(option)]
    keys: Option<String>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let played = match args.role {
        Role::Minion(args) => play_minion(args).await,
        Role::Platform(args) => play_platform(args).await,
        Role::Caller(args) => play_caller(args).await,
    };
    played.unwrap_or_else(|error| {
        eprintln!("egretpin-standin: {error}");
        ExitCode::from(2)
    })
}

async fn play_minion(args: MinionArgs) -> io::Result<ExitCode> {
    let minion = Minion::start(minion::Settings {
        announcement: Announcement {
            minion: args.id.into(),
            boot: args.boot,
            sequence: 0,
            service: args.service.into(),
            address: args.listen,
            host: args.host.into(),
            rack: args.rack.into(),
            data_centre: args.data_centre.into(),
            slots: args.slots,
            connections: args.connections,
            leaving: false,
        },
        nodes: args.node,
        rotate: args.rotate,
        delay: args.delay,
        every: args.every,
    })
    .await?;
    println!("{}", minion.address());
    terminated().await?;
    minion.leave();
    sleep(args.leave).await;
    minion.stop().await;
    Ok(ExitCode::SUCCESS)
}

async fn play_platform(args: PlatformArgs) -> io::Result<ExitCode> {
    let settings = platform::Settings {
        run: args.run,
        lag: args.lag,
        reboot: args.reboot,
        ..platform::Settings::default()
    };
    let platform = Platform::start(args.listen, settings).await?;
    println!("{}", platform.address());
    terminated().await?;
    Ok(ExitCode::SUCCESS)
}

async fn play_caller(args: CallerArgs) -> io::Result<ExitCode> {
    let tally = caller::run(Load {
        nodes: args.node,
        service: args.service,
        group: args.group,
        count: args.count,
        rate: args.rate,
        size: args.size,
        keys: args.keys,
    })
    .await?;
    println!("{}", serde_json::to_string_pretty(&tally)?);
    Ok(ExitCode::from(u8::from(tally.wrong > 0)))
}

/// Waits for SIGTERM or SIGINT.
async fn terminated() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn time(text: &str) -> Result<Duration, String> {
    if text == "0" {
        return Ok(Duration::ZERO);
    }
    headers::parse_wait(text).ok_or_else(|| format!("{text:?} is no time; write 250ms, 5s or 0"))
}
