//! How a leader saves work while its processor is full.
//!
//! Half of the orders of a leader in a surge are renewals, and the next end at an agent answers the
//! renewal there: with ten batch tasks at an agent, each of them costs a renewal. While there is
//! processor time, the sooner an end is known the better. Once there is none, each renewal delays
//! all other orders, and a pause before the next renewal lets one answer report several ends. So
//! the pause grows with the busy part of the processor, up to a small part of the time that the
//! pool's tasks take.

use std::time::Duration;

use super::{PoolId, RENEWAL_GAP, Scheduler, learned::TaskTimes};

/// The time over which the busy part is averaged: several turns of a fully loaded leader, and less
/// than the time in which a surge builds up.
const AVERAGING_TIME: Duration = Duration::from_millis(200);
/// The busy parts at which the pause starts to grow and is longest. Between them, the leader still
/// keeps up with the orders that come at once.
const PAUSE_RANGE: (f64, f64) = (0.6, 0.9);
/// The longest pause, as a part of the mean duration of a pool's tasks. The news of an end is then
/// late by half of that on average, an eighth of the task. With 300 agents and tasks of 0.4 s, a
/// fully loaded leader starts a sixth more tasks per second than without a longer pause, and a
/// fifteenth more with half of this part (in the simulated world of the tests, with measured
/// processor times).
const MAX_PAUSE: f64 = 0.25;

/// The busy parts from which other control nodes relay some orders, and relay all. An exchange with
/// an agent costs a tenth of a millisecond of processor time and the decision about it a fifth of
/// that, so that a surge that would fill the processor leaves half of it free. While there is time,
/// an order that goes out from the leader itself arrives earlier, by one way through the mesh.
const RELAY_RANGE: (f64, f64) = (0.2, 0.5);

/// How loaded the leader's processor is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pressure {
    busy: f64,
}

impl Pressure {
    /// The busy part of the processor, averaged.
    pub(super) fn busy(self) -> f64 {
        self.busy
    }

    /// From 0, idle enough, to 1, fully loaded.
    pub(super) fn level(self) -> f64 {
        self.position_in(PAUSE_RANGE)
    }

    /// How far the busy part is from the first to the second of two bounds, from 0 to 1.
    fn position_in(self, (from, to): (f64, f64)) -> f64 {
        ((self.busy - from) / (to - from)).clamp(0.0, 1.0)
    }
}

impl Scheduler {
    /// Notes which part of the span that ends now the processor of this node was busy.
    pub fn record_busy(&mut self, span: Duration, part: f64) {
        let weight = 1.0 - (-span.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.pressure.busy += (part - self.pressure.busy) * weight;
    }

    /// The part of the agents whose orders other control nodes should relay.
    pub fn relay_share(&self) -> f64 {
        self.pressure.position_in(RELAY_RANGE)
    }

    /// The pause from an answer of an agent of a pool to the next renewal there.
    pub(super) fn renewal_pause(&self, pool: &PoolId) -> Duration {
        let mean = self.learned.get(pool).map(TaskTimes::mean);
        let longest = mean.unwrap_or_default().mul_f64(MAX_PAUSE).max(RENEWAL_GAP);
        RENEWAL_GAP + (longest - RENEWAL_GAP).mul_f64(self.pressure.level())
    }
}
