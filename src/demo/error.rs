//! Why the demonstration can't be given.

use std::io::Error as IoError;

use snafu::Snafu;

use crate::{node::NodeError, settings::SettingsError};

/// Why the demonstration can't be given.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DemoError {
    /// The runtime can't be started.
    #[snafu(display("the runtime can't be started: {source}"))]
    Runtime {
        /// Why.
        source: IoError,
    },
    /// A folder for the nodes' data can't be made.
    #[snafu(display("no folder for the nodes' data: {source}; set TMPDIR to a writable folder"))]
    Folder {
        /// Why.
        source: IoError,
    },
    /// A stand-in can't be started.
    #[snafu(display("a stand-in can't be started: {source}"))]
    StandIn {
        /// Why.
        source: IoError,
    },
    /// The demonstration's own settings aren't good.
    #[snafu(display("{source}"))]
    Settings {
        /// Why.
        source: SettingsError,
    },
    /// A node can't be started.
    #[snafu(display("a node can't be started: {source}"))]
    Node {
        /// Why.
        source: NodeError,
    },
}
