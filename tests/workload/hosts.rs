//! Waves of maintenance, and moves of hosts between pools.

use egretpin::core::workload::{job::JobState, spec::JobSpec};

use crate::world::{
    OTHER_POOL, OTHER_QUEUE, POOL, QUEUE, SPARE_POOL, World, long_running, ms, step,
};

#[test]
fn a_wave_maintains_every_host_within_its_cap() {
    let mut world = World::new(6, 1);
    world.start_wave(1, &["h0", "h1", "h2", "h3", "h4", "h5"], 2, ms(30_000));
    world.until("the wave is complete", ms(30_000), |world| {
        world
            .ledger
            .wave_record(1)
            .is_some_and(|wave| wave.remaining.is_empty())
    });
    assert_eq!(
        world.peak_down, 2,
        "as many hosts at once as the wave allows"
    );
}

const HOSTS: [&str; 8] = ["h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7"];

fn keep_budget(world: &mut World) {
    world.until("the wave is complete", ms(60_000), |world| {
        assert!(
            world.runs(1).len() >= 4,
            "at most one task is down: {:?}",
            world.runs(1)
        );
        world
            .ledger
            .wave_record(1)
            .is_some_and(|wave| wave.remaining.is_empty())
    });
}

#[test]
fn a_wave_stops_no_more_tasks_of_a_step_than_its_budget_allows() {
    let mut world = World::new(8, 2);
    world.submit(1, JobSpec::new("x", vec![long_running(5, 2)]));
    world.until("it runs", ms(2000), |world| world.runs(1).len() == 5);
    world.start_wave(1, &HOSTS, 4, ms(12_000));
    keep_budget(&mut world);
}

#[test]
fn a_wave_with_enough_time_leaves_busy_hosts_to_their_work() {
    let mut world = World::new(8, 4);
    world.pass(ms(1500));
    for job in 1..=40 {
        world.submit(job, JobSpec::new("x", vec![step(4, 4, 2000)]));
    }
    world.pass(ms(2000));
    world.start_wave(1, &HOSTS, 8, ms(80_000));
    let busy_hosts = |world: &World| {
        let busy = world.agents.values().filter(|agent| agent.is_busy());
        busy.count()
    };
    let mut least = HOSTS.len();
    for _ in 0..50 {
        world.pass(ms(100));
        least = least.min(busy_hosts(&world));
    }
    assert!(least >= 5, "only {least} hosts worked at a time");
    world.until("the wave is complete", ms(80_000), |world| {
        world
            .ledger
            .wave_record(1)
            .is_some_and(|wave| wave.remaining.is_empty())
    });
}

#[test]
fn a_wave_does_not_wait_for_a_host_that_does_not_exist() {
    let mut world = World::new(2, 3);
    world.start_wave(1, &["h0", "nowhere"], 1, ms(30_000));
    world.until("the wave is complete", ms(10_000), |world| {
        world
            .ledger
            .wave_record(1)
            .is_some_and(|wave| wave.remaining.is_empty())
    });
}

#[test]
fn an_overloaded_pool_gets_hosts_of_other_pools() {
    let mut world = World::new(2, 4);
    for host in ["h10", "h11", "h12", "h13"] {
        world.add_host(host, OTHER_POOL);
    }
    world.pass(ms(1500));
    for job in 1..=10 {
        world.submit(job, JobSpec::new("x", vec![step(4, 4, 2000)]));
    }
    let pool = |world: &World| {
        let hosts = world.hosts.values();
        hosts.filter(|host| &*host.pool == POOL).count()
    };
    world.until("hosts have moved", ms(3000), |world| pool(world) >= 4);
    assert!(
        world.hosts.values().any(|host| &*host.pool == OTHER_POOL),
        "no pool loses all its hosts"
    );
}

/// Submits much more work to a queue than one host can do, as ten jobs numbered from `first`.
fn surge(world: &mut World, queue: &str, first: u64) {
    for job in first..first + 10 {
        world.submit_to(queue, job, JobSpec::new("x", vec![step(4, 4, 2000)]));
    }
}

#[test]
fn hosts_are_moved_ahead_of_a_learned_surge() {
    let mut world = World::new(8, 6);
    world.pass(ms(2000));
    for nth in 0..3 {
        let queue = if nth % 2 == 0 { QUEUE } else { OTHER_QUEUE };
        surge(&mut world, queue, 1 + nth * 100);
        world.pass(ms(10_000));
    }
    // The fourth surge is expected now, and in the other queue.
    let hosts = world.hosts.values();
    let moved = hosts.filter(|host| &*host.pool == OTHER_POOL).count();
    assert!(moved >= 4, "{moved} hosts are in the other pool");
    world.pass(ms(4000));
    let hosts = world.hosts.values();
    let moved = hosts.filter(|host| &*host.pool == OTHER_POOL).count();
    assert!(
        moved <= 4,
        "no further host is moved for a surge that didn't come"
    );
}

#[test]
fn present_work_has_priority_over_a_learned_surge() {
    let mut world = World::new(8, 6);
    world.pass(ms(2000));
    for nth in 0..3 {
        let queue = if nth % 2 == 0 { QUEUE } else { OTHER_QUEUE };
        surge(&mut world, queue, 1 + nth * 100);
        world.pass(ms(10_000));
    }
    // A surge of the other queue is expected, and hosts were moved for it. But the first queue has
    // work now: too little to count as a surge, and too much for the hosts that its pool has.
    world.submit(301, JobSpec::new("x", vec![step(4, 4, 2000)]));
    world.pass(ms(600));
    let hosts = world.hosts.values();
    let present = hosts.filter(|host| &*host.pool == POOL).count();
    assert!(
        present >= 4,
        "{present} hosts are in the pool that has the work"
    );
}

#[test]
fn long_running_tasks_are_no_surge() {
    let mut world = World::new(8, 7);
    world.submit(1, JobSpec::new("x", vec![long_running(2, 8)]));
    world.pass(ms(8000));
    let hosts = world.hosts.values();
    let spares = hosts.filter(|host| &*host.pool == SPARE_POOL).count();
    assert_eq!(spares, 0, "no demand that comes and goes is known yet");
}

#[test]
fn idle_hosts_are_kept_while_a_surge_begins() {
    let mut world = World::new(2, 9);
    for host in 10..24 {
        world.add_host(&format!("h{host}"), OTHER_POOL);
    }
    world.pass(ms(6000));
    // The first jobs are a surge, but need no more than their pool has.
    for job in 1..=4 {
        world.submit(job, JobSpec::new("x", vec![step(4, 1, 2000)]));
    }
    world.pass(ms(500));
    let hosts = world.hosts.values();
    let spares = hosts.filter(|host| &*host.pool == SPARE_POOL).count();
    assert_eq!(
        spares, 0,
        "the idle hosts of the other pool are needed next"
    );
    surge(&mut world, QUEUE, 11);
    world.pass(ms(500));
    let hosts = world.hosts.values();
    let present = hosts.filter(|host| &*host.pool == POOL).count();
    assert!(
        present >= 6,
        "{present} hosts are in the pool that has the work"
    );
}

#[test]
fn idle_hosts_become_spares_and_come_back() {
    let mut world = World::new(5, 5);
    let spares = |world: &World| {
        let hosts = world.hosts.values();
        hosts.filter(|host| &*host.pool == SPARE_POOL).count()
    };
    world.pass(ms(6000));
    assert_eq!(spares(&world), 0, "no demand is known yet");
    surge(&mut world, QUEUE, 1);
    // Of five hosts two stay in the pool, and one goes to the pool that has none.
    world.until("idle hosts become spares", ms(25_000), |world| {
        spares(world) == 2
    });
    let moves = world.moves;
    world.pass(ms(20_000));
    assert_eq!(world.moves, moves, "no host is moved back and forth");
    surge(&mut world, QUEUE, 100);
    world.until("the spares are back", ms(5000), |world| spares(world) == 0);
}

#[test]
fn without_budgets_a_wave_stops_too_many_tasks() {
    let result = std::panic::catch_unwind(|| {
        let mut world = World::new(8, 2);
        world.protections.budget = false;
        world.lead();
        world.submit(1, JobSpec::new("x", vec![long_running(5, 2)]));
        world.until("it runs", ms(2000), |world| world.runs(1).len() == 5);
        world.start_wave(1, &HOSTS, 4, ms(12_000));
        keep_budget(&mut world);
    });
    assert!(result.is_err(), "two tasks of a step are down at once");
}

/// Guards against starting tasks twice. A leader repeated the order for a host's maintenance,
/// because its predecessor was lost before it committed that the maintenance was done. It then took
/// the provider's answer as proof that the tasks on that host had ended.
#[test]
fn repeated_maintenance_ends_no_tasks() {
    let mut world = World::new(4, 1);
    world.handover_delay = ms(3000);
    world.start_wave(1, &["h0"], 1, ms(9000));
    world.until("the host is maintained", ms(5000), |world| {
        !world.maintained.is_empty()
    });
    // The log doesn't record that, and the next leader waits before it sends orders about the host.
    world.depose();
    world.pass(ms(300));
    world.lead();
    assert!(!world.ledger.wave_record(1).unwrap().remaining.is_empty());
    // All hosts are busy until after the deadline of the wave.
    for job in 1..=8 {
        world.submit(job, JobSpec::new("x", vec![step(4, 1, 9000)]));
    }
    world.until(
        "all jobs complete, each task run once",
        ms(30_000),
        |world| (1..=8).all(|job| world.state(job) == Some(JobState::Completed)),
    );
    assert!(world.starts.values().all(|starts| *starts == 1));
}
