//! Renewals of agents with long-running tasks that haven't been answered for too long.
//!
//! A long-running task ends with the lease of its agent. From outside, a leader that doesn't renew
//! leases looks like a cluster without a leader: in both cases the tasks end and nothing is started
//! in their place. This module shows the first: how many tasks the leader takes for running though
//! no renewal was answered at their agents, and what it waits for at one of them. It only observes,
//! and changes no decision.

use std::time::Duration;

use super::{Agent, MinionId, Now, OrderId, Scheduler};

/// Interval between two reports. Each visits the agents whose renewals are overdue.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The agents whose renewals are overdue: they have answered none for half of the longest lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverdueRenewals {
    /// The long-running tasks that run at all agents, as far as the leader knows.
    pub running: usize,
    /// Those of them that run at these agents.
    pub overdue: usize,
    /// These agents.
    pub agents: usize,
    /// Those of them that are known not to answer.
    pub failing: usize,
    /// The agent that has answered no renewal for the longest time. One that isn't known not to
    /// answer goes first.
    pub agent: MinionId,
    /// How long ago it last answered a renewal, or its first long-running task started if that was
    /// later.
    pub age: Duration,
    /// The renewal of this agent that has no answer so far, and how long ago it was sent.
    pub pending: Option<(OrderId, Duration)>,
    /// How long ago the first of its renewals was sent that went unanswered.
    pub unanswered: Option<Duration>,
}

impl Scheduler {
    /// The longest time for which an agent with long-running tasks has answered no renewal; zero if
    /// there is no such agent.
    pub fn renewal_age(&self, now: Now) -> Duration {
        let oldest = self.agents.oldest_renewal();
        oldest.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// The agents whose renewals are overdue; `None` if there are none. Visits these agents.
    pub fn overdue_renewals(&self, now: Now) -> Option<OverdueRenewals> {
        let limit = now.checked_sub(self.settings.lease / 2)?;
        let (mut overdue, mut agents, mut failing) = (0, 0, 0);
        let mut oldest: Option<(Now, &Agent)> = None;
        for (since, running, agent) in self.agents.overdue(limit) {
            overdue += running;
            agents += 1;
            failing += usize::from(agent.failing_since.is_some());
            let first = oldest.is_none_or(|(_, oldest)| {
                oldest.failing_since.is_some() && agent.failing_since.is_none()
            });
            if first {
                oldest = Some((since, agent));
            }
        }
        let (since, agent) = oldest?;
        let age = |since| now.saturating_sub(since);
        Some(OverdueRenewals {
            running: self.agents.running(),
            overdue,
            agents,
            failing,
            agent: agent.record.id.clone(),
            age: age(since),
            pending: agent.renewal.map(|(order, sent)| (order, age(sent))),
            unanswered: agent.failing_since.map(age),
        })
    }

    /// The overdue renewals, if there are any and the last report is long enough ago.
    pub(super) fn report_overdue(&mut self, now: Now) -> Option<OverdueRenewals> {
        if self.overdue_due.is_some_and(|due| now < due)
            || self.renewal_age(now) < self.settings.lease / 2
        {
            return None;
        }
        self.overdue_due = Some(now + REPORT_INTERVAL);
        self.overdue_renewals(now)
    }
}
