//! One open connection between two nodes, whoever dialled it.
//!
//! Both ends write and read at the same time: an end that only wrote until its peer had read would
//! wait for ever for one that does the same.
//!
//! The end that dialled pings and counts on the answers; the other counts on the pings.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use serde::{Deserialize, Serialize};
use tokio::{
    net::TcpStream,
    select,
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval_at, timeout, timeout_at},
};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{Message, protocol::WebSocketConfig},
};

use super::{LARGEST, MeshError, PING, PROTOCOL, SILENT, STALL, Shared};
use crate::core::types::NodeId;

/// Bytes that are read at once. The library fills what a read leaves of them with zeros, each time,
/// and nearly all messages are of a few hundred bytes: with its default of 128 KiB that was a fifth of
/// the processor time of all nodes together, with 50 of them (sampled). An entry of the log of 16 KiB
/// takes two reads.
const READ: usize = 8 << 10;

/// A websocket between two nodes.
pub(super) type Socket = WebSocketStream<TcpStream>;

/// Which end of a connection this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The one that dialled.
    Dialler,
    /// The one that was dialled.
    Listener,
}

impl End {
    /// Whether what came in shows that the connection works both ways, as far as this end has to
    /// know. To the dialler the peer's own messages don't: they would come as well if nothing of
    /// this end's got through. The listener counts on pings, so anything will do.
    fn is_shown_by(self, message: &Message) -> bool {
        match self {
            Self::Dialler => matches!(message, Message::Pong(_)),
            Self::Listener => true,
        }
    }
}

/// How both ends are set up.
pub(super) fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(LARGEST))
        .read_buffer_size(READ)
}

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
    let hello = match socket.next().await.transpose()? {
        Some(Message::Binary(bytes)) => bytes,
        _ => Bytes::new(),
    };
    let hello: Hello =
        ciborium::from_reader(hello.as_ref()).map_err(|error| MeshError::Handshake {
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
/// The connection failed, went silent or made no progress.
pub(super) async fn run(
    socket: Socket,
    end: End,
    peer: NodeId,
    queue: &mut mpsc::Receiver<Bytes>,
    shared: &Shared,
) -> Result<bool, MeshError> {
    let (sink, stream) = socket.split();
    select! {
        written = write(sink, end, queue, shared) => written.map(|()| true),
        read = read(stream, end, peer, shared) => read.map(|()| false),
    }
}

async fn read(
    mut stream: SplitStream<Socket>,
    end: End,
    peer: NodeId,
    shared: &Shared,
) -> Result<(), MeshError> {
    let mut shown = Instant::now();
    loop {
        let message = timeout_at(shown + SILENT, stream.next())
            .await
            .map_err(|_| MeshError::Stalled)?;
        let Some(message) = message.transpose()? else {
            return Ok(());
        };
        if end.is_shown_by(&message) {
            shown = Instant::now();
        }
        match message {
            Message::Binary(bytes) => {
                shared.traffic.count_received(bytes.len());
                if !shared.faults.drops(peer) {
                    (shared.receive)(peer, bytes);
                }
            }
            Message::Close(_) => return Ok(()),
            _ => {}
        }
    }
}

async fn write(
    mut sink: SplitSink<Socket, Message>,
    end: End,
    queue: &mut mpsc::Receiver<Bytes>,
    shared: &Shared,
) -> Result<(), MeshError> {
    let mut ping = interval_at(Instant::now() + PING, PING);
    ping.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let message = select! {
            message = queue.recv() => match message {
                Some(bytes) => Message::Binary(bytes),
                None => return Ok(()),
            },
            _ = ping.tick(), if end == End::Dialler => Message::Ping(Bytes::new()),
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
