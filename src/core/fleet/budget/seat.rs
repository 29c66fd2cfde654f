//! Where a host stands, and how.

use crate::core::types::{Now, PoolId, RackId};

/// What the budget knows of a host's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Up, and counted.
    Up,
    /// Admitted to stop; no longer counted.
    Reserved {
        /// When it is expected to count again, if that is foreseen.
        back: Option<Now>,
    },
    /// Lost or stopped, with no known return.
    Out,
    /// Back, but not counted before the soak ends.
    Soaking {
        /// When the soak ends.
        until: Now,
    },
}

/// Where a host stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    pub(super) rack: RackId,
    pub(super) pool: PoolId,
    pub(super) condition: Condition,
}

impl Seat {
    /// A host in `rack` that belongs to `pool`.
    pub fn new(rack: RackId, pool: PoolId, condition: Condition) -> Self {
        Self {
            rack,
            pool,
            condition,
        }
    }

    /// Its condition.
    pub fn condition(&self) -> Condition {
        self.condition
    }
}
