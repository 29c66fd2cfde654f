//! Control nodes that carry a leader's orders, and stand still meanwhile.
//!
//! To the leader an order through such a node got no answer; the agent may get it seconds later, after
//! orders that went out in its place, and after another leader has begun.

use egretpin::core::workload::{job::JobState, spec::JobSpec};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::world::{World, long_running, ms, step};

/// Worlds that are played. Each plays some twenty standstills.
const SEEDS: u64 = 24;

/// Jobs that come while the relay of every second host stands still again and again, and leaders
/// follow each other.
fn play(seed: u64, fenced: bool, deadlines: bool) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7e1a);
    let mut world = World::new(6, seed);
    world.fenced = fenced;
    world.protections.deadlines = deadlines;
    world.lead();
    world.submit(1000, JobSpec::new("x", vec![long_running(3, 1)]));
    world.pass(ms(1000));
    for job in 1..=30 {
        let (tasks, millis) = (rng.random_range(1..6), rng.random_range(100..2000));
        world.submit(job, JobSpec::new("x", vec![step(tasks, 2, millis)]));
        if rng.random_bool(0.6) {
            // As long as a freeze takes; longer than a lease at times.
            world.stalled_until = world
                .stalled_until
                .max(world.now + ms(rng.random_range(200..9000)));
        }
        world.pass(ms(rng.random_range(0..1500)));
        if rng.random_bool(0.2) {
            world.depose();
            world.pass(ms(rng.random_range(0..1500)));
            world.lead();
            // It goes by another relay; what stands still still wakes.
            world.stalled_until = world.now;
        }
    }
    // Whatever was proposed at a takeover and lost was never acknowledged to its caller.
    world.until("all accepted jobs are through", ms(90_000), |world| {
        let mut jobs = world.ledger.jobs();
        jobs.all(|(id, job)| id == 1000 || job.state == JobState::Completed)
    });
}

#[test]
fn relays_that_stand_still_and_wake_late_start_nothing_twice() {
    (0..SEEDS).for_each(|seed| play(seed, true, true));
    (0..SEEDS).for_each(|seed| play(seed, true, false));
}

#[test]
fn without_the_fence_of_terms_a_relay_that_wakes_late_breaks_a_promise() {
    // Most of what it would start twice comes after its deadline.
    let broken = |seed| std::panic::catch_unwind(|| play(seed, false, false)).is_err();
    assert!((0..SEEDS * 2).any(broken));
}
