//! The replicated state machine of jobs.
//!
//! Applying a [`Command`] is deterministic and decides nothing but races: a job's number that is
//! taken, an older catalog, an end of an attempt that was superseded. It returns what changed, so
//! that the leader's scheduler needs to look at nothing else.
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::core::workload::{
//!     command::{Command, Submission},
//!     job::JobState,
//!     ledger::{Change, Ledger},
//!     spec::{JobSpec, StepSpec},
//! };
//!
//! let mut ledger = Ledger::default();
//! let submit = Command::Submit(Box::new(Submission {
//!     job: 7,
//!     queue: "alerts".into(),
//!     pool: "soil".into(),
//!     workspace: None,
//!     spec: JobSpec::new("water", vec![StepSpec::new(2, Duration::from_secs(1))]),
//!     accepted: Duration::ZERO,
//! }));
//! assert_eq!(ledger.apply(1, &submit), [Change::Accepted(7)]);
//! // A resend is the same job.
//! assert!(ledger.apply(2, &submit).is_empty());
//! assert_eq!(ledger.job(7).map(|job| job.state), Some(JobState::Queued));
//! assert_eq!(ledger.pending("alerts"), 1);
//! ```

use std::collections::{BTreeMap, BTreeSet, VecDeque, btree_map::Entry};

use serde::{Deserialize, Serialize};

use super::{
    catalog::JobId,
    command::{
        AgentRecord, Command, Document, End, Ending, Ends, Placed, Round, Submission, WaveRecord,
    },
    job::{Job, JobState, StepId, Task, TaskId},
    odds::Odds,
    spec::{StepIx, TaskIx},
    suspicion::{Crash, Evidence, Seen},
    touched::Touched,
};
use crate::core::{
    cluster::Cluster,
    consensus::{Index, Payload},
    types::{Attempt, HostId, MinionId, Name, Resources, Wall, WaveId, WorkspaceId},
};

/// How many of the incarnations that are over are remembered, the last ones. Each takes some 15 bytes
/// of an image.
///
/// A heartbeat may come later than its sender's end by as long as a cut lasts. Where 500 hosts each
/// lose an agent every ten seconds, these are the ends of 80 seconds. One that was forgotten does no
/// harm by itself: whoever is heard for the first time has to answer at its address before anything
/// hangs on it.
const OVER: usize = 4096;

/// What a command changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Another catalog is in force.
    Declared,
    /// A job was accepted.
    Accepted(JobId),
    /// A job is over; what is placed of it must be stopped.
    Over(JobId),
    /// All steps before a step are done.
    Opened(StepId),
    /// A task was given to an agent.
    Placed(Placed),
    /// An attempt doesn't run any more.
    Vacated {
        /// The attempt.
        placed: Placed,
        /// Whether the task needs another one.
        again: bool,
    },
    /// The task of a placed attempt was done by another one.
    Superfluous(Placed),
    /// All ends of an agent up to this one were taken in.
    Acked {
        /// The agent.
        agent: MinionId,
        /// The number of the end.
        through: u64,
    },
    /// A host has ended under a task, and nothing else is known to have ended it.
    Suspected(TaskId, Evidence),
    /// A job has failed, since a task of it ends the hosts that run it.
    Convicted(TaskId),
    /// An agent is known, or known better.
    Agent(MinionId),
    /// What is placed at an incarnation that was known by its agent's name is at this one: it is the same.
    Renamed {
        /// Before.
        from: MinionId,
        /// From now on.
        to: MinionId,
    },
    /// An agent is over.
    Gone(MinionId),
    /// A wave was taken on, or got on.
    Wave(WaveId),
}

/// An incarnation of an agent that is over, and the last of its heartbeats that was committed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Ended(MinionId, HeartbeatNumber);

/// The number of a heartbeat among those of its incarnation.
type HeartbeatNumber = u64;

/// What is known of jobs and agents.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ledger {
    applied: Index,
    document: Option<Document>,
    jobs: BTreeMap<JobId, Job>,
    agents: BTreeMap<MinionId, AgentRecord>,
    waves: BTreeMap<WaveId, WaveRecord>,
    /// Incarnations that are over, the last one last. Older images hold none.
    #[serde(default)]
    over: VecDeque<Ended>,
    /// Hosts that leaders gave orders about lately. Older images hold none.
    #[serde(default)]
    touched: Touched,
    /// How often hosts were seen to end by themselves. Older images hold none.
    #[serde(default)]
    seen: Seen,
    /// How likely a job of each queue ends its hosts, if any did. Older images hold none.
    #[serde(default)]
    odds: BTreeMap<Name, Odds>,
    /// The cluster that it is of. Older images hold none.
    #[serde(default)]
    cluster: Option<Cluster>,
    /// Derived: jobs of each queue of which nothing has been started.
    #[serde(skip)]
    pending: BTreeMap<Name, u64>,
    /// Derived: what is placed at each agent.
    #[serde(skip)]
    placed: BTreeMap<MinionId, BTreeSet<TaskId>>,
    /// Derived: what the tasks that are placed need, by the workspace that they are of.
    #[serde(skip)]
    used: BTreeMap<WorkspaceId, Resources>,
}

impl Ledger {
    /// Applies the command at an index of the log.
    pub fn apply(&mut self, index: Index, command: &Command) -> Vec<Change> {
        self.applied = index;
        let mut changes = Vec::new();
        match command {
            Command::Declare(document) => self.declare(document, &mut changes),
            Command::Submit(submission) => self.submit(submission, &mut changes),
            Command::Cancel(job) => self.end_job(*job, JobState::Cancelled, &mut changes),
            Command::Agent(record) => self.know(record, &mut changes),
            Command::Gone(agent) => self.bury(agent, &mut changes),
            Command::Round(round) => self.round(round, &mut changes),
            Command::Wave(wave) => self.wave(wave, &mut changes),
            Command::Maintained { wave, hosts } => self.maintained(*wave, hosts, &mut changes),
            Command::Forget(jobs) => self.forget(jobs),
            Command::Crashed(crash) => self.crash(crash, &mut changes),
            Command::Found(cluster) => {
                self.cluster.get_or_insert_with(|| cluster.clone());
            }
        }
        changes
    }

    /// The index that was applied last.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The cluster that it is of, once it has an id.
    pub fn cluster(&self) -> Option<&Cluster> {
        self.cluster.as_ref()
    }

    /// The catalog in force, as it was sent.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// A job that is known.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// All jobs that are known, in order of their numbers.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// An agent that is known.
    pub fn agent(&self, id: &MinionId) -> Option<&AgentRecord> {
        self.agents.get(id)
    }

    /// All agents that are known, in order of their ids.
    pub fn agents(&self) -> impl Iterator<Item = &AgentRecord> {
        self.agents.values()
    }

    /// Whether an agent's heartbeat is of an incarnation that is remembered to be over, and no later
    /// than what was heard of it before. One that was taken for gone and lives sends later ones; it
    /// has to answer at its address like any newcomer.
    pub fn is_over(&self, record: &AgentRecord) -> bool {
        let ended = self.over.iter().find(|Ended(agent, _)| *agent == record.id);
        ended.is_some_and(|Ended(_, last)| record.sequence <= *last)
    }

    /// What is placed at an agent.
    pub fn placed(&self, agent: &MinionId) -> impl Iterator<Item = TaskId> + '_ {
        self.placed.get(agent).into_iter().flatten().copied()
    }

    /// How many jobs of a queue wait for their first task to be started.
    pub fn pending(&self, queue: &str) -> u64 {
        self.pending.get(queue).copied().unwrap_or_default()
    }

    /// A wave that is known.
    pub fn wave_record(&self, wave: WaveId) -> Option<&WaveRecord> {
        self.waves.get(&wave)
    }

    /// All waves that are known, in order of their numbers.
    pub fn waves(&self) -> impl Iterator<Item = &WaveRecord> {
        self.waves.values()
    }

    /// Hosts that leaders may have given orders about lately.
    pub fn touched(&self) -> &Touched {
        &self.touched
    }

    /// How often hosts were seen to end by themselves when the last one ended.
    pub fn seen(&self) -> Seen {
        self.seen
    }

    /// How likely a job of a queue ends the hosts that run it.
    pub fn odds(&self, queue: &str) -> Odds {
        self.odds.get(queue).copied().unwrap_or_default()
    }

    /// Whether jobs of any queue do so.
    pub fn has_odds(&self) -> bool {
        self.odds.values().any(|odds| !odds.is_none())
    }

    /// The bytes of a snapshot.
    pub fn image(&self) -> Payload {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a vector takes every write");
        bytes.into()
    }

    /// Reads what [`Ledger::image`] wrote.
    ///
    /// # Errors
    ///
    /// The bytes are of another release, or damaged.
    pub fn from_image(bytes: &[u8]) -> Result<Self, ciborium::de::Error<std::io::Error>> {
        let mut ledger: Self = ciborium::from_reader(bytes)?;
        ledger.index();
        Ok(ledger)
    }

    fn index(&mut self) {
        for (id, job) in &self.jobs {
            if job.state == JobState::Queued {
                *self.pending.entry(job.queue.clone()).or_default() += 1;
            }
            for (task, agent) in job.placements(*id) {
                self.placed.entry(agent).or_default().insert(task);
            }
        }
        let placed: Vec<_> = self.placed.values().flatten().copied().collect();
        for task in placed {
            self.count(task, Resources::plus);
        }
    }

    /// Counts a task for or against what its workspace uses.
    fn count(&mut self, id: TaskId, change: impl Fn(&Resources, &Resources) -> Resources) {
        let Some((workspace, need)) = self.claim(id) else {
            return;
        };
        let used = self.used.entry(workspace).or_default();
        *used = change(used, &need);
    }

    /// What a task takes of which workspace's cap.
    fn claim(&self, id: TaskId) -> Option<(WorkspaceId, Resources)> {
        let job = self.jobs.get(&id.step.job)?;
        let spec = job.spec.steps.get(usize::from(id.step.step))?;
        Some((job.workspace.clone()?, spec.need))
    }

    /// What the tasks of a workspace need that run or may.
    pub fn used(&self, workspace: &str) -> Resources {
        self.used.get(workspace).copied().unwrap_or_default()
    }

    fn declare(&mut self, document: &Document, changes: &mut Vec<Change>) {
        let held = self.document.as_ref().map_or(0, |d| d.version);
        if self.document.is_none() || document.version > held {
            self.document = Some(document.clone());
            changes.push(Change::Declared);
        }
    }

    fn submit(&mut self, submission: &Submission, changes: &mut Vec<Change>) {
        let id = submission.job;
        if self.jobs.contains_key(&id) {
            return;
        }
        let Submission {
            queue,
            pool,
            workspace,
            spec,
            accepted,
            ..
        } = submission.clone();
        *self.pending.entry(queue.clone()).or_default() += 1;
        let mut job = Job::new(queue, pool, spec, accepted);
        job.workspace = workspace;
        self.jobs.insert(id, job);
        changes.push(Change::Accepted(id));
    }

    fn know(&mut self, record: &AgentRecord, changes: &mut Vec<Change>) {
        let mut record = record.clone();
        if let Some(known) = self.agents.get(&record.id) {
            if record.sequence < known.sequence {
                return;
            }
            record.acked = known.acked;
            record.leaving |= known.leaving;
        } else if self.is_over(&record) {
            return;
        } else if let Some(known) = self.agents.get(record.name())
            && record.is_later_of(known)
        {
            return self.rename(record, changes);
        }
        self.over.retain(|Ended(agent, _)| *agent != record.id);
        changes.push(Change::Agent(record.id.clone()));
        self.agents.insert(record.id.clone(), record);
    }

    /// Knows an incarnation, so far known by its agent's name, by an id of its own.
    fn rename(&mut self, mut record: AgentRecord, changes: &mut Vec<Change>) {
        let (from, to) = (record.name().clone(), record.id.clone());
        if let Some(known) = self.agents.remove(&from) {
            record.acked = known.acked;
            record.leaving |= known.leaving;
        }
        let placed = self.placed.remove(&from).unwrap_or_default();
        for task in &placed {
            if let Some(task) = self.task_mut(*task) {
                task.agent = Some(to.clone());
            }
        }
        self.placed.insert(to.clone(), placed);
        self.agents.insert(to.clone(), record);
        changes.push(Change::Renamed { from, to });
    }

    fn bury(&mut self, agent: &MinionId, changes: &mut Vec<Change>) {
        let known = self.agents.get(agent);
        // Its end may be heard before its first heartbeat.
        if known.is_some() || self.over.iter().all(|Ended(over, _)| over != agent) {
            let last = known.map_or(0, |known| known.sequence);
            self.over.push_back(Ended(agent.clone(), last));
        }
        while self.over.len() > OVER {
            self.over.pop_front();
        }
        if self.agents.remove(agent).is_none() {
            return;
        }
        for task in self.placed.remove(agent).unwrap_or_default() {
            self.count(task, Resources::minus);
            self.vacate(task, agent, changes);
        }
        changes.push(Change::Gone(agent.clone()));
    }

    fn crash(&mut self, crash: &Crash, changes: &mut Vec<Change>) {
        self.seen = crash.seen;
        let mut judged = BTreeSet::new();
        for present in &crash.tasks {
            let id = present.task;
            let job = self.jobs.get_mut(&id.step.job);
            let Some(job) = job.filter(|job| !job.is_over()) else {
                continue;
            };
            let stands = |task: &&mut Task| is_at(task, &crash.agent) && !task.done;
            let Some(task) = job.task_mut(id).filter(stands) else {
                continue;
            };
            task.evidence.own.note(present.sudden, present.begun);
            let mut evidence = task.evidence;
            if !job.is_short(id) {
                evidence.note(present.weight, present.worked);
            } else {
                // The short tasks of a job are alike, and this is one host.
                if judged.insert(id.step.job) {
                    job.evidence.note(present.weight, present.worked);
                    let others = job.evidence(id.step.job).map(|(other, _)| other);
                    let others = others.filter(|other| job.is_short(*other));
                    let others: Vec<_> = others.collect();
                    for other in others {
                        job.hold(other, job.evidence, changes);
                    }
                }
                evidence = job.evidence;
            }
            job.hold(id, evidence, changes);
        }
        self.bury(&crash.agent, changes);
    }

    fn round(&mut self, round: &Round, changes: &mut Vec<Change>) {
        for ends in &round.ends {
            self.take_ends(ends, changes);
        }
        for freed in &round.freed {
            let task = self.task(freed.task);
            let stands = task.is_some_and(|t| is_at(t, &freed.agent) && t.attempt == freed.attempt);
            if stands {
                self.unplace(freed.task, &freed.agent);
                self.vacate(freed.task, &freed.agent, changes);
            }
        }
        for job in &round.failed {
            self.end_job(*job, JobState::Failed, changes);
        }
        for task in &round.convicted {
            self.convict(*task, changes);
        }
        for unbegun in &round.unbegun {
            let task = self.task_mut(unbegun.task);
            let stands =
                |task: &&mut Task| is_at(task, &unbegun.agent) && task.attempt == unbegun.attempt;
            if let Some(task) = task.filter(stands) {
                task.unbegun = true;
            }
        }
        for id in &round.cleared {
            if let Some(task) = self.task_mut(*id) {
                task.evidence = Evidence::default();
            }
        }
        for start in &round.starts {
            self.place(start, round.at, changes);
        }
        if let Some(touch) = &round.touch {
            self.touched.apply(touch);
        }
    }

    fn take_ends(&mut self, ends: &Ends, changes: &mut Vec<Change>) {
        let Some(agent) = self.agents.get_mut(&ends.agent) else {
            return;
        };
        if ends.through <= agent.acked {
            return;
        }
        agent.acked = ends.through;
        for end in &ends.ends {
            self.take_end(&ends.agent, end, changes);
        }
        changes.push(Change::Acked {
            agent: ends.agent.clone(),
            through: ends.through,
        });
    }

    fn take_end(&mut self, agent: &MinionId, end: &End, changes: &mut Vec<Change>) {
        let Some(task) = self.task_mut(end.task) else {
            return;
        };
        let stands = is_at(task, agent) && task.attempt == end.attempt;
        if stands {
            task.failures += u32::from(end.how == Ending::Failed);
            if end.checkpoint.is_some() {
                task.checkpoint.clone_from(&end.checkpoint);
            }
        }
        if end.how == Ending::Done {
            self.done(end.task, end.attempt, changes);
        }
        if stands {
            self.unplace(end.task, agent);
            self.vacate(end.task, agent, changes);
        }
    }

    /// A task is done, whichever attempt did it; with it its whole gang.
    ///
    /// An attempt that was given up when its agent's lease ran out may turn out to have been done
    /// before; the one that was placed since isn't needed then.
    fn done(&mut self, id: TaskId, attempt: Attempt, changes: &mut Vec<Change>) {
        let StepId {
            job, occurrence, ..
        } = id.step;
        let Some(found) = self.jobs.get_mut(&job) else {
            return;
        };
        let step = usize::from(id.step.step);
        let Some(spec) = found.spec.steps.get(step).cloned() else {
            return;
        };
        // What lasts is never done; an agent that says so lets it be started again.
        if spec.lasting {
            return;
        }
        let Some(run) = found.runs.get_mut(&occurrence) else {
            return;
        };
        let all = run.steps[step].tasks.iter_mut().enumerate();
        let mut newly = 0;
        for (ix, task) in all {
            let same = TaskIx::try_from(ix).is_ok_and(|ix| ix == id.task);
            if (same || spec.gang) && !task.done {
                task.done = true;
                newly += 1;
                if let Some(agent) = task.agent.clone().filter(|_| task.attempt != attempt) {
                    let task_ix = TaskIx::try_from(ix).unwrap_or(TaskIx::MAX);
                    changes.push(Change::Superfluous(Placed {
                        task: TaskId {
                            task: task_ix,
                            ..id
                        },
                        attempt: task.attempt,
                        agent,
                    }));
                }
            }
        }
        run.steps[step].done += newly;
        found.acquit(job);
        let Some(run) = found.runs.get(&occurrence) else {
            return;
        };
        if newly == 0 || !run.steps[step].is_done() {
            return;
        }
        for (ix, later) in found.spec.steps.iter().enumerate() {
            let follows = later.after.iter().any(|&b| usize::from(b) == step);
            if follows && later.after.iter().all(|&b| run.is_done(b)) {
                changes.push(Change::Opened(StepId {
                    job,
                    occurrence,
                    step: StepIx::try_from(ix).unwrap_or(StepIx::MAX),
                }));
            }
        }
        if run.is_finished() {
            found.finished += 1;
            if found.finished == found.spec.occurrences() {
                self.end_job(job, JobState::Completed, changes);
            }
        }
    }

    fn place(&mut self, start: &Placed, at: Wall, changes: &mut Vec<Change>) {
        if !self.agents.contains_key(&start.agent) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&start.task.step.job) else {
            return;
        };
        if job.is_over() {
            return;
        }
        let first = job.state == JobState::Queued;
        let Some(run) = job.run_mut(start.task.step.occurrence) else {
            return;
        };
        let step = run.steps.get_mut(usize::from(start.task.step.step));
        let ix = usize::try_from(start.task.task).unwrap_or(usize::MAX);
        let Some(task) = step.and_then(|step| step.tasks.get_mut(ix)) else {
            return;
        };
        if task.done || start.attempt <= task.attempt {
            return;
        }
        let before = task.agent.replace(start.agent.clone());
        task.attempt = start.attempt;
        task.began = (!at.is_zero()).then_some(at);
        task.unbegun = false;
        if first {
            job.state = JobState::Running;
            let queue = job.queue.clone();
            self.begun(&queue);
        }
        if let Some(before) = before {
            self.unindex(start.task, &before);
        }
        let placed = self.placed.entry(start.agent.clone()).or_default();
        if placed.insert(start.task) {
            self.count(start.task, Resources::plus);
        }
        changes.push(Change::Placed(start.clone()));
    }

    fn end_job(&mut self, id: JobId, state: JobState, changes: &mut Vec<Change>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.is_over() {
            return;
        }
        let queued = job.state == JobState::Queued;
        job.state = state;
        let queue = job.queue.clone();
        if state == JobState::Completed
            && let Some(odds) = self.odds.get_mut(&queue)
        {
            odds.note(false);
        }
        if queued {
            self.begun(&queue);
        }
        changes.push(Change::Over(id));
        self.slim(id);
    }

    fn convict(&mut self, task: TaskId, changes: &mut Vec<Change>) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if !job.is_over() {
            job.convicted = Some(task);
            if job.is_short(task) {
                self.odds.entry(job.queue.clone()).or_default().note(true);
            }
            changes.push(Change::Convicted(task));
            self.end_job(task.step.job, JobState::Failed, changes);
        }
    }

    fn begun(&mut self, queue: &Name) {
        if let Some(count) = self.pending.get_mut(queue) {
            *count = count.saturating_sub(1);
        }
    }

    /// Takes a task from an agent in the indexes and in its job.
    fn unplace(&mut self, id: TaskId, agent: &MinionId) {
        self.unindex(id, agent);
        if let Some(task) = self.task_mut(id) {
            task.agent = None;
        }
    }

    fn unindex(&mut self, id: TaskId, agent: &MinionId) {
        let placed = self.placed.get_mut(agent);
        if placed.is_some_and(|placed| placed.remove(&id)) {
            self.count(id, Resources::minus);
        }
    }

    /// Says that an attempt doesn't run any more.
    fn vacate(&mut self, id: TaskId, agent: &MinionId, changes: &mut Vec<Change>) {
        let Some(job) = self.jobs.get(&id.step.job) else {
            return;
        };
        let over = job.is_over();
        let Some(task) = self.task_mut(id) else {
            return;
        };
        task.agent = None;
        let placed = Placed {
            task: id,
            attempt: task.attempt,
            agent: agent.clone(),
        };
        let again = !over && !task.done;
        changes.push(Change::Vacated { placed, again });
        self.slim(id.step.job);
    }

    /// Drops what a job doesn't need any more: the tasks of what is over, unless some may still run.
    fn slim(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let over = job.is_over();
        for run in job.runs.values_mut() {
            if (over || run.is_finished()) && run.is_vacant() {
                run.steps = Vec::new();
            }
        }
    }

    fn task(&self, id: TaskId) -> Option<&Task> {
        self.jobs.get(&id.step.job)?.task(id)
    }

    fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.jobs.get_mut(&id.step.job)?.task_mut(id)
    }

    fn wave(&mut self, wave: &WaveRecord, changes: &mut Vec<Change>) {
        if let Entry::Vacant(place) = self.waves.entry(wave.wave) {
            place.insert(wave.clone());
            changes.push(Change::Wave(wave.wave));
        }
    }

    fn maintained(&mut self, wave: WaveId, hosts: &[HostId], changes: &mut Vec<Change>) {
        if let Some(record) = self.waves.get_mut(&wave) {
            record.left.retain(|host| !hosts.contains(host));
            changes.push(Change::Wave(wave));
        }
    }

    fn forget(&mut self, jobs: &[JobId]) {
        for id in jobs {
            let over = self
                .jobs
                .get(id)
                .is_some_and(|job| job.is_over() && job.placements(*id).next().is_none());
            if over {
                self.jobs.remove(id);
            }
        }
    }
}

impl Job {
    /// Holds this against a task, besides the hosts that ended under itself.
    fn hold(&mut self, id: TaskId, evidence: Evidence, changes: &mut Vec<Change>) {
        if let Some(task) = self.task_mut(id) {
            let own = task.evidence.own;
            task.evidence = Evidence { own, ..evidence };
            changes.push(Change::Suspected(id, task.evidence));
        }
    }
}

fn is_at(task: &Task, agent: &MinionId) -> bool {
    task.agent.as_ref() == Some(agent)
}
