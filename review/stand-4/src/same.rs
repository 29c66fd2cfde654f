//! Requesters of two queues choose the same ID.
//!
//! Rule LOST: an accepted job is never run. Rule MIXED: a job that nobody submitted is shown.

use std::{path::Path, sync::Arc, thread, time::Duration};

use crate::{
    agent::{Agent, Gangs},
    http,
    json::Json,
    world::{HOST, Record, World, config, route, wait_until},
};

const MINIONS: usize = 4;
const LIMIT: Duration = Duration::from_secs(3);
/// The queues' subtasks; they tell the jobs of the two queues apart.
const SUBTASKS: (usize, usize) = (1, 3);
const JOBS: u64 = 3;
/// `visible_ms`, and as much again.
const VISIBLE: Duration = Duration::from_secs(6);

fn job(subtasks: usize) -> String {
    format!(
        r#"{{"spec":"200","jobSteps":[{{"count":{subtasks},"cpu":100,"memMb":16,"estRuntimeMs":200}}]}}"#
    )
}

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let world = World::start(root, record.clone())?;
    let leader = world.leader().ok_or("there is no leader")?;
    let routes = [route("r-a", "/a/", 3), route("r-b", "/b/", 3)];
    world
        .configure(leader, &config(1, &routes))
        .ok_or("the configuration isn't acknowledged")?;
    let gangs = Arc::new(Gangs::default());
    for number in 0..MINIONS {
        Agent::start(&world, &format!("i-{number}"), "r1-0", &gangs);
    }
    thread::sleep(Duration::from_secs(2));
    let call = |method: &str, path: &str, body: &str| {
        let answer = http::send(
            world.callers(),
            method,
            path,
            &[("Host", HOST)],
            body,
            LIMIT,
        );
        let (status, body, _) = answer.unwrap_or_default();
        record.note(&format!(
            "caller: {method} {path}: {status} {}",
            body.trim()
        ));
        (status, Json::read(&body).get("state").text().to_owned())
    };
    // Each queue's requester numbers its jobs by itself, from 1.
    let first_of_b = if trouble { 1 } else { 1 + JOBS };
    for number in 1..=JOBS {
        if call("POST", &format!("/a/{number:016x}"), &job(SUBTASKS.0)).0 != 200 {
            return Err("a job of queue a isn't accepted".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(2));
    let mut broken = Vec::new();
    for number in first_of_b..first_of_b + JOBS {
        let (id, path) = (format!("{number:016x}"), format!("/b/{number:016x}"));
        // Nobody has submitted this one so far.
        let (status, state) = call("GET", &path, "");
        if status != 410 {
            broken.push(format!(
                "GET {path}, which nobody has submitted: {status} {state}"
            ));
        }
        if call("POST", &path, &job(SUBTASKS.1)).0 != 200 {
            continue;
        }
        let started = || {
            let starts = record.starts();
            starts.keys().filter(|task| task.starts_with(&id)).count()
        };
        wait_until(VISIBLE, || started() >= SUBTASKS.1);
        let (_, state) = call("GET", &path, "");
        if started() < SUBTASKS.1 {
            broken.push(format!(
                "POST {path} was answered 200; {VISIBLE:?} later it is shown as {state}, and {} of its {} subtasks was started, which is that of queue a's job",
                started(),
                SUBTASKS.1
            ));
        }
    }
    Ok(broken)
}
