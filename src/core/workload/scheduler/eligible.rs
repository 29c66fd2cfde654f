//! Decides which agents may run the steps of queues whose placement policy only an outside service
//! knows.
//!
//! The service is asked about a step when the step has tasks to start and none of the agents that
//! are known to be allowed has room for them. The service's answer about an agent stays true, but
//! the grant that comes with it, which a start must carry, is valid only for a limited time. None
//! of this is replicated: a later leader asks again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    About, Agent, Answer, MinionId, Name, Now, OrderKind, PoolId, Scheduler, StepId, place,
};
use crate::core::workload::{
    catalog::JobId,
    spec::{Occurrence, StepSpec},
};

/// Most agents in one question. The service takes time for each agent, and the objectives of jobs
/// allow for one question about this many agents for each step.
const MAX_AGENTS_ASKED: usize = 30;
/// Questions to the eligibility service that may be outstanding at once. The service answers one
/// after the other, and holds at most 32 of all leaders together; it refuses more.
pub const MAX_OPEN_QUESTIONS: usize = 8;
/// Delay from a question that got no answer to the next one.
const QUESTION_RETRY_DELAY: Duration = Duration::from_millis(300);
/// A grant isn't used within this time before it expires: a start may take as long to arrive.
const GRANT_MARGIN: Duration = Duration::from_millis(300);

/// What is known about all steps that had to be asked about.
#[derive(Clone, Debug, Default)]
pub(super) struct Eligible {
    steps: BTreeMap<StepId, StepEligibility>,
    open_questions: usize,
}

/// What is known about a step.
#[derive(Clone, Debug, Default)]
struct StepEligibility {
    /// Agents that were asked about; those without a grant aren't allowed.
    asked: BTreeSet<MinionId>,
    /// The grant of each allowed agent, and until when it may be used.
    grants: BTreeMap<MinionId, (Name, Now)>,
    /// Whether a question is outstanding.
    pending: bool,
    /// When the next question may be sent.
    next: Now,
}

/// A question to the service: which of these agents may run the step?
#[derive(Clone, Debug)]
pub(super) struct Question {
    step: StepId,
    agents: Vec<MinionId>,
    /// How long the grants in its answer are valid.
    valid: Duration,
}

impl Eligible {
    /// Returns the grant for a step's tasks at an agent, if there is a valid one.
    pub(super) fn grant(&self, now: Now, step: StepId, agent: &MinionId) -> Option<Name> {
        let (grant, until) = self.steps.get(&step)?.grants.get(agent)?;
        (now < *until).then(|| grant.clone())
    }

    /// Forgets what is known about an agent: it refused a grant, or it has terminated.
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

    /// Forgets an occurrence that is finished.
    pub(super) fn forget_occurrence(&mut self, job: JobId, occurrence: Occurrence) {
        let finished = |step: &StepId| step.job == job && step.occurrence == occurrence;
        self.steps.retain(|step, _| !finished(step));
    }
}

impl StepEligibility {
    /// Forgets expired grants, so that they are asked for again.
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
    /// Whether a step's tasks may be started at an agent: the step needs no grant, or there is a
    /// valid one.
    pub(super) fn is_eligible(&self, now: Now, step: StepId, agent: &Agent) -> bool {
        let asked = self
            .ready
            .get(step)
            .is_some_and(|r| r.eligibility.is_some());
        !asked || self.eligible.grant(now, step, &agent.record.id).is_some()
    }

    /// Asks where a step may run, if it still has tasks to start after all agents that are known to
    /// be allowed were used.
    pub(super) fn ask_eligible(&mut self, now: Now, pool: &PoolId, step: StepId, spec: &StepSpec) {
        let ready = self.ready.get(step);
        let Some(cost) = ready.and_then(|r| r.eligibility.filter(|_| !r.free.is_empty())) else {
            return;
        };
        let known = self.eligible.steps.entry(step).or_default();
        known.expire(now);
        if known.pending || now < known.next || self.eligible.open_questions >= MAX_OPEN_QUESTIONS {
            return;
        }
        let asked = self.eligible.steps.get(&step).map(|known| &known.asked);
        let able = self.agents_accepting_work(now, pool, spec.reservation().millicores);
        let new = able.filter(|a| asked.is_none_or(|asked| !asked.contains(&a.record.id)));
        let agents = place::best_agents(now, new, spec, step, MAX_AGENTS_ASKED);
        if agents.is_empty() {
            return;
        }
        self.eligible.open_questions += 1;
        if let Some(known) = self.eligible.steps.get_mut(&step) {
            known.pending = true;
        }
        let count = u32::try_from(agents.len()).unwrap_or(u32::MAX);
        let before = u32::try_from(self.eligible.open_questions).unwrap_or(u32::MAX);
        let within = (cost.per_query + cost.per_agent * count) * before;
        let about = About::Eligible(Question {
            step,
            agents: agents.clone(),
            valid: cost.valid_for,
        });
        let what = OrderKind::Ask {
            step,
            agents,
            within,
        };
        self.send_order(now, about, what);
    }

    /// Takes in the service's answer, or that there was none.
    pub(super) fn take_eligible_answer(
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
        self.eligible.open_questions = self.eligible.open_questions.saturating_sub(1);
        let Some(known) = self.eligible.steps.get_mut(&step) else {
            return;
        };
        known.pending = false;
        let Answer::Eligible(allowed) = answer else {
            log::info!(step:%, answer:?; "the question which agents may run a step got no answer");
            known.next = now + QUESTION_RETRY_DELAY;
            return;
        };
        log::info!(step:%, asked = agents.len(), allowed = allowed.len(); "which agents may run a step is known");
        let until = sent + valid.saturating_sub(GRANT_MARGIN);
        known.asked.extend(agents);
        let grants = allowed.into_iter().map(|(id, grant)| (id, (grant, until)));
        known.grants.extend(grants);
    }
}
