//! A few real processes on loopback, and what to ask of them.

use std::{
    fmt::Write as _,
    fs::{self, File},
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Condvar, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tempfile::TempDir;

use crate::claim::Claim;

/// How long a condition may take to come true.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);
/// How long calls must be answered before the load of a test begins.
pub(crate) const STEADY: Duration = Duration::from_secs(3);
/// The pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// Worlds that run at once: each is half a dozen processes, and a machine that is overrun makes
/// minions seem silent that aren't.
const AT_ONCE: usize = 6;
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A world's place among those that run at once.
struct Place;

impl Place {
    fn take() -> Self {
        let (running, freed) = &RUNNING;
        let running = running.lock().unwrap_or_else(PoisonError::into_inner);
        let mut running = freed
            .wait_while(running, |running| *running >= AT_ONCE)
            .unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        Self
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let (running, freed) = &RUNNING;
        *running.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        freed.notify_one();
    }
}

/// A child that doesn't outlive its test.
#[derive(Debug)]
pub(crate) struct Process(pub(crate) Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Sends a signal by its number.
    pub(crate) fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.0.id().to_string()])
            .status()
            .unwrap();
        assert!(sent.success());
    }

    /// Waits for the process to end; whether it ended well.
    pub(crate) fn ended(&mut self) -> bool {
        until("the process ends", || self.0.try_wait().unwrap()).success()
    }
}

/// Looks at a condition until it holds.
pub(crate) fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(begun.elapsed() < PATIENCE, "in time: {what}");
        thread::park_timeout(LOOK);
    }
}

/// Two data centres with nodes 1 and 2 in `lag1` and 3 in `lag2`, all of them voters.
pub(crate) struct World {
    network: [u8; 2],
    folder: TempDir,
    pub(crate) nodes: Vec<Option<Process>>,
    standins: Vec<Process>,
    /// Further text of all nodes' settings, such as their limits.
    pub(crate) extra: String,
    pub(crate) platform: SocketAddr,
    // The last fields, so that they are given back when the processes are gone.
    _claim: Claim,
    _place: Place,
}

impl Drop for World {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{}", self.logs());
        }
    }
}

impl World {
    /// Starts three nodes and the platform, and applies the declaration.
    pub(crate) fn start() -> Self {
        Self::start_with("")
    }

    /// The same, with further text in all nodes' settings.
    pub(crate) fn start_with(extra: &str) -> Self {
        let mut world = Self::bare();
        world.extra = extra.to_owned();
        for node in 1..=3 {
            world.launch(node, true);
        }
        world.leader();
        let applied = world.command(
            1,
            "first",
            &json!({
                "kind": "apply", "file": "fleet.yaml", "text": DECLARATION,
                "preset": "ordinary", "expected": 0
            }),
        );
        assert_eq!(applied.0, 200, "{}", applied.1);
        for node in 1..=3 {
            until("the first preset is in force", || {
                (world.status(node)?["acting"]["preset"] == "ordinary").then_some(())
            });
        }
        world
    }

    /// What the nodes logged, for a test that is about to fail.
    pub(crate) fn logs(&self) -> String {
        let read = |node| {
            let path = self.folder.path().join(format!("node-{node}.log"));
            fs::read_to_string(path).unwrap_or_default()
        };
        (1..=3).map(read).collect()
    }

    /// One in which no node runs yet.
    pub(crate) fn bare() -> Self {
        let place = Place::take();
        let claim = Claim::take();
        let mut world = Self {
            network: claim.halves,
            folder: tempfile::tempdir().unwrap(),
            nodes: vec![None, None, None],
            standins: Vec::new(),
            extra: String::new(),
            platform: SocketAddr::from(([127, 0, 0, 1], 1)),
            _claim: claim,
            _place: place,
        };
        let platform = world.address(100, 6000).to_string();
        world.platform = world.standin(&["platform", "--listen", &platform, "--run", "100ms"]);
        world
    }

    /// An address in this world.
    pub(crate) fn address(&self, host: u8, port: u16) -> SocketAddr {
        let [a, b] = self.network;
        SocketAddr::from((Ipv4Addr::new(127, a, b, host), port))
    }

    pub(crate) fn callers(&self, node: u8) -> SocketAddr {
        self.address(node, 8000)
    }

    pub(crate) fn operators(&self, node: u8) -> SocketAddr {
        self.address(node, 9000)
    }

    fn centre(node: u8) -> &'static str {
        if node == 3 { "lag2" } else { "lag1" }
    }

    pub(crate) fn data(&self, node: u8) -> PathBuf {
        self.folder.path().join(format!("data-{node}"))
    }

    /// Writes the settings of a node; where.
    pub(crate) fn settings(&self, node: u8) -> PathBuf {
        let mut text = format!(
            "node: {node}\ndata_centre: {}\nmesh: {}\ncallers: {}\nminions: {}\noperators: {}\n\
             data: {}\nplatform: http://{}\nvoters: [1, 2, 3]\ntrial: true\npeers:\n",
            Self::centre(node),
            self.address(node, 7000),
            self.callers(node),
            self.address(node, 8100),
            self.operators(node),
            self.data(node).display(),
            self.platform,
        );
        for peer in (1..=3).filter(|peer| *peer != node) {
            writeln!(
                text,
                "  - {{node: {peer}, data_centre: {}, mesh: '{}', callers: '{}'}}",
                Self::centre(peer),
                self.address(peer, 7000),
                self.callers(peer),
            )
            .unwrap();
        }
        text.push_str(&self.extra);
        let path = self.folder.path().join(format!("node-{node}.yaml"));
        fs::write(&path, text).unwrap();
        path
    }

    /// Starts a node.
    pub(crate) fn launch(&mut self, node: u8, bootstrap: bool) {
        let log = self.folder.path().join(format!("node-{node}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_egretpind"));
        command.arg("--settings").arg(self.settings(node));
        if bootstrap {
            command.arg("--bootstrap");
        }
        let child = command.stderr(log).spawn().unwrap();
        self.nodes[usize::from(node) - 1] = Some(Process(child));
    }

    /// The process of a node.
    pub(crate) fn node(&mut self, node: u8) -> &mut Process {
        self.nodes[usize::from(node) - 1].as_mut().unwrap()
    }

    /// Ends a node at once, as a crash does.
    pub(crate) fn kill(&mut self, node: u8) {
        self.nodes[usize::from(node) - 1] = None;
    }

    fn standin(&mut self, args: &[&str]) -> SocketAddr {
        let mut child = Command::new(env!("CARGO_BIN_EXE_egretpin-standin"))
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let out = child.stdout.take().unwrap();
        BufReader::new(out).read_line(&mut line).unwrap();
        self.standins.push(Process(child));
        line.trim().parse().expect("a stand-in prints its address")
    }

    /// Starts a minion in `lag1` that announces itself to one node, and waits until that node
    /// routes to it.
    pub(crate) fn minion(&mut self, id: &str, service: &str, node: u8, delay: &str) -> SocketAddr {
        let (host, rack) = if node == 3 {
            ("w2", "r2")
        } else {
            ("w1", "r1")
        };
        let to = self.address(node, 8100).to_string();
        let listen = self
            .address(101 + self.standins.len() as u8, 5000)
            .to_string();
        let address = self.standin(&[
            "minion",
            "--id",
            id,
            "--service",
            service,
            "--node",
            &to,
            "--listen",
            &listen,
            "--data-centre",
            Self::centre(node),
            "--delay",
            delay,
            "--every",
            "200ms",
            "--host",
            host,
            "--rack",
            rack,
        ]);
        let path = format!("/{service}/probe");
        until("the minion serves", || {
            (call(self.callers(node), &path, "probe").status == 200).then_some(())
        });
        address
    }

    /// Waits until a node has answered every call for longer than a minion may be silent, so that
    /// a refusal from then on isn't a leftover of the start.
    pub(crate) fn steady(&self, node: u8, path: &str) {
        let mut since = Instant::now();
        until("calls are answered steadily", || {
            if call(self.callers(node), path, "steady").status != 200 {
                since = Instant::now();
            }
            (since.elapsed() > STEADY).then_some(())
        });
    }

    /// What a node says of itself; `None` if it doesn't answer.
    pub(crate) fn status(&self, node: u8) -> Option<Value> {
        get(self.operators(node), "/v1/node")
    }

    /// What a node's operators' interface has at a path.
    pub(crate) fn read(&self, node: u8, path: &str) -> Option<Value> {
        get(self.operators(node), path)
    }

    /// The text of a node's metrics.
    fn metrics(&self, node: u8) -> Option<String> {
        let url = format!("http://{}/metrics", self.operators(node));
        agent()
            .get(url)
            .call()
            .ok()?
            .body_mut()
            .read_to_string()
            .ok()
    }

    /// The figure of a node's metric, named with its labels.
    pub(crate) fn metric(&self, node: u8, name: &str) -> Option<u64> {
        let text = self.metrics(node)?;
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        line.strip_prefix(' ')?.parse().ok()
    }

    /// Has the platform's tasks run for that many milliseconds from now on.
    pub(crate) fn run_time(&self, millis: u64) {
        let (status, _) = post(
            self.platform,
            "/standin/fault",
            &json!({"run_time": millis}),
        );
        assert_eq!(status, 200);
    }

    /// The node that leads, once all that run agree.
    pub(crate) fn leader(&self) -> u8 {
        until("the nodes agree on a leader", || {
            let running = (1..=3).filter(|node| self.nodes[usize::from(*node) - 1].is_some());
            let said: Option<Vec<_>> = running
                .map(|node| Some(self.status(node)?["leader"].clone()))
                .collect();
            let said = said?;
            let leader = said[0].as_u64()? as u8;
            let leads = self.status(leader)?["leads"] == true;
            (leads && said.iter().all(|other| *other == said[0])).then_some(leader)
        })
    }

    /// Sends an operator's command to a node; the status and the body.
    pub(crate) fn command(&self, node: u8, operation: &str, change: &Value) -> (u16, Value) {
        let body = json!({"operation": operation, "change": change});
        post(self.operators(node), "/v1/operations", &body)
    }

    /// Posts to a node's operators' interface; the status and the body.
    pub(crate) fn post(&self, node: u8, path: &str, body: &Value) -> (u16, Value) {
        post(self.operators(node), path, body)
    }

    /// Runs a command of the operators' program against a node; its exit code, and all it said.
    pub(crate) fn operate(&self, node: u8, line: &str) -> (i32, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_egretpin"))
            .args(line.split_whitespace())
            .env("EGRETPIN_ADDRESS", self.operators(node).to_string())
            .env("EGRETPIN_STATE", self.folder.path().join("state"))
            .output()
            .unwrap();
        let said = [output.stdout, output.stderr].concat();
        (
            output.status.code().unwrap(),
            String::from_utf8(said).unwrap(),
        )
    }

    /// Cuts a node off from others at its mesh, both ways.
    pub(crate) fn cut(&self, node: u8, from: &[u8]) {
        let (status, _) = post(self.operators(node), "/v1/trial/cut", &json!(from));
        assert_eq!(status, 200);
    }

    /// Submits a job through a node; its id.
    pub(crate) fn submit(&self, node: u8, operation: &str) -> u64 {
        self.submit_to(node, operation, "firmware")
    }

    /// Submits a job of a service through a node; its id.
    pub(crate) fn submit_to(&self, node: u8, operation: &str, service: &str) -> u64 {
        let (status, reply) = self.command(node, operation, &job(service));
        assert_eq!(status, 200, "{reply}");
        reply["reply"]["job_accepted"]["job"].as_u64().unwrap()
    }

    /// Where a job stands, as a node sees it.
    pub(crate) fn job(&self, node: u8, id: u64) -> Option<Value> {
        let job = get(self.operators(node), &format!("/v1/jobs/{id}"))?;
        (job["job"] == id).then_some(job)
    }

    /// How many requests a minion has begun to run.
    pub(crate) fn runs(&self, minion: SocketAddr) -> u64 {
        get(minion, "/standin/counts").unwrap()["runs"]
            .as_u64()
            .unwrap()
    }

    /// How often the platform began each job.
    pub(crate) fn starts(&self) -> Value {
        get(self.platform, "/standin/starts").unwrap()
    }

    /// How often the platform restarted each host.
    pub(crate) fn reboots(&self) -> Value {
        get(self.platform, "/standin/reboots").unwrap()
    }

    /// Has the platform misbehave.
    pub(crate) fn fault(&self, fault: &Value) {
        assert_eq!(post(self.platform, "/standin/fault", fault).0, 200);
    }

    /// One host, as a node sees it.
    pub(crate) fn host(&self, node: u8, id: &str) -> Option<Value> {
        let hosts = self.read(node, "/v1/hosts")?;
        let mut hosts = hosts["hosts"].as_array()?.iter();
        hosts.find(|host| host["name"] == id).cloned()
    }

    /// Starts a wave of the pool `sensors`; its id.
    pub(crate) fn wave(&self, node: u8) -> u64 {
        let version = self.status(node).unwrap()["acting"]["version"].clone();
        let start = json!({"kind": "start_wave", "pool": "sensors", "expected": version});
        let (status, reply) = self.command(node, "wave", &start);
        assert_eq!(status, 200, "{reply}");
        reply["reply"]["wave_started"]["wave"].as_u64().unwrap()
    }
}

/// What a caller was told.
#[derive(Debug)]
pub(crate) struct Told {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) reason: String,
    /// The id by which operators may ask about it.
    pub(crate) request: String,
    pub(crate) body: String,
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build()
        .into()
}

/// Sends a caller's request. A connection that fails has status 0.
pub(crate) fn call(address: SocketAddr, path: &str, body: &str) -> Told {
    call_keyed(address, path, body, None)
}

/// The same with an idempotency key.
pub(crate) fn call_keyed(address: SocketAddr, path: &str, body: &str, key: Option<&str>) -> Told {
    let mut request = agent().post(format!("http://{address}{path}"));
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let Ok(mut answer) = request.send(body) else {
        return Told {
            status: 0,
            outcome: String::new(),
            reason: String::new(),
            request: String::new(),
            body: String::new(),
        };
    };
    let header = |name| {
        let value = answer.headers().get(name);
        value.map_or("", |value| value.to_str().unwrap()).to_owned()
    };
    Told {
        status: answer.status().as_u16(),
        outcome: header("egretpin-outcome"),
        reason: header("egretpin-reason"),
        request: header("egretpin-request"),
        body: answer.body_mut().read_to_string().unwrap_or_default(),
    }
}

/// Reads JSON; `None` if nothing answers or it isn't JSON.
pub(crate) fn get(address: SocketAddr, path: &str) -> Option<Value> {
    let mut answer = agent().get(format!("http://{address}{path}")).call().ok()?;
    answer.body_mut().read_json().ok()
}

fn post(address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let url = format!("http://{address}{path}");
    let mut answer = agent().post(url).send_json(body).unwrap();
    let status = answer.status().as_u16();
    (status, answer.body_mut().read_json().unwrap_or(Value::Null))
}

fn job(service: &str) -> Value {
    json!({
        "kind": "submit_job", "service": service, "team": "field",
        "resources": {"millicores": 1000, "memory": 1024, "accelerators": 0}, "runtime": 1000
    })
}

/// A pool of two racks with two services, another of one host, and two presets.
pub(crate) const DECLARATION: &str = "\
data_centres:
  lag1: { region: lagos }
  lag2: { region: lagos }
  far: { region: lagos }
pools:
  sensors: { soak: 1s }
  labs: { soak: 1s }
  barn: { soak: 1s }
racks:
  r1: { data_centre: lag1, pool: sensors, resources: { cores: 32, memory: 1GiB }, hosts: [w1] }
  r2: { data_centre: lag2, pool: sensors, resources: { cores: 32, memory: 1GiB }, hosts: [w2] }
  r3: { data_centre: lag1, pool: labs, resources: { cores: 32, memory: 1GiB }, hosts: [w3] }
  r4: { data_centre: lag2, pool: labs, resources: { cores: 32, memory: 1GiB }, hosts: [w4] }
  r5: { data_centre: far, pool: barn, resources: { cores: 32, memory: 1GiB }, hosts: [w5] }
services:
  soil: { pool: sensors, idempotent: true, available: 0, timeout: 4s }
  firmware: { pool: sensors, available: 0, timeout: 4s }
  growth: { pool: labs, available: 1, timeout: 4s }
teams:
  field: { quota: { cores: 64, memory: 4GiB } }
presets:
  ordinary: {}
  peak: { wave: { racks: 0 } }
";
