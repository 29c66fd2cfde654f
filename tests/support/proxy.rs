//! A loopback proxy whose open connections can go silent: they carry nothing any more and aren't
//! closed, while new ones work.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{oneshot, watch},
    task::JoinSet,
};

/// Which way a connection's bytes go.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Way {
    /// From who dialled to who was dialled.
    There,
    /// From who was dialled to who dialled.
    Back,
}

#[derive(Default)]
struct State {
    opened: AtomicU64,
    /// Bytes that went either way.
    carried: AtomicU64,
    /// Connections with a lower number carry nothing there, and nothing back.
    silent: [AtomicU64; 2],
}

/// A proxy; its connections end with it.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    state: Arc<State>,
    refuse: watch::Sender<bool>,
    _stop: oneshot::Sender<()>,
}

impl Proxy {
    /// Listens for connections to a target.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State::default());
        let (refuse, refused) = watch::channel(false);
        let (stop, stopped) = oneshot::channel();
        let relays = relay_all(listener, target, Arc::clone(&state), refused);
        tokio::spawn(async move {
            tokio::select! {
                () = relays => {}
                _ = stopped => {}
            }
        });
        Self {
            address,
            state,
            refuse,
            _stop: stop,
        }
    }

    /// Open connections carry nothing from here on, either way.
    pub(crate) fn silence(&self) {
        self.silence_one(Way::There);
        self.silence_one(Way::Back);
    }

    /// Open connections carry nothing one way from here on.
    #[allow(dead_code, reason = "not every test takes it")]
    pub(crate) fn silence_one(&self, way: Way) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.silent[way as usize].store(opened, Ordering::SeqCst);
    }

    /// New connections are closed at once from here on.
    #[allow(dead_code, reason = "not every test takes it")]
    pub(crate) fn refuse(&self) {
        self.refuse.send_replace(true);
    }

    /// Connections that were opened so far.
    #[allow(dead_code, reason = "not every test takes it")]
    pub(crate) fn opened(&self) -> u64 {
        self.state.opened.load(Ordering::SeqCst)
    }

    /// Bytes that went either way so far.
    #[allow(dead_code, reason = "not every test takes it")]
    pub(crate) fn carried(&self) -> u64 {
        self.state.carried.load(Ordering::SeqCst)
    }
}

async fn relay_all(
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<State>,
    refused: watch::Receiver<bool>,
) {
    let mut relays = JoinSet::new();
    loop {
        let (near, _) = listener.accept().await.unwrap();
        if *refused.borrow() {
            continue;
        }
        let number = state.opened.fetch_add(1, Ordering::SeqCst);
        let state = Arc::clone(&state);
        relays.spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            tokio::join!(
                relay(near_in, far_out, &state, Way::There, number),
                relay(far_in, near_out, &state, Way::Back, number),
            );
        });
    }
}

/// Hands on what comes in, its end included, until the connection goes silent; from then on both
/// ends see an open connection on which nothing comes.
async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: &State,
    way: Way,
    number: u64,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await;
        if number < state.silent[way as usize].load(Ordering::SeqCst) {
            match read {
                Ok(1..) => continue,
                _ => std::future::pending().await,
            }
        }
        match read {
            Ok(count @ 1..) if to.write_all(&buffer[..count]).await.is_ok() => {
                state.carried.fetch_add(count as u64, Ordering::SeqCst);
            }
            _ => return,
        }
    }
}
