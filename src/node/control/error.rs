//! Why the control task can't go on.

use snafu::Snafu;

use crate::{
    adapters::disk::DiskError,
    core::{consensus::Index, state::DecodeError},
};

/// What makes it impossible to keep the shared state. The process must stop: a state that skipped
/// one change differs from all others, and nobody would notice.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ControlError {
    /// The data folder can't be used any more.
    #[snafu(display("data folder: {source}"))]
    Disk {
        /// Why.
        source: DiskError,
    },
    /// A committed change can't be read.
    #[snafu(display(
        "the committed change {index} can't be read, so this node can't follow the shared state: \
         {source}; nothing was lost, start the release that wrote it, or a later one"
    ))]
    Command {
        /// Its place in the log.
        index: Index,
        /// Why.
        source: DecodeError,
    },
    /// A snapshot can't be read.
    #[snafu(display(
        "the snapshot as of change {index} can't be read, so this node can't follow the shared \
         state: {source}; nothing was lost, start the release that wrote it, or a later one"
    ))]
    Image {
        /// The last change that it includes.
        index: Index,
        /// Why.
        source: DecodeError,
    },
}
