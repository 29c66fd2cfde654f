//! Agents that list some of their ends at a time, and the others once these are acknowledged.

use egretpin::core::workload::{
    job::JobState,
    spec::{JobSpec, StepSpec},
};

use super::world::{World, ms};

/// A job of small tasks, of which hundreds run on a host.
fn small_tasks(count: u32, millis: u64) -> JobSpec {
    let mut step = StepSpec::new(count, ms(millis));
    step.need.millicores = 5;
    JobSpec::new("x", vec![step])
}

/// Starts all tasks of a job, lets them end while no leader is there, and then elects one.
fn end_without_a_leader(world: &mut World, tasks: usize) {
    world.submit(1, small_tasks(u32::try_from(tasks).unwrap(), 3000));
    world.until("all run", ms(2500), |world| world.runs(1).len() == tasks);
    world.depose();
    world.pass(ms(4500));
    assert!(world.runs(1).is_empty(), "all have ended");
    world.lead();
}

/// A leader took the tasks whose ends weren't listed yet for never run, and started them again.
#[test]
fn tasks_that_are_done_do_not_run_again_where_more_ends_than_are_listed_wait() {
    for (seed, listed) in [(1, 500), (2, 40), (3, 1)] {
        let mut world = World::with_lease(1, seed, ms(20_000));
        world.max_listed_ends = listed;
        let tasks = if listed == 1 { 30 } else { 1200 };
        end_without_a_leader(&mut world, tasks);
        world.until("all ends are taken in", ms(4000), |world| {
            world.state(1) == Some(JobState::Completed)
        });
        assert_eq!(world.reruns.len(), 0, "{listed} ends are listed");
        assert!(world.starts.values().all(|starts| *starts == 1));
    }
}

/// The same where the leader itself stands still, and so knows its tasks as running.
#[test]
fn a_leader_that_gets_no_reports_for_a_while_starts_no_done_task_again() {
    let mut world = World::with_lease(2, 4, ms(20_000));
    world.max_listed_ends = 100;
    world.submit(1, small_tasks(1500, 3000));
    world.until("all run", ms(2500), |world| world.runs(1).len() == 1500);
    let agents: Vec<_> = world.agents.keys().cloned().collect();
    for agent in &agents {
        world.block_orders(agent, ms(4500));
    }
    world.until("it is complete", ms(12_000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    assert_eq!(world.reruns.len(), 0);
}

/// An agent that restarts under its id may list the ends of starts that were meant for its former incarnation.
#[test]
fn no_done_task_runs_again_where_agents_list_few_ends_and_restart() {
    for seed in 0..20 {
        let mut world = World::new(3, seed);
        world.max_listed_ends = 2;
        world.id_reuse = if seed % 2 == 0 { 1.0 } else { 0.0 };
        for job in 1..=30 {
            world.submit(job, small_tasks(20, 200));
            world.pass(ms(100));
            if job % 6 == 0 {
                let agent = world.agents.keys().next().cloned().unwrap();
                world.restart_agent(&agent);
            }
            if job % 7 == 0 {
                world.depose();
                world.pass(ms(400));
                world.lead();
            }
        }
        world.until("all are complete", ms(20_000), |world| {
            (1..=30).all(|job| world.state(job) == Some(JobState::Completed))
        });
    }
}

/// Nothing was acknowledged while a start was out that no report had listed. Its end may be among those that are
/// listed only after an acknowledgement, so that no further end was ever listed.
#[test]
fn ends_are_acknowledged_though_the_end_of_a_start_is_not_listed_yet() {
    let mut world = World::with_lease(1, 5, ms(20_000));
    world.max_listed_ends = 3;
    end_without_a_leader(&mut world, 40);
    world.until("all ends are taken in", ms(4000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
}

/// The tasks of an agent that ends had ended before it, though their ends weren't listed: they can't have ended it.
#[test]
fn a_task_whose_end_is_not_listed_is_not_blamed_for_the_end_of_its_agent() {
    let mut world = World::with_lease(2, 6, ms(20_000));
    world.max_listed_ends = 1;
    world.commit_delay = ms(300);
    world.submit(1, small_tasks(8, 300));
    world.until("all run", ms(2500), |world| world.runs(1).len() == 8);
    world.until("all have ended", ms(2500), |world| world.runs(1).is_empty());
    world.pass(ms(200));
    let agent = world.placement(1).expect("ends aren't in the log yet");
    world.restart(&agent);
    world.until("it is complete", ms(15_000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    let blamed = world.committed.iter().any(|command| {
        matches!(command, egretpin::core::workload::command::Command::Crashed(crash) if !crash.tasks.is_empty())
    });
    assert!(!blamed, "no task ran when the agent ended");
}
