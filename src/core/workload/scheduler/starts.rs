//! What is started where, and the orders that say so.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    ATTEMPTS, About, Agent, Ends, GAP, Ledger, MinionId, Name, Now, OrderKind, Phase, Placed,
    PoolId, Round, STARTS, Scheduler, Slot, StartOrder, StepId, StepSpec, TaskId, Wall,
    place::{self, Choice},
};
use crate::core::{
    types::Resources,
    workload::{catalog::JobId, command::Ending, job::JobState},
};

/// A start that is sent so long after it was decided is logged: a commit and a turn take a tenth of it.
const PROMPT: Duration = Duration::from_millis(500);

impl Scheduler {
    /// What one round commits: ends and frees, and starts for what is ready.
    pub(super) fn round(&mut self, now: Now, wall: Wall, ledger: &Ledger) -> Round {
        let ends: Vec<_> = std::mem::take(&mut self.ends).into_values().collect();
        let failed = self.failed(ledger, &ends);
        let cleared = self.clear_suspects(now, ledger);
        self.release_probes(now);
        let mut round = Round {
            ends,
            freed: std::mem::take(&mut self.freed),
            failed,
            starts: Vec::new(),
            touch: self.next_intent(now),
            convicted: self.suspects.take_poison_tasks(),
            cleared,
            unbegun: std::mem::take(&mut self.unbegun),
            at: wall,
        };
        self.ready.lapse(now);
        self.agents.update_indexes();
        for pool in self.ready.pools() {
            self.fill(now, ledger, &pool, &mut round.starts);
        }
        round
    }

    /// Jobs that these ends make fail for good.
    pub(super) fn failed(&self, ledger: &Ledger, ends: &[Ends]) -> Vec<JobId> {
        let mut counts: BTreeMap<TaskId, u32> = BTreeMap::new();
        let all = ends.iter().flat_map(|ends| &ends.ends);
        for end in all.filter(|end| end.how == Ending::Failed) {
            *counts.entry(end.task).or_default() += 1;
        }
        let hopeless = |(task, count): (&TaskId, &u32)| {
            let job = ledger.job(task.step.job)?;
            let spec = job.spec.steps.get(usize::from(task.step.step))?;
            let step = job.step(task.step)?;
            let before = if spec.gang {
                step.failures()
            } else {
                job.task(*task)?.failures
            };
            let queue = self.catalog.queue(&job.queue);
            let most = queue.map_or(ATTEMPTS, |queue| queue.attempts.max(1));
            (!spec.lasting && before + count >= most).then_some(task.step.job)
        };
        let failed: BTreeSet<_> = counts.iter().filter_map(hopeless).collect();
        failed.into_iter().collect()
    }

    /// Starts what is ready for a pool as long as its agents have room.
    pub(super) fn fill(
        &mut self,
        now: Now,
        ledger: &Ledger,
        pool: &PoolId,
        starts: &mut Vec<Placed>,
    ) {
        self.start_on_probes(now, ledger, pool, starts);
        // Under overload hundreds of steps wait and no agent has room; looking at each agent for each
        // of them took two thirds of the leader's time with 300 agents (profiled in a world of tests).
        // Not known as long as all has found a place.
        let mut widest: Option<Resources> = None;
        let mut last = None;
        let mut apart = self.sharing_limits(ledger, pool);
        while starts.len() < STARTS
            && let Some(least) = self.ready.least(pool)
            && widest.is_none_or(|widest| least <= widest.millicores)
        {
            let Some(rank) = self.ready.next(pool, last) else {
                return;
            };
            last = Some(rank);
            let Some(ready) = self.ready.get(rank.step()) else {
                continue;
            };
            if widest.is_some_and(|widest| !widest.fits(&ready.spec.room())) {
                continue;
            }
            let job = rank.step().job;
            if self.suspects.is_failing(job) {
                continue;
            }
            let spec = ready.spec.clone();
            let asked = ready.eligibility.is_some();
            if self.suspects.has_job(job) && !spec.gang {
                self.start_suspects(now, ledger, rank.step(), &spec, starts);
            }
            if spec.gang {
                self.place_gang(now, ledger, rank.step(), &spec, starts);
                self.ask_eligible(now, pool, rank.step(), &spec);
                continue;
            }
            let Some(ready) = self.ready.get(rank.step()) else {
                continue;
            };
            let step = rank.step();
            let tasks = ready.free.iter().map(|task| TaskId { step, task: *task });
            // What hosts have ended under was started above, or waits.
            let tasks = tasks.filter(|task| {
                self.suspects.get(*task).is_none()
                    && self.suspects.suspect_unit(*task, spec.lasting).is_none()
            });
            let tasks: Vec<_> = tasks.collect();
            if tasks.is_empty() || !self.may_start(ledger, step, &spec, 1) {
                self.ask_eligible(now, pool, step, &spec);
                continue;
            }
            let found = ledger.job(job);
            if found.is_some_and(|job| job.state == JobState::Queued && apart.is_full(job)) {
                continue;
            }
            let able = self.able(now, pool, spec.room().millicores);
            let able = able.filter(|agent| !asked || self.is_eligible(now, step, agent));
            let able =
                able.filter(|agent| spec.lasting || self.may_share(ledger, &apart, agent, job));
            let mut choice = Choice::new(now, able, &spec, step);
            for task in tasks {
                if !self.may_start(ledger, step, &spec, 1) {
                    break;
                }
                let Some(agent) = choice.take() else {
                    widest = Some(self.widest(now, pool));
                    if let Some(job) = found {
                        apart.record_full(job);
                    }
                    break;
                };
                let placed = Placed {
                    task,
                    attempt: attempts(ledger, task) + 1,
                    agent: agent.clone(),
                };
                self.propose(now, ledger, &spec, placed, starts);
                if let Some(agent) = self.agents.get(&agent) {
                    choice.put_back(now, agent, &spec, step);
                }
            }
            self.ask_eligible(now, pool, rank.step(), &spec);
        }
    }

    pub(super) fn place_gang(
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
        // Its members have one number, so none of an earlier attempt may be left.
        if ready.free.len() != usize::try_from(spec.tasks).unwrap_or(0) {
            return;
        }
        if !self.may_start(ledger, step, spec, spec.tasks) {
            return;
        }
        let first = TaskId { step, task: 0 };
        let unit = self.suspects.suspect_unit(first, spec.lasting);
        let able = self.able(now, &ready.pool, spec.room().millicores);
        let able = able.filter(|agent| self.is_eligible(now, step, agent));
        // The members of a gang run together, so one that is suspected has its hosts to itself.
        let able = able.filter(|agent| unit.is_none() || agent.slots.is_empty());
        let able: BTreeMap<_, _> = able.map(|a| (a.record.id.clone(), a)).collect();
        let Some(seats) = place::choose_gang(&able, spec, step) else {
            return;
        };
        let tasks = (0..spec.tasks).map(|task| TaskId { step, task });
        let last = tasks.clone().map(|task| attempts(ledger, task)).max();
        let attempt = last.unwrap_or_default() + 1;
        for (task, agent) in tasks.zip(seats) {
            if let Some(unit) = unit {
                self.probes.insert(agent.clone(), unit);
            }
            let placed = Placed {
                task,
                attempt,
                agent,
            };
            self.propose(now, ledger, spec, placed, starts);
        }
    }

    pub(super) fn propose(
        &mut self,
        now: Now,
        ledger: &Ledger,
        spec: &StepSpec,
        placed: Placed,
        starts: &mut Vec<Placed>,
    ) {
        let task = placed.task;
        self.claim(ledger, task, spec);
        self.ready.take(task.step, task.task);
        if let Some(agent) = self.agents.get_mut(&placed.agent) {
            self.ages.push(now.saturating_sub(agent.last_seen));
            let mut slot = Slot::new(spec, placed.attempt, Phase::Proposed, now);
            slot.has_evidence = self.suspects.get(task).is_some();
            slot.on_probe = self.probes.contains(&placed.agent);
            agent.add(task, slot);
            self.agents.reindex(&placed.agent);
        }
        starts.push(placed);
    }

    /// The most that any agent of a pool has left of each kind, of those that may get something new
    /// and have room for what takes the fewest cores. Room only shrinks while a round is filled, so
    /// that what doesn't fit it fits nowhere.
    fn widest(&self, now: Now, pool: &PoolId) -> Resources {
        let Some(least) = self.ready.least(pool) else {
            return Resources::default();
        };
        let able = self.able(now, pool, least).map(Agent::free);
        able.fold(Resources::default(), |widest, free| Resources {
            millicores: widest.millicores.max(free.millicores),
            memory: widest.memory.max(free.memory),
            accelerators: widest.accelerators.max(free.accelerators),
        })
    }

    /// The agents of a pool that may get something new and have so many thousandths of a core free.
    pub(super) fn able(&self, now: Now, pool: &PoolId, least: u64) -> impl Iterator<Item = &Agent> {
        let agents = self.agents.with_room(pool, least);
        agents.filter(move |agent| {
            self.is_able(now, agent) && !self.probes.contains(&agent.record.id)
        })
    }

    /// Whether an agent may get something new.
    pub(super) fn is_able(&self, now: Now, agent: &Agent) -> bool {
        !agent.record.leaving
            && !agent.unconfirmed
            && !agent.cordoned
            && agent.failing_since.is_none()
            && !self.is_unsettled(agent)
            && agent.excluded_until <= now
            && now < agent.last_seen + self.settings.silence
    }

    /// Whether an agent may still run what was ordered of an incarnation before.
    fn is_unsettled(&self, agent: &Agent) -> bool {
        // It is asked of each agent of a pool, and hardly ever has any been replaced.
        if self.replaced.is_empty() {
            return false;
        }
        let mut same = self.agents.incarnations(agent.record.name());
        same.any(|other| self.replaced.contains(&other.record.id))
    }

    /// Sends the starts that are due at some agents, and gives up those that can't begin in time any more.
    pub(super) fn send_starts(&mut self, now: Now, ledger: &Ledger, agents: &[MinionId]) {
        let settings = self.settings;
        let mut due = Vec::new();
        let mut late = Vec::new();
        for id in agents {
            let Some(agent) = self.agents.get_mut(id) else {
                continue;
            };
            let well = agent.failing_since.is_none();
            let mut tasks = Vec::new();
            for (task, slot) in &agent.slots {
                if slot.phase != Phase::Due {
                    continue;
                }
                if now >= slot.last_try(&settings) {
                    late.push((id.clone(), *task));
                } else if well && now >= slot.next_try() {
                    tasks.push((*task, slot.attempt, slot.deadline(&settings)));
                }
            }
            for (task, attempt, deadline) in tasks {
                let Some(until) = agent.grant_start(now, settings.lease, deadline) else {
                    break;
                };
                due.push((id.clone(), agent.target(), task, attempt, until));
            }
        }
        for (id, task) in late {
            self.withdraw_start(now, &id, task);
        }
        for (id, to, task, attempt, until) in due {
            let Some((payload, checkpoint)) = content(ledger, task) else {
                continue;
            };
            let grant = self.eligible.grant(now, task.step, &id);
            let start = StartOrder {
                grant,
                to,
                task,
                attempt,
                payload,
                until,
                checkpoint,
            };
            let about = About::Start(id.clone(), task);
            let order = self.order(now, about, OrderKind::Start(Box::new(start)));
            let pool = self.agents.get(&id).map(|agent| &agent.record.pool);
            let gap = pool.map_or(GAP, |pool| self.renewal_pause(pool));
            let Some(agent) = self.agents.get_mut(&id) else {
                continue;
            };
            // It may have been looked at just before, while it ran nothing. What the start grants may
            // be over before a renewal that gets no answer is repeated, so that one goes out at once
            // while there is time.
            let soon = agent.needs_renewal(now, settings.lease);
            let gap = if soon { gap.saturating_sub(GAP) } else { gap };
            agent.renewal_due = agent.renewal_due.min(now + gap);
            let leaving = agent.record.leaving;
            if let Some(slot) = agent.slots.get_mut(&task) {
                let delay = now.saturating_sub(slot.placed_at);
                let tries = slot.tries;
                if delay > PROMPT || tries > 0 || leaving {
                    log::info!(agent:% = id, task:%, attempt, order, delay:?, tries, leaving; "a start is sent late");
                }
                self.delays.push(delay);
                slot.tries += 1;
                slot.set_phase(now, Phase::Starting(order));
            }
        }
    }

    /// Gives up a start that can't begin in time any more.
    fn withdraw_start(&mut self, now: Now, id: &MinionId, task: TaskId) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        let leaving = agent.record.leaving;
        let Some(slot) = agent.slots.get_mut(&task) else {
            return;
        };
        let (attempt, tries) = (slot.attempt, slot.tries);
        log::info!(agent:% = id, task:%, attempt, tries, leaving; "a start is withdrawn, as it can't begin in time");
        if slot.unanswered.is_some() {
            slot.tries = 0;
            slot.set_phase(now, Phase::Stopping(None));
            return;
        }
        slot.set_phase(now, Phase::Ended);
        self.freed.push(Placed {
            task,
            attempt,
            agent: id.clone(),
        });
    }

    /// Sends the stops that are due at some agents.
    pub(super) fn send_stops(&mut self, now: Now, agents: &[MinionId]) {
        let mut due = Vec::new();
        for id in agents {
            let Some(agent) = self.agents.get(id) else {
                continue;
            };
            for (task, slot) in &agent.slots {
                if slot.phase == Phase::Stopping(None) && now >= slot.next_try() {
                    due.push((id.clone(), agent.target(), *task, slot.attempt));
                }
            }
        }
        for (id, to, task, attempt) in due {
            let about = About::Stop(id.clone(), task);
            let what = OrderKind::Stop { to, task, attempt };
            let order = self.order(now, about, what);
            if let Some(slot) = self.slot(&id, task) {
                slot.tries += 1;
                slot.set_phase(now, Phase::Stopping(Some(order)));
            }
        }
    }
}

/// What an agent is told to run, and from where.
fn content(ledger: &Ledger, task: TaskId) -> Option<(Name, Option<Name>)> {
    let job = ledger.job(task.step.job)?;
    let spec = job.spec.steps.get(usize::from(task.step.step))?;
    let step = job.step(task.step)?;
    // A checkpoint of any member is one of the whole gang, and all must go on from the same one.
    let checkpoint = if spec.gang {
        step.tasks.iter().find_map(|task| task.checkpoint.clone())
    } else {
        job.task(task)?.checkpoint.clone()
    };
    Some((job.spec.payload.clone(), checkpoint))
}

/// How many attempts of a task were decided.
pub(super) fn attempts(ledger: &Ledger, task: TaskId) -> u32 {
    let job = ledger.job(task.step.job);
    let task = job.and_then(|job| job.task(task));
    task.map_or(0, |task| task.attempt)
}
