//! Which address a body belongs to.

use std::fmt::{self, Display, Formatter};

use crate::core::types::{HostId, JobId, Name, OperationId, PoolId};

/// How a route is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Reads.
    Get,
    /// Changes something or takes a body.
    Post,
}

/// A route; its text form is its path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Post an [`Operation`](super::Operation), get an [`Answer`](super::Answer).
    Operations,
    /// The first [`Answer`](super::Answer) to an operation.
    Operation(OperationId),
    /// Post a [`view::Proposal`](super::view::Proposal), get a [`view::Plan`](super::view::Plan).
    Plan,
    /// [`view::Status`](super::view::Status).
    Status,
    /// [`view::Presets`](super::view::Presets).
    Presets,
    /// [`view::Pools`](super::view::Pools).
    Pools,
    /// The [`view::Hosts`](super::view::Hosts) of a pool.
    Pool(PoolId),
    /// [`view::Hosts`](super::view::Hosts), all.
    Hosts,
    /// [`view::Waves`](super::view::Waves).
    Waves,
    /// [`view::Jobs`](super::view::Jobs).
    Jobs,
    /// One [`view::Job`](super::view::Job).
    Job(JobId),
    /// [`view::History`](super::view::History).
    History,
    /// A [`view::Explanation`](super::view::Explanation) of a host.
    ExplainHost(HostId),
    /// A [`view::Explanation`](super::view::Explanation) of a job.
    ExplainJob(JobId),
    /// A [`view::Explanation`](super::view::Explanation) of a request by its id.
    ExplainRequest(Name),
}

impl Route {
    /// How it is asked.
    pub const fn method(&self) -> Method {
        match self {
            Self::Operations | Self::Plan => Method::Post,
            _ => Method::Get,
        }
    }

    /// The route of a path, without a query.
    pub fn parse(path: &str) -> Option<Self> {
        let mut parts = path.strip_prefix("/v1/")?.split('/');
        let all = [parts.next(), parts.next(), parts.next(), parts.next()];
        match all {
            [Some(first), None, None, None] => Self::plain(first),
            [Some(first), Some(id), None, None] if !id.is_empty() => Self::with_id(first, id),
            [Some("explain"), Some(what), Some(id), None] if !id.is_empty() => {
                Self::explain(what, id)
            }
            _ => None,
        }
    }

    fn plain(name: &str) -> Option<Self> {
        Some(match name {
            "operations" => Self::Operations,
            "plan" => Self::Plan,
            "status" => Self::Status,
            "presets" => Self::Presets,
            "pools" => Self::Pools,
            "hosts" => Self::Hosts,
            "waves" => Self::Waves,
            "jobs" => Self::Jobs,
            "history" => Self::History,
            _ => return None,
        })
    }

    fn with_id(name: &str, id: &str) -> Option<Self> {
        Some(match name {
            "operations" => Self::Operation(id.into()),
            "pools" => Self::Pool(id.into()),
            "jobs" => Self::Job(id.parse().ok()?),
            _ => return None,
        })
    }

    fn explain(what: &str, id: &str) -> Option<Self> {
        Some(match what {
            "host" => Self::ExplainHost(id.into()),
            "job" => Self::ExplainJob(id.parse().ok()?),
            "request" => Self::ExplainRequest(decoded(id)?.into()),
            _ => return None,
        })
    }
}

impl Display for Route {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("/v1/")?;
        match self {
            Self::Operations => f.write_str("operations"),
            Self::Operation(id) => write!(f, "operations/{id}"),
            Self::Plan => f.write_str("plan"),
            Self::Status => f.write_str("status"),
            Self::Presets => f.write_str("presets"),
            Self::Pools => f.write_str("pools"),
            Self::Pool(id) => write!(f, "pools/{id}"),
            Self::Hosts => f.write_str("hosts"),
            Self::Waves => f.write_str("waves"),
            Self::Jobs => f.write_str("jobs"),
            Self::Job(id) => write!(f, "jobs/{id}"),
            Self::History => f.write_str("history"),
            Self::ExplainHost(id) => write!(f, "explain/host/{id}"),
            Self::ExplainJob(id) => write!(f, "explain/job/{id}"),
            Self::ExplainRequest(id) => write!(f, "explain/request/{}", encoded(id)),
        }
    }
}

/// A caller's own id may have any visible characters, also those that mean something in a path.
fn encoded(id: &str) -> String {
    let mut text = String::with_capacity(id.len());
    for byte in id.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            text.push(char::from(byte));
        } else {
            text.push_str(&format!("%{byte:02X}"));
        }
    }
    text
}

fn decoded(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let high = char::from(rest.next()?).to_digit(16)?;
        let low = char::from(rest.next()?).to_digit(16)?;
        bytes.push(u8::try_from(high * 16 + low).ok()?);
    }
    String::from_utf8(bytes).ok()
}
