//! Applies changes of the ledger to the scheduler's state: takes over what earlier leaders
//! committed, tracks jobs, tasks and agents as they change, and works out when an agent's earlier
//! incarnation has terminated.
//!
//! An incarnation that a later one has replaced is removed only once nothing that was ordered of it
//! can start any more and all its results are in the log.

use std::time::Duration;

use super::{
    Agent, AgentRecord, Change, Job, Ledger, MAX_ORDER_TRANSIT, MinionId, Now, Phase, Placement,
    Scheduler, Settings, Slot, StepSpec, Task, TaskId, Wall,
    operations::Stage,
    throttle::{INHERITED_SHARE, UNKNOWN_SHARE},
};
use crate::core::types::Attempt;

/// What is known about the orders that were sent to a replaced incarnation.
enum ReplacedOutcome {
    /// An attempt may still run, or the incarnation that replaced it isn't known.
    Unsettled,
    /// No attempt has run since `since`. Whether each one ran to its end is known only from a
    /// report of the successor.
    NeedsReport { successor: MinionId, since: Now },
    /// The outcome of every order is known.
    Settled,
}

impl Scheduler {
    /// Takes an agent over from an earlier leader.
    ///
    /// `shared` says whether other agents are known at its address: an earlier leader may not have
    /// found out which of them is running there.
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
            slot.started_at = placed.started_at;
            // The last order of the earlier leader may still be in transit.
            slot.unanswered = Some(now);
            slot.inherited = true;
            let unsent = ledger.recent_starts().contains(task, attempt);
            slot.started = !placed.not_started && !unsent;
            slot.share = UNKNOWN_SHARE;
            let placed = Placement {
                task,
                attempt,
                agent: id.clone(),
            };
            if self.settings.protections.inherit {
                self.count_placed(ledger, task, attempt, spec);
                agent.add(task, slot);
                // This leader's rounds will replace those that show it to the next one.
                self.not_started.extend(unsent.then_some(placed));
            } else {
                self.abandoned.push(placed);
            }
        }
        if agent.has_best_effort() {
            agent.share = INHERITED_SHARE;
        }
        if !agent.slots.is_empty() {
            agent.lease_end = inherited_lease(now, &self.settings);
        }
        agent.unconfirmed = shared;
        self.agents.insert(id.clone(), agent);
    }

    pub(super) fn apply_change(&mut self, now: Now, wall: Wall, ledger: &Ledger, change: &Change) {
        match change {
            Change::Accepted(id) => {
                if let Some(job) = ledger.job(*id) {
                    let pending = self.admission.take_pending(now, *id);
                    // A reserved job is served in the order of its first submission.
                    let since = pending.and_then(|pending| pending.reserved_since);
                    self.accepted_at.insert(*id, since.unwrap_or(now));
                    if !pending.is_some_and(|pending| pending.was_counted) {
                        let work = self.batch_work(job) * self.allowed_part(ledger, job);
                        self.add_demand(&self.pool(job), work);
                        self.count_offer(now, Duration::ZERO, job);
                    }
                    self.open_job(now, wall, *id, job);
                }
            }
            Change::JobEnded(id) => self.end_job(now, ledger, *id),
            Change::OccurrenceFinished(id, occurrence) => self.close_occurrence(*id, *occurrence),
            Change::StepReady(step) => {
                if let Some(job) = ledger.job(step.job) {
                    self.open_step(now, *step, job);
                }
            }
            Change::Done {
                task,
                was_abandoned: late,
            } => self.complete_task(*task, *late),
            Change::Redundant(placed) => {
                log::info!(task:% = placed.task, attempt = placed.attempt, agent:% = placed.agent; "an attempt is no longer needed");
                self.stop(now, &placed.agent, placed.task);
            }
            Change::Unplaced {
                placed,
                retry: again,
            } => self.remove_attempt(now, ledger, placed, *again),
            Change::Suspected(task, evidence) => {
                if let Some(job) = ledger.job(task.step.job) {
                    self.record_evidence(job, *task, *evidence);
                }
            }
            Change::Acked { agent, through } => {
                if let Some(agent) = self.agents.get_mut(agent) {
                    agent.record.acked = *through;
                    if agent.cut_report.is_some() {
                        agent.renewal_due = agent.renewal_due.min(now);
                    }
                }
            }
            Change::Declared | Change::Placed(_) | Change::Wave(_) | Change::PoisonTask(_) => {}
            Change::Agent(id) => self.update_agent(now, ledger, id),
            Change::Renamed { from, to } => {
                self.agents.remove(from);
                self.ending.remove(from);
                self.ends.remove(from);
                self.inherit_strays(from, to);
                if let Some(record) = ledger.agent(to) {
                    self.inherit(now, ledger, record, false);
                }
            }
            Change::Terminated(id) => {
                self.losses.mark_committed(id);
                self.ending.remove(id);
                self.agents.remove(id);
                self.ends.remove(id);
            }
        }
    }

    fn update_agent(&mut self, now: Now, ledger: &Ledger, id: &MinionId) {
        let Some(record) = ledger.agent(id) else {
            return;
        };
        match self.agents.get_mut(id) {
            Some(agent) => {
                if record.leaving && !agent.record.leaving {
                    agent.log_leaving(ledger.applied());
                }
                self.agents.set_record(record);
            }
            None => {
                let mut agent = Agent::new(record.clone(), now);
                agent.unconfirmed = true;
                // Its host may have been listed, and chosen for an operation, before the agent's
                // first heartbeat.
                for operation in self.hosts.operations.values_mut() {
                    let chosen =
                        operation.agent.is_none() && operation.name.as_ref() == Some(record.name());
                    if chosen && !matches!(operation.stage, Stage::Ordered(_) | Stage::Away) {
                        operation.agent = Some(id.clone());
                        agent.cordoned = true;
                    }
                }
                self.agents.insert(id.clone(), agent);
                // Its host may have come back, which only a list of the hosts shows.
                self.hosts.new_agent = true;
            }
        }
    }

    /// Handles the first answer of an agent, to an order sent at `sent`: other agents that were
    /// known before that time at its address or by its name have terminated or been replaced.
    ///
    /// An address and a name belong to one incarnation at a time. The others ran before the order
    /// was sent, and this one answered after it. About agents that became known after `sent` the
    /// answer says nothing.
    pub(super) fn replace_former(&mut self, now: Now, sent: Now, id: &MinionId) {
        let Some(seen) = self.agents.get_mut(id) else {
            return;
        };
        if !std::mem::take(&mut seen.unconfirmed) {
            return;
        }
        let (address, name) = (seen.record.address, seen.record.name().clone());
        let known = self.agents.at_or_named(address, &name).into_iter();
        let former = known.map(|agent| (&agent.record.id, agent.known_since));
        let former = former.filter(|(other, since)| *other != id && *since <= sent);
        let former: Vec<_> = former.map(|(other, _)| other.clone()).collect();
        let (same, others): (Vec<_>, Vec<_>) = former.into_iter().partition(|other| {
            let agent = self.agents.get(other);
            agent.is_some_and(|agent| *agent.record.name() == name)
        });
        self.terminated.extend(others);
        let replaced = |other: &MinionId| self.replaced.contains(other);
        let (before, newly): (Vec<_>, Vec<_>) = same.into_iter().partition(replaced);
        // The incarnation that confirmed their stops has been replaced, too, and this one may still
        // receive starts of the attempts that were stopped.
        if !newly.is_empty() {
            before
                .iter()
                .for_each(|other| self.stop_replaced(now, other));
        }
        for other in before.iter().chain(&newly) {
            self.inherit_strays(other, id);
            self.mark_replaced(now, other, Some(id));
        }
        // An order for an earlier incarnation may have reached this one, with a longer lease than
        // this leader granted it.
        if let Some(agent) = self.agents.get_mut(id)
            && agent.record.id != *agent.record.name()
        {
            agent.lease_end = agent.lease_end.max(inherited_lease(now, &self.settings));
        }
    }

    /// Marks an incarnation as replaced by a later one of the same agent.
    ///
    /// The later incarnation accepts orders for this one, as orders name the agent. Attempts that
    /// may have started there because of that are stopped before this incarnation is removed and
    /// its tasks are started anew.
    ///
    /// `by` is the later incarnation if it has answered under its own id. Until it does, only its
    /// answers to orders for this one show that it exists.
    pub(super) fn mark_replaced(&mut self, now: Now, id: &MinionId, by: Option<&MinionId>) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        if std::mem::replace(&mut agent.replaced, true) {
            return;
        }
        // Failures of the earlier incarnation to answer say nothing about the one that runs now.
        agent.failing_since = Some(now);
        agent.silent_since.get_or_insert(now);
        agent.extend_lease_for_successor(now, &self.settings);
        let unsettled = agent.slots.values_mut().filter(|slot| slot.is_unsettled());
        let mut count = 0;
        for slot in unsettled {
            slot.tries = 0;
            slot.set_phase(now, Phase::Stopping(None));
            count += 1;
        }
        let by = by.map_or("", |id| &**id);
        log::info!(agent:% = id, by, unsettled = count; "an agent has restarted");
        self.replaced.insert(id.clone());
    }

    /// Marks replaced incarnations as terminated once nothing that was ordered of them can start
    /// any more and all their results are in the log.
    pub(super) fn retire_replaced(&mut self, now: Now) {
        for id in self.replaced.clone() {
            match self.replaced_outcome(now, &id) {
                ReplacedOutcome::Unsettled => {}
                ReplacedOutcome::NeedsReport { successor, since } => {
                    self.request_report(now, &successor, since);
                }
                ReplacedOutcome::Settled => {
                    self.replaced.remove(&id);
                    self.terminated.insert(id);
                }
            }
        }
    }

    /// Returns what is known about the orders that were sent to a replaced incarnation.
    ///
    /// A confirmed stop shows that the attempt isn't running, but not whether it had already run to
    /// its end. Only the incarnation that accepted the orders knows that, and a report that it was
    /// asked for before the stops were complete may lack an end.
    fn replaced_outcome(&self, now: Now, id: &MinionId) -> ReplacedOutcome {
        let Some(agent) = self.agents.get(id) else {
            return ReplacedOutcome::Settled;
        };
        let mut since = None;
        for slot in agent.slots.values() {
            match slot.phase {
                Phase::Stopping(_) => return ReplacedOutcome::Unsettled,
                Phase::Stopped => {
                    since = since.max(Some(slot.phase_since + self.settings.max_stop));
                }
                _ => {}
            }
        }
        // Nothing had to be stopped there, or the outcome of all of it is known.
        let Some(since) = since else {
            return ReplacedOutcome::Settled;
        };
        let successor = self.agents.current(agent.record.name());
        let successor = successor.filter(|next| !next.replaced && !next.unconfirmed);
        match successor {
            Some(next) if now >= since && next.has_reported(since) => ReplacedOutcome::Settled,
            Some(next) if now >= since => ReplacedOutcome::NeedsReport {
                successor: next.record.id.clone(),
                since,
            },
            _ => ReplacedOutcome::Unsettled,
        }
    }

    /// Asks an agent for a report, unless it has already been asked for one since then.
    fn request_report(&mut self, now: Now, id: &MinionId, since: Now) {
        let known = self.agents.get(id);
        if known.is_none_or(|agent| agent.report_needed >= Some(since)) {
            return;
        }
        if let Some(agent) = self.agents.get_mut(id) {
            agent.report_needed = Some(since);
            agent.renewal_due = agent.renewal_due.min(now);
        }
    }

    /// Stops the stopped attempts of a replaced incarnation again.
    fn stop_replaced(&mut self, now: Now, id: &MinionId) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.extend_lease_for_successor(now, &self.settings);
        for slot in agent.slots.values_mut() {
            if matches!(slot.phase, Phase::Stopping(_) | Phase::Stopped) {
                slot.tries = 0;
                slot.set_phase(now, Phase::Stopping(None));
            }
        }
    }

    /// Stops the stopped attempts of an agent's earlier incarnations again if a report of the agent
    /// shows one of them, although the report was asked for when that attempt had to have ended.
    pub(super) fn stop_late_attempts(
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
        let stop = self.settings.max_stop;
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
            self.stop_replaced(now, &former);
        }
    }

    /// Carries over starts that got no answer: the next incarnation may carry them out.
    fn inherit_strays(&mut self, from: &MinionId, to: &MinionId) {
        if let Some(until) = self.strays.get(from).copied() {
            let strays = self.strays.entry(to.clone()).or_insert(until);
            *strays = (*strays).max(until);
        }
    }

    /// Removes an attempt that no longer runs.
    fn remove_attempt(&mut self, now: Now, ledger: &Ledger, placed: &Placement, again: bool) {
        if let Some(agent) = self.agents.get_mut(&placed.agent) {
            let same = |slot: &Slot| slot.attempt == placed.attempt;
            if agent.slots.get(&placed.task).is_some_and(same) {
                agent.remove(now, placed.task);
            }
        }
        self.count_unplaced(placed.task, placed.attempt);
        self.occurrences.stir(placed.task.step.job);
        if again {
            self.make_ready(now, ledger, placed.task);
        }
    }

    /// Removes a task that is done, and so never runs again, from the ready tasks and the suspects.
    ///
    /// An abandoned attempt may turn out to have done it, so its latest attempt needn't be placed.
    fn complete_task(&mut self, task: TaskId, late: bool) {
        self.ready.take(task.step, task.task);
        self.occurrences.stir(task.step.job);
        self.outstanding
            .finish_task(task.step.job, usize::from(task.step.step));
        let held = self.suspects.clear(task);
        if let Some(held) = held.filter(|_| late) {
            let hosts = held.evidence.own.hosts;
            log::info!(task:%, hosts; "a suspect was completed by an abandoned attempt");
        }
    }

    /// Makes a task ready again.
    fn make_ready(&mut self, now: Now, ledger: &Ledger, task: TaskId) {
        let Some(job) = ledger.job(task.step.job).filter(|job| !job.has_ended()) else {
            return;
        };
        if !self.ready.free(task.step, task.task) {
            self.open_step(now, task.step, job);
        }
    }

    /// Makes committed starts due, and drops those that the ledger no longer shows as placed.
    pub(super) fn confirm_start(&mut self, now: Now, ledger: &Ledger, start: &Placement) {
        let job = ledger.job(start.task.step.job);
        let task = job.and_then(|job| job.task(start.task));
        let stands = task.is_some_and(|task| {
            task.attempt == start.attempt && task.agent.as_ref() == Some(&start.agent)
        });
        let over = job.is_none_or(Job::has_ended);
        if let Some(slot) = self.slot(&start.agent, start.task) {
            if stands && !over {
                let delay = now.saturating_sub(slot.placed_at);
                slot.set_phase(now, Phase::Due);
                self.commit_delays.push(delay);
                return;
            }
            if stands {
                // The job was cancelled in the meantime, and nothing was sent.
                slot.set_phase(now, Phase::Ended);
                self.abandoned.push(start.clone());
                return;
            }
        }
        if let Some(agent) = self.agents.get_mut(&start.agent) {
            agent.remove(now, start.task);
        }
        self.count_unplaced(start.task, start.attempt);
        let needed = |task: &Task| task.agent.is_none() && !task.done;
        // The tasks of a finished occurrence may have been dropped.
        let open = !job.is_some_and(|job| job.is_finished(start.task.step.occurrence));
        if open && task.is_none_or(needed) {
            self.make_ready(now, ledger, start.task);
        }
    }
}

impl Agent {
    /// Extends the lease for orders of this incarnation that the next one may carry out: with the
    /// longest lease by the next one's clock, and later if an order got no answer.
    fn extend_lease_for_successor(&mut self, now: Now, settings: &Settings) {
        let unanswered = self.slots.values().filter_map(|slot| slot.unanswered).max();
        let astray = unanswered.map(|sent| sent + MAX_ORDER_TRANSIT + settings.lease);
        let lease = inherited_lease(now, settings);
        self.lease_end = self.lease_end.max(lease).max(astray.unwrap_or(lease));
    }
}

/// When a lease granted by another leader or to another incarnation has certainly expired.
fn inherited_lease(now: Now, settings: &Settings) -> Now {
    now + settings.lease.mul_f64(1.03) + Duration::from_millis(300)
}

/// The step's spec and the state of a placed task.
fn placed_spec(ledger: &Ledger, task: TaskId) -> Option<(&StepSpec, &Task)> {
    let job = ledger.job(task.step.job)?;
    let spec = job.spec.steps.get(usize::from(task.step.step))?;
    Some((spec, job.task(task)?))
}
