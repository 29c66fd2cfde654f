//! One bound on all that a process holds for its clients, on all its listeners.
//!
//! Each connection has an [`Account`]. What it makes the process hold (a long head, a body, an answer that
//! isn't read) is reserved as it is allocated, and is given back when the [`Share`] for it is dropped.
//! What every connection takes, however little it sends, is [`CONNECTION_BYTES`]; that part is bounded by
//! the number of connections.
//!
//! Where there is no room, those make room that hold most for longest, by bytes times age: they are told
//! to close ([`Account::closing`]), and who needs the room waits until they have. So a crowd that keeps
//! back the end of its requests can't shut the door. A request that is whole and being served is never
//! closed. Whoever would hold most itself is refused at once. Part of the bytes is kept for small requests.
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
//! use egretpin::adapters::budget::Budget;
//!
//! let budget = Budget::new(4096, 8);
//! let (first, second) = (budget.open().await, budget.open().await);
//! let share = first.reserve(3000).await.expect("there is room");
//! assert!(second.reserve(3000).await.is_err(), "the first one is as young");
//! drop(share);
//! assert!(second.reserve(3000).await.is_ok());
//! # });
//! ```

use std::{
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::{Notify, watch},
    time::{Instant, timeout},
};

use crate::core::types::Map;

/// What an idle connection takes at most, in bytes: its task, its buffers, a short head, and as much again
/// that has arrived and isn't read.
pub const CONNECTION_BYTES: usize = 32 << 10;
/// The part of the bytes that only small requests may take.
const SMALL_PART: usize = 8;
/// What a small request holds at most, in bytes.
const SMALL_BYTES: usize = 16 << 10;
/// A request that is younger makes room only for one that takes far less.
const GRACE: Duration = Duration::from_millis(500);
/// An idle connection that is younger makes no place for another one: its request may be on the way.
const IDLE_GRACE: Duration = Duration::from_millis(50);
/// How many times as much as another one a request takes that makes room for it though it is young.
const FAR_MORE: usize = 2;
/// How long to wait for connections that were told to close before looking again. They take a tenth of a
/// second at most, and as a rule one turn of the runtime.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);
/// The least time between two lines in the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// There is no room: whoever asks holds most itself, or all else is being served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// What a process may hold for its clients. A clone speaks of the same.
#[derive(Clone, Debug)]
pub struct Budget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Told whenever room has become free.
    freed: Notify,
    /// Held by the listener whose connection gets the next place. Listeners take turns, so that a crowd at
    /// one of them doesn't shut another.
    turn: tokio::sync::Mutex<()>,
}

#[derive(Debug)]
struct State {
    /// The bytes that may be held, besides what each connection takes.
    bytes: usize,
    /// The connections that may be open.
    connections: usize,
    used: usize,
    last: u64,
    entries: Map<u64, Entry>,
    counts: Counts,
    logged: Option<(Instant, Counts)>,
}

/// What was closed or refused for want of room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections that were closed to make room.
    pub closed: u64,
    /// Requests that were refused.
    pub refused: u64,
}

/// What is known of a connection.
#[derive(Debug)]
struct Entry {
    held: usize,
    /// Whether nothing of its next request has come.
    idle: bool,
    /// Since when its request is under way, or it is idle.
    since: Instant,
    /// Whether a whole request of it is being served.
    served: bool,
    /// Tells it whether to close.
    closing: watch::Sender<bool>,
}

impl Entry {
    fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    fn may_close(&self) -> bool {
        !self.served && !self.is_closing()
    }

    /// How long it has yet to be spared.
    fn spared(&self) -> Duration {
        let grace = if self.idle { IDLE_GRACE } else { GRACE };
        grace.saturating_sub(self.since.elapsed())
    }

    /// What it holds, for how long: those with most make room first.
    fn weight(&self, extra: usize) -> u128 {
        let bytes = CONNECTION_BYTES + self.held + extra;
        bytes as u128 * (self.since.elapsed().as_millis() + 1)
    }
}

/// What comes of a try to reserve.
enum Reserved {
    Done,
    /// Others were told to close.
    Wait,
    Refused,
}

impl Budget {
    /// So many bytes, besides [`CONNECTION_BYTES`] for each of so many connections.
    pub fn new(bytes: usize, connections: usize) -> Self {
        let state = State {
            bytes,
            connections: connections.max(1),
            used: 0,
            last: 0,
            entries: Map::default(),
            counts: Counts::default(),
            logged: None,
        };
        let shared = Shared {
            state: Mutex::new(state),
            freed: Notify::new(),
            turn: tokio::sync::Mutex::new(()),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// So many bytes in all, of which connections take half at most, and not more than so many of them.
    pub fn of_total(total: usize, connections: Option<usize>) -> Self {
        let fitting = total / 2 / CONNECTION_BYTES;
        let connections = connections.map_or(fitting, |most| most.min(fitting));
        Self::new(total - connections * CONNECTION_BYTES, connections)
    }

    /// Makes sure that a request that takes so many bytes fits while nothing else is held.
    pub fn fit(&self, request: usize) {
        let mut state = self.lock();
        let needed = request.saturating_add(request / (SMALL_PART - 1) + SMALL_PART);
        state.bytes = state.bytes.max(needed);
    }

    /// What was closed or refused so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// The bytes that are held and the connections that are open.
    pub fn used(&self) -> (usize, usize) {
        let state = self.lock();
        (state.used, state.entries.len())
    }

    /// Has the connection closed that has held most for longest, for one that couldn't be accepted.
    pub fn make_place(&self) {
        self.lock().close_one();
    }

    /// Opens an account for a connection. Waits for room if all the others are young or being served.
    pub async fn open(&self) -> Account {
        let _turn = self.shared.turn.lock().await;
        loop {
            let mut freed = pin!(self.shared.freed.notified());
            freed.as_mut().enable();
            let wait = match self.lock().open() {
                Ok(opened) => return self.account(opened),
                Err(wait) => wait,
            };
            // Looked at again in any case, as another one may have grown old enough.
            let _ = timeout(wait, freed).await;
        }
    }

    fn account(&self, (id, closing): (u64, watch::Receiver<bool>)) -> Account {
        Account {
            budget: self.clone(),
            id,
            closing,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change under the lock is complete in itself, so a poisoned lock is safe to use.
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Budget {
    /// For peers that are ours or stand in for somebody: 256 MiB, and as many connections as descriptors
    /// allow as a rule.
    fn default() -> Self {
        Self::new(256 << 20, 1 << 16)
    }
}

impl State {
    /// Opens an account, or says when to try again.
    fn open(&mut self) -> Result<(u64, watch::Receiver<bool>), Duration> {
        if self.entries.len() >= self.connections {
            let closing = self.entries.values().any(Entry::is_closing);
            return Err(if closing {
                CLOSE_LIMIT
            } else {
                self.close_one()
            });
        }
        self.last += 1;
        let (closing, told) = watch::channel(false);
        let entry = Entry {
            held: 0,
            idle: true,
            since: Instant::now(),
            served: false,
            closing,
        };
        self.entries.insert(self.last, entry);
        Ok((self.last, told))
    }

    /// Tells the one that has held most for longest to close, if it isn't young. Returns how long to wait.
    fn close_one(&mut self) -> Duration {
        let candidates = self.entries.iter().filter(|(_, entry)| entry.may_close());
        let (mut heaviest, mut soonest) = (None, GRACE);
        for (id, entry) in candidates {
            let spared = entry.spared();
            if spared.is_zero() {
                heaviest = heaviest.max(Some((entry.weight(0), *id)));
            } else {
                soonest = soonest.min(spared);
            }
        }
        let Some((_, id)) = heaviest else {
            return soonest;
        };
        self.close(id);
        CLOSE_LIMIT
    }

    fn close(&mut self, id: u64) {
        if let Some(entry) = self.entries.get(&id) {
            entry.closing.send_replace(true);
            self.counts.closed += 1;
            self.log();
        }
    }

    fn reserve(&mut self, id: u64, bytes: usize) -> Reserved {
        let Some(entry) = self.entries.get(&id).filter(|entry| !entry.is_closing()) else {
            return Reserved::Refused;
        };
        let after = entry.held + bytes;
        let most = if after <= SMALL_BYTES {
            self.bytes
        } else {
            self.bytes - self.bytes / SMALL_PART
        };
        if self.used + bytes <= most {
            self.used += bytes;
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.held = after;
            }
            return Reserved::Done;
        }
        let weight = entry.weight(bytes);
        if self.make_room(
            id,
            (after, weight),
            (self.used + bytes).saturating_sub(most),
        ) {
            return Reserved::Wait;
        }
        self.counts.refused += 1;
        self.log();
        Reserved::Refused
    }

    /// Tells others to close until so many bytes become free; closes nobody if that can't be.
    fn make_room(&mut self, id: u64, (after, weight): (usize, u128), lacking: usize) -> bool {
        let closing = self.entries.values().filter(|entry| entry.is_closing());
        let coming: usize = closing.map(|entry| entry.held).sum();
        let gives_way = |entry: &Entry| {
            let far_more = entry.held > after.saturating_mul(FAR_MORE);
            let heavier = entry.spared().is_zero() && entry.weight(0) > weight;
            entry.held > 0 && entry.may_close() && (far_more || heavier)
        };
        let others = self.entries.iter().filter(|(other, _)| **other != id);
        let others = others.filter(|(_, entry)| gives_way(entry));
        let mut others: Vec<_> = others
            .map(|(id, entry)| (entry.weight(0), *id, entry.held))
            .collect();
        let possible: usize = others.iter().map(|(_, _, held)| held).sum();
        if coming + possible < lacking {
            return false;
        }
        others.sort_unstable();
        let mut room = coming;
        while room < lacking {
            let Some((_, other, held)) = others.pop() else {
                break;
            };
            self.close(other);
            room += held;
        }
        true
    }

    /// Logs what was closed and refused, with a bound on the lines.
    fn log(&mut self) {
        if self
            .logged
            .is_some_and(|(at, _)| at.elapsed() < LOG_INTERVAL)
        {
            return;
        }
        let before = self.logged.map(|(_, counts)| counts).unwrap_or_default();
        let closed = self.counts.closed - before.closed;
        let refused = self.counts.refused - before.refused;
        let (bytes, connections) = (self.used, self.entries.len());
        log::warn!(closed, refused, bytes, connections; "no room for all that clients send");
        self.logged = Some((Instant::now(), self.counts));
    }
}

/// The account of a connection. Dropping it gives its place back.
#[derive(Debug)]
pub struct Account {
    budget: Budget,
    id: u64,
    closing: watch::Receiver<bool>,
}

impl Account {
    /// Reserves bytes, waiting for those that make room.
    ///
    /// # Errors
    ///
    /// Nobody makes room, or this connection was told to close itself.
    pub async fn reserve(&self, bytes: usize) -> Result<Share, NoRoom> {
        loop {
            let mut freed = pin!(self.budget.shared.freed.notified());
            freed.as_mut().enable();
            let reserved = self.budget.lock().reserve(self.id, bytes);
            match reserved {
                Reserved::Done => return Ok(self.share(bytes)),
                Reserved::Refused => return Err(NoRoom),
                // Looked at again in any case.
                Reserved::Wait => drop(timeout(CLOSE_LIMIT, freed).await),
            }
        }
    }

    /// A share of nothing, to which others can be added.
    pub fn share(&self, bytes: usize) -> Share {
        Share {
            budget: self.budget.clone(),
            id: self.id,
            bytes,
        }
    }

    /// A request has begun to come.
    pub fn begin(&self) {
        self.change(|entry| {
            if std::mem::take(&mut entry.idle) {
                entry.since = Instant::now();
            }
        });
    }

    /// A whole request is being served from now on, so the connection isn't told to close.
    ///
    /// # Errors
    ///
    /// It was told so already.
    pub fn serve(&self) -> Result<(), NoRoom> {
        let mut serves = Err(NoRoom);
        self.change(|entry| {
            entry.served = !entry.is_closing();
            serves = entry.served.then_some(()).ok_or(NoRoom);
        });
        serves
    }

    /// The request was served; its answer may still be written.
    pub fn served(&self) {
        self.change(|entry| {
            entry.served = false;
            entry.idle = true;
            entry.since = Instant::now();
        });
    }

    /// Returns once the connection is told to close. It stays so.
    pub async fn closing(&self) {
        // The sender lives as long as this does.
        let _ = self.closing.clone().wait_for(|closing| *closing).await;
    }

    fn change(&self, change: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.budget.lock().entries.get_mut(&self.id) {
            change(entry);
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.budget.lock().entries.remove(&self.id);
        self.budget.shared.freed.notify_waiters();
    }
}

/// Bytes that are reserved; given back when dropped, also after the connection has gone.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    id: u64,
    bytes: usize,
}

impl Share {
    /// Adds another share of the same connection to this one.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Binds the share to a body, for as long as a clone of it lives.
    pub fn hold(self, body: Bytes) -> Bytes {
        Bytes::from_owner(Held { body, _share: self })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let mut state = self.budget.lock();
        state.used = state.used.saturating_sub(self.bytes);
        if let Some(entry) = state.entries.get_mut(&self.id) {
            entry.held = entry.held.saturating_sub(self.bytes);
        }
        drop(state);
        self.budget.shared.freed.notify_waiters();
    }
}

/// A body with its share.
struct Held {
    body: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
