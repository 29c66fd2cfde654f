//! The connections to each minion, within the limit that it announced.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    sync::{Notify, futures::OwnedNotified},
    time::Instant,
};

use super::connection::Connection;
use crate::core::types::Map;

/// All connections that are open or being opened, by address.
#[derive(Debug, Default)]
pub(super) struct Pool {
    lanes: Mutex<Map<SocketAddr, Lane>>,
}

/// The connections to one address.
#[derive(Debug, Default)]
struct Lane {
    /// Places taken, the idle connections' included.
    open: usize,
    idle: Vec<Idle>,
    /// Wakes one who waits for a place.
    freed: Arc<Notify>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// The right to one open connection to an address, given back when dropped.
#[derive(Debug)]
pub(super) struct Place {
    pool: Arc<Pool>,
    address: SocketAddr,
}

/// A place, with the kept connection that holds it if there was one.
#[derive(Debug)]
pub(super) struct Checkout {
    pub(super) place: Place,
    pub(super) kept: Option<Connection>,
}

impl Pool {
    /// Takes a kept connection, or a place for a new one; waits while all are in use.
    pub(super) async fn checkout(
        self: &Arc<Self>,
        address: SocketAddr,
        limit: usize,
        idle: Duration,
    ) -> Checkout {
        loop {
            let freed = match self.try_checkout(address, limit, idle) {
                Ok(checkout) => return checkout,
                Err(freed) => freed,
            };
            freed.await;
        }
    }

    fn try_checkout(
        self: &Arc<Self>,
        address: SocketAddr,
        limit: usize,
        idle: Duration,
    ) -> Result<Checkout, OwnedNotified> {
        let mut lanes = self.lock();
        let lane = lanes.entry(address).or_default();
        lane.expire(idle);
        let kept = lane.idle.pop().map(|i| i.connection);
        if kept.is_none() {
            if lane.open >= limit.max(1) {
                return Err(lane.freed.clone().notified_owned());
            }
            lane.open += 1;
        }
        let place = Place {
            pool: self.clone(),
            address,
        };
        Ok(Checkout { place, kept })
    }

    /// Closes what has been idle for too long, and forgets addresses without connections.
    pub(super) fn sweep(&self, idle: Duration) {
        let mut lanes = self.lock();
        lanes.retain(|_, lane| {
            lane.expire(idle);
            lane.open > 0
        });
    }

    /// How many connections are open or being opened to an address.
    pub(super) fn open(&self, address: SocketAddr) -> usize {
        self.lock().get(&address).map_or(0, |l| l.open)
    }

    /// Each change under the lock is whole by itself.
    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, Lane>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lane {
    /// Closes idle connections that were kept for too long or that the minion closed.
    fn expire(&mut self, idle: Duration) {
        let before = self.idle.len();
        self.idle
            .retain(|i| i.since.elapsed() < idle && !i.connection.is_closed());
        let gone = before - self.idle.len();
        self.open -= gone;
        for _ in 0..gone {
            self.freed.notify_one();
        }
    }
}

impl Place {
    /// Keeps the connection, and the place with it, for the next request.
    pub(super) fn keep(self, connection: Connection) {
        let mut lanes = self.pool.lock();
        if let Some(lane) = lanes.get_mut(&self.address) {
            // The place now belongs to the idle connection: taken once more here, it is given
            // back once when `self` is dropped below.
            lane.open += 1;
            lane.idle.push(Idle {
                connection,
                since: Instant::now(),
            });
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut lanes = self.pool.lock();
        if let Some(lane) = lanes.get_mut(&self.address) {
            lane.open -= 1;
            lane.freed.notify_one();
        }
    }
}
