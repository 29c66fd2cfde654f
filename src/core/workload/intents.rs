//! Which hosts a leader may have sent orders about, and how long ago.
//!
//! Two successive leaders must not send orders about the same host within an interval that the provider
//! sets. A new leader can't ask its predecessor what it has ordered. So a leader commits the hosts that it is
//! about to send orders about ([`OrderIntent`]) before the orders go out, and its successor waits for those
//! hosts only. Without this record a new leader had to wait for all hosts: each election cost the moves of
//! three seconds.
//!
//! Times are those of each leader's own monotonic clock, counted from the start of its term. They are never
//! compared between leaders. The age of a record is the time that passed in the log after it, as later
//! records of the same term show. The time without a leader is unknown and isn't counted, so an age is never
//! greater than the true one.
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::core::workload::intents::{OrderIntent, OrderIntents};
//!
//! let intent = |term, at, hosts: &[&str]| OrderIntent {
//!     term,
//!     at,
//!     hosts: hosts.iter().map(|host| (*host).into()).collect(),
//! };
//! let mut intents = OrderIntents::default();
//! intents.apply(&intent(1, 4_000, &["h1"]));
//! intents.apply(&intent(1, 4_700, &[]));
//! intents.apply(&intent(2, 100, &[]));
//! let ages: Vec<_> = intents.ages().collect();
//! assert_eq!(ages, [(&"h1".into(), Duration::from_millis(800))]);
//! ```

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::core::{consensus::Term, types::HostId};

/// How long a host is remembered, in milliseconds: ten times the interval that providers require between the
/// orders of two leaders today. A constant, since it must be the same on every node.
const RETENTION_MILLIS: u64 = 30_000;

/// What a leader commits before it sends orders about hosts, and now and then, with or without hosts, to show
/// that time passes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct OrderIntent {
    /// The leader's term.
    pub term: Term,
    /// Milliseconds since the start of the term.
    pub at: u64,
    /// The hosts that orders are about to be sent about.
    pub hosts: Vec<HostId>,
}

/// The hosts that leaders have recently sent orders about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct OrderIntents {
    /// The latest term with a record.
    term: Term,
    /// The latest time recorded in that term, in milliseconds since its start.
    at: u64,
    hosts: BTreeMap<HostId, LastIntent>,
}

/// When orders about a host were last recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
struct LastIntent {
    /// Milliseconds that passed since the record in terms before the latest one.
    before: u64,
    /// The time in the latest term from which on the age is counted, in milliseconds since its start.
    at: u64,
}

impl OrderIntents {
    /// Applies a record of a leader.
    pub fn apply(&mut self, intent: &OrderIntent) {
        if intent.term > self.term {
            for last in self.hosts.values_mut() {
                last.before += self.at.saturating_sub(last.at);
                last.at = 0;
            }
            (self.term, self.at) = (intent.term, 0);
        }
        self.at = self.at.max(intent.at);
        let now = self.at;
        self.hosts
            .retain(|_, last| last.age(now) < RETENTION_MILLIS);
        let new = LastIntent { before: 0, at: now };
        self.hosts
            .extend(intent.hosts.iter().map(|host| (host.clone(), new)));
    }

    /// Whether any leader has committed such a record. Leaders of earlier releases don't.
    pub fn is_recorded(&self) -> bool {
        self.term > 0
    }

    /// The hosts that leaders have recently sent orders about, each with the least time since then.
    pub fn ages(&self) -> impl Iterator<Item = (&HostId, Duration)> {
        let age = |last: &LastIntent| Duration::from_millis(last.age(self.at));
        self.hosts.iter().map(move |(host, last)| (host, age(last)))
    }
}

impl LastIntent {
    fn age(self, now: u64) -> u64 {
        self.before + now.saturating_sub(self.at)
    }
}
