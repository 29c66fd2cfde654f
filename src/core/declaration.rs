//! The fleet as operators declare it.
//!
//! A [`Declaration`] is the whole of what an operator keeps in version control: data centres,
//! hosts, pools, services with their budgets, teams, caller groups and presets. It is one value,
//! replaced as a whole by `apply`. What it holds has already been checked: every name it refers
//! to exists, which the settings layer proves while it reads the YAML.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::types::{
    DataCentreId, GroupId, HostId, Name, PoolId, PresetId, RackId, Resources, ServiceId, TeamId,
};

/// Everything that an operator declares.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Declaration {
    /// Data centres and the region of each.
    pub data_centres: BTreeMap<DataCentreId, DataCentreSpec>,
    /// Hosts by id.
    pub hosts: BTreeMap<HostId, HostSpec>,
    /// Pools by id.
    pub pools: BTreeMap<PoolId, PoolSpec>,
    /// Services by id.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Teams by id.
    pub teams: BTreeMap<TeamId, TeamSpec>,
    /// Caller groups by id.
    pub groups: BTreeMap<GroupId, GroupSpec>,
    /// Presets by id; exactly one is in force.
    pub presets: BTreeMap<PresetId, PresetSpec>,
    /// The rules of a node that is cut off, shared by all presets.
    pub cut_off: CutOffSpec,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct DataCentreSpec {
    /// The region it lies in.
    pub region: Name,
}

/// A host as declared.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct HostSpec {
    /// The pool it starts in; later moves go through the shared state.
    pub pool: PoolId,
    /// Its rack, the smallest failure domain.
    pub rack: RackId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// What it offers to jobs.
    pub resources: Resources,
}

/// A pool as declared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct PoolSpec {
    /// How often every host of the pool is to be maintained once; `None` for never.
    pub maintenance: Option<Duration>,
    /// How long a repaired host must stay up before it counts as available.
    pub soak: Duration,
}

/// A service as declared.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct ServiceSpec {
    /// The pool that its minions and jobs live in.
    pub pool: PoolId,
    /// Whether its requests and jobs may run twice. Undeclared means they may not.
    pub idempotent: bool,
    /// How many of its minions may be unavailable at once.
    pub budget: BudgetSpec,
    /// The longest time that a request may take, from arrival to answer.
    pub timeout: Duration,
}

/// An availability budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct BudgetSpec {
    /// Minions that must be available at any moment.
    pub available: u32,
}

/// A team as declared.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct TeamSpec {
    /// What its running jobs may use together.
    pub quota: Resources,
}

/// A group of callers as declared.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct GroupSpec {
    /// Its share of a contended service, relative to the other groups.
    pub weight: u32,
    /// Requests a second that one data centre admits for it; `None` for no limit.
    pub rate: Option<u32>,
    /// How long after it first appears its share grows to the full weight; zero for at once.
    pub ramp: Duration,
}

/// A preset: what differs between ordinary days, peaks and maintenance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct PresetSpec {
    /// Hosts that each pool should have; a pool left out keeps its declared ones.
    pub targets: BTreeMap<PoolId, u32>,
    /// Pace of maintenance.
    pub wave: WaveSpec,
    /// Limits of the request path.
    pub requests: RequestSpec,
}

/// The pace of maintenance waves under a preset.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct WaveSpec {
    /// Racks of one pool that may be in maintenance at once; zero pauses all waves.
    pub racks: u32,
    /// How long a host may take to drain before its wave reports it.
    pub drain: Duration,
    /// How long a host may take to come back before its wave reports it.
    pub reboot: Duration,
}

/// Limits of the request path under a preset.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct RequestSpec {
    /// Requests that may wait for a slot of one service in one node.
    pub queue: u32,
    /// Retries per hundred first tries.
    pub retries: u32,
}

/// What a node may do that has lost its configuration lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct CutOffSpec {
    /// Limits of the request path while cut off.
    pub requests: RequestSpec,
}

impl Default for WaveSpec {
    fn default() -> Self {
        Self {
            racks: 1,
            drain: Duration::from_secs(600),
            reboot: Duration::from_secs(900),
        }
    }
}

impl Default for RequestSpec {
    fn default() -> Self {
        Self {
            queue: 256,
            retries: 10,
        }
    }
}
