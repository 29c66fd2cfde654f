//! Weighted fair queueing of flows, one flow for each group.
//!
//! This is start-time fair queueing. Each flow has a tag, the virtual time at which its next
//! request starts; a request moves the tag on by its cost over the flow's weight. The flow with
//! the lowest tag is next, and the virtual clock follows the tags of the requests that start. A
//! flow that was empty starts at the clock, so that it neither saves up service nor pays for what
//! it took while nobody else wanted it.
//!
//! Urgent requests go ahead of the other flows' ordinary ones as long as their flow is at most
//! [`LEAD`] requests ahead of the clock, and ahead of their own flow's ordinary ones [`RUN`] times
//! in a row. So neither a flow of urgent requests nor urgent requests within a flow can starve
//! the rest.
//!
//! A choice costs the logarithm of the number of flows. Deficit round robin would be flat, but
//! bunches a flow's requests, and a logarithm of 1,000 groups is ten steps.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::core::{
    dispatch::RequestId,
    types::{Map, Now, Urgency},
};

use super::{ramp::FULL, ticket::Ticket};

/// How many requests ahead of its share a flow's urgent ones may be.
pub(super) const LEAD: u128 = 4;
/// How many urgent requests in a row go ahead of their own flow's ordinary ones.
pub(super) const RUN: u32 = 3;
/// What a request costs before any was measured.
const COST: Duration = Duration::from_millis(1);
/// Scales a queue's length so that it can be divided by a weight.
const LENGTH: u128 = 1_000_000_000;

/// A flow's number.
pub(super) type Flow = usize;
/// Virtual time: nanoseconds of service over the weight.
type Tag = u128;

/// A ticket that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) flow: Flow,
    /// When it was offered.
    pub(super) since: Now,
    /// When it has to start at the latest.
    pub(super) latest: Now,
    sequence: u64,
}

#[derive(Clone, Debug)]
struct State {
    urgent: BTreeMap<u64, Waiting>,
    ordinary: BTreeMap<u64, Waiting>,
    tag: Tag,
    /// In thousandths, at least one.
    weight: u64,
    cost: Duration,
    /// Urgent requests since the last ordinary one.
    run: u32,
    keys: Keys,
}

/// Where a flow stands in the orders of the queue, so that it can be found there again.
#[derive(Clone, Copy, Debug, Default)]
struct Keys {
    ready: Option<Tag>,
    urgent: Option<Tag>,
    length: Option<u128>,
    weight: u64,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    flow: Flow,
    urgency: Urgency,
    sequence: u64,
    latest: Now,
}

/// All that wait for a slot of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    flows: Vec<State>,
    places: Map<RequestId, Place>,
    /// Flows with any request, by tag.
    ready: BTreeSet<(Tag, Flow)>,
    /// Flows whose urgent requests may go ahead, by the clock from which they may.
    urgent: BTreeSet<(Tag, Flow)>,
    /// Flows with any request, by length over weight.
    lengths: BTreeSet<(u128, Flow)>,
    due: BTreeSet<(Now, RequestId)>,
    clock: Tag,
    weight: u64,
    sequence: u64,
    unbounded: bool,
}

impl FairQueue {
    /// Adds an empty flow.
    pub(super) fn open(&mut self) -> Flow {
        self.flows.push(State {
            urgent: BTreeMap::new(),
            ordinary: BTreeMap::new(),
            tag: 0,
            weight: FULL,
            cost: COST,
            run: 0,
            keys: Keys::default(),
        });
        self.flows.len() - 1
    }

    /// Lets urgent requests always go ahead; for tests.
    pub(super) fn unbound(&mut self, unbounded: bool) {
        self.unbounded = unbounded;
    }

    /// Sets a flow's weight in thousandths.
    pub(super) fn weigh(&mut self, flow: Flow, weight: u64) {
        self.flows[flow].weight = weight.max(1);
        self.refresh(flow);
    }

    /// Sets what a request of the flow costs.
    pub(super) fn price(&mut self, flow: Flow, cost: Duration) {
        self.flows[flow].cost = cost.max(Duration::from_nanos(1));
        self.refresh(flow);
    }

    /// How many wait.
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    /// How many of a flow wait.
    pub(super) fn length(&self, flow: Flow) -> usize {
        self.flows[flow].length()
    }

    /// Whether any flow but this one waits.
    pub(super) fn shared(&self, flow: Flow) -> bool {
        let own = usize::from(self.length(flow) > 0);
        self.ready.len() > own
    }

    /// How many times slower than the whole queue this flow moves, in thousandths.
    pub(super) fn slowdown(&self, flow: Flow) -> u128 {
        let state = &self.flows[flow];
        let rest = self.weight - state.keys.weight;
        u128::from(rest + state.weight) * u128::from(FULL) / u128::from(state.weight)
    }

    /// Adds a ticket behind those of its flow and urgency.
    pub(super) fn push(&mut self, flow: Flow, ticket: Ticket, since: Now, latest: Now) {
        self.sequence += 1;
        let place = Place {
            flow,
            urgency: ticket.urgency,
            sequence: self.sequence,
            latest,
        };
        self.places.insert(ticket.request, place);
        self.due.insert((latest, ticket.request));
        let clock = self.clock;
        let state = &mut self.flows[flow];
        if state.length() == 0 {
            state.tag = state.tag.max(clock);
        }
        let waiting = Waiting {
            ticket,
            flow,
            since,
            latest,
            sequence: place.sequence,
        };
        let queue = state.queue(place.urgency);
        queue.insert(place.sequence, waiting);
        self.refresh(flow);
    }

    /// Takes out the ticket that is next, and charges its flow.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
        let &(tag, first) = self.ready.first()?;
        let ahead = self.urgent.first().filter(|(from, _)| *from <= self.clock);
        let flow = match ahead {
            Some(&(_, flow)) => flow,
            None => {
                self.clock = self.clock.max(tag);
                first
            }
        };
        let state = &mut self.flows[flow];
        let waiting = state.take(self.unbounded)?;
        state.tag += state.step();
        self.forget(&waiting);
        Some(waiting)
    }

    /// Takes out a ticket whose time has passed.
    pub(super) fn overdue(&mut self, now: Now) -> Option<Waiting> {
        let &(latest, request) = self.due.first()?;
        if latest > now {
            return None;
        }
        self.remove(request)
    }

    /// When the first ticket's time passes.
    pub(super) fn due(&self) -> Option<Now> {
        self.due.first().map(|(latest, _)| *latest)
    }

    /// Takes out any ticket.
    pub(super) fn remove(&mut self, request: RequestId) -> Option<Waiting> {
        let place = *self.places.get(&request)?;
        let state = &mut self.flows[place.flow];
        let waiting = state.queue(place.urgency).remove(&place.sequence)?;
        self.forget(&waiting);
        Some(waiting)
    }

    /// The flow that would be most over its share if `flow` had one request more.
    pub(super) fn longest(&self, flow: Flow) -> Flow {
        let state = &self.flows[flow];
        let own = ratio(state.length() + 1, state.weight);
        match self.lengths.last() {
            Some(&(length, other)) if length > own => other,
            _ => flow,
        }
    }

    /// Takes out a flow's newest ordinary ticket, or its newest urgent one unless `spare`.
    pub(super) fn shed(&mut self, flow: Flow, spare: bool) -> Option<Waiting> {
        let state = &mut self.flows[flow];
        let newest = match state.ordinary.pop_last() {
            None if !spare => state.urgent.pop_last(),
            newest => newest,
        };
        let (_, waiting) = newest?;
        self.forget(&waiting);
        Some(waiting)
    }

    /// Drops what the indexes hold of a ticket that has left its flow.
    fn forget(&mut self, waiting: &Waiting) {
        let request = waiting.ticket.request;
        if let Some(place) = self.places.remove(&request) {
            self.due.remove(&(place.latest, request));
        }
        self.refresh(waiting.flow);
    }

    /// Puts a flow where it belongs in each order after any change to it.
    fn refresh(&mut self, flow: Flow) {
        let state = &mut self.flows[flow];
        let old = state.keys;
        let new = state.keys(self.unbounded);
        state.keys = new;
        self.weight = self.weight - old.weight + new.weight;
        replace(&mut self.ready, flow, old.ready, new.ready);
        replace(&mut self.urgent, flow, old.urgent, new.urgent);
        replace(&mut self.lengths, flow, old.length, new.length);
    }
}

impl State {
    fn length(&self) -> usize {
        self.urgent.len() + self.ordinary.len()
    }

    fn queue(&mut self, urgency: Urgency) -> &mut BTreeMap<u64, Waiting> {
        match urgency {
            Urgency::Urgent => &mut self.urgent,
            Urgency::Ordinary => &mut self.ordinary,
        }
    }

    /// What one request moves the tag on by.
    fn step(&self) -> Tag {
        self.cost.as_nanos() * u128::from(FULL) / u128::from(self.weight)
    }

    /// Whether the flow's next request is an urgent one.
    fn hurries(&self, unbounded: bool) -> bool {
        let free = unbounded || self.run < RUN || self.ordinary.is_empty();
        free && !self.urgent.is_empty()
    }

    fn take(&mut self, unbounded: bool) -> Option<Waiting> {
        if self.hurries(unbounded) {
            self.run += 1;
            return self.urgent.pop_first().map(|(_, waiting)| waiting);
        }
        self.run = 0;
        self.ordinary.pop_first().map(|(_, waiting)| waiting)
    }

    fn keys(&self, unbounded: bool) -> Keys {
        if self.length() == 0 {
            return Keys::default();
        }
        let lead = if unbounded {
            Tag::MAX
        } else {
            self.step() * LEAD
        };
        let urgent = self.tag.saturating_sub(lead);
        Keys {
            ready: Some(self.tag),
            urgent: self.hurries(unbounded).then_some(urgent),
            length: Some(ratio(self.length(), self.weight)),
            weight: self.weight,
        }
    }
}

fn ratio(length: usize, weight: u64) -> u128 {
    length as u128 * LENGTH / u128::from(weight)
}

fn replace<K: Copy + Ord>(
    order: &mut BTreeSet<(K, Flow)>,
    flow: Flow,
    old: Option<K>,
    new: Option<K>,
) {
    if old == new {
        return;
    }
    if let Some(key) = old {
        order.remove(&(key, flow));
    }
    if let Some(key) = new {
        order.insert((key, flow));
    }
}
