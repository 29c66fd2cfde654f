//! One connection to a minion, and one exchange over it.

use std::{
    error::Error as StdError,
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
};

use super::{
    limits::Limits,
    wire::{Counted, Mark, Traffic},
};
use crate::{
    adapters::{headers, memory::Memory},
    core::outcome::Unknown,
};

/// A connection. Dropping it closes the socket, also while an exchange is under way.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    traffic: Arc<Traffic>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connects, from any port of `source` if it is given.
async fn dial(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

impl Connection {
    /// Opens a connection, from `source` if it is given; nothing is written yet.
    pub(super) async fn open(
        address: SocketAddr,
        source: Option<IpAddr>,
        limits: &Limits,
    ) -> io::Result<Self> {
        let stream = dial(address, source).await?;
        stream.set_nodelay(true)?;
        let (stream, traffic) = Counted::new(stream);
        let (sender, driver) = http1::Builder::new()
            .max_headers(limits.headers)
            .max_buf_size(limits.head)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // An error here also ends the exchange, which reports it.
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            traffic,
            driver,
        })
    }

    /// Waits until the last exchange is wholly over; false if the connection is of no more use.
    pub(super) async fn settle(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Whether it is known to be closed.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// The bytes that crossed so far.
    pub(super) fn mark(&self) -> Mark {
        self.traffic.mark()
    }

    /// Closes the connection, and says whether anything was written since `before`.
    ///
    /// The driver is waited for: until it is gone it may still write, and then "nothing was
    /// sent" would turn false behind our back.
    pub(super) async fn close(mut self, before: Mark) -> bool {
        self.driver.abort();
        let _ = (&mut self.driver).await;
        self.traffic.mark().written > before.written
    }

    /// Sends a request and reads its answer whole.
    ///
    /// # Errors
    ///
    /// Says what it means for the request if anything of it was written, which
    /// [`close`](Self::close) tells; the connection is of no more use.
    pub(super) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limits: &Limits,
        memory: &Memory,
    ) -> Result<Response<Bytes>, Unknown> {
        let before = self.traffic.mark();
        let echo = request.headers().get(headers::REQUEST).cloned();
        let answer = match self.sender.send_request(request).await {
            Ok(answer) => answer,
            Err(error) => return Err(self.unanswered(&error, before)),
        };
        // A mismatch is told before the body is read: that of another answer may be long.
        let mut echoes = answer.headers().get_all(headers::REQUEST).iter();
        if echoes.next() != echo.as_ref() || echoes.next().is_some() {
            return Err(Unknown::Mismatched);
        }
        if !states_length(&answer) {
            return Err(Unknown::Malformed);
        }
        let (parts, body) = answer.into_parts();
        let body = collect(body, limits.answer, memory).await?;
        Ok(Response::from_parts(parts, body))
    }

    /// What it means that no head of an answer came.
    fn unanswered(&self, error: &hyper::Error, before: Mark) -> Unknown {
        if error.is_parse_too_large() {
            Unknown::Oversized
        } else if error.is_parse() {
            Unknown::Malformed
        } else if self.traffic.mark().read > before.read {
            Unknown::Truncated
        } else {
            Unknown::Lost
        }
    }
}

/// Whether the end of the answer can be told from a cut. An answer that ends with its connection
/// can't be; nor can one that turns the connection into something else.
fn states_length(answer: &Response<Incoming>) -> bool {
    let all = answer.headers();
    let length = all.contains_key(CONTENT_LENGTH);
    let coding = all.contains_key(TRANSFER_ENCODING);
    let bodiless = answer.body().is_end_stream();
    let known = answer.body().size_hint().exact().is_some();
    let switching = answer.status() == StatusCode::SWITCHING_PROTOCOLS;
    // Two lengths are the classic way of making two readers see two different answers.
    let ambiguous = length && coding;
    !switching && !ambiguous && (bodiless || known || is_chunked(answer))
}

/// Whether the last transfer coding is `chunked`, which marks its own end.
fn is_chunked(answer: &Response<Incoming>) -> bool {
    let last = answer
        .headers()
        .get_all(TRANSFER_ENCODING)
        .iter()
        .next_back();
    let text = last.and_then(|v| v.to_str().ok()).unwrap_or_default();
    let coding = text.rsplit(',').next().unwrap_or_default();
    coding.trim().eq_ignore_ascii_case("chunked")
}

/// Reads a body whole. It waits for memory if there is none, and so takes the deadline's time
/// rather than the node's memory; one of unknown length waits for as much as it may have.
async fn collect(mut body: Incoming, limit: usize, memory: &Memory) -> Result<Bytes, Unknown> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > limit {
        return Err(Unknown::Oversized);
    }
    let needed = body.size_hint().exact().map_or(limit, |_| stated);
    let share = memory.reserve(needed).await.ok_or(Unknown::Lost)?;
    let mut whole = BytesMut::with_capacity(stated);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| broken(&e))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err(Unknown::Oversized);
        }
        whole.extend_from_slice(&data);
    }
    Ok(share.hold(whole.freeze()))
}

/// What it means that a body broke off: a chunk that isn't one, or a cut.
fn broken(error: &hyper::Error) -> Unknown {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(cause) = cause.downcast_ref::<io::Error>() {
            let garbled = [io::ErrorKind::InvalidInput, io::ErrorKind::InvalidData];
            if garbled.contains(&cause.kind()) {
                return Unknown::Malformed;
            }
        }
        source = cause.source();
    }
    Unknown::Truncated
}
