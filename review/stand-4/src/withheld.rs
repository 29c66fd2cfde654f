//! Subtasks that last fail a few times, on sound minions.
//!
//! Rule LOST: a subtask that lasts isn't running for 3 s, from 6 s after its last run.

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    agent::{Agent, Gangs},
    http,
    world::{HOST, Record, World, config, route, wait_until},
};

const MINIONS: usize = 8;
const JOBS: u64 = 8;
const SUBTASKS: usize = 2;
/// How many runs of each subtask fail, and after how many milliseconds each.
const FAILURES: (u64, u64) = (10, 1000);
/// "from 6 s after its last run", "for 3 s".
const ALLOWED: Duration = Duration::from_secs(9);
const WATCH: Duration = Duration::from_secs(75);
const LIMIT: Duration = Duration::from_secs(3);

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let world = World::start(root, record.clone())?;
    let leader = world.leader().ok_or("there is no leader")?;
    world
        .configure(leader, &config(1, &[route("r-watch", "/watch/", 3)]))
        .ok_or("the configuration isn't acknowledged")?;
    let gangs = Arc::new(Gangs::default());
    for n in 0..MINIONS {
        Agent::start(
            &world,
            &format!("i-{n:02}"),
            &format!("r1-{}", n / 4),
            &gangs,
        );
    }
    thread::sleep(Duration::from_secs(3));
    let failures = if trouble { FAILURES.0 } else { 0 };
    let body = format!(
        r#"{{"spec":"100000000:{failures}:{}","jobSteps":[{{"count":{SUBTASKS},"cpu":2700,"memMb":1024,"estRuntimeMs":900,"longRunning":true,"maxPerServer":1}}]}}"#,
        FAILURES.1
    );
    let ids: Vec<String> = (1..=JOBS).map(|n| format!("5c0e7a21d94b{n:04x}")).collect();
    for id in &ids {
        let path = format!("/watch/{id}");
        let accepted = wait_until(Duration::from_secs(5), || {
            let answer = http::send(
                world.callers(),
                "POST",
                &path,
                &[("Host", HOST)],
                &body,
                LIMIT,
            );
            let status = answer.map_or(0, |(status, ..)| status);
            record.note(&format!("caller: POST {path}: {status}"));
            status == 200
        });
        if !accepted {
            return Err(format!("job {id} isn't accepted"));
        }
    }
    let running = || ids.iter().map(|id| record.running(id).len()).sum::<usize>();
    let all = ids.len() * SUBTASKS;
    let began = Instant::now();
    let mut full_since = None;
    while began.elapsed() < WATCH {
        thread::sleep(Duration::from_millis(100));
        if running() < all {
            full_since = None;
        } else if full_since.get_or_insert_with(Instant::now).elapsed() > ALLOWED {
            break;
        }
    }
    let pauses = record.pauses();
    let longest = pauses.values().max().copied().unwrap_or_default();
    record.note(&format!(
        "{} of {all} subtasks run; the longest time for which one hasn't run after a run is {longest:?}",
        running()
    ));
    let broken = pauses.iter().filter(|(_, pause)| **pause > ALLOWED).map(|(task, pause)| {
        format!("{task} hasn't run for {pause:?} after a run, while all {MINIONS} minions are sound and at most {} of their {} cores are in use", all * 3, MINIONS * 32)
    });
    Ok(broken.collect())
}
