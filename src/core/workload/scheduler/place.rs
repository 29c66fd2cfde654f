//! Chooses the agent that runs a task.
//!
//! Tasks are packed onto few agents, so that others stay empty for maintenance and moves. Agents
//! that run long-running tasks are preferred, then agents whose tasks end no sooner than the new
//! one, then those with the most cores in use. A task whose job has just failed at an agent goes to
//! another one, if there is one as near to its data. Best-effort and latency-sensitive tasks are kept
//! apart where there is a choice, because the former slow the latter.
//!
//! Where agents are looked for in one failure domain after the other, an agent of an earlier domain
//! is preferred to one of a later domain, unless it is slow, suspected, away from the data or
//! disturbs others.

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

/// The most tasks that an agent is given. Each of its reports lists all of them, and tasks that need nothing fit
/// anywhere.
const MAX_AGENT_TASKS: usize = 4096;
/// Ends closer together than this count as equal: estimates aren't more precise.
const END_RESOLUTION: Duration = Duration::from_millis(200);

/// How well an agent suits a task; the highest value is chosen. The fields are compared in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    /// Its tasks take about as long as estimated.
    on_pace: bool,
    /// It runs no task under which a host was lost before.
    safe: bool,
    /// It is on the rack that holds the data.
    near_data: bool,
    /// No task of the job has failed there lately. Another agent shows whether the job or the agent
    /// is the cause, and doesn't cost the job its attempts if it is the agent.
    untried: bool,
    /// It runs nothing that the task would slow down or be slowed down by.
    undisturbed: bool,
    /// The position of its failure domain among those that are searched.
    domain: Reverse<usize>,
    /// For long-running tasks: the agent already runs some.
    beside_alike: bool,
    /// By how much the task would delay the time when the agent is empty, in units of
    /// [`END_RESOLUTION`].
    delay: Reverse<u128>,
    /// Thousandths of a core in use.
    busy: u64,
}

/// Whether an agent could run a task of a step once its batch tasks have finished.
pub(super) fn could_run(agent: &Agent, spec: &StepSpec, step: StepId) -> bool {
    let lasting = agent.slots.values().filter(|slot| slot.long_running);
    let room = lasting.fold(agent.record.capacity, |room, slot| room.minus(&slot.room));
    suits(agent, spec, step) && room.fits(&spec.reservation())
}

/// Whether an agent may run a task of a step now.
pub(super) fn may_run(agent: &Agent, spec: &StepSpec, step: StepId) -> bool {
    agent.slots.len() < MAX_AGENT_TASKS
        && suits(agent, spec, step)
        && agent.free().fits(&spec.reservation())
}

fn suits(agent: &Agent, spec: &StepSpec, step: StepId) -> bool {
    let label = spec.label.as_ref();
    label.is_none_or(|label| agent.record.labels.contains(label))
        && spec.per_host.is_none_or(|most| count(agent, step) < most)
}

/// The number of tasks of a step at an agent.
fn count(agent: &Agent, step: StepId) -> TaskIx {
    let tasks = agent.slots.keys().filter(|task| task.step == step);
    TaskIx::try_from(tasks.count()).unwrap_or(TaskIx::MAX)
}

impl Fit {
    /// Whether no agent of a later failure domain can suit better.
    fn is_settled(&self) -> bool {
        self.on_pace && self.safe && self.near_data && self.untried && self.undisturbed
    }
}

/// The number of tasks of a step that an agent has room for, `limit` at most.
fn seats(agent: &Agent, spec: &StepSpec, step: StepId, limit: usize) -> usize {
    let (mut free, room) = (agent.free(), spec.reservation());
    let left = spec
        .per_host
        .map(|most| most.saturating_sub(count(agent, step)));
    let left = left.and_then(|left| usize::try_from(left).ok());
    let limit = left.map_or(limit, |left| left.min(limit));
    let mut seats = 0;
    while seats < limit && free.fits(&room) {
        free = free.minus(&room);
        seats += 1;
    }
    seats
}

fn fit(now: Now, agent: &Agent, spec: &StepSpec, step: StepId, domain: usize) -> Fit {
    let near = spec
        .data_rack
        .as_ref()
        .is_none_or(|rack| agent.record.rack() == Some(rack));
    let later = if spec.long_running {
        Duration::ZERO
    } else {
        agent.extension(now, spec.estimate)
    };
    let disturbs = spec.best_effort && agent.has_latency_sensitive();
    let disturbed = spec.tail_latency.is_some() && agent.has_best_effort();
    Fit {
        on_pace: !agent.is_slow(now) && !agent.has_overruns(now),
        safe: !agent.slots.values().any(|slot| slot.has_evidence),
        near_data: near,
        untried: !agent.failures.contains(now, step.job),
        undisturbed: !disturbs && !disturbed,
        domain: Reverse(domain),
        beside_alike: spec.long_running && agent.slots.values().any(|slot| slot.long_running),
        delay: Reverse(later.as_millis() / END_RESOLUTION.as_millis()),
        busy: agent.used.millicores,
    }
}

/// Agents for the tasks of one step, the best one first.
///
/// All busy agents with room are visited once for a step, and not once for each of its tasks: with
/// 300 agents, five of six visits during a surge were of that kind (counted in a test run). Only the
/// agent that got a task suits the next one differently than before. Of the idle agents only as
/// many are visited as the step has tasks, unless some of them suit it less than others. Agents of
/// further failure domains are visited only for the tasks that those before have no room for.
#[derive(Debug)]
pub(super) struct AgentRanking {
    // Equal agents are ordered by id, so that the choice is the same in every run.
    agents: BinaryHeap<(Fit, MinionId)>,
    /// The number of tasks that need an agent.
    tasks: usize,
    /// The number of tasks for which there is room at agents that no later one can outrank.
    seats: usize,
    /// The number of failure domains whose agents were added.
    domains: usize,
    /// The position of the domain of the agent that was taken out last.
    taken: usize,
}

impl AgentRanking {
    /// Creates an empty ranking for so many tasks of a step.
    pub(super) fn new(tasks: usize) -> Self {
        Self {
            agents: BinaryHeap::new(),
            tasks,
            seats: 0,
            domains: 0,
            taken: 0,
        }
    }

    /// Ranks those agents of the next failure domain that may run a task of the step, `busy` ones
    /// that run something and `idle` ones that don't, the highest id first.
    pub(super) fn add_domain<'a>(
        &mut self,
        now: Now,
        busy: impl Iterator<Item = &'a Agent>,
        idle: impl Iterator<Item = &'a Agent>,
        spec: &StepSpec,
        step: StepId,
    ) {
        let mut left = self.tasks.saturating_sub(self.seats);
        for agent in busy.filter(|agent| may_run(agent, spec, step)) {
            self.add(now, agent, spec, step);
        }
        // Idle agents beyond as many as there are tasks would never be chosen.
        for agent in idle.filter(|agent| may_run(agent, spec, step)) {
            let fit = self.add(now, agent, spec, step);
            let suits = fit.on_pace && fit.near_data && fit.untried;
            left = left.saturating_sub(usize::from(suits));
            if left == 0 {
                break;
            }
        }
        self.domains += 1;
    }

    /// Whether agents of further failure domains wouldn't be chosen for any of the tasks.
    pub(super) fn is_settled(&self) -> bool {
        self.seats >= self.tasks
    }

    fn add(&mut self, now: Now, agent: &Agent, spec: &StepSpec, step: StepId) -> Fit {
        let fit = fit(now, agent, spec, step, self.domains);
        if fit.is_settled() && !self.is_settled() {
            self.seats += seats(agent, spec, step, self.tasks - self.seats);
        }
        self.agents.push((fit, agent.record.id.clone()));
        fit
    }

    /// Takes out the best agent. It must be put back to be chosen again once it has got a task.
    pub(super) fn take(&mut self) -> Option<MinionId> {
        let (fit, agent) = self.agents.pop()?;
        self.taken = fit.domain.0;
        Some(agent)
    }

    /// Puts the agent back that was taken out last and has got a task, if it has room for another.
    pub(super) fn put_back(&mut self, now: Now, agent: &Agent, spec: &StepSpec, step: StepId) {
        if may_run(agent, spec, step) {
            let id = agent.record.id.clone();
            self.agents
                .push((fit(now, agent, spec, step, self.taken), id));
        }
    }
}

/// The agents that suit a step best and have room for a task of it, at most `most`.
pub(super) fn best_agents<'a>(
    now: Now,
    agents: impl Iterator<Item = &'a Agent>,
    spec: &StepSpec,
    step: StepId,
    most: usize,
) -> Vec<MinionId> {
    let able = agents.filter(|agent| may_run(agent, spec, step));
    let mut able: Vec<_> = able
        .map(|agent| (fit(now, agent, spec, step, 0), agent))
        .collect();
    able.sort_by_key(|(fit, agent)| Reverse((*fit, &agent.record.id)));
    let best = able.into_iter().take(most);
    best.map(|(_, agent)| agent.record.id.clone()).collect()
}

/// Chooses agents for all tasks of a gang at once: on one rack if the gang asks for that and a rack
/// has the room, and otherwise on any.
pub(super) fn choose_gang(
    agents: &BTreeMap<MinionId, &Agent>,
    spec: &StepSpec,
    step: StepId,
) -> Option<Vec<MinionId>> {
    let anywhere = |_: &Agent| true;
    if !spec.one_rack {
        return seat_gang(agents, spec, step, anywhere);
    }
    let mut racks: Vec<&RackId> = agents.values().filter_map(|a| a.record.rack()).collect();
    racks.sort_unstable();
    racks.dedup();
    let on_one = racks.into_iter().find_map(|rack| {
        seat_gang(agents, spec, step, |agent| {
            agent.record.rack() == Some(rack)
        })
    });
    on_one.or_else(|| seat_gang(agents, spec, step, anywhere))
}

/// Chooses agents for all members of a gang, or returns none.
fn seat_gang(
    agents: &BTreeMap<MinionId, &Agent>,
    spec: &StepSpec,
    step: StepId,
    allowed: impl Fn(&Agent) -> bool,
) -> Option<Vec<MinionId>> {
    let mut seats = Vec::new();
    for agent in agents.values().filter(|agent| allowed(agent)) {
        let (mut free, room) = (agent.free(), spec.reservation());
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
