//! Guarantees that hold under all faults. The agents of the simulated world check them at each
//! start.
//!
//! The tests named `without_...` turn off protections of the scheduler, and show that the checks
//! notice it.

use egretpin::core::workload::{
    command::Command, job::JobState, scheduler::Protections, spec::JobSpec,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::world::{Faults, POOL, World, long_running, ms, step};

/// The number of seeds. Each simulates a minute with faults and a minute without.
const SEEDS: u64 = 24;

fn job(rng: &mut Pcg64Mcg) -> JobSpec {
    let count = rng.random_range(1..4_u16);
    let steps = (0..count).map(|ix| {
        let mut step = step(
            rng.random_range(1..6),
            rng.random_range(1..5),
            rng.random_range(100..2000),
        );
        step.after = (0..ix).filter(|_| rng.random_bool(0.5)).collect();
        step
    });
    JobSpec::new("x", steps.collect())
}

/// Faults of all kinds at once, except for orders that are never sent.
pub(crate) const ALL_FAULTS: Faults = Faults {
    unsent_orders: 0.0,
    lost_answers: 0.05,
    late_orders: 0.03,
    lease_from_arrival: false,
    failed_attempts: 0.03,
    unwell_refusals: 0.03,
    estimate_error: 2.0,
    late_heartbeats: 0.5,
};

/// Submits jobs to a world with faults, crashes, cuts and takeovers that are drawn from the seed.
/// Then the faults end, and all accepted jobs must end in time.
pub(crate) fn play(world: World, seed: u64, faults: Faults, takeovers: bool) -> World {
    play_with(world, seed, faults, takeovers, |_, _| {})
}

/// The same, with a function that is called before each job.
pub(crate) fn play_with(
    mut world: World,
    seed: u64,
    faults: Faults,
    takeovers: bool,
    before_job: impl Fn(&mut World, u64),
) -> World {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    world.submit(1000, JobSpec::new("x", vec![long_running(3, 1)]));
    world.pass(ms(200));
    world.faults = faults;
    for job_id in 1..=30 {
        before_job(&mut world, job_id);
        world.submit(job_id, job(&mut rng));
        world.pass(ms(rng.random_range(0..2500)));
        let agents: Vec<_> = world.agents.keys().cloned().collect();
        match rng.random_range(0..8) {
            0 if takeovers => {
                world.depose();
                world.pass(ms(rng.random_range(0..3000)));
                world.lead();
            }
            1 if agents.len() > 3 => {
                world.crash(&agents[rng.random_range(0..agents.len())]);
                let host = format!("h{}", 100 + job_id);
                world.add_host(&host, POOL);
            }
            2 if !agents.is_empty() => {
                let agent = &agents[rng.random_range(0..agents.len())];
                world.disconnect(agent, ms(rng.random_range(500..9000)));
            }
            // Some of the restarted agents are disconnected at the time.
            3 | 4 if faults.late_heartbeats > 0.0 && !agents.is_empty() => {
                world.restart_agent(&agents[rng.random_range(0..agents.len())]);
            }
            _ => {}
        }
    }
    world.faults = Faults::default();
    // A proposal that was lost in a takeover was never acknowledged to its caller.
    world.until("all accepted jobs end", ms(90_000), |world| {
        world.ledger.jobs().all(|(id, job)| {
            id == 1000 || matches!(job.state, JobState::Completed | JobState::Failed)
        })
    });
    world
}

#[test]
fn lost_answers_start_nothing_twice() {
    let faults = Faults {
        lost_answers: 0.1,
        ..Faults::default()
    };
    (0..SEEDS).for_each(|seed| drop(play(World::new(6, seed), seed, faults, false)));
}

#[test]
fn orders_that_are_carried_out_late_start_nothing_twice() {
    let faults = Faults {
        late_orders: 0.05,
        failed_attempts: 0.05,
        unwell_refusals: 0.05,
        ..Faults::default()
    };
    (0..SEEDS).for_each(|seed| drop(play(World::new(6, seed), seed, faults, false)));
}

#[test]
fn a_takeover_starts_nothing_twice_and_loses_nothing() {
    (0..SEEDS).for_each(|seed| drop(play(World::new(6, seed), seed, Faults::default(), true)));
}

#[test]
fn late_heartbeats_of_ended_incarnations_start_nothing_twice() {
    let faults = Faults {
        late_heartbeats: 0.8,
        ..Faults::default()
    };
    (0..SEEDS).for_each(|seed| drop(play(World::new(6, seed), seed, faults, false)));
    (0..SEEDS).for_each(|seed| drop(play(World::new(6, seed), seed, faults, true)));
}

#[test]
fn all_faults_at_once_start_nothing_twice_and_lose_nothing() {
    (0..SEEDS).for_each(|seed| {
        let mut world = play(World::new(6, seed), seed, ALL_FAULTS, true);
        world.until("the long-running tasks run", ms(30_000), |world| {
            world.state(1000).is_none() || world.runs(1000).len() == 3
        });
    });
}

/// Whether a check fails for any of the seeds if a protection is turned off.
fn is_noticed(without: Protections, faults: Faults, takeovers: bool) -> bool {
    let fails = |seed| {
        let result = std::panic::catch_unwind(|| {
            let mut world = World::new(6, seed);
            world.protections = without;
            world.lead();
            play(world, seed, faults, takeovers);
        });
        result.is_err()
    };
    // Whether one seed shows it depends on details of the schedule, so many seeds are tried.
    (0..SEEDS * 4).any(fails)
}

#[test]
fn without_tracking_unanswered_starts_a_task_runs_twice() {
    let without = Protections {
        strays: false,
        // With deadlines the agents would refuse the late starts anyway.
        deadlines: false,
        ..Protections::default()
    };
    let faults = Faults {
        late_orders: 0.2,
        unwell_refusals: 0.2,
        ..Faults::default()
    };
    assert!(is_noticed(without, faults, false));
}

#[test]
fn without_waiting_for_the_lease_a_task_runs_twice() {
    let without = Protections {
        lease: false,
        ..Protections::default()
    };
    assert!(is_noticed(without, Faults::default(), false));
}

#[test]
fn without_polling_agents_first_a_takeover_runs_a_task_twice() {
    let without = Protections {
        inherit: false,
        ..Protections::default()
    };
    assert!(is_noticed(without, Faults::default(), true));
}

#[test]
fn a_cancelled_job_is_stopped_by_the_next_leader_too() {
    let mut world = World::new(3, 6);
    world.submit(1, JobSpec::new("x", vec![long_running(3, 2)]));
    world.until("it runs", ms(2000), |world| world.runs(1).len() == 3);
    world.propose(Command::Cancel(1));
    world.until("it is cancelled", ms(100), |world| {
        world.state(1) == Some(JobState::Cancelled)
    });
    // The leader is lost before it has sent an order.
    world.depose();
    world.lead();
    world.until("nothing of it runs", ms(1500), |world| {
        world.runs(1).is_empty()
    });
}
