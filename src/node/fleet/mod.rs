//! The fleet task: on the leader, decides where jobs run and which hosts stop, and carries it out
//! on the platform.
//!
//! The task keeps a copy of the shared state, in step with the log, and feeds each change to the
//! decisions. What they decide is committed first and carried out when the commit is seen, so
//! that a decision of a deposed leader is refused by the state machine and never reaches the
//! platform. On every node the task tells the leader which minions the node hears.

mod facts;
mod hosts;
mod jobs;
mod leading;
mod minions;
mod platform;
mod quiet;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

use self::{leading::Leading, platform::Platform, quiet::Holders};
use super::{
    clock::Clock,
    control::{Applied, Control},
    frame::Frame,
};
use crate::{
    adapters::{mesh::Mesh, metrics::Metrics},
    api::view::{Explanation, Forecast, ServiceStatus},
    core::{
        declaration::Declaration,
        dispatch::Announcement,
        types::{DataCentreId, HostId, JobId, MinionId, NodeId, Now, PresetId},
    },
};

/// How often time is told to the decisions.
const TICK: Duration = Duration::from_millis(100);
/// How often a node tells the leader which minions it hears, and learns who holds a lease.
const TELL: Duration = Duration::from_millis(500);

/// What the fleet task speaks to.
pub(crate) struct Ports {
    /// This node.
    pub(crate) node: NodeId,
    /// The nodes that settings name.
    pub(crate) nodes: Arc<[(NodeId, DataCentreId)]>,
    /// The platform's base URL; without one this node decides nothing when it leads.
    pub(crate) platform: Option<String>,
    /// The control task.
    pub(crate) control: Control,
    /// The other nodes.
    pub(crate) mesh: Arc<Mesh>,
    /// Counters and gauges.
    pub(crate) metrics: Arc<Metrics>,
    /// The clock that all tasks of this node share.
    pub(crate) clock: Clock,
    /// What the log applies.
    pub(crate) applied: mpsc::UnboundedReceiver<Applied>,
    /// The announcements that this node heard itself.
    pub(crate) heard: mpsc::UnboundedReceiver<Announcement>,
    /// The announcements that other nodes heard.
    pub(crate) told: mpsc::UnboundedReceiver<Vec<Announcement>>,
    /// What operators may ask of the decisions.
    pub(crate) insight: Insight,
}

/// What the decisions of a leader say of themselves; empty on every other node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Insight(Arc<Mutex<Option<Leading>>>);

impl Insight {
    /// How each service stands against its budget.
    pub(crate) fn services(&self) -> Vec<ServiceStatus> {
        self.with(Leading::services).unwrap_or_default()
    }

    /// Hosts held idle by all pools together.
    pub(crate) fn buffer(&self) -> Option<u32> {
        self.with(Leading::buffer)
    }

    /// Why a job isn't running.
    pub(crate) fn job(&self, told: Explanation, job: JobId) -> Explanation {
        self.with(|leading| leading.explain_job(told.clone(), job))
            .unwrap_or(told)
    }

    /// Why a host isn't draining or returning.
    pub(crate) fn host(&self, told: Explanation, host: &HostId, now: Now) -> Explanation {
        self.with(|leading| leading.explain_host(told.clone(), host, now))
            .unwrap_or(told)
    }

    /// What a declaration and a preset would do; the declaration that stands if none is given.
    pub(crate) fn forecast(
        &self,
        next: Option<&Declaration>,
        preset: Option<&PresetId>,
    ) -> Option<Forecast> {
        self.with(|leading| leading.forecast(next, preset))
    }

    fn with<T>(&self, ask: impl FnOnce(&Leading) -> T) -> Option<T> {
        let leading = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        leading.as_ref().map(ask)
    }

    fn change<T>(&self, change: impl FnOnce(&mut Option<Leading>) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Starts the task. It ends when the control task ends.
pub(crate) fn spawn(ports: Ports) {
    let (failed, failures) = mpsc::unbounded_channel();
    let platform = ports.platform.as_deref();
    let platform = platform
        .map(|base| Platform::new(base, ports.control.clone(), ports.clock, failed.clone()));
    let task = Task {
        platform,
        heard: BTreeMap::new(),
        told: None,
        holders: Holders::default(),
        ports,
    };
    // Kept open, so that a node without a platform doesn't take its end for an event.
    tokio::spawn(task.run(failures, failed));
}

struct Task {
    platform: Option<Platform>,
    /// The last announcement of each minion that this node heard since it last told the leader.
    heard: BTreeMap<MinionId, Announcement>,
    told: Option<Now>,
    holders: Holders,
    ports: Ports,
}

impl Task {
    async fn run(
        mut self,
        mut failures: mpsc::UnboundedReceiver<crate::core::state::Event>,
        _open: mpsc::UnboundedSender<crate::core::state::Event>,
    ) {
        let (reports, mut reported) = mpsc::unbounded_channel();
        let insight = self.ports.insight.clone();
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                applied = self.ports.applied.recv() => match applied {
                    Some(applied) => insight.change(|leading| self.follow(leading, applied)),
                    None => return,
                },
                Some(report) = reported.recv() => insight.change(|leading| {
                    let now = self.ports.clock.now();
                    leading.iter_mut().for_each(|leading| leading.report(now, &report));
                }),
                Some(event) = failures.recv() => insight.change(|leading| {
                    let now = self.ports.clock.now();
                    leading.iter_mut().for_each(|leading| leading.failed(now, &event));
                }),
                Some(said) = self.ports.heard.recv() => {
                    self.heard.insert(said.minion.clone(), said);
                }
                Some(said) = self.ports.told.recv() => insight.change(|leading| {
                    let now = self.ports.clock.now();
                    leading.iter_mut().for_each(|leading| leading.heard(now, &said));
                }),
                _ = tick.tick() => {
                    self.tell().await;
                    insight.change(|leading| self.tick(leading));
                }
            }
            if let Some(platform) = &self.platform {
                insight.change(|leading| {
                    let now = self.ports.clock.now();
                    if let Some(leading) = leading {
                        leading.carry_out(now, platform, &reports);
                    }
                });
            }
        }
    }

    fn follow(&self, leading: &mut Option<Leading>, applied: Applied) {
        let now = self.ports.clock.now();
        match applied {
            Applied::Lead(state) => {
                if let Some(platform) = &self.platform {
                    *leading = Some(Leading::adopt(*state, now, platform));
                }
            }
            Applied::Command {
                index,
                command,
                reply,
            } => {
                if let Some(leading) = leading {
                    leading.applied(now, index, &command, &reply);
                }
            }
            Applied::Follow => *leading = None,
        }
    }

    fn tick(&self, leading: &mut Option<Leading>) {
        if let Some(leading) = leading {
            leading.tick(self.ports.clock.now(), &self.holders);
            leading.gauge(&self.ports.metrics);
        }
    }

    /// Tells the leader which minions this node heard since it last did.
    async fn tell(&mut self) {
        let now = self.ports.clock.now();
        if self.told.is_some_and(|told| now < told + TELL) {
            return;
        }
        self.told = Some(now);
        let nodes = Arc::clone(&self.ports.nodes);
        let looked = self.ports.control.look(move |view| {
            let holds = |node| view.holders.iter().any(|(holder, _)| *holder == node);
            let missing = nodes.iter().filter(|(node, _)| !holds(*node));
            let holders = Holders {
                known: nodes.iter().map(|(_, centre)| centre.clone()).collect(),
                missing: missing.map(|(_, centre)| centre.clone()).collect(),
            };
            (view.leader, holders)
        });
        let Some((Some(leader), holders)) = looked.await else {
            return;
        };
        self.holders = holders;
        let said: Vec<_> = std::mem::take(&mut self.heard).into_values().collect();
        if said.is_empty() {
            return;
        }
        if leader == self.ports.node {
            self.ports.insight.change(|leading| {
                leading
                    .iter_mut()
                    .for_each(|leading| leading.heard(now, &said));
            });
        } else if !self.ports.mesh.send(leader, Frame::Heard(said).encode()) {
            self.ports.metrics.dropped.inc();
        }
    }
}
