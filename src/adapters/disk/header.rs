//! The first bytes of each file: what it is, in which format, and its number.
//!
//! Magic (8 bytes), format version (4), number (8), checksum of these (4); integers are little
//! endian. A later format must keep this layout, so that an earlier release can name it.

use std::path::{Path, PathBuf};

use super::{DiskError, FORMAT, Fault};

/// Bytes of a header.
pub(super) const LENGTH: usize = 24;

/// What a file is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Identity,
    Checkpoint,
    Segment,
}

impl Kind {
    const fn magic(self) -> &'static [u8; 8] {
        match self {
            Self::Identity => b"egretidn",
            Self::Checkpoint => b"egretchk",
            Self::Segment => b"egretlog",
        }
    }
}

/// The header's bytes.
pub(super) fn encode(kind: Kind, number: u64) -> [u8; LENGTH] {
    let mut bytes = [0; LENGTH];
    bytes[..8].copy_from_slice(kind.magic());
    bytes[8..12].copy_from_slice(&FORMAT.to_le_bytes());
    bytes[12..20].copy_from_slice(&number.to_le_bytes());
    let sum = crc32fast::hash(&bytes[..20]);
    bytes[20..].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// Checks the header of a file and returns what follows it.
pub(super) fn check<'a>(
    file: &Path,
    bytes: &'a [u8],
    kind: Kind,
    number: u64,
) -> Result<&'a [u8], DiskError> {
    let wrong = || DiskError::Corrupt {
        file: PathBuf::from(file),
        offset: 0,
        fault: Fault::Header,
    };
    let (head, body) = bytes.split_at_checked(LENGTH).ok_or_else(wrong)?;
    let sum = crc32fast::hash(&head[..20]).to_le_bytes();
    if head[20..] != sum || head[..8] != *kind.magic() {
        return Err(wrong());
    }
    let found = u32::from_le_bytes([head[8], head[9], head[10], head[11]]);
    if found > FORMAT {
        return Err(DiskError::Later {
            file: PathBuf::from(file),
            found,
            known: FORMAT,
        });
    }
    if head[12..20] != number.to_le_bytes() {
        return Err(wrong());
    }
    Ok(body)
}
