//! The settings of a control node and its connections to the outside.
//!
//! Everything outside is passed in as a closure or a channel, so that a control node depends on no
//! protocol except its own.

use std::{path::PathBuf, pin::Pin, sync::Arc, time::Duration};

use tokio::sync::{mpsc, watch};

use super::metrics::Metrics;
use crate::{
    adapters::{disk::Disk, mesh::Mesh},
    core::{
        consensus::{self, Restored},
        types::{DataCentreId, NodeId},
        workload::{
            catalog::Catalog,
            footprint::Budget,
            scheduler::{Answer, Order, Settings},
        },
    },
};

/// Executes an order. The future resolves with the answer, or when the order is given up.
pub type Perform = Arc<dyn Fn(Order) -> Pin<Box<dyn Future<Output = Answer> + Send>> + Send + Sync>;
/// Decodes the text of a catalog, or returns what is wrong with it.
pub type Decode = Arc<dyn Fn(&[u8]) -> Result<Catalog, String> + Send + Sync>;

/// The settings of a control node.
pub struct Config {
    /// The settings of consensus.
    pub consensus: consensus::Config,
    /// The state restored from the disk.
    pub restored: Restored,
    /// The disk.
    pub disk: Disk,
    /// The data folder.
    pub folder: PathBuf,
    /// The data centre of this node.
    pub data_centre: DataCentreId,
    /// The port that every node's mesh listens on.
    pub mesh_port: u16,
    /// How many nodes should vote.
    pub target_voters: usize,
    /// How long a voter may be silent before another node replaces it.
    pub silence_limit: Duration,
    /// The time that is promised between two losses of control nodes.
    pub repair_time: Duration,
    /// How much memory the replicated state may take.
    pub budget: Budget,
    /// The settings of the scheduler.
    pub scheduler: Settings,
}

/// The status of a control node in the cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlStatus {
    /// The leader, if it is known.
    pub leader: Option<NodeId>,
    /// Whether this node votes.
    pub votes: bool,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Whether another node can vote in this node's place when it ends, or has already been added
    /// for that.
    pub replaceable: bool,
}

/// The connections of a control node to the outside.
pub struct Ports {
    /// The mesh that links it with the other nodes.
    pub mesh: Arc<Mesh>,
    /// Executes orders.
    pub perform: Perform,
    /// Time limit of an exchange with an agent, in addition to the time for which the agent may
    /// hold back its answer.
    pub exchange_limit: Duration,
    /// Decodes catalogs.
    pub decode: Decode,
    /// The metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Receives the status of this node whenever it changes.
    pub status: watch::Sender<ControlStatus>,
    /// Receives the reason why the process must stop.
    pub fatal: mpsc::UnboundedSender<String>,
}
