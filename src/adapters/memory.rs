//! A bound on the bytes that bodies take together.
//!
//! A share is reserved before a body is read and travels with the body's [`Bytes`]: it is given
//! back when the last clone of them is dropped, be that in a sending, in the requests that are
//! open, or in a connection that writes them out.
//!
//! ```
//! use bytes::Bytes;
//! use egretpin::adapters::memory::Memory;
//!
//! let memory = Memory::new(4096);
//! let share = memory.try_reserve(4000).expect("there is room");
//! let body = share.hold(Bytes::from_static(b"dry"));
//! assert!(memory.try_reserve(3000).is_some(), "no more is held than the body needs");
//! drop(body);
//! ```

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Memory is reserved in steps of this many bytes.
const STEP: usize = 1024;

/// Memory that bodies share. A clone speaks of the same memory.
#[derive(Clone, Debug)]
pub struct Memory {
    free: Arc<Semaphore>,
    total: usize,
}

/// A share of the memory; given back when dropped.
#[derive(Debug)]
pub struct Share(OwnedSemaphorePermit);

/// A body with its share.
struct Held {
    body: Bytes,
    _share: Share,
}

impl Memory {
    /// So many bytes, rounded down to whole KiB.
    pub fn new(bytes: usize) -> Self {
        let whole = bytes / STEP;
        Self {
            free: Arc::new(Semaphore::new(whole)),
            total: whole * STEP,
        }
    }

    /// How many bytes there are in all.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Reserves without waiting; `None` if there is no room now.
    pub fn try_reserve(&self, bytes: usize) -> Option<Share> {
        let permit = self.free.clone().try_acquire_many_owned(steps(bytes));
        permit.ok().map(Share)
    }

    /// Reserves, waiting for room. Whoever reserves all that it needs at once can't be held up by
    /// others that wait for more.
    pub async fn reserve(&self, bytes: usize) -> Option<Share> {
        let permit = self.free.clone().acquire_many_owned(steps(bytes)).await;
        permit.ok().map(Share)
    }
}

impl Share {
    /// Adds another share to this one.
    pub fn merge(&mut self, other: Self) {
        self.0.merge(other.0);
    }

    /// Binds the share to a body, less what the body doesn't need.
    pub fn hold(mut self, body: Bytes) -> Bytes {
        let needed = usize::try_from(steps(body.len())).unwrap_or(usize::MAX);
        let spare = self.0.num_permits().saturating_sub(needed);
        drop(self.0.split(spare));
        Bytes::from_owner(Held { body, _share: self })
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

fn steps(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(STEP)).unwrap_or(u32::MAX)
}
