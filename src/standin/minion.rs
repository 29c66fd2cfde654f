//! A stand-in minion: announces itself, runs requests in slots, refuses beyond them, leaves.
//!
//! It answers each request with the request's own body, so that a caller can see that the answer
//! is whole and its own. `GET /standin/counts` tells how often each key ran and whether the
//! limits that it announced held.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::{Deserialize, Serialize};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    adapters::{announce, headers, http},
    core::dispatch::Announcement,
};

/// The page of counts.
pub const COUNTS: &str = "/standin/counts";

/// How a stand-in minion behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What it announces. The address is filled in when it listens, if its port is 0.
    pub announcement: Announcement,
    /// The nodes that it announces itself to.
    pub nodes: Vec<SocketAddr>,
    /// Announces to one node at a time in turn, as through a balancer; else to all.
    pub rotate: bool,
    /// How long a request runs.
    pub delay: Duration,
    /// How often it announces itself.
    pub every: Duration,
}

/// What a stand-in minion has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Requests run, and begun.
    pub runs: u64,
    /// Requests refused for want of a slot.
    pub refused: u64,
    /// Requests that run now.
    pub running: u64,
    /// The most that ran at once.
    pub peak: u64,
    /// Connections open now.
    pub open: i64,
    /// The most connections open at once.
    pub widest: i64,
    /// Runs of each key.
    pub keys: BTreeMap<String, u64>,
}

/// A stand-in minion at work. Dropping it kills it.
#[derive(Debug)]
pub struct Minion {
    address: SocketAddr,
    counts: Arc<Mutex<Counts>>,
    leaving: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
    announcer: JoinHandle<()>,
}

impl Minion {
    /// Listens and begins to announce.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub async fn start(mut settings: Settings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.announcement.address).await?;
        let address = listener.local_addr()?;
        settings.announcement.address = address;
        let counts = Arc::new(Mutex::new(Counts::default()));
        let (stop, stopped) = watch::channel(false);
        let (leaving, left) = watch::channel(false);
        let server = {
            let (opened, run) = (counts.clone(), counts.clone());
            let (slots, delay) = (settings.announcement.slots, settings.delay);
            let open = move |by| opened_by(&opened, by);
            let handler = move |request| answer(run.clone(), slots, delay, request);
            tokio::spawn(http::serve(
                listener,
                http::Limits::default,
                stopped,
                open,
                handler,
            ))
        };
        let announcer = tokio::spawn(announce(settings, left));
        Ok(Self {
            address,
            counts,
            leaving,
            stop,
            server,
            announcer,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it has seen so far.
    pub fn counts(&self) -> Counts {
        lock(&self.counts).clone()
    }

    /// Announces that it leaves, and goes on serving.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }

    /// Ends gracefully: what runs finishes.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        // It can only have ended already.
        let _ = (&mut self.server).await;
    }
}

impl Drop for Minion {
    fn drop(&mut self) {
        self.announcer.abort();
        self.server.abort();
    }
}

/// Announces until aborted, and at once when leaving.
async fn announce(settings: Settings, mut leaving: watch::Receiver<bool>) {
    let mut timer = interval(settings.every);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut news = settings.announcement;
    loop {
        tokio::select! {
            _ = timer.tick() => {}
            Ok(()) = leaving.changed() => {}
        }
        news.leaving = *leaving.borrow_and_update();
        news.sequence += 1;
        let turn = usize::try_from(news.sequence).unwrap_or(0);
        let count = settings.nodes.len();
        let chosen = |n: usize| !settings.rotate || turn % count == n;
        let nodes = settings.nodes.iter().enumerate();
        let told = nodes
            .filter(|(n, _)| chosen(*n))
            .map(|(_, node)| tell(*node, &news));
        // A node that is frozen must not keep the others from hearing.
        join_all(told).await;
    }
}

async fn tell(node: SocketAddr, news: &Announcement) {
    if let Err(error) = http::post(node, announce::PATH, news).await {
        log::debug!(node:% = node, error:% = error; "an announcement was not heard");
    }
}

async fn answer(
    counts: Arc<Mutex<Counts>>,
    slots: u32,
    delay: Duration,
    request: Request<Bytes>,
) -> http::Replied {
    if request.uri().path() == COUNTS {
        let seen = lock(&counts).clone();
        return Ok(http::json(StatusCode::OK, &seen));
    }
    let Some(running) = Running::begin(counts, slots, &request) else {
        return Ok(echo(&request, refusal()));
    };
    // A run goes on when its caller has gone, as a real one does.
    let run = tokio::spawn(async move {
        if !delay.is_zero() {
            sleep(delay).await;
        }
        drop(running);
    });
    run.await?;
    let mut response = Response::new(Full::new(request.body().clone()));
    if let Some(kind) = request.headers().get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, kind.clone());
    }
    Ok(echo(&request, response))
}

/// The documented word that a request was not run.
fn refusal() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let all = response.headers_mut();
    all.insert(headers::REFUSED, HeaderValue::from_static("true"));
    all.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// Ties the answer to its request.
fn echo(request: &Request<Bytes>, mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    if let Some(number) = request.headers().get(headers::REQUEST) {
        response
            .headers_mut()
            .insert(headers::REQUEST, number.clone());
    }
    response
}

/// A request in a slot.
struct Running(Arc<Mutex<Counts>>);

impl Running {
    fn begin(counts: Arc<Mutex<Counts>>, slots: u32, request: &Request<Bytes>) -> Option<Self> {
        let mut seen = lock(&counts);
        if seen.running >= u64::from(slots) {
            seen.refused += 1;
            return None;
        }
        seen.runs += 1;
        seen.running += 1;
        seen.peak = seen.peak.max(seen.running);
        if let Some(key) = headers::single(request.headers(), headers::KEY) {
            *seen.keys.entry(key.to_owned()).or_default() += 1;
        }
        drop(seen);
        Some(Self(counts))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        lock(&self.0).running -= 1;
    }
}

fn opened_by(counts: &Mutex<Counts>, by: i64) {
    let mut seen = lock(counts);
    seen.open += by;
    seen.widest = seen.widest.max(seen.open);
}

/// Counts stay usable whatever panicked.
fn lock(counts: &Mutex<Counts>) -> MutexGuard<'_, Counts> {
    counts.lock().unwrap_or_else(PoisonError::into_inner)
}
