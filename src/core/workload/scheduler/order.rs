//! The orders that the scheduler gives to agents and to the provider of the hosts, and their
//! answers.

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

/// The scheduler's number of an order. The answer carries the same number.
pub type OrderId = u64;
/// A reading of an agent's monotonic clock.
pub type AgentTime = Duration;

/// An order to an agent or to the provider. Each gets exactly one answer, [`Answer::Silent`] if no
/// other comes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    /// The number of the order.
    pub id: OrderId,
    /// The term of the leader that gives the order. Whoever has seen a higher term refuses it.
    pub term: Term,
    /// What to do.
    #[serde(rename = "what")]
    pub kind: OrderKind,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum OrderKind {
    /// Starts an attempt.
    Start(Box<StartOrder>),
    /// Stops an attempt, and has its start refused if that arrives later.
    Stop {
        /// The agent that runs the attempt.
        to: Target,
        /// The task.
        task: TaskId,
        /// The attempt's number.
        attempt: Attempt,
    },
    /// Renews an agent's lease, acknowledges its ends and requests a report.
    Renew {
        /// The agent whose lease is renewed.
        to: Target,
        /// Ends up to this number need no longer be reported.
        acked: u64,
        /// The new end of the lease. Without it the lease stays as it is.
        until: Option<AgentTime>,
        /// How long the answer may wait for an end.
        wait: Duration,
    },
    /// Changes the share of its speed at which an attempt runs.
    Throttle {
        /// The agent that runs the attempt.
        to: Target,
        /// The task.
        task: TaskId,
        /// The attempt's number.
        attempt: Attempt,
        /// The share in percent.
        percent: u8,
    },
    /// Asks which agents may run a step.
    Ask {
        /// The step.
        step: StepId,
        /// The agents to choose from.
        agents: Vec<MinionId>,
        /// How long the answer takes if nothing goes wrong.
        within: Duration,
    },
    /// Lists all hosts.
    Hosts,
    /// Moves a host to another pool.
    Move {
        /// The host.
        host: HostId,
        /// The pool to which the host moves.
        pool: PoolId,
    },
    /// Starts the maintenance of a host.
    Maintain {
        /// The host.
        host: HostId,
        /// The wave to which the maintenance belongs.
        wave: WaveId,
    },
}

/// An agent as the receiver of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Target {
    /// The incarnation that the order is for.
    pub agent: MinionId,
    /// The address at which it takes orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

impl OrderKind {
    /// The agent that receives the order; `None` for an order to the provider.
    pub fn target(&self) -> Option<&Target> {
        match self {
            Self::Start(start) => Some(&start.to),
            Self::Stop { to, .. } | Self::Renew { to, .. } | Self::Throttle { to, .. } => Some(to),
            Self::Ask { .. } | Self::Hosts | Self::Move { .. } | Self::Maintain { .. } => None,
        }
    }

    /// How long the answer may wait for an event.
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
    /// The agent that runs the attempt.
    pub to: Target,
    /// The task.
    pub task: TaskId,
    /// The attempt's number.
    pub attempt: Attempt,
    /// The job's payload.
    pub payload: Name,
    /// The new end of the agent's lease.
    pub until: AgentTime,
    /// The checkpoint to continue from.
    pub checkpoint: Option<Name>,
    /// The proof that the agent may run the task, if the scheduler had to ask for that.
    pub grant: Option<Name>,
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Answer {
    /// The agent carried out the order.
    Done {
        /// The agent's clock.
        clock: AgentTime,
    },
    /// The agent renewed its lease.
    Report(Report),
    /// The order was refused, and nothing was done.
    Refused {
        /// The reason.
        why: Refusal,
        /// The agent's clock, if the refusal contains it.
        clock: Option<AgentTime>,
    },
    /// An agent of another name is at the address.
    Elsewhere,
    /// A later incarnation of the agent is at the address, and carried out the order.
    #[serde(rename = "Reborn")]
    Restarted,
    /// All hosts.
    Hosts(Vec<HostView>),
    /// The agents that may run a step, each with the grant that a start there has to carry.
    Eligible(Vec<(MinionId, Name)>),
    /// No clear answer came: the order may have been carried out, or may still be.
    Silent,
    /// The order was never sent, because no connection to its receiver became free in time.
    Unsent,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum Refusal {
    /// A later leader has given orders there.
    Fence,
    /// This or a later attempt was stopped or ended there.
    Old,
    /// The lease would already have ended.
    Late,
    /// The resources are taken.
    Room,
    /// The host isn't up, or is about to leave.
    Busy,
    /// The host doesn't belong to the wave.
    NotInWave,
    /// The agent isn't healthy.
    Unwell,
    /// The order wasn't valid.
    Invalid,
    /// The grant is missing or no longer valid.
    Grant,
    /// There were too many orders at once.
    Throttled,
}

/// What runs at an agent, and what ended there.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// The agent's clock.
    pub clock: AgentTime,
    /// The attempts that run there.
    pub running: Vec<Running>,
    /// The ends that weren't acknowledged yet, in order.
    pub ended: Vec<Ended>,
    /// Whether these are all ends that weren't acknowledged yet. An agent may list some of them only, and the
    /// others once these are acknowledged. Absent in reports that a relay of an earlier release passes on, which
    /// may be incomplete.
    #[serde(default)]
    pub ends_complete: bool,
}

/// An attempt that runs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// The attempt's number.
    pub attempt: Attempt,
    /// The checkpoint from which another attempt could continue.
    pub checkpoint: Option<Name>,
    /// The progress in percent.
    pub percent: u32,
    /// What the attempt measured over the last half second: the tail latency in milliseconds if it
    /// is latency-sensitive, otherwise the thousandths of a core that it used.
    pub measure: Option<f64>,
}

/// The end of an attempt, as its agent reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Ended {
    /// The number of the end. Each end of an agent has the next number.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The attempt's number.
    pub attempt: Attempt,
    /// How the attempt ended.
    pub how: Ending,
    /// The checkpoint from which another attempt may continue.
    pub checkpoint: Option<Name>,
}

/// A host as its provider lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct HostView {
    /// The host.
    pub host: HostId,
    /// The pool that the host belongs to.
    pub pool: PoolId,
    /// The state of the host.
    pub state: HostState,
    /// The data centre of the host.
    pub data_centre: DataCentreId,
    /// The name of the host's agent, if it has one.
    pub agent: Option<Name>,
}

/// The state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub enum HostState {
    /// It is in service, or is a spare.
    Up,
    /// It is moving to another pool.
    Moving,
    /// It is being maintained.
    Maintained,
    /// It is gone.
    Down,
    /// The provider's state of it can't be read. The host exists, and nothing else may be
    /// concluded.
    Unknown,
}
