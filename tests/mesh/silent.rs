//! Connections that go silent for good, without a reset.

use bytes::Bytes;
use egretpin::{adapters::mesh::Mesh, core::types::NodeId};
use tokio::time::{Duration, Instant, interval, timeout};

use crate::{
    PATIENCE, Peer, bind,
    proxy::{Proxy, Way},
    start, until_delivered,
};

/// Within which messages get through again: a second until the mesh notices, and the time of a
/// dial and of a late timer.
const SETTLED: Duration = Duration::from_millis(1500);

/// Bytes of a ping, which is masked, and of its answer.
const EXCHANGE: u64 = 6 + 2;
/// The pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(10);

/// Sends a message again and again until it gets through; how long that took.
async fn gets_through(
    from: &Mesh,
    to: NodeId,
    peer: &mut Peer,
    message: &'static [u8],
) -> Duration {
    let begun = Instant::now();
    let mut tick = interval(Duration::from_millis(10));
    let arrived = async {
        loop {
            tokio::select! {
                _ = tick.tick() => { from.send(to, Bytes::from_static(message)); }
                Some((_, got)) = peer.inbox.recv() => if got == message { return },
            }
        }
    };
    let arrived = timeout(SETTLED.saturating_sub(begun.elapsed()), arrived).await;
    assert!(arrived.is_ok(), "node {to} gets {message:?} in time");
    begun.elapsed()
}

/// A node that dials another through a proxy, and isn't dialled by it.
async fn one_way_dialled() -> (Peer, Peer, Proxy) {
    let (la, _) = bind().await;
    let (lb, b) = bind().await;
    let proxy = Proxy::start(b).await;
    let mut one = start(1, la, [(2, proxy.address)]);
    let mut two = start(2, lb, []);
    until_delivered(&one.mesh, 2, &mut two.inbox).await;
    until_delivered(&two.mesh, 1, &mut one.inbox).await;
    (one, two, proxy)
}

#[tokio::test]
async fn who_dialled_gets_through_again_after_a_silence() {
    let (one, mut two, proxy) = one_way_dialled().await;
    proxy.silence();
    gets_through(&one.mesh, 2, &mut two, b"after").await;
}

#[tokio::test]
async fn who_was_dialled_gets_through_again_after_a_silence() {
    let (mut one, two, proxy) = one_way_dialled().await;
    proxy.silence();
    gets_through(&two.mesh, 1, &mut one, b"after").await;
}

/// The other way works on, so hearing the peer shows nothing of whether it hears.
#[tokio::test]
async fn a_silence_of_one_way_is_noticed_by_who_dialled() {
    let (one, mut two, proxy) = one_way_dialled().await;
    proxy.silence_one(Way::There);
    gets_through(&one.mesh, 2, &mut two, b"after").await;
}

#[tokio::test]
async fn a_silence_of_the_way_back_is_noticed_by_who_dialled() {
    let (mut one, two, proxy) = one_way_dialled().await;
    proxy.silence_one(Way::Back);
    gets_through(&two.mesh, 1, &mut one, b"after").await;
}

/// Whoever is sent to all the time is heard from, if at all, by answers to pings alone.
#[tokio::test]
async fn a_busy_way_there_is_noticed_while_the_way_back_is_busy_too() {
    let (mut one, mut two, proxy) = one_way_dialled().await;
    proxy.silence_one(Way::There);
    let mut tick = interval(Duration::from_millis(10));
    let both = async {
        loop {
            tokio::select! {
                _ = tick.tick() => {
                    one.mesh.send(2, Bytes::from_static(b"there"));
                    two.mesh.send(1, Bytes::from_static(b"back"));
                }
                Some((_, got)) = two.inbox.recv() => if got == b"there"[..] { return },
                Some(_) = one.inbox.recv() => {}
            }
        }
    };
    assert!(timeout(SETTLED, both).await.is_ok(), "in time");
}

#[tokio::test]
async fn the_connection_that_the_peer_dialled_takes_over() {
    let (la, a) = bind().await;
    let (lb, b) = bind().await;
    let proxy = Proxy::start(b).await;
    let mut one = start(1, la, [(2, proxy.address)]);
    let mut two = start(2, lb, [(1, a)]);
    until_delivered(&one.mesh, 2, &mut two.inbox).await;
    until_delivered(&two.mesh, 1, &mut one.inbox).await;
    proxy.refuse();
    proxy.silence();
    gets_through(&one.mesh, 2, &mut two, b"after").await;
    gets_through(&two.mesh, 1, &mut one, b"back").await;
}

/// Nobody is taken for silent who has nothing to say, and little is said to show that.
#[tokio::test]
async fn a_quiet_connection_stays_and_costs_little() {
    let (one, two, proxy) = one_way_dialled().await;
    let (begun, before) = (Instant::now(), proxy.carried());
    let exchanges = async {
        while proxy.carried() < before + 10 * EXCHANGE {
            tokio::time::sleep(LOOK).await;
        }
    };
    timeout(PATIENCE, exchanges).await.expect("pings go on");
    let span = begun.elapsed();
    assert!(
        span > Duration::from_secs(3),
        "at most 27 bytes a second: {span:?}"
    );
    assert_eq!(proxy.opened(), 1);
    assert_eq!(one.mesh.peers(), [2]);
    assert_eq!(two.mesh.peers(), [1]);
}
