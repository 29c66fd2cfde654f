//! A TCP proxy that forwards bytes, and resets its connections when told to.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

/// One forwarded connection.
struct Pair {
    client: TcpStream,
    server: TcpStream,
    /// Set once it carries nothing any more.
    dead: Arc<AtomicBool>,
}

#[derive(Clone, Default)]
pub struct Proxy {
    pairs: Arc<Mutex<Vec<Pair>>>,
}

impl Proxy {
    /// Forwards connections from one address to another, until the process ends.
    pub fn start(from: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(from)?;
        let proxy = Self::default();
        let pairs = Arc::clone(&proxy.pairs);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let dead = Arc::new(AtomicBool::new(false));
                pump(&client, &server, &dead);
                pump(&server, &client, &dead);
                let pair = Pair {
                    client,
                    server,
                    dead,
                };
                pairs.lock().expect("no panic").push(pair);
            }
        });
        Ok(proxy)
    }

    /// Resets the open connections; new ones work. Returns how many there were.
    pub fn reset(&self) -> usize {
        let pairs = std::mem::take(&mut *self.pairs.lock().expect("no panic"));
        let open = pairs
            .iter()
            .filter(|pair| !pair.dead.load(Ordering::SeqCst));
        let count = open.count();
        for pair in pairs {
            pair.dead.store(true, Ordering::SeqCst);
            for socket in [&pair.client, &pair.server] {
                let linger = Linger { on: 1, seconds: 0 };
                // SAFETY: the socket is open, and the value is a struct linger of its size.
                unsafe {
                    setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8);
                }
                let _ = socket.shutdown(Shutdown::Read);
            }
        }
        count
    }
}

/// Copies bytes one way, until the connection ends or is to carry nothing any more.
fn pump(from: &TcpStream, to: &TcpStream, dead: &Arc<AtomicBool>) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let dead = Arc::clone(dead);
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            if dead.load(Ordering::SeqCst) {
                if read == 0 {
                    return;
                }
                continue;
            }
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                dead.store(true, Ordering::SeqCst);
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    });
}
