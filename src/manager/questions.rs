//! What a control node is asked: the leader answers, all others say who leads.

use std::time::Duration;

use super::{
    ask::{Ask, Beat, Call, Refused, Reply, Unknown, Verb},
    control::{Submitting, Task},
    waiting::Asker,
};
use crate::{
    core::{
        types::Name,
        workload::{
            catalog::{Place, QueueSpec},
            command::{AgentRecord, Command, Document, Submission},
            job::Job,
            spec::JobSpec,
            workspace::WorkspaceSpec,
        },
    },
    node::clock::wall,
};

impl Task {
    pub(super) fn ask(&mut self, asker: Asker, ask: Ask) {
        if self.scheduler.is_none() || !self.leads() {
            let leader = self.node.leader().filter(|l| *l != self.node.id());
            let why = leader.map_or(Refused::NoLeader, |l| Refused::NotLeader(Some(l)));
            return self.reply(asker, Reply::Refused(why));
        }
        if self.full && !matches!(ask, Ask::ReadCatalog | Ask::WaveState(_)) {
            return self.reply(asker, Reply::Refused(Refused::Overloaded));
        }
        match ask {
            Ask::Call(call) => self.call(asker, call),
            Ask::Declare(document) => self.declare(asker, document),
            Ask::ReadCatalog => {
                let text = self.ledger.document().map(|d| d.text.clone());
                let none = Reply::Refused(Refused::NoCatalog);
                self.reply(asker, text.map_or(none, Reply::Catalog));
            }
            Ask::Beat(beat) => self.beat(asker, &beat),
            Ask::Leave(name) => self.agent_left(asker, &name),
            Ask::BeginWave(wave) => self.propose(asker, Command::Wave(wave)),
            Ask::WaveState(wave) => {
                let record = self.ledger.wave_record(wave);
                let none = Reply::Unknown(Unknown::Wave);
                let reply = record.map_or(none, |record| Reply::Wave {
                    through: record.left.is_empty(),
                });
                self.reply(asker, reply);
            }
        }
    }

    /// An agent says that it ends. Its name alone doesn't tell which incarnation has: one that never said
    /// that it would may be the next.
    fn agent_left(&mut self, asker: Asker, name: &Name) {
        let left =
            |agent: &&AgentRecord| agent.name() == name && (agent.leaving || agent.id == *name);
        let left = self
            .ledger
            .agents()
            .find(left)
            .map(|agent| agent.id.clone());
        let Some(id) = left else {
            log::info!(agent:% = name; "an agent has said good-bye that never said it would leave");
            return self.reply(asker, Reply::Done);
        };
        self.propose(asker, Command::Gone(id));
    }

    fn declare(&mut self, asker: Asker, document: Document) {
        let held = self.ledger.document().map_or(0, |d| d.version);
        if self.ledger.document().is_some() && document.version <= held {
            // Acknowledged and without effect.
            return self.reply(asker, Reply::Done);
        }
        self.propose(asker, Command::Declare(document));
    }

    fn call(&mut self, asker: Asker, call: Call) {
        let Some(catalog) = self.read_catalog() else {
            return self.reply(asker, Reply::Refused(Refused::NoCatalog));
        };
        let Some((queue, place)) = catalog.find(&call.host, &call.path) else {
            return self.reply(asker, Reply::Unknown(Unknown::Queue));
        };
        let Ok(caller) = catalog.caller(queue, call.key) else {
            log::info!(queue:% = queue.name, verb = call.verb.word(), shown = call.key.is_some(); "a call showed no key that holds");
            return self.reply(asker, Reply::Denied);
        };
        let seen = |job: &&Job| catalog.may_see(caller, job);
        let reply = match (place, call.verb) {
            (Place::Job(job), Verb::Submit(spec)) => {
                return self.submit(asker, job, queue, caller, *spec);
            }
            (Place::Job(job), Verb::Cancel) => return self.cancel(asker, job, caller),
            (Place::Job(job), Verb::Look) => {
                let job = self.ledger.job(job).filter(seen);
                job.map_or(Reply::Unknown(Unknown::Job), |job| Reply::State(job.state))
            }
            (Place::Queue, Verb::Look) => Reply::Pending(self.ledger.pending(&queue.name)),
            (Place::Nothing, Verb::Look | Verb::Cancel) => Reply::Unknown(Unknown::Job),
            (Place::Queue | Place::Nothing, Verb::Submit(_) | Verb::Cancel) => Reply::Invalid(
                "the path must end with the job's number, 16 hexadecimal digits".to_owned(),
            ),
        };
        self.reply(asker, reply);
    }

    fn submit(
        &mut self,
        asker: Asker,
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
            return self.reply(asker, if own { Reply::Done } else { taken() });
        }
        if let Some(submitted) = self.submitting.get_mut(&job) {
            if submitted.workspace != workspace {
                return self.reply(asker, taken());
            }
            submitted.waiting.push(asker);
            return;
        }
        let submission = Submission {
            job,
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            workspace: workspace.clone(),
            spec,
            accepted: wall(),
        };
        if let Some(wait) = self.comeback(&submission) {
            return self.reply(asker, Reply::Refused(Refused::Storm(wait)));
        }
        let waiting = Vec::new();
        self.submitting
            .insert(job, Submitting { workspace, waiting });
        self.propose(asker, Command::Submit(Box::new(submission)));
    }

    /// When to come back with a job that isn't accepted, as the leader decides.
    fn comeback(&self, submission: &Submission) -> Option<Duration> {
        let scheduler = self.scheduler.as_ref()?;
        scheduler.retry_after(self.now(), &self.ledger, submission, self.submitting.len())
    }

    fn cancel(&mut self, asker: Asker, job: u64, caller: Option<&WorkspaceSpec>) {
        let Some(found) = self.ledger.job(job) else {
            let workspace = caller.map(|caller| &caller.name);
            let submitted = self.submitting.get(&job);
            if submitted.is_some_and(|job| job.workspace.as_ref() == workspace) {
                return self.propose(asker, Command::Cancel(job));
            }
            return self.reply(asker, Reply::Unknown(Unknown::Job));
        };
        let own = self
            .catalog
            .as_ref()
            .is_none_or(|c| c.may_see(caller, found));
        if !own {
            return self.reply(asker, Reply::Unknown(Unknown::Job));
        }
        if found.is_over() {
            return self.reply(asker, Reply::Done);
        }
        self.propose(asker, Command::Cancel(job));
    }

    fn beat(&mut self, asker: Asker, beat: &Beat) {
        if let Some(why) = self.is_foreign(&beat.agent) {
            log::info!(agent:% = beat.agent.id, why; "a heartbeat was refused");
            return self.reply(asker, Reply::Invalid(why));
        }
        let now = self.now();
        let news = self
            .scheduler
            .as_mut()
            .and_then(|scheduler| scheduler.heard(now, &self.ledger, &beat.agent, beat.clock));
        match news {
            Some(news) => self.propose(asker, news),
            None => self.reply(asker, Reply::Done),
        }
    }

    /// Why a heartbeat can't be of an agent of these pools, if it can't. An incarnation keeps its
    /// pool, and one that is known may go on though its pool was taken from the catalog.
    fn is_foreign(&mut self, record: &AgentRecord) -> Option<String> {
        if let Some(known) = self.ledger.agent(&record.id) {
            let same = known.pool == record.pool;
            return (!same).then(|| format!("service: it was {} before", known.pool));
        }
        // Before the first catalog any pool may turn out to be one of it.
        let catalog = self.read_catalog()?;
        let known = catalog.has_pool(&record.pool);
        (!known).then(|| format!("service: the catalog has no {}", record.pool))
    }
}
