//! Workspaces that ask for more than their caps let run.
//!
//! What was seen: caps bound nobody, as they weren't read. The worlds here count what agents run at every
//! start.

use egretpin::core::workload::{
    command::Command, job::JobState, scheduler::Protections, spec::JobSpec,
};

use crate::{
    faults::{ALL, play_beside},
    world::{OTHER, POOL, World, lasting, ms, step},
};

const OWNER: &str = "greenhouse";
const NEIGHBOUR: &str = "nursery";
/// Worlds that are played of each kind.
const SEEDS: u64 = 24;

/// A world in which jobs are a workspace's that may have so many cores.
fn capped(hosts: usize, seed: u64, cores: u64) -> World {
    let mut world = World::new(hosts, seed);
    world.owner = Some(OWNER.into());
    world.cap(OWNER, cores);
    world
}

fn completed(world: &World, job: u64) -> bool {
    world.state(job) == Some(JobState::Completed)
}

/// A step that is wider than the cap began whole.
#[test]
fn a_step_that_is_wider_than_the_cap_runs_in_waves() {
    let mut world = capped(4, 1, 4);
    world.submit(1, JobSpec::new("x", vec![step(12, 1, 300)]));
    let mut most = 0;
    while !completed(&world, 1) {
        world.pass(ms(5));
        most = most.max(world.running(OWNER));
        // Three waves of 1.3 times the estimate, and what commits, orders and looks take.
        assert!(world.now < ms(1000 + 3 * 390 + 3 * 150), "{:?}", world.now);
    }
    assert_eq!((most, world.beyond), (4000, 0));
}

/// A task that is greater than the cap waited for ever.
#[test]
fn a_task_that_is_greater_than_the_cap_runs_alone() {
    let mut world = capped(4, 2, 2);
    world.submit(1, JobSpec::new("x", vec![step(3, 4, 300)]));
    world.until("all have run", ms(3000), |world| {
        assert!(world.running(OWNER) <= 4000);
        completed(world, 1)
    });
}

/// A part of a gang began, and waited for the rest.
#[test]
fn a_gang_counts_whole() {
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
    assert_eq!(world.beyond, 0);
    // One that could never run within the cap waits, and holds up nothing.
    let mut gang = step(12, 1, 300);
    gang.gang = true;
    world.submit(3, JobSpec::new("x", vec![gang]));
    world.submit(4, JobSpec::new("x", vec![step(2, 1, 300)]));
    world.until("another is done", ms(1500), |world| completed(world, 4));
    assert_eq!((world.runs(3).len(), world.beyond), (0, 0));
}

/// What one workspace may not start held up another.
#[test]
fn a_workspace_at_its_cap_holds_up_no_other() {
    let mut world = capped(4, 4, 2);
    for job in 1..=30 {
        world.submit(job, JobSpec::new("x", vec![step(4, 1, 1000)]));
    }
    world.pass(ms(1000));
    world.owner = Some(NEIGHBOUR.into());
    world.submit(100, JobSpec::new("x", vec![step(20, 1, 500)]));
    world.until("the other's job is done", ms(900), |world| {
        completed(world, 100)
    });
    assert_eq!(world.beyond, 0);
}

/// A cap that fell stopped what ran, or let more start beside it.
#[test]
fn a_cap_that_falls_stops_nothing_and_starts_nothing_until_it_fits() {
    let mut world = capped(4, 5, 12);
    world.submit(1, JobSpec::new("x", vec![step(12, 1, 2000)]));
    world.until("it runs", ms(500), |world| world.runs(1).len() == 12);
    world.cap(OWNER, 3);
    world.submit(2, JobSpec::new("x", vec![step(6, 1, 300)]));
    let mut least = 12_000;
    while !completed(&world, 1) {
        world.pass(ms(5));
        let (first, second) = (world.runs(1).len(), world.runs(2).len());
        assert!(
            second == 0 || first + second <= 3,
            "{first} and {second} run"
        );
        least = least.min(world.running(OWNER));
    }
    assert_eq!(world.sent.get("stop"), None);
    world.until("the rest is done", ms(3000), |world| completed(world, 2));
    world.cap(OWNER, 0);
    world.submit(3, JobSpec::new("x", vec![step(24, 1, 500)]));
    world.until("without a cap all run", ms(500), |world| {
        world.runs(3).len() == 24
    });
}

/// Hosts were moved for work that a cap didn't let start.
#[test]
fn what_waits_behind_a_cap_moves_no_host() {
    let mut world = capped(2, 6, 8);
    for host in 10..18 {
        world.host(&format!("h{host}"), OTHER);
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

/// Lasting work of a workspace ran beyond its cap, or kept hosts for what may not run.
#[test]
fn lasting_work_runs_as_far_as_the_cap_goes() {
    // One host more than the tasks that may run, for one of them to be moved to.
    let mut world = capped(4, 7, 3);
    world.submit(1, JobSpec::new("x", vec![lasting(10, 1)]));
    for host in 10..20 {
        world.host(&format!("h{host}"), OTHER);
    }
    world.pass(ms(4000));
    assert_eq!((world.runs(1).len(), world.beyond, world.moves), (3, 0, 0));
    world.propose(Command::Cancel(1));
    world.submit(2, JobSpec::new("x", vec![lasting(3, 1)]));
    world.until("what is stopped makes room", ms(2500), |world| {
        world.runs(2).len() == 3
    });
    assert_eq!(world.beyond, 0);
}

/// Plays trouble of every kind beside a cap that changes; by how much it was exceeded.
fn trouble(seed: u64, protections: Protections) -> u64 {
    let mut world = capped(6, seed, 12);
    world.protections = protections;
    // What is given up too early runs twice at once; here it is the cap that has to notice.
    world.lax = !protections.inherit;
    world.lead();
    let change = |world: &mut World, job: u64| {
        if job.is_multiple_of(4) {
            let caps = [12, 5, 20, 9];
            world.cap(OWNER, caps[usize::try_from(job / 4).unwrap() % caps.len()]);
        }
    };
    play_beside(world, seed, ALL, true, change).beyond
}

/// Leaders that follow each other, late orders, cuts and lost answers beside a cap.
#[test]
fn whatever_fails_nothing_starts_beyond_a_cap() {
    for seed in 0..SEEDS {
        assert_eq!(trouble(seed, Protections::default()), 0, "seed {seed}");
    }
}

/// The check above notices a leader that counts nothing.
#[test]
fn without_counting_caps_are_exceeded() {
    let off = Protections {
        caps: false,
        ..Protections::default()
    };
    assert!((0..SEEDS).any(|seed| trouble(seed, off) > 0));
}

/// The check above notices a leader that takes what its predecessor placed for gone.
#[test]
fn a_leader_that_forgets_what_was_placed_exceeds_a_cap() {
    let off = Protections {
        inherit: false,
        ..Protections::default()
    };
    assert!((0..SEEDS).any(|seed| trouble(seed, off) > 0));
}
