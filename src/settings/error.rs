//! Why a file can't be used.

use std::{
    fs,
    io::Error as IoError,
    path::{Path, PathBuf},
};

use snafu::{ResultExt, Snafu};

use super::Problems;

/// Why settings or a declaration can't be used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: can't be read: {source}; give a readable file", file.display()))]
    Read {
        /// Which file.
        file: PathBuf,
        /// Why.
        source: IoError,
    },
    /// The file says something that it can't.
    #[snafu(display("{problems}"))]
    Invalid {
        /// Everything that is wrong.
        problems: Problems,
    },
}

/// The text of a file.
pub(super) fn read(file: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(file).context(ReadSnafu { file })
}
