//! Jobs on the leader: the placer, fed by the log, and its decisions, carried out through it.

use std::collections::BTreeMap;

use super::{facts, platform::Platform};
use crate::{
    adapters::{
        metrics::Metrics,
        platform::message::{Report, Start, Task, TaskReport, TaskState},
    },
    api::view::Explanation,
    core::{
        consensus::Index,
        fleet::{
            jobs::StopReason,
            placement::{Decision, Event as Fact, Placer, Rules, Standing},
        },
        state::{Body, Command, End, Event, Phase, State},
        types::{JobId, Now, Resources},
    },
};

/// The placer and what is under way.
#[derive(Debug)]
pub(super) struct Jobs {
    placer: Placer,
    /// What was decided and not carried out yet, in order.
    decided: Vec<Decision>,
    /// Starts whose rights were committed.
    granted: Vec<Start>,
    /// Ends that the platform reported.
    ended: Vec<(Task, End)>,
    /// What each start sets aside; the committed right doesn't say.
    reserved: BTreeMap<JobId, Resources>,
    cursor: u64,
    /// Jobs displaced and not yet counted in the metrics.
    moves: u64,
}

impl Default for Jobs {
    fn default() -> Self {
        Self {
            placer: Placer::new(Rules::default()),
            decided: Vec::new(),
            granted: Vec::new(),
            ended: Vec::new(),
            reserved: BTreeMap::new(),
            cursor: 0,
            moves: 0,
        }
    }
}

/// Settles the starts that an earlier leader may or may not have sent.
pub(super) fn inherit(state: &State, platform: &Platform) {
    for (job, known) in state.jobs().iter() {
        if let Phase::Starting(right) = &known.phase {
            let attempt = right.attempt;
            platform.settle(Task { job, attempt });
        }
    }
}

impl Jobs {
    /// Takes over what the log says when this node begins to lead.
    pub(super) fn adopt(&mut self, state: &State, now: Now) {
        let jobs = state
            .jobs()
            .iter()
            .flat_map(|(id, _)| facts::job(state, id));
        let all: Vec<_> = facts::fleet(state).into_iter().chain(jobs).collect();
        self.step(now, all);
    }

    /// Takes in a command that was applied, after the copy of the state took it.
    pub(super) fn applied(
        &mut self,
        state: &State,
        now: Now,
        index: Index,
        command: &Command,
        refused: bool,
    ) {
        let facts = match &command.body {
            Body::System(event) if refused => return self.refused(now, event),
            _ if refused => return,
            Body::Operator { request, .. } => facts::request(state, index, request),
            Body::System(event) => self.happened(state, index, event),
        };
        self.step(now, facts);
    }

    /// Tells the placer facts and keeps what it decides.
    pub(super) fn step(&mut self, now: Now, facts: impl IntoIterator<Item = Fact>) {
        let decisions = self.placer.step_all(now, facts);
        self.decided.extend(decisions);
    }

    /// The cursor of the next report.
    pub(super) fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Takes in what the platform says.
    pub(super) fn report(&mut self, state: &State, now: Now, report: &Report) {
        if report.cursor < self.cursor {
            return;
        }
        self.cursor = report.cursor;
        for task in &report.tasks {
            self.task(state, now, task);
        }
    }

    /// Commits and sends what was decided.
    pub(super) fn carry_out(&mut self, platform: &Platform) {
        for decision in std::mem::take(&mut self.decided) {
            self.decide(platform, decision);
        }
        for start in self.granted.drain(..) {
            platform.start(start);
        }
        for (task, end) in self.ended.drain(..) {
            platform.end(task, end);
        }
    }

    /// Counts what was displaced since the last time.
    pub(super) fn count(&mut self, metrics: &Metrics) {
        metrics.moves.inc_by(std::mem::take(&mut self.moves));
    }

    /// Adds where placement has a job.
    pub(super) fn explain(&self, told: Explanation, job: JobId) -> Explanation {
        match self.placer.explain(job) {
            Some(Standing::Waiting(why)) => told.fact(why.label(), "placement: it waits"),
            Some(Standing::Impossible(why)) => {
                told.fact(why.label(), "placement: it can't run as things stand")
            }
            Some(Standing::Unresolved(why)) => told.fact(
                why.label(),
                "placement: it isn't started again until it is resolved",
            ),
            Some(Standing::Stopping(host, why)) => told.fact(
                why.label(),
                format!("placement: it is being stopped on {host}"),
            ),
            _ => told,
        }
    }

    fn decide(&mut self, platform: &Platform, decision: Decision) {
        self.moves += u64::from(is_move(&decision));
        match decision {
            Decision::Start {
                job,
                attempt,
                host,
                generation,
                reserved,
            } => {
                self.reserved.insert(job, reserved);
                platform.commit(Event::StartRight {
                    job,
                    host,
                    generation,
                    attempt,
                });
            }
            Decision::Checkpoint { job, attempt, .. } => platform.checkpoint(Task { job, attempt }),
            Decision::Stop { job, attempt, .. } => platform.stop(Task { job, attempt }),
            Decision::Throttle {
                job,
                attempt,
                millicores,
                ..
            } => platform.throttle(Task { job, attempt }, millicores),
            Decision::Impossible { job, reason } => {
                log::info!(job, reason = reason.label(); "job can't run as things stand");
            }
            Decision::Unresolved { job, reason } => {
                log::warn!(job, reason = reason.label(); "job is unresolved");
            }
            Decision::SetAside { host, .. } => log::warn!(host:%; "host set aside"),
            Decision::Readmit { host } => log::info!(host:%; "host tried again"),
            Decision::Waiting { .. } => {}
        }
    }

    /// A start that the log refused never began.
    pub(super) fn refused(&mut self, now: Now, event: &Event) {
        if let Event::StartRight { job, attempt, .. } = event {
            let end = facts::end(End::NeverBegan);
            let (job, attempt) = (*job, *attempt);
            self.step(now, [Fact::AttemptEnded { job, attempt, end }]);
        }
    }

    fn happened(&mut self, state: &State, index: Index, event: &Event) -> Vec<Fact> {
        match event {
            Event::StartRight {
                job,
                host,
                generation,
                attempt,
            } => {
                self.granted.push(Start {
                    job: *job,
                    attempt: *attempt,
                    host: host.clone(),
                    generation: *generation,
                    right: index,
                    reserved: self.reserved.remove(job).unwrap_or_default(),
                });
                Vec::new()
            }
            Event::JobBegan { job, attempt } => vec![Fact::AttemptBegan {
                job: *job,
                attempt: *attempt,
            }],
            Event::JobEnded { job, attempt, end } => vec![Fact::AttemptEnded {
                job: *job,
                attempt: *attempt,
                end: facts::end(*end),
            }],
            Event::HostStage { host, .. } | Event::HandOver { host, .. } => {
                facts::host(state, host)
            }
            _ => Vec::new(),
        }
    }

    fn task(&mut self, state: &State, now: Now, report: &TaskReport) {
        let Task { job, attempt } = report.task;
        let live = state.jobs().get(job).and_then(|known| known.live());
        if live.is_none_or(|right| right.attempt != attempt) {
            return;
        }
        let end = match report.state {
            TaskState::Running => {
                let (host, used) = (report.host.clone(), report.used);
                let usage = Fact::Usage {
                    host,
                    job,
                    attempt,
                    used,
                };
                self.step(now, [usage]);
                return;
            }
            TaskState::Done => End::Succeeded,
            TaskState::Failed => End::Failed,
            TaskState::Checkpointed => End::Stopped {
                checkpoint: Some(u64::from(attempt)),
            },
            TaskState::Stopped => End::Stopped { checkpoint: None },
            TaskState::Lost => End::Lost,
        };
        self.ended.push((report.task, end));
    }
}

/// Whether a decision displaces a job for the sake of others or of its host. Each attempt is told
/// to stop once.
const fn is_move(decision: &Decision) -> bool {
    let (Decision::Checkpoint { why, .. } | Decision::Stop { why, .. }) = decision else {
        return false;
    };
    matches!(why, StopReason::Displaced | StopReason::Drained)
}
