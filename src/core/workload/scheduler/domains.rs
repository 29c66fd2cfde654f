//! Keeps the tasks of a batch job in one failure domain, its data centre.
//!
//! When a data centre is cut off, every job with a task there is late. If the tasks of each job are
//! spread over all data centres, that is nearly every job in flight; if each job lies in one data
//! centre of three, it is a third of them. So a job gets a *home*: the data centre that has the most
//! free capacity when its first task is placed. Its later tasks and steps are placed there as well,
//! and elsewhere only as far as the home has no room, so that no task waits for it. The home is
//! soft state: a new leader derives it from where tasks of the job are placed.
//!
//! A data centre is taken for cut off while most of its agents don't answer. Nothing new is placed
//! there meanwhile, not even at agents whose failure hasn't shown yet. Agents that run nothing are
//! hardly polled. So a data centre where most of the polled agents don't answer is *doubtful*: it is
//! used last.
//!
//! Agents that don't state their data centre are used after all others and are nobody's home.

use std::{cmp::Reverse, collections::BTreeMap};

use super::{Agent, Agents, Job, JobId, Ledger, MinionId, PoolId, Scheduler, agents::Standing};
use crate::core::{
    types::{DataCentreId, Map},
    workload::spec::StepSpec,
};

/// How many polled agents of a data centre have to fail before it counts as doubtful: fewer are
/// more often hosts that crashed together on one rack.
const MIN_FAILING: usize = 3;
/// A data centre that was cut off counts as connected again once at most one in this many of its
/// agents doesn't answer. The limit is below the one for a cut, since agents come back one after
/// the other.
const RECONNECTED_DIVISOR: usize = 4;

/// The data centre in which each open batch job is kept.
#[derive(Clone, Debug, Default)]
pub(super) struct Homes {
    by_job: Map<JobId, DataCentreId>,
    /// The tasks that were placed in the home of their job since the last log line, and elsewhere.
    placed: (usize, usize),
}

impl Homes {
    /// Forgets a job that is over.
    pub(super) fn forget(&mut self, job: JobId) {
        self.by_job.remove(&job);
    }

    /// Logs how many tasks were placed in the home of their job and elsewhere, if any were.
    pub(super) fn log_placed(&mut self) {
        let (at_home, elsewhere) = std::mem::take(&mut self.placed);
        if at_home + elsewhere > 0 {
            log::info!(at_home, elsewhere; "tasks of batch jobs were placed in data centres");
        }
    }
}

/// The data centres by how many of their agents answer.
#[derive(Clone, Debug, Default)]
pub(super) struct DataCentres {
    centres: BTreeMap<DataCentreId, Centre>,
    /// Whether some are cut off and others aren't. If all are, the fault isn't theirs.
    some_cut: bool,
}

/// The agents of a data centre that say something about it.
#[derive(Clone, Copy, Debug, Default)]
struct Centre {
    agents: usize,
    /// Those that are polled, so that a failure would show.
    polled: usize,
    /// Those that don't answer.
    failing: usize,
    /// Whether it is taken for cut off.
    cut: bool,
}

impl Centre {
    fn is_doubtful(&self) -> bool {
        self.failing >= MIN_FAILING && self.failing * 2 > self.polled
    }

    fn is_cut(&self) -> bool {
        if self.cut {
            // If all agents are gone, nothing shows that it is connected again.
            self.agents == 0 || self.failing * RECONNECTED_DIVISOR > self.agents
        } else {
            self.failing * 2 > self.agents
        }
    }
}

impl DataCentres {
    pub(super) fn insert(&mut self, name: &DataCentreId, standing: Standing) {
        // Agents without a known data centre have nothing in common.
        if name.is_empty() || !standing.counted {
            return;
        }
        let centre = self.centres.entry(name.clone()).or_default();
        centre.agents += 1;
        centre.polled += usize::from(standing.polled);
        centre.failing += usize::from(standing.failing);
    }

    /// Undoes [`DataCentres::insert`].
    pub(super) fn remove(&mut self, name: &DataCentreId, standing: Standing) {
        let Some(centre) = self.centres.get_mut(name).filter(|_| standing.counted) else {
            return;
        };
        centre.agents -= 1;
        centre.polled -= usize::from(standing.polled);
        centre.failing -= usize::from(standing.failing);
    }

    /// Decides which data centres are cut off.
    pub(super) fn update_cut(&mut self) {
        for (name, centre) in &mut self.centres {
            let cut = centre.is_cut();
            if cut == centre.cut {
                continue;
            }
            centre.cut = cut;
            let Centre {
                agents, failing, ..
            } = *centre;
            if cut {
                log::warn!(data_centre:% = name, agents, failing; "a data centre is taken for cut off");
            } else {
                log::info!(data_centre:% = name, agents, failing; "a data centre is connected again");
            }
        }
        let mut centres = self.centres.values();
        self.some_cut = centres.clone().any(|centre| centre.cut)
            && centres.any(|centre| centre.agents > 0 && !centre.cut);
    }

    /// Whether nothing new may be placed in a data centre.
    pub(super) fn is_cut(&self, name: &DataCentreId) -> bool {
        self.some_cut && self.centres.get(name).is_some_and(|centre| centre.cut)
    }

    fn is_doubtful(&self, name: &DataCentreId) -> bool {
        self.centres.get(name).is_some_and(Centre::is_doubtful)
    }
}

/// Whether the tasks of a step are kept in the home of their job.
fn stays_home(spec: &StepSpec) -> bool {
    !spec.long_running && !spec.best_effort && !spec.gang
}

/// The home of a job by where its tasks are placed: the data centre that has the most of them.
fn derive_home(agents: &Agents, id: JobId, job: &Job) -> Option<DataCentreId> {
    let mut counts: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
    for (task, agent) in job.placements(id) {
        let spec = job.spec.steps.get(usize::from(task.step.step));
        let agent = agents.get(&agent).filter(|_| spec.is_some_and(stays_home));
        if let Some(Agent { record, .. }) = agent
            && !record.data_centre.is_empty()
        {
            *counts.entry(&record.data_centre).or_default() += 1;
        }
    }
    let most = counts
        .into_iter()
        .max_by_key(|(name, count)| (*count, Reverse(*name)));
    most.map(|(name, _)| name.clone())
}

impl Scheduler {
    /// The data centres in which agents for a step are looked for, in order; a single `None` stands
    /// for all agents of the pool, whatever their data centre.
    ///
    /// The home of the job goes first if it is well, then those with the most free capacity.
    pub(super) fn search_order(
        &self,
        pool: &PoolId,
        job: JobId,
        spec: &StepSpec,
    ) -> Vec<Option<DataCentreId>> {
        let known: Vec<_> = self.agents.open_millicores(pool).collect();
        // A job that lost a host doesn't stay: more hosts lost in the same data centre would count as
        // evidence against the job.
        if known.len() < 2 || !stays_home(spec) || self.suspects.has_job(job) {
            return vec![None];
        }
        let centres = self.agents.centres();
        let home = self.homes.by_job.get(&job);
        let mut usable: Vec<_> = known
            .into_iter()
            .filter(|(name, _)| !centres.is_cut(name))
            .collect();
        usable.sort_by_key(|(name, open)| {
            let unknown = name.is_empty();
            let elsewhere = Some(*name) != home;
            let doubtful = centres.is_doubtful(name);
            (unknown, doubtful, elsewhere, Reverse(*open), *name)
        });
        let names = usable.into_iter();
        names.map(|(name, _)| Some(name.clone())).collect()
    }

    /// Makes the data centre of an agent that got a task the home of the task's job, unless the job
    /// has a home that goes first in the order of the search. Counts the task.
    pub(super) fn record_home(
        &mut self,
        job: JobId,
        order: &[Option<DataCentreId>],
        agent: &MinionId,
    ) {
        let Some(Some(first)) = order.first() else {
            return;
        };
        let agent = self.agents.get(agent);
        let Some(name) = agent.map(|agent| &agent.record.data_centre) else {
            return;
        };
        let homes = &mut self.homes;
        if homes.by_job.get(&job) != Some(first) && !name.is_empty() {
            homes.by_job.insert(job, name.clone());
        }
        if homes.by_job.get(&job) == Some(name) {
            homes.placed.0 += 1;
        } else {
            homes.placed.1 += 1;
        }
    }

    /// Derives the homes of open jobs from where their tasks are placed.
    pub(super) fn inherit_homes(&mut self, ledger: &Ledger) {
        if !self.settings.colocate_jobs {
            return;
        }
        for (id, job) in ledger.jobs().filter(|(_, job)| !job.has_ended()) {
            let home = derive_home(&self.agents, id, job);
            self.homes.by_job.extend(home.map(|home| (id, home)));
        }
    }
}
