//! Where tasks run next after hosts have ended under them.
//!
//! A task under which a single host has ended may run at once, but apart from other such tasks and
//! where few tasks run: if one of the tasks that were on the host ended it, only that one will end
//! another.
//!
//! A suspected batch task runs on a *probe*: an agent that is kept free of other batch tasks from
//! the task's start to its end, so that hardly anything but the suspect can end the host. Nothing
//! new is started on a probe while it empties, nor beside the suspect. The other startable tasks of
//! the suspect's unit wait until it is done.
//!
//! A suspected long-running task runs apart from other suspects, but never on a probe: it would
//! hold a probe for as long as it is suspected, and in a small pool all hosts. For the same reason,
//! a long-running task on a host doesn't keep the host from becoming a probe.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Agent, Ledger, MinionId, Now, Placement, PoolId, Scheduler, Slot, StepId, StepSpec, TaskId,
    agent::RECENTLY_SEEN, place, starts::decided_attempts, suspects::TaskEvidence,
    unit::SuspectUnit,
};
use crate::core::workload::suspicion::Evidence;

/// At most one in this many hosts of a pool is a probe: the first number while the unit in question
/// has waited for a short time, the second once it has waited for too long.
const PROBE_DIVISORS: (usize, usize) = (4, 2);
/// The interval between two searches for a probe. Each search may visit all agents of a pool.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);
/// How long a unit waits for a probe before there may be more probes, or before it runs beside
/// other tasks if no host will become free for it. Callers rely on a task that could be started
/// waiting less than three seconds.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(2000);

/// A unit that waits for a probe.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Now,
    /// When to search again.
    next_search: Now,
}

/// The agents that are probes.
#[derive(Clone, Debug, Default)]
pub(super) struct Probes {
    /// The unit that runs on each probe or is about to.
    agents: BTreeMap<MinionId, Option<SuspectUnit>>,
    waiting: BTreeMap<SuspectUnit, Waiting>,
}

impl Probes {
    /// Whether an agent is a probe.
    pub(super) fn contains(&self, agent: &MinionId) -> bool {
        self.agents.contains_key(agent)
    }

    /// Makes an agent the probe of a unit.
    pub(super) fn insert(&mut self, agent: MinionId, unit: SuspectUnit) {
        self.agents.insert(agent, Some(unit));
    }

    /// The probe where a unit runs or is about to.
    fn probe_of(&self, unit: SuspectUnit) -> Option<MinionId> {
        let mut probes = self.agents.iter();
        let probe = probes.find(|(_, current)| **current == Some(unit));
        probe.map(|(id, _)| id.clone())
    }
}

/// A step whose tasks are to be started, and its pool.
#[derive(Clone, Copy)]
struct StartRequest<'a> {
    pool: &'a PoolId,
    step: StepId,
    spec: &'a StepSpec,
}

impl Scheduler {
    /// Starts the suspected tasks that wait for hosts of a pool, as far as they may run now.
    ///
    /// A probe is free of other batch tasks, so how full the other hosts are doesn't matter.
    pub(super) fn start_on_probes(
        &mut self,
        now: Now,
        ledger: &Ledger,
        pool: &PoolId,
        starts: &mut Vec<Placement>,
    ) {
        let suspects = self.suspects.suspected();
        let steps: BTreeSet<_> = suspects.map(|(task, _)| task.step).collect();
        for step in steps {
            let ready = self.ready.get(step).filter(|ready| ready.pool == *pool);
            let Some(spec) = ready.map(|ready| ready.spec.clone()) else {
                continue;
            };
            if !spec.gang
                && !self.suspects.is_failing(step.job)
                && starts.len() < self.settings.round_starts
            {
                self.start_suspects(now, ledger, step, &spec, starts);
            }
        }
    }

    /// Starts the tasks of a step under which hosts have ended, as far as they may run now.
    pub(super) fn start_suspects(
        &mut self,
        now: Now,
        ledger: &Ledger,
        step: StepId,
        spec: &StepSpec,
        starts: &mut Vec<Placement>,
    ) {
        let Some(ready) = self.ready.get(step) else {
            return;
        };
        let pool = ready.pool.clone();
        let pool = &pool;
        let request = StartRequest { pool, step, spec };
        let tasks = ready.free.iter().map(|task| TaskId { step, task });
        let tasks = tasks.filter_map(|task| Some((self.suspects.get(task)?, task)));
        let mut tasks: Vec<_> = tasks.collect();
        // If not all of them fit on one host, those with the most evidence go first.
        tasks.sort_by_key(|(TaskEvidence { evidence, .. }, task)| {
            let Evidence {
                own, weight, hosts, ..
            } = evidence;
            (Reverse((own.hosts, *weight, *hosts)), *task)
        });
        for (entry, task) in tasks {
            if !self.cap_allows(ledger, step, spec, 1) {
                return;
            }
            let unit = self.suspects.suspect_unit(task, spec.long_running);
            let agent = match unit {
                Some(unit @ SuspectUnit::Job(_)) if self.suspects.is_suspect(task, entry) => {
                    self.probe_for(now, &request, unit, task)
                }
                // The task waits until the suspected tasks of its unit are done.
                Some(SuspectUnit::Job(_)) => None,
                Some(SuspectUnit::Task(_)) | None => self.place_apart(now, &request, task),
            };
            let Some(agent) = agent else {
                return;
            };
            let attempt = decided_attempts(ledger, task) + 1;
            let placed = Placement {
                task,
                attempt,
                agent,
            };
            self.propose(now, ledger, spec, placed, starts);
        }
    }

    /// An agent for a task that runs on no probe: away from other tasks under which hosts have
    /// ended, and where the end of the host does little harm.
    fn place_apart(&self, now: Now, request: &StartRequest<'_>, task: TaskId) -> Option<MinionId> {
        let StartRequest { pool, step, spec } = *request;
        let able = self.agents_accepting_work(now, pool, spec.reservation().millicores);
        let able = able.filter(|agent| {
            self.is_eligible(now, step, agent) && place::may_run(agent, spec, step)
        });
        let mut able = able.peekable();
        // Full pools are asked all the time, so nothing is computed for the choice unless there is
        // one.
        able.peek()?;
        let companions = self.losses.companions(task, None);
        let rank = |agent: &&Agent| {
            // A unit that ran beside the task on a host that ended is kept apart from it. Otherwise
            // the next end couldn't tell the two apart.
            let slots = agent.slots.iter();
            let again = slots.filter(|(other, slot)| {
                let unit = SuspectUnit::of(**other, slot.long_running);
                !slot.long_running && companions.contains(&unit)
            });
            let tasks = agent.slots.keys();
            let others = tasks.filter(|task| self.suspects.get(**task).is_some());
            let tainted = self.taint(now, agent) > 0;
            (
                again.count(),
                others.count(),
                tainted,
                agent.slots.len(),
                agent.record.id.clone(),
            )
        };
        able.min_by_key(rank).map(|agent| agent.record.id.clone())
    }

    /// The agent where a task of a suspected unit may run now.
    fn probe_for(
        &mut self,
        now: Now,
        request: &StartRequest<'_>,
        unit: SuspectUnit,
        task: TaskId,
    ) -> Option<MinionId> {
        let waiting = self.probes.waiting.get(&unit).copied();
        if waiting.is_some_and(|waiting| now < waiting.next_search) {
            return None;
        }
        let probe = self
            .probes
            .probe_of(unit)
            .or_else(|| self.idle_probe(now, request, unit))
            .or_else(|| self.new_probe(now, request, unit));
        if let Some(probe) = &probe {
            self.probes.insert(probe.clone(), unit);
        }
        let ready = probe.filter(|probe| self.is_ready(now, probe, request, unit));
        if ready.is_some() {
            self.probes.waiting.remove(&unit);
            return ready;
        }
        let since = waiting.map_or(now, |waiting| waiting.since);
        let next = now + SEARCH_INTERVAL;
        self.probes.waiting.insert(
            unit,
            Waiting {
                since,
                next_search: next,
            },
        );
        let entry = self.suspects.get(task);
        let last = entry.is_some_and(|entry| entry.evidence.own.must_isolate());
        let share =
            now >= since + MAX_PROBE_WAIT && !last && self.has_no_candidate(now, request, unit);
        let beside = share
            .then(|| self.place_apart(now, request, task))
            .flatten();
        if let Some(agent) = &beside {
            self.log_shared_start(now, request, unit, since, agent);
            // The next wait of the unit starts from zero.
            self.probes.waiting.remove(&unit);
        }
        beside
    }

    /// Logs that a suspect runs beside other tasks, and what keeps the pool's hosts from being its
    /// probe.
    fn log_shared_start(
        &self,
        now: Now,
        request: &StartRequest<'_>,
        unit: SuspectUnit,
        since: Now,
        beside: &MinionId,
    ) {
        let StartRequest { pool, step, spec } = *request;
        let agents = || self.agents.with_room(pool, 0);
        let able = agents()
            .filter(|agent| self.can_accept_work(now, agent))
            .count();
        let could = agents().filter(|agent| place::could_run(agent, spec, step));
        let blocked = could.filter(|agent| !self.will_be_alone(agent, unit));
        let blocked = blocked.count();
        let (agents, probes) = (agents().count(), self.count_probes(pool));
        let others = self.agents.get(beside).map_or(0, |agent| agent.slots.len());
        let waited = now.saturating_sub(since);
        log::info!(step:%, agent:% = beside, others, waited:?, agents, able, blocked, probes; "a suspected task runs beside others, as no host is free for it");
    }

    /// Whether no host of a pool will become free for a unit.
    fn has_no_candidate(&self, now: Now, request: &StartRequest<'_>, unit: SuspectUnit) -> bool {
        let mut agents = self.agents.with_room(request.pool, 0);
        !agents.any(|agent| self.could_host(now, agent, request, unit))
    }

    /// Whether a unit may start on its probe now.
    fn is_ready(
        &mut self,
        now: Now,
        probe: &MinionId,
        request: &StartRequest<'_>,
        unit: SuspectUnit,
    ) -> bool {
        let StartRequest { step, spec, .. } = *request;
        let Some(agent) = self.agents.get(probe) else {
            return false;
        };
        let free = self.can_accept_work(now, agent)
            && self.is_alone(agent, unit)
            && place::may_run(agent, spec, step);
        let recent = now <= agent.last_seen + RECENTLY_SEEN;
        if free
            && !recent
            && let Some(agent) = self.agents.get_mut(probe)
        {
            // The agent has to be heard from before the start. Otherwise, if its host has ended
            // already, that end would be attributed to the unit.
            agent.clean_report = None;
            agent.renewal_due = agent.renewal_due.min(now);
        }
        free && recent
    }

    /// Whether nothing is placed on an agent besides a unit and the tasks that don't disturb its
    /// trial.
    fn is_alone(&self, agent: &Agent, unit: SuspectUnit) -> bool {
        let mut slots = agent.slots.iter();
        slots.all(|(task, slot)| self.is_harmless(*task, slot, unit))
    }

    /// Whether no task outside a unit can have ended an agent.
    pub(super) fn was_alone(&self, agent: &Agent, unit: SuspectUnit) -> bool {
        let mut ran = agent.slots.iter().filter(|(_, slot)| slot.may_run());
        ran.all(|(task, slot)| self.is_harmless(*task, slot, unit))
    }

    /// Whether a task belongs to a unit or doesn't disturb its trial. A long-running task doesn't
    /// disturb the trial of a batch task: it is on every host of a small pool, and how long it has
    /// run there says little. It disturbs the trial of another long-running task if it is suspected
    /// itself.
    fn is_harmless(&self, task: TaskId, slot: &Slot, unit: SuspectUnit) -> bool {
        let batch = matches!(unit, SuspectUnit::Job(_));
        let harmless = slot.long_running && (batch || !self.suspects.is_task_suspected(task));
        harmless || SuspectUnit::of(task, slot.long_running) == unit
    }

    /// Takes over the probes of an earlier leader.
    pub(super) fn inherit_probes(&mut self) {
        let suspects = self.suspects.suspected();
        let units: BTreeSet<_> = suspects
            .filter(|(_, entry)| !entry.long_running)
            .map(|(task, entry)| SuspectUnit::of(task, entry.long_running))
            .collect();
        for unit in units {
            let there = |agent: &Agent| {
                let mut slots = agent.slots.iter();
                slots.any(|(task, slot)| SuspectUnit::of(*task, slot.long_running) == unit)
            };
            let probes = self.agents.iter();
            let probes = probes.filter(|(_, agent)| there(agent) && self.is_alone(agent, unit));
            let probes: Vec<_> = probes.map(|(id, _)| id.clone()).collect();
            for probe in probes {
                if let Some(agent) = self.agents.get_mut(&probe) {
                    let slots = agent.slots.values_mut();
                    slots.for_each(|slot| slot.on_probe = true);
                }
                self.probes.insert(probe, unit);
            }
        }
    }

    /// Whether a unit could run on an agent once the batch tasks there have ended.
    fn could_host(
        &self,
        now: Now,
        agent: &Agent,
        request: &StartRequest<'_>,
        unit: SuspectUnit,
    ) -> bool {
        let StartRequest { step, spec, .. } = *request;
        self.is_eligible(now, step, agent)
            && place::could_run(agent, spec, step)
            && self.will_be_alone(agent, unit)
    }

    /// Whether a unit will be alone on an agent once the batch tasks there have ended.
    fn will_be_alone(&self, agent: &Agent, unit: SuspectUnit) -> bool {
        let mut long_running = agent.slots.iter().filter(|(_, slot)| slot.long_running);
        long_running.all(|(task, slot)| self.is_harmless(*task, slot, unit))
    }

    /// A probe of a pool that no unit uses now.
    fn idle_probe(
        &self,
        now: Now,
        request: &StartRequest<'_>,
        unit: SuspectUnit,
    ) -> Option<MinionId> {
        let StartRequest { pool, step, spec } = *request;
        let probes = self.probes.agents.iter();
        let free = probes.filter(|(_, current)| current.is_none());
        let free = free.filter_map(|(id, _)| self.agents.get(id));
        let free = free.filter(|agent| {
            agent.record.pool == *pool
                && self.can_accept_work(now, agent)
                && self.could_host(now, agent, request, unit)
        });
        // Prefers the probes where the unit can start at once.
        let rank = |agent: &&Agent| {
            let ready = self.is_alone(agent, unit) && place::may_run(agent, spec, step);
            (!ready, agent.record.id.clone())
        };
        let next = free.min_by_key(rank);
        next.map(|agent| agent.record.id.clone())
    }

    /// An agent to become a probe: one whose host hasn't ended recently and that will be empty
    /// soon.
    fn new_probe(
        &self,
        now: Now,
        request: &StartRequest<'_>,
        unit: SuspectUnit,
    ) -> Option<MinionId> {
        let pool = request.pool;
        let waiting = self.probes.waiting.get(&unit);
        let patient = waiting.is_none_or(|waiting| now < waiting.since + MAX_PROBE_WAIT);
        let part = if patient {
            PROBE_DIVISORS.0
        } else {
            PROBE_DIVISORS.1
        };
        let full = self.count_probes(pool) >= self.agents.pool_size(pool).div_ceil(part);
        if full && patient {
            return None;
        }
        let able = self.agents_accepting_work(now, pool, 0);
        let able = able.filter(|agent| {
            // While units have waited too long, an agent that runs nothing can be spared.
            (!full || agent.slots.is_empty()) && self.could_host(now, agent, request, unit)
        });
        let rank = |agent: &&Agent| {
            let long_running = agent.slots.values().any(|slot| slot.long_running);
            let tasks = agent.slots.keys();
            let suspected = tasks.filter(|task| self.suspects.is_task_suspected(**task));
            let suspected = suspected.count();
            let tainted = self.taint(now, agent);
            let empties = agent.empty_at().filter(|_| !long_running);
            (
                long_running,
                suspected,
                tainted,
                empties,
                agent.slots.len(),
                agent.record.id.clone(),
            )
        };
        able.min_by_key(rank).map(|agent| agent.record.id.clone())
    }

    /// The number of probes in a pool.
    fn count_probes(&self, pool: &PoolId) -> usize {
        let probes = self.probes.agents.keys();
        let probes = probes.filter_map(|id| self.agents.get(id));
        probes.filter(|agent| agent.record.pool == *pool).count()
    }

    /// Frees the probes whose units are done, and gives up the probes that no unit needs.
    pub(super) fn release_probes(&mut self, now: Now) {
        if self.probes.agents.is_empty() && self.probes.waiting.is_empty() {
            return;
        }
        let mut probes = std::mem::take(&mut self.probes.agents);
        for (id, current) in &mut probes {
            *current = current.filter(|unit| {
                let agent = self.agents.get(id);
                agent.is_some_and(|agent| self.is_needed_by(agent, *unit))
            });
        }
        // The pools in which suspected batch tasks wait.
        let batch = self
            .suspects
            .suspected()
            .filter(|(_, entry)| !entry.long_running);
        let waiting = batch.filter_map(|(task, _)| {
            let ready = self.ready.get(task.step)?;
            let waits = ready.free.contains(task.task);
            waits.then(|| ready.pool.clone())
        });
        let waiting: BTreeSet<_> = waiting.collect();
        probes.retain(|id, current| {
            let agent = self.agents.get(id);
            // If the agent takes no new tasks, what runs there goes on, but a waiting unit would
            // never start there.
            let agent = agent.filter(|agent| {
                let busy = current.is_some() && !agent.slots.is_empty();
                self.can_accept_work(now, agent) || (busy && agent.is_healthy() && !agent.cordoned)
            });
            agent.is_some_and(|agent| current.is_some() || waiting.contains(&agent.record.pool))
        });
        self.probes.agents = probes;
        let suspects = &self.suspects;
        self.probes
            .waiting
            .retain(|unit, _| suspects.is_unit_suspected(*unit));
    }

    /// Whether a suspected unit runs on an agent, or could.
    fn is_needed_by(&self, agent: &Agent, unit: SuspectUnit) -> bool {
        let waits = |task: TaskId| {
            let ready = self.ready.get(task.step);
            ready.is_some_and(|ready| ready.free.contains(task.task))
        };
        let mut there = agent.slots.iter();
        self.suspects.is_unit_suspected(unit)
            && self.will_be_alone(agent, unit)
            && (there.any(|(task, slot)| SuspectUnit::of(*task, slot.long_running) == unit)
                || self.suspects.of_unit(unit).any(|(task, _)| waits(task)))
    }
}
