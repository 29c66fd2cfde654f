//! A leader that is handed more than the control nodes have memory for.

use std::{net::Ipv4Addr, sync::Arc, time::Duration};

use egretpin::{
    core::{
        consensus::Config,
        workload::{
            footprint::{Budget, job_bytes},
            job::JobState,
            scheduler::{Answer, Settings},
            spec::{JobSpec, MAX_TASKS, Recurrence, StepSpec},
        },
    },
    manager::{
        control::Control,
        request::{Call, Heartbeat, LeaderRequest, Refused, Reply, Verb},
    },
};
use futures_util::future::join_all;
use tokio::time::{Instant, sleep};

use crate::voter::{HOST, PREFIX, Voter, agent_record, declare, free_port};

/// As long as the test may take to get into the state that it is about.
const PATIENCE: Duration = Duration::from_secs(30);

/// Starts a cluster of one voter without agents, and waits until it leads.
async fn start(ip: Ipv4Addr, folder: &tempfile::TempDir) -> Control {
    let voter = Voter {
        ip,
        voters: &[ip],
        port: free_port(ip).await,
        folder: folder.path(),
        commands: &[declare()],
        settings: Settings::default(),
        perform: Arc::new(|_| Box::pin(async { Answer::Silent })),
        exchange_limit: Duration::from_millis(500),
    };
    let control = voter.start(|config: Config| config).await;
    let began = Instant::now();
    while ask(&control, u64::MAX, Verb::Submit(Box::new(job(1)))).await != Reply::Done {
        assert!(began.elapsed() < PATIENCE, "nobody leads");
        sleep(Duration::from_millis(50)).await;
    }
    control
}

/// A job whose texts take so many bytes.
fn job(bytes: usize) -> JobSpec {
    let mut step = StepSpec::new(4, Duration::from_millis(300));
    step.image = Some("i".repeat(bytes).into());
    JobSpec::new("x", vec![step])
}

async fn ask(control: &Control, job: u64, verb: Verb) -> Reply {
    let call = Call {
        host: HOST.into(),
        path: format!("{PREFIX}{job:016x}").as_str().into(),
        verb,
        key: None,
    };
    control.ask(LeaderRequest::Call(call)).await
}

/// What all jobs together take had no bound: they filled the memory of all control nodes, for good.
#[tokio::test]
async fn jobs_beyond_the_memory_are_refused_before_they_are_in_the_log() {
    let folder = tempfile::tempdir().unwrap();
    let control = start(Ipv4Addr::new(127, 0, 91, 1), &folder).await;
    let fit = Budget::default().jobs / job_bytes(&job(240_000));
    let mut accepted = Vec::new();
    // Proposals under way count, so that it doesn't matter how many are sent at once.
    for first in (0..2 * fit).step_by(15) {
        let ids = first..first + 15;
        let submit = |id| ask(&control, id, Verb::Submit(Box::new(job(240_000))));
        let replies = join_all(ids.clone().map(submit)).await;
        for (id, reply) in ids.zip(replies) {
            match reply {
                Reply::Done => accepted.push(id),
                Reply::Refused(Refused::Memory(wait)) => {
                    assert!((1..=60).contains(&wait.as_secs()), "come back in {wait:?}");
                }
                other => panic!("{other:?}"),
            }
        }
    }
    let count = u64::try_from(accepted.len()).unwrap();
    assert!(count <= fit && count + 2 > fit, "{count} of {fit} fit");
    for id in &accepted {
        let state = ask(&control, *id, Verb::Read).await;
        assert_eq!(state, Reply::State(JobState::Queued));
    }
    // A resend of an accepted job is acknowledged, and what ends makes room.
    let resent = ask(&control, accepted[0], Verb::Submit(Box::new(job(240_000)))).await;
    assert_eq!(resent, Reply::Done);
    for id in &accepted[..3] {
        assert_eq!(ask(&control, *id, Verb::Cancel).await, Reply::Done);
    }
    for id in 10_000..10_002 {
        let reply = ask(&control, id, Verb::Submit(Box::new(job(240_000)))).await;
        assert_eq!(reply, Reply::Done);
    }
    // A small job needs little room, and agents have some that jobs can't take.
    let agent = agent_record(&"a".into(), 1);
    let clock = Duration::ZERO;
    let heartbeat = LeaderRequest::Heartbeat(Box::new(Heartbeat { agent, clock }));
    assert_eq!(control.ask(heartbeat).await, Reply::Done);
}

/// An agent's labels had no bound but that of a request, of 4 MiB.
#[tokio::test]
async fn agents_beyond_the_memory_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let control = start(Ipv4Addr::new(127, 0, 91, 2), &folder).await;
    let mut refused = 0;
    for number in 0..40 {
        let mut agent = agent_record(&format!("a{number}").as_str().into(), number);
        agent.labels = vec!["l".repeat(1 << 20).as_str().into(), "r1".into()];
        let clock = Duration::ZERO;
        let heartbeat = LeaderRequest::Heartbeat(Box::new(Heartbeat { agent, clock }));
        match control.ask(heartbeat).await {
            Reply::Done => {}
            Reply::Refused(Refused::Memory(_)) => refused += 1,
            other => panic!("{other:?}"),
        }
    }
    // Each text counts three times.
    let fit = Budget::default().total / (3 << 20);
    assert!(refused >= 40 - fit, "{refused} of 40 are refused");
    assert!(refused < 40 - fit / 2, "{refused} of 40 are refused");
}

/// A job that could never be kept is refused for good, and not told to come back.
#[tokio::test]
async fn a_job_that_could_never_fit_is_invalid() {
    let folder = tempfile::tempdir().unwrap();
    let control = start(Ipv4Addr::new(127, 0, 91, 3), &folder).await;
    let mut long_running = StepSpec::new(1, Duration::ZERO);
    long_running.long_running = true;
    let steps = (0..1000).map(|_| StepSpec {
        tasks: MAX_TASKS / 1000,
        after: Vec::new(),
        ..long_running.clone()
    });
    let mut job = JobSpec::new("x", steps.collect());
    job.recurrence = Some(Recurrence {
        first: Duration::ZERO,
        interval: Duration::ZERO,
        count: 1000,
    });
    job.steps[0].image = Some("i".repeat(30 << 20).into());
    let reply = ask(&control, 1, Verb::Submit(Box::new(job))).await;
    assert!(matches!(reply, Reply::Invalid(_)), "{reply:?}");
}
