//! Control nodes that vote, with what an earlier leader has committed and agents that a test plays.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    sync::{Arc, OnceLock},
    time::Duration,
};

use egretpin::{
    adapters::{
        disk::Disk,
        mesh::{self, Mesh},
    },
    core::{
        consensus::{self, Content, Entry, Record},
        types::{MinionId, NodeId, Resources},
        workload::{
            catalog::{Catalog, JobId, PoolSpec, QueueSpec},
            command::{AgentRecord, CatalogText, Command, Document, Placement, Round, Submission},
            footprint::Budget,
            job::{StepId, TaskId},
            scheduler::Settings,
            spec::{JobSpec, StepSpec},
        },
    },
    manager::{
        control::{self, Control},
        frame::Frame,
        identity::{address, node_id},
        metrics::Metrics,
        ports::{Config, ControlStatus, Perform, Ports},
    },
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};

/// How long a voter may be silent.
const SILENCE_LIMIT: Duration = Duration::from_secs(30);
/// The host and the path of the only queue.
pub(crate) const HOST: &str = "host";
pub(crate) const PREFIX: &str = "/queue/";

/// The settings of a voter.
pub(crate) struct Voter<'a> {
    /// Its place among the voters.
    pub(crate) ip: Ipv4Addr,
    pub(crate) voters: &'a [Ipv4Addr],
    pub(crate) port: u16,
    pub(crate) folder: &'a Path,
    /// What an earlier leader has committed.
    pub(crate) commands: &'a [Command],
    pub(crate) settings: Settings,
    pub(crate) perform: Perform,
    pub(crate) exchange_limit: Duration,
}

impl Voter<'_> {
    /// Starts the voter, with its settings of consensus changed by `consensus`.
    pub(crate) async fn start(
        self,
        consensus: impl FnOnce(consensus::Config) -> consensus::Config,
    ) -> Control {
        let Self { ip, port, .. } = self;
        let node = node_id(ip, 0);
        let voters: Vec<_> = self.voters.iter().map(|ip| node_id(*ip, 0)).collect();
        let (disk, restored, number) =
            open_disk(&self.folder.join("log"), node, &voters, self.commands);
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
        for voter in voters.iter().filter(|voter| **voter != node) {
            mesh.dial(address(*voter, port));
        }
        let (status, _) = watch::channel(ControlStatus::default());
        let (fatal, _) = mpsc::unbounded_channel();
        let config = consensus::Config::new(node, Pcg64::seed_from_u64(node));
        let control = control::spawn(
            Config {
                consensus: consensus(config),
                restored,
                disk,
                folder: self.folder.to_owned(),
                data_centre: "east".into(),
                mesh_port: port,
                target_voters: voters.len(),
                budget: Budget::default(),
                silence_limit: SILENCE_LIMIT,
                repair_time: Duration::from_secs(4),
                scheduler: self.settings,
            },
            Ports {
                mesh: Arc::new(mesh),
                perform: self.perform,
                exchange_limit: self.exchange_limit,
                decode: Arc::new(|_| Ok(catalog())),
                metrics: Arc::new(Metrics::default()),
                status,
                fatal,
            },
        )
        .unwrap();
        slot.get_or_init(|| control).clone()
    }
}

/// A port that is free at an address.
pub(crate) async fn free_port(ip: Ipv4Addr) -> u16 {
    let free = TcpListener::bind((ip, 0)).await.unwrap();
    free.local_addr().unwrap().port()
}

/// The command that puts the catalog in force.
pub(crate) fn declare() -> Command {
    let text = CatalogText(b"catalog".to_vec().into());
    Command::Declare(Document { version: 1, text })
}

/// The record of an agent with this number on a host of its own.
pub(crate) fn agent_record(id: &MinionId, number: u32) -> AgentRecord {
    let [.., high, low] = number.to_be_bytes();
    AgentRecord {
        id: id.clone(),
        name: id.clone(),
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
    }
}

/// The number of the job of [`long_running_job`].
const JOB: JobId = 1;

/// A task of the job of [`long_running_job`].
pub(crate) fn task(number: u32) -> TaskId {
    let step = StepId {
        job: JOB,
        occurrence: 0,
        step: 0,
    };
    TaskId { step, task: number }
}

/// The commands of an earlier leader that has put the catalog in force, and placed a task of a
/// long-running job at each of these agents.
pub(crate) fn long_running_job(agents: &[MinionId]) -> Vec<Command> {
    let numbered = || (0..).zip(agents);
    let records = numbered().map(|(number, id)| agent_record(id, number));
    let records = records.map(|record| Command::Agent(Box::new(record)));
    let count = u32::try_from(agents.len()).unwrap();
    let mut step = StepSpec::new(count, Duration::from_secs(1));
    step.need.millicores = 1000;
    step.long_running = true;
    step.disruption_budget = 1;
    let submission = Submission {
        job: JOB,
        queue: "queue".into(),
        pool: "pool".into(),
        workspace: None,
        terms: None,
        spec: JobSpec::new("x", vec![step]),
        accepted_at: Duration::ZERO,
    };
    let starts = numbered().map(|(number, agent)| Placement {
        task: task(number),
        attempt: 1,
        agent: agent.clone(),
    });
    let round = Round {
        starts: starts.collect(),
        ..Round::default()
    };
    let placed = [Command::Submit(Box::new(submission)), Command::Round(round)];
    [declare()]
        .into_iter()
        .chain(records)
        .chain(placed)
        .collect()
}

fn catalog() -> Catalog {
    let queue = QueueSpec {
        name: "queue".into(),
        host: HOST.into(),
        prefix: PREFIX.into(),
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
fn open_disk(
    folder: &Path,
    node: NodeId,
    voters: &[NodeId],
    commands: &[Command],
) -> (Disk, consensus::Restored, u64) {
    let (mut disk, _) = Disk::open(folder, node).unwrap();
    let commands = commands
        .iter()
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
