//! Availability budgets: the one admission of every voluntary stop.
//!
//! A service has minions, and each minion stands on a host. A budget says how many of them must
//! be available at any moment. [`Budgets`] counts them and decides whether a set of hosts may be
//! stopped. The same rule serves a maintenance wave, an operator's drain, a move between pools, a
//! preset change and an upgrade of our own entry hosts (declared as a service of their own, with
//! one minion each).
//!
//! A minion is *available* when its last announcement is confirmed, its host is up and belongs to
//! the pool of its service. Everything else counts as unavailable: a minion that hasn't been heard,
//! one on a host that was admitted to stop, is lost, or came back and still soaks.
//!
//! A stop is admitted when, for each service that has a minion on one of its hosts,
//!
//! ```text
//! available - taken >= needed + reserve
//! ```
//!
//! where `taken` is what the stop takes away and `reserve` is the service's largest rack among
//! what stays up, so that the next correlated failure is survived too. An admitted stop counts as
//! gone at once, so two stops reserve against each other.
//!
//! Counts are kept per service and rack and changed by each event, so an admission looks only at
//! the minions of the hosts to be stopped and costs nothing more in a larger fleet, but for the
//! logarithm in ordered maps. Recounting from the announcements at each question was rejected: it
//! is right but linear; the tests keep it as the reference.
//!
//! Nothing here is durable. After a change of leader no minion is known until it has been heard
//! again. A service of which fewer minions were heard than its budget asks for may stand on any
//! host of its pool, and blocks every stop there.
//!
//! ```
//! use std::time::Duration;
//! use egretpin::core::fleet::budget::{Budgets, Cause, Condition, Protections, Seat, Stop};
//!
//! let mut budgets = Budgets::new(Protections::default());
//! budgets.declare(&"intake".into(), &"front".into(), 2);
//! for n in 0..4 {
//!     let host: std::sync::Arc<str> = format!("h{n}").into();
//!     let rack = format!("r{n}").into();
//!     budgets.seat(&host, Seat::new(rack, "front".into(), Condition::Up));
//!     budgets.announce(&format!("m{n}").into(), &"intake".into(), &host);
//! }
//! let now = Duration::ZERO;
//! let stop = |host: &str| Stop::new(Cause::Drain).host(host.into()).lasting(Duration::from_secs(60));
//! // Four stand, two are needed, one rack is kept in reserve: one may go, not two.
//! assert!(budgets.admit(now, &stop("h0")).is_ok());
//! let blocked = budgets.admit(now, &stop("h1")).unwrap_err();
//! assert_eq!((blocked.available, blocked.needed, blocked.reserve), (3, 2, 1));
//! assert_eq!(blocked.expect, Some(Duration::from_secs(60)));
//! ```

mod ledger;
mod roster;
mod seat;
mod stop;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::core::types::{HostId, Map, MinionId, Now, PoolId, RackId, ServiceId};

pub use self::{
    ledger::Room,
    seat::{Condition, Seat},
    stop::{Admitted, Blocked, Cause, Stop},
};
use self::{
    ledger::{Ledger, Standing},
    roster::{Minion, Roster},
};

/// The parts of the rule, each of which can be left out.
///
/// Test-only: the twins of the property tests switch one off and must then find a violation. The
/// daemon always runs with the default, which has all of them.
#[derive(Clone, Copy, Debug)]
pub struct Protections {
    /// Keep the largest rack in reserve.
    pub reserve: bool,
    /// Let a returned host soak before it counts.
    pub soak: bool,
    /// Count an unconfirmed minion as unavailable.
    pub confirm: bool,
}

/// The minions, where they stand, and what each service needs.
#[derive(Clone, Debug)]
pub struct Budgets {
    protections: Protections,
    seats: Map<HostId, Seat>,
    roster: Roster,
    ledgers: Map<ServiceId, Ledger>,
    services: BTreeMap<PoolId, BTreeSet<ServiceId>>,
    soaks: BTreeSet<(Now, HostId)>,
}

impl Default for Protections {
    fn default() -> Self {
        Self {
            reserve: true,
            soak: true,
            confirm: true,
        }
    }
}

impl Budgets {
    /// No hosts, minions or services.
    pub fn new(protections: Protections) -> Self {
        Self {
            protections,
            seats: Map::default(),
            roster: Roster::default(),
            ledgers: Map::default(),
            services: BTreeMap::new(),
            soaks: BTreeSet::new(),
        }
    }

    /// Declares a service or changes its budget. A change of pool recounts its minions, which is
    /// linear in all minions, and rare.
    pub fn declare(&mut self, service: &ServiceId, pool: &PoolId, needed: u32) {
        if let Some(ledger) = self.ledgers.get_mut(service)
            && ledger.pool() == pool
        {
            ledger.need(needed);
            return;
        }
        self.retire(service);
        self.services
            .entry(pool.clone())
            .or_default()
            .insert(service.clone());
        self.ledgers
            .insert(service.clone(), Ledger::new(pool.clone(), needed));
        self.recount(service);
    }

    /// Forgets a service that is no longer declared. Its minions bind nothing then.
    pub fn retire(&mut self, service: &ServiceId) {
        let Some(ledger) = self.ledgers.remove(service) else {
            return;
        };
        if let Some(services) = self.services.get_mut(ledger.pool()) {
            services.remove(service);
        }
    }

    /// Seats a host, or changes its rack, pool or condition.
    pub fn seat(&mut self, host: &HostId, seat: Seat) {
        self.tally(host, Ledger::remove);
        if let Some(Seat {
            condition: Condition::Soaking { until },
            ..
        }) = self.seats.get(host)
        {
            self.soaks.remove(&(*until, host.clone()));
        }
        if let Condition::Soaking { until } = seat.condition {
            self.soaks.insert((until, host.clone()));
        }
        self.seats.insert(host.clone(), seat);
        self.tally(host, Ledger::add);
    }

    /// Changes the condition of a seated host; an unknown one is ignored.
    pub fn set(&mut self, host: &HostId, condition: Condition) {
        if let Some(seat) = self.seats.get(host) {
            let seat = Seat {
                condition,
                ..seat.clone()
            };
            self.seat(host, seat);
        }
    }

    /// Notes that a host is back; it counts once it has been up for `soak`.
    pub fn returned(&mut self, now: Now, host: &HostId, soak: Duration) {
        let condition = if self.protections.soak && !soak.is_zero() {
            Condition::Soaking { until: now + soak }
        } else {
            Condition::Up
        };
        self.set(host, condition);
    }

    /// Forgets a host that left the fleet, with its minions.
    pub fn remove(&mut self, host: &HostId) {
        self.disband(host);
        if let Some(seat) = self.seats.remove(host)
            && let Condition::Soaking { until } = seat.condition
        {
            self.soaks.remove(&(until, host.clone()));
        }
    }

    /// Forgets the minions of a host, as after its hand-over to another pool.
    pub fn disband(&mut self, host: &HostId) {
        self.tally(host, Ledger::remove);
        self.roster.disband(host);
    }

    /// Notes a confirmed announcement. Answers whether it changed anything.
    pub fn announce(&mut self, minion: &MinionId, service: &ServiceId, host: &HostId) -> bool {
        let fresh = Minion {
            service: service.clone(),
            host: host.clone(),
            confirmed: true,
        };
        if self.roster.get(minion) == Some(&fresh) {
            return false;
        }
        self.forget(minion);
        self.roster.enlist(minion, fresh);
        self.tally_one(minion, Ledger::add);
        true
    }

    /// Notes that a minion was not heard in time, or says that it is leaving.
    pub fn doubt(&mut self, minion: &MinionId) {
        self.tally_one(minion, Ledger::remove);
        self.roster.doubt(minion);
        self.tally_one(minion, Ledger::add);
    }

    /// Forgets a minion that is gone for good.
    pub fn forget(&mut self, minion: &MinionId) {
        self.tally_one(minion, Ledger::remove);
        self.roster.strike(minion);
    }

    /// Decides whether `stop` would be admitted, and changes nothing.
    ///
    /// # Errors
    ///
    /// The first service, in the order of ids, whose budget would not hold.
    pub fn check(&self, now: Now, stop: &Stop) -> Result<Admitted, Blocked> {
        let taken = self.taken(stop);
        for (service, racks) in &taken {
            let Some(ledger) = self.ledgers.get(service) else {
                continue;
            };
            ledger.check(service, racks, self.protections.reserve, now)?;
        }
        Ok(Admitted {
            back: stop.length().map(|length| now + length),
            services: taken.into_keys().collect(),
        })
    }

    /// Admits `stop`, whose hosts then no longer count, or says which budget blocks it.
    ///
    /// # Errors
    ///
    /// The first service, in the order of ids, whose budget would not hold.
    pub fn admit(&mut self, now: Now, stop: &Stop) -> Result<Admitted, Blocked> {
        let admitted = self.check(now, stop)?;
        let condition = Condition::Reserved {
            back: admitted.back,
        };
        for host in stop.hosts() {
            if self.standing(host) {
                self.set(host, condition);
            }
        }
        Ok(admitted)
    }

    /// Ends the soaks that are over and names their hosts, which count from now on.
    pub fn advance(&mut self, now: Now) -> Vec<HostId> {
        let mut ready = Vec::new();
        while let Some((until, host)) = self.soaks.first().cloned()
            && until <= now
        {
            self.set(&host, Condition::Up);
            ready.push(host);
        }
        ready
    }

    /// When [`advance`](Self::advance) next has something to do.
    pub fn next_due(&self) -> Option<Now> {
        self.soaks.first().map(|(until, _)| *until)
    }

    /// How a service stands, if it is declared.
    pub fn room(&self, service: &ServiceId) -> Option<Room> {
        self.ledgers
            .get(service)
            .map(|ledger| ledger.room(self.protections.reserve))
    }

    /// The condition of a host, if it is seated.
    pub fn condition(&self, host: &HostId) -> Option<Condition> {
        self.seats.get(host).map(Seat::condition)
    }

    /// The service of each minion on `host`, confirmed or not.
    pub fn crew_services(&self, host: &HostId) -> impl Iterator<Item = ServiceId> {
        self.roster
            .crew(host)
            .map(|(_, minion)| minion.service.clone())
    }

    /// The service and host of a minion, if it is known.
    pub fn placed(&self, minion: &MinionId) -> Option<(&ServiceId, &HostId)> {
        self.roster
            .get(minion)
            .map(|minion| (&minion.service, &minion.host))
    }

    /// Whether stopping the host would take anything away that isn't gone already.
    fn standing(&self, host: &HostId) -> bool {
        matches!(
            self.condition(host),
            Some(Condition::Up | Condition::Soaking { .. })
        )
    }

    /// What the stop takes of each service in each rack. A service is listed with nothing taken,
    /// and so affected all the same, if its minions there are all unconfirmed, as one of them may
    /// well be alive; or if it belongs to the pool and is unheard, as it may stand on any host.
    fn taken(&self, stop: &Stop) -> BTreeMap<ServiceId, BTreeMap<RackId, u32>> {
        let mut taken: BTreeMap<ServiceId, BTreeMap<RackId, u32>> = BTreeMap::new();
        for host in stop.hosts().iter().filter(|host| self.standing(host)) {
            let seat = &self.seats[host];
            for service in self.services.get(&seat.pool).into_iter().flatten() {
                if self.ledgers[service].is_unheard() {
                    taken.entry(service.clone()).or_default();
                }
            }
            for (_, minion) in self.roster.crew(host) {
                let racks = taken.entry(minion.service.clone()).or_default();
                let count = racks.entry(seat.rack.clone()).or_default();
                *count += u32::from(self.rate(minion) == Some(Standing::Available));
            }
        }
        taken
    }

    /// How a minion counts; `None` if its host isn't seated or its service isn't declared.
    fn rate(&self, minion: &Minion) -> Option<Standing> {
        let seat = self.seats.get(&minion.host)?;
        let ledger = self.ledgers.get(&minion.service)?;
        let standing = match seat.condition {
            _ if seat.pool != *ledger.pool() => Standing::Foreign,
            Condition::Out | Condition::Reserved { back: None } => Standing::Away,
            Condition::Reserved { back: Some(at) } | Condition::Soaking { until: at } => {
                Standing::Due(at)
            }
            Condition::Up if minion.confirmed || !self.protections.confirm => Standing::Available,
            Condition::Up => Standing::Unconfirmed,
        };
        Some(standing)
    }

    fn tally(&mut self, host: &HostId, change: Change) {
        let crew: Vec<_> = self.roster.crew(host).map(|(id, _)| id.clone()).collect();
        for minion in crew {
            self.tally_one(&minion, change);
        }
    }

    fn tally_one(&mut self, id: &MinionId, change: Change) {
        let Some(minion) = self.roster.get(id) else {
            return;
        };
        let Some(standing) = self.rate(minion) else {
            return;
        };
        let rack = &self.seats[&minion.host].rack;
        if let Some(ledger) = self.ledgers.get_mut(&minion.service) {
            change(ledger, standing, rack, &minion.host);
        }
    }

    fn recount(&mut self, service: &ServiceId) {
        for id in self.roster.of_service(service) {
            self.tally_one(&id, Ledger::add);
        }
    }
}

/// Adds a minion to a ledger or takes it out.
type Change = fn(&mut Ledger, Standing, &RackId, &HostId);
