//! Bytes of commands and images, and their digest.

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;

use super::error::{DecodeError, EncodingSnafu};

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Encodes a value; equal values give equal bytes, since every map is ordered.
pub(super) fn encode<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("memory takes every write");
    bytes.into()
}

/// Decodes what [`encode`] wrote.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(bytes).context(EncodingSnafu)
}

/// FNV-1a of 64 bits: the same on every machine and release, which the hashers of the standard
/// library don't promise. It guards against mistakes, not against malice.
pub(super) fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}
