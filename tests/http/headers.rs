//! Headers that callers act on.

use std::time::Duration;

use egretpin::adapters::headers;
use hyper::header::{HeaderMap, RETRY_AFTER};

/// Callers who were told to return after 1.9 s were sent away for 1 s, and refused again.
#[test]
fn retry_after_is_rounded_up() {
    for millis in 0..5000 {
        let wait = Duration::from_millis(millis);
        let seconds = headers::retry_seconds(wait);
        let seconds: u64 = seconds.to_str().unwrap().parse().unwrap();
        assert_eq!(seconds, millis.div_ceil(1000).max(1), "{wait:?}");
    }
    let barely_more = Duration::from_secs(2) + Duration::from_nanos(1);
    assert_eq!(headers::retry_seconds(barely_more), "3");
}

#[test]
fn both_headers_state_the_same_wait() {
    let mut all = HeaderMap::new();
    headers::set_retry_after(&mut all, Duration::from_millis(1200));
    assert_eq!(all.get(RETRY_AFTER).unwrap(), "2");
    assert_eq!(
        headers::retry_after(&all),
        Some(Duration::from_millis(1200))
    );
}
