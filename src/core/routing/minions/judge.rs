//! What is learnt from how uses end, and which minions rest for it.

use std::time::Duration;

use super::{
    MinionIx, Minions,
    minion::{ASIDE_FIRST, PAUSE, Rest},
};
use crate::core::{
    routing::health::{Class, Verdict},
    types::Now,
};

/// The longest time that a minion is set aside for.
const ASIDE_LONGEST: Duration = Duration::from_secs(10);
/// The longest pause that a minion can ask for.
const PAUSE_LONGEST: Duration = Duration::from_secs(1);
/// How far one sample moves the running median, as a factor.
const MEDIAN_STEP: f64 = 1.02;

/// How a use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// With an outcome that speaks of the minion.
    Tried(Verdict),
    /// The minion refused for now.
    Refused(Option<Duration>),
    /// With nothing that speaks of the minion.
    Silent,
}

impl Minions {
    /// Learns from how a use ended; before the slot is given back.
    pub fn learn(&mut self, now: Now, ix: MinionIx, end: Use) {
        // A closed minion is never chosen again, and one that rested would be waited for.
        let open = self.get(ix).is_some_and(|m| m.open);
        if !self.protections.health || !open {
            return;
        }
        match end {
            Use::Tried(verdict) => self.judge(now, ix, verdict),
            Use::Refused(after) => self.pause(now, ix, after),
            Use::Silent => {}
        }
        self.place(now, ix);
    }

    /// Ends the rests that are over; whether there were any.
    pub fn wake(&mut self, now: Now) -> bool {
        let mut any = false;
        while let Some(&(until, ix)) = self.rests.first() {
            if until > now {
                break;
            }
            any = true;
            let next = match self.get(ix).map(|m| m.rest) {
                Some(Rest::Aside(_)) => Rest::Probation,
                _ => Rest::None,
            };
            self.rest(ix, next);
            self.place(now, ix);
        }
        any
    }

    fn judge(&mut self, now: Now, ix: MinionIx, verdict: Verdict) {
        if let Verdict::Sound(time) = verdict {
            self.learn_median(time);
        }
        let median = self.median;
        let Some(minion) = self.get_mut(ix) else {
            return;
        };
        minion.health.record(now, verdict);
        match (minion.rest, verdict) {
            (Rest::Probation, Verdict::Sound(_)) => {
                minion.health.pardon();
                minion.span = ASIDE_FIRST;
                self.rest(ix, Rest::None);
            }
            (Rest::Paused(_), Verdict::Sound(_)) => {
                // It refused because it was full, and has a free slot from now on.
                minion.pause = PAUSE;
                self.rest(ix, Rest::None);
            }
            (_, Verdict::Sound(_)) => minion.pause = PAUSE,
            (Rest::Probation, _) => self.set_aside(now, ix),
            (Rest::None | Rest::Paused(_), Verdict::Failed | Verdict::Unreachable)
                if minion.health.class(now, median) == Class::Failing =>
            {
                self.set_aside(now, ix);
                self.judge_rack(now, ix);
            }
            _ => {}
        }
    }

    fn set_aside(&mut self, now: Now, ix: MinionIx) {
        if !self.may_set_aside(ix) {
            return;
        }
        let Some(minion) = self.get_mut(ix) else {
            return;
        };
        let until = now + minion.span;
        minion.span = (minion.span * 2).min(ASIDE_LONGEST);
        self.rest(ix, Rest::Aside(until));
    }

    /// Half of the minions that take work stay in use whatever they do: if all fail alike, the
    /// cause lies elsewhere and keeping away from them helps nobody.
    fn may_set_aside(&self, ix: MinionIx) -> bool {
        let Some(minion) = self.get(ix) else {
            return false;
        };
        let others = self.aside - u32::from(minion.rest.is_aside());
        minion.open && (!self.protections.bound || (others + 1) * 2 <= self.open)
    }

    /// Sets the rest of a rack aside when at least two of its minions, and half of them, are.
    fn judge_rack(&mut self, now: Now, ix: MinionIx) {
        let Some(rack) = self.get(ix).map(|m| m.rack.clone()) else {
            return;
        };
        if !self.protections.racks {
            return;
        }
        let members = self.racks.get(&rack).cloned().unwrap_or_default();
        let failed = |ix: &MinionIx| self.get(*ix).is_some_and(|m| m.rest.is_aside());
        let count = members.iter().filter(|ix| failed(ix)).count();
        if count < 2 || count * 2 < members.len() {
            return;
        }
        for other in members {
            if self.get(other).is_some_and(|m| !m.rest.is_aside()) {
                self.set_aside(now, other);
                self.place(now, other);
            }
        }
    }

    /// Gives a minion that refused nothing for a while. One that refuses a probe has failed it.
    fn pause(&mut self, now: Now, ix: MinionIx, after: Option<Duration>) {
        let Some(minion) = self.get_mut(ix) else {
            return;
        };
        match minion.rest {
            Rest::Probation => self.set_aside(now, ix),
            Rest::Aside(_) => {}
            Rest::None | Rest::Paused(_) => {
                let span = after.map_or(minion.pause, |a| a.clamp(PAUSE, PAUSE_LONGEST));
                minion.pause = (minion.pause * 2).min(PAUSE_LONGEST);
                self.rest(ix, Rest::Paused(now + span));
            }
        }
    }

    pub(super) fn rest(&mut self, ix: MinionIx, next: Rest) {
        let Some(minion) = self.slab[ix as usize].as_mut() else {
            return;
        };
        if let Rest::Paused(until) | Rest::Aside(until) = minion.rest {
            self.rests.remove(&(until, ix));
        }
        self.aside += u32::from(next.is_aside());
        self.aside -= u32::from(minion.rest.is_aside());
        minion.rest = next;
        if let Rest::Paused(until) | Rest::Aside(until) = next {
            self.rests.insert((until, ix));
        }
    }

    fn learn_median(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if self.median == 0.0 {
            self.median = time;
        } else if time > self.median {
            self.median *= MEDIAN_STEP;
        } else {
            self.median /= MEDIAN_STEP;
        }
    }
}
