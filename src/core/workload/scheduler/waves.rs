//! Waves of maintenance: which hosts are emptied, and when each may go down.

use std::{collections::BTreeSet, time::Duration};

use super::{
    Agent, HostState, Map, Now, Phase, Scheduler, StepId, TaskId, Wall,
    hosts::{Duty, Hosts, Purpose, Stage, WaveTime},
};
use crate::core::{
    types::{HostId, WaveId},
    workload::{command::WaveRecord, ledger::Ledger},
};

/// What maintaining a host takes, with what it takes to notice; counts in how soon a wave ends.
const TURN: Duration = Duration::from_millis(3200);

/// How long a host of a wave is of no use, with the time until its tasks have ended.
const MISSED: Duration = Duration::from_secs(5);
/// From the stop of a lasting task until it is at work elsewhere and the next of its step may be
/// stopped: what agents take to stop and start one, with our looks in between.
const RESTART: Duration = Duration::from_millis(2100);
/// The part of a wave's time in which it is planned to be through. The rest is for what goes wrong:
/// an election and a holder's pause take some five seconds.
const PLANNED: f64 = 0.6;

/// What a host runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Burden {
    /// Tasks that last: each must be stopped, within its budget.
    lasting: usize,
    /// The most of them that are of one step, and so are stopped one after the other.
    in_turn: u32,
    /// All of them.
    all: usize,
}

impl Burden {
    /// About how long it takes until the host is back from its maintenance.
    fn span(self) -> Duration {
        TURN + RESTART * self.in_turn
    }
}

/// Hosts that have to be under way at once for a wave to be through in time.
fn pace(hosts: usize, left: Duration) -> usize {
    let needed = MISSED.as_secs_f64() * hosts as f64;
    (needed / (left.as_secs_f64() * PLANNED).max(0.001)).ceil() as usize
}

impl Scheduler {
    /// Has hosts of a wave emptied and maintained.
    pub(super) fn tend_wave(&mut self, now: Now, wall: Wall, ledger: &Ledger, wave: &WaveRecord) {
        let cap = usize::try_from(wave.cap).unwrap_or(usize::MAX);
        self.let_go(now, wave);
        // The clock of the day may jump, so it is looked at once.
        let due = now + wave.until.saturating_sub(wall);
        let time = self.hosts.waves.entry(wave.wave);
        let time = *time.or_insert(WaveTime { since: now, due });
        let left = time.due.saturating_sub(now);
        self.empty_more(now, wave, cap, time.since, left);
        let turns = wave.left.len().div_ceil(cap.max(1));
        let needed = TURN * u32::try_from(turns).unwrap_or(u32::MAX);
        let late = needed >= left;
        let away = self.away(now, wave);
        self.admit(now, ledger, wave.wave, cap.saturating_sub(away), late);
    }

    /// Takes the hosts off a wave that aren't there any more.
    ///
    /// Lists alone don't show that. A host that they lack is ordered like the others; if the provider
    /// refuses, and lists that were asked for after that lack it still, it is gone for good.
    fn let_go(&mut self, now: Now, wave: &WaveRecord) {
        let Hosts {
            views,
            presence,
            refused,
            ..
        } = &mut self.hosts;
        for host in wave.left.iter().filter(|host| !views.contains_key(*host)) {
            let Some(at) = refused.get_mut(host) else {
                continue;
            };
            if presence.is_absent(host, *at) {
                log::info!(wave = wave.wave, host:%; "a host of a wave isn't there any more");
                self.maintained.push((wave.wave, host.clone()));
                // Not again while that is being committed.
                *at = now;
            }
        }
    }

    /// Begins to empty hosts of a wave: those that no pool needs at once, and others only as fast as
    /// the wave's time asks, since each host that is emptied is missed by its pool.
    fn empty_more(&mut self, now: Now, wave: &WaveRecord, cap: usize, since: Now, left: Duration) {
        let mine = |duty: &&Duty| duty.what == Purpose::Maintain(wave.wave);
        let mut under = self.hosts.duties.values().filter(mine).count();
        let most = cap.saturating_mul(2);
        let needed = pace(wave.left.len(), left);
        let mut candidates: Vec<_> = wave
            .left
            .iter()
            .filter(|host| !self.hosts.duties.contains_key(*host))
            .filter(|host| !self.is_refused(now, host))
            .filter_map(|host| Some((self.burden(host, since)?, host.clone())))
            .collect();
        candidates.sort_unstable();
        for (burden, host) in candidates {
            if under >= most {
                return;
            }
            let unneeded = burden == Burden::default() && self.take_surplus(&host);
            let pressing = left.mul_f64(PLANNED) <= burden.span();
            if unneeded || pressing || under < needed {
                under += 1;
                self.begin_duty(now, &host, Purpose::Maintain(wave.wave));
            }
        }
    }

    /// Takes a host out of what its pool has beyond its need; whether it had any.
    fn take_surplus(&mut self, host: &HostId) -> bool {
        let Some(view) = self.hosts.views.get(host) else {
            // It isn't there, and so isn't needed.
            return true;
        };
        match self.hosts.surplus.get_mut(&view.pool) {
            Some(surplus) if *surplus > 0 => {
                *surplus -= 1;
                true
            }
            Some(_) => false,
            // Spares are needed by no pool until they are moved.
            None => true,
        }
    }

    /// How much stands against emptying a host of a wave that is tended since then; nothing if it
    /// isn't up, or may be there though it isn't listed.
    fn burden(&self, host: &HostId, since: Now) -> Option<Burden> {
        let Some(view) = self.hosts.views.get(host) else {
            let refused = self.hosts.refused.contains_key(host);
            let gone = !refused && self.hosts.presence.is_absent(host, since);
            return gone.then(Burden::default);
        };
        if view.state != HostState::Up {
            return None;
        }
        let Some(agent) = self.agent_at(view) else {
            return Some(Burden::default());
        };
        if agent.record.leaving {
            return None;
        }
        let lasting = agent.slots.iter().filter(|(_, slot)| slot.long_running);
        let mut steps: Map<StepId, u32> = Map::default();
        for (task, _) in lasting {
            *steps.entry(task.step).or_default() += 1;
        }
        Some(Burden {
            lasting: usize::try_from(steps.values().sum::<u32>()).unwrap_or(usize::MAX),
            in_turn: steps.values().max().copied().unwrap_or_default(),
            all: agent.slots.len(),
        })
    }

    /// Hosts that are down for a wave, or may be.
    fn away(&self, now: Now, wave: &WaveRecord) -> usize {
        let duties = self.hosts.duties.iter();
        let own = duties.filter(|(_, duty)| {
            duty.what == Purpose::Maintain(wave.wave) && duty.stage != Stage::Emptying
        });
        // An earlier leader may have ordered others, a moment ago or before.
        let held = wave.left.iter();
        let held = held.filter(|host| self.touching.is_held(now, host));
        let views = self.hosts.views.iter();
        let down = views.filter(|(_, view)| view.state == HostState::Maintained);
        let all = own.map(|(host, _)| host);
        let all: BTreeSet<_> = all.chain(held).chain(down.map(|(host, _)| host)).collect();
        all.len()
    }

    /// Lets hosts be maintained that are empty, or all but empty if the wave would be late.
    pub(super) fn admit(
        &mut self,
        now: Now,
        ledger: &Ledger,
        wave: WaveId,
        room: usize,
        late: bool,
    ) {
        let duties = self.hosts.duties.iter();
        let emptying = duties.filter(|(_, duty)| {
            duty.what == Purpose::Maintain(wave) && duty.stage == Stage::Emptying
        });
        let emptying: Vec<_> = emptying
            .map(|(host, duty)| (host.clone(), duty.agent.clone()))
            .collect();
        let mut room = room;
        for (host, id) in emptying {
            let agent = id.as_ref().and_then(|id| self.agents.get(id));
            let ready = agent.is_none_or(|agent| {
                let may_end = late && self.may_end(now, ledger, agent);
                agent.slots.is_empty() || may_end || !self.settings.protections.budget
            });
            // Until an order may go out nothing stands still: what runs there goes on, and what else of
            // its steps is away by then counts then.
            if room == 0 || !ready || self.touching.is_held(now, &host) {
                continue;
            }
            room -= 1;
            if let Some(agent) = id.and_then(|id| self.agents.get_mut(&id)) {
                // What it runs counts as away from here on.
                agent.evicting = true;
            }
            if let Some(duty) = self.hosts.duties.get_mut(&host) {
                duty.stage = Stage::Due;
                duty.since = now;
            }
        }
    }

    /// Whether all that an agent runs may be ended, at the price of the work done.
    pub(super) fn may_end(&self, now: Now, ledger: &Ledger, agent: &Agent) -> bool {
        let lasting = agent.slots.iter().filter(|(_, slot)| slot.long_running);
        let mut steps = BTreeSet::new();
        lasting.into_iter().all(|(task, _)| {
            // Two of one step at once would count against each other.
            steps.insert(task.step) && self.may_stop(now, ledger, *task)
        })
    }

    /// Whether the budget of its step lets a lasting task be stopped.
    pub(super) fn may_stop(&self, now: Now, ledger: &Ledger, task: TaskId) -> bool {
        let Some(job) = ledger.job(task.step.job) else {
            return true;
        };
        let (Some(spec), Some(step)) = (
            job.spec.steps.get(usize::from(task.step.step)),
            job.step(task.step),
        ) else {
            return true;
        };
        let others = (0..).zip(&step.tasks).filter(|(ix, _)| *ix != task.task);
        let away = others.filter(|(ix, other)| {
            let id = TaskId {
                step: task.step,
                task: *ix,
            };
            let agent = other.agent.as_ref().and_then(|id| self.agents.get(id));
            // Its host may be about to get an order, or have got one of an earlier leader; and of one
            // that doesn't answer nothing is known.
            let held = |host| self.touching.is_held(now, host);
            let agent = agent.filter(|agent| {
                !agent.evicting
                    && agent.failing_since.is_none()
                    && !agent.host.as_ref().is_some_and(held)
            });
            let slot = agent.and_then(|agent| agent.slots.get(&id));
            !slot.is_some_and(|slot| slot.phase == Phase::Running && slot.fully_running)
        });
        // A step without a budget is treated like one with the smallest.
        away.count() < usize::try_from(spec.budget.max(1)).unwrap_or(usize::MAX)
    }

    /// Stops what lasts on cordoned agents, as far as its budgets allow.
    pub(super) fn empty(&mut self, now: Now, ledger: &Ledger) {
        let emptying = self.hosts.duties.values();
        let emptying = emptying.filter(|duty| duty.stage == Stage::Emptying);
        let agents: Vec<_> = emptying.filter_map(|duty| duty.agent.clone()).collect();
        for id in agents {
            let Some(agent) = self.agents.get(&id) else {
                continue;
            };
            let lasting = agent.slots.iter();
            let lasting =
                lasting.filter(|(_, slot)| slot.long_running && slot.phase == Phase::Running);
            let lasting: Vec<_> = lasting.map(|(task, _)| *task).collect();
            for task in lasting {
                if self.may_stop(now, ledger, task) {
                    log::info!(agent:% = id, task:%; "a lasting task is stopped to empty its host");
                    self.stop(now, &id, task);
                }
            }
        }
    }
}
