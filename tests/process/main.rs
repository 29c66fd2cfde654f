//! The whole path as separate processes on loopback.

#[path = "../support/claim.rs"]
mod claim;
mod explain;
mod faults;
mod freezes;
mod keys;
mod losses;
mod maintenance;
mod measures;
mod signals;
mod voters;
mod world;

use std::{collections::BTreeSet, thread};

use serde_json::json;

use crate::world::{World, call, until};

#[test]
fn a_request_comes_back_whole_through_another_node() {
    let mut world = World::start();
    world.minion("soil-1", "soil", 1, "1ms");
    // Node 2 heard nothing itself: the mesh told it.
    until("node 2 routes to the minion", || {
        let told = call(world.callers(2), "/soil/reading", "pepper 7");
        (told.status == 200).then(|| assert_eq!(told.body, "pepper 7"))
    });
    // Node 3 is in the other data centre and spills.
    until("node 3 spills to the other data centre", || {
        let told = call(world.callers(3), "/soil/reading", "pepper 8");
        (told.status == 200).then(|| assert_eq!(told.body, "pepper 8"))
    });
    let told = call(world.callers(1), "/nothing/here", "");
    assert_eq!((told.status, told.outcome.as_str()), (404, "not-run"));
    assert_eq!(told.reason, "no_service");
}

#[test]
fn a_job_is_accepted_once_and_run_once() {
    let world = World::start();
    let follower = (1..=3).find(|node| *node != world.leader()).unwrap();
    let job = world.submit(follower, "job-a");
    assert_eq!(
        world.submit(world.leader(), "job-a"),
        job,
        "a resend is the same job"
    );
    until("the job succeeds on every node's copy", || {
        let done = (1..=3).all(|node| {
            world
                .job(node, job)
                .is_some_and(|job| job["result"] == "succeeded")
        });
        done.then_some(())
    });
    let starts = world.starts();
    assert_eq!(starts[job.to_string()], 1, "{starts}");
}

#[test]
fn a_preset_takes_force_everywhere_and_one_of_two_racing_operators_wins() {
    let world = World::start();
    let version = world.status(1).unwrap()["acting"]["version"].clone();
    let use_preset =
        |preset: &str| json!({"kind": "use_preset", "preset": preset, "expected": version});
    let (status, won) = world.command(1, "op-a", &use_preset("peak"));
    assert_eq!(status, 200, "{won}");
    let (status, lost) = world.command(2, "op-b", &use_preset("ordinary"));
    assert_eq!(status, 409);
    assert_eq!(
        lost["reply"]["refused"]["stale"]["change"]["operation"],
        "op-a"
    );
    let (status, again) = world.command(3, "op-a", &use_preset("peak"));
    assert_eq!(
        (status, again),
        (200, won),
        "a resend gets the first answer"
    );
    for node in 1..=3 {
        until("the preset is in force", || {
            (world.status(node)?["acting"]["preset"] == "peak").then_some(())
        });
    }
    let digests: BTreeSet<_> = (1..=3)
        .map(|node| {
            until("the copies are level", || {
                let (mine, leading) = (world.status(node)?, world.status(world.leader())?);
                (mine["applied"] == leading["applied"]).then(|| mine["digest"].to_string())
            })
        })
        .collect();
    assert_eq!(digests.len(), 1, "{digests:?}");
}

#[test]
fn a_planned_stop_cuts_nothing() {
    let mut world = World::start();
    world.minion("soil-1", "soil", 1, "1500ms");
    let address = world.callers(1);
    let calls: Vec<_> = (0..6)
        .map(|n| {
            thread::spawn(move || {
                let body = format!("reading {n}");
                (call(address, "/soil/reading", &body), body)
            })
        })
        .collect();
    until("all requests are accepted", || {
        let gauge = |name| world.metric(1, name);
        // Some may wait for a slot that the other node of the data centre has to lend.
        (gauge("egretpin_in_flight")? + gauge("egretpin_waiting")? == 6).then_some(())
    });
    world.node(1).signal("-TERM");
    for call in calls {
        let (told, body) = call.join().unwrap();
        assert_eq!((told.status, told.body), (200, body));
    }
    assert!(world.node(1).ended(), "the node ends well");
}
