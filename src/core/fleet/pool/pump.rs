//! Gives room to those who wait for it: hosts that are asked for, then the wave.

use std::ops::Bound;

use crate::core::{
    fleet::{
        budget::{Blocked, Cause, Stop},
        wave::Wave,
    },
    types::{HostId, Now, PoolId, RackId},
};

use super::{Decision, Engine, Phase, Report, Waiting, registry::Host};

/// Waiting hosts tried for each event, so that its cost doesn't grow with their number.
const PROBES: usize = 8;
/// Racks of the order from which a wave takes its next.
const WINDOW: usize = 8;

impl Engine {
    /// Tries what waits in a pool.
    pub(super) fn pump(&mut self, now: Now, id: &PoolId) {
        self.pump_waiting(now, id);
        let Some(mut wave) = self.pools.get_mut(id).and_then(|pool| pool.wave.take()) else {
            return;
        };
        self.close_racks(id, &mut wave);
        if wave.is_over() {
            return self.end(&wave);
        }
        if !self.is_halted(id) && !wave.is_paused() {
            self.advance(now, id, &mut wave);
        }
        if let Some(pool) = self.pools.get_mut(id) {
            pool.wave = Some(wave);
        }
    }

    /// Whether the waves of a pool begin nothing new.
    pub(super) fn is_halted(&self, id: &PoolId) -> bool {
        self.pace.racks == 0 || self.pools.get(id).is_none_or(|p| !p.losses.is_empty())
    }

    /// The racks of a pool in the order in which a new wave takes them.
    pub(super) fn racks_in_order(&self, id: &PoolId) -> Vec<RackId> {
        let mut racks: Vec<_> = self.pools[id].racks.keys().cloned().collect();
        racks.sort_by_cached_key(|rack| (self.weight(id, rack), rack.clone()));
        racks
    }

    /// Unsaved work and jobs on a rack, by which a wave orders racks.
    fn weight(&self, id: &PoolId, rack: &RackId) -> (u64, u32) {
        if !self.options.least_work {
            return (0, 0);
        }
        let hosts = self.pools[id].racks.get(rack);
        hosts.into_iter().flatten().fold((0, 0), |sum, host| {
            let work = self.hosts[host].work;
            (sum.0 + work.unsaved, sum.1 + work.jobs)
        })
    }

    fn pump_waiting(&mut self, now: Now, id: &PoolId) {
        let Some(pool) = self.pools.get_mut(id) else {
            return;
        };
        let after = match &pool.tried {
            Some(host) => Bound::Excluded(host),
            None => Bound::Unbounded,
        };
        let range = (after, Bound::Unbounded);
        let later = pool.waiting.range::<HostId, _>(range);
        let mut turn: Vec<HostId> = later.take(PROBES).cloned().collect();
        if turn.len() < PROBES {
            let rest = PROBES.min(pool.waiting.len()) - turn.len();
            let first: Vec<_> = pool.waiting.iter().take(rest).cloned().collect();
            turn.extend(first);
        }
        pool.tried = turn.last().cloned();
        for host in turn {
            self.try_drain(now, &host);
        }
    }

    fn try_drain(&mut self, now: Now, id: &HostId) {
        let host = &self.hosts[id];
        let cause = host.cause();
        let mut stop = Stop::new(cause).host(id.clone());
        if cause == Cause::Move {
            stop = stop.lasting(self.pace.drain + self.pools[&host.pool].spec.soak);
        }
        match self.budgets.admit(now, &stop) {
            Ok(_) => self.drain(now, id, cause),
            Err(blocked) => self.report_host(id, blocked),
        }
    }

    fn report_host(&mut self, id: &HostId, blocked: Blocked) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if host.blocked.as_ref() == Some(&blocked.service) {
            return;
        }
        host.blocked = Some(blocked.service.clone());
        let what = Waiting::Host(id.clone());
        let report = Report::Blocked { what, blocked };
        self.out.push(Decision::Report(report));
    }

    fn advance(&mut self, now: Now, id: &PoolId, wave: &mut Wave) {
        let open: Vec<_> = wave.open_racks().iter().cloned().collect();
        for rack in open {
            self.drain_some(now, id, wave, &rack);
        }
        while wave.open_racks().len() < self.pace.racks as usize {
            if !self.open_next(now, id, wave) {
                break;
            }
        }
    }

    /// Opens the best rack that its budgets allow; a whole rack goes before a part of one.
    fn open_next(&mut self, now: Now, id: &PoolId, wave: &mut Wave) -> bool {
        let racks = self.choices(id, wave);
        let mut obstacle = None;
        for rack in &racks {
            let stop = self.rack_stop(id, wave, rack);
            match self.budgets.admit(now, &stop) {
                Ok(_) => {
                    wave.open(rack);
                    for host in stop.hosts() {
                        self.drain(now, host, stop.cause());
                    }
                    return true;
                }
                Err(blocked) => {
                    obstacle.get_or_insert((rack, blocked));
                }
            }
        }
        for rack in &racks {
            if self.drain_some(now, id, wave, rack) {
                wave.open(rack);
                return true;
            }
        }
        if let Some((rack, blocked)) = obstacle
            && wave.block(rack, &blocked.service)
        {
            let what = Waiting::Rack {
                wave: wave.id(),
                rack: rack.clone(),
            };
            let report = Report::Blocked { what, blocked };
            self.out.push(Decision::Report(report));
        }
        false
    }

    /// The racks that may come next, the best first. Racks in which nothing can be done now leave
    /// the order; a host of theirs that returns to service queues its rack again.
    fn choices(&self, id: &PoolId, wave: &mut Wave) -> Vec<RackId> {
        loop {
            let racks: Vec<_> = wave.candidates(WINDOW).cloned().collect();
            let (mut ready, idle): (Vec<_>, Vec<_>) = racks
                .into_iter()
                .partition(|rack| !self.todo(id, wave, rack).is_empty());
            for rack in &idle {
                wave.drop_rack(rack);
            }
            if idle.is_empty() {
                ready.sort_by_cached_key(|rack| self.weight(id, rack));
                return ready;
            }
        }
    }

    /// Due hosts of a rack that could be drained, those with least unsaved work first.
    fn todo(&self, id: &PoolId, wave: &Wave, rack: &RackId) -> Vec<HostId> {
        let mut hosts = self.pools[id].rack(rack);
        hosts.retain(|host| wave.is_due(host) && self.hosts[host].phase.is_serving());
        if self.options.least_work {
            hosts.sort_by_key(|host| self.hosts[host].work);
        }
        hosts
    }

    fn rack_stop(&self, id: &PoolId, wave: &Wave, rack: &RackId) -> Stop {
        let hosts = self.todo(id, wave, rack);
        let stop = self.wave_stop(id, wave);
        hosts.into_iter().fold(stop, Stop::host)
    }

    fn wave_stop(&self, id: &PoolId, wave: &Wave) -> Stop {
        let soak = self.pools[id].spec.soak;
        Stop::new(Cause::Wave(wave.id())).lasting(self.pace.drain + self.pace.reboot + soak)
    }

    /// Drains what it may of a rack, host by host; answers whether there was any.
    fn drain_some(&mut self, now: Now, id: &PoolId, wave: &Wave, rack: &RackId) -> bool {
        let mut any = false;
        for host in self.todo(id, wave, rack) {
            let stop = self.wave_stop(id, wave).host(host.clone());
            if self.budgets.admit(now, &stop).is_ok() {
                self.drain(now, &host, stop.cause());
                any = true;
            }
        }
        any
    }

    /// Opens the racks that the wave was at work on under the last leader.
    pub(super) fn reopen_racks(&self, id: &PoolId, wave: &mut Wave) {
        for (rack, hosts) in &self.pools[id].racks {
            let under_way = |host| self.hosts[host].is_under_way(host, wave);
            if hosts.iter().any(under_way) {
                wave.open(rack);
            }
        }
    }

    fn close_racks(&self, id: &PoolId, wave: &mut Wave) {
        let open: Vec<_> = wave.open_racks().iter().cloned().collect();
        for rack in open {
            let hosts = self.pools[id].racks.get(&rack);
            let mut hosts = hosts.into_iter().flatten();
            if !hosts.any(|host| self.hosts[host].is_busy(host, wave)) {
                wave.close(&rack);
            }
        }
    }

    fn end(&mut self, wave: &Wave) {
        self.out.push(Decision::EndWave {
            wave: wave.id(),
            missing: wave.missing().iter().cloned().collect(),
        });
    }
}

impl Host {
    /// Whether its open rack still has to wait for it.
    fn is_busy(&self, id: &HostId, wave: &Wave) -> bool {
        let todo = self.phase.is_serving() && wave.is_due(id);
        todo || self.is_under_way(id, wave)
    }

    /// Whether the wave is at work on it. A soak belongs to the turn: a maintenance that breaks
    /// hosts after some minutes is to be found before the next rack is stopped.
    fn is_under_way(&self, id: &HostId, wave: &Wave) -> bool {
        match self.phase {
            Phase::Draining | Phase::Drained | Phase::Down => {
                self.wants.wave == Some(wave.id()) && !wave.is_missing(id)
            }
            Phase::Soaking => self.maintained == Some(wave.id()),
            Phase::InService | Phase::Cordoned | Phase::Lost => false,
        }
    }
}
