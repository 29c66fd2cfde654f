//! What the scheduler concludes from the answers to its orders.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    About, Answer, EndBatch, IDLE_POLL_DELAY, MAX_START_TRIES, MinionId, Now, ORDER_RETRY_DELAY,
    OrderId, OrderKind, Pending, Phase, Placement, RENEWAL_GAP, RENEWAL_RETRY_DELAY, Refusal,
    Report, ReportedEnd, Scheduler, Settings, Slot, TaskId,
};
use super::{exclusions::Cause, operations::Stage, throttle::UNKNOWN_SHARE};
use crate::core::workload::command::Ending;

/// The progress that a long-running task reports when it does all its work, in percent.
const FULL_PERCENT: u32 = 100;

/// A start that was sent.
struct SentStart<'a> {
    order: OrderId,
    agent: &'a MinionId,
    task: TaskId,
    sent: Now,
}

/// A renewal that was sent.
struct SentRenewal {
    sent: Now,
    /// The number of the last end that the renewal acknowledged.
    acked: u64,
    /// Whether the renewal extended the lease.
    extends: bool,
}

impl Scheduler {
    /// Takes in the answer to an order.
    pub fn answered(&mut self, now: Now, order: OrderId, answer: Answer) {
        if matches!(answer, Answer::Unsent) {
            return self.return_order(now, now + ORDER_RETRY_DELAY, order);
        }
        let Some(Pending { sent, about }) = self.pending.remove(&order) else {
            return;
        };
        if let Answer::Refused {
            why: Refusal::Fence,
            ..
        } = answer
        {
            self.superseded = true;
            return;
        }
        match about {
            About::Start(agent, task) => {
                let start = SentStart {
                    order,
                    agent: &agent,
                    task,
                    sent,
                };
                self.start_answered(now, &start, &answer);
            }
            About::Stop(agent, task) => self.stop_answered(now, order, &agent, task, &answer),
            About::Throttle(agent, task) => {
                // An unanswered throttle is sent again with the next report.
                if !matches!(answer, Answer::Done { .. })
                    && let Some(slot) = self.slot(&agent, task)
                {
                    slot.share = UNKNOWN_SHARE;
                }
            }
            About::StopUnplaced(agent) => self.stop_unplaced_answered(now, &agent, &answer),
            About::Renew {
                agent,
                acked,
                extends,
            } => {
                let about = SentRenewal {
                    sent,
                    acked,
                    extends,
                };
                self.renewal_answered(now, &about, &agent, answer);
            }
            About::Hosts => {
                self.take_host_list(now, sent, answer);
            }
            About::Eligible(question) => self.take_eligible_answer(now, sent, question, answer),
            About::Operation(host) => self.take_host_answer(now, order, &host, &answer),
        }
    }

    /// Takes back orders of the last plan that weren't sent, because the leader's lease expired
    /// while it planned. The lease may become valid again in the same term, and an order that is
    /// never sent gets no answer.
    pub fn take_back(&mut self, now: Now, orders: impl IntoIterator<Item = OrderId>) {
        for order in orders {
            self.return_order(now, now, order);
        }
    }

    /// Handles that an order was never sent. It certainly wasn't carried out, and it says nothing
    /// about its receiver. So a renewal, a start or an order about a host is due again from `due`
    /// on, if it is still wanted then; all else counts as unanswered and is repeated.
    fn return_order(&mut self, now: Now, due: Now, order: OrderId) {
        match self.pending.get(&order).map(|pending| &pending.about) {
            Some(About::Renew { agent, .. }) => {
                if let Some(agent) = self.agents.get_mut(agent) {
                    agent.renewal = None;
                    agent.renewal_due = agent.renewal_due.max(due);
                }
            }
            Some(About::Start(agent, task)) => {
                let agent = self.agents.get_mut(agent);
                let slot = agent.and_then(|agent| agent.slots.get_mut(task));
                if let Some(slot) = slot.filter(|slot| slot.phase == Phase::Starting(order)) {
                    slot.tries -= 1;
                    slot.set_phase(due, Phase::Due);
                }
            }
            Some(About::Operation(host)) => {
                let operation = self.hosts.operations.get(host);
                if operation.is_some_and(|o| o.stage == Stage::Ordered(order)) {
                    self.hosts.line_up(due, host);
                }
            }
            _ => return self.answered(now, order, Answer::Silent),
        }
        self.pending.remove(&order);
    }

    fn start_answered(&mut self, now: Now, start: &SentStart<'_>, answer: &Answer) {
        let SentStart {
            order,
            agent: id,
            task,
            sent,
        } = *start;
        if !self.check_presence(now, id, answer) {
            return;
        }
        self.answer_delays.push(now.saturating_sub(sent));
        if matches!(answer, Answer::Silent) {
            self.record_stray(id, sent);
        }
        if let Answer::Refused {
            why: Refusal::Unwell,
            ..
        } = answer
        {
            self.exclude(now, id, Cause::Unwell);
        }
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        if matches!(answer, Answer::Silent) {
            log::info!(agent:% = id, task:%, order; "a start got no answer");
            // The next renewal shows whether the agent answers at all.
            agent.renewal_due = now;
            agent.silent_since.get_or_insert(now);
        }
        if let Answer::Refused {
            why: Refusal::Grant,
            ..
        } = answer
        {
            self.eligible.revoke(task.step, id);
        }
        let Some(slot) = agent.slots.get_mut(&task) else {
            return;
        };
        if matches!(answer, Answer::Silent) {
            if self.settings.protections.strays {
                slot.unanswered = Some(sent);
            }
            if slot.tries == 1 {
                self.not_started.extend(slot.not_started(task, id));
            }
        }
        // The attempt may have been stopped meanwhile.
        if slot.phase != Phase::Starting(order) {
            return;
        }
        match answer {
            Answer::Done { .. } => {
                slot.started = true;
                slot.set_phase(now, Phase::Running);
            }
            Answer::Silent if slot.tries < MAX_START_TRIES => slot.set_phase(now, Phase::Due),
            Answer::Refused {
                why: Refusal::Late, ..
            } if slot.tries < MAX_START_TRIES => {
                log::info!(agent:% = id, task:%, order; "a start reached its agent too late");
                slot.set_phase(now, Phase::Due);
            }
            Answer::Refused {
                why: Refusal::Old, ..
            } => {
                slot.set_phase(now, Phase::Unsure);
                agent.renewal_due = now;
            }
            Answer::Refused { .. } if slot.unanswered.is_none() => {
                slot.set_phase(now, Phase::Ended);
                let attempt = slot.attempt;
                log::info!(agent:% = id, task:%, attempt, answer:?; "an attempt is abandoned, as its start was refused");
                self.abandoned.push(Placement {
                    task,
                    attempt,
                    agent: id.clone(),
                });
            }
            _ => {
                // An earlier start of the attempt may still be carried out.
                slot.tries = 0;
                slot.set_phase(now, Phase::Stopping(None));
            }
        }
    }

    fn stop_answered(
        &mut self,
        now: Now,
        order: OrderId,
        id: &MinionId,
        task: TaskId,
        answer: &Answer,
    ) {
        if !self.check_presence(now, id, answer) {
            return;
        }
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        let Some(slot) = agent.slots.get_mut(&task) else {
            return;
        };
        if slot.phase != Phase::Stopping(Some(order)) {
            return;
        }
        match answer {
            Answer::Done { .. } => {
                // From now on the agent refuses a start that is still under way.
                slot.unanswered = None;
                slot.set_phase(now, Phase::Stopped);
                agent.renewal_due = agent.renewal_due.min(now + RENEWAL_GAP);
            }
            _ => slot.set_phase(now, Phase::Stopping(None)),
        }
    }

    /// A stop of an attempt that isn't placed there was answered. If it failed, the next poll
    /// repeats it.
    fn stop_unplaced_answered(&mut self, now: Now, id: &MinionId, answer: &Answer) {
        if self.check_presence(now, id, answer)
            && !matches!(answer, Answer::Done { .. })
            && let Some(agent) = self.agents.get_mut(id)
        {
            agent.renewal_due = agent.renewal_due.min(now + ORDER_RETRY_DELAY);
        }
    }

    fn renewal_answered(&mut self, now: Now, renewal: &SentRenewal, id: &MinionId, answer: Answer) {
        let SentRenewal {
            sent,
            acked,
            extends,
        } = *renewal;
        let Some(agent) = self.agents.get(id) else {
            return;
        };
        let next = now + self.renewal_pause(&agent.record.pool);
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.renewal = None;
        match answer {
            // This report is from before the next incarnation started. Later renewals reach the
            // next incarnation.
            Answer::Report(report) if agent.replaced => self.record_ends(now, id, &report),
            Answer::Report(report) => {
                agent.mark_seen(now);
                agent.failing_since = None;
                agent.acked_end = agent.acked_end.max(acked);
                if extends {
                    agent.record_renewal(now, sent);
                }
                agent.record_clock(now, report.clock);
                agent.renewal_due = next;
                self.replace_former(now, sent, id);
                self.take_report(now, sent, id, &report);
                self.adjust_throttle(now, id, &report);
            }
            Answer::Elsewhere => {
                self.terminated.insert(id.clone());
            }
            Answer::Restarted => self.mark_replaced(now, id, None),
            _ => {
                if agent.failing_since.is_none() {
                    log::info!(agent:% = id; "an agent doesn't answer");
                    let slots = agent.slots.iter();
                    let not_started = slots.filter_map(|(task, slot)| slot.not_started(*task, id));
                    self.not_started.extend(not_started);
                }
                agent.failing_since.get_or_insert(sent);
                agent.silent_since.get_or_insert(now);
                let rests = agent.slots.is_empty() && !agent.owes_report();
                agent.renewal_due = now
                    + if rests {
                        IDLE_POLL_DELAY
                    } else {
                        RENEWAL_RETRY_DELAY
                    };
            }
        }
    }

    fn take_report(&mut self, now: Now, sent: Now, id: &MinionId, report: &Report) {
        self.record_ends(now, id, report);
        let Settings {
            max_stop: stop,
            protections,
            ..
        } = self.settings;
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        let fenced = *agent.fenced_at.get_or_insert(report.clock);
        let settled = report.clock >= fenced + stop || !protections.inherited_stops;
        let ended: BTreeSet<_> = report.ended.iter().map(|e| (e.task, e.attempt)).collect();
        let running = report.running.iter();
        let running: BTreeMap<_, _> = running.map(|r| ((r.task, r.attempt), r)).collect();
        for (task, slot) in &mut agent.slots {
            let key = (*task, slot.attempt);
            let seen = running.get(&key);
            // A report doesn't say which attempts are being stopped. So an attempt that an earlier
            // leader may have stopped counts as away until its stop must have ended.
            slot.inherited &= !settled;
            slot.fully_running = !slot.inherited && seen.is_some_and(|r| r.percent >= FULL_PERCENT);
            let here = seen.is_some();
            slot.reported |= here;
            slot.started |= here;
            if here && slot.phase == Phase::Unsure {
                slot.unanswered = None;
                slot.set_phase(now, Phase::Running);
            }
            // A report doesn't tell what happened after its renewal was sent.
            let settled = matches!(slot.phase, Phase::Unsure | Phase::Stopped | Phase::Running)
                && slot.phase_since <= sent;
            let absent = settled && !here && !ended.contains(&key);
            // If more ends are to come, one of them may be that of the attempt.
            slot.unlisted = absent && !report.ends_complete;
            if absent && report.ends_complete {
                log::info!(agent:% = id, task:%, attempt = slot.attempt, phase:? = slot.phase; "an attempt is abandoned, as its agent doesn't list it");
                slot.set_phase(now, Phase::Ended);
                self.abandoned.push(Placement {
                    task: *task,
                    attempt: slot.attempt,
                    agent: id.clone(),
                });
            }
        }
        // What isn't listed as running may have ended already.
        let overdue = self.take_overruns(now, id, |task, attempt| {
            running.contains_key(&(task, attempt))
        });
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        for task in overdue {
            if let Some(slot) = agent.slots.get_mut(&task) {
                let (attempt, ran, estimate) = (
                    slot.attempt,
                    now.saturating_sub(slot.phase_since),
                    slot.estimate,
                );
                log::info!(agent:% = id, task:%, attempt, ran:?, estimate:?; "a task is overdue and is retried elsewhere");
                // It takes at least as long as it has run, if its agent isn't the cause.
                if self.overruns.is_underestimated(task.step) {
                    let learned = self.learned.entry(agent.record.pool.clone()).or_default();
                    learned.note(ran, estimate);
                }
                slot.tries = 0;
                slot.set_phase(now, Phase::Stopping(None));
            }
        }
        let known = |task: &TaskId, attempt: u32| {
            let slot = agent.slots.get(task);
            slot.is_some_and(|slot: &Slot| slot.attempt == attempt)
        };
        let strays = report.running.iter();
        let strays = strays.filter(|r| !known(&r.task, r.attempt));
        let strays: Vec<_> = strays.map(|r| (r.task, r.attempt)).collect();
        agent.clean_report = strays.is_empty().then_some(sent);
        if report.ends_complete {
            agent.last_report = agent.last_report.max(Some(sent));
            agent.cut_report = None;
        } else {
            // The agent lists further ends only once these are acknowledged. What an earlier leader
            // acknowledged, or this one did, may not have arrived.
            agent.cut_report = Some(sent);
            if let Some(first) = report.ended.first() {
                agent.acked_end = agent.acked_end.min(first.number.saturating_sub(1));
            }
            agent.renewal_due = agent.renewal_due.max(now + RENEWAL_RETRY_DELAY);
        }
        let to = agent.target();
        // A start that is sent meanwhile makes the next renewal due earlier.
        if agent.slots.is_empty() && !agent.owes_report() {
            agent.renewal_due = agent.renewal_due.max(now + IDLE_POLL_DELAY);
        }
        self.stop_late_attempts(now, sent, id, &strays);
        for (task, attempt) in strays {
            log::warn!(agent:% = id, task:%, attempt; "an abandoned attempt still runs; it is being stopped");
            let to = to.clone();
            self.send_order(
                now,
                About::StopUnplaced(id.clone()),
                OrderKind::Stop { to, task, attempt },
            );
        }
    }

    /// Takes in the ends that weren't proposed yet.
    fn record_ends(&mut self, now: Now, id: &MinionId, report: &Report) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        for ended in &report.ended {
            if ended.number <= agent.proposed_end {
                let slot = agent.slots.get(&ended.task);
                if slot.is_some_and(|s| s.attempt == ended.attempt && s.phase != Phase::Ended) {
                    log::warn!(agent:% = id, task:% = ended.task, attempt = ended.attempt, number = ended.number, through = agent.proposed_end; "an agent reports an unknown end under a known number");
                }
                continue;
            }
            agent.proposed_end = ended.number;
            let same = |slot: &&mut Slot| slot.attempt == ended.attempt;
            let mut took = None;
            let slot = agent.slots.get_mut(&ended.task).filter(same);
            if slot.is_none() {
                log::info!(agent:% = id, task:% = ended.task, attempt = ended.attempt, number = ended.number, how:? = ended.how; "an agent reports the end of an attempt that isn't placed there");
            }
            if let Some(slot) = slot {
                let ran = slot.phase == Phase::Running && ended.how == Ending::Done;
                took = ran.then(|| slot.clone());
                slot.set_phase(now, Phase::Ended);
            }
            if let Some(slot) = took {
                let Slot { estimate, .. } = slot;
                let took = now.saturating_sub(slot.phase_since);
                let learned = self.learned.entry(agent.record.pool.clone()).or_default();
                learned.note(took, estimate);
                if slot.plain_estimate {
                    learned.note_lag(now.saturating_sub(slot.placed_at), estimate);
                }
                let in_time = learned.limit(estimate).is_none_or(|limit| took <= limit);
                let step = ended.task.step;
                if in_time {
                    self.overruns.record_in_time(step);
                }
                // The time of a task that ran for too long may be its own, and not the agent's.
                let tells_pace = in_time && !self.overruns.is_underestimated(step);
                let ratio = learned.ratio(took, estimate).filter(|_| tells_pace);
                if let Some(ratio) = ratio {
                    agent.record_pace(now, ratio);
                }
            }
            if ended.how != Ending::Done {
                log::info!(agent:% = id, task:% = ended.task, attempt = ended.attempt, how:? = ended.how; "an attempt ended");
            }
            let ends = self.ends.entry(id.clone()).or_insert_with(|| EndBatch {
                agent: id.clone(),
                through: 0,
                ends: Vec::new(),
            });
            ends.through = ended.number;
            ends.ends.push(ReportedEnd {
                task: ended.task,
                attempt: ended.attempt,
                how: ended.how,
                checkpoint: ended.checkpoint.clone(),
            });
        }
    }

    /// Learns the agent's clock from an answer. Returns whether the agent is still there.
    fn check_presence(&mut self, now: Now, id: &MinionId, answer: &Answer) -> bool {
        self.learn_clock(now, id, answer);
        if matches!(answer, Answer::Elsewhere) {
            self.terminated.insert(id.clone());
            return false;
        }
        true
    }

    fn learn_clock(&mut self, now: Now, id: &MinionId, answer: &Answer) {
        // The answers come from the incarnation that replaced the agent, so they tell nothing about
        // the agent.
        let agent = self.agents.get_mut(id);
        let Some(agent) = agent.filter(|agent| !agent.replaced) else {
            return;
        };
        let clock = match answer {
            Answer::Done { clock } => Some(*clock),
            Answer::Refused { clock, .. } => *clock,
            _ => None,
        };
        if let Some(clock) = clock {
            agent.mark_seen(now);
            agent.record_clock(now, clock);
        }
    }
}
