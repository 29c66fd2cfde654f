//! Attempts: how a round of the leader places them, and how they end.
//!
//! An attempt is placed at one incarnation of an agent until it has ended or is certain not to run.
//! Whatever a command says of another attempt of the task, or of one placed elsewhere, is outdated
//! and changes nothing, except that a task which any attempt has done stays done.

use super::{Change, Ledger, is_placed_at};
use crate::core::{
    types::{Attempt, MinionId, Resources, Wall},
    workload::{
        catalog::JobId,
        command::{AgentRecord, EndBatch, Ending, Placement, ReportedEnd, Round},
        job::{JobState, StepId, Task, TaskId},
        spec::StepIx,
        suspicion::Evidence,
    },
};

impl Ledger {
    pub(super) fn apply_round(&mut self, round: &Round, changes: &mut Vec<Change>) {
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
        self.recent_starts.record(round);
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
        if end.how == Ending::Failed {
            self.fail_gang_attempt(end.task, end.attempt);
        }
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

    /// Records that an attempt failed, if its task belongs to a gang. It counts wherever it is placed by now, as
    /// its end may be reported after the next attempt was placed.
    fn fail_gang_attempt(&mut self, id: TaskId, attempt: Attempt) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let spec = job.spec.steps.get(usize::from(id.step.step));
        if spec.is_some_and(|spec| spec.gang)
            && let Some(step) = job.step_mut(id.step)
        {
            step.fail_gang_attempt(id.task, attempt);
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
        let tasks = if spec.gang {
            0..spec.tasks
        } else {
            id.task..id.task.saturating_add(1)
        };
        let records = run.steps[step].record_count();
        let mut newly = 0;
        for ix in tasks {
            let Some(task) = run.steps[step].task(ix).cloned() else {
                continue;
            };
            if !run.steps[step].finish(ix) {
                continue;
            }
            newly += 1;
            let other = TaskId { task: ix, ..id };
            let same = task.attempt == attempt;
            let was_abandoned = !same || task.agent.is_none();
            changes.push(Change::Done {
                task: other,
                was_abandoned,
            });
            if let Some(agent) = task.agent.filter(|_| !same) {
                changes.push(Change::Redundant(Placement {
                    task: other,
                    attempt: task.attempt,
                    agent,
                }));
            }
        }
        self.footprint.tasks -= records - run.steps[step].record_count();
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
        if run.is_finished() && found.finished_runs.insert(occurrence) {
            found.finished += 1;
            if found.finished == found.spec.occurrences() {
                self.end_job(job, JobState::Completed, changes);
            } else {
                changes.push(Change::OccurrenceFinished(job, occurrence));
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
        let Some(step) = step.filter(|step| {
            let task = step.task(start.task.task);
            task.is_some_and(|task| start.attempt > task.attempt)
        }) else {
            return;
        };
        let records = step.record_count();
        if step.place(start.task.task).is_none() {
            return;
        }
        self.footprint.tasks += step.record_count() - records;
        let Some(task) = step.record_mut(start.task.task) else {
            return;
        };
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
    pub(super) fn report_unplaced(
        &mut self,
        id: TaskId,
        agent: &MinionId,
        changes: &mut Vec<Change>,
    ) {
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
        if let Some(job) = self.jobs.get_mut(&id.step.job)
            && let Some(step) = job.step_mut(id.step)
        {
            let before = step.record_count();
            step.drop_record(id.task);
            self.footprint.tasks -= before - step.record_count();
        }
        self.drop_tasks(id.step.job);
    }

    /// Drops the finished occurrences of a job, or all of them if it has ended, except those with a task that
    /// may still run.
    pub(super) fn drop_tasks(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let finished = |occurrence| job.is_finished(occurrence);
        if job.has_ended() || job.runs.keys().copied().any(finished) {
            let records = job.record_count();
            job.drop_runs();
            self.footprint.tasks -= records - job.record_count();
        }
    }
}
