//! A model around the real claims code: two nodes, a log that orders commands, and a network that
//! delivers each message any number of times, in any order, or never.
//!
//! Every step of a node may happen at any later time, which models a process that is paused and
//! resumes late. One unit of time is [`UNIT`].
//!
//! To reduce the number of states, messages and effects are bit sets by send and kind, and a node
//! is never notified that its settlement was applied. It would only stop proposing it again, and
//! the network repeats the proposal anyway.

use std::{collections::BTreeSet, mem::discriminant, time::Duration};

use egretpin::core::{
    claims::{
        Claim, ClaimRequest, Claimant, Command, Effect, Guards, Holder, Input, Output, Table, Terms,
    },
    dispatch::ClaimAnswer,
    types::{NodeId, Now},
};
use pathfinding::prelude::bfs_reach;

const UNIT: Duration = Duration::from_secs(5);

/// The limits of the search, and the safety rules that are on.
#[derive(Clone, Debug)]
pub(crate) struct Scope {
    /// Number of keys; callers send each of them to any node.
    pub(crate) keys: u8,
    /// Number of sends of all keys together.
    pub(crate) sends: usize,
    pub(crate) crashes: u8,
    /// Changes of leader; each next leader's clock is one unit ahead.
    pub(crate) elections: u8,
    /// Units of time to explore.
    pub(crate) time: u32,
    /// Units of time after its arrival in which a send may be sent to a minion.
    pub(crate) window: u32,
    /// Maximum number of keys in the table.
    pub(crate) capacity: u32,
    pub(crate) use_claims: bool,
    pub(crate) guards: Guards,
    pub(crate) spend_stale: bool,
    pub(crate) holder_only: bool,
}

/// The results of the search.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    pub(crate) states: usize,
    /// A key ran twice.
    pub(crate) ran_twice: bool,
    /// A send ran although its caller was told that it didn't run.
    pub(crate) false_refusal: bool,
    /// The outcomes that callers were told in any state.
    pub(crate) outcomes: BTreeSet<Outcome>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Outcome {
    Answered,
    NotRun,
    Busy,
    CutOff,
    Full,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SendRecord {
    key: u8,
    holder: Holder,
    /// The node may send the request: its claim was granted, if claims are used.
    ready: bool,
    ran: bool,
    outcome: Option<Outcome>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u32,
    table: Table,
    /// Kinds of commands by send that a node has proposed.
    network: Bits,
    /// A command with the leader's time that is not yet committed: time, send, kind.
    pending: Option<(Duration, usize, u32)>,
    /// Indexes of [`ANSWERS`] by send that its node may receive.
    effects: Bits,
    nodes: [Claimant; 2],
    boots: [u64; 2],
    sends: Vec<SendRecord>,
    crashes: u8,
    elections: u8,
}

/// A set of small numbers for each send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Bits(u32);

/// Kinds of commands.
const CLAIM: u32 = 0;
const RAN: u32 = 1;
const NOT_RUN: u32 = 2;

/// The answers to a claim; the index is the bit in [`State::effects`].
const ANSWERS: [ClaimAnswer; 4] = [
    ClaimAnswer::Granted,
    ClaimAnswer::Busy { after: UNIT },
    ClaimAnswer::Spent,
    ClaimAnswer::Full,
];

impl Scope {
    /// One key, two sends, only network failures, and all safety rules on.
    pub(crate) fn new() -> Self {
        Self {
            keys: 1,
            sends: 2,
            crashes: 0,
            elections: 0,
            time: 3,
            window: 1,
            capacity: 2,
            use_claims: true,
            guards: Guards::default(),
            spend_stale: true,
            holder_only: true,
        }
    }

    fn terms(&self) -> Terms {
        let mut terms = Terms::new(UNIT * self.window).max_keys(self.capacity);
        terms.max_run = Duration::ZERO;
        terms.retention = 3 * UNIT;
        terms.protections.spend_stale = self.spend_stale;
        terms.protections.holder_only = self.holder_only;
        terms
    }

    /// The time until which the guarantee covers sends. Differences between leaders' clocks shorten
    /// it.
    fn horizon(&self) -> Now {
        self.terms().horizon() - UNIT * u32::from(self.elections)
    }

    fn claimant(&self, node: NodeId, boot: u64) -> Claimant {
        Claimant::new(node, boot).guards(self.guards)
    }

    /// Searches until a violation is found or all states have been visited.
    pub(crate) fn explore(&self) -> Findings {
        let mut found = Findings::default();
        for state in bfs_reach(self.start(), |state| self.successors(state)) {
            found.states += 1;
            found.false_refusal |= state.sends.iter().any(SendRecord::is_false_refusal);
            found.ran_twice |= (0..self.keys).any(|key| state.run_count(key) > 1);
            found
                .outcomes
                .extend(state.sends.iter().filter_map(|send| send.outcome));
            if found.false_refusal || found.ran_twice {
                break;
            }
        }
        found
    }

    fn start(&self) -> State {
        State {
            time: 0,
            table: Table::default(),
            network: Bits::default(),
            pending: None,
            effects: Bits::default(),
            nodes: [0, 1].map(|node| self.claimant(node, 0)),
            boots: [0; 2],
            sends: Vec::new(),
            crashes: self.crashes,
            elections: self.elections,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        let more = state.sends.len() < self.sends && state.now() < self.horizon();
        if !more
            && state
                .sends
                .iter()
                .all(|send| send.is_finished(&state.boots))
        {
            // No send can still run.
            return next;
        }
        if state.time < self.time {
            for awake in [[true, true], [true, false], [false, true], [false, false]] {
                next.push(state.with(|next| next.advance(awake)));
            }
        }
        for node in 0..2 {
            next.extend(self.arrivals(state, node));
            if state.crashes > 0
                && state
                    .sends
                    .iter()
                    .any(|send| send.holder.node == node as NodeId)
            {
                next.push(state.with(|next| next.crash(node, self)));
            }
        }
        for index in 0..state.sends.len() {
            next.extend(self.send_steps(state, index));
        }
        next.extend(self.log_steps(state));
        for (index, answer) in state.effects.iter() {
            next.push(state.with(|next| next.deliver_answer(index, &ANSWERS[answer as usize])));
        }
        next.retain(|next| next != state);
        next
    }

    /// The states after a caller sends a key, early enough to be covered by the guarantee.
    fn arrivals(&self, state: &State, node: usize) -> Vec<State> {
        // The nodes are interchangeable, and nothing happens before the first send.
        let is_symmetric = state.sends.is_empty() && (node > 0 || state.time > 0);
        if is_symmetric || state.sends.len() == self.sends || state.now() >= self.horizon() {
            return Vec::new();
        }
        let keys = 0..self.keys;
        keys.map(|key| state.with(|next| next.arrive(node, key, self)))
            .collect()
    }

    /// The states after a node handles a send that was granted its key.
    fn send_steps(&self, state: &State, index: usize) -> Vec<State> {
        let send = &state.sends[index];
        if !send.ready {
            return Vec::new();
        }
        let node = send.holder.node as usize;
        let allowed = state.nodes[node].may_send(state.now(), send.holder.request);
        if self.use_claims && !allowed {
            return vec![state.with(|next| next.end_send(index, Outcome::NotRun))];
        }
        vec![
            state.with(|next| {
                next.sends[index].ran = true;
                next.sends[index].ready = false;
            }),
            state.with(|next| {
                next.sends[index].ran = true;
                next.end_send(index, Outcome::Answered);
            }),
            // The minion refuses the request before running it.
            state.with(|next| next.end_send(index, Outcome::NotRun)),
        ]
    }

    /// The states after a step of the log.
    fn log_steps(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        if state.pending.is_none() {
            for (index, kind) in state.network.iter() {
                let ahead = UNIT * u32::from(self.elections - state.elections);
                let at = state.now() + ahead;
                next.push(state.with(|next| {
                    next.pending = Some((at, index, kind));
                    if self.elections == 0 {
                        next.commit(&self.terms());
                    }
                }));
            }
            return next;
        }
        next.push(state.with(|next| next.commit(&self.terms())));
        if state.elections > 0 {
            next.push(state.with(|next| next.elections -= 1));
            next.push(state.with(|next| {
                next.elections -= 1;
                next.pending = None;
            }));
        }
        next
    }
}

impl SendRecord {
    /// Whether the send can no longer run or change what its caller is told.
    fn is_finished(&self, boots: &[u64; 2]) -> bool {
        let dead = self.holder.boot != boots[self.holder.node as usize];
        !self.ready && (self.ran || dead || self.outcome.is_some())
    }

    fn is_false_refusal(&self) -> bool {
        let refused = [
            Outcome::NotRun,
            Outcome::Busy,
            Outcome::CutOff,
            Outcome::Full,
        ];
        self.ran
            && self
                .outcome
                .is_some_and(|outcome| refused.contains(&outcome))
    }
}

impl Bits {
    const KINDS: u32 = 4;

    fn add(&mut self, index: usize, kind: u32) {
        self.0 |= 1 << (index as u32 * Self::KINDS + kind);
    }

    fn iter(self) -> impl Iterator<Item = (usize, u32)> {
        let bits = (0..u32::BITS).filter(move |bit| self.0 & (1 << bit) != 0);
        bits.map(|bit| ((bit / Self::KINDS) as usize, bit % Self::KINDS))
    }
}

impl State {
    fn now(&self) -> Now {
        UNIT * self.time
    }

    fn run_count(&self, key: u8) -> usize {
        let own = self.sends.iter().filter(|send| send.key == key && send.ran);
        own.count()
    }

    fn with(&self, change: impl Fn(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn arrive(&mut self, node: usize, key: u8, scope: &Scope) {
        let holder = Holder {
            node: node as NodeId,
            boot: self.boots[node],
            request: self.sends.len() as u64,
        };
        self.sends.push(SendRecord {
            key,
            holder,
            ready: !scope.use_claims,
            ran: false,
            outcome: None,
        });
        if scope.use_claims {
            let claim = ClaimRequest {
                request: holder.request,
                service: "s".into(),
                key: key.to_string().into(),
                window: scope.terms().window,
                answer_timeout: UNIT,
            };
            self.step_node(node, Input::Claim(claim));
        }
    }

    /// Advances time; a node that isn't awake gets no tick.
    ///
    /// A tick that answers no caller is left out. It only proposes commands again that the network
    /// already has, and removes records of ended requests, which equals the loss of late copies.
    fn advance(&mut self, awake: [bool; 2]) {
        self.time += 1;
        for (node, awake) in awake.into_iter().enumerate() {
            let outputs = self.nodes[node].clone().step(self.now(), Input::Tick);
            let answers_caller = |output: &Output| matches!(output, Output::Answer { .. });
            if awake && outputs.iter().any(answers_caller) {
                self.step_node(node, Input::Tick);
            }
        }
    }

    fn step_node(&mut self, node: usize, input: Input) {
        let now = self.now();
        for output in self.nodes[node].step(now, input) {
            match output {
                Output::Propose(Command::Claim(claim)) => self.propose(&claim, CLAIM),
                Output::Propose(Command::Settle { claim, ran: true }) => self.propose(&claim, RAN),
                Output::Propose(Command::Settle { claim, .. }) => self.propose(&claim, NOT_RUN),
                Output::Answer { request, answer } => self.answer(request, &answer),
            }
        }
    }

    fn propose(&mut self, claim: &Claim, kind: u32) {
        self.network.add(claim.holder.request as usize, kind);
    }

    fn deliver_answer(&mut self, index: usize, answer: &ClaimAnswer) {
        let holder = self.sends[index].holder;
        let effect = Effect::Claim(answer.clone());
        let input = Input::Applied { holder, effect };
        self.step_node(holder.node as usize, input);
    }

    fn answer(&mut self, request: u64, answer: &ClaimAnswer) {
        let send = &mut self.sends[request as usize];
        let outcome = match answer {
            ClaimAnswer::Granted => {
                send.ready = true;
                return;
            }
            ClaimAnswer::Busy { .. } => Outcome::Busy,
            ClaimAnswer::Spent => Outcome::Unknown,
            ClaimAnswer::Full => Outcome::Full,
            ClaimAnswer::CutOff => Outcome::CutOff,
        };
        send.outcome = Some(outcome);
    }

    fn end_send(&mut self, index: usize, outcome: Outcome) {
        let send = &mut self.sends[index];
        send.outcome = Some(outcome);
        send.ready = false;
        let (holder, ran) = (send.holder, send.ran);
        let request = holder.request;
        self.step_node(holder.node as usize, Input::Settle { request, ran });
    }

    /// The node's process crashes and restarts; its callers get no answer.
    fn crash(&mut self, node: usize, scope: &Scope) {
        self.crashes -= 1;
        self.boots[node] += 1;
        self.nodes[node] = scope.claimant(node as NodeId, self.boots[node]);
        for send in &mut self.sends {
            send.ready &= send.holder.node as usize != node;
        }
    }

    fn commit(&mut self, terms: &Terms) {
        let Some((at, index, kind)) = self.pending.take() else {
            return;
        };
        let send = &self.sends[index];
        let claim = Claim {
            holder: send.holder,
            service: "s".into(),
            key: send.key.to_string().into(),
        };
        if kind != CLAIM {
            return self.table.settle(at, terms, &claim, kind == RAN);
        }
        let answer = self.table.claim(at, terms, &claim);
        let same = |known: &&ClaimAnswer| discriminant(*known) == discriminant(&answer);
        let bit = ANSWERS.iter().take_while(|known| !same(known)).count();
        self.effects.add(index, bit as u32);
    }
}
