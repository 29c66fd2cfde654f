//! What the control task tells the other tasks.

use std::sync::Arc;

use crate::core::{
    consensus::Index,
    declaration::Declaration,
    state::{Command, Reply, Stage, State},
    types::{DataCentreId, HostId, NodeId, Version},
};

/// What the request path needs of the shared state; published when it changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Published {
    /// The newest committed configuration.
    pub(crate) version: Version,
    /// Its declaration.
    pub(crate) fleet: Arc<Declaration>,
    /// Hosts whose minions take no new work.
    pub(crate) draining: Arc<[HostId]>,
    /// The nodes and where each is.
    pub(crate) nodes: Arc<[(NodeId, DataCentreId)]>,
}

impl Published {
    /// What a state says, with the nodes that settings name.
    pub(super) fn new(state: &State, nodes: &Arc<[(NodeId, DataCentreId)]>) -> Self {
        let configuration = state.configuration();
        let draining = state
            .hosts()
            .iter()
            .filter(|(_, host)| is_leaving(host.stage))
            .map(|(id, _)| id.clone())
            .collect();
        Self {
            version: configuration.version(),
            fleet: Arc::clone(configuration.declaration()),
            draining,
            nodes: Arc::clone(nodes),
        }
    }
}

/// A cordoned host waits for its budget to allow the stop, so its minions must serve until then.
/// A failed host's minions are left to their announcements: they may be well and the report of
/// the failure wrong, and refusing them all could leave a service without any.
const fn is_leaving(stage: Stage) -> bool {
    matches!(stage, Stage::Draining | Stage::Down)
}

/// What the fleet task is told, in the order of the log.
#[derive(Clone, Debug)]
pub(crate) enum Applied {
    /// This node leads from now on; the state as of now.
    Lead(Box<State>),
    /// A command was applied while this node led.
    Command {
        /// Its place in the log.
        index: Index,
        /// The command.
        command: Arc<Command>,
        /// What it was answered with.
        reply: Reply,
    },
    /// This node doesn't lead any more.
    Follow,
}
