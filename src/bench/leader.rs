//! What a start, a renewal and an end cost the leader of a large fleet that can't keep up.
//!
//! The fleet has one pool. More steps wait than the leader starts, so that each round is full while
//! many hosts run nothing. Time is logical; what is measured is the processor time that the
//! scheduler and the ledger take, without messages and disks.

use std::{
    collections::{BTreeMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::Serialize;

use crate::core::{
    consensus::Room,
    types::{HostId, Map, MinionId, Name, Now, Resources, Wall},
    workload::{
        catalog::{Catalog, PoolSpec, QueueSpec},
        command::{AgentRecord, Command, Ending, Submission},
        job::TaskId,
        ledger::Ledger,
        scheduler::{
            Answer, Ended, HostState, HostView, Order, OrderId, OrderKind, Report, Running,
            Scheduler, Settings,
        },
        spec::{JobSpec, StepSpec},
    },
};

/// Logical time between two plans.
const TURN: Duration = Duration::from_millis(16);
/// Turns until the fleet runs as many tasks as the leader can start.
const WARM_UP: u32 = 100;
/// Turns that are measured.
const TURNS: u32 = 200;
/// Steps that wait in each turn.
const BACKLOG: usize = 2_000;
/// Tasks of a step.
const TASKS: u32 = 13;
/// How long a task takes.
const ESTIMATE: Duration = Duration::from_millis(800);
/// What a task needs.
const NEED: Resources = Resources {
    millicores: 4_500,
    memory: 4 << 30,
    accelerators: 0,
};
/// What an agent has.
const CAPACITY: Resources = Resources {
    millicores: 32_000,
    memory: 128 << 30,
    accelerators: 0,
};
const POOL: &str = "pool";
const QUEUE: &str = "queue";
/// Commands that fit in the log.
const ROOM: Room = Room {
    now: 1_000,
    most: 1_000,
};

/// Microseconds of the leader's thread for one unit of work, in the median turn.
#[derive(Debug)]
#[derive(Serialize)]
pub struct LeaderCost {
    /// Agents of the fleet.
    pub agents: usize,
    /// Starts that were measured.
    pub starts: usize,
    /// Agents that run nothing, at the end.
    pub idle: usize,
    /// To plan a turn, for each start in it.
    pub plan: f64,
    /// To plan a turn, on average over all turns: some check the needs of the pools, others don't.
    pub turn: f64,
    /// Agents and steps that were visited for each start.
    pub visits: f64,
    /// A digest of all decisions, which depends on nothing but the code.
    pub digest: String,
    /// To take in the answer to a start.
    pub start_answer: f64,
    /// To take in the answer to a renewal.
    pub renewal_answer: f64,
    /// To apply a round to the ledger, for each start in it.
    pub apply: f64,
    /// To take the changes of a round into the scheduler, for each start in it.
    pub change: f64,
    /// To take in a heartbeat.
    pub heartbeat: f64,
    /// Ends for each renewal.
    pub ends: f64,
}

/// Measures a fleet of so many agents, so often.
pub fn report(agents: usize, runs: u32) -> Vec<LeaderCost> {
    (0..runs).map(|_| LeaderCost::measure(agents)).collect()
}

impl LeaderCost {
    /// Measures a fleet of so many agents.
    pub fn measure(agents: usize) -> Self {
        let mut leader = Leader::new(agents);
        for _ in 0..WARM_UP {
            leader.turn();
        }
        leader.samples = Samples::default();
        for _ in 0..TURNS {
            leader.turn();
        }
        leader.report()
    }
}

/// Nanoseconds for each unit, by turn.
#[derive(Default)]
struct Samples {
    plan: Vec<f64>,
    start_answer: Vec<f64>,
    renewal_answer: Vec<f64>,
    apply: Vec<f64>,
    change: Vec<f64>,
    heartbeat: Vec<f64>,
    turns: f64,
    visits: usize,
    starts: usize,
    renewals: usize,
    ends: usize,
}

/// What an agent runs, and the renewal that waits there.
#[derive(Default)]
struct Worker {
    running: BTreeMap<(TaskId, u32), Now>,
    ended: VecDeque<Ended>,
    number: u64,
    renewal: Option<OrderId>,
}

/// A leader with its fleet.
struct Leader {
    now: Now,
    index: u64,
    turns: usize,
    next_job: u64,
    ledger: Ledger,
    scheduler: Scheduler,
    records: Vec<AgentRecord>,
    views: Vec<HostView>,
    workers: Map<MinionId, Worker>,
    digest: DefaultHasher,
    samples: Samples,
}

impl Leader {
    fn new(agents: usize) -> Self {
        let records: Vec<_> = (0..agents).map(record).collect();
        let view = |record: &AgentRecord| HostView {
            host: HostId::from(record.name().as_ref()),
            pool: POOL.into(),
            state: HostState::Up,
            data_centre: record.data_centre.clone(),
            agent: Some(record.name().clone()),
        };
        let views = records.iter().map(view).collect();
        let workers = records.iter().map(|r| (r.id.clone(), Worker::default()));
        let workers = workers.collect();
        let ledger = Ledger::default();
        let now = Duration::from_secs(10);
        let catalog = Arc::new(catalog());
        let settings = Settings::default();
        let scheduler = Scheduler::new(now, now, 1, settings, catalog, &ledger);
        let mut leader = Self {
            now,
            index: 0,
            turns: 0,
            next_job: 1,
            ledger,
            scheduler,
            records,
            views,
            workers,
            digest: DefaultHasher::new(),
            samples: Samples::default(),
        };
        for record in leader.records.clone() {
            leader.commit(&Command::Agent(Box::new(record)));
        }
        leader
    }

    fn wall(&self) -> Wall {
        self.now
    }

    fn commit(&mut self, command: &Command) -> (Duration, Duration) {
        self.index += 1;
        let (applied, changes) = time(|| self.ledger.apply(self.index, command));
        let (now, wall) = (self.now, self.wall());
        let (changed, ()) = time(|| {
            self.scheduler
                .apply(now, wall, &self.ledger, command, &changes);
        });
        (applied, changed)
    }

    fn submit_backlog(&mut self) {
        while self.scheduler.waiting() < BACKLOG * TASKS as usize {
            let mut step = StepSpec::new(TASKS, ESTIMATE);
            step.need = NEED;
            let submission = Submission {
                job: self.next_job.wrapping_mul(0x9E37_79B9_7F4A_7C15),
                queue: QUEUE.into(),
                pool: POOL.into(),
                workspace: None,
                terms: None,
                spec: JobSpec::new("payload", vec![step]),
                accepted_at: self.wall(),
            };
            self.next_job += 1;
            self.commit(&Command::Submit(Box::new(submission)));
        }
    }

    /// Heartbeats of a part of the agents, then a plan, its commit, and the answers to its orders.
    fn turn(&mut self) {
        self.now += TURN;
        self.turns += 1;
        self.submit_backlog();
        self.heartbeats();
        self.end_tasks();
        let (now, wall) = (self.now, self.wall());
        let (planned, plan) = time(|| self.scheduler.plan(now, wall, &self.ledger, ROOM));
        let rounds = plan.commands.iter().filter_map(|command| match command {
            Command::Round(round) => Some(round.starts.len()),
            _ => None,
        });
        let starts: usize = rounds.sum();
        self.samples.starts += starts;
        let whole = planned.as_nanos() as f64;
        self.samples.turns += whole;
        self.samples.visits += plan.visits.total();
        self.samples.plan.push(whole / starts.max(1) as f64);
        for order in &plan.orders {
            format!("{order:?}").hash(&mut self.digest);
        }
        for command in &plan.commands {
            command.encode().hash(&mut self.digest);
            let (applied, changed) = self.commit(command);
            if matches!(command, Command::Round(_)) && starts > 0 {
                let each = |time: Duration| time.as_nanos() as f64 / starts as f64;
                self.samples.apply.push(each(applied));
                self.samples.change.push(each(changed));
            }
        }
        self.carry_out(plan.orders);
    }

    fn heartbeats(&mut self) {
        let size = self.records.len();
        let few = size / 40;
        let begun = Instant::now();
        for at in 0..few {
            let record = &self.records[(self.turns * few + at) % size];
            let news = self
                .scheduler
                .heartbeat(self.now, &self.ledger, record, self.now);
            assert!(news.is_none(), "nothing has changed");
        }
        let each = begun.elapsed().as_nanos() as f64 / few.max(1) as f64;
        self.samples.heartbeat.push(each);
    }

    /// Ends the tasks whose time has come, and answers the renewals of their agents.
    fn end_tasks(&mut self) {
        let mut answers = Vec::new();
        for record in &self.records {
            let Some(worker) = self.workers.get_mut(&record.id) else {
                continue;
            };
            let before = worker.ended.len();
            worker.end_due(self.now);
            if worker.ended.len() > before
                && let Some(order) = worker.renewal.take()
            {
                self.samples.ends += worker.ended.len();
                answers.push((order, Answer::Report(worker.report(self.now))));
            }
        }
        self.samples.renewals += answers.len();
        let each = self.answer(answers);
        self.samples.renewal_answer.extend(each);
    }

    fn answer(&mut self, answers: Vec<(OrderId, Answer)>) -> Option<f64> {
        let count = answers.len();
        let begun = Instant::now();
        for (order, answer) in answers {
            self.scheduler.answered(self.now, order, answer);
        }
        (count > 0).then(|| begun.elapsed().as_nanos() as f64 / count as f64)
    }

    fn carry_out(&mut self, orders: Vec<Order>) {
        let mut started = Vec::new();
        let mut renewed = Vec::new();
        for Order { id, kind, .. } in orders {
            match kind {
                OrderKind::Start(start) => {
                    if let Some(worker) = self.workers.get_mut(&start.to.agent) {
                        let key = (start.task, start.attempt);
                        worker.running.insert(key, self.now + ESTIMATE);
                    }
                    started.push((id, Answer::Done { clock: self.now }));
                }
                OrderKind::Renew {
                    to, acked, wait, ..
                } => {
                    let Some(worker) = self.workers.get_mut(&to.agent) else {
                        continue;
                    };
                    worker.ended.retain(|ended| ended.number > acked);
                    if wait > Duration::ZERO && worker.ended.is_empty() {
                        worker.renewal = Some(id);
                    } else {
                        self.samples.renewals += 1;
                        renewed.push((id, Answer::Report(worker.report(self.now))));
                    }
                }
                OrderKind::Hosts => {
                    let views = self.views.clone();
                    self.scheduler.answered(self.now, id, Answer::Hosts(views));
                }
                _ => self.scheduler.answered(self.now, id, Answer::Silent),
            }
        }
        let each = self.answer(started);
        self.samples.start_answer.extend(each);
        let each = self.answer(renewed);
        self.samples.renewal_answer.extend(each);
    }

    fn report(self) -> LeaderCost {
        let Samples {
            plan,
            turns,
            visits,
            start_answer,
            renewal_answer,
            apply,
            change,
            heartbeat,
            starts,
            renewals,
            ends,
        } = self.samples;
        let workers = self.workers.values();
        let idle = workers.filter(|worker| worker.running.is_empty()).count();
        LeaderCost {
            agents: self.records.len(),
            starts,
            idle,
            plan: median(plan),
            turn: turns / f64::from(TURNS) / 1000.0,
            visits: visits as f64 / starts.max(1) as f64,
            digest: format!("{:016x}", self.digest.finish()),
            start_answer: median(start_answer),
            renewal_answer: median(renewal_answer),
            apply: median(apply),
            change: median(change),
            heartbeat: median(heartbeat),
            ends: ends as f64 / renewals.max(1) as f64,
        }
    }
}

impl Worker {
    fn end_due(&mut self, now: Now) {
        let due = self.running.iter().filter(|(_, end)| **end <= now);
        let due: Vec<_> = due.map(|(key, _)| *key).collect();
        for (task, attempt) in due {
            self.running.remove(&(task, attempt));
            self.number += 1;
            self.ended.push_back(Ended {
                number: self.number,
                task,
                attempt,
                how: Ending::Done,
                checkpoint: None,
            });
        }
    }

    fn report(&self, now: Now) -> Report {
        let running = self.running.keys().map(|(task, attempt)| Running {
            task: *task,
            attempt: *attempt,
            checkpoint: None,
            percent: 0,
            measure: Some(0.0),
        });
        Report {
            clock: now,
            running: running.collect(),
            ended: self.ended.iter().cloned().collect(),
            ends_complete: true,
        }
    }
}

fn time<T>(run: impl FnOnce() -> T) -> (Duration, T) {
    let start = Instant::now();
    let result = run();
    (start.elapsed(), result)
}

/// The median in microseconds of values in nanoseconds.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default() / 1000.0
}

fn record(number: usize) -> AgentRecord {
    let name: Name = format!("worker-{number:05}").into();
    AgentRecord {
        id: format!("{name}/1").into(),
        name,
        pool: POOL.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 20_000 + (number % 40_000) as u16)),
        data_centre: format!("dc-{}", number % 6).into(),
        labels: vec![format!("rack-{}", number / 8).into()],
        capacity: CAPACITY,
        leaving: false,
        acked: 0,
        sequence: 1,
    }
}

fn catalog() -> Catalog {
    let queue = QueueSpec {
        name: QUEUE.into(),
        host: "host".into(),
        prefix: "/".into(),
        pool: POOL.into(),
        stretch: 3.0,
        max_attempts: 3,
        ..QueueSpec::default()
    };
    let pool = PoolSpec {
        name: POOL.into(),
        ..PoolSpec::default()
    };
    Catalog::new(1, vec![queue], vec![pool])
}
