//! Pools of hosts, and the engine that takes hosts out of service and back.
//!
//! A host belongs to exactly one pool. It changes pools, is maintained or leaves by one road:
//!
//! ```text
//! in service -> cordoned -> draining -> drained -> down -> soaking -> in service
//!                    \                      \--- hand-over ---/
//!                     budget admission
//! ```
//!
//! [`Engine`] walks every host along it. It runs on the leader, learns facts as [`Event`]s, and
//! answers with [`Decision`]s, which the leader commits to the shared state and then carries out.
//! The engine takes its own decisions for granted at once and is told by [`Event::Reset`] if the
//! shared state refuses one. It holds nothing durable: a new leader makes a new engine and feeds it
//! each host and wave as the shared state holds them.
//!
//! [`shared`] puts the engine's words into those of the shared state and back.
//!
//! Who wants a host out of service is kept as [`Wants`], which add up. What may be stopped is
//! decided by [`Budgets`](super::budget::Budgets) alone. In which order a wave goes is kept by
//! [`Wave`](super::wave::Wave). [`plan`](fn@plan) computes the moves of a preset change beforehand.
//!
//! ```
//! use std::time::Duration;
//! use egretpin::core::{
//!     declaration::{PoolSpec, WaveSpec},
//!     fleet::pool::{Action, Decision, Engine, Event, HostFact, Options},
//! };
//!
//! let mut engine = Engine::new(Options { listen: Duration::ZERO, ..Options::default() });
//! let now = Duration::ZERO;
//! engine.step(now, Event::Pool { pool: "front".into(), spec: PoolSpec::default() });
//! for n in 0..3 {
//!     let fact = HostFact::new(format!("h{n}").into(), "front".into(), format!("r{n}").into());
//!     engine.step(now, Event::Host(fact));
//! }
//! engine.step(now, Event::Preset { wave: WaveSpec::default(), moves: Vec::new() });
//! let decisions = engine.step(now, Event::Wave {
//!     wave: 9,
//!     pool: "front".into(),
//!     age: now,
//!     lost: false,
//! });
//! // No service is bound to the pool, so the first rack is drained at once.
//! assert!(decisions.iter().any(|d| matches!(
//!     d,
//!     Decision::Host { host, action: Action::Drain { .. }, .. } if &**host == "h0"
//! )));
//! ```

mod calendar;
mod engine;
mod event;
mod explain;
mod host;
mod lifecycle;
mod plan;
mod pump;
mod registry;
pub mod shared;

pub use self::{
    engine::{Engine, Options},
    event::{Action, Decision, Event, Report, Waiting, Wish},
    explain::{Explanation, Reason},
    host::{HostFact, Phase, Wants, Work},
    plan::{Affected, Candidate, Move, Plan, affected, plan},
};
