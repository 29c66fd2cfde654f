//! A control node that leads and whose lease expires while it plans.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use egretpin::{
    adapters::{
        disk::Disk,
        mesh::{self, Mesh},
    },
    core::{
        consensus::{self, Content, Entry, Record},
        types::{Map, MinionId, NodeId, Resources},
        workload::{
            catalog::{Catalog, JobId, PoolSpec, QueueSpec},
            command::{AgentRecord, CatalogText, Command, Document, Placement, Round, Submission},
            job::{StepId, TaskId},
            scheduler::{Answer, Order, OrderKind, Report, Running, Settings},
            spec::{JobSpec, StepSpec},
        },
    },
    manager::{
        control::{self, Control},
        frame::Frame,
        identity::{address, node_id},
        metrics::Metrics,
        ports::{Config, ControlStatus, Ports},
    },
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::sleep,
};

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

/// The long-running job with a task for each agent.
const JOB: JobId = 1;

fn task(number: u32) -> TaskId {
    let step = StepId {
        job: JOB,
        occurrence: 0,
        step: 0,
    };
    TaskId { step, task: number }
}

/// What an earlier leader has committed: the agents, and a long-running task at each.
fn commands() -> Vec<Command> {
    let text = CatalogText(b"catalog".to_vec().into());
    let mut commands = vec![Command::Declare(Document { version: 1, text })];
    for number in 0..AGENTS {
        let [.., high, low] = number.to_be_bytes();
        commands.push(Command::Agent(Box::new(AgentRecord {
            id: agent(number),
            name: agent(number),
            pool: "pool".into(),
            address: ([10, 0, high, low], 80).into(),
            data_centre: "east".into(),
            labels: vec![format!("r{number}").as_str().into()],
            capacity: Resources {
                millicores: 8000,
                ..Resources::default()
            },
            leaving: false,
            acked: 0,
            sequence: 0,
        })));
    }
    let mut step = StepSpec::new(AGENTS, Duration::from_secs(1));
    step.need.millicores = 1000;
    step.long_running = true;
    step.disruption_budget = 1;
    commands.push(Command::Submit(Box::new(Submission {
        job: JOB,
        queue: "queue".into(),
        pool: "pool".into(),
        workspace: None,
        spec: JobSpec::new("x", vec![step]),
        accepted_at: Duration::ZERO,
    })));
    let starts = (0..AGENTS).map(|number| Placement {
        task: task(number),
        attempt: 1,
        agent: agent(number),
    });
    commands.push(Command::Round(Round {
        starts: starts.collect(),
        ..Round::default()
    }));
    commands
}

fn catalog() -> Catalog {
    let queue = QueueSpec {
        name: "queue".into(),
        pool: "pool".into(),
        max_attempts: 3,
        ..QueueSpec::default()
    };
    let pool = PoolSpec {
        name: "pool".into(),
        ..PoolSpec::default()
    };
    Catalog::new(1, vec![queue], vec![pool])
}

/// Creates the data folder of a voter with the committed commands, and opens it.
fn open_disk(folder: &Path, node: NodeId, voters: &[NodeId]) -> (Disk, consensus::Restored, u64) {
    let (mut disk, _) = Disk::open(folder, node).unwrap();
    let commands = commands()
        .into_iter()
        .map(|command| Content::Command(command.encode()));
    let contents = [(0, Content::Voters(voters.to_vec())), (1, Content::Noop)]
        .into_iter()
        .chain(commands.map(|content| (1, content)));
    let entries = contents.zip(1..).map(|((term, content), index)| Entry {
        term,
        index,
        content,
    });
    let records = [
        Record::Eligibility { voting: true },
        Record::Ballot {
            term: 1,
            vote: Some(voters[0]),
        },
        Record::Append(entries.collect()),
    ];
    for record in records {
        disk.write(&[record]).unwrap();
    }
    drop(disk);
    let (disk, restored) = Disk::open(folder, node).unwrap();
    let number = restored.identity.folder;
    (disk, restored.log(), number)
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
    })
}

/// Starts a voter.
async fn start(ip: Ipv4Addr, port: u16, folder: &Path, renewals: Renewals) -> Control {
    let voters = VOTERS.map(|ip| node_id(ip, 0));
    let node = node_id(ip, 0);
    let (disk, restored, number) = open_disk(&folder.join("log"), node, &voters);
    let slot: Arc<OnceLock<Control>> = Arc::default();
    let receiver = Arc::clone(&slot);
    let mesh = Mesh::start(
        mesh::Config {
            node,
            folder: Some(number),
            ..mesh::Config::default()
        },
        TcpListener::bind(SocketAddr::from((ip, port)))
            .await
            .unwrap(),
        Arc::new(move |from, bytes| {
            if let (Some(control), Some(frame)) = (receiver.get(), Frame::decode(&bytes)) {
                Control::handle_frame(control, from, frame);
            }
        }),
    );
    for voter in voters.into_iter().filter(|voter| *voter != node) {
        mesh.dial(address(voter, port));
    }
    let epoch = Instant::now();
    let (status, _) = watch::channel(ControlStatus::default());
    let (fatal, _) = mpsc::unbounded_channel();
    let control = control::spawn(
        Config {
            consensus: consensus::Config::new(node, Pcg64::seed_from_u64(node))
                .election(Duration::from_secs(1), Duration::from_secs(2))
                .heartbeat(Duration::from_millis(40))
                .lease(LEADER_LEASE),
            restored,
            disk,
            folder: folder.to_owned(),
            data_centre: "east".into(),
            mesh_port: port,
            target_voters: 2,
            silence_limit: PATIENCE,
            repair_time: Duration::from_secs(4),
            scheduler: Settings {
                lease: AGENT_LEASE,
                ..Settings::default()
            },
        },
        Ports {
            mesh: Arc::new(mesh),
            perform: Arc::new(move |order| Box::pin(perform(order, epoch, Arc::clone(&renewals)))),
            exchange_limit: EXCHANGE * 10,
            decode: Arc::new(|_| Ok(catalog())),
            metrics: Arc::new(Metrics::default()),
            status,
            fatal,
        },
    )
    .unwrap();
    slot.get_or_init(|| control).clone()
}

/// The orders of a plan that was held up for longer than the leader's lease were dropped with their
/// renewals pending, so that no further renewal went to these agents.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leader_whose_lease_expires_while_it_plans_renews_all_agents_afterwards() {
    log::set_logger(&StuckLog).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let renewals = Renewals::default();
    let folders = VOTERS.map(|_| tempfile::tempdir().unwrap());
    let free = TcpListener::bind((VOTERS[0], 0)).await.unwrap();
    let port = free.local_addr().unwrap().port();
    drop(free);
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
