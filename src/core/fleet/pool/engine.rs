//! The engine's state and the way an event takes through it.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    time::Duration,
};

use crate::core::{
    declaration::{PoolSpec, WaveSpec},
    fleet::{
        budget::{Budgets, Protections},
        wave::{Rank, Wave},
    },
    types::{Generation, HostId, Map, MinionId, Now, PoolId, ServiceId},
};

use super::{
    Action, Candidate, Decision, Event, HostFact, Move, Phase, Wish,
    registry::{Host, Pool},
};

/// Minions announce themselves every second; a few may go astray.
const LISTEN: Duration = Duration::from_secs(5);

/// What differs between engines.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The parts of the budget rule; all of them outside tests.
    pub protections: Protections,
    /// How long a new engine only listens, so that every minion can announce itself before the
    /// first stop is admitted.
    pub listen: Duration,
    /// Whether racks with less unsaved work come first; otherwise they come by name. The second is
    /// the baseline of the bench.
    pub least_work: bool,
}

/// Takes hosts out of service and back, for all pools.
#[derive(Clone, Debug)]
pub struct Engine {
    pub(super) options: Options,
    pub(super) budgets: Budgets,
    pub(super) hosts: Map<HostId, Host>,
    pub(super) pools: BTreeMap<PoolId, Pool>,
    pub(super) pace: WaveSpec,
    /// Until when it only listens; `None` before the first step and once that is over.
    listens: Option<Now>,
    started: bool,
    pub(super) limits: BTreeSet<(Now, HostId)>,
    pub(super) touched: BTreeSet<PoolId>,
    pub(super) out: Vec<Decision>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            protections: Protections::default(),
            listen: LISTEN,
            least_work: true,
        }
    }
}

impl Engine {
    /// An engine that knows nothing yet. Waves stand still until a preset is known.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            budgets: Budgets::new(options.protections),
            hosts: Map::default(),
            pools: BTreeMap::new(),
            pace: WaveSpec {
                racks: 0,
                ..WaveSpec::default()
            },
            listens: None,
            started: false,
            limits: BTreeSet::new(),
            touched: BTreeSet::new(),
            out: Vec::new(),
        }
    }

    /// Learns a fact and decides what follows from it.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Decision> {
        self.listen(now);
        self.pass_time(now);
        self.apply(now, event);
        if self.listens.is_some() {
            return mem::take(&mut self.out);
        }
        for pool in mem::take(&mut self.touched) {
            self.pump(now, &pool);
        }
        // What the last lines drained took room and made none.
        self.touched.clear();
        mem::take(&mut self.out)
    }

    /// When [`step`](Self::step) should next be called with [`Event::Tick`], if at all.
    pub fn next_due(&self) -> Option<Now> {
        let limit = self.limits.first().map(|(at, _)| *at);
        let wave = self.pools.values().filter_map(Pool::due).min();
        [limit, self.budgets.next_due(), wave, self.listens]
            .into_iter()
            .flatten()
            .min()
    }

    /// The budgets as they stand.
    pub fn budgets(&self) -> &Budgets {
        &self.budgets
    }

    /// The pool, phase and generation of a host, if it is known.
    pub fn host(&self, host: &HostId) -> Option<(&PoolId, Phase, Generation)> {
        self.hosts
            .get(host)
            .map(|host| (&host.pool, host.phase, host.generation))
    }

    /// The wave that runs over a pool.
    pub fn wave(&self, pool: &PoolId) -> Option<&Wave> {
        self.pools.get(pool)?.wave.as_ref()
    }

    /// How soon the host is to be emptied; placement prefers the lowest.
    pub fn due_rank(&self, host: &HostId) -> Rank {
        let Some(known) = self.hosts.get(host) else {
            return Rank::NEXT;
        };
        if known.phase != Phase::InService {
            return Rank::NEXT;
        }
        match &self.pools[&known.pool].wave {
            Some(wave) => wave.rank(&known.rack, host),
            None => Rank::DONE,
        }
    }

    /// The hosts as [`plan`](fn@super::plan) wants them, in the order of ids.
    pub fn candidates(&self) -> Vec<Candidate> {
        let mut all: Vec<_> = self
            .hosts
            .iter()
            .map(|(id, host)| self.candidate(id, host))
            .collect();
        all.sort_by(|a, b| a.host.cmp(&b.host));
        all
    }

    fn candidate(&self, id: &HostId, host: &Host) -> Candidate {
        let wave = self.pools[&host.pool].wave.as_ref();
        let moving = host.wants.to.as_ref().filter(|_| !host.is_recallable());
        let way = host.wants.hold || moving.is_some();
        Candidate {
            host: id.clone(),
            pool: moving.unwrap_or(&host.pool).clone(),
            rack: host.rack.clone(),
            free: !way && host.phase != Phase::Lost,
            empty: host.phase.is_stopped(),
            maintained: wave.is_none_or(|wave| !wave.is_due(id)),
            work: host.work,
        }
    }

    fn apply(&mut self, now: Now, event: Event) {
        match event {
            Event::Pool { pool, spec } => self.declare(&pool, spec),
            Event::Service {
                service,
                pool,
                needed,
            } => {
                self.budgets.declare(&service, &pool, needed);
                self.touched.insert(pool);
            }
            Event::ServiceGone(service) => self.budgets.retire(&service),
            Event::Preset { wave, moves } => self.switch(now, wave, moves),
            Event::Host(fact) => {
                let known = self.hosts.get(&fact.host);
                if known.is_none_or(|host| host.generation < fact.generation) {
                    self.seat(now, fact);
                }
            }
            Event::Reset(fact) => self.seat(now, fact),
            Event::HostGone(host) => self.forget(&host),
            Event::Wave {
                wave,
                pool,
                age,
                lost,
            } => {
                self.begin(now, wave, &pool, age);
                self.mind_losses(wave, &pool, lost);
            }
            Event::WavePaused { wave, paused } => self.pause(wave, paused),
            Event::Minion {
                minion,
                service,
                host,
            } => self.heard(&minion, &service, &host),
            Event::MinionDoubted(minion) => self.budgets.doubt(&minion),
            Event::MinionGone(minion) => self.budgets.forget(&minion),
            Event::Work { host, work } => {
                if let Some(host) = self.hosts.get_mut(&host) {
                    host.work = work;
                }
            }
            Event::Want { host, wish } => self.wish(now, &host, wish),
            Event::Drained { host, generation } => self.drained(now, &host, generation),
            Event::HandedOver { host, generation } => self.handed_over(now, &host, generation),
            Event::Lost { host, generation } => self.lost(now, &host, generation),
            Event::Back { host, generation } => self.back(now, &host, generation),
            Event::Tick => self.tick(now),
        }
    }

    fn declare(&mut self, id: &PoolId, spec: PoolSpec) {
        self.pools.entry(id.clone()).or_default().spec = spec;
        self.touched.insert(id.clone());
    }

    /// A preset is in force: its pace and its moves replace those of the last.
    fn switch(&mut self, now: Now, pace: WaveSpec, moves: Vec<Move>) {
        self.pace = pace;
        let keep: BTreeSet<_> = moves.iter().map(|m| (&m.host, &m.to)).collect();
        let recalled: Vec<HostId> = self
            .pools
            .values()
            .flat_map(|pool| &pool.waiting)
            .filter(|id| self.hosts[*id].is_recallable())
            .filter(|id| {
                let to = self.hosts[*id].wants.to.as_ref();
                to.is_some_and(|to| !keep.contains(&(*id, to)))
            })
            .cloned()
            .collect();
        for id in recalled {
            self.recall(now, &id);
        }
        for m in moves {
            self.aim(now, &m.host, m.to);
        }
        self.touched.extend(self.pools.keys().cloned());
    }

    fn heard(&mut self, minion: &MinionId, service: &ServiceId, host: &HostId) {
        if !self.budgets.announce(minion, service, host) {
            return;
        }
        // Below its budget and reserve nothing that touches the service can be admitted, so that
        // filling the counts after a change of leader costs no vain tries.
        let room = self.budgets.room(service);
        if room.is_some_and(|room| room.spare() > 0)
            && let Some(host) = self.hosts.get(host)
        {
            self.touched.insert(host.pool.clone());
        }
    }

    fn wish(&mut self, now: Now, id: &HostId, wish: Wish) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let pool = host.pool.clone();
        host.wants.hold = wish == Wish::Hold;
        host.wants.preset = false;
        host.wants.to = match wish {
            Wish::Move(to) => Some(to).filter(|to| *to != pool),
            Wish::Hold | Wish::Serve => None,
        };
        self.follow(now, id);
    }

    /// A preset wants a host in another pool.
    fn aim(&mut self, now: Now, id: &HostId, to: PoolId) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if host.wants.is_asked() || host.pool == to {
            return;
        }
        host.wants.preset = true;
        host.wants.to = Some(to.clone());
        self.act(id, Action::Aim { to });
        self.follow(now, id);
    }

    fn recall(&mut self, now: Now, id: &HostId) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.wants.to = None;
            host.wants.preset = false;
            self.act(id, Action::Recall);
            self.follow(now, id);
        }
    }

    fn listen(&mut self, now: Now) {
        if !self.started {
            self.started = true;
            self.listens = Some(now + self.options.listen);
        }
        if self.listens.is_some_and(|until| until <= now) {
            self.listens = None;
            self.touched.extend(self.pools.keys().cloned());
        }
    }

    /// Ends soaks and limits whose time has come.
    fn pass_time(&mut self, now: Now) {
        for id in self.budgets.advance(now) {
            self.serve(now, &id);
        }
        while let Some((at, id)) = self.limits.first().cloned()
            && at <= now
        {
            self.set_limit(&id, None);
            self.overrun(&id);
        }
    }

    fn seat(&mut self, now: Now, fact: HostFact) {
        self.forget_place(&fact.host);
        let id = fact.host.clone();
        let mut host = Host::new(fact);
        if !host.phase.is_stopped() {
            host.wants.wave = None;
        }
        let pool = self.pools.entry(host.pool.clone()).or_default();
        pool.insert(&host.rack, id.clone());
        if host.phase == Phase::Lost {
            pool.losses.insert(id.clone());
        }
        self.touched.insert(host.pool.clone());
        self.hosts.insert(id.clone(), host);
        self.enroll(&id);
        self.resume(now, &id);
    }

    pub(super) fn forget(&mut self, id: &HostId) {
        self.forget_place(id);
        self.budgets.remove(id);
    }

    /// Forgets a host's record, but not its minions.
    fn forget_place(&mut self, id: &HostId) {
        self.set_limit(id, None);
        let Some(host) = self.hosts.remove(id) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&host.pool) {
            pool.remove(&host.rack, id);
            self.touched.insert(host.pool);
        }
    }
}
