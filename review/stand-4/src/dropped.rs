//! A route is dropped while the connection between the entry node and the leader is reset.
//!
//! Rule REFUSED: a subtask starts, and all requester attempts to hand its job in were rejected.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    agent::{Agent, Gangs},
    http,
    world::{HOST, Record, World, config, route, wait_until},
};

/// How often a route is dropped, each time another one.
const ROUNDS: u64 = 6;
const CALLERS: u64 = 40;
/// What a call may take, as `Egretpin-Deadline-Ms`.
const BUDGET: Duration = Duration::from_millis(3000);
/// The pause of a caller between two jobs.
const PAUSE: Duration = Duration::from_millis(3);
/// How long jobs are handed in before a route is dropped, and after its drop is confirmed.
const SPAN: Duration = Duration::from_millis(1500);

/// The answers to the attempts to hand in each job; 0 stands for none.
type Answers = Arc<Mutex<BTreeMap<u64, Vec<u16>>>>;

/// A caller: hands jobs in, one after the other, each again after an unclear answer and never after
/// a 2xx, a 404, a 429 or a 503.
struct Caller {
    to: SocketAddr,
    number: u64,
    /// Which route the jobs are for.
    round: Arc<AtomicU64>,
    answers: Answers,
    record: Record,
    stop: Arc<AtomicBool>,
}

impl Caller {
    fn run(&self) {
        let body =
            r#"{"spec":"300","jobSteps":[{"count":1,"cpu":100,"memMb":16,"estRuntimeMs":300}]}"#;
        let budget = BUDGET.as_millis().to_string();
        let mut number = 0;
        while !self.stop.load(Ordering::SeqCst) {
            number += 1;
            let id = (self.number << 32) | number | 0x5c0e_0000_0000_0000;
            let path = format!("/gone{}/{id:016x}", self.round.load(Ordering::SeqCst));
            for _ in 0..4 {
                let headers = [("Host", HOST), ("Egretpin-Deadline-Ms", budget.as_str())];
                let answer = http::send(self.to, "POST", &path, &headers, body, BUDGET);
                let status = answer.map_or(0, |(status, ..)| status);
                self.record.note(&format!("caller: POST {path}: {status}"));
                let mut answers = self.answers.lock().expect("no panic");
                answers.entry(id).or_default().push(status);
                if ![0, 502, 504].contains(&status) {
                    break;
                }
            }
            thread::sleep(PAUSE);
        }
    }
}

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let world = World::start(root, record.clone())?;
    let kept = route("r-kept", "/kept/", 3);
    let gone = (0..ROUNDS).map(|n| route(&format!("r-gone{n}"), &format!("/gone{n}/"), 3));
    let mut routes: Vec<_> = gone.chain([kept]).collect();
    let leader = world.leader().ok_or("there is no leader")?;
    world
        .configure(leader, &config(1, &routes))
        .ok_or("the first configuration isn't acknowledged")?;
    let gangs = Arc::new(Gangs::default());
    for number in 0..4 {
        let (id, rack) = (format!("i-{number}"), format!("r1-{}", number / 2));
        Agent::start(&world, &id, &rack, &gangs);
    }
    let (answers, stop) = (Answers::default(), Arc::new(AtomicBool::new(false)));
    let round = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (1..=CALLERS)
        .map(|number| {
            let caller = Caller {
                to: world.callers(),
                number,
                round: Arc::clone(&round),
                answers: Arc::clone(&answers),
                record: record.clone(),
                stop: Arc::clone(&stop),
            };
            thread::spawn(move || caller.run())
        })
        .collect();
    if !wait_until(Duration::from_secs(15), || record.starts().len() > 20) {
        return Err("no jobs are started".to_owned());
    }
    for number in 0..ROUNDS {
        round.store(number, Ordering::SeqCst);
        thread::sleep(SPAN);
        let leader = world.leader().ok_or("there is no leader")?;
        routes.remove(0);
        if trouble {
            let count = world.proxies[&leader].reset();
            record.note(&format!(
                "{count} connection between the entry node and the leader, node {leader}, is reset"
            ));
        }
        let took = world
            .configure(leader, &config(2 + number, &routes))
            .ok_or("a configuration isn't acknowledged")?;
        record.note(&format!(
            "route /gone{number}/ is dropped; the confirmation took {took:?}"
        ));
        thread::sleep(SPAN);
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    // What was accepted runs by now.
    thread::sleep(Duration::from_secs(3));
    let (starts, answers) = (record.starts(), answers.lock().expect("no panic"));
    let rejected = answers.iter().filter(|(_, answers)| {
        !answers.is_empty()
            && answers
                .iter()
                .all(|status| [404, 429, 503].contains(status))
    });
    let broken = rejected.filter_map(|(id, answers)| {
        let task = format!("{id:016x}.0.0.0");
        let starts = starts.get(&task)?;
        Some(format!(
            "job {id:016x}: all attempts to hand it in were rejected ({answers:?}), and {task} was started (minion, run): {starts:?}"
        ))
    });
    let broken = broken.collect();
    let count = |status| answers.values().flatten().filter(|s| **s == status).count();
    record.note(&format!(
        "{} jobs; answers: {} 200, {} 404, {} 429, {} 503, {} 504, {} none",
        answers.len(),
        count(200),
        count(404),
        count(429),
        count(503),
        count(504),
        count(0)
    ));
    Ok(broken)
}
