//! Nodes of another cluster, and of earlier releases, which say nothing of theirs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use egretpin::{
    adapters::mesh::{Config, Mesh},
    core::{
        cluster::{Cluster, Founder},
        types::NodeId,
    },
};
use futures_util::{SinkExt, StreamExt};
use prometheus_client::metrics::counter::Counter;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc::unbounded_channel,
    time::{sleep, timeout},
};
use tokio_tungstenite::{WebSocketStream, accept_async, client_async, tungstenite::Message};

use crate::{PATIENCE, Peer, bind, until_delivered};

/// How long nothing may come of what was refused.
const QUIET: Duration = Duration::from_millis(300);
const LOOK: Duration = Duration::from_millis(10);

/// What a node of an earlier release says, and all that it reads.
#[derive(Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Earlier {
    protocol: u32,
    node: NodeId,
}

/// What a node says.
#[derive(Deserialize, Serialize)]
struct Hello {
    protocol: u32,
    node: NodeId,
    folder: Option<u64>,
    cluster: Option<Cluster>,
}

/// The cluster with an id whose founders are 1 and 2, with folders that are its own.
fn cluster(id: u64) -> Cluster {
    let founder = |node| Founder {
        node,
        folder: folder(id, node),
    };
    let founders = [1, 2].map(founder).to_vec();
    Cluster { id, founders }
}

fn folder(cluster: u64, node: NodeId) -> u64 {
    cluster * 10 + node
}

fn start_as(
    config: Config,
    listener: TcpListener,
    peers: impl IntoIterator<Item = (NodeId, SocketAddr)>,
) -> (Peer, Counter) {
    let (sender, inbox) = unbounded_channel();
    let receive = Arc::new(move |from, bytes| {
        let _ = sender.send((from, bytes));
    });
    let refused = config.refused.clone();
    let peers = peers.into_iter().collect();
    let mesh = Mesh::start(Config { peers, ..config }, listener, receive);
    (Peer { mesh, inbox }, refused)
}

/// A node with a folder of a cluster, which it may know.
fn member(node: NodeId, of: u64, knows: bool) -> Config {
    Config {
        node,
        folder: Some(folder(of, node)),
        cluster: knows.then(|| cluster(of)),
        ..Config::default()
    }
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let look = async {
        while !holds() {
            sleep(LOOK).await;
        }
    };
    assert!(timeout(PATIENCE, look).await.is_ok(), "in time: {what}");
}

/// Nodes 1 and 2 that dial each other; each has refused the other, or each hears it.
async fn meet(one: Config, two: Config) -> bool {
    let (la, a) = bind().await;
    let (lb, b) = bind().await;
    let (mut one, refused) = start_as(one, la, [(2, b)]);
    let (mut two, refused_too) = start_as(two, lb, [(1, a)]);
    let counts = || (refused.get() > 0, refused_too.get() > 0);
    until("they have met", || {
        let linked = one.mesh.said(2).is_some() && two.mesh.said(1).is_some();
        linked || counts() == (true, true)
    })
    .await;
    if counts() == (false, false) {
        until_delivered(&one.mesh, 2, &mut two.inbox).await;
        until_delivered(&two.mesh, 1, &mut one.inbox).await;
        return true;
    }
    one.mesh.send(2, Bytes::from_static(b"one"));
    two.mesh.send(1, Bytes::from_static(b"two"));
    sleep(QUIET).await;
    assert!(one.inbox.try_recv().is_err() && two.inbox.try_recv().is_err());
    assert!(one.mesh.said(2).is_none() && two.mesh.said(1).is_none());
    false
}

/// A stray of another cluster was heard at the address of a voter, and its vote counted.
#[tokio::test]
async fn a_node_of_another_cluster_is_refused_by_both() {
    assert!(meet(member(1, 7, true), member(2, 7, true)).await);
    assert!(!meet(member(1, 7, true), member(2, 8, true)).await);
}

#[tokio::test]
async fn who_does_not_know_its_cluster_yet_is_told_by_its_folder() {
    assert!(meet(member(1, 7, true), member(2, 7, false)).await);
    assert!(meet(member(1, 7, false), member(2, 7, false)).await);
    assert!(!meet(member(1, 7, true), member(2, 8, false)).await);
    assert!(!meet(member(1, 7, false), member(2, 8, true)).await);
}

#[tokio::test]
async fn a_newcomer_is_taken_by_whom_it_meets() {
    let (la, _) = bind().await;
    let (lb, b) = bind().await;
    let (mut one, refused) = start_as(member(1, 7, true), la, []);
    let (mut new, _) = start_as(member(5, 9, false), lb, []);
    one.mesh.dial(b);
    until_delivered(&one.mesh, 5, &mut new.inbox).await;
    until_delivered(&new.mesh, 1, &mut one.inbox).await;
    let said = new.mesh.said(1).and_then(|claim| claim.cluster);
    assert_eq!(said, Some(cluster(7)));
    assert_eq!(refused.get(), 0);
}

#[tokio::test]
async fn an_open_link_is_told_of_the_cluster_and_dropped_if_it_is_another() {
    let (la, _) = bind().await;
    let (lb, b) = bind().await;
    let (one, refused) = start_as(member(3, 7, false), la, [(4, b)]);
    let (mut two, _) = start_as(member(4, 7, false), lb, []);
    until_delivered(&one.mesh, 4, &mut two.inbox).await;
    assert!(one.mesh.join(cluster(7)));
    assert!(!one.mesh.join(cluster(9)), "the first stays");
    let learnt = || two.mesh.said(3).and_then(|claim| claim.cluster);
    until("the other was told", || learnt() == Some(cluster(7))).await;
    until_delivered(&one.mesh, 4, &mut two.inbox).await;

    assert!(two.mesh.join(cluster(8)));
    until("it is dropped", || refused.get() > 0).await;
    until("both dropped it", || {
        one.mesh.said(4).is_none() && two.mesh.said(3).is_none()
    })
    .await;
    while two.inbox.try_recv().is_ok() {}
    one.mesh.send(4, Bytes::from_static(b"late"));
    sleep(QUIET).await;
    assert!(two.inbox.try_recv().is_err());
}

fn encode(value: &impl Serialize) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    Message::binary(bytes)
}

/// Says hello and one thing more, whatever the other end says.
async fn speak(socket: &mut WebSocketStream<TcpStream>, hello: &impl Serialize) {
    socket.send(encode(hello)).await.unwrap();
    // The other end may have gone.
    let _ = socket.send(Message::binary(b"more".to_vec())).await;
}

fn stranger() -> Hello {
    Hello {
        protocol: egretpin::adapters::mesh::PROTOCOL,
        node: 2,
        folder: Some(folder(8, 2)),
        cluster: Some(cluster(8)),
    }
}

/// A peer that doesn't check anything itself.
#[tokio::test]
async fn a_stranger_that_goes_on_speaking_is_not_heard() {
    // It dials.
    let (la, a) = bind().await;
    let (mut one, refused) = start_as(member(1, 7, true), la, []);
    let stream = TcpStream::connect(a).await.unwrap();
    let (mut socket, _) = client_async(format!("ws://{a}/mesh"), stream)
        .await
        .unwrap();
    speak(&mut socket, &stranger()).await;
    until("it is refused", || refused.get() == 1).await;
    // It is dialled.
    let (lb, b) = bind().await;
    one.mesh.dial(b);
    let (stream, _) = lb.accept().await.unwrap();
    let mut socket = accept_async(stream).await.unwrap();
    speak(&mut socket, &stranger()).await;
    until("it is refused again", || refused.get() >= 2).await;
    sleep(QUIET).await;
    assert!(one.inbox.try_recv().is_err());
    assert!(one.mesh.peers().is_empty());
}

#[tokio::test]
async fn a_node_of_an_earlier_release_is_linked_with() {
    let earlier = |node| Earlier {
        protocol: egretpin::adapters::mesh::PROTOCOL,
        node,
    };
    let (la, a) = bind().await;
    let (mut one, refused) = start_as(member(1, 7, true), la, []);
    // It dials; then it is dialled.
    let stream = TcpStream::connect(a).await.unwrap();
    let (mut dialled, _) = client_async(format!("ws://{a}/mesh"), stream)
        .await
        .unwrap();
    let (lb, b) = bind().await;
    one.mesh.dial(b);
    let (stream, _) = lb.accept().await.unwrap();
    let mut accepted = accept_async(stream).await.unwrap();
    for (node, socket) in [(5, &mut dialled), (6, &mut accepted)] {
        speak(socket, &earlier(node)).await;
        let said = timeout(PATIENCE, socket.next()).await.unwrap();
        let said = said.unwrap().unwrap().into_data();
        let read: Earlier = ciborium::from_reader(said.as_ref()).unwrap();
        assert_eq!(read, earlier(1));
        let heard = timeout(PATIENCE, one.inbox.recv()).await.unwrap();
        assert_eq!(heard, Some((node, Bytes::from_static(b"more"))));
        assert!(one.mesh.said(node).unwrap().folder.is_none());
    }
    assert_eq!(refused.get(), 0);
}
