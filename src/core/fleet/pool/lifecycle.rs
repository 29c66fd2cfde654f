//! The road of one host: cordon, drain, maintenance, hand-over, soak.

use std::mem;

use crate::core::{
    fleet::{
        budget::{Cause, Condition, Seat},
        wave::Wave,
    },
    types::{Generation, HostId, Now, WaveId},
};

use super::{Action, Decision, Engine, Phase, Report, registry::Host};

impl Host {
    /// Whether a move asked by a preset can still be called off for nothing.
    pub(super) fn is_recallable(&self) -> bool {
        self.wants.preset && self.phase.is_serving()
    }

    /// Why it is to stop, the wave aside.
    pub(super) fn cause(&self) -> Cause {
        if self.wants.to.is_some() {
            Cause::Move
        } else {
            Cause::Drain
        }
    }
}

impl Engine {
    /// Decides what follows from a host's wants in the phase that it is in.
    pub(super) fn follow(&mut self, now: Now, id: &HostId) {
        let host = &self.hosts[id];
        let (phase, asked) = (host.phase, host.wants.is_asked());
        let wanted = host.wants.any();
        match phase {
            Phase::InService | Phase::Cordoned if asked => self.wait(id),
            Phase::Cordoned => self.relax(id),
            Phase::Draining if !wanted => {
                self.act(id, Action::Return { maintained: None });
                self.soak(now, id);
            }
            Phase::Drained => self.dispose(now, id),
            _ => {}
        }
    }

    /// Cordons a host and has it wait for admission.
    fn wait(&mut self, id: &HostId) {
        if self.hosts[id].phase == Phase::InService {
            self.act(id, Action::Cordon);
        }
        let host = &self.hosts[id];
        if let Some(pool) = self.pools.get_mut(&host.pool) {
            pool.waiting.insert(id.clone());
            self.touched.insert(host.pool.clone());
        }
    }

    /// Takes the cordon off a host that nobody wants out.
    fn relax(&mut self, id: &HostId) {
        let pool = &self.hosts[id].pool;
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.waiting.remove(id);
        }
        self.act(id, Action::Uncordon);
    }

    /// Starts an admitted stop.
    pub(super) fn drain(&mut self, now: Now, id: &HostId, cause: Cause) {
        let limit = self.pace.drain;
        self.act(id, Action::Drain { cause, limit });
        self.set_limit(id, Some(now + limit));
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        host.blocked = None;
        if let Cause::Wave(wave) = cause {
            host.wants.wave = Some(wave);
        }
        if let Some(pool) = self.pools.get_mut(&host.pool) {
            pool.waiting.remove(id);
        }
    }

    pub(super) fn drained(&mut self, now: Now, id: &HostId, generation: Generation) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if host.generation != generation || host.phase != Phase::Draining {
            return;
        }
        host.phase = Phase::Drained;
        self.set_limit(id, None);
        self.dispose(now, id);
    }

    /// Does with an empty host what is wanted next.
    pub(super) fn dispose(&mut self, now: Now, id: &HostId) {
        let wants = self.hosts[id].wants.clone();
        if let Some(wave) = wants.wave {
            self.reboot(now, id, wave);
        } else if let Some(to) = wants.to {
            self.act(id, Action::HandOver { to });
        } else if wants.hold {
            self.act(id, Action::Park);
            self.budgets.set(id, Condition::Reserved { back: None });
            self.in_wave(id, Wave::miss);
            self.touch(id);
        } else {
            self.act(id, Action::Return { maintained: None });
            self.soak(now, id);
        }
    }

    fn reboot(&mut self, now: Now, id: &HostId, wave: WaveId) {
        self.act(id, Action::Reboot { wave });
        self.in_wave(id, Wave::found);
        let limit = self.pace.reboot;
        let soak = self.pools[&self.hosts[id].pool].spec.soak;
        let back = Some(now + limit + soak);
        self.budgets.set(id, Condition::Reserved { back });
        self.set_limit(id, Some(now + limit));
    }

    /// The host belongs to its new pool, under a new generation, so that nobody who still believes
    /// in the old pool can act on it.
    pub(super) fn handed_over(&mut self, now: Now, id: &HostId, generation: Generation) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if host.generation >= generation || host.phase != Phase::Drained {
            return;
        }
        let Some(to) = host.wants.to.take() else {
            return;
        };
        host.wants.preset = false;
        host.generation = generation;
        let rack = host.rack.clone();
        let from = mem::replace(&mut host.pool, to.clone());
        if let Some(pool) = self.pools.get_mut(&from) {
            pool.remove(&rack, id);
        }
        let pool = self.pools.entry(to.clone()).or_default();
        pool.insert(&rack, id.clone());
        self.touched.insert(from);
        self.budgets.disband(id);
        self.budgets.seat(id, Seat::new(rack, to, Condition::Out));
        self.enroll(id);
        self.in_wave(id, Wave::found);
        self.dispose(now, id);
    }

    pub(super) fn lost(&mut self, now: Now, id: &HostId, generation: Generation) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        // A host that is down was asked to go; whether it comes back is watched by its limit.
        let expected = matches!(host.phase, Phase::Down | Phase::Lost);
        if host.generation != generation || expected {
            return;
        }
        host.wants.wave = None;
        self.act(id, Action::MarkLost);
        self.budgets.set(id, Condition::Out);
        self.set_limit(id, Some(now + self.pace.reboot));
        self.mourn(id);
    }

    /// Counts an unplanned loss, which pauses the wave of its pool.
    pub(super) fn mourn(&mut self, id: &HostId) {
        let host = &self.hosts[id];
        let Some(pool) = self.pools.get_mut(&host.pool) else {
            return;
        };
        pool.waiting.remove(id);
        let first = pool.losses.is_empty();
        pool.losses.insert(id.clone());
        if first && let Some(wave) = &pool.wave {
            let wave = wave.id();
            let host = id.clone();
            let report = Report::Paused { wave, host };
            self.out.push(Decision::Report(report));
        }
        self.touch(id);
    }

    pub(super) fn back(&mut self, now: Now, id: &HostId, generation: Generation) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if host.generation >= generation {
            return;
        }
        host.generation = generation;
        let wave = host.wants.wave.take();
        let maintained = wave.filter(|_| host.phase == Phase::Down);
        let unasked = !matches!(host.phase, Phase::Down | Phase::Lost);
        if maintained.is_some() {
            host.maintained = maintained;
            self.in_wave(id, Wave::finish);
        }
        if unasked {
            // It restarted before anyone noticed that it was gone.
            self.mourn(id);
        }
        self.in_wave(id, Wave::found);
        self.set_limit(id, None);
        self.act(id, Action::Return { maintained });
        if self.hosts[id].wants.is_asked() {
            self.keep_empty(now, id);
        } else {
            self.soak(now, id);
        }
    }

    /// Keeps a host that came back empty out of service, as it is wanted out anyway.
    fn keep_empty(&mut self, now: Now, id: &HostId) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.phase = Phase::Drained;
        }
        self.budgets.set(id, Condition::Reserved { back: None });
        self.comfort(id);
        self.dispose(now, id);
    }

    pub(super) fn soak(&mut self, now: Now, id: &HostId) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        host.phase = Phase::Soaking;
        let soak = self.pools[&host.pool].spec.soak;
        self.set_limit(id, None);
        self.budgets.returned(now, id, soak);
        if self.budgets.condition(id) == Some(Condition::Up) {
            self.serve(now, id);
        }
    }

    /// The soak of a host is over.
    pub(super) fn serve(&mut self, now: Now, id: &HostId) {
        if self.hosts.get(id).is_none_or(|h| h.phase != Phase::Soaking) {
            return;
        }
        self.act(id, Action::Serve);
        let rack = self.hosts[id].rack.clone();
        self.in_wave(id, |wave, id| {
            if wave.is_due(id) {
                wave.queue(&rack);
            }
        });
        self.comfort(id);
        self.follow(now, id);
    }

    /// A loss is made good or given up; the last of them lets the wave go on.
    fn comfort(&mut self, id: &HostId) {
        let host = &self.hosts[id];
        let Some(pool) = self.pools.get_mut(&host.pool) else {
            return;
        };
        let last = pool.losses.remove(id) && pool.losses.is_empty();
        if last && let Some(wave) = &pool.wave {
            let wave = wave.id();
            let report = Report::Resumed { wave };
            self.out.push(Decision::Report(report));
        }
        self.touch(id);
    }

    /// A host is over its limit: it is reported, holds its budget, and the wave stops waiting.
    pub(super) fn overrun(&mut self, id: &HostId) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        host.late = true;
        let report = Report::Late {
            host: id.clone(),
            phase: host.phase,
        };
        self.out.push(Decision::Report(report));
        self.in_wave(id, Wave::miss);
        self.comfort(id);
    }

    /// Goes on with a host as the shared state holds it. The last leader may not have got round to
    /// carrying out its last decision, so that is decided again.
    pub(super) fn resume(&mut self, now: Now, id: &HostId) {
        let host = &self.hosts[id];
        let (phase, wants) = (host.phase, host.wants.clone());
        let seat = |condition| Seat::new(host.rack.clone(), host.pool.clone(), condition);
        let condition = match phase {
            Phase::InService | Phase::Cordoned => Condition::Up,
            Phase::Lost => Condition::Out,
            _ => Condition::Reserved { back: None },
        };
        self.budgets.seat(id, seat(condition));
        match phase {
            Phase::InService if !wants.is_asked() => {}
            Phase::InService | Phase::Cordoned => self.follow(now, id),
            Phase::Draining if !wants.any() => self.follow(now, id),
            Phase::Draining => {
                let cause = wants.wave.map_or(self.hosts[id].cause(), Cause::Wave);
                self.drain(now, id, cause);
            }
            Phase::Drained => self.dispose(now, id),
            Phase::Down => match wants.wave {
                Some(wave) => self.reboot(now, id, wave),
                None => self.set_limit(id, Some(now + self.pace.reboot)),
            },
            Phase::Soaking => self.soak(now, id),
            Phase::Lost => self.set_limit(id, Some(now + self.pace.reboot)),
        }
    }

    /// Decides an action and takes it for granted.
    pub(super) fn act(&mut self, id: &HostId, action: Action) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if let Some(phase) = action.phase() {
            host.phase = phase;
            host.late = false;
        }
        self.touched.insert(host.pool.clone());
        self.out.push(Decision::Host {
            host: id.clone(),
            generation: host.generation,
            action,
        });
    }

    /// Tells the wave of the host's pool, if one runs.
    fn in_wave(&mut self, id: &HostId, tell: impl FnOnce(&mut Wave, &HostId)) {
        let pool = self.hosts.get(id).map(|host| &host.pool);
        let pool = pool.and_then(|pool| self.pools.get_mut(pool));
        if let Some(wave) = pool.and_then(|pool| pool.wave.as_mut()) {
            tell(wave, id);
        }
    }

    /// Has the host's pool looked at before the step ends.
    fn touch(&mut self, id: &HostId) {
        if let Some(host) = self.hosts.get(id) {
            self.touched.insert(host.pool.clone());
        }
    }

    pub(super) fn set_limit(&mut self, id: &HostId, limit: Option<Now>) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if let Some(old) = host.limit.take() {
            self.limits.remove(&(old, id.clone()));
        }
        if let Some(at) = limit {
            host.limit = Some(at);
            self.limits.insert((at, id.clone()));
        }
    }
}
