//! What a whole answer means.

use bytes::Bytes;
use hyper::{Method, Response, StatusCode, header::CONTENT_LENGTH};

use crate::{
    adapters::{callers::Answer, headers},
    core::{
        dispatch::AttemptEnd,
        outcome::{NotRun, Unknown},
    },
};

/// How a sending ended, with the answer if there is one to relay.
pub(super) type Ended = (AttemptEnd, Option<Answer>);

/// A minion's answer: its own refusal, or what the caller gets.
pub(super) fn of_minion(method: &Method, answer: Response<Bytes>) -> Ended {
    if !answer.headers().contains_key(headers::REFUSED) {
        return relayed(method, answer);
    }
    let refused = headers::single(answer.headers(), headers::REFUSED) == Some("true");
    if refused && answer.status() == StatusCode::SERVICE_UNAVAILABLE {
        let after = headers::retry_after(answer.headers());
        return (AttemptEnd::Refused { after }, None);
    }
    // A refusal that looks like an answer as well says two things at once.
    (AttemptEnd::Unknown(Unknown::Malformed), None)
}

/// The answer of a node of another data centre, which already holds the truth.
pub(super) fn of_node(method: &Method, answer: Response<Bytes>) -> Ended {
    let reason = headers::single(answer.headers(), headers::REASON);
    match headers::single(answer.headers(), headers::OUTCOME) {
        Some("answered") => relayed(method, answer),
        Some("not-run") => {
            let known = NotRun::ALL.iter().any(|r| Some(r.label()) == reason);
            let after = headers::retry_after(answer.headers());
            match known {
                true => (AttemptEnd::Refused { after }, None),
                false => (AttemptEnd::Unknown(Unknown::Malformed), None),
            }
        }
        Some("unknown") => {
            let known = Unknown::ALL.into_iter().find(|r| Some(r.label()) == reason);
            (
                AttemptEnd::Unknown(known.unwrap_or(Unknown::Malformed)),
                None,
            )
        }
        _ => (AttemptEnd::Unknown(Unknown::Malformed), None),
    }
}

fn relayed(method: &Method, answer: Response<Bytes>) -> Ended {
    let (parts, body) = answer.into_parts();
    let mut kept = headers::end_to_end(&parts.headers);
    // The answer to a HEAD states the length of a body that isn't sent.
    if let (&Method::HEAD, Some(length)) = (method, parts.headers.get(CONTENT_LENGTH)) {
        kept.insert(CONTENT_LENGTH, length.clone());
    }
    let fault = parts.status.is_server_error();
    let answer = Answer {
        status: parts.status,
        headers: kept,
        body,
    };
    (AttemptEnd::Answered { fault }, Some(answer))
}
