//! Validation of job specifications, and their critical path.

use std::time::Duration;

use egretpin::core::workload::spec::{JobSpec, MAX_TASKS, SpecError, StepSpec};

fn step(after: &[u16], millis: u64) -> StepSpec {
    let mut step = StepSpec::new(1, Duration::from_millis(millis));
    step.after = after.to_vec();
    step
}

#[test]
fn a_step_may_depend_on_earlier_ones_only() {
    let job = JobSpec::new("x", vec![step(&[], 1), step(&[1], 1)]);
    assert_eq!(job.check(), Err(SpecError::Order { step: 1, on: 1 }));
    let job = JobSpec::new("x", vec![step(&[], 1), step(&[0], 1)]);
    assert_eq!(job.check(), Ok(()));
}

#[test]
fn a_job_that_can_never_run_is_rejected() {
    assert_eq!(
        JobSpec::new("x", Vec::new()).check(),
        Err(SpecError::Steps { count: 0 })
    );
    let none = StepSpec::new(0, Duration::ZERO);
    assert_eq!(
        JobSpec::new("x", vec![none]).check(),
        Err(SpecError::NoTasks { step: 0 })
    );
    let many = StepSpec::new(MAX_TASKS, Duration::ZERO);
    let job = JobSpec::new("x", vec![many.clone(), many]);
    assert_eq!(job.check(), Err(SpecError::Tasks));
    let job = JobSpec::new(&"x".repeat(4001), vec![step(&[], 1)]);
    assert_eq!(job.check(), Err(SpecError::Payload { length: 4001 }));
}

#[test]
fn the_critical_path_is_the_longest_chain_of_steps() {
    let steps = vec![
        step(&[], 100),
        step(&[], 700),
        step(&[0], 300),
        step(&[1, 2], 50),
    ];
    let job = JobSpec::new("x", steps);
    assert_eq!(job.critical_path(), Duration::from_millis(750));
    let remaining_millis: Vec<_> = job
        .remaining(|step| step.estimate)
        .iter()
        .map(Duration::as_millis)
        .collect();
    assert_eq!(remaining_millis, [450, 750, 350, 50]);
}
