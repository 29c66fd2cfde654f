//! Agents that get no new tasks for a while because of what failed there. That protects jobs from agents that fail all
//! they start, and must never keep a task waiting for long beside a sound agent that has room for it.

use std::time::Duration;

use egretpin::core::workload::{
    catalog::{Catalog, JobId},
    job::JobState,
    spec::{JobSpec, StepSpec},
};

use super::world::{OTHER_POOL, POOL, QUEUE, World, long_running, ms, step};

/// How long a task may wait that could be started: what the pages allow.
const MAX_WAIT: Duration = ms(3000);
/// The same for a long-running task after a run of it: six seconds more.
const MAX_PAUSE: Duration = ms(9000);
/// The second queue of the same pool.
const SOUND_QUEUE: &str = "sound";
/// The number of the first job that is sound, beside others that aren't.
const SOUND_JOB: JobId = 100_000;
const LABEL: &str = "r0";

/// Adds a queue that is like another one of the world.
fn add_queue(world: &mut World, name: &str) {
    let mut catalog = world.catalog().clone();
    let like = catalog.queues.iter().find(|queue| *queue.name == *QUEUE);
    let mut queue = like.cloned().unwrap();
    queue.name = name.into();
    queue.prefix = format!("/{name}/").into();
    catalog.queues.push(queue);
    world.set_catalog(Catalog::new(2, catalog.queues, catalog.pools));
}

/// The longest time for which none of these jobs had a task running, until each has had `span`.
fn longest_idle(world: &mut World, jobs: &[JobId], span: Duration) -> Duration {
    let mut idle_since = vec![world.now; jobs.len()];
    let mut longest = Duration::ZERO;
    let end = world.now + span;
    while world.now < end {
        world.pass(ms(20));
        for (job, since) in jobs.iter().zip(&mut idle_since) {
            if !world.runs(*job).is_empty() {
                *since = world.now;
            }
            longest = longest.max(world.now.saturating_sub(*since));
        }
    }
    longest
}

/// Passes time until a sound job of one short task has run, and returns how long it took.
fn run_sound_job(world: &mut World, job: JobId, step: StepSpec) -> Duration {
    let begun = world.now;
    world.submit_to(SOUND_QUEUE, job, JobSpec::new("x", vec![step]));
    world.until("the sound job is done", ms(30_000), |world| {
        world.state(job) == Some(JobState::Completed)
    });
    world.now.saturating_sub(begun)
}

/// Long-running tasks that failed several times, as they do when all wait for the same thing, excluded all agents of
/// their pool, and none of them was started for some twenty seconds.
#[test]
fn long_running_tasks_that_failed_often_are_started_again() {
    for (seed, after) in [(1, 1000), (2, 300), (3, 2500)] {
        let mut world = World::new(8, seed);
        let jobs: Vec<JobId> = (1..=8).collect();
        for job in &jobs {
            world.failing_runs.insert(*job, (10, ms(after)));
            world.submit(*job, JobSpec::new("x", vec![long_running(2, 1)]));
        }
        let longest = longest_idle(&mut world, &jobs, ms(40_000));
        assert!(
            longest < MAX_WAIT,
            "seed {seed}: a job stands still for {longest:?}"
        );
        assert!(
            jobs.iter().all(|job| world.runs(*job).len() == 2),
            "seed {seed}"
        );
    }
}

/// The same at the only agent that has their label, which no other agent can replace, and across leaders.
#[test]
fn long_running_tasks_that_failed_often_at_the_only_agent_for_them_are_started_again() {
    for takeovers in [false, true] {
        // Two hosts share each rack, and the label of a rack.
        let mut world = World::new(1, 4);
        for host in 2..8 {
            world.add_host(&format!("h{host}"), POOL);
        }
        world.pass(ms(500));
        let jobs: Vec<JobId> = (1..=5).collect();
        for job in &jobs {
            let mut step = long_running(1, 1);
            step.label = Some(LABEL.into());
            world.failing_runs.insert(*job, (8, ms(1000)));
            world.submit(*job, JobSpec::new("x", vec![step]));
        }
        let mut longest = Duration::ZERO;
        for _ in 0..6 {
            longest = longest.max(longest_idle(&mut world, &jobs, ms(5000)));
            if takeovers {
                world.depose();
                world.lead();
            }
        }
        assert!(longest < MAX_PAUSE, "a job stands still for {longest:?}");
        assert!(jobs.iter().all(|job| !world.runs(*job).is_empty()));
    }
}

/// Batch jobs of one queue that failed by a fault of their own excluded all agents, and a job of another queue waited
/// for twenty seconds beside agents that ran nearly nothing.
#[test]
fn jobs_that_fail_by_their_own_fault_keep_no_other_job_waiting() {
    for (seed, after, gap) in [(5, 20, 40), (6, 300, 100), (7, 1000, 150)] {
        let mut world = World::new(8, seed);
        add_queue(&mut world, SOUND_QUEUE);
        let mut longest = Duration::ZERO;
        let (mut next, mut hopeless) = (world.now, 0);
        let mut sound = (SOUND_JOB, world.now, world.now + ms(2000));
        let end = world.now + ms(30_000);
        while world.now < end {
            if world.now >= next {
                hopeless += 1;
                next = world.now + ms(gap);
                world.failing_runs.insert(hopeless, (u32::MAX, ms(after)));
                world.submit(hopeless, JobSpec::new("x", vec![step(1, 1, 200)]));
            }
            let (job, submitted, due) = sound;
            if world.now >= due && world.state(job).is_none() {
                world.submit_to(SOUND_QUEUE, job, JobSpec::new("x", vec![step(1, 1, 200)]));
                sound.1 = world.now;
            } else if world.state(job) == Some(JobState::Completed) {
                longest = longest.max(world.now.saturating_sub(submitted));
                sound = (job + 1, world.now, world.now + ms(300));
            }
            world.pass(ms(10));
        }
        assert!(sound.0 > SOUND_JOB + 10, "seed {seed}: job {}", sound.0);
        assert!(
            longest < MAX_WAIT,
            "seed {seed}: a sound job took {longest:?}"
        );
    }
}

/// The same where the hopeless jobs and the sound one need a label that only one agent has.
#[test]
fn jobs_that_fail_at_the_only_agent_for_them_keep_no_other_job_waiting() {
    let mut world = World::new(1, 8);
    for host in 2..8 {
        world.add_host(&format!("h{host}"), POOL);
    }
    add_queue(&mut world, SOUND_QUEUE);
    world.pass(ms(500));
    let labelled = || {
        let mut step = step(1, 1, 200);
        step.label = Some(LABEL.into());
        step
    };
    for round in 0..12 {
        for job in (round * 10 + 1)..=(round * 10 + 6) {
            world.failing_runs.insert(job, (u32::MAX, ms(400)));
            world.submit(job, JobSpec::new("x", vec![labelled()]));
        }
        world.pass(ms(450));
        let took = run_sound_job(&mut world, SOUND_JOB + round, labelled());
        assert!(took < MAX_WAIT, "round {round}: {took:?}");
    }
}

/// A gang that needs all agents of its pool waits for agents that are excluded in turn.
#[test]
fn a_gang_that_needs_all_agents_is_placed_while_agents_are_excluded_in_turn() {
    let mut world = World::new(6, 9);
    world.add_host("h90", OTHER_POOL);
    add_queue(&mut world, SOUND_QUEUE);
    // What lasts on each host keeps all of them in the pool.
    world.submit(90_000, JobSpec::new("x", vec![long_running(6, 1)]));
    world.until("it runs", ms(5000), |world| world.runs(90_000).len() == 6);
    let mut gang = step(6, 1, 200);
    gang.gang = true;
    gang.per_host = Some(1);
    let mut submitted = None;
    let ids: Vec<_> = world.agents.keys().take(6).cloned().collect();
    let mut job = 0;
    for turn in 0..40 {
        // One agent fails what it starts, and another one each second.
        for (ix, id) in ids.iter().enumerate() {
            let fails = ix == turn % ids.len();
            let until = if fails {
                world.now + ms(1000)
            } else {
                Duration::ZERO
            };
            if let Some(agent) = world.agents.get_mut(id) {
                agent.fails_until = until;
            }
        }
        for _ in 0..20 {
            for _ in 0..6 {
                job += 1;
                world.submit(job, JobSpec::new("x", vec![step(1, 1, 40)]));
            }
            world.pass(ms(50));
        }
        if turn == 5 {
            world.submit_to(
                SOUND_QUEUE,
                SOUND_JOB,
                JobSpec::new("x", vec![gang.clone()]),
            );
            submitted = Some(world.now);
        }
        let started = world.starts.keys().any(|task| task.step.job == SOUND_JOB);
        if let Some(at) = submitted.filter(|_| !started) {
            let waited = world.now.saturating_sub(at);
            assert!(waited < MAX_WAIT, "the gang waits for {waited:?}");
        }
    }
}

/// Jobs whose estimates are far too low overran at every agent, which excluded all of them for as long as these jobs
/// ran. A job of another queue waited beside agents that had room.
#[test]
fn jobs_that_run_too_long_by_their_own_fault_keep_no_other_job_waiting() {
    let mut world = World::new(6, 10);
    add_queue(&mut world, SOUND_QUEUE);
    world.submit(90_000, JobSpec::new("x", vec![step(80, 1, 500)]));
    world.until("estimates are known to be right", ms(10_000), |world| {
        world.state(90_000) == Some(JobState::Completed)
    });
    for job in 1..=18 {
        world.run_times.insert(job, ms(25_000));
        world.submit(job, JobSpec::new("x", vec![step(1, 2, 300)]));
    }
    for round in 0..20 {
        world.pass(ms(700));
        let took = run_sound_job(&mut world, SOUND_JOB + round, step(1, 1, 200));
        assert!(took < MAX_WAIT, "round {round}: {took:?}");
    }
}

/// Agents that fail all they start have to be told from sound ones: without exclusions, jobs that are placed there
/// again and again fail for good.
#[test]
fn agents_that_fail_all_they_start_are_excluded() {
    let (mut failed, mut hits) = (0, 0);
    for seed in 11..15 {
        let mut world = World::new(8, seed);
        world.pass(ms(500));
        let ids: Vec<_> = world.agents.keys().take(2).cloned().collect();
        let mut job = 0;
        for tick in 0..600 {
            if tick == 100 {
                for id in &ids {
                    world.agents.get_mut(id).unwrap().fails_until = world.now + ms(6500);
                }
            }
            job += 1;
            world.submit(job, JobSpec::new("x", vec![step(2, 1, 300)]));
            world.pass(ms(20));
        }
        world.until("all jobs have ended", ms(30_000), |world| {
            (1..=job).all(|job| {
                matches!(
                    world.state(job),
                    None | Some(JobState::Completed | JobState::Failed)
                )
            })
        });
        let lost = (1..=job).filter(|job| world.state(*job) == Some(JobState::Failed));
        failed += lost.count();
        hits += world.starts.values().filter(|starts| **starts > 1).count();
    }
    assert_eq!(failed, 0, "{hits} tasks were started more than once");
    assert!(hits > 0, "agents failed tasks");
}

/// A task that failed was started again at the same agent, which fails all it starts, until its job had failed for
/// good. Nothing showed that the agent was the cause, as no other one was tried.
#[test]
fn a_task_that_failed_at_an_agent_is_tried_at_another() {
    for seed in 21..25 {
        let mut world = World::new(4, seed);
        world.submit(90_000, JobSpec::new("x", vec![long_running(1, 4)]));
        world.until("it runs", ms(5000), |world| world.runs(90_000).len() == 1);
        // Batch tasks go beside what lasts first.
        let (id, _) = world.runs(90_000).remove(0);
        world.agents.get_mut(&id).unwrap().fails_until = world.now + ms(5000);
        for job in 1..=2 {
            world.submit(job, JobSpec::new("x", vec![step(1, 1, 200)]));
            world.until("the job is completed", ms(5000), |world| {
                world.state(job) == Some(JobState::Completed)
            });
        }
    }
}
