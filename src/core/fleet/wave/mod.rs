//! Maintenance waves: every host of a pool once in the period, rack by rack.
//!
//! A [`Wave`] remembers which hosts of one pool are still due, in which order their racks come,
//! and which racks are *open* (their hosts are being stopped, maintained or soaked). It decides
//! nothing about budgets: the
//! [engine](super::pool::Engine) asks the wave for candidates and the
//! [budgets](super::budget::Budgets) for admission.
//!
//! Two choices keep jobs from being displaced:
//!
//! - The racks with least unsaved work come first, in a fixed order that is drawn up when the wave
//!   begins. Within the first few of the order the one with least work at that moment is taken.
//! - [`Wave::rank`] tells placement how soon a host's turn comes. A displaced job that goes to the
//!   lowest rank lands on a host already maintained, and isn't displaced again by this wave.
//!
//! Cordoning a rack ahead of its turn, so that its jobs get longer to end by themselves, was built,
//! measured and taken out: where placement keeps to the ranks, it saved no move.
//!
//! A wave has no durable state of its own. Each host's record in the shared state names the last
//! wave that maintained it, and from that a new leader rebuilds what is due.
//!
//! ```
//! use egretpin::core::fleet::wave::{Rank, Wave};
//!
//! let mut wave = Wave::new(7, std::time::Duration::ZERO);
//! for (rack, host) in [("r0", "h0"), ("r1", "h1"), ("r2", "h2")] {
//!     wave.add(&rack.into(), host.into());
//! }
//! assert_eq!(wave.candidates(2).count(), 2);
//! wave.open(&"r0".into());
//! wave.finish(&"h0".into());
//! assert_eq!(wave.rank(&"r0".into(), &"h0".into()), Rank::DONE);
//! // The last in the order is the better place for a job than the next in the order.
//! assert!(wave.rank(&"r2".into(), &"h2".into()) < wave.rank(&"r1".into(), &"h1".into()));
//! ```

use std::collections::{BTreeMap, BTreeSet};

use crate::core::types::{HostId, Map, Now, RackId, ServiceId, WaveId};

/// How soon a host's turn for maintenance comes; placement prefers the lowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(pub u32);

/// A wave over one pool.
#[derive(Clone, Debug)]
pub struct Wave {
    id: WaveId,
    started: Now,
    due: BTreeSet<HostId>,
    missing: BTreeSet<HostId>,
    pending: BTreeMap<u32, RackId>,
    places: Map<RackId, u32>,
    /// The place behind the last of the order.
    next: u32,
    open: BTreeSet<RackId>,
    overdue: bool,
    paused: bool,
    blocked: Option<(RackId, ServiceId)>,
}

impl Rank {
    /// Maintained in this wave, or in no wave.
    pub const DONE: Self = Self(0);
    /// Its turn has come.
    pub const NEXT: Self = Self(u32::MAX);
}

impl Wave {
    /// A wave in which nothing is due yet.
    pub fn new(id: WaveId, started: Now) -> Self {
        Self {
            id,
            started,
            due: BTreeSet::new(),
            missing: BTreeSet::new(),
            pending: BTreeMap::new(),
            places: Map::default(),
            next: 0,
            open: BTreeSet::new(),
            overdue: false,
            paused: false,
            blocked: None,
        }
    }

    /// Its id.
    pub fn id(&self) -> WaveId {
        self.id
    }

    /// When it began.
    pub fn started(&self) -> Now {
        self.started
    }

    /// Makes a host due. Its rack goes to the end of the order unless it has a place.
    pub fn add(&mut self, rack: &RackId, host: HostId) {
        self.due.insert(host);
        self.queue(rack);
    }

    /// Puts a rack that is neither pending nor open at the end of the order.
    pub fn queue(&mut self, rack: &RackId) {
        if self.places.contains_key(rack) || self.open.contains(rack) {
            return;
        }
        self.pending.insert(self.next, rack.clone());
        self.places.insert(rack.clone(), self.next);
        self.next += 1;
    }

    /// Whether a host is still due.
    pub fn is_due(&self, host: &HostId) -> bool {
        self.due.contains(host)
    }

    /// Hosts still due.
    pub fn remaining(&self) -> usize {
        self.due.len()
    }

    /// A host is maintained, or no longer of this pool.
    pub fn finish(&mut self, host: &HostId) {
        self.due.remove(host);
        self.missing.remove(host);
    }

    /// A due host is late or lost; the wave no longer waits for it.
    pub fn miss(&mut self, host: &HostId) {
        if self.due.contains(host) {
            self.missing.insert(host.clone());
        }
    }

    /// A missing host is back.
    pub fn found(&mut self, host: &HostId) {
        self.missing.remove(host);
    }

    /// Whether the wave has stopped waiting for the host.
    pub fn is_missing(&self, host: &HostId) -> bool {
        self.missing.contains(host)
    }

    /// Hosts that the wave has stopped waiting for.
    pub fn missing(&self) -> &BTreeSet<HostId> {
        &self.missing
    }

    /// Whether nothing is left to do or wait for.
    pub fn is_over(&self) -> bool {
        self.open.is_empty() && self.due.len() == self.missing.len()
    }

    /// Racks being maintained.
    pub fn open_racks(&self) -> &BTreeSet<RackId> {
        &self.open
    }

    /// The racks to choose from: the first `window` of the order.
    pub fn candidates(&self, window: usize) -> impl Iterator<Item = &RackId> {
        self.pending.values().take(window)
    }

    /// How many turns of one rack each stand before this rack; `None` if it isn't waiting.
    pub fn turns(&self, rack: &RackId) -> Option<u32> {
        let place = *self.places.get(rack)?;
        let first = *self.pending.keys().next()?;
        Some(place - first)
    }

    /// A rack's turn has come.
    pub fn open(&mut self, rack: &RackId) {
        self.unqueue(rack);
        self.open.insert(rack.clone());
        self.blocked = None;
    }

    /// Nothing is left to do in an open rack.
    pub fn close(&mut self, rack: &RackId) {
        self.open.remove(rack);
    }

    /// Forgets a rack that has nothing due.
    pub fn drop_rack(&mut self, rack: &RackId) {
        self.unqueue(rack);
    }

    /// How soon the turn of a host in `rack` comes.
    pub fn rank(&self, rack: &RackId, host: &HostId) -> Rank {
        if !self.due.contains(host) {
            return Rank::DONE;
        }
        match self.places.get(rack) {
            Some(place) => Rank(self.next - place),
            None => Rank::NEXT,
        }
    }

    /// An operator pauses the wave, or lifts the pause.
    pub fn pause(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Whether an operator has paused it.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Notes that the wave runs over its period; answers whether that is news.
    pub fn overrun(&mut self) -> bool {
        !std::mem::replace(&mut self.overdue, true)
    }

    /// Notes what blocks the next rack; answers whether that is news.
    pub fn block(&mut self, rack: &RackId, service: &ServiceId) -> bool {
        let now = Some((rack.clone(), service.clone()));
        let news = self.blocked != now;
        self.blocked = now;
        news
    }

    fn unqueue(&mut self, rack: &RackId) {
        if let Some(place) = self.places.remove(rack) {
            self.pending.remove(&place);
        }
    }
}
