//! A small deployment on loopback addresses: the project's processes, and stand-ins of minions, of
//! the provider of machines, of the operator and of requesters.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::{self, File},
    io::Write as _,
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::base::{Json, Kept, Message, Process, call, call_control, serve, wait_for};

/// Bounds of the site ewedu-lagos, which stand in the settings.
pub const MAX_HOLD_MS: u64 = 10_000;
pub const GANG_TIMEOUT_MS: u64 = 3_000;
pub const HEARTBEAT_MS: u64 = 1_500;
/// What a queue says of the service that advises on it; the last is the example of `fleetbench wire`.
const DECISION_MS: u64 = 20;
const PER_WORKER_MS: u64 = 3;
const VALID_MS: u64 = 3_000;
const SLOWDOWN: u64 = 3;
const STOP_TAKES_MS: u64 = 60;
const MOVE_MS: u64 = 1_500;
const UPKEEP_MS: u64 = 2_000;

/// How a minion that is down shows itself.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Down {
    /// Its port resets channels.
    Crash,
    /// It answers nothing.
    Dark,
}

/// What a step of a job is, as far as minions and checks have to know.
#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: u32,
    pub work_ms: u64,
    pub gang: bool,
    pub long: bool,
    pub after: Vec<usize>,
    pub per_server: u32,
    pub label: String,
    pub data_rack: String,
    pub speculative: bool,
    pub checkpoints: bool,
    pub cpu: u64,
    pub may_miss: u32,
    pub same_rack: bool,
    /// The first so many runs of each subtask fail.
    pub fails: u32,
}

/// A job as a requester submits it.
#[derive(Clone, Debug, Default)]
pub struct Job {
    pub id: String,
    pub queue: usize,
    pub spec: String,
    pub steps: Vec<Step>,
    pub repeat: u32,
    pub start_at_ms: u64,
    pub interval_ms: u64,
    pub tries: u32,
    pub refused: u32,
    pub accepted: Option<u64>,
    pub cancelled: Option<u64>,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub run: u64,
    pub began: u64,
    /// When it began to work: at once, or when its gang was complete.
    pub works_since: Option<u64>,
    pub ends_at: Option<u64>,
    pub stops_at: Option<u64>,
    /// Whether it ends `failed`.
    pub fails: bool,
    pub saved: String,
}

#[derive(Clone, Debug)]
pub struct End {
    pub number: u64,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    pub saved: String,
    /// Whether the lease lapsed after it.
    pub lapsed: bool,
}

/// A machine and the minion that lives on it now.
#[derive(Default)]
pub struct Minion {
    pub machine: String,
    pub id: String,
    pub pool: String,
    pub zone: String,
    pub rack: String,
    pub kind: String,
    pub address: Option<SocketAddr>,
    pub down: Option<Down>,
    pub lives: u32,
    pub state: &'static str,
    /// When it is back, in ms of the world.
    pub back_at: Option<u64>,
    pub born: u64,
    pub token: u64,
    pub until: u64,
    pub running: BTreeMap<String, Run>,
    pub ended: Vec<End>,
    pub last_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    pub past: BTreeMap<String, u64>,
    pub sequence: u64,
    pub cut: bool,
    pub upkept: BTreeSet<u64>,
    kept: Vec<Kept>,
}

impl Minion {
    fn clock(&self, now: u64) -> u64 {
        now - self.born + 1_000
    }
    fn end(&mut self, task: &str, how: &'static str) -> Option<Run> {
        let run = self.running.remove(task)?;
        self.last_end += 1;
        let past = self.past.entry(task.to_owned()).or_default();
        *past = run.run.max(*past);
        self.ended.push(End {
            number: self.last_end,
            task: task.to_owned(),
            run: run.run,
            how,
            saved: run.saved.clone(),
            lapsed: false,
        });
        Some(run)
    }
}

/// All that the stand-ins know.
pub struct Sim {
    pub minions: Vec<Minion>,
    pub jobs: BTreeMap<String, Job>,
    record: File,
    pub broken: Vec<String>,
    /// Ends `done` that were taken note of, by task.
    pub done_noted: BTreeMap<String, u64>,
    /// All ends `done`, by task.
    pub done: BTreeMap<String, u64>,
    /// Ends `failed` that were taken note of, by task.
    pub failed_noted: BTreeMap<String, u32>,
    pub starts: BTreeMap<String, u32>,
    pub holders: BTreeMap<String, u64>,
    pub waves: BTreeMap<u64, (Vec<String>, u64)>,
    pub queues: Vec<Queue>,
    pub finished: bool,
    /// Starts that were rejected for want of a ticket, by task.
    pub rejected: BTreeMap<String, u32>,
}

#[derive(Clone, Debug)]
pub struct Queue {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub service: String,
    pub attempts: u32,
    pub priority: u32,
    pub aim_ms: u64,
    pub stretch: f64,
    /// Whether its policy allows only some minions to run a step.
    pub advice: bool,
}

impl Queue {
    pub fn new(name: &str, service: &str, attempts: u32, aim_ms: u64) -> Self {
        Self {
            name: name.to_owned(),
            host: "jobs.example".to_owned(),
            prefix: format!("/{name}/"),
            service: service.to_owned(),
            attempts,
            priority: 0,
            aim_ms,
            stretch: 1.6,
            advice: false,
        }
    }
    fn advice(&self) -> String {
        if !self.advice {
            return String::new();
        }
        format!(",\"advice\":{{\"decisionMs\":{DECISION_MS},\"perWorkerMs\":{PER_WORKER_MS},\"validMs\":{VALID_MS}}}")
    }
}

pub struct World {
    pub began: Instant,
    pub sim: Mutex<Sim>,
    pub folder: PathBuf,
    pub net: [u8; 2],
    pub program: PathBuf,
    pub root: PathBuf,
    pub controls: u8,
    pub entries: u8,
    pub zones: Vec<&'static str>,
    /// Held while the service that advises makes a decision.
    advice: Mutex<()>,
}

pub const FIRST_ENTRY: u8 = 50;
const PROVIDER: u8 = 99;

/// Task ID.K.STEP.INDEX as its parts.
pub fn parts(task: &str) -> Option<(String, u32, usize, u32)> {
    let mut p = task.split('.');
    let job = p.next()?.to_owned();
    let k = p.next()?.parse().ok()?;
    let step = p.next()?.parse().ok()?;
    Some((job, k, step, p.next()?.parse().ok()?))
}

impl Sim {
    pub fn note(&mut self, now: u64, text: &str) {
        let _ = writeln!(self.record, "{:9.3} {text}", now as f64 / 1000.0);
    }
    pub fn broke(&mut self, now: u64, text: String) {
        self.note(now, &format!("RULE BROKEN: {text}"));
        self.broken.push(text);
    }
    fn step(&self, task: &str) -> Option<Step> {
        let (job, _, step, _) = parts(task)?;
        self.jobs.get(&job)?.steps.get(step).cloned()
    }

    /// Checks a start against the rules, when a minion begins it.
    fn check_start(&mut self, now: u64, at: usize, task: &str, run: u64, spec: &str, saved: &str) {
        let Some((id, k, ix, _)) = parts(task) else {
            return self.broke(now, format!("UNASKED: a start of {task}, which is no subtask"));
        };
        let Some(job) = self.jobs.get(&id).cloned() else {
            return self.broke(now, format!("UNASKED: a start of {task}, whose job nobody sent"));
        };
        let Some(step) = job.steps.get(ix).cloned() else {
            return self.broke(now, format!("UNASKED: a start of {task}, a step that isn't there"));
        };
        if job.spec != spec {
            self.broke(now, format!("UNASKED: {task} with another spec"));
        }
        if !saved.is_empty() && !saved.starts_with(&format!("{id}.{k}.{ix}.")) {
            self.broke(now, format!("UNASKED: {task} with a foreign lastCheckpoint {saved}"));
        }
        if job.tries > 0 && job.refused == job.tries && job.accepted.is_none() {
            self.broke(now, format!("REFUSED: {task} starts, and all attempts were refused"));
        }
        if job.cancelled.is_some_and(|at| now > at + 3_000) {
            self.broke(now, format!("UNASKED: {task} starts long after its cancelling"));
        }
        let active: Vec<_> = (0..self.minions.len())
            .filter(|m| self.minions[*m].down.is_none() && self.minions[*m].running.contains_key(task))
            .collect();
        if !active.is_empty() && !step.speculative {
            self.broke(now, format!("TWICE: {task} run {run} begins while another run works"));
        }
        if self.done_noted.contains_key(task) && !step.speculative {
            self.broke(now, format!("TWICE: {task} run {run} begins after it was done"));
        }
        if let Some(failed) = self.failed_noted.get(task) {
            let most = self.queues[job.queue].attempts;
            if *failed >= most && !step.long {
                self.broke(now, format!("BUDGET: {task} run {run} after {failed} failed runs"));
            }
        }
        for before in &step.after {
            let s = &job.steps[*before];
            let all = (0..s.count).all(|i| self.done.contains_key(&format!("{id}.{k}.{before}.{i}")));
            let one = s.gang && (0..s.count).any(|i| self.done.contains_key(&format!("{id}.{k}.{before}.{i}")));
            if !all && !one {
                self.broke(now, format!("ORDER: {task} begins before step {before} is done"));
            }
        }
        if job.repeat > 0 {
            let due = job.start_at_ms + u64::from(k) * job.interval_ms;
            if wall_ms() + 250 < due {
                self.broke(now, format!("ORDER: {task} begins {} ms early", due - wall_ms()));
            }
        }
        let m = &self.minions[at];
        let service = self.queues[job.queue].service.clone();
        let (pool, kind, rack) = (m.pool.clone(), m.kind.clone(), m.rack.clone());
        if pool != service {
            self.broke(now, format!("ROUTE: {task} on a minion of {pool}"));
        }
        if !step.label.is_empty() && step.label != kind && step.label != rack {
            self.broke(now, format!("ROUTE: {task} without its label"));
        }
        let m = &self.minions[at];
        let prefix = format!("{id}.{k}.{ix}.");
        let here = m.running.keys().filter(|t| t.starts_with(&prefix) && *t != task).count();
        if step.per_server > 0 && here as u32 + 1 > step.per_server {
            self.broke(now, format!("ROUTE: {task} beyond maxPerServer"));
        }
        let m = &self.minions[at];
        let used: u64 = m.running.keys().filter_map(|t| self.step(t)).map(|s| s.cpu).sum();
        if used + step.cpu > 32_000 {
            self.broke(now, format!("LIMIT: {task} brings its minion to {}", used + step.cpu));
        }
    }

    /// Advances all that runs.
    fn tick(&mut self, now: u64) {
        for at in 0..self.minions.len() {
            if self.minions[at].back_at.is_some_and(|back| now >= back) {
                self.revive(now, at);
            }
            let m = &mut self.minions[at];
            if m.down.is_some() {
                continue;
            }
            if !m.running.is_empty() && m.clock(now) >= m.until {
                let tasks: Vec<_> = m.running.keys().cloned().collect();
                for end in &mut m.ended {
                    end.lapsed = true;
                }
                for task in tasks {
                    self.finish(now, at, &task, "lapsed");
                }
            }
            let m = &self.minions[at];
            let due: Vec<_> = m
                .running
                .iter()
                .filter_map(|(task, run)| {
                    if run.stops_at.is_some_and(|t| now >= t) {
                        return Some((task.clone(), "stopped"));
                    }
                    if run.ends_at.is_some_and(|t| now >= t) {
                        return Some((task.clone(), if run.fails { "failed" } else { "done" }));
                    }
                    let waits = run.works_since.is_none() && now >= run.began + GANG_TIMEOUT_MS;
                    waits.then(|| (task.clone(), "alone"))
                })
                .collect();
            for (task, how) in due {
                self.finish(now, at, &task, how);
            }
        }
    }

    /// Ends a run, and with it its gang.
    fn finish(&mut self, now: u64, at: usize, task: &str, how: &'static str) {
        let Some(run) = self.minions[at].running.get(task).map(|r| r.run) else {
            return;
        };
        self.close(now, at, task, how);
        if !self.step(task).is_some_and(|s| s.gang) {
            return;
        }
        if how == "alone" {
            return;
        }
        let prefix = &task[..=task.rfind('.').unwrap_or(0)];
        let others: Vec<_> = (0..self.minions.len())
            .flat_map(|m| {
                let r = &self.minions[m].running;
                let same = r.iter().filter(|(t, r)| t.starts_with(prefix) && r.run == run);
                same.map(|(t, _)| (m, t.clone())).collect::<Vec<_>>()
            })
            .collect();
        for (m, other) in others {
            let worked = self.minions[m].running[&other].works_since.is_some();
            if worked && self.minions[m].down.is_none() {
                self.close(now, m, &other, if how == "done" { "done" } else { "broken" });
            }
        }
    }

    fn close(&mut self, now: u64, at: usize, task: &str, how: &'static str) {
        let id = self.minions[at].id.clone();
        if let Some(run) = self.minions[at].end(task, how) {
            self.note(now, &format!("ends {task} run {} at {id}: {how}", run.run));
            if how == "done" {
                self.done.insert(task.to_owned(), now);
            }
        }
    }

    /// A minion is gone with all that runs there. `back_ms` later another life begins.
    pub fn take_down(&mut self, now: u64, at: usize, how: Down, back_ms: Option<u64>, state: &'static str) {
        let m = &mut self.minions[at];
        m.down = Some(how);
        m.state = state;
        m.back_at = back_ms.map(|ms| now + ms);
        let running: Vec<_> = m.running.iter().map(|(t, r)| (t.clone(), r.run)).collect();
        m.running.clear();
        m.ended.clear();
        let kept = std::mem::take(&mut m.kept);
        if how == Down::Crash {
            kept.iter().for_each(|s| drop(s.shutdown(Shutdown::Both)));
        }
        let id = m.id.clone();
        self.note(now, &format!("minion {id} is gone ({how:?}, {state}) with {running:?}"));
        for (task, run) in running {
            if self.step(&task).is_some_and(|s| s.gang) {
                let prefix = task[..=task.rfind('.').unwrap_or(0)].to_owned();
                for m in 0..self.minions.len() {
                    let same: Vec<_> = self.minions[m]
                        .running
                        .iter()
                        .filter(|(t, r)| t.starts_with(&prefix) && r.run == run && r.works_since.is_some())
                        .map(|(t, _)| t.clone())
                        .collect();
                    for other in same {
                        self.close(now, m, &other, "broken");
                    }
                }
            }
        }
    }

    fn revive(&mut self, now: u64, at: usize) {
        let m = &mut self.minions[at];
        m.lives += 1;
        m.id = format!("i-{}x{}", m.machine.trim_start_matches("m-"), m.lives);
        m.down = None;
        m.state = "up";
        m.back_at = None;
        m.born = now;
        (m.token, m.until, m.last_end, m.sequence) = (0, 0, 0, 0);
        m.past.clear();
        let id = m.id.clone();
        self.note(now, &format!("minion {id} begins"));
    }

    fn report(&self, at: usize, now: u64) -> String {
        let m = &self.minions[at];
        let running: Vec<_> = m
            .running
            .iter()
            .map(|(task, run)| {
                let percent = if run.works_since.is_some_and(|t| now >= t + 300) { 100 } else { 0 };
                format!("[\"{task}\",{},\"{}\",{percent},100]", run.run, run.saved)
            })
            .collect();
        let ended: Vec<_> = m
            .ended
            .iter()
            .take(500)
            .map(|e| format!("[{},\"{}\",{},\"{}\",\"{}\"]", e.number, e.task, e.run, e.how, e.saved))
            .collect();
        format!(
            "{{\"clockMs\":{},\"running\":[{}],\"ended\":[{}]}}",
            m.clock(now),
            running.join(","),
            ended.join(",")
        )
    }

    /// A minion's part of an order. `None` if it isn't there.
    fn order(&mut self, now: u64, at: usize, request: &Message) -> Option<(u16, String)> {
        if self.minions[at].down.is_some() {
            return None;
        }
        let body = Json::parse(&request.body)?;
        let clock = self.minions[at].clock(now);
        let expected = request.header("egretpin-expect-instance");
        if !expected.is_empty() && expected != self.minions[at].id {
            return Some((421, format!("{{\"clockMs\":{clock}}}")));
        }
        let refuse = |why: &str| Some((409, format!("{{\"clockMs\":{clock},\"reason\":\"{why}\"}}")));
        let token = body.get("fencingToken").num().unwrap_or(0);
        if token < self.minions[at].token {
            return refuse("fence");
        }
        self.minions[at].token = token;
        let id = self.minions[at].id.clone();
        let task = body.get("task").str().to_owned();
        let run = body.get("run").num().unwrap_or(0);
        let extend = |m: &mut Minion| {
            if let Some(until) = body.get("untilMs").num() {
                m.until = m.until.max(until.min(clock + MAX_HOLD_MS));
            }
        };
        match request.path.as_str() {
            "/run-start" => {
                let m = &mut self.minions[at];
                if m.running.get(&task).is_some_and(|r| r.run == run) {
                    extend(m);
                    return Some((200, format!("{{\"clockMs\":{clock}}}")));
                }
                if m.past.get(&task).is_some_and(|past| run <= *past)
                    || m.running.get(&task).is_some_and(|r| run <= r.run)
                {
                    extend(m);
                    return refuse("old");
                }
                if body.get("untilMs").num().unwrap_or(0) <= clock {
                    return refuse("late");
                }
                let queue = parts(&task).and_then(|(job, ..)| Some(self.jobs.get(&job)?.queue));
                if queue.is_some_and(|queue| self.queues[queue].advice) {
                    let ticket = body.get("ticket").str();
                    let own = format!("{}|{id}|", task.rsplit_once('.').map_or("", |(step, _)| step));
                    let until = ticket.strip_prefix(&own).and_then(|t| t.parse::<u64>().ok());
                    if until.is_none_or(|until| now > until) {
                        let n = self.rejected.entry(task.clone()).or_default();
                        *n += 1;
                        if *n <= 20 {
                            self.note(now, &format!("{id} rejects {task} run {run}: ticket {ticket:?} isn't valid"));
                        }
                        return refuse("ticket");
                    }
                }
                let m = &mut self.minions[at];
                extend(m);
                let (spec, saved) = (body.get("spec").str(), body.get("lastCheckpoint").str());
                self.note(now, &format!("starts {task} run {run} at {id} fence {token}"));
                self.check_start(now, at, &task, run, spec, saved);
                *self.starts.entry(task.clone()).or_default() += 1;
                let mut step = self.step(&task).unwrap_or_default();
                if !step.data_rack.is_empty() && step.data_rack != self.minions[at].rack {
                    step.work_ms *= SLOWDOWN;
                }
                let fails = self.starts[&task] <= step.fails;
                let ends = !step.long || fails;
                let began = Run {
                    fails,
                    run,
                    began: now,
                    works_since: (!step.gang).then_some(now),
                    ends_at: (!step.gang && ends).then_some(now + step.work_ms),
                    stops_at: None,
                    saved: saved.to_owned(),
                };
                self.minions[at].running.insert(task.clone(), began);
                if step.gang {
                    self.gather(now, &task, run, &step);
                }
                Some((200, format!("{{\"clockMs\":{clock}}}")))
            }
            "/run-stop" => {
                self.note(now, &format!("is told to stop {task} run {run} at {id}"));
                let m = &mut self.minions[at];
                let past = m.past.entry(task.clone()).or_default();
                *past = run.max(*past);
                if let Some(r) = m.running.get_mut(&task).filter(|r| r.run <= run) {
                    r.stops_at.get_or_insert(now + STOP_TAKES_MS);
                }
                Some((200, format!("{{\"clockMs\":{clock}}}")))
            }
            "/pace" => Some((200, format!("{{\"clockMs\":{clock}}}"))),
            "/hold" => {
                extend(&mut self.minions[at]);
                let acked = body.get("acked_through").num().or(body.get("ackedThrough").num());
                self.acknowledge(now, at, acked.unwrap_or(0));
                Some((200, String::new()))
            }
            _ => Some((400, String::new())),
        }
    }

    fn acknowledge(&mut self, now: u64, at: usize, through: u64) {
        let (gone, kept) = std::mem::take(&mut self.minions[at].ended)
            .into_iter()
            .partition(|e| e.number <= through);
        self.minions[at].ended = kept;
        let gone: Vec<End> = gone;
        for end in gone {
            if end.lapsed {
                continue;
            }
            if end.how == "done" {
                self.done_noted.entry(end.task).or_insert(now);
            } else if end.how == "failed" {
                *self.failed_noted.entry(end.task).or_default() += 1;
            }
        }
    }

    /// Lets a gang work once all its subtasks of a run are there.
    fn gather(&mut self, now: u64, task: &str, run: u64, step: &Step) {
        let prefix = task[..=task.rfind('.').unwrap_or(0)].to_owned();
        let there: Vec<_> = (0..self.minions.len())
            .flat_map(|m| {
                let r = &self.minions[m].running;
                let same = r.iter().filter(|(t, r)| t.starts_with(&prefix) && r.run == run);
                same.map(|(t, _)| (m, t.clone())).collect::<Vec<_>>()
            })
            .collect();
        if there.len() as u32 == step.count {
            for (m, t) in there {
                let r = self.minions[m].running.get_mut(&t).unwrap();
                r.works_since = Some(now);
                r.ends_at = (!step.long).then_some(now + step.work_ms);
            }
        }
    }

    /// Which minion runs a subtask now.
    pub fn where_runs(&self, task: &str) -> Option<usize> {
        self.minions.iter().position(|m| m.down.is_none() && m.running.contains_key(task))
    }
    /// How many subtasks of a job run.
    pub fn running_of(&self, job: &str) -> usize {
        let up = self.minions.iter().filter(|m| m.down.is_none());
        up.flat_map(|m| m.running.keys()).filter(|t| t.starts_with(job)).count()
    }
    /// What a minion has free, in thousandths of a core.
    pub fn free(&self, minion: &Minion) -> u64 {
        let used: u64 = minion.running.keys().filter_map(|t| self.step(t)).map(|s| s.cpu).sum();
        32_000_u64.saturating_sub(used)
    }
    /// The used and the whole capacity of a service, in thousandths of a core.
    pub fn load(&self, pool: &str) -> (u64, u64) {
        let mut load = (0, 0);
        for m in self.minions.iter().filter(|m| m.pool == pool && m.down.is_none()) {
            load.0 += m.running.keys().filter_map(|t| self.step(t)).map(|s| s.cpu).sum::<u64>();
            load.1 += 32_000;
        }
        load
    }
}

pub fn wall_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

impl World {
    /// A world without processes. The networks are tried until one is free.
    pub fn new(root: &Path, folder: &Path, record: &Path, controls: u8, entries: u8, queues: Vec<Queue>) -> Arc<Self> {
        let seed = std::process::id();
        let net = (0..200u32)
            .map(|i| {
                let n = seed.wrapping_mul(7).wrapping_add(i * 131) % 40_000;
                [60 + (n / 250 % 160) as u8, (n % 250 + 1) as u8]
            })
            .find(|[a, b]| {
                let free = |node, port| TcpListener::bind((Ipv4Addr::new(127, *a, *b, node), port)).is_ok();
                free(1, 8623) && free(1, 7060) && free(FIRST_ENTRY, 8624) && free(PROVIDER, 8621)
            })
            .expect("a free loopback network");
        let sim = Sim {
            minions: Vec::new(),
            jobs: BTreeMap::new(),
            record: File::create(record).expect("record.txt can be written"),
            broken: Vec::new(),
            done_noted: BTreeMap::new(),
            done: BTreeMap::new(),
            failed_noted: BTreeMap::new(),
            starts: BTreeMap::new(),
            holders: BTreeMap::new(),
            waves: BTreeMap::new(),
            queues,
            finished: false,
            rejected: BTreeMap::new(),
        };
        Arc::new(Self {
            began: Instant::now(),
            sim: Mutex::new(sim),
            folder: folder.to_owned(),
            net,
            program: root.join("target/release/egretpin-platform"),
            root: root.to_owned(),
            controls,
            entries,
            zones: vec!["ikeja", "yaba", "lekki", "surulere"],
            advice: Mutex::new(()),
        })
    }

    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
    pub fn lock(&self) -> MutexGuard<'_, Sim> {
        self.sim.lock().unwrap_or_else(PoisonError::into_inner)
    }
    pub fn note(&self, text: &str) {
        let now = self.now();
        self.lock().note(now, text);
    }
    pub fn address(&self, node: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.net[0], self.net[1], node), port))
    }
    pub fn control(&self, node: u8) -> SocketAddr {
        self.address(node, 8623)
    }

    /// The settings of a node, as DEPLOY.md shows them for ewedu-lagos.
    fn settings(&self, node: u8, bootstrap: bool) -> PathBuf {
        let ip = self.address(node, 0).ip();
        let entry = node >= FIRST_ENTRY;
        let zone = self.zones[usize::from(node - 1) % self.zones.len()];
        let seeds: Vec<_> = (1..=self.controls.min(3)).map(|n| self.control(n).to_string()).collect();
        let mut t = format!("nodeName=node-{node}\nip={ip}\nzone={zone}\nregion=lagos\n");
        for zone in &self.zones {
            t += &format!("zones.{zone}=lagos\n");
        }
        if entry {
            t += &format!("role=entry\nmachineClass=front\nserves=front\nlisten.front={}\nlisten.ready={}\n", self.address(node, 8624), self.address(node, 8622));
            t += "lossCounts=false\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\nlimits.diskMb=0\n";
        } else {
            let data = self.folder.join(format!("data-{node}"));
            fs::create_dir_all(&data).unwrap();
            t += &format!("role=control\nmachineClass=core\nserves=control\nlisten.control={}\ndataDir={}\n", self.control(node), data.display());
            t += "lossCounts=true\nlimits.cpuShare=0.39\nlimits.cores=1\nlimits.memoryMb=256\nlimits.maxFds=4096\nlimits.diskMb=128\n";
        }
        t += &format!("portRange=7060,7075\nseeds={}\nbootstrap={bootstrap}\nlimits.linkMbps=1000.0\n", seeds.join(","));
        t += "discovery=registry\nentry=vip\nheartbeatMs=1500\ncontracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing\nfaultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.outerMs=5000\nbounds.recoveryS=12\nbounds.maxHoldMs=10000\nbounds.stopMs=900\nbounds.gangTimeoutMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.slowdownFactor=3\nbounds.checkpointIntervalS=1\nbounds.restoreMs=600\nbounds.noticeMs=4500\nbounds.migrateS=1.5\nbounds.maintenanceS=2\nbounds.enforceFencing=true\nbounds.leaseMs=3000\nbounds.thawMs=300\nbounds.paceMs=100\nbounds.interferenceMs=4000\nconfig_mode=highest\ncontrolMode=rpc\ncloudApi.ratePerS=64.0\ncloudApi.duties=\ncloudApi.dutyPerS=64.0\n";
        t += &format!("cloudApi.address={0}\nadvice={0}\n", self.address(PROVIDER, 8621));
        let path = self.folder.join(format!("node-{node}.conf"));
        fs::write(&path, t).unwrap();
        path
    }

    /// Starts a process with the command of the deploy file.
    pub fn launch(&self, node: u8, bootstrap: bool) -> Process {
        let settings = self.settings(node, bootstrap);
        let role = if node >= FIRST_ENTRY { "entry" } else { "control" };
        let log = self.folder.join(format!("node-{node}.log"));
        self.note(&format!("process {role} of node {node} starts"));
        Process::start(&self.program, role, &settings, &log, &self.root)
    }

    /// Starts all processes and waits until the entry nodes are ready.
    pub fn launch_all(&self) -> Option<BTreeMap<u8, Process>> {
        let nodes = (1..=self.controls).chain(FIRST_ENTRY..FIRST_ENTRY + self.entries);
        let nodes: BTreeMap<_, _> = nodes.map(|n| (n, self.launch(n, true))).collect();
        let ready = wait_for(Duration::from_secs(20), || {
            (FIRST_ENTRY..FIRST_ENTRY + self.entries).all(|n| {
                let answer = call(self.address(n, 8622), "GET", "/ready", &[], "", Duration::from_secs(1));
                answer.is_some_and(|a| a.status == 200)
            })
        });
        ready.then_some(nodes)
    }

    /// Adds a machine with a minion.
    pub fn add_minion(self: &Arc<Self>, pool: &str, rack: &str, kind: &str, zone: &str) -> usize {
        let mut sim = self.lock();
        let at = sim.minions.len();
        let listener = TcpListener::bind((Ipv4Addr::new(127, self.net[0], self.net[1], 100 + (at % 100) as u8), 0)).unwrap();
        let address = listener.local_addr().unwrap();
        sim.minions.push(Minion {
            machine: format!("m-{at:04x}"),
            pool: pool.to_owned(),
            rack: rack.to_owned(),
            kind: kind.to_owned(),
            zone: zone.to_owned(),
            address: Some(address),
            ..Minion::default()
        });
        let now = self.now();
        sim.revive(now, at);
        drop(sim);
        let (world, other) = (Arc::clone(self), Arc::clone(self));
        serve(
            listener,
            move |stream| {
                let mut sim = world.lock();
                let m = &mut sim.minions[at];
                match m.down {
                    Some(Down::Crash) => {
                        let _ = stream.shutdown(Shutdown::Both);
                        false
                    }
                    _ => {
                        m.kept.push(stream);
                        true
                    }
                }
            },
            move |request| other.minion_order(at, request),
        );
        let world = Arc::clone(self);
        thread::spawn(move || world.send_heartbeats(at));
        at
    }

    fn minion_order(&self, at: usize, request: &Message) -> Option<(u16, String)> {
        // A minion that is cut off gets nothing until the cut has healed; one that is dark never answers.
        loop {
            let sim = self.lock();
            let m = &sim.minions[at];
            if !m.cut && m.down != Some(Down::Dark) {
                break;
            }
            drop(sim);
            thread::sleep(Duration::from_millis(20));
        }
        let life = self.lock().minions[at].lives;
        let (status, body) = {
            let now = self.now();
            self.lock().order(now, at, request)?
        };
        if request.path != "/hold" || status != 200 {
            return Some((status, body));
        }
        let wait = Json::parse(&request.body)?.get("waitMs").num().unwrap_or(0).min(2_000);
        let end = self.now() + wait;
        let first = self.lock().minions[at].last_end;
        loop {
            let now = self.now();
            let sim = self.lock();
            let m = &sim.minions[at];
            if m.lives != life || m.down.is_some() {
                return None;
            }
            if m.last_end > first || !m.ended.is_empty() || now >= end {
                if m.cut {
                    drop(sim);
                    thread::sleep(Duration::from_millis(20));
                    continue;
                }
                return Some((200, sim.report(at, now)));
            }
            drop(sim);
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn send_heartbeats(&self, at: usize) {
        let mut node = (at % usize::from(self.controls)) as u8 + 1;
        thread::sleep(Duration::from_millis((at as u64 * 37) % HEARTBEAT_MS));
        loop {
            let (path, body) = {
                let now = self.now();
                let mut sim = self.lock();
                if sim.finished {
                    return;
                }
                let m = &mut sim.minions[at];
                if m.down.is_some() || m.cut {
                    drop(sim);
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
                m.sequence += 1;
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":32000,\"memMb\":131072,\"gpu\":0}},\"labels\":[\"{}\",\"{}\"],\"clockMs\":{},\"sequence\":{}}}",
                    m.pool, m.address.unwrap(), m.zone, m.kind, m.rack, m.clock(now), m.sequence
                );
                (format!("/instances/{}", m.id), body)
            };
            let mut acked = false;
            for _ in 0..self.controls {
                let answer = call_control(self.control(node), "PUT", &path, &body, Duration::from_secs(1));
                acked = answer.is_some_and(|a| a.status / 100 == 2);
                if acked {
                    break;
                }
                node = node % self.controls + 1;
            }
            let pause = if acked { HEARTBEAT_MS } else { 300 };
            thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Serves the provider's calls, and moves time on for all that runs.
    pub fn serve_platform(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address(PROVIDER, 8621)).unwrap();
        let world = Arc::clone(self);
        serve(listener, |_| true, move |request| Some(world.provider(request)));
        let world = Arc::clone(self);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                let now = world.now();
                let mut sim = world.lock();
                if sim.finished {
                    return;
                }
                sim.tick(now);
            }
        });
    }

    fn provider(&self, request: &Message) -> (u16, String) {
        if request.path == "/advise" {
            return self.advise(request);
        }
        let now = self.now();
        let mut sim = self.lock();
        if request.method == "GET" && request.path.starts_with("/machines") {
            let rows: Vec<_> = sim
                .minions
                .iter()
                .map(|m| {
                    let id = if m.state == "up" { format!(",\"id\":\"{}\"", m.id) } else { String::new() };
                    format!(
                        "{{\"machine\":\"{}\",\"pool\":\"{}\",\"state\":\"{}\",\"zone\":\"{}\",\"labels\":[\"{}\",\"{}\"],\"capacity\":{{\"cpu\":32000,\"memMb\":131072,\"gpu\":0}}{id}}}",
                        m.machine, m.pool, m.state, m.zone, m.kind, m.rack
                    )
                })
                .collect();
            return (200, format!("{{\"machines\":[{}],\"nextToken\":\"\"}}", rows.join(",")));
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, String::new());
        };
        let machine = body.get("machine").str().to_owned();
        let Some(at) = sim.minions.iter().position(|m| m.machine == machine) else {
            return (400, String::new());
        };
        let token: u64 = request.header("egretpin-fencing-token").parse().unwrap_or(0);
        let last = sim.holders.entry(machine.clone()).or_default();
        if token < *last {
            return (409, "{\"reason\":\"fence\"}".to_owned());
        }
        *last = token;
        let what = format!("{} {}", request.path, String::from_utf8_lossy(&request.body));
        sim.note(now, &format!("provider: {what} fence {token}"));
        match request.path.as_str() {
            "/machine-move" => {
                let pool = body.get("pool").str().to_owned();
                if sim.minions[at].pool == pool {
                    return (200, "{}".to_owned());
                }
                if sim.minions[at].state != "up" {
                    return (409, "{\"reason\":\"busy\"}".to_owned());
                }
                sim.take_down(now, at, Down::Crash, Some(MOVE_MS), "moving");
                sim.minions[at].pool = pool;
                (200, "{}".to_owned())
            }
            "/machine-upkeep" => {
                let wave = body.get("wave").num().unwrap_or(0);
                if sim.minions[at].upkept.contains(&wave) {
                    return (200, "{}".to_owned());
                }
                let of = sim.waves.get(&wave).is_some_and(|(m, _)| m.contains(&machine));
                if !of {
                    return (409, "{\"reason\":\"wave\"}".to_owned());
                }
                if sim.minions[at].state != "up" {
                    return (409, "{\"reason\":\"busy\"}".to_owned());
                }
                let (machines, cap) = sim.waves[&wave].clone();
                let away = sim.minions.iter().filter(|m| m.state == "upkeep" && machines.contains(&m.machine));
                if away.count() as u64 >= cap {
                    sim.broke(now, format!("LIMIT: the upkeep of {machine} begins beyond the cap"));
                }
                sim.take_down(now, at, Down::Crash, Some(UPKEEP_MS), "upkeep");
                sim.minions[at].upkept.insert(wave);
                (200, "{}".to_owned())
            }
            _ => (404, String::new()),
        }
    }

    /// Says which minions may run a step, one call at a time: all but a quarter of the machines.
    fn advise(&self, request: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else {
            return (400, String::new());
        };
        let ids: Vec<_> = body.get("workers").list().iter().map(Json::str).collect();
        let step = body.get("step").str();
        let turn = self.advice.lock().unwrap_or_else(PoisonError::into_inner);
        thread::sleep(Duration::from_millis(DECISION_MS + PER_WORKER_MS * ids.len() as u64));
        drop(turn);
        let now = self.now();
        let mut sim = self.lock();
        let rows: Vec<_> = ids
            .iter()
            .filter(|id| {
                let machine = sim.minions.iter().position(|m| m.id == **id);
                machine.is_some_and(|at| at % 4 != 0)
            })
            .map(|id| format!("[\"{id}\",\"{step}|{id}|{}\"]", now + VALID_MS))
            .collect();
        sim.note(now, &format!("advice on {step}: {} of {ids:?} may run it", rows.len()));
        (200, format!("{{\"allowed\":[{}],\"validMs\":{VALID_MS}}}", rows.join(",")))
    }

    /// The configuration, as the operator sends it.
    pub fn config(&self, version: u64, standby: &str) -> String {
        let sim = self.lock();
        let routes: Vec<_> = sim
            .queues
            .iter()
            .map(|q| {
                format!(
                    "{{\"name\":\"{}\",\"host\":\"{}\",\"pathPrefix\":\"{}\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetDurationMs\":{},\"priority\":{},\"service\":\"{}\",\"maxAttempts\":{},\"stretch\":{}{}}}",
                    q.name, q.host, q.prefix, q.aim_ms, q.priority, q.service, q.attempts, q.stretch, q.advice()
                )
            })
            .collect();
        let mut pools: BTreeSet<_> = sim.minions.iter().map(|m| m.pool.clone()).collect();
        if !standby.is_empty() {
            pools.insert(standby.to_owned());
        }
        let services: Vec<_> = pools
            .iter()
            .map(|p| {
                format!(
                    "{{\"name\":\"{p}\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"admissionControl\":false,\"standby\":{}}}",
                    p == standby
                )
            })
            .collect();
        format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            routes.join(","),
            services.join(",")
        )
    }

    /// Sends a configuration until it is accepted.
    pub fn declare(&self, version: u64, standby: &str) -> bool {
        let body = self.config(version, standby);
        let mut node = 1;
        let done = wait_for(Duration::from_secs(15), || {
            let answer = call_control(self.control(node), "PUT", "/config", &body, Duration::from_secs(1));
            node = node % self.controls + 1;
            answer.is_some_and(|a| a.status == 200)
        });
        self.note(&format!("configuration {version} acknowledged: {done}"));
        done
    }

    /// The body of a job.
    pub fn body(job: &Job) -> String {
        let steps: Vec<_> = job
            .steps
            .iter()
            .map(|s| {
                let mut t = format!("{{\"count\":{},\"cpu\":{},\"memMb\":256,\"estRuntimeMs\":{}", s.count, s.cpu, s.work_ms);
                if !s.after.is_empty() {
                    t += &format!(",\"dependsOn\":{:?}", s.after);
                }
                for (on, name) in [(s.gang, "gang"), (s.long, "longRunning"), (s.speculative, "speculative"), (s.checkpoints, "checkpointing"), (s.same_rack, "sameRack")] {
                    if on {
                        t += &format!(",\"{name}\":true");
                    }
                }
                if s.per_server > 0 {
                    t += &format!(",\"maxPerServer\":{}", s.per_server);
                }
                if s.may_miss > 0 {
                    t += &format!(",\"mayMiss\":{}", s.may_miss);
                }
                if !s.label.is_empty() {
                    t += &format!(",\"requiredLabel\":\"{}\"", s.label);
                }
                if !s.data_rack.is_empty() {
                    t += &format!(",\"dataRack\":\"{}\"", s.data_rack);
                }
                t + "}"
            })
            .collect();
        let mut t = format!("{{\"spec\":\"{}\",\"jobSteps\":[{}]", job.spec, steps.join(","));
        if job.repeat > 0 {
            t += &format!(",\"repeatCount\":{},\"startAtMs\":{},\"intervalMs\":{}", job.repeat, job.start_at_ms, job.interval_ms);
        }
        t + "}"
    }

    /// A request to an entry node, about a job or a queue. Status 0 if there is no answer.
    pub fn ask(&self, entry: u8, method: &str, queue: usize, id: &str, body: &str) -> (u16, String) {
        let (host, path) = {
            let sim = self.lock();
            let q = &sim.queues[queue];
            (q.host.clone(), format!("{}{id}", q.prefix))
        };
        let headers = [("Host", host.as_str()), ("Egretpin-Deadline-Ms", "3000")];
        let answer = call(self.address(entry, 8624), method, &path, &headers, body, Duration::from_secs(3));
        answer.map_or((0, String::new()), |a| (a.status, String::from_utf8_lossy(&a.body).into_owned()))
    }

    /// Submits a job, and again at another entry node after no answer, as requesters do.
    pub fn submit(&self, job: Job) -> bool {
        let (id, queue, body) = (job.id.clone(), job.queue, Self::body(&job));
        self.lock().jobs.insert(id.clone(), job);
        for attempt in 0..8u8 {
            let entry = FIRST_ENTRY + attempt % self.entries;
            self.lock().jobs.get_mut(&id).unwrap().tries += 1;
            let (status, text) = self.ask(entry, "POST", queue, &id, &body);
            let now = self.now();
            let mut sim = self.lock();
            sim.note(now, &format!("POST of job {id} at node {entry}: {status} {}", text.trim()));
            let job = sim.jobs.get_mut(&id).unwrap();
            match status {
                200..=299 => {
                    job.accepted = Some(now);
                    return true;
                }
                429 | 503 | 404 | 400 => job.refused += 1,
                _ => {}
            }
            drop(sim);
            thread::sleep(Duration::from_millis(150 * (u64::from(attempt) + 1)));
        }
        false
    }

    /// The state of a job as an entry node shows it.
    pub fn state(&self, id: &str) -> String {
        let queue = self.lock().jobs[id].queue;
        let (status, text) = self.ask(FIRST_ENTRY, "GET", queue, id, "");
        if status != 200 {
            return status.to_string();
        }
        Json::parse(text.as_bytes()).map_or(String::new(), |j| j.get("state").str().to_owned())
    }
}
