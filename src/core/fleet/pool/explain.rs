//! Why a host isn't draining or returning, and until when.

use std::time::Duration;

use crate::core::{
    fleet::budget::{Blocked, Cause, Condition, Stop},
    types::{HostId, Now, PoolId, WaveId},
};

use super::{Engine, Phase, Work, registry::Host};

/// What a host is waiting for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The host.
    pub host: HostId,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// Its phase.
    pub phase: Phase,
    /// What it waits for.
    pub reason: Reason,
    /// When that is expected to end, if anything is known of it.
    pub expect: Option<Now>,
}

/// What a host is waiting for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Nothing: it serves, and nobody wants it out.
    Serves,
    /// Its turn in a wave.
    Turn {
        /// The wave.
        wave: WaveId,
        /// Racks before its own.
        racks: u32,
    },
    /// Its wave is paused until lost hosts have soaked.
    Paused {
        /// The wave.
        wave: WaveId,
        /// The lost hosts.
        losses: Vec<HostId>,
    },
    /// An operator to lift the pause of its wave.
    Held {
        /// The wave.
        wave: WaveId,
    },
    /// The preset in force maintains nothing.
    NoPace {
        /// The wave.
        wave: WaveId,
    },
    /// Its admission, which is tried with the next event of its pool.
    Admission,
    /// A budget.
    Budget(Blocked),
    /// Its requests to finish and its jobs to end or be displaced.
    Work {
        /// What it runs.
        work: Work,
        /// It is over its limit.
        late: bool,
    },
    /// An operator to take it back into service.
    Operator,
    /// Its return from a reboot.
    Reboot {
        /// It is over its limit; it goes on holding its budget.
        late: bool,
    },
    /// The end of its soak.
    Soak,
    /// Its return from a loss.
    Loss {
        /// It is over its limit; waves no longer wait for it.
        late: bool,
    },
}

impl Engine {
    /// Says what a host is waiting for; `None` if it isn't known.
    pub fn explain(&self, now: Now, id: &HostId) -> Option<Explanation> {
        let host = self.hosts.get(id)?;
        let (reason, expect) = match host.phase {
            Phase::InService | Phase::Cordoned => self.explain_serving(now, id, host),
            Phase::Draining => {
                let (work, late) = (host.work, host.late);
                (Reason::Work { work, late }, host.limit)
            }
            Phase::Drained => (Reason::Operator, None),
            Phase::Down => (Reason::Reboot { late: host.late }, host.limit),
            Phase::Soaking => (Reason::Soak, self.soak_end(id)),
            Phase::Lost => (Reason::Loss { late: host.late }, None),
        };
        Some(Explanation {
            host: id.clone(),
            pool: host.pool.clone(),
            phase: host.phase,
            reason,
            expect,
        })
    }

    fn explain_serving(&self, now: Now, id: &HostId, host: &Host) -> (Reason, Option<Now>) {
        if host.wants.is_asked() {
            let stop = Stop::new(host.cause()).host(id.clone());
            return match self.budgets.check(now, &stop) {
                Err(blocked) => {
                    let expect = blocked.expect;
                    (Reason::Budget(blocked), expect)
                }
                Ok(_) => (Reason::Admission, Some(now)),
            };
        }
        let pool = &self.pools[&host.pool];
        let Some(wave) = pool.wave.as_ref().filter(|wave| wave.is_due(id)) else {
            return (Reason::Serves, None);
        };
        let wave_id = wave.id();
        if wave.is_paused() {
            return (Reason::Held { wave: wave_id }, None);
        }
        if self.pace.racks == 0 {
            return (Reason::NoPace { wave: wave_id }, None);
        }
        if !pool.losses.is_empty() {
            let losses: Vec<_> = pool.losses.iter().cloned().collect();
            let expect = losses.iter().map(|host| self.soak_end(host)).max();
            let wave = wave_id;
            return (Reason::Paused { wave, losses }, expect.flatten());
        }
        let stop = Stop::new(Cause::Wave(wave_id)).host(id.clone());
        let racks = wave.turns(&host.rack).unwrap_or(0);
        if racks == 0
            && let Err(blocked) = self.budgets.check(now, &stop)
        {
            let expect = blocked.expect;
            return (Reason::Budget(blocked), expect);
        }
        let turns = racks.div_ceil(self.pace.racks);
        let expect = now + self.turn(&host.pool) * turns;
        let wave = wave_id;
        (Reason::Turn { wave, racks }, Some(expect))
    }

    fn soak_end(&self, id: &HostId) -> Option<Now> {
        match self.budgets.condition(id) {
            Some(Condition::Soaking { until }) => Some(until),
            _ => None,
        }
    }

    /// The longest that one turn of a rack should take.
    fn turn(&self, pool: &PoolId) -> Duration {
        self.pace.drain + self.pace.reboot + self.pools[pool].spec.soak
    }
}
