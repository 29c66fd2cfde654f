//! The jobs that were refused and may return, and the reservations that some of them hold.
//!
//! A refused job is remembered by its number from its first submission on, so that its time is counted from
//! then and its work counts as demand once. A job with a *reservation* counts as if it were accepted until it
//! returns or its reservation expires. All of this is bounded in number and lost with the leader.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::outstanding::Total;
use crate::core::types::{JobId, Now, PoolId};

/// The most refused jobs that are remembered: callers of ten seconds at a thousand jobs per second.
pub const MAX_REFUSED: usize = 10_000;
/// The most reservations: a tenth of these.
pub const MAX_RESERVED: usize = 1000;
/// How long after its time a caller may return: `Retry-After` goes out in whole seconds, rounded up, and the
/// request takes a part of a second to arrive.
pub const RETURN_WINDOW: Duration = Duration::from_millis(1500);

/// A place that is kept for a refused job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The pool that is to run the job.
    pub pool: PoolId,
    /// The job's work.
    pub load: Total,
    /// When the job is accepted if it returns.
    pub turn: Now,
}

/// What is known of a refused job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// When it was first submitted to this leader.
    pub first: Now,
    /// Until when it is remembered.
    pub expires: Now,
    /// Its reservation, if it holds one.
    pub reservation: Option<Reservation>,
}

/// The refused jobs.
#[derive(Clone, Debug, Default)]
pub struct Refused {
    jobs: BTreeMap<JobId, Record>,
    expiries: BTreeSet<(Now, JobId)>,
    reserved: BTreeMap<PoolId, Total>,
    reservations: usize,
}

impl Refused {
    /// What is known of a job, if it was refused.
    pub fn get(&self, job: JobId) -> Option<&Record> {
        self.jobs.get(&job)
    }

    /// Remembers a refused job, replacing what was known of it. The job that would be forgotten first makes
    /// room for it.
    pub fn insert(&mut self, job: JobId, record: Record) {
        self.remove(job);
        if self.jobs.len() >= MAX_REFUSED
            && let Some((_, first)) = self.expiries.first().copied()
        {
            self.remove(first);
        }
        if let Some(held) = &record.reservation {
            let total = self.reserved.entry(held.pool.clone()).or_default();
            *total = *total + held.load;
            self.reservations += 1;
        }
        self.expiries.insert((record.expires, job));
        self.jobs.insert(job, record);
    }

    /// Forgets a job. Its reservation ends.
    pub fn remove(&mut self, job: JobId) -> Option<Record> {
        let record = self.jobs.remove(&job)?;
        self.expiries.remove(&(record.expires, job));
        if let Some(held) = &record.reservation {
            if let Some(total) = self.reserved.get_mut(&held.pool) {
                *total = *total - held.load;
            }
            self.reservations -= 1;
        }
        Some(record)
    }

    /// Forgets the jobs whose time has passed.
    pub fn expire(&mut self, now: Now) {
        while let Some((expires, job)) = self.expiries.first().copied() {
            if now <= expires {
                return;
            }
            self.remove(job);
        }
    }

    /// The work in a pool for which places are reserved.
    pub fn reserved(&self, pool: &PoolId) -> Total {
        self.reserved.get(pool).copied().unwrap_or_default()
    }

    /// The number of reservations.
    pub fn reservations(&self) -> usize {
        self.reservations
    }
}
