//! Claims on loopback networks, so that no two worlds of tests share one.

use std::{
    net::{Ipv4Addr, UdpSocket},
    process,
    sync::atomic::{AtomicUsize, Ordering},
};

/// Networks that worlds may take: 127.1.0.0/24 to 127.250.255.0/24..
const NETWORKS: usize = 250 * 256;
/// Processes begin so many networks apart, so that they seldom try what another one has.
const APART: usize = 64;
/// The host of a network at which its holder's socket is, beyond those that worlds use.
const HOLDER: u8 = 254;
/// The port of that socket.
const PORT: u16 = 8699;

/// How many networks this process has tried. None is tried twice, as something may still be sent to a world
/// that is over.
static TRIED: AtomicUsize = AtomicUsize::new(0);

/// A network that nobody else takes while this lives, in this process or another.
///
/// The kernel keeps the address of a socket for its process, and frees it however that ends.
pub(crate) struct Claim {
    /// The two bytes that its addresses have in the middle.
    pub(crate) halves: [u8; 2],
    _socket: UdpSocket,
}

impl Claim {
    /// Takes the next network that is free.
    pub(crate) fn take() -> Self {
        let first = usize::try_from(process::id()).unwrap() * APART;
        loop {
            let tried = TRIED.fetch_add(1, Ordering::Relaxed);
            assert!(tried < NETWORKS, "more worlds than networks");
            if let Some(network) = Self::network((first + tried) % NETWORKS) {
                return network;
            }
        }
    }

    /// Takes the network of this number unless somebody has it.
    pub(crate) fn network(number: usize) -> Option<Self> {
        let halves = [number / 256 + 1, number % 256].map(|half| u8::try_from(half).unwrap());
        let [a, b] = halves;
        let holder = Ipv4Addr::new(127, a, b, HOLDER);
        let socket = UdpSocket::bind((holder, PORT)).ok()?;
        Some(Self {
            halves,
            _socket: socket,
        })
    }
}
