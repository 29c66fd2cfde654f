//! Which node a process is.
//!
//! A control node's id is made of its address and of a number that its data folder got when it was
//! made. So whoever knows an id can reach the node, without a directory of addresses that would
//! have to be found first; and a node that lost its disk comes back under another id, since it
//! must never vote under one whose promises it forgot.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

use snafu::{ResultExt, Snafu};

use crate::core::types::NodeId;

/// The file that holds the id.
const FILE: &str = "node";

/// Why a node can't know who it is.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
pub enum IdentityError {
    /// The file can't be read or written.
    #[snafu(display("{}: {source}; the data folder must be writable", path.display()))]
    Access {
        /// Which file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file holds something else.
    #[snafu(display("{} holds {text:?}, which isn't a node id; empty the data folder", path.display()))]
    Content {
        /// Which file.
        path: PathBuf,
        /// What it holds.
        text: String,
    },
    /// The file holds something else than a cluster.
    #[snafu(display("{}: {source}; empty the data folder", path.display()))]
    Cluster {
        /// Which file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// The folder was made at another address.
    #[snafu(display("{} belongs to {there}, and this is {here}; give each node its own folder", path.display()))]
    Address {
        /// Which file.
        path: PathBuf,
        /// The address in it.
        there: Ipv4Addr,
        /// Ours.
        here: Ipv4Addr,
    },
}

/// The id of a node at an address whose data folder has a number. First voters have folder 0.
///
/// ```
/// use egretpin::manager::identity::{address, node_id};
///
/// let id = node_id([10, 1, 0, 9].into(), 0);
/// assert_eq!(address(id, 7060).to_string(), "10.1.0.9:7060");
/// ```
pub fn node_id(ip: Ipv4Addr, folder: u32) -> NodeId {
    (NodeId::from(u32::from(ip)) << 32) | NodeId::from(folder)
}

/// Where a node is reached.
pub fn address(node: NodeId, port: u16) -> SocketAddr {
    SocketAddr::from((ip(node), port))
}

/// The address of a node's host.
pub fn ip(node: NodeId) -> Ipv4Addr {
    // The upper half of the id.
    Ipv4Addr::from(u32::try_from(node >> 32).unwrap_or_default())
}

/// Finds the id that a data folder holds, or makes one for `ip` and keeps it.
///
/// # Errors
///
/// The folder can't be used, or belongs to another address.
pub fn recall(folder: &Path, ip: Ipv4Addr, number: u32) -> Result<NodeId, IdentityError> {
    let path = folder.join(FILE);
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
        Err(source) => return Err(IdentityError::Access { path, source }),
    };
    // A loss of power may have left the file without its content; nothing was promised then.
    if text.trim().is_empty() {
        let id = node_id(ip, number);
        keep(folder, &path, &id.to_string()).context(AccessSnafu { path })?;
        return Ok(id);
    }
    let Ok(id) = text.trim().parse::<NodeId>() else {
        return Err(IdentityError::Content { path, text });
    };
    let there = self::ip(id);
    if there != ip {
        let here = ip;
        return Err(IdentityError::Address { path, there, here });
    }
    Ok(id)
}

/// Puts a file of one line in place, synced.
pub(super) fn keep(folder: &Path, path: &Path, line: &str) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    writeln!(file, "{line}")?;
    file.sync_all()?;
    fs::rename(&beside, path)?;
    File::open(folder)?.sync_all()
}
