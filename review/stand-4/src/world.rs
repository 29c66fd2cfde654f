//! The programs as separate processes on loopback addresses, and the record of what is seen.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, provider::Provider, proxy::Proxy};

pub const HOST: &str = "cubo38.example";
pub const CONTROLS: [u8; 3] = [1, 2, 3];
pub const ENTRY: u8 = 9;
const CONTROL_PORT: u16 = 8623;
const CALLER_PORT: u16 = 8624;
const READY_PORT: u16 = 8622;
/// The first port of `portRange`. The entry node has its own, where proxies listen that forward to
/// the control nodes: they stand in for the network between them.
const MESH_PORT: u16 = 7060;
const ENTRY_MESH_PORT: u16 = 7040;

/// What is seen, in memory and in `record.txt`.
#[derive(Clone)]
pub struct Record {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    start: Instant,
    file: File,
    /// For each subtask, its starts: minion and run.
    starts: BTreeMap<String, Vec<(String, u64)>>,
    /// For each subtask, its ends: run and how.
    ends: BTreeMap<String, Vec<(u64, &'static str)>>,
    /// For each subtask, when it last ended.
    last_end: BTreeMap<String, Instant>,
    /// The longest time from an end of each subtask to its next start.
    pauses: BTreeMap<String, Duration>,
    /// The subtasks that run now, with their minion.
    running: BTreeMap<String, (String, u64)>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let inner = Inner {
            start: Instant::now(),
            file: File::create(path).expect("record.txt can be written"),
            starts: BTreeMap::new(),
            ends: BTreeMap::new(),
            last_end: BTreeMap::new(),
            pauses: BTreeMap::new(),
            running: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    pub fn note(&self, text: &str) {
        let mut inner = self.inner.lock().expect("no panic");
        let at = inner.start.elapsed().as_secs_f64();
        let _ = writeln!(inner.file, "{at:8.3} {text}");
    }

    pub fn start(&self, agent: &str, task: &str, run: u64) {
        let mut inner = self.inner.lock().expect("no panic");
        let starts = inner.starts.entry(task.to_owned()).or_default();
        starts.push((agent.to_owned(), run));
        let here = (agent.to_owned(), run);
        inner.running.insert(task.to_owned(), here);
        if let Some(end) = inner.last_end.remove(task) {
            let longest = inner.pauses.entry(task.to_owned()).or_default();
            *longest = end.elapsed().max(*longest);
        }
        drop(inner);
        self.note(&format!("minion {agent} started {task} run {run}"));
    }

    pub fn end(&self, agent: &str, task: &str, run: u64, how: &'static str) {
        let mut inner = self.inner.lock().expect("no panic");
        let ends = inner.ends.entry(task.to_owned()).or_default();
        ends.push((run, how));
        if inner
            .running
            .get(task)
            .is_some_and(|(a, r)| a == agent && *r == run)
        {
            inner.running.remove(task);
            inner.last_end.insert(task.to_owned(), Instant::now());
        }
        drop(inner);
        self.note(&format!("minion {agent} ended {task} run {run}: {how}"));
    }

    /// The minions on which subtasks of a job run now.
    pub fn running(&self, job: &str) -> Vec<String> {
        let inner = self.inner.lock().expect("no panic");
        let running = inner
            .running
            .iter()
            .filter(|(task, _)| task.starts_with(job));
        running.map(|(_, (agent, _))| agent.clone()).collect()
    }

    /// For each subtask that has ended, the longest time for which it hasn't run since then.
    pub fn pauses(&self) -> BTreeMap<String, Duration> {
        let inner = self.inner.lock().expect("no panic");
        let mut pauses = inner.pauses.clone();
        for (task, end) in &inner.last_end {
            let longest = pauses.entry(task.clone()).or_default();
            *longest = end.elapsed().max(*longest);
        }
        pauses
    }

    pub fn ends(&self) -> BTreeMap<String, Vec<(u64, &'static str)>> {
        self.inner.lock().expect("no panic").ends.clone()
    }

    pub fn starts(&self) -> BTreeMap<String, Vec<(String, u64)>> {
        self.inner.lock().expect("no panic").starts.clone()
    }
}

/// Ends its processes when it is dropped.
pub struct World {
    halves: [u8; 2],
    folder: PathBuf,
    program: PathBuf,
    pub record: Record,
    nodes: BTreeMap<u8, Child>,
    /// The way from the entry node to each control node.
    pub proxies: BTreeMap<u8, Proxy>,
    pub provider: Provider,
    provider_address: SocketAddr,
}

impl Drop for World {
    fn drop(&mut self) {
        for child in self.nodes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl World {
    /// Starts three control nodes and an entry node. An error if that can't be done.
    pub fn start(root: &Path, record: Record) -> Result<Self, String> {
        let program = root.join("target/release/egretpin-platform");
        if !program.exists() {
            return Err(format!("{} isn't built", program.display()));
        }
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("egretpin-review-{pid}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let halves = free_network(pid).ok_or("no free loopback network")?;
        let ip = Ipv4Addr::new(127, halves[0], halves[1], 30);
        let (provider, provider_address) =
            Provider::start(ip).map_err(|error| error.to_string())?;
        let mut world = Self {
            provider,
            provider_address,
            halves,
            folder,
            program,
            record,
            nodes: BTreeMap::new(),
            proxies: BTreeMap::new(),
        };
        for node in CONTROLS {
            let (from, to) = (
                world.address(node, ENTRY_MESH_PORT),
                world.address(node, MESH_PORT),
            );
            let proxy = Proxy::start(from, to).map_err(|error| error.to_string())?;
            world.proxies.insert(node, proxy);
        }
        for node in CONTROLS.into_iter().chain([ENTRY]) {
            world.launch(node, true)?;
        }
        let ready = world.address(ENTRY, READY_PORT);
        wait_until(Duration::from_secs(20), || {
            let answer = http::send(ready, "GET", "/ready", &[], "", Duration::from_secs(1));
            answer.is_some_and(|(status, ..)| status == 200)
        })
        .then_some(world)
        .ok_or_else(|| "the entry node isn't ready".to_owned())
    }

    pub fn ip(&self, node: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.halves[0], self.halves[1], node)
    }

    fn address(&self, node: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(node), port))
    }

    pub fn control(&self, node: u8) -> SocketAddr {
        self.address(node, CONTROL_PORT)
    }

    pub fn callers(&self) -> SocketAddr {
        self.address(ENTRY, CALLER_PORT)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        CONTROLS.iter().map(|node| self.control(*node)).collect()
    }

    /// Starts a process with the command of `deploy/system.toml`.
    pub fn launch(&mut self, node: u8, bootstrap: bool) -> Result<(), String> {
        let seeds: Vec<_> = self.controls().iter().map(ToString::to_string).collect();
        let is_entry = node == ENTRY;
        let role = if is_entry { "entry" } else { "control" };
        let mesh = if is_entry { ENTRY_MESH_PORT } else { MESH_PORT };
        let mut lines = vec![
            format!("nodeName={role}-{node}"),
            format!("role={role}"),
            format!("ip={}", self.ip(node)),
            "zone=ikeja\nregion=lagos\nzones.ikeja=lagos".to_owned(),
            format!("portRange={mesh},{}", mesh + 15),
            format!("seeds={}", seeds.join(",")),
            format!("bootstrap={bootstrap}"),
            "limits.cpuShare=0.39\nlimits.cores=1\nlimits.memoryMb=256\nlimits.maxFds=4096".to_owned(),
            "discovery=registry\nentry=vip\nheartbeatMs=500\nconfig_mode=highest\ncontrolMode=rpc".to_owned(),
            "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing".to_owned(),
            "faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0".to_owned(),
            "bounds.seedLagS=3\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4".to_owned(),
            "bounds.drainMs=2000\nbounds.graceS=6\nbounds.configApplyMs=2000\nbounds.recoveryS=12".to_owned(),
            "bounds.maxHoldMs=10000\nbounds.stopMs=900\nbounds.gangTimeoutMs=3000".to_owned(),
            "bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.status_s=120\nbounds.leaseMs=3000".to_owned(),
        ];
        lines.push(format!("cloudApi.address={}", self.provider_address));
        lines.push("cloudApi.ratePerS=64.0\ncloudApi.dutyPerS=64.0".to_owned());
        if is_entry {
            lines.push("machineClass=front\nserves=front".to_owned());
            lines.push(format!("listen.front={}", self.callers()));
            lines.push(format!("listen.ready={}", self.address(node, READY_PORT)));
        } else {
            lines.push("machineClass=core\nserves=control".to_owned());
            lines.push(format!("listen.control={}", self.control(node)));
            lines.push(format!(
                "dataDir={}",
                self.folder.join(format!("data-{node}")).display()
            ));
        }
        let path = self.folder.join(format!("node-{node}.conf"));
        fs::write(&path, lines.join("\n")).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("node-{node}.log"));
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(&self.program)
            .arg(role)
            .env("EGRETPIN_BOOT", path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = child.map_err(|error| error.to_string())?;
        self.nodes.insert(node, child);
        Ok(())
    }

    /// The control node that leads: only it answers 404 for a wave that isn't there.
    pub fn leader(&self) -> Option<u8> {
        let mut found = None;
        wait_until(Duration::from_secs(15), || {
            found = CONTROLS.into_iter().find(|node| {
                let limit = Duration::from_millis(500);
                let to = self.control(*node);
                let answer = http::send(to, "GET", "/wave-get/999", &[], "", limit);
                answer.is_some_and(|(status, ..)| status == 404)
            });
            found.is_some()
        });
        found
    }

    /// Sends a configuration, again until it is acknowledged; the time that took.
    pub fn configure(&self, first: u8, body: &str) -> Option<Duration> {
        let start = Instant::now();
        let nodes: Vec<_> = [first].into_iter().chain(CONTROLS).collect();
        let mut turn = 0;
        wait_until(Duration::from_secs(15), || {
            let to = self.control(nodes[turn % nodes.len()]);
            turn += 1;
            let answer = http::send_following(to, "PUT", "/config", body, Duration::from_secs(1));
            let status = answer.map(|(status, _)| status);
            self.record
                .note(&format!("operator: PUT /config to {to}: {status:?}"));
            status == Some(200)
        })
        .then(|| start.elapsed())
    }
}

/// Checks a condition until it holds. Returns whether it did in time.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    loop {
        if condition() {
            return true;
        }
        if start.elapsed() >= limit {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// The middle bytes of a loopback network on which nobody listens at the ports that are used.
fn free_network(pid: u32) -> Option<[u8; 2]> {
    let first = pid.wrapping_mul(2_654_435_761) >> 16;
    (0..200).find_map(|step: u32| {
        let number = first.wrapping_add(step * 257);
        let halves = [64 + (number >> 8) as u8 % 128, number as u8];
        let free = CONTROLS.into_iter().chain([ENTRY]).all(|node| {
            let ip = Ipv4Addr::new(127, halves[0], halves[1], node);
            let ports = [
                CONTROL_PORT,
                CALLER_PORT,
                READY_PORT,
                MESH_PORT,
                ENTRY_MESH_PORT,
            ];
            ports
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        free.then_some(halves)
    })
}

/// A route to the service `soil`.
pub fn route(name: &str, prefix: &str, max_attempts: u32) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","kind":"unsafe","timeoutMs":3000,"targetDurationMs":600,"priority":0,"service":"soil","maxAttempts":{max_attempts},"stretch":1.6}}"#
    )
}

/// A configuration with the service `soil`.
pub fn config(version: u64, routes: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"soil","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"admissionControl":false,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}
