//! How far behind the control task is, and what its time goes into.
//!
//! The task takes in whatever has come while it was busy, decides once, and looks again. A *turn* is
//! one such round. While it keeps up, an input waits for the turn before it and no longer; once it
//! doesn't, inputs wait for many turns, and what the leader believes grows old. Neither shows in the
//! processor time of a whole day, since one leader follows the other. So each wait and each turn is
//! measured, and a window in which either was too long is logged as a whole, with what was done in it.

use std::{sync::Arc, time::Duration};

use tokio::{runtime::Handle, time::Instant};

use super::metrics::{Metrics, Part};

/// From one look at the sums to the next: short enough to show the seconds of a rush, long enough for
/// a line each time to be bounded.
const WINDOW: Duration = Duration::from_secs(1);
/// From one sample of the busy part to the next.
const SAMPLE: Duration = Duration::from_millis(100);
/// An input that waited for longer came too late for what it was about: half of what an agent may
/// take to answer.
const BEHIND: Duration = Duration::from_millis(250);
/// A thread that is busy for more than this part of a window has no time left for a rush.
const FULL: f64 = 0.9;

/// What was measured since the last look.
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

/// Measures the turns of one control task.
#[derive(Debug)]
pub(super) struct Load {
    metrics: Arc<Metrics>,
    sums: Sums,
    /// Since the window began.
    window: Meter,
    /// Since the last sample.
    sample: Meter,
    /// When this turn began, and when the last part of it ended.
    begun: Instant,
    mark: Instant,
    /// The longest that an input of this turn waited.
    wait: Duration,
}

/// Reads the part of a span that the thread was busy.
#[derive(Debug)]
struct Meter {
    since: Instant,
    /// For how long the thread had been busy by then.
    busy: Duration,
}

impl Meter {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            busy: busy(),
        }
    }

    /// The span until now and the busy part of it, if it is this long at least; the next begins now.
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

    /// A turn begins with so many inputs.
    pub(super) fn begin(&mut self, inputs: usize) {
        self.begun = Instant::now();
        self.mark = self.begun;
        self.sums.turns += 1;
        self.sums.inputs += inputs;
        self.sums.batch = self.sums.batch.max(inputs);
        self.metrics.batched(inputs);
    }

    /// An input of this turn came then.
    pub(super) fn waited(&mut self, came: Instant) {
        let wait = self.mark.saturating_duration_since(came);
        self.wait = self.wait.max(wait);
    }

    /// A part of the turn is done.
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

    /// The turn is over with its last part.
    pub(super) fn end(&mut self) {
        self.sums.turn = self.sums.turn.max(self.mark - self.begun);
        let wait = std::mem::take(&mut self.wait);
        self.sums.wait = self.sums.wait.max(wait);
        self.metrics.waited(wait);
    }

    /// What the turn decided: orders, commands and their bytes, and agents that were looked at for it.
    pub(super) fn decided(&mut self, orders: usize, commands: usize, looks: usize) {
        self.sums.orders += orders;
        self.sums.commands += commands;
        self.sums.looks += looks;
    }

    /// So many bytes were proposed to the log.
    pub(super) fn proposed(&mut self, bytes: usize) {
        self.sums.bytes += bytes;
    }

    /// A span that ends now and the part of it that the thread was busy, if it is time for a sample.
    pub(super) fn sample(&mut self) -> Option<(Duration, f64)> {
        self.sample.read(self.mark, SAMPLE)
    }

    /// Closes the window if it is over, and logs it if the task was behind in it or its thread full.
    ///
    /// `under_way` is how many orders wait for their answers.
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
            "the control task is behind"
        );
    }
}

/// For how long the thread of the tasks has been busy, since the process began.
fn busy() -> Duration {
    Handle::current().metrics().worker_total_busy_duration(0)
}
