//! What the log says of a panic. A test program of its own, as the hook is one for all threads of a process.

use std::thread;

use egretpin::adapters::panics;

/// A control node that stopped because of a panic logged an empty error.
#[test]
fn the_last_panic_is_known_with_its_message_and_place() {
    panics::record();
    assert_eq!(panics::last(), None);
    let ended = thread::spawn(|| panic!("the sum of {} numbers", 2)).join();
    assert!(ended.is_err());
    let last = panics::last().expect("a panic was recorded");
    assert!(last.contains("tests/panics/main.rs:"), "{last}");
    assert!(last.ends_with("the sum of 2 numbers"), "{last}");
}
