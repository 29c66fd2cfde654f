//! The headers of the callers' and minions' interfaces, and which headers are passed on.
//!
//! The names are published in `docs/INTERFACE.md`. Whatever starts with [`PREFIX`] belongs to
//! egretpin and is never passed on as it came: a minion can't forge an outcome, and a caller
//! can't forge the number that ties an answer to its request.
//!
//! ```
//! use egretpin::adapters::headers;
//! use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue};
//!
//! let mut all = HeaderMap::new();
//! all.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
//! all.insert(CONNECTION, HeaderValue::from_static("x-hop"));
//! all.insert("x-hop", HeaderValue::from_static("1"));
//! all.insert(headers::OUTCOME, HeaderValue::from_static("answered"));
//!
//! let kept = headers::end_to_end(&all);
//! assert_eq!(kept.keys().map(|k| k.as_str()).collect::<Vec<_>>(), ["content-type"]);
//! ```

use std::time::Duration;

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// What the names of egretpin's own headers start with.
pub const PREFIX: &str = "egretpin-";
/// The caller's group.
pub const GROUP: &str = "egretpin-group";
/// The caller's key; two sends of one key don't both run.
pub const KEY: &str = "idempotency-key";
/// `ordinary` or `urgent`.
pub const URGENCY: &str = "egretpin-urgency";
/// How long the caller will wait, such as `2s` or `1500ms`.
pub const PATIENCE: &str = "egretpin-patience";
/// Set by a node that spills a request to another data centre.
pub const SPILLED: &str = "egretpin-spilled";
/// Ties an answer to its request; whoever answers echoes it.
pub const REQUEST: &str = "egretpin-request";
/// A minion's word that it didn't run the request.
pub const REFUSED: &str = "egretpin-refused";
/// `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "egretpin-outcome";
/// The label of the reason, if not answered.
pub const REASON: &str = "egretpin-reason";
/// `Retry-After` in milliseconds.
pub const RETRY_AFTER: &str = "egretpin-retry-after-ms";
/// The configuration version that the decision was made under.
pub const VERSION: &str = "egretpin-version";

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Headers that each connection states anew.
const RESTATED: [HeaderName; 4] = [
    header::CONTENT_LENGTH,
    header::DATE,
    header::EXPECT,
    header::HOST,
];

/// The headers that are passed on: neither hop-by-hop, nor named by `Connection`, nor ours.
pub fn end_to_end(all: &HeaderMap) -> HeaderMap {
    let named = connection_options(all);
    let mut kept = HeaderMap::with_capacity(all.len());
    for (name, value) in all {
        let own = name.as_str().starts_with(PREFIX);
        let hop = HOP_BY_HOP.contains(name) || RESTATED.contains(name);
        if !own && !hop && !named.iter().any(|n| n == name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// The one value of a header; `None` if it is absent, repeated or not visible ASCII.
pub fn single<'a>(all: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = all.get_all(name).iter();
    let first = values.next()?;
    if values.next().is_some() {
        return None;
    }
    first.to_str().ok().map(str::trim)
}

/// Reads a time such as `2s` or `1500ms`; zero and fractions are not times to wait.
pub fn parse_wait(text: &str) -> Option<Duration> {
    let wait = if let Some(millis) = text.strip_suffix("ms") {
        Duration::from_millis(digits(millis)?)
    } else {
        Duration::from_secs(digits(text.strip_suffix('s')?)?)
    };
    (!wait.is_zero()).then_some(wait)
}

/// Writes a time for [`PATIENCE`], in whole milliseconds and at least one.
pub fn format_wait(wait: Duration) -> HeaderValue {
    let text = format!("{}ms", wait.as_millis().max(1));
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1ms"))
}

/// The value of `Retry-After`: whole seconds, rounded up and at least 1, so that nobody comes back
/// too early.
pub fn retry_seconds(after: Duration) -> HeaderValue {
    let whole = after.as_nanos().div_ceil(NANOS_PER_SECOND).max(1);
    HeaderValue::from(u64::try_from(whole).unwrap_or(u64::MAX))
}

/// Sets `Retry-After` and its finer sibling.
pub fn set_retry_after(all: &mut HeaderMap, after: Duration) {
    let millis = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
    all.insert(header::RETRY_AFTER, retry_seconds(after));
    all.insert(RETRY_AFTER, HeaderValue::from(millis));
}

/// Reads the finer of the two times to come back, if either is given.
pub fn retry_after(all: &HeaderMap) -> Option<Duration> {
    let millis = single(all, RETRY_AFTER).and_then(digits);
    let seconds = || single(all, header::RETRY_AFTER.as_str()).and_then(digits);
    millis
        .map(Duration::from_millis)
        .or_else(|| seconds().map(Duration::from_secs))
}

/// The header names that `Connection` lists.
fn connection_options(all: &HeaderMap) -> Vec<String> {
    all.get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|n| n.trim().to_ascii_lowercase())
        .collect()
}

/// A number written in digits only; `u64::from_str` would take a sign too.
fn digits(text: &str) -> Option<u64> {
    let plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    plain.then(|| text.parse().ok()).flatten()
}
