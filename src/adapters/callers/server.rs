//! Serving a listener.

use std::sync::Arc;

use tokio::{net::TcpListener, sync::watch};

use super::{
    limits::Limits,
    open::Open,
    port::{Port, Stage},
    service::{Shared, reply},
};
use crate::{
    adapters::{
        budget::Budget,
        server::{self, Broken, Service},
    },
    core::outcome::NotRun,
};

/// Told to a caller whose head took too long; hyper would close without a word.
const SLOW_HEAD: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    connection: close\r\ncontent-length: 0\r\n\
    egretpin-outcome: not-run\r\negretpin-reason: slow_caller\r\n\
    retry-after: 1\r\negretpin-retry-after-ms: 1000\r\n\r\n";
/// Told to a caller for whose head there is no room.
const NO_ROOM: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    connection: close\r\ncontent-length: 0\r\n\
    egretpin-outcome: not-run\r\negretpin-reason: queue_full\r\n\
    retry-after: 1\r\negretpin-retry-after-ms: 1000\r\n\r\n";

/// Serves callers until `stage` says [`Stage::Closing`] (or its sender is dropped) and every
/// request in flight has finished.
pub async fn serve(
    listener: TcpListener,
    port: Port,
    open: Arc<Open>,
    limits: Limits,
    mut stage: watch::Receiver<Stage>,
) {
    let own = || Budget::new(limits.memory, limits.connections);
    let budget = port.budget.clone().unwrap_or_else(own);
    let each = limits.of_connection();
    let shared = Arc::new(Shared {
        port,
        open,
        stage: stage.clone(),
    });
    let told = Arc::clone(&shared);
    let service = Service {
        budget,
        limits: Box::new(move || each),
        open: Box::new(|_| ()),
        broken: Box::new(move |broken| {
            let (reason, last) = match broken {
                Broken::SlowHead => (NotRun::SlowCaller, SLOW_HEAD),
                Broken::BadHead => (NotRun::BadRequest, &b""[..]),
                Broken::NoRoom => (NotRun::QueueFull, NO_ROOM),
            };
            (told.port.refused)(reason);
            last
        }),
        handle: move |peer, request| reply(Arc::clone(&shared), peer, request),
    };
    let (stop, stopped) = watch::channel(false);
    let closing = async move {
        // A sender that was dropped counts as closing, too.
        let _ = stage.wait_for(|stage| *stage == Stage::Closing).await;
        drop(stop);
    };
    tokio::join!(server::serve(listener, service, stopped), closing);
}
