//! The files of a data folder: which there are, how a new pair gets in place, which may go.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::Error as IoError,
    path::{Path, PathBuf},
};

use serde::{Serialize, de::DeserializeOwned};

use crate::core::types::NodeId;

use super::{
    DiskError, Fault, Files, Identity, Step,
    frame::{self, Kind as FrameKind, Place},
    header::{self, Kind},
    mirror::Checkpoint,
    segment::Segment,
};

const LOCK: &str = "lock";
const IDENTITY: &str = "identity";
const CHECKPOINT: &str = "checkpoint-";
const SEGMENT: &str = "segment-";
const TEMPORARY: &str = ".new";
/// The number of a folder's first pair.
const FIRST: u64 = 1;

/// A locked folder.
#[derive(Debug)]
pub(super) struct Folder {
    path: PathBuf,
    pub(super) files: Files,
}

impl Folder {
    /// Makes the folder if need be and locks it against other processes.
    pub(super) fn lock(path: &Path, files: Files) -> Result<(Self, File), DiskError> {
        fs::create_dir_all(path).map_err(|e| DiskError::from_step(path, Step::Create, e))?;
        let name = path.join(LOCK);
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&name)
            .map_err(|e| DiskError::from_step(&name, Step::Create, e))?;
        let folder = PathBuf::from(path);
        match file.try_lock() {
            Ok(()) => Ok((
                Self {
                    path: folder,
                    files,
                },
                file,
            )),
            Err(TryLockError::WouldBlock) => Err(DiskError::Locked { folder }),
            Err(TryLockError::Error(e)) => Err(DiskError::from_step(&name, Step::Lock, e)),
        }
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    pub(super) fn segment(&self, number: u64) -> PathBuf {
        self.path.join(format!("{SEGMENT}{number:020}"))
    }

    fn checkpoint(&self, number: u64) -> PathBuf {
        self.path.join(format!("{CHECKPOINT}{number:020}"))
    }

    /// Reads the identity, or makes the folder's first files. Also returns whether it made them.
    ///
    /// The identity is written last, so a folder without one has never held anything.
    pub(super) fn identify(&mut self, node: NodeId) -> Result<(Identity, bool), DiskError> {
        let path = self.path.join(IDENTITY);
        if !path.exists() {
            self.check_unused(&path)?;
            return Ok((self.make(node)?, true));
        }
        let identity: Identity = read(&path, Kind::Identity, 0)?;
        if identity.node != node {
            return Err(DiskError::WrongNode {
                folder: self.path.clone(),
                found: identity.node,
                wanted: node,
            });
        }
        Ok((identity, false))
    }

    /// The number of the newest checkpoint. A later segment must be empty: it was made for a
    /// checkpoint that didn't get in place.
    pub(super) fn newest(&self) -> Result<u64, DiskError> {
        let number = self.numbers(CHECKPOINT)?.into_iter().max();
        let number = number.ok_or_else(|| missing(&self.checkpoint(FIRST)))?;
        if !self.segment(number).exists() {
            return Err(missing(&self.segment(number)));
        }
        for later in self.numbers(SEGMENT)? {
            if later > number {
                check_empty(&self.segment(later))?;
            }
        }
        Ok(number)
    }

    pub(super) fn read_checkpoint(&self, number: u64) -> Result<Checkpoint, DiskError> {
        read(&self.checkpoint(number), Kind::Checkpoint, number)
    }

    /// Makes an empty segment and puts the checkpoint before it in place. If there is no room,
    /// nothing has changed.
    pub(super) fn start(
        &mut self,
        number: u64,
        checkpoint: &Checkpoint,
    ) -> Result<Segment, DiskError> {
        let segment = self.segment(number);
        self.put(&segment, &header::encode(Kind::Segment, number))?;
        let path = self.checkpoint(number);
        if let Err(error) = self.put_value(&path, Kind::Checkpoint, number, checkpoint) {
            // If this fails too, the next opening finds the segment empty and removes it.
            let _ = (self.files.remove)(&segment);
            return Err(error);
        }
        Segment::open(&segment, number)
    }

    /// Removes whatever doesn't belong to the pair `number`.
    pub(super) fn clean(&mut self, number: u64) -> Result<(), DiskError> {
        let kept = [self.segment(number), self.checkpoint(number)];
        for path in self.list()? {
            let name = file_name(&path);
            let ours = name.starts_with(CHECKPOINT) || name.starts_with(SEGMENT);
            if (ours && !kept.contains(&path)) || name.ends_with(TEMPORARY) {
                (self.files.remove)(&path)
                    .map_err(|e| DiskError::from_step(&path, Step::Remove, e))?;
            }
        }
        Ok(())
    }

    fn make(&mut self, node: NodeId) -> Result<Identity, DiskError> {
        self.start(FIRST, &Checkpoint::default())?;
        let identity = Identity::new(node);
        let path = self.path.join(IDENTITY);
        self.put_value(&path, Kind::Identity, 0, &identity)?;
        if let Some(parent) = self.path.parent().filter(|p| !p.as_os_str().is_empty()) {
            (self.files.sync_folder)(parent)
                .map_err(|e| DiskError::from_step(parent, Step::Sync, e))?;
        }
        Ok(identity)
    }

    /// A folder without an identity may hold only what an interrupted making left.
    fn check_unused(&self, identity: &Path) -> Result<(), DiskError> {
        for number in self.numbers(SEGMENT)? {
            check_empty(&self.segment(number))?;
        }
        if self.numbers(CHECKPOINT)?.iter().any(|n| *n != FIRST) {
            return Err(missing(identity));
        }
        Ok(())
    }

    fn put_value<T: Serialize>(
        &mut self,
        path: &Path,
        kind: Kind,
        number: u64,
        value: &T,
    ) -> Result<(), DiskError> {
        let body = frame::to_body(value).map_err(|e| DiskError::from_step(path, Step::Write, e))?;
        let mut bytes = header::encode(kind, number).to_vec();
        bytes.extend(frame::encode(FrameKind::Batch, first_place(number), &body));
        self.put(path, &bytes)
    }

    /// Writes a file beside its place, syncs it, renames it and syncs the folder.
    fn put(&mut self, path: &Path, bytes: &[u8]) -> Result<(), DiskError> {
        let beside = PathBuf::from(format!("{}{TEMPORARY}", path.display()));
        if let Err(error) = self.write_beside(&beside, bytes) {
            let _ = (self.files.remove)(&beside);
            return Err(error);
        }
        if let Err(error) = (self.files.rename)(&beside, path) {
            let _ = (self.files.remove)(&beside);
            return Err(DiskError::from_step(path, Step::Rename, error));
        }
        (self.files.sync_folder)(&self.path)
            .map_err(|e| DiskError::from_step(&self.path, Step::Sync, e))
    }

    fn write_beside(&mut self, beside: &Path, bytes: &[u8]) -> Result<(), DiskError> {
        let file =
            File::create(beside).map_err(|e| DiskError::from_step(beside, Step::Create, e))?;
        (self.files.write)(&file, 0, bytes)
            .map_err(|e| DiskError::from_step(beside, Step::Write, e))?;
        // A file beside its place is thrown away when its sync fails, so that a disk that shows
        // only then to be full has spoiled nothing. It counts as a failed write.
        (self.files.sync)(&file).map_err(|e| DiskError::from_step(beside, Step::Write, e))
    }

    fn numbers(&self, prefix: &str) -> Result<Vec<u64>, DiskError> {
        let paths = self.list()?;
        let parse = |path: &PathBuf| file_name(path).strip_prefix(prefix)?.parse().ok();
        Ok(paths.iter().filter_map(parse).collect())
    }

    fn list(&self) -> Result<Vec<PathBuf>, DiskError> {
        let entries = fs::read_dir(&self.path).and_then(|entries| {
            entries
                .map(|entry| entry.map(|e| e.path()))
                .collect::<Result<Vec<_>, IoError>>()
        });
        let mut paths = entries.map_err(|e| DiskError::from_step(&self.path, Step::Read, e))?;
        paths.sort();
        Ok(paths)
    }
}

fn read<T: DeserializeOwned>(path: &Path, kind: Kind, number: u64) -> Result<T, DiskError> {
    let bytes = fs::read(path).map_err(|e| DiskError::from_step(path, Step::Read, e))?;
    let body = header::check(path, &bytes, kind, number)?;
    let corrupt = |fault| DiskError::Corrupt {
        file: PathBuf::from(path),
        offset: header::LENGTH as u64,
        fault,
    };
    let frame = frame::decode(first_place(number), body)
        .filter(|f| f.length() == body.len())
        .ok_or_else(|| corrupt(Fault::Damaged))?;
    frame::from_body(frame.body).ok_or_else(|| corrupt(Fault::Codec))
}

const fn first_place(number: u64) -> Place {
    Place {
        number,
        offset: header::LENGTH as u64,
    }
}

fn check_empty(path: &Path) -> Result<(), DiskError> {
    let length = fs::metadata(path)
        .map_err(|e| DiskError::from_step(path, Step::Read, e))?
        .len();
    if length > header::LENGTH as u64 {
        return Err(DiskError::Corrupt {
            file: PathBuf::from(path),
            offset: header::LENGTH as u64,
            fault: Fault::Excess,
        });
    }
    Ok(())
}

fn missing(path: &Path) -> DiskError {
    DiskError::Corrupt {
        file: PathBuf::from(path),
        offset: 0,
        fault: Fault::Missing,
    }
}

fn file_name(path: &Path) -> &str {
    path.file_name()
        .and_then(|n| n.to_str())
        .unwrap_or_default()
}
