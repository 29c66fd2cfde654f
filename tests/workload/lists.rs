//! What one list of the hosts proves, and what it doesn't.
//!
//! A list may be older than what it is asked about, or lack a host that is there: one that came or
//! went while the list was read page by page moves others across the border of two pages.

use egretpin::core::{
    types::HostId,
    workload::{command::Command, job::TaskId, ledger::Ledger, spec::JobSpec},
};

use crate::world::{POOL, World, long_running, ms};

fn is_through(ledger: &Ledger) -> bool {
    ledger
        .wave_record(1)
        .is_some_and(|wave| wave.remaining.is_empty())
}

/// The wave ends, and all of its hosts that are there were maintained.
fn maintains(world: &mut World, hosts: &[&str]) {
    world.until("the wave is through", ms(30_000), |world| {
        is_through(&world.ledger)
    });
    for host in hosts {
        let key = (1, HostId::from(*host));
        assert!(world.maintained.contains(&key), "{host} was maintained");
    }
}

#[test]
fn a_wave_waits_for_hosts_that_came_after_the_last_list() {
    let mut world = World::new(3, 1);
    world.pass(ms(2000));
    let lists = world.sent["hosts"];
    world.until("a list was just read", ms(6000), |world| {
        world.sent["hosts"] > lists
    });
    world.pass(ms(50));
    world.add_host("h8", POOL);
    world.add_host("h9", POOL);
    world.start_wave(1, &["h0", "h8", "h9"], 3, ms(20_000));
    maintains(&mut world, &["h0", "h8", "h9"]);
}

#[test]
fn a_wave_waits_for_a_host_that_one_list_lacks() {
    let mut world = World::new(4, 2);
    world.pass(ms(2000));
    world.unlisted.insert("h1".into());
    world.start_wave(1, &["h0", "h1", "h2"], 1, ms(20_000));
    let lists = world.sent["hosts"];
    world.until("a list without it is read", ms(6000), |world| {
        world.sent["hosts"] > lists
    });
    world.pass(ms(50));
    world.unlisted.clear();
    maintains(&mut world, &["h0", "h1", "h2"]);
}

#[test]
fn a_wave_ends_for_a_host_that_no_list_has_once_the_provider_says_so() {
    let mut world = World::new(3, 3);
    world.pass(ms(2000));
    // It is there, whatever the lists say: only the order shows it.
    world.unlisted.insert("h1".into());
    world.start_wave(1, &["h1", "nowhere"], 1, ms(20_000));
    maintains(&mut world, &["h1"]);
}

#[test]
fn a_wave_ends_for_a_host_that_was_removed_after_few_orders() {
    let mut world = World::new(3, 3);
    world.pass(ms(2000));
    world.start_wave(1, &["h0", "h1"], 1, ms(20_000));
    let agent = world.hosts[&HostId::from("h1")].agent.clone().unwrap();
    world.crash(&agent);
    world.hosts.remove("h1");
    world.removed.insert("h1".into());
    maintains(&mut world, &["h0"]);
    assert!(world.now < ms(14_000), "{:?}", world.now);
    assert!(world.sent["maintain"] <= 2, "{:?}", world.sent);
}

#[test]
fn work_at_a_silent_agent_that_one_list_lacks_is_not_started_again() {
    for seed in 0..8 {
        let mut world = World::new(4, seed);
        world.submit(1, JobSpec::new("x", vec![long_running(2, 2)]));
        world.until("it runs", ms(2000), |world| world.runs(1).len() == 2);
        world.pass(ms(1000));
        let (agent, task) = world.runs(1)[0].clone();
        let host = world.agents[&agent].host.clone();
        world.disconnect(&agent, ms(4000));
        world.until("its silence is noticed", ms(3000), |world| {
            world
                .scheduler
                .as_ref()
                .is_some_and(|s| s.unresponsive() == 1)
        });
        world.unlisted.insert(host);
        let lists = world.sent["hosts"];
        world.until("a list without it is read", ms(3000), |world| {
            world.sent["hosts"] > lists
        });
        world.pass(ms(20));
        world.unlisted.clear();
        // It goes on all the while, so another start of it would be a second run.
        world.pass(ms(5000));
        assert_eq!(starts(&world, task), 1);
    }
}

#[test]
fn work_of_a_host_that_is_gone_is_started_again_after_two_lists() {
    let mut world = World::new(4, 3);
    world.submit(1, JobSpec::new("x", vec![long_running(2, 2)]));
    world.until("it runs", ms(2000), |world| world.runs(1).len() == 2);
    world.pass(ms(1000));
    let (agent, task) = world.runs(1)[0].clone();
    let host = world.agents[&agent].host.clone();
    world.crash(&agent);
    world.hosts.remove(&host);
    world.until("it runs elsewhere", ms(4500), |world| {
        starts(world, task) == 2
    });
}

#[test]
fn a_wave_is_committed_as_maintained_once_for_each_host() {
    let mut world = World::new(2, 4);
    world.start_wave(1, &["h0", "nowhere"], 1, ms(20_000));
    let mut commands = 0;
    let mut last = 0;
    world.until("the wave is through", ms(20_000), |world| {
        is_through(&world.ledger)
    });
    for command in &world.committed {
        if let Command::Maintained { hosts, .. } = command {
            commands += 1;
            last = hosts.len();
        }
    }
    assert_eq!((commands, last), (2, 1), "one for each host");
}

fn starts(world: &World, task: TaskId) -> u32 {
    world.starts.get(&task).copied().unwrap_or_default()
}
