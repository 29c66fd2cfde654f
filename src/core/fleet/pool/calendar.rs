//! When waves begin, whom they count, and what pauses them.

use std::time::Duration;

use crate::core::{
    fleet::wave::Wave,
    types::{HostId, Now, PoolId, WaveId},
};

use super::{Decision, Engine, Phase, Report};

/// How long the engine waits for a wave it asked for before it asks again.
const ASK_AGAIN: Duration = Duration::from_secs(60);

impl Engine {
    pub(super) fn tick(&mut self, now: Now) {
        let count = self.pools.len() as u32;
        for (place, (id, pool)) in (0..).zip(self.pools.iter_mut()) {
            if !pool.waiting.is_empty() || pool.wave.is_some() {
                self.touched.insert(id.clone());
            }
            let Some(period) = pool.spec.maintenance else {
                pool.next = None;
                continue;
            };
            // Waves of pools that never had one are spread over the period.
            let next = *pool.next.get_or_insert(now + period * place / count);
            if next > now {
                continue;
            }
            if let Some(wave) = &mut pool.wave {
                if wave.overrun() {
                    let wave = wave.id();
                    let report = Report::Overdue { wave, since: next };
                    self.out.push(Decision::Report(report));
                }
            } else if pool.asked.is_none_or(|at| now >= at + ASK_AGAIN) {
                pool.asked = Some(now);
                let pool = id.clone();
                self.out.push(Decision::StartWave { pool });
            }
        }
    }

    pub(super) fn begin(&mut self, now: Now, wave: WaveId, id: &PoolId, age: Duration) {
        let pool = self.pools.entry(id.clone()).or_default();
        if pool.wave.is_some() {
            return;
        }
        pool.asked = None;
        let period = pool.spec.maintenance;
        pool.next = period.map(|period| now + period.saturating_sub(age));
        pool.wave = Some(Wave::new(wave, now.saturating_sub(age)));
        for rack in self.racks_in_order(id) {
            for host in self.pools[id].rack(&rack) {
                self.enroll(&host);
            }
        }
        let wave = self.pools.get_mut(id).and_then(|pool| pool.wave.take());
        if let Some(mut wave) = wave {
            self.reopen_racks(id, &mut wave);
            self.pools.entry(id.clone()).or_default().wave = Some(wave);
        }
        self.touched.insert(id.clone());
    }

    /// Goes on with the pause that the last leader told of, or tells of one.
    pub(super) fn mind_losses(&mut self, wave: WaveId, id: &PoolId, lost: bool) {
        let Some(pool) = self.pools.get_mut(id) else {
            return;
        };
        let soaks = |host: &HostId| {
            let host = &self.hosts[host];
            host.phase == Phase::Soaking && host.maintained != Some(wave)
        };
        if lost {
            let hosts = pool.racks.values().flatten();
            let soaking: Vec<_> = hosts.filter(|host| soaks(host)).cloned().collect();
            pool.losses.extend(soaking);
        }
        let first = pool.losses.first().cloned();
        let report = match first {
            None if lost => Report::Resumed { wave },
            Some(host) if !lost => Report::Paused { wave, host },
            _ => return,
        };
        self.out.push(Decision::Report(report));
    }

    pub(super) fn pause(&mut self, id: WaveId, paused: bool) {
        for (pool_id, pool) in &mut self.pools {
            if let Some(wave) = pool.wave.as_mut().filter(|wave| wave.id() == id) {
                wave.pause(paused);
                self.touched.insert(pool_id.clone());
            }
        }
    }

    /// Makes a host due in the wave of its pool, unless it was maintained since that began or by a
    /// wave that runs in the pool that it came from.
    pub(super) fn enroll(&mut self, id: &HostId) {
        let host = &self.hosts[id];
        let running = |maintained: &WaveId| {
            let mut waves = self.pools.values().filter_map(|pool| pool.wave.as_ref());
            waves.any(|wave| wave.id() == *maintained)
        };
        let Some(wave) = self.pools[&host.pool].wave.as_ref() else {
            return;
        };
        let done = |maintained: &WaveId| *maintained >= wave.id() || running(maintained);
        if host.maintained.as_ref().is_some_and(done) {
            return;
        }
        let given_up = host.phase == Phase::Lost && !self.pools[&host.pool].losses.contains(id);
        let apart = given_up || host.phase == Phase::Drained;
        let (rack, pool) = (host.rack.clone(), host.pool.clone());
        let wave = self
            .pools
            .get_mut(&pool)
            .and_then(|pool| pool.wave.as_mut());
        if let Some(wave) = wave {
            wave.add(&rack, id.clone());
            if apart {
                wave.miss(id);
            }
        }
    }
}
