//! The settings of one daemon.

mod check;
mod read;

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use log::LevelFilter;

use crate::core::types::{DataCentreId, NodeId};

use super::{SettingsError, cursor::Cursor, error, problem::Report};

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This node's id, unique in the firm.
    pub node: NodeId,
    /// This node's data centre.
    pub data_centre: DataCentreId,
    /// Where other nodes reach this one.
    pub mesh: SocketAddr,
    /// Where callers reach this node.
    pub callers: SocketAddr,
    /// Where minions announce themselves.
    pub minions: SocketAddr,
    /// Where operators reach this node; metrics and readiness are here too.
    pub operators: SocketAddr,
    /// The data folder; only voters need one.
    pub data: Option<PathBuf>,
    /// The first voters of the shared log.
    pub voters: Vec<NodeId>,
    /// The other nodes.
    pub peers: Vec<Peer>,
    /// The platform's base URL, if this node may lead.
    pub platform: Option<String>,
    /// Logging.
    pub log: LogSettings,
    /// Bounds on callers and minions.
    pub limits: LimitSettings,
    /// Opens the operators' fault switches, which cut mesh links for trials.
    pub trial: bool,
}

/// Another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its id.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its mesh address.
    pub mesh: SocketAddr,
    /// Its callers' address, to which requests are spilled.
    pub callers: SocketAddr,
}

/// What is logged and where to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least level that is logged.
    pub level: LevelFilter,
    /// A file to append to; standard error if absent.
    pub file: Option<PathBuf>,
}

/// Bounds on what callers and minions may do to this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Bytes of one request's body.
    pub body: u64,
    /// Bytes of all requests' bodies held at once.
    pub memory: u64,
    /// Callers' connections open at once.
    pub connections: u32,
    /// How long a caller may take to send a head, and then a body.
    pub read: Duration,
    /// How long a caller may stand still while it reads an answer.
    pub write: Duration,
    /// Bytes of one minion's answer.
    pub answer: u64,
    /// How long it may take to get a connection to a minion.
    pub connect: Duration,
}

/// Something that is allowed but seldom meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Advice {
    /// One data centre can take the shared log down.
    Majority {
        /// Which.
        data_centre: DataCentreId,
    },
    /// The last voter of an even number adds nothing that may fail.
    Even {
        /// How many voters there are.
        voters: usize,
    },
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            file: None,
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body: 1 << 20,
            memory: 64 << 20,
            connections: 4096,
            read: Duration::from_secs(10),
            write: Duration::from_secs(10),
            answer: 4 << 20,
            connect: Duration::from_secs(1),
        }
    }
}

impl Display for Advice {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Majority { data_centre } => write!(
                f,
                "data centre {data_centre} holds a majority of the voters: without it no change is \
                 accepted; spread them"
            ),
            Self::Even { voters } => write!(
                f,
                "{voters} voters survive no more losses than {} do; use an odd number",
                voters - 1
            ),
        }
    }
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// If the file can't be read or says something that settings can't; then with every problem.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        Self::parse(file, &error::read(file)?)
    }

    /// Checks a text; `file` names it in problems.
    ///
    /// # Errors
    ///
    /// As [`Settings::read`].
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        Report::walk(file, text, |root: &Cursor<'_>| read::settings(root))
    }

    /// What is allowed here but seldom meant, for `--check` and the log.
    pub fn advice(&self) -> Vec<Advice> {
        let voters = self.voters.len();
        let mut places: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
        for voter in &self.voters {
            if let Some(place) = self.place(*voter) {
                *places.entry(place).or_default() += 1;
            }
        }
        let crowded = places
            .into_iter()
            .find(|(_, n)| voters > 1 && n * 2 > voters);
        let majority = crowded.map(|(data_centre, _)| Advice::Majority {
            data_centre: data_centre.clone(),
        });
        let even = voters.is_multiple_of(2).then_some(Advice::Even { voters });
        majority.into_iter().chain(even).collect()
    }

    fn place(&self, node: NodeId) -> Option<&DataCentreId> {
        if node == self.node {
            return Some(&self.data_centre);
        }
        let peer = self.peers.iter().find(|p| p.node == node)?;
        Some(&peer.data_centre)
    }
}
