//! What the scheduler wants done outside, and what comes of it.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::core::{
    consensus::Term,
    types::{Attempt, DataCentreId, HostId, MinionId, Name, PoolId, WaveId},
    workload::{
        command::Ending,
        job::{StepId, TaskId},
    },
};

/// The scheduler's number for an order; its answer carries the same one.
pub type OrderId = u64;
/// A time of an agent's own steady clock.
pub type AgentTime = Duration;

/// Something to be done outside. Each is answered once, by [`Answer::Silent`] if by nothing else.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    /// Its number.
    pub id: OrderId,
    /// The term of the leader that gives it. Who has seen a higher one refuses it.
    pub term: Term,
    /// What is to be done.
    pub what: What,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum What {
    /// Start an attempt.
    Start(Box<StartOrder>),
    /// Stop an attempt, and refuse it if it comes later.
    Stop {
        /// At which agent.
        to: Target,
        /// The task.
        task: TaskId,
        /// Which attempt.
        attempt: Attempt,
    },
    /// Renew an agent's lease, take note of its ends and look at it.
    Renew {
        /// At which agent.
        to: Target,
        /// Ends up to this number need no more be told.
        acked: u64,
        /// Until when the lease is to last; it is left as it is if not given.
        until: Option<AgentTime>,
        /// How long the answer may wait for an end.
        wait: Duration,
    },
    /// Let an attempt work at a share of its speed.
    Throttle {
        /// At which agent.
        to: Target,
        /// The task.
        task: TaskId,
        /// Which attempt.
        attempt: Attempt,
        /// The share in hundredths.
        percent: u8,
    },
    /// Ask which agents may run a step.
    Ask {
        /// The step.
        step: StepId,
        /// The agents that are asked about.
        agents: Vec<MinionId>,
        /// How long the answer takes if all goes well.
        within: Duration,
    },
    /// List all hosts.
    Hosts,
    /// Move a host to another pool.
    Move {
        /// Which host.
        host: HostId,
        /// The pool.
        pool: PoolId,
    },
    /// Begin a host's maintenance.
    Maintain {
        /// Which host.
        host: HostId,
        /// For which wave.
        wave: WaveId,
    },
}

/// An agent as it is called.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Target {
    /// The incarnation that is meant.
    pub agent: MinionId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

impl What {
    /// The agent that it is for, if it is for one.
    pub fn target(&self) -> Option<&Target> {
        match self {
            Self::Start(start) => Some(&start.to),
            Self::Stop { to, .. } | Self::Renew { to, .. } | Self::Throttle { to, .. } => Some(to),
            Self::Ask { .. } | Self::Hosts | Self::Move { .. } | Self::Maintain { .. } => None,
        }
    }

    /// How long its answer may wait for something to happen.
    pub fn wait(&self) -> Duration {
        match self {
            Self::Renew { wait, .. } => *wait,
            _ => Duration::ZERO,
        }
    }
}

/// An attempt to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct StartOrder {
    /// At which agent.
    pub to: Target,
    /// The task.
    pub task: TaskId,
    /// Which attempt.
    pub attempt: Attempt,
    /// The job's payload.
    pub payload: Name,
    /// Until when the agent's lease is to last.
    pub until: AgentTime,
    /// From where it goes on.
    pub checkpoint: Option<Name>,
    /// What shows that the agent may run it, if that had to be asked.
    pub grant: Option<Name>,
}

/// What came of an order.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Answer {
    /// An agent did it.
    Done {
        /// Its clock.
        clock: AgentTime,
    },
    /// An agent renewed its lease.
    Report(Report),
    /// It was refused, and nothing was done.
    Refused {
        /// Why.
        why: Refusal,
        /// The agent's clock, if it said.
        clock: Option<AgentTime>,
    },
    /// An agent of another name is at the address.
    Elsewhere,
    /// A later incarnation of the agent is, and did what was ordered.
    Reborn,
    /// All hosts.
    Hosts(Vec<HostView>),
    /// The agents that may run a step, each with the grant that a start there must carry.
    Eligible(Vec<(MinionId, Name)>),
    /// No clear answer came: it may have been done, or may yet be.
    Silent,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Refusal {
    /// A later leader gave orders there.
    Fence,
    /// This or a later attempt was stopped or ended there.
    Old,
    /// The lease would have ended before now.
    Late,
    /// There is no room.
    Room,
    /// The host isn't up, or is about to leave.
    Busy,
    /// The host is not of the wave.
    NotInWave,
    /// The agent isn't well.
    Unwell,
    /// The order made no sense there.
    Invalid,
    /// The grant is missing or holds no more.
    Grant,
    /// Too many orders at once.
    Throttled,
}

/// What an agent has and had.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Its clock.
    pub clock: AgentTime,
    /// What it runs.
    pub running: Vec<Running>,
    /// What ended there and wasn't taken note of, in order.
    pub ended: Vec<Ended>,
}

/// An attempt at work.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// Which attempt.
    pub attempt: Attempt,
    /// From where another attempt could go on.
    pub checkpoint: Option<Name>,
    /// How far it is, in hundredths.
    pub percent: u32,
    /// What it measured over the last half second: the tail latency of one that serves, in
    /// milliseconds; the thousandths of a core of any other.
    pub measure: Option<f64>,
}

/// An end as an agent lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Ended {
    /// Its number; they rise by one.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Which attempt.
    pub attempt: Attempt,
    /// How.
    pub how: Ending,
    /// From where another attempt may go on.
    pub checkpoint: Option<Name>,
}

/// A host as its provider lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct HostView {
    /// Which.
    pub host: HostId,
    /// Its pool.
    pub pool: PoolId,
    /// What it does.
    pub state: HostState,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The name of its agent, if one is there.
    pub agent: Option<Name>,
}

/// What a host does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum HostState {
    /// It works, or is a spare.
    Up,
    /// It changes pools.
    Moving,
    /// It is being maintained.
    Maintained,
    /// It is gone.
    Down,
    /// What is said of it can't be read. It is there, and nothing may be concluded from it.
    Unknown,
}
