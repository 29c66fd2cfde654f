//! Agents that start again under the id that they had.
//!
//! What was seen: a task that had been done was started again, on the host that had done it. How it came
//! about: its agent had started again under its id, and its ends were numbered from one again. The leader
//! had taken in more ends of the life before, took the new ones for known, and acknowledged them, so that
//! the agent forgot them. Cause: an id was taken for one life. Proof: the worlds here, in which agents keep
//! their ids.

use egretpin::core::workload::{job::JobState, spec::JobSpec};
use crate::world::{World, ms, step};

/// A task was started again after it had been done: its end was taken for one of the life before.
#[test]
fn what_an_agent_has_done_since_it_started_again_is_not_started_again() {
    let mut world = World::new(1, 1);
    world.keeps = 1.0;
    world.host("h9", crate::world::POOL);
    let agent = world.hosts["h9"].agent.clone().unwrap();
    world.submit(1, JobSpec::new("x", vec![step(12, 1, 200)]));
    let done = |job| move |world: &World| world.state(job) == Some(JobState::Completed);
    world.until("the first life has ended tasks", ms(3000), done(1));
    world.reboot(&agent);
    world.submit(2, JobSpec::new("x", vec![step(12, 1, 200)]));
    world.until("the second one has", ms(9000), done(2));
    assert!(world.starts.values().all(|starts| *starts == 1));
}
