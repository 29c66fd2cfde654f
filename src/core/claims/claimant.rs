//! A node's side of the claims.
//!
//! For each keyed request the node proposes a claim, receives the answer, sends the request if it
//! may, and settles the claim. It proposes every command again until the command has been applied;
//! the table's operations are idempotent. It keeps a record of an ended request for a while,
//! because a late copy of its claim may still be committed: the key would then be held by a
//! request that has ended, and the node settles it again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::core::{
    dispatch::{ClaimAnswer, RequestId},
    types::{Key, NodeId, Now, ServiceId},
};

use super::{Claim, ClaimRequest, Command, Effect, Holder, Input, Output};

/// Delay until a command that has not been applied is proposed again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum of the exponential backoff for settlements, which avoids a burst of them when a network
/// partition heals.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);
/// Number of records above which records of ended requests are removed early.
const MAX_RECORDS: usize = 20_000;
/// How long a settlement is retried; after that the key becomes spent by its age.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long the record of a settled request is kept for late copies of its claim.
const SETTLED_RETENTION: Duration = Duration::from_secs(10);

/// Safety checks of a claimant. All are on in production; tests switch one off to show which
/// failure it prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A claim is used only before the send deadline; if off, at any time.
    pub send_deadline: bool,
    /// A request that was answered [`ClaimAnswer::CutOff`] never uses its claim; if off, it does
    /// when the claim is granted later.
    pub abandon: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            send_deadline: true,
            abandon: true,
        }
    }
}

/// All keyed requests of one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claimant {
    node: NodeId,
    boot: u64,
    records: BTreeMap<RequestId, Record>,
    timers: BTreeSet<(Now, RequestId)>,
    guards: Guards,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record {
    service: ServiceId,
    key: Key,
    /// The request may be sent only before this time, by this node's clock.
    send_deadline: Now,
    stage: Stage,
    /// Delay until the settlement is proposed again.
    retry_delay: Duration,
    timer: Option<Now>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Claiming { until: Now },
    Granted,
    Settling { ran: bool, until: Now },
    Settled { ran: bool, until: Now },
}

impl Claimant {
    /// Creates the claimant of a node. `boot` must grow with each start of the node's process:
    /// processes with equal numbers could use each other's claims.
    pub fn new(node: NodeId, boot: u64) -> Self {
        Self {
            node,
            boot,
            records: BTreeMap::new(),
            timers: BTreeSet::new(),
            guards: Guards::default(),
        }
    }

    /// Sets the safety checks, for tests.
    #[must_use]
    pub fn guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// Handles an event.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Output> {
        match input {
            Input::Claim(claim) => self.claim(now, claim),
            Input::Applied { holder, effect } => self.handle_applied(now, holder, effect),
            Input::Settle { request, ran } => self.settle(now, request, ran),
            Input::Tick => self.tick(now),
        }
    }

    /// Whether a request may be sent now.
    ///
    /// Call this with a fresh clock reading directly before the first send and before every retry:
    /// the answer may change during a wait. If it is `false`, don't run the request, and settle it
    /// as not run.
    pub fn may_send(&self, now: Now, request: RequestId) -> bool {
        self.records.get(&request).is_some_and(|record| {
            let in_time = now < record.send_deadline || !self.guards.send_deadline;
            record.stage == Stage::Granted && in_time
        })
    }

    /// Number of recorded requests, including ended ones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn claim(&mut self, now: Now, claim: ClaimRequest) -> Vec<Output> {
        let record = Record {
            service: claim.service,
            key: claim.key,
            send_deadline: now.saturating_add(claim.window),
            stage: Stage::Claiming {
                until: now.saturating_add(claim.answer_timeout.min(claim.window)),
            },
            retry_delay: RETRY_DELAY,
            timer: None,
        };
        self.records.insert(claim.request, record);
        self.evict_ended();
        self.set_timer(now, claim.request);
        self.propose_claim(claim.request)
    }

    fn handle_applied(&mut self, now: Now, holder: Holder, effect: Effect) -> Vec<Output> {
        if holder.node != self.node || holder.boot != self.boot {
            return Vec::new();
        }
        match effect {
            Effect::Claim(answer) => self.handle_answer(now, holder.request, answer),
            Effect::Settle => {
                self.confirm_settlement(now, holder.request);
                Vec::new()
            }
        }
    }

    fn handle_answer(&mut self, now: Now, request: RequestId, answer: ClaimAnswer) -> Vec<Output> {
        let Some(record) = self.records.get_mut(&request) else {
            return Vec::new();
        };
        let granted = answer == ClaimAnswer::Granted;
        let late = self.guards.send_deadline && now >= record.send_deadline;
        match record.stage {
            Stage::Claiming { .. } if granted && late => self.abandon(now, request),
            Stage::Claiming { .. } => {
                record.stage = if granted {
                    Stage::Granted
                } else {
                    settled_stage(now, false)
                };
                self.set_timer(now, request);
                vec![Output::Answer { request, answer }]
            }
            Stage::Granted => Vec::new(),
            // A late copy of the claim was committed after the request had ended.
            Stage::Settling { ran, .. } | Stage::Settled { ran, .. } if granted => {
                self.start_settling(now, request, ran)
            }
            Stage::Settling { .. } | Stage::Settled { .. } => Vec::new(),
        }
    }

    fn confirm_settlement(&mut self, now: Now, request: RequestId) {
        let Some(record) = self.records.get_mut(&request) else {
            return;
        };
        if let Stage::Settling { ran, .. } = record.stage {
            record.stage = settled_stage(now, ran);
            self.set_timer(now, request);
        }
    }

    fn settle(&mut self, now: Now, request: RequestId, ran: bool) -> Vec<Output> {
        match self.records.get(&request).map(|record| &record.stage) {
            Some(Stage::Claiming { .. } | Stage::Granted) => self.start_settling(now, request, ran),
            _ => Vec::new(),
        }
    }

    fn tick(&mut self, now: Now) -> Vec<Output> {
        let mut outputs = Vec::new();
        while let Some(&(due, request)) = self.timers.first() {
            if due > now {
                break;
            }
            outputs.append(&mut self.handle_timer(now, request));
        }
        outputs
    }

    fn handle_timer(&mut self, now: Now, request: RequestId) -> Vec<Output> {
        let stage = self
            .records
            .get(&request)
            .map(|record| record.stage.clone());
        match stage {
            Some(Stage::Claiming { until }) if until > now => {
                self.set_timer(now, request);
                self.propose_claim(request)
            }
            Some(Stage::Claiming { .. }) => self.abandon(now, request),
            Some(Stage::Settling { ran, until }) if until > now => {
                self.back_off(request);
                self.set_timer(now, request);
                self.propose_settlement(request, ran)
            }
            _ => {
                self.forget(request);
                Vec::new()
            }
        }
    }

    /// Abandons a claim. Its request was never sent and never will be.
    fn abandon(&mut self, now: Now, request: RequestId) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.guards.abandon {
            outputs = self.start_settling(now, request, false);
        } else if let Some(record) = self.records.get_mut(&request) {
            record.stage = Stage::Claiming { until: Now::MAX };
            self.set_timer(now, request);
        }
        outputs.push(Output::Answer {
            request,
            answer: ClaimAnswer::CutOff,
        });
        outputs
    }

    fn start_settling(&mut self, now: Now, request: RequestId, ran: bool) -> Vec<Output> {
        if let Some(record) = self.records.get_mut(&request) {
            let until = now.saturating_add(SETTLE_TIMEOUT);
            record.stage = Stage::Settling { ran, until };
            record.retry_delay = RETRY_DELAY;
        }
        self.set_timer(now, request);
        self.propose_settlement(request, ran)
    }

    /// Sets the timer for the request's stage.
    fn set_timer(&mut self, now: Now, request: RequestId) {
        let Some(record) = self.records.get_mut(&request) else {
            return;
        };
        let due = match record.stage {
            Stage::Claiming { until } => Some(until.min(now.saturating_add(RETRY_DELAY))),
            Stage::Granted => None,
            Stage::Settling { .. } => Some(now.saturating_add(record.retry_delay)),
            Stage::Settled { until, .. } => Some(until),
        };
        if let Some(old) = record.timer {
            self.timers.remove(&(old, request));
        }
        record.timer = due;
        if let Some(due) = due {
            self.timers.insert((due, request));
        }
    }

    fn back_off(&mut self, request: RequestId) {
        if let Some(record) = self.records.get_mut(&request) {
            record.retry_delay = (record.retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    fn forget(&mut self, request: RequestId) {
        let record = self.records.remove(&request);
        if let Some(due) = record.and_then(|record| record.timer) {
            self.timers.remove(&(due, request));
        }
    }

    fn propose_claim(&self, request: RequestId) -> Vec<Output> {
        let claim = self.claim_of(request);
        let command = claim.map(|claim| Output::Propose(Command::Claim(claim)));
        command.into_iter().collect()
    }

    fn propose_settlement(&self, request: RequestId, ran: bool) -> Vec<Output> {
        let claim = self.claim_of(request);
        let command = claim.map(|claim| Output::Propose(Command::Settle { claim, ran }));
        command.into_iter().collect()
    }

    fn claim_of(&self, request: RequestId) -> Option<Claim> {
        let record = self.records.get(&request)?;
        let holder = Holder {
            node: self.node,
            boot: self.boot,
            request,
        };
        Some(Claim {
            holder,
            service: record.service.clone(),
            key: record.key.clone(),
        })
    }

    /// Limits memory when requests end faster than their settlements are applied. A key whose
    /// settlement is dropped becomes spent by its age.
    fn evict_ended(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let mut ended = self.records.iter().filter(|(_, record)| record.has_ended());
        let oldest = ended.next().map(|(request, _)| *request);
        if let Some(request) = oldest {
            self.forget(request);
        }
    }
}

impl Record {
    fn has_ended(&self) -> bool {
        matches!(self.stage, Stage::Settling { .. } | Stage::Settled { .. })
    }
}

fn settled_stage(now: Now, ran: bool) -> Stage {
    let until = now.saturating_add(SETTLED_RETENTION);
    Stage::Settled { ran, until }
}
