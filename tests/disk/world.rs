//! Batches, the state they should give, and folders to damage.

use std::{
    collections::BTreeMap,
    fs,
    os::unix::fs::MetadataExt,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use egretpin::{
    adapters::disk::{Disk, DiskError, Files, Restored},
    core::consensus::interface::{Content, Entry, Record},
};

pub(crate) type Batch = Vec<Record>;

pub(crate) fn entries(term: u64, from: u64, to: u64) -> Record {
    let entry = |index| Entry {
        term,
        index,
        content: Content::Command(Bytes::from(format!("{term}/{index}"))),
    };
    Record::Append((from..=to).map(entry).collect())
}

pub(crate) fn ballot(term: u64) -> Record {
    Record::Ballot {
        term,
        vote: Some(2),
    }
}

pub(crate) fn snapshot(index: u64, term: u64) -> Record {
    Record::Snapshot {
        index,
        term,
        voters: vec![1, 2, 3],
        data: Bytes::from(vec![7; 9_000]),
    }
}

/// Elections, appends, a conflict that cuts the tail, and snapshots of three kinds: within the
/// log, at its end with more in the same batch, and past a log that lost.
pub(crate) fn script() -> Vec<Batch> {
    vec![
        vec![
            Record::Eligibility { voting: true },
            ballot(1),
            entries(1, 1, 3),
        ],
        vec![entries(1, 4, 6)],
        vec![ballot(2), entries(2, 5, 5)],
        vec![snapshot(3, 1)],
        vec![entries(2, 6, 7)],
        vec![
            entries(2, 8, 8),
            snapshot(8, 2),
            entries(2, 9, 9),
            ballot(3),
        ],
        vec![snapshot(20, 3)],
        vec![entries(3, 21, 22)],
        vec![ballot(4), entries(4, 22, 23)],
    ]
}

/// What a reader cares about: ballot, index of the snapshot, and the entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct State {
    standing: Option<bool>,
    term: u64,
    snapshot: (u64, u64),
    entries: BTreeMap<u64, Entry>,
}

impl State {
    /// The naive replay.
    pub(crate) fn after(batches: &[Batch]) -> Self {
        let mut state = Self::default();
        for record in batches.iter().flatten() {
            match record {
                Record::Eligibility { voting } => state.standing = Some(*voting),
                Record::Ballot { term, .. } => state.term = *term,
                Record::Append(new) => {
                    state.entries.retain(|i, _| *i < new[0].index);
                    state
                        .entries
                        .extend(new.iter().map(|e| (e.index, e.clone())));
                }
                Record::Snapshot { index, term, .. } => {
                    let held = state.entries.get(index).is_some_and(|e| e.term == *term);
                    state.entries.retain(|i, _| held && i > index);
                    state.snapshot = (*index, *term);
                }
            }
        }
        state
    }
}

impl From<Restored> for State {
    fn from(restored: Restored) -> Self {
        Self {
            standing: restored.standing,
            term: restored.ballot.term,
            snapshot: restored.snapshot.map_or((0, 0), |s| {
                assert_eq!(s.image, vec![7; 9_000]);
                (s.index, s.term)
            }),
            entries: restored.entries.into_iter().map(|e| (e.index, e)).collect(),
        }
    }
}

/// What the folder holds, read without the cost of real syncs.
pub(crate) fn read(folder: &Path) -> Result<State, DiskError> {
    Disk::open_with(folder, 1, quick()).map(|(_, restored)| restored.into())
}

/// The real operations without the syncs, for thousands of openings.
pub(crate) fn quick() -> Files {
    Files {
        sync: Box::new(|_| Ok(())),
        sync_folder: Box::new(|_| Ok(())),
        ..Files::default()
    }
}

pub(crate) fn file(folder: &Path, prefix: &str) -> PathBuf {
    let names = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path());
    let named = |p: &PathBuf| p.file_name().unwrap().to_str().unwrap().starts_with(prefix);
    names.filter(named).max().unwrap()
}

/// What a power loss leaves: the contents as of each file's last sync, under the names as of the
/// folder's last sync.
#[derive(Clone, Default)]
pub(crate) struct Durable(Arc<Mutex<Image>>);

#[derive(Default)]
struct Image {
    contents: BTreeMap<u64, Vec<u8>>,
    names: BTreeMap<PathBuf, u64>,
}

impl Durable {
    pub(crate) fn sync(&self, folder: &Path, inode: u64) {
        let path = listing(folder)
            .into_iter()
            .find(|(_, i)| *i == inode)
            .unwrap()
            .0;
        let content = fs::read(path).unwrap();
        self.0.lock().unwrap().contents.insert(inode, content);
    }

    /// The folder's parent holds only the folder's own name, which is taken as durable.
    pub(crate) fn sync_folder(&self, folder: &Path) {
        if !folder.join("lock").exists() {
            return;
        }
        self.0.lock().unwrap().names = listing(folder);
    }

    pub(crate) fn restore(&self, folder: &Path) {
        let image = self.0.lock().unwrap();
        for (path, inode) in &image.names {
            let content = image.contents.get(inode).cloned().unwrap_or_default();
            fs::write(folder.join(path.file_name().unwrap()), content).unwrap();
        }
    }
}

fn listing(folder: &Path) -> BTreeMap<PathBuf, u64> {
    let entries = fs::read_dir(folder).unwrap().map(Result::unwrap);
    entries
        .map(|e| (e.path(), e.metadata().unwrap().ino()))
        .collect()
}
