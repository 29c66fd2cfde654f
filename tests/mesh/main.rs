//! The mesh delivers at most once, drops what is cut and comes back after a link that was lost or
//! went silent.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use egretpin::{
    adapters::mesh::{Config, Mesh},
    core::types::NodeId,
};
use tokio::{
    net::TcpListener,
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    time::timeout,
};

mod delays;
#[path = "../support/proxy.rs"]
mod proxy;
mod silent;
mod strangers;

const PATIENCE: Duration = Duration::from_secs(20);

struct Peer {
    mesh: Mesh,
    inbox: UnboundedReceiver<(NodeId, Bytes)>,
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn start(
    node: NodeId,
    listener: TcpListener,
    peers: impl IntoIterator<Item = (NodeId, SocketAddr)>,
) -> Peer {
    let (sender, inbox) = unbounded_channel();
    let receive = Arc::new(move |from, bytes| {
        let _ = sender.send((from, bytes));
    });
    let config = Config {
        node,
        peers: peers.into_iter().collect(),
        ..Config::default()
    };
    Peer {
        mesh: Mesh::start(config, listener, receive),
        inbox,
    }
}

/// Sends numbered messages until one of them arrives; returns the one that did.
async fn until_delivered(
    from: &Mesh,
    to: NodeId,
    inbox: &mut UnboundedReceiver<(NodeId, Bytes)>,
) -> (NodeId, Bytes) {
    let mut tick = tokio::time::interval(Duration::from_millis(20));
    let delivered = async {
        loop {
            tokio::select! {
                _ = tick.tick() => { from.send(to, Bytes::from_static(b"hello")); }
                Some(got) = inbox.recv() => return got,
            }
        }
    };
    timeout(PATIENCE, delivered)
        .await
        .expect("a message arrives")
}

#[tokio::test]
async fn messages_arrive_with_their_sender() {
    let (la, a) = bind().await;
    let (lb, b) = bind().await;
    let one = start(1, la, [(2, b)]);
    let mut two = start(2, lb, [(1, a)]);
    let got = until_delivered(&one.mesh, 2, &mut two.inbox).await;
    assert_eq!(got, (1, Bytes::from_static(b"hello")));
    assert!(
        !one.mesh.send(9, Bytes::new()),
        "an unknown peer takes nothing"
    );
    // Each of the messages is five bytes behind a masked head of six.
    let (sent, received) = (one.mesh.traffic().sent(), two.mesh.traffic().received());
    assert!(received >= 11 && received <= sent, "{received} of {sent}");
    assert_eq!((sent % 11, received % 11), (0, 0));
}

#[tokio::test]
async fn a_cut_link_drops_both_ways_and_heals() {
    let (la, a) = bind().await;
    let (lb, b) = bind().await;
    let mut one = start(1, la, [(2, b)]);
    let mut two = start(2, lb, [(1, a)]);
    until_delivered(&one.mesh, 2, &mut two.inbox).await;
    until_delivered(&two.mesh, 1, &mut one.inbox).await;
    while two.inbox.try_recv().is_ok() {}

    two.mesh.faults().cut([1]);
    assert!(!two.mesh.send(1, Bytes::from_static(b"out")));
    assert!(one.mesh.send(2, Bytes::from_static(b"dropped")));
    let both = async {
        while two.mesh.faults().dropped() < 2 {
            tokio::task::yield_now().await;
        }
    };
    timeout(PATIENCE, both).await.expect("both are dropped");
    two.mesh.faults().cut([]);
    let (_, first) = until_delivered(&one.mesh, 2, &mut two.inbox).await;
    assert_eq!(first, Bytes::from_static(b"hello"));
}

#[tokio::test]
async fn a_restarted_peer_is_dialled_again() {
    let (la, a) = bind().await;
    let (lb, b) = bind().await;
    let one = start(1, la, [(2, b)]);
    let mut two = start(2, lb, [(1, a)]);
    until_delivered(&one.mesh, 2, &mut two.inbox).await;
    drop(two);
    let rebound = async {
        loop {
            match TcpListener::bind(b).await {
                Ok(listener) => return listener,
                Err(_) => tokio::task::yield_now().await,
            }
        }
    };
    let lb = timeout(PATIENCE, rebound)
        .await
        .expect("the listener went with its mesh");
    let mut two = start(2, lb, [(1, a)]);
    until_delivered(&one.mesh, 2, &mut two.inbox).await;
}
