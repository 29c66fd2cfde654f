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
//!     spec: JobSpec::new("water", vec![StepSpec::new(2, Duration::from_secs(1))]),
//!     accepted_at: Duration::ZERO,
//! }));
//! assert_eq!(ledger.apply(1, &submit), [Change::Accepted(7)]);
//! // A repeated submission changes nothing.
//! assert!(ledger.apply(2, &submit).is_empty());
//! assert_eq!(ledger.job(7).map(|job| job.state), Some(JobState::Queued));
//! assert_eq!(ledger.pending("alerts"), 1);
//! ```

use std::collections::{BTreeMap, BTreeSet, btree_map::Entry};

use serde::{Deserialize, Serialize};

use super::{
    catalog::JobId,
    command::{
        AgentRecord, Command, Document, EndBatch, Ending, Placement, ReportedEnd, Round,
        Submission, WaveRecord,
    },
    intents::OrderIntents,
    job::{Job, JobState, StepId, Task, TaskId},
    poison_rate::PoisonRate,
    spec::StepIx,
    suspicion::{Crash, Evidence, FailureRate},
    terminated::TerminatedAgents,
};
use crate::core::{
    cluster::Cluster,
    consensus::{Index, Payload},
    types::{Attempt, HostId, MinionId, Name, Resources, Wall, WaveId, WorkspaceId},
};

/// A change of the state, reported to the leader's scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Another catalog is in force.
    Declared,
    /// A job was accepted.
    Accepted(JobId),
    /// A job has ended; its attempts that are still placed must be stopped.
    JobEnded(JobId),
    /// All steps that a step depends on are done.
    StepReady(StepId),
    /// An attempt of a task was placed at an agent.
    Placed(Placement),
    /// An attempt isn't placed any more: it ended, or is certain not to run.
    Unplaced {
        /// The attempt.
        placed: Placement,
        /// Whether the task needs another attempt.
        retry: bool,
    },
    /// A task is done, whichever attempt did it. It never runs again.
    Done {
        /// The task.
        task: TaskId,
        /// Whether the attempt that did it had been abandoned or superseded before.
        was_abandoned: bool,
    },
    /// The task of a placed attempt was done by another attempt, so that this one isn't needed any more.
    Redundant(Placement),
    /// All ends that an agent reported, up to this one, have been applied.
    Acked {
        /// The agent.
        agent: MinionId,
        /// The number of the end.
        through: u64,
    },
    /// The evidence against a task: a host crashed under it, or under a batch task of its job, and no other
    /// cause is known.
    Suspected(TaskId, Evidence),
    /// A job has failed because of this poison task, which crashes the hosts it runs on.
    PoisonTask(TaskId),
    /// An agent was registered, or its record was updated.
    Agent(MinionId),
    /// An incarnation that was recorded under its agent's name is now recorded under an id of its own. What
    /// is placed there is unaffected.
    Renamed {
        /// The name of the agent.
        from: MinionId,
        /// The id of the incarnation.
        to: MinionId,
    },
    /// An incarnation of an agent has terminated.
    Terminated(MinionId),
    /// A wave of maintenance was added, or has fewer hosts left.
    Wave(WaveId),
}

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
    /// Derived: the number of queued jobs of each queue, those without any task placed so far.
    #[serde(skip)]
    pending: BTreeMap<Name, u64>,
    /// Derived: the tasks that are placed at each agent.
    #[serde(skip)]
    placed: BTreeMap<MinionId, BTreeSet<TaskId>>,
    /// Derived: for each workspace, the total resources of its placed tasks.
    #[serde(skip)]
    used: BTreeMap<WorkspaceId, Resources>,
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
            accepted_at: accepted,
            ..
        } = submission.clone();
        *self.pending.entry(queue.clone()).or_default() += 1;
        let mut job = Job::new(queue, pool, spec, accepted);
        job.workspace = workspace;
        self.jobs.insert(id, job);
        changes.push(Change::Accepted(id));
    }

    fn register_agent(&mut self, record: &AgentRecord, changes: &mut Vec<Change>) {
        let mut record = record.clone();
        if let Some(known) = self.agents.get(&record.id) {
            if record.sequence < known.sequence {
                return;
            }
            record.acked = known.acked;
            record.leaving |= known.leaving;
        } else if self.is_stale(&record) {
            return;
        } else if let Some(known) = self.agents.get(record.name())
            && record.replaces_legacy(known)
        {
            return self.assign_id(record, changes);
        }
        self.terminated.remove(&record.id);
        changes.push(Change::Agent(record.id.clone()));
        self.agents.insert(record.id.clone(), record);
    }

    /// Records an incarnation, which was recorded under its agent's name so far, under an id of its own.
    fn assign_id(&mut self, mut record: AgentRecord, changes: &mut Vec<Change>) {
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

    fn remove_agent(&mut self, agent: &MinionId, changes: &mut Vec<Change>) {
        let known = self.agents.get(agent);
        // The end of an incarnation may be committed before its first heartbeat.
        if known.is_some() || !self.terminated.contains(agent) {
            let last = known.map_or(0, |known| known.sequence);
            self.terminated.insert(agent.clone(), last);
        }
        if self.agents.remove(agent).is_none() {
            return;
        }
        for task in self.placed.remove(agent).unwrap_or_default() {
            self.adjust_usage(task, Resources::minus);
            self.report_unplaced(task, agent, changes);
        }
        changes.push(Change::Terminated(agent.clone()));
    }

    fn apply_crash(&mut self, crash: &Crash, changes: &mut Vec<Change>) {
        self.failure_rate = crash.failure_rate;
        let mut judged = BTreeSet::new();
        for present in &crash.tasks {
            let id = present.task;
            let job = self.jobs.get_mut(&id.step.job);
            let Some(job) = job.filter(|job| !job.has_ended()) else {
                continue;
            };
            let stands = |task: &&mut Task| is_placed_at(task, &crash.agent) && !task.done;
            let Some(task) = job.task_mut(id).filter(stands) else {
                continue;
            };
            task.evidence
                .own
                .record(present.timing_weight, present.started);
            let mut evidence = task.evidence;
            if !job.is_batch(id) {
                evidence.record(present.weight, present.run_time);
            } else {
                // The batch tasks of a job are alike, so that a crash under several of them counts once.
                if judged.insert(id.step.job) {
                    job.evidence.record(present.weight, present.run_time);
                    let others = job.task_evidence(id.step.job).map(|(other, _)| other);
                    let others = others.filter(|other| job.is_batch(*other));
                    let others: Vec<_> = others.collect();
                    for other in others {
                        job.set_evidence(other, job.evidence, changes);
                    }
                }
                evidence = job.evidence;
            }
            job.set_evidence(id, evidence, changes);
        }
        self.remove_agent(&crash.agent, changes);
    }

    fn apply_round(&mut self, round: &Round, changes: &mut Vec<Change>) {
        for ends in &round.ends {
            self.apply_ends(ends, changes);
        }
        for freed in &round.freed {
            let task = self.task(freed.task);
            let stands =
                task.is_some_and(|t| is_placed_at(t, &freed.agent) && t.attempt == freed.attempt);
            if stands {
                self.unplace(freed.task, &freed.agent);
                self.report_unplaced(freed.task, &freed.agent, changes);
            }
        }
        for job in &round.failed {
            self.end_job(*job, JobState::Failed, changes);
        }
        for task in &round.poison_tasks {
            self.fail_as_poison(*task, changes);
        }
        for start in &round.not_started {
            let task = self.task_mut(start.task);
            let stands = |task: &&mut Task| {
                is_placed_at(task, &start.agent) && task.attempt == start.attempt
            };
            if let Some(task) = task.filter(stands) {
                task.not_started = true;
            }
        }
        for id in &round.cleared {
            if let Some(task) = self.task_mut(*id) {
                task.evidence = Evidence::default();
            }
        }
        for start in &round.starts {
            self.apply_start(start, round.at, changes);
        }
        if let Some(intent) = &round.intent {
            self.intents.apply(intent);
        }
    }

    fn apply_ends(&mut self, ends: &EndBatch, changes: &mut Vec<Change>) {
        let Some(agent) = self.agents.get_mut(&ends.agent) else {
            return;
        };
        if ends.through <= agent.acked {
            return;
        }
        agent.acked = ends.through;
        for end in &ends.ends {
            self.apply_end(&ends.agent, end, changes);
        }
        changes.push(Change::Acked {
            agent: ends.agent.clone(),
            through: ends.through,
        });
    }

    /// Applies the end of an attempt that an agent reported.
    ///
    /// The attempt is placed at this incarnation or at an earlier one of the same agent. Orders address the
    /// agent by name, so that a later incarnation may have carried out an order to an earlier one.
    fn apply_end(&mut self, agent: &MinionId, end: &ReportedEnd, changes: &mut Vec<Change>) {
        let holder = self.task(end.task).filter(|t| t.attempt == end.attempt);
        let holder = holder.and_then(|task| task.agent.clone());
        let holder = holder.filter(|holder| self.is_same_agent(holder, agent));
        let Some(task) = self.task_mut(end.task) else {
            return;
        };
        if holder.is_some() {
            task.failures += u32::from(end.how == Ending::Failed);
            if end.checkpoint.is_some() {
                task.checkpoint.clone_from(&end.checkpoint);
            }
        }
        if end.how == Ending::Done {
            self.complete_task(end.task, end.attempt, changes);
        }
        if let Some(holder) = holder {
            self.unplace(end.task, &holder);
            self.report_unplaced(end.task, &holder, changes);
        }
    }

    /// Whether two incarnations belong to the same agent.
    fn is_same_agent(&self, one: &MinionId, other: &MinionId) -> bool {
        let name = |id| self.agents.get(id).map(AgentRecord::name);
        one == other || name(one).is_some_and(|one| Some(one) == name(other))
    }

    /// Marks a task as done, whichever attempt did it, and with it all tasks of its gang.
    ///
    /// An attempt that was abandoned when its agent's lease expired may turn out to have completed before
    /// that. The attempt that was placed since then is redundant.
    fn complete_task(&mut self, id: TaskId, attempt: Attempt, changes: &mut Vec<Change>) {
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
        // A long-running task is never done. If its agent reports it as done, it is started again.
        if spec.long_running {
            return;
        }
        let Some(run) = found.runs.get_mut(&occurrence) else {
            return;
        };
        let mut newly = 0;
        for (ix, task) in (0..).zip(&mut run.steps[step].tasks) {
            if task.done || !(spec.gang || ix == id.task) {
                continue;
            }
            task.done = true;
            newly += 1;
            let other = TaskId { task: ix, ..id };
            let same = task.attempt == attempt;
            let was_abandoned = !same || task.agent.is_none();
            changes.push(Change::Done {
                task: other,
                was_abandoned,
            });
            if let Some(agent) = task.agent.clone().filter(|_| !same) {
                changes.push(Change::Redundant(Placement {
                    task: other,
                    attempt: task.attempt,
                    agent,
                }));
            }
        }
        run.steps[step].done += newly;
        found.clear_evidence(job);
        let over = found.has_ended();
        let Some(run) = found.runs.get(&occurrence) else {
            return;
        };
        if newly == 0 || !run.steps[step].is_done() {
            return;
        }
        for (ix, later) in found.spec.steps.iter().enumerate() {
            let follows = later.after.iter().any(|&b| usize::from(b) == step);
            // In a job that was cancelled or has failed, no further step becomes ready.
            if !over && follows && later.after.iter().all(|&b| run.is_step_done(b)) {
                changes.push(Change::StepReady(StepId {
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

    fn apply_start(&mut self, start: &Placement, at: Wall, changes: &mut Vec<Change>) {
        if !self.agents.contains_key(&start.agent) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&start.task.step.job) else {
            return;
        };
        if job.has_ended() {
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
        task.started_at = (!at.is_zero()).then_some(at);
        task.not_started = false;
        if first {
            job.state = JobState::Running;
            let queue = job.queue.clone();
            self.decrement_pending(&queue);
        }
        if let Some(before) = before {
            self.unindex(start.task, &before);
        }
        let placed = self.placed.entry(start.agent.clone()).or_default();
        if placed.insert(start.task) {
            self.adjust_usage(start.task, Resources::plus);
        }
        changes.push(Change::Placed(start.clone()));
    }

    fn end_job(&mut self, id: JobId, state: JobState, changes: &mut Vec<Change>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.has_ended() {
            return;
        }
        let queued = job.state == JobState::Queued;
        job.state = state;
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
        }
    }

    /// Removes the placement of a task at an agent, from the indexes and from the job.
    fn unplace(&mut self, id: TaskId, agent: &MinionId) {
        self.unindex(id, agent);
        if let Some(task) = self.task_mut(id) {
            task.agent = None;
        }
    }

    fn unindex(&mut self, id: TaskId, agent: &MinionId) {
        let placed = self.placed.get_mut(agent);
        if placed.is_some_and(|placed| placed.remove(&id)) {
            self.adjust_usage(id, Resources::minus);
        }
    }

    /// Reports that an attempt isn't placed any more, after clearing its placement in the job.
    fn report_unplaced(&mut self, id: TaskId, agent: &MinionId, changes: &mut Vec<Change>) {
        let Some(job) = self.jobs.get(&id.step.job) else {
            return;
        };
        let over = job.has_ended();
        let Some(task) = self.task_mut(id) else {
            return;
        };
        task.agent = None;
        let placed = Placement {
            task: id,
            attempt: task.attempt,
            agent: agent.clone(),
        };
        let retry = !over && !task.done;
        changes.push(Change::Unplaced { placed, retry });
        self.drop_tasks(id.step.job);
    }

    /// Drops the steps of a job's finished occurrences, or of all occurrences if the job has ended. An
    /// occurrence with a task that may still run keeps its steps.
    fn drop_tasks(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let over = job.has_ended();
        for run in job.runs.values_mut() {
            if (over || run.is_finished()) && run.is_unplaced() {
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

    fn add_wave(&mut self, wave: &WaveRecord, changes: &mut Vec<Change>) {
        if let Entry::Vacant(place) = self.waves.entry(wave.wave) {
            place.insert(wave.clone());
            changes.push(Change::Wave(wave.wave));
        }
    }

    fn remove_from_wave(&mut self, wave: WaveId, hosts: &[HostId], changes: &mut Vec<Change>) {
        if let Some(record) = self.waves.get_mut(&wave) {
            record.remaining.retain(|host| !hosts.contains(host));
            changes.push(Change::Wave(wave));
        }
    }

    fn forget(&mut self, jobs: &[JobId]) {
        for id in jobs {
            let over = self
                .jobs
                .get(id)
                .is_some_and(|job| job.has_ended() && job.placements(*id).next().is_none());
            if over {
                self.jobs.remove(id);
            }
        }
    }
}

impl Job {
    /// Replaces the evidence against a task, except for that of crashes under the task itself.
    fn set_evidence(&mut self, id: TaskId, evidence: Evidence, changes: &mut Vec<Change>) {
        if let Some(task) = self.task_mut(id) {
            let own = task.evidence.own;
            task.evidence = Evidence { own, ..evidence };
            changes.push(Change::Suspected(id, task.evidence));
        }
    }
}

fn is_placed_at(task: &Task, agent: &MinionId) -> bool {
    task.agent.as_ref() == Some(agent)
}
