//! Decides what is started at which agent, and sends the starts and stops.
//!
//! Each round, the waiting steps of each pool are visited in their order, and their tasks are
//! placed at agents that may get new work and have the room, within the caps of their workspaces. A
//! start is sent only once the round that placed it is committed, and not after its deadline.

use std::{collections::BTreeMap, time::Duration};

use super::{
    About, Agent, Ledger, MAX_STEP_STARTS, MinionId, Name, Now, OrderKind, Phase, Placement,
    PoolId, RENEWAL_GAP, Round, Scheduler, Slot, StartOrder, StepId, StepSpec, TaskId, Wall,
    place::{self, AgentRanking},
    poison_queues::SharingLimits,
    ready::Served,
    search::KnownRoom,
};
use crate::core::workload::job::JobState;

/// A start that is sent later than this after its decision is logged. A commit and a plan take a
/// tenth of this time.
const LATE_START_DELAY: Duration = Duration::from_millis(500);

/// The least part of what is left of a round that late tasks get beside those that can still be in
/// time. Where these fill each round, late tasks wait until they no longer do.
const MIN_LATE_PART: f64 = 0.125;

/// Which waiting tasks of a pool are started in a round.
struct PoolFilling {
    pool: PoolId,
    served: Served,
    /// Which jobs may run beside each other.
    apart: SharingLimits,
    /// What agents have free, once a task has found none.
    open: Option<KnownRoom>,
    /// The most starts that the round may have.
    most: usize,
}

impl Scheduler {
    /// What one round commits: ended and abandoned attempts, and starts of ready tasks.
    pub(super) fn build_round(&mut self, now: Now, wall: Wall, ledger: &Ledger) -> Round {
        let ends: Vec<_> = std::mem::take(&mut self.ends).into_values().collect();
        self.end_exclusions(now);
        self.judge_ends(now, ledger, &ends);
        let failed = self.failed_jobs(ledger, &ends);
        let cleared = self.clear_suspects(now, ledger);
        self.release_probes(now);
        let mut round = Round {
            ends,
            freed: std::mem::take(&mut self.abandoned),
            failed,
            starts: Vec::new(),
            intent: self.next_intent(now),
            poison_tasks: self.suspects.take_poison_tasks(),
            cleared,
            not_started: std::mem::take(&mut self.not_started),
            at: wall,
        };
        self.ready.demote_late(now);
        self.update_shares(now);
        self.agents.update_indexes();
        self.fill_pools_in_turn(now, ledger, &mut round.starts);
        round.failed.append(&mut self.failed_gangs);
        round
    }

    /// Starts ready tasks of all pools while there is room in the round: first those that can still be
    /// in time, whichever pool they are of, and then late ones.
    ///
    /// A pool with a large backlog can fill one round after the other. So the pool that filled a
    /// round is the last to be visited in the next one.
    fn fill_pools_in_turn(&mut self, now: Now, ledger: &Ledger, starts: &mut Vec<Placement>) {
        let mut pools = self.ready.pools();
        let next = pools.partition_point(|pool| Some(pool) <= self.last_filled.as_ref());
        pools.rotate_left(next);
        let mut fillings: Vec<_> = pools
            .into_iter()
            .map(|pool| PoolFilling {
                served: Served::Timely,
                apart: self.sharing_limits(ledger, &pool),
                open: None,
                most: self.settings.round_starts,
                pool,
            })
            .collect();
        for filling in &mut fillings {
            self.start_on_probes(now, ledger, &filling.pool, starts);
            self.fill_pool(now, ledger, filling, starts);
        }
        let most = self.late_limit(starts.len());
        for filling in &mut fillings {
            if self.ready.has_late(&filling.pool) {
                (filling.served, filling.most) = (Served::Late, most);
                self.fill_pool(now, ledger, filling, starts);
            }
        }
    }

    /// How many starts a round may have with late ones, given those that can still be in time.
    ///
    /// All that a start costs a full leader, until its end is committed, is missing for the next ones
    /// that could be in time. So as long as there are such, late ones get a small part of what is
    /// left.
    fn late_limit(&self, timely: usize) -> usize {
        let most = self.settings.round_starts;
        if timely == 0 {
            return most;
        }
        let left = most.saturating_sub(timely) as f64;
        let part = 1.0 - (1.0 - MIN_LATE_PART) * self.pressure.level();
        timely + (left * part).ceil() as usize
    }

    /// Starts waiting tasks of a pool while its agents have room.
    fn fill_pool(
        &mut self,
        now: Now,
        ledger: &Ledger,
        filling: &mut PoolFilling,
        starts: &mut Vec<Placement>,
    ) {
        let before = starts.len();
        self.start_waiting(now, ledger, filling, starts);
        let count = starts.len() - before;
        let total = self.hosts.starts.entry(filling.pool.clone()).or_default();
        *total += count;
        self.starts.count += count;
        if count > 0 && starts.len() >= filling.most {
            self.last_filled = Some(filling.pool.clone());
        }
    }

    /// Starts waiting tasks of a pool, in the order of their steps.
    fn start_waiting(
        &mut self,
        now: Now,
        ledger: &Ledger,
        filling: &mut PoolFilling,
        starts: &mut Vec<Placement>,
    ) {
        let PoolFilling {
            pool,
            served,
            apart,
            open,
            most,
        } = filling;
        let mut search = self.start_search(pool, *served, apart.is_none(), open);
        while starts.len() < *most {
            let Some(rank) = self.next_step(pool, &mut search) else {
                return;
            };
            let Some(ready) = self.ready.get(rank.step()) else {
                continue;
            };
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
            let tasks = ready.free.iter().map(|task| TaskId { step, task });
            // Tasks under which hosts were lost were started above, or wait.
            let tasks = tasks.filter(|task| {
                self.suspects.get(*task).is_none()
                    && self
                        .suspects
                        .suspect_unit(*task, spec.long_running)
                        .is_none()
            });
            let mut room = self.record_room(ledger, starts.len());
            let tasks = tasks.filter(|task| {
                let fits = room > 0 || decided_attempts(ledger, *task) > 0;
                room = room.saturating_sub(1);
                fits
            });
            let tasks: Vec<_> = tasks.take(MAX_STEP_STARTS).collect();
            if tasks.is_empty() || !self.cap_allows(ledger, step, &spec, 1) {
                self.ask_eligible(now, pool, step, &spec);
                continue;
            }
            let found = ledger.job(job);
            if found.is_some_and(|job| job.state == JobState::Queued && apart.is_full(job)) {
                continue;
            }
            let able = |agent: &&Agent| {
                self.may_get_work(now, agent)
                    && (!asked || self.is_eligible(now, step, agent))
                    && (spec.long_running || self.may_share(ledger, apart, agent, job))
            };
            let room = spec.reservation();
            let order = self.search_order(pool, job, &spec);
            let mut choice = AgentRanking::new(tasks.len());
            for centre in &order {
                let centre = centre.as_ref();
                let busy = self.agents.busy_with_room(pool, centre, room).filter(able);
                let idle = self.agents.idle(pool, centre, room).filter(able);
                choice.add_domain(now, busy, idle, &spec, step);
                if choice.is_settled() {
                    break;
                }
            }
            for task in tasks {
                if !self.cap_allows(ledger, step, &spec, 1) {
                    break;
                }
                let Some(agent) = choice.take() else {
                    self.note_full(now, pool, &mut search, starts.len());
                    if let Some(job) = found {
                        apart.record_full(job);
                    }
                    break;
                };
                let placed = Placement {
                    task,
                    attempt: decided_attempts(ledger, task) + 1,
                    agent: agent.clone(),
                };
                self.propose(now, ledger, &spec, placed, starts);
                self.record_home(job, &order, &agent);
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
        starts: &mut Vec<Placement>,
    ) {
        let Some(ready) = self.ready.get(step) else {
            return;
        };
        // All members of a gang have the same attempt number, so no earlier attempt of any member
        // may be left.
        if ready.free.len() != u64::from(spec.tasks) {
            return;
        }
        if self.is_gang_exhausted(ledger, step) {
            self.failed_gangs.push(step.job);
            return;
        }
        if !self.cap_allows(ledger, step, spec, spec.tasks) {
            return;
        }
        let first = TaskId { step, task: 0 };
        let room = self.record_room(ledger, starts.len());
        if room < u64::from(spec.tasks) && decided_attempts(ledger, first) == 0 {
            return;
        }
        let pool = ready.pool.clone();
        let seats = self.gang_seats(now, &pool, step, spec, false).or_else(|| {
            let is_placeable =
                |scheduler: &Self| scheduler.gang_seats(now, &pool, step, spec, true).is_some();
            let overrides = self.overrides_exclusions(now, &pool, step, is_placeable);
            overrides.then(|| self.gang_seats(now, &pool, step, spec, true))?
        });
        let Some(seats) = seats else {
            return;
        };
        self.exclusions.forget_gang(step);
        let unit = self.suspects.suspect_unit(first, spec.long_running);
        let tasks = (0..spec.tasks).map(|task| TaskId { step, task });
        let last = tasks
            .clone()
            .map(|task| decided_attempts(ledger, task))
            .max();
        let attempt = last.unwrap_or_default() + 1;
        for (task, agent) in tasks.zip(seats) {
            if let Some(unit) = unit {
                self.probes.insert(agent.clone(), unit);
            }
            let placed = Placement {
                task,
                attempt,
                agent,
            };
            self.propose(now, ledger, spec, placed, starts);
        }
    }

    /// The agents for all members of a gang, excluded ones among them if `with_excluded` is set; `None` if they have
    /// no room. Those where its job has just failed are the last choice.
    fn gang_seats(
        &self,
        now: Now,
        pool: &PoolId,
        step: StepId,
        spec: &StepSpec,
        with_excluded: bool,
    ) -> Option<Vec<MinionId>> {
        let first = TaskId { step, task: 0 };
        let suspected = self
            .suspects
            .suspect_unit(first, spec.long_running)
            .is_some();
        let able = self.agents.with_room(pool, spec.reservation().millicores);
        let able = able.filter(|agent| {
            let open = with_excluded || agent.excluded_until <= now;
            open && self.accepts_work(now, agent)
                && !self.probes.contains(&agent.record.id)
                && self.is_eligible(now, step, agent)
                // The members of a gang run together, so a suspected gang has its hosts to itself.
                && (!suspected || agent.slots.is_empty())
        });
        let able: BTreeMap<_, _> = able.map(|a| (a.record.id.clone(), a)).collect();
        let untried = able.iter().map(|(id, agent)| (id.clone(), *agent));
        let untried = untried.filter(|(_, agent)| !agent.failures.contains(now, step.job));
        let untried: BTreeMap<_, _> = untried.collect();
        let seats = place::choose_gang(&untried, spec, step);
        // Nearly always the job hasn't failed, and there is no other choice.
        let has_tried = untried.len() < able.len();
        seats.or_else(|| has_tried.then(|| place::choose_gang(&able, spec, step))?)
    }

    pub(super) fn propose(
        &mut self,
        now: Now,
        ledger: &Ledger,
        spec: &StepSpec,
        placed: Placement,
        starts: &mut Vec<Placement>,
    ) {
        let task = placed.task;
        self.reserve(ledger, task, spec);
        let late = self.ready.is_late(task.step);
        self.count_placed(ledger, task, placed.attempt, spec);
        self.ready.take(task.step, task.task);
        self.occurrences.stir(task.step.job);
        if let Some(agent) = self.agents.get_mut(&placed.agent) {
            self.agent_ages.push(now.saturating_sub(agent.last_seen));
            let mut slot = Slot::new(spec, placed.attempt, Phase::Proposed, now);
            slot.has_evidence = self.suspects.get(task).is_some();
            slot.on_probe = self.probes.contains(&placed.agent);
            slot.late = late;
            agent.add(task, slot);
            self.agents.reindex(&placed.agent);
        }
        starts.push(placed);
    }

    /// How many tasks that were never placed may be started besides those of this round.
    fn record_room(&self, ledger: &Ledger, starts: usize) -> u64 {
        // The starts of open rounds aren't in the ledger yet.
        let proposed = self.open_rounds * MAX_STEP_STARTS + starts;
        let proposed = u64::try_from(proposed).unwrap_or(u64::MAX);
        let held = ledger.footprint().tasks.saturating_add(proposed);
        self.settings.max_tasks.saturating_sub(held)
    }

    /// The agents of a pool that may get new work and have at least `least` thousandths of a core
    /// free.
    pub(super) fn agents_accepting_work(
        &self,
        now: Now,
        pool: &PoolId,
        least: u64,
    ) -> impl Iterator<Item = &Agent> {
        let agents = self.agents.with_room(pool, least);
        agents.filter(move |agent| self.may_get_work(now, agent))
    }

    /// Whether an agent may get new work and isn't a probe.
    pub(super) fn may_get_work(&self, now: Now, agent: &Agent) -> bool {
        self.can_accept_work(now, agent) && !self.probes.contains(&agent.record.id)
    }

    /// Whether an agent may get new work.
    pub(super) fn can_accept_work(&self, now: Now, agent: &Agent) -> bool {
        agent.excluded_until <= now && self.accepts_work(now, agent)
    }

    /// Whether an agent may get new work if it isn't excluded.
    fn accepts_work(&self, now: Now, agent: &Agent) -> bool {
        !agent.record.leaving
            && !agent.unconfirmed
            && !agent.cordoned
            && agent.failing_since.is_none()
            && !self.agents.centres().is_cut(&agent.record.data_centre)
            && !self.has_unsettled_predecessor(agent)
            && now < agent.last_seen + self.settings.max_silence
    }

    /// Whether an agent may still run what was ordered of an earlier incarnation.
    fn has_unsettled_predecessor(&self, agent: &Agent) -> bool {
        // This is checked for each agent of a pool, and there is hardly ever a replaced
        // incarnation.
        if self.replaced.is_empty() {
            return false;
        }
        let mut same = self.agents.incarnations(agent.record.name());
        same.any(|other| self.replaced.contains(&other.record.id))
    }

    /// Sends the starts that are due at these agents, and withdraws those that can no longer begin
    /// in time.
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
            let Some((payload, checkpoint)) = start_content(ledger, task) else {
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
            let order = self.send_order(now, about, OrderKind::Start(Box::new(start)));
            let pool = self.agents.get(&id).map(|agent| &agent.record.pool);
            let gap = pool.map_or(RENEWAL_GAP, |pool| self.renewal_pause(pool));
            let Some(agent) = self.agents.get_mut(&id) else {
                continue;
            };
            // The agent may have been polled just before, while it ran nothing. The lease that the
            // start grants may expire before a renewal that gets no answer is repeated. So a
            // renewal is sent at once while there is time.
            let soon = agent.needs_renewal(now, settings.lease);
            let gap = if soon {
                gap.saturating_sub(RENEWAL_GAP)
            } else {
                gap
            };
            agent.renewal_due = agent.renewal_due.min(now + gap);
            let leaving = agent.record.leaving;
            if let Some(slot) = agent.slots.get_mut(&task) {
                let delay = now.saturating_sub(slot.placed_at);
                let tries = slot.tries;
                if delay > LATE_START_DELAY || tries > 0 || leaving {
                    log::info!(agent:% = id, task:%, attempt, order, delay:?, tries, leaving; "a start is sent late");
                }
                self.start_delays.push(delay);
                slot.tries += 1;
                slot.set_phase(now, Phase::Starting(order));
            }
        }
    }

    /// Withdraws a start that can no longer begin in time.
    fn withdraw_start(&mut self, now: Now, id: &MinionId, task: TaskId) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        let leaving = agent.record.leaving;
        let Some(slot) = agent.slots.get_mut(&task) else {
            return;
        };
        let (attempt, tries) = (slot.attempt, slot.tries);
        log::info!(agent:% = id, task:%, attempt, tries, leaving; "a start is withdrawn because it can no longer begin in time");
        if slot.unanswered.is_some() {
            slot.tries = 0;
            slot.set_phase(now, Phase::Stopping(None));
            return;
        }
        slot.set_phase(now, Phase::Ended);
        self.abandoned.push(Placement {
            task,
            attempt,
            agent: id.clone(),
        });
    }

    /// Sends the stops that are due at these agents.
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
            let order = self.send_order(now, about, what);
            if let Some(slot) = self.slot(&id, task) {
                slot.tries += 1;
                slot.set_phase(now, Phase::Stopping(Some(order)));
            }
        }
    }
}

/// The payload that an agent is told to run, and the checkpoint from which it continues.
fn start_content(ledger: &Ledger, task: TaskId) -> Option<(Name, Option<Name>)> {
    let job = ledger.job(task.step.job)?;
    let spec = job.spec.steps.get(usize::from(task.step.step))?;
    let step = job.step(task.step)?;
    // A checkpoint of any member is one of the whole gang, and all members must continue from the
    // same one.
    let checkpoint = if spec.gang {
        step.records().find_map(|(_, task)| task.checkpoint.clone())
    } else {
        job.task(task)?.checkpoint.clone()
    };
    Some((job.spec.payload.clone(), checkpoint))
}

/// The number of attempts of a task that were decided so far.
pub(super) fn decided_attempts(ledger: &Ledger, task: TaskId) -> u32 {
    let job = ledger.job(task.step.job);
    let task = job.and_then(|job| job.task(task));
    task.map_or(0, |task| task.attempt)
}
