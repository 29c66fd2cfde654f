//! The tasks of a step: those that have a record, and the others.

use ciborium::{Value, cbor};
use egretpin::core::workload::step::Step;

fn read(value: &Value) -> Step {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    ciborium::from_reader(&bytes[..]).unwrap()
}

/// An earlier release kept a list of all tasks.
#[test]
fn a_step_in_a_snapshot_of_an_earlier_release_is_read() {
    let task = |attempt: u32, failures: u32, agent: Option<&str>, done: bool| {
        cbor!({
            "attempt" => attempt,
            "failures" => failures,
            "agent" => agent,
            "done" => done,
            "checkpoint" => Value::Null,
        })
        .unwrap()
    };
    let tasks = vec![
        task(1, 0, None, true),
        task(0, 0, None, false),
        task(2, 1, Some("a"), false),
        task(3, 2, None, false),
        task(1, 0, Some("b"), true),
    ];
    let step = read(&cbor!({ "done" => 2, "tasks" => tasks }).unwrap());
    assert_eq!((step.tasks(), step.done()), (5, 2));
    let done: Vec<_> = (0..5).map(|ix| step.task(ix).unwrap().done).collect();
    assert_eq!(done, [true, false, false, false, true]);
    let attempts: Vec<_> = step
        .records()
        .map(|(ix, task)| (ix, task.attempt))
        .collect();
    assert_eq!(attempts, [(2, 2), (3, 3), (4, 1)]);
    assert_eq!(step.free().iter().collect::<Vec<_>>(), [1, 3]);
    let failures: Vec<_> = step.records().map(|(_, task)| task.failures).collect();
    assert_eq!(failures, [1, 2, 0]);
    assert_eq!(step.task(5), None);
    // This release reads what it writes.
    let mut bytes = Vec::new();
    ciborium::into_writer(&step, &mut bytes).unwrap();
    assert_eq!(ciborium::from_reader::<Step, _>(&bytes[..]).unwrap(), step);
}
