//! Maintenance waves: which hosts of a pool have been maintained, and which are still to be.
//!
//! A pool has one wave at a time. It can be paused by an operator and, apart from that, by an
//! unplanned loss; lifting one pause leaves the other. It ends when each of its hosts has been
//! maintained or has left the pool. A host that doesn't come back is [`Progress::Missing`] and
//! keeps the wave open.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::reply::{Refusal, Reply};
use crate::core::types::{HostId, PoolId, Wall, WaveId};

/// The waves; of the ended ones, the last of each pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Waves {
    waves: BTreeMap<WaveId, Wave>,
}

/// One wave.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Wave {
    /// Its pool.
    pub pool: PoolId,
    /// When it was started.
    pub started: Wall,
    /// When it ended.
    pub ended: Option<Wall>,
    /// Whether an operator has paused it.
    pub paused: bool,
    /// Whether an unplanned loss has paused it.
    pub lost: bool,
    /// Its hosts, those of the pool when it started.
    pub hosts: BTreeMap<HostId, Progress>,
}

/// How far a wave got with one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// Its turn is to come.
    Waiting,
    /// Its stop was admitted.
    Stopped,
    /// It didn't come back in time; it still holds its budget.
    Missing,
    /// It is maintained and back.
    Maintained,
    /// It left the pool or the declaration.
    Skipped,
}

impl Progress {
    /// Whether nothing is left to do.
    pub const fn is_done(self) -> bool {
        matches!(self, Self::Maintained | Self::Skipped)
    }

    const fn leads_to(self, next: Self) -> bool {
        match self {
            Self::Waiting => matches!(next, Self::Stopped | Self::Skipped),
            Self::Stopped => !matches!(next, Self::Stopped),
            Self::Missing => next.is_done(),
            Self::Maintained | Self::Skipped => false,
        }
    }
}

impl Wave {
    /// Whether it may admit another stop.
    pub fn is_running(&self) -> bool {
        !self.paused && !self.lost && self.ended.is_none()
    }

    fn advance(&mut self, at: Wall, host: &HostId, next: Progress) -> Result<Reply, Refusal> {
        let running = self.is_running();
        let progress = self.hosts.get_mut(host).ok_or(Refusal::WrongProgress)?;
        if *progress == next {
            return Ok(Reply::Noted);
        }
        if !progress.leads_to(next) {
            return Err(Refusal::WrongProgress);
        }
        if next == Progress::Stopped && !running {
            return Err(Refusal::WavePaused);
        }
        *progress = next;
        self.close(at);
        Ok(Reply::Noted)
    }

    fn close(&mut self, at: Wall) {
        if self.ended.is_none() && self.hosts.values().all(|progress| progress.is_done()) {
            self.ended = Some(at);
        }
    }
}

impl Waves {
    /// One wave.
    pub fn get(&self, wave: WaveId) -> Option<&Wave> {
        self.waves.get(&wave)
    }

    /// Every wave in order of its start.
    pub fn iter(&self) -> impl Iterator<Item = (WaveId, &Wave)> {
        self.waves.iter().map(|(id, wave)| (*id, wave))
    }

    /// The wave of a pool that hasn't ended.
    pub fn open(&self, pool: &PoolId) -> Option<(WaveId, &Wave)> {
        self.iter()
            .find(|(_, wave)| wave.pool == *pool && wave.ended.is_none())
    }

    fn find_mut(&mut self, wave: WaveId) -> Result<&mut Wave, Refusal> {
        self.waves.get_mut(&wave).ok_or(Refusal::NoWave { wave })
    }

    pub(super) fn start(
        &mut self,
        at: Wall,
        id: WaveId,
        pool: &PoolId,
        hosts: impl Iterator<Item = HostId>,
    ) -> Result<Reply, Refusal> {
        if let Some((wave, _)) = self.open(pool) {
            return Err(Refusal::WaveRunning { wave });
        }
        self.waves.retain(|_, wave| wave.pool != *pool);
        let mut wave = Wave {
            pool: pool.clone(),
            started: at,
            ended: None,
            paused: false,
            lost: false,
            hosts: hosts.map(|host| (host, Progress::Waiting)).collect(),
        };
        wave.close(at);
        self.waves.insert(id, wave);
        Ok(Reply::WaveStarted { wave: id })
    }

    pub(super) fn pause(&mut self, wave: WaveId, paused: bool) -> Result<Reply, Refusal> {
        self.find_mut(wave)?.paused = paused;
        Ok(Reply::Noted)
    }

    pub(super) fn lose(&mut self, wave: WaveId, lost: bool) -> Result<Reply, Refusal> {
        self.find_mut(wave)?.lost = lost;
        Ok(Reply::Noted)
    }

    pub(super) fn advance(
        &mut self,
        at: Wall,
        wave: WaveId,
        host: &HostId,
        next: Progress,
    ) -> Result<Reply, Refusal> {
        self.find_mut(wave)?.advance(at, host, next)
    }

    /// Skips a host that left a pool.
    pub(super) fn skip(&mut self, at: Wall, pool: &PoolId, host: &HostId) {
        for wave in self.waves.values_mut().filter(|wave| wave.pool == *pool) {
            if let Some(progress) = wave.hosts.get_mut(host)
                && !progress.is_done()
            {
                *progress = Progress::Skipped;
                wave.close(at);
            }
        }
    }

    /// Forgets the ended waves of pools that are gone.
    pub(super) fn retain(&mut self, keep: impl Fn(&PoolId) -> bool) {
        self.waves.retain(|_, wave| keep(&wave.pool));
    }
}
