//! A model of how failed attempts of a gang are counted: members that fail in any order and batching, ends that
//! arrive after their attempt was given up, ends that arrive twice, and replicas that restart from snapshots.

use std::{collections::BTreeSet, time::Duration};

use ciborium::Value;
use egretpin::core::workload::{
    command::{Command, EndBatch, Ending, Placement, ReportedEnd, Round, Submission},
    job::{StepId, TaskId},
    ledger::Ledger,
    spec::{JobSpec, StepSpec},
    step::Step,
};
use proptest::{prelude::*, test_runner::RngSeed};

use super::ledger::record;

const JOB: u64 = 7;
const MEMBERS: u32 = 3;
const STEP: StepId = StepId {
    job: JOB,
    occurrence: 0,
    step: 0,
};

/// What happens to the members of the gang's current attempt, or to the replica.
#[derive(Clone, Debug)]
enum Event {
    /// A member ends, and reports it.
    End(u32, Ending),
    /// A member is given up. It has ended, and its end is reported later.
    GiveUp(u32, Ending),
    /// All ends that weren't reported so far are.
    ReportLate,
    /// The last end is reported again, by the next incarnation of its agent.
    Repeat,
    /// The replica restarts from a snapshot.
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    let how = prop_oneof![
        3 => Just(Ending::Failed),
        1 => Just(Ending::Broken),
        1 => Just(Ending::Lapsed),
    ];
    prop_oneof![
        6 => (0..MEMBERS, how.clone()).prop_map(|(member, how)| Event::End(member, how)),
        2 => (0..MEMBERS, how).prop_map(|(member, how)| Event::GiveUp(member, how)),
        1 => Just(Event::ReportLate),
        1 => Just(Event::Repeat),
        1 => Just(Event::Restart),
    ]
}

/// A replica, beside what it should count.
struct Model {
    ledger: Ledger,
    index: u64,
    attempt: u32,
    /// The members of the current attempt that haven't ended.
    running: BTreeSet<u32>,
    late: Vec<(u32, u32, Ending)>,
    last: Option<(u32, u32, Ending)>,
    numbers: u64,
    /// The attempts of which the end of a member as failed was reported.
    failed: BTreeSet<u32>,
}

impl Model {
    fn new() -> Self {
        let mut spec = StepSpec::new(MEMBERS, Duration::from_secs(1));
        spec.gang = true;
        let mut model = Self {
            ledger: Ledger::default(),
            index: 0,
            attempt: 0,
            running: BTreeSet::new(),
            late: Vec::new(),
            last: None,
            numbers: 0,
            failed: BTreeSet::new(),
        };
        (0..MEMBERS).for_each(|member| model.register(&agent(member)));
        model.apply(&Command::Submit(Box::new(Submission {
            job: JOB,
            queue: "queue".into(),
            pool: "pool".into(),
            workspace: None,
            terms: None,
            spec: JobSpec::new("x", vec![spec]),
            accepted_at: Duration::ZERO,
        })));
        model.place();
        model
    }

    fn apply(&mut self, command: &Command) {
        self.index += 1;
        self.ledger.apply(self.index, command);
    }

    fn register(&mut self, agent: &str) {
        self.apply(&Command::Agent(Box::new(record(agent))));
    }

    /// Places the next attempt, as all members of the last one have ended or were given up.
    fn place(&mut self) {
        self.attempt += 1;
        self.running = (0..MEMBERS).collect();
        let starts = (0..MEMBERS).map(|member| placed(member, self.attempt));
        let starts = starts.collect();
        self.apply(&Command::Round(Round {
            starts,
            ..Round::default()
        }));
    }

    fn report(&mut self, (member, attempt, how): (u32, u32, Ending)) {
        self.numbers += 1;
        let end = ReportedEnd {
            task: task(member),
            attempt,
            how,
            checkpoint: None,
        };
        let ends = EndBatch {
            agent: agent(member).into(),
            through: self.numbers,
            ends: vec![end],
        };
        self.apply(&Command::Round(Round {
            ends: vec![ends],
            ..Round::default()
        }));
        self.last = Some((member, attempt, how));
        if how == Ending::Failed {
            self.failed.insert(attempt);
        }
    }

    fn happen(&mut self, event: &Event) {
        match event {
            Event::End(member, how) if self.running.remove(member) => {
                self.report((*member, self.attempt, *how));
            }
            Event::GiveUp(member, how) if self.running.remove(member) => {
                self.apply(&Command::Round(Round {
                    freed: vec![placed(*member, self.attempt)],
                    ..Round::default()
                }));
                self.late.push((*member, self.attempt, *how));
            }
            Event::End(..) | Event::GiveUp(..) => {}
            Event::ReportLate => {
                let late = std::mem::take(&mut self.late);
                late.into_iter().for_each(|end| self.report(end));
            }
            Event::Repeat => {
                if let Some(end) = self.last {
                    self.report(end);
                }
            }
            Event::Restart => {
                self.ledger = Ledger::from_snapshot(&self.ledger.snapshot()).unwrap();
            }
        }
        if self.running.is_empty() {
            self.place();
        }
    }

    fn step(&self) -> &Step {
        self.ledger.job(JOB).unwrap().step(STEP).unwrap()
    }

    /// How many attempts count as failed.
    fn counted(&self) -> usize {
        usize::try_from(self.step().failed_gang_attempts([])).unwrap()
    }

    /// The failures of all members, which earlier releases took for the gang's.
    fn member_failures(&self) -> Vec<u32> {
        self.step()
            .records()
            .map(|(_, task)| task.failures)
            .collect()
    }

    /// Replaces the replica by one that restarts from the snapshot of an earlier release.
    fn restart_from_earlier_release(&mut self) {
        let snapshot = self.ledger.snapshot();
        let mut value: Value = ciborium::from_reader(&snapshot[..]).unwrap();
        remove_field(&mut value, "failed_attempts");
        let mut bytes = Vec::new();
        ciborium::into_writer(&value, &mut bytes).unwrap();
        self.ledger = Ledger::from_snapshot(&bytes).unwrap();
    }
}

fn agent(member: u32) -> String {
    format!("agent-{member}")
}

fn task(task: u32) -> TaskId {
    TaskId { step: STEP, task }
}

fn placed(member: u32, attempt: u32) -> Placement {
    Placement {
        task: task(member),
        attempt,
        agent: agent(member).into(),
    }
}

fn remove_field(value: &mut Value, name: &str) {
    match value {
        Value::Map(fields) => {
            fields.retain(|(key, _)| key.as_text() != Some(name));
            fields
                .iter_mut()
                .for_each(|(_, value)| remove_field(value, name));
        }
        Value::Array(values) => values
            .iter_mut()
            .for_each(|value| remove_field(value, name)),
        _ => {}
    }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(cases)
    }
}

proptest! {
    #![proptest_config(config(400))]

    /// An attempt counted once for each member that failed in it, and an end that arrived late was lost.
    #[test]
    fn an_attempt_has_failed_once_if_any_member_failed_in_it(
        events in prop::collection::vec(event(), 0..60),
    ) {
        let mut model = Model::new();
        for event in &events {
            model.happen(event);
            prop_assert_eq!(model.counted(), model.failed.len());
        }
    }

    /// The snapshot of an earlier release doesn't tell which attempts failed. A gang must neither fail early
    /// because of that, nor a member run after it has failed as often as it may.
    #[test]
    fn a_snapshot_of_an_earlier_release_counts_no_attempt_that_did_not_fail(
        before in prop::collection::vec(event(), 0..40),
        after in prop::collection::vec(event(), 0..40),
    ) {
        let mut model = Model::new();
        before.iter().for_each(|event| model.happen(event));
        model.restart_from_earlier_release();
        let (counted, attempt) = (model.counted(), model.attempt);
        for event in &after {
            model.happen(event);
            let most = model.member_failures().into_iter().max().unwrap_or_default();
            prop_assert!(model.counted() <= model.failed.len());
            prop_assert!(model.counted() >= usize::try_from(most).unwrap());
            let later = model.failed.range(attempt + 1..).count();
            prop_assert!(model.counted() >= counted + later);
        }
    }
}

/// The model tells the rule from the sum of its members' failures.
#[test]
fn the_sum_of_the_failures_of_members_is_another_number() {
    let mut model = Model::new();
    model.happen(&Event::End(0, Ending::Failed));
    model.happen(&Event::End(1, Ending::Failed));
    model.happen(&Event::End(2, Ending::Broken));
    let sum: u32 = model.member_failures().iter().sum();
    assert_eq!((model.counted(), model.failed.len(), sum), (1, 1, 2));
}

/// Members that fail in different attempts make as many failed attempts of the gang.
#[test]
fn members_that_fail_in_different_attempts_count_each_time() {
    let mut model = Model::new();
    for failing in 0..MEMBERS {
        for member in 0..MEMBERS {
            let how = if member == failing {
                Ending::Failed
            } else {
                Ending::Broken
            };
            model.happen(&Event::End(member, how));
        }
    }
    assert_eq!(model.counted(), 3);
}
