//! Suspects that turn out to have been completed by an abandoned attempt.
//!
//! In each simulation the agent that runs a task is disconnected, and completes the task meanwhile. Its lease
//! runs out, two hosts crash under the next attempts, and no host is left for another attempt. Then the first
//! agent is connected again.

use std::time::Duration;

use egretpin::core::{
    types::MinionId,
    workload::{
        command::{Command, Placement, Round},
        job::JobState,
        scheduler::Scheduler,
        spec::{JobSpec, Recurrence, StepSpec},
    },
};

use crate::world::{OTHER_POOL, World, ms, step};

/// The cores that a task takes: those of a whole host.
const TASK_CORES: u64 = 8;
/// How long a task takes, in milliseconds.
const TASK_MILLIS: u64 = 1500;
/// How long a task runs before its host crashes.
const CRASH_DELAY: Duration = ms(300);
/// How long crashed hosts are down and agents are disconnected.
const DOWN_TIME: Duration = ms(60_000);
/// The time within which an attempt starts.
const START_LIMIT: Duration = ms(2000);
/// The time within which the next attempt starts if an agent is disconnected: the longest lease, and what is
/// added to it.
const RESTART_LIMIT: Duration = ms(9000);
/// The time within which the leader notices that hosts have crashed.
const DETECTION_LIMIT: Duration = ms(2000);
/// The time within which jobs complete once their suspect is known to be done.
const COMPLETION_LIMIT: Duration = ms(8000);

/// A step with this number of tasks, which starts after other steps.
fn step_after(tasks: u32, steps: &[u16]) -> StepSpec {
    StepSpec {
        after: steps.to_vec(),
        ..step(tasks, TASK_CORES, TASK_MILLIS)
    }
}

/// The agents that run tasks of a step of a job.
fn running_agents(world: &World, job: u64, step: u16) -> Vec<MinionId> {
    let runs = world.runs(job).into_iter();
    let runs = runs.filter(|(_, task)| task.step.step == step);
    runs.map(|(agent, _)| agent).collect()
}

/// Waits until this number of tasks of a step run, and returns their agents. Runs at disconnected agents have
/// ended by then.
fn wait_until_running(
    world: &mut World,
    job: u64,
    step: u16,
    tasks: usize,
    limit: Duration,
) -> Vec<MinionId> {
    let condition = format!("{tasks} tasks of step {step} of job {job} run");
    world.until(&condition, limit, |world| {
        running_agents(world, job, step).len() == tasks
    });
    running_agents(world, job, step)
}

/// Disconnects the agents of a step's tasks, and waits until they have done the tasks.
fn disconnect_agents(world: &mut World, job: u64, step: u16, tasks: usize) -> Vec<MinionId> {
    let disconnected = wait_until_running(world, job, step, tasks, START_LIMIT);
    for agent in &disconnected {
        world.disconnect(agent, DOWN_TIME);
    }
    world.pass(ms(TASK_MILLIS * 2));
    disconnected
}

/// Crashes the hosts on which the next attempts of some steps' tasks run.
fn crash_hosts(world: &mut World, steps: &[(u64, u16)], tasks: usize) {
    let mut agents = Vec::new();
    for (job, step) in steps {
        agents.extend(wait_until_running(world, *job, *step, tasks, RESTART_LIMIT));
    }
    world.pass(CRASH_DELAY);
    for agent in agents {
        world.restart(&agent);
    }
}

/// Crashes two hosts under each task of a step of the first job, one after the other.
fn crash_hosts_twice(world: &mut World, step: u16, tasks: usize) {
    crash_hosts(world, &[(1, step)], tasks);
    crash_hosts(world, &[(1, step)], tasks);
    assert_suspected(world, tasks);
    assert!(running_agents(world, 1, step).is_empty(), "no host is left");
}

/// Waits until the crashes are known, and asserts how many tasks are suspected.
fn assert_suspected(world: &mut World, suspects: usize) {
    world.pass(DETECTION_LIMIT);
    let scheduler = world.scheduler.as_ref().expect("a leader");
    assert_eq!(scheduler.suspected(), suspects);
}

/// Connects disconnected agents again.
fn reconnect_agents(world: &mut World, disconnected: &[MinionId]) {
    for agent in disconnected {
        world.disconnect(agent, Duration::ZERO);
    }
}

/// Waits until all the jobs are completed.
fn wait_until_completed(world: &mut World, jobs: &[u64], limit: Duration) {
    world.until("the jobs are completed", limit, |world| {
        let mut jobs = jobs.iter();
        jobs.all(|job| world.state(*job) == Some(JobState::Completed))
    });
}

fn new_world(hosts: usize) -> World {
    let mut world = World::new(hosts, 1);
    world.down_time = DOWN_TIME;
    // Without a host in the other pool, one of this pool's would be moved there.
    world.add_host("h100", OTHER_POOL);
    world
}

/// A suspect in the middle of a job kept the steps after it from being started.
#[test]
fn a_step_follows_a_suspect_completed_by_an_earlier_attempt() {
    let mut world = new_world(3);
    let steps = vec![step_after(1, &[]), step_after(1, &[0]), step_after(1, &[1])];
    world.submit(1, JobSpec::new("x", steps));
    let disconnected = disconnect_agents(&mut world, 1, 1, 1);
    crash_hosts_twice(&mut world, 1, 1);
    reconnect_agents(&mut world, &disconnected);
    wait_until_completed(&mut world, &[1], COMPLETION_LIMIT);
}

/// A suspect that was the last task of its job ends the job, and nothing waits for the job any longer.
#[test]
fn a_job_ends_with_a_suspect_completed_by_an_earlier_attempt() {
    let mut world = new_world(3);
    let steps = vec![step_after(1, &[]), step_after(1, &[0])];
    world.submit(1, JobSpec::new("x", steps));
    let disconnected = disconnect_agents(&mut world, 1, 1, 1);
    crash_hosts_twice(&mut world, 1, 1);
    reconnect_agents(&mut world, &disconnected);
    wait_until_completed(&mut world, &[1], COMPLETION_LIMIT);
}

/// A suspect that was the last task of an occurrence kept the next occurrence from being started.
#[test]
fn an_occurrence_follows_a_suspect_completed_by_an_earlier_attempt() {
    let mut world = new_world(3);
    let mut spec = JobSpec::new("x", vec![step_after(1, &[])]);
    spec.recurrence = Some(Recurrence {
        first: world.now,
        interval: RESTART_LIMIT + DETECTION_LIMIT * 2,
        count: 2,
    });
    world.submit(1, spec);
    let disconnected = disconnect_agents(&mut world, 1, 0, 1);
    crash_hosts_twice(&mut world, 0, 1);
    reconnect_agents(&mut world, &disconnected);
    wait_until_completed(&mut world, &[1], RESTART_LIMIT + COMPLETION_LIMIT);
}

/// A gang with suspected members kept the steps after it from being started.
#[test]
fn a_step_follows_a_suspected_gang_completed_by_an_earlier_attempt() {
    let mut world = new_world(6);
    let mut gang = step_after(2, &[]);
    gang.gang = true;
    world.submit(1, JobSpec::new("x", vec![gang, step_after(1, &[0])]));
    let disconnected = disconnect_agents(&mut world, 1, 0, 2);
    crash_hosts_twice(&mut world, 0, 2);
    reconnect_agents(&mut world, &disconnected);
    wait_until_completed(&mut world, &[1], COMPLETION_LIMIT);
}

/// A suspect in a step without successors kept other steps of its job from being started.
#[test]
fn other_steps_go_on_beside_a_suspect_completed_by_an_earlier_attempt() {
    let mut world = new_world(4);
    let mut long = step_after(1, &[]);
    long.estimate = RESTART_LIMIT + DETECTION_LIMIT * 3;
    world.submit(
        1,
        JobSpec::new("x", vec![step_after(1, &[]), long, step_after(1, &[1])]),
    );
    let disconnected = disconnect_agents(&mut world, 1, 0, 1);
    crash_hosts_twice(&mut world, 0, 1);
    reconnect_agents(&mut world, &disconnected);
    wait_until_completed(&mut world, &[1], RESTART_LIMIT * 2);
}

/// A completed suspect kept its own job and other suspect jobs waiting.
#[test]
fn suspect_jobs_go_on_beside_a_suspect_completed_by_an_earlier_attempt() {
    let mut world = new_world(4);
    let steps = vec![step_after(1, &[]), step_after(1, &[0])];
    world.submit(1, JobSpec::new("x", steps));
    let disconnected = disconnect_agents(&mut world, 1, 0, 1);
    crash_hosts(&mut world, &[(1, 0)], 1);
    wait_until_running(&mut world, 1, 0, 1, RESTART_LIMIT);
    world.submit(2, JobSpec::new("x", vec![step_after(1, &[])]));
    crash_hosts(&mut world, &[(1, 0), (2, 0)], 1);
    assert_suspected(&mut world, 2);
    reconnect_agents(&mut world, &disconnected);
    wait_until_completed(&mut world, &[1, 2], COMPLETION_LIMIT);
}

/// A start that was proposed before its occurrence ended was proposed again and again.
#[test]
fn a_start_committed_after_the_end_of_its_occurrence_is_forgotten() {
    let mut world = new_world(1);
    let mut spec = JobSpec::new("x", vec![step_after(1, &[])]);
    spec.recurrence = Some(Recurrence {
        first: world.now,
        interval: DOWN_TIME,
        count: 2,
    });
    world.submit(1, spec);
    let agent = wait_until_running(&mut world, 1, 0, 1, START_LIMIT).remove(0);
    let (_, task) = world.runs(1).remove(0);
    world.until("the first occurrence is completed", START_LIMIT, |world| {
        let job = world.ledger.job(1);
        job.is_some_and(|job| job.finished == 1 && job.task(task).is_none())
    });
    world.propose(Command::Round(Round {
        starts: vec![Placement {
            task,
            attempt: 2,
            agent,
        }],
        ..Round::default()
    }));
    world.pass(DETECTION_LIMIT);
    let waiting = world.scheduler.as_ref().map(Scheduler::waiting);
    assert_eq!(waiting, Some(0));
}
