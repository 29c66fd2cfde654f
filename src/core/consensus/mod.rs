//! The replicated log, after Raft: one node, voter or learner, as a state machine.
//!
//! A few nodes, the *voters*, agree on one sequence of entries. All other nodes, the *learners*,
//! receive what is committed and never vote. One voter at a time leads a *term*: it orders the
//! proposed entries, sends them to the others, and commits an entry once a majority of the voters
//! has it on disk. A committed entry is never lost, changed or reordered while a majority of the
//! voters keeps its disks. `docs/CONSENSUS.md` describes the protocol, its guarantees and how they
//! were checked.
//!
//! A [`Node`] does no I/O. Its driver passes in one [`Input`] at a time and carries out the
//! returned [`Output`]s in order:
//!
//! - [`Output::Send`] is sent to the named node if possible; loss, delay, reordering and duplicates
//!   are allowed.
//! - [`Output::Write`] is appended to the disk, in order. Once it is synced, the driver reports
//!   that by [`Input::Synced`]; several writes may share one sync and one report. At the next start
//!   [`Restored::replay`] rebuilds the state from the records.
//! - [`Output::Apply`] and [`Output::Restore`] go to the state machine, in order.
//! - [`Output::Appended`] and [`Output::Rejected`] answer proposals. An appended proposal is
//!   committed once an entry with its index *and term* is applied. If the entry applied at its
//!   index has another term, the proposal will never be committed.
//! - [`Output::Resigned`] gives the reason why a leader stepped down, for a log line.
//!
//! Call [`Node::step`] with [`Input::Tick`] at least every 10 ms. A leader may act alone, or answer
//! reads, only while the clock is before [`Node::lease_until`], which must be called again after
//! every wait.
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
//!                 // The leader's first entry is committed, so its leadership is established.
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
//! // After a crash the log is restored from the disk.
//! let node = Node::new(Duration::ZERO, config, Restored::replay(disk));
//! assert_eq!(node.last().index, 3);
//! ```

mod config;
mod election;
mod feed;
pub mod interface;
mod leader;
mod log;
mod membership;
mod message;
mod node;
mod outbox;
mod replication;
mod restored;
mod snapshot;
mod source;
mod view;

pub use self::{
    config::{Config, Protections},
    interface::{Content, Entry, Index, Input, Output, Payload, Record, Resignation, Room, Term},
    message::{AppendOutcome, Message, Position},
    node::{Eligibility, Node},
    restored::{Restored, Snapshot},
    snapshot::TransferProgress,
};
