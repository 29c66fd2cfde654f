//! Decides which hosts of a maintenance wave are emptied, and when each may go down.
//!
//! A wave gives a list of hosts, a time by which all have to be maintained, and a cap on how many
//! may be away at once. Hosts that no pool needs are emptied at once, the others only as fast as
//! the time requires. A host goes down once it is empty, or, if the wave would be late otherwise,
//! once the budgets of all its long-running steps allow their tasks to be away. Long-running tasks
//! are stopped only within the budget of their step. So those of one step on hosts of the wave are a
//! *chain*: they are stopped one after the other, and the longest chain bounds the wave. Its hosts
//! are the first to be emptied, only as many at a time as the budget lets go.

use std::{cmp::Reverse, collections::BTreeSet, time::Duration};

use super::{
    Agent, HostState, Map, Now, Phase, Scheduler, StepId, TaskId, Wall,
    host_orders::Priority,
    hosts::{Hosts, WaveTimes},
    operations::{Operation, Purpose, Stage},
};
use crate::core::{
    types::{HostId, WaveId},
    workload::{command::WaveRecord, ledger::Ledger, spec::TaskIx},
};

/// How long the maintenance of a host takes, including the time to notice its end; decides how soon
/// a wave can end.
const MAINTENANCE_TIME: Duration = Duration::from_millis(3200);

/// How long a host of a wave is unavailable, including the time until its tasks have ended.
const UNAVAILABLE_TIME: Duration = Duration::from_secs(5);
/// Time from the stop of a long-running task until it works elsewhere and the next task of its step
/// may be stopped: what agents take to stop and start a task, with the polls in between.
const RESTART_TIME: Duration = Duration::from_millis(2100);
/// How many times its budget the tasks of a step may wait on hosts that are being emptied: those that
/// are stopped, and those that are next.
const EMPTYING_FACTOR: u32 = 2;
/// The part of the places for hosts being emptied that is kept for hosts without long-running tasks,
/// as a divisor.
const RESERVED_PART: usize = 4;
/// The part of a wave's time in which it is planned to be complete. The rest is for failures: an
/// election and the pause between the orders of two leaders take some five seconds.
const PLANNED_PART: f64 = 0.6;

/// How much stands against emptying a host. Hosts with less are emptied first; the fields are
/// compared in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EmptyingCost {
    /// Long-running tasks, each of which must be stopped within its step's budget.
    long_running: usize,
    /// The largest number of them that belong to one step, and so are stopped one after the other.
    most_per_step: u32,
    /// All tasks.
    all: usize,
}

/// The long-running tasks of a step on the hosts of a wave. The budget of the step lets only so many
/// be away at once, so they are stopped one after the other.
#[derive(Clone, Copy, Debug, Default)]
struct StopChain {
    tasks: u32,
    /// Those of them on hosts that are being emptied.
    emptying: u32,
    budget: u32,
}

impl StopChain {
    /// About how long it takes to stop all of them.
    fn duration(self) -> Duration {
        RESTART_TIME * self.tasks.div_ceil(self.budget.max(1))
    }

    /// Whether further hosts with tasks of the step would only wait, without getting new work.
    fn is_supplied(self) -> bool {
        self.emptying >= self.budget.saturating_mul(EMPTYING_FACTOR)
    }
}

/// A host of a wave that isn't being emptied yet.
struct Candidate {
    host: HostId,
    cost: EmptyingCost,
    /// The chains that it is part of, and the number of its tasks in each.
    steps: Map<StepId, u32>,
}

impl Candidate {
    /// About how long it takes until the last host of its longest chain is back from its
    /// maintenance.
    fn duration(&self, chains: &Map<StepId, StopChain>) -> Duration {
        let chains = self.steps.keys().filter_map(|step| chains.get(step));
        let longest = chains.map(|chain| chain.duration()).max();
        MAINTENANCE_TIME + longest.unwrap_or_default()
    }

    /// Whether it would only wait for the budget of a step if it were being emptied.
    fn would_wait(&self, chains: &Map<StepId, StopChain>) -> bool {
        let mut chains = self.steps.keys().filter_map(|step| chains.get(step));
        chains.any(|chain| chain.is_supplied())
    }
}

/// The number of hosts that have to be in progress at once for a wave to be complete in time.
fn hosts_needed(hosts: usize, left: Duration) -> usize {
    let needed = UNAVAILABLE_TIME.as_secs_f64() * hosts as f64;
    (needed / (left.as_secs_f64() * PLANNED_PART).max(0.001)).ceil() as usize
}

/// How many tasks of a long-running step may be away at once. A step without a budget is treated like
/// one with the smallest budget.
fn disruption_budget(ledger: &Ledger, step: StepId) -> u32 {
    let job = ledger.job(step.job);
    let spec = job.and_then(|job| job.spec.steps.get(usize::from(step.step)));
    spec.map_or(1, |spec| spec.disruption_budget.max(1))
}

impl Scheduler {
    /// Empties hosts of a wave and lets them be maintained.
    pub(super) fn advance_wave(
        &mut self,
        now: Now,
        wall: Wall,
        ledger: &Ledger,
        wave: &WaveRecord,
    ) {
        let cap = usize::try_from(wave.max_concurrent).unwrap_or(usize::MAX);
        self.drop_missing_hosts(now, wave);
        // Wall clocks may jump, so the wall clock is read only once for each wave.
        let due = now.saturating_add(wave.deadline.saturating_sub(wall));
        let time = self.hosts.waves.entry(wave.wave);
        let time = *time.or_insert(WaveTimes { since: now, due });
        let left = time.due.saturating_sub(now);
        let open = cap.saturating_sub(self.hosts_away(now, wave));
        self.empty_wave_hosts(now, ledger, wave, open, time);
        let turns = wave.remaining.len().div_ceil(cap.max(1));
        let needed = MAINTENANCE_TIME * u32::try_from(turns).unwrap_or(u32::MAX);
        let late = needed >= left;
        self.admit_hosts(now, ledger, wave.wave, open, late);
    }

    /// Removes hosts from a wave that no longer exist.
    ///
    /// Lists alone don't show that. The maintenance of a host that the lists lack is ordered like
    /// that of the others. If the provider refuses, and lists that were asked for after the refusal
    /// lack the host as well, it is gone for good.
    fn drop_missing_hosts(&mut self, now: Now, wave: &WaveRecord) {
        let Hosts {
            views,
            presence,
            refused_at: refused,
            ..
        } = &mut self.hosts;
        for host in wave
            .remaining
            .iter()
            .filter(|host| !views.contains_key(*host))
        {
            let Some(at) = refused.get_mut(host) else {
                continue;
            };
            if presence.is_absent(host, *at) {
                log::info!(wave = wave.wave, host:%; "a host of a wave no longer exists");
                self.maintained.insert((wave.wave, host.clone()));
                // Don't report it again while this is being committed.
                *at = now;
            }
        }
    }

    /// Begins to empty hosts of a wave: idle hosts that no pool needs as soon as they may go down,
    /// and others only as fast as the wave's time requires, since each host that is emptied is
    /// missing in its pool. `open` more hosts may go down.
    fn empty_wave_hosts(
        &mut self,
        now: Now,
        ledger: &Ledger,
        wave: &WaveRecord,
        open: usize,
        time: WaveTimes,
    ) {
        let left = time.due.saturating_sub(now);
        let mine = |operation: &&Operation| operation.purpose == Purpose::Maintain(wave.wave);
        let mut under = self.hosts.operations.values().filter(mine).count();
        let most = usize::try_from(wave.max_concurrent).unwrap_or(usize::MAX);
        let most = most.saturating_mul(2);
        let room = self.hosts.orders.room(now, Priority::Maintenance);
        let waiting = self.hosts.operations.values().filter(mine);
        let waiting = waiting.filter(|o| o.stage == Stage::Emptying && self.is_emptied(o));
        let mut idle_room = room.min(open).saturating_sub(waiting.count());
        let needed = hosts_needed(wave.remaining.len(), left);
        let mut chains = self.stop_chains(ledger, wave);
        let mut candidates = self.wave_candidates(now, wave, time.since);
        let is_pressing = |candidate: &Candidate, chains: &_| {
            left.mul_f64(PLANNED_PART) <= candidate.duration(chains)
        };
        candidates.sort_by_cached_key(|candidate| {
            let pressing = is_pressing(candidate, &chains).then(|| candidate.duration(&chains));
            let busy = candidate.cost != EmptyingCost::default();
            (
                busy,
                Reverse(pressing),
                candidate.cost,
                candidate.host.clone(),
            )
        });
        // Hosts whose tasks wait for a budget leave some places to those that can go at once.
        let most_bound = most - most.div_ceil(RESERVED_PART);
        for candidate in candidates {
            if under >= most {
                return;
            }
            let bound = !candidate.steps.is_empty();
            if bound && (under >= most_bound || candidate.would_wait(&chains)) {
                continue;
            }
            let is_idle = candidate.cost == EmptyingCost::default();
            let unneeded = is_idle && idle_room > 0 && self.take_surplus(&candidate.host);
            idle_room -= usize::from(unneeded);
            if unneeded || is_pressing(&candidate, &chains) || under < needed {
                under += 1;
                for (step, tasks) in &candidate.steps {
                    chains.entry(*step).or_default().emptying += tasks;
                }
                let purpose = Purpose::Maintain(wave.wave);
                self.begin_operation(now, &candidate.host, purpose, Priority::Maintenance);
            }
        }
    }

    /// The hosts of a wave that may be emptied and aren't yet.
    fn wave_candidates(&self, now: Now, wave: &WaveRecord, since: Now) -> Vec<Candidate> {
        let hosts = wave.remaining.iter();
        let hosts = hosts.filter(|host| !self.hosts.operations.contains_key(*host));
        let hosts = hosts.filter(|host| !self.was_refused(now, host));
        let candidates = hosts.filter_map(|host| {
            Some(Candidate {
                host: host.clone(),
                cost: self.emptying_cost(host, since)?,
                steps: self.long_running_steps(host),
            })
        });
        candidates.collect()
    }

    /// The long-running steps with tasks on hosts that a wave still has to maintain.
    fn stop_chains(&self, ledger: &Ledger, wave: &WaveRecord) -> Map<StepId, StopChain> {
        let mut chains: Map<StepId, StopChain> = Map::default();
        for host in &wave.remaining {
            let operation = self.hosts.operations.get(host);
            let emptying = operation.is_some_and(|o| o.stage == Stage::Emptying);
            for (step, tasks) in self.long_running_steps(host) {
                let chain = chains.entry(step).or_default();
                chain.tasks += tasks;
                chain.emptying += if emptying { tasks } else { 0 };
            }
        }
        for (step, chain) in &mut chains {
            chain.budget = disruption_budget(ledger, *step);
        }
        chains
    }

    /// The number of long-running tasks on a host, by step.
    fn long_running_steps(&self, host: &HostId) -> Map<StepId, u32> {
        let view = self.hosts.views.get(host);
        let agent = view.and_then(|view| self.agent_at(view));
        let slots = agent.into_iter().flat_map(|agent| &agent.slots);
        let mut steps = Map::default();
        for (task, _) in slots.filter(|(_, slot)| slot.long_running) {
            *steps.entry(task.step).or_default() += 1;
        }
        steps
    }

    /// Whether the agent of an operation runs nothing.
    fn is_emptied(&self, operation: &Operation) -> bool {
        let agent = operation.agent.as_ref().and_then(|id| self.agents.get(id));
        agent.is_none_or(|agent| agent.slots.is_empty())
    }

    /// Takes a host out of its pool's surplus. Returns whether the host can be spared.
    fn take_surplus(&mut self, host: &HostId) -> bool {
        let Some(view) = self.hosts.views.get(host) else {
            // The host doesn't exist, so no pool needs it.
            return true;
        };
        match self.hosts.surplus.get_mut(&view.pool) {
            Some(surplus) if *surplus > 0 => {
                *surplus -= 1;
                true
            }
            Some(_) => false,
            // The pools haven't been compared yet.
            None => true,
        }
    }

    /// How much stands against emptying a host of a wave that has been handled since `since`.
    /// Returns `None` if the host isn't up or its agent is leaving, or if it may exist although it
    /// isn't listed.
    fn emptying_cost(&self, host: &HostId, since: Now) -> Option<EmptyingCost> {
        let Some(view) = self.hosts.views.get(host) else {
            let refused = self.hosts.refused_at.contains_key(host);
            let gone = !refused && self.hosts.presence.is_absent(host, since);
            return gone.then(EmptyingCost::default);
        };
        if view.state != HostState::Up {
            return None;
        }
        let Some(agent) = self.agent_at(view) else {
            return Some(EmptyingCost::default());
        };
        if agent.record.leaving {
            return None;
        }
        let steps = self.long_running_steps(host);
        Some(EmptyingCost {
            long_running: usize::try_from(steps.values().sum::<u32>()).unwrap_or(usize::MAX),
            most_per_step: steps.values().max().copied().unwrap_or_default(),
            all: agent.slots.len(),
        })
    }

    /// The number of hosts that are down for a wave, or may be.
    fn hosts_away(&self, now: Now, wave: &WaveRecord) -> usize {
        let operations = self.hosts.operations.iter();
        let own = operations.filter(|(_, operation)| {
            operation.purpose == Purpose::Maintain(wave.wave) && operation.stage != Stage::Emptying
        });
        // An earlier leader may have ordered the maintenance of others, a moment ago or earlier.
        let held = wave.remaining.iter();
        let held = held.filter(|host| self.intents.is_held(now, host));
        let views = self.hosts.views.iter();
        let down = views.filter(|(_, view)| view.state == HostState::Maintained);
        let all = own.map(|(host, _)| host);
        let all: BTreeSet<_> = all.chain(held).chain(down.map(|(host, _)| host)).collect();
        all.len()
    }

    /// Lets hosts be maintained that are empty, or whose remaining tasks may be ended if the wave
    /// would be late otherwise.
    pub(super) fn admit_hosts(
        &mut self,
        now: Now,
        ledger: &Ledger,
        wave: WaveId,
        room: usize,
        late: bool,
    ) {
        let operations = self.hosts.operations.iter();
        let emptying = operations.filter(|(_, operation)| {
            operation.purpose == Purpose::Maintain(wave) && operation.stage == Stage::Emptying
        });
        let emptying: Vec<_> = emptying
            .map(|(host, operation)| (host.clone(), operation.agent.clone()))
            .collect();
        let mut room = room.min(self.hosts.orders.room(now, Priority::Maintenance));
        for (host, id) in emptying {
            let agent = id.as_ref().and_then(|id| self.agents.get(id));
            let ready = agent.is_none_or(|agent| {
                let may_end = late && self.may_end_all(now, ledger, agent);
                agent.slots.is_empty() || may_end || !self.settings.protections.budget
            });
            // Nothing at the host is disturbed until an order may go out: its tasks go on, and
            // which other tasks of their steps are away is determined then.
            if room == 0 || !ready || self.intents.is_held(now, &host) {
                continue;
            }
            room -= 1;
            if let Some(agent) = id.and_then(|id| self.agents.get_mut(&id)) {
                // What the agent runs counts as away from here on.
                agent.evicting = true;
            }
            self.hosts.line_up(now, &host);
        }
    }

    /// Whether all that an agent runs may be ended, which loses the work done by its batch tasks.
    pub(super) fn may_end_all(&self, now: Now, ledger: &Ledger, agent: &Agent) -> bool {
        let lasting = agent.slots.iter().filter(|(_, slot)| slot.long_running);
        let mut steps = BTreeSet::new();
        lasting.into_iter().all(|(task, _)| {
            // Two tasks of one step that end at once would count against each other.
            steps.insert(task.step) && self.may_stop(now, ledger, *task)
        })
    }

    /// Whether the budget of its step allows a long-running task to be stopped.
    pub(super) fn may_stop(&self, now: Now, ledger: &Ledger, task: TaskId) -> bool {
        let Some(job) = ledger.job(task.step.job) else {
            return true;
        };
        let Some(step) = job.step(task.step) else {
            return true;
        };
        let others = step.records().filter(|(ix, _)| *ix != task.task);
        let running = others.filter(|(ix, other)| {
            let id = TaskId {
                step: task.step,
                task: *ix,
            };
            let agent = other.agent.as_ref().and_then(|id| self.agents.get(id));
            // The agent's host may be about to get an order, or may have got one from an earlier
            // leader. About an agent that doesn't answer nothing is known.
            let held = |host| self.intents.is_held(now, host);
            let agent = agent.filter(|agent| {
                !agent.evicting
                    && agent.failing_since.is_none()
                    && !agent.host.as_ref().is_some_and(held)
            });
            let slot = agent.and_then(|agent| agent.slots.get(&id));
            slot.is_some_and(|slot| slot.phase == Phase::Running && slot.fully_running)
        });
        let running = TaskIx::try_from(running.count()).unwrap_or(TaskIx::MAX);
        let away = step.tasks().saturating_sub(1).saturating_sub(running);
        away < disruption_budget(ledger, task.step)
    }

    /// Stops long-running tasks at cordoned agents, as far as the budgets of their steps allow.
    pub(super) fn stop_long_running(&mut self, now: Now, ledger: &Ledger) {
        let emptying = self.hosts.operations.values();
        let emptying = emptying.filter(|operation| operation.stage == Stage::Emptying);
        let agents: Vec<_> = emptying
            .filter_map(|operation| operation.agent.clone())
            .collect();
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
                    log::info!(agent:% = id, task:%; "a long-running task is stopped to empty its host");
                    self.stop(now, &id, task);
                }
            }
        }
    }
}
