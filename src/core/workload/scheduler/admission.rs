//! Feeds admission control with what the scheduler knows: the outstanding work of accepted jobs.

use super::{Job, JobId, Ledger, Occurrence, Scheduler};
use crate::core::workload::admission::outstanding::{JobWork, Outstanding, StepWork};

impl Scheduler {
    /// The batch work of accepted jobs that isn't done.
    pub fn outstanding(&self) -> &Outstanding {
        &self.outstanding
    }

    /// Counts the work of an occurrence that may run now. Of a recurring job, it is the last one that was
    /// opened.
    pub(super) fn track_work(&mut self, id: JobId, occurrence: Occurrence, job: &Job) {
        let work = self.job_work(occurrence, job);
        self.outstanding.add(id, work);
    }

    /// Counts the work of jobs for the pools that run them under another catalog.
    pub(super) fn reassign_work(&mut self, ledger: &Ledger) {
        let jobs = self.outstanding.jobs();
        let moved = jobs.filter_map(|(id, work)| {
            let pool = self.pool(ledger.job(id)?);
            let steps = work.steps.clone();
            let workspace = work.workspace.clone();
            let moved = JobWork {
                pool,
                workspace,
                steps,
            };
            (moved.pool != work.pool).then_some((id, moved))
        });
        for (id, work) in moved.collect::<Vec<_>>() {
            self.outstanding.add(id, work);
        }
    }

    /// What is left of the batch tasks of an occurrence.
    fn job_work(&self, occurrence: Occurrence, job: &Job) -> JobWork {
        let pool = self.pool(job);
        let run = job.runs.get(&occurrence);
        let steps = job.spec.steps.iter().enumerate().map(|(ix, spec)| {
            if spec.long_running {
                return StepWork::default();
            }
            let done = run
                .and_then(|run| run.steps.get(ix))
                .map_or(0, |step| step.done);
            let millis = self.estimate(&pool, spec).as_millis();
            StepWork {
                tasks: u64::from(spec.tasks.saturating_sub(done)),
                millicores: spec.reservation().millicores,
                millis: u64::try_from(millis).unwrap_or(u64::MAX),
            }
        });
        JobWork {
            steps: steps.collect(),
            workspace: job.workspace.clone(),
            pool,
        }
    }
}
