//! One appended unit: a batch of records, or a mark that all before it is synced.
//!
//! Magic (4 bytes), kind (1), length of the body (4), checksum (4), body. The checksum also covers
//! the number of the file and the frame's offset in it, so that a frame counts in its place only.

use std::io::Error as IoError;

use crc32fast::Hasher;
use serde::{Serialize, de::DeserializeOwned};

/// Bytes before the body.
pub(super) const HEAD: usize = 13;
const MAGIC: [u8; 4] = *b"EgFr";

/// What a frame is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Batch = 1,
    Mark = 2,
}

/// Where a frame stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    /// The number of its file.
    pub(super) number: u64,
    /// Its first byte in the file.
    pub(super) offset: u64,
}

/// A whole frame.
#[derive(Clone, Copy, Debug)]
pub(super) struct Frame<'a> {
    pub(super) kind: Kind,
    pub(super) body: &'a [u8],
}

impl Frame<'_> {
    /// Bytes of the frame, head included.
    pub(super) const fn length(&self) -> usize {
        HEAD + self.body.len()
    }
}

/// The bytes of a frame.
///
/// # Panics
///
/// If the body has 4 GiB or more, which no caller makes.
pub(super) fn encode(kind: Kind, place: Place, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len())
        .expect("a body has less than 4 GiB")
        .to_le_bytes();
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend(MAGIC);
    bytes.push(kind as u8);
    bytes.extend(length);
    bytes.extend(checksum(place, kind as u8, length, body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// The frame at the start of `bytes`, if it is whole.
pub(super) fn decode(place: Place, bytes: &[u8]) -> Option<Frame<'_>> {
    let (head, rest) = bytes.split_at_checked(HEAD)?;
    if head[..4] != MAGIC {
        return None;
    }
    let kind = match head[4] {
        1 => Kind::Batch,
        2 => Kind::Mark,
        _ => return None,
    };
    let length = [head[5], head[6], head[7], head[8]];
    let body = rest.get(..u32::from_le_bytes(length) as usize)?;
    let sum = checksum(place, head[4], length, body).to_le_bytes();
    (head[9..] == sum).then_some(Frame { kind, body })
}

/// Whether a whole frame stands anywhere in `bytes`, the first of which is at `place`.
pub(super) fn any(place: Place, bytes: &[u8]) -> bool {
    bytes.windows(MAGIC.len()).enumerate().any(|(at, window)| {
        let place = Place {
            offset: place.offset + at as u64,
            ..place
        };
        window == MAGIC && decode(place, &bytes[at..]).is_some()
    })
}

/// A value as a body.
pub(super) fn to_body<T: Serialize + ?Sized>(value: &T) -> Result<Vec<u8>, IoError> {
    let mut body = Vec::new();
    ciborium::into_writer(value, &mut body).map_err(IoError::other)?;
    Ok(body)
}

/// A body as a value; `None` if it doesn't hold one.
pub(super) fn from_body<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    ciborium::from_reader(body).ok()
}

fn checksum(place: Place, kind: u8, length: [u8; 4], body: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&place.number.to_le_bytes());
    hasher.update(&place.offset.to_le_bytes());
    hasher.update(&[kind]);
    hasher.update(&length);
    hasher.update(body);
    hasher.finalize()
}
