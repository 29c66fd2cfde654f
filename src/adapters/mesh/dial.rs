//! Links that this node dials, and dials again when they are lost.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{net::TcpStream, sync::mpsc, time::sleep};
use tokio_tungstenite::client_async_with_config;

use super::{
    MeshError, STALL, Shared,
    gate::Gate,
    link::{self, Greeted},
};
use crate::core::types::NodeId;

/// The wait before the first dial that follows a failure, and its bound after more of them.
const RETRY: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Which address is dialled, and who is expected there.
pub(super) struct Link {
    /// The address.
    pub(super) address: SocketAddr,
    /// Who must be there; whoever is, if not given.
    pub(super) expected: Option<NodeId>,
    /// Where what is to be sent is queued.
    pub(super) sender: mpsc::Sender<Bytes>,
    /// What all links share.
    pub(super) shared: Arc<Shared>,
}

impl Link {
    /// Keeps a connection to the address until the mesh is dropped.
    pub(super) async fn run(self, mut queue: mpsc::Receiver<Bytes>) {
        let (address, mut wait) = (self.address, RETRY.0);
        let Self {
            expected,
            sender,
            shared,
            ..
        } = self;
        // Held weakly from here on, so that dropping the mesh closes the queue.
        let sender = sender.downgrade();
        while !queue.is_closed() {
            match connect(&shared, address, expected).await {
                Ok(greeted) => {
                    wait = RETRY.0;
                    let peer = greeted.peer.node;
                    log::debug!(peer, address:%; "mesh link up");
                    if let Some(sender) = sender.upgrade() {
                        shared.dialled(&greeted.peer, sender);
                    }
                    let end = link::End::Dialler;
                    let ended = link::run(greeted, end, &mut queue, &shared).await;
                    shared.hung_up(peer);
                    match ended {
                        Ok(true) => return,
                        Ok(false) => log::info!(peer; "mesh link closed by its peer"),
                        // It took long enough; whoever is there may be well.
                        Err(error @ MeshError::Lost { stall }) => {
                            let (queued, bytes) = drain(&mut queue);
                            log::info!(
                                peer, error:%, gave_up = stall.half.label(),
                                writing_ms = stall.writing.map(millis),
                                pinged_ms = stall.pinged.map(millis),
                                shown_ms = millis(stall.shown), late_ms = millis(stall.late),
                                queued, bytes;
                                "mesh link lost"
                            );
                            continue;
                        }
                        Err(error) => log::info!(peer, error:%; "mesh link lost"),
                    }
                }
                Err(error) => log::debug!(address:%, error:%; "mesh dial failed"),
            }
            sleep(wait).await;
            wait = RETRY.1.min(wait * 2);
            drain(&mut queue);
        }
    }
}

/// Drops what waited for a link that was lost: it is stale, and its senders have given up on it or
/// will repeat it. Returns how many messages and bytes that were.
fn drain(queue: &mut mpsc::Receiver<Bytes>) -> (usize, usize) {
    let (mut queued, mut bytes) = (0, 0);
    while let Ok(message) = queue.try_recv() {
        queued += 1;
        bytes += message.len();
    }
    (queued, bytes)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

async fn connect(
    shared: &Shared,
    address: SocketAddr,
    expected: Option<NodeId>,
) -> Result<Greeted, MeshError> {
    let dial = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{address}/mesh");
        let stream = Gate::new(stream);
        let (mut socket, _) = client_async_with_config(url, stream, Some(link::config())).await?;
        let ours = link::introduce(&mut socket, shared).await?;
        let peer = link::greet(&mut socket).await?;
        if expected.is_some_and(|e| e != peer.node) {
            let what = format!("node {} is there", peer.node);
            return Err(MeshError::Handshake { what });
        }
        shared.admit(&peer)?;
        socket.get_mut().open();
        Ok(Greeted { socket, ours, peer })
    };
    link::within(STALL, dial).await
}
