//! Agents that ended unexpectedly, and whether what ran there may be the cause.
//!
//! Most agents that end weren't ended by their tasks: their host was told to go down, a rack lost its
//! power, a data centre went. What shows such a cause is taken for it. An order of ours and an agent
//! that said it would leave show one by themselves; many ends on one rack or in one data centre at
//! once do if no job was at all of them. All other ends are evidence against what ran there
//! ([`suspicion`](crate::core::workload::suspicion)).
//!
//! What the end of a host proves against a short task that ran there alone is how unlikely it is that the
//! host ended by itself in that time. How often hosts do is learnt: from those that ended lately under
//! nothing that is still suspected, and from those of other pools just now. Where others were there, what counts is how often hosts of its pool end
//! for whatever reason: where hosts end all the time it is nothing rare to be at an end that comes soon.
//! What lasts is at all hosts of a small pool, and isn't waited for to be away: it counts by how long it has
//! been at work. A host that has ended may end again for the same unknown reason. So
//! suspects aren't put there for a while if there is another, and where a host has ended twice, its next
//! end proves nothing. Ends that turn out to be the doing of a convicted task don't count.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use super::{
    Agent, MinionId, Now, PoolId, Scheduler, Slot, TaskId, agent::LATELY, hosts::Stage,
    suspects::Suspects, unit::Unit,
};
use crate::core::{
    types::{DataCentreId, HostId, RackId, Wall},
    workload::{
        catalog::JobId,
        command::Command,
        suspicion::{Crash, CrashedTask, FailureRate, decibans},
    },
};

/// Hosts that end within this may have one cause: what ends together is noticed over two of the
/// provider's lists, which are 0.3 s apart while an agent is in doubt, and an order that has to time out
/// before them.
const TOGETHER: Duration = Duration::from_millis(1200);
/// Hosts of a rack or a data centre that end together, and leave none, for it to be the cause. Fewer
/// hosts end together by chance where several deadly tasks are about.
const LEAST: usize = 3;
/// How long the end of a host is held against it: hosts that come and go do so every second or so, and
/// in this time some ends have shown it.
const TAINTED: Duration = Duration::from_secs(8);

/// A host that has ended so often is what's wrong.
const UNSOUND: usize = 2;
/// For how long the end of a host says how often hosts end. Long enough that a fleet of ten that lost none
/// in it proves a task guilty which works for ten seconds, and short enough for a change to be seen.
const WINDOW: Duration = Duration::from_secs(60);
/// Added to the ends that were seen: of rates that explain none, half are below what half an end gives.
const UNSEEN: f64 = 0.5;

/// The end of an agent that was neither ordered nor announced.
#[derive(Clone, Debug)]
struct Loss {
    at: Now,
    agent: MinionId,
    /// Whether it is in the log what the end is held against.
    committed: bool,
    host: Option<HostId>,
    rack: Option<RackId>,
    data_centre: DataCentreId,
    pool: PoolId,
    /// What was at work there, and whether it lasts.
    tasks: Vec<(TaskId, bool)>,
    /// Whether it is known what ended it.
    explained: bool,
}

impl Loss {
    /// The jobs at work there. An end under no job at all has another cause.
    fn jobs(&self) -> BTreeSet<JobId> {
        self.tasks.iter().map(|(task, _)| task.step.job).collect()
    }

    /// Whether a task that was there may still turn out to have ended it.
    fn is_open(&self, suspects: &Suspects) -> bool {
        !self.committed || self.tasks.iter().any(|(task, _)| suspects.is_open(*task))
    }

    /// What was at work there, but for a job.
    fn units_beside(&self, job: JobId) -> BTreeSet<Unit> {
        let others = self.tasks.iter().filter(|(task, _)| task.step.job != job);
        others
            .map(|(task, lasts)| Unit::of(*task, *lasts))
            .collect()
    }

    fn has(&self, task: TaskId) -> bool {
        self.tasks.iter().any(|(other, _)| *other == task)
    }
}

/// The last ends of agents, and how long agents were at work for it.
#[derive(Clone, Debug)]
pub(super) struct Losses {
    /// The last one last.
    recent: VecDeque<Loss>,
    /// How many earlier leaders saw when this one began.
    before: u32,
    began: Now,
    /// For how long hosts were at work lately, all together, and until when that is counted.
    worked: Duration,
    watched: Now,
}

impl Losses {
    /// The last ends, given what earlier leaders saw of them.
    pub(super) fn new(now: Now, before: FailureRate) -> Self {
        Self {
            recent: VecDeque::new(),
            before: before.failures,
            began: now,
            worked: before.exposure,
            watched: now,
        }
    }

    /// How often a host has ended lately for a reason that isn't known, before an agent that is there.
    /// Ends under a task that ended others, too, are that task's doing as far as is known.
    fn count(&self, now: Now, host: &HostId, agent: &MinionId, suspects: &Suspects) -> usize {
        let ends = self.unexplained().filter(|loss| loss.agent != *agent);
        let ends = ends.filter(|loss| loss.host.as_ref() == Some(host) && now < loss.at + TAINTED);
        let known = |loss: &&Loss| {
            let mut tasks = loss.tasks.iter();
            !tasks.any(|(task, _)| suspects.has_ended_more(*task))
        };
        ends.filter(known).count()
    }

    /// Whether the host of another agent than one has just ended under a unit.
    fn has_just_ended(&self, now: Now, unit: Unit, agent: &MinionId) -> bool {
        let together = self.unexplained().filter(|loss| now < loss.at + TOGETHER);
        let others = together.filter(|loss| loss.agent != *agent);
        let mut tasks = others.flat_map(|loss| &loss.tasks);
        tasks.any(|(task, _)| match unit {
            Unit::Job(job) => task.step.job == job,
            Unit::Task(unit) => *task == unit,
        })
    }

    /// The ends of which it isn't known what caused them.
    fn unexplained(&self) -> impl Iterator<Item = &Loss> {
        self.recent.iter().filter(|loss| !loss.explained)
    }

    /// What stood beside a task when hosts ended under it lately, but for the others of its job, and for
    /// what an agent ran.
    pub(super) fn companions(&self, task: TaskId, but: Option<&MinionId>) -> BTreeSet<Unit> {
        let ends = self.unexplained().filter(|loss| loss.has(task));
        let ends = ends.filter(|loss| Some(&loss.agent) != but);
        ends.flat_map(|loss| loss.units_beside(task.step.job))
            .collect()
    }

    /// The highest rate at which hosts of a pool of so many were seen to end lately, for whatever reason,
    /// in ends a second for each host. Those that a task was at don't count.
    fn hazard(&self, now: Now, pool: &PoolId, hosts: usize, task: TaskId) -> f64 {
        let ends = self.recent.iter().rev();
        let ends = ends.filter(|loss| loss.pool == *pool && !loss.has(task));
        let rates = (1_u32..).zip(ends).map(|(count, loss)| {
            let span = now.saturating_sub(loss.at).max(TOGETHER);
            f64::from(count) / span.as_secs_f64()
        });
        rates.fold(0.0, f64::max) / hosts.max(1) as f64
    }

    /// How often hosts of other pools than one were seen to end just now, in ends a second for each of so
    /// many hosts: what ends hosts everywhere is no job of that pool.
    fn elsewhere(&self, now: Now, pool: &PoolId, hosts: usize) -> f64 {
        let together = self.unexplained().filter(|loss| now < loss.at + TOGETHER);
        let others = together.filter(|loss| loss.pool != *pool).count();
        others as f64 / TOGETHER.as_secs_f64() / hosts.max(1) as f64
    }

    /// The hosts that ended under a job did so because of it; what else ran at each of them.
    pub(super) fn explain(&mut self, job: JobId) -> Vec<BTreeSet<Unit>> {
        let ends = self.recent.iter_mut();
        let ends = ends.filter(|loss| !loss.explained && loss.jobs().contains(&job));
        let others = ends.map(|loss| {
            loss.explained = true;
            loss.units_beside(job)
        });
        others.collect()
    }

    /// It is in the log that an agent has ended.
    pub(super) fn commit(&mut self, agent: &MinionId) {
        let mut last = self.recent.iter_mut().rev();
        if let Some(loss) = last.find(|loss| loss.agent == *agent) {
            loss.committed = true;
        }
    }

    fn note(&mut self, loss: Loss) {
        let now = loss.at;
        self.recent.retain(|before| now < before.at + WINDOW);
        self.recent.push_back(loss);
    }

    /// So many hosts are at work. Idle ones aren't looked at, so that nobody would see them end.
    pub(super) fn watch(&mut self, now: Now, busy: usize) {
        let span = now.saturating_sub(self.watched);
        self.watched = now;
        let kept = self.worked.mul_f64(fading(span));
        self.worked = kept + span * u32::try_from(busy).unwrap_or(u32::MAX);
    }

    /// How often hosts were seen to end by themselves, but for those that a task was at.
    fn seen(&self, now: Now, suspects: &Suspects, task: Option<TaskId>) -> FailureRate {
        let lately = self.unexplained().filter(|loss| now < loss.at + WINDOW);
        let others = lately.filter(|loss| !task.is_some_and(|task| loss.has(task)));
        let ends = others.filter(|loss| !loss.is_open(suspects)).count();
        let before = f64::from(self.before) * fading(now.saturating_sub(self.began));
        FailureRate {
            exposure: self.worked,
            failures: u32::try_from(ends).unwrap_or(u32::MAX) + before.round() as u32,
        }
    }

    /// Whether many ended together of those that are alike, and no job was at all of them.
    fn is_common(&self, now: Now, alike: impl Fn(&Loss) -> bool) -> bool {
        let together = self.unexplained().filter(|loss| now < loss.at + TOGETHER);
        let mut alike = together.filter(|loss| alike(loss));
        let Some(first) = alike.next() else {
            return false;
        };
        // A host that ends twice is one, and an agent of an unknown host may be of one of them.
        let (mut hosts, mut jobs) = (BTreeSet::from([&first.host]), first.jobs());
        for loss in alike {
            hosts.insert(&loss.host);
            let others = loss.jobs();
            jobs.retain(|job| others.contains(job));
        }
        hosts.remove(&None);
        hosts.len() >= LEAST && jobs.is_empty()
    }
}

/// How much of what was seen so long ago still counts.
fn fading(span: Duration) -> f64 {
    (-span.as_secs_f64() / WINDOW.as_secs_f64()).exp()
}

/// What is known of why an agent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// An order of ours about its host.
    Ordered,
    /// It had said that it would leave.
    Announced,
    /// Its rack or its data centre lost all its agents together.
    Together,
    /// Nothing was at work there.
    Idle,
    /// What ran there may have ended it.
    Unknown,
}

impl Scheduler {
    /// What is committed for agents that are over.
    pub(super) fn bury(&mut self, now: Now, wall: Wall, gone: &BTreeSet<MinionId>) -> Vec<Command> {
        // All are noted before any is judged: those that end together are told of together.
        let noted: Vec<_> = gone.iter().map(|id| self.note_loss(now, id)).collect();
        let judged = gone.iter().zip(noted).map(|(id, noted)| {
            let judged = noted.and_then(|loss| {
                let together = self.is_explained(now, gone, &loss);
                let crash = (!together).then(|| self.judge_loss(now, wall, &loss));
                crash.ok_or(Cause::Together)
            });
            self.log_loss(now, id, judged.as_ref());
            judged.map_or(Command::Terminated(id.clone()), Command::Crashed)
        });
        judged.collect()
    }

    /// Logs why an agent ended, and what speaks for and against what ran there.
    fn log_loss(&self, now: Now, id: &MinionId, judged: Result<&Crash, &Cause>) {
        let Some(agent) = self.agents.get(id) else {
            return;
        };
        let cause = judged.err().copied().unwrap_or(Cause::Unknown);
        let rate = self.end_rate(now, None);
        let (taint, placed) = (self.taint(now, agent), agent.slots.len());
        let (heard, trouble) = (now.saturating_sub(agent.heard), agent.trouble.is_some());
        let host = agent.home.as_deref().unwrap_or_default();
        log::info!(agent:% = id, host, cause:?, placed, heard:?, trouble, taint, rate; "an agent has ended");
        let tasks = judged.map_or(&[][..], |crash| &crash.tasks);
        for present in tasks {
            let Some(slot) = agent.slots.get(&present.task) else {
                continue;
            };
            let (phase, age) = (slot.phase, now.saturating_sub(slot.since));
            let CrashedTask {
                task,
                weight,
                timing_weight: sudden,
                started: begun,
                run_time: worked,
            } = present;
            let inherited = slot.inherited;
            log::info!(agent:% = id, task:%, attempt = slot.attempt, phase:?, age:?, inherited, worked:?, begun, weight, sudden; "a task was there when its agent ended");
        }
    }

    /// Notes the end of an agent, unless it was to be expected, if anything was at work there that may
    /// have ended it.
    fn note_loss(&mut self, now: Now, id: &MinionId) -> Result<Loss, Cause> {
        let agent = self.agents.get(id).ok_or(Cause::Idle)?;
        if self.is_ordered(id) {
            return Err(Cause::Ordered);
        }
        if agent.record.leaving {
            return Err(Cause::Announced);
        }
        if !self.settings.protections.suspicion {
            return Err(Cause::Idle);
        }
        if agent.slots.is_empty() && !agent.was_heard() {
            // It may have ended long before this leader began, by an order of an earlier one.
            return Err(Cause::Idle);
        }
        let tried = agent.slots.values();
        let tried = tried.filter(|slot| slot.probed && !slot.lasting && slot.may_run());
        let tried = tried.map(|slot| slot.placed).max();
        // What had been at work there before another was tried isn't what ended it.
        let before =
            |slot: &Slot| slot.lasting && tried.is_some_and(|tried| slot.placed + TOGETHER < tried);
        let there = agent.slots.iter();
        let there = there.filter(|(_, slot)| slot.may_run() && !before(slot));
        let loss = Loss {
            at: now,
            agent: id.clone(),
            committed: false,
            host: agent.home.clone(),
            rack: agent.record.rack().cloned(),
            data_centre: agent.record.data_centre.clone(),
            pool: agent.record.pool.clone(),
            tasks: there.map(|(task, slot)| (*task, slot.lasting)).collect(),
            explained: false,
        };
        self.losses.note(loss.clone());
        let idle = loss.tasks.is_empty();
        (!idle).then_some(loss).ok_or(Cause::Idle)
    }

    /// What the end of an agent proves against the tasks that were at work there.
    fn judge_loss(&self, now: Now, wall: Wall, loss: &Loss) -> Crash {
        let agent = self.agents.get(&loss.agent);
        let tasks = agent.into_iter().flat_map(|agent| {
            let slots = loss.tasks.iter();
            let slots = slots.filter_map(|(task, _)| Some((*task, agent.slots.get(task)?)));
            slots.map(|(task, slot)| self.weigh(now, wall, agent, task, slot))
        });
        Crash {
            agent: loss.agent.clone(),
            tasks: tasks.collect(),
            failure_rate: self.losses.seen(now, &self.suspects, None),
        }
    }

    /// What the end of its agent proves against a task.
    fn weigh(&self, now: Now, wall: Wall, agent: &Agent, task: TaskId, slot: &Slot) -> CrashedTask {
        // It had ended when it first gave no answer.
        let end = agent.silent.unwrap_or(now);
        let after = now.saturating_sub(end);
        let worked = self.worked(now, wall, task, slot).saturating_sub(after);
        let unit = Unit::of(task, slot.lasting);
        let alone = if slot.lasting {
            self.was_only_suspect(agent, task)
        } else {
            self.was_alone(agent, unit)
        };
        // Hosts that end together prove no more than one of them, unless the unit was tried there.
        let alone =
            alone && (slot.probed || !self.losses.has_just_ended(now, unit, &agent.record.id));
        let sound = self.taint(now, agent) < UNSOUND;
        // A host that wasn't heard shortly before the start may have ended before it.
        let lived = agent.heard + LATELY >= slot.placed;
        let pool = &agent.record.pool;
        let hosts = self.agents.count(pool);
        let hazard = self.losses.hazard(now, pool, hosts, task);
        let elsewhere = self.agents.len().saturating_sub(hosts);
        let elsewhere = self.losses.elsewhere(now, pool, elsewhere);
        let by_itself = self.end_rate(now, Some(task)).max(elsewhere);
        let any = hazard.max(by_itself);
        let chance = |rate: f64| decibans(rate * worked.as_secs_f64());
        // A task that wasn't seen to begin may not have.
        let begun = slot.begun;
        let weight = match (alone && sound && lived && begun, slot.lasting) {
            (false, _) => 0,
            // What else ran there may have ended it as anything ends hosts now.
            (true, true) => chance(any),
            (true, false) => chance(by_itself + self.doubt(now, agent, unit)),
        };
        let counts = !slot.lasting && begun && sound && lived;
        let sudden = match (counts && !self.was_together(agent, task, slot), alone) {
            (false, _) => 0,
            // Whatever ends others wasn't there.
            (true, true) => weight,
            (true, false) => chance(any),
        };
        CrashedTask {
            task,
            weight,
            timing_weight: sudden,
            started: begun,
            run_time: worked,
        }
    }

    /// Whether nothing else was at work at an agent under which hosts have ended.
    fn was_only_suspect(&self, agent: &Agent, task: TaskId) -> bool {
        let mut ran = agent.slots.iter().filter(|(_, slot)| slot.may_run());
        ran.all(|(other, slot)| {
            let innocent = if slot.lasting {
                !self.suspects.has_ended_more(*other)
            } else {
                self.suspects.get(*other).is_none()
            };
            innocent || *other == task
        })
    }

    /// Whether anything at an agent that ended was beside a task at an earlier end, too, and has been at
    /// work there for about as long, if it lasts.
    fn was_together(&self, agent: &Agent, task: TaskId, slot: &Slot) -> bool {
        let companions = self.losses.companions(task, Some(&agent.record.id));
        let mut there = agent.slots.iter().filter(|(_, other)| other.may_run());
        there.any(|(id, other)| {
            let fresh = !other.lasting || other.placed + TOGETHER >= slot.placed;
            fresh && companions.contains(&Unit::of(*id, other.lasting))
        })
    }

    /// How often what lasts at an agent, and is suspected, may end it, in ends a second: once in the time that
    /// it has been at work there, or was when hosts ended under it.
    fn doubt(&self, now: Now, agent: &Agent, unit: Unit) -> f64 {
        let others = agent.slots.iter().filter(|(_, slot)| slot.lasting);
        let others = others.filter(|(task, slot)| Unit::of(**task, slot.lasting) != unit);
        let others = others.filter(|(task, _)| self.suspects.has_ended_more(**task));
        let rates = others.filter_map(|(task, slot)| {
            let longest = self.suspects.get(*task)?.evidence.longest_run;
            let worked = longest.max(now.saturating_sub(slot.placed));
            Some(1.0 / worked.as_secs_f64().max(f64::EPSILON))
        });
        rates.sum()
    }

    /// For how long a task may have been at work where it is.
    fn worked(&self, now: Now, wall: Wall, task: TaskId, slot: &Slot) -> Duration {
        let known = now.saturating_sub(slot.placed);
        if !slot.inherited {
            return known;
        }
        // An earlier leader placed it, by its own wall clock, which may differ from ours.
        let since = slot.began.map(|began| wall.saturating_sub(began));
        let accepted = self.accepted_at.get(&task.step.job);
        let age = accepted.map(|accepted| now.saturating_sub(*accepted));
        since.or(age).map_or(known, |since| since.max(known))
    }

    /// How often a host ends by itself, in ends a second, by those that a task wasn't at.
    fn end_rate(&self, now: Now, task: Option<TaskId>) -> f64 {
        let seen = self.losses.seen(now, &self.suspects, task);
        (f64::from(seen.failures) + UNSEEN) / seen.exposure.as_secs_f64().max(f64::EPSILON)
    }

    /// How often an agent's host has ended lately for a reason that isn't known. An agent whose host
    /// isn't known may be of one that has just come back.
    pub(super) fn taint(&self, now: Now, agent: &Agent) -> usize {
        let home = agent.home.as_ref();
        let count = |host| {
            let id = &agent.record.id;
            self.losses.count(now, host, id, &self.suspects)
        };
        home.map_or(1, count)
    }

    /// Whether the rack or the data centre of an agent that ended has lost all of its agents together.
    fn is_explained(&self, now: Now, gone: &BTreeSet<MinionId>, loss: &Loss) -> bool {
        let (mut rack, mut centre) = (loss.rack.is_some(), true);
        let left = self.agents.iter().filter(|(id, _)| !gone.contains(*id));
        for (_, agent) in left {
            rack &= agent.record.rack() != loss.rack.as_ref();
            centre &= agent.record.data_centre != loss.data_centre;
        }
        let losses = &self.losses;
        (rack && losses.is_common(now, |l| l.rack == loss.rack))
            || (centre && losses.is_common(now, |l| l.data_centre == loss.data_centre))
    }

    /// Whether an order about its host may have ended an agent.
    fn is_ordered(&self, id: &MinionId) -> bool {
        self.hosts.operations.values().any(|duty| {
            let ordered = matches!(
                duty.stage,
                Stage::Recorded | Stage::Ordered(_) | Stage::Away
            );
            ordered && duty.agent.as_ref() == Some(id)
        })
    }
}
