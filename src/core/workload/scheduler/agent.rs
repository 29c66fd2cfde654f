//! What the leader knows of an agent beyond the ledger.

use std::{collections::BTreeMap, time::Duration};

use super::{
    ORDER_RETRY_DELAY, START_MARGIN, Settings,
    order::{AgentTime, OrderId, Target},
    throttle::FULL_SHARE,
};
use crate::core::{
    consensus::Index,
    types::{Attempt, HostId, MinionId, Now, Resources, Wall},
    workload::{
        catalog::JobId,
        command::{AgentRecord, Placement},
        job::TaskId,
        spec::StepSpec,
    },
};

/// How much slower an agent's clock may run than ours, as a divisor of its time: two hundredths.
const SLOWEST: f64 = 0.98;
/// What is added to the end of a lease for the timers of the agent, which fire a little late.
const LATE_TIMERS: Duration = Duration::from_millis(300);
/// Different jobs in a row that must fail at an agent for it to be set aside. One job may fail
/// anywhere, again and again.
const FAILED_JOBS: usize = 3;
/// How long an agent is set aside the first time; doubles up to eight times that.
const ASIDE: Duration = Duration::from_secs(3);

/// How many times as long as estimated the tasks of a slow agent take. Estimates are off by a
/// fifth, and tasks of a step differ by a third; this is outside both, as an average.
const SLOW: f64 = 1.7;
/// How much of the averaged pace one task is.
const PACE_WEIGHT: f64 = 0.6;
/// The time after which what was seen of a pace counts a third: agents are slow for some seconds.
const PACE_MEMORY: Duration = Duration::from_secs(8);
/// How many times as long a task may take that is away from its data or its gang's rack.
const FAR: u32 = 3;
/// How long an agent whose task is overdue gets nothing new.
pub(super) const LAGGING: Duration = Duration::from_secs(2);

/// An agent that was heard so short a time ago is taken to live.
pub(super) const LATELY: Duration = Duration::from_millis(200);

/// An agent that the leader gives orders to.
#[derive(Clone, Debug)]
pub(super) struct Agent {
    pub(super) record: AgentRecord,
    /// Since when this leader knows it.
    pub(super) known: Now,
    /// The number of its last heartbeat.
    pub(super) sequence: u64,
    /// Whether it has still to answer at its address. Until then nothing hangs on it: whoever says
    /// that it lives there may have ended long ago.
    pub(super) unseen: bool,
    /// When it was last heard of; the begin of the term counts.
    pub(super) heard: Now,
    /// What its clock said, and when we heard that.
    clock: Option<(AgentTime, Now)>,
    /// What it runs, as far as we know.
    pub(super) slots: BTreeMap<TaskId, Slot>,
    /// The sum of what the slots take.
    pub(super) used: Resources,
    /// How many of them last.
    lasting: usize,
    /// About when the others will have ended; in the past if there are none.
    ends: Now,
    /// By when its lease has surely run out, by our clock.
    pub(super) lease: Now,
    /// When the last renewal that extended its lease was sent, of those that were answered.
    renewed: Option<Now>,
    /// The renewal under way.
    pub(super) renewal: Option<(OrderId, Now)>,
    /// When the next renewal is due.
    pub(super) next: Now,
    /// When the last look was sent that showed what runs there, if none showed a stray attempt.
    pub(super) looked: Option<Now>,
    /// When the last look was sent that was answered with a list.
    pub(super) listed: Option<Now>,
    /// A list is waited for that was asked for then or later.
    pub(super) awaited: Option<Now>,
    /// The last of its ends that was proposed to the log.
    pub(super) proposed: u64,
    /// The last of its ends that it was told we know.
    pub(super) told: u64,
    /// What its clock said when it was first seen to know this term. It has taken no order of an
    /// earlier one since.
    pub(super) fenced: Option<AgentTime>,
    /// Whether a later incarnation is known to live in its place, and may carry out what was ordered of this.
    pub(super) replaced: bool,
    /// Since when its renewals fail.
    pub(super) trouble: Option<Now>,
    /// When an order to it first got no answer since it was heard.
    pub(super) silent: Option<Now>,
    /// The host that a list has shown it at.
    pub(super) home: Option<HostId>,
    /// Until when it gets nothing new.
    pub(super) aside: Now,
    /// Whether it is being emptied and gets nothing new.
    pub(super) cordoned: bool,
    /// Whether all that it runs is about to be ended by an order about its host.
    pub(super) ending: bool,
    /// The hundredths of their speed that its best-effort tasks should work at.
    pub(super) share: u8,
    /// When that was changed last.
    pub(super) throttled: Now,
    /// Since when it runs nothing, if it doesn't.
    pub(super) idle: Now,
    /// The different jobs that failed here since the last success.
    failed: Vec<JobId>,
    /// How often in a row it was set aside.
    lapses: u32,
    /// How many times as long as estimated its tasks take, averaged, and when the last one ended.
    pace: (f64, Now),
}

/// An attempt at an agent.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) attempt: Attempt,
    pub(super) room: Resources,
    pub(super) phase: Phase,
    /// Since when it is in this phase.
    pub(super) since: Now,
    /// When it was decided, or this leader took it over.
    pub(super) placed: Now,
    /// When an earlier leader decided it, by that one's clock, if it said so.
    pub(super) began: Option<Wall>,
    /// When a start that got no answer was sent last. It may still be carried out.
    pub(super) unanswered: Option<Now>,
    /// How often its start was sent.
    pub(super) tries: u32,
    /// The tail latency that it must stay below, if it serves.
    pub(super) tail: Option<Duration>,
    /// The hundredths of its speed that it was last told to work at.
    pub(super) share: u8,
    /// Whether it lives on what others leave.
    pub(super) best_effort: bool,
    /// Whether it runs until it is stopped.
    pub(super) lasting: bool,
    /// Whether its agent has said that it was begun, as far as is known to an earlier leader that placed it.
    pub(super) begun: bool,
    /// Whether a list of its agent has shown it.
    pub(super) seen: bool,
    /// Whether hosts have ended under it before.
    pub(super) doubtful: bool,
    /// Whether its agent was kept free of all else for it.
    pub(super) probed: bool,
    /// Whether it was last seen to do all that it should.
    pub(super) at_work: bool,
    /// Whether an earlier leader placed it, and may have told it to stop.
    pub(super) inherited: bool,
    /// About how long it takes at most, where it is.
    pub(super) estimate: Duration,
    /// Whether that is as it was estimated, and not stretched for where it may run.
    pub(super) plain: bool,
}

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It is being committed.
    Proposed,
    /// Its start is to be sent.
    Due,
    /// Its start is under way.
    Starting(OrderId),
    /// It runs.
    Running,
    /// Only the agent knows.
    Unsure,
    /// It is to be stopped; the order that says so, if it is under way.
    Stopping(Option<OrderId>),
    /// It was stopped, and its end isn't known yet.
    Stopped,
    /// Its end is being committed.
    Ended,
}

impl Agent {
    pub(super) fn new(record: AgentRecord, now: Now) -> Self {
        let AgentRecord {
            acked, sequence, ..
        } = record;
        Self {
            record,
            known: now,
            sequence,
            unseen: false,
            heard: now,
            clock: None,
            slots: BTreeMap::new(),
            used: Resources::default(),
            lasting: 0,
            ends: now,
            lease: now,
            renewed: None,
            renewal: None,
            next: now,
            looked: None,
            listed: None,
            awaited: None,
            proposed: acked,
            told: acked,
            fenced: None,
            replaced: false,
            trouble: None,
            silent: None,
            home: None,
            aside: now,
            cordoned: false,
            ending: false,
            share: FULL_SHARE,
            throttled: Now::ZERO,
            idle: now,
            failed: Vec::new(),
            lapses: 0,
            pace: (1.0, now),
        }
    }

    /// It was heard.
    pub(super) fn hear(&mut self, now: Now) {
        self.heard = now;
        self.silent = None;
    }

    /// Whether it was heard by this leader, and not only by an earlier one.
    pub(super) fn was_heard(&self) -> bool {
        self.heard > self.known
    }

    pub(super) fn target(&self) -> Target {
        Target {
            agent: self.record.id.clone(),
            address: self.record.address,
            data_centre: self.record.data_centre.clone(),
        }
    }

    /// Learns its clock. It said so no later than now.
    pub(super) fn tell_time(&mut self, now: Now, clock: AgentTime) {
        if self.clock.is_none_or(|(known, _)| clock > known) {
            self.clock = Some((clock, now));
        }
    }

    /// How long it still is until all that earlier leaders told it to stop has ended there, if it
    /// runs something lasting that may have been and a stop takes so long.
    pub(super) fn settles(&self, now: Now, stop: Duration) -> Option<Duration> {
        let mut slots = self.slots.values();
        if !slots.any(|slot| slot.inherited && slot.lasting) {
            return None;
        }
        let (clock, seen) = self.clock?;
        Some((self.fenced? + stop).saturating_sub(clock + now.saturating_sub(seen)))
    }

    /// A time of its clock that lies `lease` ahead; `None` if its clock isn't known.
    ///
    /// Notes by when such a lease has surely run out here, whether or not the order arrives.
    pub(super) fn grant(&mut self, now: Now, lease: Duration) -> Option<AgentTime> {
        let (clock, seen) = self.clock?;
        Some(self.promise(clock + now.saturating_sub(seen) + lease))
    }

    /// The same for a start, which the agent refuses from `deadline` on by our clock, however slow its own
    /// is.
    pub(super) fn grant_start(
        &mut self,
        now: Now,
        lease: Duration,
        deadline: Now,
    ) -> Option<AgentTime> {
        let (clock, seen) = self.clock?;
        let longest = clock + now.saturating_sub(seen) + lease;
        let last = clock + deadline.saturating_sub(seen).mul_f64(SLOWEST);
        Some(self.promise(longest.min(last)))
    }

    /// Notes by when a lease that ends then by the agent's clock has surely run out by ours.
    fn promise(&mut self, until: AgentTime) -> AgentTime {
        if let Some((clock, seen)) = self.clock {
            let span = until.saturating_sub(clock).div_f64(SLOWEST) + LATE_TIMERS;
            self.lease = self.lease.max(seen + span);
        }
        // A whole number of milliseconds is all that an agent understands.
        Duration::from_millis(u64::try_from(until.as_millis()).unwrap_or(u64::MAX))
    }

    /// A renewal that was sent then, and extended its lease, was answered.
    pub(super) fn note_renewal(&mut self, sent: Now) {
        self.renewed = self.renewed.max(Some(sent));
    }

    /// Whether its lease may be over soon but for what a start granted, which is as short as its deadline.
    pub(super) fn is_due_soon(&self, now: Now, lease: Duration) -> bool {
        self.renewed.is_none_or(|sent| now >= sent + lease / 2)
    }

    /// Whether a list is waited for that it hasn't answered with.
    pub(super) fn owes_list(&self) -> bool {
        self.awaited > self.listed
    }

    /// Whether all of its ends that were listed for a look sent then or later are in the log.
    pub(super) fn has_told(&self, since: Now) -> bool {
        self.listed.is_some_and(|sent| sent >= since) && self.proposed <= self.record.acked
    }

    /// What is left of its room.
    pub(super) fn free(&self) -> Resources {
        self.record.capacity.minus(&self.used)
    }

    pub(super) fn add(&mut self, task: TaskId, slot: Slot) {
        self.used = self.used.plus(&slot.room);
        if slot.lasting {
            self.lasting += 1;
        } else {
            self.ends = self.ends.max(slot.since + slot.estimate);
        }
        if let Some(before) = self.slots.insert(task, slot) {
            self.used = self.used.minus(&before.room);
            self.lasting -= usize::from(before.lasting);
        }
    }

    pub(super) fn remove(&mut self, now: Now, task: TaskId) {
        if let Some(slot) = self.slots.remove(&task) {
            self.used = self.used.minus(&slot.room);
            self.lasting -= usize::from(slot.lasting);
            self.idle = now;
            if self.slots.len() == self.lasting {
                self.ends = now;
            }
        }
    }

    /// How much longer it would be busy for a short task that begins now; nothing if it runs what
    /// lasts, since it won't be empty anyway.
    pub(super) fn extension(&self, now: Now, estimate: Duration) -> Duration {
        if self.lasting > 0 {
            Duration::ZERO
        } else {
            (now + estimate).saturating_sub(self.ends.max(now))
        }
    }

    /// Through which of its ends the next renewal acknowledges them.
    ///
    /// A later incarnation may get the renewal, and would forget ends of its own: of starts that were
    /// meant for this one. So nothing is acknowledged twice, nor while a start is out that no list of this
    /// incarnation has shown.
    pub(super) fn acknowledges(&self) -> u64 {
        let new = self.record.acked != self.told;
        let mut slots = self.slots.values();
        let shown = !slots.any(Slot::is_unseen);
        if new && shown { self.record.acked } else { 0 }
    }

    /// Logs that its leaving was committed, and what of its starts is under way then.
    pub(super) fn log_leaving(&self, index: Index) {
        let count = |is: fn(&Slot) -> bool| self.slots.values().filter(|slot| is(slot)).count();
        let unsent = count(|slot| matches!(slot.phase, Phase::Proposed | Phase::Due));
        let starting = count(|slot| matches!(slot.phase, Phase::Starting(_)));
        let unanswered = count(|slot| slot.unanswered.is_some());
        log::info!(agent:% = self.record.id, index, placed = self.slots.len(), unsent, starting, unanswered; "an agent is leaving");
    }

    /// How many tasks that last are placed there.
    pub(super) fn lasting(&self) -> usize {
        self.lasting
    }

    /// Whether it answers and isn't about to leave.
    pub(super) fn is_well(&self) -> bool {
        !self.record.leaving && self.trouble.is_none()
    }

    /// About when it will be empty by itself, if it runs something and none of it lasts.
    pub(super) fn empties(&self) -> Option<Now> {
        (self.lasting == 0 && !self.slots.is_empty()).then_some(self.ends)
    }

    /// Whether anything that it runs serves.
    pub(super) fn serves(&self) -> bool {
        self.slots.values().any(|slot| slot.tail.is_some())
    }

    /// Whether anything that it runs lives on what others leave.
    pub(super) fn has_best_effort(&self) -> bool {
        self.slots.values().any(|slot| slot.best_effort)
    }

    /// A task of a job ended well here.
    pub(super) fn succeeded(&mut self) {
        self.failed.clear();
        self.lapses = 0;
    }

    /// A task took so many times as long as estimated here.
    pub(super) fn note_pace(&mut self, now: Now, ratio: f64) {
        let pace = self.pace(now);
        self.pace = (pace + (ratio - pace) * PACE_WEIGHT, now);
    }

    /// Whether its tasks take much longer than estimated.
    pub(super) fn is_slow(&self, now: Now) -> bool {
        self.pace(now) > SLOW
    }

    /// What was seen of its pace counts less the longer it is ago, so that it is tried again.
    fn pace(&self, now: Now) -> f64 {
        let (pace, seen) = self.pace;
        let age = now.saturating_sub(seen).as_secs_f64() / PACE_MEMORY.as_secs_f64();
        1.0 + (pace - 1.0) * (-age).exp()
    }

    /// A task of a job failed here; whether the agent is set aside for it.
    pub(super) fn failed(&mut self, now: Now, job: JobId) -> bool {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        if self.failed.len() < FAILED_JOBS {
            return false;
        }
        self.failed.clear();
        self.aside = now + ASIDE * 2_u32.pow(self.lapses.min(3));
        self.lapses += 1;
        true
    }
}

impl Slot {
    /// An attempt of a step's task.
    pub(super) fn new(spec: &StepSpec, attempt: Attempt, phase: Phase, now: Now) -> Self {
        let plain = spec.data_rack.is_none() && !spec.one_rack;
        Self {
            attempt,
            room: spec.reservation(),
            phase,
            since: now,
            placed: now,
            began: None,
            unanswered: None,
            tries: 0,
            tail: spec.tail_latency,
            share: FULL_SHARE,
            best_effort: spec.best_effort,
            lasting: spec.long_running,
            begun: false,
            seen: false,
            doubtful: false,
            probed: false,
            at_work: false,
            inherited: false,
            estimate: if plain {
                spec.estimate
            } else {
                spec.estimate * FAR
            },
            plain,
        }
    }

    /// By when it must have begun; without an end if that doesn't matter.
    pub(super) fn deadline(&self, settings: &Settings) -> Now {
        if settings.protections.deadlines {
            self.placed + settings.start_window
        } else {
            Now::MAX
        }
    }

    /// Until when its start may be sent.
    pub(super) fn last_try(&self, settings: &Settings) -> Now {
        self.deadline(settings).saturating_sub(START_MARGIN)
    }

    /// When its start or stop, if it is due, may be sent.
    pub(super) fn next_try(&self) -> Now {
        if self.tries == 0 {
            self.since
        } else {
            self.since + ORDER_RETRY_DELAY
        }
    }

    /// Whether it may be at work at its agent: its start was sent, and its end isn't known.
    pub(super) fn may_run(&self) -> bool {
        match self.phase {
            Phase::Proposed | Phase::Ended => false,
            // A start that got no answer may have been carried out.
            Phase::Due => self.tries > 0,
            _ => true,
        }
    }

    /// The attempt, if it is a short task's and nothing has shown that it began.
    pub(super) fn unbegun(&self, task: TaskId, agent: &MinionId) -> Option<Placement> {
        (!self.begun && !self.lasting).then(|| Placement {
            task,
            attempt: self.attempt,
            agent: agent.clone(),
        })
    }

    /// Whether it may be at work at its agent, and no list has shown it there.
    fn is_unseen(&self) -> bool {
        self.may_run() && !self.seen
    }

    /// Whether a later incarnation of its agent may run it, or may be told to: nothing showed it where it
    /// was placed, or a start of it got no answer.
    pub(super) fn is_unsettled(&self) -> bool {
        self.is_unseen() || (self.may_run() && self.unanswered.is_some())
    }

    /// Whether it has run for longer than that.
    pub(super) fn has_run(&self, now: Now, limit: Duration) -> bool {
        self.phase == Phase::Running && !self.lasting && now >= self.since + limit
    }

    pub(super) fn enter(&mut self, now: Now, phase: Phase) {
        self.phase = phase;
        self.since = now;
    }
}
