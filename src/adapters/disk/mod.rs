//! The durable log of consensus: one folder, written by one process, synced before it is trusted.
//!
//! [`Disk::write`] takes the [`Record`]s that consensus wants on disk, appends them as one frame
//! and syncs once (group commit). It returns only when they are synced, so that the caller can
//! report them and consensus can acknowledge. [`Disk::open`] gives back what was written.
//!
//! # Files
//!
//! | file | what it holds |
//! |---|---|
//! | `lock` | nothing; held locked while a process uses the folder |
//! | `identity` | the node that owns the folder and the folder's own random id |
//! | `checkpoint-N` | ballot, snapshot and the entries after it, as of the start of segment N |
//! | `segment-N` | the frames appended since then |
//!
//! Each begins with a header (magic, format version, number, checksum). A [`Record::Snapshot`]
//! starts segment N+1 and then puts `checkpoint-N+1` in place: it is written beside, synced,
//! renamed, and the folder is synced. That rename is the one moment of change, and the old pair is
//! removed only after it. A crash before it leaves the old pair in force, one after it the new.
//!
//! # Torn or corrupt
//!
//! A crash can tear the last frame, which nobody was told about, so that frame is cut. Any other
//! damage could cost an acknowledged entry, so the process must stop. Three facts tell the two
//! apart. A frame is appended only after the one before it was synced, so a damaged frame with a
//! whole one after it is corrupt. After each sync a *mark* goes behind the frame, unsynced since
//! it promises nothing: where it survives, damage before it is corruption too. And a frame's
//! checksum covers its place, so that bytes which look like a frame can't pass for one. What
//! stays open: damage to the very last frame right after a power loss, before its mark reached
//! the disk, can't be told from a torn write. A second sync for each write would close it at twice
//! the price.
//!
//! # Failures
//!
//! * A full disk: [`DiskError::Full`]. The log is as it was before. The caller refuses new changes,
//!   goes on serving and may try again later.
//! * Anything else, a failed sync above all: the kernel may have dropped the pages and a second
//!   sync would succeed without them. The disk refuses all further writes
//!   ([`DiskError::Untrusted`]) and the process must stop; [`DiskError::is_fatal`] says so. When it
//!   is opened again, a last frame without a mark is written and synced anew before it counts.
//!
//! # A lost disk
//!
//! A voter whose folder was emptied has forgotten its votes and must not vote under its old node
//! id again. Consensus sees to that: it finds no standing in an empty folder, asks the cluster
//! whether the id is a voter's already, and writes the answer as [`Record::Eligibility`] before
//! anything else. A lost disk is barred by it for good, and the voter is replaced by a membership
//! change under a new node id. The folder's part is to keep the standing through every checkpoint,
//! to say in [`Restored::fresh`] that it was just made, and to refuse a node id that isn't the one
//! it was made for, so that a barred folder isn't revived by editing the settings. Its
//! [`FolderId`] lets logs and operators tell a new folder from the one that was lost.
//!
//! # Example
//!
//! ```
//! use egretpin::{adapters::disk::Disk, core::consensus::interface::Record};
//!
//! let folder = tempfile::tempdir()?;
//! let (mut disk, restored) = Disk::open(folder.path(), 1)?;
//! assert!(restored.fresh);
//! disk.write(&[Record::Ballot { term: 3, vote: Some(1) }])?;
//! drop(disk);
//!
//! let (_disk, restored) = Disk::open(folder.path(), 1)?;
//! assert_eq!(restored.ballot.term, 3);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::{
    fs::File,
    path::{Path, PathBuf},
};

use crate::core::{
    consensus::{
        self,
        interface::{Entry, Index, Payload, Record, Term},
    },
    types::NodeId,
};

use self::{folder::Folder, mirror::Mirror, segment::Segment};

pub use self::{
    error::{DiskError, Fault, Step},
    files::Files,
    identity::{FolderId, Identity},
};

mod error;
mod files;
mod folder;
mod frame;
mod header;
mod identity;
mod mirror;
mod segment;

/// The newest format that this release reads, and the one that it writes.
pub const FORMAT: u32 = 1;

/// Term and vote as last written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ballot {
    /// The current term.
    pub term: Term,
    /// Whom this node voted for in it.
    pub vote: Option<NodeId>,
}

/// The last snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last included index.
    pub index: Index,
    /// Its term.
    pub term: Term,
    /// The voters as of the index.
    pub voters: Vec<NodeId>,
    /// The state machine's image.
    pub image: Payload,
}

/// What a folder held when it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restored {
    /// Whether consensus lets this disk vote; `None` if it never said.
    pub standing: Option<bool>,
    /// Term and vote.
    pub ballot: Ballot,
    /// The last snapshot, if any was written.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
    /// Whose folder it is.
    pub identity: Identity,
    /// Whether the folder was made just now. See the module on lost disks.
    pub fresh: bool,
    /// Bytes of a torn last frame that were cut.
    pub cut: u64,
}

impl Restored {
    /// What consensus takes up again.
    pub fn log(self) -> consensus::Restored {
        consensus::Restored {
            voting: self.standing,
            term: self.ballot.term,
            vote: self.ballot.vote,
            snapshot: self.snapshot.map(|s| consensus::Snapshot {
                last: consensus::Position {
                    term: s.term,
                    index: s.index,
                },
                voters: s.voters,
                data: s.image,
            }),
            entries: self.entries,
        }
    }
}

/// An open data folder.
#[derive(Debug)]
pub struct Disk {
    folder: Folder,
    segment: Segment,
    mirror: Mirror,
    trusted: bool,
    /// Held for its lock, which ends with the process or with this value.
    _lock: File,
}

impl Disk {
    /// Opens the folder of `node`, making it if it isn't there.
    ///
    /// # Errors
    ///
    /// All are fatal: another process holds the folder, it belongs to another node, it is of a
    /// later format, it is corrupt, or the operating system failed.
    pub fn open(folder: &Path, node: NodeId) -> Result<(Self, Restored), DiskError> {
        Self::open_with(folder, node, Files::default())
    }

    /// The same through the given file operations.
    ///
    /// # Errors
    ///
    /// As [`Disk::open`].
    pub fn open_with(
        folder: &Path,
        node: NodeId,
        files: Files,
    ) -> Result<(Self, Restored), DiskError> {
        let (mut folder, lock) = Folder::lock(folder, files)?;
        let (identity, fresh) = folder.identify(node)?;
        let number = folder.newest()?;
        let checkpoint = folder.read_checkpoint(number)?;
        let mut mirror = Mirror::new(&checkpoint)?;
        let path = folder.segment(number);
        let (segment, cut) = Segment::recover(&path, number, &mut folder.files, &mut mirror)?;
        folder.clean(number)?;
        let restored = Restored {
            standing: mirror.standing(),
            ballot: mirror.ballot(),
            snapshot: checkpoint.snapshot(),
            entries: mirror.entries().to_vec(),
            identity,
            fresh,
            cut,
        };
        let disk = Self {
            folder,
            segment,
            mirror,
            trusted: true,
            _lock: lock,
        };
        Ok((disk, restored))
    }

    /// Where the data lies.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Bytes of the present segment; grows until the next snapshot.
    pub fn length(&self) -> u64 {
        self.segment.length()
    }

    /// Writes records in order, all or none, and returns when they are synced.
    ///
    /// # Errors
    ///
    /// [`DiskError::Full`] and [`DiskError::Gap`] leave the log as it was. All others are fatal:
    /// see [`DiskError::is_fatal`].
    pub fn write(&mut self, records: &[Record]) -> Result<(), DiskError> {
        if !self.trusted {
            return Err(self.untrusted());
        }
        if records.is_empty() {
            return Ok(());
        }
        self.mirror.check(records)?;
        let result = match last_snapshot(records) {
            Some(snapshot) => self.replace(records, snapshot),
            None => self.append(records),
        };
        if let Err(error) = &result {
            self.trusted = !error.is_fatal();
        }
        result
    }

    fn append(&mut self, records: &[Record]) -> Result<(), DiskError> {
        self.segment.append(&mut self.folder.files, records)?;
        self.mirror.apply(records);
        Ok(())
    }

    /// Starts a new segment behind a checkpoint of the state after `records`.
    fn replace(&mut self, records: &[Record], snapshot: &Record) -> Result<(), DiskError> {
        let number = self.segment.number() + 1;
        let mut next = self.mirror.clone();
        next.apply(records);
        self.segment = self.folder.start(number, &next.checkpoint(snapshot))?;
        self.mirror = next;
        self.folder.clean(number)
    }

    fn untrusted(&self) -> DiskError {
        DiskError::Untrusted {
            folder: PathBuf::from(self.folder.path()),
        }
    }
}

/// The snapshot that counts of a batch: the last one.
fn last_snapshot(records: &[Record]) -> Option<&Record> {
    records
        .iter()
        .rev()
        .find(|r| matches!(r, Record::Snapshot { .. }))
}
