//! Crowds of clients that keep back the end of what they send, against the real daemon on loopback
//! addresses. One such test runs at a time, apart from the other tests: it is a target of its own.

#[path = "../support/claim.rs"]
mod claim;
#[allow(dead_code, reason = "these tests use a part of it")]
#[path = "../support/crowd.rs"]
mod crowd;
#[allow(dead_code, reason = "these tests use a part of it")]
#[path = "../process/world.rs"]
mod world;

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::runtime::Runtime;

use crate::{
    crowd::{Crowd, Sending},
    world::{World, until},
};

/// After this long a request that has no answer is sent again.
const TRY_LIMIT: Duration = Duration::from_secs(5);

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The status of a request on a connection of its own; nothing without an answer.
fn ask(method: &str, address: SocketAddr, path: &str) -> Option<u16> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TRY_LIMIT))
        .build()
        .into();
    let url = format!("http://{address}{path}");
    let answer = match method {
        "POST" => agent.post(url).send("dry"),
        _ => agent.get(url).call(),
    };
    Some(answer.ok()?.status().as_u16())
}

/// Checks that an ordinary request is answered by node 1.
fn assert_answers(world: &World) {
    until("an ordinary request is answered", || {
        (ask("POST", world.callers(1), "/soil/reading") == Some(200)).then_some(())
    });
}

/// Checks that an operator is answered by node 1.
fn assert_answers_operators(world: &World) {
    until("an operator is answered", || {
        (ask("GET", world.operators(1), "/v1/node") == Some(200)).then_some(())
    });
}

/// Checks that the process of node 1 runs.
fn assert_lives(world: &mut World) {
    let ended = world.node(1).0.try_wait().unwrap();
    assert_eq!(ended, None, "the process runs");
}

/// A stated length was reserved before a byte of it had come, so that a few heads used up the memory for
/// all bodies.
#[test]
fn stated_lengths_without_bodies() {
    let _alone = alone();
    let extra = "limits: { body: 1MiB, memory: 2MiB, read: 10m }\n";
    let mut world = World::start_with(extra);
    world.minion("soil-1", "soil", 1, "1ms");
    let runtime = Runtime::new().unwrap();
    let start = "POST /soil/reading HTTP/1.1\r\nhost: x\r\n";
    let sending = Sending::unfinished(start, 1 << 20, 1 << 20);
    let crowd = runtime.block_on(async { Crowd::send(4, world.callers(1), &sending) });
    runtime.block_on(crowd.stands());
    assert_answers(&world);
    drop(crowd);
    assert_answers(&world);
    assert_lives(&mut world);
}

/// At the bound on connections nobody was accepted, so that an ordinary caller waited behind idle ones
/// until their time was over.
#[test]
fn silent_connections() {
    let _alone = alone();
    let mut world = World::start_with("limits: { connections: 40, read: 10m }\n");
    world.minion("soil-1", "soil", 1, "1ms");
    let runtime = Runtime::new().unwrap();
    let sending = Sending::nothing();
    let crowd = runtime.block_on(async { Crowd::send(100, world.callers(1), &sending) });
    runtime.block_on(crowd.stands());
    assert_answers(&world);
    drop(crowd);
    assert_answers(&world);
    assert_lives(&mut world);
}

/// Four operators that kept back the end of their bodies held all threads of the interface for good.
#[test]
fn operators_that_do_not_finish() {
    let _alone = alone();
    let mut world = World::start_with("");
    let runtime = Runtime::new().unwrap();
    let start = "POST /v1/operations HTTP/1.1\r\nhost: x\r\n";
    let sending = Sending::unfinished(start, 4 << 20, 1);
    let crowd = runtime.block_on(async { Crowd::send(8, world.operators(1), &sending) });
    runtime.block_on(crowd.stands());
    assert_answers_operators(&world);
    drop(crowd);
    assert_answers_operators(&world);
    assert_lives(&mut world);
}
