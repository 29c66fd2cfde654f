//! Decides whether the replicated state has room for what is handed in, before it is proposed.
//!
//! What is accepted stays in the memory of each control node, and is read from the log by each process that starts
//! again. So what can't be kept is refused at once. What is proposed and not applied yet counts as kept.

use std::time::Duration;

use super::request::Refused;
use crate::core::{
    types::Now,
    workload::{
        command::{AgentRecord, Command, WaveRecord},
        footprint::{Budget, Footprint, agent_bytes, job_bytes, wave_bytes},
        spec::JobSpec,
    },
};

/// The time over which the rate is averaged at which memory becomes free.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// The least and the most that a refused caller is told to wait.
const WAITS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));
/// What it is told while no memory has become free.
const USUAL_WAIT: Duration = Duration::from_secs(5);

/// Why a job isn't kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum NoRoom {
    /// Not now.
    Full(Refused),
    /// Never, however little is kept otherwise.
    TooLarge(String),
}

/// The memory that the replicated state takes and may take.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StateMemory {
    budget: Budget,
    /// The bytes of what is proposed and not applied yet.
    proposed: u64,
    /// The bytes of jobs that recently became free, and when that was last updated.
    freed: (f64, Now),
}

impl StateMemory {
    pub(super) fn new(budget: Budget) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// Checks that a job can be kept.
    pub(super) fn check_job(
        &self,
        now: Now,
        held: Footprint,
        spec: &JobSpec,
    ) -> Result<(), NoRoom> {
        let (bytes, most) = (job_bytes(spec), self.budget.jobs);
        if bytes > most {
            let reason = format!(
                "the job takes {bytes} bytes of memory, and at most {most} can be kept; split it or shorten its texts"
            );
            return Err(NoRoom::TooLarge(reason));
        }
        let jobs = held.jobs + self.proposed + bytes;
        let all = jobs + held.others;
        let lacking = jobs
            .saturating_sub(most)
            .max(all.saturating_sub(self.budget.total));
        if lacking == 0 {
            return Ok(());
        }
        Err(NoRoom::Full(Refused::Memory(self.wait(now, lacking))))
    }

    /// Checks that the record of an agent can be kept, in place of the one that is known.
    pub(super) fn check_agent(
        &self,
        held: Footprint,
        known: Option<&AgentRecord>,
        record: &AgentRecord,
    ) -> Result<(), Refused> {
        let more = agent_bytes(record).saturating_sub(known.map_or(0, agent_bytes));
        self.check(held, more)
    }

    /// Checks that a wave can be kept.
    pub(super) fn check_wave(&self, held: Footprint, wave: &WaveRecord) -> Result<(), Refused> {
        self.check(held, wave_bytes(wave))
    }

    fn check(&self, held: Footprint, bytes: u64) -> Result<(), Refused> {
        let all = held.total() + self.proposed + bytes;
        let fits = bytes == 0 || all <= self.budget.total;
        fits.then_some(()).ok_or(Refused::Memory(USUAL_WAIT))
    }

    /// Notes that a command is proposed.
    pub(super) fn propose(&mut self, command: &Command) {
        self.proposed += command_bytes(command);
    }

    /// Notes that a proposed command was applied or rejected.
    pub(super) fn settle(&mut self, command: &Command) {
        self.proposed = self.proposed.saturating_sub(command_bytes(command));
    }

    /// Forgets what is proposed: another node leads.
    pub(super) fn forget_proposed(&mut self) {
        self.proposed = 0;
    }

    /// Notes that bytes of jobs became free.
    pub(super) fn record_freed(&mut self, now: Now, bytes: u64) {
        self.freed = (self.recently_freed(now) + bytes as f64, now);
    }

    fn recently_freed(&self, now: Now) -> f64 {
        let (bytes, at) = self.freed;
        let age = now.saturating_sub(at).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        bytes * (-age).exp()
    }

    /// How long it takes until so many bytes are free, at the rate of the last seconds.
    fn wait(&self, now: Now, lacking: u64) -> Duration {
        let rate = self.recently_freed(now) / RATE_WINDOW.as_secs_f64();
        if rate < 1.0 {
            return USUAL_WAIT;
        }
        let wait = Duration::try_from_secs_f64(lacking as f64 / rate);
        wait.unwrap_or(WAITS.1).clamp(WAITS.0, WAITS.1)
    }
}

/// The bytes that a command adds to the state at most.
fn command_bytes(command: &Command) -> u64 {
    match command {
        Command::Submit(submission) => job_bytes(&submission.spec),
        Command::Agent(record) => agent_bytes(record),
        Command::Wave(wave) => wave_bytes(wave),
        _ => 0,
    }
}
