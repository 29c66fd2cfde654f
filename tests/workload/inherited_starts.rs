//! Leaders that end between the commit of starts and their sending, while many hosts crash.
//!
//! A new leader knows from the log which attempts were decided. It can't know from that which of them were
//! ever sent. In the simulations here no task crashes a host.

use std::{collections::BTreeSet, time::Duration};

use egretpin::core::{
    types::MinionId,
    workload::{
        command::Command, job::JobState, job::TaskId, spec::JobSpec, suspicion::CrashedTask,
    },
};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

use crate::world::{OTHER_POOL, OTHER_QUEUE, World, ms, step};

const SEEDS: std::ops::Range<u64> = 0..12;
/// The hosts of the pool, and the jobs. A job's tasks take most of a host each.
const HOSTS: usize = 30;
const JOBS: std::ops::RangeInclusive<u64> = 1..=5;
const TASKS: u32 = 4;
const TASK_CORES: u64 = 5;
const TASK_MILLIS: u64 = 30_000;
/// The share of the hosts that crash together, in the tests of takeovers and in larger crowds.
const CRASHED_SHARE: f64 = 0.2;
const LARGE_SHARE: f64 = 0.3;

/// The time to a commit while the disk is slow.
const SLOW_COMMIT: Duration = ms(400);

/// How often hosts crash together in larger crowds, one leader all the time.
const CROWDS: usize = 2;

/// When the hosts crash, relative to the takeover.
#[derive(Clone, Copy, Debug)]
enum CrashTime {
    Before(Duration),
    After(Duration),
    /// As many hosts crash as often under one leader.
    WithoutTakeover(Duration),
}

/// Crashes these agents, and others until this share of the hosts is down.
fn crash_many(world: &mut World, rng: &mut Pcg64Mcg, first: &BTreeSet<MinionId>, share: f64) {
    let mut others: Vec<_> = world
        .agents
        .keys()
        .filter(|id| !first.contains(*id))
        .cloned()
        .collect();
    others.shuffle(rng);
    let count = (HOSTS as f64 * share) as usize;
    let more = count.saturating_sub(first.len());
    for id in first.iter().chain(others.iter().take(more)) {
        world.restart(id);
    }
}

/// Crashes hosts once the next starts have been sent for some time.
fn crash_later(world: &mut World, rng: &mut Pcg64Mcg, time: Duration, share: f64) {
    world.await_starts(ms(5000));
    world.pass(time);
    crash_many(world, rng, &BTreeSet::new(), share);
    world.pass(ms(rng.random_range(2500..4000)));
}

/// What the log says against these attempts.
fn evidence_against(
    world: &World,
    attempts: &BTreeSet<(TaskId, MinionId)>,
) -> Vec<(MinionId, CrashedTask)> {
    let crashes = world.committed.iter().filter_map(|command| match command {
        Command::Crashed(crash) => Some(crash),
        _ => None,
    });
    let tasks =
        crashes.flat_map(|crash| crash.tasks.iter().map(|task| (crash.agent.clone(), *task)));
    tasks
        .filter(|(agent, crashed)| attempts.contains(&(crashed.task, agent.clone())))
        .collect()
}

/// A world whose hosts run tasks.
fn busy_world(seed: u64) -> (World, Pcg64Mcg) {
    let mut world = World::new(HOSTS, seed);
    world.reset_connections = true;
    world.pass(ms(3000));
    for job in JOBS {
        world.submit(
            job,
            JobSpec::new("x", vec![step(TASKS, TASK_CORES, TASK_MILLIS)]),
        );
    }
    world.pass(ms(1000));
    (world, Pcg64Mcg::seed_from_u64(seed ^ 0x57a7))
}

/// Lets the leader change between the commit of starts and their sending. Returns the world and the attempts
/// that were never sent.
fn play(seed: u64, crashes: CrashTime) -> (World, BTreeSet<(TaskId, MinionId)>) {
    let (mut world, mut rng) = busy_world(seed);
    let mut never_sent = BTreeSet::new();
    // Some tasks lose their hosts and have to be started again.
    crash_many(&mut world, &mut rng, &BTreeSet::new(), CRASHED_SHARE);
    if let CrashTime::WithoutTakeover(time) = crashes {
        crash_later(&mut world, &mut rng, time, CRASHED_SHARE);
        world.pass(ms(20_000));
        return (world, never_sent);
    }
    let decided = world.depose_before_starts(ms(5000));
    let agents: BTreeSet<_> = decided.iter().map(|start| start.agent.clone()).collect();
    never_sent.extend(decided.into_iter().map(|start| (start.task, start.agent)));
    match crashes {
        CrashTime::Before(time) if !never_sent.is_empty() => {
            crash_many(&mut world, &mut rng, &agents, CRASHED_SHARE);
            world.pass(time);
            world.lead();
        }
        CrashTime::After(time) if !never_sent.is_empty() => {
            world.pass(ms(rng.random_range(300..1000)));
            world.lead();
            world.pass(time);
            let idle = agents_without(&world, &never_sent);
            crash_many(&mut world, &mut rng, &idle, CRASHED_SHARE);
        }
        _ => {}
    }
    world.pass(ms(rng.random_range(2500..4000)));
    world.pass(ms(20_000));
    (world, never_sent)
}

/// The agents of these starts at which none of their tasks is running. A successor may have started some by
/// itself.
fn agents_without(world: &World, starts: &BTreeSet<(TaskId, MinionId)>) -> BTreeSet<MinionId> {
    let tasks: BTreeSet<_> = starts.iter().map(|(task, _)| *task).collect();
    let mut agents: BTreeSet<_> = starts.iter().map(|(_, agent)| agent.clone()).collect();
    let running = JOBS.flat_map(|job| world.runs(job));
    for (agent, _) in running.filter(|(_, task)| tasks.contains(task)) {
        agents.remove(&agent);
    }
    agents
}

fn failed_jobs(world: &World) -> Vec<u64> {
    JOBS.filter(|job| world.state(*job) == Some(JobState::Failed))
        .collect()
}

/// A start that a leader had committed and never sent counted as a task that ran and crashed its host.
#[test]
fn a_start_that_was_never_sent_is_no_evidence_to_the_next_leader() {
    let mut wrong = Vec::new();
    let mut seen = 0;
    for seed in SEEDS {
        let (world, never_sent) = play(seed, CrashTime::Before(ms(600)));
        for (agent, crashed) in evidence_against(&world, &never_sent) {
            seen += 1;
            if crashed.started || crashed.weight > 0 || crashed.timing_weight > 0 {
                wrong.push(format!("seed {seed}, {agent}: {crashed:?}"));
            }
        }
    }
    assert!(seen > 0, "no attempt that was never sent lost its host");
    let count = wrong.len();
    assert!(wrong.is_empty(), "{count} of {seen}:\n{}", wrong.join("\n"));
}

/// Harmless jobs failed because of hosts on which their tasks had never started.
#[test]
fn no_job_fails_where_leaders_end_before_they_send_starts_and_hosts_crash_before_a_takeover() {
    assert_no_job_fails(CrashTime::Before(ms(600)));
}

/// The same fault where the hosts crash right after the takeover.
#[test]
fn no_job_fails_where_leaders_end_before_they_send_starts_and_hosts_crash_after_a_takeover() {
    assert_no_job_fails(CrashTime::After(ms(1)));
    assert_no_job_fails(CrashTime::After(ms(200)));
}

fn assert_no_job_fails(crashes: CrashTime) {
    let failed: Vec<_> = SEEDS
        .map(|seed| (seed, failed_jobs(&play(seed, crashes).0)))
        .filter(|(_, failed)| !failed.is_empty())
        .collect();
    assert!(failed.is_empty(), "{crashes:?}: jobs by seed: {failed:?}");
}

/// The crashes themselves aren't what fails the jobs in the tests above.
#[test]
fn no_job_fails_where_as_many_hosts_crash_under_one_leader() {
    assert_no_job_fails(CrashTime::WithoutTakeover(ms(200)));
}

/// Harmless jobs failed where many hosts crashed together again and again, all jobs among them.
#[test]
fn no_job_fails_where_large_crowds_of_hosts_crash_under_one_leader() {
    let failed: Vec<_> = SEEDS
        .map(|seed| {
            let (mut world, mut rng) = busy_world(seed);
            for _ in 0..CROWDS {
                crash_many(&mut world, &mut rng, &BTreeSet::new(), LARGE_SHARE);
                crash_later(&mut world, &mut rng, ms(200), LARGE_SHARE);
            }
            world.pass(ms(20_000));
            (seed, failed_jobs(&world))
        })
        .filter(|(_, failed)| !failed.is_empty())
        .collect();
    assert!(failed.is_empty(), "jobs by seed: {failed:?}");
}

/// An agent whose end was being committed was judged again when the next list of hosts came.
#[test]
fn the_end_of_an_agent_is_judged_once_while_the_log_is_slow() {
    let mut repeated = Vec::new();
    for seed in SEEDS {
        let (mut world, _) = busy_world(seed);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        world.commit_delay = SLOW_COMMIT;
        crash_many(&mut world, &mut rng, &BTreeSet::new(), CRASHED_SHARE);
        world.pass(ms(5000));
        let ended = world.committed.iter().filter_map(|command| match command {
            Command::Crashed(crash) => Some(&crash.agent),
            Command::Terminated(agent) => Some(agent),
            _ => None,
        });
        let mut once = BTreeSet::new();
        let again = ended.filter(|agent| !once.insert((*agent).clone())).count();
        if again > 0 {
            repeated.push((seed, again));
        }
    }
    assert!(
        repeated.is_empty(),
        "ends committed again, by seed: {repeated:?}"
    );
}

/// How much the end of a job's only host weighs, while hosts of another pool crash. The leader that saw the
/// others crash is replaced before it sees this one, if `takeover` is set.
fn weight_in_crowd(seed: u64, takeover: bool) -> CrashedTask {
    let mut world = World::new(20, seed);
    world.reset_connections = true;
    for host in 20..40 {
        world.add_host(&format!("h{host}"), OTHER_POOL);
    }
    world.pass(ms(30_000));
    world.submit(1, JobSpec::new("x", vec![step(1, TASK_CORES, 20_000)]));
    world.submit_to(
        OTHER_QUEUE,
        2,
        JobSpec::new("x", vec![step(20, TASK_CORES, 20_000)]),
    );
    world.until("all run", ms(2000), |world| {
        world.runs(1).len() + world.runs(2).len() == 21
    });
    world.pass(ms(500));
    let (agent, _) = world.runs(1)[0].clone();
    let others: Vec<_> = world
        .runs(2)
        .into_iter()
        .map(|(id, _)| id)
        .take(12)
        .collect();
    others.iter().for_each(|id| world.restart(id));
    world.until("the other ends are committed", ms(2000), |world| {
        others.iter().all(|id| world.ledger.agent(id).is_none())
    });
    if takeover {
        world.depose();
        world.pass(ms(20));
        world.lead();
        world.pass(ms(100));
    } else {
        world.pass(ms(120));
    }
    world.restart(&agent);
    world.until("the end is committed", ms(3000), |world| {
        world.ledger.agent(&agent).is_none()
    });
    let crashed = world.committed.iter().find_map(|command| match command {
        Command::Crashed(crash) if crash.agent == agent => crash.tasks.first().copied(),
        _ => None,
    });
    crashed.expect("the end is judged")
}

/// A new leader knew of no crash before its term, so that the last hosts of a crowd seemed to crash alone.
#[test]
fn a_crowd_that_began_before_a_takeover_is_one_to_the_next_leader() {
    let weights = SEEDS.map(|seed| (weight_in_crowd(seed, true), weight_in_crowd(seed, false)));
    let heavier: Vec<_> = weights
        .filter(|(after, without)| after.weight > without.weight + 1)
        .map(|(after, without)| (after.weight, without.weight))
        .collect();
    assert!(
        heavier.is_empty(),
        "weights with and without a takeover: {heavier:?}"
    );
}
