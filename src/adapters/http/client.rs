//! The client.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use snafu::Snafu;
use tokio::{
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout},
};

use crate::core::types::Map;

/// Bytes of an answer that is read.
const LARGEST: usize = 16 * 1024 * 1024;
/// How long one exchange of [`send`] may take.
const TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may be idle before it isn't used again: its peer may be closing it.
const IDLE: Duration = Duration::from_secs(10);

type Connection = SendRequest<Full<Bytes>>;

/// Why an exchange brought no answer.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Failure {
    /// No connection became free in time, so that nothing was sent.
    #[snafu(display("no connection became free in time"))]
    Unsent,
    /// It took too long.
    #[snafu(display("no answer in time"))]
    Late,
    /// The connection couldn't be made, or broke.
    #[snafu(display("{source}"), context(false))]
    Broken {
        /// Why.
        source: io::Error,
    },
}

/// Keeps a few connections to each address, and so many in all.
///
/// A process has only so many descriptors, and those that take connections in need some, too. Where all
/// connections are open that may be, the one that has been idle for the longest is closed for the next.
#[derive(Debug)]
pub struct Client {
    connections: usize,
    lanes: Mutex<Lanes>,
    /// Places for connections that are open.
    open: Arc<Semaphore>,
    /// Exchanges that wait for such a place.
    waiting: Arc<AtomicUsize>,
}

#[derive(Debug)]
struct Lanes {
    known: Map<SocketAddr, Arc<Lane>>,
    /// When those were forgotten last that nobody uses.
    swept: Instant,
}

/// The connections to one address.
#[derive(Debug)]
struct Lane {
    address: SocketAddr,
    /// The address as requests name it, written once.
    host: HeaderValue,
    places: Arc<Semaphore>,
    idle: Mutex<Vec<(Connection, Instant)>>,
    /// See [`Client::waiting`].
    waiting: Arc<AtomicUsize>,
}

/// The right to one exchange with an address.
#[derive(Debug)]
pub struct Place {
    lane: Arc<Lane>,
    permit: OwnedSemaphorePermit,
    connection: Reserved,
}

/// The connection of an exchange.
#[derive(Debug)]
enum Reserved {
    Kept(Connection),
    /// One that is to be opened, in this place among all connections of the client.
    New(OwnedSemaphorePermit),
}

impl Place {
    /// Sends a request and reads its answer whole.
    ///
    /// A connection may have gone silent without an end, and others to its address with it. So one
    /// exchange that is late is enough for all that are idle to be left, and the next goes out on a
    /// new one. What was answered since it began shows nothing: an exchange that waits may have
    /// begun before the silence.
    ///
    /// # Errors
    ///
    /// No answer came within the limit. Whether the request was carried out isn't known.
    pub async fn send(
        self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let Self {
            lane,
            permit,
            connection,
        } = self;
        let exchange = async {
            let connection = match connection {
                Reserved::Kept(connection) => connection,
                Reserved::New(place) => open(lane.address, Some(place)).await?,
            };
            let (connection, answer) = exchange(connection, &lane.host, request).await?;
            if lane.waiting.load(Ordering::Relaxed) == 0 {
                lane.keep(connection);
            }
            drop(permit);
            Ok(answer)
        };
        let outcome = timeout(limit, exchange).await;
        outcome.unwrap_or_else(|_| {
            lane.leave();
            Err(Failure::Late)
        })
    }
}

impl Client {
    /// A client that has at most so many connections to an address at once.
    pub fn new(connections: usize) -> Self {
        Self::bounded(connections, Semaphore::MAX_PERMITS)
    }

    /// The same with at most so many connections in all.
    pub fn bounded(connections: usize, all: usize) -> Self {
        Self {
            connections,
            lanes: Mutex::new(Lanes {
                known: Map::default(),
                swept: Instant::now(),
            }),
            open: Arc::new(Semaphore::new(all)),
            waiting: Arc::default(),
        }
    }

    /// Sends a request and reads its answer whole. Waits up to the limit for a connection, and then
    /// up to the limit for the answer, so that a wait here isn't held against the receiver.
    ///
    /// # Errors
    ///
    /// No answer came. Whether the request was carried out isn't known, except that it wasn't if it
    /// is [`Failure::Unsent`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let place = self.acquire(address, limit).await?;
        place.send(request, limit).await
    }

    /// Waits until one more exchange with an address may begin.
    ///
    /// # Errors
    ///
    /// None may within the limit.
    pub async fn acquire(&self, address: SocketAddr, limit: Duration) -> Result<Place, Failure> {
        let lane = self.lane(address)?;
        let place = async {
            let permit = Arc::clone(&lane.places).acquire_owned().await;
            let connection = match lane.idle().await {
                Some(connection) => Reserved::Kept(connection),
                None => Reserved::New(self.reserve().await?),
            };
            Ok(Place {
                permit: permit.map_err(io::Error::other)?,
                connection,
                lane,
            })
        };
        timeout(limit, place).await.unwrap_or(Err(Failure::Unsent))
    }

    fn lane(&self, address: SocketAddr) -> io::Result<Arc<Lane>> {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        lanes.sweep();
        if let Some(lane) = lanes.known.get(&address) {
            return Ok(Arc::clone(lane));
        }
        let lane = Arc::new(Lane {
            address,
            host: host(address)?,
            places: Arc::new(Semaphore::new(self.connections)),
            idle: Mutex::default(),
            waiting: Arc::clone(&self.waiting),
        });
        lanes.known.insert(address, Arc::clone(&lane));
        Ok(lane)
    }

    /// Waits until one more connection may be open.
    async fn reserve(&self) -> io::Result<OwnedSemaphorePermit> {
        match Arc::clone(&self.open).try_acquire_owned() {
            Ok(place) => Ok(place),
            Err(_) => self.wait().await,
        }
    }

    /// Closes the connection that has been idle for the longest.
    fn close_oldest(&self) {
        let lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(lane) = lanes.known.values().min_by_key(|lane| lane.oldest()) {
            lane.close_oldest();
        }
    }

    /// Waits for a connection to be closed, and closes one if any is idle.
    async fn wait(&self) -> io::Result<OwnedSemaphorePermit> {
        let waiting = Waiting::new(&self.waiting);
        self.close_oldest();
        let place = Arc::clone(&self.open).acquire_owned().await;
        drop(waiting);
        place.map_err(io::Error::other)
    }
}

/// Counts an exchange as waiting, also if it is given up.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Lanes {
    /// Closes what has been idle for too long, and forgets addresses that nobody uses.
    fn sweep(&mut self) {
        if self.swept.elapsed() < IDLE {
            return;
        }
        self.swept = Instant::now();
        self.known.retain(|_, lane| {
            let mut idle = lane.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.retain(|(_, since)| since.elapsed() < IDLE);
            // Whoever waits for one of its connections holds it.
            !idle.is_empty() || Arc::strong_count(lane) > 1
        });
    }
}

impl Lane {
    /// Since when its connection has been idle that was used last of all; whatever has none comes after all
    /// that have.
    fn oldest(&self) -> (bool, Option<Instant>) {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let since = idle.first().map(|(_, since)| *since);
        (since.is_none(), since)
    }

    /// A kept connection that is still open.
    async fn idle(&self) -> Option<Connection> {
        loop {
            let (mut connection, since) = {
                let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
                idle.pop()?
            };
            if since.elapsed() < IDLE && connection.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    fn close_oldest(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// Closes what is idle.
    fn leave(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }

    fn keep(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push((connection, Instant::now()));
    }
}

/// Sends one request over a connection of its own and reads the answer whole.
///
/// # Errors
///
/// Whatever kept the answer from coming, a limit of five seconds included.
pub async fn send(address: SocketAddr, request: Request<Bytes>) -> io::Result<Response<Bytes>> {
    timeout(TIMEOUT, async {
        let connection = open(address, None).await?;
        let (_, answer) = exchange(connection, &host(address)?, request).await?;
        Ok(answer)
    })
    .await?
}

/// Posts JSON over a connection of its own.
///
/// # Errors
///
/// As for [`send`].
pub async fn post(
    address: SocketAddr,
    path: &str,
    value: &impl Serialize,
) -> io::Result<Response<Bytes>> {
    let body = serde_json::to_vec(value)?;
    let request = Request::post(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Bytes::from(body))
        .map_err(io::Error::other)?;
    send(address, request).await
}

/// Opens a connection, which keeps its place until it is closed.
async fn open(address: SocketAddr, place: Option<OwnedSemaphorePermit>) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = shaken.map_err(io::Error::other)?;
    // It ends with its connection; an error also ends the exchange, which reports it.
    tokio::spawn(async move {
        drop(driver.await);
        drop(place);
    });
    Ok(sender)
}

/// An address as a request names it.
fn host(address: SocketAddr) -> io::Result<HeaderValue> {
    HeaderValue::from_str(&address.to_string()).map_err(io::Error::other)
}

async fn exchange(
    mut connection: Connection,
    host: &HeaderValue,
    mut request: Request<Bytes>,
) -> io::Result<(Connection, Response<Bytes>)> {
    request.headers_mut().insert(HOST, host.clone());
    let answer = connection
        .send_request(request.map(Full::new))
        .await
        .map_err(io::Error::other)?;
    let (parts, body) = answer.into_parts();
    let body = Limited::new(body, LARGEST).collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    Ok((connection, Response::from_parts(parts, body)))
}
