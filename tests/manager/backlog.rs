//! A leader while so many entries wait to be committed that consensus accepts no more.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use egretpin::{
    core::{
        consensus::Config,
        types::MinionId,
        workload::{
            command::Command,
            scheduler::{Answer, Order, OrderKind, Refusal, Report, Settings},
            spec::{JobSpec, StepSpec},
        },
    },
    manager::{
        control::Control,
        request::{Call, Heartbeat, LeaderRequest, Refused, Reply, Verb},
    },
};
use futures_util::future::join_all;
use tokio::time::{Instant, sleep, timeout};

use crate::voter::{HOST, PREFIX, Voter, agent_record, declare, free_port};

/// Entries that may wait to be committed.
const BACKLOG: u64 = 8;
/// Requests that are sent at once, each with an entry of its own.
const BURST: u32 = 200;
/// How long bursts follow one another: rounds are due several times in it.
const FULL: Duration = Duration::from_millis(1500);
/// How long a task that can be started may wait.
const PROMISE: Duration = Duration::from_secs(3);
/// Within this time a request is answered.
const ANSWERED: Duration = Duration::from_secs(1);
/// As long as the test may take to get into the state that it is about.
const PATIENCE: Duration = Duration::from_secs(30);

/// A cluster of one voter with one agent that carries out all orders.
struct Site {
    control: Control,
    starts: Arc<AtomicUsize>,
    bursts: u32,
    _folder: tempfile::TempDir,
}

impl Site {
    async fn start(ip: Ipv4Addr) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let starts = Arc::new(AtomicUsize::new(0));
        let (counted, epoch) = (Arc::clone(&starts), Instant::now());
        let record = agent_record(&"a".into(), 0);
        let voter = Voter {
            ip,
            voters: &[ip],
            port: free_port(ip).await,
            folder: folder.path(),
            commands: &[declare(), Command::Agent(Box::new(record))],
            settings: Settings {
                // The leader records the passing of time for as long, in a round each time.
                handover_delay: PATIENCE * 2,
                ..Settings::default()
            },
            perform: Arc::new(move |order| {
                let answer = perform(&order, epoch, &counted);
                Box::pin(async { answer })
            }),
            exchange_limit: Duration::from_millis(500),
        };
        let control = voter.start(|config: Config| config.backlog(BACKLOG)).await;
        let mut site = Self {
            control,
            starts,
            bursts: 0,
            _folder: folder,
        };
        let began = Instant::now();
        while !site.burst().await.contains(&Reply::Done) {
            assert!(began.elapsed() < PATIENCE, "nobody leads");
            sleep(Duration::from_millis(50)).await;
        }
        site
    }

    /// Registers many new agents at once, and returns the replies.
    async fn burst(&mut self) -> Vec<Reply> {
        self.bursts += 1;
        let first = self.bursts * BURST;
        let requests = (first..first + BURST).map(|number| {
            let id: MinionId = format!("b{number}").as_str().into();
            self.control
                .ask(LeaderRequest::Heartbeat(Box::new(Heartbeat {
                    agent: agent_record(&id, number),
                    clock: Duration::ZERO,
                })))
        });
        join_all(requests).await
    }
}

/// Submits a job of one task.
async fn submit(control: &Control, job: u64) -> Reply {
    let spec = JobSpec::new("x", vec![StepSpec::new(1, Duration::from_secs(1))]);
    let call = Call {
        host: HOST.into(),
        path: format!("{PREFIX}{job:016x}").as_str().into(),
        verb: Verb::Submit(Box::new(spec)),
        key: None,
    };
    control.ask(LeaderRequest::Call(call)).await
}

/// The agent `a` carries out all orders at once; nothing answers for the others.
fn perform(order: &Order, epoch: Instant, starts: &AtomicUsize) -> Answer {
    let clock = epoch.elapsed();
    match &order.kind {
        OrderKind::Renew { to, .. } if *to.agent == *"a" => Answer::Report(Report {
            clock,
            running: Vec::new(),
            ended: Vec::new(),
            ends_complete: true,
        }),
        OrderKind::Start(start) if *start.to.agent == *"a" => {
            starts.fetch_add(1, Ordering::SeqCst);
            Answer::Refused {
                why: Refusal::Unwell,
                clock: Some(clock),
            }
        }
        _ => Answer::Silent,
    }
}

/// Rounds that consensus rejected stayed open in the scheduler, and after two of them the leader
/// started nothing any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leader_whose_log_was_full_starts_jobs_afterwards() {
    let mut site = Site::start(Ipv4Addr::new(127, 9, 42, 1)).await;
    let mut refused = 0;
    let began = Instant::now();
    while began.elapsed() < FULL {
        let replies = site.burst().await;
        let full = |reply: &&Reply| **reply == Reply::Refused(Refused::Overloaded);
        refused += replies.iter().filter(full).count();
    }
    assert!(refused > 0, "the log was never full");
    assert_eq!(submit(&site.control, 1).await, Reply::Done);
    let began = Instant::now();
    while site.starts.load(Ordering::SeqCst) == 0 {
        assert!(began.elapsed() < PROMISE, "nothing was started");
        sleep(Duration::from_millis(20)).await;
    }
}

/// A job whose submission had been refused as the log was full got no answer when it was sent
/// again, as the leader waited for the first one to be committed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_job_that_was_refused_as_the_log_was_full_is_accepted_later() {
    let mut site = Site::start(Ipv4Addr::new(127, 9, 42, 2)).await;
    let control = site.control.clone();
    let began = Instant::now();
    let mut job = 0;
    loop {
        assert!(began.elapsed() < PATIENCE, "no submission was refused");
        job += 1;
        let (_, reply) = tokio::join!(site.burst(), submit(&control, job));
        if reply == Reply::Refused(Refused::Overloaded) {
            break;
        }
    }
    let again = timeout(ANSWERED, submit(&control, job)).await;
    assert_eq!(again, Ok(Reply::Done));
}
