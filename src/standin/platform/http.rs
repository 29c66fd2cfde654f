//! The stand-in platform behind HTTP.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::Instant};

use super::state::{Settings, State};
use crate::{
    adapters::http::{self, Replied},
    core::types::{HostId, Now},
};

/// Has the stand-in misbehave; posted to `/standin/fault`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The next commands are carried out and their answers lost.
    LoseAnswers(u32),
    /// The next commands are lost before they are carried out.
    LoseCommands(u32),
    /// A host fails every task that it starts.
    FailingHost(HostId),
    /// A host does so no more.
    SoundHost(HostId),
    /// A host goes away, and its tasks with it.
    LoseHost(HostId),
    /// A lost host comes back.
    RestoreHost(HostId),
    /// Tasks that start from now on run for so many milliseconds.
    RunTime(u64),
}

/// A stand-in platform at work. Dropping it kills it.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    mind: Arc<Mutex<Mind>>,
    server: JoinHandle<()>,
    /// Ends the server when dropped.
    _stop: watch::Sender<bool>,
}

#[derive(Debug)]
struct Mind {
    state: State,
    epoch: Instant,
    lose_answers: u32,
    lose_commands: u32,
}

impl Platform {
    /// Listens.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub async fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mind = Arc::new(Mutex::new(Mind {
            state: State::new(settings),
            epoch: Instant::now(),
            lose_answers: 0,
            lose_commands: 0,
        }));
        let (stop, stopped) = watch::channel(false);
        let shared = mind.clone();
        let handler = move |request| {
            let replied = lock(&shared).reply(&request);
            async move { replied }
        };
        let server = tokio::spawn(http::serve(
            listener,
            http::Limits::default,
            stopped,
            |_| (),
            handler,
        ));
        Ok(Self {
            address,
            mind,
            server,
            _stop: stop,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Has it misbehave.
    pub fn fault(&self, fault: Fault) {
        lock(&self.mind).fault(fault);
    }

    /// How often a job began.
    pub fn starts(&self, job: u64) -> u64 {
        let mind = lock(&self.mind);
        mind.state.starts().get(&job).copied().unwrap_or(0)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl Mind {
    fn reply(&mut self, request: &Request<Bytes>) -> Replied {
        let path = request.uri().path();
        match path {
            "/standin/fault" => return ask(request, |f| self.fault(f)),
            "/standin/starts" => return Ok(http::json(StatusCode::OK, self.state.starts())),
            "/standin/reboots" => return Ok(http::json(StatusCode::OK, self.state.reboots())),
            _ => {}
        }
        if take(&mut self.lose_commands) {
            return Err(lost());
        }
        let now = self.now();
        let state = &mut self.state;
        let replied = match path {
            "/tasks/start" => ask(request, |s| state.start(now, s)),
            "/tasks/stop" => ask(request, |t| state.stop(now, t)),
            "/tasks/checkpoint" => ask(request, |c| state.checkpoint(now, c)),
            "/tasks/throttle" => ask(request, |t| state.throttle(now, t)),
            "/tasks/fate" => ask(request, |a| state.fate(now, a)),
            "/hosts/drain" => ask(request, |c| state.drain(now, &c)),
            "/hosts/reboot" => ask(request, |c| state.reboot(now, &c)),
            "/report" => ask(request, |cursor| state.report(now, cursor)),
            _ => Ok(http::json(StatusCode::NOT_FOUND, &"no such path")),
        };
        if take(&mut self.lose_answers) {
            return Err(lost());
        }
        replied
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::LoseAnswers(count) => self.lose_answers = count,
            Fault::LoseCommands(count) => self.lose_commands = count,
            Fault::FailingHost(host) => self.state.set_failing(host, true),
            Fault::SoundHost(host) => self.state.set_failing(host, false),
            Fault::LoseHost(host) => self.state.lose_host(self.now(), &host),
            Fault::RestoreHost(host) => self.state.restore_host(self.now(), &host),
            Fault::RunTime(millis) => self.state.set_run(Duration::from_millis(millis)),
        }
    }

    fn now(&self) -> Now {
        self.epoch.elapsed()
    }
}

/// Answers a question of JSON with JSON.
fn ask<Q, A>(request: &Request<Bytes>, answer: impl FnOnce(Q) -> A) -> Replied
where
    Q: DeserializeOwned,
    A: Serialize,
{
    Ok(match serde_json::from_slice(request.body()) {
        Ok(question) => http::json(StatusCode::OK, &answer(question)),
        Err(error) => http::json(StatusCode::BAD_REQUEST, &error.to_string()),
    })
}

/// Counts a planned loss down.
fn take(left: &mut u32) -> bool {
    let lose = *left > 0;
    *left = left.saturating_sub(1);
    lose
}

fn lost() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}

/// The state stays usable whatever panicked.
fn lock(mind: &Mutex<Mind>) -> MutexGuard<'_, Mind> {
    mind.lock().unwrap_or_else(PoisonError::into_inner)
}
