//! One open connection between two nodes, whoever dialled it.
//!
//! Both ends write and read at the same time: an end that only wrote until its peer had read would
//! wait for ever for one that does the same.
//!
//! The end that dialled pings and counts on the answers; the other counts on the pings.
//!
//! Each end introduces itself first, and again in a text message when it learns its cluster; nodes
//! of earlier releases pass over text.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{
    FutureExt, SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use serde::{Deserialize, Serialize};
use tokio::{
    select,
    sync::{mpsc, watch},
    task::{unconstrained, yield_now},
    time::{Instant, MissedTickBehavior, interval_at, timeout, timeout_at},
};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{self, Message, protocol::WebSocketConfig},
};

use super::{
    LARGEST, MeshError, PING, PROTOCOL, STALL, Shared,
    gate::Gate,
    pulse::{Half, Pulse},
};
use crate::core::{
    cluster::{Claim, Cluster, FolderId},
    types::NodeId,
};

/// Bytes that are read at once. The library fills what a read leaves of them with zeros, each time,
/// and nearly all messages are of a few hundred bytes: with its default of 128 KiB that was a fifth of
/// the processor time of all nodes together, with 50 of them (sampled). An entry of the log of 16 KiB
/// takes two reads.
const READ: usize = 8 << 10;

/// Bytes that are read at most before a peer is judged whose answer is due: more than a socket
/// holds, unless its host is set up for that.
const BACKLOG: usize = 8 << 20;

/// A websocket between two nodes.
pub(super) type Socket = WebSocketStream<Gate>;

/// What comes from a websocket.
type Arrival = Result<Message, tungstenite::Error>;

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
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
struct Hello {
    /// The sender's [`PROTOCOL`].
    protocol: u32,
    /// The sender.
    node: NodeId,
    /// Its data folder. Nodes of earlier releases say none and pass over it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    folder: Option<FolderId>,
    /// Its cluster. Nodes of earlier releases say none and pass over it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    cluster: Option<Cluster>,
}

impl Hello {
    fn new(claim: &Claim) -> Self {
        Self {
            protocol: PROTOCOL,
            node: claim.node,
            folder: claim.folder,
            cluster: claim.cluster.clone(),
        }
    }

    /// What the sender says of itself.
    ///
    /// # Errors
    ///
    /// It speaks another protocol.
    fn claim(self) -> Result<Claim, MeshError> {
        if self.protocol != PROTOCOL {
            let what = format!("peer speaks protocol {}, not {PROTOCOL}", self.protocol);
            return Err(MeshError::Handshake { what });
        }
        Ok(Claim {
            node: self.node,
            folder: self.folder,
            cluster: self.cluster,
        })
    }
}

/// A connection whose ends have introduced themselves.
pub(super) struct Greeted {
    /// The connection.
    pub(super) socket: Socket,
    /// What this node says of itself, as it changes after the introduction.
    pub(super) ours: watch::Receiver<Claim>,
    /// What the peer said.
    pub(super) peer: Claim,
}

/// Tells the peer who we are; returns what changes of that later.
///
/// # Errors
///
/// The connection failed.
pub(super) async fn introduce(
    socket: &mut Socket,
    shared: &Shared,
) -> Result<watch::Receiver<Claim>, MeshError> {
    let mut ours = shared.claim.subscribe();
    let hello = Hello::new(&ours.borrow_and_update());
    let mut bytes = Vec::new();
    ciborium::into_writer(&hello, &mut bytes).expect("a vector takes every write");
    socket.send(Message::binary(bytes)).await?;
    Ok(ours)
}

/// Hears who the peer is.
///
/// # Errors
///
/// It speaks another protocol, or the connection failed.
pub(super) async fn greet(socket: &mut Socket) -> Result<Claim, MeshError> {
    let hello = match socket.next().await.transpose()? {
        Some(Message::Binary(bytes)) => bytes,
        _ => Bytes::new(),
    };
    let hello: Hello =
        ciborium::from_reader(hello.as_ref()).map_err(|error| MeshError::Handshake {
            what: error.to_string(),
        })?;
    hello.claim()
}

/// Writes what is queued and hands on what comes in, until the queue is closed (`Ok(true)`), the
/// peer closes (`Ok(false)`) or the connection fails.
///
/// # Errors
///
/// The connection failed, went silent or made no progress, or the peer turned out to be of another
/// cluster.
pub(super) async fn run(
    greeted: Greeted,
    end: End,
    queue: &mut mpsc::Receiver<Bytes>,
    shared: &Shared,
) -> Result<bool, MeshError> {
    let Greeted { socket, ours, peer } = greeted;
    let (said, theirs) = watch::channel(peer);
    let (sink, stream) = socket.split();
    let pulse = Pulse::new();
    select! {
        written = write(sink, end, ours.clone(), queue, shared, &pulse) => written.map(|()| true),
        read = read(stream, end, &said, shared, &pulse) => read.map(|()| false),
        part = part(ours, theirs, shared) => part.map(|()| false),
    }
}

/// Returns once the two ends can't be of one cluster.
async fn part(
    mut ours: watch::Receiver<Claim>,
    mut theirs: watch::Receiver<Claim>,
    shared: &Shared,
) -> Result<(), MeshError> {
    loop {
        shared.admit(&theirs.borrow_and_update())?;
        // Both are open for as long as the connection runs.
        let _ = select! {
            changed = ours.changed() => changed,
            changed = theirs.changed() => changed,
        };
    }
}

async fn read(
    mut stream: SplitStream<Socket>,
    end: End,
    said: &watch::Sender<Claim>,
    shared: &Shared,
    pulse: &Pulse,
) -> Result<(), MeshError> {
    let peer = said.borrow().node;
    // Bytes that were read while the judgement is due.
    let mut overdue = 0;
    loop {
        let due = pulse.due(end);
        let message = match timeout_at(due, stream.next()).await {
            Ok(message) => Some(message),
            // Asked since, or held up before it could ask.
            Err(_) if pulse.due(end) > Instant::now() => continue,
            Err(_) => waiting(&mut stream).await,
        };
        let lost = || MeshError::Lost {
            stall: pulse.stall(Half::Reading, due),
        };
        let message = message.ok_or_else(lost)?;
        let Some(message) = message.transpose()? else {
            return Ok(());
        };
        if end.is_shown_by(&message) {
            pulse.show();
            overdue = 0;
        } else if Instant::now() >= due {
            // As long as there is something to read, the limit of a read isn't reached.
            overdue += message.len();
            if overdue > BACKLOG {
                return Err(lost());
            }
        }
        match message {
            Message::Binary(bytes) => {
                shared.traffic.count_received(bytes.len());
                // Whoever waits for a change may run after this.
                shared.admit(&said.borrow())?;
                if !shared.faults.drops(peer) {
                    (shared.receive)(peer, bytes);
                }
            }
            Message::Text(text) => {
                if let Some(claim) = reintroduced(peer, &text) {
                    shared.said(&claim);
                    said.send_replace(claim);
                }
            }
            Message::Close(_) => return Ok(()),
            _ => {}
        }
    }
}

/// What has arrived and wasn't read yet, as this node was held up or had much else to read: the
/// runtime interrupts whoever reads for long, and looks at the time then.
async fn waiting(stream: &mut SplitStream<Socket>) -> Option<Option<Arrival>> {
    // Lets the runtime ask the system what has arrived.
    yield_now().await;
    unconstrained(stream.next()).now_or_never()
}

/// What a peer says of itself on an open connection; nothing if it says something else.
fn reintroduced(peer: NodeId, text: &str) -> Option<Claim> {
    let hello: Hello = serde_json::from_str(text).ok()?;
    hello.claim().ok().filter(|claim| claim.node == peer)
}

/// The text for what [`reintroduced`] reads.
fn reintroduction(claim: &Claim) -> Message {
    let text = serde_json::to_string(&Hello::new(claim));
    Message::text(text.expect("numbers and lists are written always"))
}

async fn write(
    mut sink: SplitSink<Socket, Message>,
    end: End,
    mut ours: watch::Receiver<Claim>,
    queue: &mut mpsc::Receiver<Bytes>,
    shared: &Shared,
    pulse: &Pulse,
) -> Result<(), MeshError> {
    let mut ping = interval_at(Instant::now() + PING, PING);
    ping.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let message = select! {
            message = queue.recv() => match message {
                Some(bytes) => Message::Binary(bytes),
                None => return Ok(()),
            },
            Ok(()) = ours.changed() => reintroduction(&ours.borrow_and_update()),
            _ = ping.tick(), if end == End::Dialler => {
                pulse.ping();
                Message::Ping(Bytes::new())
            }
        };
        pulse.begin();
        let due = Instant::now() + STALL;
        timeout_at(due, write_all(&mut sink, message, queue, shared))
            .await
            .unwrap_or_else(|_| {
                let stall = pulse.stall(Half::Writing, due);
                Err(MeshError::Lost { stall })
            })?;
        pulse.end();
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
