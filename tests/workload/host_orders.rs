//! Orders about hosts while more of them are due than the provider answers.
//!
//! Hundreds of hosts are to move at once, and the node has a few connections to a provider that takes a
//! while for each order. An order that waits for a connection can't be taken back, and its host does
//! nothing meanwhile. The tests guard against hosts that stood idle for seconds while the pool that they
//! belonged to waited for hosts, and against orders that counted as unanswered although they never left.

use std::time::Duration;

use egretpin::core::workload::{scheduler::OrderLimits, spec::JobSpec};

use crate::world::{
    OTHER_POOL, OTHER_QUEUE, ProviderLink, QUEUE, SPARE_POOL, World, long_running, ms, step,
};

/// Hosts of the pool that has more than it needs at first.
const HOSTS: usize = 260;
/// A provider that carries out some 37 orders a second over the connections of the node.
const LINK: ProviderLink = ProviderLink {
    connections: 3,
    answer_time: ms(80),
    max_wait: ms(2000),
};
/// The limits of a leader that knows of the connections.
const LIMITS: OrderLimits = OrderLimits {
    at_once: LINK.connections,
    per_second: 100,
};
/// Tasks of a job; each takes a whole host.
const TASKS: u32 = 8;

/// A world of two pools, the other one small, behind [`LINK`].
fn world(seed: u64) -> World {
    limited_world(seed, LIMITS)
}

fn limited_world(seed: u64, limits: OrderLimits) -> World {
    let mut world = World::new(HOSTS, seed);
    world.order_limits = limits;
    world.lead();
    for host in HOSTS..HOSTS + 10 {
        world.add_host(&format!("h{host}"), OTHER_POOL);
    }
    world.pass(ms(2000));
    world.provider = Some(LINK);
    world
}

/// Submits jobs whose tasks need so many whole hosts for a time.
fn submit(world: &mut World, queue: &str, first: u64, hosts: u32, millis: u64) {
    for job in 0..u64::from(hosts / TASKS) {
        let spec = JobSpec::new("x", vec![step(TASKS, 8, millis)]);
        world.submit_to(queue, first + job, spec);
    }
}

/// Tasks that run of the jobs from `first` on.
fn running(world: &World, first: u64, jobs: u64) -> usize {
    (first..first + jobs).map(|job| world.runs(job).len()).sum()
}

fn hosts_of(world: &World, pool: &str) -> usize {
    let hosts = world.hosts.values();
    hosts.filter(|host| &*host.pool == pool).count()
}

/// Lets the other pool ask for nearly all hosts, and then the first one for 160 of its own. Returns how
/// many of those tasks run half a second later.
fn started_where_hosts_are_wanted_elsewhere(mut world: World) -> usize {
    submit(&mut world, OTHER_QUEUE, 1, 240, 3000);
    world.pass(ms(1000));
    submit(&mut world, QUEUE, 101, 160, 1000);
    world.pass(ms(500));
    running(&world, 101, 20)
}

/// Hosts stood idle for up to ten seconds while their orders waited for a connection.
#[test]
fn hosts_go_on_working_until_their_orders_can_be_sent() {
    for seed in 0..3 {
        let started = started_where_hosts_are_wanted_elsewhere(world(seed));
        assert!(started >= 150, "seed {seed}: {started} of 160 tasks run");
    }
}

/// Without limits of its own the leader gives orders that wait in the node.
#[test]
fn hosts_are_idle_where_the_leader_does_not_limit_its_orders() {
    let limits = OrderLimits {
        at_once: usize::MAX,
        per_second: usize::MAX,
    };
    let started = started_where_hosts_are_wanted_elsewhere(limited_world(0, limits));
    assert!(started < 150, "{started} of 160 tasks run");
}

/// Orders beyond the provider's rate would be refused.
#[test]
fn no_more_orders_are_given_than_the_provider_accepts() {
    let limits = OrderLimits {
        at_once: 100,
        per_second: 20,
    };
    let mut world = limited_world(7, limits);
    world.provider = None;
    submit(&mut world, OTHER_QUEUE, 1, 240, 9000);
    for second in 1..=5 {
        let before = world.moves;
        world.pass(ms(1000));
        let moves = world.moves - before;
        assert!((15..=20).contains(&moves), "{moves} in second {second}");
    }
}

/// Checks that what was ordered was sent at once.
fn assert_sent_at_once(world: &World, orders: usize) {
    let (sent, longest) = (world.order_waits.len(), world.order_waits.iter().max());
    assert!(sent >= orders, "{sent} orders were sent");
    assert_eq!(world.unsent_orders, 0, "orders were given up unsent");
    assert!(*longest.unwrap() <= LINK.answer_time, "{longest:?}");
}

/// Orders that waited for a connection until their time limit counted as unanswered, were due again
/// and joined the same queue.
#[test]
fn orders_to_move_hosts_never_wait_for_a_connection() {
    let mut world = world(1);
    submit(&mut world, OTHER_QUEUE, 1, 240, 3000);
    world.pass(ms(4000));
    assert_sent_at_once(&world, 120);
}

/// The same where hosts are maintained.
#[test]
fn orders_to_maintain_hosts_never_wait_for_a_connection() {
    let mut world = world(2);
    let hosts: Vec<_> = (0..HOSTS).map(|host| format!("h{host}")).collect();
    let hosts: Vec<_> = hosts.iter().map(String::as_str).collect();
    world.start_wave(1, &hosts, 200, ms(30_000));
    world.pass(ms(4000));
    assert_sent_at_once(&world, 120);
    world.until("the wave is complete", ms(30_000), |world| {
        let wave = world.ledger.wave_record(1);
        wave.is_some_and(|wave| wave.remaining.is_empty())
    });
}

/// The number of hosts of the other pool a while after it asked for so many.
fn moved(hosts: u32) -> usize {
    let mut world = world(3);
    submit(&mut world, OTHER_QUEUE, 1, hosts, 9000);
    world.pass(ms(6000));
    hosts_of(&world, OTHER_POOL)
}

/// Orders that were given again for want of an answer took the places of others.
#[test]
fn as_many_hosts_move_when_more_are_due() {
    let (few, many) = (moved(120), moved(240));
    assert!(many >= few, "{many} moved, {few} of a smaller need");
    assert!(many >= 190, "{many} moved, 37 a second can");
}

/// Hosts that a pool waits for go before those that are only switched off.
#[test]
fn hosts_that_a_pool_needs_go_before_idle_ones() {
    let mut world = world(4);
    // A surge, after which all hosts are idle and are moved to the spare pool.
    submit(&mut world, OTHER_QUEUE, 1, 120, 500);
    world.until("idle hosts are switched off", ms(15_000), |world| {
        hosts_of(world, SPARE_POOL) >= 10
    });
    let before = hosts_of(&world, OTHER_POOL);
    submit(&mut world, OTHER_QUEUE, 101, 240, 9000);
    world.pass(ms(2000));
    let moved = hosts_of(&world, OTHER_POOL).saturating_sub(before);
    assert!(moved >= 50, "{moved} moved in two seconds, 37 a second can");
}

/// A wave that could keep the provider busy for seconds doesn't delay what a pool needs.
#[test]
fn hosts_that_a_pool_needs_go_before_maintenance() {
    let mut world = world(5);
    let hosts: Vec<_> = (0..HOSTS).map(|host| format!("h{host}")).collect();
    let hosts: Vec<_> = hosts.iter().map(String::as_str).collect();
    world.start_wave(1, &hosts, 200, ms(60_000));
    world.pass(ms(500));
    let before = hosts_of(&world, OTHER_POOL);
    submit(&mut world, OTHER_QUEUE, 1, 160, 9000);
    world.pass(ms(2500));
    let moved = hosts_of(&world, OTHER_POOL).saturating_sub(before);
    assert!(moved >= 50, "{moved} moved in two seconds, 37 a second can");
}

/// Long-running tasks keep to their budget while their hosts wait for their turn.
#[test]
fn a_wave_behind_a_slow_provider_keeps_the_budget() {
    let mut world = World::new(8, 6);
    world.order_limits = LIMITS;
    world.lead();
    world.submit(1, JobSpec::new("x", vec![long_running(5, 2)]));
    world.until("it runs", ms(2000), |world| world.runs(1).len() == 5);
    world.provider = Some(ProviderLink {
        answer_time: Duration::from_millis(700),
        ..LINK
    });
    world.start_wave(
        1,
        &["h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7"],
        4,
        ms(30_000),
    );
    world.until("the wave is complete", ms(60_000), |world| {
        assert!(world.runs(1).len() >= 4, "at most one task is down");
        let wave = world.ledger.wave_record(1);
        wave.is_some_and(|wave| wave.remaining.is_empty())
    });
}
