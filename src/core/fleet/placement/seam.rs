//! What goes into and comes out of placement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::{
    fleet::jobs::{AttemptEnd, HealthRules, Impossible, JobSpec, StopReason, Unresolved, Waiting},
    types::{
        Attempt, DataCentreId, Generation, HostId, JobId, Now, PoolId, RackId, Resources, TeamId,
    },
};

/// A host as the shared state knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct HostFacts {
    /// Which.
    pub host: HostId,
    /// The pool it belongs to.
    pub pool: PoolId,
    /// Its rack.
    pub rack: RackId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// What it offers to jobs.
    pub resources: Resources,
    /// Grows whenever it changes hands or comes back; older attempts are then void.
    pub generation: Generation,
}

/// Whether a host takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostStage {
    /// Jobs may be started.
    #[default]
    TakesWork,
    /// No job is started; running ones go on.
    Cordoned,
    /// It left the fleet for good; its attempts are lost.
    Gone,
}

/// When a host is next due to stop for maintenance, as the waves say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Due {
    /// Already maintained in this wave, or no wave runs.
    #[default]
    Done,
    /// In a later part of this wave.
    Late,
    /// In the next part of this wave.
    Soon,
    /// Among the next hosts.
    Next,
}

impl Due {
    /// Every variant, the one that is due last first.
    pub const ALL: [Self; 4] = [Self::Done, Self::Late, Self::Soon, Self::Next];

    /// The due of a host by its rank in a wave: 0 if the wave is done with it, else its rack's
    /// place from the end of `racks`.
    ///
    /// Ranks come in thirds, so that a host changes its due, and with it its place in the index,
    /// a few times in a wave and not each time that some rack is done.
    ///
    /// ```
    /// use egretpin::core::fleet::placement::Due;
    ///
    /// assert_eq!(Due::of_rank(0, 30), Due::Done);
    /// assert_eq!(Due::of_rank(1, 30), Due::Late);
    /// assert_eq!(Due::of_rank(30, 30), Due::Next);
    /// ```
    pub const fn of_rank(rank: u32, racks: u32) -> Self {
        let third = racks / 3;
        match rank {
            0 => Self::Done,
            _ if rank <= third => Self::Late,
            _ if rank <= 2 * third => Self::Soon,
            _ => Self::Next,
        }
    }
}

/// Where an attempt stands that an earlier leader made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdoptedPhase {
    /// Its start right is committed; it may or may not have begun.
    Starting,
    /// It began.
    Running,
    /// It may have run and has to be resolved.
    Unresolved,
}

/// An attempt that an earlier leader made.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Adopted {
    /// Which job.
    pub job: JobId,
    /// Its latest attempt.
    pub attempt: Attempt,
    /// Where that was started.
    pub host: HostId,
    /// The host's generation then.
    pub generation: Generation,
    /// Where it stands.
    pub phase: AdoptedPhase,
}

/// A fact that placement is told, in the order of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Event {
    /// Time passes; at least every second.
    Tick,
    /// A host joined, came back, or changed its pool. An older generation is ignored.
    HostJoined(HostFacts),
    /// A host takes work, or doesn't any more.
    HostStage {
        /// Which.
        host: HostId,
        /// Its new stage.
        stage: HostStage,
    },
    /// A host's leases have run out. It comes back with a newer generation.
    HostLost {
        /// Which.
        host: HostId,
        /// The generation that was lost.
        generation: Generation,
    },
    /// A host's place in the wave changed.
    HostDue {
        /// Which.
        host: HostId,
        /// When it is next due.
        due: Due,
    },
    /// Move what can be moved off a host; it takes no new work from now on.
    Displace {
        /// Which.
        host: HostId,
    },
    /// A job was accepted.
    JobSubmitted {
        /// Its number.
        job: JobId,
        /// What it is.
        spec: JobSpec,
    },
    /// An earlier leader's attempt of a submitted job, told before the first decision.
    Adopt(Adopted),
    /// A job's owner doesn't want it any more; for an unresolved job, operators settled it.
    JobCancelled {
        /// Which.
        job: JobId,
    },
    /// The platform began an attempt.
    AttemptBegan {
        /// Which job.
        job: JobId,
        /// Which attempt.
        attempt: Attempt,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Which job.
        job: JobId,
        /// Which attempt.
        attempt: Attempt,
        /// How.
        end: AttemptEnd,
    },
    /// A checkpoint was taken without a stop.
    CheckpointTaken {
        /// Which job.
        job: JobId,
        /// Which attempt.
        attempt: Attempt,
    },
    /// A worker's report of what an attempt uses; it lags.
    Usage {
        /// The worker.
        host: HostId,
        /// Which job.
        job: JobId,
        /// Which attempt.
        attempt: Attempt,
        /// What it uses.
        used: Resources,
    },
    /// A team's quota was set or changed.
    TeamQuota {
        /// Which team.
        team: TeamId,
        /// What its started jobs may have declared together.
        quota: Resources,
    },
}

/// What the leader commits and then carries out, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Decision {
    /// Commit a start right and start the job. If that can't be committed, report
    /// [`AttemptEnd::NeverBegan`].
    Start {
        /// Which job.
        job: JobId,
        /// The new attempt.
        attempt: Attempt,
        /// Where.
        host: HostId,
        /// The host's generation that the start right is bound to.
        generation: Generation,
        /// What is set aside for it there.
        reserved: Resources,
    },
    /// Take a checkpoint, then stop the attempt.
    Checkpoint {
        /// Which job.
        job: JobId,
        /// Which attempt.
        attempt: Attempt,
        /// Where it runs.
        host: HostId,
        /// Why.
        why: StopReason,
    },
    /// Stop the attempt as it is.
    Stop {
        /// Which job.
        job: JobId,
        /// Which attempt.
        attempt: Attempt,
        /// Where it runs.
        host: HostId,
        /// Why.
        why: StopReason,
    },
    /// Hold the attempt to what is set aside for it.
    Throttle {
        /// Which job.
        job: JobId,
        /// Which attempt.
        attempt: Attempt,
        /// Where it runs.
        host: HostId,
        /// Thousandths of a core.
        millicores: u64,
    },
    /// The job can never run as things stand; it is looked at again when they change.
    Impossible {
        /// Which job.
        job: JobId,
        /// Why.
        reason: Impossible,
    },
    /// The job waits.
    Waiting {
        /// Which job.
        job: JobId,
        /// For what.
        reason: Waiting,
    },
    /// The job stays visible to operators and is not started again.
    Unresolved {
        /// Which job.
        job: JobId,
        /// Why.
        reason: Unresolved,
    },
    /// The host fails what it starts and gets no work for some time.
    SetAside {
        /// Which.
        host: HostId,
        /// When it is tried again.
        until: Now,
    },
    /// The host is tried again, with one idempotent job at a time until one succeeds.
    Readmit {
        /// Which.
        host: HostId,
    },
}

/// Where a job stands, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It waits.
    Waiting(Waiting),
    /// It can never run as things stand.
    Impossible(Impossible),
    /// A start right was decided; the platform hasn't said that it began.
    Starting(HostId),
    /// It runs.
    Running(HostId),
    /// It was told to stop.
    Stopping(HostId, StopReason),
    /// It may have run, or fails everywhere.
    Unresolved(Unresolved),
}

/// The policy of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// How blame is laid for failures.
    pub health: HealthRules,
    /// One host of so many may be set aside in a pool at once; one always may.
    pub aside_part: u32,
    /// How long a host is set aside the first time; doubled each time after.
    pub probation: Duration,
    /// How long an urgent job waits for displaced ones to stop before it looks elsewhere.
    pub claim: Duration,
    /// The pause after a job's first failure; doubled each time after.
    pub pause: Duration,
    /// Healthy workers on which a job may fail before it counts as failing everywhere.
    pub tries: usize,
    /// Failures after which a job counts as failing everywhere, wherever they were.
    pub failures: u32,
    /// Hosts compared for spread before the best of them is taken.
    pub candidates: usize,
    /// Stops of cancelled jobs that one step lets out; starts never stand behind more.
    pub stops: usize,
    /// A job expected to end within this goes onto hosts that are due soon.
    pub short: Duration,
    /// Which protections are on. Only tests switch any off.
    pub guards: Guards,
}

/// Protections that tests switch off, to show that their property then fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// Ends of earlier attempts are told from the present one's.
    pub attempts: bool,
    /// A job that may have run and isn't idempotent stays unresolved.
    pub unresolved: bool,
    /// Workers that fail everything are set aside.
    pub aside: bool,
    /// No more than a part of a pool is set aside, and bad kinds are told from bad workers.
    pub bound: bool,
    /// Stops of cancelled jobs are let out a few at a time, after starts.
    pub paced: bool,
    /// Team quotas hold.
    pub quota: bool,
    /// Impossible jobs are taken out of the queue.
    pub impossible: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            health: HealthRules::default(),
            aside_part: 20,
            probation: Duration::from_secs(600),
            claim: Duration::from_secs(2),
            pause: Duration::from_secs(1),
            tries: 3,
            failures: 5,
            candidates: 8,
            stops: 64,
            short: Duration::from_secs(600),
            guards: Guards::default(),
        }
    }
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            attempts: true,
            unresolved: true,
            aside: true,
            bound: true,
            paced: true,
            quota: true,
            impossible: true,
        }
    }
}
