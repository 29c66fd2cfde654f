//! Gangs whose members fail: an attempt of a gang has failed once, however many of its members fail in it.

use egretpin::core::workload::{
    command::Command,
    job::{JobState, StepId, TaskId},
    spec::JobSpec,
};

use super::world::{OTHER_POOL, World, long_running, ms, step};

const JOB: u64 = 1;
/// The number of failed attempts after which the world's jobs fail.
const MAX_ATTEMPTS: u32 = 3;

/// A world with so many hosts, and the specification of a gang with one member on each of them.
fn gang(hosts: u32, seed: u64) -> (World, JobSpec) {
    let mut world = World::new(usize::try_from(hosts).unwrap(), seed);
    // The other pool needs none of these hosts.
    world.add_host("h90", OTHER_POOL);
    let mut gang = step(hosts, 1, 200);
    gang.gang = true;
    gang.per_host = Some(1);
    (world, JobSpec::new("x", vec![gang]))
}

fn member(task: u32) -> TaskId {
    let step = StepId {
        job: JOB,
        occurrence: 0,
        step: 0,
    };
    TaskId { step, task }
}

/// The first of the world's agents fail all that they start until they have failed the gang `attempts` times.
fn fail_attempts(world: &mut World, agents: usize, attempts: u32, takeovers: bool) {
    let failing: Vec<_> = world.agents.keys().take(agents).cloned().collect();
    for id in &failing {
        world.agents.get_mut(id).unwrap().fails_until = ms(u64::MAX);
    }
    for attempt in 1..=attempts {
        world.until("the attempt begins", ms(5000), |world| {
            world.starts.get(&member(0)) == Some(&attempt)
        });
        if attempt == attempts {
            for id in &failing {
                world.agents.get_mut(id).unwrap().fails_until = ms(0);
            }
        }
        if takeovers {
            // The members that fail first are reported to this leader, and the others to the next one.
            world.pass(ms(22));
            world.depose();
            world.lead();
        }
    }
}

/// Two members failed in each attempt, and the job was shown as failed after two of its three attempts.
#[test]
fn a_gang_of_which_several_members_fail_together_gets_all_its_attempts() {
    for (agents, takeovers) in [
        (1, false),
        (2, false),
        (3, false),
        (6, false),
        (2, true),
        (6, true),
    ] {
        let (mut world, spec) = gang(6, 1);
        world.submit(JOB, spec);
        fail_attempts(&mut world, agents, MAX_ATTEMPTS - 1, takeovers);
        world.until("the job is completed", ms(20_000), |world| {
            world.state(JOB) == Some(JobState::Completed)
        });
    }
}

/// Each attempt was placed at the same agents, which failed all of them, while others had room.
#[test]
fn a_gang_that_failed_is_tried_at_other_agents() {
    let mut world = World::new(10, 5);
    // What lasts on each host keeps all of them in the pool.
    world.submit(2, JobSpec::new("x", vec![long_running(10, 1)]));
    world.until("it runs", ms(5000), |world| world.runs(2).len() == 10);
    let ids: Vec<_> = world.agents.keys().take(2).cloned().collect();
    for id in &ids {
        world.agents.get_mut(id).unwrap().fails_until = world.now + ms(6000);
    }
    let mut gang = step(6, 1, 200);
    gang.gang = true;
    gang.per_host = Some(1);
    world.submit(JOB, JobSpec::new("x", vec![gang]));
    world.until("the job is completed", ms(3000), |world| {
        world.state(JOB) == Some(JobState::Completed)
    });
}

/// The ends of two members were taken in by two rounds, and counted as two attempts.
#[test]
fn ends_of_one_attempt_in_several_rounds_count_once() {
    let (mut world, spec) = gang(4, 2);
    world.submit(JOB, spec);
    world.jitter = ms(60);
    world.commit_delay = ms(30);
    fail_attempts(&mut world, 3, MAX_ATTEMPTS - 1, false);
    world.until("the job is completed", ms(20_000), |world| {
        world.state(JOB) == Some(JobState::Completed)
    });
}

/// A gang that fails by a fault of its own, in all its members, failed after one attempt. It mustn't be started
/// more often than its attempts allow either.
#[test]
fn a_gang_that_always_fails_is_started_as_often_as_it_may_be() {
    for seed in 0..8 {
        let (mut world, spec) = gang(5, seed);
        world.failing_runs.insert(JOB, (u32::MAX, ms(100)));
        world.submit(JOB, spec);
        if seed % 2 == 1 {
            world.jitter = ms(40);
        }
        world.until("the job has failed", ms(30_000), |world| {
            world.state(JOB) == Some(JobState::Failed)
        });
        world.pass(ms(1000));
        let starts: Vec<_> = (0..5).map(|task| world.starts[&member(task)]).collect();
        assert_eq!(starts, [MAX_ATTEMPTS; 5], "seed {seed}");
    }
}

/// The rounds that end a gang for good name its job once its last attempt has failed, and not before.
#[test]
fn a_gang_fails_for_good_only_with_its_last_attempt() {
    let (mut world, spec) = gang(5, 3);
    world.failing_runs.insert(JOB, (u32::MAX, ms(100)));
    world.submit(JOB, spec);
    world.until("the job has failed", ms(30_000), |world| {
        world.state(JOB) == Some(JobState::Failed)
    });
    let rounds = world.committed.iter().filter_map(|command| match command {
        Command::Round(round) => Some(round),
        _ => None,
    });
    let mut last = 0;
    for round in rounds {
        let starts = round.starts.iter().map(|start| start.attempt);
        last = starts.fold(last, u32::max);
        assert!(round.failed.is_empty() || last == MAX_ATTEMPTS);
    }
}
