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

use super::metrics::{Metrics, Part};

/// Length of a window. Short enough to show the seconds of a burst, and long enough to bound the
/// number of log lines.
const WINDOW: Duration = Duration::from_secs(1);
/// Time between two samples of the busy ratio.
const SAMPLE: Duration = Duration::from_millis(100);
/// Wait after which an input comes too late to act on. Half of the time that an agent may take to
/// answer.
const BEHIND: Duration = Duration::from_millis(250);
/// Busy ratio of the thread in a window above which no time is left for a burst.
const FULL: f64 = 0.9;

/// Totals and maxima of the current window. The field names are the keys of the log line.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    turns: usize,
    inputs: usize,
    batch: usize,
    wait: Duration,
    turn: Duration,
    taking: Duration,
    planning: Duration,
    rest: Duration,
    orders: usize,
    commands: usize,
    bytes: usize,
    looks: usize,
}

/// Measures the turns of the control task.
#[derive(Debug)]
pub(super) struct Load {
    metrics: Arc<Metrics>,
    sums: Sums,
    /// The thread's busy time since the window began.
    window: Meter,
    /// The thread's busy time since the last sample.
    sample: Meter,
    /// When this turn began, and when its last finished phase ended.
    begun: Instant,
    mark: Instant,
    /// The longest wait of an input of this turn.
    wait: Duration,
}

/// Measures the busy ratio of the thread over a span of time.
#[derive(Debug)]
struct Meter {
    since: Instant,
    /// The thread's total busy time at `since`.
    busy: Duration,
}

impl Meter {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            busy: busy(),
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
        let part = (self.busy - before.busy).as_secs_f64() / span.as_secs_f64();
        Some((span, part))
    }
}

impl Load {
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        let now = Instant::now();
        Self {
            metrics,
            sums: Sums::default(),
            window: Meter::new(now),
            sample: Meter::new(now),
            begun: now,
            mark: now,
            wait: Duration::ZERO,
        }
    }

    /// Starts a turn with a number of inputs.
    pub(super) fn begin(&mut self, inputs: usize) {
        self.begun = Instant::now();
        self.mark = self.begun;
        self.sums.turns += 1;
        self.sums.inputs += inputs;
        self.sums.batch = self.sums.batch.max(inputs);
        self.metrics.batched(inputs);
    }

    /// Records how long an input of this turn has waited since its arrival.
    pub(super) fn waited(&mut self, came: Instant) {
        let wait = self.mark.saturating_duration_since(came);
        self.wait = self.wait.max(wait);
    }

    /// Records the end of a phase of the turn.
    pub(super) fn done(&mut self, part: Part) {
        let now = Instant::now();
        let took = now - self.mark;
        self.mark = now;
        let sum = match part {
            Part::Take => &mut self.sums.taking,
            Part::Plan => &mut self.sums.planning,
            Part::Rest => &mut self.sums.rest,
        };
        *sum += took;
        self.metrics.turned(part, took);
    }

    /// Records the turn after its last phase.
    pub(super) fn end(&mut self) {
        self.sums.turn = self.sums.turn.max(self.mark - self.begun);
        let wait = std::mem::take(&mut self.wait);
        self.sums.wait = self.sums.wait.max(wait);
        self.metrics.waited(wait);
    }

    /// Records what the turn decided: the number of orders and commands, and of agents that were
    /// examined.
    pub(super) fn decided(&mut self, orders: usize, commands: usize, looks: usize) {
        self.sums.orders += orders;
        self.sums.commands += commands;
        self.sums.looks += looks;
    }

    /// Records the size of a proposal.
    pub(super) fn proposed(&mut self, bytes: usize) {
        self.sums.bytes += bytes;
    }

    /// The span since the last sample and its busy ratio, if a new sample is due.
    pub(super) fn sample(&mut self) -> Option<(Duration, f64)> {
        self.sample.read(self.mark, SAMPLE)
    }

    /// Ends the window if it is over. Logs it if an input waited too long in it or the thread was
    /// too busy.
    ///
    /// `under_way` is the number of orders that wait for an answer.
    pub(super) fn close(&mut self, under_way: usize) {
        let Some((_, share)) = self.window.read(self.mark, WINDOW) else {
            return;
        };
        let sums = std::mem::take(&mut self.sums);
        self.metrics.busy.set(share);
        if sums.wait < BEHIND && share < FULL {
            return;
        }
        let Sums {
            turns,
            inputs,
            batch,
            wait,
            turn,
            taking,
            planning,
            rest,
            orders,
            commands,
            bytes,
            looks,
        } = sums;
        log::warn!(
            busy = share, turns, inputs, batch, wait:?, turn:?, taking:?, planning:?, rest:?,
            orders, under_way, commands, bytes, looks;
            "the control task is falling behind"
        );
    }
}

/// The total busy time of the thread that runs the tasks, since the process started.
fn busy() -> Duration {
    Handle::current().metrics().worker_total_busy_duration(0)
}
