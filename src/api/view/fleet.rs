//! Presets, pools, hosts and waves.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    api::{Millis, millis},
    core::{
        state::{self, Intent, Progress, Stage, State},
        types::{DataCentreId, Generation, HostId, PoolId, PresetId, RackId, Version, WaveId},
    },
};

/// The presets and which of them holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Presets {
    /// The newest configuration; zero before the first.
    pub version: Version,
    /// The one in force; nothing while a change is being rolled out.
    pub in_force: Option<Version>,
    /// The preset of the newest configuration.
    pub current: Option<PresetId>,
    /// All presets.
    pub presets: Vec<Preset>,
}

/// One preset.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Preset {
    /// Its name.
    pub name: PresetId,
    /// Hosts that each pool should have.
    pub targets: BTreeMap<PoolId, u32>,
    /// Racks of a pool that may be in maintenance at once.
    pub racks: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Retries per hundred first tries.
    pub retries: u32,
}

/// All pools.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Pools {
    /// In order of their names.
    pub pools: Vec<Pool>,
}

/// One pool.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Pool {
    /// Its name.
    pub name: PoolId,
    /// Hosts that it has.
    pub hosts: usize,
    /// Hosts that the preset wants it to have, if it says so.
    pub target: Option<u32>,
    /// Hosts that take work.
    pub working: usize,
    /// Hosts meant to leave for another pool.
    pub leaving: usize,
    /// Hosts lost without a plan.
    pub failed: usize,
    /// Its wave, if one is open.
    pub wave: Option<WaveId>,
}

/// Hosts of a pool, or all.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Hosts {
    /// In order of their names.
    pub hosts: Vec<Host>,
}

/// One host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Host {
    /// Its name.
    pub name: HostId,
    /// The one pool that it belongs to.
    pub pool: PoolId,
    /// Its rack.
    pub rack: RackId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where it is between work and maintenance.
    pub stage: Stage,
    /// Since when.
    pub since: Millis,
    /// What operators want of it.
    pub intent: Intent,
    /// How often it changed hands or came back, as a number that grows.
    pub generation: Generation,
    /// Its jobs with a live start right.
    pub jobs: usize,
    /// When it was last maintained.
    pub maintained: Option<Millis>,
}

/// The waves.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Waves {
    /// In order of their start.
    pub waves: Vec<Wave>,
}

/// One wave.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Wave {
    /// Its id.
    pub wave: WaveId,
    /// Its pool.
    pub pool: PoolId,
    /// When it started.
    pub started: Millis,
    /// When it ended.
    pub ended: Option<Millis>,
    /// Whether an operator paused it.
    pub paused: bool,
    /// Whether an unplanned loss paused it.
    pub lost: bool,
    /// Hosts by how far it got with them.
    pub hosts: BTreeMap<Progress, usize>,
}

impl Presets {
    /// The presets of the newest configuration.
    pub fn of(state: &State) -> Self {
        let configuration = state.configuration();
        let presets = configuration.declaration().presets.iter();
        Self {
            version: configuration.version(),
            in_force: configuration.in_force(),
            current: configuration.preset().cloned(),
            presets: presets
                .map(|(name, spec)| Preset {
                    name: name.clone(),
                    targets: spec.targets.clone(),
                    racks: spec.wave.racks,
                    queue: spec.requests.queue,
                    retries: spec.requests.retries,
                })
                .collect(),
        }
    }
}

impl Pools {
    /// The pools of the newest configuration.
    pub fn of(state: &State) -> Self {
        let pools = state.configuration().declaration().pools.keys();
        Self {
            pools: pools.map(|pool| Pool::of(state, pool)).collect(),
        }
    }
}

impl Pool {
    fn of(state: &State, name: &PoolId) -> Self {
        let hosts: Vec<_> = state.hosts().of_pool(name).map(|(_, host)| host).collect();
        let count = |test: fn(&state::Host) -> bool| hosts.iter().filter(|h| test(h)).count();
        let spec = state.configuration().spec();
        Self {
            name: name.clone(),
            hosts: hosts.len(),
            target: spec.and_then(|s| s.targets.get(name).copied()),
            working: count(|h| h.stage.takes_work()),
            leaving: count(|h| matches!(h.intent, Intent::Move { .. })),
            failed: count(|h| h.stage == Stage::Failed),
            wave: state.waves().open(name).map(|(wave, _)| wave),
        }
    }
}

impl Hosts {
    /// All hosts.
    pub fn of(state: &State) -> Self {
        let hosts = state.hosts().iter();
        Self {
            hosts: hosts
                .filter_map(|(id, host)| Host::of(state, id, host))
                .collect(),
        }
    }

    /// The hosts of a pool, if it is declared.
    pub fn of_pool(state: &State, pool: &PoolId) -> Option<Self> {
        let declared = state.configuration().declaration().pools.contains_key(pool);
        let hosts = state.hosts().of_pool(pool);
        declared.then(|| Self {
            hosts: hosts
                .filter_map(|(id, host)| Host::of(state, id, host))
                .collect(),
        })
    }
}

impl Host {
    fn of(state: &State, id: &HostId, host: &state::Host) -> Option<Self> {
        let spec = state.configuration().declaration().hosts.get(id)?;
        Some(Self {
            name: id.clone(),
            pool: host.pool.clone(),
            rack: spec.rack.clone(),
            data_centre: spec.data_centre.clone(),
            stage: host.stage,
            since: millis(host.since),
            intent: host.intent.clone(),
            generation: host.generation,
            jobs: state.jobs().on_host(id).count(),
            maintained: host.maintained.map(millis),
        })
    }
}

impl Waves {
    /// The open waves, and the last one of each pool.
    pub fn of(state: &State) -> Self {
        let waves = state.waves().iter();
        Self {
            waves: waves.map(|(id, wave)| Wave::of(id, wave)).collect(),
        }
    }
}

impl Wave {
    fn of(id: WaveId, wave: &state::Wave) -> Self {
        let mut hosts = BTreeMap::new();
        for progress in wave.hosts.values() {
            *hosts.entry(*progress).or_default() += 1;
        }
        Self {
            wave: id,
            pool: wave.pool.clone(),
            started: millis(wave.started),
            ended: wave.ended.map(millis),
            paused: wave.paused,
            lost: wave.lost,
            hosts,
        }
    }

    /// Hosts done, and all.
    pub fn done(&self) -> (usize, usize) {
        let done = self.hosts.iter().filter(|(p, _)| p.is_done());
        (done.map(|(_, n)| n).sum(), self.hosts.values().sum())
    }
}
