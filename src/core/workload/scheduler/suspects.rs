//! Tasks under which hosts have ended: where they run next, and which of them are convicted.
//!
//! What is short is suspected with its job, since the tasks of a job are alike and it fails as a whole.
//! What lasts is suspected by itself, since the tasks of a lasting job are at work on many hosts for
//! long, and some of these end by themselves. Each such [`Unit`] begins on a *probe*: an agent where
//! nothing else begins until it has passed. Then it is the next one's turn, beside what has passed there
//! before, so that a probe is hardly less full than other agents and tries four units a second. What
//! else of a unit could start waits until it has passed.
//!
//! A unit that is suspected though it had been at work for a while whenever a host ended needs a probe
//! that runs nothing else at all, until it is done.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Agent, JobId, Ledger, MinionId, Now, Phase, Placed, PoolId, Scheduler, Slot, StepId, StepSpec,
    TaskId, losses::LATELY, place, starts::attempts,
};
use crate::core::workload::{job::Job, suspicion::Evidence};

/// A lasting task that has been at work for so long isn't what ended its former hosts: a hundred times
/// what a task takes to end its host as it begins.
const PROBATION: Duration = Duration::from_secs(5);
/// Of a pool's hosts, one in so many is a probe at most, as long as no unit has waited for too long, and
/// then.
const PROBES: (usize, usize) = (4, 2);
/// From one look for a probe to the next. Each is at up to all agents of a pool, and a unit begins on a
/// probe a quarter of a second after another.
const LOOK: Duration = Duration::from_millis(20);
/// How long a unit waits for a probe before there may be more of them, or before one that needs a host to
/// itself begins beside others. Callers count on a task that could be started not waiting for three seconds.
const PATIENCE: Duration = Duration::from_millis(2000);

/// What is suspected as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Unit {
    /// The short tasks of a job.
    Job(JobId),
    /// A lasting task.
    Task(TaskId),
}

impl Unit {
    pub(super) fn of(task: TaskId, lasting: bool) -> Self {
        if lasting {
            Self::Task(task)
        } else {
            Self::Job(task.step.job)
        }
    }
}

/// A task under which hosts have ended.
#[derive(Clone, Copy, Debug)]
struct Held {
    evidence: Evidence,
    lasting: bool,
}

/// A unit that waits for a probe.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Now,
    /// When one is looked for again.
    next: Now,
}

/// The tasks under which hosts have ended, and the agents that are probes.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    jobs: BTreeMap<JobId, BTreeMap<TaskId, Held>>,
    /// The probes, and which unit begins there.
    probes: BTreeMap<MinionId, Option<Unit>>,
    waiting: BTreeMap<Unit, Waiting>,
    /// Tasks whose jobs fail with the next round.
    convicted: Vec<TaskId>,
    /// Their jobs, until they are over.
    failing: BTreeSet<JobId>,
}

impl Suspects {
    /// Whether an agent is a probe.
    pub(super) fn is_probe(&self, agent: &MinionId) -> bool {
        self.probes.contains_key(agent)
    }

    /// Has a unit begin on an agent, which is a probe from now on.
    pub(super) fn probe(&mut self, agent: MinionId, unit: Unit) {
        self.waiting.remove(&unit);
        self.probes.insert(agent, Some(unit));
    }

    /// Nothing is held against a task any more.
    pub(super) fn clear(&mut self, task: TaskId) {
        let job = task.step.job;
        if let Some(tasks) = self.jobs.get_mut(&job) {
            tasks.remove(&task);
            if tasks.is_empty() {
                self.jobs.remove(&job);
            }
        }
    }

    /// A job is over.
    pub(super) fn forget(&mut self, job: JobId) {
        self.jobs.remove(&job);
        self.failing.remove(&job);
    }

    /// Whether hosts have ended under any task of a job.
    pub(super) fn has(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Whether a job is about to fail, so that nothing more of it may start.
    pub(super) fn is_failing(&self, job: JobId) -> bool {
        self.failing.contains(&job)
    }

    /// The tasks whose jobs are to fail now.
    pub(super) fn take_convicted(&mut self) -> Vec<TaskId> {
        std::mem::take(&mut self.convicted)
    }

    /// The unit that a task has to begin with, if it is suspected.
    pub(super) fn unit(&self, task: TaskId, lasting: bool) -> Option<Unit> {
        let unit = Unit::of(task, lasting);
        self.is_suspected(unit).then_some(unit)
    }

    fn is_suspected(&self, unit: Unit) -> bool {
        self.of(unit).any(|(_, held)| held.evidence.is_suspect())
    }

    /// Whether a unit was at work for a while whenever a host ended under it.
    fn is_slow(&self, unit: Unit) -> bool {
        self.of(unit).all(|(_, held)| !held.evidence.begun)
    }

    /// What is held against the tasks of a unit.
    fn of(&self, unit: Unit) -> impl Iterator<Item = (TaskId, Held)> {
        let (Unit::Job(job)
        | Unit::Task(TaskId {
            step: StepId { job, .. },
            ..
        })) = unit;
        let tasks = self.jobs.get(&job).into_iter().flatten();
        let tasks = tasks.map(|(task, held)| (*task, *held));
        tasks.filter(move |(task, held)| Unit::of(*task, held.lasting) == unit)
    }

    fn get(&self, task: TaskId) -> Option<Held> {
        self.jobs.get(&task.step.job)?.get(&task).copied()
    }

    fn all(&self) -> impl Iterator<Item = (TaskId, Held)> {
        let tasks = self.jobs.values().flatten();
        tasks.map(|(task, held)| (*task, *held))
    }
}

/// Suspected tasks that have shown something by running on.
#[derive(Clone, Debug, Default)]
pub(super) struct Shown {
    /// They have begun.
    pub(super) passed: Vec<TaskId>,
    /// They have been at work for long.
    pub(super) cleared: Vec<TaskId>,
}

impl Scheduler {
    /// How many tasks are suspected to end the hosts that run them.
    pub fn suspected(&self) -> usize {
        let suspected = self.suspects.all();
        suspected
            .filter(|(_, held)| held.evidence.is_suspect())
            .count()
    }

    /// The log holds this against a task of a job.
    pub(super) fn suspect(&mut self, job: &Job, task: TaskId, evidence: Evidence) {
        let spec = job.spec.steps.get(usize::from(task.step.step));
        let lasting = spec.is_some_and(|spec| spec.lasting);
        let Evidence {
            hosts,
            proof,
            begun,
            ..
        } = evidence;
        log::info!(task:%, hosts, proof, begun; "a host has ended under a task");
        let tasks = self.suspects.jobs.entry(task.step.job).or_default();
        tasks.insert(task, Held { evidence, lasting });
        if evidence.is_conclusive() && self.suspects.failing.insert(task.step.job) {
            self.suspects.convicted.push(task);
            // The hosts that it ended were sound.
            self.losses.explain(task.step.job);
        }
    }

    /// Starts the suspected tasks of a step, where they may begin now.
    pub(super) fn start_suspects(
        &mut self,
        now: Now,
        ledger: &Ledger,
        step: StepId,
        spec: &StepSpec,
        starts: &mut Vec<Placed>,
    ) {
        let Some(ready) = self.ready.get(step) else {
            return;
        };
        let pool = ready.pool.clone();
        let tasks = ready.free.iter().map(|task| TaskId { step, task: *task });
        let tasks = tasks.filter_map(|task| Some((self.suspects.get(task)?.evidence, task)));
        let mut tasks: Vec<_> = tasks.collect();
        // Where not all fit one host, those go first that are the nearest to a verdict.
        tasks.sort_by_key(|(evidence, task)| (Reverse((evidence.proof, evidence.hosts)), *task));
        for (_, task) in tasks {
            let Some(unit) = self.suspects.unit(task, spec.lasting) else {
                continue;
            };
            let Some(agent) = self.probe_for(now, &pool, unit, spec, step) else {
                return;
            };
            let attempt = attempts(ledger, task) + 1;
            let placed = Placed {
                task,
                attempt,
                agent,
            };
            self.propose(now, spec, placed, starts);
        }
    }

    /// The agent where a task of a suspected unit may begin now.
    fn probe_for(
        &mut self,
        now: Now,
        pool: &PoolId,
        unit: Unit,
        spec: &StepSpec,
        step: StepId,
    ) -> Option<MinionId> {
        let waiting = self.suspects.waiting.get(&unit).copied();
        if waiting.is_some_and(|waiting| now < waiting.next) {
            return None;
        }
        let probes = self.suspects.probes.iter();
        let current = probes.filter(|(_, current)| **current == Some(unit));
        let current = current.map(|(id, _)| id.clone()).next();
        let probe = current
            .or_else(|| self.free_probe(now, pool, unit, spec, step))
            .or_else(|| self.new_probe(now, pool, unit, spec, step));
        let Some(probe) = probe else {
            let since = waiting.map_or(now, |waiting| waiting.since);
            let next = now + LOOK;
            self.suspects.waiting.insert(unit, Waiting { since, next });
            // A host without what lasts may not be had; where nothing else begins always is.
            let share = self.suspects.is_slow(unit) && now >= since + PATIENCE;
            return share.then(|| self.shared(now, pool, spec, step))?;
        };
        self.suspects.probe(probe.clone(), unit);
        let agent = self.agents.get(&probe)?;
        let able = self.is_able(now, agent)
            && self.is_settled(agent, unit)
            && place::may_run(agent, spec, step);
        if !able {
            return None;
        }
        if now > agent.heard + LATELY {
            // Whether it still lives has to be known before, or its end would be put down to the unit.
            if let Some(agent) = self.agents.get_mut(&probe) {
                agent.looked = None;
                agent.next = agent.next.min(now);
            }
            return None;
        }
        Some(probe)
    }

    /// Whether all that an agent runs besides a unit can't be taken for what ends it as the unit begins.
    fn is_settled(&self, agent: &Agent, unit: Unit) -> bool {
        let others = agent.slots.iter();
        let mut others = others.filter(|(task, slot)| Unit::of(**task, slot.lasting) != unit);
        if self.suspects.is_slow(unit) {
            return others.next().is_none();
        }
        others.all(|(_, slot)| slot.is_under_way(agent) || slot.phase == Phase::Ended)
    }

    /// Whether a unit could begin on an agent once what is short there has ended.
    fn could_begin(
        &self,
        now: Now,
        agent: &Agent,
        unit: Unit,
        spec: &StepSpec,
        step: StepId,
    ) -> bool {
        let empties = agent.slots.is_empty() || agent.empties().is_some();
        self.is_eligible(now, step, agent)
            && place::could_run(agent, spec, step)
            && (empties || !self.suspects.is_slow(unit))
    }

    /// A probe of a pool where nothing begins now.
    fn free_probe(
        &self,
        now: Now,
        pool: &PoolId,
        unit: Unit,
        spec: &StepSpec,
        step: StepId,
    ) -> Option<MinionId> {
        let probes = self.suspects.probes.iter();
        let free = probes.filter(|(_, current)| current.is_none());
        let free = free.filter_map(|(id, _)| self.agents.get(id));
        let free = free.filter(|agent| {
            agent.record.pool == *pool
                && self.is_able(now, agent)
                && self.could_begin(now, agent, unit, spec, step)
        });
        // Whose turn it is next.
        let rank = |agent: &&Agent| {
            let ready = self.is_settled(agent, unit) && place::may_run(agent, spec, step);
            (!ready, agent.record.id.clone())
        };
        let next = free.min_by_key(rank);
        next.map(|agent| agent.record.id.clone())
    }

    /// An agent that becomes a probe: a sound one that runs little.
    fn new_probe(
        &self,
        now: Now,
        pool: &PoolId,
        unit: Unit,
        spec: &StepSpec,
        step: StepId,
    ) -> Option<MinionId> {
        let waiting = self.suspects.waiting.get(&unit);
        let patient = waiting.is_none_or(|waiting| now < waiting.since + PATIENCE);
        let part = if patient { PROBES.0 } else { PROBES.1 };
        if self.probes(pool) >= self.agents.count(pool).div_ceil(part) {
            return None;
        }
        let able = self.able(now, pool, 0);
        let able = able.filter(|agent| self.could_begin(now, agent, unit, spec, step));
        // Where nothing new begins, room comes by itself, the sooner the more there is.
        let rank = |agent: &&Agent| {
            let full = !place::may_run(agent, spec, step);
            let tainted = self.taint(now, agent);
            (full, tainted, agent.slots.len(), agent.record.id.clone())
        };
        able.min_by_key(rank).map(|agent| agent.record.id.clone())
    }

    /// An agent where a unit begins that has waited for a probe for too long: where it does the least
    /// harm.
    fn shared(&self, now: Now, pool: &PoolId, spec: &StepSpec, step: StepId) -> Option<MinionId> {
        let agents = self.agents.with_room(pool, spec.room().millicores);
        let able = agents.filter(|agent| {
            let probe = self.suspects.probes.get(&agent.record.id);
            self.is_able(now, agent)
                && probe.is_none_or(Option::is_none)
                && self.is_eligible(now, step, agent)
                && place::may_run(agent, spec, step)
        });
        let least = able.min_by_key(|agent| (agent.slots.len(), &agent.record.id));
        least.map(|agent| agent.record.id.clone())
    }

    /// Probes of a pool.
    fn probes(&self, pool: &PoolId) -> usize {
        let probes = self.suspects.probes.keys();
        let probes = probes.filter_map(|id| self.agents.get(id));
        probes.filter(|agent| agent.record.pool == *pool).count()
    }

    /// Notes what suspected tasks have shown, and lets go of probes that are of no use any more.
    pub(super) fn review_suspects(&mut self, now: Now, ledger: &Ledger) -> Shown {
        let mut shown = Shown::default();
        if self.suspects.jobs.is_empty() && self.suspects.probes.is_empty() {
            return shown;
        }
        for (task, held) in self.suspects.all() {
            let Some((agent, slot)) = self.placed_slot(ledger, task) else {
                continue;
            };
            if held.lasting && slot.phase == Phase::Running && now >= slot.since + PROBATION {
                shown.cleared.push(task);
            } else if held.evidence.begun && slot.is_under_way(agent) {
                shown.passed.push(task);
            }
        }
        for task in &shown.cleared {
            self.suspects.clear(*task);
        }
        for task in &shown.passed {
            let tasks = self.suspects.jobs.get_mut(&task.step.job);
            if let Some(held) = tasks.and_then(|tasks| tasks.get_mut(task)) {
                held.evidence.pass();
            }
        }
        self.review_probes();
        shown
    }

    /// Frees the probes whose units have passed, and lets those go that no unit needs.
    fn review_probes(&mut self) {
        let mut probes = std::mem::take(&mut self.suspects.probes);
        for (id, current) in &mut probes {
            *current = current.filter(|unit| {
                let agent = self.agents.get(id);
                agent.is_some_and(|agent| self.is_of_use(agent, *unit))
            });
        }
        // Units wait in these pools.
        let waiting = self.suspects.all().filter_map(|(task, held)| {
            let ready = self.ready.get(task.step)?;
            let waits = held.evidence.is_suspect() && ready.free.contains(&task.task);
            waits.then(|| ready.pool.clone())
        });
        let waiting: BTreeSet<_> = waiting.collect();
        probes.retain(|id, current| {
            let agent = self.agents.get(id);
            let agent = agent.filter(|agent| agent.is_well() && !agent.cordoned);
            agent.is_some_and(|agent| current.is_some() || waiting.contains(&agent.record.pool))
        });
        self.suspects.probes = probes;
        let mut waiting = std::mem::take(&mut self.suspects.waiting);
        waiting.retain(|unit, _| self.suspects.is_suspected(*unit));
        self.suspects.waiting = waiting;
    }

    /// Whether a suspected unit begins on an agent, or could.
    fn is_of_use(&self, agent: &Agent, unit: Unit) -> bool {
        let waits = |task: TaskId| {
            let ready = self.ready.get(task.step);
            ready.is_some_and(|ready| ready.free.contains(&task.task))
        };
        let mut there = agent.slots.iter();
        self.suspects.is_suspected(unit)
            && (there.any(|(task, slot)| Unit::of(*task, slot.lasting) == unit)
                || self.suspects.of(unit).any(|(task, _)| waits(task)))
    }

    /// Where a task is placed, and what is known of it there.
    fn placed_slot(&self, ledger: &Ledger, task: TaskId) -> Option<(&Agent, &Slot)> {
        let job = ledger.job(task.step.job)?;
        let agent = job.task(task)?.agent.as_ref()?;
        let agent = self.agents.get(agent)?;
        Some((agent, agent.slots.get(&task)?))
    }
}
