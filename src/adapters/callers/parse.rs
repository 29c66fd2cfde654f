//! What a request's head says, or why it can't be taken.

use std::{net::IpAddr, time::Duration};

use hyper::{HeaderMap, Method, Uri, header::HeaderValue, http::uri::PathAndQuery};

use crate::{
    adapters::headers,
    core::{
        outcome::NotRun,
        types::{GroupId, Key, ServiceId, Urgency},
    },
};

/// The group of callers that name none.
const DEFAULT_GROUP: &str = "default";
/// Bytes of a service's, group's or key's name.
const LONGEST_NAME: usize = 128;
/// Bytes of a caller's own `Egretpin-Request`.
const LONGEST_ECHO: usize = 64;

/// What a head says of a request.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) path: PathAndQuery,
    pub(super) service: ServiceId,
    pub(super) group: GroupId,
    pub(super) key: Option<Key>,
    pub(super) urgency: Urgency,
    pub(super) patience: Option<Duration>,
    pub(super) spilled: bool,
}

/// Reads a head. `peer` says whether the other side is a node of ours.
pub(super) fn head(
    method: &Method,
    uri: &Uri,
    all: &HeaderMap,
    peer: impl Fn() -> bool,
) -> Result<Head, NotRun> {
    if *method == Method::CONNECT {
        return Err(NotRun::BadRequest);
    }
    let path = uri.path_and_query().ok_or(NotRun::BadRequest)?;
    Ok(Head {
        path: path.clone(),
        service: service(path.path())?,
        group: group(all)?,
        key: name(all, headers::KEY)?,
        urgency: urgency(all)?,
        patience: patience(all)?,
        // Anyone else's word is not taken: it would skip the claim of a key.
        spilled: all.contains_key(headers::SPILLED) && peer(),
    })
}

/// The number by which a caller wants to know its answer again, if it is usable.
pub(super) fn echo(all: &HeaderMap) -> Option<HeaderValue> {
    let text = headers::single(all, headers::REQUEST)?;
    let usable = (1..=LONGEST_ECHO).contains(&text.len());
    usable.then(|| HeaderValue::from_str(text).ok()).flatten()
}

/// The caller's group; the default one if none is named.
pub(super) fn group(all: &HeaderMap) -> Result<GroupId, NotRun> {
    Ok(name(all, headers::GROUP)?.unwrap_or_else(|| DEFAULT_GROUP.into()))
}

/// The first segment of the path.
pub(super) fn service(path: &str) -> Result<ServiceId, NotRun> {
    let rest = path.strip_prefix('/').ok_or(NotRun::BadRequest)?;
    let first = rest.split('/').next().unwrap_or_default();
    let usable = !first.is_empty() && first.len() <= LONGEST_NAME;
    usable.then(|| first.into()).ok_or(NotRun::BadRequest)
}

/// An optional name. A key that can't be read must not pass as no key, for the caller relies on
/// it.
fn name(all: &HeaderMap, header: &str) -> Result<Option<GroupId>, NotRun> {
    if !all.contains_key(header) {
        return Ok(None);
    }
    let text = headers::single(all, header).ok_or(NotRun::BadRequest)?;
    let usable = !text.is_empty() && text.len() <= LONGEST_NAME;
    usable.then(|| Some(text.into())).ok_or(NotRun::BadRequest)
}

fn urgency(all: &HeaderMap) -> Result<Urgency, NotRun> {
    if !all.contains_key(headers::URGENCY) {
        return Ok(Urgency::Ordinary);
    }
    match headers::single(all, headers::URGENCY) {
        Some("ordinary") => Ok(Urgency::Ordinary),
        Some("urgent") => Ok(Urgency::Urgent),
        _ => Err(NotRun::BadRequest),
    }
}

fn patience(all: &HeaderMap) -> Result<Option<Duration>, NotRun> {
    if !all.contains_key(headers::PATIENCE) {
        return Ok(None);
    }
    let wait = headers::single(all, headers::PATIENCE).and_then(headers::parse_wait);
    wait.map(Some).ok_or(NotRun::BadRequest)
}

/// The address that the other side is known by: an IPv4 one also where it came mapped into IPv6.
pub(super) fn plain(address: IpAddr) -> IpAddr {
    address.to_canonical()
}
