//! Stand-in minions, and the hosts that take them down.
//!
//! Each host of the pool runs one minion of each service. When the platform restarts a host its
//! minions die with it, and start again when it is up, as they would on a real one.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::sleep;

use super::cluster::{CENTRES, Network, nodes_of};
use crate::{
    adapters::{
        http,
        platform::message::{HostState, Report},
    },
    core::{
        dispatch::Announcement,
        types::{HostId, MinionId, ServiceId},
    },
    standin::minion::{Counts, Minion, Settings},
};

/// The services with minions.
pub(super) const SERVICES: [&str; 3] = ["soil", "alerts", "accounts"];
/// Minions that each of their budgets asks for.
const NEEDED: usize = 2;
/// Hosts of a data centre that run minions.
const HOSTS: u8 = 2;

/// The pause between two looks at the platform.
const PAUSE: Duration = Duration::from_millis(25);
/// How long a request runs.
const DELAY: Duration = Duration::from_millis(4);
/// How often a minion announces itself.
const EVERY: Duration = Duration::from_millis(250);
const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;
const PORT: u16 = 5000;

/// Where a minion belongs.
#[derive(Clone, Debug)]
struct Place {
    service: ServiceId,
    host: HostId,
    data_centre: &'static str,
    /// The host part of its address.
    number: u8,
}

/// One minion over its starts.
#[derive(Debug)]
struct Entry {
    place: Place,
    boot: u64,
    minion: Option<Minion>,
    /// Counts of its earlier starts.
    past: Vec<Counts>,
}

impl Entry {
    fn kill(&mut self) {
        if let Some(minion) = self.minion.take() {
            self.past.push(minion.counts());
        }
    }

    fn counts(&self) -> impl Iterator<Item = Counts> {
        let now = self.minion.as_ref().map(Minion::counts);
        self.past.iter().cloned().chain(now)
    }
}

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<MinionId, Entry>,
    /// Minions that stay down, because they were killed or left.
    gone: BTreeSet<MinionId>,
    /// Hosts seen restarting.
    restarted: BTreeSet<HostId>,
    looks: u64,
    breaks: u64,
}

/// All minions.
#[derive(Clone, Debug)]
pub(super) struct Minions {
    state: Arc<Mutex<State>>,
}

impl Minions {
    /// Starts the minions, and follows the platform until all copies of the value are dropped.
    pub(super) async fn start(network: Network) -> io::Result<Self> {
        let all = Self {
            state: Arc::default(),
        };
        for place in places() {
            let minion = start(network, &place, 1).await?;
            let id = MinionId::from(format!("{}-{}", place.service, place.host));
            let entry = Entry {
                place,
                boot: 1,
                minion: Some(minion),
                past: Vec::new(),
            };
            all.lock().entries.insert(id, entry);
        }
        tokio::spawn(follow(network, Arc::downgrade(&all.state)));
        Ok(all)
    }

    /// Kills a minion at once, for good.
    pub(super) fn kill(&self, id: &str) {
        let mut state = self.lock();
        state.gone.insert(id.into());
        if let Some(entry) = state.entries.get_mut(id) {
            entry.kill();
        }
    }

    /// Has a minion say that it leaves.
    pub(super) fn leave(&self, id: &str) {
        let mut state = self.lock();
        state.gone.insert(id.into());
        if let Some(minion) = state.entries.get(id).and_then(|e| e.minion.as_ref()) {
            minion.leave();
        }
    }

    /// Runs of one minion.
    pub(super) fn runs_of(&self, id: &str) -> u64 {
        let state = self.lock();
        let entry = state.entries.get(id);
        entry.map_or(0, |entry| entry.counts().map(|counts| counts.runs).sum())
    }

    /// Runs of a service.
    pub(super) fn runs(&self, service: &str) -> u64 {
        let counts = |entry: &Entry| entry.counts().map(|counts| counts.runs).sum::<u64>();
        let state = self.lock();
        let of_service = state.entries.values();
        of_service
            .filter(|entry| &*entry.place.service == service)
            .map(counts)
            .sum()
    }

    /// Runs of each key of a service.
    pub(super) fn keys(&self, service: &str) -> BTreeMap<String, u64> {
        let mut keys = BTreeMap::new();
        let state = self.lock();
        let of_service = state.entries.values();
        for entry in of_service.filter(|entry| &*entry.place.service == service) {
            for (key, runs) in entry.counts().flat_map(|counts| counts.keys) {
                *keys.entry(key).or_default() += runs;
            }
        }
        keys
    }

    /// Hosts that the platform restarted.
    pub(super) fn restarted(&self) -> u64 {
        self.lock().restarted.len() as u64
    }

    /// Looks at budgets, and how many found one broken.
    pub(super) fn budgets(&self) -> (u64, u64) {
        let state = self.lock();
        (state.looks, state.breaks)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// Hosts of the pool with minions.
pub(super) fn hosts() -> u64 {
    CENTRES.len() as u64 * u64::from(HOSTS)
}

fn places() -> impl Iterator<Item = Place> {
    let mut number = 100;
    let mut places = Vec::new();
    for data_centre in CENTRES {
        for host in 1..=HOSTS {
            for service in SERVICES {
                number += 1;
                places.push(Place {
                    service: service.into(),
                    host: format!("{data_centre}-h{host}").into(),
                    data_centre,
                    number,
                });
            }
        }
    }
    places.into_iter()
}

async fn start(network: Network, place: &Place, boot: u64) -> io::Result<Minion> {
    let announcement = Announcement {
        minion: format!("{}-{}", place.service, place.host).into(),
        boot,
        sequence: 0,
        service: place.service.clone(),
        address: network.address(place.number, PORT),
        host: place.host.clone(),
        rack: format!("{}-r1", place.data_centre).into(),
        data_centre: place.data_centre.into(),
        slots: SLOTS,
        connections: CONNECTIONS,
        leaving: false,
    };
    let nodes = nodes_of(place.data_centre);
    Minion::start(Settings {
        announcement,
        nodes: nodes.map(|node| network.minions(node)).collect(),
        rotate: true,
        delay: DELAY,
        every: EVERY,
    })
    .await
}

/// Follows the platform: minions go down and come up with their hosts.
async fn follow(network: Network, state: std::sync::Weak<Mutex<State>>) {
    loop {
        sleep(PAUSE).await;
        let Some(state) = state.upgrade() else {
            return;
        };
        if let Some(report) = report(network).await {
            let (up, down) = hosts_of(&report);
            take_down(&mut lock(&state), &down);
            bring_up(network, &state, &up).await;
        }
        look(&mut lock(&state));
    }
}

async fn report(network: Network) -> Option<Report> {
    let answer = http::post(network.platform(), "/report", &0).await.ok()?;
    serde_json::from_slice(answer.body()).ok()
}

/// The hosts that are up, and those that restart.
fn hosts_of(report: &Report) -> (BTreeSet<HostId>, BTreeSet<HostId>) {
    let hosts = report.hosts.iter();
    let (down, up): (Vec<_>, Vec<_>) = hosts.partition(|h| h.state == HostState::Rebooting);
    let names = |hosts: Vec<&crate::adapters::platform::message::HostReport>| {
        hosts.into_iter().map(|host| host.host.clone()).collect()
    };
    (names(up), names(down))
}

fn take_down(state: &mut State, down: &BTreeSet<HostId>) {
    for entry in state.entries.values_mut() {
        if down.contains(&entry.place.host) {
            entry.kill();
            state.restarted.insert(entry.place.host.clone());
        }
    }
}

async fn bring_up(network: Network, state: &Mutex<State>, up: &BTreeSet<HostId>) {
    let down: Vec<_> = {
        let mut state = lock(state);
        let State { entries, gone, .. } = &mut *state;
        let stopped = entries.iter_mut().filter(|(id, entry)| {
            entry.minion.is_none() && !gone.contains(*id) && up.contains(&entry.place.host)
        });
        stopped
            .map(|(id, entry)| {
                entry.boot += 1;
                (id.clone(), entry.place.clone(), entry.boot)
            })
            .collect()
    };
    for (id, place, boot) in down {
        // One whose old connections still hold the address comes up at the next look.
        let Ok(minion) = start(network, &place, boot).await else {
            continue;
        };
        if let Some(entry) = lock(state).entries.get_mut(&id) {
            entry.minion = Some(minion);
        }
    }
}

/// Counts the services with fewer minions running than their budget asks for.
fn look(state: &mut State) {
    for service in SERVICES {
        let of_service = state.entries.iter();
        let running = of_service
            .filter(|(_, entry)| &*entry.place.service == service)
            .filter(|(id, entry)| entry.minion.is_some() && !state.gone.contains(*id));
        let broken = running.count() < NEEDED;
        state.looks += 1;
        state.breaks += u64::from(broken);
    }
}

/// Counts stay usable whatever panicked.
fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
