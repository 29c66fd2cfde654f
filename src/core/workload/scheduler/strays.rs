//! Agents at which something may run that isn't placed there.
//!
//! What is placed at an agent is seen when its lease is renewed. Agents that nothing is placed at
//! need no renewals, and yet something may run there:
//!
//! - the agent was taken for gone while it lived, and is known again;
//! - an earlier leader's start is carried out late, at an agent that hasn't seen this term;
//! - this leader's start is carried out late, after the agent was taken for gone;
//! - its lease outlived what was counted, while it didn't answer;
//! - a stop of such an attempt got no answer.
//!
//! So an agent is looked at until a look that was sent after all of these has been answered, once
//! each [`IDLE_POLL_DELAY`](super::IDLE_POLL_DELAY) while nothing is placed there. The first such look also
//! tells it this leader's term, after which it refuses what earlier leaders sent.

use super::{Agent, MAX_ORDER_TRANSIT, MinionId, Now, Scheduler};

impl Scheduler {
    /// A start that was sent then got no answer, so it may be carried out later.
    pub(super) fn note_stray(&mut self, id: &MinionId, sent: Now) {
        let until = self.strays.entry(id.clone()).or_insert(Now::ZERO);
        *until = (*until).max(sent + MAX_ORDER_TRANSIT);
    }

    /// Forgets starts of which nothing can run any more, since the longest lease has run out too.
    pub(super) fn forget_strays(&mut self, now: Now) {
        let lease = self.settings.lease;
        self.strays.retain(|_, until| now < *until + lease);
    }
}

impl Agent {
    /// Whether something may run there that isn't placed there, with starts under way until then.
    pub(super) fn is_doubtful(&self, strays: Option<Now>) -> bool {
        let late = |seen| strays.is_some_and(|until| seen < until);
        self.trouble.is_some() || self.looked.is_none_or(late)
    }
}
