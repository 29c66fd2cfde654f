//! The host for a job: spread over data centres and racks, then the tightest.

use super::{HostNo, Placer, job::Job, pool::Shelf, seam::Due};
use crate::core::types::{Resources, Urgency};

/// Hosts that are due last first.
const LAST: [Due; 4] = Due::ALL;
/// Hosts that are due next first.
const NEXT: [Due; 4] = [Due::Next, Due::Soon, Due::Late, Due::Done];

/// The best host found, and one that is to be avoided unless it is the only one.
#[derive(Default)]
struct Search {
    best: Option<HostNo>,
    avoided: Option<HostNo>,
    found: Vec<HostNo>,
}

impl Placer {
    /// An open host with room for the job.
    pub(super) fn choose(&self, job: &Job, need: &Resources) -> Option<HostNo> {
        let mut search = Search::default();
        let centres = self.centres_for(job);
        if self.may_try(job) {
            self.search_trial(job, need, &centres, &mut search);
        }
        if job.moved {
            self.search_due_first(job, need, &centres, &mut search);
        } else {
            self.search_spread_first(job, need, &centres, &mut search);
        }
        search.best.or(search.avoided)
    }

    /// The pool's data centres, the one with the fewest jobs of the service first.
    pub(super) fn centres_for<'a>(&'a self, job: &Job) -> Vec<&'a Shelf> {
        let pool = &self.pools[job.pool as usize];
        let mut centres: Vec<(u32, u32, &Shelf)> = pool
            .shelves
            .iter()
            .map(|(&centre, shelf)| (self.spread.in_centre(job.service, centre), centre, shelf))
            .collect();
        centres.sort_unstable_by_key(|&(count, centre, _)| (count, centre));
        centres.into_iter().map(|(.., shelf)| shelf).collect()
    }

    /// Hosts on trial get ordinary jobs that may run twice. They get them first, so that a
    /// repaired host is soon proved; one at a time bounds the harm.
    fn may_try(&self, job: &Job) -> bool {
        job.idempotent && job.urgency == Urgency::Ordinary
    }

    fn search_trial(&self, job: &Job, need: &Resources, centres: &[&Shelf], search: &mut Search) {
        for shelf in centres {
            if search.best.is_none() && !shelf.trial.is_empty() {
                shelf
                    .trial
                    .fitting(Due::Done, need, self.rules.candidates, &mut search.found);
                self.compare(job, search);
            }
        }
    }

    /// A moved job that is moved again costs another move, so due counts before spread.
    fn search_due_first(
        &self,
        job: &Job,
        need: &Resources,
        centres: &[&Shelf],
        search: &mut Search,
    ) {
        for due in LAST {
            for shelf in centres {
                self.search(shelf, due, job, need, search);
            }
        }
    }

    fn search_spread_first(
        &self,
        job: &Job,
        need: &Resources,
        centres: &[&Shelf],
        search: &mut Search,
    ) {
        let run_time = self
            .learner
            .estimate(job.kind, &job.declared, job.run_time)
            .run_time;
        let dues = if run_time <= self.rules.short {
            NEXT
        } else {
            LAST
        };
        for shelf in centres {
            for due in dues {
                self.search(shelf, due, job, need, search);
            }
        }
    }

    fn search(&self, shelf: &Shelf, due: Due, job: &Job, need: &Resources, search: &mut Search) {
        if search.best.is_none() {
            shelf
                .open
                .fitting(due, need, self.rules.candidates, &mut search.found);
            self.compare(job, search);
        }
    }

    /// Takes the candidate in the rack with the fewest jobs of the service; the first, which is
    /// the tightest, among equals.
    fn compare(&self, job: &Job, search: &mut Search) {
        for &no in &search.found {
            if job.avoids(no) {
                search.avoided.get_or_insert(no);
            }
        }
        let sound = search.found.iter().filter(|&&no| !job.avoids(no));
        search.best = sound
            .copied()
            .min_by_key(|&no| self.in_rack(job.service, no));
        search.found.clear();
    }

    fn in_rack(&self, service: u32, no: HostNo) -> u32 {
        self.host(no)
            .map_or(u32::MAX, |host| self.spread.in_rack(service, host.rack))
    }
}
