//! Conclusions that the scheduler draws from the provider's lists of hosts, and that it must not
//! draw.
//!
//! A list may be outdated. It may also lack a host that exists: the list is read page by page, and
//! a host that is added or removed meanwhile shifts other hosts across the boundary of two pages.

use egretpin::core::{
    types::HostId,
    workload::{command::Command, job::TaskId, ledger::Ledger, spec::JobSpec},
};

use crate::world::{POOL, World, long_running, ms};

fn is_complete(ledger: &Ledger) -> bool {
    ledger
        .wave_record(1)
        .is_some_and(|wave| wave.remaining.is_empty())
}

/// Waits for the end of the wave, and checks that these hosts were maintained.
fn expect_maintained(world: &mut World, hosts: &[&str]) {
    world.until("the wave is complete", ms(30_000), |world| {
        is_complete(&world.ledger)
    });
    for host in hosts {
        let key = (1, HostId::from(*host));
        assert!(world.maintained.contains(&key), "{host} was maintained");
    }
}

#[test]
fn a_wave_waits_for_hosts_that_were_added_after_the_last_list() {
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
    expect_maintained(&mut world, &["h0", "h8", "h9"]);
}

#[test]
fn a_wave_waits_for_a_host_missing_from_one_list() {
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
    expect_maintained(&mut world, &["h0", "h1", "h2"]);
}

#[test]
fn a_wave_drops_an_unlisted_host_only_once_the_provider_rejects_it() {
    let mut world = World::new(3, 3);
    world.pass(ms(2000));
    // The host exists though no list has it; only the order for its maintenance shows that.
    world.unlisted.insert("h1".into());
    world.start_wave(1, &["h1", "nowhere"], 1, ms(20_000));
    expect_maintained(&mut world, &["h1"]);
}

#[test]
fn a_wave_drops_a_removed_host_after_few_orders() {
    let mut world = World::new(3, 3);
    world.pass(ms(2000));
    world.start_wave(1, &["h0", "h1"], 1, ms(20_000));
    let agent = world.hosts[&HostId::from("h1")].agent.clone().unwrap();
    world.crash(&agent);
    world.hosts.remove("h1");
    world.removed.insert("h1".into());
    expect_maintained(&mut world, &["h0"]);
    assert!(world.now < ms(14_000), "{:?}", world.now);
    assert!(world.sent["maintain"] <= 2, "{:?}", world.sent);
}

#[test]
fn tasks_of_an_unresponsive_agent_missing_from_one_list_are_not_restarted() {
    for seed in 0..8 {
        let mut world = World::new(4, seed);
        world.submit(1, JobSpec::new("x", vec![long_running(2, 2)]));
        world.until("it runs", ms(2000), |world| world.runs(1).len() == 2);
        world.pass(ms(1000));
        let (agent, task) = world.runs(1)[0].clone();
        let host = world.agents[&agent].host.clone();
        world.disconnect(&agent, ms(4000));
        world.until("the agent counts as unresponsive", ms(3000), |world| {
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
        // The task runs all the while, so another start would be a second run.
        world.pass(ms(5000));
        assert_eq!(starts(&world, task), 1);
    }
}

#[test]
fn tasks_of_a_host_missing_from_two_lists_are_restarted() {
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
fn each_host_of_a_wave_is_committed_as_maintained_once() {
    let mut world = World::new(2, 4);
    world.start_wave(1, &["h0", "nowhere"], 1, ms(20_000));
    let mut commands = 0;
    let mut last = 0;
    world.until("the wave is complete", ms(20_000), |world| {
        is_complete(&world.ledger)
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
