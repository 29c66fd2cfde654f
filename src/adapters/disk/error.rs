//! What can go wrong with the data folder, and what to do about it.

use std::{
    fmt::{self, Display, Formatter},
    io::{Error as IoError, ErrorKind},
    path::{Path, PathBuf},
};

use snafu::Snafu;

use crate::core::{consensus::interface::Index, types::NodeId};

/// A failure of the data folder.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DiskError {
    /// Another process uses the folder.
    #[snafu(display(
        "{}: another process holds this data folder; stop it, or give this one a folder of its own",
        folder.display()
    ))]
    Locked {
        /// The folder.
        folder: PathBuf,
    },
    /// The folder is another node's.
    #[snafu(display(
        "{}: the folder belongs to node {found}, but the settings say node {wanted}; correct the \
         node id or the data folder in the settings",
        folder.display()
    ))]
    WrongNode {
        /// The folder.
        folder: PathBuf,
        /// Whose it is.
        found: NodeId,
        /// Who wanted to open it.
        wanted: NodeId,
    },
    /// A later release wrote the file.
    #[snafu(display(
        "{}: written in format {found}, and this release reads up to format {known}; start the \
         release that wrote it, or a later one",
        file.display()
    ))]
    Later {
        /// The file.
        file: PathBuf,
        /// Its format.
        found: u32,
        /// The newest one known here.
        known: u32,
    },
    /// The file is damaged where a crash can't have done it.
    #[snafu(display(
        "{} is corrupt at byte {offset}: {fault}. Nothing was changed. Keep the folder for \
         inspection, check the disk, and replace this voter under a new node id; its old node id \
         must not vote again",
        file.display()
    ))]
    Corrupt {
        /// The file.
        file: PathBuf,
        /// Where in it.
        offset: u64,
        /// What is wrong there.
        fault: Fault,
    },
    /// There is no room. The log is as it was.
    #[snafu(display(
        "{}: the disk is full; changes are refused until there is room, and what was accepted \
         stays ({source})",
        file.display()
    ))]
    Full {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: IoError,
    },
    /// The caller's entries don't follow on what is written; nothing was written.
    #[snafu(display("entry {found} can't follow, the next is {expected}; nothing was written"))]
    Gap {
        /// The first index that would leave no gap.
        expected: Index,
        /// The index found.
        found: Index,
    },
    /// An earlier write or sync failed.
    #[snafu(display(
        "{}: an earlier write failed, so the folder can't be trusted until it is opened again; \
         stop this process and check the disk",
        folder.display()
    ))]
    Untrusted {
        /// The folder.
        folder: PathBuf,
    },
    /// The operating system failed.
    #[snafu(display(
        "{}: can't {step}: {source}; stop this process and check the disk and the rights to the \
         folder",
        file.display()
    ))]
    Io {
        /// The file or folder.
        file: PathBuf,
        /// What was tried.
        step: Step,
        /// The system's error.
        source: IoError,
    },
}

impl DiskError {
    /// Whether the process must stop. After the others the log is as it was before the write.
    pub const fn is_fatal(&self) -> bool {
        !matches!(self, Self::Full { .. } | Self::Gap { .. })
    }

    /// A failed step of the operating system: full where it says so. A full disk that shows only
    /// when syncing has lost what was written before, so there it is an ordinary failure.
    pub(super) fn from_step(file: &Path, step: Step, source: IoError) -> Self {
        let file = PathBuf::from(file);
        let full = matches!(
            source.kind(),
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded
        );
        match step {
            Step::Create | Step::Write | Step::Rename if full => Self::Full { file, source },
            _ => Self::Io { file, step, source },
        }
    }
}

/// What was tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Make a file or folder.
    Create,
    /// Lock the folder.
    Lock,
    /// Read.
    Read,
    /// Write.
    Write,
    /// Make it durable.
    Sync,
    /// Cut a file.
    Truncate,
    /// Put a file in its place.
    Rename,
    /// Remove a file.
    Remove,
}

impl Display for Step {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Create => "create it",
            Self::Lock => "lock it",
            Self::Read => "read it",
            Self::Write => "write it",
            Self::Sync => "sync it",
            Self::Truncate => "cut it",
            Self::Rename => "rename it",
            Self::Remove => "remove it",
        })
    }
}

/// What is wrong with a corrupt file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The header doesn't match.
    Header,
    /// A frame's checksum doesn't match.
    Checksum,
    /// The file doesn't match its checksum, though it was synced before it got its name.
    Damaged,
    /// The content can't be decoded although its checksum matches.
    Codec,
    /// The entries don't follow one another.
    Order,
    /// The file should be there.
    Missing,
    /// There is more than there should be.
    Excess,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Header => "the header doesn't match its checksum",
            Self::Checksum => "the record doesn't match its checksum, and later ones were synced",
            Self::Damaged => "the content doesn't match its checksum",
            Self::Codec => "the record can't be decoded",
            Self::Order => "the entries don't follow one another",
            Self::Missing => "the file should be there",
            Self::Excess => "there is data that no checkpoint accounts for",
        })
    }
}
