//! What jobs are seen to use, against what is reserved for them.

use super::{
    Decision, HostNo, Placer,
    free::rounded,
    job::{Job, Phase},
};
use crate::core::{
    fleet::jobs::{AttemptEnd, StopReason},
    types::{Attempt, JobId, Resources},
};

/// Reports that have to agree before a reservation is lowered; usage lags and starts low.
const LOWER_AFTER: u32 = 5;

impl Placer {
    /// Raises a reservation that is outgrown, and lowers one that is far too large.
    pub(super) fn usage_reported(&mut self, id: JobId, attempt: Attempt, used: &Resources) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Phase::Running(no) = job.phase else {
            return;
        };
        if job.attempt != attempt {
            return;
        }
        job.reports += 1;
        job.peak.millicores = job.peak.millicores.max(used.millicores);
        job.peak.memory = job.peak.memory.max(used.memory);
        let wanted = job.wanted();
        let free = self
            .host(no)
            .map(super::host::Host::free)
            .unwrap_or_default();
        let granted = granted(&self.jobs[&id].reserved, &wanted, &free);
        self.resize(id, no, &granted);
        if wanted.millicores > granted.millicores {
            self.throttle(id, no);
        }
        self.relieve(no, id);
    }

    /// Learns from an attempt that is over.
    pub(super) fn learn(&mut self, id: JobId, end: AttemptEnd) {
        let job = &self.jobs[&id];
        let full = end == AttemptEnd::Done;
        let outgrown = matches!(job.phase, Phase::Stopping(_, StopReason::Overuse));
        if job.reports > 0 && (full || outgrown) {
            self.learner
                .observe_size(job.kind, &job.declared, &job.peak);
        }
        if full && job.attempt == 1 {
            let took = self.now.saturating_sub(job.began);
            self.learner.observe_time(job.kind, job.run_time, took);
        }
    }

    fn resize(&mut self, id: JobId, no: HostNo, size: &Resources) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.reserved == *size {
            return;
        }
        let old = std::mem::replace(&mut job.reserved, *size);
        let lot = job.lot();
        self.change(no, |host| {
            host.take(lot, &old);
            host.add(lot, size);
        });
        self.serve_claims(no);
    }

    fn throttle(&mut self, id: JobId, no: HostNo) {
        let Some(host) = self.host(no).map(|host| host.id.clone()) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.throttled {
            return;
        }
        job.throttled = true;
        self.out.push(Decision::Throttle {
            job: id,
            attempt: job.attempt,
            host,
            millicores: job.reserved.millicores,
        });
    }

    /// Stops jobs until a host's memory suffices again: the one that grew, if that can be moved
    /// and isn't alone, and else those whose stop loses the least.
    fn relieve(&mut self, no: HostNo, grown: JobId) {
        let mut order = self.movable_on(no);
        if let Some(at) = order.iter().position(|&id| id == grown) {
            order.remove(at);
            order.insert(0, grown);
        }
        for id in order {
            if !self.is_overfull(no) {
                return;
            }
            self.stop(id, StopReason::Overuse);
        }
    }

    fn is_overfull(&self, no: HostNo) -> bool {
        self.host(no).is_some_and(|host| {
            let staying = host.reserved.minus(&host.leaving);
            staying.memory > host.total.memory && host.jobs.len() > 1
        })
    }

    fn movable_on(&self, no: HostNo) -> Vec<JobId> {
        if !self.is_overfull(no) {
            return Vec::new();
        }
        let mut movable: Vec<(u128, JobId)> = self
            .jobs_on(no)
            .filter(|id| self.jobs[id].movable())
            .map(|id| (self.jobs[&id].unsaved_work(self.now), id))
            .collect();
        movable.sort_unstable();
        movable.into_iter().map(|(_, id)| id).collect()
    }
}

impl Job {
    /// What should be reserved after the reports so far.
    fn wanted(&self) -> Resources {
        let peak = rounded(&Resources {
            millicores: self.peak.millicores,
            memory: self.peak.memory,
            accelerators: self.reserved.accelerators,
        });
        let ample = rounded(&Resources {
            millicores: self.peak.millicores / 4 * 5,
            memory: self.peak.memory / 4 * 5,
            accelerators: self.reserved.accelerators,
        });
        let settled = self.reports >= LOWER_AFTER;
        Resources {
            millicores: next_size(
                self.reserved.millicores,
                peak.millicores,
                ample.millicores,
                settled,
            ),
            memory: next_size(self.reserved.memory, peak.memory, ample.memory, settled),
            accelerators: self.reserved.accelerators,
        }
    }
}

/// At least the peak; lowered only if that gives back a quarter.
const fn next_size(reserved: u64, peak: u64, ample: u64, settled: bool) -> u64 {
    if peak > reserved {
        peak
    } else if settled && ample <= reserved / 4 * 3 {
        ample
    } else {
        reserved
    }
}

/// Memory that is used is used; cores are given only if they are free.
fn granted(reserved: &Resources, wanted: &Resources, free: &Resources) -> Resources {
    let limit = reserved.millicores.saturating_add(free.millicores);
    Resources {
        millicores: wanted.millicores.min(limit),
        ..*wanted
    }
}
