//! Orders about hosts that get no answer and are repeated, while other agents start on the hosts.
//!
//! An order about a host ends everything that runs there. Whether the host is empty was checked for the
//! agent that was there when the host was chosen. The tests guard against an order that was repeated after
//! that agent had ended: it ended the tasks of the next one, long-running ones beyond their budget.

use egretpin::core::{types::HostId, workload::spec::JobSpec};

use crate::world::{OTHER_POOL, OTHER_QUEUE, POOL, World, long_running, ms, step};

/// Hosts of the pool that others take hosts from.
const HOSTS: usize = 12;
/// Long-running tasks that are placed on them.
const TASKS: u32 = 8;

/// A world whose orders about hosts get no answer for a while.
fn world(seed: u64, id_reuse: f64) -> World {
    let mut world = World::new(HOSTS, seed);
    world.id_reuse = id_reuse;
    world.add_host("h20", OTHER_POOL);
    world.pass(ms(2000));
    world.unreachable_hosts = world.hosts.keys().cloned().collect();
    world
}

/// Starts the agents of the pool again, has tasks placed there, and lets the provider answer again.
fn restart_and_repeat(world: &mut World) {
    let hosts = world.hosts.values().filter(|host| &*host.pool == POOL);
    let hosts: Vec<HostId> = hosts.map(|host| host.host.clone()).collect();
    for host in &hosts {
        let agent = world.incarnation_at(host).unwrap();
        world.restart_agent(&agent);
    }
    world.submit(1, JobSpec::new("x", vec![long_running(TASKS, 2)]));
    world.pass(ms(3000));
    world.unreachable_hosts.clear();
    world.pass(ms(6000));
}

#[test]
fn a_repeated_move_ends_no_task_of_the_next_agent() {
    for (seed, id_reuse) in [(0, 0.0), (1, 0.0), (2, 1.0), (3, 1.0)] {
        let mut world = world(seed, id_reuse);
        for job in 101..=110 {
            world.submit_to(
                OTHER_QUEUE,
                job,
                JobSpec::new("x", vec![step(4, 8, 20_000)]),
            );
        }
        world.pass(ms(300));
        restart_and_repeat(&mut world);
        assert_eq!(world.interrupted_runs, 0, "seed {seed}");
        assert!(world.moves > 0, "seed {seed}: hosts are moved afterwards");
    }
}

#[test]
fn a_repeated_maintenance_keeps_the_budget_of_the_next_agent() {
    for (seed, id_reuse) in [(4, 0.0), (5, 0.0), (6, 1.0), (7, 1.0)] {
        let mut world = world(seed, id_reuse);
        let hosts: Vec<_> = (0..HOSTS).map(|host| format!("h{host}")).collect();
        let hosts: Vec<_> = hosts.iter().map(String::as_str).collect();
        world.start_wave(1, &hosts, 6, ms(60_000));
        world.pass(ms(300));
        restart_and_repeat(&mut world);
        assert_eq!(world.interrupted_runs, 0, "seed {seed}");
        world.until("the wave is complete", ms(60_000), |world| {
            let wave = world.ledger.wave_record(1);
            wave.is_some_and(|wave| wave.remaining.is_empty())
        });
        assert_eq!(world.over_budget, [], "seed {seed}");
    }
}
