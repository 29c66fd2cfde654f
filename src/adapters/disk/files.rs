//! The file operations that change something, as a port.
//!
//! A plain struct of closures, so that a test can fill the disk, fail a sync or stop the process
//! between two operations. Reading needs no port: tests damage the files themselves.

use std::{
    fmt::{self, Debug, Formatter},
    fs::{self, File},
    io::Result as IoResult,
    os::unix::fs::FileExt,
    path::Path,
};

/// Writes bytes at an offset.
type WriteAt = Box<dyn FnMut(&File, u64, &[u8]) -> IoResult<()> + Send>;
/// Makes a file's content durable.
type SyncFile = Box<dyn FnMut(&File) -> IoResult<()> + Send>;
/// Cuts a file to a length.
type Truncate = Box<dyn FnMut(&File, u64) -> IoResult<()> + Send>;
/// Puts a file in the place of another name, at once.
type Rename = Box<dyn FnMut(&Path, &Path) -> IoResult<()> + Send>;
/// Does something to the file or folder of a path.
type OnPath = Box<dyn FnMut(&Path) -> IoResult<()> + Send>;

/// The operations; [`Files::default`] are the operating system's.
pub struct Files {
    /// Writes all bytes at an offset, or fails with any part written.
    pub write: WriteAt,
    /// Makes a file's content and length durable.
    pub sync: SyncFile,
    /// Cuts a file to a length.
    pub truncate: Truncate,
    /// Renames a file over another.
    pub rename: Rename,
    /// Removes a file.
    pub remove: OnPath,
    /// Makes the names in a folder durable.
    pub sync_folder: OnPath,
}

impl Default for Files {
    fn default() -> Self {
        Self {
            write: Box::new(|file, offset, bytes| file.write_all_at(bytes, offset)),
            sync: Box::new(File::sync_data),
            truncate: Box::new(File::set_len),
            rename: Box::new(|from, to| fs::rename(from, to)),
            remove: Box::new(|path| fs::remove_file(path)),
            sync_folder: Box::new(|path| File::open(path)?.sync_all()),
        }
    }
}

impl Debug for Files {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Files").finish_non_exhaustive()
    }
}
