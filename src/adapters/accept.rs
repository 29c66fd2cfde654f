//! Taking connections in.
//!
//! A process may have no descriptor left for the next connection. Then nothing is accepted until one is
//! free, which is looked for a few times a second, and the log says so once and not with each try.
//! Meanwhile a connection that is idle makes place for the next one.
//! Connections that close one after the other make many short shortages of one; the log names one a
//! second at most.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

use super::budget::Budget;

/// From one try to the next where none could be accepted: short beside what a peer waits for.
const PAUSE: Duration = Duration::from_millis(100);

/// The least time from one shortage that the log names to the next.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A listener that waits where connections can't be accepted.
#[derive(Debug)]
pub(crate) struct Acceptor {
    listener: TcpListener,
    budget: Budget,
    /// Tries that failed since the log last said that connections are accepted.
    failed: u64,
    /// When the log last said that none can be accepted.
    logged: Option<Instant>,
    /// Whether it hasn't said since that they are accepted again.
    short: bool,
}

impl Acceptor {
    /// Takes the connections of a listener in.
    pub(crate) fn new(listener: TcpListener, budget: Budget) -> Self {
        Self {
            listener,
            budget,
            failed: 0,
            logged: None,
            short: false,
        }
    }

    /// The next connection, and from where. None is lost if this is given up before it is there.
    pub(crate) async fn accept(&mut self) -> (TcpStream, SocketAddr) {
        loop {
            match self.listener.accept().await {
                Ok(accepted) => {
                    self.succeeded();
                    return accepted;
                }
                Err(error) => self.note_failure(&error),
            }
            sleep(PAUSE).await;
        }
    }

    fn note_failure(&mut self, error: &io::Error) {
        self.failed += 1;
        self.budget.make_place();
        let recent = self.logged.is_some_and(|at| at.elapsed() < LOG_INTERVAL);
        if self.short || recent {
            return;
        }
        let address = self.listener.local_addr().ok();
        log::warn!(error:%, address:?; "connections can't be accepted");
        self.logged = Some(Instant::now());
        self.short = true;
    }

    fn succeeded(&mut self) {
        if self.short {
            log::info!(tries = self.failed; "connections are accepted again");
            self.failed = 0;
            self.short = false;
        }
    }
}
