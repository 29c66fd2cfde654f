//! The demonstration, step by step.

use std::{cell::RefCell, collections::BTreeMap, io, time::Duration};

use snafu::ResultExt;
use tokio::time::{Instant, sleep};

use super::{
    callers::{Callers, Class, Phase},
    cluster::{CENTRES, Cluster, DECLARATION, Folder, NODES, Network, centre, nodes_of},
    error::{DemoError, StandInSnafu},
    minions::{self, Minions},
    operators::{self, NodePage},
    report::Report,
    tally::{Requests, Rollout, Step, Tally},
    watch::{self, Watch},
};
use crate::{
    api::{
        Answer, Change, JobBody, millis,
        view::{Job, Measures, Status, Waves},
    },
    core::{
        state::{Outcome, Reply},
        types::{JobId, NodeId, Resources, Urgency, Version, WaveId},
    },
    standin::platform::{self, Platform},
};

/// The pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(25);
/// After this long a minion that leaves must get nothing new.
const LEFT: Duration = Duration::from_secs(3);
/// How long it is then looked at.
const LOOKED: Duration = Duration::from_secs(1);
/// The least time that a data centre stays cut off.
const CUT: Duration = Duration::from_secs(2);
/// Jobs submitted at the beginning, and while a data centre is cut off.
const JOBS: [usize; 2] = [12, 4];

/// The minion that is killed.
const KILLED: &str = "soil-ikeja-h1";
/// The minion that leaves.
const LEAVING: &str = "accounts-lekki-h1";

/// Plays the whole demonstration.
pub(super) async fn play(
    folder: &Folder,
    longest: Duration,
    note: &mut dyn FnMut(&str),
) -> Result<Report, DemoError> {
    let began = Instant::now();
    let network = Network::new();
    let settings = platform::Settings::default();
    let platform = Platform::start(network.platform(), settings)
        .await
        .context(StandInSnafu)?;
    let cluster = Cluster::start(network, folder).await?;
    let minions = Minions::start(network).await.context(StandInSnafu)?;
    let mut stage = Stage {
        network,
        cluster,
        platform,
        minions,
        callers: None,
        watch: Watch::start(network),
        tally: Tally::default(),
        jobs: Vec::new(),
        version: 0,
        stopped: Vec::new(),
        lost: None,
        trouble: RefCell::new(None),
        end: began + longest,
        note,
    };
    // A step that didn't end in time is noted in the tally, and what builds on it is left out.
    if stage.play().await.is_none() {
        stage.tell_nodes().await;
    }
    let tally = stage.count().await;
    Ok(Report::new(millis(began.elapsed()), tally))
}

struct Stage<'n> {
    network: Network,
    cluster: Cluster,
    platform: Platform,
    minions: Minions,
    callers: Option<Callers>,
    watch: Watch,
    tally: Tally,
    jobs: Vec<JobId>,
    version: Version,
    stopped: Vec<NodeId>,
    lost: Option<&'static str>,
    /// Why the last change that was sent wasn't accepted, and by which node.
    trouble: RefCell<Option<String>>,
    end: Instant,
    note: &'n mut dyn FnMut(&str),
}

impl Stage<'_> {
    /// The steps; `None` if one of them didn't end in time.
    async fn play(&mut self) -> Option<()> {
        self.begin().await?;
        self.submit(JOBS[0]).await?;
        self.use_preset("maintenance", &NODES).await?;
        self.wave().await?;
        self.lose_minions().await?;
        let leader = self.leader().await?;
        self.stop_node(leader).await?;
        self.cut_off(leader).await?;
        self.finish_jobs().await?;
        self.measure().await
    }

    async fn begin(&mut self) -> Option<()> {
        let leader = self.leader().await?;
        let apply = Change::Apply {
            file: "fleet.yaml".into(),
            text: DECLARATION.into(),
            preset: Some("ordinary".into()),
            expected: 0,
        };
        self.configure(leader, "apply", apply, "ordinary", &NODES)
            .await?;
        let network = self.network;
        self.until("every data centre serves", async || {
            for node in NODES {
                if !operators::is_good(network.callers(node), "/soil/probe").await {
                    return None;
                }
            }
            Some(())
        })
        .await?;
        self.callers = Some(Callers::start(network));
        Some(())
    }

    /// Waits until the nodes agree on a leader.
    async fn leader(&mut self) -> Option<NodeId> {
        let (network, nodes) = (self.network, self.running());
        self.until("the nodes agree on a leader", async || {
            let mut leader = None;
            for node in &nodes {
                let page: NodePage = operators::get(network.operators(*node), "/v1/node")
                    .await
                    .ok()?;
                let agreed = *leader.get_or_insert(page.leader?) == page.leader?;
                if !agreed || page.leads != (page.leader == Some(*node)) {
                    return None;
                }
            }
            leader
        })
        .await
    }

    fn running(&self) -> Vec<NodeId> {
        let running = |node: &NodeId| !self.stopped.contains(node);
        NODES.into_iter().filter(running).collect()
    }

    /// Submits jobs that may not run twice, each twice under one id through different nodes.
    async fn submit(&mut self, count: usize) -> Option<()> {
        let began = Instant::now();
        let accepted = self.submit_all(count).await;
        let what = format!("{count} jobs are accepted, each sent twice");
        self.step(&what, began, accepted)
    }

    async fn submit_all(&mut self, count: usize) -> Option<()> {
        let nodes = self.reachable().await?;
        for number in 0..count {
            let operation = format!("job-{}", self.jobs.len());
            let mut turn = nodes.clone();
            turn.rotate_left(number % nodes.len());
            let job = self.submit_one(&turn, &operation).await?;
            turn.rotate_left(1);
            let again = self.submit_one(&turn, &operation).await?;
            self.tally.jobs.doubled += u64::from(again != job);
            self.jobs.push(job);
            self.tally.jobs.accepted += 1;
        }
        Some(())
    }

    async fn submit_one(&self, nodes: &[NodeId], operation: &str) -> Option<JobId> {
        let answer = self
            .send(nodes, operation, &Change::SubmitJob(job()))
            .await?;
        match answer.reply {
            Reply::JobAccepted { job } => Some(job),
            _ => None,
        }
    }

    async fn use_preset(&mut self, preset: &str, nodes: &[NodeId]) -> Option<()> {
        let change = Change::UsePreset {
            preset: preset.into(),
            expected: self.version,
        };
        let operation = format!("use-{preset}");
        self.configure(nodes[0], &operation, change, preset, nodes)
            .await
    }

    /// Sends a change of configuration, waits until some nodes act under it and notes how long
    /// that took.
    async fn configure(
        &mut self,
        node: NodeId,
        operation: &str,
        change: Change,
        preset: &str,
        nodes: &[NodeId],
    ) -> Option<()> {
        let sent = self.watch.now();
        let what = format!("the change to preset {preset} is accepted");
        let answer = self.change(node, operation, change, &what).await?;
        let Reply::Configured { version } = answer.reply else {
            return None;
        };
        self.version = version;
        let reached = self.in_force(preset, version, nodes).await?;
        self.tally.measures.rollouts.push(Rollout {
            preset: Some(preset.into()),
            nodes: nodes.len() as u64,
            took: millis(reached.saturating_sub(sent)),
        });
        Some(())
    }

    async fn in_force(
        &mut self,
        preset: &str,
        version: Version,
        nodes: &[NodeId],
    ) -> Option<Duration> {
        let began = Instant::now();
        let mut reached = None;
        while reached.is_none() && Instant::now() < self.end {
            sleep(LOOK).await;
            reached = self.watch.reached(version, nodes);
        }
        let what = format!("{} nodes act under preset {preset}", nodes.len());
        self.step(&what, began, reached)
    }

    async fn wave(&mut self) -> Option<()> {
        let node = self.leader().await?;
        let began = Instant::now();
        self.enter(Phase::Wave);
        let start = Change::StartWave {
            pool: "sensors".into(),
            expected: self.version,
        };
        let answer = self
            .change(node, "wave", start, "a wave is started")
            .await?;
        let Reply::WaveStarted { wave } = answer.reply else {
            return None;
        };
        let address = self.network.operators(node);
        self.until("the wave ends", async || {
            let waves: Waves = operators::get(address, "/v1/waves").await.ok()?;
            has_ended(&waves, wave).then_some(())
        })
        .await?;
        self.leave(Phase::Wave).await;
        self.tally.wave.took = millis(began.elapsed());
        Some(())
    }

    /// Kills one minion, has another leave, and looks whether that one gets anything new.
    async fn lose_minions(&mut self) -> Option<()> {
        let began = Instant::now();
        self.enter(Phase::Kill);
        self.minions.kill(KILLED);
        self.minions.leave(LEAVING);
        sleep(LEFT).await;
        let before = self.minions.runs_of(LEAVING);
        sleep(LOOKED).await;
        self.tally.late_runs = Some(self.minions.runs_of(LEAVING) - before);
        self.leave(Phase::Kill).await;
        let what = format!("minion {KILLED} is killed, {LEAVING} leaves");
        self.step(&what, began, Some(()))
    }

    /// Stops the other node of the leader's data centre as an upgrade would.
    async fn stop_node(&mut self, leader: NodeId) -> Option<()> {
        let began = Instant::now();
        let node = nodes_of(centre(leader)).find(|node| *node != leader)?;
        let running = self.cluster.take(node)?;
        self.enter(Phase::Stop);
        let stopped = tokio::time::timeout_at(self.end, running.stop()).await.ok();
        self.leave(Phase::Stop).await;
        self.stopped.push(node);
        self.tally.stopped = stopped.map(|()| node);
        self.step(&format!("node {node} stops as planned"), began, stopped)
    }

    /// Cuts a data centre off and changes the preset meanwhile.
    async fn cut_off(&mut self, leader: NodeId) -> Option<()> {
        let lost = CENTRES.into_iter().find(|c| *c != centre(leader))?;
        let (inside, outside): (Vec<_>, Vec<_>) =
            NODES.into_iter().partition(|node| centre(*node) == lost);
        self.lost = Some(lost);
        self.enter(Phase::Cut);
        let began = Instant::now();
        let cut = self.cut(&inside, &outside).await;
        self.step(&format!("data centre {lost} is cut off"), began, cut)?;
        let reached: Vec<_> = self
            .running()
            .into_iter()
            .filter(|node| outside.contains(node))
            .collect();
        self.use_preset("peak", &reached).await?;
        self.submit(JOBS[1]).await?;
        self.serve_alone(lost).await?;
        self.leave(Phase::Cut).await;
        let began = Instant::now();
        let healed = self.cut(&inside, &[]).await;
        self.step(
            &format!("data centre {lost} is connected again"),
            began,
            healed,
        )?;
        let version = self.version;
        self.in_force("peak", version, &inside).await.map(drop)
    }

    async fn cut(&self, inside: &[NodeId], from: &[NodeId]) -> Option<()> {
        for node in inside {
            if !operators::cut(self.network.operators(*node), from).await {
                return None;
            }
        }
        Some(())
    }

    /// Waits until callers in the data centre got answers for a while.
    async fn serve_alone(&mut self, data_centre: &'static str) -> Option<()> {
        sleep(CUT).await;
        let began = Instant::now();
        let class = Class {
            phase: Phase::Cut,
            data_centre,
            service: "soil",
            keyed: false,
        };
        let mut served = None;
        while served.is_none() && Instant::now() < self.end {
            let answered = self.callers.as_ref()?.answered(class);
            served = (answered > 0).then_some(());
            sleep(LOOK).await;
        }
        self.step("the cut off data centre serves", began, served)
    }

    async fn finish_jobs(&mut self) -> Option<()> {
        let node = self.leader().await?;
        let (address, jobs) = (self.network.operators(node), self.jobs.clone());
        self.until("every job succeeds", async || {
            (succeeded(address, &jobs).await == jobs.len()).then_some(())
        })
        .await
    }

    async fn measure(&mut self) -> Option<()> {
        let (network, nodes) = (self.network, self.running());
        let measures = self
            .until("the leader tells the measures", async || {
                leaders_measures(network, &nodes).await
            })
            .await?;
        self.tally.measures.buffer = measures.buffer;
        self.tally.measures.moves = measures.moves;
        Some(())
    }

    /// Stops the load and asks the stand-ins what they counted.
    async fn count(mut self) -> Tally {
        if let Some(callers) = self.callers.take() {
            let requests = callers.stop().await;
            self.count_requests(&requests);
        }
        self.count_runs();
        self.count_jobs().await;
        self.tally.wave.hosts = minions::hosts();
        self.tally.wave.restarted = self.minions.restarted();
        (self.tally.budget_looks, self.tally.budget_breaks) = self.minions.budgets();
        let seen = self.watch.seen();
        self.tally.presets.looks = seen.iter().filter(|s| s.version.is_some()).count() as u64;
        self.tally.presets.clashes = watch::clashes(seen);
        self.tally.presets.reversions = watch::reversions(seen);
        self.tally
    }

    fn count_requests(&mut self, requests: &BTreeMap<Class, Requests>) {
        let sum = |test: &dyn Fn(&Class) -> bool| {
            let mut sum = Requests::default();
            for (_, some) in requests.iter().filter(|(class, _)| test(class)) {
                sum.merge(some);
            }
            sum
        };
        let (lost, tally) = (self.lost, &mut self.tally);
        tally.requests = sum(&|_| true);
        tally.keys.requests = sum(&|class| class.keyed);
        tally.unkeyed.requests = sum(&|class| class.service == "accounts");
        tally.wave.requests = sum(&|class| class.phase == Phase::Wave);
        tally.kill = sum(&|class| class.phase == Phase::Kill);
        tally.stop = sum(&|class| class.phase == Phase::Stop);
        tally.cut = sum(&|class| {
            class.phase == Phase::Cut && !class.keyed && Some(class.data_centre) == lost
        });
    }

    fn count_runs(&mut self) {
        let keys = self.minions.keys("alerts");
        self.tally.keys.ran = keys.len() as u64;
        self.tally.keys.twice = keys.values().filter(|runs| **runs > 1).count() as u64;
        self.tally.unkeyed.runs = self.minions.runs("accounts");
    }

    async fn count_jobs(&mut self) {
        let starts = |job: &JobId| self.platform.starts(*job);
        let begun: Vec<_> = self.jobs.iter().map(starts).collect();
        let jobs = &mut self.tally.jobs;
        jobs.once = begun.iter().filter(|starts| **starts == 1).count() as u64;
        jobs.more = begun.iter().filter(|starts| **starts > 1).count() as u64;
        for node in self.running() {
            let address = self.network.operators(node);
            let succeeded = succeeded(address, &self.jobs).await as u64;
            let jobs = &mut self.tally.jobs;
            jobs.succeeded = jobs.succeeded.max(succeeded);
        }
    }
}

/// Small tools of the steps.
impl Stage<'_> {
    /// The nodes that know a leader, of those that run.
    async fn reachable(&self) -> Option<Vec<NodeId>> {
        let mut reachable = Vec::new();
        for node in self.running() {
            let address = self.network.operators(node);
            let page: NodePage = operators::get(address, "/v1/node").await.ok()?;
            if page.leader.is_some() {
                reachable.push(node);
            }
        }
        (!reachable.is_empty()).then_some(reachable)
    }

    /// Sends a change until it is accepted, to one node after the other and always under the same
    /// id, as the operators' command line does: one that was reachable a moment ago may be cut off.
    async fn send(&self, nodes: &[NodeId], operation: &str, change: &Change) -> Option<Answer> {
        let turn = RefCell::new(nodes.iter().cycle());
        self.wait(async || {
            let node = *turn.borrow_mut().next()?;
            let address = self.network.operators(node);
            let answer = operators::change(address, operation, change.clone()).await;
            let trouble = answer.as_ref().err();
            self.trouble
                .replace(trouble.map(|error| format!("node {node} said of {operation}: {error}")));
            answer.ok()
        })
        .await
    }

    /// The same as a step.
    async fn change(
        &mut self,
        node: NodeId,
        operation: &str,
        change: Change,
        what: &str,
    ) -> Option<Answer> {
        let began = Instant::now();
        let answer = self.send(&[node], operation, &change).await;
        self.step(what, began, answer)
    }

    /// Looks until a condition holds or the time is up.
    async fn wait<T>(&self, look: impl AsyncFn() -> Option<T>) -> Option<T> {
        let mut found = look().await;
        while found.is_none() && Instant::now() < self.end {
            sleep(LOOK).await;
            found = look().await;
        }
        found
    }

    /// The same as a step.
    async fn until<T>(&mut self, what: &str, look: impl AsyncFn() -> Option<T>) -> Option<T> {
        let began = Instant::now();
        let found = self.wait(look).await;
        self.step(what, began, found)
    }

    /// Notes a step.
    fn step<T>(&mut self, what: &str, began: Instant, result: Option<T>) -> Option<T> {
        let took = millis(began.elapsed());
        let done = result.is_some();
        let end = if done { "" } else { ": NOT IN TIME" };
        (self.note)(&format!("{took:>6} ms  {what}{end}"));
        if let Some(trouble) = self.trouble.take().filter(|_| !done) {
            (self.note)(&format!("           {trouble}"));
        }
        self.tally.steps.push(Step {
            what: what.into(),
            done,
            took,
        });
        result
    }

    /// Notes what each node says of itself, for whoever looks why a step didn't end.
    async fn tell_nodes(&mut self) {
        for node in self.running() {
            let address = self.network.operators(node);
            let page: Result<serde_json::Value, _> = operators::get(address, "/v1/node").await;
            let page = page.map_or_else(|error| error.to_string(), |page| page.to_string());
            (self.note)(&format!("           node {node} says: {page}"));
        }
    }

    fn enter(&self, phase: Phase) {
        if let Some(callers) = &self.callers {
            callers.enter(phase);
        }
    }

    async fn leave(&self, phase: Phase) {
        if let Some(callers) = &self.callers {
            callers.leave(phase).await;
        }
    }
}

fn has_ended(waves: &Waves, wave: WaveId) -> bool {
    let mut ended = waves.waves.iter().filter(|w| w.ended.is_some());
    ended.any(|found| found.wave == wave)
}

/// What the node that leads says. Leadership can change between any two looks, and a node that leads
/// no more has no such figures, so whoever has them at one look is asked, not who led before.
async fn leaders_measures(network: Network, nodes: &[NodeId]) -> Option<Measures> {
    for node in nodes {
        let page: io::Result<Status> = operators::get(network.operators(*node), "/v1/status").await;
        let told = page.ok().map(|status| status.local.measures);
        if let Some(told) = told.filter(|told| told.buffer.is_some() && told.moves.is_some()) {
            return Some(told);
        }
    }
    None
}

async fn succeeded(address: std::net::SocketAddr, jobs: &[JobId]) -> usize {
    let mut count = 0;
    for job in jobs {
        let page: Result<Job, _> = operators::get(address, &format!("/v1/jobs/{job}")).await;
        let done = page.is_ok_and(|page| page.result == Some(Outcome::Succeeded));
        count += usize::from(done);
    }
    count
}

fn job() -> JobBody {
    JobBody {
        service: "summaries".into(),
        team: "nightly".into(),
        idempotent: Some(false),
        resources: Resources {
            millicores: 8000,
            memory: 1 << 30,
            accelerators: 0,
        },
        urgency: Urgency::Ordinary,
        runtime: 500,
        checkpointable: false,
        payload: "nightly summary".into(),
    }
}
