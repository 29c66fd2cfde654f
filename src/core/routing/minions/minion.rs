//! One minion: what it said, what it has, and whether it rests.

use std::{net::SocketAddr, time::Duration};

use crate::core::{
    routing::health::{Class, Health},
    types::{MinionId, Now, RackId},
};

/// The first time that a minion is set aside for.
pub(super) const ASIDE_FIRST: Duration = Duration::from_secs(1);
/// How long a minion that refused gets nothing, if it didn't say.
pub(super) const PAUSE: Duration = Duration::from_millis(20);
/// Loads told apart within a class.
const LOADS: u32 = 16;

/// A minion as the choice needs it.
#[derive(Clone, Debug)]
pub struct Minion {
    /// Its id.
    pub id: MinionId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its rack.
    pub rack: RackId,
    /// Requests it runs at once, over all nodes.
    pub slots: u32,
    /// Slots that this node may use now.
    pub quota: u32,
    /// Slots that this node uses now.
    pub in_flight: u32,
    /// Whether it takes new work: heard lately, not leaving, host not draining.
    pub open: bool,
    pub(super) health: Health,
    pub(super) rest: Rest,
    /// The span of the next setting aside; doubles until a probe goes well.
    pub(super) span: Duration,
    /// The next pause after a refusal; doubles until an answer.
    pub(super) pause: Duration,
}

/// Why a minion rests although it is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rest {
    /// It doesn't.
    None,
    /// It refused and gets nothing until then.
    Paused(Now),
    /// It failed and gets nothing until then.
    Aside(Now),
    /// It was set aside and is tried with one request at a time.
    Probation,
}

impl Rest {
    /// Whether it counts against the bound.
    pub(super) fn is_aside(self) -> bool {
        matches!(self, Self::Aside(_) | Self::Probation)
    }
}

impl Minion {
    /// A minion that takes work and has none.
    pub(super) fn new(
        id: MinionId,
        address: SocketAddr,
        rack: RackId,
        slots: u32,
        quota: u32,
    ) -> Self {
        Self {
            id,
            address,
            rack,
            slots,
            quota,
            in_flight: 0,
            open: true,
            health: Health::default(),
            rest: Rest::None,
            span: ASIDE_FIRST,
            pause: PAUSE,
        }
    }

    /// Its level, the lowest of which is chosen from first; none if it has no free slot.
    ///
    /// `median` is the service's median time to a sound answer in seconds. Without one, load
    /// alone counts.
    pub(super) fn level(&self, now: Now, median: Option<f64>) -> Option<u8> {
        if !self.open || self.in_flight >= self.limit() {
            return None;
        }
        let class = match (self.rest, median) {
            (Rest::Probation, _) | (_, None) => Class::Good,
            (_, Some(median)) => self.health.class(now, median),
        };
        let load = (self.in_flight * LOADS / self.slots.max(1)).min(LOADS - 1);
        Some(class as u8 * LOADS as u8 + load as u8)
    }

    /// Requests it may have from this node at once.
    fn limit(&self) -> u32 {
        match self.rest {
            Rest::None => self.quota,
            Rest::Probation => self.quota.min(1),
            Rest::Paused(_) | Rest::Aside(_) => 0,
        }
    }
}
