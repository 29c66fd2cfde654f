//! Runs requests with the same idempotency key at most once, whichever entry hosts receive them.
//!
//! A *send* is one arrival of a request from its caller; a resend is another with the same key. A
//! node forwards a keyed request to a minion only while it holds the *claim* of the key in the
//! replicated log. The [`Table`] is part of the replicated state and changes only by committed
//! [`Command`]s. The [`Claimant`] runs on each node: it proposes claims, retries lost proposals,
//! and decides directly before sending whether the request may still be sent. The [`AnswerCache`]
//! keeps answers for a while, so that a resend gets the answer of the first send.
//!
//! Four rules ensure this:
//!
//! 1. Of all sends of a key, one holder is granted the claim. A repeated claim of the same holder
//!    is granted again, so a lost answer does no harm.
//! 2. A claim whose holder stops responding never becomes free: after a time limit it is *spent*,
//!    because the request may have run.
//! 3. Only the current holder frees a claim, by reporting that the request provably didn't run. A
//!    late report of an earlier holder changes nothing.
//! 4. A holder sends only within its window, which starts, by its own clock, before it proposes
//!    the claim. The table removes old keys to stay bounded. By then the window of every send that
//!    could have been granted the key has long ended, even if the sender's process was paused.
//!
//! The guarantee: all sends of a key that arrive within [`Terms::horizon`] of the first one run at
//! most once in total. A send that is reported as *not run* has not run and never will; another
//! send of its key may have run.
//!
//! ```
//! use std::time::Duration;
//! use egretpin::core::{
//!     claims::{Claim, Holder, Table, Terms},
//!     dispatch::ClaimAnswer,
//! };
//!
//! let terms = Terms::new(Duration::from_secs(10));
//! let first = Claim {
//!     holder: Holder { node: 1, boot: 7, request: 1 },
//!     service: "intake".into(),
//!     key: "case-17".into(),
//! };
//! let resend = Claim { holder: Holder { node: 2, boot: 4, request: 9 }, ..first.clone() };
//! let mut table = Table::default();
//! let mut at = Duration::from_secs(1_000);
//! assert_eq!(table.claim(at, &terms, &first), ClaimAnswer::Granted);
//!
//! at += Duration::from_secs(60);
//! assert_eq!(table.claim(at, &terms, &resend), ClaimAnswer::Spent);
//! ```

mod answers;
mod claimant;
mod interface;
mod table;
mod terms;

use serde::{Deserialize, Serialize};

use crate::core::{
    dispatch::RequestId,
    types::{GroupId, Key, NodeId, ServiceId},
};

pub use self::{
    answers::{AnswerCache, Lookup},
    claimant::{Claimant, Guards},
    interface::{ClaimRequest, Effect, Input, Output},
    table::Table,
    terms::{MAX_KEY_BYTES, MAX_WINDOW, Protections, Terms},
};

/// Identifies one send of a request; no two sends have equal holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct Holder {
    /// The node that received the send.
    pub node: NodeId,
    /// A number that grows with each start of that node's process.
    pub boot: u64,
    /// The node's number for the send.
    pub request: RequestId,
}

/// A key that one send claims or holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct Claim {
    /// The send.
    pub holder: Holder,
    /// The service; each has its own keys.
    pub service: ServiceId,
    /// The key, as returned by [`scoped_key`].
    pub key: Key,
}

/// A command for the replicated log. The state machine adds the leader's time to it and takes the
/// service's [`Terms`] from the declaration. There is no command to expire keys: every applied
/// command carries the leader's time, by which the state machine expires them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub enum Command {
    /// Calls [`Table::claim`].
    Claim(Claim),
    /// Calls [`Table::settle`].
    Settle {
        /// The claim of the request that ended.
        claim: Claim,
        /// Whether the request ran or may have run.
        ran: bool,
    },
}

/// Adds the caller group to a key. Keys of different groups never collide, so no group can spend
/// the keys of another or read its answers.
///
/// ```
/// use egretpin::core::claims::scoped_key;
///
/// assert_ne!(scoped_key(&"a".into(), &"1".into()), scoped_key(&"b".into(), &"1".into()));
/// ```
pub fn scoped_key(group: &GroupId, key: &Key) -> Key {
    // The length distinguishes ("a:b", "c") from ("a", "b:c").
    format!("{}:{group}:{key}", group.len()).into()
}
