//! The leases of agents: renewed while they run something, and given up when they surely ran out.
//!
//! A renewal is a look as well: its answer lists what runs at the agent.

use std::time::Duration;

use super::{
    About, Agent, BEST_EFFORT_WAIT, EXTENSION_LIMIT, MAX_ORDER_TRANSIT, MinionId, Now, Phase,
    Placement, RENEWAL_WAIT, Scheduler, Settings, Slot, What,
};

/// From one look at an agent for which something is due that can't be done to the next: as often as
/// a leader that has nothing else to do looks at its timers.
const BLOCKED: Duration = Duration::from_millis(20);

impl Scheduler {
    /// Renews the leases of agents that run something, acknowledges ends to the others, and looks
    /// at those where something may run that isn't placed there, and at those that have still to
    /// answer at their addresses.
    pub(super) fn renew(&mut self, now: Now, agents: &[MinionId]) {
        let lease = self.settings.lease;
        let mut due = Vec::new();
        for id in agents {
            let Some(agent) = self.agents.get_mut(id) else {
                continue;
            };
            let strays = self.strays.get(id).copied();
            let at = agent.next_renewal(now, &self.settings, strays);
            if at.is_none_or(|at| now < at) {
                continue;
            }
            let acked = agent.acknowledges();
            let idle = agent.slots.is_empty();
            let extend = !idle
                && agent
                    .trouble
                    .is_none_or(|since| now.saturating_sub(since) < EXTENSION_LIMIT);
            let until = extend.then(|| agent.grant(now, lease)).flatten();
            let quiet = agent.slots.values().all(|slot| {
                matches!(
                    slot.phase,
                    Phase::Running | Phase::Ended | Phase::Starting(_)
                )
            });
            let wait = if idle || agent.trouble.is_some() || !quiet {
                Duration::ZERO
            } else if agent.serves() && agent.has_best_effort() {
                BEST_EFFORT_WAIT
            } else if agent.slots.values().all(|slot| slot.lasting) {
                RENEWAL_WAIT.1
            } else {
                RENEWAL_WAIT.0
            };
            let settles = agent.settles(now, self.settings.max_stop);
            let wait = settles.map_or(wait, |left| wait.min(left));
            due.push((id.clone(), agent.target(), acked, until, wait));
        }
        for (agent, to, acked, until, wait) in due {
            let about = About::Renew {
                agent: agent.clone(),
                acked,
                extends: until.is_some(),
            };
            let what = What::Renew {
                to,
                acked,
                until,
                wait,
            };
            let order = self.send_order(now, about, what);
            if let Some(agent) = self.agents.get_mut(&agent) {
                agent.renewal = Some((order, now));
            }
        }
    }

    /// Frees what was at agents whose leases have surely run out.
    pub(super) fn expire_leases(&mut self, now: Now) {
        for id in &self.agents.stirred_troubled() {
            let Some(agent) = self.agents.get_mut(id) else {
                continue;
            };
            let lease = agent.lease;
            for (task, slot) in &mut agent.slots {
                let lapse = slot.lapse(lease, &self.settings);
                if lapse.is_some_and(|lapse| now >= lapse) {
                    log::info!(agent:% = id, task:%, attempt = slot.attempt, phase:? = slot.phase; "a task's lease has run out at a silent agent");
                    slot.enter(now, Phase::Ended);
                    self.abandoned.push(Placement {
                        task: *task,
                        attempt: slot.attempt,
                        agent: id.clone(),
                    });
                }
            }
        }
    }

    /// Lets the agents rest that nothing is due for now.
    pub(super) fn rest(&mut self, now: Now) {
        let Self {
            agents,
            settings,
            strays,
            ..
        } = self;
        agents.settle(|id, agent| {
            let strays = strays.get(id).copied();
            let due = agent.next_look(now, settings, strays)?;
            // What is due and couldn't be done (its agent's clock isn't known, say) mustn't be looked
            // at in each turn; what makes it possible stirs the agent.
            if due > now {
                return Some(due);
            }
            let blocked = now + BLOCKED;
            let withdrawal = agent.next_withdrawal(now, settings);
            Some(withdrawal.map_or(blocked, |at| at.min(blocked)))
        });
    }
}

impl Agent {
    /// When something is due for it if nothing happens to it before.
    fn next_look(&self, now: Now, settings: &Settings, strays: Option<Now>) -> Option<Now> {
        let renewal = self.next_renewal(now, settings, strays);
        let slots = self.slots.values().filter_map(|slot| {
            let lapse = slot.lapse(self.lease, settings);
            match (slot.phase, self.trouble) {
                // Stops are sent, and leases run out, whether or not it answers.
                (Phase::Stopping(None), trouble) => {
                    let lapse = lapse.filter(|_| trouble.is_some());
                    Some(lapse.map_or(slot.next_try(), |lapse| lapse.min(slot.next_try())))
                }
                (Phase::Due, None) => Some(slot.next_try().min(slot.last_try(settings))),
                (Phase::Due, Some(_)) => {
                    let last = slot.last_try(settings);
                    Some(lapse.map_or(last, |lapse| lapse.min(last)))
                }
                (_, Some(_)) => lapse,
                (_, None) => None,
            }
        });
        renewal.into_iter().chain(slots).min()
    }

    /// When the next of its starts that couldn't be sent is given up.
    fn next_withdrawal(&self, now: Now, settings: &Settings) -> Option<Now> {
        let slots = self.slots.values();
        let due = slots.filter(|slot| slot.phase == Phase::Due);
        let last = due.map(|slot| slot.last_try(settings));
        last.filter(|at| *at > now).min()
    }

    /// When its next renewal or look is to be sent; `None` if there is no reason for one.
    fn next_renewal(&self, now: Now, settings: &Settings, strays: Option<Now>) -> Option<Now> {
        if self.renewal.is_some() || self.replaced {
            return None;
        }
        let doubtful = settings.protections.polls && self.is_doubtful(strays);
        let sought = self.unseen && now < self.heard + settings.max_silence;
        let unacked = self.record.acked != self.told;
        let wanted = !self.slots.is_empty() || unacked || doubtful || sought || self.owes_list();
        wanted.then_some(self.next)
    }
}

impl Slot {
    /// When what runs there has surely ended if its agent doesn't answer, given when the agent's lease
    /// has run out; `None` if it isn't there, or its end is known.
    fn lapse(&self, lease: Now, settings: &Settings) -> Option<Now> {
        if matches!(self.phase, Phase::Proposed | Phase::Ended) {
            return None;
        }
        if !settings.protections.lease {
            return Some(Now::ZERO);
        }
        let stray = MAX_ORDER_TRANSIT + settings.lease;
        Some(
            self.unanswered
                .map_or(lease, |sent| lease.max(sent + stray)),
        )
    }
}
