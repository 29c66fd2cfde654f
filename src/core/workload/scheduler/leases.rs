//! The leases of agents: renewed while attempts run there, and given up once they have certainly
//! run out.
//!
//! A renewal also polls the agent: its answer is a report of what runs there.

use std::time::Duration;

use super::{
    About, Agent, BEST_EFFORT_WAIT, EXTENSION_LIMIT, MAX_ORDER_TRANSIT, MinionId, Now, OrderKind,
    Phase, Placement, RENEWAL_WAIT, Scheduler, Settings, Slot,
};

/// The interval between two visits of an agent for which something is due that can't be done: as
/// often as an otherwise idle leader checks its timers.
const BLOCKED_INTERVAL: Duration = Duration::from_millis(20);

impl Scheduler {
    /// Renews the leases of agents that run something and acknowledges ends to the others. Also
    /// polls the agents at which a stray attempt may run, and those that have still to answer at
    /// their addresses.
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
            let acked = agent.next_ack();
            let idle = agent.slots.is_empty();
            let extend = !idle
                && agent
                    .failing_since
                    .is_none_or(|since| now.saturating_sub(since) < EXTENSION_LIMIT);
            let until = extend.then(|| agent.grant_lease(now, lease)).flatten();
            let quiet = agent.slots.values().all(|slot| {
                matches!(
                    slot.phase,
                    Phase::Running | Phase::Ended | Phase::Starting(_)
                )
            });
            let wait = if idle || agent.failing_since.is_some() || !quiet {
                Duration::ZERO
            } else if agent.has_latency_sensitive() && agent.has_best_effort() {
                BEST_EFFORT_WAIT
            } else if agent.slots.values().all(|slot| slot.long_running) {
                RENEWAL_WAIT.1
            } else {
                RENEWAL_WAIT.0
            };
            let settles = agent.settle_time(now, self.settings.max_stop);
            let wait = settles.map_or(wait, |left| wait.min(left));
            due.push((id.clone(), agent.target(), acked, until, wait));
        }
        for (agent, to, acked, until, wait) in due {
            let about = About::Renew {
                agent: agent.clone(),
                acked,
                extends: until.is_some(),
            };
            let kind = OrderKind::Renew {
                to,
                acked,
                until,
                wait,
            };
            let order = self.send_order(now, about, kind);
            if let Some(agent) = self.agents.get_mut(&agent) {
                agent.renewal = Some((order, now));
            }
        }
    }

    /// Frees the attempts at agents whose leases have certainly run out.
    pub(super) fn expire_leases(&mut self, now: Now) {
        for id in &self.agents.dirty_unresponsive() {
            let Some(agent) = self.agents.get_mut(id) else {
                continue;
            };
            let lease = agent.lease_end;
            for (task, slot) in &mut agent.slots {
                let lapse = slot.expiry(lease, &self.settings);
                if lapse.is_some_and(|lapse| now >= lapse) {
                    log::info!(agent:% = id, task:%, attempt = slot.attempt, phase:? = slot.phase; "a task's lease has expired at an agent that doesn't answer");
                    slot.set_phase(now, Phase::Ended);
                    self.abandoned.push(Placement {
                        task: *task,
                        attempt: slot.attempt,
                        agent: id.clone(),
                    });
                }
            }
        }
    }

    /// Schedules the next visit of the agents that were visited in this turn.
    pub(super) fn schedule_agents(&mut self, now: Now) {
        let Self {
            agents,
            settings,
            strays,
            ..
        } = self;
        agents.schedule_visits(|id, agent| {
            let strays = strays.get(id).copied();
            let due = agent.next_visit(now, settings, strays)?;
            // If what is due couldn't be done (because the agent's clock isn't known, say), the
            // agent must not be visited in each turn. Whatever makes it possible marks the agent as
            // dirty.
            if due > now {
                return Some(due);
            }
            let blocked = now + BLOCKED_INTERVAL;
            let withdrawal = agent.next_withdrawal(now, settings);
            Some(withdrawal.map_or(blocked, |at| at.min(blocked)))
        });
    }
}

impl Agent {
    /// When something is due for the agent if nothing happens to it before.
    fn next_visit(&self, now: Now, settings: &Settings, strays: Option<Now>) -> Option<Now> {
        let renewal = self.next_renewal(now, settings, strays);
        let slots = self.slots.values().filter_map(|slot| {
            let lapse = slot.expiry(self.lease_end, settings);
            match (slot.phase, self.failing_since) {
                // Stops are sent, and leases run out, whether or not the agent answers.
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

    /// When the next of its starts that couldn't be sent has to be withdrawn.
    fn next_withdrawal(&self, now: Now, settings: &Settings) -> Option<Now> {
        let slots = self.slots.values();
        let due = slots.filter(|slot| slot.phase == Phase::Due);
        let last = due.map(|slot| slot.last_try(settings));
        last.filter(|at| *at > now).min()
    }

    /// When its next renewal has to be sent; `None` if there is no reason for one.
    fn next_renewal(&self, now: Now, settings: &Settings, strays: Option<Now>) -> Option<Now> {
        if self.renewal.is_some() || self.replaced {
            return None;
        }
        let strays = settings.protections.polls && self.may_run_strays(strays);
        let unconfirmed = self.unconfirmed && now < self.last_seen + settings.max_silence;
        let unacked = self.record.acked != self.acked_end;
        let owes = self.owes_report() || self.cut_report.is_some();
        let needed = !self.slots.is_empty() || unacked || strays || unconfirmed || owes;
        needed.then_some(self.renewal_due)
    }
}

impl Slot {
    /// When the attempt has certainly ended if its agent doesn't answer, given the end of the
    /// agent's lease; `None` if the attempt isn't there yet, or its end is known.
    pub(super) fn expiry(&self, lease: Now, settings: &Settings) -> Option<Now> {
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
