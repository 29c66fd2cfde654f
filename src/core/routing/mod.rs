//! Which minion a request is sent to, and when it may be sent again.
//!
//! The modules are independent nouns that [`Dispatch`](crate::core::dispatch::Dispatch) composes:
//!
//! - [`directory`] knows which minions exist, from announcements that expire.
//! - [`minions`] holds the minions of one service with the slots that this node may use, and
//!   chooses among them at a cost that doesn't grow with their number.
//! - [`health`] remembers recent outcomes of one minion, decaying.
//! - [`share`] splits a minion's slots among the nodes of its data centre.
//! - [`spill`] knows which other data centre serves what this one has no minions for.
//! - [`loans`] lends slots among those nodes by demand.
//! - [`budget`] bounds retries to a share of the traffic.
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::core::routing::budget::Budget;
//!
//! let mut budget = Budget::new(10);
//! for _ in 0..100 {
//!     budget.first_try();
//! }
//! assert!(budget.take());
//! ```

pub mod budget;
pub mod directory;
pub mod health;
pub mod levels;
pub mod loans;
pub mod minions;
pub mod share;
pub mod spill;
