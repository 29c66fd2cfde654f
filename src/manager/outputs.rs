//! Carries out the outputs of consensus on a control node: sends messages, writes to the disk,
//! applies entries to the ledger and replies to requesters.

use std::sync::Arc;

use super::{
    control::ControlTask,
    frame::Frame,
    proposals::{PendingProposal, ReplyTo},
    request::{Refused, Reply},
};
use crate::{
    core::{
        consensus::{Content, Entry, Index, Output},
        types::NodeId,
        workload::{
            catalog::{Catalog, JobId},
            command::Command,
            ledger::{Change, Ledger},
        },
    },
    node::{clock::wall, disk::Write},
};

impl ControlTask {
    pub(super) fn handle_output(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => {
                self.ports.mesh.send(to, Frame::Consensus(message).encode());
            }
            Output::Write { write, record } => self.writes.push(Write { write, record }),
            Output::Apply(entry) => self.apply(&entry),
            Output::Restore { index, snapshot } => match Ledger::from_snapshot(&snapshot) {
                Ok(ledger) => {
                    log::info!(index; "restored the ledger from a snapshot");
                    self.ledger = ledger;
                    self.catalog = None;
                    self.snapshot_index = index;
                    self.applied_bytes = 0;
                    self.adopt_cluster();
                }
                Err(error) => self.fail(format!("snapshot at {index}: {error}")),
            },
            Output::Appended {
                proposal,
                term,
                index,
            } => {
                if let Some(reply_to) = self.proposals.appended(proposal, term, index) {
                    self.reply(reply_to, Reply::Unclear);
                }
            }
            Output::Resigned { term, why } => {
                log::info!(term, why = why.label(); "this node stepped down as the leader");
            }
            Output::Rejected { proposal, leader } => {
                if let Some(rejected) = self.proposals.rejected(proposal) {
                    self.handle_rejected(rejected, leader);
                }
            }
        }
    }

    /// Replies to all who wait for a proposal that wasn't appended.
    fn handle_rejected(&mut self, rejected: PendingProposal, leader: Option<NodeId>) {
        let PendingProposal { reply_to, command } = rejected;
        if let Some(command) = &command {
            self.memory.settle(command);
        }
        // A node that stopped leading can't know why the change failed, and one whose place another
        // has taken didn't fail.
        let failed = self.node.is_leader() && self.node.joining().is_none();
        if failed
            && let ReplyTo::Membership {
                added: Some(added), ..
            } = reply_to
        {
            let now = self.now();
            self.members.change_failed(now, added);
        }
        let why = match leader {
            Some(leader) if leader == self.node.id() => Refused::Overloaded,
            leader => Refused::NotLeader(leader),
        };
        self.reply(reply_to, Reply::Refused(why));
        if let Some(Command::Submit(submission)) = command {
            for reply_to in self.take_waiting(submission.job) {
                self.reply(reply_to, Reply::Refused(why));
            }
        }
    }

    /// Forgets a submission that is no longer pending. Returns where to reply besides to its first
    /// requester.
    fn take_waiting(&mut self, job: JobId) -> Vec<ReplyTo> {
        let submitted = self.submissions.remove(&job);
        submitted.map_or_else(Vec::new, |submitted| submitted.waiting)
    }

    fn apply(&mut self, entry: &Entry) {
        let waiter = self.proposals.applied(entry.term, entry.index);
        let (waiter, command) = waiter.map_or((None, None), |applied| {
            (Some((applied.reply_to, applied.matches)), applied.command)
        });
        if let Some(command) = &command {
            self.memory.settle(command);
        }
        if let Content::Command(payload) = &entry.content {
            self.applied_bytes += payload.len();
            match command.map_or_else(|| Command::decode(payload), Ok) {
                Ok(command) => self.apply_command(entry.index, &command),
                Err(error) => self.fail(format!("entry {}: {error}", entry.index)),
            }
        }
        if let Some((reply_to, matches)) = waiter {
            if let ReplyTo::Membership { added, .. } = reply_to {
                // The next change is due at once: while a lost voter is on a longer list, the
                // cluster tolerates fewer losses.
                self.check_due = None;
                if let Some(added) = added.filter(|_| matches) {
                    self.members.change_applied(added);
                }
            }
            let reply = if matches {
                Reply::Done
            } else {
                Reply::Refused(Refused::NotLeader(self.node.leader()))
            };
            self.reply(reply_to, reply);
        }
    }

    fn apply_command(&mut self, index: Index, command: &Command) {
        let before = self.ledger.footprint().jobs;
        let changes = self.ledger.apply(index, command);
        let now = self.now();
        let freed = before.saturating_sub(self.ledger.footprint().jobs);
        self.memory.record_freed(now, freed);
        if changes.contains(&Change::Declared) {
            self.catalog = None;
            if self.scheduler.is_some() {
                self.read_catalog();
            }
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.apply(now, wall(), &self.ledger, command, &changes);
        }
        if let Command::SetCluster(_) = command {
            self.adopt_cluster();
        }
        if let Command::Submit(submission) = command {
            for reply_to in self.take_waiting(submission.job) {
                self.reply(reply_to, Reply::Done);
            }
        }
        for change in changes {
            self.note(change);
        }
    }

    /// Logs a change that matters to callers and agents. Only the leader logs it, because it made
    /// the decision.
    fn note(&self, change: Change) {
        if self.scheduler.is_none() {
            return;
        }
        match change {
            Change::Terminated(agent) => log::info!(agent:%; "an agent incarnation has ended"),
            Change::PoisonTask(task) => {
                log::warn!(task:%; "a job failed because one of its tasks crashes the hosts that run it");
                self.ports.metrics.poison_jobs.inc();
            }
            Change::Accepted(id) => {
                if let Some(job) = self.ledger.job(id) {
                    log::info!(job:% = format_args!("{id:016x}"), queue:% = job.queue; "a job was accepted");
                }
            }
            _ => {}
        }
    }

    /// Returns the catalog in force. Decodes it if that hasn't been done yet.
    pub(super) fn read_catalog(&mut self) -> Option<Arc<Catalog>> {
        if self.catalog.is_none() {
            let document = self.ledger.document()?;
            match (self.ports.decode)(&document.text.0) {
                Ok(catalog) => {
                    log::info!(version = document.version, queues = catalog.queues.len(); "decoded the catalog in force");
                    let catalog = Arc::new(catalog);
                    self.catalog = Some(Arc::clone(&catalog));
                    let now = self.now();
                    if let Some(scheduler) = &mut self.scheduler {
                        scheduler.set_catalog(now, catalog, &self.ledger);
                    }
                }
                // It was decoded before it was committed, by this release or an earlier one.
                Err(error) => log::error!(error; "failed to decode the catalog in force"),
            }
        }
        self.catalog.clone()
    }
}
