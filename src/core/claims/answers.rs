//! A cache of answers to keyed requests, limited in bytes.
//!
//! A resend usually arrives within seconds of the first send, often at the same entry host, so
//! the cache evicts the oldest answer first. If the answer was evicted, or is cached by another
//! node, the key is spent: the caller is told that the request may have run, which is true, but
//! doesn't get the answer.

use std::collections::VecDeque;

use crate::core::types::{Key, Map, ServiceId};

/// An entry takes at most this fraction (1/N) of the capacity, so that one large answer doesn't
/// evict all others.
const MAX_ENTRY_DIVISOR: usize = 8;
/// Approximate size of an entry without its key, service and answer.
const ENTRY_OVERHEAD_BYTES: usize = 160;

type EntryKey = (ServiceId, Key);

/// Cached answers of type `A` by service and key.
///
/// ```
/// use egretpin::core::claims::{AnswerCache, Lookup};
///
/// let mut answers = AnswerCache::new(64 * 1024);
/// let (service, key) = ("intake".into(), "case-17".into());
/// answers.insert(&service, &key, 0xfeed, "accepted", 8);
/// assert_eq!(answers.get(&service, &key, 0xfeed), Lookup::Hit(&"accepted"));
/// assert_eq!(answers.get(&service, &key, 0xbeef), Lookup::Mismatch);
/// ```
#[derive(Clone, Debug)]
pub struct AnswerCache<A> {
    capacity: usize,
    bytes: usize,
    entries: Map<EntryKey, Entry<A>>,
    insertion_order: VecDeque<EntryKey>,
}

/// The result of looking up a key in the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup<'a, A> {
    /// The answer to an identical request.
    Hit(&'a A),
    /// The key was used for a different request, whose answer must not be given to this caller.
    Mismatch,
    /// No answer is cached.
    Miss,
}

#[derive(Clone, Debug)]
struct Entry<A> {
    fingerprint: u64,
    answer: A,
    size: usize,
}

impl<A> AnswerCache<A> {
    /// Creates a cache of at most `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            bytes: 0,
            entries: Map::default(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Caches an answer of `size` bytes to the request with this fingerprint, unless it is too
    /// large or the key already has an answer.
    pub fn insert(
        &mut self,
        service: &ServiceId,
        key: &Key,
        fingerprint: u64,
        answer: A,
        size: usize,
    ) {
        let id = (service.clone(), key.clone());
        let size = size + service.len() + 2 * key.len() + ENTRY_OVERHEAD_BYTES;
        if size > self.capacity / MAX_ENTRY_DIVISOR || self.entries.contains_key(&id) {
            return;
        }
        let entry = Entry {
            fingerprint,
            answer,
            size,
        };
        self.entries.insert(id.clone(), entry);
        self.insertion_order.push_back(id);
        self.bytes += size;
        self.evict();
    }

    /// Looks up the answer for a resend of the request with this fingerprint.
    pub fn get(&self, service: &ServiceId, key: &Key, fingerprint: u64) -> Lookup<'_, A> {
        match self.entries.get(&(service.clone(), key.clone())) {
            Some(entry) if entry.fingerprint == fingerprint => Lookup::Hit(&entry.answer),
            Some(_) => Lookup::Mismatch,
            None => Lookup::Miss,
        }
    }

    /// The size of all entries in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn evict(&mut self) {
        while self.bytes > self.capacity {
            let Some(id) = self.insertion_order.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.remove(&id) {
                self.bytes -= entry.size;
            }
        }
    }
}
