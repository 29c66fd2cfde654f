//! A small world around the real claims: two nodes, a log that puts commands into one order, and
//! a network that delivers each message any number of times, in any order, or never.
//!
//! A node that does nothing for a while is frozen, and wakes late: every step of a node may come
//! at any later time. One unit of time is [`UNIT`].
//!
//! To keep the number of states down, messages and effects are sets of bits by send and kind, and
//! a node never hears that its settlement was applied. It would only stop repeating it, which the
//! network does anyway.

use std::{collections::BTreeSet, mem::discriminant, time::Duration};

use egretpin::core::{
    claims::{Ask, Claim, Claimant, Command, Effect, Guards, Holder, Input, Output, Table, Terms},
    dispatch::ClaimAnswer,
    types::{NodeId, Now},
};
use pathfinding::prelude::bfs_reach;

const UNIT: Duration = Duration::from_secs(5);

/// What is explored, and what is switched off.
#[derive(Clone, Debug)]
pub(crate) struct Scope {
    /// Keys used; the callers send each at any node.
    pub(crate) keys: u8,
    /// Sends altogether.
    pub(crate) sends: usize,
    pub(crate) crashes: u8,
    /// Changes of leader; the next leader's clock is one unit ahead.
    pub(crate) leaders: u8,
    /// Units of time.
    pub(crate) time: u32,
    /// Units of time that a send may be sent after it arrived.
    pub(crate) window: u32,
    /// Keys that the table has room for.
    pub(crate) room: u32,
    pub(crate) claimed: bool,
    pub(crate) guards: Guards,
    pub(crate) spend: bool,
    pub(crate) owner: bool,
}

/// What the search found.
#[derive(Debug, Default)]
pub(crate) struct Found {
    pub(crate) states: usize,
    /// Some key ran twice.
    pub(crate) twice: bool,
    /// A send ran that was told it was not run.
    pub(crate) lied: bool,
    /// How often sends were told each thing, over all states.
    pub(crate) answers: BTreeSet<Told>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Told {
    Answered,
    NotRun,
    Busy,
    CutOff,
    Full,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Send {
    key: u8,
    holder: Holder,
    /// The node holds the claim and may turn to sending.
    ready: bool,
    ran: bool,
    told: Option<Told>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u32,
    table: Table,
    /// Bits of [`Sent`] by send: what a node has proposed.
    network: Bits,
    /// Stamped by the leader and not yet committed.
    pending: Option<(Duration, usize, u32)>,
    /// Bits of [`ANSWERS`] by send: what its node may hear.
    effects: Bits,
    nodes: [Claimant; 2],
    boots: [u64; 2],
    sends: Vec<Send>,
    crashes: u8,
    leaders: u8,
}

/// A set of small numbers for each send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Bits(u32);

/// The kinds of commands.
const CLAIM: u32 = 0;
const RAN: u32 = 1;
const NOT_RUN: u32 = 2;

/// The answers to a claim, by the number of their bit.
const ANSWERS: [ClaimAnswer; 4] = [
    ClaimAnswer::Granted,
    ClaimAnswer::Busy { after: UNIT },
    ClaimAnswer::Spent,
    ClaimAnswer::Full,
];

impl Scope {
    /// One key, two sends and no failure but the network's; everything protected.
    pub(crate) fn new() -> Self {
        Self {
            keys: 1,
            sends: 2,
            crashes: 0,
            leaders: 0,
            time: 3,
            window: 1,
            room: 2,
            claimed: true,
            guards: Guards::default(),
            spend: true,
            owner: true,
        }
    }

    fn terms(&self) -> Terms {
        let mut terms = Terms::new(UNIT * self.window).keys(self.room);
        terms.run = Duration::ZERO;
        terms.keep = 3 * UNIT;
        terms.protections.spend = self.spend;
        terms.protections.owner = self.owner;
        terms
    }

    /// Until when sends are covered by the promise: leaders' clocks that differ take from it.
    fn horizon(&self) -> Now {
        self.terms().horizon() - UNIT * u32::from(self.leaders)
    }

    fn claimant(&self, node: NodeId, boot: u64) -> Claimant {
        Claimant::new(node, boot).guards(self.guards)
    }

    /// Explores until a violation is found or everything has been seen.
    pub(crate) fn explore(&self) -> Found {
        let mut found = Found::default();
        for state in bfs_reach(self.start(), |state| self.successors(state)) {
            found.states += 1;
            found.lied |= state.sends.iter().any(Send::lied);
            found.twice |= (0..self.keys).any(|key| state.runs(key) > 1);
            found
                .answers
                .extend(state.sends.iter().filter_map(|send| send.told));
            if found.lied || found.twice {
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
            leaders: self.leaders,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        let more = state.sends.len() < self.sends && state.now() < self.horizon();
        if !more && state.sends.iter().all(|send| send.over(&state.boots)) {
            // Nothing can be sent any more.
            return next;
        }
        if state.time < self.time {
            for awake in [[true, true], [true, false], [false, true], [false, false]] {
                next.push(state.but(|next| next.pass(awake)));
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
                next.push(state.but(|next| next.crash(node, self)));
            }
        }
        for place in 0..state.sends.len() {
            next.extend(self.sendings(state, place));
        }
        next.extend(self.log(state));
        for (place, answer) in state.effects.iter() {
            next.push(state.but(|next| next.hear(place, &ANSWERS[answer as usize])));
        }
        next.retain(|next| next != state);
        next
    }

    /// A caller sends a key, early enough for the promise to cover it.
    fn arrivals(&self, state: &State, node: usize) -> Vec<State> {
        // The nodes are alike, and nothing happens before the first send.
        let twin = state.sends.is_empty() && (node > 0 || state.time > 0);
        if twin || state.sends.len() == self.sends || state.now() >= self.horizon() {
            return Vec::new();
        }
        let keys = 0..self.keys;
        keys.map(|key| state.but(|next| next.arrive(node, key, self)))
            .collect()
    }

    /// What may happen to a send that its node turns to.
    fn sendings(&self, state: &State, place: usize) -> Vec<State> {
        let send = &state.sends[place];
        if !send.ready {
            return Vec::new();
        }
        let node = send.holder.node as usize;
        let allowed = state.nodes[node].may_send(state.now(), send.holder.request);
        if self.claimed && !allowed {
            return vec![state.but(|next| next.end(place, Told::NotRun))];
        }
        vec![
            state.but(|next| {
                next.sends[place].ran = true;
                next.sends[place].ready = false;
            }),
            state.but(|next| {
                next.sends[place].ran = true;
                next.end(place, Told::Answered);
            }),
            // The minion refuses before running.
            state.but(|next| next.end(place, Told::NotRun)),
        ]
    }

    /// What may happen in the log.
    fn log(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        if state.pending.is_none() {
            for (place, kind) in state.network.iter() {
                let ahead = UNIT * u32::from(self.leaders - state.leaders);
                let at = state.now() + ahead;
                next.push(state.but(|next| {
                    next.pending = Some((at, place, kind));
                    if self.leaders == 0 {
                        next.commit(&self.terms());
                    }
                }));
            }
            return next;
        }
        next.push(state.but(|next| next.commit(&self.terms())));
        if state.leaders > 0 {
            next.push(state.but(|next| next.leaders -= 1));
            next.push(state.but(|next| {
                next.leaders -= 1;
                next.pending = None;
            }));
        }
        next
    }
}

impl Send {
    /// Whether it can't be sent any more and its caller can't be told anything else.
    fn over(&self, boots: &[u64; 2]) -> bool {
        let dead = self.holder.boot != boots[self.holder.node as usize];
        !self.ready && (self.ran || dead || self.told.is_some())
    }

    fn lied(&self) -> bool {
        let refused = [Told::NotRun, Told::Busy, Told::CutOff, Told::Full];
        self.ran && self.told.is_some_and(|told| refused.contains(&told))
    }
}

impl Bits {
    const KINDS: u32 = 4;

    fn add(&mut self, place: usize, kind: u32) {
        self.0 |= 1 << (place as u32 * Self::KINDS + kind);
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

    fn runs(&self, key: u8) -> usize {
        let own = self.sends.iter().filter(|send| send.key == key && send.ran);
        own.count()
    }

    fn but(&self, change: impl Fn(&mut Self)) -> Self {
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
        self.sends.push(Send {
            key,
            holder,
            ready: !scope.claimed,
            ran: false,
            told: None,
        });
        if scope.claimed {
            let ask = Ask {
                request: holder.request,
                service: "s".into(),
                key: key.to_string().into(),
                window: scope.terms().window,
                patience: UNIT,
            };
            self.feed(node, Input::Ask(ask));
        }
    }

    /// Time passes; a node that isn't awake notices nothing.
    ///
    /// A tick that tells no caller anything is left out: it only proposes again what the network
    /// has, and forgets ended requests, which is as if their late copies were lost.
    fn pass(&mut self, awake: [bool; 2]) {
        self.time += 1;
        for (node, awake) in awake.into_iter().enumerate() {
            let outputs = self.nodes[node].clone().step(self.now(), Input::Tick);
            let tells = |output: &Output| matches!(output, Output::Answer { .. });
            if awake && outputs.iter().any(tells) {
                self.feed(node, Input::Tick);
            }
        }
    }

    fn feed(&mut self, node: usize, input: Input) {
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

    fn hear(&mut self, place: usize, answer: &ClaimAnswer) {
        let holder = self.sends[place].holder;
        let effect = Effect::Claim(answer.clone());
        let input = Input::Applied { holder, effect };
        self.feed(holder.node as usize, input);
    }

    fn answer(&mut self, request: u64, answer: &ClaimAnswer) {
        let send = &mut self.sends[request as usize];
        let told = match answer {
            ClaimAnswer::Granted => {
                send.ready = true;
                return;
            }
            ClaimAnswer::Busy { .. } => Told::Busy,
            ClaimAnswer::Spent => Told::Unknown,
            ClaimAnswer::Full => Told::Full,
            ClaimAnswer::CutOff => Told::CutOff,
        };
        send.told = Some(told);
    }

    fn end(&mut self, place: usize, told: Told) {
        let send = &mut self.sends[place];
        send.told = Some(told);
        send.ready = false;
        let (holder, ran) = (send.holder, send.ran);
        let request = holder.request;
        self.feed(holder.node as usize, Input::Settle { request, ran });
    }

    /// The node's process dies and starts again; its callers hear nothing.
    fn crash(&mut self, node: usize, scope: &Scope) {
        self.crashes -= 1;
        self.boots[node] += 1;
        self.nodes[node] = scope.claimant(node as NodeId, self.boots[node]);
        for send in &mut self.sends {
            send.ready &= send.holder.node as usize != node;
        }
    }

    fn commit(&mut self, terms: &Terms) {
        let Some((at, place, kind)) = self.pending.take() else {
            return;
        };
        let send = &self.sends[place];
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
        self.effects.add(place, bit as u32);
    }
}
