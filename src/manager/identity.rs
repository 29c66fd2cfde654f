//! The id of a control node.
//!
//! A control node's id consists of its address and a random number that its data folder got when it
//! was created. Whoever knows an id can therefore reach the node without a directory of addresses,
//! which would have to be found first. A node that lost its disk comes back with a different id: it
//! must never vote under an id whose earlier votes it no longer knows.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

use snafu::{ResultExt, Snafu};

use crate::core::types::NodeId;

/// The file in the data folder that holds the id.
const FILE_NAME: &str = "node";

/// Why a node's identity can't be read or stored.
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
    /// The content of the file isn't a node id.
    #[snafu(display("{} holds {text:?}, which isn't a node id; empty the data folder", path.display()))]
    Content {
        /// Which file.
        path: PathBuf,
        /// The content.
        text: String,
    },
    /// The content of the file isn't a cluster.
    #[snafu(display("{}: {source}; empty the data folder", path.display()))]
    Cluster {
        /// Which file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// The folder was created at another address.
    #[snafu(display("{} belongs to {there}, and this is {here}; give each node its own folder", path.display()))]
    Address {
        /// Which file.
        path: PathBuf,
        /// The address in the file.
        there: Ipv4Addr,
        /// This node's address.
        here: Ipv4Addr,
    },
}

/// Returns the id of a node from its address and the number of its data folder. The first voters of
/// a cluster have folder number 0.
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

/// Returns the socket address of a node.
pub fn address(node: NodeId, port: u16) -> SocketAddr {
    SocketAddr::from((ip(node), port))
}

/// Returns the IP address of a node.
pub fn ip(node: NodeId) -> Ipv4Addr {
    // The upper half of the id.
    Ipv4Addr::from(u32::try_from(node >> 32).unwrap_or_default())
}

/// Reads the node id from a data folder, or creates one for `ip` and `number` and stores it.
///
/// # Errors
///
/// The folder can't be used, or belongs to another address.
pub fn load_or_create(folder: &Path, ip: Ipv4Addr, number: u32) -> Result<NodeId, IdentityError> {
    let path = folder.join(FILE_NAME);
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
        Err(source) => return Err(IdentityError::Access { path, source }),
    };
    // A power loss may have left the file empty. The node hadn't voted under the id then, so a new
    // one is safe.
    if text.trim().is_empty() {
        let id = node_id(ip, number);
        write_file(folder, &path, &id.to_string()).context(AccessSnafu { path })?;
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

/// Writes a file of one line atomically: syncs a new file, then renames it into place.
pub(super) fn write_file(folder: &Path, path: &Path, line: &str) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    writeln!(file, "{line}")?;
    file.sync_all()?;
    fs::rename(&beside, path)?;
    File::open(folder)?.sync_all()
}
