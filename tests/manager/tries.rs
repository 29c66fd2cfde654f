//! What requesters are told once a try of their request got no reply.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use egretpin::{
    adapters::{
        memory::Memory,
        mesh::{self, Mesh},
    },
    core::{
        types::NodeId,
        workload::{
            command::{CatalogText, Document, WaveRecord},
            job::JobState,
            spec::{JobSpec, StepSpec},
        },
    },
    manager::{
        entry::LeaderClient,
        frame::{Frame, View},
        identity::{address, node_id},
        metrics::Metrics,
        request::{Call, Effect, Heartbeat, LeaderRequest, Refused, Reply, Unknown, Verb},
        tries::Tries,
    },
};
use tokio::{
    net::TcpListener,
    time::{Instant, interval},
};

use crate::voter::{agent_record, free_port};

const LEADER: Ipv4Addr = Ipv4Addr::new(127, 9, 45, 1);
const ENTRY: Ipv4Addr = Ipv4Addr::new(127, 9, 45, 2);
/// Enough for a link, a try without a reply and another one.
const PATIENCE: Duration = Duration::from_secs(10);
/// How often the leader sends its view.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);

fn call(verb: Verb) -> LeaderRequest {
    LeaderRequest::Call(Call {
        host: "a.example".into(),
        path: "/queue/00000000000000ff".into(),
        verb,
        key: None,
    })
}

fn submission() -> LeaderRequest {
    let step = StepSpec::new(1, Duration::from_secs(1));
    call(Verb::Submit(Box::new(JobSpec::new("x", vec![step]))))
}

/// Requests that change something.
fn changes() -> Vec<LeaderRequest> {
    let heartbeat = Heartbeat {
        agent: agent_record(&"agent".into(), 1),
        clock: Duration::ZERO,
    };
    vec![
        LeaderRequest::Heartbeat(Box::new(heartbeat)),
        submission(),
        call(Verb::Cancel),
        LeaderRequest::Declare(Document::default()),
        LeaderRequest::Leave("agent".into()),
        LeaderRequest::BeginWave(WaveRecord {
            wave: 1,
            remaining: Vec::new(),
            max_concurrent: 1,
            deadline: Duration::ZERO,
        }),
    ]
}

fn reads() -> Vec<LeaderRequest> {
    vec![
        call(Verb::Read),
        LeaderRequest::ReadCatalog,
        LeaderRequest::WaveState(1),
    ]
}

/// One reply of each kind.
fn replies() -> Vec<Reply> {
    let wait = Duration::from_secs(1);
    let refused = [
        Refused::NotLeader(None),
        Refused::NoLeader,
        Refused::NoCatalog,
        Refused::Overloaded,
        Refused::Storm(wait),
        Refused::Capacity(wait),
        Refused::Memory(wait),
    ];
    let unknown = [Unknown::Queue, Unknown::Job, Unknown::Wave];
    let mut replies = vec![
        Reply::Done,
        Reply::State(JobState::Running),
        Reply::Pending(1),
        Reply::Catalog(CatalogText::default()),
        Reply::Wave { through: true },
        Reply::Denied,
        Reply::Invalid("no".to_owned()),
        Reply::Unclear,
    ];
    replies.extend(unknown.map(Reply::Unknown));
    replies.extend(refused.map(Reply::Refused));
    replies
}

/// A reply that wasn't thought of fell through, and was passed on as if no earlier try had been made.
#[test]
fn after_an_open_try_a_change_is_confirmed_or_unclear() {
    for request in changes() {
        for reply in replies() {
            let mut tries = Tries::new(&request);
            assert_eq!(tries.conclude(reply.clone()), reply);
            tries.leave_open();
            let told = tries.conclude(reply.clone());
            let is_confirmed = reply == Reply::Done;
            let expected = if is_confirmed {
                Reply::Done
            } else {
                Reply::Unclear
            };
            assert_eq!(told, expected, "{request:?}, {reply:?}");
            assert_eq!(is_confirmed, reply.effect() == Effect::CarriedOut);
        }
    }
}

/// The latest answer to a read is right, whatever became of earlier ones.
#[test]
fn after_an_open_try_a_read_gets_the_latest_reply() {
    for request in reads() {
        for reply in replies() {
            let mut tries = Tries::new(&request);
            tries.leave_open();
            assert_eq!(tries.conclude(reply.clone()), reply);
        }
    }
}

/// Without any reply, a request is refused only if no try was sent.
#[test]
fn a_request_that_is_given_up_is_unclear_once_it_was_sent() {
    let mut tries = Tries::new(&submission());
    assert_eq!(tries.give_up(), Reply::Refused(Refused::NoLeader));
    tries.leave_open();
    assert_eq!(tries.give_up(), Reply::Unclear);
}

/// A leader that leaves the first request without a reply, and gives `reply` to later ones.
async fn start_leader(port: u16, reply: Reply, asked: Arc<AtomicUsize>) -> Arc<Mesh> {
    let mesh: Arc<OnceLock<Arc<Mesh>>> = Arc::default();
    let replying = Arc::clone(&mesh);
    let started = Mesh::start(
        mesh::Config {
            node: node_id(LEADER, 0),
            ..mesh::Config::default()
        },
        TcpListener::bind((LEADER, port)).await.unwrap(),
        Arc::new(move |from: NodeId, bytes| {
            let Some(Frame::Request(id, _)) = Frame::decode(&bytes) else {
                return;
            };
            if asked.fetch_add(1, Ordering::SeqCst) > 0 {
                let frame = Frame::Reply(id, reply.clone()).encode();
                replying.get().unwrap().send(from, frame);
            }
        }),
    );
    Arc::clone(mesh.get_or_init(|| Arc::new(started)))
}

fn view() -> View {
    let leader = node_id(LEADER, 0);
    View {
        data_centre: "east".into(),
        term: 1,
        leader: Some(leader),
        leaving: false,
        controls: vec![(leader, "east".into())],
        limits: None,
        relays: false,
        last_index: None,
        received: 0,
    }
}

/// Asks a leader that leaves the first try without a reply.
async fn ask(request: &LeaderRequest, reply: Reply) -> Reply {
    let port = free_port(LEADER).await;
    let asked = Arc::new(AtomicUsize::new(0));
    let leader = start_leader(port, reply, Arc::clone(&asked)).await;
    let client: Arc<OnceLock<Arc<LeaderClient>>> = Arc::default();
    let receiver = Arc::clone(&client);
    let mesh = Mesh::start(
        mesh::Config {
            node: node_id(ENTRY, 0),
            ..mesh::Config::default()
        },
        TcpListener::bind((ENTRY, port)).await.unwrap(),
        Arc::new(move |from, bytes| {
            if let (Some(client), Some(frame)) = (receiver.get(), Frame::decode(&bytes)) {
                client.handle_frame(from, frame);
            }
        }),
    );
    mesh.dial(address(node_id(LEADER, 0), port));
    let started = LeaderClient::new(
        Arc::new(mesh),
        port,
        Arc::new(Metrics::default()),
        Memory::new(1 << 20),
    );
    let client = client.get_or_init(|| started);
    let mut views = interval(VIEW_INTERVAL);
    while client.is_cut_off() {
        views.tick().await;
        leader.send(node_id(ENTRY, 0), Frame::View(view()).encode());
    }
    let until = Instant::now() + PATIENCE;
    let asking = client.ask(request, until);
    tokio::pin!(asking);
    loop {
        tokio::select! {
            told = &mut asking => {
                assert_eq!(asked.load(Ordering::SeqCst), 2);
                return told;
            }
            _ = views.tick() => {
                leader.send(node_id(ENTRY, 0), Frame::View(view()).encode());
            }
        }
    }
}

/// A job whose submission got no reply was answered 404, as its queue had been dropped before the second try, and
/// the job ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_submission_without_a_reply_is_not_answered_with_a_later_refusal() {
    let unknown = Reply::Unknown(Unknown::Queue);
    assert_eq!(ask(&submission(), unknown.clone()).await, Reply::Unclear);
    assert_eq!(ask(&call(Verb::Read), unknown.clone()).await, unknown);
    assert_eq!(ask(&submission(), Reply::Done).await, Reply::Done);
}
