//! The replicated state machine of jobs and agents.
//!
//! Each node applies the same log of [`Command`]s and reaches the same state. Applying a command is
//! deterministic: it reads no clock and makes no scheduling decisions. It resolves only races between
//! commands, such as a submission whose number is taken, a catalog older than the one in force, or the end of
//! an attempt that has been superseded. It returns the list of [`Change`]s, which is all that the leader's
//! scheduler needs to follow the state.
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
//!     terms: None,
//!     spec: JobSpec::new("water", vec![StepSpec::new(2, Duration::from_secs(1))]),
//!     accepted_at: Duration::ZERO,
//! }));
//! assert_eq!(ledger.apply(1, &submit), [Change::Accepted(7)]);
//! // A repeated submission changes nothing.
//! assert!(ledger.apply(2, &submit).is_empty());
//! assert_eq!(ledger.job(7).map(|job| job.state), Some(JobState::Queued));
//! assert_eq!(ledger.pending("alerts"), 1);
//! ```

mod agents;
mod attempts;
mod change;

use std::collections::{BTreeMap, BTreeSet, btree_map::Entry};

use serde::{Deserialize, Serialize};

pub use self::change::Change;
use super::{
    catalog::JobId,
    command::{AgentRecord, Command, Document, Submission, WaveRecord},
    footprint::{self, Footprint},
    intents::OrderIntents,
    job::{Job, JobState, Task, TaskId},
    poison_rate::PoisonRate,
    recent_starts::RecentStarts,
    suspicion::FailureRate,
    terminated::TerminatedAgents,
};
use crate::core::{
    cluster::Cluster,
    consensus::{Index, Payload},
    types::{HostId, MinionId, Name, Resources, WaveId, WorkspaceId},
};

/// The replicated state of jobs and agents.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ledger {
    applied: Index,
    document: Option<Document>,
    jobs: BTreeMap<JobId, Job>,
    agents: BTreeMap<MinionId, AgentRecord>,
    waves: BTreeMap<WaveId, WaveRecord>,
    /// The terminated incarnations of agents. Absent in snapshots of earlier releases.
    #[serde(rename = "over", default)]
    terminated: TerminatedAgents,
    /// The hosts that leaders have recently sent orders about. Absent in snapshots of earlier releases.
    #[serde(rename = "touched", default)]
    intents: OrderIntents,
    /// How often hosts crash by themselves. Absent in snapshots of earlier releases.
    #[serde(rename = "seen", default)]
    failure_rate: FailureRate,
    /// For each queue that has had a poison job, how likely its jobs are poison. Absent in snapshots of
    /// earlier releases.
    #[serde(rename = "odds", default)]
    poison_rates: BTreeMap<Name, PoisonRate>,
    /// The identity of the cluster. Absent in snapshots of earlier releases.
    #[serde(default)]
    cluster: Option<Cluster>,
    /// The starts that the leader may not have sent so far. Absent in snapshots of earlier releases.
    #[serde(
        rename = "recent",
        default,
        skip_serializing_if = "RecentStarts::is_empty"
    )]
    recent_starts: RecentStarts,
    /// Derived: the number of queued jobs of each queue, those without any task placed so far.
    #[serde(skip)]
    pending: BTreeMap<Name, u64>,
    /// Derived: the tasks that are placed at each agent.
    #[serde(skip)]
    placed: BTreeMap<MinionId, BTreeSet<TaskId>>,
    /// Derived: for each workspace, the total resources of its placed tasks.
    #[serde(skip)]
    used: BTreeMap<WorkspaceId, Resources>,
    /// Derived: how much memory the state takes.
    #[serde(skip)]
    footprint: Footprint,
}

impl Ledger {
    /// Applies the command at an index of the log, and returns what it changed.
    pub fn apply(&mut self, index: Index, command: &Command) -> Vec<Change> {
        self.applied = index;
        let mut changes = Vec::new();
        match command {
            Command::Declare(document) => self.declare(document, &mut changes),
            Command::Submit(submission) => self.submit(submission, &mut changes),
            Command::Cancel(job) => self.end_job(*job, JobState::Cancelled, &mut changes),
            Command::Agent(record) => self.register_agent(record, &mut changes),
            Command::Terminated(agent) => self.remove_agent(agent, &mut changes),
            Command::Round(round) => self.apply_round(round, &mut changes),
            Command::Wave(wave) => self.add_wave(wave, &mut changes),
            Command::Maintained { wave, hosts } => {
                self.remove_from_wave(*wave, hosts, &mut changes);
            }
            Command::Forget(jobs) => self.forget(jobs),
            Command::Crashed(crash) => self.apply_crash(crash, &mut changes),
            Command::SetCluster(cluster) => {
                self.cluster.get_or_insert_with(|| cluster.clone());
            }
        }
        changes
    }

    /// The index of the last applied command.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The identity of the cluster, once it is set.
    pub fn cluster(&self) -> Option<&Cluster> {
        self.cluster.as_ref()
    }

    /// The catalog in force, as the operator sent it.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// A job by its number.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// All jobs, in order of their numbers.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// The record of an agent's incarnation.
    pub fn agent(&self, id: &MinionId) -> Option<&AgentRecord> {
        self.agents.get(id)
    }

    /// The records of all agents, in order of their ids.
    pub fn agents(&self) -> impl Iterator<Item = &AgentRecord> {
        self.agents.values()
    }

    /// Whether a heartbeat is stale: its incarnation is remembered as terminated, and the heartbeat is no later
    /// than the last committed one. An incarnation that was declared terminated by mistake sends later
    /// heartbeats; it has to answer at its address like a new agent.
    pub fn is_stale(&self, record: &AgentRecord) -> bool {
        self.terminated.is_stale(&record.id, record.sequence)
    }

    /// The tasks that are placed at an agent.
    pub fn placed(&self, agent: &MinionId) -> impl Iterator<Item = TaskId> + '_ {
        self.placed.get(agent).into_iter().flatten().copied()
    }

    /// The number of queued jobs of a queue, those without any task placed so far.
    pub fn pending(&self, queue: &str) -> u64 {
        self.pending.get(queue).copied().unwrap_or_default()
    }

    /// A wave of maintenance by its number.
    pub fn wave_record(&self, wave: WaveId) -> Option<&WaveRecord> {
        self.waves.get(&wave)
    }

    /// All waves of maintenance, in order of their numbers.
    pub fn waves(&self) -> impl Iterator<Item = &WaveRecord> {
        self.waves.values()
    }

    /// The hosts that leaders may have recently sent orders about.
    pub fn intents(&self) -> &OrderIntents {
        &self.intents
    }

    /// The starts of the last rounds in the log, which the leader may not have sent so far.
    pub fn recent_starts(&self) -> &RecentStarts {
        &self.recent_starts
    }

    /// How often hosts crash by themselves, as of the last crash.
    pub fn failure_rate(&self) -> FailureRate {
        self.failure_rate
    }

    /// How likely a job of a queue is poison: that it crashes the hosts it runs on.
    pub fn poison_rate(&self, queue: &str) -> PoisonRate {
        self.poison_rates.get(queue).copied().unwrap_or_default()
    }

    /// Whether the jobs of any queue are poison with more than a negligible probability.
    pub fn has_poison_queue(&self) -> bool {
        self.poison_rates.values().any(|rate| !rate.is_negligible())
    }

    /// How much memory the state takes.
    pub fn footprint(&self) -> Footprint {
        self.footprint
    }

    /// Encodes a snapshot of the state.
    pub fn snapshot(&self) -> Payload {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("writing to a Vec never fails");
        bytes.into()
    }

    /// Restores the state from what [`Ledger::snapshot`] returned.
    ///
    /// # Errors
    ///
    /// The bytes were written by another release, or are damaged.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, ciborium::de::Error<std::io::Error>> {
        let mut ledger: Self = ciborium::from_reader(bytes)?;
        ledger.jobs.values_mut().for_each(Job::upgrade);
        ledger.rebuild_indexes();
        Ok(ledger)
    }

    fn rebuild_indexes(&mut self) {
        for (id, job) in &self.jobs {
            if job.state == JobState::Queued {
                *self.pending.entry(job.queue.clone()).or_default() += 1;
            }
            for (task, agent) in job.placements(*id) {
                self.placed.entry(agent).or_default().insert(task);
            }
        }
        let jobs = self.jobs.values();
        let agents = self.agents.values().map(footprint::agent_bytes);
        let waves = self.waves.values().map(footprint::wave_bytes);
        let document = self.document.iter().map(footprint::document_bytes);
        self.footprint = Footprint {
            jobs: jobs.clone().map(Job::bytes).sum(),
            tasks: jobs.map(Job::record_count).sum(),
            others: agents.chain(waves).chain(document).sum(),
        };
        let placed: Vec<_> = self.placed.values().flatten().copied().collect();
        for task in placed {
            self.adjust_usage(task, Resources::plus);
        }
    }

    /// Adds or subtracts the resources of a task in the usage of its workspace.
    fn adjust_usage(&mut self, id: TaskId, change: impl Fn(&Resources, &Resources) -> Resources) {
        let Some((workspace, need)) = self.workspace_need(id) else {
            return;
        };
        let used = self.used.entry(workspace).or_default();
        *used = change(used, &need);
    }

    /// The workspace that a task belongs to, and the resources that count against its cap.
    fn workspace_need(&self, id: TaskId) -> Option<(WorkspaceId, Resources)> {
        let job = self.jobs.get(&id.step.job)?;
        let spec = job.spec.steps.get(usize::from(id.step.step))?;
        Some((job.workspace.clone()?, spec.need))
    }

    /// The total resources of a workspace's tasks that run or may run.
    pub fn used(&self, workspace: &str) -> Resources {
        self.used.get(workspace).copied().unwrap_or_default()
    }

    fn declare(&mut self, document: &Document, changes: &mut Vec<Change>) {
        let held = self.document.as_ref().map_or(0, |d| d.version);
        if self.document.is_none() || document.version > held {
            let before = self.document.as_ref().map_or(0, footprint::document_bytes);
            self.footprint.others -= before;
            self.footprint.others += footprint::document_bytes(document);
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
            terms,
            spec,
            accepted_at: accepted,
            ..
        } = submission.clone();
        *self.pending.entry(queue.clone()).or_default() += 1;
        let mut job = Job::new(queue, pool, spec, accepted);
        job.workspace = workspace;
        job.terms = terms;
        self.footprint.jobs += job.bytes();
        self.jobs.insert(id, job);
        changes.push(Change::Accepted(id));
    }

    fn end_job(&mut self, id: JobId, state: JobState, changes: &mut Vec<Change>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.has_ended() {
            return;
        }
        let queued = job.state == JobState::Queued;
        let bytes = job.bytes();
        job.state = state;
        self.footprint.jobs -= bytes;
        self.footprint.jobs += job.bytes();
        let queue = job.queue.clone();
        if state == JobState::Completed
            && let Some(rate) = self.poison_rates.get_mut(&queue)
        {
            rate.record(false);
        }
        if queued {
            self.decrement_pending(&queue);
        }
        changes.push(Change::JobEnded(id));
        self.drop_tasks(id);
    }

    fn fail_as_poison(&mut self, task: TaskId, changes: &mut Vec<Change>) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if !job.has_ended() {
            job.poison_task = Some(task);
            if job.is_batch(task) {
                self.poison_rates
                    .entry(job.queue.clone())
                    .or_default()
                    .record(true);
            }
            changes.push(Change::PoisonTask(task));
            self.end_job(task.step.job, JobState::Failed, changes);
        }
    }

    fn decrement_pending(&mut self, queue: &Name) {
        if let Some(count) = self.pending.get_mut(queue) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.pending.remove(queue);
            }
        }
    }

    fn task(&self, id: TaskId) -> Option<&Task> {
        self.jobs.get(&id.step.job)?.task(id)
    }

    fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.jobs.get_mut(&id.step.job)?.task_mut(id)
    }

    fn add_wave(&mut self, wave: &WaveRecord, changes: &mut Vec<Change>) {
        if let Entry::Vacant(place) = self.waves.entry(wave.wave) {
            self.footprint.others += footprint::wave_bytes(wave);
            place.insert(wave.clone());
            changes.push(Change::Wave(wave.wave));
        }
    }

    fn remove_from_wave(&mut self, wave: WaveId, hosts: &[HostId], changes: &mut Vec<Change>) {
        if let Some(record) = self.waves.get_mut(&wave) {
            self.footprint.others -= footprint::wave_bytes(record);
            record.remaining.retain(|host| !hosts.contains(host));
            self.footprint.others += footprint::wave_bytes(record);
            changes.push(Change::Wave(wave));
        }
    }

    fn forget(&mut self, jobs: &[JobId]) {
        for id in jobs {
            let over = self
                .jobs
                .get(id)
                .is_some_and(|job| job.has_ended() && job.placements(*id).next().is_none());
            if over && let Some(job) = self.jobs.remove(id) {
                self.footprint.jobs -= job.bytes();
            }
        }
    }
}

fn is_placed_at(task: &Task, agent: &MinionId) -> bool {
    task.agent.as_ref() == Some(agent)
}
