//! What the leader knows of an agent beyond the ledger.

use std::{collections::BTreeMap, time::Duration};

use super::{
    ORDER_RETRY_DELAY, START_MARGIN, Settings,
    exclusions::FailureStreak,
    order::{AgentTime, OrderId, Target},
    throttle::FULL_SHARE,
};
use crate::core::{
    consensus::Index,
    types::{Attempt, HostId, MinionId, Now, Resources, Wall},
    workload::{
        command::{AgentRecord, Placement},
        job::{StepId, TaskId},
        spec::StepSpec,
    },
};

/// The slowest that an agent's clock may run against the leader's: two hundredths slower.
const SLOWEST_CLOCK: f64 = 0.98;
/// Added to the end of a lease, since the timers of an agent fire a little late.
const TIMER_SLACK: Duration = Duration::from_millis(300);
/// An agent is slow if its tasks take on average this many times their estimate. Estimates are off
/// by a fifth, and tasks of a step differ by a third; this is beyond both.
const SLOW_PACE: f64 = 1.7;
/// The weight of one task in the averaged pace.
const PACE_WEIGHT: f64 = 0.6;
/// The time after which an observed pace counts a third. Agents are slow for some seconds.
const PACE_MEMORY: Duration = Duration::from_secs(8);
/// How many times its estimate a task may take away from its data or from its gang's rack.
const FAR_FACTOR: u32 = 3;

/// An agent that was heard from this recently is assumed to be running.
pub(super) const RECENTLY_SEEN: Duration = Duration::from_millis(200);

/// An agent that the leader gives orders to.
#[derive(Clone, Debug)]
pub(super) struct Agent {
    pub(super) record: AgentRecord,
    /// Since when this leader knows it.
    pub(super) known_since: Now,
    /// The sequence number of its last heartbeat.
    pub(super) sequence: u64,
    /// Whether it has still to answer at its address. Until then no decision depends on it: the
    /// agent that claims the address may have ended long ago.
    pub(super) unconfirmed: bool,
    /// When it was last heard from, or the start of the leader's term.
    pub(super) last_seen: Now,
    /// The latest reading of its clock, and when the leader received it.
    clock: Option<(AgentTime, Now)>,
    /// The attempts at the agent, as far as the leader knows.
    pub(super) slots: BTreeMap<TaskId, Slot>,
    /// The resources that the slots take in total.
    pub(super) used: Resources,
    /// Thousandths of a core of the batch tasks that were late when they were placed.
    late_millicores: u64,
    /// How many slots hold long-running tasks.
    long_running: usize,
    /// The estimated end of the batch tasks; in the past if there are none.
    busy_until: Now,
    /// When its lease has certainly run out, by the leader's clock.
    pub(super) lease_end: Now,
    /// When the latest answered renewal that extended the lease was sent.
    last_renewal: Option<Now>,
    /// When that answer arrived.
    renewed_at: Option<Now>,
    /// The renewal that is under way: its order, and when it was sent.
    pub(super) renewal: Option<(OrderId, Now)>,
    /// When the next renewal is due.
    pub(super) renewal_due: Now,
    /// When the latest answered renewal was sent, if its report listed no stray attempt.
    pub(super) clean_report: Option<Now>,
    /// When the latest renewal was sent that was answered with a complete report.
    pub(super) last_report: Option<Now>,
    /// When the latest answered renewal was sent, if its report didn't list all ends.
    pub(super) cut_report: Option<Now>,
    /// A report is needed to a renewal that is sent at this time or later.
    pub(super) report_needed: Option<Now>,
    /// The number of its last end that was proposed to the log.
    pub(super) proposed_end: u64,
    /// The number of its last end that was acknowledged to it.
    pub(super) acked_end: u64,
    /// Its clock when it was first known to have seen this term. Since then it has taken no order
    /// of an earlier term.
    pub(super) fenced_at: Option<AgentTime>,
    /// Whether a later incarnation is known to run in its place. That one may carry out the orders
    /// that were meant for this one.
    pub(super) replaced: bool,
    /// Since when its renewals have failed.
    pub(super) failing_since: Option<Now>,
    /// When an order to it first went unanswered since it was last heard from.
    pub(super) silent_since: Option<Now>,
    /// The host on which a list of the provider has shown it.
    pub(super) host: Option<HostId>,
    /// Until when it gets no new tasks.
    pub(super) excluded_until: Now,
    /// Whether it is being drained, so that it gets no new tasks.
    pub(super) cordoned: bool,
    /// Whether an order about its host is about to end all that it runs.
    pub(super) evicting: bool,
    /// The share of their speed at which its best-effort tasks should run, in percent.
    pub(super) share: u8,
    /// When the share was last changed.
    pub(super) throttled_at: Now,
    /// Since when it has run nothing, if it runs nothing.
    pub(super) idle_since: Now,
    /// What failed here since the last success.
    pub(super) failures: FailureStreak,
    /// The time that its tasks take, averaged and as a multiple of the estimate, and when the last
    /// one ended.
    pace: (f64, Now),
    /// The steps whose tasks ran too long here, and when that was last seen.
    pub(super) long_steps: BTreeMap<StepId, Now>,
}

/// An attempt at an agent.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) attempt: Attempt,
    pub(super) room: Resources,
    pub(super) phase: Phase,
    /// When it entered this phase.
    pub(super) phase_since: Now,
    /// When it was decided, or when this leader took it over.
    pub(super) placed_at: Now,
    /// When an earlier leader decided it, by that leader's clock, if the log says so.
    pub(super) started_at: Option<Wall>,
    /// When the last start that went unanswered was sent. It may still be carried out.
    pub(super) unanswered: Option<Now>,
    /// How often its current start or stop was sent.
    pub(super) tries: u32,
    /// The tail latency that it has to stay below, if it is latency-sensitive.
    pub(super) tail: Option<Duration>,
    /// The share of its speed at which it was last told to run, in percent.
    pub(super) share: u8,
    /// Whether it only uses what other tasks leave.
    pub(super) best_effort: bool,
    /// Whether it runs until it is stopped.
    pub(super) long_running: bool,
    /// Whether its job could no longer be in time when this leader decided it. Unknown, and so not
    /// set, for one that an earlier leader decided.
    pub(super) late: bool,
    /// Whether its agent has confirmed that it started. If an earlier leader placed it: as far as
    /// that leader knew.
    pub(super) started: bool,
    /// Whether a report of its agent has listed it.
    pub(super) reported: bool,
    /// Whether the last report listed it neither as running nor as ended, and didn't list all ends. So it isn't
    /// known how it ended, but it doesn't run.
    pub(super) unlisted: bool,
    /// Whether hosts had ended under it before.
    pub(super) has_evidence: bool,
    /// Whether its agent was kept free of other batch tasks for it.
    pub(super) on_probe: bool,
    /// Whether the last report showed it doing all its work.
    pub(super) fully_running: bool,
    /// Whether an earlier leader placed it, and may have told its agent to stop it.
    pub(super) inherited: bool,
    /// The estimate of the longest that it takes at this agent.
    pub(super) estimate: Duration,
    /// Whether the estimate is that of the step, not stretched for a task that may run away from
    /// its data or its gang.
    pub(super) plain_estimate: bool,
}

/// The state of an attempt at its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its placement is being committed.
    Proposed,
    /// Its start has to be sent.
    Due,
    /// Its start is under way.
    Starting(OrderId),
    /// It runs.
    Running,
    /// Only the agent knows whether it runs.
    Unsure,
    /// It has to be stopped. Holds the stop order that is under way, if any.
    Stopping(Option<OrderId>),
    /// It was stopped, and it isn't known yet whether it ended before.
    Stopped,
    /// Its end is being committed.
    Ended,
}

impl Agent {
    pub(super) fn new(mut record: AgentRecord, now: Now) -> Self {
        record.capacity = record.capacity.clamped();
        let AgentRecord {
            acked, sequence, ..
        } = record;
        Self {
            record,
            known_since: now,
            sequence,
            unconfirmed: false,
            last_seen: now,
            clock: None,
            slots: BTreeMap::new(),
            used: Resources::default(),
            late_millicores: 0,
            long_running: 0,
            busy_until: now,
            lease_end: now,
            last_renewal: None,
            renewed_at: None,
            renewal: None,
            renewal_due: now,
            clean_report: None,
            last_report: None,
            cut_report: None,
            report_needed: None,
            proposed_end: acked,
            acked_end: acked,
            fenced_at: None,
            replaced: false,
            failing_since: None,
            silent_since: None,
            host: None,
            excluded_until: Now::ZERO,
            cordoned: false,
            evicting: false,
            share: FULL_SHARE,
            throttled_at: Now::ZERO,
            idle_since: now,
            failures: FailureStreak::default(),
            pace: (1.0, now),
            long_steps: BTreeMap::new(),
        }
    }

    /// Notes that something was received from it.
    pub(super) fn mark_seen(&mut self, now: Now) {
        self.last_seen = now;
        self.silent_since = None;
    }

    /// Whether this leader has heard from it, and not only an earlier leader.
    pub(super) fn was_seen(&self) -> bool {
        self.last_seen > self.known_since
    }

    pub(super) fn target(&self) -> Target {
        Target {
            agent: self.record.id.clone(),
            address: self.record.address,
            data_centre: self.record.data_centre.clone(),
        }
    }

    /// Notes a reading of its clock that was taken at `now` or earlier.
    pub(super) fn record_clock(&mut self, now: Now, clock: AgentTime) {
        if self.clock.is_none_or(|(known, _)| clock > known) {
            self.clock = Some((clock, now));
        }
    }

    /// How long until everything that earlier leaders told it to stop has ended there, if it runs a
    /// long-running task that they may have told it to stop and a stop takes up to `stop`.
    pub(super) fn settle_time(&self, now: Now, stop: Duration) -> Option<Duration> {
        let mut slots = self.slots.values();
        if !slots.any(|slot| slot.inherited && slot.long_running) {
            return None;
        }
        let (clock, seen) = self.clock?;
        Some((self.fenced_at? + stop).saturating_sub(clock + now.saturating_sub(seen)))
    }

    /// The time of its clock that is `lease` ahead; `None` if its clock isn't known.
    ///
    /// Notes when such a lease has certainly run out here, whether or not the order arrives.
    pub(super) fn grant_lease(&mut self, now: Now, lease: Duration) -> Option<AgentTime> {
        let (clock, seen) = self.clock?;
        Some(self.extend_lease(clock + now.saturating_sub(seen) + lease))
    }

    /// The end of the lease that a start grants. The agent refuses the start from `deadline` on, by
    /// the leader's clock, however slow its own clock is.
    pub(super) fn grant_start(
        &mut self,
        now: Now,
        lease: Duration,
        deadline: Now,
    ) -> Option<AgentTime> {
        let (clock, seen) = self.clock?;
        let longest = clock + now.saturating_sub(seen) + lease;
        let last = clock + deadline.saturating_sub(seen).mul_f64(SLOWEST_CLOCK);
        Some(self.extend_lease(longest.min(last)))
    }

    /// Notes when a lease that ends at `until` by the agent's clock has certainly run out by the
    /// leader's.
    fn extend_lease(&mut self, until: AgentTime) -> AgentTime {
        if let Some((clock, seen)) = self.clock {
            let span = until.saturating_sub(clock).div_f64(SLOWEST_CLOCK) + TIMER_SLACK;
            self.lease_end = self.lease_end.max(seen + span);
        }
        // Agents take times in whole milliseconds.
        Duration::from_millis(u64::try_from(until.as_millis()).unwrap_or(u64::MAX))
    }

    /// Notes the answer to a renewal that extended the lease and was sent at `sent`.
    pub(super) fn record_renewal(&mut self, now: Now, sent: Now) {
        self.last_renewal = self.last_renewal.max(Some(sent));
        self.renewed_at = Some(now);
    }

    /// When a renewal that extended the lease was last answered, and the number of long-running
    /// tasks that run here as far as the leader knows; `None` if there are none. If none was
    /// answered since these tasks started: when the first of them started, or when this leader took
    /// it over.
    pub(super) fn oldest_renewal(&self) -> Option<(Now, usize)> {
        if self.long_running == 0 {
            return None;
        }
        let slots = self.slots.values();
        let running = slots.filter(|slot| {
            slot.long_running && matches!(slot.phase, Phase::Running | Phase::Unsure)
        });
        let since = running.clone().map(|slot| slot.phase_since).min()?;
        Some((self.renewed_at.max(Some(since))?, running.count()))
    }

    /// Whether its lease may soon run out, apart from what a start granted, which only lasts until
    /// the deadline of the start.
    pub(super) fn needs_renewal(&self, now: Now, lease: Duration) -> bool {
        self.last_renewal.is_none_or(|sent| now >= sent + lease / 2)
    }

    /// Whether it has still to answer a renewal with the complete report that is needed.
    pub(super) fn owes_report(&self) -> bool {
        self.report_needed > self.last_report
    }

    /// Whether a renewal sent at `since` or later was answered with a complete report, and all ends
    /// that were proposed are in the log.
    pub(super) fn has_reported(&self, since: Now) -> bool {
        self.last_report.is_some_and(|sent| sent >= since) && self.proposed_end <= self.record.acked
    }

    /// The resources that its slots leave free.
    pub(super) fn free(&self) -> Resources {
        self.record.capacity.minus(&self.used)
    }

    pub(super) fn add(&mut self, task: TaskId, slot: Slot) {
        self.used = self.used.plus(&slot.room);
        self.late_millicores += slot.late_millicores();
        if slot.long_running {
            self.long_running += 1;
        } else {
            self.busy_until = self.busy_until.max(slot.phase_since + slot.estimate);
        }
        if let Some(before) = self.slots.insert(task, slot) {
            self.used = self.used.minus(&before.room);
            self.late_millicores -= before.late_millicores();
            self.long_running -= usize::from(before.long_running);
        }
    }

    pub(super) fn remove(&mut self, now: Now, task: TaskId) {
        if let Some(slot) = self.slots.remove(&task) {
            self.used = self.used.minus(&slot.room);
            self.late_millicores -= slot.late_millicores();
            self.long_running -= usize::from(slot.long_running);
            self.idle_since = now;
            if self.slots.len() == self.long_running {
                self.busy_until = now;
            }
        }
    }

    /// How much longer it would be busy because of a batch task that starts now. Zero if it runs a
    /// long-running task, since it won't become empty anyway.
    pub(super) fn extension(&self, now: Now, estimate: Duration) -> Duration {
        if self.long_running > 0 {
            Duration::ZERO
        } else {
            (now + estimate).saturating_sub(self.busy_until.max(now))
        }
    }

    /// The number through which the next renewal acknowledges its ends.
    ///
    /// A later incarnation may receive the renewal and would then forget its own ends, of starts
    /// that were meant for this one. So nothing is acknowledged twice, and nothing while a start is
    /// out that no report of this incarnation has listed. If its last report didn't list all ends,
    /// the others may be those of earlier starts, and are listed only after an acknowledgement.
    pub(super) fn next_ack(&self) -> u64 {
        let new = self.record.acked != self.acked_end;
        let may_be_cut = |slot: &Slot| self.cut_report.is_some_and(|sent| slot.phase_since <= sent);
        let mut slots = self.slots.values();
        let shown = !slots.any(|slot| slot.is_unreported() && !may_be_cut(slot));
        if new && shown { self.record.acked } else { 0 }
    }

    /// Logs that its leaving was committed, and the state of its starts at that time.
    pub(super) fn log_leaving(&self, index: Index) {
        let count = |is: fn(&Slot) -> bool| self.slots.values().filter(|slot| is(slot)).count();
        let unsent = count(|slot| matches!(slot.phase, Phase::Proposed | Phase::Due));
        let starting = count(|slot| matches!(slot.phase, Phase::Starting(_)));
        let unanswered = count(|slot| slot.unanswered.is_some());
        log::info!(agent:% = self.record.id, index, placed = self.slots.len(), unsent, starting, unanswered; "an agent is leaving");
    }

    /// The number of long-running tasks that are placed there.
    pub(super) fn long_running(&self) -> usize {
        self.long_running
    }

    /// Thousandths of a core of its batch tasks.
    pub(super) fn batch_millicores(&self) -> u64 {
        if self.long_running == 0 {
            return self.used.millicores;
        }
        let batch = self.slots.values().filter(|slot| !slot.long_running);
        batch.map(|slot| slot.room.millicores).sum()
    }

    /// Thousandths of a core of its batch tasks that were late when they were placed.
    pub(super) fn late_millicores(&self) -> u64 {
        self.late_millicores
    }

    /// Thousandths of a core that its batch tasks may take.
    pub(super) fn batch_capacity(&self) -> u64 {
        let lasting = self.used.millicores - self.batch_millicores().min(self.used.millicores);
        self.record.capacity.millicores.saturating_sub(lasting)
    }

    /// Whether it answers and isn't about to leave.
    pub(super) fn is_healthy(&self) -> bool {
        !self.record.leaving && self.failing_since.is_none()
    }

    /// When it will become empty by itself, by estimate, if it runs only batch tasks.
    pub(super) fn empty_at(&self) -> Option<Now> {
        (self.long_running == 0 && !self.slots.is_empty()).then_some(self.busy_until)
    }

    /// Whether any of its tasks is latency-sensitive.
    pub(super) fn has_latency_sensitive(&self) -> bool {
        self.slots.values().any(|slot| slot.tail.is_some())
    }

    /// Whether any of its tasks only uses what other tasks leave.
    pub(super) fn has_best_effort(&self) -> bool {
        self.slots.values().any(|slot| slot.best_effort)
    }

    /// Notes that a task took `ratio` times its estimate here.
    pub(super) fn record_pace(&mut self, now: Now, ratio: f64) {
        let pace = self.pace(now);
        self.pace = (pace + (ratio - pace) * PACE_WEIGHT, now);
    }

    /// Whether its tasks take much longer than estimated.
    pub(super) fn is_slow(&self, now: Now) -> bool {
        self.pace(now) > SLOW_PACE
    }

    /// The averaged pace. It returns to 1 over time, so that a slow agent is tried again.
    fn pace(&self, now: Now) -> f64 {
        let (pace, seen) = self.pace;
        let age = now.saturating_sub(seen).as_secs_f64() / PACE_MEMORY.as_secs_f64();
        1.0 + (pace - 1.0) * (-age).exp()
    }
}

impl Slot {
    /// An attempt at a task of a step.
    pub(super) fn new(spec: &StepSpec, attempt: Attempt, phase: Phase, now: Now) -> Self {
        let plain_estimate = spec.data_rack.is_none() && !spec.one_rack;
        Self {
            attempt,
            room: spec.reservation(),
            phase,
            phase_since: now,
            placed_at: now,
            started_at: None,
            unanswered: None,
            tries: 0,
            tail: spec.tail_latency,
            share: FULL_SHARE,
            best_effort: spec.best_effort,
            long_running: spec.long_running,
            late: false,
            started: false,
            reported: false,
            unlisted: false,
            has_evidence: false,
            on_probe: false,
            fully_running: false,
            inherited: false,
            estimate: if plain_estimate {
                spec.estimate
            } else {
                spec.estimate * FAR_FACTOR
            },
            plain_estimate,
        }
    }

    /// What it takes, in thousandths of a core, if it was late when it was placed.
    fn late_millicores(&self) -> u64 {
        if self.late { self.room.millicores } else { 0 }
    }

    /// The time by which it has to have started; `Now::MAX` if deadlines are off.
    pub(super) fn deadline(&self, settings: &Settings) -> Now {
        if settings.protections.deadlines {
            self.placed_at + settings.start_window
        } else {
            Now::MAX
        }
    }

    /// The time until which its start may be sent.
    pub(super) fn last_try(&self, settings: &Settings) -> Now {
        self.deadline(settings).saturating_sub(START_MARGIN)
    }

    /// When its start or stop may be sent, if it is due.
    pub(super) fn next_try(&self) -> Now {
        if self.tries == 0 {
            self.phase_since
        } else {
            self.phase_since + ORDER_RETRY_DELAY
        }
    }

    /// Whether it may be running at its agent: its start was sent, and its end isn't known.
    pub(super) fn may_run(&self) -> bool {
        match self.phase {
            Phase::Proposed | Phase::Ended => false,
            // A start that went unanswered may have been carried out.
            Phase::Due => self.tries > 0,
            _ => true,
        }
    }

    /// The attempt as placed, if it is a batch task and nothing has shown that it started.
    pub(super) fn not_started(&self, task: TaskId, agent: &MinionId) -> Option<Placement> {
        (!self.started && !self.long_running).then(|| Placement {
            task,
            attempt: self.attempt,
            agent: agent.clone(),
        })
    }

    /// Whether it may be running at its agent although no report has listed it.
    fn is_unreported(&self) -> bool {
        self.may_run() && !self.reported
    }

    /// Whether a later incarnation of its agent may run it, or may be told to: no report listed it
    /// where it was placed, or one of its starts went unanswered.
    pub(super) fn is_unsettled(&self) -> bool {
        self.is_unreported() || (self.may_run() && self.unanswered.is_some())
    }

    /// Whether it is a batch task that has run for longer than `limit`.
    pub(super) fn has_run_for(&self, now: Now, limit: Duration) -> bool {
        self.phase == Phase::Running && !self.long_running && now >= self.phase_since + limit
    }

    pub(super) fn set_phase(&mut self, now: Now, phase: Phase) {
        self.phase = phase;
        self.phase_since = now;
    }
}
