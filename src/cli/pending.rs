//! Operations whose answers haven't come, one small file each.

use std::{
    fs::{self, File},
    io::{Error as IoError, ErrorKind, Write},
    path::{Path, PathBuf},
    process,
};

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::error::{CliError, ForgottenSnafu, StateSnafu};
use crate::{
    api::{Change, Millis, Operation, millis},
    core::{state::OPERATIONS_KEEP, types::OperationId},
};

/// A margin for the clocks of this host and of the leader.
const MARGIN: Millis = 60 * 60 * 1000;

/// The folder of unanswered operations.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    folder: PathBuf,
}

/// What a file holds.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
struct Kept {
    at: Millis,
    #[serde(flatten)]
    operation: Operation,
}

impl Pending {
    pub(super) fn new(folder: &Path) -> Self {
        let folder = folder.to_path_buf();
        Self { folder }
    }

    /// The unanswered operation that asked for the same, whatever configuration it was made
    /// against.
    ///
    /// # Errors
    ///
    /// If it is too old to be sent again.
    pub(super) fn find(&self, change: &Change, now: Millis) -> Result<Option<Operation>, CliError> {
        let kept = self.all()?.into_iter();
        let alike = |kept: &Kept| kept.operation.change.clone().against(0) == *change;
        let change_at_zero = |kept: Kept| self.check_age(kept, now);
        kept.into_iter().find(alike).map(change_at_zero).transpose()
    }

    /// The unanswered operation of an id.
    ///
    /// # Errors
    ///
    /// If it is too old to be sent again.
    pub(super) fn get(&self, id: &OperationId, now: Millis) -> Result<Option<Operation>, CliError> {
        let kept = self
            .all()?
            .into_iter()
            .find(|kept| kept.operation.operation == *id);
        kept.map(|kept| self.check_age(kept, now)).transpose()
    }

    /// Keeps an operation, before it is sent.
    pub(super) fn keep(&self, operation: &Operation, at: Millis) -> Result<(), CliError> {
        let kept = Kept {
            at,
            operation: operation.clone(),
        };
        let file = self.file(&operation.operation);
        self.write(&file, &kept).context(StateSnafu { file })
    }

    /// Forgets an operation, after its answer.
    pub(super) fn forget(&self, id: &OperationId) -> Result<(), CliError> {
        let file = self.file(id);
        match fs::remove_file(&file) {
            // Two runs may have sent the same operation and both got its answer.
            Err(error) if error.kind() != ErrorKind::NotFound => {
                Err(error).context(StateSnafu { file })
            }
            _ => Ok(()),
        }
    }

    fn check_age(&self, kept: Kept, now: Millis) -> Result<Operation, CliError> {
        let oldest = millis(OPERATIONS_KEEP) - MARGIN;
        if now.saturating_sub(kept.at) < oldest {
            return Ok(kept.operation);
        }
        let operation = kept.operation.operation;
        let file = self.file(&operation);
        ForgottenSnafu { operation, file }.fail()
    }

    fn write(&self, file: &Path, kept: &Kept) -> Result<(), IoError> {
        fs::create_dir_all(&self.folder)?;
        let beside = file.with_extension(format!("{}.new", process::id()));
        let mut out = File::create(&beside)?;
        out.write_all(&serde_json::to_vec(kept)?)?;
        out.sync_all()?;
        fs::rename(&beside, file)?;
        File::open(&self.folder)?.sync_all()
    }

    fn all(&self) -> Result<Vec<Kept>, CliError> {
        let folder = &self.folder;
        let entries = match fs::read_dir(folder) {
            Ok(entries) => entries,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
            Err(error) => return Err(error).context(StateSnafu { file: folder }),
        };
        let mut files: Vec<_> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
        files.sort();
        files.retain(|file| file.extension().is_some_and(|e| e == "json"));
        files
            .iter()
            .filter_map(|file| read(file).transpose())
            .collect()
    }

    fn file(&self, id: &OperationId) -> PathBuf {
        self.folder.join(format!("{id}.json"))
    }
}

/// Nothing, if another run has just removed it.
fn read(file: &Path) -> Result<Option<Kept>, CliError> {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error).context(StateSnafu { file }),
    };
    let kept = serde_json::from_str(&text).map_err(IoError::from);
    kept.map(Some).context(StateSnafu { file })
}
