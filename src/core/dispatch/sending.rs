//! A request from the queue to a minion, or to another data centre.

use std::time::Duration;

use super::{
    engine::Dispatch,
    request::{Claim, Place, Sending, ServiceIx, Stage},
    seam::{AttemptEnd, Output, RequestId, SendId, Target},
    timers::Due,
};
use crate::core::{
    outcome::{NotRun, Unknown},
    routing::{health::Verdict, minions::Use},
    types::{NodeId, Now},
};

/// Requests at the head of a queue that are passed over because they must go elsewhere.
const PASSED_OVER: usize = 4;

impl Dispatch {
    /// Sends what waits for a service while minions have slots for it.
    pub(super) fn pump(&mut self, now: Now, service: ServiceIx) {
        if self.services[service].minions.open() == 0 {
            self.spill(now, service);
            return;
        }
        let mut passed = Vec::new();
        while self.services[service].minions.has_free() && passed.len() < PASSED_OVER {
            let Some(id) = self.next_waiting(now, service) else {
                break;
            };
            let avoid = &self.requests[&id].avoid;
            match self.services[service].minions.choose(avoid, &mut self.rng) {
                Some(minion) => self.send(now, id, Place::Minion(service, minion)),
                None => passed.push(id),
            }
        }
        for id in passed.into_iter().rev() {
            self.pass_over(now, service, id);
        }
        self.lend(now, service);
        self.borrow(now, service);
    }

    /// Puts a request back that found only minions it has failed on. If the service has no
    /// other, it ends.
    pub(super) fn pass_over(&mut self, now: Now, service: ServiceIx, id: RequestId) {
        let minions = &self.services[service].minions;
        let failed = minions.count_open(&self.requests[&id].avoid.minions);
        let others = minions.open() as usize;
        self.services[service].again.push_front(id);
        if others <= failed {
            self.give_up(now, id, NotRun::NoMinion, Duration::ZERO);
        }
    }

    /// The request that is to be sent next: one that has had its turn, or else the one that
    /// admission gives out. It counts as waiting again until it is sent or put back.
    fn next_waiting(&mut self, now: Now, service: ServiceIx) -> Option<RequestId> {
        let requests = &self.requests;
        let waits = |id| requests.get(&id).is_some_and(|r| r.stage == Stage::Again);
        if let Some(id) = self.services[service].again.pop(waits) {
            return Some(id);
        }
        while let Some(ticket) = self.services[service].admission.next(now) {
            let Some(request) = self.requests.get_mut(&ticket.request) else {
                continue;
            };
            if request.claim == Claim::Asked {
                request.stage = Stage::Claiming;
                continue;
            }
            request.stage = Stage::Again;
            return Some(ticket.request);
        }
        None
    }

    /// Sends what waits for a service that has no minions left to other data centres; what
    /// can't go there ends.
    pub(super) fn spill(&mut self, now: Now, service: ServiceIx) {
        while let Some(id) = self.next_waiting(now, service) {
            let request = &self.requests[&id];
            let spilled = request.arrival.spilled;
            let failed = request.nodes.clone();
            match self.elsewhere(now, service, &failed).filter(|_| !spilled) {
                Some(node) => self.send(now, id, Place::Node(service, node)),
                None => {
                    self.services[service].again.push_front(id);
                    self.give_up(now, id, NotRun::NoMinion, Duration::ZERO);
                }
            }
        }
    }

    /// A node of another data centre that would take one more request of this service.
    pub(super) fn elsewhere(
        &mut self,
        now: Now,
        service: ServiceIx,
        failed: &[NodeId],
    ) -> Option<NodeId> {
        let service = &self.services[service];
        if service.minions.open() > 0 || service.spilled >= service.room {
            return None;
        }
        self.offers.choose(now, &service.id, failed, &mut self.rng)
    }

    pub(super) fn send(&mut self, now: Now, id: RequestId, place: Place) {
        let Some(to) = self.occupy(now, place) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        self.last_send += 1;
        let send = self.last_send;
        let until = request.deadline;
        request.stage = Stage::Sent(send);
        request.tries += 1;
        let sending = Sending {
            request: Some(id),
            group: request.arrival.group.clone(),
            place,
            began: now,
            until,
        };
        let retry = request.retry.take();
        self.sends.insert(send, sending);
        self.timers.set(until, Due::Send(send));
        self.out.push(Output::Send {
            request: id,
            send,
            to,
            until,
            retry,
        });
    }

    /// Uses a slot of a minion, or a place among those spilled.
    pub(super) fn occupy(&mut self, now: Now, place: Place) -> Option<Target> {
        match place {
            Place::Minion(service, ix) => {
                let minions = &mut self.services[service].minions;
                minions.take(now, ix);
                let minion = minions.get(ix)?;
                Some(Target::Minion {
                    minion: minion.id.clone(),
                    address: minion.address,
                })
            }
            Place::Node(service, node) => {
                self.services[service].spilled += 1;
                Some(Target::Node(node))
            }
        }
    }

    pub(super) fn end(&mut self, now: Now, send: SendId, end: AttemptEnd) {
        let Some(sending) = self.sends.get(&send) else {
            return;
        };
        let (request, place) = (sending.request, sending.place);
        self.learn(now, send, end);
        let at_minion = matches!(place, Place::Minion(..));
        if at_minion && lingers(end) && request.is_some() {
            self.linger(now, send);
        } else {
            self.give_back(now, send);
        }
        if let Some(request) = request {
            self.conclude(now, request, place, end);
        }
        self.pump(now, place.service());
        self.return_unused(now, place);
    }

    /// Returns the loan of a minion whose slot has become free and isn't needed.
    fn return_unused(&mut self, now: Now, place: Place) {
        let Place::Minion(service, ix) = place else {
            return;
        };
        let minions = &self.services[service].minions;
        if let Some(minion) = minions.get(ix).map(|m| m.id.clone()) {
            self.return_surplus(now, &minion);
        }
    }

    /// A sending's time is over: its request is judged, or its lingering slot given back.
    pub(super) fn overdue(&mut self, now: Now, send: SendId) {
        let Some(sending) = self.sends.get(&send) else {
            return;
        };
        if sending.request.is_none() {
            self.give_back(now, send);
            return;
        }
        self.out.push(Output::Abandon(send));
        self.end(now, send, AttemptEnd::Unknown(Unknown::Timeout));
    }

    pub(super) fn learn(&mut self, now: Now, send: SendId, end: AttemptEnd) {
        let sending = &self.sends[&send];
        let Place::Minion(service, minion) = sending.place else {
            return;
        };
        if sending.request.is_none() {
            return;
        }
        let took = now.saturating_sub(sending.began);
        let end = match end {
            AttemptEnd::Answered { fault: false } => Use::Tried(Verdict::Sound(took)),
            AttemptEnd::Refused { after } => Use::Refused(after),
            AttemptEnd::Unreachable => Use::Tried(Verdict::Unreachable),
            _ => Use::Tried(Verdict::Failed),
        };
        self.services[service].minions.learn(now, minion, end);
    }

    /// Keeps the slot of a request that may still run at the minion, as long again as its
    /// service allows a request to take.
    pub(super) fn linger(&mut self, now: Now, send: SendId) {
        let Some(sending) = self.sends.get_mut(&send) else {
            return;
        };
        let timeout = self.services[sending.place.service()].timeout;
        sending.request = None;
        self.timers.cancel(sending.until, Due::Send(send));
        sending.until = now + timeout;
        self.timers.set(sending.until, Due::Send(send));
    }

    pub(super) fn give_back(&mut self, now: Now, send: SendId) {
        let Some(sending) = self.sends.remove(&send) else {
            return;
        };
        self.timers.cancel(sending.until, Due::Send(send));
        match sending.place {
            Place::Minion(service, ix) => {
                let took = now.saturating_sub(sending.began);
                let service = &mut self.services[service];
                service.minions.release(now, ix);
                service.admission.done(now, &sending.group, took);
            }
            Place::Node(service, _) => self.services[service].spilled -= 1,
        }
    }
}

/// Whether the minion may still be at work on a request that ended so.
fn lingers(end: AttemptEnd) -> bool {
    matches!(end, AttemptEnd::Unknown(Unknown::Timeout | Unknown::Lost))
}
