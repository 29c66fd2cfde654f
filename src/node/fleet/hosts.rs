//! Hosts on the leader: the engine of pools, waves and budgets, fed by the log, by the platform
//! and by what nodes hear of minions; its decisions are carried out through the log.
//!
//! Every decision is committed before it is carried out. One that the log refuses is taken back
//! by telling the engine what the shared state holds instead.

use std::{collections::BTreeMap, time::Duration};

use super::{
    facts,
    minions::Minions,
    platform::Platform,
    quiet::{Holders, Quiet, SPREAD},
};
use crate::{
    adapters::{
        metrics::Metrics,
        platform::message::{HostReport, HostState},
    },
    api::view::{Explanation, ServiceStatus},
    core::{
        dispatch::Announcement,
        fleet::{
            placement::{Due, Event as PlacerFact},
            pool::{
                Decision, Engine, Event as Fact, Options, Reason, Report, Wish, plan,
                shared::{self, Proposal},
            },
            wave::{Rank, Wave},
        },
        state::{Body, Command, Event, Host, Request, Stage, State},
        types::{Generation, HostId, Now, PoolId, WaveId},
    },
};

/// How long after a refusal the engine is told what the log holds. Told at once, it could decide the
/// same again, and so on as fast as the log commits (seen: a thousand refusals a second).
const RESET: Duration = Duration::from_secs(1);

/// The engine and what is under way.
#[derive(Debug)]
pub(super) struct Hosts {
    engine: Engine,
    minions: Minions,
    quiet: Quiet,
    /// What was decided and not committed yet, in order.
    decided: Vec<Decision>,
    /// When jobs that still run on draining hosts are displaced.
    displace: BTreeMap<HostId, Now>,
    /// Hosts that are being taken back, with the generation that they had until then.
    returning: BTreeMap<HostId, Generation>,
    /// Hosts about which the log refused a decision, and when the engine is told.
    resets: BTreeMap<HostId, Now>,
    /// Hosts that the platform says are up again.
    back: Vec<HostId>,
    /// Hosts whose stop was committed, for the platform to carry out.
    orders: Vec<Order>,
    /// What the placer was last told of each host's turn.
    due: BTreeMap<HostId, Due>,
    /// Waves asked for so far by this leader, which make the ids of its operations.
    asked: u64,
}

/// Something that the platform is to do with a host.
#[derive(Debug)]
enum Order {
    Drain(HostId, Generation),
    Reboot(HostId, Generation),
}

impl Hosts {
    /// Takes over what the log says when this node begins to lead.
    pub(super) fn adopt(state: &State, now: Now) -> Self {
        let mut hosts = Self {
            engine: Engine::new(Options::default()),
            minions: Minions::default(),
            quiet: Quiet::default(),
            decided: Vec::new(),
            displace: BTreeMap::new(),
            returning: BTreeMap::new(),
            resets: BTreeMap::new(),
            back: Vec::new(),
            orders: Vec::new(),
            due: BTreeMap::new(),
            asked: 0,
        };
        for fact in shared::feed(state, state.clock()) {
            hosts.step(now, fact);
        }
        for (id, host) in state.hosts().iter() {
            // The last leader may not have got round to its orders; the platform knows those that
            // it has carried out by their generation.
            if matches!(host.stage, Stage::Draining | Stage::Down) {
                hosts.staged(state, now, id, host.stage);
            }
        }
        hosts.switch(state, now);
        hosts
    }

    /// Takes in a command that was applied, after the copy of the state took it.
    pub(super) fn applied(&mut self, state: &State, now: Now, command: &Command, refused: bool) {
        match &command.body {
            Body::Operator { request, .. } if !refused => self.requested(state, now, request),
            Body::System(event) if refused => self.refused(now, event),
            Body::System(event) => self.happened(state, now, event),
            _ => {}
        }
    }

    /// A node heard a minion.
    pub(super) fn heard(&mut self, now: Now, announcement: &Announcement) {
        if let Some(fact) = self.minions.heard(now, announcement) {
            self.step(now, fact);
        }
    }

    /// Looks at time: silent minions, quiet hosts, the engine's own limits.
    pub(super) fn tick(&mut self, state: &State, now: Now, holders: &Holders) {
        for fact in self.minions.silent(now) {
            self.step(now, fact);
        }
        self.quiet.watch(state, now, holders);
        for host in self.quiet.drained(state, now) {
            let generation = self.generation(&host);
            self.step(now, Fact::Drained { host, generation });
        }
        self.reset(state, now);
        self.step(now, Fact::Tick);
    }

    /// Takes in where the platform says that hosts stand.
    pub(super) fn report(&mut self, state: &State, now: Now, reports: &[HostReport]) {
        for report in reports {
            let Some(known) = state.hosts().get(&report.host) else {
                continue;
            };
            let (host, generation) = (report.host.clone(), known.generation);
            if report.state == HostState::Lost {
                // Told again with each report; the engine takes it once.
                self.step(now, Fact::Lost { host, generation });
            } else if is_back(known, report) && self.returning.get(&host) != Some(&generation) {
                self.returning.insert(host.clone(), generation);
                self.back.push(host);
            }
        }
    }

    /// The hosts whose jobs have had their time to end by themselves, and turns that changed.
    pub(super) fn placement(&mut self, state: &State, now: Now) -> Vec<PlacerFact> {
        let mut facts: Vec<_> = self
            .displace
            .extract_if(.., |_, at| *at <= now)
            .map(|(host, _)| PlacerFact::Displace { host })
            .collect();
        for (id, host) in state.hosts().iter() {
            let wave = self.engine.wave(&host.pool);
            let racks = wave.map_or(0, Wave::remaining);
            let Rank(rank) = self.engine.due_rank(id);
            let due = Due::of_rank(rank, u32::try_from(racks).unwrap_or(u32::MAX));
            if self.due.get(id) != Some(&due) {
                self.due.insert(id.clone(), due);
                let host = id.clone();
                facts.push(PlacerFact::HostDue { host, due });
            }
        }
        facts
    }

    /// Commits what was decided, and has the platform carry out what was committed.
    pub(super) fn carry_out(&mut self, state: &State, platform: &Platform) {
        for decision in std::mem::take(&mut self.decided) {
            self.decide(state, platform, &decision);
        }
        for host in std::mem::take(&mut self.back) {
            let proposals = shared::returned(state, &host);
            self.propose(state, platform, proposals);
        }
        for order in self.orders.drain(..) {
            match order {
                Order::Drain(host, generation) => platform.drain(host, generation),
                Order::Reboot(host, generation) => platform.reboot(host, generation),
            }
        }
    }

    /// How each service stands against its budget.
    pub(super) fn services(&self, state: &State) -> Vec<ServiceStatus> {
        let services = state.configuration().declaration().services.iter();
        services
            .filter_map(|(service, spec)| {
                let room = self.engine.budgets().room(service)?;
                Some(ServiceStatus {
                    service: service.clone(),
                    pool: spec.pool.clone(),
                    available: room.available,
                    needed: room.needed,
                    reserve: room.reserve,
                    unconfirmed: room.unconfirmed,
                })
            })
            .collect()
    }

    /// Shows budgets and buffers.
    pub(super) fn gauge(&self, state: &State, metrics: &Metrics) {
        for status in self.services(state) {
            let spare = i64::from(status.available) - i64::from(status.needed);
            metrics.budget.set(&status.service, spare);
        }
        for (pool, hosts) in facts::buffers(state) {
            metrics.buffer.set(&pool, hosts);
        }
    }

    /// Adds what a host is waiting for.
    pub(super) fn explain(&self, told: Explanation, host: &HostId, now: Now) -> Explanation {
        let Some(found) = self.engine.explain(now, host) else {
            return told;
        };
        let left = found.expect.map(|at| at.saturating_sub(now).as_secs());
        let expect = left.map_or_else(String::new, |left| format!(", expected in {left} s"));
        match &found.reason {
            Reason::Serves => told,
            Reason::Budget(blocked) => told.fact(
                "budget",
                format!(
                    "the budget of {} blocks: {} available, {} would go, {} needed and {} kept for \
                     its largest rack, {} unconfirmed{expect}",
                    blocked.service,
                    blocked.available,
                    blocked.taken,
                    blocked.needed,
                    blocked.reserve,
                    blocked.unconfirmed,
                ),
            ),
            reason => told.fact("waits", format!("it waits: {reason:?}{expect}")),
        }
    }

    fn step(&mut self, now: Now, mut fact: Fact) {
        if let Fact::Pool { spec, .. } = &mut fact {
            spec.soak = spec.soak.max(SPREAD);
        }
        let decisions = self.engine.step(now, fact);
        self.decided.extend(decisions);
    }

    fn generation(&self, host: &HostId) -> Generation {
        self.engine
            .host(host)
            .map_or(0, |(_, _, generation)| generation)
    }

    /// Tells the engine what is declared.
    fn declare(&mut self, state: &State, now: Now) {
        for fact in shared::declared(state.configuration().declaration()) {
            self.step(now, fact);
        }
        for (id, _) in state.hosts().iter() {
            if let Some(fact) = shared::fact(state, id) {
                self.step(now, Fact::Host(fact));
            }
        }
    }

    /// A preset is in force: its pace, and the moves that its targets ask for.
    fn switch(&mut self, state: &State, now: Now) {
        let configuration = state.configuration();
        let Some(spec) = configuration.spec() else {
            return;
        };
        if configuration.in_force().is_none() {
            return;
        }
        let candidates = self.engine.candidates();
        let plan = plan(&candidates, &spec.targets, self.engine.budgets());
        let (wave, moves) = (spec.wave.clone(), plan.moves);
        self.step(now, Fact::Preset { wave, moves });
    }

    fn requested(&mut self, state: &State, now: Now, request: &Request) {
        let (host, wish) = match request {
            Request::Apply { .. } => return self.redeclare(state, now),
            Request::StartWave { pool, .. } => return self.begin(state, now, pool),
            Request::PauseWave { wave } => return self.pause(now, *wave, true),
            Request::ResumeWave { wave } => return self.pause(now, *wave, false),
            Request::DrainHost { host } => (host, Wish::Hold),
            Request::ReturnHost { host } => (host, Wish::Serve),
            Request::MoveHost { host, pool } => (host, Wish::Move(pool.clone())),
            _ => return,
        };
        let host = host.clone();
        self.step(now, Fact::Want { host, wish });
    }

    fn pause(&mut self, now: Now, wave: WaveId, paused: bool) {
        self.step(now, Fact::WavePaused { wave, paused });
    }

    fn redeclare(&mut self, state: &State, now: Now) {
        let declaration = state.configuration().declaration();
        let services = self.minions.services();
        for service in services {
            if !declaration.services.contains_key(&service) {
                self.step(now, Fact::ServiceGone(service));
            }
        }
        let gone: Vec<_> = self
            .due
            .keys()
            .filter(|host| state.hosts().get(host).is_none())
            .cloned()
            .collect();
        for host in gone {
            self.due.remove(&host);
            self.step(now, Fact::HostGone(host));
        }
        self.declare(state, now);
    }

    fn begin(&mut self, state: &State, now: Now, pool: &PoolId) {
        if let Some((wave, found)) = state.waves().open(pool) {
            let age = state.clock().saturating_sub(found.started);
            let (pool, lost) = (pool.clone(), false);
            let fact = Fact::Wave {
                wave,
                pool,
                age,
                lost,
            };
            self.step(now, fact);
        }
    }

    fn happened(&mut self, state: &State, now: Now, event: &Event) {
        match event {
            Event::Activated { .. } => self.switch(state, now),
            Event::HandOver { host, .. } => {
                let generation = state.hosts().get(host).map_or(0, |host| host.generation);
                let host = host.clone();
                self.step(now, Fact::HandedOver { host, generation });
            }
            Event::HostStage { host, stage, .. } => self.staged(state, now, host, *stage),
            _ => {}
        }
    }

    fn staged(&mut self, state: &State, now: Now, host: &HostId, stage: Stage) {
        let Some(found) = state.hosts().get(host) else {
            return;
        };
        match stage {
            Stage::Draining => {
                self.quiet.begin(host, now);
                let drain = state.configuration().spec().map(|spec| spec.wave.drain);
                self.displace
                    .insert(host.clone(), now + drain.unwrap_or_default());
                self.orders
                    .push(Order::Drain(host.clone(), found.generation));
            }
            Stage::Down => {
                let generation = restarted(found);
                self.orders.push(Order::Reboot(host.clone(), generation));
            }
            Stage::Soaking => {
                let (host, generation) = (host.clone(), found.generation);
                self.step(now, Fact::Back { host, generation });
            }
            Stage::InService | Stage::Cordoned | Stage::Failed => {
                self.quiet.end(host);
                self.displace.remove(host);
            }
        }
    }

    /// The log holds something else than the engine took for granted.
    pub(super) fn refused(&mut self, now: Now, event: &Event) {
        let (Event::HostStage { host, .. }
        | Event::HandOver { host, .. }
        | Event::Aim { host, .. }) = event
        else {
            return;
        };
        log::warn!(host:%; "the log refused a decision about a host");
        self.returning.remove(host);
        self.resets.entry(host.clone()).or_insert(now + RESET);
    }

    /// Tells the engine what the log holds of hosts about which it refused a decision.
    fn reset(&mut self, state: &State, now: Now) {
        let due: Vec<_> = self.resets.extract_if(.., |_, at| *at <= now).collect();
        for (host, _) in due {
            if let Some(fact) = shared::fact(state, &host) {
                self.step(now, Fact::Reset(fact));
            }
        }
    }

    fn decide(&mut self, state: &State, platform: &Platform, decision: &Decision) {
        if let Decision::Report(report) = decision {
            tell(report);
        }
        let proposals = shared::commands(state, decision);
        self.propose(state, platform, proposals);
    }

    fn propose(&mut self, state: &State, platform: &Platform, proposals: Vec<Proposal>) {
        for proposal in proposals {
            match proposal {
                Proposal::Event(event) => platform.commit(event),
                Proposal::Request(request) => {
                    self.asked += 1;
                    let operation = format!("leader-{}-{}", state.applied(), self.asked);
                    platform.request(operation.into(), request);
                }
            }
        }
    }
}

/// The generation with which the platform restarts a host: later than any before, and earlier than
/// the one that the log gives it when it is taken back, since several commands lie between. It
/// follows from the stop alone, so that every leader orders the same restart and the platform
/// carries it out once. The index of the stop was the first choice; the state doesn't keep it, and
/// a second leader had the host restarted twice.
const fn restarted(host: &Host) -> Generation {
    host.generation + 1
}

/// Whether a host that is up has been away. One that was lost is back as soon as it is up; any
/// other has restarted if its generation is later than the log's.
fn is_back(host: &Host, report: &HostReport) -> bool {
    let restarted = report.generation >= restarted(host);
    report.state == HostState::Up && (restarted || host.stage == Stage::Failed)
}

fn tell(report: &Report) {
    match report {
        Report::Blocked { what, blocked } => {
            let service = &blocked.service;
            log::info!(
                service:%, what:?, available = blocked.available, needed = blocked.needed,
                reserve = blocked.reserve, unconfirmed = blocked.unconfirmed;
                "a stop waits for a budget"
            );
        }
        Report::Late { host, phase } => log::warn!(host:%, phase:?; "host over its limit"),
        Report::Paused { wave, host } => log::warn!(wave, host:%; "wave paused by a loss"),
        Report::Resumed { wave } => log::info!(wave; "wave goes on"),
        Report::Overdue { wave, .. } => log::warn!(wave; "wave over its period"),
    }
}
