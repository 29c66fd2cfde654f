//! Placement of batch jobs in data centres, and the loss of one.
//!
//! A job of 13 tasks that is spread over three data centres is hit by the loss of any of them. The
//! worlds here have three data centres with a pool that lies in all of them.

use std::collections::{BTreeMap, BTreeSet};

use egretpin::core::{
    types::{MinionId, Name},
    workload::{
        command::{Command, Placement},
        job::{JobState, TaskId},
        spec::JobSpec,
    },
};

use crate::world::{CENTRES, OTHER_POOL, POOL, World, long_running, ms, step};

/// A world in which each host of the pool stays there, and runs a task that takes long if `busy`.
fn world_of(hosts: u32, seed: u64, busy: bool) -> World {
    let mut world = World::with_centres(usize::try_from(hosts).unwrap(), seed, true);
    // A pool without hosts would be given one.
    world.add_host("h1000", OTHER_POOL);
    world.pass(ms(2000));
    if busy {
        let mut apart = step(hosts, 1, 20_000);
        apart.per_host = Some(1);
        world.submit(1000, JobSpec::new("x", vec![apart]));
        world.until("all hosts are busy", ms(1000), |world| {
            world.runs(1000).len() == usize::try_from(hosts).unwrap()
        });
    }
    world
}

/// A job of 13 tasks in two steps that take so many milliseconds. The tasks of the first step don't
/// fit on fewer than four hosts.
fn job_of_13(millis: u64) -> JobSpec {
    let mut last = step(5, 1, millis);
    last.after = vec![0];
    JobSpec::new("x", vec![step(8, 4, millis), last])
}

fn placements(world: &World) -> impl Iterator<Item = &Placement> {
    let rounds = world.committed.iter().filter_map(|command| match command {
        Command::Round(round) => Some(round),
        _ => None,
    });
    rounds.flat_map(|round| &round.starts)
}

/// The data centre of each attempt of a job, by task.
fn centres_of(world: &World, job: u64) -> BTreeMap<TaskId, Name> {
    let own = placements(world).filter(|placed| placed.task.step.job == job);
    let placed = own.map(|placed| {
        let agent = &world.agents[&placed.agent];
        (placed.task, agent.record.data_centre.clone())
    });
    placed.collect()
}

/// The number of tasks of a job in each data centre.
fn tasks_by_centre(world: &World, job: u64) -> BTreeMap<Name, usize> {
    let mut counts = BTreeMap::new();
    for centre in centres_of(world, job).into_values() {
        *counts.entry(centre).or_default() += 1;
    }
    counts
}

/// The agents of a data centre.
fn agents_in(world: &World, centre: &str) -> Vec<MinionId> {
    let agents = world.agents.iter();
    let there = agents.filter(|(_, agent)| &*agent.record.data_centre == centre);
    there.map(|(id, _)| id.clone()).collect()
}

/// The jobs of these that run a task at any of the agents.
fn jobs_at(world: &World, jobs: impl Iterator<Item = u64>, agents: &[MinionId]) -> Vec<u64> {
    let hit = jobs.filter(|job| {
        let runs = world.runs(*job);
        runs.iter().any(|(agent, _)| agents.contains(agent))
    });
    hit.collect()
}

// Guards against jobs that the loss of any data centre hits, and against a rule that puts all jobs
// into the same one.
#[test]
fn each_job_lies_in_one_data_centre_and_jobs_are_spread_evenly() {
    const JOBS: u64 = 30;
    let mut world = World::with_centres(72, 1, true);
    world.pass(ms(2000));
    for job in 1..=JOBS {
        world.submit(job, job_of_13(400));
        world.pass(ms(100));
    }
    world.until("all jobs complete", ms(5000), |world| {
        (1..=JOBS).all(|job| world.state(job) == Some(JobState::Completed))
    });
    let mut jobs: BTreeMap<Name, u64> = BTreeMap::new();
    for job in 1..=JOBS {
        let counts = tasks_by_centre(&world, job);
        assert_eq!(counts.len(), 1, "job {job}: {counts:?}");
        *jobs.entry(counts.into_keys().next().unwrap()).or_default() += 1;
    }
    let even = JOBS / u64::try_from(CENTRES.len()).unwrap();
    assert!(
        jobs.len() == CENTRES.len() && jobs.values().all(|jobs| jobs.abs_diff(even) <= 3),
        "{jobs:?}"
    );
}

// Guards against a cut that makes nearly all jobs in flight late.
#[test]
fn a_lost_data_centre_hits_a_third_of_the_jobs_in_flight() {
    const JOBS: u64 = 12;
    let hit = |colocate_jobs| {
        let mut world = World::with_centres(72, 2, colocate_jobs);
        world.pass(ms(2000));
        for job in 1..=JOBS {
            world.submit(job, job_of_13(3000));
            world.pass(ms(20));
        }
        world.pass(ms(500));
        let lost = agents_in(&world, CENTRES[1]);
        let hit = jobs_at(&world, 1..=JOBS, &lost);
        for agent in &lost {
            world.disconnect(agent, ms(20_000));
        }
        world.until("all jobs complete", ms(25_000), |world| {
            (1..=JOBS).all(|job| world.state(job) == Some(JobState::Completed))
        });
        u64::try_from(hit.len()).unwrap()
    };
    let (colocated, spread) = (hit(true), hit(false));
    assert!(
        colocated.abs_diff(JOBS / 3) <= 1 && spread * 2 > JOBS,
        "{colocated} of {JOBS} jobs are hit, {spread} if they are spread"
    );
}

// Guards against starts at agents whose failure just hasn't shown yet.
#[test]
fn nothing_new_is_placed_in_a_data_centre_that_is_cut_off() {
    let mut world = world_of(24, 3, true);
    let agents = agents_in(&world, CENTRES[1]);
    // Two of its eight agents still answer.
    for agent in &agents[2..] {
        world.disconnect(agent, ms(6000));
    }
    world.pass(ms(2000));
    let before = world.committed.len();
    // More tasks than the other data centres have room for at once.
    for job in 101..=115 {
        world.submit(job, JobSpec::new("x", vec![step(13, 1, 200)]));
    }
    world.until("new jobs complete during the cut", ms(2000), |world| {
        (101..=115).all(|job| world.state(job) == Some(JobState::Completed))
    });
    let new: Vec<_> = world.committed.split_off(before);
    let rounds = new.iter().filter_map(|command| match command {
        Command::Round(round) => Some(round),
        _ => None,
    });
    for placed in rounds.flat_map(|round| &round.starts) {
        assert!(!agents.contains(&placed.agent), "{placed:?}");
    }
    // It is used again when its agents answer again.
    world.pass(ms(10_000));
    for job in 201..=230 {
        world.submit(job, job_of_13(300));
    }
    world.until("new jobs run there", ms(2000), |world| {
        !jobs_at(world, 201..=230, &agents).is_empty()
    });
}

// Guards against a leader that places nothing at all when most agents of all data centres fail, as
// when its own network is the cause.
#[test]
fn where_all_data_centres_are_cut_off_the_agents_that_answer_are_used() {
    let mut world = world_of(12, 4, true);
    for centre in CENTRES {
        for agent in &agents_in(&world, centre)[1..] {
            world.disconnect(agent, ms(4000));
        }
    }
    world.pass(ms(2000));
    world.submit(101, JobSpec::new("x", vec![step(2, 1, 300)]));
    world.until("a job completes", ms(1500), |world| {
        world.state(101) == Some(JobState::Completed)
    });
}

// Guards against tasks that wait for their data centre while another has room, and against an
// overflow that is spread over more data centres than it needs.
#[test]
fn a_full_data_centre_makes_no_task_wait() {
    // Each data centre has room for 32 tasks.
    let mut world = world_of(12, 5, false);
    world.submit(1, JobSpec::new("x", vec![step(40, 1, 3000)]));
    world.until("all 40 tasks run", ms(200), |world| {
        world.runs(1).len() == 40
    });
    let counts: BTreeSet<_> = tasks_by_centre(&world, 1).into_values().collect();
    assert_eq!(counts, BTreeSet::from([8, 32]));
    // The data centres together have room for 56 more.
    world.submit(2, JobSpec::new("x", vec![step(56, 1, 1000)]));
    world.until("all 56 tasks run", ms(200), |world| {
        world.runs(2).len() == 56
    });
}

// Guards against a new leader that doesn't know where jobs of its predecessor are.
#[test]
fn a_job_stays_in_its_data_centre_across_a_leader_change() {
    const JOBS: u64 = 9;
    let mut world = World::with_centres(72, 6, true);
    world.pass(ms(2000));
    for job in 1..=JOBS {
        world.submit(job, job_of_13(1500));
    }
    world.until("all first steps run", ms(500), |world| {
        (1..=JOBS).all(|job| world.runs(job).len() == 8)
    });
    world.depose();
    world.pass(ms(200));
    world.lead();
    world.until("all jobs complete", ms(8000), |world| {
        (1..=JOBS).all(|job| world.state(job) == Some(JobState::Completed))
    });
    for job in 1..=JOBS {
        let mut placed: BTreeMap<Name, usize> = BTreeMap::new();
        for task in world
            .ledger
            .job(job)
            .into_iter()
            .flat_map(|_| centres_of(&world, job))
        {
            *placed.entry(task.1).or_default() += 1;
        }
        assert_eq!(placed.len(), 1, "job {job}: {placed:?}");
        assert_eq!(placed.into_values().sum::<usize>(), 13, "job {job}");
    }
}

// Guards against a job that is convicted for hosts that a rack or a data centre takes along: the job stayed
// there, and each further host that was lost counted as evidence against it.
#[test]
fn a_job_that_lost_a_host_does_not_stay_in_its_data_centre() {
    let mut world = World::with_centres(36, 6, true);
    world.pass(ms(2000));
    world.submit(1, job_of_13(1500));
    world.until("the first step runs", ms(500), |world| {
        world.runs(1).len() == 8
    });
    let before = tasks_by_centre(&world, 1);
    assert_eq!(before.len(), 1, "{before:?}");
    let centres: BTreeMap<_, _> = CENTRES
        .iter()
        .flat_map(|centre| {
            agents_in(&world, centre)
                .into_iter()
                .map(|id| (id, *centre))
        })
        .collect();
    let (lost, _) = world.runs(1).remove(0);
    world.crash(&lost);
    world.until("the job completes", ms(15_000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    let own = placements(&world).filter(|placed| placed.task.step.job == 1);
    let used: BTreeSet<_> = own
        .filter_map(|placed| centres.get(&placed.agent))
        .collect();
    assert!(used.len() > 1, "{used:?}");
}

// Guards against a second step that follows its job rather than its data.
#[test]
fn the_rack_of_the_data_goes_before_the_data_centre() {
    let mut world = World::with_centres(12, 7, true);
    world.pass(ms(2000));
    for job in 1..=3 {
        let mut last = step(3, 1, 300);
        last.after = vec![0];
        // Racks 0 to 2 are in one data centre each.
        last.data_rack = Some(format!("r{}", job % 3).into());
        world.submit(job, JobSpec::new("x", vec![step(3, 1, 300), last]));
    }
    world.until("all jobs complete", ms(4000), |world| {
        (1..=3).all(|job| world.state(job) == Some(JobState::Completed))
    });
    for job in 1..=3 {
        let last = centres_of(&world, job);
        let last = last.into_iter().filter(|(task, _)| task.step.step == 1);
        let expected = CENTRES[usize::try_from(job).unwrap() % 3];
        for (task, centre) in last {
            assert_eq!(&*centre, expected, "{task}");
        }
    }
}

// Guards against long-running tasks that are all lost with one data centre.
#[test]
fn long_running_tasks_are_placed_as_without_the_rule() {
    let placed = |colocate_jobs| {
        let mut world = World::with_centres(12, 8, colocate_jobs);
        world.pass(ms(2000));
        world.submit(1, JobSpec::new("x", vec![long_running(6, 2)]));
        world.until("all run", ms(1000), |world| world.runs(1).len() == 6);
        placements(&world).cloned().collect::<Vec<_>>()
    };
    assert_eq!(placed(true), placed(false));
}

// Guards against any effect on deployments with one data centre, or whose agents don't state it.
#[test]
fn with_one_known_data_centre_decisions_are_as_without_the_rule() {
    let commands = |centre: &str, colocate_jobs| {
        let mut world = World::new(0, 9);
        world.colocate_jobs = colocate_jobs;
        for host in 0..8 {
            world.add_host_in(centre, &format!("h{host}"), POOL);
        }
        world.lead();
        world.pass(ms(2000));
        for job in 1..=20 {
            world.submit(job, job_of_13(400));
            world.pass(ms(50));
        }
        let lost: Vec<_> = world.agents.keys().take(5).cloned().collect();
        for agent in &lost {
            world.disconnect(agent, ms(3000));
        }
        world.pass(ms(10_000));
        world.committed
    };
    for centre in [CENTRES[0], ""] {
        assert_eq!(commands(centre, true), commands(centre, false));
    }
}

// Guards against jobs that are kept at the few agents without a known data centre.
#[test]
fn agents_without_a_data_centre_are_used_after_the_others() {
    let mut world = world_of(6, 10, false);
    for host in 6..9 {
        world.add_host_in("", &format!("h{host}"), POOL);
    }
    world.pass(ms(2000));
    // Three data centres with 16 cores each, and 24 cores elsewhere.
    for job in 1..=3 {
        world.submit(job, JobSpec::new("x", vec![step(16, 1, 2000)]));
    }
    world.until("the data centres are full", ms(300), |world| {
        (1..=3).all(|job| world.runs(job).len() == 16)
    });
    for job in 1..=3 {
        let counts = tasks_by_centre(&world, job);
        assert!(counts.len() == 1 && !counts.contains_key(""), "{counts:?}");
    }
    world.submit(4, JobSpec::new("x", vec![step(24, 1, 500)]));
    world.until("the rest is used", ms(300), |world| {
        world.runs(4).len() == 24
    });
}

/// Visits for each start of jobs of eight tasks that take so long, on a fleet of 300 hosts.
fn visits_per_start(colocate_jobs: bool, millis: u64, jobs: u64) -> f64 {
    let mut world = World::with_centres(300, 11, colocate_jobs);
    world.pass(ms(2000));
    world.visits = 0;
    for job in 1..=jobs {
        world.submit(job, JobSpec::new("x", vec![step(8, 1, millis)]));
        world.pass(ms(10));
    }
    world.pass(ms(1000));
    world.visits as f64 / world.sent["start"] as f64
}

// Guards against a rule that costs the leader more time for each start.
#[test]
fn starts_visit_no_more_agents_than_without_the_rule() {
    // A fleet with room, and one that is overloaded.
    for (millis, jobs) in [(400, 100), (4000, 400)] {
        let (kept, spread) = (
            visits_per_start(true, millis, jobs),
            visits_per_start(false, millis, jobs),
        );
        assert!(
            kept <= spread,
            "{kept:.1} visits per start, {spread:.1} without the rule, {jobs} jobs"
        );
    }
}
