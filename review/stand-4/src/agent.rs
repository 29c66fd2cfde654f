//! A stand-in of a minion, by PROTOCOL.md ("Running subtasks", "Service discovery").
//!
//! A subtask runs for the milliseconds that the job's `spec` names. A lease ends what runs. Every
//! start and every end is recorded.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::Json,
    world::{Record, World},
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const MAX_HOLD_MS: u64 = 10_000;
/// How long a member of a gang waits for the others (`bounds.gangTimeoutMs`).
const GANG_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long it takes until the other minions learn that a member of a gang has ended.
const GANG_DELAY: Duration = Duration::from_millis(20);
/// How soon a subtask fails on a minion that fails all that it starts.
const FAIL_DELAY: Duration = Duration::from_millis(20);

/// What the minions tell each other of the runs of gangs.
#[derive(Default)]
pub struct Gangs {
    /// The members of each gang; all subtasks of a step are one gang if its job is named here.
    pub sizes: Mutex<BTreeMap<String, usize>>,
    runs: Mutex<BTreeMap<(String, u64), GangRun>>,
}

#[derive(Default)]
struct GangRun {
    present: BTreeSet<String>,
    together: Option<Instant>,
    ended: Option<Instant>,
}

impl Gangs {
    /// How many members a subtask's gang has; nothing if it is of none.
    fn size(&self, task: &str) -> Option<usize> {
        let job = task.split('.').next().unwrap_or_default();
        self.sizes.lock().expect("no panic").get(job).copied()
    }

    fn change<T>(&self, task: &str, run: u64, change: impl FnOnce(&mut GangRun) -> T) -> T {
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        let mut runs = self.runs.lock().expect("no panic");
        change(runs.entry((step.to_owned(), run)).or_default())
    }
}

#[derive(Clone)]
struct Run {
    run: u64,
    began: Instant,
    length: Duration,
    /// After which time it fails, if it does.
    fails: Option<Duration>,
}

/// What a job's `spec` tells the stand-in: for how many milliseconds a run works, and, after a
/// colon each, how many runs fail by a fault of their own and after how many milliseconds.
struct Spec {
    length: Duration,
    fails: Option<(u64, Duration)>,
}

impl Spec {
    fn read(text: &str) -> Self {
        let numbers: Vec<u64> = text.split(':').filter_map(|n| n.parse().ok()).collect();
        let length = numbers.first().copied().unwrap_or(100);
        let fails = match numbers[..] {
            [_, runs, age] => Some((runs, Duration::from_millis(age))),
            _ => None,
        };
        Self {
            length: Duration::from_millis(length),
            fails,
        }
    }
}

struct State {
    /// The number of the boot.
    boot: u64,
    clock_start: Instant,
    token: u64,
    lease_until: u64,
    running: BTreeMap<String, Run>,
    /// The highest run of each subtask that was stopped or has ended here.
    over: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

impl State {
    fn new(boot: u64) -> Self {
        Self {
            boot,
            clock_start: Instant::now(),
            token: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
        }
    }
}

pub struct Agent {
    name: String,
    address: SocketAddr,
    service: String,
    rack: String,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
    gangs: Arc<Gangs>,
    /// Until when it fails all that it starts.
    failing_until: Mutex<Option<Instant>>,
}

impl Agent {
    /// Starts a minion of the service `soil` that reports to the control nodes.
    pub fn start(world: &World, id: &str, rack: &str, gangs: &Arc<Gangs>) -> Arc<Self> {
        let listener = TcpListener::bind((world.ip(20), 0)).expect("a port for a minion");
        let (service, controls) = ("soil", world.controls());
        let (record, gangs) = (world.record.clone(), Arc::clone(gangs));
        let agent = Arc::new(Self {
            name: id.to_owned(),
            address: listener.local_addr().expect("its address"),
            service: service.to_owned(),
            rack: rack.to_owned(),
            state: Mutex::new(State::new(1)),
            changed: Condvar::new(),
            record,
            gangs,
            failing_until: Mutex::default(),
        });
        let server = Arc::clone(&agent);
        http::serve(listener, move |request| Some(server.handle(request)));
        let worker = Arc::clone(&agent);
        thread::spawn(move || worker.work());
        let beater = Arc::clone(&agent);
        thread::spawn(move || beater.beat(&controls));
        world.provider.add(&agent);
        agent
    }

    /// The id of the present boot.
    pub fn id(&self) -> String {
        self.id_of(self.lock().boot)
    }

    fn id_of(&self, boot: u64) -> String {
        format!("{}-{boot}", self.name)
    }

    /// Its machine, as the provider lists it.
    pub fn machine(&self) -> String {
        format!(
            r#"{{"machine":"m-{}","pool":"{}","state":"up","zone":"ikeja","labels":["a","{}"],"capacity":{{"cpu":32000,"memMb":131072,"gpu":0}},"id":"{}"}}"#,
            self.name,
            self.service,
            self.rack,
            self.id()
        )
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }

    /// Makes it fail all that it starts, for so long.
    pub fn fail_for(&self, time: Duration) {
        *self.failing_until.lock().expect("no panic") = Some(Instant::now() + time);
    }

    fn beat(&self, controls: &[SocketAddr]) {
        let mut sequence = 0;
        loop {
            sequence += 1;
            let (clock, id) = {
                let state = self.lock();
                (clock(&state), self.id_of(state.boot))
            };
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"ikeja","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{{"cpu":32000,"memMb":131072,"gpu":0}},"labels":["a","{}"],"clockMs":{clock},"sequence":{sequence}}}"#,
                self.service, self.address, self.rack
            );
            let path = format!("/instances/{id}");
            let limit = Duration::from_secs(1);
            controls.iter().any(|control| {
                http::send_following(*control, "PUT", &path, &body, limit)
                    .is_some_and(|(status, _)| status / 100 == 2)
            });
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    /// Ends what is done, and everything once the lease has expired.
    fn work(&self) {
        loop {
            thread::sleep(Duration::from_millis(2));
            let mut state = self.lock();
            let lapsed = clock(&state) >= state.lease_until;
            let over = state.running.iter().filter_map(|(task, run)| {
                let how = self.outcome(task, run);
                let how = how.or_else(|| lapsed.then_some("lapsed"));
                how.map(|how| (task.clone(), run.run, how))
            });
            let over: Vec<_> = over.collect();
            for (task, run, how) in over {
                self.end(&mut state, &task, run, how);
            }
        }
    }

    /// How a run has ended, if it has.
    fn outcome(&self, task: &str, run: &Run) -> Option<&'static str> {
        let age = run.began.elapsed();
        if let Some(limit) = run.fails {
            return (age >= limit).then_some("failed");
        }
        let Some(size) = self.gangs.size(task) else {
            return (age >= run.length).then_some("done");
        };
        self.gangs.change(task, run.run, |gang| {
            gang.present.insert(task.to_owned());
            if gang.present.len() == size {
                gang.together.get_or_insert_with(Instant::now);
            }
            if gang.ended.is_some_and(|at| at.elapsed() >= GANG_DELAY) {
                return Some("broken");
            }
            match gang.together {
                Some(at) => (at.elapsed() >= run.length).then_some("done"),
                None => (age >= GANG_TIMEOUT).then_some("alone"),
            }
        })
    }

    fn end(&self, state: &mut State, task: &str, run: u64, how: &'static str) {
        if state.running.remove(task).is_none() {
            return;
        }
        if how != "done" && self.gangs.size(task).is_some() {
            self.gangs.change(task, run, |gang| {
                gang.ended.get_or_insert_with(Instant::now);
            });
        }
        let last = state.over.entry(task.to_owned()).or_default();
        *last = run.max(*last);
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push((number, task.to_owned(), run, how));
        self.record.end(&self.id_of(state.boot), task, run, how);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let body = Json::read(&request.body);
        let token = body.get("fencingToken").number().unwrap_or(0);
        let mut state = self.lock();
        let expected = request.header("egretpin-expect-instance");
        if expected.is_some_and(|id| id != self.id_of(state.boot)) {
            return (421, String::new());
        }
        if token < state.token {
            return refuse(&state, "fence");
        }
        state.token = token;
        match request.path.as_str() {
            "/run-start" => self.run_start(&mut state, &body),
            "/run-stop" => {
                let (task, run) = (body.get("task").text(), body.get("run").number());
                let run = run.unwrap_or(0);
                if state.running.get(task).is_some_and(|r| r.run == run) {
                    self.end(&mut state, task, run, "stopped");
                }
                let last = state.over.entry(task.to_owned()).or_default();
                *last = run.max(*last);
                accept(&state)
            }
            "/hold" => {
                if let Some(until) = body.get("untilMs").number() {
                    extend(&mut state, until);
                }
                let acked = body.get("ackedThrough").number().unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > acked);
                let boot = state.boot;
                let wait = body.get("waitMs").number().unwrap_or(0).min(2000);
                if state.ended.is_empty() && wait > 0 {
                    let wait = Duration::from_millis(wait);
                    let waited = self.changed.wait_timeout(state, wait);
                    state = waited.expect("no panic under the lock").0;
                    if state.boot != boot {
                        return (421, String::new());
                    }
                }
                report(&state)
            }
            "/pace" => accept(&state),
            _ => (404, String::new()),
        }
    }

    fn run_start(&self, state: &mut State, body: &Json) -> (u16, String) {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        let until = body.get("untilMs").number().unwrap_or(0);
        if until <= clock(state) {
            return refuse(state, "late");
        }
        extend(state, until);
        if state.running.get(&task).is_some_and(|r| r.run == run) {
            return accept(state);
        }
        if state.running.contains_key(&task) || state.over.get(&task).is_some_and(|o| *o >= run) {
            return refuse(state, "old");
        }
        let failing = *self.failing_until.lock().expect("no panic");
        let spec = Spec::read(body.get("spec").text());
        let fails = failing.is_some_and(|until| Instant::now() < until);
        let fails = if fails {
            Some(FAIL_DELAY)
        } else {
            spec.fails
                .filter(|(runs, _)| run <= *runs)
                .map(|(_, age)| age)
        };
        state.running.insert(
            task.clone(),
            Run {
                run,
                began: Instant::now(),
                length: spec.length,
                fails,
            },
        );
        self.record.start(&self.id_of(state.boot), &task, run);
        accept(state)
    }
}

fn clock(state: &State) -> u64 {
    state.clock_start.elapsed().as_millis() as u64
}

fn extend(state: &mut State, until: u64) {
    let until = until.min(clock(state) + MAX_HOLD_MS);
    state.lease_until = state.lease_until.max(until);
}

fn accept(state: &State) -> (u16, String) {
    (200, format!(r#"{{"clockMs":{}}}"#, clock(state)))
}

fn refuse(state: &State, reason: &str) -> (u16, String) {
    let body = format!(r#"{{"clockMs":{},"reason":"{reason}"}}"#, clock(state));
    (409, body)
}

fn report(state: &State) -> (u16, String) {
    let running = state.running.iter().map(|(task, run)| {
        let part = run.began.elapsed().as_secs_f64() / run.length.as_secs_f64().max(0.001);
        let percent = (part * 100.0).min(99.0) as u64;
        format!(r#"["{task}",{},"",{percent},500]"#, run.run)
    });
    let ended = state.ended.iter().take(500);
    let ended =
        ended.map(|(number, task, run, how)| format!(r#"[{number},"{task}",{run},"{how}",""]"#));
    let body = format!(
        r#"{{"clockMs":{},"running":[{}],"ended":[{}]}}"#,
        clock(state),
        running.collect::<Vec<_>>().join(","),
        ended.collect::<Vec<_>>().join(",")
    );
    (200, body)
}
