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
    gate::Gate,
    link::{self, Greeted},
};
use crate::adapters::{
    accept::Acceptor,
    budget::{Account, Budget},
};

/// Accepts peers until `stopped` closes. They count in the budget until they are admitted.
pub(super) async fn run(
    listener: TcpListener,
    shared: Arc<Shared>,
    budget: Budget,
    mut stopped: mpsc::Receiver<()>,
) {
    let mut links = JoinSet::new();
    let mut acceptor = Acceptor::new(listener, budget.clone());
    loop {
        let accepted = async {
            let (stream, _) = acceptor.accept().await;
            (stream, budget.open().await)
        };
        tokio::select! {
            _ = stopped.recv() => return,
            (stream, account) = accepted => {
                links.spawn(accept(stream, account, Arc::clone(&shared)));
                while links.try_join_next().is_some() {}
            }
        }
    }
}

async fn accept(stream: TcpStream, account: Account, shared: Arc<Shared>) {
    if let Err(error) = serve(stream, account, &shared).await {
        log::debug!(error:%; "mesh link from peer ended");
    }
}

async fn serve(stream: TcpStream, account: Account, shared: &Shared) -> Result<(), MeshError> {
    stream.set_nodelay(true)?;
    let greeted = link::within(STALL, async {
        let stream = Gate::new(stream);
        let mut socket = accept_async_with_config(stream, Some(link::config())).await?;
        let peer = link::greet(&mut socket).await?;
        // Said to a stranger too, so that its own log tells why it isn't heard.
        let ours = link::introduce(&mut socket, shared).await?;
        shared.admit(&peer)?;
        socket.get_mut().open();
        Ok(Greeted { socket, ours, peer })
    });
    let greeted = tokio::select! {
        greeted = greeted => greeted?,
        () = account.closing() => return Err(MeshError::Stalled),
    };
    drop(account);
    let peer = greeted.peer.node;
    let (sender, mut queue) = mpsc::channel(QUEUE);
    let serial = shared.accepted(&greeted.peer, sender);
    let ended = link::run(greeted, link::End::Listener, &mut queue, shared).await;
    shared.dropped(peer, serial);
    ended.map(|_| ())
}
