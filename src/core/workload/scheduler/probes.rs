//! Where tasks run next under which hosts have ended.
//!
//! One under which a single host has ended runs at once, but apart from others like it and where little
//! else does: if one of those that were there ended the host, only that one ends another.
//!
//! A short suspect runs on a *probe*: an agent where nothing else does but what lasts, from its start to
//! its end, so that hardly anything but the suspect can be what ends it. Nothing new is started there while
//! it empties, nor beside the suspect. What else of the suspect's unit could start waits until it is done.
//!
//! What lasts and is suspected runs apart from other suspects, and on no probe: it would hold one for as
//! long as it is suspected, and in a small pool all hosts. For the same reason it keeps no host from being
//! a probe.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Agent, Ledger, MAX_ROUND_STARTS, MinionId, Now, Placement, PoolId, Scheduler, Slot, StepId,
    StepSpec, TaskId, agent::LATELY, place, starts::decided_attempts, suspects::Held, unit::Unit,
};
use crate::core::workload::suspicion::Evidence;

/// Of a pool's hosts, one in so many is a probe at most, as long as no unit has waited for too long, and
/// then.
const PROBES: (usize, usize) = (4, 2);
/// From one look for a probe to the next. Each is at up to all agents of a pool.
const LOOK: Duration = Duration::from_millis(20);
/// How long a unit waits for a probe before there may be more of them, or before it runs beside others if no
/// host will be free for it. Callers count on a task that could be started not waiting for three seconds.
const PATIENCE: Duration = Duration::from_millis(2000);

/// A unit that waits for a probe.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Now,
    /// When one is looked for again.
    next: Now,
}

/// The agents that are probes.
#[derive(Clone, Debug, Default)]
pub(super) struct Probes {
    /// Which unit runs there, or is to.
    agents: BTreeMap<MinionId, Option<Unit>>,
    waiting: BTreeMap<Unit, Waiting>,
}

impl Probes {
    /// Whether an agent is a probe.
    pub(super) fn contains(&self, agent: &MinionId) -> bool {
        self.agents.contains_key(agent)
    }

    /// Has a unit run on an agent, which is a probe from now on.
    pub(super) fn insert(&mut self, agent: MinionId, unit: Unit) {
        self.agents.insert(agent, Some(unit));
    }

    /// The probe where a unit runs, or is to.
    fn of(&self, unit: Unit) -> Option<MinionId> {
        let mut probes = self.agents.iter();
        let probe = probes.find(|(_, current)| **current == Some(unit));
        probe.map(|(id, _)| id.clone())
    }
}

/// A task of a step that is to be started.
#[derive(Clone, Copy)]
struct Sought<'a> {
    pool: &'a PoolId,
    step: StepId,
    spec: &'a StepSpec,
}

impl Scheduler {
    /// Starts the suspected tasks that wait for hosts of a pool, where they may run now.
    ///
    /// Their hosts are free of all else, so that it doesn't count how full the others are.
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
            if !spec.gang && !self.suspects.is_failing(step.job) && starts.len() < MAX_ROUND_STARTS
            {
                self.start_suspects(now, ledger, step, &spec, starts);
            }
        }
    }

    /// Starts the tasks of a step under which hosts have ended, where they may run now.
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
        let sought = Sought { pool, step, spec };
        let tasks = ready.free.iter().map(|task| TaskId { step, task: *task });
        let tasks = tasks.filter_map(|task| Some((self.suspects.get(task)?, task)));
        let mut tasks: Vec<_> = tasks.collect();
        // Where not all fit one host, those go first that are the nearest to a verdict.
        tasks.sort_by_key(|(Held { evidence, .. }, task)| {
            let Evidence {
                own, weight, hosts, ..
            } = evidence;
            (Reverse((own.hosts, *weight, *hosts)), *task)
        });
        for (held, task) in tasks {
            if !self.cap_allows(ledger, step, spec, 1) {
                return;
            }
            let unit = self.suspects.unit(task, spec.long_running);
            let agent = match unit {
                Some(unit @ Unit::Job(_)) if self.suspects.is_suspect(task, held) => {
                    self.probe_for(now, &sought, unit, task)
                }
                // It waits until the others of its unit are done.
                Some(Unit::Job(_)) => None,
                Some(Unit::Task(_)) | None => self.apart(now, &sought, task),
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

    /// An agent for a task under which one host has ended: away from others like it, and where an end
    /// does little harm.
    fn apart(&self, now: Now, sought: &Sought<'_>, task: TaskId) -> Option<MinionId> {
        let Sought { pool, step, spec } = *sought;
        let able = self.agents_accepting_work(now, pool, spec.reservation().millicores);
        let able = able.filter(|agent| {
            self.is_eligible(now, step, agent) && place::may_run(agent, spec, step)
        });
        let mut able = able.peekable();
        // What is looked up for the choice isn't where there is none: full pools are asked all the time.
        able.peek()?;
        let companions = self.losses.companions(task, None);
        let rank = |agent: &&Agent| {
            // What stood beside it when a host ended stays away from it, or the next end tells nothing.
            let slots = agent.slots.iter();
            let again = slots.filter(|(other, slot)| {
                let unit = Unit::of(**other, slot.lasting);
                !slot.lasting && companions.contains(&unit)
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
        sought: &Sought<'_>,
        unit: Unit,
        task: TaskId,
    ) -> Option<MinionId> {
        let waiting = self.probes.waiting.get(&unit).copied();
        if waiting.is_some_and(|waiting| now < waiting.next) {
            return None;
        }
        let probe = self
            .probes
            .of(unit)
            .or_else(|| self.free_probe(now, sought, unit))
            .or_else(|| self.new_probe(now, sought, unit));
        if let Some(probe) = &probe {
            self.probes.insert(probe.clone(), unit);
        }
        let ready = probe.filter(|probe| self.is_ready(now, probe, sought, unit));
        if ready.is_some() {
            self.probes.waiting.remove(&unit);
            return ready;
        }
        let since = waiting.map_or(now, |waiting| waiting.since);
        let next = now + LOOK;
        self.probes.waiting.insert(unit, Waiting { since, next });
        let held = self.suspects.get(task);
        let last = held.is_some_and(|held| held.evidence.own.must_isolate());
        let share = now >= since + PATIENCE && !last && self.is_hopeless(now, sought, unit);
        let beside = share.then(|| self.apart(now, sought, task)).flatten();
        if let Some(agent) = &beside {
            self.log_beside(now, sought, unit, since, agent);
            // The next wait is one of its own.
            self.probes.waiting.remove(&unit);
        }
        beside
    }

    /// Logs that a suspect isn't kept apart, and what its pool's hosts run instead.
    fn log_beside(&self, now: Now, sought: &Sought<'_>, unit: Unit, since: Now, beside: &MinionId) {
        let Sought { pool, step, spec } = *sought;
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
        log::info!(step:%, agent:% = beside, others, waited:?, agents, able, blocked, probes; "a suspect runs beside others, as no host was free for it");
    }

    /// Whether no host of a pool will be free for a unit.
    fn is_hopeless(&self, now: Now, sought: &Sought<'_>, unit: Unit) -> bool {
        let mut agents = self.agents.with_room(sought.pool, 0);
        !agents.any(|agent| self.could_begin(now, agent, sought, unit))
    }

    /// Whether a unit may start on its probe now.
    fn is_ready(&mut self, now: Now, probe: &MinionId, sought: &Sought<'_>, unit: Unit) -> bool {
        let Sought { step, spec, .. } = *sought;
        let Some(agent) = self.agents.get(probe) else {
            return false;
        };
        let free = self.can_accept_work(now, agent)
            && self.is_alone(agent, unit)
            && place::may_run(agent, spec, step);
        let lives = now <= agent.heard + LATELY;
        if free
            && !lives
            && let Some(agent) = self.agents.get_mut(probe)
        {
            // Whether it still lives has to be known before, or its end would be put down to the unit.
            agent.looked = None;
            agent.next = agent.next.min(now);
        }
        free && lives
    }

    /// Whether nothing is placed at an agent besides a unit but what lasts and isn't suspected.
    fn is_alone(&self, agent: &Agent, unit: Unit) -> bool {
        let mut slots = agent.slots.iter();
        slots.all(|(task, slot)| self.is_apart(*task, slot, unit))
    }

    /// Whether nothing besides a unit may be what ended an agent.
    pub(super) fn was_alone(&self, agent: &Agent, unit: Unit) -> bool {
        let mut ran = agent.slots.iter().filter(|(_, slot)| slot.may_run());
        ran.all(|(task, slot)| self.is_apart(*task, slot, unit))
    }

    /// Whether a task is of a unit, or keeps none from being tried: what lasts doesn't keep what is short,
    /// as it is at every host of a small pool, and tells little by the time that it has been at work.
    fn is_apart(&self, task: TaskId, slot: &Slot, unit: Unit) -> bool {
        let short = matches!(unit, Unit::Job(_));
        let harmless = slot.lasting && (short || !self.suspects.has_ended_more(task));
        harmless || Unit::of(task, slot.lasting) == unit
    }

    /// Takes the probes over from an earlier leader.
    pub(super) fn inherit_probes(&mut self) {
        let suspects = self.suspects.suspected();
        let units: BTreeSet<_> = suspects
            .filter(|(_, held)| !held.lasting)
            .map(|(task, held)| Unit::of(task, held.lasting))
            .collect();
        for unit in units {
            let there = |agent: &Agent| {
                let mut slots = agent.slots.iter();
                slots.any(|(task, slot)| Unit::of(*task, slot.lasting) == unit)
            };
            let probes = self.agents.iter();
            let probes = probes.filter(|(_, agent)| there(agent) && self.is_alone(agent, unit));
            let probes: Vec<_> = probes.map(|(id, _)| id.clone()).collect();
            for probe in probes {
                if let Some(agent) = self.agents.get_mut(&probe) {
                    let slots = agent.slots.values_mut();
                    slots.for_each(|slot| slot.probed = true);
                }
                self.probes.insert(probe, unit);
            }
        }
    }

    /// Whether a unit could run on an agent once what is short there has ended.
    fn could_begin(&self, now: Now, agent: &Agent, sought: &Sought<'_>, unit: Unit) -> bool {
        let Sought { step, spec, .. } = *sought;
        self.is_eligible(now, step, agent)
            && place::could_run(agent, spec, step)
            && self.will_be_alone(agent, unit)
    }

    /// Whether a unit is alone at an agent once what is short there has ended.
    fn will_be_alone(&self, agent: &Agent, unit: Unit) -> bool {
        let mut lasting = agent.slots.iter().filter(|(_, slot)| slot.lasting);
        lasting.all(|(task, slot)| self.is_apart(*task, slot, unit))
    }

    /// A probe of a pool where nothing runs now.
    fn free_probe(&self, now: Now, sought: &Sought<'_>, unit: Unit) -> Option<MinionId> {
        let Sought { pool, step, spec } = *sought;
        let probes = self.probes.agents.iter();
        let free = probes.filter(|(_, current)| current.is_none());
        let free = free.filter_map(|(id, _)| self.agents.get(id));
        let free = free.filter(|agent| {
            agent.record.pool == *pool
                && self.can_accept_work(now, agent)
                && self.could_begin(now, agent, sought, unit)
        });
        // Whose turn it is next.
        let rank = |agent: &&Agent| {
            let ready = self.is_alone(agent, unit) && place::may_run(agent, spec, step);
            (!ready, agent.record.id.clone())
        };
        let next = free.min_by_key(rank);
        next.map(|agent| agent.record.id.clone())
    }

    /// An agent that becomes a probe: a sound one that is empty soon.
    fn new_probe(&self, now: Now, sought: &Sought<'_>, unit: Unit) -> Option<MinionId> {
        let pool = sought.pool;
        let waiting = self.probes.waiting.get(&unit);
        let patient = waiting.is_none_or(|waiting| now < waiting.since + PATIENCE);
        let part = if patient { PROBES.0 } else { PROBES.1 };
        let full = self.count_probes(pool) >= self.agents.count(pool).div_ceil(part);
        if full && patient {
            return None;
        }
        let able = self.agents_accepting_work(now, pool, 0);
        let able = able.filter(|agent| {
            // Whoever runs nothing though units wait for long is of no use to others now.
            (!full || agent.slots.is_empty()) && self.could_begin(now, agent, sought, unit)
        });
        let rank = |agent: &&Agent| {
            let lasts = agent.slots.values().any(|slot| slot.lasting);
            let tasks = agent.slots.keys();
            let doubtful = tasks.filter(|task| self.suspects.has_ended_more(**task));
            let doubtful = doubtful.count();
            let tainted = self.taint(now, agent);
            let empties = agent.empties().filter(|_| !lasts);
            (
                lasts,
                doubtful,
                tainted,
                empties,
                agent.slots.len(),
                agent.record.id.clone(),
            )
        };
        able.min_by_key(rank).map(|agent| agent.record.id.clone())
    }

    /// Probes of a pool.
    fn count_probes(&self, pool: &PoolId) -> usize {
        let probes = self.probes.agents.keys();
        let probes = probes.filter_map(|id| self.agents.get(id));
        probes.filter(|agent| agent.record.pool == *pool).count()
    }

    /// Frees the probes whose units are done, and lets those go that no unit needs.
    pub(super) fn review_probes(&mut self, now: Now) {
        if self.probes.agents.is_empty() && self.probes.waiting.is_empty() {
            return;
        }
        let mut probes = std::mem::take(&mut self.probes.agents);
        for (id, current) in &mut probes {
            *current = current.filter(|unit| {
                let agent = self.agents.get(id);
                agent.is_some_and(|agent| self.is_of_use(agent, *unit))
            });
        }
        // Units wait in these pools.
        let short = self.suspects.suspected().filter(|(_, held)| !held.lasting);
        let waiting = short.filter_map(|(task, _)| {
            let ready = self.ready.get(task.step)?;
            let waits = ready.free.contains(&task.task);
            waits.then(|| ready.pool.clone())
        });
        let waiting: BTreeSet<_> = waiting.collect();
        probes.retain(|id, current| {
            let agent = self.agents.get(id);
            // What runs there goes on, but nothing that waits for it would ever start there.
            let agent = agent.filter(|agent| {
                let busy = current.is_some() && !agent.slots.is_empty();
                self.can_accept_work(now, agent) || (busy && agent.is_well() && !agent.cordoned)
            });
            agent.is_some_and(|agent| current.is_some() || waiting.contains(&agent.record.pool))
        });
        self.probes.agents = probes;
        let suspects = &self.suspects;
        self.probes
            .waiting
            .retain(|unit, _| suspects.is_suspected(*unit));
    }

    /// Whether a suspected unit runs on an agent, or could.
    fn is_of_use(&self, agent: &Agent, unit: Unit) -> bool {
        let waits = |task: TaskId| {
            let ready = self.ready.get(task.step);
            ready.is_some_and(|ready| ready.free.contains(&task.task))
        };
        let mut there = agent.slots.iter();
        self.suspects.is_suspected(unit)
            && self.will_be_alone(agent, unit)
            && (there.any(|(task, slot)| Unit::of(*task, slot.lasting) == unit)
                || self.suspects.of(unit).any(|(task, _)| waits(task)))
    }
}
