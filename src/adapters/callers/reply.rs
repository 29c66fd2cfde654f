//! What a caller is told, as an HTTP response.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};

use super::{call::Answer, open::Finish};
use crate::{
    adapters::headers,
    core::{
        outcome::{NotRun, Outcome, Unknown},
        types::Version,
    },
};

/// A response with its whole body.
pub(super) type Reply = Response<Full<Bytes>>;

/// What a reply to a request tells, kept with it until it goes out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Told {
    pub(super) outcome: Outcome,
    pub(super) version: Version,
    pub(super) retries: u32,
}

/// When to come back after a refusal that this module made for want of room.
const COME_BACK: Duration = Duration::from_secs(1);

/// The response to a finished request.
pub(super) fn finished(finish: Finish) -> Reply {
    let (label, reason) = match finish.outcome {
        Outcome::Answered => ("answered", None),
        Outcome::NotRun { reason, .. } => ("not-run", Some(reason.label())),
        Outcome::Unknown { reason } => ("unknown", Some(reason.label())),
    };
    let mut reply = match (finish.answer, finish.outcome) {
        (Some(answer), _) => relayed(answer),
        (None, Outcome::NotRun { reason, .. }) => bare(reason.status(), reason.label()),
        (None, Outcome::Unknown { reason }) => bare(reason.status(), reason.label()),
        // `Open::finish` never makes this; an answer that isn't there must not look like one.
        (None, Outcome::Answered) => bare(StatusCode::BAD_GATEWAY.as_u16(), "lost"),
    };
    let all = reply.headers_mut();
    all.insert(headers::OUTCOME, HeaderValue::from_static(label));
    if let Some(reason) = reason {
        all.insert(headers::REASON, HeaderValue::from_static(reason));
    }
    if let Outcome::NotRun {
        after: Some(after), ..
    } = finish.outcome
    {
        headers::set_retry_after(all, after);
    }
    all.insert(headers::VERSION, HeaderValue::from(finish.version));
    reply.extensions_mut().insert(Told {
        outcome: finish.outcome,
        version: finish.version,
        retries: finish.retries,
    });
    reply
}

/// The response to a request that this module refused before the core knew of it.
pub(super) fn refused(reason: NotRun, version: Version) -> Reply {
    let after = match reason {
        NotRun::BadRequest | NotRun::BodyTooLarge => None,
        _ => Some(COME_BACK),
    };
    finished(Finish {
        outcome: Outcome::NotRun { reason, after },
        version,
        retries: 0,
        answer: None,
    })
}

/// A response outside the callers' interface, such as readiness.
pub(super) fn plain(status: StatusCode, text: &'static str) -> Reply {
    bare(status.as_u16(), text)
}

/// The same with a text made for the occasion.
pub(super) fn text(status: StatusCode, text: String) -> Reply {
    let mut reply = plain(status, "");
    *reply.body_mut() = Full::new(Bytes::from(text + "\n"));
    reply
}

/// The response to a request that was open when the core went away: what the core had sent of
/// it is not known any more.
pub(super) fn abandoned(version: Version) -> Reply {
    finished(Finish {
        outcome: Outcome::Unknown {
            reason: Unknown::Lost,
        },
        version,
        retries: 0,
        answer: None,
    })
}

fn relayed(answer: Answer) -> Reply {
    let mut reply = Response::new(Full::new(answer.body));
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = answer.headers;
    reply
}

fn bare(status: u16, text: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    reply.headers_mut().insert(CONTENT_TYPE, text);
    reply
}
