//! Which agent runs a task.
//!
//! Work is packed onto few agents, so that others stay empty for maintenance and moves: beside what
//! lasts first, then beside what ends no sooner, then where most runs. Best-effort
//! work and work that serves keep apart where there is a choice, for the one slows the other.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use super::agent::Agent;
use crate::core::{
    types::{MinionId, Now, RackId},
    workload::{
        job::StepId,
        spec::{StepSpec, TaskIx},
    },
};

/// Ends that are this close count as one: estimates aren't more exact.
const GRAIN: Duration = Duration::from_millis(200);

/// How well an agent suits a task; the highest is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    /// Its tasks take about as long as they should.
    sound: bool,
    /// It runs nothing under which a host has ended before.
    safe: bool,
    /// It is on the rack that the data is on.
    near: bool,
    /// It has nothing that the task would disturb or be disturbed by.
    apart: bool,
    /// For lasting work: others like it are here.
    alike: bool,
    /// By how much it would be empty later, in units of [`GRAIN`].
    later: Reverse<u128>,
    /// Cores in use, in thousandths.
    busy: u64,
}

/// Whether an agent could run a task of a step once what is short there has ended.
pub(super) fn could_run(agent: &Agent, spec: &StepSpec, step: StepId) -> bool {
    let lasting = agent.slots.values().filter(|slot| slot.long_running);
    let room = lasting.fold(agent.record.room, |room, slot| room.minus(&slot.room));
    suits(agent, spec, step) && room.fits(&spec.room())
}

/// Whether an agent may run a task of a step now.
pub(super) fn may_run(agent: &Agent, spec: &StepSpec, step: StepId) -> bool {
    suits(agent, spec, step) && agent.free().fits(&spec.room())
}

fn suits(agent: &Agent, spec: &StepSpec, step: StepId) -> bool {
    let label = spec.label.as_ref();
    label.is_none_or(|label| agent.record.labels.contains(label))
        && spec.per_host.is_none_or(|most| count(agent, step) < most)
}

/// Tasks of a step at an agent.
fn count(agent: &Agent, step: StepId) -> TaskIx {
    let tasks = agent.slots.keys().filter(|task| task.step == step);
    TaskIx::try_from(tasks.count()).unwrap_or(TaskIx::MAX)
}

fn fit(now: Now, agent: &Agent, spec: &StepSpec) -> Fit {
    let near = spec
        .data_rack
        .as_ref()
        .is_none_or(|rack| agent.record.rack() == Some(rack));
    let later = if spec.lasting {
        Duration::ZERO
    } else {
        agent.extension(now, spec.estimate)
    };
    let disturbs = spec.best_effort && agent.has_latency_sensitive();
    let disturbed = spec.tail.is_some() && agent.has_best_effort();
    Fit {
        sound: !agent.is_slow(now),
        safe: !agent.slots.values().any(|slot| slot.has_evidence),
        near,
        apart: !disturbs && !disturbed,
        alike: spec.lasting && agent.slots.values().any(|slot| slot.long_running),
        later: Reverse(later.as_millis() / GRAIN.as_millis()),
        busy: agent.used.millicores,
    }
}

/// Agents for the tasks of one step, the best one first.
///
/// All agents with room are looked at once for a step and not once for each of its tasks: with 300
/// agents five of six looks of a rush were such (counted in a world of tests). Only the agent that got a task suits the
/// next one otherwise than before.
#[derive(Debug)]
pub(super) struct Choice {
    // The last of equals by id, so that the choice is the same in every run.
    agents: BinaryHeap<(Fit, MinionId)>,
}

impl Choice {
    /// A choice among some agents.
    pub(super) fn new<'a>(
        now: Now,
        agents: impl Iterator<Item = &'a Agent>,
        spec: &StepSpec,
        step: StepId,
    ) -> Self {
        let able = agents.filter(|agent| may_run(agent, spec, step));
        let able = able.map(|agent| (fit(now, agent, spec), agent.record.id.clone()));
        let agents = able.collect();
        Self { agents }
    }

    /// The best agent. Once it has got a task it must be put back to be chosen again.
    pub(super) fn take(&mut self) -> Option<MinionId> {
        self.agents.pop().map(|(_, agent)| agent)
    }

    /// An agent has got a task, and may have room for another.
    pub(super) fn put_back(&mut self, now: Now, agent: &Agent, spec: &StepSpec, step: StepId) {
        if may_run(agent, spec, step) {
            let id = agent.record.id.clone();
            self.agents.push((fit(now, agent, spec), id));
        }
    }
}

/// The agents that suit a step best and have room for a task of it, at most so many.
pub(super) fn best<'a>(
    now: Now,
    agents: impl Iterator<Item = &'a Agent>,
    spec: &StepSpec,
    step: StepId,
    most: usize,
) -> Vec<MinionId> {
    let able = agents.filter(|agent| may_run(agent, spec, step));
    let mut able: Vec<_> = able.map(|agent| (fit(now, agent, spec), agent)).collect();
    able.sort_by_key(|(fit, agent)| Reverse((*fit, &agent.record.id)));
    let best = able.into_iter().take(most);
    best.map(|(_, agent)| agent.record.id.clone()).collect()
}

/// Agents for all tasks of a gang at once, on one rack if it asks for that and one has the room.
pub(super) fn choose_gang(
    agents: &BTreeMap<MinionId, &Agent>,
    spec: &StepSpec,
    step: StepId,
) -> Option<Vec<MinionId>> {
    let anywhere = |_: &Agent| true;
    if !spec.one_rack {
        return seat(agents, spec, step, anywhere);
    }
    let mut racks: Vec<&RackId> = agents.values().filter_map(|a| a.record.rack()).collect();
    racks.sort_unstable();
    racks.dedup();
    let on_one = racks.into_iter().find_map(|rack| {
        seat(agents, spec, step, |agent| {
            agent.record.rack() == Some(rack)
        })
    });
    on_one.or_else(|| seat(agents, spec, step, anywhere))
}

/// Seats every member of a gang, or none.
fn seat(
    agents: &BTreeMap<MinionId, &Agent>,
    spec: &StepSpec,
    step: StepId,
    allowed: impl Fn(&Agent) -> bool,
) -> Option<Vec<MinionId>> {
    let mut seats = Vec::new();
    for agent in agents.values().filter(|agent| allowed(agent)) {
        let (mut free, room) = (agent.free(), spec.room());
        let labelled = spec
            .label
            .as_ref()
            .is_none_or(|label| agent.record.labels.contains(label));
        let most = spec.per_host.unwrap_or(TaskIx::MAX);
        let mut here = count(agent, step);
        while labelled && here < most && free.fits(&room) {
            if seats.len() == usize::try_from(spec.tasks).unwrap_or(usize::MAX) {
                return Some(seats);
            }
            free = free.minus(&room);
            here += 1;
            seats.push(agent.record.id.clone());
        }
    }
    (seats.len() == usize::try_from(spec.tasks).unwrap_or(usize::MAX)).then_some(seats)
}
