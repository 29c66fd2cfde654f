//! The state of the request path and its step.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{
    request::{Request, Seat, Sending, ServiceIx},
    seam::{Configuration, Input, Mesh, Output, RequestId, SendId},
    service::Service,
    settings::Settings,
    timers::{Due, Timers},
};
use crate::core::{
    routing::{
        directory::{Directory, Source},
        loans::{Borrowed, Lent},
        spill::Offers,
    },
    types::{Map, MinionId, NodeId, Now, ServiceId},
};

/// A step this long after the last means that the process was frozen.
const FREEZE: Duration = Duration::from_secs(1);

/// The request path of one node.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub(super) settings: Settings,
    pub(super) configuration: Option<Configuration>,
    /// The nodes of this data centre, this one included, in order.
    pub(super) peers: Vec<NodeId>,
    pub(super) directory: Directory,
    pub(super) seats: Map<MinionId, Seat>,
    pub(super) services: Vec<Service>,
    pub(super) by_name: Map<ServiceId, ServiceIx>,
    /// When this process last found itself frozen until then.
    pub(super) woke: Option<Now>,
    pub(super) offers: Offers,
    pub(super) next_offer: Now,
    /// What this node has lent to its peers.
    pub(super) lent: Lent,
    /// What it has borrowed from them.
    pub(super) borrowed: Borrowed,
    /// Older lists of peers, whose shares may still be in use until then.
    pub(super) former: Vec<(Now, Vec<NodeId>)>,
    pub(super) out: Vec<Output>,
    pub(super) requests: Map<RequestId, Request>,
    pub(super) sends: Map<SendId, Sending>,
    pub(super) timers: Timers,
    pub(super) last_send: SendId,
    pub(super) last_step: Option<Now>,
    pub(super) stopping: bool,
    pub(super) rng: Pcg64Mcg,
}

impl Dispatch {
    /// A node that knows nothing yet; everything random in it comes from `rng`.
    pub fn new(settings: Settings, mut rng: Pcg64Mcg) -> Self {
        Self {
            settings,
            configuration: None,
            peers: Vec::new(),
            directory: Directory::default(),
            seats: Map::default(),
            services: Vec::new(),
            by_name: Map::default(),
            woke: None,
            offers: Offers::default(),
            next_offer: Now::ZERO,
            lent: Lent::new(rng.random()),
            borrowed: Borrowed::default(),
            former: Vec::new(),
            out: Vec::new(),
            requests: Map::default(),
            sends: Map::default(),
            timers: Timers::default(),
            last_send: 0,
            last_step: None,
            stopping: false,
            rng,
        }
    }

    /// Takes in one event and says what to do, in order.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.pass_time(now);
        match input {
            Input::Arrive(arrival) => self.arrive(now, arrival),
            Input::HangUp(request) => self.hang_up(now, request),
            Input::End { send, end } => self.end(now, send, end),
            Input::Claim { request, answer } => self.claimed(now, request, &answer),
            Input::Announce(news) => self.announce(now, Source::Direct, &news),
            Input::Mesh { from, message } => self.hear(now, from, message),
            Input::Configure(configuration) => self.configure(now, configuration),
            Input::Tick => {}
            Input::Stop => self.stopping = true,
        }
        std::mem::take(&mut self.out)
    }

    /// Whether no request waits or runs, those included whose caller is gone.
    pub fn idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// How many requests wait for a slot, over all services.
    pub fn waiting(&self) -> u32 {
        self.services.iter().map(Service::waiting).sum()
    }

    /// Whether the node takes new requests: configured and not stopping.
    pub fn ready(&self) -> bool {
        self.configuration.is_some() && !self.stopping
    }

    fn hear(&mut self, now: Now, from: NodeId, message: Mesh) {
        match message {
            Mesh::Announce(news) => self.announce(now, Source::Passed, &news),
            Mesh::Offer(offer) => self.offers.hear(now, offer),
            Mesh::Want(want) => self.wanted(now, from, &want),
            Mesh::Lend(lend) => self.lent_to(now, from, lend),
            Mesh::Return(loans) => self.returned(now, &loans),
        }
    }

    fn pass_time(&mut self, now: Now) {
        let last = self.last_step.replace(now).unwrap_or(now);
        if now.saturating_sub(last) > FREEZE {
            self.woke = Some(now);
        }
        self.expire_minions(now);
        self.expire_loans(now);
        self.expire_former(now);
        self.offer(now);
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Send(send) => self.overdue(now, send),
                Due::Request(request) => self.deadline(now, request),
            }
        }
        for service in 0..self.services.len() {
            self.expire_waiting(now, service);
            if self.services[service].minions.wake(now) {
                self.pump(now, service);
            } else {
                self.borrow(now, service);
            }
        }
    }
}
