//! Finds the waiting steps of a pool that may have room, in the order in which they are served.
//!
//! The search visits step by step until a task finds no agent. From then on it passes over the steps
//! whose tasks are larger than what any agent has free. A leader that can't keep up has thousands of
//! steps waiting, and what a plan costs mustn't grow with them: a plan that does takes longer the more
//! waits, so that less is started, and a new leader's first plan took over a second. So the search has
//! a limit of visits. If it is reached, the next search visits the first steps again, and then goes on
//! where this one has stopped, so that no step is passed over for good.

use std::collections::VecDeque;

use super::{
    Agent, Now, PoolId, Scheduler,
    ready::{Rank, Served},
    size_classes::{Found, OpenRoom},
};

/// How many agents and waiting steps of a pool are visited in a round. With a quarter of a core a
/// visit takes about half a microsecond, so this is a few milliseconds.
const MAX_VISITS: usize = 8192;
/// How many steps that have no room are passed over one by one before the search goes on elsewhere.
const MAX_VAIN_VISITS: usize = 64;
/// How many steps that may have room are found at once at most. It begins with one, as a start often
/// takes the only room that was left.
const MAX_FOUND_STEPS: usize = 32;

/// The largest free amounts at agents of a pool, and the number of starts in the round when they were
/// determined. Starts only make them smaller.
#[derive(Clone, Debug)]
pub(super) struct KnownRoom {
    room: OpenRoom,
    starts: usize,
}

/// The state of a search.
#[derive(Debug)]
pub(super) struct StepSearch<'a> {
    served: Served,
    /// The step that was visited last.
    last: Option<Rank>,
    /// Where the last search had to stop. This one goes on there once half of the visits are used up,
    /// or nothing that has room is near the first steps.
    resume: Option<Rank>,
    /// The count of visits when the search began.
    visits_before: usize,
    /// Whether jobs may run beside each other. Where some are kept apart, a step that has no room
    /// makes the rest of its queue wait, so it has to be visited.
    alike: bool,
    /// What agents have free, once a task has found none.
    open: &'a mut Option<KnownRoom>,
    /// How many of the next steps to find at once.
    most: usize,
    /// The next steps that may have room.
    found: VecDeque<Rank>,
    /// The step up to which the others were passed over to find these.
    reached: Option<Rank>,
    /// Whether no further steps are left behind these.
    is_complete: bool,
}

impl Scheduler {
    /// Starts a search of waiting steps of a pool.
    pub(super) fn start_search<'a>(
        &mut self,
        pool: &PoolId,
        served: Served,
        alike: bool,
        open: &'a mut Option<KnownRoom>,
    ) -> StepSearch<'a> {
        StepSearch {
            served,
            last: match served {
                Served::Timely => None,
                Served::Late => Some(Rank::BEFORE_LATE),
            },
            resume: self.ready.take_resume(pool, served),
            visits_before: self.visits(),
            alike,
            open,
            most: 1,
            found: VecDeque::new(),
            reached: None,
            is_complete: false,
        }
    }

    /// The next step to be visited; `None` if none are left, or if the search has to stop.
    pub(super) fn next_step(&mut self, pool: &PoolId, search: &mut StepSearch) -> Option<Rank> {
        loop {
            let used = self.visits() - search.visits_before;
            if used >= MAX_VISITS {
                self.ready.set_resume(pool, search.served, search.last);
                return None;
            }
            if search.open.is_none() {
                let next = self.ready.next(pool, search.last);
                search.last = next.filter(|rank| search.serves(*rank));
                return search.last;
            }
            if used >= MAX_VISITS / 2
                && let Some(resume) = search.resume.take()
                && search.last < Some(resume)
            {
                search.go_on_after(resume);
            }
            if let Some(rank) = search.found.pop_front() {
                search.last = Some(rank).filter(|rank| search.serves(*rank));
                return search.last;
            }
            let open = search.open.as_ref().filter(|_| !search.is_complete);
            let KnownRoom { room, .. } = open?;
            let from = search.last.max(search.reached);
            let found = self
                .ready
                .find(pool, from, room, search.most, MAX_VAIN_VISITS);
            search.most = (search.most * 2).min(MAX_FOUND_STEPS);
            search.take_found(found);
            if !search.found.is_empty() || search.is_complete {
                continue;
            }
            // Nothing that has room is near.
            search.last = search.reached;
            if search.last.is_some_and(|rank| !search.serves(rank)) {
                return None;
            }
            match search.resume.take() {
                Some(resume) if search.last < Some(resume) => search.go_on_after(resume),
                _ => {
                    self.ready.set_resume(pool, search.served, search.last);
                    return None;
                }
            }
        }
    }

    /// Notes that a task has found no agent.
    pub(super) fn note_full(
        &self,
        now: Now,
        pool: &PoolId,
        search: &mut StepSearch<'_>,
        starts: usize,
    ) {
        let known = search.open.as_ref();
        if known.is_some_and(|known| known.starts == starts) {
            return;
        }
        let least = self.ready.min_millicores(pool).unwrap_or_default();
        let able = |agent: &Agent| self.may_get_work(now, agent);
        let open = self.agents.open_room(pool, least, able);
        let room = if search.alike { open } else { open.widened() };
        *search.open = Some(KnownRoom { room, starts });
        search.forget_found();
    }

    /// The count of visits of agents and waiting steps.
    fn visits(&self) -> usize {
        self.agents.visits() + self.ready.visits()
    }
}

impl StepSearch<'_> {
    fn serves(&self, rank: Rank) -> bool {
        rank.is_late() == (self.served == Served::Late)
    }

    /// Passes over the steps up to this one.
    fn go_on_after(&mut self, rank: Rank) {
        self.last = Some(rank);
        self.forget_found();
    }

    fn forget_found(&mut self) {
        self.most = 1;
        self.found.clear();
        self.reached = None;
        self.is_complete = false;
    }

    fn take_found(&mut self, found: Found) {
        self.is_complete = found.reached.is_none();
        self.reached = found.reached;
        self.found = found.steps.into();
    }
}
