//! Agents at which an attempt may run that isn't placed there (a *stray* attempt).
//!
//! Attempts that are placed at an agent are seen when its lease is renewed. An agent without placed
//! attempts needs no renewals, and yet an attempt may run there:
//!
//! - the agent was taken for lost while it was running, and is known again;
//! - the start of an earlier leader is carried out late, at an agent that hasn't seen this term;
//! - a start of this leader is carried out late, after the agent was taken for lost;
//! - the agent's lease lasted longer than the leader assumed, while the agent didn't answer;
//! - a stop of such an attempt went unanswered.
//!
//! So the leader polls such an agent until it has answered a poll that was sent after all of these,
//! once per [`IDLE_POLL_DELAY`](super::IDLE_POLL_DELAY) while nothing is placed there. The first such poll also
//! tells the agent this leader's term, after which the agent refuses the orders of earlier leaders.

use super::{Agent, MAX_ORDER_TRANSIT, MinionId, Now, Scheduler};

impl Scheduler {
    /// Notes that a start that was sent at `sent` went unanswered, so that it may be carried out
    /// later.
    pub(super) fn record_stray(&mut self, id: &MinionId, sent: Now) {
        let until = self.strays.entry(id.clone()).or_insert(Now::ZERO);
        *until = (*until).max(sent + MAX_ORDER_TRANSIT);
    }

    /// Forgets the starts from which nothing can run any more, since the longest lease has run out
    /// too.
    pub(super) fn forget_strays(&mut self, now: Now) {
        let lease = self.settings.lease;
        self.strays.retain(|_, until| now < *until + lease);
    }
}

impl Agent {
    /// Whether a stray attempt may run there, given until when starts to it may be under way.
    pub(super) fn may_run_strays(&self, strays: Option<Now>) -> bool {
        let late = |seen| strays.is_some_and(|until| seen < until);
        self.failing_since.is_some() || self.clean_report.is_none_or(late)
    }
}
