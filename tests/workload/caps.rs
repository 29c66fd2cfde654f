//! Workspaces that submit more work than their caps let run at once.
//!
//! Guards against caps that are declared but not enforced, as happened when the catalog's caps weren't read. The
//! simulated worlds sum up what agents run at every start.

use egretpin::core::workload::{
    command::Command, job::JobState, scheduler::Protections, spec::JobSpec,
};

use crate::{
    faults::{ALL_FAULTS, play_with},
    world::{OTHER_POOL, POOL, World, long_running, ms, step},
};

const OWNER: &str = "greenhouse";
const NEIGHBOUR: &str = "nursery";
/// The number of simulated worlds of each kind.
const SEEDS: u64 = 24;

/// A world whose jobs belong to a workspace with a cap of `cores` cores.
fn capped(hosts: usize, seed: u64, cores: u64) -> World {
    let mut world = World::new(hosts, seed);
    world.workspace = Some(OWNER.into());
    world.set_cap(OWNER, cores);
    world
}

fn completed(world: &World, job: u64) -> bool {
    world.state(job) == Some(JobState::Completed)
}

/// Guards against starting all tasks of a step at once if together they exceed the cap.
#[test]
fn a_step_wider_than_the_cap_runs_in_parts() {
    let mut world = capped(4, 1, 4);
    world.submit(1, JobSpec::new("x", vec![step(12, 1, 300)]));
    let mut most = 0;
    while !completed(&world, 1) {
        world.pass(ms(5));
        most = most.max(world.running_millicores(OWNER));
        // Three parts of 1.3 times the estimate each, with the time for commits, orders and polls.
        assert!(world.now < ms(1000 + 3 * 390 + 3 * 150), "{:?}", world.now);
    }
    assert_eq!((most, world.cap_excess), (4000, 0));
}

/// Guards against a task that exceeds the cap by itself waiting forever.
#[test]
fn a_task_that_exceeds_the_cap_runs_alone() {
    let mut world = capped(4, 2, 2);
    world.submit(1, JobSpec::new("x", vec![step(3, 4, 300)]));
    world.until("all have run", ms(3000), |world| {
        assert!(world.running_millicores(OWNER) <= 4000);
        completed(world, 1)
    });
}

/// Guards against starting a part of a gang that then waits for the rest.
#[test]
fn a_gang_counts_as_a_whole() {
    let mut world = capped(4, 3, 6);
    let mut gang = step(4, 1, 800);
    gang.gang = true;
    world.submit(1, JobSpec::new("x", vec![step(4, 1, 800)]));
    world.until("the first one runs", ms(500), |world| {
        world.runs(1).len() == 4
    });
    world.submit(2, JobSpec::new("x", vec![gang]));
    world.until("the gang has run", ms(4000), |world| {
        assert!([0, 4].contains(&world.runs(2).len()) || completed(world, 1));
        completed(world, 2)
    });
    assert_eq!(world.cap_excess, 0);
    // A gang that can never run within the cap waits, and delays no other job.
    let mut gang = step(12, 1, 300);
    gang.gang = true;
    world.submit(3, JobSpec::new("x", vec![gang]));
    world.submit(4, JobSpec::new("x", vec![step(2, 1, 300)]));
    world.until("another is done", ms(1500), |world| completed(world, 4));
    assert_eq!((world.runs(3).len(), world.cap_excess), (0, 0));
}

/// Guards against tasks that wait for the cap of one workspace delaying those of another.
#[test]
fn a_workspace_at_its_cap_delays_no_other() {
    let mut world = capped(4, 4, 2);
    for job in 1..=30 {
        world.submit(job, JobSpec::new("x", vec![step(4, 1, 1000)]));
    }
    world.pass(ms(1000));
    world.workspace = Some(NEIGHBOUR.into());
    world.submit(100, JobSpec::new("x", vec![step(20, 1, 500)]));
    world.until("the other's job is done", ms(900), |world| {
        completed(world, 100)
    });
    assert_eq!(world.cap_excess, 0);
}

/// Guards against stopping running tasks when a cap is lowered, and against starting more beside them.
#[test]
fn a_lowered_cap_stops_nothing_and_starts_nothing_until_it_fits() {
    let mut world = capped(4, 5, 12);
    world.submit(1, JobSpec::new("x", vec![step(12, 1, 2000)]));
    world.until("it runs", ms(500), |world| world.runs(1).len() == 12);
    world.set_cap(OWNER, 3);
    world.submit(2, JobSpec::new("x", vec![step(6, 1, 300)]));
    let mut least = 12_000;
    while !completed(&world, 1) {
        world.pass(ms(5));
        let (first, second) = (world.runs(1).len(), world.runs(2).len());
        assert!(
            second == 0 || first + second <= 3,
            "{first} and {second} run"
        );
        least = least.min(world.running_millicores(OWNER));
    }
    assert_eq!(world.sent.get("stop"), None);
    world.until("the rest is done", ms(3000), |world| completed(world, 2));
    world.set_cap(OWNER, 0);
    world.submit(3, JobSpec::new("x", vec![step(24, 1, 500)]));
    world.until("without a cap all run", ms(500), |world| {
        world.runs(3).len() == 24
    });
}

/// Guards against moving hosts to a pool for tasks that a cap doesn't let start.
#[test]
fn tasks_that_wait_for_a_cap_move_no_host() {
    let mut world = capped(2, 6, 8);
    for host in 10..18 {
        world.add_host(&format!("h{host}"), OTHER_POOL);
    }
    world.pass(ms(1500));
    for job in 1..=20 {
        world.submit(job, JobSpec::new("x", vec![step(8, 2, 1000)]));
    }
    world.pass(ms(3000));
    assert_eq!(world.moves, 0, "two hosts hold twice what the cap lets run");
    let hosts = world.hosts.values();
    assert_eq!(hosts.filter(|host| &*host.pool == POOL).count(), 2);
}

/// Guards against long-running tasks that exceed their workspace's cap, and against hosts kept for tasks that
/// may not run.
#[test]
fn long_running_tasks_run_up_to_the_cap() {
    // One host more than tasks that may run, so that one of them can be moved there.
    let mut world = capped(4, 7, 3);
    world.submit(1, JobSpec::new("x", vec![long_running(10, 1)]));
    for host in 10..20 {
        world.add_host(&format!("h{host}"), OTHER_POOL);
    }
    world.pass(ms(4000));
    assert_eq!(
        (world.runs(1).len(), world.cap_excess, world.moves),
        (3, 0, 0)
    );
    world.propose(Command::Cancel(1));
    world.submit(2, JobSpec::new("x", vec![long_running(3, 1)]));
    world.until("the stopped tasks free the cap", ms(2500), |world| {
        world.runs(2).len() == 3
    });
    assert_eq!(world.cap_excess, 0);
}

/// Simulates failures of every kind while a cap changes, and returns by how much the cap was exceeded.
fn trouble(seed: u64, protections: Protections) -> u64 {
    let mut world = capped(6, seed, 12);
    world.protections = protections;
    // An attempt that is abandoned too early runs twice at once. Here the check of the cap has to detect it.
    world.relaxed_checks = !protections.inherit;
    world.lead();
    let change = |world: &mut World, job: u64| {
        if job.is_multiple_of(4) {
            let caps = [12, 5, 20, 9];
            world.set_cap(OWNER, caps[usize::try_from(job / 4).unwrap() % caps.len()]);
        }
    };
    play_with(world, seed, ALL_FAULTS, true, change).cap_excess
}

/// A cap holds through changes of the leader, late orders, partitions and lost answers.
#[test]
fn no_failure_lets_a_task_start_beyond_a_cap() {
    for seed in 0..SEEDS {
        assert_eq!(trouble(seed, Protections::default()), 0, "seed {seed}");
    }
}

/// Shows that the check above detects a leader that doesn't count tasks against caps.
#[test]
fn without_counting_caps_are_exceeded() {
    let off = Protections {
        caps: false,
        ..Protections::default()
    };
    assert!((0..SEEDS).any(|seed| trouble(seed, off) > 0));
}

/// Shows that the check above detects a leader that ignores what its predecessor placed.
#[test]
fn a_leader_that_ignores_inherited_placements_exceeds_a_cap() {
    let off = Protections {
        inherit: false,
        ..Protections::default()
    };
    assert!((0..SEEDS).any(|seed| trouble(seed, off) > 0));
}
