//! A control node that leads and whose lease expires while it plans.

use std::{
    net::Ipv4Addr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use egretpin::{
    core::{
        consensus,
        types::{Map, MinionId},
        workload::scheduler::{Answer, Order, OrderKind, Report, Running, Settings},
    },
    manager::control::Control,
};
use tokio::time::sleep;

use crate::voter::{Voter, free_port, long_running_job, task};

const VOTERS: [Ipv4Addr; 2] = [Ipv4Addr::new(127, 9, 41, 1), Ipv4Addr::new(127, 9, 41, 2)];
/// The agents. Each runs one long-running task.
const AGENTS: u32 = 300;
/// The agent that never answers, so that the leader says in a plan that a renewal is overdue.
const SILENT: u32 = 0;
/// The longest lease of agents.
const AGENT_LEASE: Duration = Duration::from_secs(4);
/// The longest that an agent takes to answer.
const EXCHANGE: Duration = Duration::from_millis(50);
/// The lease of the leader and the time for which each of its plans with an overdue renewal is held
/// up.
const LEADER_LEASE: Duration = Duration::from_millis(150);
const HOLD: Duration = Duration::from_millis(300);
/// The event that is logged within a plan.
const EVENT: &str = "leases of agents with long-running tasks aren't renewed";
/// How often plans are held up, and how long the test waits for that.
const HOLDS: usize = 2;
const PATIENCE: Duration = Duration::from_secs(30);

/// The number of plans that were held up.
static HELD: AtomicUsize = AtomicUsize::new(0);

/// A log whose writer is stuck for a while in a plan.
struct StuckLog;

impl log::Log for StuckLog {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.args().to_string() == EVENT && HELD.load(Ordering::SeqCst) < HOLDS {
            thread::sleep(HOLD);
            HELD.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn flush(&self) {}
}

/// When each agent was last sent a renewal.
type Renewals = Arc<Mutex<Map<MinionId, Instant>>>;

fn agent(number: u32) -> MinionId {
    format!("a{number}").as_str().into()
}

/// Answers an order as an agent with its long-running task would, or not at all.
async fn perform(order: Order, epoch: Instant, renewals: Renewals) -> Answer {
    let OrderKind::Renew { to, .. } = order.kind else {
        sleep(EXCHANGE).await;
        return Answer::Silent;
    };
    renewals
        .lock()
        .unwrap()
        .insert(to.agent.clone(), Instant::now());
    let number: u32 = to.agent.trim_start_matches('a').parse().unwrap();
    // Spread, so that each plan has orders.
    sleep(EXCHANGE * number / AGENTS).await;
    if number == SILENT {
        return Answer::Silent;
    }
    let running = Running {
        task: task(number),
        attempt: 1,
        checkpoint: None,
        percent: 100,
        measure: None,
    };
    Answer::Report(Report {
        clock: epoch.elapsed(),
        running: vec![running],
        ended: Vec::new(),
        ends_complete: true,
    })
}

/// Starts a voter.
async fn start(ip: Ipv4Addr, port: u16, folder: &Path, renewals: Renewals) -> Control {
    let epoch = Instant::now();
    let agents: Vec<_> = (0..AGENTS).map(agent).collect();
    let voter = Voter {
        ip,
        voters: &VOTERS,
        port,
        folder,
        commands: &long_running_job(&agents),
        settings: Settings {
            lease: AGENT_LEASE,
            ..Settings::default()
        },
        perform: Arc::new(move |order| Box::pin(perform(order, epoch, Arc::clone(&renewals)))),
        exchange_limit: EXCHANGE * 10,
    };
    let (shortest, longest) = (Duration::from_secs(1), Duration::from_secs(2));
    let consensus = |config: consensus::Config| {
        config
            .election(shortest, longest)
            .heartbeat(Duration::from_millis(40))
            .lease(LEADER_LEASE)
    };
    voter.start(consensus).await
}

/// The orders of a plan that was held up for longer than the leader's lease were dropped with their
/// renewals pending, so that no further renewal went to these agents.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leader_whose_lease_expires_while_it_plans_renews_all_agents_afterwards() {
    log::set_logger(&StuckLog).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let renewals = Renewals::default();
    let folders = VOTERS.map(|_| tempfile::tempdir().unwrap());
    let port = free_port(VOTERS[0]).await;
    let mut controls = Vec::new();
    for (ip, folder) in VOTERS.into_iter().zip(&folders) {
        controls.push(start(ip, port, folder.path(), Arc::clone(&renewals)).await);
    }
    let began = Instant::now();
    while HELD.load(Ordering::SeqCst) < HOLDS {
        assert!(began.elapsed() < PATIENCE, "no plan was held up");
        sleep(EXCHANGE).await;
    }
    sleep(AGENT_LEASE / 2).await;
    let renewals = renewals.lock().unwrap().clone();
    let renewed = |number| renewals[&agent(number)].elapsed() < AGENT_LEASE / 4;
    let mut late = (0..AGENTS).filter(|number| *number != SILENT && !renewed(*number));
    let first = late.next();
    assert_eq!(first, None, "{} agents got no renewal", late.count() + 1);
}
