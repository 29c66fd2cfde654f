//! Peers and nodes that are slow or held up, and well.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener as StdListener, TcpStream as StdStream},
    sync::mpsc::{Receiver, Sender, channel},
    thread,
};

use bytes::Bytes;
use egretpin::{adapters::mesh::PROTOCOL, core::types::NodeId};
use serde::Serialize;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc::unbounded_channel,
    time::{Duration, Instant, interval, sleep, sleep_until, timeout},
};
use tokio_tungstenite::tungstenite::{Message, WebSocket, accept};

use crate::{PATIENCE, Peer, bind, proxy::Proxy, start, until_delivered};

/// A chunk of a snapshot.
const CHUNK: usize = 64 << 10;
/// What the smallest entry hosts take in a second: 2 Mbit.
const SLOW: usize = 250_000;
/// How long a way takes that carries much, and what is sent over it: with answers after 0.1 s and
/// 128 KiB on the way it would take 12 s.
const DELAY: Duration = Duration::from_millis(50);
const MUCH: usize = 16 << 20;
/// How long a link may take for that.
const MUCH_TIME: Duration = Duration::from_secs(6);
/// How long a link is kept full.
const FULL: Duration = Duration::from_secs(4);
/// The pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(1);
/// Longer than a link may show nothing of its peer.
const HELD: Duration = Duration::from_millis(1100);
/// Until a peer that doesn't read is noticed, and the time of a late timer.
const UNREAD: Duration = Duration::from_millis(2500);

#[derive(Serialize)]
struct Hello {
    protocol: u32,
    node: NodeId,
}

/// A peer whose every message is written by the test, on a thread of its own.
struct Puppet {
    socket: WebSocket<StdStream>,
}

impl Puppet {
    /// Takes the next connection, and introduces itself.
    fn accept(listener: &StdListener) -> Self {
        let (stream, _) = listener.accept().unwrap();
        let mut socket = accept(stream).unwrap();
        assert!(socket.read().unwrap().is_binary());
        let (protocol, node) = (PROTOCOL, 2);
        let mut hello = Vec::new();
        ciborium::into_writer(&Hello { protocol, node }, &mut hello).unwrap();
        socket.send(Message::binary(hello)).unwrap();
        Self { socket }
    }

    /// Reads up to the next ping, and doesn't answer it yet.
    fn pinged(&mut self) {
        while !self.socket.read().unwrap().is_ping() {}
    }

    /// Sends messages, and answers no ping before them: the library would after the first.
    fn sends_ahead(&mut self, messages: usize) {
        let frame = [&[0x82, 126, 0x0f, 0xa0][..], &[0; 4000]].concat();
        let frames = frame.repeat(messages);
        self.socket.get_mut().write_all(&frames).unwrap();
    }
}

/// Node 1, on this thread, with a link to a puppet, and what the puppet says to the test.
async fn with_puppet<T: Send + 'static>(
    play: impl FnOnce(StdListener, Sender<T>) + Send + 'static,
) -> (Peer, Receiver<T>) {
    let listener = StdListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (said, heard) = channel();
    thread::spawn(move || play(listener, said));
    let (own, _) = bind().await;
    (start(1, own, [(2, address)]), heard)
}

async fn hears<T>(heard: &Receiver<T>) -> T {
    let said = async {
        loop {
            if let Ok(said) = heard.try_recv() {
                return said;
            }
            sleep(LOOK).await;
        }
    };
    timeout(PATIENCE, said).await.expect("the puppet speaks")
}

/// A turn that no other task of this node's thread gets through.
fn hold_up(time: Duration) {
    thread::sleep(time);
}

/// Guards against dropping a link whose answer waits behind what came before it.
#[tokio::test]
async fn an_answer_that_waits_is_read_before_its_peer_is_judged() {
    let (one, heard) = with_puppet(|listener, said| {
        let mut puppet = Puppet::accept(&listener);
        puppet.pinged();
        said.send("pinged").unwrap();
        // The node is held up by now.
        hold_up(Duration::from_millis(100));
        puppet.sends_ahead(400);
        puppet.socket.flush().expect("the link stays");
        puppet.pinged();
        said.send("pinged again").unwrap();
    })
    .await;
    assert_eq!(hears(&heard).await, "pinged");
    hold_up(HELD);
    assert_eq!(hears(&heard).await, "pinged again");
    assert_eq!(one.mesh.peers(), [2]);
}

/// Guards against reading on for ever before a peer is judged.
#[tokio::test]
async fn a_peer_that_sends_much_and_answers_nothing_is_noticed() {
    let (_one, heard) = with_puppet(|listener, said| {
        let mut puppet = Puppet::accept(&listener);
        puppet.pinged();
        said.send("pinged").unwrap();
        thread::spawn(move || {
            loop {
                puppet.sends_ahead(400);
            }
        });
        let _next = Puppet::accept(&listener);
        said.send("dialled again").unwrap();
    })
    .await;
    assert_eq!(hears(&heard).await, "pinged");
    let again = timeout(UNREAD, hears(&heard)).await;
    assert_eq!(again.expect("in time"), "dialled again");
}

/// Guards against counting a silence in which this node, held up, asked nothing.
#[tokio::test]
async fn a_node_that_was_held_up_asks_before_it_judges() {
    let (one, heard) = with_puppet(|listener, said| {
        let mut puppet = Puppet::accept(&listener);
        puppet.pinged();
        puppet.socket.flush().unwrap();
        said.send("answered").unwrap();
        puppet.pinged();
        puppet.socket.flush().unwrap();
        puppet.pinged();
        said.send("pinged again").unwrap();
    })
    .await;
    assert_eq!(hears(&heard).await, "answered");
    // The answer is read.
    sleep(Duration::from_millis(20)).await;
    hold_up(HELD);
    assert_eq!(hears(&heard).await, "pinged again");
    assert_eq!(one.mesh.peers(), [2]);
}

/// Carries what comes at [`SLOW`].
async fn slowly(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut buffer = vec![0; SLOW / 50];
    let mut tick = interval(Duration::from_millis(20));
    loop {
        tick.tick().await;
        match from.read(&mut buffer).await {
            Ok(read @ 1..) if to.write_all(&buffer[..read]).await.is_ok() => {}
            _ => return,
        }
    }
}

/// Carries what comes to a target and what comes back at [`SLOW`]; returns where, and counts the
/// connections.
async fn slow_way(target: SocketAddr) -> (SocketAddr, Receiver<()>) {
    let small = 16 << 10;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(small).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let address = listener.local_addr().unwrap();
    let (opened, count) = channel();
    tokio::spawn(async move {
        loop {
            let (near, _) = listener.accept().await.unwrap();
            if opened.send(()).is_err() {
                return;
            }
            let far = TcpStream::connect(target).await.unwrap();
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            tokio::spawn(slowly(near_in, far_out));
            tokio::spawn(slowly(far_in, near_out));
        }
    });
    (address, count)
}

/// Passes on what comes in, each piece after a delay.
async fn late(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let (pieces, mut waiting) = unbounded_channel();
    tokio::spawn(async move {
        while let Some((due, piece)) = waiting.recv().await {
            sleep_until(due).await;
            let piece: Vec<u8> = piece;
            if to.write_all(&piece).await.is_err() {
                return;
            }
        }
    });
    let mut buffer = vec![0; CHUNK];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let piece = buffer[..count].to_vec();
        if pieces.send((Instant::now() + DELAY, piece)).is_err() {
            return;
        }
    }
}

/// A way to a node that carries much, and takes [`DELAY`] for it.
async fn long_way(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (near, _) = listener.accept().await.unwrap();
        let far = TcpStream::connect(target).await.unwrap();
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        tokio::spawn(late(near_in, far_out));
        tokio::spawn(late(far_in, near_out));
    });
    address
}

/// Keeps the queue of the link to a node full.
async fn flood(peer: &Peer, to: NodeId) {
    let chunk = Bytes::from(vec![0; CHUNK]);
    loop {
        while peer.mesh.send(to, chunk.clone()) {}
        sleep(LOOK).await;
    }
}

/// Node 1, which dialled, and node 2, with a slow way between them, and its connections.
async fn slowly_linked() -> (Peer, Peer, Receiver<()>) {
    let (la, _) = bind().await;
    let (lb, b) = bind().await;
    let (address, opened) = slow_way(b).await;
    let mut one = start(1, la, [(2, address)]);
    let mut two = start(2, lb, []);
    until_delivered(&one.mesh, 2, &mut two.inbox).await;
    until_delivered(&two.mesh, 1, &mut one.inbox).await;
    (one, two, opened)
}

/// The link was kept, and carried at least half of what its way carries.
fn assert_kept(to: &mut Peer, opened: &Receiver<()>, span: Duration) {
    assert_eq!(opened.try_iter().count(), 1, "connections");
    let mut chunks = 0;
    while let Ok((_, message)) = to.inbox.try_recv() {
        chunks += usize::from(message.len() == CHUNK);
    }
    let least = SLOW * span.as_secs() as usize / CHUNK / 2;
    assert!(chunks >= least, "{chunks} chunks of at least {least}");
}

/// Guards against a window that is smaller than what a fast link with late answers carries.
#[tokio::test]
async fn late_answers_do_not_slow_a_link_that_carries_much() {
    let (la, _) = bind().await;
    let (lb, b) = bind().await;
    let address = long_way(b).await;
    let one = start(1, la, [(2, address)]);
    let mut two = start(2, lb, []);
    until_delivered(&one.mesh, 2, &mut two.inbox).await;
    let chunk = Bytes::from(vec![0; CHUNK]);
    let begun = Instant::now();
    for _ in 0..MUCH / CHUNK {
        assert!(one.mesh.send(2, chunk.clone()));
    }
    let mut left = MUCH / CHUNK;
    while left > 0 {
        let (_, message) = two.inbox.recv().await.unwrap();
        left -= usize::from(message.len() == CHUNK);
    }
    let took = begun.elapsed();
    assert!(took < MUCH_TIME, "{took:?}");
}

/// Guards against pings that wait behind all that is queued.
#[tokio::test]
async fn a_full_link_to_a_slow_peer_that_reads_stays() {
    let (one, mut two, opened) = slowly_linked().await;
    assert!(timeout(FULL, flood(&one, 2)).await.is_err());
    assert_kept(&mut two, &opened, FULL);
}

/// Guards against answers that wait behind all that is queued.
#[tokio::test]
async fn a_full_link_from_a_peer_that_dialled_stays() {
    let (mut one, two, opened) = slowly_linked().await;
    assert!(timeout(FULL, flood(&two, 1)).await.is_err());
    assert_kept(&mut one, &opened, FULL);
}

/// Guards against waiting for a peer that takes nothing more.
#[tokio::test]
async fn a_peer_that_does_not_read_is_noticed_on_a_full_link() {
    let (one, heard) = with_puppet(|listener, said| {
        let mut puppet = Puppet::accept(&listener);
        puppet.pinged();
        said.send("reads no more").unwrap();
        let _next = Puppet::accept(&listener);
        said.send("dialled again").unwrap();
    })
    .await;
    assert_eq!(hears(&heard).await, "reads no more");
    let begun = Instant::now();
    let again = async {
        tokio::select! {
            () = flood(&one, 2) => {}
            said = hears(&heard) => assert_eq!(said, "dialled again"),
        }
    };
    assert!(timeout(UNREAD, again).await.is_ok(), "in time");
    assert!(begun.elapsed() < UNREAD);
}

/// Guards against taking what a silent way swallows for read.
#[tokio::test]
async fn a_silence_is_noticed_on_a_full_link() {
    let (la, _) = bind().await;
    let (lb, b) = bind().await;
    let proxy = Proxy::start(b).await;
    let one = start(1, la, [(2, proxy.address)]);
    let mut two = start(2, lb, []);
    until_delivered(&one.mesh, 2, &mut two.inbox).await;
    let _ = timeout(Duration::from_millis(200), flood(&one, 2)).await;
    proxy.silence();
    let again = async {
        while proxy.opened() == 1 {
            sleep(LOOK).await;
        }
    };
    let noticed = async {
        tokio::select! {
            () = flood(&one, 2) => {}
            () = again => {}
        }
    };
    assert!(timeout(UNREAD, noticed).await.is_ok(), "in time");
}
