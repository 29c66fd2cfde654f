//! Best-effort work beside work that serves.
//!
//! The one slows the other by amounts that nobody knows ahead and that change within seconds. So
//! what serves is measured, and the best-effort tasks of its agent are throttled by feedback:
//! sharply when a tail comes near its target, and let go again by small steps while it is well below.

use std::time::Duration;

use super::{About, Agent, MinionId, Now, OrderKind, Phase, Report, Scheduler};

/// Figures are for the last half second, and a change takes a tenth; less apart than that a change
/// would be judged by figures from before it.
const PAUSE: Duration = Duration::from_millis(600);
/// The part of its target at which a tail is too near: figures are rough.
const NEAR: f64 = 0.9;
/// The part of its target up to which there is room for more.
const WELL: f64 = 0.7;
/// So far beyond its target a tail leaves no time for steps.
const FAR: f64 = 1.5;
/// By which the share is multiplied when a tail is too near.
const CUT: f64 = 0.4;
/// Less than this is none: what runs at a few hundredths disturbs and gets nowhere.
const LEAST: u8 = 10;
/// Added to the share when there is room, and when there is much.
const STEP: (u8, u8) = (10, 20);
/// Up to this part of its target there is room for much more.
const VERY_WELL: f64 = 0.4;
/// Work at full speed.
pub(super) const FULL: u8 = 100;
/// No share: what a task was told isn't known, or may not have arrived.
pub(super) const UNTOLD: u8 = u8::MAX;
/// The share that a new leader begins with: what a cut leaves of full speed. What its predecessor told
/// isn't known, and tasks that it had throttled to nothing would stay so.
pub(super) const INHERITED: u8 = 40;

/// The share that best-effort tasks should work at, given the share now and the highest tail as a
/// part of its target.
fn adjust(share: u8, tail: f64) -> u8 {
    if tail > FAR {
        0
    } else if tail > NEAR {
        let cut = (f64::from(share) * CUT) as u8;
        if cut < LEAST { 0 } else { cut }
    } else if tail < WELL {
        let step = if tail < VERY_WELL { STEP.1 } else { STEP.0 };
        share.saturating_add(step).min(FULL)
    } else {
        share
    }
}

impl Scheduler {
    /// Takes in what an agent measured, and throttles its best-effort tasks if they disturb.
    pub(super) fn measure(&mut self, now: Now, id: &MinionId, report: &Report) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        if agent.has_best_effort() && now >= agent.throttled_at + PAUSE {
            // Without anything that serves, nothing stands against full speed.
            let share = worst(agent, report).map_or(FULL, |tail| adjust(agent.share, tail));
            if share != agent.share {
                log::info!(agent:% = id, share, before = agent.share; "best-effort tasks are throttled");
                agent.share = share;
                agent.throttled_at = now;
            }
        }
        self.send_throttles(now, id);
    }

    /// Tells an agent the share of each best-effort task that has another one.
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
            self.order(now, about, what);
        }
    }
}

/// The highest tail of what serves at an agent, as a part of its target.
fn worst(agent: &Agent, report: &Report) -> Option<f64> {
    let tails = report.running.iter().filter_map(|running| {
        let slot = agent.slots.get(&running.task)?;
        let target = slot.tail.filter(|_| slot.attempt == running.attempt)?;
        Some(running.measure? / (target.as_secs_f64() * 1000.0).max(1.0))
    });
    tails.max_by(f64::total_cmp)
}
