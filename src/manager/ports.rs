//! What a control node is given: its settings, and ways to speak to the outside.
//!
//! Everything outside is handed in as a closure or a channel, so that a control node knows no
//! protocol but its own.

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
            scheduler::{Answer, Order, Settings},
        },
    },
};

/// Carries out an order; resolves when it is answered or given up.
pub type Perform = Arc<dyn Fn(Order) -> Pin<Box<dyn Future<Output = Answer> + Send>> + Send + Sync>;
/// Reads the text of a catalog; what is wrong with it if it can't be.
pub type Decode = Arc<dyn Fn(&[u8]) -> Result<Catalog, String> + Send + Sync>;

/// How a control node is set up.
pub struct Config {
    /// Its consensus.
    pub consensus: consensus::Config,
    /// What its disk held.
    pub restored: Restored,
    /// Its disk.
    pub disk: Disk,
    /// Its data folder.
    pub folder: PathBuf,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The port of every node's mesh.
    pub mesh_port: u16,
    /// How many nodes should vote.
    pub voters: usize,
    /// How long a voter may be silent before another node takes its place.
    pub silence: Duration,
    /// The scheduler's.
    pub scheduler: Settings,
}

/// What a control node is to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seat {
    /// Who leads.
    pub leader: Option<NodeId>,
    /// Whether this node votes.
    pub votes: bool,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Whether another could vote in its place then, or is about to.
    pub spare: bool,
}

/// What a control node speaks to.
pub struct Ports {
    /// The other nodes.
    pub mesh: Arc<Mesh>,
    /// Carries out orders.
    pub perform: Perform,
    /// How long that takes at most for an order to an agent, beyond what its answer may wait.
    pub exchange: Duration,
    /// Reads catalogs.
    pub decode: Decode,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// Told what this node is to the others.
    pub seat: watch::Sender<Seat>,
    /// Told why the process must stop.
    pub fatal: mpsc::UnboundedSender<String>,
}
