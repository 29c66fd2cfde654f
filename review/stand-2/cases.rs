//! The scripts: what each does, and which rule it checks.

use std::{
    collections::BTreeMap,
    fs,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    base::{Process, wait_for},
    world::{Down, Job, Queue, Step, World},
};

/// The services of ewedu-lagos and their minions.
const SERVICES: [(&str, usize); 5] = [
    ("soilsvc", 8),
    ("healthsvc", 9),
    ("lightsvc", 11),
    ("growsvc", 12),
    ("appsvc", 8),
];
/// How long a crashed minion is down, as in the site's `srv_crash`.
const DOWN_MS: u64 = 4_500;

type Nodes = BTreeMap<u8, Process>;

/// Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run.
pub fn run(case: &str, folder: &Path, root: &Path, trouble: bool) -> u8 {
    let work = std::env::temp_dir().join(format!("egretpin-review-{}", std::process::id()));
    fs::create_dir_all(&work).unwrap();
    let record = folder.join("record.txt");
    let code = match case {
        "gang" => gang(root, &work, &record, trouble),
        "capitals" => capitals(root, &work, &record, trouble),
        "ticket" => ticket(root, &work, &record, trouble),
        "label" => label(root, &work, &record, trouble),
        "lasting" => lasting(root, &work, &record, trouble),
        _ => None,
    };
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&work);
    } else {
        println!("logs in {}", work.display());
    }
    code.unwrap_or(2)
}

/// Ends a script: writes the result, and prints it.
fn close(world: &World, nodes: Nodes) -> Option<u8> {
    drop(nodes);
    let mut sim = world.lock();
    sim.finished = true;
    let broken = sim.broken.clone();
    let now = world.now();
    let verdict = if broken.is_empty() { "the rule held" } else { "a rule was broken" };
    sim.note(now, verdict);
    for line in &broken {
        println!("{line}");
    }
    println!("{verdict}");
    Some(u8::from(!broken.is_empty()))
}

/// The deployment: as ewedu-lagos, with three core machines and two front machines.
fn deploy(root: &Path, work: &Path, record: &Path, queues: Vec<Queue>) -> Option<(Arc<World>, Nodes)> {
    deploy_with(root, work, record, queues, |_, _| "a")
}

/// The same with the kind of each minion of a service.
fn deploy_with(
    root: &Path,
    work: &Path,
    record: &Path,
    queues: Vec<Queue>,
    kind: impl Fn(&str, usize) -> &'static str,
) -> Option<(Arc<World>, Nodes)> {
    let world = World::new(root, work, record, 3, 2, queues);
    world.serve_platform();
    for (service, count) in SERVICES {
        for n in 0..count {
            let (rack, zone) = (format!("{service}-r{}", n / 4), world.zones[n % 4]);
            world.add_minion(service, &rack, kind(service, n), zone);
        }
    }
    let nodes = world.launch_all()?;
    if !world.declare(1, "appsvc") {
        return None;
    }
    thread::sleep(Duration::from_millis(2_500));
    Some((world, nodes))
}

fn batch(id: u64, queue: usize, steps: Vec<Step>) -> Job {
    Job {
        id: format!("{id:016x}"),
        queue,
        spec: format!("job-{id}"),
        steps,
        ..Job::default()
    }
}

fn tasks(count: u32, cpu: u64, work_ms: u64) -> Step {
    Step { count, cpu, work_ms, ..Step::default() }
}

/// Submits a lasting job with a subtask on each minion of a service, and waits until all work.
fn watchers(world: &World, id: u64, queue: usize, count: u32) -> bool {
    let step = Step {
        long: true,
        per_server: 1,
        may_miss: 1,
        ..tasks(count, 2_700, 900)
    };
    let job = batch(id, queue, vec![step]);
    let name = job.id.clone();
    world.submit(job) && wait_for(Duration::from_secs(10), || world.lock().running_of(&name) == count as usize)
}

/// Submits a small job to a queue at intervals, until the flag is set.
fn traffic(world: &Arc<World>, queue: usize, first: u64, every_ms: u64, stop: &Arc<AtomicBool>) {
    let (world, stop) = (Arc::clone(world), Arc::clone(stop));
    thread::spawn(move || {
        let mut id = first;
        while !stop.load(Ordering::Relaxed) && !world.lock().finished {
            world.submit(batch(id, queue, vec![tasks(2, 1_800, 640)]));
            id += 1;
            thread::sleep(Duration::from_millis(every_ms));
        }
    });
}

/// After the end of the traffic: the job has nothing running for 3 s although it isn't over, there
/// is room for it twice over, and under half of its service is in use. `has_room` is given what each
/// minion of the service has free, in thousandths of a core: on rack r1, and on the others.
fn check_stuck(world: &World, id: &str, has_room: impl Fn(&[u64], &[u64]) -> bool) {
    let pool = {
        let sim = world.lock();
        sim.queues[sim.jobs[id].queue].service.clone()
    };
    thread::sleep(Duration::from_secs(14));
    let state = world.state(id);
    let mut idle = 0;
    for _ in 0..60 {
        let sim = world.lock();
        let (used, all) = sim.load(&pool);
        let free = |on_rack: bool| -> Vec<u64> {
            let up = sim.minions.iter().filter(|m| m.pool == pool && m.down.is_none());
            let there = up.filter(|m| m.rack.ends_with("-r1") == on_rack);
            there.map(|m| sim.free(m)).collect()
        };
        let room = has_room(&free(true), &free(false)) && used * 2 < all;
        idle = if sim.running_of(id) == 0 && room { idle + 1 } else { 0 };
        drop(sim);
        thread::sleep(Duration::from_millis(60));
    }
    let after = world.state(id);
    let (used, all) = world.lock().load(&pool);
    world.note(&format!("job {id} is shown as {state}, then as {after}; {used} of {all} millicores of {pool} are in use"));
    let over = |s: &str| ["completed", "failed", "cancelled"].contains(&s);
    if idle >= 55 && !over(&state) && !over(&after) {
        let now = world.now();
        world.lock().broke(now, format!("LOST: job {id} is {after} and has nothing running, with {} millicores free", all - used));
    }
}

/// A gang loses one of its minions.
fn gang(root: &Path, work: &Path, record: &Path, trouble: bool) -> Option<u8> {
    let queues = vec![
        Queue::new("moisture-check", "soilsvc", 2, 600),
        Queue::new("moisture-watch", "soilsvc", 3, 2_500),
        Queue::new("moisture-model", "soilsvc", 3, 600),
    ];
    let (world, nodes) = deploy(root, work, record, queues)?;
    if !watchers(&world, 0x100, 1, 8) {
        return None;
    }
    let stop = Arc::new(AtomicBool::new(false));
    traffic(&world, 0, 0x1000, 300, &stop);
    thread::sleep(Duration::from_secs(6));
    let step = Step { gang: true, per_server: 1, ..tasks(4, 4_000, 4_000) };
    let job = batch(0x200, 2, vec![step]);
    let id = job.id.clone();
    world.submit(job);
    if !wait_for(Duration::from_secs(10), || world.lock().running_of(&id) == 4) {
        return None;
    }
    if trouble {
        thread::sleep(Duration::from_millis(800));
        let now = world.now();
        let mut sim = world.lock();
        let at = sim.where_runs(&format!("{id}.0.0.0"))?;
        sim.take_down(now, at, Down::Crash, Some(DOWN_MS), "down");
    }
    thread::sleep(Duration::from_secs(15));
    stop.store(true, Ordering::Relaxed);
    world.note("the traffic ends");
    // Each subtask on a minion of its own.
    check_stuck(&world, &id, |rack, others| {
        rack.iter().chain(others).filter(|free| **free >= 4_000).count() >= 8
    });
    close(&world, nodes)
}

/// A job with a step that needs a label loses the minion that runs all of it.
fn label(root: &Path, work: &Path, record: &Path, trouble: bool) -> Option<u8> {
    let queues = vec![
        Queue::new("moisture-check", "soilsvc", 2, 600),
        Queue::new("moisture-watch", "soilsvc", 3, 2_500),
    ];
    let (world, nodes) = deploy(root, work, record, queues)?;
    if !watchers(&world, 0x100, 1, 8) {
        return None;
    }
    thread::sleep(Duration::from_secs(4));
    // Each minion of the service runs and ends a subtask.
    let each = Step { per_server: 1, ..tasks(8, 1_800, 400) };
    world.submit(batch(0x1000, 0, vec![each]));
    let done = wait_for(Duration::from_secs(10), || world.state(&format!("{:016x}", 0x1000)) == "completed");
    let rack = "soilsvc-r1".to_owned();
    let near = Step { data_rack: rack.clone(), ..tasks(1, 1_800, 2_000) };
    let bound = Step { label: rack, ..tasks(2, 1_800, 2_000) };
    let job = batch(0x200, 0, vec![near, bound]);
    let id = job.id.clone();
    world.submit(job);
    if !done || !wait_for(Duration::from_secs(10), || world.lock().running_of(&id) == 3) {
        return None;
    }
    if trouble {
        thread::sleep(Duration::from_millis(500));
        let now = world.now();
        let mut sim = world.lock();
        let at = sim.where_runs(&format!("{id}.0.0.0"))?;
        sim.take_down(now, at, Down::Crash, Some(DOWN_MS), "down");
    }
    thread::sleep(Duration::from_secs(15));
    world.note("the traffic ends");
    check_stuck(&world, &id, |rack, _| {
        rack.iter().map(|free| free / 1_800).sum::<u64>() >= 4
    });
    close(&world, nodes)
}

/// A job of a queue with advice loses its minion while the others are busy.
fn ticket(root: &Path, work: &Path, record: &Path, trouble: bool) -> Option<u8> {
    let queues = vec![
        Queue { advice: true, ..Queue::new("health-report", "healthsvc", 3, 600) },
        Queue::new("health-watch", "healthsvc", 3, 2_500),
        Queue::new("health-scan", "healthsvc", 3, 600),
    ];
    let (world, nodes) = deploy(root, work, record, queues)?;
    if !watchers(&world, 0x100, 1, 9) {
        return None;
    }
    thread::sleep(Duration::from_secs(4));
    // Each minion of the service runs and ends a subtask.
    let each = Step { per_server: 1, ..tasks(9, 1_800, 400) };
    world.submit(batch(0x1000, 2, vec![each]));
    let done = wait_for(Duration::from_secs(10), || world.state(&format!("{:016x}", 0x1000)) == "completed");
    let job = batch(0x200, 0, vec![tasks(1, 20_000, 2_000)]);
    let id = job.id.clone();
    world.submit(job);
    if !done || !wait_for(Duration::from_secs(10), || world.lock().running_of(&id) == 1) {
        return None;
    }
    // The other minions are busy for some seconds.
    let others = world.lock().minions.iter().filter(|m| m.pool == "healthsvc" && m.down.is_none()).count() - 1;
    let busy = Step { per_server: 1, ..tasks(others as u32, 20_000, 4_500) };
    world.submit(batch(0x1001, 2, vec![busy]));
    if trouble {
        thread::sleep(Duration::from_millis(500));
        let now = world.now();
        let mut sim = world.lock();
        let at = sim.where_runs(&format!("{id}.0.0.0"))?;
        sim.take_down(now, at, Down::Crash, Some(DOWN_MS), "down");
    }
    thread::sleep(Duration::from_secs(15));
    world.note("the traffic ends");
    check_stuck(&world, &id, |rack, others| {
        rack.iter().chain(others).filter(|free| **free >= 20_000).count() >= 2
    });
    let rejected = world.lock().rejected.values().sum::<u32>();
    world.note(&format!("{rejected} starts were rejected for want of a valid ticket"));
    close(&world, nodes)
}

/// Lasting subtasks that need a label fail a few times.
fn lasting(root: &Path, work: &Path, record: &Path, trouble: bool) -> Option<u8> {
    let queues = vec![
        Queue::new("health-report", "healthsvc", 3, 600),
        Queue::new("moisture-watch", "soilsvc", 3, 2_500),
    ];
    let (world, nodes) = deploy_with(root, work, record, queues, |service, n| {
        if service == "soilsvc" && n == 0 { "b" } else { "a" }
    })?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut ids = Vec::new();
    for n in 0..3 {
        let step = Step {
            long: true,
            label: "b".to_owned(),
            may_miss: 1,
            fails: if trouble { 4 } else { 0 },
            ..tasks(1, 2_700, 1_500)
        };
        let job = batch(0x300 + n, 1, vec![step]);
        ids.push(job.id.clone());
        world.submit(job);
    }
    traffic(&world, 0, 0x1000, 400, &stop);
    let mut last = vec![world.now(); ids.len()];
    let end = world.now() + 50_000;
    while world.now() < end {
        let now = world.now();
        let mut sim = world.lock();
        let (used, all) = sim.load("soilsvc");
        let there = sim.minions.iter().find(|m| m.kind == "b").is_some_and(|m| m.down.is_none() && m.pool == "soilsvc");
        for (id, last) in ids.iter().zip(&mut last) {
            if sim.running_of(id) > 0 || !there || used * 2 >= all {
                *last = now;
            } else if now >= *last + 9_000 {
                let text = format!("LOST: the lasting subtask of job {id} hasn't run for {} ms since its last run; its minion is up and idle", now - *last);
                sim.broke(now, text);
                *last = now + 1_000_000;
            }
        }
        drop(sim);
        thread::sleep(Duration::from_millis(20));
    }
    stop.store(true, Ordering::Relaxed);
    close(&world, nodes)
}

/// Requesters write the digits of an ID in capitals.
fn capitals(root: &Path, work: &Path, record: &Path, trouble: bool) -> Option<u8> {
    let queues = vec![Queue::new("moisture-check", "soilsvc", 2, 600)];
    let (world, nodes) = deploy(root, work, record, queues)?;
    let name = |id: &str| if trouble { id.to_uppercase() } else { id.to_owned() };
    // The second differs from the first only in its letters, or else in its last digit.
    let second = if trouble { "00AB00CD00EF00A1" } else { "00ab00cd00ef00a3" };
    let ids = ["00ab00cd00ef00a1".to_owned(), second.to_owned(), name("00ab00cd00ef00b2")];
    for (n, id) in ids.iter().enumerate() {
        let job = Job {
            id: id.clone(),
            spec: format!("job-{n}"),
            steps: vec![tasks(2, 1_800, 640)],
            ..Job::default()
        };
        if !world.submit(job) {
            return None;
        }
        thread::sleep(Duration::from_secs(2));
    }
    thread::sleep(Duration::from_secs(14));
    for id in &ids {
        let state = world.state(id);
        let now = world.now();
        let mut sim = world.lock();
        let done = (0..2).filter(|n| sim.done.contains_key(&format!("{id}.0.0.{n}"))).count();
        sim.note(now, &format!("job {id} is shown as {state}, {done} of its 2 subtasks are done"));
        if state == "completed" && done < 2 {
            sim.broke(now, format!("MIXED: job {id} is shown as completed, {done} of its 2 subtasks are done"));
        } else if state != "completed" {
            sim.broke(now, format!("LOST: job {id} is shown as {state}"));
        }
    }
    close(&world, nodes)
}
