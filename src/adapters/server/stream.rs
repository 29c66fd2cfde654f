//! A connection whose reads are counted and whose writes may not stand still for long.
//!
//! Reads are short, so that hyper's buffer stays small, and what a head takes beyond the first of them is
//! reserved before it is read. A client that doesn't read its answer would otherwise hold a connection,
//! and the answer's memory, for as long as it likes.

use std::{
    fmt, io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

use super::Peer;
use crate::adapters::budget::{NoRoom, Share};

/// Bytes that are read at once. One more would fill hyper's first buffer, which then doubles.
const READ: usize = 8 * 1024 - 1;
/// What a read of a head takes beside the connection, in bytes: once as read, once as parsed.
const HEAD_STEP: usize = 2 * (READ + 1);

type Reserving = Pin<Box<dyn Future<Output = Result<Share, NoRoom>> + Send>>;

/// A stream that reserves what its heads take, and fails a write which made no progress for a given time.
pub(super) struct Metered {
    stream: TcpStream,
    peer: Arc<Peer>,
    /// Which request of the connection comes.
    request: u64,
    /// Bytes of its head that may be read without another reservation.
    room: usize,
    /// Set while a head waits for room.
    reserving: Option<Reserving>,
    /// Set while a write is stuck.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl fmt::Debug for Metered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metered").finish_non_exhaustive()
    }
}

impl Metered {
    pub(super) fn new(stream: TcpStream, peer: Arc<Peer>) -> Self {
        Self {
            stream,
            peer,
            request: 0,
            room: READ,
            reserving: None,
            stalled: None,
        }
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// How many bytes may be read. Reserves room if a head has used up what it had.
    fn poll_room(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let Some(request) = self.peer.next_request() else {
            // What is read is a body, which has its own buffer, or the beginning of what follows.
            return Poll::Ready(Ok(READ));
        };
        if self.request != request {
            self.request = request;
            self.room = READ;
        }
        if self.room > 0 {
            return Poll::Ready(Ok(self.room));
        }
        let peer = Arc::clone(&self.peer);
        let reserving = self
            .reserving
            .get_or_insert_with(|| Box::pin(async move { peer.reserve(HEAD_STEP).await }));
        let reserved = ready!(reserving.as_mut().poll(cx));
        self.reserving = None;
        if let Ok(share) = reserved {
            self.peer.hold_head(share);
            self.room = READ;
            return Poll::Ready(Ok(READ));
        }
        self.peer.refuse_head();
        Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()))
    }

    /// Passes progress on and counts the time without it.
    fn pace<T>(
        &mut self,
        cx: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.stalled = None;
            return progress;
        }
        let patience = self.peer.limits.write;
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(sleep(patience)));
        ready!(stalled.as_mut().poll(cx));
        stalled.as_mut().reset(Instant::now() + patience);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = ready!(self.poll_room(cx))?.min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(limit));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        if self.room == READ {
            self.peer.account.begin();
        }
        self.room = self.room.saturating_sub(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.pace(cx, progress)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.pace(cx, progress)
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
