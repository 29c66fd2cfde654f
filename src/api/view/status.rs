//! The state of things at a glance.

use serde::{Deserialize, Serialize};

use crate::{
    api::Millis,
    core::{
        consensus::interface::Index,
        state::{Phase, Progress, State},
        types::{DataCentreId, NodeId, PoolId, PresetId, ServiceId, Version},
    },
};

/// What only one daemon knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Local {
    /// The node.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: String,
    /// Who leads, as far as it knows.
    pub leader: Option<NodeId>,
    /// Whether it has lost its configuration lease.
    pub cut_off: bool,
    /// The nodes as the leader sees them; empty elsewhere.
    pub nodes: Vec<NodeStatus>,
    /// The services as the leader sees them; empty elsewhere.
    pub services: Vec<ServiceStatus>,
    /// The measures of operation.
    pub measures: Measures,
}

/// One node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct NodeStatus {
    /// Its id.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it votes.
    pub voter: bool,
    /// The configuration that it acts under; nothing if it is cut off.
    pub acts: Option<Version>,
}

/// One service against its budget.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceStatus {
    /// Its name.
    pub service: ServiceId,
    /// Its pool.
    pub pool: PoolId,
    /// Minions available now.
    pub available: u32,
    /// Minions that its budget asks for.
    pub needed: u32,
    /// Minions in its largest rack, which are kept in reserve.
    pub reserve: u32,
    /// Minions that haven't been heard yet.
    pub unconfirmed: u32,
}

/// What the firms weigh.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Measures {
    /// Hosts held idle to keep promises.
    pub buffer: Option<u32>,
    /// How long the last change of configuration took to be in force everywhere.
    pub rollout: Option<Millis>,
    /// Jobs displaced since this node began to lead.
    pub moves: Option<u64>,
}

/// The state of things.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Status {
    /// What the daemon that answers knows.
    #[serde(flatten)]
    pub local: Local,
    /// The newest configuration; zero before the first.
    pub version: Version,
    /// The one in force; nothing while a change is being rolled out.
    pub in_force: Option<Version>,
    /// The preset of the newest configuration.
    pub preset: Option<PresetId>,
    /// The last command applied.
    pub applied: Index,
    /// Hosts.
    pub hosts: usize,
    /// Hosts that take work.
    pub working: usize,
    /// Waves that haven't ended.
    pub waves: usize,
    /// Hosts that open waves miss.
    pub missing: usize,
    /// Jobs without a live start right.
    pub waiting: usize,
    /// Jobs with one.
    pub running: usize,
    /// Jobs that an operator must resolve.
    pub unresolved: usize,
}

impl Status {
    /// The status of the state, with what the daemon knows.
    pub fn of(state: &State, local: &Local) -> Self {
        let configuration = state.configuration();
        let open: Vec<_> = state
            .waves()
            .iter()
            .filter(|(_, w)| w.ended.is_none())
            .collect();
        let progress = open.iter().flat_map(|(_, wave)| wave.hosts.values());
        let hosts = state.hosts();
        let jobs = |test: fn(&Phase) -> bool| {
            state
                .jobs()
                .iter()
                .filter(|(_, job)| test(&job.phase))
                .count()
        };
        Self {
            local: local.clone(),
            version: configuration.version(),
            in_force: configuration.in_force(),
            preset: configuration.preset().cloned(),
            applied: state.applied(),
            hosts: hosts.len(),
            working: hosts.iter().filter(|(_, h)| h.stage.takes_work()).count(),
            waves: open.len(),
            missing: progress.filter(|p| **p == Progress::Missing).count(),
            waiting: jobs(|phase| *phase == Phase::Waiting),
            running: jobs(|phase| matches!(phase, Phase::Starting(_) | Phase::Running(_))),
            unresolved: jobs(|phase| matches!(phase, Phase::Unresolved(_))),
        }
    }
}
