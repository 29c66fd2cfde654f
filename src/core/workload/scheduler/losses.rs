//! Agents that ended unexpectedly, and whether what ran there may be the cause.
//!
//! Most agents that end weren't ended by their tasks: their host was told to go down, a rack lost its
//! power, a data centre went. What shows such a cause is taken for it. An order of ours and an agent
//! that said it would leave show one by themselves; many ends on one rack or in one data centre at
//! once do if no job was at all of them. All other ends are evidence against what ran there
//! ([`suspicion`](crate::core::workload::suspicion)).
//!
//! A host that has ended may end again for the same unknown reason. So suspects aren't put there for a
//! while if there is another, and where a host has ended twice, its next end proves nothing against a
//! task that was alone there. Ends that turn out to be the doing of a convicted task don't count.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use super::{Agent, MinionId, Now, Scheduler, hosts::Stage, suspects::Unit};
use crate::core::{
    types::{DataCentreId, HostId, RackId},
    workload::{
        catalog::JobId,
        command::Command,
        suspicion::{Crash, Present},
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
/// An agent that was heard so short a time ago is taken to live.
pub(super) const LATELY: Duration = Duration::from_millis(200);

/// The end of an agent that was neither ordered nor announced.
#[derive(Clone, Debug)]
struct Loss {
    at: Now,
    rack: Option<RackId>,
    data_centre: DataCentreId,
    /// What was at work there. An end under no job at all has another cause.
    jobs: BTreeSet<JobId>,
}

/// The last ends of agents.
#[derive(Clone, Debug, Default)]
pub(super) struct Losses {
    recent: VecDeque<Loss>,
    /// When each host ended, and under which jobs, the last end last.
    hosts: BTreeMap<HostId, Vec<(Now, BTreeSet<JobId>)>>,
}

impl Losses {
    /// How often a host has ended lately for a reason that isn't known.
    fn count(&self, now: Now, host: &HostId) -> usize {
        let ends = self.hosts.get(host).into_iter().flatten();
        ends.filter(|(at, _)| now < *at + TAINTED).count()
    }

    /// The hosts that ended under a job did so because of it.
    pub(super) fn explain(&mut self, job: JobId) {
        for ends in self.hosts.values_mut() {
            ends.retain(|(_, jobs)| !jobs.contains(&job));
        }
    }

    fn note(&mut self, host: Option<HostId>, loss: Loss) {
        let now = loss.at;
        self.recent.retain(|before| now < before.at + TOGETHER);
        self.hosts.retain(|_, ends| {
            ends.retain(|(at, _)| now < *at + TAINTED);
            !ends.is_empty()
        });
        if let Some(host) = host {
            let ends = self.hosts.entry(host).or_default();
            ends.push((now, loss.jobs.clone()));
        }
        self.recent.push_back(loss);
    }

    /// Whether many ended of those that are alike, and no job was at all of them.
    fn is_common(&self, alike: impl Fn(&Loss) -> bool) -> bool {
        let mut alike = self.recent.iter().filter(|loss| alike(loss));
        let Some(first) = alike.next() else {
            return false;
        };
        let (mut count, mut jobs) = (1, first.jobs.clone());
        for loss in alike {
            count += 1;
            jobs.retain(|job| loss.jobs.contains(job));
        }
        count >= LEAST && jobs.is_empty()
    }
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

/// An end that may be the doing of what ran there.
struct Suspicious {
    crash: Crash,
    loss: Loss,
}

impl Scheduler {
    /// What is committed for agents that are over.
    pub(super) fn bury(&mut self, now: Now, gone: &BTreeSet<MinionId>) -> Vec<Command> {
        // All are noted before any is judged: those that end together are told of together.
        let noted: Vec<_> = gone.iter().map(|id| self.note_loss(now, id)).collect();
        let judged = gone.iter().zip(noted).map(|(id, noted)| {
            let judged = noted.and_then(|suspicious| {
                let together = self.is_explained(gone, &suspicious.loss);
                (!together).then_some(suspicious).ok_or(Cause::Together)
            });
            self.log_loss(now, id, judged.as_ref());
            judged.map_or(Command::Gone(id.clone()), |s| Command::Crashed(s.crash))
        });
        judged.collect()
    }

    /// Logs why an agent ended, and what speaks for and against what ran there.
    fn log_loss(&self, now: Now, id: &MinionId, judged: Result<&Suspicious, &Cause>) {
        let Some(agent) = self.agents.get(id) else {
            return;
        };
        let cause = judged.err().copied().unwrap_or(Cause::Unknown);
        let (taint, placed) = (self.taint(now, agent), agent.slots.len());
        let (heard, trouble) = (now.saturating_sub(agent.heard), agent.trouble.is_some());
        log::info!(agent:% = id, cause:?, placed, heard:?, trouble, taint; "an agent has ended");
        let tasks = judged.map_or(&[][..], |suspicious| &suspicious.crash.tasks);
        for present in tasks {
            let Some(slot) = agent.slots.get(&present.task) else {
                continue;
            };
            let (phase, age) = (slot.phase, now.saturating_sub(slot.since));
            let Present { task, begun, alone } = present;
            log::info!(agent:% = id, task:%, attempt = slot.attempt, phase:?, age:?, begun, alone, inherited = slot.inherited; "a task was there when its agent ended");
        }
    }

    /// Notes the end of an agent, unless it was to be expected; what may have ended it, if anything
    /// was at work there.
    fn note_loss(&mut self, now: Now, id: &MinionId) -> Result<Suspicious, Cause> {
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
        let there = agent.slots.iter();
        let there = there.filter(|(_, slot)| slot.may_run());
        let there = there.map(|(task, slot)| {
            let unit = Unit::of(*task, slot.lasting);
            (*task, unit, slot)
        });
        let there: Vec<_> = there.collect();
        let heard = agent.heard;
        let began = there.iter().filter(|(.., slot)| slot.has_begun(agent));
        let began: BTreeSet<_> = began.map(|(_, unit, _)| *unit).collect();
        let units: BTreeSet<_> = there.iter().map(|(_, unit, _)| *unit).collect();
        // Where something had just begun, that is what ended the host if anything there did.
        let sole = if began.is_empty() { units } else { began };
        let sound = self.taint(now, agent) < UNSOUND;
        let tasks = there.iter().map(|(task, unit, slot)| Present {
            task: *task,
            begun: slot.has_begun(agent),
            // A host that wasn't heard shortly before the start may have ended before it.
            alone: sound && sole.len() == 1 && sole.contains(unit) && heard + LATELY >= slot.placed,
        });
        let tasks: Vec<_> = tasks.collect();
        let loss = Loss {
            at: now,
            rack: agent.record.rack().cloned(),
            data_centre: agent.record.data_centre.clone(),
            jobs: tasks.iter().map(|present| present.task.step.job).collect(),
        };
        let host = agent.home.clone();
        let crash = Crash {
            agent: id.clone(),
            tasks,
        };
        self.losses.note(host, loss.clone());
        let idle = crash.tasks.is_empty();
        (!idle)
            .then_some(Suspicious { crash, loss })
            .ok_or(Cause::Idle)
    }

    /// How often an agent's host has ended lately for a reason that isn't known. An agent whose host
    /// isn't known may be of one that has just come back.
    pub(super) fn taint(&self, now: Now, agent: &Agent) -> usize {
        let home = agent.home.as_ref();
        home.map_or(1, |host| self.losses.count(now, host))
    }

    /// Whether the rack or the data centre of an agent that ended has lost all of its agents together.
    fn is_explained(&self, gone: &BTreeSet<MinionId>, loss: &Loss) -> bool {
        let (mut rack, mut centre) = (loss.rack.is_some(), true);
        let left = self.agents.iter().filter(|(id, _)| !gone.contains(*id));
        for (_, agent) in left {
            rack &= agent.record.rack() != loss.rack.as_ref();
            centre &= agent.record.data_centre != loss.data_centre;
        }
        let losses = &self.losses;
        (rack && losses.is_common(|l| l.rack == loss.rack))
            || (centre && losses.is_common(|l| l.data_centre == loss.data_centre))
    }

    /// Whether an order about its host may have ended an agent.
    fn is_ordered(&self, id: &MinionId) -> bool {
        self.hosts.duties.values().any(|duty| {
            let ordered = matches!(duty.stage, Stage::Touched | Stage::Ordered(_) | Stage::Away);
            ordered && duty.agent.as_ref() == Some(id)
        })
    }
}
