//! Reading a body whole, within bounds of size, memory and time.

use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::{select, task::coop::consume_budget, time::timeout};

use super::{Limits, Peer};
use crate::adapters::budget::{Account, NoRoom, Share};

/// The first buffer of a body, in bytes.
const FIRST_BUFFER: usize = 1024;

/// Why a body was not read.
#[derive(Debug)]
pub(crate) enum Unread {
    /// It is larger than a body may be.
    TooLarge,
    /// It took too long.
    TooSlow,
    /// There is no room for it.
    NoRoom,
    /// The client went away, or broke off its body.
    Gone(io::Error),
}

impl From<NoRoom> for Unread {
    fn from(_: NoRoom) -> Self {
        Self::NoRoom
    }
}

/// A body and what is reserved for it.
pub(crate) type Held = (Bytes, Share);

impl Peer {
    /// Reads the body of a request, which counts as being served from then on. One that states too great a
    /// length is refused before any of it is read.
    pub(crate) async fn read(&self, body: Incoming, limit: usize) -> Result<Held, Unread> {
        let read = self
            .read_within(
                body,
                &Limits {
                    body: limit,
                    ..self.limits
                },
            )
            .await;
        if read.is_err() {
            self.leave_unread();
        }
        read
    }

    async fn read_within(&self, body: Incoming, limits: &Limits) -> Result<Held, Unread> {
        let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if stated > limits.body {
            return Err(Unread::TooLarge);
        }
        let collected = async {
            let collected = timeout(limits.read, collect(body, limits, &self.account));
            collected.await.unwrap_or(Err(Unread::TooSlow))
        };
        let held = select! {
            biased;
            () = self.account.closing() => return Err(Unread::NoRoom),
            collected = collected => collected?,
        };
        self.account.serve()?;
        Ok(held)
    }
}

async fn collect(mut body: Incoming, limits: &Limits, account: &Account) -> Result<Held, Unread> {
    let mut share = account.share(0);
    if body.is_end_stream() {
        return Ok((Bytes::new(), share));
    }
    let exact = body.size_hint().exact();
    // Within the limit, as the caller of this function has checked.
    let expected = exact
        .and_then(|n| usize::try_from(n).ok())
        .unwrap_or(limits.body);
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Unread::Gone(io::Error::other(error)))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = whole.len() + data.len();
        if length > limits.body {
            return Err(Unread::TooLarge);
        }
        if length > whole.capacity() {
            // Room is taken as the body comes: a stated length costs its sender nothing.
            let doubled = whole.capacity().saturating_mul(2).max(FIRST_BUFFER);
            let capacity = doubled.min(expected).max(length);
            let more = (capacity - whole.capacity()).saturating_mul(limits.copies);
            share.merge(account.reserve(more).await?);
            whole.reserve_exact(capacity - whole.len());
        }
        // The frame is copied, as it keeps alive the whole buffer that it was read into.
        whole.extend_from_slice(&data);
        // A read may hold a thousand chunks, which would keep others from their turn.
        consume_budget().await;
    }
    whole.shrink_to_fit();
    Ok((Bytes::from(whole), share))
}
