//! Agents that end unexpectedly, and how strongly each end speaks against the tasks that ran there.
//!
//! Most agents aren't ended by their tasks: their host was told to go down, a rack lost its power,
//! or a data centre failed. Where there are signs of such a cause, the scheduler assumes it. An
//! order of the scheduler about the host, or the agent's own announcement that it leaves, is enough
//! by itself. Many ends at once in one rack or data centre are enough if no job ran on all of those
//! hosts. Every other end is evidence against the tasks that ran on the host
//! ([`suspicion`](crate::core::workload::suspicion)).
//!
//! If a batch task ran alone on a host that ended, the weight of the evidence is how unlikely it is
//! that the host ended by itself in that time. The rate at which hosts end by themselves is
//! estimated from hosts that ended recently and ran no task that is still suspected, and from the
//! hosts of other pools that are ending right now. If other tasks ran on the host too, the rate
//! that counts is that of all ends in the pool, whatever their reason: where hosts end all the
//! time, a task is often on a host that ends soon after the task starts.
//!
//! Long-running tasks are on every host of a small pool, and the scheduler doesn't wait until a
//! host is free of them. A long-running task is judged by how long it has been running.
//!
//! A host that has ended may end again for the same unknown reason. So suspects avoid such a host
//! for a while if there is another, and once a host has ended twice, its next end proves nothing.
//! Ends that turn out to be caused by a poison task aren't counted.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use super::{
    Agent, MinionId, Now, PoolId, Scheduler, Slot, TaskId, agent::RECENTLY_SEEN, operations::Stage,
    suspects::Suspects, unit::SuspectUnit,
};
use crate::core::{
    types::{DataCentreId, HostId, RackId, Wall},
    workload::{
        catalog::JobId,
        command::Command,
        suspicion::{Crash, CrashedTask, FailureRate, decibans},
    },
};

/// Hosts that end within this time of each other may have one cause. Simultaneous ends are noticed
/// over two of the provider's lists, which are 0.3 s apart while an agent is in doubt, preceded by
/// an order that has to time out.
const CORRELATION_WINDOW: Duration = Duration::from_millis(1200);
/// Hosts of a rack or a data centre that have to end together, with none of its hosts left, for the
/// rack or the data centre to be the cause. Fewer hosts may end together by chance when several
/// poison tasks are running.
const MIN_CORRELATED_HOSTS: usize = 3;
/// How long an end counts against its host. A host that keeps coming and going does so every second
/// or so, so that several ends have shown it within this time.
const TAINT_DURATION: Duration = Duration::from_secs(8);

/// A host that has ended this often is itself taken for the cause.
const UNSOUND_ENDS: usize = 2;
/// How long an end counts towards the rate at which hosts end. Long enough that a fleet of ten that
/// lost no host within it proves a task that runs for ten seconds to be poison, and short enough to
/// follow a change of the rate.
const RATE_WINDOW: Duration = Duration::from_secs(60);
/// Added to the number of ends that were observed. Of the rates that could explain that no end was
/// observed, half lie below the rate of half an end.
const PRIOR_ENDS: f64 = 0.5;

/// The end of an agent that was neither ordered nor announced.
#[derive(Clone, Debug)]
struct Loss {
    at: Now,
    agent: MinionId,
    /// Whether the log holds the evidence that this end gave.
    committed: bool,
    host: Option<HostId>,
    rack: Option<RackId>,
    data_centre: DataCentreId,
    pool: PoolId,
    /// The tasks that ran there, and whether each is long-running.
    tasks: Vec<(TaskId, bool)>,
    /// Whether the cause of the end is known.
    explained: bool,
}

impl Loss {
    /// The jobs whose tasks ran there. An end under no job at all has another cause.
    fn jobs(&self) -> BTreeSet<JobId> {
        self.tasks.iter().map(|(task, _)| task.step.job).collect()
    }

    /// Whether a task that ran there may still turn out to have caused the end.
    fn is_undecided(&self, suspects: &Suspects) -> bool {
        !self.committed
            || self
                .tasks
                .iter()
                .any(|(task, _)| suspects.is_undecided(*task))
    }

    /// The units that ran there, but for those of a job.
    fn units_beside(&self, job: JobId) -> BTreeSet<SuspectUnit> {
        let others = self.tasks.iter().filter(|(task, _)| task.step.job != job);
        others
            .map(|(task, long_running)| SuspectUnit::of(*task, *long_running))
            .collect()
    }

    fn has(&self, task: TaskId) -> bool {
        self.tasks.iter().any(|(other, _)| *other == task)
    }
}

/// The recent ends of agents, and how long hosts were busy in the time in which they were seen.
#[derive(Clone, Debug)]
pub(super) struct Losses {
    /// In the order in which they happened.
    recent: VecDeque<Loss>,
    /// How many ends earlier leaders had counted when this leader's term began.
    earlier_ends: u32,
    term_start: Now,
    /// The recent busy time of all hosts together, and the time up to which it is counted.
    busy_time: Duration,
    counted_until: Now,
}

impl Losses {
    /// Continues from the counts of earlier leaders.
    pub(super) fn new(now: Now, before: FailureRate) -> Self {
        Self {
            recent: VecDeque::new(),
            earlier_ends: before.failures,
            term_start: now,
            busy_time: before.exposure,
            counted_until: now,
        }
    }

    /// How many agents of a host, other than the given one, ended recently for an unknown reason.
    /// Ends under a task that has ended other hosts too are attributed to that task.
    fn count_ends(&self, now: Now, host: &HostId, agent: &MinionId, suspects: &Suspects) -> usize {
        let ends = self.unexplained().filter(|loss| loss.agent != *agent);
        let ends =
            ends.filter(|loss| loss.host.as_ref() == Some(host) && now < loss.at + TAINT_DURATION);
        let known = |loss: &&Loss| {
            let mut tasks = loss.tasks.iter();
            !tasks.any(|(task, _)| suspects.is_task_suspected(*task))
        };
        ends.filter(known).count()
    }

    /// Whether the host of any agent but the given one has just ended while running a unit.
    fn has_just_ended(&self, now: Now, unit: SuspectUnit, agent: &MinionId) -> bool {
        let together = self
            .unexplained()
            .filter(|loss| now < loss.at + CORRELATION_WINDOW);
        let others = together.filter(|loss| loss.agent != *agent);
        let mut tasks = others.flat_map(|loss| &loss.tasks);
        tasks.any(|(task, _)| match unit {
            SuspectUnit::Job(job) => task.step.job == job,
            SuspectUnit::Task(unit) => *task == unit,
        })
    }

    /// The ends whose cause isn't known.
    fn unexplained(&self) -> impl Iterator<Item = &Loss> {
        self.recent.iter().filter(|loss| !loss.explained)
    }

    /// The units that ran beside a task on hosts that ended recently, but for those of its own job.
    /// The end of the agent `except` isn't counted.
    pub(super) fn companions(
        &self,
        task: TaskId,
        except: Option<&MinionId>,
    ) -> BTreeSet<SuspectUnit> {
        let ends = self.unexplained().filter(|loss| loss.has(task));
        let ends = ends.filter(|loss| Some(&loss.agent) != except);
        ends.flat_map(|loss| loss.units_beside(task.step.job))
            .collect()
    }

    /// The highest rate at which the hosts of a pool were recently seen to end, for whatever
    /// reason, in ends per second and host. `hosts` is the size of the pool. Ends under `task`
    /// aren't counted.
    fn peak_end_rate(&self, now: Now, pool: &PoolId, hosts: usize, task: TaskId) -> f64 {
        let ends = self.recent.iter().rev();
        let ends = ends.filter(|loss| loss.pool == *pool && !loss.has(task));
        let rates = (1_u32..).zip(ends).map(|(count, loss)| {
            let span = now.saturating_sub(loss.at).max(CORRELATION_WINDOW);
            f64::from(count) / span.as_secs_f64()
        });
        rates.fold(0.0, f64::max) / hosts.max(1) as f64
    }

    /// The rate at which hosts outside a pool are ending right now, in ends per second and host.
    /// `hosts` is how many hosts there are outside the pool. No job of the pool can be the cause of
    /// what ends hosts everywhere.
    fn outside_rate(&self, now: Now, pool: &PoolId, hosts: usize) -> f64 {
        let together = self
            .unexplained()
            .filter(|loss| now < loss.at + CORRELATION_WINDOW);
        let others = together.filter(|loss| loss.pool != *pool).count();
        others as f64 / CORRELATION_WINDOW.as_secs_f64() / hosts.max(1) as f64
    }

    /// Attributes to a job all ends of hosts on which it ran. Returns for each end the units of
    /// other jobs that ran there.
    pub(super) fn mark_explained(&mut self, job: JobId) -> Vec<BTreeSet<SuspectUnit>> {
        let ends = self.recent.iter_mut();
        let ends = ends.filter(|loss| !loss.explained && loss.jobs().contains(&job));
        let others = ends.map(|loss| {
            loss.explained = true;
            loss.units_beside(job)
        });
        others.collect()
    }

    /// Notes that the log holds the end of an agent.
    pub(super) fn mark_committed(&mut self, agent: &MinionId) {
        let mut last = self.recent.iter_mut().rev();
        if let Some(loss) = last.find(|loss| loss.agent == *agent) {
            loss.committed = true;
        }
    }

    fn record(&mut self, loss: Loss) {
        let now = loss.at;
        self.recent.retain(|before| now < before.at + RATE_WINDOW);
        self.recent.push_back(loss);
    }

    /// Adds to the busy time, given how many hosts are busy. Idle hosts aren't polled, so that
    /// their ends wouldn't be seen.
    pub(super) fn add_busy_time(&mut self, now: Now, busy: usize) {
        let span = now.saturating_sub(self.counted_until);
        self.counted_until = now;
        let kept = self.busy_time.mul_f64(decay_factor(span));
        self.busy_time = kept + span * u32::try_from(busy).unwrap_or(u32::MAX);
    }

    /// How many hosts were seen to end by themselves, and in how much busy time. Ends under `task`
    /// aren't counted.
    fn observed(&self, now: Now, suspects: &Suspects, task: Option<TaskId>) -> FailureRate {
        let lately = self
            .unexplained()
            .filter(|loss| now < loss.at + RATE_WINDOW);
        let others = lately.filter(|loss| !task.is_some_and(|task| loss.has(task)));
        let ends = others.filter(|loss| !loss.is_undecided(suspects)).count();
        let before =
            f64::from(self.earlier_ends) * decay_factor(now.saturating_sub(self.term_start));
        FailureRate {
            exposure: self.busy_time,
            failures: u32::try_from(ends).unwrap_or(u32::MAX) + before.round() as u32,
        }
    }

    /// Whether enough of the hosts that `alike` selects ended together, with no job that ran on all
    /// of them.
    fn is_correlated(&self, now: Now, alike: impl Fn(&Loss) -> bool) -> bool {
        let together = self
            .unexplained()
            .filter(|loss| now < loss.at + CORRELATION_WINDOW);
        let mut alike = together.filter(|loss| alike(loss));
        let Some(first) = alike.next() else {
            return false;
        };
        // A host that ends twice counts once. An agent of an unknown host may belong to one of the
        // known hosts, so it doesn't count.
        let (mut hosts, mut jobs) = (BTreeSet::from([&first.host]), first.jobs());
        for loss in alike {
            hosts.insert(&loss.host);
            let others = loss.jobs();
            jobs.retain(|job| others.contains(job));
        }
        hosts.remove(&None);
        hosts.len() >= MIN_CORRELATED_HOSTS && jobs.is_empty()
    }
}

/// The failure domains that still have agents.
#[derive(Clone, Debug, Default)]
struct DomainsLeft {
    racks: BTreeSet<RackId>,
    centres: BTreeSet<DataCentreId>,
}

/// How much an observation of this age still counts, from 0 to 1.
fn decay_factor(span: Duration) -> f64 {
    (-span.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
}

/// What is known of why an agent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// The scheduler gave an order about its host.
    Ordered,
    /// The agent had announced that it would leave.
    Announced,
    /// Its rack or its data centre lost all its agents together.
    Together,
    /// Nothing ran there.
    Idle,
    /// A task that ran there may have ended it.
    Unknown,
}

impl Scheduler {
    /// The commands that record the ends of agents in the log.
    pub(super) fn loss_commands(
        &mut self,
        now: Now,
        wall: Wall,
        lost: &BTreeSet<MinionId>,
    ) -> Vec<Command> {
        // All ends are noted before any is judged, since ends with a common cause are reported
        // together.
        let recorded: Vec<_> = lost.iter().map(|id| self.record_loss(now, id)).collect();
        let left = self.domains_left(lost, &recorded);
        let assessed = lost.iter().zip(recorded).map(|(id, recorded)| {
            let assessed = recorded.and_then(|loss| {
                let together = self.is_group_failure(now, &left, &loss);
                let crash = (!together).then(|| self.assess_loss(now, wall, &loss));
                crash.ok_or(Cause::Together)
            });
            self.log_loss(now, id, assessed.as_ref());
            assessed.map_or(Command::Terminated(id.clone()), Command::Crashed)
        });
        assessed.collect()
    }

    /// Logs why an agent ended, with the evidence for and against the tasks that ran there.
    fn log_loss(&self, now: Now, id: &MinionId, assessed: Result<&Crash, &Cause>) {
        let Some(agent) = self.agents.get(id) else {
            return;
        };
        let cause = assessed.err().copied().unwrap_or(Cause::Unknown);
        let rate = self.end_rate(now, None);
        let (taint, placed) = (self.taint(now, agent), agent.slots.len());
        let (heard, trouble) = (
            now.saturating_sub(agent.last_seen),
            agent.failing_since.is_some(),
        );
        let host = agent.host.as_deref().unwrap_or_default();
        log::info!(agent:% = id, host, cause:?, placed, heard:?, trouble, taint, rate; "an agent has ended");
        let tasks = assessed.map_or(&[][..], |crash| &crash.tasks);
        for present in tasks {
            let Some(slot) = agent.slots.get(&present.task) else {
                continue;
            };
            let (phase, age) = (slot.phase, now.saturating_sub(slot.phase_since));
            let CrashedTask {
                task,
                weight,
                timing_weight: sudden,
                started: begun,
                run_time: worked,
            } = present;
            let inherited = slot.inherited;
            log::info!(agent:% = id, task:%, attempt = slot.attempt, phase:?, age:?, inherited, worked:?, begun, weight, sudden; "a task ran at an agent that ended");
        }
    }

    /// Notes the end of an agent, unless it was to be expected. Returns the loss if a task that ran
    /// there may have caused it.
    fn record_loss(&mut self, now: Now, id: &MinionId) -> Result<Loss, Cause> {
        let agent = self.agents.get(id).ok_or(Cause::Idle)?;
        if self.was_ordered(id) {
            return Err(Cause::Ordered);
        }
        if agent.record.leaving {
            return Err(Cause::Announced);
        }
        if !self.settings.protections.suspicion {
            return Err(Cause::Idle);
        }
        if agent.slots.is_empty() && !agent.was_seen() {
            // The agent may have ended long before this leader's term, by an order of an earlier
            // leader.
            return Err(Cause::Idle);
        }
        let tried = agent.slots.values();
        let tried = tried.filter(|slot| slot.on_probe && !slot.long_running && slot.may_run());
        let tried = tried.map(|slot| slot.placed_at).max();
        // A long-running task that ran there before a suspect was tried isn't the cause.
        let before = |slot: &Slot| {
            slot.long_running
                && tried.is_some_and(|tried| slot.placed_at + CORRELATION_WINDOW < tried)
        };
        let there = agent.slots.iter();
        let there = there.filter(|(_, slot)| slot.may_run() && !slot.unlisted && !before(slot));
        let loss = Loss {
            at: now,
            agent: id.clone(),
            committed: false,
            host: agent.host.clone(),
            rack: agent.record.rack().cloned(),
            data_centre: agent.record.data_centre.clone(),
            pool: agent.record.pool.clone(),
            tasks: there
                .map(|(task, slot)| (*task, slot.long_running))
                .collect(),
            explained: false,
        };
        self.losses.record(loss.clone());
        let idle = loss.tasks.is_empty();
        (!idle).then_some(loss).ok_or(Cause::Idle)
    }

    /// The evidence that the end of an agent gives against each task that ran there.
    fn assess_loss(&self, now: Now, wall: Wall, loss: &Loss) -> Crash {
        let agent = self.agents.get(&loss.agent);
        let tasks = agent.into_iter().flat_map(|agent| {
            let slots = loss.tasks.iter();
            let slots = slots.filter_map(|(task, _)| Some((*task, agent.slots.get(task)?)));
            slots.map(|(task, slot)| self.assess_task(now, wall, agent, task, slot))
        });
        Crash {
            agent: loss.agent.clone(),
            tasks: tasks.collect(),
            failure_rate: self.losses.observed(now, &self.suspects, None),
        }
    }

    /// The evidence that the end of its agent gives against a task.
    fn assess_task(
        &self,
        now: Now,
        wall: Wall,
        agent: &Agent,
        task: TaskId,
        slot: &Slot,
    ) -> CrashedTask {
        // The agent had ended by the time its first order went unanswered.
        let end = agent.silent_since.unwrap_or(now);
        let after = now.saturating_sub(end);
        let worked = self.run_time(now, wall, task, slot).saturating_sub(after);
        let unit = SuspectUnit::of(task, slot.long_running);
        let alone = if slot.long_running {
            self.was_only_suspect(agent, task)
        } else {
            self.was_alone(agent, unit)
        };
        // Hosts that end together under a unit prove no more than one of them does, unless this one
        // was tried as the unit's probe.
        let alone =
            alone && (slot.on_probe || !self.losses.has_just_ended(now, unit, &agent.record.id));
        let sound = self.taint(now, agent) < UNSOUND_ENDS;
        // A host that wasn't heard from shortly before the start may have ended before it.
        let was_alive = agent.last_seen + RECENTLY_SEEN >= slot.placed_at;
        let pool = &agent.record.pool;
        let hosts = self.agents.pool_size(pool);
        let hazard = self.losses.peak_end_rate(now, pool, hosts, task);
        let elsewhere = self.agents.len().saturating_sub(hosts);
        let elsewhere = self.losses.outside_rate(now, pool, elsewhere);
        let by_itself = self.end_rate(now, Some(task)).max(elsewhere);
        let any = hazard.max(by_itself);
        let chance = |rate: f64| decibans(rate * worked.as_secs_f64());
        // A task whose start wasn't confirmed may never have started.
        let begun = slot.started;
        let weight = match (alone && sound && was_alive && begun, slot.long_running) {
            (false, _) => 0,
            // Other tasks ran there, which may have ended the host at the rate at which hosts end
            // now for any reason.
            (true, true) => chance(any),
            (true, false) => chance(by_itself + self.suspect_rate(now, agent, unit)),
        };
        let counts = !slot.long_running && begun && sound && was_alive;
        let sudden = match (counts && !self.had_companion(agent, task, slot), alone) {
            (false, _) => 0,
            // Whatever ends other hosts didn't run here.
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

    /// Whether no other task that ran on an agent is suspected. A batch task counts here as soon as
    /// one host has ended under it.
    fn was_only_suspect(&self, agent: &Agent, task: TaskId) -> bool {
        let mut ran = agent.slots.iter().filter(|(_, slot)| slot.may_run());
        ran.all(|(other, slot)| {
            let harmless = if slot.long_running {
                !self.suspects.is_task_suspected(*other)
            } else {
                self.suspects.get(*other).is_none()
            };
            harmless || *other == task
        })
    }

    /// Whether a unit that ran on this agent also ran beside the task on a host that ended earlier.
    /// A long-running task counts only if it hasn't been here for much longer than the task.
    fn had_companion(&self, agent: &Agent, task: TaskId, slot: &Slot) -> bool {
        let companions = self.losses.companions(task, Some(&agent.record.id));
        let mut there = agent.slots.iter().filter(|(_, other)| other.may_run());
        there.any(|(id, other)| {
            let fresh =
                !other.long_running || other.placed_at + CORRELATION_WINDOW >= slot.placed_at;
            fresh && companions.contains(&SuspectUnit::of(*id, other.long_running))
        })
    }

    /// The rate at which the suspected long-running tasks on an agent may end it, in ends per
    /// second. Each is assumed to do so once in the longest time that it has run, here or on a host
    /// that ended under it.
    fn suspect_rate(&self, now: Now, agent: &Agent, unit: SuspectUnit) -> f64 {
        let others = agent.slots.iter().filter(|(_, slot)| slot.long_running);
        let others =
            others.filter(|(task, slot)| SuspectUnit::of(**task, slot.long_running) != unit);
        let others = others.filter(|(task, _)| self.suspects.is_task_suspected(**task));
        let rates = others.filter_map(|(task, slot)| {
            let longest = self.suspects.get(*task)?.evidence.longest_run;
            let worked = longest.max(now.saturating_sub(slot.placed_at));
            Some(1.0 / worked.as_secs_f64().max(f64::EPSILON))
        });
        rates.sum()
    }

    /// For how long a task may have been running where it is now.
    fn run_time(&self, now: Now, wall: Wall, task: TaskId, slot: &Slot) -> Duration {
        let known = now.saturating_sub(slot.placed_at);
        if !slot.inherited {
            return known;
        }
        // An earlier leader placed the task, by its own wall clock, which may differ from ours.
        let since = slot.started_at.map(|began| wall.saturating_sub(began));
        let accepted = self.accepted_at.get(&task.step.job);
        let age = accepted.map(|accepted| now.saturating_sub(*accepted));
        since.or(age).map_or(known, |since| since.max(known))
    }

    /// The rate at which hosts end by themselves, in ends per second and host. Hosts on which
    /// `task` ran aren't counted.
    fn end_rate(&self, now: Now, task: Option<TaskId>) -> f64 {
        let seen = self.losses.observed(now, &self.suspects, task);
        (f64::from(seen.failures) + PRIOR_ENDS) / seen.exposure.as_secs_f64().max(f64::EPSILON)
    }

    /// How often the host of an agent has ended recently for an unknown reason. An agent whose host
    /// isn't known gets 1, since its host may have just come back.
    pub(super) fn taint(&self, now: Now, agent: &Agent) -> usize {
        let home = agent.host.as_ref();
        let count = |host| {
            let id = &agent.record.id;
            self.losses.count_ends(now, host, id, &self.suspects)
        };
        home.map_or(1, count)
    }

    /// The racks and data centres that have agents besides the lost ones. Found once for all of them,
    /// as a data centre may lose hundreds of agents together.
    fn domains_left(
        &self,
        lost: &BTreeSet<MinionId>,
        recorded: &[Result<Loss, Cause>],
    ) -> DomainsLeft {
        if recorded.iter().all(Result::is_err) {
            return DomainsLeft::default();
        }
        let left = self.agents.iter().filter(|(id, _)| !lost.contains(*id));
        let left: Vec<_> = left.map(|(_, agent)| &agent.record).collect();
        DomainsLeft {
            racks: left.iter().filter_map(|r| r.rack().cloned()).collect(),
            centres: left.iter().map(|r| r.data_centre.clone()).collect(),
        }
    }

    /// Whether the rack or the data centre of an agent that ended has lost all its agents together.
    fn is_group_failure(&self, now: Now, left: &DomainsLeft, loss: &Loss) -> bool {
        let rack = loss.rack.as_ref();
        let rack = rack.is_some_and(|rack| !left.racks.contains(rack));
        let centre = !left.centres.contains(&loss.data_centre);
        let losses = &self.losses;
        (rack && losses.is_correlated(now, |l| l.rack == loss.rack))
            || (centre && losses.is_correlated(now, |l| l.data_centre == loss.data_centre))
    }

    /// Whether an order about its host may have ended an agent.
    fn was_ordered(&self, id: &MinionId) -> bool {
        self.hosts.operations.values().any(|duty| {
            let ordered = matches!(
                duty.stage,
                Stage::Recorded | Stage::Ordered(_) | Stage::Away
            );
            ordered && duty.agent.as_ref() == Some(id)
        })
    }
}
