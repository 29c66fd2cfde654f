//! Admission control for jobs: the work that is outstanding.

use egretpin::core::workload::{
    admission::outstanding::{JobWork, Outstanding, StepWork},
    spec::JobSpec,
};
use proptest::prelude::*;

use crate::world::{POOL, World, ms, step};

fn job(pool: &str, workspace: Option<&str>, steps: &[(u64, u64)]) -> JobWork {
    let step = |&(tasks, millis): &(u64, u64)| StepWork {
        tasks,
        millicores: 1000,
        millis,
    };
    JobWork {
        pool: pool.into(),
        workspace: workspace.map(Into::into),
        steps: steps.iter().map(step).collect(),
    }
}

proptest! {
    /// Guards against totals that drift from the jobs that they sum up.
    #[test]
    fn totals_are_the_sums_of_the_jobs(events in prop::collection::vec((0..3_u8, 0..6_u64, 0..3_usize), 0..200)) {
        let mut outstanding = Outstanding::default();
        for (what, id, step) in events {
            let workspace = ["a", "b"].get(step);
            match what {
                0 => outstanding.add(id, job(POOL, workspace.copied(), &[(3, 40), (id, 7)])),
                1 => outstanding.finish_task(id, step),
                _ => outstanding.remove(id),
            }
            let jobs: u64 = outstanding.jobs().map(|(_, job)| job.total().work).sum();
            let shares: u64 = outstanding.workspaces(&POOL.into()).map(|(_, work)| work).sum();
            prop_assert_eq!(outstanding.total(&POOL.into()).work, jobs);
            prop_assert_eq!(shares, jobs);
        }
    }
}

/// Guards against later steps of accepted jobs that aren't counted, and against work that is lost or counted
/// twice at a change of the leader.
#[test]
fn a_new_leader_counts_the_work_that_is_not_done() {
    let mut world = World::new(2, 1);
    world.pass(ms(2000));
    let total = |world: &World| {
        let scheduler = world.scheduler.as_ref().unwrap();
        scheduler.outstanding().total(&POOL.into())
    };
    let mut later = step(4, 1, 300);
    later.after = vec![0];
    for id in 1..=20 {
        world.submit(id, JobSpec::new("x", vec![step(8, 1, 300), later.clone()]));
    }
    world.pass(ms(50));
    assert_eq!(total(&world).tasks, 20 * 12);
    assert_eq!(total(&world).work, 20 * 12 * 300_000);
    world.pass(ms(2000));
    let before = total(&world);
    assert!(before.tasks > 0 && before.tasks < 20 * 12, "{before:?}");
    world.depose();
    world.lead();
    assert_eq!(total(&world), before);
    world.pass(ms(15_000));
    assert_eq!(total(&world).work, 0);
}
