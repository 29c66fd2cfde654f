//! Handles the requests to a control node. The leader answers them; other nodes reply with who
//! leads.

use super::{
    control::{ControlTask, PendingSubmission},
    proposals::ReplyTo,
    request::{Call, Heartbeat, LeaderRequest, Refused, Reply, Unknown, Verb},
    state_memory::NoRoom,
};
use crate::{
    core::{
        types::Name,
        workload::{
            catalog::{PathTarget, QueueSpec},
            command::{AgentRecord, Command, Document, Submission, WaveRecord},
            job::Job,
            scheduler::JobRefusal,
            spec::JobSpec,
            workspace::WorkspaceSpec,
        },
    },
    node::clock::wall,
};

impl ControlTask {
    pub(super) fn handle_request(&mut self, reply_to: ReplyTo, request: LeaderRequest) {
        if self.scheduler.is_none() || !self.holds_lease() {
            let leader = self.node.leader().filter(|l| *l != self.node.id());
            let why = leader.map_or(Refused::NoLeader, |l| Refused::NotLeader(Some(l)));
            return self.reply(reply_to, Reply::Refused(why));
        }
        if self.disk_full
            && !matches!(
                request,
                LeaderRequest::ReadCatalog | LeaderRequest::WaveState(_)
            )
        {
            return self.reply(reply_to, Reply::Refused(Refused::Overloaded));
        }
        match request {
            LeaderRequest::Call(call) => self.call(reply_to, call),
            LeaderRequest::Declare(document) => self.declare(reply_to, document),
            LeaderRequest::ReadCatalog => {
                let text = self.ledger.document().map(|d| d.text.clone());
                let none = Reply::Refused(Refused::NoCatalog);
                self.reply(reply_to, text.map_or(none, Reply::Catalog));
            }
            LeaderRequest::Heartbeat(heartbeat) => self.heartbeat(reply_to, &heartbeat),
            LeaderRequest::Leave(name) => self.agent_left(reply_to, &name),
            LeaderRequest::BeginWave(wave) => self.begin_wave(reply_to, wave),
            LeaderRequest::WaveState(wave) => {
                let record = self.ledger.wave_record(wave);
                let none = Reply::Unknown(Unknown::Wave);
                let reply = record.map_or(none, |record| Reply::Wave {
                    through: record.remaining.is_empty(),
                });
                self.reply(reply_to, reply);
            }
        }
    }

    /// Handles an agent's notice that it ends. The name alone doesn't tell which incarnation sent
    /// it. An incarnation that never announced its end may be the next one, so it isn't ended.
    fn agent_left(&mut self, reply_to: ReplyTo, name: &Name) {
        let left =
            |agent: &&AgentRecord| agent.name() == name && (agent.leaving || agent.id == *name);
        let left = self
            .ledger
            .agents()
            .find(left)
            .map(|agent| agent.id.clone());
        let Some(id) = left else {
            log::info!(agent:% = name; "ignored the end of an agent that never announced it");
            return self.reply(reply_to, Reply::Done);
        };
        self.propose(reply_to, Command::Terminated(id));
    }

    fn declare(&mut self, reply_to: ReplyTo, document: Document) {
        let held = self.ledger.document().map_or(0, |d| d.version);
        if self.ledger.document().is_some() && document.version <= held {
            // A version that isn't newer has no effect, but is acknowledged.
            return self.reply(reply_to, Reply::Done);
        }
        self.propose(reply_to, Command::Declare(document));
    }

    fn begin_wave(&mut self, reply_to: ReplyTo, wave: WaveRecord) {
        let known = self.ledger.wave_record(wave.wave).is_some();
        let room = self.memory.check_wave(self.ledger.footprint(), &wave);
        match room {
            Err(refused) if !known => self.refuse_for_memory(reply_to, refused),
            _ => self.propose(reply_to, Command::Wave(wave)),
        }
    }

    fn refuse_for_memory(&mut self, reply_to: ReplyTo, refused: Refused) {
        self.ports.metrics.memory_refusals.inc();
        self.reply(reply_to, Reply::Refused(refused));
    }

    fn call(&mut self, reply_to: ReplyTo, call: Call) {
        let Some(catalog) = self.read_catalog() else {
            return self.reply(reply_to, Reply::Refused(Refused::NoCatalog));
        };
        let Some((queue, place)) = catalog.find(&call.host, &call.path) else {
            return self.reply(reply_to, Reply::Unknown(Unknown::Queue));
        };
        let Ok(caller) = catalog.caller(queue, call.key) else {
            log::info!(queue:% = queue.name, verb = call.verb.label(), shown = call.key.is_some(); "refused a call without a valid key for the queue");
            return self.reply(reply_to, Reply::Denied);
        };
        let seen = |job: &&Job| catalog.may_see(caller, job);
        let reply = match (place, call.verb) {
            (PathTarget::Job(job), Verb::Submit(spec)) => {
                return self.submit(reply_to, job, queue, caller, *spec);
            }
            (PathTarget::Job(job), Verb::Cancel) => return self.cancel(reply_to, job, caller),
            (PathTarget::Job(job), Verb::Read) => {
                let job = self.ledger.job(job).filter(seen);
                job.map_or(Reply::Unknown(Unknown::Job), |job| Reply::State(job.state))
            }
            (PathTarget::Queue, Verb::Read) => Reply::Pending(self.ledger.pending(&queue.name)),
            (PathTarget::Nothing, Verb::Read | Verb::Cancel) => Reply::Unknown(Unknown::Job),
            (PathTarget::Queue | PathTarget::Nothing, Verb::Submit(_) | Verb::Cancel) => {
                Reply::Invalid(
                    "the path must end with the job's number, 16 hexadecimal digits".to_owned(),
                )
            }
        };
        self.reply(reply_to, reply);
    }

    fn submit(
        &mut self,
        reply_to: ReplyTo,
        job: u64,
        queue: &QueueSpec,
        caller: Option<&WorkspaceSpec>,
        spec: JobSpec,
    ) {
        let workspace = caller.map(|caller| caller.name.clone());
        let taken = || Reply::Invalid("another workspace has a job of this number".to_owned());
        if let Some(known) = self.ledger.job(job) {
            let own = self
                .catalog
                .as_ref()
                .is_none_or(|c| c.may_see(caller, known));
            return self.reply(reply_to, if own { Reply::Done } else { taken() });
        }
        if let Some(submitted) = self.submissions.get_mut(&job) {
            if submitted.workspace != workspace {
                return self.reply(reply_to, taken());
            }
            submitted.waiting.push(reply_to);
            return;
        }
        // The node that the caller asked has checked it, perhaps with an earlier release.
        if let Err(error) = spec.check() {
            return self.reply(reply_to, Reply::Invalid(error.to_string()));
        }
        let submission = Submission {
            job,
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            workspace: workspace.clone(),
            terms: Some(queue.terms()),
            spec,
            accepted_at: wall(),
        };
        let room = self
            .memory
            .check_job(self.now(), self.ledger.footprint(), &submission.spec);
        let admitted = match room {
            Err(NoRoom::TooLarge(reason)) => return self.reply(reply_to, Reply::Invalid(reason)),
            Err(NoRoom::Full(refused)) => {
                self.ports.metrics.memory_refusals.inc();
                Err(refused)
            }
            Ok(()) => self.admit(&submission),
        };
        if let Err(reason) = admitted {
            let wait = reason.retry_after();
            log::info!(job:% = format_args!("{job:016x}"), queue:% = queue.name, reason = reason.label(), retry_after:? = wait; "a job is refused");
            return self.reply(reply_to, Reply::Refused(reason));
        }
        let waiting = Vec::new();
        self.submissions
            .insert(job, PendingSubmission { workspace, waiting });
        self.propose(reply_to, Command::Submit(Box::new(submission)));
    }

    /// Decides whether the leader accepts a job.
    fn admit(&mut self, submission: &Submission) -> Result<(), Refused> {
        let (now, pending) = (self.now(), self.submissions.len());
        let Some(scheduler) = &mut self.scheduler else {
            return Ok(());
        };
        let verdict = scheduler.admit(now, &self.ledger, submission, pending);
        verdict.map_err(|refusal| match refusal {
            JobRefusal::PoisonQueue(wait) => Refused::Storm(wait),
            JobRefusal::Overload { after, .. } => {
                self.ports.metrics.refused_jobs.inc();
                Refused::Capacity(after)
            }
        })
    }

    fn cancel(&mut self, reply_to: ReplyTo, job: u64, caller: Option<&WorkspaceSpec>) {
        let Some(found) = self.ledger.job(job) else {
            let workspace = caller.map(|caller| &caller.name);
            let submitted = self.submissions.get(&job);
            if submitted.is_some_and(|job| job.workspace.as_ref() == workspace) {
                return self.propose(reply_to, Command::Cancel(job));
            }
            return self.reply(reply_to, Reply::Unknown(Unknown::Job));
        };
        let own = self
            .catalog
            .as_ref()
            .is_none_or(|c| c.may_see(caller, found));
        if !own {
            return self.reply(reply_to, Reply::Unknown(Unknown::Job));
        }
        if found.has_ended() {
            return self.reply(reply_to, Reply::Done);
        }
        self.propose(reply_to, Command::Cancel(job));
    }

    fn heartbeat(&mut self, reply_to: ReplyTo, heartbeat: &Heartbeat) {
        self.load.record_heartbeats();
        if let Some(why) = self.pool_mismatch(&heartbeat.agent) {
            log::info!(agent:% = heartbeat.agent.id, why; "refused a heartbeat");
            return self.reply(reply_to, Reply::Invalid(why));
        }
        let now = self.now();
        let news = self.scheduler.as_mut().and_then(|scheduler| {
            scheduler.heartbeat(now, &self.ledger, &heartbeat.agent, heartbeat.clock)
        });
        let Some(news) = news else {
            return self.reply(reply_to, Reply::Done);
        };
        let (record, held) = (&heartbeat.agent, self.ledger.footprint());
        let known = self.ledger.agent(&record.id);
        if let Err(refused) = self.memory.check_agent(held, known, record) {
            log::warn!(agent:% = record.id; "refused a heartbeat, as there is no memory for the agent");
            return self.refuse_for_memory(reply_to, refused);
        }
        self.propose(reply_to, news);
    }

    /// Why an agent's heartbeat doesn't fit the pools, if it doesn't. An incarnation keeps its
    /// pool, and a known one may go on even if the catalog no longer has its pool.
    fn pool_mismatch(&mut self, record: &AgentRecord) -> Option<String> {
        if let Some(known) = self.ledger.agent(&record.id) {
            let same = known.pool == record.pool;
            return (!same).then(|| format!("service: it was {} before", known.pool));
        }
        // Before the first catalog, any pool may turn out to be in it.
        let catalog = self.read_catalog()?;
        let known = catalog.has_pool(&record.pool);
        (!known).then(|| format!("service: the catalog has no {}", record.pool))
    }
}
