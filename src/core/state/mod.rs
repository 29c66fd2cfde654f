//! The state machine that the log replicates.
//!
//! Every copy applies the same commands in the same order and so comes to the same [`State`] and
//! the same replies: nothing in here reads a clock, draws a number or iterates in an order that
//! could differ. Time is what the leader stamped into each command, and never goes back.
//!
//! It is the hard state alone: what was declared, who owns which host, who may start which job,
//! what operators were told. Load, announcements and usage are elsewhere and are forgotten with
//! the process.
//!
//! The state machine is also where races end. Whatever a leader, a worker or an operator decided
//! from an older view arrives here as a command with the versions, generations and attempts that
//! it saw; if they aren't those that stand, nothing is changed and the [`Reply`] says what is.
//!
//! ```
//! use std::sync::Arc;
//!
//! use egretpin::core::{
//!     declaration::{Declaration, PresetSpec},
//!     state::{Command, Reply, Request, State},
//!     types::Wall,
//! };
//!
//! let mut declaration = Declaration::default();
//! declaration.presets.insert("ordinary".into(), PresetSpec::default());
//! let request = Request::Apply {
//!     declaration: Arc::new(declaration),
//!     preset: None,
//!     expected: 0,
//! };
//! let command = Command::operator(Wall::from_secs(1), "first", request);
//!
//! let mut state = State::default();
//! assert_eq!(state.apply(1, &command), Reply::Configured { version: 1 });
//! // The operator never saw the answer and sends again.
//! assert_eq!(state.apply(2, &command), Reply::Configured { version: 1 });
//! assert_eq!(state.configuration().version(), 1);
//!
//! let copy = State::from_image(&state.image()).unwrap();
//! assert_eq!(copy.digest(), state.digest());
//! ```

mod command;
mod configuration;
mod error;
mod events;
mod hosts;
mod image;
mod jobs;
mod keys;
mod members;
mod operations;
mod queue;
mod reply;
mod requests;
mod waves;

use serde::{Deserialize, Serialize};

pub use command::{Body, Command, Event, JobSpec, Kind, Request};
pub use configuration::Configuration;
pub use error::DecodeError;
pub use hosts::{Host, Hosts, Intent, Stage};
pub use jobs::{End, FAILURES, Hopeless, Job, Outcome, Phase, Resolution, Right};
pub use members::{Member, Members};
pub use operations::{CAPACITY as OPERATIONS, KEEP as OPERATIONS_KEEP, Operations, Past};
pub use queue::{CAPACITY as ENDED_JOBS, KEEP as ENDED_KEEP, Queue};
pub use reply::{Change, Refusal, Reply};
pub use waves::{Progress, Wave, Waves};

use crate::core::{
    claims::Table,
    consensus::{Payload, interface::Index},
    types::Wall,
};

/// The format of images; one that is newer can't be read.
pub const FORMAT: u32 = 1;

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct State {
    applied: Index,
    clock: Wall,
    configuration: Configuration,
    hosts: Hosts,
    waves: Waves,
    jobs: Queue,
    members: Members,
    operations: Operations,
    /// Absent from images that were written before there were claims.
    #[serde(default)]
    claims: Table,
    #[serde(skip)]
    checks: Checks,
}

/// Which protections are on. For tests alone, which switch one off to prove that its absence is
/// found; the daemon uses the default, which has all of them on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Checks {
    /// A start is refused when the host's generation has changed.
    pub generation: bool,
    /// A start is refused unless it is the job's next attempt and no other may have begun.
    pub attempt: bool,
}

#[derive(Deserialize)]
struct Header {
    format: u32,
}

#[derive(Serialize)]
struct Image<'a> {
    format: u32,
    state: &'a State,
}

#[derive(Deserialize)]
struct Owned {
    state: State,
}

impl Default for Checks {
    fn default() -> Self {
        Self {
            generation: true,
            attempt: true,
        }
    }
}

impl State {
    /// An empty state with some protections off; for tests alone.
    pub fn unprotected(checks: Checks) -> Self {
        Self {
            checks,
            ..Self::default()
        }
    }

    /// Applies the committed command at an index and answers it. Indexes grow; one that was
    /// applied before must not come again.
    pub fn apply(&mut self, index: Index, command: &Command) -> Reply {
        self.applied = index;
        self.clock = self.clock.max(command.at);
        self.operations.expire(self.clock);
        self.jobs.expire(self.clock);
        self.claims.expire(self.clock);
        let Body::Operator { operation, request } = &command.body else {
            return self.event(index, &command.body);
        };
        if let Some(reply) = self.operations.recall(operation, request) {
            return reply;
        }
        let reply = answer(self.request(index, operation, request));
        self.operations
            .record(self.clock, operation, request, reply.clone());
        reply
    }

    fn event(&mut self, index: Index, body: &Body) -> Reply {
        match body {
            Body::System(event) => answer(self.system(index, event)),
            Body::Operator { .. } => Reply::Noted,
        }
    }

    /// The index of the last command applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The newest stamp of a command.
    pub fn clock(&self) -> Wall {
        self.clock
    }

    /// The newest configuration and whether it is in force.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The hosts.
    pub fn hosts(&self) -> &Hosts {
        &self.hosts
    }

    /// The waves.
    pub fn waves(&self) -> &Waves {
        &self.waves
    }

    /// The jobs.
    pub fn jobs(&self) -> &Queue {
        &self.jobs
    }

    /// The nodes.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The operations answered.
    pub fn operations(&self) -> &Operations {
        &self.operations
    }

    /// The claims of idempotency keys.
    pub fn claims(&self) -> &Table {
        &self.claims
    }

    /// A number that two copies share when they are equal, and hardly ever when they aren't.
    ///
    /// Its cost grows with the state; compare at a set index every few seconds, not at each.
    pub fn digest(&self) -> u64 {
        image::digest(&self.image())
    }

    /// The whole state as bytes.
    pub fn image(&self) -> Payload {
        image::encode(&Image {
            format: FORMAT,
            state: self,
        })
    }

    /// Reads what [`State::image`] wrote.
    ///
    /// # Errors
    ///
    /// When the bytes can't be read, or have a newer format than [`FORMAT`].
    pub fn from_image(bytes: &[u8]) -> Result<Self, DecodeError> {
        let header: Header = image::decode(bytes)?;
        if header.format != FORMAT {
            return error::FormatSnafu {
                found: header.format,
                known: FORMAT,
            }
            .fail();
        }
        let Owned { mut state } = image::decode(bytes)?;
        state.jobs.index();
        // An image from before there were claims has no time for them.
        state.claims.expire(state.clock);
        Ok(state)
    }
}

fn answer(result: Result<Reply, Refusal>) -> Reply {
    result.unwrap_or_else(Reply::Refused)
}
