//! Jobs as graphs of steps, and the agents that run their tasks.
//!
//! A *job* is submitted to a *queue* and consists of *steps*. A step has a number of identical *tasks*,
//! which may start once all tasks of the steps it depends on are done. A task is run by an *agent*, one
//! incarnation of a program on a host of the queue's *pool*. Each *attempt* to run a task has a number,
//! which rises with every attempt and is committed before the order to start goes out to the agent.
//!
//! - [`spec`] declares a job, [`catalog`] the queues and pools, [`workspace`] the callers and the limits on
//!   what they may have running.
//! - [`command`] holds the entries of the replicated log, [`job`] a job as the ledger stores it, [`step`] the tasks
//!   of one of its steps, and [`finished`] the finished occurrences of a recurring job.
//! - [`ledger`] is the replicated state machine: which jobs were accepted, at which agent the last attempt of
//!   each task is placed, and which ends of attempts have been applied.
//! - [`scheduler`] runs on the leader only. It decides which attempts to start and stop and which leases to
//!   renew. Each new leader rebuilds it from the ledger.
//! - [`suspicion`] weighs the evidence against tasks that may crash the hosts they run on, and [`poison_rate`]
//!   estimates how likely the next jobs of a queue do so.
//! - [`footprint`] counts the memory that all of this takes, which is bounded.
//! - [`admission`] decides which jobs are accepted, given the work that is outstanding.
//! - [`max_min`] divides what is scarce among those that ask for it, and [`workspace_shares`] a pool among the
//!   workspaces that contend for it.
//! - [`terminated`] remembers incarnations of agents that have terminated, and [`intents`] which hosts a leader
//!   is about to send orders about. [`recent_starts`] remembers the starts that a leader may not have sent.
//!
//! This module does no I/O. Its driver commits the [`Command`](command::Command)s that the scheduler proposes
//! and carries out its [`Order`](scheduler::Order)s.

pub mod admission;
pub mod catalog;
pub mod command;
pub mod finished;
pub mod footprint;
pub mod intents;
pub mod job;
pub mod ledger;
pub mod max_min;
pub mod poison_rate;
pub mod recent_starts;
pub mod scheduler;
pub mod spec;
pub mod step;
pub mod suspicion;
pub mod terminated;
pub mod workspace;
pub mod workspace_shares;
