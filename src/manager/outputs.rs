//! What a control node does with the outputs of consensus: it sends, writes, applies to the ledger,
//! and answers who waits.

use std::sync::Arc;

use super::{
    ask::{Refused, Reply},
    control::Task,
    frame::Frame,
    waiting::Asker,
};
use crate::{
    core::{
        consensus::{Content, Entry, Index, Output},
        workload::{
            catalog::Catalog,
            command::Command,
            ledger::{Change, Ledger},
        },
    },
    node::{clock::wall, disk::Write},
};

impl Task {
    pub(super) fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => {
                self.ports.mesh.send(to, Frame::Log(message).encode());
            }
            Output::Write { write, record } => self.writes.push(Write { write, record }),
            Output::Apply(entry) => self.apply(&entry),
            Output::Restore { index, image } => match Ledger::from_image(&image) {
                Ok(ledger) => {
                    log::info!(index; "the ledger was restored from a snapshot");
                    self.ledger = ledger;
                    self.catalog = None;
                    self.compacted = index;
                    self.bytes = 0;
                    self.join();
                }
                Err(error) => self.fail(format!("snapshot at {index}: {error}")),
            },
            Output::Placed {
                proposal,
                term,
                index,
            } => {
                if let Some(asker) = self.waiting.placed(proposal, term, index) {
                    self.reply(asker, Reply::Unclear);
                }
            }
            Output::Resigned { term, why } => {
                log::info!(term, why = why.label(); "this node stepped down");
            }
            Output::Rejected { proposal, leader } => {
                if let Some(asker) = self.waiting.rejected(proposal) {
                    // One that leads no more can't know why its change came to nothing.
                    if matches!(asker, Asker::Membership) && self.node.is_leader() {
                        let now = self.now();
                        self.members.came_to_nothing(now);
                    }
                    let why = match leader {
                        Some(leader) if leader == self.node.id() => Refused::Overloaded,
                        leader => Refused::NotLeader(leader),
                    };
                    self.reply(asker, Reply::Refused(why));
                }
            }
        }
    }

    fn apply(&mut self, entry: &Entry) {
        let waiter = self.waiting.applied(entry.term, entry.index);
        let (waiter, command) = waiter.map_or((None, None), |applied| {
            (Some((applied.asker, applied.own)), applied.command)
        });
        if let Content::Command(payload) = &entry.content {
            self.bytes += payload.len();
            match command.map_or_else(|| Command::decode(payload), Ok) {
                Ok(command) => self.apply_command(entry.index, &command),
                Err(error) => self.fail(format!("entry {}: {error}", entry.index)),
            }
        }
        if let Some((asker, own)) = waiter {
            if matches!(asker, Asker::Membership) {
                // The next change need not wait: with a lost voter in it a longer list is weaker.
                self.tend_due = None;
                self.members.came_about();
            }
            let reply = if own {
                Reply::Done
            } else {
                Reply::Refused(Refused::NotLeader(self.node.leader()))
            };
            self.reply(asker, reply);
        }
    }

    fn apply_command(&mut self, index: Index, command: &Command) {
        let changes = self.ledger.apply(index, command);
        let now = self.now();
        if changes.contains(&Change::Declared) {
            self.catalog = None;
            if self.scheduler.is_some() {
                self.read_catalog();
            }
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.apply(now, wall(), &self.ledger, command, &changes);
        }
        if let Command::Found(_) = command {
            self.join();
        }
        if let Command::Submit(submission) = command {
            let submitted = self.submitting.remove(&submission.job);
            let waiting = submitted.map_or_else(Vec::new, |submitted| submitted.waiting);
            for asker in waiting {
                self.reply(asker, Reply::Done);
            }
        }
        for change in changes {
            self.note(change);
        }
    }

    /// Logs what a change means for callers and agents; the leader alone, as it decided it.
    fn note(&self, change: Change) {
        if self.scheduler.is_none() {
            return;
        }
        match change {
            Change::Gone(agent) => log::info!(agent:%; "an agent is over"),
            Change::Convicted(task) => {
                log::warn!(task:%; "a job has failed, since a task of it ends the hosts that run it");
                self.ports.metrics.convicted.inc();
            }
            Change::Accepted(id) => {
                if let Some(job) = self.ledger.job(id) {
                    log::info!(job:% = format_args!("{id:016x}"), queue:% = job.queue; "a job was accepted");
                }
            }
            _ => {}
        }
    }

    /// Reads the catalog in force, if that wasn't done.
    pub(super) fn read_catalog(&mut self) -> Option<Arc<Catalog>> {
        if self.catalog.is_none() {
            let document = self.ledger.document()?;
            match (self.ports.decode)(&document.text.0) {
                Ok(catalog) => {
                    log::info!(version = document.version, queues = catalog.queues.len(); "a catalog is in force");
                    let catalog = Arc::new(catalog);
                    self.catalog = Some(Arc::clone(&catalog));
                    let now = self.now();
                    if let Some(scheduler) = &mut self.scheduler {
                        scheduler.set_catalog(now, catalog, &self.ledger);
                    }
                }
                // It was read before it was committed, by this release or an earlier one.
                Err(error) => log::error!(error; "the catalog in force can't be read"),
            }
        }
        self.catalog.clone()
    }
}
