//! What the scheduler does when all is well.

use std::collections::BTreeSet;

use egretpin::core::workload::{
    command::Command,
    job::JobState,
    spec::{JobSpec, Recurrence},
};

use crate::world::{RETENTION, World, long_running, ms, step};

fn chain(steps: usize) -> JobSpec {
    let step = |ix: usize| {
        let mut step = step(4, 2, 600);
        step.after = (ix > 0)
            .then(|| u16::try_from(ix - 1).unwrap())
            .into_iter()
            .collect();
        step
    };
    JobSpec::new("x", (0..steps).map(step).collect())
}

#[test]
fn a_chain_of_steps_runs_in_order_and_with_little_delay() {
    let mut world = World::new(4, 1);
    world.submit(1, chain(3));
    // Three times 1.3 times the estimate, and what commits, orders and looks take in between.
    world.until("the job is through", ms(2340 + 3 * 150), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    assert_eq!(world.starts.values().sum::<u32>(), 12);
}

#[test]
fn more_work_than_room_waits_and_is_done() {
    let mut world = World::new(2, 2);
    for job in 1..=20 {
        world.submit(job, chain(2));
    }
    world.until("all jobs are through", ms(60_000), |world| {
        (1..=20).all(|job| world.state(job) == Some(JobState::Completed))
    });
}

#[test]
fn ends_are_acknowledged_although_nothing_runs_any_more() {
    let mut world = World::new(1, 3);
    world.submit(1, chain(1));
    world.until("the job is through", ms(5000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    let looks = world.sent["renew"];
    world.pass(ms(4000));
    assert_eq!(
        world.sent["renew"],
        looks + 1,
        "one more look, and none without need"
    );
}

#[test]
fn a_job_whose_task_fails_too_often_fails() {
    let mut world = World::new(4, 4);
    world.faults.failed_attempts = 1.0;
    world.submit(1, JobSpec::new("x", vec![step(1, 1, 200)]));
    world.until("the job fails", ms(5000), |world| {
        world.state(1) == Some(JobState::Failed)
    });
    assert_eq!(world.starts.values().copied().collect::<Vec<_>>(), [3]);
    world.pass(ms(5000));
    assert_eq!(
        world.starts.values().sum::<u32>(),
        3,
        "and nothing more of it starts"
    );
}

#[test]
fn what_lasts_is_started_again_however_often_its_agent_dies() {
    let mut world = World::new(3, 5);
    world.submit(1, JobSpec::new("x", vec![long_running(1, 1)]));
    for _ in 0..5 {
        // A look that waits for an end has to fail first, and then the provider to be asked.
        world.until("it runs", ms(3200), |world| world.runs(1).len() == 1);
        // One whose hosts end as it begins, one after the other, is what ends them.
        world.pass(ms(1000));
        let (agent, _) = world.runs(1)[0].clone();
        world.crash(&agent);
        let host = format!("n{}", world.hosts.len());
        world.add_host(&host, crate::world::POOL);
    }
    world.until("it runs", ms(3200), |world| world.runs(1).len() == 1);
}

#[test]
fn a_cancelled_job_is_stopped_at_once() {
    let mut world = World::new(3, 6);
    world.submit(1, JobSpec::new("x", vec![long_running(3, 2)]));
    world.until("it runs", ms(2000), |world| world.runs(1).len() == 3);
    world.propose(Command::Cancel(1));
    world.until("nothing of it runs", ms(700), |world| {
        world.runs(1).is_empty()
    });
    world.pass(ms(3000));
    assert!(world.runs(1).is_empty());
}

#[test]
fn tasks_of_a_step_stay_apart_where_it_asks_for_that() {
    let mut world = World::new(5, 7);
    world.submit(1, JobSpec::new("x", vec![long_running(5, 1)]));
    world.until("it runs", ms(2000), |world| world.runs(1).len() == 5);
    let agents: BTreeSet<_> = world.runs(1).into_iter().map(|(agent, _)| agent).collect();
    assert_eq!(agents.len(), 5);
}

#[test]
fn a_gang_starts_together_on_one_rack() {
    let mut world = World::new(6, 8);
    let mut gang = step(4, 4, 800);
    gang.gang = true;
    gang.one_rack = true;
    world.submit(1, JobSpec::new("x", vec![gang]));
    world.until("it runs", ms(1000), |world| world.runs(1).len() == 4);
    let racks: BTreeSet<_> = world
        .runs(1)
        .iter()
        .map(|(agent, _)| world.agents[agent].record.labels[1].clone())
        .collect();
    assert_eq!(racks.len(), 1, "two hosts of one rack have the room");
}

#[test]
fn an_agent_that_is_to_end_gets_nothing_new() {
    let mut world = World::new(2, 9);
    let agents: Vec<_> = world.agents.keys().cloned().collect();
    world.drain(&agents[0]);
    world.pass(ms(100));
    for job in 1..=5 {
        world.submit(job, chain(1));
    }
    world.until("all jobs are through", ms(20_000), |world| {
        assert!((1..=5).all(|job| world.runs(job).iter().all(|(agent, _)| *agent != agents[0])));
        (1..=5).all(|job| world.state(job) == Some(JobState::Completed))
    });
}

#[test]
fn best_effort_work_keeps_away_from_what_serves() {
    let mut world = World::new(4, 10);
    let mut serving = long_running(2, 2);
    serving.tail_latency = Some(ms(50));
    let mut filling = long_running(2, 2);
    filling.best_effort = true;
    world.submit(1, JobSpec::new("x", vec![serving]));
    world.until("it serves", ms(1000), |world| world.runs(1).len() == 2);
    world.submit(2, JobSpec::new("x", vec![filling]));
    world.until("it fills", ms(1000), |world| world.runs(2).len() == 2);
    let serving: BTreeSet<_> = world.runs(1).into_iter().map(|(agent, _)| agent).collect();
    let filling: BTreeSet<_> = world.runs(2).into_iter().map(|(agent, _)| agent).collect();
    assert!(serving.is_disjoint(&filling));
}

#[test]
fn a_recurring_job_fires_when_it_is_due_and_as_often_as_it_should() {
    let mut world = World::new(2, 16);
    world.pass(ms(500));
    let first = world.now + ms(2000);
    // An occurrence takes longer than the time to the next one, so that they overlap.
    let mut job = JobSpec::new("x", vec![step(2, 1, 900)]);
    job.recurrence = Some(Recurrence {
        first,
        interval: ms(500),
        count: 4,
    });
    world.submit(1, job);
    let fired = |world: &World| {
        let occurrences = world.starts.keys().map(|task| task.step.occurrence);
        occurrences.collect::<BTreeSet<_>>()
    };
    for occurrence in 0..4 {
        let due = first + ms(500) * occurrence;
        world.pass(due.saturating_sub(world.now + ms(10)));
        assert!(
            !fired(&world).contains(&occurrence),
            "{occurrence} is early"
        );
        // A look, a commit and a start.
        world.pass(ms(100));
        assert!(fired(&world).contains(&occurrence), "{occurrence} is late");
    }
    world.until("all of it is through", ms(5000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    assert_eq!(world.starts.len(), 8);
    assert!(world.starts.values().all(|starts| *starts == 1));
}

#[test]
fn best_effort_work_is_throttled_while_it_disturbs() {
    let mut world = World::with_best_effort(10);
    world.interference = 60.0;
    world.until("the tail is below its target", ms(4000), |world| {
        world.tail_latency() < 50.0
    });
    for _ in 0..80 {
        world.pass(ms(100));
        assert!(world.tail_latency() < 55.0, "{}", world.tail_latency());
    }
    assert!(
        world.tail_latency() > 25.0,
        "much of the work goes on: {}",
        world.tail_latency()
    );
    world.interference = 1000.0;
    world.until("it stands still", ms(4000), |world| {
        world.tail_latency() < 50.0
    });
    world.interference = 1.0;
    world.until("it has its full speed again", ms(10_000), |world| {
        world.tail_latency() > 10.9
    });
}

/// Lets enough tasks end for estimates to be known as good or bad.
fn learn(world: &mut World) {
    world.submit(100, JobSpec::new("x", vec![step(24, 1, 300)]));
    world.until("it is learnt", ms(5000), |world| {
        world.state(100) == Some(JobState::Completed)
    });
}

#[test]
fn tasks_with_bad_estimates_are_left_to_run() {
    let mut world = World::new(4, 13);
    world.faults.estimate_error = 8.0;
    for job in 1..=40 {
        world.submit(job, JobSpec::new("x", vec![step(3, 1, 500)]));
        world.pass(ms(300));
    }
    world.until("all jobs are through", ms(30_000), |world| {
        (1..=40).all(|job| world.state(job) == Some(JobState::Completed))
    });
    let again: u32 = world.starts.values().map(|starts| starts - 1).sum();
    assert!(again <= 12, "{again} of 120 tasks were started again");
}

#[test]
fn a_task_that_stands_still_is_tried_elsewhere() {
    let mut world = World::new(4, 11);
    learn(&mut world);
    for agent in world.agents.values_mut().take(2) {
        agent.slowdown = 1000.0;
    }
    for job in 1..=4 {
        world.submit(job, chain(1));
    }
    // Three times the estimate and what is added, a stop, another look, and the task itself.
    world.until("all jobs are through", ms(6000), |world| {
        (1..=4).all(|job| world.state(job) == Some(JobState::Completed))
    });
}

#[test]
fn a_slow_agent_gets_less_than_the_others() {
    let mut world = World::new(4, 12);
    // Hosts that are never empty aren't moved, so that each agent's ends are those of one host.
    world.submit(200, JobSpec::new("x", vec![long_running(4, 1)]));
    world.until("it runs", ms(1000), |world| world.runs(200).len() == 4);
    learn(&mut world);
    let slow = world.agents.keys().next_back().unwrap().clone();
    world.agents.get_mut(&slow).unwrap().slowdown = 2.5;
    for job in 1..=20 {
        world.submit(job, JobSpec::new("x", vec![step(2, 2, 400)]));
        world.pass(ms(500));
    }
    world.until("all jobs are through", ms(20_000), |world| {
        (1..=20).all(|job| world.state(job) == Some(JobState::Completed))
    });
    let ends = |id| world.ledger.agent(id).map_or(0, |agent| agent.acked);
    let most = world.agents.keys().map(ends).max().unwrap();
    assert!(ends(&slow) * 3 <= most, "{} of {most}", ends(&slow));
}

#[test]
fn a_job_that_is_over_is_known_for_a_while_and_then_forgotten() {
    let mut world = World::new(2, 15);
    world.submit(1, chain(1));
    world.until("the job is through", ms(5000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    world.pass(RETENTION - ms(1000));
    assert_eq!(world.state(1), Some(JobState::Completed));
    world.until("it is forgotten", ms(3000), |world| {
        world.state(1).is_none()
    });
}
