//! The replicated log: one voter or follower, as one state machine.
//!
//! A few nodes, the *voters*, agree on one sequence of entries; all others, the *followers*, get
//! what is committed. One voter at a time leads a *term*: it orders what is proposed, sends it to
//! the others, and commits an entry once a majority has it on disk. A committed entry is never
//! lost, changed or reordered while a majority of the voters keeps its disks. `docs/CONSENSUS.md`
//! tells the protocol, its promises and how they were checked.
//!
//! A [`Node`] does no I/O. Whoever drives it hands in one [`Input`] at a time and carries out the
//! [`Output`]s in order:
//!
//! - [`Output::Send`] goes to the named node if it can; loss, delay, reordering and duplicates are
//!   allowed.
//! - [`Output::Write`] is appended to the disk, in order. When it is synced, say so by
//!   [`Input::Synced`]; several writes may share one sync and one answer. At the next start
//!   [`Restored::replay`] takes the records back.
//! - [`Output::Apply`] and [`Output::Restore`] go to the state machine, in order.
//! - [`Output::Placed`] and [`Output::Rejected`] answer proposals. A placed one is committed when
//!   an entry of its index *and term* is applied; with another term it never will be.
//! - [`Output::Resigned`] tells why a leader stepped down, for a log line.
//!
//! Call [`Node::step`] with [`Input::Tick`] at least every 10 ms. A leader may act alone, or answer
//! reads, only while the clock is before [`Node::lease_until`], asked anew after every wait.
//!
//! # Example
//!
//! A cluster of one voter, driven by hand:
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::core::consensus::{Config, Content, Input, Node, Output, Payload, Restored};
//! use rand::SeedableRng;
//! use rand_pcg::Pcg64;
//!
//! let config = Config::new(1, Pcg64::seed_from_u64(7)).bootstrap(vec![1]);
//! let mut now = Duration::ZERO;
//! let mut node = Node::new(now, config.clone(), Restored::default());
//! let (mut disk, mut state) = (Vec::new(), Vec::new());
//! let mut inputs = Vec::new();
//! while state.is_empty() {
//!     now += Duration::from_millis(10);
//!     let input = inputs.pop().unwrap_or(Input::Tick);
//!     for output in node.step(now, input) {
//!         match output {
//!             Output::Write { write, record } => {
//!                 disk.push(record);
//!                 inputs.insert(0, Input::Synced { write });
//!             }
//!             Output::Apply(entry) => match entry.content {
//!                 // The leader's first entry is committed: it leads for good.
//!                 Content::Noop => {
//!                     let payload = Payload::from_static(b"first change");
//!                     inputs.insert(0, Input::Propose { proposal: 1, payload });
//!                 }
//!                 Content::Command(payload) => state.push(payload),
//!                 Content::Voters(_) => {}
//!             },
//!             _ => {}
//!         }
//!     }
//! }
//! assert!(node.is_leader() && node.lease_until() > Some(now));
//!
//! // After a crash the disk brings back the log.
//! let node = Node::new(Duration::ZERO, config, Restored::replay(disk));
//! assert_eq!(node.last().index, 3);
//! ```

mod config;
mod election;
mod feed;
mod leader;
mod log;
mod membership;
mod message;
mod node;
mod outbox;
mod replication;
mod restored;
pub mod seam;
mod snapshot;
mod source;
mod view;

pub use self::{
    config::{Config, Protections},
    message::{Message, Position, Verdict},
    node::{Node, Standing},
    restored::{Restored, Snapshot},
    seam::{Content, Entry, Index, Input, Output, Payload, Record, Resignation, Term},
};
