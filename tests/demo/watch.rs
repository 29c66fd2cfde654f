//! What looks at nodes prove, and what they don't.

use std::time::Duration;

use egretpin::demo::{Sample, clashes, reversions};

/// A look of a node that was asked at one millisecond and answered ten later.
fn look(node: u64, at: u64, version: Option<u64>) -> Sample {
    Sample {
        node,
        asked: Duration::from_millis(at),
        told: Duration::from_millis(at + 10),
        version,
    }
}

#[test]
fn overlapping_stretches_of_two_versions_clash() {
    let samples = [
        look(1, 0, Some(5)),
        look(2, 0, Some(6)),
        look(1, 100, Some(5)),
        look(2, 100, Some(6)),
    ];
    assert_eq!(clashes(&samples), 1);
}

#[test]
fn a_change_between_two_looks_is_no_clash() {
    // Node 1 may have changed right after its second look, and node 2 right before its first.
    let samples = [
        look(1, 0, Some(5)),
        look(1, 100, Some(5)),
        look(2, 100, Some(6)),
        look(2, 200, Some(6)),
    ];
    assert_eq!(clashes(&samples), 0);
    // Acting under nothing in between proves nothing either.
    let broken = [
        look(1, 0, Some(5)),
        look(1, 50, None),
        look(2, 20, Some(6)),
        look(2, 200, Some(6)),
        look(1, 100, Some(6)),
    ];
    assert_eq!(clashes(&broken), 0);
}

#[test]
fn going_back_to_an_older_version_is_a_reversion() {
    let samples = [
        look(1, 0, Some(5)),
        look(2, 0, Some(7)),
        look(1, 50, Some(6)),
        look(1, 100, None),
        look(1, 150, Some(5)),
        look(2, 200, Some(7)),
    ];
    assert_eq!(reversions(&samples), 1);
}
