//! A caller's request as it is sent on, and the answer as it is relayed.

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode, http::uri::PathAndQuery};

use crate::core::types::{GroupId, Key, Urgency};

/// What of a caller's request is sent on; shared by all sendings of it.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and query, unchanged: the service's name is its first segment.
    pub path: PathAndQuery,
    /// The end-to-end headers, without egretpin's own.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The caller's group, stated again to a node of another data centre.
    pub group: GroupId,
    /// The key, stated again likewise.
    pub key: Option<Key>,
    /// The urgency, stated again likewise.
    pub urgency: Urgency,
}

/// A minion's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The end-to-end headers, without egretpin's own.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}
