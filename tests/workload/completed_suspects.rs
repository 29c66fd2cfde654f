//! Suspects that turn out to have been done by an attempt that was given up.
//!
//! Each world has an agent that is cut off with a task, which is done there. Its lease runs out, two hosts
//! end under the next attempts, and none is left for another. Then the first agent is heard again.

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

use crate::world::{OTHER, World, ms, step};

/// A task takes a whole host.
const CORES: u64 = 8;
/// How long a task takes.
const WORK: u64 = 1500;
/// How long a task is at work before its host ends.
const BEFORE: Duration = ms(300);
/// How long hosts that end and agents that are cut off are away.
const AWAY: Duration = ms(60_000);
/// Within which an attempt begins.
const BEGIN: Duration = ms(2000);
/// Within which one follows whose agent is cut off: the longest lease, and what is added to it.
const LEASE: Duration = ms(9000);
/// Within which the ends of hosts are known.
const KNOWN: Duration = ms(2000);
/// Within which jobs go on whose suspect is done.
const SOON: Duration = ms(8000);

/// A step of so many tasks after some others.
fn after(tasks: u32, steps: &[u16]) -> StepSpec {
    StepSpec {
        after: steps.to_vec(),
        ..step(tasks, CORES, WORK)
    }
}

/// The agents that run tasks of a step of a job.
fn at(world: &World, job: u64, step: u16) -> Vec<MinionId> {
    let runs = world.runs(job).into_iter();
    let runs = runs.filter(|(_, task)| task.step.step == step);
    runs.map(|(agent, _)| agent).collect()
}

/// Lets time pass until so many tasks of a step are at work, at agents that get through.
fn begun(world: &mut World, job: u64, step: u16, tasks: usize, limit: Duration) -> Vec<MinionId> {
    let what = format!("{tasks} tasks of step {step} of job {job} run");
    world.until(&what, limit, |world| at(world, job, step).len() == tasks);
    at(world, job, step)
}

/// Has the agents of a step's tasks cut off; they do their work.
fn silence(world: &mut World, job: u64, step: u16, tasks: usize) -> Vec<MinionId> {
    let silent = begun(world, job, step, tasks, BEGIN);
    for agent in &silent {
        world.cut(agent, AWAY);
    }
    world.pass(ms(WORK * 2));
    silent
}

/// Has the hosts end on which the next attempts of some steps' tasks run.
fn strike(world: &mut World, steps: &[(u64, u16)], tasks: usize) {
    let mut agents = Vec::new();
    for (job, step) in steps {
        agents.extend(begun(world, *job, *step, tasks, LEASE));
    }
    world.pass(BEFORE);
    for agent in agents {
        world.restart(&agent);
    }
}

/// Two hosts end under each task of a step of the first job.
fn condemn(world: &mut World, step: u16, tasks: usize) {
    strike(world, &[(1, step)], tasks);
    strike(world, &[(1, step)], tasks);
    wait(world, tasks);
    assert!(at(world, 1, step).is_empty(), "no host is left");
}

/// The ends of hosts are known, and so many tasks are suspected.
fn wait(world: &mut World, suspects: usize) {
    world.pass(KNOWN);
    let scheduler = world.scheduler.as_ref().expect("a leader");
    assert_eq!(scheduler.suspected(), suspects);
}

/// The agents that were cut off are heard again.
fn hear(world: &mut World, silent: &[MinionId]) {
    for agent in silent {
        world.cut(agent, Duration::ZERO);
    }
}

/// The jobs go on to their ends.
fn complete(world: &mut World, jobs: &[u64], limit: Duration) {
    world.until("the jobs are completed", limit, |world| {
        let mut jobs = jobs.iter();
        jobs.all(|job| world.state(*job) == Some(JobState::Completed))
    });
}

fn world(hosts: usize) -> World {
    let mut world = World::new(hosts, 1);
    world.away = AWAY;
    // Or one of the others would be moved there.
    world.host("h100", OTHER);
    world
}

/// A suspect in the middle of a job kept the steps after it from being started.
#[test]
fn a_step_follows_a_suspect_completed_by_an_earlier_attempt() {
    let mut world = world(3);
    let steps = vec![after(1, &[]), after(1, &[0]), after(1, &[1])];
    world.submit(1, JobSpec::new("x", steps));
    let silent = silence(&mut world, 1, 1, 1);
    condemn(&mut world, 1, 1);
    hear(&mut world, &silent);
    complete(&mut world, &[1], SOON);
}

/// The last task of a job ends it, and the job isn't waited for.
#[test]
fn a_job_ends_with_a_suspect_completed_by_an_earlier_attempt() {
    let mut world = world(3);
    let steps = vec![after(1, &[]), after(1, &[0])];
    world.submit(1, JobSpec::new("x", steps));
    let silent = silence(&mut world, 1, 1, 1);
    condemn(&mut world, 1, 1);
    hear(&mut world, &silent);
    complete(&mut world, &[1], SOON);
}

/// The last task of an occurrence kept the next one from being started.
#[test]
fn an_occurrence_follows_a_suspect_completed_by_an_earlier_attempt() {
    let mut world = world(3);
    let mut spec = JobSpec::new("x", vec![after(1, &[])]);
    spec.recurrence = Some(Recurrence {
        first: world.now,
        interval: LEASE + KNOWN * 2,
        count: 2,
    });
    world.submit(1, spec);
    let silent = silence(&mut world, 1, 0, 1);
    condemn(&mut world, 0, 1);
    hear(&mut world, &silent);
    complete(&mut world, &[1], LEASE + SOON);
}

/// A gang whose members are suspected kept the steps after it from being started.
#[test]
fn a_step_follows_a_suspected_gang_completed_by_an_earlier_attempt() {
    let mut world = world(6);
    let mut gang = after(2, &[]);
    gang.gang = true;
    world.submit(1, JobSpec::new("x", vec![gang, after(1, &[0])]));
    let silent = silence(&mut world, 1, 0, 2);
    condemn(&mut world, 0, 2);
    hear(&mut world, &silent);
    complete(&mut world, &[1], SOON);
}

/// A suspect that no step follows kept other steps of its job from being started.
#[test]
fn other_steps_go_on_beside_a_suspect_completed_by_an_earlier_attempt() {
    let mut world = world(4);
    let mut long = after(1, &[]);
    long.estimate = LEASE + KNOWN * 3;
    world.submit(
        1,
        JobSpec::new("x", vec![after(1, &[]), long, after(1, &[1])]),
    );
    let silent = silence(&mut world, 1, 0, 1);
    condemn(&mut world, 0, 1);
    hear(&mut world, &silent);
    complete(&mut world, &[1], LEASE * 2);
}

/// A suspect that was done kept its job and other suspect jobs waiting.
#[test]
fn suspect_jobs_go_on_beside_a_suspect_completed_by_an_earlier_attempt() {
    let mut world = world(4);
    let steps = vec![after(1, &[]), after(1, &[0])];
    world.submit(1, JobSpec::new("x", steps));
    let silent = silence(&mut world, 1, 0, 1);
    strike(&mut world, &[(1, 0)], 1);
    begun(&mut world, 1, 0, 1, LEASE);
    world.submit(2, JobSpec::new("x", vec![after(1, &[])]));
    strike(&mut world, &[(1, 0), (2, 0)], 1);
    wait(&mut world, 2);
    hear(&mut world, &silent);
    complete(&mut world, &[1, 2], SOON);
}

/// A start that was decided before its occurrence ended was decided again and again.
#[test]
fn a_start_committed_after_the_end_of_its_occurrence_is_forgotten() {
    let mut world = world(1);
    let mut spec = JobSpec::new("x", vec![after(1, &[])]);
    spec.recurrence = Some(Recurrence {
        first: world.now,
        interval: AWAY,
        count: 2,
    });
    world.submit(1, spec);
    let agent = begun(&mut world, 1, 0, 1, BEGIN).remove(0);
    let (_, task) = world.runs(1).remove(0);
    world.until("the first occurrence is through", BEGIN, |world| {
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
    world.pass(KNOWN);
    let waiting = world.scheduler.as_ref().map(Scheduler::waiting);
    assert_eq!(waiting, Some(0));
}
