//! Hosts that a pool has for its backlog and doesn't use, because the leader can't start tasks as
//! fast as they are asked for.
//!
//! The test guards against a pool that kept hundreds of idle hosts for a backlog that was late
//! already, while other pools had none for work that could still be in time.

use std::time::Duration;

use egretpin::core::workload::spec::JobSpec;

use crate::world::{OTHER_POOL, OTHER_QUEUE, Processor, QUEUE, World, ms, step};

/// A leader that starts a few tasks in a hundred milliseconds.
const PROCESSOR: Processor = Processor {
    input: Duration::from_micros(500),
    visit: Duration::from_nanos(100),
    order: Duration::from_millis(3),
};

#[test]
fn hosts_that_a_pool_does_not_use_go_to_pools_that_lack_hosts() {
    let mut world = World::new(60, 1);
    world.add_host("h60", OTHER_POOL);
    world.add_host("h61", OTHER_POOL);
    world.pass(ms(2000));
    world.processor = Some(PROCESSOR);
    for job in 1..=200 {
        world.submit_to(QUEUE, job, JobSpec::new("x", vec![step(20, 1, 300)]));
    }
    world.pass(ms(3000));
    for job in 301..=340 {
        world.submit_to(OTHER_QUEUE, job, JobSpec::new("x", vec![step(8, 8, 2000)]));
    }
    world.pass(ms(6000));
    let hosts = world.hosts.values();
    let hosts = hosts.filter(|host| &*host.pool == OTHER_POOL).count();
    let agents = world.agents.values();
    let idle = agents.filter(|agent| !agent.is_busy()).count();
    assert!(hosts >= 6, "{hosts} hosts, while {idle} of all are idle");
}
