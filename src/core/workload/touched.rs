//! Which hosts a leader may have given orders about, and how long ago.
//!
//! Two leaders that follow each other must not give orders about one host within a time that the
//! provider sets. A new leader can't ask its predecessor what it did; so what a leader is about to
//! order is in the log before it goes out ([`Touch`]), and its successor waits for those hosts alone.
//! Without the record it had to wait for all of them: each election cost the moves of three seconds.
//!
//! Times are those of the leaders' own steady clocks, counted from the begin of their terms, and never
//! compared with another's. What is known of a touch's age is what passed in the log after it: a later
//! touch of the same term says how much. The time without a leader isn't known and isn't counted, so
//! an age is never more than the true one.
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::core::workload::touched::{Touch, Touched};
//!
//! let touch = |term, at, hosts: &[&str]| Touch {
//!     term,
//!     at,
//!     hosts: hosts.iter().map(|host| (*host).into()).collect(),
//! };
//! let mut touched = Touched::default();
//! touched.apply(&touch(1, 4_000, &["h1"]));
//! touched.apply(&touch(1, 4_700, &[]));
//! touched.apply(&touch(2, 100, &[]));
//! let ages: Vec<_> = touched.ages().collect();
//! assert_eq!(ages, [(&"h1".into(), Duration::from_millis(800))]);
//! ```

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::core::{consensus::Term, types::HostId};

/// How long a touch is remembered, in milliseconds: ten times what providers ask between the orders
/// of two leaders today, and the same on every node.
const KEPT: u64 = 30_000;

/// What a leader says before it gives orders about hosts, and now and then to show that time passes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Touch {
    /// The leader's term.
    pub term: Term,
    /// Milliseconds since the term began.
    pub at: u64,
    /// The hosts.
    pub hosts: Vec<HostId>,
}

/// The hosts that were touched lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Touched {
    /// The last term that said anything, and what it said last of the time.
    term: Term,
    at: u64,
    hosts: BTreeMap<HostId, Seen>,
}

/// When a host was touched last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
struct Seen {
    /// Milliseconds that passed in earlier terms than the last.
    before: u64,
    /// Since when it counts in the last term.
    at: u64,
}

impl Touched {
    /// Takes in what a leader said.
    pub fn apply(&mut self, touch: &Touch) {
        if touch.term > self.term {
            for seen in self.hosts.values_mut() {
                seen.before += self.at.saturating_sub(seen.at);
                seen.at = 0;
            }
            (self.term, self.at) = (touch.term, 0);
        }
        self.at = self.at.max(touch.at);
        let now = self.at;
        self.hosts.retain(|_, seen| seen.age(now) < KEPT);
        let new = Seen { before: 0, at: now };
        self.hosts
            .extend(touch.hosts.iter().map(|host| (host.clone(), new)));
    }

    /// Whether any leader has said what it touches. Those of earlier releases didn't.
    pub fn is_kept(&self) -> bool {
        self.term > 0
    }

    /// The hosts that were touched lately, and how long ago at least.
    pub fn ages(&self) -> impl Iterator<Item = (&HostId, Duration)> {
        let age = |seen: &Seen| Duration::from_millis(seen.age(self.at));
        self.hosts.iter().map(move |(host, seen)| (host, age(seen)))
    }
}

impl Seen {
    fn age(self, now: u64) -> u64 {
        self.before + now.saturating_sub(self.at)
    }
}
