//! Orders whose execution ends without an answer.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use egretpin::core::workload::scheduler::{Answer, OrderKind, Settings};
use tokio::time::{Instant, sleep};

use crate::voter::{Voter, free_port, long_running_job};

const VOTER: Ipv4Addr = Ipv4Addr::new(127, 9, 43, 1);
/// Enough for an election and some renewals.
const PATIENCE: Duration = Duration::from_secs(10);

/// A renewal whose execution panicked was waited for without a limit, so that no other followed and
/// the lease of its agent expired.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_agent_whose_renewal_panicked_is_renewed_again() {
    let folder = tempfile::tempdir().unwrap();
    let renewals = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&renewals);
    let voter = Voter {
        ip: VOTER,
        voters: &[VOTER],
        port: free_port(VOTER).await,
        folder: folder.path(),
        commands: &long_running_job(&["a".into()]),
        settings: Settings::default(),
        perform: Arc::new(move |order| {
            let renews = matches!(order.kind, OrderKind::Renew { .. });
            let first = renews && counted.fetch_add(1, Ordering::SeqCst) == 0;
            Box::pin(async move {
                assert!(!first, "the first renewal panics");
                Answer::Silent
            })
        }),
        exchange_limit: Duration::from_millis(500),
    };
    let control = voter.start(|config| config).await;
    let began = Instant::now();
    while renewals.load(Ordering::SeqCst) < 2 {
        assert!(began.elapsed() < PATIENCE, "no renewal follows");
        sleep(Duration::from_millis(20)).await;
    }
    drop(control);
}
