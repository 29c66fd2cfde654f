//! A crowd of clients that send what they are told, keep their connections open, and come again when
//! these are closed.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

/// The pause of a client whose connection was closed, before it comes again.
const RETURN_DELAY: Duration = Duration::from_millis(100);
/// The pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a process gets to read what a crowd has sent. What is checked afterwards doesn't depend on
/// whether it has.
const READ_LIMIT: Duration = Duration::from_secs(20);

/// What each client of a crowd writes to its connection.
#[derive(Clone)]
pub(crate) struct Sending {
    /// What is sent and answered before the rest, if it isn't empty.
    greeting: Bytes,
    /// All other bytes that are sent. They end before the request does, unless it is a whole one.
    wire: Bytes,
    /// How many of them are written at a time.
    piece: usize,
}

impl Sending {
    /// Nothing: the clients only connect.
    pub(crate) fn nothing() -> Self {
        Self::new(Vec::new())
    }

    /// These bytes as they are, written at once.
    pub(crate) fn new(wire: impl Into<Bytes>) -> Self {
        let wire = wire.into();
        Self {
            greeting: Bytes::new(),
            piece: wire.len().max(1),
            wire,
        }
    }

    /// The head of a request and a body of a stated length, of which the last bytes are kept back.
    pub(crate) fn unfinished(start: &str, length: usize, kept: usize) -> Self {
        let head = format!("{start}content-length: {length}\r\n\r\n");
        Self::new([head.into_bytes(), vec![b' '; length - kept]].concat())
    }

    /// The head of a request and a body in chunks, without its end.
    pub(crate) fn chunked(start: &str, chunk: usize, chunks: usize) -> Self {
        let head = format!("{start}transfer-encoding: chunked\r\n\r\n");
        let one = format!("{chunk:x}\r\n{}\r\n", " ".repeat(chunk));
        Self::new(head + &one.repeat(chunks))
    }

    /// A whole request.
    pub(crate) fn whole(start: &str, body: &str) -> Self {
        let length = body.len();
        Self::new(format!("{start}content-length: {length}\r\n\r\n{body}"))
    }

    /// The same after this, which has to be answered first.
    pub(crate) fn after(mut self, greeting: &str) -> Self {
        self.greeting = Bytes::copy_from_slice(greeting.as_bytes());
        self
    }

    /// The same, written in pieces of so many bytes.
    pub(crate) fn in_pieces(mut self, piece: usize) -> Self {
        self.piece = piece;
        self
    }
}

/// Clients that stay until this is dropped.
pub(crate) struct Crowd {
    _clients: JoinSet<()>,
    /// How many have sent all that they send, or were refused, at least once.
    arrived: Arc<AtomicUsize>,
    size: usize,
    to: SocketAddr,
}

impl Crowd {
    /// Sends a crowd of this size.
    pub(crate) fn send(size: usize, to: SocketAddr, sending: &Sending) -> Self {
        let arrived = Arc::new(AtomicUsize::new(0));
        let mut clients = JoinSet::new();
        for _ in 0..size {
            let (sending, arrived) = (sending.clone(), Arc::clone(&arrived));
            clients.spawn(stay(to, sending, arrived));
        }
        Self {
            _clients: clients,
            arrived,
            size,
            to,
        }
    }

    /// Waits until each client has sent all that it sends, or was refused, and until the process has
    /// read it.
    pub(crate) async fn stands(&self) {
        let stands = async {
            while self.arrived.load(Ordering::Relaxed) < self.size || has_unread(self.to) {
                sleep(POLL_INTERVAL).await;
            }
        };
        // A process may leave something unread, and clients that were refused come again.
        let _ = timeout(READ_LIMIT, stands).await;
    }
}

/// Whether anything that was sent to a listener's connections waits to be read.
fn has_unread(listener: SocketAddr) -> bool {
    let IpAddr::V4(ip) = listener.ip() else {
        return false;
    };
    // The kernel prints the address as a number of the machine's byte order.
    let ip = u32::from_ne_bytes(ip.octets());
    let local = format!("{ip:08X}:{:04X}", listener.port());
    let sockets = fs::read_to_string("/proc/net/tcp").unwrap();
    let mut queues = sockets.lines().filter_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        // An established connection, whose queues are of what is sent and what is received.
        let ours = fields.get(1) == Some(&local.as_str()) && fields.get(3) == Some(&"01");
        ours.then(|| fields[4].split(':').nth(1) != Some("00000000"))
    });
    queues.any(|waits| waits)
}

async fn stay(to: SocketAddr, sending: Sending, arrived: Arc<AtomicUsize>) {
    let mut first = true;
    loop {
        if let Ok(mut stream) = TcpStream::connect(to).await {
            // A refusal may come, or the connection may end, at any point.
            let _ = write(&mut stream, &sending).await;
            if std::mem::take(&mut first) {
                arrived.fetch_add(1, Ordering::Relaxed);
            }
            let mut sink = [0; 1024];
            while stream.read(&mut sink).await.is_ok_and(|n| n > 0) {}
        }
        sleep(RETURN_DELAY).await;
    }
}

async fn write(stream: &mut TcpStream, sending: &Sending) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    if !sending.greeting.is_empty() {
        stream.write_all(&sending.greeting).await?;
        let answered = stream.read(&mut [0; 1024]).await?;
        if answered == 0 {
            return Ok(());
        }
    }
    for piece in sending.wire.chunks(sending.piece) {
        stream.write_all(piece).await?;
    }
    Ok(())
}
