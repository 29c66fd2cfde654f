//! Workers that fail what they start are set aside, and tried again later.

use super::{Decision, HostNo, Placer, Timer, host::Trust};
use crate::core::{
    fleet::jobs::{AttemptEnd, Blame},
    types::{JobId, Now},
};

/// Doublings after which a probation grows no more.
const PROBATION_DOUBLINGS: u32 = 5;

impl Placer {
    /// Counts an attempt's end for or against its worker and kind.
    pub(super) fn lay_blame(&mut self, no: HostNo, id: JobId, end: AttemptEnd) {
        let kind = self.jobs[&id].kind;
        let blame = match end {
            AttemptEnd::Done => {
                self.proved_sound(no, kind);
                return;
            }
            AttemptEnd::Failed => {
                self.note_failure(no, id);
                self.health.failed(no, id, Some(kind))
            }
            AttemptEnd::Refused => {
                self.note_avoid(no, id);
                self.health.failed(no, id, None)
            }
            _ => return,
        };
        let on_trial = self.host(no).is_some_and(|host| host.trust == Trust::Trial);
        let kind_bad = end == AttemptEnd::Failed && self.health.blames_kind(kind);
        if blame == Blame::Worker || on_trial && !kind_bad {
            self.set_aside(no);
        }
    }

    pub(super) fn probation_ended(&mut self, no: HostNo, at: Now) {
        let Some(host) = self.host(no) else {
            return;
        };
        if host.trust != (Trust::Aside { until: at }) {
            return;
        }
        let id = host.id.clone();
        self.end_aside(no);
        self.change(no, |host| host.trust = Trust::Trial);
        self.out.push(Decision::Readmit { host: id });
    }

    /// A host that is set aside no longer counts against its pool's bound.
    pub(super) fn end_aside(&mut self, no: HostNo) {
        let Some(host) = self.host(no) else {
            return;
        };
        let pool = host.pool as usize;
        if matches!(host.trust, Trust::Aside { .. }) {
            self.pools[pool].aside -= 1;
            self.change(no, |host| host.trust = Trust::Trial);
        }
    }

    fn proved_sound(&mut self, no: HostNo, kind: u32) {
        self.health.succeeded(no, kind);
        let Some(host) = self.host(no) else {
            return;
        };
        if host.trust == Trust::Trial {
            self.change(no, |host| {
                host.trust = Trust::Sound;
                host.asides = 0;
            });
        }
    }

    /// Sets a host aside if its pool's bound allows it, and else leaves it on trial, where it
    /// can harm one idempotent job at a time.
    fn set_aside(&mut self, no: HostNo) {
        let guards = self.rules.guards;
        let Some(host) = self.host(no) else {
            return;
        };
        if !guards.aside || matches!(host.trust, Trust::Aside { .. }) {
            return;
        }
        let (id, pool) = (host.id.clone(), host.pool as usize);
        let doublings = host.asides.min(PROBATION_DOUBLINGS);
        let until = self.now + self.rules.probation * 2u32.pow(doublings);
        let known = &self.pools[pool];
        let bound = (known.members / self.rules.aside_part).max(1);
        let full = guards.bound && known.aside >= bound;
        self.health.forget(no);
        self.release_claims(no);
        if full {
            self.change(no, |host| host.trust = Trust::Trial);
            return;
        }
        self.pools[pool].aside += 1;
        self.timers.insert((until, Timer::Probation(no)));
        self.change(no, |host| {
            host.trust = Trust::Aside { until };
            host.asides += 1;
        });
        self.out.push(Decision::SetAside { host: id, until });
    }

    fn note_failure(&mut self, no: HostNo, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.failures += 1;
        if !job.failed.contains(&no) {
            job.failed.push(no);
        }
    }

    fn note_avoid(&mut self, no: HostNo, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.avoid = Some(no);
        }
    }
}
