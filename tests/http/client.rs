//! The client that keeps its connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicI64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use egretpin::adapters::http::{self, Client, Failure, Limits, text};
use hyper::{Request, StatusCode};
use tokio::{
    net::TcpListener,
    sync::{Barrier, watch},
    time::{Instant, sleep},
};

use crate::proxy::Proxy;

/// Connections that the client may keep, and requests that are answered together.
const CONNECTIONS: usize = 3;
/// How long an exchange may take that works.
const LONG: Duration = Duration::from_secs(10);
/// How long one may take that won't work.
const SHORT: Duration = Duration::from_millis(100);

/// A server that answers `/together` when so many wait for it, and all else at once.
async fn serve(stop: watch::Receiver<bool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let together = Arc::new(Barrier::new(CONNECTIONS));
    let handler = move |request: Request<Bytes>| {
        let together = Arc::clone(&together);
        async move {
            if request.uri().path() == "/together" {
                together.wait().await;
            }
            Ok(text(StatusCode::OK, "done"))
        }
    };
    tokio::spawn(http::serve(
        listener,
        Limits::default,
        stop,
        |_| (),
        handler,
    ));
    address
}

fn get(path: &str) -> Request<Bytes> {
    Request::get(path).body(Bytes::new()).unwrap()
}

/// Opens all connections that the client may keep.
async fn open_all(client: &Client, address: SocketAddr) {
    let (a, b, c) = tokio::join!(
        client.send(address, get("/together"), LONG),
        client.send(address, get("/together"), LONG),
        client.send(address, get("/together"), LONG),
    );
    assert!(a.is_ok() && b.is_ok() && c.is_ok());
}

#[tokio::test]
async fn one_timeout_is_enough_to_leave_all_silent_connections() {
    let (_stop, stopped) = watch::channel(false);
    let proxy = Proxy::start(serve(stopped).await).await;
    let client = Client::new(CONNECTIONS);
    open_all(&client, proxy.address).await;
    assert_eq!(proxy.opened(), 3);
    proxy.silence();
    let late = client.send(proxy.address, get("/"), SHORT).await;
    assert!(matches!(late, Err(Failure::Late)));
    let answer = client.send(proxy.address, get("/"), LONG).await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(proxy.opened(), 4);
}

/// A server that answers each request after `time`.
async fn serve_slowly(time: Duration, stop: watch::Receiver<bool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = move |_| async move {
        sleep(time).await;
        Ok(text(StatusCode::OK, "done"))
    };
    tokio::spawn(http::serve(
        listener,
        Limits::default,
        stop,
        |_| (),
        handler,
    ));
    address
}

/// The wait for a connection counted against the server, and closed the connections that were well.
#[tokio::test]
async fn a_wait_for_a_connection_is_not_part_of_the_time_for_the_answer() {
    let (_stop, stopped) = watch::channel(false);
    let address = serve_slowly(SHORT.mul_f64(0.7), stopped).await;
    let client = Client::new(1);
    let (first, second) = tokio::join!(
        client.send(address, get("/"), SHORT),
        client.send(address, get("/"), SHORT),
    );
    assert_eq!(first.unwrap().status(), StatusCode::OK);
    assert_eq!(second.unwrap().status(), StatusCode::OK);
}

/// What never left was taken for a request that the server may have carried out.
#[tokio::test]
async fn a_request_without_a_connection_is_unsent_and_leaves_the_others_alone() {
    let (_stop, stopped) = watch::channel(false);
    let proxy = Proxy::start(serve_slowly(SHORT * 3, stopped).await).await;
    let client = Client::new(1);
    let first = client.send(proxy.address, get("/"), LONG);
    let second = async {
        let early = client.send(proxy.address, get("/"), SHORT).await;
        assert!(matches!(early, Err(Failure::Unsent)));
    };
    let (first, ()) = tokio::join!(first, second);
    assert_eq!(first.unwrap().status(), StatusCode::OK);
    let third = client.send(proxy.address, get("/"), LONG).await.unwrap();
    assert_eq!(third.status(), StatusCode::OK);
    assert_eq!(proxy.opened(), 1);
}

/// One waits for others until it is late. Another is answered meanwhile, and then both go silent.
#[tokio::test]
async fn what_answered_before_the_silence_is_left_too() {
    let (_stop, stopped) = watch::channel(false);
    let proxy = Proxy::start(serve(stopped).await).await;
    let client = Client::new(CONNECTIONS);
    let waiting = client.send(proxy.address, get("/together"), SHORT);
    let silenced = async {
        client.send(proxy.address, get("/"), LONG).await.unwrap();
        proxy.silence();
    };
    let (late, ()) = tokio::join!(waiting, silenced);
    assert!(matches!(late, Err(Failure::Late)));
    let answer = client.send(proxy.address, get("/"), LONG).await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
}

/// Connections to each address that was ever used stayed open, until a process had no descriptors left.
#[tokio::test]
async fn connections_to_many_addresses_stay_within_their_bound() {
    const ALL: i64 = 4;
    const ADDRESSES: usize = 12;
    let (_stop, stopped) = watch::channel(false);
    let open = Arc::new(AtomicI64::new(0));
    let mut addresses = Vec::new();
    for _ in 0..ADDRESSES {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        let open = Arc::clone(&open);
        let count = move |change| {
            open.fetch_add(change, Ordering::SeqCst);
        };
        let handler = async |_| Ok(text(StatusCode::OK, "done"));
        tokio::spawn(http::serve(
            listener,
            Limits::default,
            stopped.clone(),
            count,
            move |request| Box::pin(handler(request)),
        ));
    }
    let client = Client::bounded(CONNECTIONS, usize::try_from(ALL).unwrap());
    // The server hears of an end a little later.
    let settled = async || {
        let end = Instant::now() + LONG;
        while open.load(Ordering::SeqCst) > ALL {
            assert!(Instant::now() < end, "{ALL} are open at most");
            tokio::task::yield_now().await;
        }
    };
    for _ in 0..2 {
        for address in &addresses {
            let answer = client.send(*address, get("/"), LONG).await.unwrap();
            assert_eq!(answer.status(), StatusCode::OK);
            settled().await;
        }
    }
    // And all at once.
    let sends = addresses
        .iter()
        .map(|address| client.send(*address, get("/"), LONG));
    for answer in futures_util::future::join_all(sends).await {
        assert_eq!(answer.unwrap().status(), StatusCode::OK);
    }
    settled().await;
}
