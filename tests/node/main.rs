//! What a later release wrote into the log or a snapshot stops the process.
//!
//! These tests open data folders themselves, so they share no process with tests that start
//! others: a child holds the lock of an open folder from its fork until it runs its program.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use egretpin::{
    adapters::disk::Disk,
    core::{
        consensus::{Content, Entry, Record},
        state::{Command, Event, State},
    },
    node::{ControlError, NodeError, Options, Running},
    settings::Settings,
};
use serde_json::Value;
use tempfile::TempDir;
use tokio::task::spawn_blocking;

/// The change that can't be read, and the last of the snapshot that can't.
const INDEX: u64 = 3;
/// How long either may take to show.
const PATIENCE: Duration = Duration::from_secs(60);

/// Starts a node whose only voter it is on what its disk holds; why it must stop.
async fn stopped(host: u8, records: &[Record]) -> Option<ControlError> {
    let folder = tempfile::tempdir().unwrap();
    {
        let (mut disk, _) = Disk::open(&folder.path().join("data"), 1).unwrap();
        disk.write(records).unwrap();
    }
    let settings = settings(host, &folder);
    let mut running = Running::start(settings, Options::default()).await.unwrap();
    let operators = operators(host);
    let stopped = Arc::new(AtomicBool::new(false));
    let looks = Arc::clone(&stopped);
    let reads = spawn_blocking(move || {
        let begun = Instant::now();
        while !looks.load(Ordering::Relaxed) && committed(operators).is_none_or(|n| n <= INDEX) {
            assert!(
                begun.elapsed() < PATIENCE,
                "in time: all is read, or the process must stop"
            );
            thread::yield_now();
        }
    });
    let why = tokio::select! {
        error = running.failed() => match error {
            NodeError::Control { source } => Some(source),
            other => panic!("{other}"),
        },
        read = reads => {
            read.unwrap();
            None
        }
    };
    stopped.store(true, Ordering::Relaxed);
    why
}

fn committed(operators: SocketAddr) -> Option<u64> {
    let url = format!("http://{operators}/v1/node");
    let status: Value = ureq::get(url).call().ok()?.body_mut().read_json().ok()?;
    status["committed"].as_u64()
}

fn operators(host: u8) -> SocketAddr {
    SocketAddr::from((address(host), 9000))
}

fn address(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 251, (std::process::id() % 250) as u8, host)
}

fn settings(host: u8, folder: &TempDir) -> Settings {
    let address = address(host);
    let text = format!(
        "node: 1\ndata_centre: lag1\nmesh: {address}:7000\ncallers: {address}:8000\n\
         minions: {address}:8100\noperators: {address}:9000\ndata: {}\nvoters: [1]\n",
        folder.path().join("data").display(),
    );
    Settings::parse(Path::new("node.yaml"), &text).unwrap()
}

fn voter() -> Vec<Record> {
    vec![
        Record::Eligibility { voting: true },
        Record::Ballot {
            term: 1,
            vote: Some(1),
        },
    ]
}

fn log(command: bytes::Bytes) -> Vec<Record> {
    let contents = [
        Content::Voters(vec![1]),
        Content::Noop,
        Content::Command(command),
    ];
    let entries = contents.into_iter().zip(1..).map(|(content, index)| Entry {
        term: 1,
        index,
        content,
    });
    let mut records = voter();
    records.push(Record::Append(entries.collect()));
    records
}

fn snapshot(image: bytes::Bytes) -> Vec<Record> {
    let mut records = voter();
    records.push(Record::Snapshot {
        index: INDEX,
        term: 1,
        voters: vec![1],
        data: image,
    });
    records
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_cannot_be_read_stops_the_process() {
    let error = stopped(1, &log(b"from a later release".as_slice().into())).await;
    let Some(ControlError::Command { index, .. }) = &error else {
        panic!("{error:?}");
    };
    assert_eq!(*index, INDEX);
    let readable = Command::system(Duration::ZERO, Event::Activated { version: 1 });
    assert!(stopped(2, &log(readable.encode())).await.is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_snapshot_that_cannot_be_read_stops_the_process() {
    let error = stopped(3, &snapshot(b"from a later release".as_slice().into())).await;
    let Some(ControlError::Image { index, .. }) = &error else {
        panic!("{error:?}");
    };
    assert_eq!(*index, INDEX);
    assert!(
        stopped(4, &snapshot(State::default().image()))
            .await
            .is_none()
    );
}
