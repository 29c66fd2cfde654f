//! Who gets room of a budget, and who makes it.

use std::time::Duration;

use bytes::Bytes;
use egretpin::adapters::{
    budget::{Account, Budget},
    http::{self, Limits, Listening, text},
};
use hyper::{Request, StatusCode};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{advance, timeout},
};

use crate::support::{Raw, soon};

/// Longer than any request is spared for its youth.
const OLD: Duration = Duration::from_secs(1);

async fn is_closing(account: &Account) -> bool {
    timeout(Duration::ZERO, account.closing()).await.is_ok()
}

/// A crowd that held all the room kept it until its time limit.
#[tokio::test(start_paused = true)]
async fn a_stalled_request_makes_room_for_a_new_one() {
    let budget = Budget::new(64 << 10, 8);
    let (stalled, new) = (budget.open().await, budget.open().await);
    stalled.begin();
    let held = stalled.reserve(50 << 10).await.unwrap();
    advance(OLD).await;
    new.begin();
    let room = tokio::spawn(async move { new.reserve(40 << 10).await.is_ok() });
    soon(stalled.closing()).await;
    assert!(!room.is_finished(), "the room isn't free yet");
    drop(held);
    assert!(soon(room).await.unwrap());
    assert_eq!(budget.counts().closed, 1);
}

/// Work that is nearly as large and as new isn't thrown away for other work.
#[tokio::test(start_paused = true)]
async fn a_request_that_would_hold_most_is_refused_at_once() {
    let budget = Budget::new(64 << 10, 8);
    let (first, second) = (budget.open().await, budget.open().await);
    let _held = first.reserve(30 << 10).await.unwrap();
    assert!(second.reserve(40 << 10).await.is_err());
    assert!(!is_closing(&first).await);
    assert_eq!(budget.counts().refused, 1);
}

/// A request that is whole and being served was closed for another one.
#[tokio::test(start_paused = true)]
async fn a_request_that_is_being_served_makes_no_room() {
    let budget = Budget::new(64 << 10, 8);
    let (served, other) = (budget.open().await, budget.open().await);
    let _held = served.reserve(50 << 10).await.unwrap();
    served.serve().unwrap();
    advance(OLD).await;
    assert!(other.reserve(40 << 10).await.is_err());
    assert!(!is_closing(&served).await);
    // Its answer isn't read: then it makes room like any other.
    served.served();
    advance(OLD).await;
    other.begin();
    let room = tokio::spawn(async move { other.reserve(40 << 10).await.is_ok() });
    soon(served.closing()).await;
    drop((served, _held));
    assert!(soon(room).await.unwrap());
}

/// Large requests that are being served left no room for a small one.
#[tokio::test(start_paused = true)]
async fn small_requests_have_room_of_their_own() {
    let budget = Budget::new(64 << 10, 8);
    let (large, small) = (budget.open().await, budget.open().await);
    let _held = large.reserve(56 << 10).await.unwrap();
    large.serve().unwrap();
    assert!(large.reserve(4 << 10).await.is_err());
    assert!(small.reserve(4 << 10).await.is_ok());
}

/// At the bound on connections nobody was accepted, until some time limit was over.
#[tokio::test(start_paused = true)]
async fn an_idle_connection_makes_place_for_a_new_one() {
    let budget = Budget::new(0, 2);
    let idle = budget.open().await;
    advance(OLD).await;
    let recent = budget.open().await;
    let opened = {
        let budget = budget.clone();
        tokio::spawn(async move { budget.open().await })
    };
    soon(idle.closing()).await;
    assert!(!is_closing(&recent).await);
    drop(idle);
    soon(opened).await.unwrap();
}

/// One request at the limits of the configuration in force has to fit, also if these were raised.
#[tokio::test(start_paused = true)]
async fn the_largest_request_fits_after_the_limits_were_raised() {
    let budget = Budget::new(4096, 2);
    let account = budget.open().await;
    assert!(account.reserve(1 << 20).await.is_err());
    budget.fit(1 << 20);
    assert!(account.reserve(1 << 20).await.is_ok());
}

/// Room that a body had outlives its connection, as long as the body does.
#[tokio::test(start_paused = true)]
async fn a_body_keeps_its_room_for_as_long_as_it_lives() {
    let budget = Budget::new(64 << 10, 8);
    let account = budget.open().await;
    let share = account.reserve(1000).await.unwrap();
    let body = share.hold(Bytes::from(vec![0; 1000]));
    drop(account);
    assert_eq!(budget.used(), (1000, 0));
    drop(body);
    assert_eq!(budget.used(), (0, 0));
}

/// A server with this budget that answers each request with the length of its body.
async fn server(budget: &Budget, limits: Limits) -> (std::net::SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let listening = Listening::new(budget.clone(), move || limits);
    let handler = |request: Request<Bytes>| async move {
        Ok(text(StatusCode::OK, &request.body().len().to_string()))
    };
    tokio::spawn(http::serve_within(listener, listening, stopped, handler));
    (address, stop)
}

/// Two listeners of one process had a budget each.
#[tokio::test]
async fn listeners_share_a_budget_and_give_everything_back() {
    let budget = Budget::new(8 << 10, 8);
    let (one, _one) = server(&budget, Limits::default()).await;
    let (other, _other) = server(&budget, Limits::default()).await;
    let mut unfinished = Raw::connect(one).await;
    unfinished
        .write(&format!(
            "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3001\r\n\r\n{}",
            "x".repeat(3000)
        ))
        .await;
    soon(async {
        while budget.used().0 == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    let mut refused = Raw::connect(other).await;
    refused.post("/", &[], &"x".repeat(5000)).await;
    let seen = refused.response().await.unwrap();
    assert_eq!((seen.status, seen.header("retry-after")), (503, Some("1")));
    assert_eq!(seen.header("connection"), Some("close"));
    unfinished.write("x").await;
    assert_eq!(unfinished.response().await.unwrap().body, "3001\n");
    drop((unfinished, refused));
    soon(async {
        while budget.used() != (0, 0) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
}

/// A head that takes its time in one-byte pieces was charged for a whole buffer with each of them.
#[tokio::test]
async fn a_long_head_in_small_pieces_is_served() {
    let budget = Budget::new(128 << 10, 8);
    let (address, _stop) = server(&budget, Limits::default()).await;
    let mut caller = Raw::connect(address).await;
    caller.stream.set_nodelay(true).unwrap();
    let head = format!(
        "GET / HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n",
        "x".repeat(20_000)
    );
    for piece in head.as_bytes().chunks(100) {
        caller.write(std::str::from_utf8(piece).unwrap()).await;
    }
    assert_eq!(caller.response().await.unwrap().status, 200);
    assert_eq!(budget.counts().refused, 0);
}

/// A connection whose answers nobody reads must not hold its place when another one needs it.
#[tokio::test]
async fn a_connection_that_is_told_to_close_does_not_wait_for_its_reader() {
    let budget = Budget::new(1 << 20, 1);
    let limits = Limits {
        write: Duration::from_secs(600),
        ..Limits::default()
    };
    let (address, _stop) = server(&budget, limits).await;
    let mut deaf = Raw::connect(address).await;
    // Replies that nobody reads fill the sockets, until no more requests are taken in.
    let many = "GET / HTTP/1.1\r\nhost: x\r\n\r\n".repeat(1000);
    let fill = async {
        loop {
            deaf.write(&many).await;
        }
    };
    assert!(timeout(Duration::from_secs(2), fill).await.is_err());
    let mut next = Raw::connect(address).await;
    assert_eq!(next.get("/").await.status, 200);
}
