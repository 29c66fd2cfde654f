//! A stream that counts what crossed it.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The bytes that crossed a connection so far, in each direction.
///
/// The counts are the proof behind "nothing was sent": a byte is counted once the kernel took
/// it, whatever happened to it afterwards.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    written: AtomicU64,
    read: AtomicU64,
}

/// The counts at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Mark {
    pub(super) written: u64,
    pub(super) read: u64,
}

impl Traffic {
    pub(super) fn mark(&self) -> Mark {
        Mark {
            written: self.written.load(Ordering::SeqCst),
            read: self.read.load(Ordering::SeqCst),
        }
    }
}

/// A TCP stream that keeps [`Traffic`].
#[derive(Debug)]
pub(super) struct Counted {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl Counted {
    pub(super) fn new(stream: TcpStream) -> (Self, Arc<Traffic>) {
        let traffic = Arc::new(Traffic::default());
        let counted = Self {
            stream,
            traffic: traffic.clone(),
        };
        (counted, traffic)
    }

    fn wrote(&self, progress: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = progress {
            self.traffic.written.fetch_add(*n as u64, Ordering::SeqCst);
        }
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let progress = Pin::new(&mut self.stream).poll_read(cx, buf);
        let n = buf.filled().len() - before;
        self.traffic.read.fetch_add(n as u64, Ordering::SeqCst);
        progress
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(&progress);
        progress
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(&progress);
        progress
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
