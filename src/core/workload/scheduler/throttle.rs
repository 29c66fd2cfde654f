//! Throttles best-effort tasks that run beside latency-sensitive ones.
//!
//! Best-effort tasks slow the others by amounts that can't be predicted and that change within
//! seconds. So the tail latency of each latency-sensitive task is measured, and the best-effort
//! tasks of its agent are throttled by feedback: their share is cut sharply when a tail latency
//! comes near its target, and raised again in small steps while the tail latency is well below it.

use std::time::Duration;

use super::{About, Agent, MinionId, Now, OrderKind, Phase, Report, Scheduler};

/// Shortest time between two changes of the share. Measurements cover the last half second, and a
/// change takes a tenth of a second to take effect. At a shorter interval, a change would be judged
/// by measurements from before it.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(600);
/// The part of its target above which a tail latency is too near; measurements are rough.
const CUT_ABOVE: f64 = 0.9;
/// The part of its target below which there is room for a larger share.
const RAISE_BELOW: f64 = 0.7;
/// The multiple of its target above which a tail latency leaves no time for gradual cuts.
const STOP_ABOVE: f64 = 1.5;
/// Factor on the share when a tail latency is too near its target.
const CUT_FACTOR: f64 = 0.4;
/// A share below this is set to zero: a task at a few hundredths of its speed still disturbs the
/// others and makes no progress.
const MIN_SHARE: u8 = 10;
/// Added to the share when there is room, and when there is much room.
const RAISE_STEPS: (u8, u8) = (10, 20);
/// The part of its target below which there is much room.
const RAISE_FAST_BELOW: f64 = 0.4;
/// Full speed.
pub(super) const FULL_SHARE: u8 = 100;
/// Not a share: what a task was told isn't known, or may not have arrived.
pub(super) const UNKNOWN_SHARE: u8 = u8::MAX;
/// The share that a new leader begins with, which is what a cut leaves of full speed. What its
/// predecessor told the agent isn't known, and tasks that it had throttled to zero would otherwise
/// stay there.
pub(super) const INHERITED_SHARE: u8 = 40;

/// The share that best-effort tasks should run at, given their present share and the highest tail
/// latency as a part of its target.
fn adjust_share(share: u8, tail: f64) -> u8 {
    if tail > STOP_ABOVE {
        0
    } else if tail > CUT_ABOVE {
        let cut = (f64::from(share) * CUT_FACTOR) as u8;
        if cut < MIN_SHARE { 0 } else { cut }
    } else if tail < RAISE_BELOW {
        let step = if tail < RAISE_FAST_BELOW {
            RAISE_STEPS.1
        } else {
            RAISE_STEPS.0
        };
        share.saturating_add(step).min(FULL_SHARE)
    } else {
        share
    }
}

impl Scheduler {
    /// Takes in what an agent measured, and adjusts the share of its best-effort tasks.
    pub(super) fn adjust_throttle(&mut self, now: Now, id: &MinionId, report: &Report) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        if agent.has_best_effort() && now >= agent.throttled_at + MIN_CHANGE_INTERVAL {
            // Without latency-sensitive tasks nothing stands against full speed.
            let share = worst_tail(agent, report)
                .map_or(FULL_SHARE, |tail| adjust_share(agent.share, tail));
            if share != agent.share {
                log::info!(agent:% = id, share, before = agent.share; "the share of best-effort tasks changes");
                agent.share = share;
                agent.throttled_at = now;
            }
        }
        self.send_throttles(now, id);
    }

    /// Sends an agent the share of each best-effort task that was last told another one.
    fn send_throttles(&mut self, now: Now, id: &MinionId) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        let (to, percent) = (agent.target(), agent.share);
        let mut due = Vec::new();
        for (task, slot) in &mut agent.slots {
            let differs = slot.best_effort && slot.phase == Phase::Running && slot.share != percent;
            if differs {
                slot.share = percent;
                due.push((*task, slot.attempt));
            }
        }
        for (task, attempt) in due {
            let about = About::Throttle(id.clone(), task);
            let to = to.clone();
            let what = OrderKind::Throttle {
                to,
                task,
                attempt,
                percent,
            };
            self.send_order(now, about, what);
        }
    }
}

/// The highest tail latency of an agent's latency-sensitive tasks, as a part of its target.
fn worst_tail(agent: &Agent, report: &Report) -> Option<f64> {
    let tails = report.running.iter().filter_map(|running| {
        let slot = agent.slots.get(&running.task)?;
        let target = slot.tail.filter(|_| slot.attempt == running.attempt)?;
        Some(running.measure? / (target.as_secs_f64() * 1000.0).max(1.0))
    });
    tails.max_by(f64::total_cmp)
}
