//! Agents that start again under the id that they had.
//!
//! What was seen: a task that had been done was started again, on the host that had done it. How it came
//! about: its agent had started again under its id, and its ends were numbered from one again. The leader
//! had taken in more ends of the life before, took the new ones for known, and acknowledged them, so that
//! the agent forgot them. Cause: an id was taken for one life. Proof: the worlds here, in which agents keep
//! their ids.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    faults::play,
    world::{Faults, World, ms, step},
};

/// Worlds that are played of each kind.
const SEEDS: u64 = 24;
use egretpin::core::workload::{job::JobState, spec::JobSpec};

/// A task was started again after it had been done: its end was taken for one of the life before.
#[test]
fn what_an_agent_has_done_since_it_started_again_is_not_started_again() {
    let mut world = World::new(1, 1);
    world.keeps = 1.0;
    world.host("h9", crate::world::POOL);
    let agent = world.living(&"h9".into()).unwrap();
    world.submit(1, JobSpec::new("x", vec![step(12, 1, 200)]));
    let done = |job| move |world: &World| world.state(job) == Some(JobState::Completed);
    world.until("the first life has ended tasks", ms(3000), done(1));
    world.reboot(&agent);
    world.submit(2, JobSpec::new("x", vec![step(12, 1, 200)]));
    world.until("the second one has", ms(9000), done(2));
    assert!(world.starts.values().all(|starts| *starts == 1));
}

/// Plays worlds in which this part of the agents keep their ids, with and without leaders that follow each
/// other.
fn play_all(keeps: f64, faults: Faults) {
    for seed in 0..SEEDS {
        for takeovers in [false, true] {
            let mut world = World::new(6, seed);
            world.keeps = keeps;
            play(world, seed, faults, takeovers);
        }
    }
}

/// Orders for one life were taken for carried out there, though the next one got them.
#[test]
fn agents_that_start_again_under_their_ids_start_nothing_twice() {
    let faults = Faults {
        ghosts: 0.5,
        ..Faults::default()
    };
    play_all(1.0, faults);
    play_all(0.5, faults);
}

/// The same beside answers that are lost and agents that aren't well.
#[test]
fn agents_that_start_again_beside_lost_answers_start_nothing_twice() {
    let faults = Faults {
        lost: 0.05,
        failing: 0.03,
        unwell: 0.03,
        off: 2.0,
        ghosts: 0.5,
        ..Faults::default()
    };
    play_all(1.0, faults);
}

/// The same beside orders that are carried out seconds late.
#[test]
fn agents_that_start_again_beside_late_orders_start_nothing_twice() {
    let faults = Faults {
        late: 0.03,
        ghosts: 0.5,
        ..Faults::default()
    };
    play_all(1.0, faults);
}

/// An acknowledgement for one life reached the next one, which forgot an end of a task that had been meant
/// for the first; the task was started again.
#[test]
fn no_acknowledgement_for_one_life_is_taken_by_the_next() {
    for seed in 0..SEEDS {
        let mut world = World::new(3, seed);
        world.keeps = 1.0;
        world.quiet = true;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        for job in 1..=300 {
            let millis = rng.random_range(10..40);
            world.submit(job, JobSpec::new("x", vec![step(2, 1, millis)]));
            world.pass(ms(rng.random_range(0..40)));
            if job % 6 == 0 {
                let agents: Vec<_> = world.agents.keys().cloned().collect();
                world.reboot(&agents[rng.random_range(0..agents.len())]);
            }
        }
        world.until("all are through", ms(30_000), |world| {
            let mut jobs = world.ledger.jobs();
            jobs.all(|(_, job)| job.state == JobState::Completed)
        });
    }
}
