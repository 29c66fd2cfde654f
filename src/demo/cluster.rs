//! Six nodes in three data centres, each with a data folder or without.

use std::{
    env, fs,
    io::Error as IoError,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

use snafu::ResultExt;

use super::error::{DemoError, NodeSnafu, SettingsSnafu};
use crate::{
    core::types::NodeId,
    node::{Options, Running},
    settings::Settings,
};

/// The data centres, two nodes each.
pub(super) const CENTRES: [&str; 3] = ["ikeja", "lekki", "yaba"];
/// The nodes, two to a data centre in its order.
pub(super) const NODES: [NodeId; 6] = [1, 2, 3, 4, 5, 6];
/// One voter in each data centre, so that none holds a majority.
const VOTERS: [NodeId; 3] = [1, 3, 5];

const MESH: u16 = 7000;
const CALLERS: u16 = 8000;
const MINIONS: u16 = 8100;
const OPERATORS: u16 = 9000;
const PLATFORM: u16 = 6000;
/// The host part of the platform's address.
const PLATFORM_HOST: u8 = 200;

/// The declaration of the demonstration: two pools, three services and three presets.
pub(super) const DECLARATION: &str = include_str!("fleet.yaml");

/// Demonstrations of this process so far; each has a loopback network of its own.
static RUNS: AtomicU32 = AtomicU32::new(0);
/// Folders of this process so far.
static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// The data centre of a node.
pub(super) fn centre(node: NodeId) -> &'static str {
    CENTRES[(node as usize - 1) / 2]
}

/// The nodes of a data centre.
pub(super) fn nodes_of(data_centre: &str) -> impl Iterator<Item = NodeId> {
    NODES
        .into_iter()
        .filter(move |node| centre(*node) == data_centre)
}

/// A loopback network that no other demonstration uses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Network([u8; 2]);

impl Network {
    /// The network of this demonstration. Processes differ by their id, runs of one process by
    /// their number; the second byte keeps off 127.0.0.0/16, where other programs listen.
    pub(super) fn new() -> Self {
        let id = process::id();
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let first = 1 + (id % 250) as u8;
        let second = (id / 250 % 16 * 16 + run % 16) as u8;
        Self([first, second])
    }

    /// An address in the network.
    pub(super) fn address(self, host: u8, port: u16) -> SocketAddr {
        let [a, b] = self.0;
        SocketAddr::from((Ipv4Addr::new(127, a, b, host), port))
    }

    fn node(self, node: NodeId, port: u16) -> SocketAddr {
        self.address(node as u8, port)
    }

    /// Where callers reach a node.
    pub(super) fn callers(self, node: NodeId) -> SocketAddr {
        self.node(node, CALLERS)
    }

    /// Where minions announce themselves to a node.
    pub(super) fn minions(self, node: NodeId) -> SocketAddr {
        self.node(node, MINIONS)
    }

    /// Where operators reach a node.
    pub(super) fn operators(self, node: NodeId) -> SocketAddr {
        self.node(node, OPERATORS)
    }

    /// Where the platform is.
    pub(super) fn platform(self) -> SocketAddr {
        self.address(PLATFORM_HOST, PLATFORM)
    }
}

/// A folder that goes with its value.
#[derive(Debug)]
pub(super) struct Folder(PathBuf);

impl Folder {
    /// A new folder among the system's temporary ones.
    pub(super) fn new() -> Result<Self, IoError> {
        let run = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("egretpin-demo-{}-{run}", process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A leftover in the system's temporary folder does no harm.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The running nodes.
#[derive(Debug)]
pub(super) struct Cluster {
    nodes: Vec<(NodeId, Running)>,
}

impl Cluster {
    /// Starts all nodes.
    pub(super) async fn start(network: Network, folder: &Folder) -> Result<Self, DemoError> {
        let mut nodes = Vec::new();
        for node in NODES {
            let text = settings(network, &folder.0, node);
            let file = Path::new("the demo's settings");
            let settings = Settings::parse(file, &text).context(SettingsSnafu)?;
            let options = Options {
                bootstrap: VOTERS.contains(&node),
            };
            let running = Running::start(settings, options).await.context(NodeSnafu)?;
            nodes.push((node, running));
        }
        Ok(Self { nodes })
    }

    /// Takes a node out, for a planned stop.
    pub(super) fn take(&mut self, node: NodeId) -> Option<Running> {
        let at = self.nodes.iter().position(|(id, _)| *id == node)?;
        Some(self.nodes.remove(at).1)
    }
}

fn settings(network: Network, folder: &Path, node: NodeId) -> String {
    let mut text = format!(
        "node: {node}\ndata_centre: {}\nmesh: {}\ncallers: {}\nminions: {}\noperators: {}\n\
         platform: http://{}\nvoters: [1, 3, 5]\ntrial: true\n",
        centre(node),
        network.node(node, MESH),
        network.callers(node),
        network.minions(node),
        network.operators(node),
        network.platform(),
    );
    if VOTERS.contains(&node) {
        let data = folder.join(format!("node-{node}"));
        text.push_str(&format!("data: {}\n", data.display()));
    }
    text.push_str("peers:\n");
    for peer in NODES.into_iter().filter(|peer| *peer != node) {
        text.push_str(&format!(
            "- {{ node: {peer}, data_centre: {}, mesh: {}, callers: {} }}\n",
            centre(peer),
            network.node(peer, MESH),
            network.callers(peer),
        ));
    }
    text
}
