//! Incarnations of agents: how they are recorded, and what becomes of their tasks when they
//! terminate.

use std::collections::BTreeSet;

use super::{Change, Ledger, is_placed_at};
use crate::core::{
    types::{MinionId, Resources},
    workload::{
        command::AgentRecord,
        footprint,
        job::{Job, Task, TaskId},
        suspicion::{Crash, Evidence},
    },
};

impl Ledger {
    pub(super) fn register_agent(&mut self, record: &AgentRecord, changes: &mut Vec<Change>) {
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
        self.insert_agent(record);
    }

    fn insert_agent(&mut self, record: AgentRecord) {
        self.footprint.others += footprint::agent_bytes(&record);
        if let Some(before) = self.agents.insert(record.id.clone(), record) {
            self.footprint.others -= footprint::agent_bytes(&before);
        }
    }

    /// Removes the record of an incarnation.
    fn take_agent(&mut self, id: &MinionId) -> Option<AgentRecord> {
        let record = self.agents.remove(id)?;
        self.footprint.others -= footprint::agent_bytes(&record);
        Some(record)
    }

    /// Records an incarnation, which was recorded under its agent's name so far, under an id of its own.
    fn assign_id(&mut self, mut record: AgentRecord, changes: &mut Vec<Change>) {
        let (from, to) = (record.name().clone(), record.id.clone());
        if let Some(known) = self.take_agent(&from) {
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
        self.insert_agent(record);
        changes.push(Change::Renamed { from, to });
    }

    pub(super) fn remove_agent(&mut self, agent: &MinionId, changes: &mut Vec<Change>) {
        let known = self.agents.get(agent);
        // The end of an incarnation may be committed before its first heartbeat.
        if known.is_some() || !self.terminated.contains(agent) {
            let last = known.map_or(0, |known| known.sequence);
            self.terminated.insert(agent.clone(), last);
        }
        if self.take_agent(agent).is_none() {
            return;
        }
        for task in self.placed.remove(agent).unwrap_or_default() {
            self.adjust_usage(task, Resources::minus);
            self.report_unplaced(task, agent, changes);
        }
        changes.push(Change::Terminated(agent.clone()));
    }

    pub(super) fn apply_crash(&mut self, crash: &Crash, changes: &mut Vec<Change>) {
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
