//! What a node knows of one service.

use std::time::Duration;

use super::{comeback::Comeback, queue::Queue};
use crate::core::{
    admission::Admission,
    routing::{budget::Budget, loans::Wants, minions::Minions},
    types::{Now, ServiceId},
};

/// One service at this node.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) id: ServiceId,
    /// Whether the declaration in force has it.
    pub(super) declared: bool,
    pub(super) idempotent: bool,
    pub(super) timeout: Duration,
    /// Requests that other data centres may have from here.
    pub(super) room: u32,
    pub(super) minions: Minions,
    /// Requests that other data centres' nodes have from here now.
    pub(super) spilled: u32,
    pub(super) admission: Admission,
    pub(super) again: Queue,
    pub(super) budget: Budget,
    pub(super) comeback: Comeback,
    /// What peers want to borrow.
    pub(super) wants: Wants,
    /// When this node asked peers last, and for how many.
    pub(super) asked: Option<(Now, u32)>,
}

impl Service {
    /// How many wait for a slot.
    pub(super) fn waiting(&self) -> u32 {
        self.again.len() + self.admission.waiting() as u32
    }
}
