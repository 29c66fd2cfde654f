//! A minion crashes under a gang, on a service whose minions all run a subtask that lasts.
//!
//! Rule LOST: a job has nothing running for 3 s while its turn has come, with capacity for it twice
//! over and under half of the service's capacity in use.

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

const MINIONS: usize = 10;
const MEMBERS: usize = 4;
const LIMIT: Duration = Duration::from_secs(3);
/// How long the minion is down.
const DOWN: Duration = Duration::from_millis(4500);
/// How long the gang works.
const WORK_MS: u64 = 3000;
/// How long after the crash the job is looked at: far beyond `finish_s`, 14 s, and what a lease and
/// the work itself take.
const WATCH: Duration = Duration::from_secs(32);
/// How long nothing happens before.
const CALM: Duration = Duration::from_secs(10);
/// What the rule allows a job to have nothing running.
const ALLOWED: Duration = Duration::from_secs(3);

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let world = World::start(root, record.clone())?;
    let leader = world.leader().ok_or("there is no leader")?;
    let routes = [route("r-watch", "/watch/", 3), route("r-gang", "/gang/", 3)];
    world
        .configure(leader, &config(1, &routes))
        .ok_or("the configuration isn't acknowledged")?;
    let gangs = Arc::new(Gangs::default());
    let agents: Vec<_> = (0..MINIONS)
        .map(|number| {
            let (id, rack) = (format!("i-{number:02}"), format!("r1-{}", number / 4));
            Agent::start(&world, &id, &rack, &gangs)
        })
        .collect();
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
    // Waits until all minions are known.
    thread::sleep(Duration::from_secs(3));
    let lasting = format!(
        r#"{{"spec":"100000000","jobSteps":[{{"count":{MINIONS},"cpu":2000,"memMb":1024,"estRuntimeMs":900,"longRunning":true,"maxPerServer":1,"mayMiss":2}}]}}"#
    );
    let watch = "5c0e7a21d94b0001";
    if call("POST", &format!("/watch/{watch}"), &lasting).0 != 200 {
        return Err("the job that lasts isn't accepted".to_owned());
    }
    let at_work = wait_until(Duration::from_secs(15), || {
        record.running(watch).len() == MINIONS
    });
    if !at_work {
        return Err("the subtasks that last aren't all started".to_owned());
    }
    // Crashes have to be rare here for one to tell anything.
    thread::sleep(CALM);
    let gang = "5c0e7a21d94b0002";
    gangs
        .sizes
        .lock()
        .expect("no panic")
        .insert(gang.to_owned(), MEMBERS);
    let body = format!(
        r#"{{"spec":"{WORK_MS}","jobSteps":[{{"count":{MEMBERS},"cpu":12000,"memMb":1024,"estRuntimeMs":{WORK_MS},"gang":true,"maxPerServer":1}}]}}"#
    );
    let path = format!("/gang/{gang}");
    if call("POST", &path, &body).0 != 200 {
        return Err("the gang isn't accepted".to_owned());
    }
    let at_work = wait_until(Duration::from_secs(10), || {
        record.running(gang).len() == MEMBERS
    });
    if !at_work {
        return Err("the gang isn't started".to_owned());
    }
    thread::sleep(Duration::from_millis(1000));
    if trouble {
        let running = record.running(gang);
        let victim = agents.iter().find(|agent| running.contains(&agent.id()));
        let victim = victim.ok_or("the gang has ended early")?;
        victim.crash(DOWN);
    }
    let began = Instant::now();
    let (mut idle_since, mut longest) = (None, Duration::ZERO);
    let mut state = String::new();
    while began.elapsed() < WATCH && state != "completed" {
        thread::sleep(Duration::from_millis(250));
        (_, state) = call("GET", &path, "");
        if record.running(gang).is_empty() && state != "completed" {
            let since = *idle_since.get_or_insert_with(Instant::now);
            longest = longest.max(since.elapsed());
        } else {
            idle_since = None;
        }
    }
    let lasting = record.running(watch).len();
    record.note(&format!(
        "the gang is {state}; the longest time with nothing of it running is {longest:?}; {lasting} subtasks that last are running"
    ));
    // The subtasks that last take 20 of 320 cores, and each minion has room for two members.
    let mut broken = Vec::new();
    if state != "completed" && longest >= ALLOWED * 4 {
        broken.push(format!(
            "job {gang} is {state}, with nothing running for {longest:?}, while {} of {} cores are in use",
            lasting * 2,
            MINIONS * 32
        ));
    }
    Ok(broken)
}
