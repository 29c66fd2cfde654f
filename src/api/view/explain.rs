//! Why something isn't happening.

use serde::{Deserialize, Serialize};

use crate::core::{
    state::{Intent, Phase, Progress, Stage, State},
    types::{HostId, JobId},
};

/// Why a request was refused, a job isn't running or a host isn't draining.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Explanation {
    /// What it is about, such as `job 12`.
    pub subject: String,
    /// What is known, the most telling first.
    pub facts: Vec<Fact>,
}

/// One thing that is known.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Fact {
    /// A stable label, the one of metrics and logs where there is one.
    pub code: String,
    /// The same in words.
    pub text: String,
}

impl Explanation {
    /// One without facts.
    pub fn new(subject: impl Into<String>) -> Self {
        let subject = subject.into();
        Self {
            subject,
            facts: Vec::new(),
        }
    }

    /// Adds a fact.
    #[must_use]
    pub fn fact(mut self, code: impl Into<String>, text: impl Into<String>) -> Self {
        let (code, text) = (code.into(), text.into());
        self.facts.push(Fact { code, text });
        self
    }

    /// What the state says of a host, if it is declared.
    pub fn of_host(state: &State, id: &HostId) -> Option<Self> {
        let host = state.hosts().get(id)?;
        let mut told = Self::new(format!("host {id}"));
        told = match &host.intent {
            Intent::Serve => told.fact("serve", "nobody asked for it to leave"),
            Intent::Drain => told.fact("drain", "an operator wants it drained"),
            Intent::Move { pool } => told.fact("move", format!("it is meant to join pool {pool}")),
        };
        told = told.fact("stage", stage(host.stage));
        if state.configuration().in_force().is_none() {
            told = told.fact(
                "not_in_force",
                "a change of configuration is being rolled out; no planned stop begins until it \
                 is in force",
            );
        }
        let jobs: Vec<_> = state
            .jobs()
            .on_host(id)
            .map(|job| job.to_string())
            .collect();
        if !jobs.is_empty() {
            let text = format!("it is held by jobs {}", jobs.join(", "));
            told = told.fact("busy", text);
        }
        Some(told.wave(state, id))
    }

    /// What the state says of a job, if it is remembered.
    pub fn of_job(state: &State, id: JobId) -> Option<Self> {
        let job = state.jobs().get(id)?;
        let told = Self::new(format!("job {id}"));
        let told = match &job.phase {
            Phase::Waiting => told.waiting(state, id),
            Phase::Starting(right) => told.fact(
                "starting",
                format!("attempt {} may start on {}", right.attempt, right.host),
            ),
            Phase::Running(right) => told.fact(
                "running",
                format!("attempt {} runs on {}", right.attempt, right.host),
            ),
            Phase::Unresolved(right) => told.fact(
                "unresolved",
                format!(
                    "attempt {} on {} may have begun, its end isn't known, and the job may not run \
                     twice; find out and use `egretpin job resolve`",
                    right.attempt, right.host
                ),
            ),
            Phase::Ended { result, .. } => told.fact("ended", format!("it ended: {result:?}")),
        };
        if job.cancelled {
            return Some(told.fact("cancelled", "an operator wants it ended"));
        }
        Some(told)
    }

    fn waiting(self, state: &State, id: JobId) -> Self {
        let Some(job) = state.jobs().get(id) else {
            return self;
        };
        let told = self.fact("waiting", format!("it has had {} attempts", job.attempts));
        let declaration = state.configuration().declaration();
        let Some(service) = declaration.services.get(&job.spec.service) else {
            return told;
        };
        let hosts = state.hosts().of_pool(&service.pool);
        let working = hosts.filter(|(_, host)| host.stage.takes_work()).count();
        let told = told.fact(
            "pool",
            format!("{working} hosts of pool {} take work", service.pool),
        );
        let used = state.jobs().used(&job.spec.team).plus(&job.spec.resources);
        match declaration.teams.get(&job.spec.team) {
            Some(team) if !team.quota.fits(&used) => told.fact(
                "over_quota",
                format!(
                    "team {} uses its quota; it waits for others to end",
                    job.spec.team
                ),
            ),
            _ => told,
        }
    }

    fn wave(self, state: &State, id: &HostId) -> Self {
        let open = state
            .waves()
            .iter()
            .filter(|(_, wave)| wave.ended.is_none());
        let mut told = self;
        for (number, wave) in open {
            let Some(progress) = wave.hosts.get(id) else {
                continue;
            };
            let text = match progress {
                Progress::Waiting => "it waits for its turn in",
                Progress::Stopped => "it is being maintained by",
                Progress::Missing => "it didn't come back in time in",
                Progress::Maintained | Progress::Skipped => "it is done in",
            };
            told = told.fact("wave", format!("{text} wave {number}"));
            if wave.paused {
                told = told.fact("paused", format!("an operator paused wave {number}"));
            }
            if wave.lost {
                told = told.fact("lost", format!("an unplanned loss paused wave {number}"));
            }
        }
        told
    }
}

const fn stage(stage: Stage) -> &'static str {
    match stage {
        Stage::InService => "it takes work",
        Stage::Cordoned => "it takes no new work",
        Stage::Draining => "what runs on it is being moved or awaited",
        Stage::Down => "it is stopped on purpose",
        Stage::Soaking => "it is back and must stay up before it counts",
        Stage::Failed => "it was lost without a plan",
    }
}
