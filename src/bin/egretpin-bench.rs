//! Measures egretpin's decisions and prints JSON.

use argh::FromArgs;
use egretpin::bench::{
    admission, capacity, control, fleet, front, leader, placement, report, routing,
};

/// Measure egretpin's decisions and print JSON.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    bench: Bench,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Bench {
    Admission(Admission),
    Capacity(Capacity),
    Control(Control),
    Fleet(Fleet),
    Front(Front),
    Leader(Leader),
    Placement(Placement),
    Routing(Routing),
}

/// Measure admission: a takeover weekend in logical time, and the cost of a decision.
#[derive(FromArgs)]
#[argh(subcommand, name = "admission")]
struct Admission {
    /// the seed of all chance
    #[argh(option, default = "1")]
    seed: u64,
}

/// Slopes of what each role holds, sends and computes, and what follows at the target's size.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct Capacity {
    /// the seed of all chance (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// print the tables of docs/CAPACITY.md instead of JSON
    #[argh(switch)]
    markdown: bool,
}

/// Buffer, moves and time of waves and preset changes, and the cost of a decision.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct Fleet {
    /// the seed of all chance (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// leave out the fleets above this many hosts (default 19008)
    #[argh(option, default = "19_008")]
    hosts: u32,
}

/// Roll-out time of a change by mode, with slow and cut nodes, and the cost of the state.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
struct Control {
    /// roll-outs of each kind (default 200)
    #[argh(option, default = "200")]
    runs: u64,
    /// leave out states of more hosts than this (default 19000)
    #[argh(option, default = "19_000")]
    hosts: u32,
}

/// Measure the callers' interface: normal callers beside slow ones, and bodies past the limit,
/// with hyper and with tiny_http. Loopback only.
#[derive(FromArgs)]
#[argh(subcommand, name = "front")]
struct Front {
    /// normal callers, and slow ones
    #[argh(option, default = "300")]
    callers: usize,
    /// seconds that each case is measured for
    #[argh(option, default = "5")]
    seconds: u64,
}

/// What a start, a renewal and an end cost a leader that can't keep up.
#[derive(FromArgs)]
#[argh(subcommand, name = "leader")]
struct Leader {
    /// agents of the fleet (default 1000)
    #[argh(option, default = "1_000")]
    agents: usize,
    /// measurements, one after the other (default 1)
    #[argh(option, default = "1")]
    runs: u32,
}

/// Cost of placement against fleet size, urgent starts, spread, moves and a lost data centre,
/// beside naive first fit.
#[derive(FromArgs)]
#[argh(subcommand, name = "placement")]
struct Placement {
    /// the seed of all chance (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// leave out fleets of more hosts than this (default 19000)
    #[argh(option, default = "19_000")]
    hosts: usize,
}

/// Quality and cost of routing, with baselines.
#[derive(FromArgs)]
#[argh(subcommand, name = "routing")]
struct Routing {
    /// simulated seconds of each scenario (default 30)
    #[argh(option, default = "30")]
    seconds: u64,
}

fn main() {
    let args: Args = argh::from_env();
    match args.bench {
        Bench::Admission(options) => report::print(&admission::report(options.seed)),
        Bench::Capacity(options) => {
            let report = capacity::report(options.seed);
            if options.markdown {
                print!("{}", capacity::markdown(&report));
            } else {
                report::print(&report);
            }
        }
        Bench::Control(options) => report::print(&control::report(options.runs, options.hosts)),
        Bench::Fleet(options) => report::print(&fleet::run(options.seed, options.hosts)),
        Bench::Front(options) => {
            report::print(&front::report(options.callers, options.seconds));
        }
        Bench::Leader(options) => report::print(&leader::report(options.agents, options.runs)),
        Bench::Placement(options) => {
            report::print(&placement::report(options.seed, options.hosts));
        }
        Bench::Routing(options) => report::print(&routing::run(options.seconds)),
    }
}
