//! An ordered index of hosts by what they have left.
//!
//! Cores are counted in steps and needs are rounded up to whole steps, so comparing steps is
//! exact: a bucket either fits or doesn't. Within a bucket hosts stand by free memory. A search
//! skips from bucket to bucket by range and ends at the first hosts that fit, tightest first, so
//! its cost grows with the log of the hosts and with the kinds of leftovers, which the sizes of
//! hosts bound, and not with the fleet.
//!
//! A tree with the largest leftover of each dimension was weighed. It can't order by tightness,
//! and where one host has the cores and its neighbour the memory it goes down in vain.

use std::collections::{BTreeMap, BTreeSet};

use super::{HostNo, seam::Due};
use crate::core::types::Resources;

/// Cores are counted in quarters.
const CORE_STEP: u64 = 250;
/// Memory is given out in steps of 256 MiB.
const MEMORY_STEP: u64 = 256 << 20;

/// Rounds a need up to whole steps, which is what is reserved for it.
pub(super) const fn rounded(need: &Resources) -> Resources {
    Resources {
        millicores: need.millicores.next_multiple_of(CORE_STEP),
        memory: need.memory.next_multiple_of(MEMORY_STEP),
        accelerators: need.accelerators,
    }
}

/// The largest amount in whole steps that isn't above this one.
pub(super) const fn floored(offer: &Resources) -> Resources {
    Resources {
        millicores: offer.millicores - offer.millicores % CORE_STEP,
        memory: offer.memory - offer.memory % MEMORY_STEP,
        accelerators: offer.accelerators,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Bucket {
    due: Due,
    accelerators: u32,
    cores: u64,
}

/// Hosts by due, free accelerators, free cores and free memory.
#[derive(Clone, Debug, Default)]
pub(super) struct FreeIndex {
    buckets: BTreeMap<Bucket, BTreeSet<(u64, HostNo)>>,
}

impl FreeIndex {
    pub(super) fn insert(&mut self, due: Due, free: &Resources, host: HostNo) {
        let hosts = self.buckets.entry(Bucket::of(due, free)).or_default();
        hosts.insert((free.memory, host));
    }

    pub(super) fn remove(&mut self, due: Due, free: &Resources, host: HostNo) {
        let bucket = Bucket::of(due, free);
        if let Some(hosts) = self.buckets.get_mut(&bucket) {
            hosts.remove(&(free.memory, host));
            if hosts.is_empty() {
                self.buckets.remove(&bucket);
            }
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Adds up to `limit` hosts of this due that fit the need, tightest first.
    pub(super) fn fitting(
        &self,
        due: Due,
        need: &Resources,
        limit: usize,
        found: &mut Vec<HostNo>,
    ) {
        let least = need.millicores / CORE_STEP;
        let mut from = Bucket::of(due, need);
        while let Some((bucket, hosts)) = self.buckets.range(from..).next() {
            if bucket.due != due || found.len() >= limit {
                return;
            }
            if bucket.cores < least {
                from = bucket.with_cores(least);
                continue;
            }
            let fits = hosts.range((need.memory, 0)..).map(|&(_, host)| host);
            found.extend(fits.take(limit - found.len()));
            from = bucket.with_cores(bucket.cores + 1);
        }
    }
}

impl Bucket {
    const fn of(due: Due, free: &Resources) -> Self {
        Self {
            due,
            accelerators: free.accelerators,
            cores: free.millicores / CORE_STEP,
        }
    }

    const fn with_cores(self, cores: u64) -> Self {
        Self { cores, ..self }
    }
}
