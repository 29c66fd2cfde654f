//! Who may wait for a slot, who goes next, and who is told to come back.
//!
//! One [`Admission`] stands in front of the slots of one service in one node. A request is
//! *offered* as a [`Ticket`]; it is queued or refused at once. When a slot is free, *next* gives
//! the ticket that takes it; when the slot is free again, *done* says how long it was held. The
//! module decides from the declared groups, the queue and what it measured; it never learns which
//! minion serves a request, and it holds no request after it gave it out.
//!
//! - **Quota.** Each group has a rate for its data centre; each of the data centre's live nodes
//!   lets its equal part of it pass. Nothing is asked of the other nodes, so the quota also holds
//!   in a node that is cut off; the price is that callers who reach the nodes unevenly get less.
//! - **Share.** Under contention groups share the slots' time by weight, counted by what their
//!   requests were measured to take.
//! - **Room.** The queue is bounded. When it is full, the group that is longest for its weight
//!   loses its newest request, so that a flood from one group never pushes out another.
//! - **Time.** A request that can't start in time is refused at once, and one that no longer can
//!   while it waits is refused at that moment, not when its caller has given up.
//! - **Urgency.** Urgent requests go first, within their group's share.
//! - **Growth.** A new group starts with a small share, which grows only while the groups served
//!   already are well.
//! - **Return.** Each refusal says when to come back: refused callers are given successive places
//!   after the queue at the measured pace, each a little later by chance.
//!
//! ```
//! use std::time::Duration;
//! use egretpin::core::{
//!     admission::{Admission, Policy, Ticket, Verdict},
//!     declaration::GroupSpec,
//!     types::Urgency,
//! };
//! use rand::SeedableRng;
//! use rand_pcg::Pcg64Mcg;
//!
//! let spec = GroupSpec { weight: 1, rate: None, ramp: Duration::ZERO };
//! let policy = Policy::new().queue(64).group("growers".into(), spec);
//! let mut admission = Admission::new(Duration::ZERO, policy, Pcg64Mcg::seed_from_u64(1));
//! let ticket = Ticket {
//!     request: 1,
//!     group: "growers".into(),
//!     urgency: Urgency::Ordinary,
//!     deadline: Duration::from_secs(2),
//! };
//! let now = Duration::from_millis(5);
//! assert_eq!(admission.offer(now, ticket.clone()), Verdict::Queued { displaced: None });
//! assert_eq!(admission.next(now), Some(ticket));
//! ```

mod bucket;
mod fair;
mod groups;
mod pace;
mod policy;
mod ramp;
mod ticket;

use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;

use crate::core::{
    dispatch::RequestId,
    outcome::NotRun,
    types::{GroupId, Now, Urgency},
};

use self::{
    fair::{FairQueue, Flow, Waiting},
    groups::{Groups, OTHERS},
    pace::Pace,
    ramp::{FULL, Watch},
};

pub use self::{
    policy::{Member, Policy, Protections},
    ticket::{Refusal, Ticket, Verdict},
};

/// How often growing shares are brought up to date.
const GROWTH: Duration = Duration::from_millis(100);
/// Nobody is asked to come back sooner.
const SOONEST: Duration = Duration::from_millis(100);
/// Nobody is asked to come back later, chance aside: the service may have recovered by then.
const LATEST: Duration = Duration::from_secs(30);

/// The queue of one service in one node.
#[derive(Clone, Debug)]
pub struct Admission {
    policy: Policy,
    rng: Pcg64Mcg,
    queue: FairQueue,
    groups: Groups,
    pace: Pace,
    watch: Watch,
    grown: Now,
    /// Refused while a slot was being filled; the next [`Self::expire`] reports them.
    late: Vec<Refusal>,
}

impl Admission {
    /// An empty queue. Every random choice comes from `rng`.
    pub fn new(now: Now, policy: Policy, rng: Pcg64Mcg) -> Self {
        let mut admission = Self {
            policy: Policy::new(),
            rng,
            queue: FairQueue::default(),
            groups: Groups::default(),
            pace: Pace::default(),
            watch: Watch::default(),
            grown: now,
            late: Vec::new(),
        };
        // A restart must not take their share from those served before it.
        admission.enforce(now, policy, Duration::MAX);
        admission
    }

    /// Replaces the limits. What waits goes on waiting, also above a smaller bound.
    pub fn configure(&mut self, now: Now, policy: Policy) {
        self.grow(now);
        self.enforce(now, policy, Duration::ZERO);
    }

    /// Asks for a slot.
    pub fn offer(&mut self, now: Now, ticket: Ticket) -> Verdict {
        self.grow(now);
        let flow = self.flow(&ticket.group);
        if self.over_rate(flow, now) {
            return Verdict::Refused(self.refuse(now, flow, ticket.request, NotRun::OverRate));
        }
        let latest = self.latest(now, &ticket);
        if latest <= now || self.too_long(now, flow, latest, ticket.urgency) {
            return Verdict::Refused(self.refuse(now, flow, ticket.request, NotRun::Deadline));
        }
        let mut displaced = None;
        if self.full() {
            match self.make_room(now, flow, &ticket) {
                Ok(refusal) => displaced = Some(refusal),
                Err(refusal) => return Verdict::Refused(refusal),
            }
        }
        if let Some(bucket) = &mut self.groups.get_mut(flow).bucket {
            bucket.take();
        }
        self.queue.push(flow, ticket, now, latest);
        Verdict::Queued { displaced }
    }

    /// The request that takes a slot that is free now.
    ///
    /// Never gives a request that can't be answered in time any more; [`Self::expire`] reports
    /// those.
    pub fn next(&mut self, now: Now) -> Option<Ticket> {
        self.grow(now);
        let mut late = self.overdue(now);
        self.late.append(&mut late);
        let waiting = self.queue.pop()?;
        self.note_idle();
        if self.deserving(waiting.flow) {
            let wait = now.saturating_sub(waiting.since);
            self.watch.served(now, wait, self.pace.service(now));
        }
        Some(waiting.ticket)
    }

    /// The requests whose time has passed, earliest first; their callers are to be told at once.
    pub fn expire(&mut self, now: Now) -> Vec<Refusal> {
        self.grow(now);
        let mut late = std::mem::take(&mut self.late);
        late.append(&mut self.overdue(now));
        late
    }

    /// When [`Self::expire`] next has something to report; `None` while nothing waits.
    pub fn due(&self) -> Option<Now> {
        if self.late.is_empty() {
            self.queue.due()
        } else {
            Some(Now::ZERO)
        }
    }

    /// Forgets a request whose caller is gone. Returns whether it waited.
    pub fn remove(&mut self, request: RequestId) -> bool {
        let late = self.late.len();
        self.late.retain(|refusal| refusal.request != request);
        let removed = self.queue.remove(request).is_some();
        self.note_idle();
        removed || self.late.len() < late
    }

    /// A request that [`Self::next`] gave out holds its slot no more.
    ///
    /// `took` is how long it held it, whatever its outcome.
    pub fn done(&mut self, now: Now, group: &GroupId, took: Duration) {
        let waiting = self.queue.len() > 0;
        self.pace.done(now, took, waiting);
        let flow = self.flow(group);
        let cost = &mut self.groups.get_mut(flow).cost;
        cost.add(took);
        let price = cost.get().unwrap_or_default();
        self.queue.price(flow, price);
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The part of its declared weight that a group has now, in thousandths.
    pub fn share(&self, group: &GroupId) -> u64 {
        self.groups.get(self.flow(group)).ramp.share()
    }

    /// The group's flow; strangers share one.
    fn flow(&self, group: &GroupId) -> Flow {
        if !self.policy.protections.fair {
            return OTHERS;
        }
        self.groups.flow(group)
    }

    fn over_rate(&mut self, flow: Flow, now: Now) -> bool {
        let bucket = self.groups.get_mut(flow).bucket.as_mut();
        bucket.is_some_and(|bucket| !bucket.wait(now).is_zero())
    }

    /// When a request has to start so that its answer comes in time.
    fn latest(&self, now: Now, ticket: &Ticket) -> Now {
        if !self.policy.protections.deadlines {
            return ticket.deadline;
        }
        ticket.deadline.saturating_sub(self.pace.service(now))
    }

    /// Whether a request would start too late because of those that wait.
    fn too_long(&mut self, now: Now, flow: Flow, latest: Now, urgency: Urgency) -> bool {
        if !self.policy.protections.deadlines || urgency == Urgency::Urgent {
            return false;
        }
        let late = now.saturating_add(self.delay(now, flow)) >= latest;
        if late {
            self.note_harm(now, flow);
        }
        late
    }

    /// How long a new ordinary request of the flow will wait.
    ///
    /// The lower of two estimates: that the flow gets its share while all that wait now go on
    /// waiting, and that the whole queue goes first and nothing more comes.
    fn delay(&self, now: Now, flow: Flow) -> Duration {
        let gap = self.pace.gap(now).as_nanos();
        let own = self.queue.length(flow) as u128 * self.queue.slowdown(flow) / u128::from(FULL);
        let ahead = own.min(self.queue.len() as u128);
        nanos(gap * ahead)
    }

    fn full(&self) -> bool {
        self.queue.len() >= self.policy.queue.max(1) as usize
    }

    /// Takes out the request that gives way to `ticket`, or refuses the ticket itself.
    fn make_room(&mut self, now: Now, flow: Flow, ticket: &Ticket) -> Result<Refusal, Refusal> {
        let longest = if self.policy.protections.yielding {
            self.queue.longest(flow)
        } else {
            flow
        };
        let reason = if self.queue.shared(longest) || longest != flow {
            NotRun::OverShare
        } else {
            NotRun::QueueFull
        };
        let own = longest == flow;
        let shed = match ticket.urgency {
            // Within a group, only an urgent request takes the place of an ordinary one.
            Urgency::Ordinary if own => None,
            _ => self.queue.shed(longest, own),
        };
        match shed {
            Some(waiting) => Ok(self.refuse(now, longest, waiting.ticket.request, reason)),
            None => Err(self.refuse(now, flow, ticket.request, reason)),
        }
    }

    fn overdue(&mut self, now: Now) -> Vec<Refusal> {
        let mut refusals = Vec::new();
        while let Some(waiting) = self.queue.overdue(now) {
            let Waiting { ticket, flow, .. } = waiting;
            self.note_harm(now, flow);
            refusals.push(self.refuse(now, flow, ticket.request, NotRun::Deadline));
        }
        self.note_idle();
        refusals
    }

    fn note_idle(&mut self) {
        if self.queue.len() == 0 {
            self.pace.idle();
        }
    }

    /// Whether the group counts when the newcomers' shares are judged: it was served before them
    /// and fills no more than its part of the queue. One that floods the queue itself would
    /// otherwise keep newcomers out for as long as it likes.
    fn deserving(&self, flow: Flow) -> bool {
        let part = self.groups.part(flow, self.policy.queue);
        let modest = self.queue.length(flow) as u64 <= part;
        modest && self.groups.get(flow).ramp.established()
    }

    /// A request couldn't start in time because of those that wait.
    fn note_harm(&mut self, now: Now, flow: Flow) {
        if self.deserving(flow) {
            self.watch.harmed(now);
        }
    }

    /// Refuses a request and gives its caller a place after those that wait or were refused
    /// before.
    fn refuse(&mut self, now: Now, flow: Flow, request: RequestId, reason: NotRun) -> Refusal {
        let after = self.book(now, flow, reason);
        Refusal {
            request,
            reason,
            after,
        }
    }

    fn book(&mut self, now: Now, flow: Flow, reason: NotRun) -> Duration {
        let (first, gap) = self.opening(now, flow, reason);
        let group = self.groups.get_mut(flow);
        let place = now.saturating_add(first).max(group.booked);
        let farthest = now.saturating_add(LATEST);
        group.booked = place.saturating_add(gap).min(farthest);
        let wait = place.saturating_sub(now).clamp(SOONEST, LATEST);
        let chance = self.rng.random_range(Duration::ZERO..=wait / 2);
        wait + chance
    }

    /// When the flow has its next place, and how far apart its places are.
    fn opening(&mut self, now: Now, flow: Flow, reason: NotRun) -> (Duration, Duration) {
        if let (NotRun::OverRate, Some(bucket)) = (reason, &mut self.groups.get_mut(flow).bucket) {
            return (bucket.wait(now), bucket.gap());
        }
        let slowdown = self.queue.slowdown(flow);
        let gap = nanos(self.pace.gap(now).as_nanos() * slowdown / u128::from(FULL));
        (self.delay(now, flow), gap)
    }

    /// Lets growing shares grow or shrink by the time that has passed.
    fn grow(&mut self, now: Now) {
        let passed = now.saturating_sub(self.grown);
        if passed < GROWTH {
            return;
        }
        // A span counts as harmed if any part of it was: a quiet node is stepped rarely.
        let harm = self.watch.harm(self.grown);
        self.grown = now;
        self.groups.grow(passed, harm, &mut self.queue);
    }

    fn enforce(&mut self, now: Now, policy: Policy, age: Duration) {
        self.queue.unbound(!policy.protections.bounded);
        self.groups.adapt(now, &policy, age, &mut self.queue);
        if !policy.protections.ramp {
            self.groups.grow(Duration::MAX, false, &mut self.queue);
        }
        self.policy = policy;
    }
}

fn nanos(count: u128) -> Duration {
    Duration::from_nanos(u64::try_from(count).unwrap_or(u64::MAX))
}
