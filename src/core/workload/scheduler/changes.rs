//! What the changes of the ledger mean for the leader, from those that it inherits on.

use std::time::Duration;

use super::{
    Agent, AgentRecord, Change, Job, Ledger, MinionId, Now, Phase, Placed, Run, STRAY, Scheduler,
    Settings, Slot, StepSpec, Task, TaskId, Wall,
    hosts::Stage,
    throttle::{INHERITED, UNTOLD},
};
use crate::core::types::Attempt;

/// How far it is known what came of what was ordered of an agent that was replaced.
enum Settling {
    /// Something of it may run, or whoever lives in its place isn't known.
    Open,
    /// Nothing of it has run since then; whether it ran to its end, only a list of its successor tells.
    Asks { successor: MinionId, since: Now },
    /// All of it is known.
    Over,
}

impl Scheduler {
    /// Takes an agent over from an earlier leader.
    ///
    /// `shared` says whether others are known at its address: an earlier leader hadn't come to find
    /// out who lives there.
    pub(super) fn inherit(
        &mut self,
        now: Now,
        ledger: &Ledger,
        record: &AgentRecord,
        shared: bool,
    ) {
        let id = &record.id;
        let mut agent = Agent::new(record.clone(), now);
        for task in ledger.placed(id) {
            let Some((spec, placed)) = placed_spec(ledger, task) else {
                continue;
            };
            let attempt = placed.attempt;
            let mut slot = Slot::new(spec, attempt, Phase::Unsure, now);
            slot.started_at = placed.began;
            // What the earlier leader sent last may still be under way.
            slot.unanswered = Some(now);
            slot.inherited = true;
            slot.started = !placed.unbegun;
            slot.share = UNTOLD;
            if self.settings.protections.inherit {
                agent.add(task, slot);
            } else {
                self.freed.push(Placed {
                    task,
                    attempt,
                    agent: id.clone(),
                });
            }
        }
        if agent.has_best_effort() {
            agent.share = INHERITED;
        }
        if !agent.slots.is_empty() {
            agent.lease_end = inherited_lease(now, &self.settings);
        }
        agent.unconfirmed = shared;
        self.agents.insert(id.clone(), agent);
    }

    pub(super) fn change(&mut self, now: Now, wall: Wall, ledger: &Ledger, change: &Change) {
        match change {
            Change::Accepted(id) => {
                if let Some(job) = ledger.job(*id) {
                    self.accepted.insert(*id, now);
                    let work = self.work(job) * self.open_part(ledger, job);
                    self.note_demand(&self.pool(job), work);
                    self.take_job(now, wall, *id, job);
                }
            }
            Change::Over(id) => self.end_job(now, ledger, *id),
            Change::Opened(step) => {
                if let Some(job) = ledger.job(step.job) {
                    self.open(now, *step, job);
                }
            }
            Change::Done { task, late } => self.settle(*task, *late),
            Change::Superfluous(placed) => {
                log::info!(task:% = placed.task, attempt = placed.attempt, agent:% = placed.agent; "an attempt isn't needed any more");
                self.stop(now, &placed.agent, placed.task);
            }
            Change::Vacated { placed, again } => self.vacated(now, ledger, placed, *again),
            Change::Suspected(task, evidence) => {
                if let Some(job) = ledger.job(task.step.job) {
                    self.record_evidence(job, *task, *evidence);
                }
            }
            Change::Acked { agent, through } => {
                if let Some(agent) = self.agents.get_mut(agent) {
                    agent.record.acked = *through;
                }
            }
            Change::Declared | Change::Placed(_) | Change::Wave(_) | Change::Convicted(_) => {}
            Change::Agent(id) => self.know(now, ledger, id),
            Change::Renamed { from, to } => {
                self.agents.remove(from);
                self.ends.remove(from);
                self.inherit_strays(from, to);
                if let Some(record) = ledger.agent(to) {
                    self.inherit(now, ledger, record, false);
                }
            }
            Change::Gone(id) => {
                self.losses.mark_committed(id);
                self.agents.remove(id);
                self.ends.remove(id);
            }
        }
    }

    fn know(&mut self, now: Now, ledger: &Ledger, id: &MinionId) {
        let Some(record) = ledger.agent(id) else {
            return;
        };
        match self.agents.get_mut(id) {
            Some(agent) => {
                if record.leaving && !agent.record.leaving {
                    agent.log_leaving(ledger.applied());
                }
                agent.record = record.clone();
            }
            None => {
                let mut agent = Agent::new(record.clone(), now);
                agent.unconfirmed = true;
                // Its host may be listed, and be chosen for something, before its first heartbeat.
                for duty in self.hosts.duties.values_mut() {
                    let chosen = duty.agent.is_none() && duty.name.as_ref() == Some(record.name());
                    if chosen && !matches!(duty.stage, Stage::Ordered(_) | Stage::Away) {
                        duty.agent = Some(id.clone());
                        agent.cordoned = true;
                    }
                }
                self.agents.insert(id.clone(), agent);
                // It may be of a host that is back, which only a list shows.
                self.hosts.newcomer = true;
            }
        }
    }

    /// An agent answered for the first time, to a look that was sent then: those that were known
    /// before at its address, or by its name, are over.
    ///
    /// An address and a name belong to one incarnation at a time. They lived before the look was sent,
    /// and this one after it. Of those that became known since, the look says nothing.
    pub(super) fn supersede(&mut self, now: Now, sent: Now, id: &MinionId) {
        let Some(seen) = self.agents.get_mut(id) else {
            return;
        };
        if !std::mem::take(&mut seen.unconfirmed) {
            return;
        }
        let (address, name) = (seen.record.address, seen.record.name().clone());
        let former = self.agents.iter().filter(|(other, agent)| {
            let there = agent.record.address == address || *agent.record.name() == name;
            *other != id && there && agent.known_since <= sent
        });
        let former: Vec<_> = former.map(|(other, _)| other.clone()).collect();
        let (same, others): (Vec<_>, Vec<_>) = former.into_iter().partition(|other| {
            let agent = self.agents.get(other);
            agent.is_some_and(|agent| *agent.record.name() == name)
        });
        self.gone.extend(others);
        let replaced = |other: &MinionId| self.replaced.contains(other);
        let (before, newly): (Vec<_>, Vec<_>) = same.into_iter().partition(replaced);
        // Whoever confirmed their stops is over, too, and this one may still be told to begin what was stopped.
        if !newly.is_empty() {
            before.iter().for_each(|other| self.stop_anew(now, other));
        }
        for other in before.iter().chain(&newly) {
            self.inherit_strays(other, id);
            self.replace(now, other, Some(id));
        }
        // An order for one before it may have come to it, with a longer lease than was given here.
        if let Some(agent) = self.agents.get_mut(id)
            && agent.record.id != *agent.record.name()
        {
            agent.lease_end = agent.lease_end.max(inherited_lease(now, &self.settings));
        }
    }

    /// A later incarnation of an agent lives in its place.
    ///
    /// It takes what is ordered of this one, as orders name the agent. What may so be begun there is
    /// stopped before this one is over and its tasks are started anew.
    ///
    /// `by` is the later one if it has answered as itself; until it does, only its answers to what is
    /// ordered of this one show that it is there.
    pub(super) fn replace(&mut self, now: Now, id: &MinionId, by: Option<&MinionId>) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        if std::mem::replace(&mut agent.replaced, true) {
            return;
        }
        // What was known of its trouble before says nothing of the incarnation that lives now.
        agent.failing_since = Some(now);
        agent.silent_since.get_or_insert(now);
        agent.outlive(now, &self.settings);
        let unsettled = agent.slots.values_mut().filter(|slot| slot.is_unsettled());
        let mut count = 0;
        for slot in unsettled {
            slot.tries = 0;
            slot.set_phase(now, Phase::Stopping(None));
            count += 1;
        }
        let by = by.map_or("", |id| &**id);
        log::info!(agent:% = id, by, unsettled = count; "an agent has started again");
        self.replaced.insert(id.clone());
    }

    /// Agents that were replaced are over once nothing that was ordered of them can begin any more, and
    /// what came of it is in the log.
    pub(super) fn settle_replaced(&mut self, now: Now) {
        for id in self.replaced.clone() {
            match self.settling(now, &id) {
                Settling::Open => {}
                Settling::Asks { successor, since } => self.await_list(now, &successor, since),
                Settling::Over => {
                    self.replaced.remove(&id);
                    self.gone.insert(id);
                }
            }
        }
    }

    /// How far it is known what came of what was ordered of an agent that was replaced.
    ///
    /// A stop that is confirmed says that nothing of it runs, and not that it didn't run to its end. Only
    /// the incarnation that took the orders knows, and a list that it was asked for before the stops were
    /// through may lack an end.
    fn settling(&self, now: Now, id: &MinionId) -> Settling {
        let Some(agent) = self.agents.get(id) else {
            return Settling::Over;
        };
        let mut since = None;
        for slot in agent.slots.values() {
            match slot.phase {
                Phase::Stopping(_) => return Settling::Open,
                Phase::Stopped => since = since.max(Some(slot.phase_since + self.settings.stop)),
                _ => {}
            }
        }
        // Nothing was to be stopped there, or all of it is known.
        let Some(since) = since else {
            return Settling::Over;
        };
        let successor = self.agents.current(agent.record.name());
        let successor = successor.filter(|next| !next.replaced && !next.unconfirmed);
        match successor {
            Some(next) if now >= since && next.has_reported(since) => Settling::Over,
            Some(next) if now >= since => Settling::Asks {
                successor: next.record.id.clone(),
                since,
            },
            _ => Settling::Open,
        }
    }

    /// Asks an agent for a list, unless it has answered with one that was asked for since then.
    fn await_list(&mut self, now: Now, id: &MinionId, since: Now) {
        let known = self.agents.get(id);
        if known.is_none_or(|agent| agent.report_needed >= Some(since)) {
            return;
        }
        if let Some(agent) = self.agents.get_mut(id) {
            agent.report_needed = Some(since);
            agent.renewal_due = agent.renewal_due.min(now);
        }
    }

    /// Stops anew what was stopped of an agent that was replaced.
    fn stop_anew(&mut self, now: Now, id: &MinionId) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.outlive(now, &self.settings);
        for slot in agent.slots.values_mut() {
            if matches!(slot.phase, Phase::Stopping(_) | Phase::Stopped) {
                slot.tries = 0;
                slot.set_phase(now, Phase::Stopping(None));
            }
        }
    }

    /// Stops anew what was stopped of earlier incarnations of an agent, if its list shows any of it though it
    /// was asked for when that had to be over.
    pub(super) fn stop_again(
        &mut self,
        now: Now,
        sent: Now,
        id: &MinionId,
        running: &[(TaskId, Attempt)],
    ) {
        if self.replaced.is_empty() {
            return;
        }
        let Some(agent) = self.agents.get(id) else {
            return;
        };
        let stop = self.settings.stop;
        let late = |agent: &Agent| {
            running.iter().any(|(task, attempt)| {
                let slot = agent.slots.get(task);
                let slot = slot.filter(|slot| slot.attempt == *attempt);
                slot.is_some_and(|s| s.phase == Phase::Stopped && sent >= s.phase_since + stop)
            })
        };
        let former = self.agents.incarnations(agent.record.name());
        let former = former.filter(|former| former.replaced && late(former));
        let former: Vec<_> = former.map(|agent| agent.record.id.clone()).collect();
        for former in former {
            self.stop_anew(now, &former);
        }
    }

    /// Starts that were sent to an incarnation and got no answer may be carried out by the next.
    fn inherit_strays(&mut self, from: &MinionId, to: &MinionId) {
        if let Some(until) = self.strays.get(from).copied() {
            let strays = self.strays.entry(to.clone()).or_insert(until);
            *strays = (*strays).max(until);
        }
    }

    /// An attempt doesn't run any more.
    fn vacated(&mut self, now: Now, ledger: &Ledger, placed: &Placed, again: bool) {
        if let Some(agent) = self.agents.get_mut(&placed.agent) {
            let same = |slot: &Slot| slot.attempt == placed.attempt;
            if agent.slots.get(&placed.task).is_some_and(same) {
                agent.remove(now, placed.task);
            }
        }
        if again {
            self.free(now, ledger, placed.task);
        }
    }

    /// A task is done and never runs again: nothing of it waits, and nothing waits for it.
    ///
    /// An attempt that was given up may turn out to have done it, so that its last one needn't be placed.
    fn settle(&mut self, task: TaskId, late: bool) {
        self.ready.take(task.step, task.task);
        let held = self.suspects.clear(task);
        if let Some(held) = held.filter(|_| late) {
            let hosts = held.evidence.own.hosts;
            log::info!(task:%, hosts; "a suspect was done by an attempt that had been given up");
        }
    }

    /// Makes a task ready again.
    fn free(&mut self, now: Now, ledger: &Ledger, task: TaskId) {
        let Some(job) = ledger.job(task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        if !self.ready.free(task.step, task.task) {
            self.open(now, task.step, job);
        }
    }

    /// Sends the starts that were committed, and forgets those that lost a race in the ledger.
    pub(super) fn check_start(&mut self, now: Now, ledger: &Ledger, start: &Placed) {
        let job = ledger.job(start.task.step.job);
        let task = job.and_then(|job| job.task(start.task));
        let stands = task.is_some_and(|task| {
            task.attempt == start.attempt && task.agent.as_ref() == Some(&start.agent)
        });
        let over = job.is_none_or(Job::is_over);
        if let Some(slot) = self.slot(&start.agent, start.task) {
            if stands && !over {
                slot.set_phase(now, Phase::Due);
                return;
            }
            if stands {
                // It was cancelled in between, and nothing was sent.
                slot.set_phase(now, Phase::Ended);
                self.freed.push(start.clone());
                return;
            }
        }
        if let Some(agent) = self.agents.get_mut(&start.agent) {
            agent.remove(now, start.task);
        }
        let needed = |task: &Task| task.agent.is_none() && !task.done;
        // The tasks of an occurrence that is finished may have been dropped.
        let run = job.and_then(|job| job.runs.get(&start.task.step.occurrence));
        let open = !run.is_some_and(Run::is_finished);
        if open && task.is_none_or(needed) {
            self.free(now, ledger, start.task);
        }
    }
}

impl Agent {
    /// What was ordered of it may be carried out by the next incarnation, with the longest lease by that one's
    /// clock, and later if it got no answer.
    fn outlive(&mut self, now: Now, settings: &Settings) {
        let unanswered = self.slots.values().filter_map(|slot| slot.unanswered).max();
        let astray = unanswered.map(|sent| sent + STRAY + settings.lease);
        let lease = inherited_lease(now, settings);
        self.lease_end = self.lease_end.max(lease).max(astray.unwrap_or(lease));
    }
}

/// By when a lease that somebody else gave has surely run out.
fn inherited_lease(now: Now, settings: &Settings) -> Now {
    now + settings.lease.mul_f64(1.03) + Duration::from_millis(300)
}

/// What a task that is placed runs, and what is known of it.
fn placed_spec(ledger: &Ledger, task: TaskId) -> Option<(&StepSpec, &Task)> {
    let job = ledger.job(task.step.job)?;
    let spec = job.spec.steps.get(usize::from(task.step.step))?;
    Some((spec, job.task(task)?))
}
