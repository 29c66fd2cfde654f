//! One sending, from a free connection to its end.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, Uri,
    header::{HOST, HeaderValue},
};
use tokio::time::{Instant, timeout, timeout_at};

use super::{
    answer::{self, Ended},
    connection::Connection,
    limits::Limits,
    pool::{Checkout, Place, Pool},
};
use crate::{
    adapters::{callers::Call, headers, memory::Memory},
    core::{
        dispatch::{AttemptEnd, seam::SendId},
        outcome::Unknown,
        types::{Name, Urgency},
    },
};

/// How long hyper may take to let go of a kept connection's last exchange.
const SETTLE: Duration = Duration::from_millis(50);

/// A request to be sent once.
///
/// ```
/// use std::{sync::Arc, time::Duration};
/// use egretpin::adapters::{callers::Call, minions::Sending};
/// use tokio::time::Instant;
///
/// # fn sending(call: Arc<Call>) -> Sending {
/// Sending::new(17, "127.0.0.1:9001".parse().unwrap(), call)
///     .until(Instant::now() + Duration::from_secs(2))
///     .connections(32)
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Sending {
    send: SendId,
    address: SocketAddr,
    call: Arc<Call>,
    until: Instant,
    connections: usize,
    node: bool,
}

impl Sending {
    /// A sending to a minion, over one connection at a time and with ten seconds to end.
    pub fn new(send: SendId, address: SocketAddr, call: Arc<Call>) -> Self {
        Self {
            send,
            address,
            call,
            until: Instant::now() + Duration::from_secs(10),
            connections: 1,
            node: false,
        }
    }

    /// Sets when to give up.
    #[must_use]
    pub fn until(mut self, until: Instant) -> Self {
        self.until = until;
        self
    }

    /// Sets how many connections this node may have open to the address.
    #[must_use]
    pub fn connections(mut self, count: usize) -> Self {
        self.connections = count;
        self
    }

    /// Sends to a node of another data centre instead, which is told the caller's group, key
    /// and urgency, and not to spill the request again.
    #[must_use]
    pub fn to_node(mut self) -> Self {
        self.node = true;
        self
    }

    /// The number that the core gave it.
    pub fn id(&self) -> SendId {
        self.send
    }
}

/// The client of one node.
#[derive(Clone, Debug)]
pub struct Client {
    /// Makes the numbers of two nodes, and of two runs of one, differ.
    prefix: Name,
    limits: Arc<Limits>,
    memory: Memory,
    pool: Arc<Pool>,
    /// Where connections to other nodes come from.
    source: Option<IpAddr>,
}

impl Client {
    /// A client whose request numbers start with `prefix`, which must differ between nodes and
    /// between runs of one node, have at most 40 bytes and be fit for a header.
    pub fn new(prefix: Name, limits: Limits) -> Self {
        Self {
            prefix,
            memory: Memory::new(limits.memory.max(limits.answer)),
            limits: Arc::new(limits),
            pool: Arc::default(),
            source: None,
        }
    }

    /// Sets the address that connections to other nodes come from. Nodes know each other by the
    /// address that callers reach them at, and believe nobody else that a request was spilled; a
    /// host with several addresses would else send from any of them. An unspecified address
    /// leaves the choice to the system.
    #[must_use]
    pub fn source(mut self, address: IpAddr) -> Self {
        self.source = Some(address).filter(|address| !address.is_unspecified());
        self
    }

    /// How many connections are open, or being opened, to an address.
    pub fn connections(&self, address: SocketAddr) -> usize {
        self.pool.open(address)
    }

    /// Closes connections that have been idle for too long. To be called every second or so.
    pub fn sweep(&self) {
        self.pool.sweep(self.limits.idle);
    }

    /// Sends once and says how it ended; the answer comes with [`AttemptEnd::Answered`] alone.
    ///
    /// Dropping the future gives the sending up and closes its connection.
    pub async fn send(&self, sending: &Sending) -> Ended {
        let Some(request) = self.request(sending) else {
            return (AttemptEnd::Unreachable, None);
        };
        loop {
            let Some((place, mut connection, kept)) = self.connect(sending).await else {
                return (AttemptEnd::Unreachable, None);
            };
            // What can't be answered in time is better not sent, while that can be said of it.
            if Instant::now() >= sending.until {
                return (AttemptEnd::Unreachable, None);
            }
            let before = connection.mark();
            let exchange = connection.exchange(request.clone(), &self.limits, &self.memory);
            let reason = match timeout_at(sending.until, exchange).await {
                Ok(Ok(answer)) => {
                    let ended = read(sending, answer);
                    // Whoever contradicts itself is not listened to again on this connection.
                    if ended.0 != AttemptEnd::Unknown(Unknown::Malformed) {
                        place.keep(connection);
                    }
                    return ended;
                }
                Ok(Err(reason)) => reason,
                Err(_) => Unknown::Timeout,
            };
            if connection.close(before).await {
                return (AttemptEnd::Unknown(reason), None);
            }
            // A kept connection that turned out to be closed, with nothing written, says
            // nothing about the minion. A fresh one does.
            if !kept || reason == Unknown::Timeout {
                return (AttemptEnd::Unreachable, None);
            }
        }
    }

    /// A connection, and whether it was kept from an earlier request; `None` if none could be
    /// had in time, in which case nothing was sent.
    async fn connect(&self, sending: &Sending) -> Option<(Place, Connection, bool)> {
        let end = sending.until.min(Instant::now() + self.limits.connect);
        timeout_at(end, async {
            let Checkout { place, kept } = self
                .pool
                .checkout(sending.address, sending.connections, self.limits.idle)
                .await;
            if let Some(mut connection) = kept
                && let Ok(true) = timeout(SETTLE, connection.settle()).await
            {
                return Some((place, connection, true));
            }
            let source = self.source.filter(|_| sending.node);
            let opened = Connection::open(sending.address, source, &self.limits).await;
            opened.ok().map(|connection| (place, connection, false))
        })
        .await
        .ok()
        .flatten()
    }

    /// The request as it goes over the wire.
    fn request(&self, sending: &Sending) -> Option<Request<Full<Bytes>>> {
        let call = &sending.call;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = Uri::from(call.path.clone());
        *request.headers_mut() = call.headers.clone();
        let all = request.headers_mut();
        let host = HeaderValue::from_str(&sending.address.to_string()).ok()?;
        all.insert(HOST, host);
        let number = format!("{}-{}", self.prefix, sending.send);
        all.insert(headers::REQUEST, HeaderValue::from_str(&number).ok()?);
        let left = sending.until.saturating_duration_since(Instant::now());
        all.insert(headers::PATIENCE, headers::format_wait(left));
        all.insert(headers::GROUP, HeaderValue::from_str(&call.group).ok()?);
        if sending.node {
            all.insert(headers::SPILLED, HeaderValue::from_static("true"));
            if call.urgency == Urgency::Urgent {
                all.insert(headers::URGENCY, HeaderValue::from_static("urgent"));
            }
        }
        Some(request)
    }
}

fn read(sending: &Sending, answer: Response<Bytes>) -> Ended {
    let method = &sending.call.method;
    if sending.node {
        return answer::of_node(method, answer);
    }
    answer::of_minion(method, answer)
}
