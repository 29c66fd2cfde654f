//! Placement: which job starts on which host, and which makes room.
//!
//! A [`Placer`] runs on the leader. It is told facts of the shared state as [`Event`]s and makes
//! [`Decision`]s, which the leader commits first and carries out then. It keeps no hard fact of
//! its own: a new leader makes an empty one and feeds it hosts, quotas, jobs and their latest
//! attempts ([`Event::Adopt`]) in one batch.
//!
//! What it decides by:
//!
//! - A host must be open and have the job's *estimated* need left in every dimension. Estimates
//!   come from what jobs of the same service and team used; declared sizes are only a prior.
//! - Jobs of a service are spread over data centres, then racks; among equals the tightest host
//!   is taken, so that large leftovers stay whole. Moved jobs prefer hosts that are due last for
//!   maintenance, and short jobs those due next, because they end before it.
//! - A team's started jobs stay within its quota.
//! - Urgent jobs go first. Without room for one, ordinary jobs are displaced that can be
//!   checkpointed or may run twice, those whose stop loses the least work.
//! - A job that fits no host or quota at all gets the reason at once and leaves the queue.
//!
//! What it never does: start a job whose last attempt may have run and may not run twice; start
//! a job while another attempt may be live; start anything on a host of another generation.
//!
//! Cost: an event's work doesn't grow with the fleet, but for the log of index depth; see
//! `docs/PLACEMENT.md` for measurements.
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::core::{
//!     fleet::{jobs::JobSpec, placement::{Decision, Event, HostFacts, Placer, Rules}},
//!     types::Resources,
//! };
//!
//! let size = |cores: u64| Resources { millicores: cores * 1000, memory: cores << 30, accelerators: 0 };
//! let mut placer = Placer::new(Rules::default());
//! let now = Duration::ZERO;
//! placer.step(now, Event::HostJoined(HostFacts {
//!     host: "worker-1".into(),
//!     pool: "sensors".into(),
//!     rack: "rack-1".into(),
//!     data_centre: "ikeja".into(),
//!     resources: size(32),
//!     generation: 1,
//! }));
//! placer.step(now, Event::TeamQuota { team: "firmware".into(), quota: size(16) });
//! let spec = JobSpec::new("sensors".into(), "growth".into(), "firmware".into(), size(4));
//! let decisions = placer.step(now, Event::JobSubmitted { job: 1, spec });
//! assert!(matches!(decisions[..], [Decision::Start { job: 1, attempt: 1, .. }]));
//! ```

mod aside;
mod choose;
mod displace;
mod ends;
mod free;
mod host;
mod hosts;
mod job;
mod jobs;
mod names;
mod pool;
mod queue;
mod seam;
mod settle;
mod spread;
mod team;
mod usage;

use std::collections::{BTreeSet, VecDeque};

pub use self::seam::{
    Adopted, AdoptedPhase, Decision, Due, Event, Guards, HostFacts, HostStage, Rules, Standing,
};
use self::{
    host::{Access, Host},
    job::Job,
    names::Names,
    pool::Pool,
    spread::Spread,
    team::Team,
};
use super::jobs::{Health, HealthRules, Learner};
use crate::core::types::{HostId, JobId, Map, Now, Resources};

type HostNo = u32;
type PoolNo = u32;
type TeamNo = u32;

/// Something that happens at a time that was set earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// An urgent job's room should have been made by now.
    Claim(JobId),
    /// A paused job may be tried again.
    Pause(JobId),
    /// A host that was set aside may be tried again.
    Probation(HostNo),
}

/// What a host holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLoad {
    /// What it offers.
    pub total: Resources,
    /// What its jobs have reserved.
    pub reserved: Resources,
    /// Of the reserved, what urgent work may displace.
    pub yielding: Resources,
    /// Of the reserved, what was told to stop.
    pub leaving: Resources,
    /// What is kept for urgent jobs that wait for others to stop.
    pub promised: Resources,
    /// How many jobs it has.
    pub jobs: usize,
    /// Whether any job may start there; false too while it is set aside or on trial.
    pub open: bool,
}

/// The placement of one fleet.
#[derive(Clone, Debug)]
pub struct Placer {
    rules: Rules,
    now: Now,
    hosts: Vec<Option<Host>>,
    host_numbers: Map<HostId, HostNo>,
    vacant: Vec<HostNo>,
    pools: Vec<Pool>,
    pool_names: Names,
    teams: Vec<Team>,
    team_names: Names,
    racks: Names,
    centres: Names,
    services: Names,
    kinds: Map<(u32, TeamNo), u32>,
    jobs: Map<JobId, Job>,
    spread: Spread,
    learner: Learner,
    health: Health,
    timers: BTreeSet<(Now, Timer)>,
    /// Pools with live lines.
    dirty: BTreeSet<PoolNo>,
    /// Jobs that came to a queue in this step.
    fresh: Vec<JobId>,
    /// Cancelled jobs that haven't been told to stop.
    stops: VecDeque<JobId>,
    out: Vec<Decision>,
}

impl Placer {
    /// An empty fleet under these rules.
    pub fn new(rules: Rules) -> Self {
        let health = if rules.guards.bound {
            rules.health
        } else {
            HealthRules {
                spread: usize::MAX,
                ..rules.health
            }
        };
        Self {
            rules,
            now: Now::ZERO,
            hosts: Vec::new(),
            host_numbers: Map::default(),
            vacant: Vec::new(),
            pools: Vec::new(),
            pool_names: Names::default(),
            teams: Vec::new(),
            team_names: Names::default(),
            racks: Names::default(),
            centres: Names::default(),
            services: Names::default(),
            kinds: Map::default(),
            jobs: Map::default(),
            spread: Spread::default(),
            learner: Learner::default(),
            health: Health::new(health),
            timers: BTreeSet::new(),
            dirty: BTreeSet::new(),
            fresh: Vec::new(),
            stops: VecDeque::new(),
            out: Vec::new(),
        }
    }

    /// Takes in one fact and decides.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Decision> {
        self.step_all(now, [event])
    }

    /// Takes in facts that belong together and decides once, after the last.
    ///
    /// Use it for correlated losses, so that jobs of one lost host aren't started on the next,
    /// and for a new leader's first facts.
    pub fn step_all(&mut self, now: Now, events: impl IntoIterator<Item = Event>) -> Vec<Decision> {
        self.now = self.now.max(now);
        self.fire();
        for event in events {
            self.apply(event);
        }
        self.settle();
        std::mem::take(&mut self.out)
    }

    /// Why a job isn't running, or where it runs; `None` if it is finished or unknown.
    pub fn explain(&self, job: JobId) -> Option<Standing> {
        let known = self.jobs.get(&job)?;
        Some(self.standing(known))
    }

    /// What a host holds; `None` if it isn't in the fleet.
    pub fn load(&self, host: &HostId) -> Option<HostLoad> {
        let no = *self.host_numbers.get(host)?;
        let host = self.host(no)?;
        Some(HostLoad {
            total: host.total,
            reserved: host.reserved,
            yielding: host.yielding,
            leaving: host.leaving,
            promised: host.promised,
            jobs: host.jobs.len(),
            open: host.access() == Access::Open,
        })
    }

    /// How many accepted jobs aren't finished.
    pub fn unfinished(&self) -> usize {
        self.jobs.len()
    }

    /// How many cancelled jobs haven't been told to stop yet. While there are any, step with
    /// [`Event::Tick`] again as soon as the last decisions are carried out.
    pub fn backlog(&self) -> usize {
        self.stops.len()
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::HostJoined(facts) => self.host_joined(&facts),
            Event::HostStage { host, stage } => self.host_stage(&host, stage),
            Event::HostLost { host, generation } => self.host_lost(&host, generation),
            Event::HostDue { host, due } => self.host_due(&host, due),
            Event::Displace { host } => self.host_drained(&host),
            Event::JobSubmitted { job, spec } => self.job_submitted(job, &spec),
            Event::Adopt(adopted) => self.job_adopted(&adopted),
            Event::JobCancelled { job } => self.job_cancelled(job),
            Event::AttemptBegan { job, attempt } => self.attempt_began(job, attempt),
            Event::AttemptEnded { job, attempt, end } => self.attempt_ended(job, attempt, end),
            Event::CheckpointTaken { job, attempt } => self.checkpoint_taken(job, attempt),
            Event::Usage {
                host: _,
                job,
                attempt,
                used,
            } => self.usage_reported(job, attempt, &used),
            Event::TeamQuota { team, quota } => self.quota_set(&team, quota),
        }
    }

    fn fire(&mut self) {
        while let Some(&(at, timer)) = self.timers.first() {
            if at > self.now {
                return;
            }
            self.timers.pop_first();
            match timer {
                Timer::Claim(job) => self.claim_expired(job, at),
                Timer::Pause(job) => self.pause_ended(job),
                Timer::Probation(host) => self.probation_ended(host, at),
            }
        }
    }

    fn host(&self, no: HostNo) -> Option<&Host> {
        self.hosts.get(no as usize)?.as_ref()
    }

    /// Changes a host, keeps the indexes true, and offers room that appeared.
    fn change(&mut self, no: HostNo, change: impl FnOnce(&mut Host)) {
        let Some(host) = self.hosts.get_mut(no as usize).and_then(Option::as_mut) else {
            return;
        };
        let pool = &mut self.pools[host.pool as usize];
        let before = host.offer();
        pool.unindex(no, host);
        change(host);
        pool.index(no, host);
        let Some(offer) = host.offer() else {
            return;
        };
        let grew = before.is_none_or(|before| offer.exceeds(&before));
        if grew && pool.queue.offer(no, &offer) {
            self.dirty.insert(host.pool);
        }
    }
}
