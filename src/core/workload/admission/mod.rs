//! Admission control: which jobs are accepted, and when the others should return.
//!
//! A job is accepted if it can be *in time*: if the time until its tasks can begin, plus its longest chain of
//! steps, fits its objective. The wait follows from the [`outstanding`] work of accepted jobs and from the
//! [`capacity`] of the pool, or from how many tasks the leader can start if that takes longer. While a pool is
//! full it is kept just full: what is accepted is in time, and the hosts never lack work.
//!
//! The caller of a refused job is told when to return:
//!
//! - While a pool is nearly full, a job that is still in time if it returns at its turn holds a
//!   [reservation](refused). It counts as accepted until then, and is accepted when it returns. So jobs are
//!   served in the order of their first submissions, and not by whose submission comes at the right moment.
//! - The others are told the time when the work before them will have been served, each a little later than
//!   the one before, and are judged anew then. A job that can't be in time any more, counted from its first
//!   submission, gets only the capacity that jobs in time leave: it is accepted while the wait is at most half
//!   as long as it may be.
//!
//! A job that has more time doesn't take the place of one that has just been refused for want of time.
//! Otherwise jobs with long chains of steps would fill the pool, and none with a short chain would be accepted.
//!
//! ```
//! use std::time::Duration;
//! use egretpin::core::workload::{
//!     admission::{
//!         Admission, Feed, Request, Verdict,
//!         capacity::Capacity,
//!         outstanding::{JobWork, Outstanding, StepWork},
//!     },
//!     workspace_shares::Standing,
//! };
//!
//! let (mut admission, mut outstanding) = (Admission::default(), Outstanding::default());
//! let now = Duration::from_secs(1);
//! let feed = Feed { capacity: Capacity::new(8000, vec![(now, 8000)]), overhead: Duration::ZERO };
//! admission.update([("sort".into(), feed)].into(), None);
//! let steps = vec![StepWork { tasks: 8, millicores: 1000, millis: 400 }];
//! let work = JobWork { pool: "sort".into(), workspace: None, steps };
//! let request = |job| Request {
//!     job,
//!     work: work.clone(),
//!     chain: Duration::from_millis(400),
//!     lag: Duration::ZERO,
//!     objective: Duration::from_millis(1100),
//!     cap: None,
//!     standing: Standing::Uncontended,
//! };
//! // The first runs at once, the second after 400 ms. The third would end after 1200 ms.
//! let mut verdicts = Vec::new();
//! for job in 1..=3 {
//!     let verdict = admission.decide(now, &outstanding, &request(job));
//!     if verdict == Verdict::Accepted {
//!         outstanding.add(job, work.clone());
//!     }
//!     verdicts.push(verdict);
//! }
//! assert_eq!(verdicts[..2], [Verdict::Accepted, Verdict::Accepted]);
//! assert!(matches!(verdicts[2], Verdict::Refused(_)));
//! ```

pub mod capacity;
pub mod outstanding;
pub mod refused;

use std::{collections::BTreeMap, time::Duration};

use self::{
    capacity::{Capacity, Load},
    outstanding::{JobWork, Outstanding, Total},
    refused::{MAX_RESERVED, RETURN_WINDOW, Record, Refused, Reservation},
};
use crate::core::{
    types::{JobId, Map, Now, PoolId},
    workload::workspace_shares::Standing,
};

/// A job that takes this many times its objective is of no more use to its caller.
const MAX_DELAY_FACTOR: u32 = 3;
/// The part of the allowed wait up to which spare capacity is given to jobs that can't be in time any more and to
/// workspaces beyond their shares.
const SPARE_PART: f64 = 0.5;
/// The part of the allowed wait for which places may be reserved. The work for the rest has to be there, so
/// that hosts don't wait for callers to return.
const RESERVED_PART: f64 = 0.25;
/// How long after the refusal of a job others that have more time are judged as if they had as little.
const REFUSAL_MEMORY: Duration = Duration::from_secs(1);
/// The least part of its own time by which a job is judged because of that.
const MIN_SLACK_PART: f64 = 0.5;
/// Nobody is asked to return later: the load may have fallen by then.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// How long an accepted job may take to be committed. A commit takes milliseconds, and one that takes this
/// long was lost with its proposal.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// The weight of one commit in the average of how long they take.
const COMMIT_WEIGHT: f64 = 0.05;

/// What a pool has.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Feed {
    /// Its hosts over time.
    pub capacity: Capacity,
    /// How much longer than it runs a task occupies its cores.
    pub overhead: Duration,
}

/// A job whose submission is judged.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its number.
    pub job: JobId,
    /// Its work.
    pub work: JobWork,
    /// How long its longest chain of steps takes.
    pub chain: Duration,
    /// How much longer than that it takes to start its tasks and to learn of their ends.
    pub lag: Duration,
    /// How long it should take in all.
    pub objective: Duration,
    /// Thousandths of a core that its workspace may have running, if that is bounded.
    pub cap: Option<u64>,
    /// How its workspace would stand to its share of the pool with this job.
    pub standing: Standing,
}

/// What becomes of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The job is accepted.
    Accepted,
    /// The job is refused.
    Refused(Refusal),
}

/// Why and until when a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When its caller should return, counted from now.
    pub after: Duration,
    /// Whether the job holds a reservation for that time.
    pub reserved: bool,
    /// Whether the job wasn't refused before, as far as is remembered.
    pub is_first: bool,
    /// How long its tasks would have to wait if it were accepted.
    pub wait: Duration,
    /// How long they may wait.
    pub slack: Duration,
}

/// The state of admission control.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    /// The unit in which callers are told when to return; zero if they are told exactly.
    return_unit: Duration,
    feeds: BTreeMap<PoolId, Feed>,
    /// Tasks per second that the leader can start, where its processor is the limit.
    start_rate: Option<f64>,
    queues: BTreeMap<PoolId, RefusedQueue>,
    refused: Refused,
    /// Accepted jobs that aren't committed yet.
    pending: Map<JobId, Pending>,
    /// How long it takes on average to commit an accepted job. Its tasks can't start before.
    commit_delay: Duration,
}

/// An accepted job that isn't committed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pending {
    /// When it was accepted.
    since: Now,
    /// Whether its work was counted as demand when it was refused.
    pub was_counted: bool,
    /// When it was first submitted, if it held a reservation.
    pub reserved_since: Option<Now>,
}

/// The refused jobs of a pool that hold no reservation.
#[derive(Clone, Copy, Debug, Default)]
struct RefusedQueue {
    /// When the next of them should return at the earliest.
    next: Now,
    /// How long the last refused jobs could have waited, and when they were refused.
    tightest: Option<(Now, Duration)>,
}

impl RefusedQueue {
    /// How long a job may wait that has this much time.
    fn limit(&self, now: Now, slack: Duration) -> Duration {
        match self.tightest {
            Some((at, tightest)) if now <= at + REFUSAL_MEMORY => {
                slack.min(tightest.max(slack.mul_f64(MIN_SLACK_PART)))
            }
            _ => slack,
        }
    }

    fn record_refusal(&mut self, now: Now, slack: Duration) {
        if self.limit(now, slack) == slack {
            self.tightest = Some((now, slack));
        }
    }
}

/// How a job is judged.
#[derive(Clone, Copy, Debug)]
struct Judgement {
    /// How long its tasks would wait.
    wait: Duration,
    /// How long they may wait, by its own time and given what was refused.
    own: Duration,
    limit: Duration,
    /// How long all of its work takes on the whole pool.
    time: Duration,
}

impl Admission {
    /// Creates the state of a new leader. Callers are told the times to return rounded up to `return_unit`.
    pub fn new(return_unit: Duration) -> Self {
        Self {
            return_unit,
            ..Self::default()
        }
    }

    /// Takes in what the pools have, and how many tasks per second the leader can start if its processor is
    /// the limit.
    pub fn update(&mut self, feeds: BTreeMap<PoolId, Feed>, start_rate: Option<f64>) {
        self.feeds = feeds;
        self.start_rate = start_rate;
    }

    /// Decides whether a job is accepted. Its work isn't part of the outstanding work yet.
    pub fn decide(&mut self, now: Now, outstanding: &Outstanding, request: &Request) -> Verdict {
        self.refused.expire(now);
        let known = self.refused.get(request.job).cloned();
        let turn = known.as_ref().and_then(|known| known.reservation.as_ref());
        if turn.is_some_and(|held| now >= held.turn) {
            return self.accept(now, request.job);
        }
        if request.standing == Standing::Within {
            return self.accept(now, request.job);
        }
        let Some(judgement) = self.judge(now, outstanding, request, known.as_ref()) else {
            return self.accept(now, request.job);
        };
        let first = known.as_ref().map_or(now, |known| known.first);
        let reservation = match known.as_ref().and_then(|known| known.reservation.clone()) {
            None if judgement.wait <= judgement.limit => {
                // Without a reservation, spare capacity goes to whoever asks for it first.
                if request.standing == Standing::Beyond {
                    return self.accept(now, request.job);
                }
                match self.reserve(now, first, request, judgement) {
                    None => return self.accept(now, request.job),
                    reservation => reservation,
                }
            }
            held => held,
        };
        Verdict::Refused(self.refuse(now, request, known.as_ref(), judgement, reservation))
    }

    /// The work that the pool of a job can have outstanding so that a job like it is still in time, and the time
    /// in which it does that work; `None` if nothing is known of the pool.
    pub fn possible_work(&self, request: &Request) -> Option<(u64, Duration)> {
        let feed = self.feeds.get(&request.work.pool)?;
        let chain = request.chain + request.lag + self.commit_delay;
        let span = Load::new(request.work.total(), feed.overhead).span();
        let time = request.objective.saturating_sub(chain) + span;
        let work = feed.capacity.total() as f64 * time.as_secs_f64() * 1000.0;
        Some((work as u64, time))
    }

    /// Takes out what is known of a job that was accepted and is committed now.
    pub fn take_pending(&mut self, now: Now, job: JobId) -> Option<Pending> {
        let pending = self.pending.remove(&job)?;
        let took = now.saturating_sub(pending.since);
        self.commit_delay =
            self.commit_delay.mul_f64(1.0 - COMMIT_WEIGHT) + took.mul_f64(COMMIT_WEIGHT);
        Some(pending)
    }

    /// The accepted jobs whose commit isn't awaited any longer, in order. They are forgotten.
    pub fn take_uncommitted(&mut self, now: Now) -> Vec<JobId> {
        let pending = self.pending.iter();
        let due = pending.filter(|(_, job)| job.since + COMMIT_TIMEOUT < now);
        let mut due: Vec<_> = due.map(|(job, _)| *job).collect();
        due.sort_unstable();
        for job in &due {
            self.pending.remove(job);
        }
        due
    }

    /// The work in a pool for which places are reserved.
    pub fn reserved(&self, pool: &PoolId) -> Total {
        self.refused.reserved(pool)
    }

    /// The number of reservations.
    pub fn reservations(&self) -> usize {
        self.refused.reservations()
    }

    /// How long newly accepted work would wait in a pool; `None` if its capacity isn't known.
    pub fn wait(&self, now: Now, outstanding: &Outstanding, pool: &PoolId) -> Option<Duration> {
        let total = outstanding.total(pool) + self.reserved(pool);
        let feed = self.feeds.get(pool)?;
        let wait = feed.capacity.wait(now, Load::new(total, feed.overhead))?;
        Some(wait.max(self.start_wait(outstanding, pool, total, feed.overhead)))
    }

    fn accept(&mut self, now: Now, job: JobId) -> Verdict {
        let known = self.refused.remove(job);
        let held = known.as_ref().filter(|known| known.reservation.is_some());
        let pending = Pending {
            since: now,
            was_counted: known.is_some(),
            reserved_since: held.map(|known| known.first),
        };
        self.pending.insert(job, pending);
        Verdict::Accepted
    }

    /// Judges a job; `None` if nothing is known to judge it by.
    fn judge(
        &self,
        now: Now,
        outstanding: &Outstanding,
        request: &Request,
        known: Option<&Record>,
    ) -> Option<Judgement> {
        let pool = &request.work.pool;
        let feed = self.feeds.get(pool)?;
        let own = request.work.total();
        let held = known.and_then(|known| known.reservation.as_ref());
        let held = held.map_or_else(Total::default, |held| held.load);
        let total = outstanding.total(pool) + (self.reserved(pool) - held) + own;
        let load = |total| Load::new(total, feed.overhead);
        let wait = feed.capacity.wait(now, load(total))?;
        let wait = wait.max(self.start_wait(outstanding, pool, total, feed.overhead));
        let wait = wait.max(cap_wait(outstanding, request, feed.overhead));
        // A job that is too large to be in time even alone is accepted when nothing waits before it.
        let alone = feed.capacity.wait(now, load(own))?;
        let chain = request.chain + request.lag + self.commit_delay;
        let slack = request.objective.saturating_sub(chain).max(alone);
        let limit = self
            .queues
            .get(pool)
            .map_or(slack, |queue| queue.limit(now, slack));
        let age = known.map(|known| now.saturating_sub(known.first));
        let is_late = age.is_some_and(|age| age + wait + chain > request.objective);
        Some(Judgement {
            wait,
            own: slack,
            limit: if is_late || request.standing == Standing::Beyond {
                limit.min(slack.mul_f64(SPARE_PART))
            } else {
                limit
            },
            time: load(own).time_on(feed.capacity.total() as f64),
        })
    }

    /// How long the work of a pool waits for the leader to start it. The leader serves the pools in turn, so
    /// that a pool waits at most for its part of what the leader can start.
    fn start_wait(
        &self,
        outstanding: &Outstanding,
        pool: &PoolId,
        total: Total,
        overhead: Duration,
    ) -> Duration {
        let Some(rate) = self.start_rate.filter(|rate| *rate > 0.0) else {
            return Duration::ZERO;
        };
        let busy = self
            .feeds
            .keys()
            .filter(|other| outstanding.total(other).tasks > 0);
        let others = busy.filter(|other| *other != pool).count();
        let own = total.tasks as f64 * (others + 1) as f64;
        let all = outstanding.sum() - outstanding.total(pool) + total;
        let tasks = own.min(all.tasks as f64);
        let wait = Duration::try_from_secs_f64(tasks / rate).unwrap_or(Duration::MAX);
        wait.saturating_sub(Load::new(total, overhead).span())
    }

    fn refuse(
        &mut self,
        now: Now,
        request: &Request,
        known: Option<&Record>,
        judgement: Judgement,
        reservation: Option<Reservation>,
    ) -> Refusal {
        let first = known.map_or(now, |known| known.first);
        if known.is_none() && reservation.is_none() {
            let queue = self.queues.entry(request.work.pool.clone()).or_default();
            queue.record_refusal(now, judgement.own);
        }
        let latest = first + request.objective * MAX_DELAY_FACTOR;
        let turn = match &reservation {
            Some(held) => held.turn,
            None => self.line_up(now, request, judgement, latest),
        };
        let after = turn.saturating_sub(now).min(MAX_WAIT);
        let reserved = reservation.is_some();
        let expires = now + after + RETURN_WINDOW;
        let record = Record {
            first,
            expires: expires.max(latest),
            reservation,
        };
        let record = match &record.reservation {
            Some(held) => Record {
                expires: held.turn + RETURN_WINDOW,
                ..record
            },
            None => record,
        };
        self.refused.insert(request.job, record);
        Refusal {
            after,
            reserved,
            is_first: known.is_none(),
            wait: judgement.wait,
            slack: judgement.own,
        }
    }

    /// Reserves a place for a job, if its pool is nearly full and it is in time if it returns at its turn.
    fn reserve(
        &self,
        now: Now,
        first: Now,
        request: &Request,
        judgement: Judgement,
    ) -> Option<Reservation> {
        let free = judgement.limit.mul_f64(1.0 - RESERVED_PART);
        let delay = judgement
            .wait
            .checked_sub(free)
            .filter(|delay| !delay.is_zero())?;
        let returns = round_up(delay, self.return_unit);
        let chain = request.chain + request.lag + self.commit_delay;
        let is_in_time = now + returns.max(judgement.wait) + chain <= first + request.objective;
        let pool = &request.work.pool;
        let feed = self.feeds.get(pool)?;
        let load = request.work.total();
        let reserved = Load::new(self.reserved(pool) + load, feed.overhead);
        let time = reserved.time_on(feed.capacity.total() as f64);
        let has_room =
            time <= judgement.limit.mul_f64(RESERVED_PART) && self.reservations() < MAX_RESERVED;
        (is_in_time && has_room).then(|| Reservation {
            pool: pool.clone(),
            load,
            turn: now + delay,
        })
    }

    /// Finds the time at which a job without a reservation should return. Jobs return at the pace at which
    /// the pool serves them. A job that would be of no use by then isn't expected to return.
    fn line_up(&mut self, now: Now, request: &Request, judgement: Judgement, latest: Now) -> Now {
        let queue = self.queues.entry(request.work.pool.clone()).or_default();
        let free = judgement.own.mul_f64(SPARE_PART);
        let turn = queue.next.max(now + judgement.wait.saturating_sub(free));
        if turn <= latest {
            queue.next = turn + judgement.time;
        }
        turn
    }
}

/// How long the work of a job's workspace waits for its cap.
fn cap_wait(outstanding: &Outstanding, request: &Request, overhead: Duration) -> Duration {
    let Some(cap) = request.cap else {
        return Duration::ZERO;
    };
    let JobWork {
        pool, workspace, ..
    } = &request.work;
    let own = request.work.total();
    let held = outstanding.of(pool, workspace.as_ref());
    let all = Load::new(outstanding.total(pool) + own, overhead);
    all.time_of(held.saturating_add(own.work), cap)
}

/// A time as callers are told it, rounded up.
fn round_up(time: Duration, unit: Duration) -> Duration {
    if unit.is_zero() {
        return time;
    }
    let units = time.as_nanos().div_ceil(unit.as_nanos());
    unit.saturating_mul(u32::try_from(units).unwrap_or(u32::MAX))
}
