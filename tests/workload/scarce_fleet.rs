//! Two pools whose surges follow each other, in a fleet that is too small for the first.
//!
//! The first queue asks for twice what the fleet can do, until all that waits in it is late. Then the
//! other queue asks for half of the fleet, all of which can be in time. The tests guard against a pool
//! that keeps its hosts for late work, since its need exceeds the fleet: the other pool then had one host
//! until the late work was done. They also guard against hosts that move back and forth meanwhile.
//! Two tests let the leader change, before the first host moves and while hosts move.

use std::{collections::BTreeMap, time::Duration};

use egretpin::core::{
    types::{HostId, PoolId},
    workload::{
        catalog::JobId,
        job::JobState,
        spec::{JobSpec, StepSpec},
    },
};

use crate::world::{OTHER_POOL, OTHER_QUEUE, QUEUE, World, ms, step};

/// The hosts of the fleet, of 8 cores each. All but one are in the first pool.
const HOSTS: usize = 20;
/// The run time of a task, and the tasks of a job, of one core each.
const TASK: Duration = ms(800);
const TASKS: u32 = 8;
/// What a job may take: 1.5 times its task, and the offset of the queues.
const OBJECTIVE: Duration = ms(1700);
/// The time from one submission to the next.
const INTERVAL: Duration = ms(20);
/// Every so many intervals a job is submitted that takes 0.8 s of a host: 50 per second ask for 40
/// hosts, 12.5 per second for 10.
const OVERLOAD_INTERVALS: u64 = 1;
const SURGE_INTERVALS: u64 = 4;
/// How long the first queue asks for twice the fleet, and after that the time in which all that
/// waits or runs there becomes late.
const OVERLOAD_TIME: Duration = ms(4000);
const LAPSE_TIME: Duration = ms(1800);
/// The run time of a task that takes longer than a move. A job of such tasks in every so many
/// intervals asks for 37 hosts, for ten seconds; five more, and all that waits or runs is late.
const LONG_TASK: Duration = ms(3000);
const LONG_INTERVALS: u64 = 4;
const LONG_OVERLOAD_INTERVALS: u64 = 500;
const LONG_LAPSE_TIME: Duration = ms(5000);
/// How long the surge of the other queue lasts.
const SURGE_TIME: Duration = ms(6000);
/// An overload whose late work takes longer than twice the time for which the other queue asks for
/// the same: until the pools have settled, and again after that.
const LONG_OVERLOAD_TIME: Duration = ms(20_000);
const STEADY_TIME: Duration = ms(9000);
/// The most moves in the second half of that: one every three seconds. A move takes 1.8 s.
const MAX_STEADY_MOVES: usize = 3;
/// The hosts that the other pool needs for its work.
const NEEDED: usize = 10;
/// The most hosts that may return to late work during the surge: what its pool has beyond its need
/// while it catches up.
const MAX_RETURNS: usize = 5;
/// The time in which the other pool has to have them: a move in this world, a task, and the time in
/// which the growth of a surge is noticed.
const LIMIT: Duration = ms(1800 + 800 + 400);

/// The world, and what was submitted to the other queue.
struct Load {
    world: World,
    next: JobId,
    /// When each job of the other queue was submitted.
    surge: BTreeMap<JobId, Duration>,
    /// How long each of them took.
    times: BTreeMap<JobId, Duration>,
    /// The pool of each host, and how often it has changed.
    pools: BTreeMap<HostId, (PoolId, usize)>,
}

impl Load {
    fn new(seed: u64) -> Self {
        let mut world = World::new(HOSTS - 1, seed);
        world.allocate_hosts = true;
        world.lead();
        world.add_host(&format!("h{HOSTS}"), OTHER_POOL);
        world.pass(ms(2000));
        Self {
            world,
            next: 1,
            surge: BTreeMap::new(),
            times: BTreeMap::new(),
            pools: BTreeMap::new(),
        }
    }

    /// A fleet whose first pool has only late work left, more than the surge of the other lasts.
    fn with_late_backlog(seed: u64, overload: Duration) -> Self {
        let mut load = Self::new(seed);
        load.submit_for(overload, QUEUE, OVERLOAD_INTERVALS);
        load.world.pass(LAPSE_TIME);
        load.forget_changes();
        load
    }

    /// A fleet whose first pool has only late work left, of tasks that take longer than a move and
    /// end one after the other on each host.
    fn with_long_late_tasks(seed: u64) -> Self {
        let mut load = Self::new(seed);
        let mut spec = step(TASKS, 1, u64::try_from(LONG_TASK.as_millis()).unwrap());
        spec.per_host = Some(1);
        for interval in 0..LONG_OVERLOAD_INTERVALS {
            if interval % LONG_INTERVALS == 0 {
                load.submit(QUEUE, spec.clone());
            }
            load.pass_interval();
        }
        load.world.pass(LONG_LAPSE_TIME);
        load.forget_changes();
        load
    }

    /// Submits a job to a queue in every so many intervals.
    fn submit_for(&mut self, span: Duration, queue: &str, intervals: u64) {
        let steps = u64::try_from(span.as_millis() / INTERVAL.as_millis()).unwrap();
        for interval in 0..steps {
            if interval % intervals == 0 {
                let spec = step(TASKS, 1, u64::try_from(TASK.as_millis()).unwrap());
                self.submit(queue, spec);
            }
            self.pass_interval();
        }
    }

    fn submit(&mut self, queue: &str, step: StepSpec) {
        self.world
            .submit_to(queue, self.next, JobSpec::new("x", vec![step]));
        if queue == OTHER_QUEUE {
            self.surge.insert(self.next, self.world.now);
        }
        self.next += 1;
    }

    fn submit_surge(&mut self, span: Duration) {
        self.submit_for(span, OTHER_QUEUE, SURGE_INTERVALS);
    }

    fn pass_interval(&mut self) {
        self.world.pass(INTERVAL);
        self.record_pools();
        for (job, since) in &self.surge {
            if self.world.state(*job) == Some(JobState::Completed) {
                let time = self.world.now - *since;
                self.times.entry(*job).or_insert(time);
            }
        }
    }

    /// Counts the changes of pools from now on.
    fn forget_changes(&mut self) {
        self.pools.clear();
        self.record_pools();
    }

    fn record_pools(&mut self) {
        for (host, view) in &self.world.hosts {
            let entry = self.pools.entry(host.clone());
            let (pool, changes) = entry.or_insert_with(|| (view.pool.clone(), 0));
            if *pool != view.pool {
                *pool = view.pool.clone();
                *changes += 1;
            }
        }
    }

    /// The hosts of the other pool that are up.
    fn ready_hosts(&self) -> usize {
        let hosts = self.world.hosts.values();
        let ready = hosts.filter(|host| &*host.pool == OTHER_POOL && host.agent.is_some());
        ready.count()
    }

    /// The most often that any host changed its pool, and how many hosts changed it more than once.
    fn changes(&self) -> (usize, usize) {
        let changes = self.pools.values().map(|(_, changes)| *changes);
        let back = changes.clone().filter(|changes| *changes > 1);
        (changes.max().unwrap_or_default(), back.count())
    }

    /// How many of the surge's jobs that were submitted from `since` on were in time, and how many
    /// there were.
    fn in_time(&self, since: Duration) -> (usize, usize) {
        let jobs = self.surge.iter().filter(|(_, sent)| **sent >= since);
        let jobs: Vec<_> = jobs.map(|(job, _)| job).collect();
        let done = jobs
            .iter()
            .filter(|job| self.times.get(job).is_some_and(|time| *time <= OBJECTIVE));
        (done.count(), jobs.len())
    }

    /// Goes on with the surge until it ends, and checks what became of its jobs from `since` on.
    fn check_surge(&mut self, seed: u64, since: Duration, span: Duration) {
        self.submit_surge(span);
        let (most, back) = self.changes();
        // A host may return to late work once the other pool has caught up with its surge, but
        // not go back and forth.
        assert!(most <= 2, "seed {seed}: a host moved {most} times");
        assert!(back <= MAX_RETURNS, "seed {seed}: {back} hosts moved back");
        for _ in 0..100 {
            self.pass_interval();
        }
        let (in_time, all) = self.in_time(since);
        assert!(
            in_time * 10 >= all * 9,
            "seed {seed}: {in_time} of {all} in time"
        );
    }
}

#[test]
fn work_in_time_gets_the_hosts_of_late_work_within_a_move_and_a_task() {
    for seed in 0..4 {
        let mut load = Load::with_late_backlog(seed, OVERLOAD_TIME);
        assert_eq!(
            load.ready_hosts(),
            1,
            "seed {seed}: the first pool has the rest"
        );
        load.submit_surge(LIMIT);
        let hosts = load.ready_hosts();
        assert!(
            hosts >= NEEDED,
            "seed {seed}: {hosts} hosts after {LIMIT:?}"
        );
        let since = load.world.now;
        load.check_surge(seed, since, SURGE_TIME - LIMIT);
    }
}

/// Lets the leader change so long after the surge began.
fn change_leader(seed: u64, after: Duration) {
    let mut load = Load::with_late_backlog(seed, OVERLOAD_TIME);
    load.submit_surge(after);
    load.world.depose();
    load.submit_surge(ms(300));
    load.world.lead();
    load.submit_surge(LIMIT);
    let hosts = load.ready_hosts();
    assert!(
        hosts >= NEEDED,
        "seed {seed}: {hosts} hosts {LIMIT:?} after the takeover at {after:?}"
    );
    let since = load.world.now;
    load.check_surge(seed, since, SURGE_TIME - LIMIT);
}

#[test]
fn a_new_leader_allocates_before_any_host_has_moved() {
    (0..4).for_each(|seed| change_leader(seed, ms(200)));
}

#[test]
fn a_new_leader_goes_on_while_hosts_move() {
    (0..4).for_each(|seed| change_leader(seed, ms(1200)));
}

/// Guards against hosts that move back and forth while nothing changes but the noise of arrivals.
#[test]
fn hosts_stay_where_they_are_under_steady_loads() {
    for seed in 0..3 {
        let mut load = Load::with_late_backlog(seed, LONG_OVERLOAD_TIME);
        load.submit_surge(STEADY_TIME);
        load.forget_changes();
        load.submit_surge(STEADY_TIME);
        let moves: usize = load.pools.values().map(|(_, changes)| changes).sum();
        assert!(moves <= MAX_STEADY_MOVES, "seed {seed}: {moves} moves");
    }
}

/// Guards against hosts that never become empty, as late tasks that take longer than a move are
/// started in each gap.
#[test]
fn hosts_with_long_late_tasks_are_emptied() {
    for seed in 0..4 {
        let mut load = Load::with_long_late_tasks(seed);
        let limit = LIMIT - TASK + LONG_TASK;
        load.submit_surge(limit);
        let hosts = load.ready_hosts();
        assert!(
            hosts >= NEEDED,
            "seed {seed}: {hosts} hosts after {limit:?}"
        );
    }
}

/// Guards against late work that is forgotten: it is done with what is left, and has the whole fleet
/// again after the surge.
#[test]
fn late_work_is_finished_with_what_is_left() {
    let mut load = Load::with_late_backlog(1, OVERLOAD_TIME);
    let late = 1..load.next;
    load.submit_surge(SURGE_TIME);
    load.world
        .until("all late jobs are done", ms(12_000), |world| {
            late.clone()
                .all(|job| world.state(job) == Some(JobState::Completed))
        });
}
