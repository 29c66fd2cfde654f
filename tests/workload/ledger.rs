//! The replicated state machine of jobs and agents, under commands in any order.

use std::time::Duration;

use egretpin::core::{
    types::Resources,
    workload::{
        command::{
            AgentRecord, CatalogText, Command, Document, EndBatch, Ending, Placement, ReportedEnd,
            Round, Submission,
        },
        job::{JobState, StepId, TaskId},
        ledger::{Change, Ledger},
        spec::{JobSpec, StepSpec},
    },
};

const JOB: u64 = 7;

struct World {
    ledger: Ledger,
    index: u64,
}

impl World {
    /// A job whose second step of one task depends on a first step of two, and two agents.
    fn new() -> Self {
        let mut last = StepSpec::new(1, Duration::from_secs(1));
        last.after = vec![0];
        let steps = vec![StepSpec::new(2, Duration::from_secs(1)), last];
        Self::with(JobSpec::new("x", steps))
    }

    fn with(spec: JobSpec) -> Self {
        let ledger = Ledger::default();
        let mut world = Self { ledger, index: 0 };
        for agent in ["a", "b"] {
            world.register(agent);
        }
        world.apply(&Command::Submit(Box::new(Submission {
            job: JOB,
            queue: "queue".into(),
            pool: "pool".into(),
            workspace: None,
            terms: None,
            spec,
            accepted_at: Duration::ZERO,
        })));
        world
    }

    fn apply(&mut self, command: &Command) -> Vec<Change> {
        self.index += 1;
        self.ledger.apply(self.index, command)
    }

    fn register(&mut self, agent: &str) -> Vec<Change> {
        self.apply(&Command::Agent(Box::new(record(agent))))
    }

    fn start(&mut self, task: TaskId, attempt: u32, agent: &str) -> Vec<Change> {
        let starts = vec![placed(task, attempt, agent)];
        self.apply(&Command::Round(Round {
            starts,
            ..Round::default()
        }))
    }

    fn end(
        &mut self,
        agent: &str,
        through: u64,
        task: TaskId,
        attempt: u32,
        how: Ending,
    ) -> Vec<Change> {
        let end = ReportedEnd {
            task,
            attempt,
            how,
            checkpoint: None,
        };
        let ends = EndBatch {
            agent: agent.into(),
            through,
            ends: vec![end],
        };
        self.apply(&Command::Round(Round {
            ends: vec![ends],
            ..Round::default()
        }))
    }

    fn state(&self) -> JobState {
        self.ledger.job(JOB).unwrap().state
    }
}

/// The record of an agent without resources.
pub(crate) fn record(agent: &str) -> AgentRecord {
    AgentRecord {
        id: agent.into(),
        name: agent.into(),
        pool: "pool".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "west".into(),
        labels: Vec::new(),
        capacity: Resources::default(),
        leaving: false,
        acked: 0,
        sequence: 0,
    }
}

#[test]
fn an_attempt_whose_task_an_earlier_one_did_is_redundant() {
    let mut world = World::new();
    world.start(task(0, 0), 1, "a");
    // Its agent is partitioned until the lease has expired.
    world.apply(&Command::Round(Round {
        freed: vec![placed(task(0, 0), 1, "a")],
        ..Round::default()
    }));
    world.start(task(0, 0), 2, "b");
    let changes = world.end("a", 1, task(0, 0), 1, Ending::Done);
    let redundant = Change::Redundant(placed(task(0, 0), 2, "b"));
    assert!(changes.contains(&redundant), "{changes:?}");
    // Its own end doesn't report it as redundant again.
    let changes = world.end("b", 1, task(0, 0), 2, Ending::Stopped);
    assert!(!changes.contains(&redundant), "{changes:?}");
}

fn task(step: u16, task: u32) -> TaskId {
    let step = StepId {
        job: JOB,
        occurrence: 0,
        step,
    };
    TaskId { step, task }
}

fn placed(task: TaskId, attempt: u32, agent: &str) -> Placement {
    Placement {
        task,
        attempt,
        agent: agent.into(),
    }
}

#[test]
fn a_job_runs_through_its_steps_to_its_end() {
    let mut world = World::new();
    assert_eq!(world.ledger.pending("queue"), 1);
    world.start(task(0, 0), 1, "a");
    assert_eq!(
        (world.state(), world.ledger.pending("queue")),
        (JobState::Running, 0)
    );
    world.start(task(0, 1), 1, "b");
    world.end("a", 1, task(0, 0), 1, Ending::Done);
    let changes = world.end("b", 1, task(0, 1), 1, Ending::Done);
    assert!(
        changes.contains(&Change::StepReady(task(1, 0).step)),
        "{changes:?}"
    );
    world.start(task(1, 0), 1, "a");
    let changes = world.end("a", 2, task(1, 0), 1, Ending::Done);
    assert!(changes.contains(&Change::JobEnded(JOB)), "{changes:?}");
    assert_eq!(world.state(), JobState::Completed);
}

#[test]
fn a_reported_end_is_applied_once() {
    let mut world = World::new();
    world.start(task(0, 0), 1, "a");
    world.end("a", 1, task(0, 0), 1, Ending::Failed);
    assert!(world.end("a", 1, task(0, 0), 1, Ending::Failed).is_empty());
    let job = world.ledger.job(JOB).unwrap();
    assert_eq!(job.task(task(0, 0)).unwrap().failures, 1);
}

#[test]
fn the_end_of_a_superseded_attempt_leaves_the_new_placement() {
    let mut world = World::new();
    world.start(task(0, 0), 1, "a");
    world.start(task(0, 0), 2, "b");
    world.end("a", 1, task(0, 0), 1, Ending::Stopped);
    let job = world.ledger.job(JOB).unwrap();
    assert_eq!(job.task(task(0, 0)).unwrap().agent.as_deref(), Some("b"));
}

#[test]
fn a_task_that_is_done_is_never_placed_again() {
    let mut world = World::new();
    world.start(task(0, 0), 1, "a");
    world.end("a", 1, task(0, 0), 1, Ending::Done);
    assert!(world.start(task(0, 0), 2, "b").is_empty());
    assert!(
        world
            .start(task(0, 1), 1, "b")
            .contains(&Change::Placed(placed(task(0, 1), 1, "b")))
    );
    assert!(
        world.start(task(0, 1), 1, "a").is_empty(),
        "an attempt's number is never used again"
    );
}

#[test]
fn tasks_of_a_terminated_agent_need_another_attempt() {
    let mut world = World::new();
    world.start(task(0, 0), 1, "a");
    let changes = world.apply(&Command::Terminated("a".into()));
    let unplaced = Change::Unplaced {
        placed: placed(task(0, 0), 1, "a"),
        retry: true,
    };
    assert_eq!(changes, [unplaced, Change::Terminated("a".into())]);
    assert!(world.end("a", 1, task(0, 0), 1, Ending::Done).is_empty());
}

#[test]
fn a_cancelled_job_places_and_retries_nothing() {
    let mut world = World::new();
    world.start(task(0, 0), 1, "a");
    assert_eq!(world.apply(&Command::Cancel(JOB)), [Change::JobEnded(JOB)]);
    assert!(world.start(task(0, 1), 1, "b").is_empty());
    let changes = world.end("a", 1, task(0, 0), 1, Ending::Stopped);
    assert!(
        changes.contains(&Change::Unplaced {
            placed: placed(task(0, 0), 1, "a"),
            retry: false
        }),
        "{changes:?}"
    );
    assert_eq!(world.state(), JobState::Cancelled);
}

#[test]
fn a_long_running_task_is_never_done() {
    let mut step = StepSpec::new(1, Duration::from_secs(1));
    step.long_running = true;
    let mut world = World::with(JobSpec::new("x", vec![step]));
    world.start(task(0, 0), 1, "a");
    let changes = world.end("a", 1, task(0, 0), 1, Ending::Done);
    assert!(
        changes.contains(&Change::Unplaced {
            placed: placed(task(0, 0), 1, "a"),
            retry: true
        }),
        "{changes:?}"
    );
    assert_eq!(world.state(), JobState::Running);
}

#[test]
fn a_done_task_completes_its_whole_gang() {
    let mut step = StepSpec::new(3, Duration::from_secs(1));
    step.gang = true;
    let mut world = World::with(JobSpec::new("x", vec![step]));
    for (ix, agent) in [(0, "a"), (1, "b"), (2, "a")] {
        world.start(task(0, ix), 1, agent);
    }
    world.end("b", 1, task(0, 1), 1, Ending::Done);
    assert_eq!(world.state(), JobState::Completed);
}

#[test]
fn only_a_higher_catalog_version_takes_effect() {
    let mut world = World::new();
    let document = |version, text: &'static [u8]| {
        Command::Declare(Document {
            version,
            text: CatalogText(text.into()),
        })
    };
    assert_eq!(world.apply(&document(5, b"five")), [Change::Declared]);
    assert!(world.apply(&document(5, b"other")).is_empty());
    assert!(world.apply(&document(4, b"four")).is_empty());
    assert_eq!(world.ledger.document().unwrap().text.0, "five");
}

#[test]
fn a_snapshot_restores_the_state() {
    let mut world = World::new();
    world.start(task(0, 0), 1, "a");
    world.end("a", 1, task(0, 0), 1, Ending::Failed);
    world.start(task(0, 0), 2, "b");
    let restored = Ledger::from_snapshot(&world.ledger.snapshot()).unwrap();
    assert_eq!(
        restored.placed(&"b".into()).collect::<Vec<_>>(),
        [task(0, 0)]
    );
    assert_eq!(restored.job(JOB), world.ledger.job(JOB));
    assert_eq!(restored.applied(), world.ledger.applied());
}

/// The record that a heartbeat of the agent `a` reports.
fn heartbeat(sequence: u64, label: &str) -> AgentRecord {
    AgentRecord {
        labels: vec![label.into()],
        sequence,
        ..record("a")
    }
}

#[test]
fn an_older_heartbeat_changes_nothing() {
    let mut world = World::new();
    world.apply(&Command::Agent(Box::new(heartbeat(7, "new"))));
    world.ledger = Ledger::from_snapshot(&world.ledger.snapshot()).unwrap();
    let older = Command::Agent(Box::new(heartbeat(6, "old")));
    assert!(world.apply(&older).is_empty());
    assert_eq!(world.ledger.agent(&"a".into()), Some(&heartbeat(7, "new")));
}

#[test]
fn an_incarnation_terminated_by_mistake_is_registered_by_its_next_heartbeat() {
    let mut world = World::new();
    world.apply(&Command::Agent(Box::new(heartbeat(7, "old"))));
    world.apply(&Command::Terminated("a".into()));
    let register = |world: &mut World, sequence| {
        world.apply(&Command::Agent(Box::new(heartbeat(sequence, "old"))))
    };
    assert!(
        register(&mut world, 7).is_empty(),
        "a heartbeat from before the end is stale"
    );
    assert_eq!(register(&mut world, 8), [Change::Agent("a".into())]);
    world.apply(&Command::Terminated("a".into()));
    assert!(register(&mut world, 8).is_empty());
}

#[test]
fn a_late_heartbeat_of_a_terminated_incarnation_does_not_register_it() {
    let mut world = World::new();
    world.apply(&Command::Terminated("a".into()));
    // The end of an incarnation may also be committed before its first heartbeat.
    world.apply(&Command::Terminated("c".into()));
    world.ledger = Ledger::from_snapshot(&world.ledger.snapshot()).unwrap();
    for agent in ["a", "c"] {
        assert!(world.register(agent).is_empty());
        assert!(world.ledger.agent(&agent.into()).is_none());
    }
    assert_eq!(world.register("d"), [Change::Agent("d".into())]);
}

#[test]
fn terminated_incarnations_take_bounded_space() {
    let mut world = World::new();
    let id = |number: u32| format!("i-{number:08x}");
    for number in 0..10_000 {
        world.apply(&Command::Terminated(id(number).as_str().into()));
    }
    let size = world.ledger.snapshot().len();
    assert!(size < 100_000, "{size} bytes");
    assert!(world.register(&id(9999)).is_empty());
    assert!(world.register(&id(9999 - 4000)).is_empty());
}

/// Snapshots of earlier releases contain neither terminated incarnations nor the numbers of heartbeats.
#[test]
fn a_snapshot_of_an_earlier_release_is_read() {
    use ciborium::Value;

    fn without(value: &mut Value, names: &[&str]) {
        let Value::Map(fields) = value else { return };
        fields.retain(|(name, _)| name.as_text().is_none_or(|name| !names.contains(&name)));
        fields
            .iter_mut()
            .for_each(|(_, field)| without(field, names));
    }
    let mut world = World::new();
    world.apply(&Command::Terminated("b".into()));
    let mut snapshot: Value = ciborium::from_reader(&*world.ledger.snapshot()).unwrap();
    without(&mut snapshot, &["over", "sequence"]);
    let mut bytes = Vec::new();
    ciborium::into_writer(&snapshot, &mut bytes).unwrap();
    let ledger = Ledger::from_snapshot(&bytes).unwrap();
    assert_eq!(ledger.agent(&"a".into()), world.ledger.agent(&"a".into()));
    assert!(ledger.agent(&"b".into()).is_none());
}
