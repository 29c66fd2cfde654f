//! One request of one connection, from its head to its reply.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use hyper::{
    Method, Request, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    http::request::Parts,
};
use tokio::sync::{oneshot, watch};

use super::{
    call::Call,
    open::{Finish, Open},
    parse::{self, Head},
    port::{Port, Stage},
    recall::Ended,
    reply::{self, Reply, Told},
};
use crate::{
    adapters::{
        announce, headers,
        server::{Peer, Unread},
    },
    core::{
        dispatch::{Arrival, Input, RequestId},
        outcome::{NotRun, Outcome},
        types::Name,
    },
};

/// The path of the page that the balancer asks.
const READY: &str = "/egretpin/ready";
/// The first segment that no service may have.
const RESERVED: &str = "/egretpin/";

/// What all connections of a listener share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) port: Port,
    pub(super) open: Arc<Open>,
    pub(super) stage: watch::Receiver<Stage>,
}

/// The caller went away before its request had been read; there is nobody to reply to.
#[derive(Debug)]
pub(super) struct Gone;

impl std::fmt::Display for Gone {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the caller is gone")
    }
}

impl std::error::Error for Gone {}

impl Shared {
    /// How far a planned stop has come.
    pub(super) fn stage(&self) -> Stage {
        let dropped = self.stage.has_changed().is_err();
        if dropped {
            Stage::Closing
        } else {
            *self.stage.borrow()
        }
    }

    /// A refusal made here, counted.
    pub(super) fn refuse(&self, reason: NotRun) -> Reply {
        (self.port.refused)(reason);
        reply::refused(reason, (self.port.version)())
    }
}

/// Replies to one request.
pub(super) async fn reply(
    shared: Arc<Shared>,
    peer: Arc<Peer>,
    request: Request<Incoming>,
) -> Result<Reply, Gone> {
    let (parts, body) = request.into_parts();
    let mut reply = match parts.uri.path() {
        READY => ready(&shared),
        announce::PATH => announced(&shared, &peer, &parts, body).await?,
        path if path.starts_with(RESERVED) => shared.refuse(NotRun::NoService),
        _ => called(&shared, &peer, &parts, body).await?,
    };
    let echo = parse::echo(&parts.headers);
    if let Some(id) = match reply.extensions_mut().remove::<Told>() {
        Some(told) => named(&shared, &parts, echo, &told),
        None => echo,
    } {
        reply.headers_mut().insert(headers::REQUEST, id);
    }
    if reply.headers().contains_key(CONNECTION) {
        peer.leave_unread();
    } else if shared.stage() != Stage::Serving {
        close(&mut reply);
    }
    Ok(reply)
}

/// The id that the caller is told: its own, else a new one. What wasn't answered is remembered
/// under it.
fn named(
    shared: &Shared,
    parts: &Parts,
    echo: Option<HeaderValue>,
    told: &Told,
) -> Option<HeaderValue> {
    let recall = &shared.port.recall;
    let own = echo.as_ref().and_then(|echo| echo.to_str().ok());
    let id = own.map_or_else(|| recall.fresh(), Name::from);
    if told.outcome != Outcome::Answered {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        recall.note(Ended {
            id: Name::clone(&id),
            service: parse::service(parts.uri.path()).ok(),
            group: parse::group(&parts.headers).ok(),
            outcome: told.outcome,
            version: told.version,
            retries: told.retries,
            at: wall.unwrap_or_default(),
        });
    }
    echo.or_else(|| HeaderValue::from_str(&id).ok())
}

/// Whether the balancer should send callers here.
fn ready(shared: &Shared) -> Reply {
    match (shared.stage(), (shared.port.ready)()) {
        (Stage::Serving, true) => reply::plain(StatusCode::OK, "serving"),
        (Stage::Serving, false) => reply::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        _ => reply::plain(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

/// A minion's announcement.
async fn announced(
    shared: &Shared,
    peer: &Peer,
    parts: &Parts,
    body: Incoming,
) -> Result<Reply, Gone> {
    if parts.method != Method::POST {
        return Ok(reply::plain(
            StatusCode::METHOD_NOT_ALLOWED,
            "announcements are POSTed",
        ));
    }
    let (body, _share) = match peer.read(body, announce::LARGEST).await {
        Ok(held) => held,
        Err(unread) => return refused(shared, &unread),
    };
    Ok(match announce::parse(&body) {
        Ok(announcement) => match (shared.port.input)(Input::Announce(announcement)) {
            true => reply::plain(StatusCode::ACCEPTED, "heard"),
            false => reply::plain(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        },
        Err(error) => reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    })
}

/// A caller's request to a service.
async fn called(
    shared: &Shared,
    peer: &Peer,
    parts: &Parts,
    body: Incoming,
) -> Result<Reply, Gone> {
    let is_node = || (shared.port.peer)(parse::plain(peer.from.ip()));
    let head = match parse::head(&parts.method, &parts.uri, &parts.headers, is_node) {
        Ok(head) => head,
        Err(reason) => return Ok(closing(shared.refuse(reason))),
    };
    let body = match peer.read(body, peer.limits.body).await {
        // It may be held by a sending after its caller has gone.
        Ok((body, share)) => share.hold(body),
        Err(unread) => return refused(shared, &unread),
    };
    let (arrival, call) = split(head, parts, body);
    let (request, finished) = shared.open.insert(call);
    let waiting = Waiting { shared, request };
    if !(shared.port.input)(Input::Arrive(Arrival { request, ..arrival })) {
        shared.open.remove(request);
        return Ok(shared.refuse(NotRun::Stopping));
    }
    let reply = waiting.finished(finished).await;
    Ok(reply)
}

/// The reply to a request whose body was not read.
fn refused(shared: &Shared, unread: &Unread) -> Result<Reply, Gone> {
    let reason = match unread {
        Unread::TooLarge => NotRun::BodyTooLarge,
        Unread::TooSlow => NotRun::SlowCaller,
        Unread::NoRoom => NotRun::QueueFull,
        Unread::Gone(_) => return Err(Gone),
    };
    Ok(closing(shared.refuse(reason)))
}

/// What the core is told of a request, and what is kept for sending it.
fn split(head: Head, parts: &Parts, body: Bytes) -> (Arrival, Call) {
    let arrival = Arrival {
        request: 0,
        service: head.service,
        group: head.group.clone(),
        key: head.key.clone(),
        urgency: head.urgency,
        patience: head.patience,
        spilled: head.spilled,
    };
    let call = Call {
        method: parts.method.clone(),
        path: head.path,
        headers: headers::end_to_end(&parts.headers),
        body,
        group: head.group,
        key: head.key,
        urgency: head.urgency,
    };
    (arrival, call)
}

/// A request whose caller waits. Dropping it unfinished means that the caller hung up: hyper
/// drops a reply in the making as soon as its connection ends.
struct Waiting<'a> {
    shared: &'a Shared,
    request: RequestId,
}

impl Waiting<'_> {
    async fn finished(self, finished: oneshot::Receiver<Finish>) -> Reply {
        match finished.await {
            Ok(finish) => reply::finished(finish),
            // The core went away with the request open. What it had sent is not known here.
            Err(_) => reply::abandoned((self.shared.port.version)()),
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.shared.open.remove(self.request) {
            (self.shared.port.input)(Input::HangUp(self.request));
        }
    }
}

/// Has the connection closed after this reply; what is left unread of the request goes with it.
fn closing(mut reply: Reply) -> Reply {
    close(&mut reply);
    reply
}

fn close(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
}
