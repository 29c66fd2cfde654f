//! Minions and nodes coming and going.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{
    engine::Dispatch,
    request::{Seat, ServiceIx},
    seam::{Announcement, Configuration, Mesh, Output},
    service::Service,
};
use crate::core::{
    admission::{Admission, Policy},
    routing::{
        budget::Budget,
        directory::{Heard, PROOF, Source},
        minions::Minions,
        spill::{OFFER_EVERY, Offer},
    },
    types::{MinionId, NodeId, Now, ServiceId},
};

/// How long a node may go on acting on an older configuration.
const IN_FORCE: Duration = Duration::from_secs(10);

impl Dispatch {
    /// Takes in an announcement and passes on what came first-hand.
    pub(super) fn announce(&mut self, now: Now, source: Source, news: &Announcement) {
        if news.data_centre != self.settings.data_centre {
            return;
        }
        let source = if self.woke_lately(now) {
            Source::Passed
        } else {
            source
        };
        let heard = self.directory.announce(now, source, news);
        if heard == Heard::Ignored {
            return;
        }
        if source == Source::Direct {
            self.pass_on(news);
        }
        self.settle_minion(now, &news.minion);
    }

    /// Closes minions that fell silent.
    pub(super) fn expire_minions(&mut self, now: Now) {
        for minion in self.directory.expire(now) {
            self.drop_minion(now, &minion);
        }
    }

    /// Takes in a new configuration.
    pub(super) fn configure(&mut self, now: Now, configuration: Configuration) {
        let own = &self.settings.data_centre;
        let here = configuration
            .nodes
            .iter()
            .filter(|(_, centre)| centre == own);
        let mut peers: Vec<NodeId> = here.map(|(node, _)| *node).collect();
        peers.sort_unstable();
        let former = std::mem::replace(&mut self.peers, peers);
        // A node starts with an empty list, from before it has caught up with the log. Nobody has a
        // share under that, so nothing of it can still be in use.
        if !former.is_empty() && former != self.peers {
            let longest = self
                .services
                .iter()
                .map(|s| s.timeout)
                .max()
                .unwrap_or_default();
            self.former.push((now + IN_FORCE + longest * 2, former));
        }
        self.offers.set_nodes(own, &configuration.nodes);
        self.configuration = Some(configuration);
        self.declare_services(now);
        self.settle_all(now);
    }

    /// Forgets older lists of peers that nobody acts on any more.
    pub(super) fn expire_former(&mut self, now: Now) {
        let before = self.former.len();
        self.former.retain(|(until, _)| *until > now);
        if self.former.len() < before {
            self.settle_all(now);
        }
    }

    /// Tells other data centres what this one serves, when it is time. A node that is stopping
    /// or cut from its minions offers nothing.
    pub(super) fn offer(&mut self, now: Now) {
        if now < self.next_offer || !self.ready() {
            return;
        }
        self.next_offer = now + OFFER_EVERY;
        let served = self
            .services
            .iter()
            .filter(|s| s.declared && s.minions.open() > 0);
        let mut services: Vec<ServiceId> = served.map(|s| s.id.clone()).collect();
        services.sort_unstable();
        let offer = Offer {
            data_centre: self.settings.data_centre.clone(),
            services,
        };
        let own = self.settings.node;
        let turn = self.peers.iter().position(|n| *n == own).unwrap_or(0);
        for to in self.offers.audience(turn) {
            let message = Mesh::Offer(offer.clone());
            self.out.push(Output::Mesh { to, message });
        }
    }

    /// The nodes of this data centre besides this one.
    pub(super) fn neighbours(&self) -> impl Iterator<Item = NodeId> {
        let own = self.settings.node;
        self.peers.iter().copied().filter(move |n| *n != own)
    }

    fn woke_lately(&self, now: Now) -> bool {
        self.woke
            .is_some_and(|woke| now.saturating_sub(woke) < PROOF)
    }

    fn pass_on(&mut self, news: &Announcement) {
        let neighbours: Vec<NodeId> = self.neighbours().collect();
        for to in neighbours {
            let message = Mesh::Announce(news.clone());
            self.out.push(Output::Mesh { to, message });
        }
    }

    fn settle_all(&mut self, now: Now) {
        let known: Vec<MinionId> = self.directory.iter().map(|a| a.minion.clone()).collect();
        for minion in known {
            self.settle_minion(now, &minion);
        }
    }

    /// Brings a minion's place in its service in line with directory and configuration.
    fn settle_minion(&mut self, now: Now, minion: &MinionId) {
        let Some(news) = self.directory.live(minion).cloned() else {
            self.drop_minion(now, minion);
            return;
        };
        let service = self.by_name.get(&news.service).copied();
        let draining = self.draining(&news);
        let Some(service) = service.filter(|ix| self.services[*ix].declared && !draining) else {
            self.drop_minion(now, minion);
            return;
        };
        let quota = self.quota(minion, news.slots);
        let known = self
            .seat(minion)
            .filter(|s| s.boot == news.boot && s.service == service);
        if let Some(seat) = known {
            let minions = &mut self.services[service].minions;
            minions.reopen(now, seat.ix);
            minions.update(now, seat.ix, news.address, news.slots);
            minions.set_quota(now, seat.ix, quota);
        } else {
            self.drop_minion(now, minion);
            let minions = &mut self.services[service].minions;
            let ix = minions.add(minion.clone(), news.address, news.rack, news.slots, quota);
            let boot = news.boot;
            self.seats
                .insert(minion.clone(), Seat { service, ix, boot });
        }
        self.pump(now, service);
    }

    /// Where a minion stands, if it takes work or still has some.
    pub(super) fn seat(&self, minion: &MinionId) -> Option<Seat> {
        let seat = *self.seats.get(minion)?;
        let held = self.services[seat.service].minions.get(seat.ix)?;
        // The place of one that was forgotten may be another's by now.
        (held.id == *minion).then_some(seat)
    }

    fn drop_minion(&mut self, now: Now, minion: &MinionId) {
        let Some(seat) = self.seat(minion) else {
            self.seats.remove(minion);
            return;
        };
        self.services[seat.service].minions.close(now, seat.ix);
        if self.seat(minion).is_none() {
            self.seats.remove(minion);
        }
        self.pump(now, seat.service);
    }

    fn draining(&self, news: &Announcement) -> bool {
        let configuration = self.configuration.as_ref();
        configuration.is_some_and(|c| c.draining.contains(&news.host))
    }

    fn declare_services(&mut self, now: Now) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        let fleet = Arc::clone(&configuration.fleet);
        let limits = configuration
            .preset
            .as_ref()
            .and_then(|p| fleet.presets.get(p))
            .map_or_else(|| fleet.cut_off.requests.clone(), |p| p.requests.clone());
        for service in &mut self.services {
            service.declared = fleet.services.contains_key(&service.id);
        }
        let policy = Policy::declared(&fleet, &limits).nodes(self.peers.len().max(1) as u32);
        for (id, spec) in &fleet.services {
            let ix = self.service(now, id, &policy);
            let service = &mut self.services[ix];
            service.idempotent = spec.idempotent;
            service.timeout = spec.timeout;
            service.room = limits.queue;
            service.budget.set_percent(limits.retries);
            service.admission.configure(now, policy.clone());
        }
    }

    /// The place of a service, made when it is first declared.
    fn service(&mut self, now: Now, id: &ServiceId, policy: &Policy) -> ServiceIx {
        if let Some(ix) = self.by_name.get(id) {
            return *ix;
        }
        let rng = Pcg64Mcg::new(self.rng.random());
        self.services.push(Service {
            id: id.clone(),
            declared: true,
            idempotent: false,
            timeout: Duration::ZERO,
            room: 0,
            minions: Minions::new(self.settings.protections),
            spilled: 0,
            admission: Admission::new(now, policy.clone(), rng),
            again: Default::default(),
            budget: Budget::new(0),
            comeback: Default::default(),
            wants: Default::default(),
            asked: None,
        });
        let ix = self.services.len() - 1;
        self.by_name.insert(id.clone(), ix);
        ix
    }
}
