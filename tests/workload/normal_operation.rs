//! The scheduler without faults: placement, estimates, recurrence, cancellation and retention.

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
    // Three steps of up to 1.3 times the estimate, and for each 150 ms of commits, orders and
    // polls.
    world.until("the job completes", ms(2340 + 3 * 150), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    assert_eq!(world.starts.values().sum::<u32>(), 12);
}

#[test]
fn work_beyond_the_capacity_waits_and_completes() {
    let mut world = World::new(2, 2);
    for job in 1..=20 {
        world.submit(job, chain(2));
    }
    world.until("all jobs complete", ms(60_000), |world| {
        (1..=20).all(|job| world.state(job) == Some(JobState::Completed))
    });
}

#[test]
fn ends_are_acknowledged_although_nothing_runs_any_more() {
    let mut world = World::new(1, 3);
    world.submit(1, chain(1));
    world.until("the job completes", ms(5000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    let polls = world.sent["renew"];
    world.pass(ms(4000));
    assert_eq!(
        world.sent["renew"],
        polls + 1,
        "one more poll, and no unnecessary one"
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
fn long_running_tasks_are_restarted_however_often_their_agents_crash() {
    let mut world = World::new(3, 5);
    world.submit(1, JobSpec::new("x", vec![long_running(1, 1)]));
    for _ in 0..5 {
        // First a poll that waits for the end of a run has to fail, then the provider is queried.
        world.until("it runs", ms(3200), |world| world.runs(1).len() == 1);
        // A task that loses one host after the other just as it starts counts as the cause.
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
fn tasks_of_a_step_run_on_different_hosts_if_it_asks_for_that() {
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
    assert_eq!(racks.len(), 1, "two hosts of one rack have the capacity");
}

#[test]
fn a_leaving_agent_gets_no_new_tasks() {
    let mut world = World::new(2, 9);
    let agents: Vec<_> = world.agents.keys().cloned().collect();
    world.drain(&agents[0]);
    world.pass(ms(100));
    for job in 1..=5 {
        world.submit(job, chain(1));
    }
    world.until("all jobs complete", ms(20_000), |world| {
        assert!((1..=5).all(|job| world.runs(job).iter().all(|(agent, _)| *agent != agents[0])));
        (1..=5).all(|job| world.state(job) == Some(JobState::Completed))
    });
}

#[test]
fn best_effort_tasks_are_kept_apart_from_latency_sensitive_ones() {
    let mut world = World::new(4, 10);
    let mut latency_sensitive = long_running(2, 2);
    latency_sensitive.tail_latency = Some(ms(50));
    let mut best_effort = long_running(2, 2);
    best_effort.best_effort = true;
    world.submit(1, JobSpec::new("x", vec![latency_sensitive]));
    world.until("the latency-sensitive tasks run", ms(1000), |world| {
        world.runs(1).len() == 2
    });
    world.submit(2, JobSpec::new("x", vec![best_effort]));
    world.until("the best-effort tasks run", ms(1000), |world| {
        world.runs(2).len() == 2
    });
    let latency_sensitive: BTreeSet<_> =
        world.runs(1).into_iter().map(|(agent, _)| agent).collect();
    let best_effort: BTreeSet<_> = world.runs(2).into_iter().map(|(agent, _)| agent).collect();
    assert!(latency_sensitive.is_disjoint(&best_effort));
}

#[test]
fn a_recurring_job_starts_each_occurrence_when_it_is_due_and_as_often_as_it_should() {
    let mut world = World::new(2, 16);
    world.pass(ms(500));
    let first = world.now + ms(2000);
    // An occurrence takes longer than the interval, so that occurrences overlap.
    let mut job = JobSpec::new("x", vec![step(2, 1, 900)]);
    job.recurrence = Some(Recurrence {
        first,
        interval: ms(500),
        count: 4,
    });
    world.submit(1, job);
    let started = |world: &World| {
        let occurrences = world.starts.keys().map(|task| task.step.occurrence);
        occurrences.collect::<BTreeSet<_>>()
    };
    for occurrence in 0..4 {
        let due = first + ms(500) * occurrence;
        world.pass(due.saturating_sub(world.now + ms(10)));
        assert!(
            !started(&world).contains(&occurrence),
            "{occurrence} is early"
        );
        // The time of a visit, a commit and a start.
        world.pass(ms(100));
        assert!(
            started(&world).contains(&occurrence),
            "{occurrence} is late"
        );
    }
    world.until("all occurrences complete", ms(5000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    assert_eq!(world.starts.len(), 8);
    assert!(world.starts.values().all(|starts| *starts == 1));
}

#[test]
fn best_effort_tasks_are_throttled_while_they_raise_the_tail_latency() {
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
        "much of the best-effort work continues: {}",
        world.tail_latency()
    );
    world.interference = 1000.0;
    world.until(
        "the best-effort task is throttled to a stop",
        ms(4000),
        |world| world.tail_latency() < 50.0,
    );
    world.interference = 1.0;
    world.until(
        "the best-effort task is back at full speed",
        ms(10_000),
        |world| world.tail_latency() > 10.9,
    );
}

/// Completes enough tasks for the scheduler to learn how accurate the estimates are.
fn learn(world: &mut World) {
    world.submit(100, JobSpec::new("x", vec![step(24, 1, 300)]));
    world.until(
        "the scheduler has learned the accuracy of estimates",
        ms(5000),
        |world| world.state(100) == Some(JobState::Completed),
    );
}

#[test]
fn tasks_with_bad_estimates_are_rarely_restarted() {
    let mut world = World::new(4, 13);
    world.faults.estimate_error = 8.0;
    for job in 1..=40 {
        world.submit(job, JobSpec::new("x", vec![step(3, 1, 500)]));
        world.pass(ms(300));
    }
    world.until("all jobs complete", ms(30_000), |world| {
        (1..=40).all(|job| world.state(job) == Some(JobState::Completed))
    });
    let restarts: u32 = world.starts.values().map(|starts| starts - 1).sum();
    assert!(restarts <= 12, "{restarts} of 120 tasks were restarted");
}

#[test]
fn a_task_that_hangs_is_started_elsewhere() {
    let mut world = World::new(4, 11);
    learn(&mut world);
    for agent in world.agents.values_mut().take(2) {
        agent.slowdown = 1000.0;
    }
    for job in 1..=4 {
        world.submit(job, chain(1));
    }
    // Three times the estimate and a margin, a stop, another poll, and the run itself.
    world.until("all jobs complete", ms(6000), |world| {
        (1..=4).all(|job| world.state(job) == Some(JobState::Completed))
    });
}

#[test]
fn a_slow_agent_gets_fewer_tasks_than_the_others() {
    let mut world = World::new(4, 12);
    // Hosts that are never empty aren't moved, so all runs that an agent ends are of one host.
    world.submit(200, JobSpec::new("x", vec![long_running(4, 1)]));
    world.until("it runs", ms(1000), |world| world.runs(200).len() == 4);
    learn(&mut world);
    let slow = world.agents.keys().next_back().unwrap().clone();
    world.agents.get_mut(&slow).unwrap().slowdown = 2.5;
    for job in 1..=20 {
        world.submit(job, JobSpec::new("x", vec![step(2, 2, 400)]));
        world.pass(ms(500));
    }
    world.until("all jobs complete", ms(20_000), |world| {
        (1..=20).all(|job| world.state(job) == Some(JobState::Completed))
    });
    let ends = |id| world.ledger.agent(id).map_or(0, |agent| agent.acked);
    let most = world.agents.keys().map(ends).max().unwrap();
    assert!(ends(&slow) * 3 <= most, "{} of {most}", ends(&slow));
}

#[test]
fn a_job_that_has_ended_is_kept_for_the_retention_time_and_then_removed() {
    let mut world = World::new(2, 15);
    world.submit(1, chain(1));
    world.until("the job completes", ms(5000), |world| {
        world.state(1) == Some(JobState::Completed)
    });
    world.pass(RETENTION - ms(1000));
    assert_eq!(world.state(1), Some(JobState::Completed));
    world.until("the job is removed", ms(3000), |world| {
        world.state(1).is_none()
    });
}
