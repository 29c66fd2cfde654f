//! How a leader does with less while its processor is full.
//!
//! Half of what a leader orders in a rush are renewals, each of which is answered by the next end at
//! its agent: with ten short tasks at an agent, that is a renewal for each of them. While there is
//! time, the sooner an end is known the better. Once there is none, each renewal delays all other
//! orders, and a pause before the next lets several ends be told at a time. So the pause grows with
//! the part of the time that the processor is busy, up to a small part of what the pool's tasks take.

use std::time::Duration;

use super::{PoolId, RENEWAL_GAP, Scheduler, learned::TaskTimes};

/// The time over which the busy part is averaged: some turns of a full leader, and less than it takes
/// a rush to rise.
const MEMORY: Duration = Duration::from_millis(200);
/// The busy parts at which the pause begins to grow and is longest. Between them there is time for
/// what comes at once.
const RANGE: (f64, f64) = (0.6, 0.9);
/// The longest pause, as a part of what a pool's tasks take on average: an end is then heard of late
/// by half of that, an eighth of the task. With 300 agents and tasks of 0.4 s a full leader starts a
/// sixth more of them a second than without a longer pause, and with half of this part a fifteenth
/// more (in a world of tests, with the processor times that were measured).
const LONGEST: f64 = 0.25;

/// The busy parts from which other control nodes carry orders, and carry all of them. An exchange with an
/// agent is a tenth of a millisecond of processor and the decision about it a fifth of that, so that half
/// of the processor is left in a rush in which it would be full; and where there is time, an order that
/// goes out from here is there a way through the mesh earlier.
const RELAYED: (f64, f64) = (0.2, 0.5);

/// How full the leader's processor is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pressure {
    busy: f64,
}

impl Pressure {
    /// From 0, there is time, to 1, there is none.
    pub(super) fn level(self) -> f64 {
        self.within(RANGE)
    }

    /// How far the busy part is from the first to the second of two.
    fn within(self, (from, to): (f64, f64)) -> f64 {
        ((self.busy - from) / (to - from)).clamp(0.0, 1.0)
    }
}

impl Scheduler {
    /// The processor of this node was busy for a part of the span that ends now.
    pub fn note_busy(&mut self, span: Duration, part: f64) {
        let weight = 1.0 - (-span.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.pressure.busy += (part - self.pressure.busy) * weight;
    }

    /// The part of the agents whose orders other control nodes should carry.
    pub fn relayed(&self) -> f64 {
        self.pressure.within(RELAYED)
    }

    /// From an answer of an agent of a pool to the next renewal there.
    pub(super) fn gap(&self, pool: &PoolId) -> Duration {
        let mean = self.learned.get(pool).map(TaskTimes::mean);
        let longest = mean.unwrap_or_default().mul_f64(LONGEST).max(RENEWAL_GAP);
        RENEWAL_GAP + (longest - RENEWAL_GAP).mul_f64(self.pressure.level())
    }
}
