//! Starts between their decision and their confirmation, while turns and exchanges grow slower.
//!
//! What commits a start and what confirms it wait in the leader's inbox, among the answers to all
//! other orders. With rounds of hundreds of starts, thousands of them were decided and not
//! confirmed, they were sent after their jobs were late, or never. The tests guard against an
//! outcome that depends on the size of a round, which is a constant, rather than on how fast starts
//! are confirmed.

use std::{collections::VecDeque, time::Duration};

use egretpin::core::workload::{job::JobState, spec::JobSpec};

use crate::world::{Processor, World, ms, step};

/// Hosts of the pool; enough for all tasks that the leader can start.
const HOSTS: usize = 300;
/// The costs of the leader's processor where it isn't slower.
const PROCESSOR: Processor = Processor {
    input: Duration::from_micros(25),
    visit: Duration::from_nanos(45),
    order: Duration::from_micros(100),
};
/// How long a job may take: the objective of its queue and the time of a poll.
const OBJECTIVE: Duration = ms(1150);
/// The number of tasks of each job.
const TASKS: u32 = 8;
/// The sizes of a round that are compared.
const ROUNDS: [usize; 4] = [16, 64, 256, 512];
/// The longest that a start may wait in the leader between its decision and its being sent. Half
/// of the queue's allowance for all that isn't the task itself.
const MAX_START_DELAY: Duration = ms(250);

/// What makes a leader slow.
#[derive(Clone, Copy, Debug)]
struct Slowness {
    /// The part of the processor that it doesn't have, as a factor of all costs.
    processor: u32,
    /// The time of a commit.
    commit: Duration,
    /// The time that an answer takes through a relay.
    answer: Duration,
}

const QUARTER: Slowness = Slowness {
    processor: 4,
    commit: ms(8),
    answer: ms(1),
};

/// The result of a surge.
#[derive(Clone, Copy, Debug)]
struct SurgeResult {
    /// Tasks a second of jobs that completed in time.
    timely: u64,
    /// The longest wait of a start from its decision to its being sent for the first time.
    start_delay: Duration,
    /// The longest from sending a start to its answer.
    answer_delay: Duration,
    /// The most starts that were decided and not confirmed.
    unconfirmed: usize,
    /// Starts a second.
    rate: usize,
}

/// Simulates a surge of so many jobs a second with rounds of a size.
fn surge(slow: Slowness, round: usize, jobs: u64) -> SurgeResult {
    const SECONDS: u64 = 5;
    const STEPS: u64 = 20;
    let mut world = World::new(HOSTS, 3);
    world.round_starts = round;
    world.lead();
    world.pass(ms(2000));
    world.processor = Some(Processor {
        input: PROCESSOR.input * slow.processor,
        visit: PROCESSOR.visit * slow.processor,
        order: PROCESSOR.order * slow.processor,
    });
    world.commits_queue = true;
    world.commit_delay = slow.commit;
    world.answer_delay = slow.answer;
    let mut open = VecDeque::new();
    let (mut next, mut timely) = (1, 0);
    for tick in 1..=SECONDS * STEPS {
        while next <= jobs * tick / STEPS {
            world.submit(next, JobSpec::new("x", vec![step(TASKS, 1, 400)]));
            open.push_back((next, world.now));
            next += 1;
        }
        world.pass(ms(1000 / STEPS));
        open.retain(|(job, since)| {
            let is_complete = world.state(*job) == Some(JobState::Completed);
            timely += u64::from(is_complete && world.now <= *since + OBJECTIVE);
            !is_complete
        });
    }
    let longest = |waits: &[Duration]| waits.iter().copied().max().unwrap_or_default();
    SurgeResult {
        timely: timely * u64::from(TASKS) / SECONDS,
        start_delay: longest(&world.start_delays),
        answer_delay: longest(&world.answer_delays),
        unconfirmed: world.peak_unconfirmed,
        rate: world.start_delays.len() / SECONDS as usize,
    }
}

const SLOW_COMMIT: Slowness = Slowness {
    processor: 2,
    commit: ms(30),
    answer: ms(1),
};
const SLOW_RELAY: Slowness = Slowness {
    processor: 2,
    commit: ms(8),
    answer: ms(50),
};
const SLOWEST_RELAY: Slowness = Slowness {
    answer: ms(300),
    ..SLOW_RELAY
};

/// Some twice the jobs a second that the leader can start.
fn overload(slow: Slowness) -> u64 {
    800 / u64::from(slow.processor)
}

/// Checks the waits of starts in a surge with the largest rounds.
fn check_waits(slow: Slowness) {
    let result = surge(slow, ROUNDS[3], overload(slow));
    assert!(result.start_delay <= MAX_START_DELAY, "{result:?}");
    let answered = MAX_START_DELAY + 2 * slow.answer;
    assert!(result.answer_delay <= answered, "{result:?}");
    // By Little's law: as many as are started in the time that a start may take to be confirmed.
    let allowed = MAX_START_DELAY + slow.commit + 2 * slow.answer;
    let most = result.rate as f64 * allowed.as_secs_f64();
    assert!(result.unconfirmed as f64 <= most, "{result:?}, {most}");
}

/// Starts were sent long after their decision by a leader that gave more than it took in.
#[test]
fn starts_of_a_leader_with_a_quarter_of_the_processor_do_not_wait() {
    check_waits(QUARTER);
}

/// The same where commits take long.
#[test]
fn starts_do_not_wait_where_commits_are_slow() {
    check_waits(SLOW_COMMIT);
}

/// The same where relays answer late.
#[test]
fn starts_do_not_wait_where_relays_are_slow() {
    check_waits(SLOW_RELAY);
    check_waits(SLOWEST_RELAY);
}

/// Nearly all jobs were late with larger rounds, as decided starts waited in the leader.
#[test]
fn goodput_does_not_depend_on_the_size_of_a_round() {
    let surges = ROUNDS.map(|round| surge(QUARTER, round, overload(QUARTER)));
    let timely = surges.map(|surge| surge.timely);
    let best = timely.into_iter().max().unwrap_or_default();
    assert!(best > 0, "{timely:?}");
    let holds = timely.iter().all(|timely| timely * 10 >= best * 9);
    assert!(holds, "{timely:?} tasks a second in time for {ROUNDS:?}");
}
