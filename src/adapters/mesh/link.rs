//! One open connection between two nodes, whoever dialled it.
//!
//! Both ends write and read at the same time: an end that only wrote until its peer had read would
//! wait for ever for one that does the same.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpStream, select, sync::mpsc, time::timeout};
use tokio_tungstenite::{WebSocketStream, tungstenite::Message};

use super::{IDLE, MeshError, PING, PROTOCOL, STALL, Shared};
use crate::core::types::NodeId;

/// A websocket between two nodes.
pub(super) type Socket = WebSocketStream<TcpStream>;

/// The first message in each direction: who is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
struct Hello {
    /// The sender's [`PROTOCOL`].
    protocol: u32,
    /// The sender.
    node: NodeId,
}

/// Tells the peer who we are.
///
/// # Errors
///
/// The connection failed.
pub(super) async fn introduce(socket: &mut Socket, node: NodeId) -> Result<(), MeshError> {
    let hello = Hello {
        protocol: PROTOCOL,
        node,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&hello, &mut bytes).expect("a vector takes every write");
    socket.send(Message::binary(bytes)).await?;
    Ok(())
}

/// Hears who the peer is.
///
/// # Errors
///
/// It speaks another protocol, or the connection failed.
pub(super) async fn greet(socket: &mut Socket) -> Result<NodeId, MeshError> {
    let bytes = next(socket).await?.unwrap_or_default();
    let hello: Hello =
        ciborium::from_reader(bytes.as_ref()).map_err(|error| MeshError::Handshake {
            what: error.to_string(),
        })?;
    if hello.protocol != PROTOCOL {
        let what = format!("peer speaks protocol {}, not {PROTOCOL}", hello.protocol);
        return Err(MeshError::Handshake { what });
    }
    Ok(hello.node)
}

/// Writes what is queued and hands on what comes in, until the queue is closed (`Ok(true)`), the
/// peer closes (`Ok(false)`) or the connection fails.
///
/// # Errors
///
/// The connection failed or made no progress.
pub(super) async fn run(
    socket: Socket,
    peer: NodeId,
    queue: &mut mpsc::Receiver<Bytes>,
    shared: &Shared,
) -> Result<bool, MeshError> {
    let (sink, stream) = socket.split();
    select! {
        written = write(sink, queue, shared) => written.map(|()| true),
        read = read(stream, peer, shared) => read.map(|()| false),
    }
}

async fn read(
    mut stream: SplitStream<Socket>,
    peer: NodeId,
    shared: &Shared,
) -> Result<(), MeshError> {
    while let Some(bytes) = next(&mut stream).await? {
        shared.traffic.count_received(bytes.len());
        if !shared.faults.drops(peer) {
            (shared.receive)(peer, bytes);
        }
    }
    Ok(())
}

async fn write(
    mut sink: SplitSink<Socket, Message>,
    queue: &mut mpsc::Receiver<Bytes>,
    shared: &Shared,
) -> Result<(), MeshError> {
    loop {
        let message = match timeout(PING, queue.recv()).await {
            Ok(Some(bytes)) => Message::Binary(bytes),
            Ok(None) => return Ok(()),
            Err(_) => Message::Ping(Bytes::new()),
        };
        within(STALL, write_all(&mut sink, message, queue, shared)).await?;
    }
}

/// Writes one message and whatever else already waits, then flushes once.
async fn write_all(
    sink: &mut SplitSink<Socket, Message>,
    first: Message,
    queue: &mut mpsc::Receiver<Bytes>,
    shared: &Shared,
) -> Result<(), MeshError> {
    shared.traffic.count_sent(first.len());
    sink.feed(first).await?;
    while let Ok(bytes) = queue.try_recv() {
        shared.traffic.count_sent(bytes.len());
        sink.feed(Message::Binary(bytes)).await?;
    }
    sink.flush().await?;
    Ok(())
}

/// The next binary message, or `None` when the peer closed the connection.
async fn next<S>(messages: &mut S) -> Result<Option<Bytes>, MeshError>
where
    S: StreamExt<Item = Result<Message, tokio_tungstenite::tungstenite::Error>> + Unpin,
{
    loop {
        let message = timeout(IDLE, messages.next())
            .await
            .map_err(|_| MeshError::Stalled)?;
        match message.transpose()? {
            Some(Message::Binary(bytes)) => return Ok(Some(bytes)),
            None | Some(Message::Close(_)) => return Ok(None),
            Some(_) => {}
        }
    }
}

/// Gives up on what takes too long.
///
/// # Errors
///
/// What was done failed, or took too long.
pub(super) async fn within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, MeshError>>,
) -> Result<T, MeshError> {
    timeout(limit, work)
        .await
        .unwrap_or(Err(MeshError::Stalled))
}
