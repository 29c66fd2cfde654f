//! Waves of maintenance and moves between pools.

use egretpin::core::workload::{job::JobState, spec::JobSpec};

use crate::world::{
    OTHER_POOL, OTHER_QUEUE, POOL, QUEUE, SPARE_POOL, World, long_running, ms, step,
};

#[test]
fn a_wave_maintains_every_host_within_its_cap() {
    let mut world = World::new(6, 1);
    world.start_wave(1, &["h0", "h1", "h2", "h3", "h4", "h5"], 2, ms(30_000));
    world.until("the wave is through", ms(30_000), |world| {
        world
            .ledger
            .wave_record(1)
            .is_some_and(|wave| wave.remaining.is_empty())
    });
    assert_eq!(world.peak_down, 2, "as many at once as may be");
}

const HOSTS: [&str; 8] = ["h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7"];

fn keep_budget(world: &mut World) {
    world.until("the wave is through", ms(60_000), |world| {
        assert!(
            world.runs(1).len() >= 4,
            "at most one is away: {:?}",
            world.runs(1)
        );
        world
            .ledger
            .wave_record(1)
            .is_some_and(|wave| wave.remaining.is_empty())
    });
}

#[test]
fn a_wave_ends_no_more_tasks_of_a_step_than_may_be_away() {
    let mut world = World::new(8, 2);
    world.submit(1, JobSpec::new("x", vec![long_running(5, 2)]));
    world.until("it runs", ms(2000), |world| world.runs(1).len() == 5);
    world.start_wave(1, &HOSTS, 4, ms(12_000));
    keep_budget(&mut world);
}

#[test]
fn a_wave_with_time_leaves_busy_hosts_to_their_work() {
    let mut world = World::new(8, 4);
    world.pass(ms(1500));
    for job in 1..=40 {
        world.submit(job, JobSpec::new("x", vec![step(4, 4, 2000)]));
    }
    world.pass(ms(2000));
    world.start_wave(1, &HOSTS, 8, ms(80_000));
    let most = |world: &World| {
        let up = world.agents.values().filter(|agent| agent.is_busy());
        up.count()
    };
    let mut least = HOSTS.len();
    for _ in 0..50 {
        world.pass(ms(100));
        least = least.min(most(&world));
    }
    assert!(least >= 5, "only {least} hosts worked at a time");
    world.until("the wave is through", ms(80_000), |world| {
        world
            .ledger
            .wave_record(1)
            .is_some_and(|wave| wave.remaining.is_empty())
    });
}

#[test]
fn a_host_of_a_wave_that_is_gone_is_not_waited_for() {
    let mut world = World::new(2, 3);
    world.start_wave(1, &["h0", "nowhere"], 1, ms(30_000));
    world.until("the wave is through", ms(10_000), |world| {
        world
            .ledger
            .wave_record(1)
            .is_some_and(|wave| wave.remaining.is_empty())
    });
}

#[test]
fn a_pool_that_has_too_much_work_gets_hosts_of_others() {
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
        "a pool is never given up"
    );
}

/// Much more work for a queue than one host can do, numbered from `first`.
fn rush(world: &mut World, queue: &str, first: u64) {
    for job in first..first + 10 {
        world.submit_to(queue, job, JobSpec::new("x", vec![step(4, 4, 2000)]));
    }
}

#[test]
fn hosts_are_moved_ahead_of_a_turn_that_was_learnt() {
    let mut world = World::new(8, 6);
    world.pass(ms(2000));
    for turn in 0..3 {
        let queue = if turn % 2 == 0 { QUEUE } else { OTHER_QUEUE };
        rush(&mut world, queue, 1 + turn * 100);
        world.pass(ms(10_000));
    }
    // The fourth turn is the second queue's, and would begin now.
    let hosts = world.hosts.values();
    let there = hosts.filter(|host| &*host.pool == OTHER_POOL).count();
    assert!(there >= 4, "{there} hosts are there");
    world.pass(ms(4000));
    let hosts = world.hosts.values();
    let there = hosts.filter(|host| &*host.pool == OTHER_POOL).count();
    assert!(there <= 4, "none is moved on for a turn that didn't come");
}

#[test]
fn work_that_is_there_goes_before_a_turn_that_was_learnt() {
    let mut world = World::new(8, 6);
    world.pass(ms(2000));
    for turn in 0..3 {
        let queue = if turn % 2 == 0 { QUEUE } else { OTHER_QUEUE };
        rush(&mut world, queue, 1 + turn * 100);
        world.pass(ms(10_000));
    }
    // The second queue's turn is expected and hosts are there, but the first one has work: too little
    // for a turn of its own, too much for the hosts that it has.
    world.submit(301, JobSpec::new("x", vec![step(4, 4, 2000)]));
    world.pass(ms(600));
    let hosts = world.hosts.values();
    let there = hosts.filter(|host| &*host.pool == POOL).count();
    assert!(there >= 4, "{there} hosts are where the work is");
}

#[test]
fn lasting_work_is_no_turn() {
    let mut world = World::new(8, 7);
    world.submit(1, JobSpec::new("x", vec![long_running(2, 8)]));
    world.pass(ms(8000));
    let hosts = world.hosts.values();
    let spares = hosts.filter(|host| &*host.pool == SPARE_POOL).count();
    assert_eq!(
        spares, 0,
        "nothing is known yet of work that comes and goes"
    );
}

#[test]
fn idle_hosts_are_kept_while_a_rush_begins() {
    let mut world = World::new(2, 9);
    for host in 10..24 {
        world.add_host(&format!("h{host}"), OTHER_POOL);
    }
    world.pass(ms(6000));
    // The first jobs are a turn, but take no more than their pool has.
    for job in 1..=4 {
        world.submit(job, JobSpec::new("x", vec![step(4, 1, 2000)]));
    }
    world.pass(ms(500));
    let hosts = world.hosts.values();
    let spares = hosts.filter(|host| &*host.pool == SPARE_POOL).count();
    assert_eq!(spares, 0, "what is idle elsewhere is needed next");
    rush(&mut world, QUEUE, 11);
    world.pass(ms(500));
    let hosts = world.hosts.values();
    let there = hosts.filter(|host| &*host.pool == POOL).count();
    assert!(there >= 6, "{there} hosts are where the work is");
}

#[test]
fn idle_hosts_go_to_the_spares_and_come_back() {
    let mut world = World::new(5, 5);
    let spares = |world: &World| {
        let hosts = world.hosts.values();
        hosts.filter(|host| &*host.pool == SPARE_POOL).count()
    };
    world.pass(ms(6000));
    assert_eq!(spares(&world), 0, "nothing is known of the demand yet");
    rush(&mut world, QUEUE, 1);
    // One stays in the pool with another beside it, and one goes to the pool that has none.
    world.until("idle hosts are switched off", ms(25_000), |world| {
        spares(world) == 2
    });
    let moves = world.moves;
    world.pass(ms(20_000));
    assert_eq!(world.moves, moves, "and none is moved to and fro");
    rush(&mut world, QUEUE, 100);
    world.until("they are back", ms(5000), |world| spares(world) == 0);
}

#[test]
fn without_counting_budgets_a_wave_ends_too_much() {
    let played = std::panic::catch_unwind(|| {
        let mut world = World::new(8, 2);
        world.protections.budget = false;
        world.lead();
        world.submit(1, JobSpec::new("x", vec![long_running(5, 2)]));
        world.until("it runs", ms(2000), |world| world.runs(1).len() == 5);
        world.start_wave(1, &HOSTS, 4, ms(12_000));
        keep_budget(&mut world);
    });
    assert!(played.is_err(), "two tasks of a step are away at once");
}

/// Tasks were started twice: a leader that ordered a host's maintenance again, as its predecessor had lost the
/// word that it was done, took the provider's answer for the end of what ran there.
#[test]
fn a_maintenance_that_was_done_before_ends_nothing() {
    let mut world = World::new(4, 1);
    world.handover_delay = ms(3000);
    world.start_wave(1, &["h0"], 1, ms(9000));
    world.until("it is maintained", ms(5000), |world| {
        !world.maintained.is_empty()
    });
    // Nobody has told the log, and the next leader waits before it orders anything of that host.
    world.depose();
    world.pass(ms(300));
    world.lead();
    assert!(!world.ledger.wave_record(1).unwrap().remaining.is_empty());
    // All hosts are busy until after the wave has to be through.
    for job in 1..=8 {
        world.submit(job, JobSpec::new("x", vec![step(4, 1, 9000)]));
    }
    world.until("all are through, each once", ms(30_000), |world| {
        (1..=8).all(|job| world.state(job) == Some(JobState::Completed))
    });
    assert!(world.starts.values().all(|starts| *starts == 1));
}
