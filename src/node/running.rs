//! Assembling, running and stopping a node.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use rand::SeedableRng;
use rand_pcg::{Pcg64, Pcg64Mcg};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::timeout,
};

use super::{
    clock::{Clock, wall},
    control::{self, Control, ControlError, Published},
    fleet,
    frame::Frame,
    keys::Keys,
    operators, requests,
};
use crate::{
    adapters::{
        budget::Budget,
        callers::{self, Open, Recall, Stage},
        disk::{Disk, DiskError, Restored},
        mesh::{self, Mesh},
        metrics::Metrics,
        minions,
    },
    core::{
        activation, consensus,
        dispatch::{self, Dispatch, Input},
        types::{DataCentreId, NodeId},
    },
    settings::{LimitSettings, Settings},
};

/// How long a stopping node says that it isn't ready before it closes its door, so that the
/// balancer has looked.
const LEAVING: Duration = Duration::from_secs(2);
/// How long what is in flight may take to finish after that.
const FINISHING: Duration = Duration::from_secs(60);

/// What the command line adds to the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Begin a new cluster with the voters that the settings name.
    pub bootstrap: bool,
}

/// Why a node can't run, or can't go on.
#[derive(Debug)]
#[derive(Snafu)]
pub enum NodeError {
    /// An address can't be listened on.
    #[snafu(display("{what} address {address}: {source}; give one that is free on this host"))]
    Listen {
        /// Which of the settings' addresses.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The data folder can't be used.
    #[snafu(display("data folder: {source}"))]
    Data {
        /// Why.
        source: DiskError,
    },
    /// The shared state can't be kept any more.
    #[snafu(display("{source}"))]
    Control {
        /// Why.
        source: ControlError,
    },
    /// A thread can't be started.
    #[snafu(display("a thread can't be started: {source}"))]
    Thread {
        /// Why.
        source: io::Error,
    },
}

/// A running node.
#[derive(Debug)]
pub struct Running {
    control: Control,
    inputs: mpsc::UnboundedSender<Input>,
    stage: watch::Sender<Stage>,
    idle: watch::Receiver<bool>,
    fatal: mpsc::UnboundedReceiver<ControlError>,
    served: Vec<JoinHandle<()>>,
    stopping: Arc<AtomicBool>,
    operators: operators::Server,
}

impl Running {
    /// Starts a node within a runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address or the data folder can't be used.
    pub async fn start(settings: Settings, options: Options) -> Result<Self, NodeError> {
        let clock = Clock::start();
        // Grows with each start of the process, as long as the wall clock does.
        let boot = u64::try_from(wall().as_micros()).unwrap_or(u64::MAX);
        let metrics = Arc::new(Metrics::new());
        let nodes = nodes(&settings);
        let (disk, restored) = open(&settings)?;

        let listener = listen("mesh", settings.mesh).await?;
        let (inputs, input) = mpsc::unbounded_channel();
        let (heard, heard_by_fleet) = mpsc::unbounded_channel();
        let (frames, received) = mpsc::channel(FRAMES);
        let budget = Budget::new(
            size(settings.limits.memory),
            size(settings.limits.connections.into()),
        );
        let mesh = start_mesh(&settings, listener, budget.clone(), frames);

        let acting = activation::Node::new(boot, activation::Settings::default());
        let acting = Arc::new(Mutex::new(acting));
        let (published, publications) = watch::channel(Published::default());
        let (applied, applications) = mpsc::unbounded_channel();
        let (fatal, fatals) = mpsc::unbounded_channel();
        let (keys, claimed) = mpsc::unbounded_channel();
        let control = control::spawn(
            control::Config {
                consensus: consensus_config(&settings, options, boot),
                restored,
                disk,
                nodes: Arc::clone(&nodes),
                activation: activation::Settings::default(),
            },
            control::Ports {
                mesh: Arc::clone(&mesh),
                metrics: Arc::clone(&metrics),
                clock,
                acting: Arc::clone(&acting),
                published,
                applied,
                keys,
                fatal,
            },
        )
        .context(ThreadSnafu)?;
        let (minions, minions_heard) = mpsc::unbounded_channel();
        tokio::spawn(route(received, control.clone(), inputs.clone(), minions));

        let open = Arc::new(Open::default());
        let (version, versions) = watch::channel(0);
        let (idle, idles) = watch::channel(false);
        let prefix: Arc<str> = format!("{}-{boot:x}", settings.node).into();
        let recall = Arc::new(Recall::new(Arc::clone(&prefix)));
        let limits = &settings.limits;
        let limits = minions::Limits::default()
            .answer(size(limits.answer))
            .connect(limits.connect);
        let client = minions::Client::new(prefix, limits).source(settings.callers.ip());
        let dispatch = Dispatch::new(
            dispatch::Settings::new(settings.node, settings.data_centre.clone()),
            Pcg64Mcg::seed_from_u64(boot ^ settings.node),
        );
        let ports = requests::Ports {
            mesh: Arc::clone(&mesh),
            callers: settings
                .peers
                .iter()
                .map(|peer| (peer.node, peer.callers))
                .collect(),
            open: Arc::clone(&open),
            sendings: minions::Sendings::new(client),
            metrics: Arc::clone(&metrics),
            clock,
            acting,
            published: publications.clone(),
            inputs: inputs.clone(),
            version,
            idle,
            heard,
            data_centre: settings.data_centre.clone(),
            keys: Keys::new(settings.node, boot, control.clone()),
            claimed,
        };
        tokio::spawn(requests::run(dispatch, ports, input));

        let stopping = Arc::new(AtomicBool::new(false));
        let (stage, stages) = watch::channel(Stage::Serving);
        let mut served = Vec::new();
        for (what, address) in [("callers", settings.callers), ("minions", settings.minions)] {
            let listener = listen(what, address).await?;
            let port = port(&settings, &inputs, &versions, &metrics, &publications)
                .recall(Arc::clone(&recall))
                .budget(budget.clone());
            let limits = caller_limits(&settings.limits);
            let serve = callers::serve(listener, port, Arc::clone(&open), limits, stages.clone());
            served.push(tokio::spawn(serve));
        }

        let insight = fleet::Insight::default();
        fleet::spawn(fleet::Ports {
            node: settings.node,
            nodes: Arc::clone(&nodes),
            platform: settings.platform,
            control: control.clone(),
            mesh: Arc::clone(&mesh),
            metrics: Arc::clone(&metrics),
            clock,
            applied: applications,
            heard: heard_by_fleet,
            told: minions_heard,
            insight: insight.clone(),
        });
        let listener = listen("operators", settings.operators).await?;
        let ports = operators::Ports {
            budget,
            node: settings.node,
            data_centre: settings.data_centre.clone(),
            nodes,
            control: control.clone(),
            mesh,
            metrics,
            clock,
            stopping: Arc::clone(&stopping),
            insight,
            recall,
            trial: settings.trial,
            runtime: tokio::runtime::Handle::current(),
        };
        let operators = operators::Server::start(listener, ports);
        log::info!(node = settings.node, boot; "node started");
        Ok(Self {
            control,
            inputs,
            stage,
            idle: idles,
            fatal: fatals,
            served,
            stopping,
            operators,
        })
    }

    /// Waits until something makes it impossible to go on.
    pub async fn failed(&mut self) -> NodeError {
        match self.fatal.recv().await {
            Some(source) => NodeError::Control { source },
            None => std::future::pending().await,
        }
    }

    /// Stops without cutting anything: not ready, then finishing, then gone.
    pub async fn stop(mut self) {
        log::info!("node stopping");
        self.stopping.store(true, Ordering::Relaxed);
        self.stage.send_replace(Stage::Leaving);
        self.control.hand_over().await;
        // The balancer gets time to look; whoever still comes is served as ever.
        tokio::time::sleep(LEAVING).await;
        // A closed channel means that the request task has ended, and nothing is in flight.
        let _ = self.inputs.send(Input::Stop);
        let finished = self.idle.wait_for(|idle| *idle);
        if timeout(FINISHING, finished).await.is_err() {
            log::error!("requests still in flight after the longest wait");
        }
        self.stage.send_replace(Stage::Closing);
        for served in self.served.drain(..) {
            // A listener that failed has nothing left to finish.
            let _ = timeout(FINISHING, served).await;
        }
        drop(self.operators);
        log::info!("node stopped");
    }
}

/// Frames that wait to be routed.
const FRAMES: usize = 16_384;

fn nodes(settings: &Settings) -> Arc<[(NodeId, DataCentreId)]> {
    let own = (settings.node, settings.data_centre.clone());
    let peers = settings
        .peers
        .iter()
        .map(|peer| (peer.node, peer.data_centre.clone()));
    std::iter::once(own).chain(peers).collect()
}

fn open(settings: &Settings) -> Result<(Option<Disk>, consensus::Restored), NodeError> {
    let Some(folder) = &settings.data else {
        return Ok((None, consensus::Restored::default()));
    };
    let (disk, restored) = Disk::open(folder, settings.node).context(DataSnafu)?;
    if restored.cut > 0 {
        log::warn!(bytes = restored.cut; "a torn tail was cut");
    }
    Ok((Some(disk), Restored::log(restored)))
}

fn consensus_config(settings: &Settings, options: Options, boot: u64) -> consensus::Config {
    let rng = Pcg64::seed_from_u64(boot.rotate_left(16) ^ settings.node);
    let mut config = consensus::Config::new(settings.node, rng).disk(settings.data.is_some());
    for (node, data_centre) in nodes(settings).iter() {
        config = config.location(*node, data_centre.clone());
    }
    if options.bootstrap {
        config = config.bootstrap(settings.voters.clone());
    }
    config
}

fn caller_limits(limits: &LimitSettings) -> callers::Limits {
    let mut all = callers::Limits::default()
        .body(size(limits.body))
        .memory(size(limits.memory))
        .connections(size(limits.connections.into()))
        .read(limits.read);
    all.write = limits.write;
    all
}

fn size(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

async fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { what, address })
}

fn start_mesh(
    settings: &Settings,
    listener: TcpListener,
    budget: Budget,
    frames: mpsc::Sender<(NodeId, Bytes)>,
) -> Arc<Mesh> {
    let config = mesh::Config {
        node: settings.node,
        peers: settings
            .peers
            .iter()
            .map(|peer| (peer.node, peer.mesh))
            .collect(),
        budget,
        ..mesh::Config::default()
    };
    let receive = Arc::new(move |from, bytes| {
        // A node that is too far behind loses messages, as from a lossy network.
        let _ = frames.try_send((from, bytes));
    });
    Arc::new(Mesh::start(config, listener, receive))
}

/// Hands each frame to the task that it is for.
async fn route(
    mut received: mpsc::Receiver<(NodeId, Bytes)>,
    control: Control,
    requests: mpsc::UnboundedSender<Input>,
    minions: mpsc::UnboundedSender<Vec<dispatch::Announcement>>,
) {
    while let Some((from, bytes)) = received.recv().await {
        match Frame::decode(&bytes) {
            Some(Frame::Control(frame)) => {
                control.offer(control::Input::Frame(from, frame));
            }
            Some(Frame::Requests(message)) => {
                // A task that has ended needs no more messages.
                let _ = requests.send(Input::Mesh { from, message });
            }
            Some(Frame::Heard(heard)) => {
                let _ = minions.send(heard);
            }
            None => log::warn!(from; "a frame can't be read"),
        }
    }
}

fn port(
    settings: &Settings,
    inputs: &mpsc::UnboundedSender<Input>,
    versions: &watch::Receiver<u64>,
    metrics: &Arc<Metrics>,
    published: &watch::Receiver<Published>,
) -> callers::Port {
    let peers: Vec<_> = settings
        .peers
        .iter()
        .map(|peer| peer.callers.ip())
        .collect();
    let inputs = inputs.clone();
    let versions = versions.clone();
    let metrics = Arc::clone(metrics);
    let published = published.clone();
    callers::Port::new(move |input| inputs.send(input).is_ok())
        .version(move || *versions.borrow())
        // A node that has never seen a configuration would refuse everything.
        .ready(move || published.borrow().version > 0)
        .peer(move |address| peers.contains(&address))
        .refused(move |reason| {
            let after = None;
            metrics.ended(&crate::core::outcome::Outcome::NotRun { reason, after });
        })
}
