//! Measures how far behind the control task is, and where its time goes.
//!
//! The task handles all inputs that arrived while it was busy, decides once, and starts over. One
//! such iteration is a *turn*. While the task keeps up, an input waits for one turn at most. When
//! it falls behind, inputs wait for many turns, and the leader decides on outdated information.
//!
//! Neither shows in a node's processor time over a whole day, since leadership moves between nodes.
//! So each wait and each turn is measured, and a window in which an input waited too long or the
//! thread was too busy is logged with everything that was done in it.

use std::{sync::Arc, time::Duration};

use tokio::{runtime::Handle, time::Instant};

use super::metrics::{InputKind, Metrics, Phase};
use crate::core::workload::scheduler::{Plan, Scheduler, UnconfirmedStarts, Visits};

/// Length of a window. Short enough to show the seconds of a burst, and long enough to bound the
/// number of log lines.
const WINDOW: Duration = Duration::from_secs(1);
/// Time between two samples of the busy ratio.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Wait after which an input comes too late to act on. Half of the time that an agent may take to
/// answer.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Busy ratio of the thread in a window above which no time is left for a burst.
const MAX_BUSY_RATIO: f64 = 0.9;

/// Totals and maxima of the current window. The field names are the keys of the log line.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    turns: usize,
    inputs: usize,
    heartbeats: usize,
    batch: usize,
    wait: Duration,
    turn: Duration,
    taking: Duration,
    planning: Duration,
    rest: Duration,
    orders: usize,
    commands: usize,
    bytes: usize,
    visits: Visits,
    /// The number of inputs of each kind, and the time that they took.
    kinds: [(usize, Duration); InputKind::ALL.len()],
    commit_wait: Duration,
    start_wait: Duration,
    answer_wait: Duration,
}

/// Measures the turns of the control task.
#[derive(Debug)]
pub(super) struct Load {
    metrics: Arc<Metrics>,
    totals: Totals,
    /// The thread's busy time since the window began.
    window: BusyMeter,
    /// The thread's busy time since the last sample.
    sample: BusyMeter,
    /// When this turn began, and when its last finished phase ended.
    started_at: Instant,
    phase_start: Instant,
    /// When the handling of the current input began.
    input_start: Instant,
    /// The number of inputs of this turn.
    batch: usize,
    /// The longest wait of an input of this turn.
    wait: Duration,
}

/// Measures the busy ratio of the thread over a span of time.
#[derive(Debug)]
struct BusyMeter {
    since: Instant,
    /// The thread's total busy time at `since`.
    busy: Duration,
}

impl BusyMeter {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            busy: total_busy(),
        }
    }

    /// Returns the span until now and its busy ratio, and starts a new span. Returns `None` if the
    /// span is shorter than `least`.
    fn read(&mut self, now: Instant, least: Duration) -> Option<(Duration, f64)> {
        let span = now - self.since;
        if span < least {
            return None;
        }
        let before = std::mem::replace(self, Self::new(now));
        let ratio = (self.busy - before.busy).as_secs_f64() / span.as_secs_f64();
        Some((span, ratio))
    }
}

impl Load {
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        let now = Instant::now();
        Self {
            metrics,
            totals: Totals::default(),
            window: BusyMeter::new(now),
            sample: BusyMeter::new(now),
            started_at: now,
            phase_start: now,
            input_start: now,
            batch: 0,
            wait: Duration::ZERO,
        }
    }

    /// Starts a turn.
    pub(super) fn start_turn(&mut self) {
        self.started_at = Instant::now();
        self.phase_start = self.started_at;
        self.input_start = self.started_at;
        self.batch = 0;
        self.totals.turns += 1;
    }

    /// The number of inputs that the turn has handled so far.
    pub(super) fn batch(&self) -> usize {
        self.batch
    }

    /// How long the turn has taken when its last input was handled.
    pub(super) fn elapsed(&self) -> Duration {
        self.input_start - self.started_at
    }

    /// Records that all inputs of the turn are taken in.
    pub(super) fn record_batch(&mut self) {
        self.totals.inputs += self.batch;
        self.totals.batch = self.totals.batch.max(self.batch);
        self.metrics.record_batch(self.batch);
    }

    /// Records a message with heartbeats of agents.
    pub(super) fn record_heartbeats(&mut self) {
        self.totals.heartbeats += 1;
        self.metrics.heartbeat_messages.inc();
    }

    /// Records how long an input of this turn has waited since its arrival.
    pub(super) fn record_wait(&mut self, arrived_at: Instant) {
        let wait = self.phase_start.saturating_duration_since(arrived_at);
        self.wait = self.wait.max(wait);
    }

    /// Records that an input was handled, after the one before.
    pub(super) fn record_input(&mut self, kind: InputKind) {
        let now = Instant::now();
        let took = now - std::mem::replace(&mut self.input_start, now);
        let (count, time) = &mut self.totals.kinds[kind as usize];
        *count += 1;
        *time += took;
        self.batch += 1;
        self.metrics.record_input(kind, took);
    }

    /// Records the end of a phase of the turn.
    pub(super) fn end_phase(&mut self, phase: Phase) {
        let now = Instant::now();
        let took = now - self.phase_start;
        self.phase_start = now;
        let sum = match phase {
            Phase::Take => &mut self.totals.taking,
            Phase::Plan => &mut self.totals.planning,
            Phase::Rest => &mut self.totals.rest,
        };
        *sum += took;
        self.metrics.record_phase(phase, took);
    }

    /// Records the turn after its last phase.
    pub(super) fn end_turn(&mut self) {
        self.totals.turn = self.totals.turn.max(self.phase_start - self.started_at);
        let wait = std::mem::take(&mut self.wait);
        self.totals.wait = self.totals.wait.max(wait);
        self.metrics.record_wait(wait);
    }

    /// Records what the turn decided.
    pub(super) fn record_plan(&mut self, plan: &Plan) {
        let totals = &mut self.totals;
        totals.orders += plan.orders.len();
        totals.commands += plan.commands.len();
        totals.visits.add(plan.visits);
        self.metrics.record_visits(plan.visits);
    }

    /// Records how long starts waited for their commits, for being sent, and for their answers.
    pub(super) fn record_starts(&mut self, plan: &Plan) {
        let longest = |waits: &[Duration]| waits.iter().copied().max().unwrap_or_default();
        let totals = &mut self.totals;
        totals.commit_wait = totals.commit_wait.max(longest(&plan.commit_delays));
        totals.start_wait = totals.start_wait.max(longest(&plan.start_delays));
        totals.answer_wait = totals.answer_wait.max(longest(&plan.answer_delays));
    }

    /// Records the size of a proposal.
    pub(super) fn record_proposal(&mut self, bytes: usize) {
        self.totals.bytes += bytes;
    }

    /// The span since the last sample and its busy ratio, if a new sample is due.
    pub(super) fn sample(&mut self) -> Option<(Duration, f64)> {
        self.sample.read(self.phase_start, SAMPLE_INTERVAL)
    }

    /// Ends the window if it is over. Logs it if an input waited too long in it or the thread was
    /// too busy.
    ///
    /// The scheduler tells which orders and starts are under way then; a node that doesn't lead has
    /// none.
    pub(super) fn close_window(&mut self, scheduler: Option<&Scheduler>) {
        let Some((_, share)) = self.window.read(self.phase_start, WINDOW) else {
            return;
        };
        let totals = std::mem::take(&mut self.totals);
        self.metrics.busy_ratio.set(share);
        if totals.wait < MAX_WAIT && share < MAX_BUSY_RATIO {
            return;
        }
        let Totals {
            turns,
            inputs,
            heartbeats,
            batch,
            wait,
            turn,
            taking,
            planning,
            rest,
            orders,
            commands,
            bytes,
            visits,
            kinds,
            commit_wait,
            start_wait,
            answer_wait,
        } = totals;
        let under_way = scheduler.map_or(0, Scheduler::under_way);
        let UnconfirmedStarts {
            uncommitted,
            unsent,
            unanswered,
        } = scheduler.map_or_else(UnconfirmedStarts::default, Scheduler::unconfirmed_starts);
        log::warn!(
            busy = share, turns, inputs, heartbeats, batch, wait:?, turn:?, taking:?, planning:?, rest:?,
            orders, under_way, commands, bytes, looks = visits.total(), uncommitted, unsent, unanswered,
            commit_wait:?, start_wait:?, answer_wait:?;
            "the control task is falling behind"
        );
        let inputs = InputKind::ALL.map(|kind| {
            let (count, time) = kinds[kind as usize];
            format!("{} {count} {time:?}", kind.label())
        });
        let Visits {
            inputs: input_visits,
            hosts,
            search,
            orders: order_visits,
        } = visits;
        log::info!(
            inputs = inputs.join(", "), input_visits, hosts, search, order_visits;
            "inputs and visits of a control task that falls behind"
        );
    }
}

/// The total busy time of the thread that runs the tasks, since the process started.
fn total_busy() -> Duration {
    Handle::current().metrics().worker_total_busy_duration(0)
}
