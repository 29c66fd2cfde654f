//! Which agents may run the steps of queues whose policy only an outside service knows.
//!
//! The service is asked about a step when the step has tasks to start and no agent that is known to
//! be allowed has room for them. What it says of an agent stays true, but its grant, which a start
//! must carry, holds for a while only. Nothing of this is hard state: a later leader asks again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    About, Agent, Answer, MinionId, Name, Now, OrderKind, PoolId, Scheduler, StepId, place,
};
use crate::core::workload::{catalog::JobId, spec::StepSpec};

/// Agents that one question is about. Each takes the service some time, and objectives count one
/// question on so many for each step.
const ASKED: usize = 30;
/// Questions that may be under way: the service answers one after the other, and refuses to hold
/// more than 32 of all leaders together.
const UNDER_WAY: usize = 8;
/// From a question that got no answer to the next one.
const RETRY: Duration = Duration::from_millis(300);
/// A grant isn't used in the last part of its time: a start may be under way for so long.
const SPARE: Duration = Duration::from_millis(300);

/// What is known of all steps that had to be asked about.
#[derive(Clone, Debug, Default)]
pub(super) struct Eligible {
    steps: BTreeMap<StepId, Known>,
    under_way: usize,
}

/// What is known of a step.
#[derive(Clone, Debug, Default)]
struct Known {
    /// Agents that were asked about; those without a grant aren't allowed.
    asked: BTreeSet<MinionId>,
    /// The grant of each allowed agent, and until when it may be used.
    grants: BTreeMap<MinionId, (Name, Now)>,
    /// Whether a question is under way.
    asking: bool,
    /// When the next one may be sent.
    next: Now,
}

/// What the service was asked.
#[derive(Clone, Debug)]
pub(super) struct Question {
    step: StepId,
    agents: Vec<MinionId>,
    /// How long its grants hold.
    valid: Duration,
}

impl Eligible {
    /// The grant for a step's tasks at an agent.
    pub(super) fn grant(&self, now: Now, step: StepId, agent: &MinionId) -> Option<Name> {
        let (grant, until) = self.steps.get(&step)?.grants.get(agent)?;
        (now < *until).then(|| grant.clone())
    }

    /// A grant was refused, or an agent is over.
    pub(super) fn revoke(&mut self, step: StepId, agent: &MinionId) {
        if let Some(known) = self.steps.get_mut(&step) {
            known.grants.remove(agent);
            known.asked.remove(agent);
        }
    }

    /// Forgets a job that is over.
    pub(super) fn forget(&mut self, job: JobId) {
        self.steps.retain(|step, _| step.job != job);
    }
}

impl Known {
    /// Forgets grants that have run out, so that they are asked for again.
    fn expire(&mut self, now: Now) {
        let Self { asked, grants, .. } = self;
        grants.retain(|agent, (_, until)| {
            let holds = now < *until;
            if !holds {
                asked.remove(agent);
            }
            holds
        });
    }
}

impl Scheduler {
    /// Whether a step's tasks may be started at an agent, as far as that had to be asked.
    pub(super) fn is_eligible(&self, now: Now, step: StepId, agent: &Agent) -> bool {
        let asked = self
            .ready
            .get(step)
            .is_some_and(|r| r.eligibility.is_some());
        !asked || self.eligible.grant(now, step, &agent.record.id).is_some()
    }

    /// Asks where a step may run that has tasks left after all known places were used.
    pub(super) fn ask_eligible(&mut self, now: Now, pool: &PoolId, step: StepId, spec: &StepSpec) {
        let ready = self.ready.get(step);
        let Some(cost) = ready.and_then(|r| r.eligibility.filter(|_| !r.free.is_empty())) else {
            return;
        };
        let known = self.eligible.steps.entry(step).or_default();
        known.expire(now);
        if known.asking || now < known.next || self.eligible.under_way >= UNDER_WAY {
            return;
        }
        let asked = self.eligible.steps.get(&step).map(|known| &known.asked);
        let able = self.able(now, pool, spec.room().millicores);
        let new = able.filter(|a| asked.is_none_or(|asked| !asked.contains(&a.record.id)));
        let agents = place::best(now, new, spec, step, ASKED);
        if agents.is_empty() {
            return;
        }
        self.eligible.under_way += 1;
        if let Some(known) = self.eligible.steps.get_mut(&step) {
            known.asking = true;
        }
        let count = u32::try_from(agents.len()).unwrap_or(u32::MAX);
        let before = u32::try_from(self.eligible.under_way).unwrap_or(u32::MAX);
        let within = (cost.decision + cost.each * count) * before;
        let about = About::Eligible(Question {
            step,
            agents: agents.clone(),
            valid: cost.valid,
        });
        let what = OrderKind::Ask {
            step,
            agents,
            within,
        };
        self.order(now, about, what);
    }

    /// The service has answered, or hasn't.
    pub(super) fn eligible_told(
        &mut self,
        now: Now,
        sent: Now,
        question: Question,
        answer: Answer,
    ) {
        let Question {
            step,
            agents,
            valid,
        } = question;
        self.eligible.under_way = self.eligible.under_way.saturating_sub(1);
        let Some(known) = self.eligible.steps.get_mut(&step) else {
            return;
        };
        known.asking = false;
        let Answer::Eligible(allowed) = answer else {
            log::info!(step:%, answer:?; "where a step may run wasn't answered");
            known.next = now + RETRY;
            return;
        };
        log::info!(step:%, asked = agents.len(), allowed = allowed.len(); "where a step may run is known");
        let until = sent + valid.saturating_sub(SPARE);
        known.asked.extend(agents);
        let grants = allowed.into_iter().map(|(id, grant)| (id, (grant, until)));
        known.grants.extend(grants);
    }
}
