//! What goes into the engine and what comes out.

use std::time::Duration;

use crate::core::{
    declaration::{PoolSpec, WaveSpec},
    fleet::budget::{Blocked, Cause},
    types::{Generation, HostId, MinionId, Now, PoolId, RackId, ServiceId, WaveId},
};

use super::{HostFact, Move, Phase, Work};

/// A fact that the engine learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// A pool was declared or changed.
    Pool {
        /// Which.
        pool: PoolId,
        /// As declared.
        spec: PoolSpec,
    },
    /// A service was declared or its budget changed.
    Service {
        /// Which.
        service: ServiceId,
        /// Its pool.
        pool: PoolId,
        /// Minions that must be available.
        needed: u32,
    },
    /// A service is no longer declared.
    ServiceGone(ServiceId),
    /// A preset is in force. Moves of an earlier preset that haven't begun are called off.
    Preset {
        /// The pace of maintenance.
        wave: WaveSpec,
        /// The moves planned for it.
        moves: Vec<Move>,
    },
    /// A host as the shared state holds it. Ignored unless it is unknown or of a newer generation.
    Host(HostFact),
    /// A decision was refused by the shared state, which holds this instead.
    Reset(HostFact),
    /// A host is no longer part of the fleet.
    HostGone(HostId),
    /// A wave runs.
    Wave {
        /// Which.
        wave: WaveId,
        /// Over which pool.
        pool: PoolId,
        /// How long ago it began.
        age: Duration,
        /// Whether an unplanned loss pauses it, as far as the shared state was told.
        lost: bool,
    },
    /// An operator paused a wave, or lifted the pause.
    WavePaused {
        /// Which.
        wave: WaveId,
        /// Whether it is paused.
        paused: bool,
    },
    /// A minion announced itself and takes work.
    Minion {
        /// Which.
        minion: MinionId,
        /// Its service.
        service: ServiceId,
        /// Its host.
        host: HostId,
    },
    /// A minion was not heard in time, or announced that it is leaving.
    MinionDoubted(MinionId),
    /// A minion won't come back.
    MinionGone(MinionId),
    /// A worker reported what it runs.
    Work {
        /// Its host.
        host: HostId,
        /// What it runs.
        work: Work,
    },
    /// An operator's command.
    Want {
        /// The host.
        host: HostId,
        /// What is wanted.
        wish: Wish,
    },
    /// A draining host is empty: no request in flight, no job running.
    Drained {
        /// The host.
        host: HostId,
        /// As the drain decision named it.
        generation: Generation,
    },
    /// A hand-over was committed.
    HandedOver {
        /// The host.
        host: HostId,
        /// Its new generation.
        generation: Generation,
    },
    /// A host was lost without being asked.
    Lost {
        /// The host.
        host: HostId,
        /// As known when it was lost.
        generation: Generation,
    },
    /// A host is up again, after a reboot or a loss.
    Back {
        /// The host.
        host: HostId,
        /// Its new generation.
        generation: Generation,
    },
    /// Time has passed.
    Tick,
}

/// What an operator wants of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wish {
    /// Empty it and keep it empty.
    Hold,
    /// Take it back into service.
    Serve,
    /// Hand it to another pool.
    Move(PoolId),
}

/// What the leader commits and then carries out.
///
/// Each names the generation it was made against; the shared state refuses a decision for another
/// one, and the platform refuses to carry it out. Carrying one out twice is harmless, because the
/// engine of a new leader repeats those that an old leader may not have got round to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start a wave over a pool, as its period asks.
    StartWave {
        /// The pool.
        pool: PoolId,
    },
    /// Every host of the pool is maintained, or missing.
    EndWave {
        /// The wave.
        wave: WaveId,
        /// Hosts that didn't come back, or were lost before their turn.
        missing: Vec<HostId>,
    },
    /// A change of one host.
    Host {
        /// The host.
        host: HostId,
        /// The generation that the decision was made against.
        generation: Generation,
        /// What to do.
        action: Action,
    },
    /// Something that an operator should see. Nothing to commit.
    Report(Report),
}

/// What to do with one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Place no new jobs there. Its phase becomes [`Phase::Cordoned`].
    Cordon,
    /// Place jobs there again. Its phase becomes [`Phase::InService`].
    Uncordon,
    /// Have its minions leave and its jobs end or be displaced. Becomes [`Phase::Draining`].
    Drain {
        /// Why; a wave's id is kept as the wave that wants the host.
        cause: Cause,
        /// How long jobs may go on to end by themselves; what remains then is displaced.
        limit: Duration,
    },
    /// Keep it empty. Becomes [`Phase::Drained`].
    Park,
    /// Maintain and reboot it. Becomes [`Phase::Down`].
    Reboot {
        /// For which wave.
        wave: WaveId,
    },
    /// Hand it to another pool. Is [`Phase::Drained`] until [`Event::HandedOver`].
    HandOver {
        /// The new pool.
        to: PoolId,
    },
    /// A preset wants it in another pool; keep that as a wish to move. Its phase stays.
    Aim {
        /// The new pool.
        to: PoolId,
    },
    /// The preset in force no longer wants the move. Its phase stays.
    Recall,
    /// It is back and may be worked with. Becomes [`Phase::Soaking`].
    Return {
        /// The wave that has now maintained it.
        maintained: Option<WaveId>,
    },
    /// Its soak is over. Becomes [`Phase::InService`].
    Serve,
    /// It was lost. Becomes [`Phase::Lost`], and a wave's wish for it is dropped.
    MarkLost,
}

/// What operators are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// A stop waits for a budget. Told once for each blocking service.
    Blocked {
        /// The rack or host that waits.
        what: Waiting,
        /// The budget.
        blocked: Blocked,
    },
    /// A host takes longer than its limit. It keeps holding its budget.
    Late {
        /// The host.
        host: HostId,
        /// Draining, down or lost.
        phase: Phase,
    },
    /// An unplanned loss pauses a wave.
    Paused {
        /// The wave.
        wave: WaveId,
        /// The host that was lost.
        host: HostId,
    },
    /// A paused wave goes on.
    Resumed {
        /// The wave.
        wave: WaveId,
    },
    /// A wave runs for longer than its pool's period.
    Overdue {
        /// The wave.
        wave: WaveId,
        /// When the period ended.
        since: Now,
    },
}

/// What waits for a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// A host.
    Host(HostId),
    /// A rack, for a wave.
    Rack {
        /// The wave.
        wave: WaveId,
        /// The rack.
        rack: RackId,
    },
}

impl Action {
    /// The phase that the action leads to; `None` if that stays.
    pub fn phase(&self) -> Option<Phase> {
        match self {
            Self::Cordon => Some(Phase::Cordoned),
            Self::Uncordon | Self::Serve => Some(Phase::InService),
            Self::Drain { .. } => Some(Phase::Draining),
            Self::Park | Self::HandOver { .. } => Some(Phase::Drained),
            Self::Reboot { .. } => Some(Phase::Down),
            Self::Return { .. } => Some(Phase::Soaking),
            Self::MarkLost => Some(Phase::Lost),
            Self::Aim { .. } | Self::Recall => None,
        }
    }
}
