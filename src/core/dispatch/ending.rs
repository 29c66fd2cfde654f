//! A request from the end of a sending to another try or its outcome.

use std::time::Duration;

use super::{
    engine::Dispatch,
    request::{Claim, Place, Request, ServiceIx, Stage},
    seam::{AttemptEnd, Output, RequestId},
    timers::Due,
};
use crate::core::{
    claims::scoped_key,
    outcome::{NotRun, Outcome, Retry},
    types::Now,
};

/// A request is sent at most this often.
const TRIES: u32 = 3;
/// A retry needs at least this much of the caller's time.
const SHORTEST_TRY: Duration = Duration::from_millis(5);

impl Dispatch {
    /// Decides what the end of a sending means for its request.
    pub(super) fn conclude(&mut self, now: Now, id: RequestId, place: Place, end: AttemptEnd) {
        let (retry, after) = match end {
            AttemptEnd::Answered { .. } => {
                self.finish(id, Outcome::Answered);
                return;
            }
            AttemptEnd::Refused { after } => (Retry::Refused, after.unwrap_or_default()),
            AttemptEnd::Unreachable => (Retry::Unreachable, Duration::ZERO),
            AttemptEnd::Unknown(reason) => {
                let Some(request) = self.requests.get_mut(&id) else {
                    return;
                };
                request.unknown = Some(reason);
                (Retry::Unknown, Duration::ZERO)
            }
        };
        self.note_failure(now, id, place, retry);
        if self.may_retry(now, id, retry) {
            if let Some(request) = self.requests.get_mut(&id) {
                request.retry = Some(retry);
            }
            self.wait_again(now, id);
            return;
        }
        let reason = match retry {
            Retry::Unreachable => NotRun::Unreachable,
            Retry::Refused | Retry::Unknown => NotRun::Refused,
        };
        self.give_up(now, id, reason, after);
    }

    /// Remembers where a request failed, so that it goes elsewhere next.
    pub(super) fn note_failure(&mut self, now: Now, id: RequestId, place: Place, retry: Retry) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match place {
            Place::Minion(service, ix) => {
                request.avoid.minions.push(ix);
                if let Some(minion) = self.services[service].minions.get(ix) {
                    request.avoid.racks.push(minion.rack.clone());
                }
            }
            Place::Node(_, node) => {
                request.nodes.push(node);
                if retry == Retry::Unreachable {
                    self.offers.shun(now, node);
                }
            }
        }
    }

    fn may_retry(&mut self, now: Now, id: RequestId, retry: Retry) -> bool {
        let request = &self.requests[&id];
        let service = &self.services[request.service];
        let allowed = retry != Retry::Unknown || service.idempotent;
        allowed
            && !request.gone
            && request.tries < TRIES
            && now + SHORTEST_TRY <= request.deadline
            && self.has_alternative(now, id)
            && self.spend_retry(id)
    }

    /// Whether a request may still go somewhere that it hasn't failed on. If not, its caller is
    /// told at once instead of waiting for its deadline.
    fn has_alternative(&mut self, now: Now, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let minions = &self.services[request.service].minions;
        if minions.open() > 0 {
            return minions.open() as usize > minions.count_open(&request.avoid.minions);
        }
        let (service, failed) = (request.service, request.nodes.clone());
        !request.arrival.spilled && self.elsewhere(now, service, &failed).is_some()
    }

    fn spend_retry(&mut self, id: RequestId) -> bool {
        let service = self.requests[&id].service;
        self.services[service].budget.take()
    }

    pub(super) fn deadline(&mut self, now: Now, id: RequestId) {
        self.give_up(now, id, NotRun::Deadline, Duration::ZERO);
    }

    /// Ends a request that got no answer, with the truth: it may have run if any try may have.
    pub(super) fn give_up(&mut self, now: Now, id: RequestId, reason: NotRun, least: Duration) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let outcome = match request.unknown {
            Some(reason) => Outcome::Unknown { reason },
            None => self.not_run(now, Some(request.service), reason, least),
        };
        self.finish(id, outcome);
    }

    pub(super) fn not_run(
        &mut self,
        now: Now,
        service: Option<ServiceIx>,
        reason: NotRun,
        least: Duration,
    ) -> Outcome {
        let comeback = service.map(|ix| &mut self.services[ix].comeback);
        let after = comeback.map(|c| c.draw(now, least, &mut self.rng));
        Outcome::NotRun { reason, after }
    }

    /// Refuses a request that was never taken.
    pub(super) fn refuse(
        &mut self,
        now: Now,
        id: RequestId,
        service: Option<ServiceIx>,
        reason: NotRun,
    ) {
        let outcome = self.not_run(now, service, reason, Duration::ZERO);
        self.out.push(Output::Finish {
            request: id,
            outcome,
        });
    }

    pub(super) fn finish(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.timers.cancel(request.deadline, Due::Request(id));
        let service = &mut self.services[request.service];
        match request.stage {
            Stage::Queued => {
                service.admission.remove(id);
            }
            Stage::Again => service.again.left(),
            Stage::Claiming | Stage::Sent(_) | Stage::Out => {}
        }
        if matches!(request.claim, Claim::Asked | Claim::Held) {
            let ran = request.tries > 0 && !matches!(outcome, Outcome::NotRun { .. });
            self.settle(&request, ran);
        }
        if !request.gone {
            self.out.push(Output::Finish {
                request: id,
                outcome,
            });
        }
    }

    pub(super) fn settle(&mut self, request: &Request, ran: bool) {
        if let Some(key) = &request.arrival.key {
            let key = scoped_key(&request.arrival.group, key);
            self.out.push(Output::Settle {
                request: request.arrival.request,
                service: request.arrival.service.clone(),
                key,
                ran,
            });
        }
    }
}
