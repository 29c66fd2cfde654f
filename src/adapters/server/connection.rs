//! One connection, from accept to close.

use std::{
    future::{Future, pending, poll_fn},
    io,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    select,
    sync::watch,
    time::{Instant, sleep_until, timeout},
};

use super::{Broken, Limits, Reply, Service, stream::Metered};
use crate::adapters::budget::{Account, NoRoom, Share};

/// The smallest buffer that hyper takes for a request's head.
const LEAST_HEAD: usize = 8192;

/// How long a connection that was told to close may take for its last reply.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// What a connection and its requests share.
#[derive(Debug)]
pub(crate) struct Peer {
    /// Where it comes from.
    pub(crate) from: SocketAddr,
    pub(crate) limits: Limits,
    pub(super) account: Account,
    /// How many requests have begun to be answered.
    requests: AtomicU64,
    /// Whether a request's head was read and its reply isn't there yet.
    in_request: AtomicBool,
    /// Whether part of a request was left on the connection.
    unread: AtomicBool,
    /// Whether the connection ends as there was no room for a head.
    refused: AtomicBool,
    held: Mutex<Held>,
}

/// What is reserved for a connection besides its bodies.
#[derive(Debug, Default)]
struct Held {
    /// For the head of the request that comes or is being answered.
    head: Vec<Share>,
    /// For the answer, which may be written until the next request.
    answer: Option<Share>,
}

impl Peer {
    pub(super) fn new(from: SocketAddr, account: Account, limits: Limits) -> Self {
        Self {
            from,
            limits,
            account,
            requests: AtomicU64::new(0),
            in_request: AtomicBool::new(false),
            unread: AtomicBool::new(false),
            refused: AtomicBool::new(false),
            held: Mutex::default(),
        }
    }

    /// Reserves what an answer takes, until the next request.
    ///
    /// # Errors
    ///
    /// There is no room.
    pub(crate) async fn reserve_answer(&self, bytes: usize) -> Result<(), NoRoom> {
        if bytes > 0 {
            let share = self.account.reserve(bytes).await?;
            self.held().answer = Some(share);
        }
        Ok(())
    }

    /// Reserves what is held until the request has been answered.
    ///
    /// # Errors
    ///
    /// There is no room.
    pub(crate) async fn reserve(&self, bytes: usize) -> Result<Share, NoRoom> {
        self.account.reserve(bytes).await
    }

    /// Notes what is reserved for a head.
    pub(super) fn hold_head(&self, share: Share) {
        self.held().head.push(share);
    }

    /// There was no room for a head.
    pub(super) fn refuse_head(&self) {
        self.refused.store(true, Ordering::Relaxed);
    }

    /// Part of the request is left on the connection, so it ends after the reply.
    pub(crate) fn leave_unread(&self) {
        self.unread.store(true, Ordering::Relaxed);
    }

    /// Whether what is read belongs to a head.
    fn reads_head(&self) -> bool {
        !self.in_request.load(Ordering::Relaxed)
    }

    /// The number of the request whose head is read; nothing while one is being answered.
    pub(super) fn next_request(&self) -> Option<u64> {
        self.reads_head()
            .then(|| self.requests.load(Ordering::Relaxed))
    }

    fn begin(&self) {
        self.in_request.store(true, Ordering::Relaxed);
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.held().answer = None;
        self.account.begin();
    }

    fn end(&self) {
        self.in_request.store(false, Ordering::Relaxed);
        self.held().head.clear();
        self.account.served();
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        // Each change under the lock is a single step, so a panic elsewhere leaves it whole.
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a connection has ended.
enum Ended {
    /// By itself.
    Served(hyper::Result<()>),
    /// It was told to close.
    Closed,
}

/// Serves a connection until either side ends it. A planned stop lets the request in flight finish and
/// ends an idle connection at once.
pub(super) async fn run<H, R, E>(
    service: &Arc<Service<H>>,
    stream: TcpStream,
    peer: Peer,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(Arc<Peer>, Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Reply, E>> + Send + 'static,
    E: std::error::Error + Send + Sync + 'static,
{
    // Replies are small and whole; waiting to fill a segment only delays them.
    let _ = stream.set_nodelay(true);
    let peer = Arc::new(peer);
    let answer = {
        let (service, peer) = (Arc::clone(service), Arc::clone(&peer));
        // Boxed, as the connection is polled without being pinned.
        service_fn(move |request| {
            Box::pin(answer(Arc::clone(&service), Arc::clone(&peer), request))
        })
    };
    let io = TokioIo::new(Metered::new(stream, Arc::clone(&peer)));
    let mut connection = builder(&peer.limits).serve_connection(io, answer);
    let mut closing = pin!(peer.account.closing());
    let (mut stopping, mut told, mut deadline) = (false, false, None);
    let ended = loop {
        select! {
            ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break Ended::Served(ended),
            _ = stop.wait_for(|stopping| *stopping), if !stopping => {
                stopping = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
            () = &mut closing, if !told => {
                told = true;
                if peer.reads_head() {
                    break Ended::Closed;
                }
                // A request whose body is being read is refused by whoever reads it. Whether the refusal is
                // read isn't waited for.
                std::pin::Pin::new(&mut connection).graceful_shutdown();
                deadline = Some(Instant::now() + CLOSE_TIME);
            }
            () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                break Ended::Closed;
            }
        }
    };
    let parts = connection.into_parts();
    let has_begun = !parts.read_buf.is_empty();
    let stream = parts.io.into_inner().into_inner();
    let refused = peer.refused.load(Ordering::Relaxed);
    let unread = peer.unread.load(Ordering::Relaxed);
    let last = match ended {
        _ if refused => Broken::NoRoom,
        _ if told => {
            if has_begun && peer.reads_head() && !unread {
                // Whether it gets through isn't waited for: to close at once gives the memory back.
                let _ = stream.try_write((service.broken)(Broken::NoRoom));
            }
            return;
        }
        Ended::Served(Err(error)) if error.is_timeout() && has_begun => Broken::SlowHead,
        Ended::Served(Err(error)) if error.is_parse() => Broken::BadHead,
        Ended::Served(Ok(())) if unread => return part(stream, b"", &peer).await,
        Ended::Served(_) | Ended::Closed => return,
    };
    part(stream, (service.broken)(last), &peer).await;
}

fn builder(limits: &Limits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_headers(limits.headers)
        .max_buf_size(limits.head.max(LEAST_HEAD));
    builder
}

async fn answer<H, R, E>(
    service: Arc<Service<H>>,
    peer: Arc<Peer>,
    request: Request<Incoming>,
) -> Result<Reply, E>
where
    H: Fn(Arc<Peer>, Request<Incoming>) -> R,
    R: Future<Output = Result<Reply, E>>,
{
    peer.begin();
    let reply = (service.handle)(Arc::clone(&peer), request).await;
    peer.end();
    reply
}

/// Ends a connection whose other side may still be sending. Closing at once would make the
/// kernel send a reset, which can overtake the reply; so the reply goes out, our side is shut,
/// and what still comes is thrown away for a while. No more is thrown away than a request may
/// have: whoever sends on beyond that is held by its own full socket until the time is over.
async fn part(mut stream: TcpStream, last: &[u8], peer: &Peer) {
    let parting = async {
        stream.write_all(last).await?;
        stream.shutdown().await?;
        let mut sink = [0; 4096];
        let mut left = peer.limits.body;
        while left > 0 {
            let n = stream.read(&mut sink).await?;
            if n == 0 {
                return Ok(());
            }
            left = left.saturating_sub(n);
        }
        pending::<io::Result<()>>().await
    };
    // Whatever happens here, the connection is dropped next.
    select! {
        _ = timeout(peer.limits.linger, parting) => {}
        () = peer.account.closing() => {}
    }
}
