//! The HTTP/1.1 server of all listeners, within one [`Budget`].
//!
//! A connection is accepted, its requests are read within [`Limits`], and whoever uses this module answers
//! them. What a client makes the process hold is reserved of the budget as it is allocated: a head by the
//! reads that it takes ([`stream`]), a body by its buffer ([`body`]). A connection that the budget tells to
//! close is closed at once, unless its request is whole and being answered.

mod body;
mod connection;
mod limits;
mod stream;

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use socket2::SockRef;
use tokio::{net::TcpListener, select, sync::watch, task::JoinSet};

pub use self::limits::Limits;
pub(crate) use self::{body::Unread, connection::Peer};
use crate::adapters::{accept::Acceptor, budget::Budget};

/// Bytes that a connection may hold in the kernel before they are read. They count as the process's memory
/// on some hosts, so they are part of what a connection takes in a budget.
const RECEIVE_BUFFER: usize = 32 << 10;

/// A response with its whole body.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Why a connection ends without a request that could be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    /// A head that has begun took too long.
    SlowHead,
    /// A head can't be parsed, or is too long; the client was told.
    BadHead,
    /// There is no room for the head that has begun.
    NoRoom,
}

/// Whoever answers the requests of a listener.
pub(crate) struct Service<H> {
    /// What all listeners of the process share.
    pub(crate) budget: Budget,
    /// Read anew for each connection.
    pub(crate) limits: Box<dyn Fn() -> Limits + Send + Sync>,
    /// Told whenever a connection is opened (1) or closed (-1).
    pub(crate) open: Box<dyn Fn(i64) + Send + Sync>,
    /// The last bytes that a connection is sent.
    pub(crate) broken: Box<dyn Fn(Broken) -> &'static [u8] + Send + Sync>,
    /// Answers a request; an error closes the connection without a word.
    pub(crate) handle: H,
}

/// Serves until `stop` is true or its sender is dropped, and all replies are out.
pub(crate) async fn serve<H, R, E>(
    listener: TcpListener,
    service: Service<H>,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(Arc<Peer>, Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Reply, E>> + Send + 'static,
    E: std::error::Error + Send + Sync + 'static,
{
    // Connections inherit it. Without it they hold what the kernel allows.
    if let Err(error) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER) {
        log::debug!(error:%; "the receive buffers of connections can't be bounded");
    }
    let service = Arc::new(service);
    let mut connections = JoinSet::new();
    let mut acceptor = Acceptor::new(listener, service.budget.clone());
    loop {
        let accepted = async {
            let (stream, from) = acceptor.accept().await;
            (stream, from, service.budget.open().await)
        };
        let (stream, from, account) = select! {
            accepted = accepted => accepted,
            _ = stop.wait_for(|stopping| *stopping) => break,
        };
        let (service, stop) = (Arc::clone(&service), stop.clone());
        connections.spawn(async move {
            (service.open)(1);
            connection::run(
                &service,
                stream,
                Peer::new(from, account, (service.limits)()),
                stop,
            )
            .await;
            (service.open)(-1);
        });
        while connections.try_join_next().is_some() {}
    }
    drop(acceptor);
    while connections.join_next().await.is_some() {}
}
