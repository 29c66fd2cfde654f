//! A connection that may send little before its other end has introduced itself.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that are read of a stranger: the handshake of the websocket and an introduction take a few hundred.
const STRANGER_BYTES: usize = 16 << 10;

/// The stream of a connection between two nodes.
#[derive(Debug)]
pub(super) struct Gate {
    stream: TcpStream,
    /// How many bytes may still be read; any number once the other end is known.
    left: Option<usize>,
}

impl Gate {
    /// The stream of a connection whose other end isn't known yet.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            left: Some(STRANGER_BYTES),
        }
    }

    /// The other end is known.
    pub(super) fn open(&mut self) {
        self.left = None;
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(left) = self.left else {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        };
        if left == 0 {
            let error = io::Error::other("the peer sends too much before it is known");
            return Poll::Ready(Err(error));
        }
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(left.min(buf.remaining())));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        self.left = Some(left - read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
