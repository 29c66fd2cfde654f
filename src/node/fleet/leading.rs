//! What there is only while this node leads: a copy of the state, and the decisions about it.

use std::time::Duration;

use tokio::sync::mpsc;

use super::{
    facts,
    hosts::Hosts,
    jobs::{self, Jobs},
    platform::{Platform, Told},
    quiet::Holders,
};
use crate::{
    adapters::metrics::Metrics,
    api::view::{Explanation, ServiceStatus},
    core::{
        consensus::Index,
        dispatch::Announcement,
        fleet::placement::Event as Fact,
        state::{Command, Event, Reply, State},
        types::{HostId, JobId, Now},
    },
};

/// How often the platform is asked what changed.
const REPORT: Duration = Duration::from_millis(250);

/// A leader's decisions.
#[derive(Debug)]
pub(super) struct Leading {
    state: State,
    jobs: Jobs,
    hosts: Hosts,
    /// When the platform was last asked what changed.
    asked: Option<Now>,
    /// Whether it still owes the answer. It is asked one question at a time, for an answer that
    /// another overtook would show a host as it was before.
    owed: bool,
}

impl Leading {
    /// Takes over.
    pub(super) fn adopt(state: State, now: Now, platform: &Platform) -> Self {
        let mut jobs = Jobs::default();
        jobs.adopt(&state, now);
        jobs::inherit(&state, platform);
        let hosts = Hosts::adopt(&state, now);
        Self {
            state,
            jobs,
            hosts,
            asked: None,
            owed: false,
        }
    }

    /// Takes in a command that was applied.
    pub(super) fn applied(&mut self, now: Now, index: Index, command: &Command, reply: &Reply) {
        self.state.apply(index, command);
        let refused = reply.is_refused();
        self.jobs.applied(&self.state, now, index, command, refused);
        self.hosts.applied(&self.state, now, command, refused);
    }

    /// A decision could not be committed.
    pub(super) fn failed(&mut self, now: Now, event: &Event) {
        self.jobs.refused(now, event);
        self.hosts.refused(now, event);
    }

    /// Takes in what the platform says.
    pub(super) fn report(&mut self, now: Now, told: &Told) {
        if self.asked != Some(told.asked) {
            // It answers a question that this node asked when it led before.
            return;
        }
        self.owed = false;
        if let Some(report) = &told.report {
            self.hosts.report(&self.state, now, &report.hosts);
            self.jobs.report(&self.state, now, report);
        }
    }

    /// Takes in what nodes heard of minions.
    pub(super) fn heard(&mut self, now: Now, said: &[Announcement]) {
        for announcement in said {
            self.hosts.heard(now, announcement);
        }
    }

    /// Looks at time.
    pub(super) fn tick(&mut self, now: Now, holders: &Holders) {
        self.hosts.tick(&self.state, now, holders);
        let mut due = self.hosts.placement(&self.state, now);
        due.push(Fact::Tick);
        self.jobs.step(now, due);
    }

    /// Commits and sends what was decided, and asks the platform what changed.
    pub(super) fn carry_out(
        &mut self,
        now: Now,
        platform: &Platform,
        reports: &mpsc::UnboundedSender<Told>,
    ) {
        self.jobs.carry_out(platform);
        self.hosts.carry_out(&self.state, platform);
        if !self.owed && self.asked.is_none_or(|asked| now >= asked + REPORT) {
            self.asked = Some(now);
            self.owed = true;
            platform.report(now, self.jobs.cursor(), reports.clone());
        }
    }

    /// Shows moves, budgets and buffers.
    pub(super) fn gauge(&mut self, metrics: &Metrics) {
        self.jobs.count(metrics);
        self.hosts.gauge(&self.state, metrics);
    }

    /// How each service stands against its budget.
    pub(super) fn services(&self) -> Vec<ServiceStatus> {
        self.hosts.services(&self.state)
    }

    /// Hosts held idle by all pools together.
    pub(super) fn buffer(&self) -> u32 {
        let buffers = facts::buffers(&self.state).into_iter();
        let sum: i64 = buffers.map(|(_, hosts)| hosts.max(0)).sum();
        u32::try_from(sum).unwrap_or(u32::MAX)
    }

    /// Adds what placement knows of a job.
    pub(super) fn explain_job(&self, told: Explanation, job: JobId) -> Explanation {
        self.jobs.explain(told, job)
    }

    /// Adds what the engine of pools knows of a host.
    pub(super) fn explain_host(&self, told: Explanation, host: &HostId, now: Now) -> Explanation {
        self.hosts.explain(told, host, now)
    }
}
