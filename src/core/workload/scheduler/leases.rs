//! The leases of agents: renewed while they run something, and given up when they surely ran out.
//!
//! A renewal is a look as well: its answer lists what runs at the agent.

use std::time::Duration;

use super::{About, EXTEND, Now, Phase, Placed, STRAY, Scheduler, WAIT, WATCH, What};

impl Scheduler {
    /// Renews the leases of agents that run something, acknowledges ends to the others, and looks
    /// at those where something may run that isn't placed there, and at those that have still to
    /// answer at their addresses.
    pub(super) fn renew(&mut self, now: Now) {
        let lease = self.settings.lease;
        let mut due = Vec::new();
        for (id, agent) in self.agents.iter_mut() {
            // Most agents, most of the time: nothing is looked up for them.
            if agent.renewal.is_some() || now < agent.next {
                continue;
            }
            let acked = agent.record.acked;
            let idle = agent.slots.is_empty();
            let strays = self.strays.get(id).copied();
            let doubtful = self.settings.protections.looks && agent.is_doubtful(strays);
            let sought = agent.unseen && now < agent.heard + self.settings.silence;
            let wanted = !idle || acked != agent.told || doubtful || sought;
            if !wanted {
                continue;
            }
            let extend = !idle
                && agent
                    .trouble
                    .is_none_or(|since| now.saturating_sub(since) < EXTEND);
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
                WATCH
            } else if agent.slots.values().all(|slot| slot.lasting) {
                WAIT.1
            } else {
                WAIT.0
            };
            due.push((id.clone(), agent.target(), acked, until, wait));
        }
        for (agent, to, acked, until, wait) in due {
            let about = About::Renew {
                agent: agent.clone(),
                acked,
            };
            let what = What::Renew {
                to,
                acked,
                until,
                wait,
            };
            let order = self.order(now, about, what);
            if let Some(agent) = self.agents.get_mut(&agent) {
                agent.renewal = Some((order, now));
            }
        }
    }

    /// Frees what was at agents whose leases have surely run out.
    pub(super) fn expire_leases(&mut self, now: Now) {
        let stray = STRAY + self.settings.lease;
        for (id, agent) in self.agents.iter_mut() {
            let leased = now < agent.lease && self.settings.protections.lease;
            if agent.trouble.is_none() || leased {
                continue;
            }
            for (task, slot) in &mut agent.slots {
                let strays = slot
                    .unanswered
                    .is_some_and(|sent| now < sent + stray && self.settings.protections.lease);
                let open = !matches!(slot.phase, Phase::Proposed | Phase::Ended);
                if open && !strays {
                    slot.enter(now, Phase::Ended);
                    self.freed.push(Placed {
                        task: *task,
                        attempt: slot.attempt,
                        agent: id.clone(),
                    });
                }
            }
        }
    }
}
