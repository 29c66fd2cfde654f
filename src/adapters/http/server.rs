//! The server of whole requests.

use std::{io, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;
use tokio::{net::TcpListener, sync::watch};

use crate::adapters::{
    budget::Budget,
    server::{self, Broken, Limits, Peer, Service, Unread},
};

/// Told to a client for whose head there is no room.
const NO_ROOM: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    connection: close\r\ncontent-length: 0\r\nretry-after: 1\r\n\r\n";

/// A response; an error closes the connection without a word.
pub type Replied = io::Result<Response<Full<Bytes>>>;

/// Serves until `stop` is true or its sender is dropped, and all replies are out.
///
/// The limits are read anew for each connection. `open` is told whenever a connection is opened
/// (1) or closed (-1). The budget is one of its own; a process that strangers reach has one for all
/// its listeners ([`serve_within`]).
pub async fn serve<F, R>(
    listener: TcpListener,
    limits: impl Fn() -> Limits + Send + Sync + 'static,
    stop: watch::Receiver<bool>,
    open: impl Fn(i64) + Send + Sync + 'static,
    handler: F,
) where
    F: Fn(Request<Bytes>) -> R + Send + Sync + 'static,
    R: Future<Output = Replied> + Send + 'static,
{
    let listening = Listening {
        budget: Budget::default(),
        limits: Box::new(limits),
        open: Box::new(open),
    };
    serve_within(listener, listening, stop, handler).await;
}

/// What connections of a listener may ask, and who is told of them.
pub struct Listening {
    /// What all listeners of the process share.
    pub budget: Budget,
    /// Read anew for each connection.
    pub limits: Box<dyn Fn() -> Limits + Send + Sync>,
    /// Told whenever a connection is opened (1) or closed (-1).
    pub open: Box<dyn Fn(i64) + Send + Sync>,
}

impl Listening {
    /// Connections with these limits, of which nobody is told.
    pub fn new(budget: Budget, limits: impl Fn() -> Limits + Send + Sync + 'static) -> Self {
        Self {
            budget,
            limits: Box::new(limits),
            open: Box::new(|_| ()),
        }
    }
}

/// Serves within a budget until `stop` is true or its sender is dropped, and all replies are out.
pub async fn serve_within<F, R>(
    listener: TcpListener,
    listening: Listening,
    stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Request<Bytes>) -> R + Send + Sync + 'static,
    R: Future<Output = Replied> + Send + 'static,
{
    let handler = Arc::new(handler);
    let service = Service {
        budget: listening.budget,
        limits: listening.limits,
        open: listening.open,
        broken: Box::new(|broken| match broken {
            Broken::NoRoom => NO_ROOM,
            Broken::SlowHead | Broken::BadHead => b"",
        }),
        handle: move |peer, request| answer(Arc::clone(&handler), peer, request),
    };
    server::serve(listener, service, stop).await;
}

async fn answer<F, R>(handler: Arc<F>, peer: Arc<Peer>, request: Request<Incoming>) -> Replied
where
    F: Fn(Request<Bytes>) -> R,
    R: Future<Output = Replied>,
{
    let (parts, body) = request.into_parts();
    let limits = peer.limits;
    let read = async {
        let (body, share) = peer.read(body, limits.body).await?;
        peer.reserve_answer(limits.answer).await?;
        Ok::<_, Unread>((body, share))
    };
    match read.await {
        // The share is given back when the request has been answered.
        Ok((body, _share)) => handler(Request::from_parts(parts, body)).await,
        Err(unread) => unread.reply(),
    }
}

impl Unread {
    /// The rest of the body is not wanted, so the connection closes.
    fn reply(self) -> Replied {
        let (status, why) = match &self {
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            Self::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body took too long"),
            Self::NoRoom => (StatusCode::SERVICE_UNAVAILABLE, "there is no room now"),
            Self::Gone(_) => (StatusCode::BAD_REQUEST, "the body was broken off"),
        };
        if let Self::Gone(error) = self {
            return Err(error);
        }
        let mut response = text(status, why);
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        if matches!(self, Self::NoRoom) {
            headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
        }
        Ok(response)
    }
}

/// A JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// A response of one line of text.
pub fn text(status: StatusCode, line: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{line}\n"))));
    *response.status_mut() = status;
    response
}
