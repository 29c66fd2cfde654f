//! A request from its arrival through admission and its claim.

use std::time::Duration;

use super::{
    engine::Dispatch,
    request::{Claim, Request, ServiceIx, Stage},
    seam::{Arrival, ClaimAnswer, Output, RequestId},
    timers::Due,
};
use crate::core::{
    admission::{Refusal, Ticket, Verdict},
    claims::{MAX_WINDOW, scoped_key},
    outcome::{NotRun, Outcome, Unknown},
    routing::minions::Avoid,
    types::{Now, ServiceId},
};

impl Dispatch {
    pub(super) fn arrive(&mut self, now: Now, arrival: Arrival) {
        let id = arrival.request;
        let Some(service) = self.declared(&arrival.service) else {
            let reason = match self.configuration {
                Some(_) => NotRun::NoService,
                None => NotRun::NoMinion,
            };
            self.refuse(now, id, None, reason);
            return;
        };
        if let Some(reason) = self.objection(now, service, arrival.spilled) {
            self.refuse(now, id, Some(service), reason);
            return;
        }
        let request = self.remember(now, service, arrival);
        let ticket = Ticket {
            request: id,
            group: request.arrival.group.clone(),
            urgency: request.arrival.urgency,
            deadline: request.deadline,
        };
        self.timers.set(request.deadline, Due::Request(id));
        self.requests.insert(id, request);
        match self.services[service].admission.offer(now, ticket) {
            Verdict::Refused(refusal) => self.turn_away(&refusal),
            Verdict::Queued { displaced } => {
                self.services[service].budget.first_try();
                if let Some(refusal) = displaced {
                    self.turn_away(&refusal);
                }
                self.claim(id);
                self.pump(now, service);
            }
        }
    }

    /// Ends what admission no longer lets wait.
    pub(super) fn expire_waiting(&mut self, now: Now, service: ServiceIx) {
        let admission = &mut self.services[service].admission;
        if admission.due().is_none_or(|due| due > now) {
            return;
        }
        for refusal in admission.expire(now) {
            self.turn_away(&refusal);
        }
    }

    /// The shared log has answered for a key.
    pub(super) fn claimed(&mut self, now: Now, id: RequestId, answer: &ClaimAnswer) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.claim != Claim::Asked {
            return;
        }
        match answer {
            ClaimAnswer::Granted => {
                request.claim = Claim::Held;
                if request.stage == Stage::Claiming {
                    self.wait_again(now, id);
                }
            }
            ClaimAnswer::Busy { after } => self.give_up(now, id, NotRun::KeyBusy, *after),
            ClaimAnswer::Full => self.give_up(now, id, NotRun::KeysFull, Duration::ZERO),
            ClaimAnswer::CutOff => self.give_up(now, id, NotRun::CutOff, Duration::ZERO),
            ClaimAnswer::Spent => {
                let reason = Unknown::KeySpent;
                self.finish(id, Outcome::Unknown { reason });
            }
        }
    }

    /// Lets a request wait that has had its turn.
    pub(super) fn wait_again(&mut self, now: Now, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stage = Stage::Again;
        let service = request.service;
        self.services[service].again.push(id);
        self.pump(now, service);
    }

    /// The caller is gone. What was sent goes on, so that its slot is known to be used; what was
    /// not sent never is.
    pub(super) fn hang_up(&mut self, now: Now, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.gone = true;
        if !matches!(request.stage, Stage::Sent(_)) {
            self.give_up(now, id, NotRun::Deadline, Duration::ZERO);
        }
    }

    fn declared(&self, service: &ServiceId) -> Option<ServiceIx> {
        let ix = *self.by_name.get(service)?;
        self.services[ix].declared.then_some(ix)
    }

    /// Why a new request of this service can't be taken whoever sends it.
    fn objection(&mut self, now: Now, service: ServiceIx, spilled: bool) -> Option<NotRun> {
        if self.stopping {
            return Some(NotRun::Stopping);
        }
        let here = self.services[service].minions.open() > 0;
        let mut elsewhere = || !spilled && self.elsewhere(now, service, &[]).is_some();
        (!here && !elsewhere()).then_some(NotRun::NoMinion)
    }

    fn remember(&self, now: Now, service: ServiceIx, arrival: Arrival) -> Request {
        let timeout = self.services[service].timeout;
        let mut patience = arrival.patience.map_or(timeout, |p| p.min(timeout));
        // The node that spilled it here holds the claim.
        let keyed = arrival.key.is_some() && !arrival.spilled;
        if keyed {
            // Nothing may be sent on a claim once its window has passed.
            patience = patience.min(MAX_WINDOW);
        }
        Request {
            arrival,
            service,
            deadline: now + patience,
            stage: Stage::Queued,
            claim: if keyed { Claim::Due } else { Claim::None },
            gone: false,
            tries: 0,
            retry: None,
            unknown: None,
            avoid: Avoid::default(),
            nodes: Vec::new(),
        }
    }

    /// Asks for the key as soon as admission lets the request wait, so that its claim is mostly
    /// decided when its turn comes. A flood that admission refuses never reaches the log.
    fn claim(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.claim != Claim::Due {
            return;
        }
        let Some(key) = &request.arrival.key else {
            return;
        };
        request.claim = Claim::Asked;
        self.out.push(Output::Claim {
            request: id,
            service: request.arrival.service.clone(),
            key: scoped_key(&request.arrival.group, key),
        });
    }

    fn turn_away(&mut self, refusal: &Refusal) {
        let outcome = Outcome::NotRun {
            reason: refusal.reason,
            after: Some(refusal.after),
        };
        if let Some(request) = self.requests.get_mut(&refusal.request) {
            // Admission has let it go already.
            request.stage = Stage::Out;
        }
        self.finish(refusal.request, outcome);
    }
}
