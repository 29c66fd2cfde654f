//! Links that peers dial.

use std::sync::Arc;

use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
};
use tokio_tungstenite::accept_async_with_config;

use super::{
    MeshError, QUEUE, STALL, Shared,
    link::{self, Greeted},
};
use crate::adapters::{accept::Acceptor, budget::Budget};

/// Accepts peers until `stopped` closes.
pub(super) async fn run(
    listener: TcpListener,
    shared: Arc<Shared>,
    mut stopped: mpsc::Receiver<()>,
) {
    let mut links = JoinSet::new();
    let mut acceptor = Acceptor::new(listener, Budget::default());
    loop {
        tokio::select! {
            _ = stopped.recv() => return,
            Some(_) = links.join_next() => {}
            (stream, _) = acceptor.accept() => {
                links.spawn(accept(stream, Arc::clone(&shared)));
            }
        }
    }
}

async fn accept(stream: TcpStream, shared: Arc<Shared>) {
    if let Err(error) = serve(stream, &shared).await {
        log::debug!(error:%; "mesh link from peer ended");
    }
}

async fn serve(stream: TcpStream, shared: &Shared) -> Result<(), MeshError> {
    stream.set_nodelay(true)?;
    let greeted = link::within(STALL, async {
        let mut socket = accept_async_with_config(stream, Some(link::config())).await?;
        let peer = link::greet(&mut socket).await?;
        // Said to a stranger too, so that its own log tells why it isn't heard.
        let ours = link::introduce(&mut socket, shared).await?;
        shared.admit(&peer)?;
        Ok(Greeted { socket, ours, peer })
    });
    let greeted = greeted.await?;
    let peer = greeted.peer.node;
    let (sender, mut queue) = mpsc::channel(QUEUE);
    let serial = shared.accepted(&greeted.peer, sender);
    let ended = link::run(greeted, link::End::Listener, &mut queue, shared).await;
    shared.dropped(peer, serial);
    ended.map(|_| ())
}
