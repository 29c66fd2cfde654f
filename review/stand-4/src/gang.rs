//! Two members of a gang fail in one run, on minions that fail all that they start.
//!
//! Rule LOST: a job is shown as `failed` without cause. A gang has to fail `maxAttempts` times.

use std::{collections::BTreeSet, path::Path, sync::Arc, thread, time::Duration};

use crate::{
    agent::{Agent, Gangs},
    http,
    json::Json,
    world::{HOST, Record, World, config, route, wait_until},
};

const MINIONS: usize = 14;
/// The minions that fail all that they start: a seventh.
const FAILING: usize = 2;
/// For how long they do.
const FAIL_TIME: Duration = Duration::from_millis(5500);
const MAX_ATTEMPTS: u32 = 4;
const JOBS: u64 = 3;
const LIMIT: Duration = Duration::from_secs(2);

/// The state of a job; empty if there is no answer.
fn state(world: &World, id: u64) -> String {
    let path = format!("/gang/{id:016x}");
    let answer = http::send(world.callers(), "GET", &path, &[("Host", HOST)], "", LIMIT);
    let body = answer.map(|(_, body, _)| body).unwrap_or_default();
    Json::read(&body).get("state").text().to_owned()
}

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let world = World::start(root, record.clone())?;
    let leader = world.leader().ok_or("there is no leader")?;
    world
        .configure(
            leader,
            &config(1, &[route("r-gang", "/gang/", MAX_ATTEMPTS)]),
        )
        .ok_or("the configuration isn't acknowledged")?;
    let gangs = Arc::new(Gangs::default());
    let agents: Vec<_> = (0..MINIONS)
        .map(|number| {
            let (id, rack) = (format!("i-{number:02}"), format!("r1-{}", number / 4));
            Agent::start(&world, &id, &rack, &gangs)
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if trouble {
        for agent in &agents[..FAILING] {
            agent.fail_for(FAIL_TIME);
            record.note(&format!(
                "minion {} fails all that it starts for {FAIL_TIME:?}",
                agent.id()
            ));
        }
    }
    let body = format!(
        r#"{{"spec":"500","jobSteps":[{{"count":{MINIONS},"cpu":1000,"memMb":64,"estRuntimeMs":500,"gang":true,"maxPerServer":1}}]}}"#
    );
    let ids: Vec<u64> = (1..=JOBS)
        .map(|number| 0x9a06_0000_0000_0000 | number)
        .collect();
    let mut broken = Vec::new();
    for id in ids {
        let name = format!("{id:016x}");
        gangs
            .sizes
            .lock()
            .expect("no panic")
            .insert(name.clone(), MINIONS);
        let path = format!("/gang/{name}");
        let accepted = wait_until(Duration::from_secs(10), || {
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
            return Err(format!("job {name} isn't accepted"));
        }
        let mut shown = String::new();
        let over = wait_until(Duration::from_secs(25), || {
            shown = state(&world, id);
            ["completed", "failed", "cancelled"].contains(&shown.as_str())
        });
        record.note(&format!("caller: GET {path}: {shown}"));
        if !over {
            return Err(format!("job {name} is still {shown}"));
        }
        let ends = record.ends();
        let ends = ends.iter().filter(|(task, _)| task.starts_with(&name));
        let failed = ends
            .flat_map(|(_, ends)| ends)
            .filter(|(_, how)| *how == "failed");
        let runs: Vec<u64> = failed.map(|(run, _)| *run).collect();
        let distinct: BTreeSet<u64> = runs.iter().copied().collect();
        record.note(&format!(
            "job {name}: {} ends `failed`, in {} runs of the gang; maxAttempts is {MAX_ATTEMPTS}",
            runs.len(),
            distinct.len()
        ));
        if shown == "failed" && distinct.len() < MAX_ATTEMPTS as usize {
            broken.push(format!(
                "job {name} is shown as failed after its gang has failed {} time(s), of maxAttempts {MAX_ATTEMPTS}",
                distinct.len()
            ));
        }
    }
    Ok(broken)
}
