//! A small client of the operators' interface.

use std::{io, net::SocketAddr};

use bytes::Bytes;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    adapters::http,
    api::{Answer, Change, Operation},
    core::types::{NodeId, PresetId, Version},
};

/// What a node says that it acts under.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
pub(super) enum Acting {
    /// A configuration.
    Under {
        /// Which.
        version: Version,
        /// Its preset.
        preset: PresetId,
    },
    /// None, and why.
    CutOff {
        /// The reason's label.
        cut_off: String,
    },
}

/// The page of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub(super) struct NodePage {
    /// Who leads, as far as it knows.
    pub(super) leader: Option<NodeId>,
    /// Whether it leads itself.
    pub(super) leads: bool,
    /// What it acts under.
    pub(super) acting: Acting,
}

/// Reads a page of JSON.
pub(super) async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> io::Result<T> {
    let request = Request::get(path).body(Bytes::new());
    let answer = http::send(address, request.map_err(io::Error::other)?).await?;
    Ok(serde_json::from_slice(answer.body())?)
}

/// Whether a page answers with 200.
pub(super) async fn is_good(address: SocketAddr, path: &str) -> bool {
    let Ok(request) = Request::get(path).body(Bytes::new()) else {
        return false;
    };
    let answer = http::send(address, request).await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}

/// Sends a change under an id; the answer if it was accepted.
pub(super) async fn change(
    address: SocketAddr,
    operation: &str,
    change: Change,
) -> io::Result<Answer> {
    let operation = Operation {
        operation: operation.into(),
        change,
    };
    let answer = http::post(address, "/v1/operations", &operation).await?;
    if answer.status() != StatusCode::OK {
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        return Err(io::Error::other(text));
    }
    Ok(serde_json::from_slice(answer.body())?)
}

/// Cuts a node's mesh off from others, both ways.
pub(super) async fn cut(address: SocketAddr, from: &[NodeId]) -> bool {
    let answer = http::post(address, "/v1/trial/cut", &from).await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}
