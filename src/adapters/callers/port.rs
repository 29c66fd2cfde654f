//! What the callers' interface needs of the node around it.

use std::{fmt, net::IpAddr, sync::Arc};

use super::recall::Recall;
use crate::{
    adapters::budget::Budget,
    core::{dispatch::Input, outcome::NotRun, types::Version},
};

/// How far a planned stop has come.
///
/// The balancer needs time to see that a node is not ready, so a node first says so while it
/// still serves; only then does it close its door. Both steps belong to whoever stops the node.
/// A dropped sender counts as [`Stage::Closing`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Ready.
    #[default]
    Serving,
    /// Not ready, but whoever still comes is served; each answer closes its connection.
    Leaving,
    /// No connection is accepted; what is in flight finishes.
    Closing,
}

/// The node around the callers' interface, as closures.
///
/// ```
/// use egretpin::adapters::callers::Port;
///
/// let port = Port::new(|_input| true).version(|| 7).peer(|address| address.is_loopback());
/// # let _ = port;
/// ```
pub struct Port {
    /// Hands an event to the core; false once the core is gone.
    pub(super) input: Box<dyn Fn(Input) -> bool + Send + Sync>,
    /// The configuration version now acted on.
    pub(super) version: Box<dyn Fn() -> Version + Send + Sync>,
    /// Whether the node is ready for callers; a stopping node isn't in any case.
    pub(super) ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Whether an address is a node of ours, whose word on spilling is taken.
    pub(super) peer: Box<dyn Fn(IpAddr) -> bool + Send + Sync>,
    /// Counts a refusal that this module made itself, before the core knew of the request.
    pub(super) refused: Box<dyn Fn(NotRun) + Send + Sync>,
    /// Names requests and remembers those that weren't answered.
    pub(super) recall: Arc<Recall>,
    /// What the listeners of a process share.
    pub(super) budget: Option<Budget>,
}

impl Port {
    /// A port to the core; everything else keeps its default: version 0, ready, no peers, no
    /// counter, a memory and a budget of its own.
    pub fn new(input: impl Fn(Input) -> bool + Send + Sync + 'static) -> Self {
        Self {
            input: Box::new(input),
            version: Box::new(|| 0),
            ready: Box::new(|| true),
            peer: Box::new(|_| false),
            refused: Box::new(|_| ()),
            recall: Arc::new(Recall::new("0")),
            budget: None,
        }
    }

    /// Sets where the configuration version comes from.
    #[must_use]
    pub fn version(mut self, version: impl Fn() -> Version + Send + Sync + 'static) -> Self {
        self.version = Box::new(version);
        self
    }

    /// Sets what says whether the node is ready.
    #[must_use]
    pub fn ready(mut self, ready: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        self.ready = Box::new(ready);
        self
    }

    /// Sets which addresses are nodes of ours.
    #[must_use]
    pub fn peer(mut self, peer: impl Fn(IpAddr) -> bool + Send + Sync + 'static) -> Self {
        self.peer = Box::new(peer);
        self
    }

    /// Sets what counts the refusals made here.
    #[must_use]
    pub fn refused(mut self, refused: impl Fn(NotRun) + Send + Sync + 'static) -> Self {
        self.refused = Box::new(refused);
        self
    }

    /// Sets the memory of requests that weren't answered; listeners of one node share it.
    #[must_use]
    pub fn recall(mut self, recall: Arc<Recall>) -> Self {
        self.recall = recall;
        self
    }

    /// Sets the bound on what all listeners of the process hold, in place of the one that the limits
    /// give a listener of its own.
    #[must_use]
    pub fn budget(mut self, budget: Budget) -> Self {
        self.budget = Some(budget);
        self
    }
}

impl fmt::Debug for Port {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Port").finish_non_exhaustive()
    }
}
