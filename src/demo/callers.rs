//! Load in every data centre, behind a balancer that asks entry hosts whether they are ready.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use super::{
    cluster::{CENTRES, Network, nodes_of},
    operators,
    tally::Requests,
};
use crate::standin::caller::{self, Load};

/// How often the balancer asks who is ready; requests between two looks go to the same hosts.
const CHECK: Duration = Duration::from_millis(400);
/// The pause between two looks at whether a phase's requests have ended.
const PAUSE: Duration = Duration::from_millis(10);
/// Bytes of a body.
const SIZE: usize = 200;

/// What goes on while requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// Nothing that a phase of its own is for.
    Calm,
    /// A wave.
    Wave,
    /// A minion was killed.
    Kill,
    /// An entry host stops.
    Stop,
    /// A data centre is cut off.
    Cut,
}

/// What is sent in each data centre.
#[derive(Clone, Copy, Debug)]
struct Kind {
    service: &'static str,
    keyed: bool,
    /// Requests a second.
    rate: u32,
}

const KINDS: [Kind; 3] = [
    Kind {
        service: "soil",
        keyed: false,
        rate: 40,
    },
    Kind {
        service: "alerts",
        keyed: true,
        rate: 20,
    },
    Kind {
        service: "accounts",
        keyed: false,
        rate: 20,
    },
];

/// Requests that belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Class {
    /// When they were sent.
    pub(super) phase: Phase,
    /// Where.
    pub(super) data_centre: &'static str,
    /// To what.
    pub(super) service: &'static str,
    /// Whether they had keys.
    pub(super) keyed: bool,
}

#[derive(Debug, Default)]
struct State {
    requests: BTreeMap<Class, Requests>,
    /// Rounds under way by phase.
    rounds: BTreeMap<Phase, u64>,
}

/// Callers at work until stopped.
#[derive(Debug)]
pub(super) struct Callers {
    phase: watch::Sender<Phase>,
    state: Arc<Mutex<State>>,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Begins to send.
    pub(super) fn start(network: Network) -> Self {
        let (phase, phases) = watch::channel(Phase::Calm);
        let state = Arc::new(Mutex::new(State::default()));
        let mut tasks = JoinSet::new();
        for data_centre in CENTRES {
            for kind in KINDS {
                let (phases, state) = (phases.clone(), Arc::clone(&state));
                tasks.spawn(send(network, data_centre, kind, phases, state));
            }
        }
        Self {
            phase,
            state,
            tasks,
        }
    }

    /// Begins a phase, with the rounds that start from now on.
    pub(super) fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Ends a phase and waits until all its requests have ended.
    pub(super) async fn leave(&self, phase: Phase) {
        self.phase.send_replace(Phase::Calm);
        loop {
            let under_way = lock(&self.state).rounds.get(&phase).copied();
            if under_way.unwrap_or(0) == 0 {
                return;
            }
            sleep(PAUSE).await;
        }
    }

    /// Stops sending and waits for all requests to end; what became of them.
    pub(super) async fn stop(self) -> BTreeMap<Class, Requests> {
        let Self {
            phase,
            state,
            mut tasks,
        } = self;
        drop(phase);
        while tasks.join_next().await.is_some() {}
        let mut state = lock(&state);
        std::mem::take(&mut state.requests)
    }

    /// Requests answered so far.
    pub(super) fn answered(&self, class: Class) -> u64 {
        let state = lock(&self.state);
        state.requests.get(&class).map_or(0, |r| r.answered)
    }
}

async fn send(
    network: Network,
    data_centre: &'static str,
    kind: Kind,
    phases: watch::Receiver<Phase>,
    state: Arc<Mutex<State>>,
) {
    let mut round = 0;
    let mut next = Instant::now();
    // The sender is gone when the callers are to stop.
    while phases.has_changed().is_ok() {
        round += 1;
        let phase = begin(&phases, &state);
        let load = Load {
            nodes: ready(network, data_centre).await,
            service: kind.service.into(),
            group: None,
            count: u64::from(kind.rate) * CHECK.as_millis() as u64 / 1000,
            rate: kind.rate,
            size: SIZE,
            keys: kind.keyed.then(|| format!("{data_centre}-{round}-")),
        };
        // Without a host that is ready, the balancer has nowhere to send to.
        let tally = caller::run(load).await.unwrap_or_default();
        let class = Class {
            phase,
            data_centre,
            service: kind.service,
            keyed: kind.keyed,
        };
        end(&state, class, &tally);
        next += CHECK;
        sleep_until(next).await;
    }
}

/// Begins a round in the phase of now.
fn begin(phases: &watch::Receiver<Phase>, state: &Mutex<State>) -> Phase {
    // Locked first, so that a phase that is left has no round that isn't counted.
    let mut state = lock(state);
    let phase = *phases.borrow();
    *state.rounds.entry(phase).or_default() += 1;
    phase
}

/// Ends a round.
fn end(state: &Mutex<State>, class: Class, tally: &caller::Tally) {
    let mut state = lock(state);
    state.requests.entry(class).or_default().add(tally);
    *state.rounds.entry(class.phase).or_default() -= 1;
}

async fn ready(network: Network, data_centre: &str) -> Vec<std::net::SocketAddr> {
    let mut ready = Vec::new();
    for node in nodes_of(data_centre) {
        let address = network.callers(node);
        if operators::is_good(address, "/egretpin/ready").await {
            ready.push(address);
        }
    }
    ready
}

/// Counts stay usable whatever panicked.
fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
