//! Keyed requests of this node: the claims that they need and the answers that resends hear.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use crate::{
    adapters::callers::{Answer, Call},
    core::{
        claims::{
            AnswerCache, ClaimRequest, Claimant, Effect, Holder, Input, Lookup, MAX_WINDOW, Output,
        },
        dispatch::{ClaimAnswer, RequestId},
        state::{Body, Event},
        types::{Key, Map, NodeId, Now, ServiceId},
    },
    node::control::Control,
};

/// Bytes of answers held for resends.
const ANSWERS: usize = 16 << 20;
/// How long a claim may take before the node counts as cut off for its request.
const PATIENCE: Duration = Duration::from_secs(2);
/// How long the log may take to commit a claim or settlement; the claimant repeats it anyway.
const COMMIT: Duration = Duration::from_secs(2);

/// What becomes of a request whose key was asked for.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// The log is asked.
    Asked,
    /// The answer to an earlier send of this very request.
    Known(Answer),
}

/// The keyed requests of one node.
#[derive(Debug)]
pub(crate) struct Keys {
    claimant: Claimant,
    answers: AnswerCache<Answer>,
    open: Map<RequestId, Keyed>,
    control: Control,
}

#[derive(Debug)]
struct Keyed {
    service: ServiceId,
    key: Key,
    fingerprint: u64,
}

impl Keys {
    /// No keyed request yet. `boot` grows with each start of the node's process.
    pub(crate) fn new(node: NodeId, boot: u64, control: Control) -> Self {
        Self {
            claimant: Claimant::new(node, boot),
            answers: AnswerCache::new(ANSWERS),
            open: Map::default(),
            control,
        }
    }

    /// A request wants its key; it may be sent within `window`.
    pub(crate) fn claim(
        &mut self,
        now: Now,
        (request, service, key): (RequestId, ServiceId, Key),
        call: &Call,
        window: Duration,
    ) -> Claimed {
        let fingerprint = fingerprint(call);
        if let Lookup::Hit(answer) = self.answers.get(&service, &key, fingerprint) {
            return Claimed::Known(answer.clone());
        }
        let keyed = Keyed {
            service: service.clone(),
            key: key.clone(),
            fingerprint,
        };
        self.open.insert(request, keyed);
        let claim = ClaimRequest {
            request,
            service,
            key,
            window: window.min(MAX_WINDOW),
            answer_timeout: PATIENCE,
        };
        // The log can't have answered yet, so there is nothing but proposals.
        let _ = self.step(now, Input::Claim(claim));
        Claimed::Asked
    }

    /// A command of this node was applied; what requests are to be told.
    pub(crate) fn applied(
        &mut self,
        now: Now,
        holder: Holder,
        effect: Effect,
    ) -> Vec<(RequestId, ClaimAnswer)> {
        self.step(now, Input::Applied { holder, effect })
    }

    /// Time passes.
    pub(crate) fn tick(&mut self, now: Now) -> Vec<(RequestId, ClaimAnswer)> {
        self.step(now, Input::Tick)
    }

    /// Whether a request may be sent at this very moment; always, if it has no key.
    pub(crate) fn may_send(&self, now: Now, request: RequestId) -> bool {
        !self.open.contains_key(&request) || self.claimant.may_send(now, request)
    }

    /// A request whose key was asked for has ended.
    pub(crate) fn settle(&mut self, now: Now, request: RequestId, ran: bool) {
        if self.open.remove(&request).is_some() {
            // Settling answers nobody.
            let _ = self.step(now, Input::Settle { request, ran });
        }
    }

    /// A request was answered; a resend will hear the same.
    pub(crate) fn answered(&mut self, request: RequestId, answer: Answer) {
        let Some(keyed) = self.open.get(&request) else {
            return;
        };
        let head: usize = answer
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let size = head + answer.body.len();
        self.answers
            .insert(&keyed.service, &keyed.key, keyed.fingerprint, answer, size);
    }

    /// How many keyed requests are remembered.
    pub(crate) fn len(&self) -> usize {
        self.claimant.len()
    }

    fn step(&mut self, now: Now, input: Input) -> Vec<(RequestId, ClaimAnswer)> {
        let mut answers = Vec::new();
        for output in self.claimant.step(now, input) {
            match output {
                Output::Answer { request, answer } => answers.push((request, answer)),
                Output::Propose(command) => {
                    let body = Body::System(Event::Key(command));
                    // What is lost here is proposed again.
                    self.control.send(body, now + COMMIT);
                }
            }
        }
        answers
    }
}

/// Tells two requests with one key apart.
fn fingerprint(call: &Call) -> u64 {
    let mut hasher = DefaultHasher::new();
    call.method.hash(&mut hasher);
    call.path.hash(&mut hasher);
    call.body.hash(&mut hasher);
    hasher.finish()
}
