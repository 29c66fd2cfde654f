//! Stand-in callers: send requests at a rate and count what becomes of them.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::{Request, Response};
use serde::Serialize;
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::adapters::{headers, http};

/// Requests under way at once, at most.
const MOST: usize = 512;
/// The longest latency that is told apart, in microseconds.
const LONGEST: u64 = 60_000_000;

/// What the stand-in callers send.
#[derive(Clone, Debug)]
pub struct Load {
    /// The nodes, in turn.
    pub nodes: Vec<SocketAddr>,
    /// The service asked.
    pub service: String,
    /// The group that they say they are.
    pub group: Option<String>,
    /// How many requests.
    pub count: u64,
    /// Requests a second.
    pub rate: u32,
    /// Bytes of each body.
    pub size: usize,
    /// Gives each request a key of its own that starts so.
    pub keys: Option<String>,
}

/// What became of the requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Answers that were whole and their request's own.
    pub whole: u64,
    /// Answers said to be answers that weren't the request's own body; must be 0.
    pub wrong: u64,
    /// Requests by outcome, with the reason if there is one.
    pub outcomes: BTreeMap<String, u64>,
    /// Times from sending to the whole answer, in microseconds.
    pub latency: Latency,
}

/// Points of a distribution of times, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Latency {
    /// Half are below.
    pub p50: u64,
    /// 99 of 100 are below.
    pub p99: u64,
    /// The longest.
    pub max: u64,
}

/// One request's end.
#[derive(Debug)]
struct End {
    outcome: String,
    whole: bool,
    took: Duration,
}

/// Sends the load and waits for all of it to end.
///
/// # Errors
///
/// The load names no node or no rate.
pub async fn run(load: Load) -> io::Result<Tally> {
    if load.nodes.is_empty() || load.rate == 0 {
        return Err(io::Error::other("a load needs a node and a rate above 0"));
    }
    let pause = Duration::from_secs(1) / load.rate;
    let places = Arc::new(Semaphore::new(MOST));
    let load = Arc::new(load);
    let began = Instant::now();
    let mut running = JoinSet::new();
    for number in 0..load.count {
        let turn = u32::try_from(number).unwrap_or(u32::MAX);
        sleep_until(began + pause * turn).await;
        let place = places.clone().acquire_owned().await;
        let load = load.clone();
        running.spawn(async move {
            let _place = place;
            one(&load, number).await
        });
    }
    let mut times = Histogram::<u64>::new_with_max(LONGEST, 3).map_err(io::Error::other)?;
    let mut tally = Tally::default();
    while let Some(end) = running.join_next().await {
        tally.count(end?, &mut times);
    }
    tally.latency = Latency::of(&times);
    Ok(tally)
}

impl Tally {
    fn count(&mut self, end: End, times: &mut Histogram<u64>) {
        self.sent += 1;
        if end.outcome == "answered" {
            let count = if end.whole {
                &mut self.whole
            } else {
                &mut self.wrong
            };
            *count += 1;
        }
        *self.outcomes.entry(end.outcome).or_default() += 1;
        let micros = u64::try_from(end.took.as_micros()).unwrap_or(LONGEST);
        times.saturating_record(micros);
    }
}

impl Latency {
    /// Reads the points off a histogram of microseconds.
    pub fn of(times: &Histogram<u64>) -> Self {
        Self {
            p50: times.value_at_quantile(0.5),
            p99: times.value_at_quantile(0.99),
            max: times.max(),
        }
    }
}

async fn one(load: &Load, number: u64) -> End {
    let began = Instant::now();
    let body = body(number, load.size);
    let turn = usize::try_from(number).unwrap_or(0) % load.nodes.len();
    let answered = match request(load, number, body.clone()) {
        Ok(request) => http::send(load.nodes[turn], request).await,
        Err(error) => Err(io::Error::other(error)),
    };
    let took = began.elapsed();
    match answered {
        Ok(answer) => End {
            outcome: outcome(&answer),
            whole: answer.status().is_success() && *answer.body() == body,
            took,
        },
        Err(_) => End {
            outcome: "no_reply".to_owned(),
            whole: false,
            took,
        },
    }
}

fn request(load: &Load, number: u64, body: Bytes) -> hyper::http::Result<Request<Bytes>> {
    let mut request = Request::post(format!("/{}/{number}", load.service));
    if let Some(group) = &load.group {
        request = request.header(headers::GROUP, group);
    }
    if let Some(keys) = &load.keys {
        request = request.header(headers::KEY, format!("{keys}{number}"));
    }
    request.body(body)
}

/// A body that tells requests apart.
fn body(number: u64, size: usize) -> Bytes {
    let text = format!("{number:016}");
    text.bytes().cycle().take(size).collect()
}

fn outcome(answer: &Response<Bytes>) -> String {
    let all = answer.headers();
    let outcome = headers::single(all, headers::OUTCOME).unwrap_or("unmarked");
    match headers::single(all, headers::REASON) {
        Some(reason) => format!("{outcome}:{reason}"),
        None => outcome.to_owned(),
    }
}
