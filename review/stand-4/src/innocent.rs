//! Three crashes of single minions under a job whose subtasks run on all minions of the service.
//!
//! Rule LOST: a job is shown as `failed` without cause; only ends `failed` count as attempts.

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    agent::{Agent, Gangs},
    http,
    json::Json,
    world::{HOST, Record, World, config, route, wait_until},
};

const MINIONS: usize = 12;
/// How long each subtask works.
const WORK_MS: u64 = 20_000;
/// For how long an earlier job keeps the minions at work, with no crash.
const CALM_MS: u64 = 15_000;
/// The minions that crash, one after the other: one of them twice.
const CRASHES: [usize; 3] = [1, 3, 1];
/// The time before the first crash, and from one to the next.
const FIRST: Duration = Duration::from_millis(1500);
const GAP: Duration = Duration::from_millis(5000);
/// How long a minion is down.
const DOWN: Duration = Duration::from_millis(4500);
const WATCH: Duration = Duration::from_secs(75);
const LIMIT: Duration = Duration::from_secs(3);

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let world = World::start(root, record.clone())?;
    let leader = world.leader().ok_or("there is no leader")?;
    world
        .configure(leader, &config(1, &[route("r-report", "/report/", 3)]))
        .ok_or("the configuration isn't acknowledged")?;
    let gangs = Arc::new(Gangs::default());
    let agents: Vec<_> = (0..MINIONS)
        .map(|n| {
            Agent::start(
                &world,
                &format!("i-{n:02}"),
                &format!("r1-{}", n / 4),
                &gangs,
            )
        })
        .collect();
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
    let submit = |path: &str, ms: u64| {
        let body = format!(
            r#"{{"spec":"{ms}","jobSteps":[{{"count":{MINIONS},"cpu":2000,"memMb":1024,"estRuntimeMs":{ms},"maxPerServer":1}}]}}"#
        );
        call("POST", path, &body).0 == 200
    };
    let (before, path) = ("/report/5c0e7a21d94b0001", "/report/5c0e7a21d94b0002");
    if !submit(before, CALM_MS) {
        return Err("the first job isn't accepted".to_owned());
    }
    let calm = Duration::from_millis(CALM_MS) + Duration::from_secs(10);
    if !wait_until(calm, || call("GET", before, "").1 == "completed") {
        return Err("the first job isn't completed".to_owned());
    }
    if !submit(path, WORK_MS) {
        return Err("the job isn't accepted".to_owned());
    }
    let began = Instant::now();
    let mut crashes = CRASHES.iter().filter(|_| trouble);
    let mut next = began + FIRST;
    let mut state = String::new();
    while began.elapsed() < WATCH {
        thread::sleep(Duration::from_millis(100));
        state = call("GET", path, "").1;
        if ["completed", "failed", "cancelled"].contains(&state.as_str()) {
            break;
        }
        if Instant::now() >= next {
            next += GAP;
            if let Some(number) = crashes.next() {
                agents[*number].crash(DOWN);
            }
        }
    }
    let ends = record.ends();
    let ends = ends.values().flatten();
    let failed = ends.filter(|(_, how)| *how == "failed").count();
    record.note(&format!("the job is {state}; {failed} ends are `failed`"));
    if state == "failed" && failed == 0 {
        return Ok(vec![format!(
            "job {path} is shown as failed {:?} after its POST; no subtask has ended `failed`",
            began.elapsed()
        )]);
    }
    if state != "completed" {
        return Err(format!("the job is still {state}"));
    }
    Ok(Vec::new())
}
